//! Who may give orders to engines: one host of the fleet, by a record in the store.
//!
//! Engines here do not check fencing tokens, so that two holders must never take turns within a
//! bound. A holder gives orders only while its last acknowledged renewal is younger than the
//! lease's time, by a clock that counts suspension. A successor claims only after the record stood
//! unchanged for that time, and then waits for the bound. All writes are conditional on the end of
//! the topic, so that a late write of somebody who gave up takes effect only while nothing else
//! was written, and then grants nothing by itself.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, record};

/// How long a renewal lasts: longer than most outages of the store, and short enough that a
/// machine that is gone for good is followed within some seconds.
const TERM: Duration = Duration::from_secs(4);

/// Time between renewals: several may be lost within a term.
const RENEWAL: Duration = Duration::from_millis(1_200);

/// Age of the last renewal from which a holder that lost touch with the store resigns: two were
/// missed, and hosts that are in touch can take over at once.
const RESIGNATION: Duration = Duration::from_millis(2_600);

/// Added to each wait for another holder: clocks run at slightly different speeds.
const MARGIN: Duration = Duration::from_millis(400);

/// Longest time between the check of a lease and the arrival of an order.
const TRANSIT: Duration = Duration::from_millis(400);

record! {
    /// What the lease's record says.
    pub struct LeaseRecord {
        /// The holder.
        pub host: HostName,
        /// Where its peers reach it.
        pub address: SocketAddr,
        /// The number of the holder's start.
        pub incarnation: Incarnation,
        /// The fencing token: the offset of the claim; in a claim itself zero.
        pub fence: u64,
        /// Whether the holder has waited for its predecessor's orders and may give its own.
        pub active: bool,
        /// Whether the holder gave the lease up.
        pub released: bool,
    }

    /// A write that the lease asks for.
    pub struct LeaseWrite {
        /// The record.
        pub record: LeaseRecord,
        /// Where the topic must end.
        pub at: Offset,
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    record: Option<LeaseRecord>,
    end: Offset,
    since: Moment,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    fence: u64,
    until: Moment,
    active_from: Moment,
    renewed: Moment,
    end: Offset,
}

/// One host's part in the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    host: HostName,
    address: SocketAddr,
    incarnation: Incarnation,
    turn: Duration,
    seen: Option<Seen>,
    held: Option<Held>,
    blind: bool,
}

impl Lease {
    /// Makes the part of a host that has just started; `turn` is the bound between two holders.
    #[must_use]
    pub fn new(
        host: HostName,
        address: SocketAddr,
        incarnation: Incarnation,
        turn: Duration,
    ) -> Self {
        Self {
            host,
            address,
            incarnation,
            turn,
            seen: None,
            held: None,
            blind: false,
        }
    }

    /// Takes what the topic holds, read at a moment.
    pub fn see(&mut self, record: Option<LeaseRecord>, end: Offset, now: Moment) {
        self.blind = false;
        if self.seen.as_ref().is_some_and(|seen| seen.end == end) {
            return;
        }
        let is_mine = record.as_ref().is_some_and(|record| self.is_mine(record));
        if !is_mine {
            self.held = None;
        }
        self.seen = Some(Seen {
            record,
            end,
            since: now,
        });
    }

    fn is_mine(&self, record: &LeaseRecord) -> bool {
        record.host == self.host && record.incarnation == self.incarnation && !record.released
    }

    /// Takes word that the holder of a record gives no more orders: the lease is free at once.
    pub fn hear_resigned(&mut self, fence: u64, end: Offset) {
        if let Some(seen) = &mut self.seen
            && seen.end == end
            && let Some(record) = &mut seen.record
            && record.fence == fence
            && record.host != self.host
        {
            record.released = true;
        }
    }

    /// Takes word of when the holder sent the renewal that was seen.
    pub fn hear_renewed(&mut self, fence: u64, end: Offset, renewed: Moment) {
        if let Some(seen) = &mut self.seen
            && seen.end == end
            && seen
                .record
                .as_ref()
                .is_some_and(|record| record.fence == fence)
        {
            seen.since = seen.since.min(renewed);
        }
    }

    /// Gives orders up while the store cannot be reached and others can; returns whether it did.
    pub fn resign(&mut self, now: Moment) -> bool {
        let due = self
            .held
            .as_ref()
            .is_some_and(|held| now.since(held.renewed) >= RESIGNATION);
        if due {
            self.held = None;
        }
        due
    }

