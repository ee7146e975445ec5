//! Static shares of what the whole fleet may ask of the weight store.
//!
//! Zones may be cut off from each other, so a share never depends on a message. A number that
//! is smaller than the number of zones goes to the zones that rendezvous puts first; the other
//! zones load nothing, hold nothing in the assignment, and reach models in those zones.
//! Rotation in time was ruled out: it would hang on clocks that agree.

use std::time::Duration;

use eelgrasshill_domain::{Moment, ZoneName, rendezvous_order};

/// What the store allows to the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Loads that may start in a second.
    pub rate: f64,
    /// Loads that may run at once.
    pub slots: u32,
    /// Adapters that may be in flight at once.
    pub adapters: u32,
}

/// One zone's share of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShare {
    /// Shortest time between two starts of loads; none when the zone may not load.
    pub interval: Option<Duration>,
    /// Loads that may run at once.
    pub slots: u32,
    /// Adapters that may be in flight at once.
    pub adapters: u32,
}

impl Budget {
    /// Returns the share of one zone; the shares of all zones add up to the budget.
    #[must_use]
    pub fn share(&self, zone: &ZoneName, zones: &[ZoneName]) -> ZoneShare {
        let slots = zone_portion(self.slots, zone, zones, "store");
        let rate = self.rate * f64::from(slots) / f64::from(self.slots.max(1));
        ZoneShare {
            interval: (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate)),
            slots,
            adapters: zone_portion(self.adapters, zone, zones, "adapters"),
        }
    }
}

fn zone_portion(total: u32, zone: &ZoneName, zones: &[ZoneName], subject: &str) -> u32 {
    let order = rendezvous_order(zones.iter().map(ZoneName::as_str), subject);
    let count = u32::try_from(order.len().max(1)).unwrap_or(u32::MAX);
    let rank = order.iter().position(|name| *name == zone.as_str());
    let rank = rank.and_then(|rank| u32::try_from(rank).ok());
    rank.map_or(0, |rank| total / count + u32::from(rank < total % count))
}

/// Spaces the starts of loads by the zone's share of the rate.
#[derive(Clone, Copy, Debug)]
pub struct LoadPacer {
    interval: Option<Duration>,
    next_start: Moment,
}

impl LoadPacer {
    /// Starts with nothing saved up, since a predecessor may have started a load just now.
    #[must_use]
    pub fn new(interval: Option<Duration>, now: Moment) -> Self {
        Self {
            interval,
            next_start: interval.map_or(now, |span| now.after(span)),
        }
    }

    /// Takes the right to start one load now, if there is one.
    pub fn take(&mut self, now: Moment) -> bool {
        let Some(interval) = self.interval else {
            return false;
        };
        if now < self.next_start {
            return false;
        }
        // A whole millisecond more, since moments are cut to milliseconds.
        self.next_start = now.after(interval + Duration::from_millis(1));
        true
    }
}
