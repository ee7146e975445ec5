//! Divides the load limits of the weight store among the zones.
//!
//! Zones may be partitioned from each other, so the shares are static and need no messages. If
//! a limit is smaller than the number of zones, the zones that come first in rendezvous order
//! receive one unit each. The other zones load nothing and are assigned no models, and their
//! requests go to the zones that may load. Rotating the shares over time would require
//! synchronised clocks.

use std::time::Duration;

use eelgrasshill_domain::{Moment, ZoneName, rendezvous_order};

/// The limits of the weight store for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Number of model loads that may start per second.
    pub loads_per_second: f64,
    /// Number of model loads that may run in parallel.
    pub load_slots: u32,
    /// Number of adapter loads that may run in parallel.
    pub adapter_slots: u32,
}

/// One zone's share of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShare {
    /// Shortest time between two load starts, or `None` if the zone may not load.
    pub load_interval: Option<Duration>,
    /// Number of model loads that may run in parallel.
    pub load_slots: u32,
    /// Number of adapter loads that may run in parallel.
    pub adapter_slots: u32,
}

impl Budget {
    /// Returns the share of one zone.
    ///
    /// The shares of all zones add up to the budget.
    #[must_use]
    pub fn share(&self, zone: &ZoneName, zones: &[ZoneName]) -> ZoneShare {
        let slots = zone_share(self.load_slots, zone, zones, "store");
        let rate = self.loads_per_second * f64::from(slots) / f64::from(self.load_slots.max(1));
        ZoneShare {
            load_interval: (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate)),
            load_slots: slots,
            adapter_slots: zone_share(self.adapter_slots, zone, zones, "adapters"),
        }
    }
}

/// Returns a zone's share of a limit.
///
/// The first zones in rendezvous order receive one more if the limit is not divisible. All hosts
/// use the same subject, so they compute the same order.
fn zone_share(total: u32, zone: &ZoneName, zones: &[ZoneName], subject: &str) -> u32 {
    let order = rendezvous_order(zones.iter().map(ZoneName::as_str), subject);
    let count = u32::try_from(order.len().max(1)).unwrap_or(u32::MAX);
    let rank = order.iter().position(|name| *name == zone.as_str());
    let rank = rank.and_then(|rank| u32::try_from(rank).ok());
    rank.map_or(0, |rank| total / count + u32::from(rank < total % count))
}

/// Limits the rate of load starts to the zone's share.
#[derive(Clone, Copy, Debug)]
pub struct LoadPacer {
    interval: Option<Duration>,
    next_start: Moment,
}

impl LoadPacer {
    /// Creates a pacer whose first load may start after one full interval.
    ///
    /// The previous lease holder may have started a load immediately before.
    #[must_use]
    pub fn new(interval: Option<Duration>, now: Moment) -> Self {
        Self {
            interval,
            next_start: interval.map_or(now, |span| now.after(span)),
        }
    }

    /// Returns whether a load may start now, and counts it if so.
    pub fn try_start(&mut self, now: Moment) -> bool {
        let Some(interval) = self.interval else {
            return false;
        };
        if now < self.next_start {
            return false;
        }
        // One extra millisecond, because moments are truncated to milliseconds.
        self.next_start = now.after(interval + Duration::from_millis(1));
        true
    }
}