    /// Returns the last renewal that stands: when it was sent, and where the topic ended then.
    #[must_use]
    pub fn renewed(&self) -> Option<(Moment, Offset)> {
        let held = self.held.as_ref()?;
        Some((held.renewed, held.end))
    }

    /// Returns whether this host holds the lease, active or not.
    #[must_use]
    pub fn is_held(&self, now: Moment) -> bool {
        self.held.as_ref().is_some_and(|held| now < held.until)
    }

    /// Returns the fencing token, while orders may be sent.
    #[must_use]
    pub fn fence(&self, now: Moment) -> Option<u64> {
        let held = self.held.as_ref()?;
        let is_active = now >= held.active_from && now.after(TRANSIT) < held.until;
        is_active.then_some(held.fence)
    }

    /// Returns the claim that may be written now, when the lease is free or was this machine's.
    #[must_use]
    pub fn claim(&self, now: Moment) -> Option<LeaseWrite> {
        let seen = self.seen.as_ref()?;
        let is_free = match &seen.record {
            None => true,
            Some(record) if record.released || self.was_active() => true,
            Some(_held) => now.since(seen.since) >= TERM + MARGIN,
        };
        (is_free && !self.is_held(now)).then(|| LeaseWrite {
            record: self.record(self.kept_fence(), self.was_active()),
            at: seen.end,
        })
    }

    /// Returns the token of a lease that lapsed and that nobody took since; zero for a new one.
    ///
    /// An order of the lapsed time may still be on its way, and would come after a higher token.
    fn kept_fence(&self) -> u64 {
        let record = self.seen.as_ref().and_then(|seen| seen.record.as_ref());
        record
            .filter(|record| self.is_mine(record))
            .map_or(0, |record| record.fence)
    }

    /// Returns whether the lease was this machine's in an earlier start, and active.
    fn was_active(&self) -> bool {
        let record = self.seen.as_ref().and_then(|seen| seen.record.as_ref());
        let was =
            |record: &LeaseRecord| record.host == self.host && record.active && !record.released;
        record.is_some_and(was)
    }

    fn record(&self, fence: u64, active: bool) -> LeaseRecord {
        LeaseRecord {
            host: self.host.clone(),
            address: self.address,
            incarnation: self.incarnation,
            fence,
            active,
            released: false,
        }
    }

    /// Returns the renewal that is due.
    #[must_use]
    pub fn renewal(&self, now: Moment) -> Option<LeaseWrite> {
        let held = self.held.as_ref()?;
        let seen = self.seen.as_ref()?;
        let became_active =
            now >= held.active_from && seen.record.as_ref().is_some_and(|record| !record.active);
        (became_active || now.since(held.renewed) >= RENEWAL).then(|| LeaseWrite {
            record: self.record(held.fence, now >= held.active_from),
            at: seen.end,
        })
    }

    /// Returns the record that gives the lease up.
    #[must_use]
    pub fn release(&mut self) -> Option<LeaseWrite> {
        let held = self.held.take()?;
        let seen = self.seen.as_ref()?;
        Some(LeaseWrite {
            record: LeaseRecord {
                released: true,
                ..self.record(held.fence, true)
            },
            at: seen.end,
        })
    }

    /// Notes that a write stands at an offset; it was sent at a moment.
    pub fn written(&mut self, write: LeaseWrite, offset: Offset, sent: Moment) {
        let was_active = self.was_active();
        let released = write.record.released;
        let waited = match self.held.take() {
            Some(held) if held.fence == write.record.fence => held.active_from,
            Some(_) | None if was_active => sent,
            Some(_) | None => sent.after(self.turn + MARGIN),
        };
        let fence = if write.record.fence == 0 {
            // A token is never zero, also for the first record of the topic.
            offset.0 + 1
        } else {
            write.record.fence
        };
        self.seen = Some(Seen {
            record: Some(write.record),
            end: offset.next(),
            since: sent,
        });
        if !released {
            self.held = Some(Held {
                fence,
                until: sent.after(TERM),
                active_from: waited,
                renewed: sent,
                end: offset.next(),
            });
        }
    }

    /// Notes that a write failed or its answer was lost: what stands must be read.
    pub fn forget(&mut self) {
        // What is held still counts down.
        self.blind = true;
    }

    /// Returns whether the record must be read before anything is written.
    #[must_use]
    pub fn is_blind(&self) -> bool {
        self.blind || self.seen.is_none()
    }
}
