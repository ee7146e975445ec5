//! The lease that lets one host give orders to engines.
//!
//! The lease is a record in the store. Engines do not check fencing tokens, so orders of two
//! holders must be separated by a minimum time, the handover delay. A holder gives orders only
//! while its last acknowledged renewal is younger than the lease duration, by a clock that also
//! counts while the machine is suspended. A successor claims the lease only after the record stayed
//! unchanged for that duration, and then waits for the handover delay.
//!
//! All writes are conditional on the end of the topic. A delayed write of a host that gave up takes
//! effect only if nothing else was written, and even then does not by itself grant the lease.
//!
//! When the store is restored from an older copy, the record may be gone or an older one may be
//! back, and offsets are assigned again. So a record counts only in the era in which it was
//! written: one of an earlier era says no more than that some host may hold the lease. The token
//! has the era in its high bits, and rises although offsets go back. A holder stops when it learns
//! of a new era, and claims the lease again.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, record};

use crate::Era;

/// How long a renewal is valid.
///
/// Longer than most outages of the store, and short enough that a lost machine is replaced within
/// seconds.
const LEASE_DURATION: Duration = Duration::from_secs(4);

/// Time between renewals. Several may be lost within one lease duration.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);

/// Age of the last renewal at which a holder resigns.
///
/// By then the holder could not reach the store for two renewals. Hosts that can reach it take over
/// at once.
const RESIGNATION_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Added to each wait for another holder, because clocks run at slightly different speeds.
const CLOCK_MARGIN: Duration = Duration::from_millis(400);

/// Longest time from the check of the lease until an order arrives.
const MAX_TRANSIT: Duration = Duration::from_millis(400);

/// Number of low bits of a fencing token that hold the offset of the claim; the era is above them.
///
/// A topic gets fewer than 2^40 records, and the store fewer than 2^24 restores.
const FENCE_OFFSET_BITS: u32 = 40;

/// Returns the mark of a claim: the era of its token, without an offset.
fn claim_mark(era: Era) -> u64 {
    era.0 << FENCE_OFFSET_BITS
}

/// Returns the fencing token of a claim.
fn fence_of(era: Era, offset: Offset) -> u64 {
    claim_mark(era) + offset.0 + 1
}

/// Returns the era in which a fencing token was assigned.
fn era_of(fence: u64) -> Era {
    Era(fence >> FENCE_OFFSET_BITS)
}

record! {
    /// Content of the lease's record in the store.
    pub struct LeaseRecord {
        /// Host that holds the lease.
        pub host: HostName,
        /// Address for calls from other hosts.
        pub address: SocketAddr,
        /// Start number of the holder's process.
        pub incarnation: Incarnation,
        /// Fencing token: the claim's era and its offset plus one, or only the era in the claim
        /// itself.
        pub fence: u64,
        /// Whether the holder has waited out its predecessor's orders and may give its own.
        pub active: bool,
        /// Whether the holder gave up the lease.
        pub released: bool,
    }

    /// Conditional write of the lease's record.
    pub struct LeaseWrite {
        /// Record to write.
        pub record: LeaseRecord,
        /// End that the topic must have for the write to succeed.
        #[serde(rename = "at")]
        pub expected_end: Offset,
    }
}

impl LeaseRecord {
    /// Returns the era of the store for which the record was written.
    fn era(&self) -> Era {
        era_of(self.fence)
    }
}

impl LeaseWrite {
    /// Returns whether this claims the lease, and does not renew or release it.
    #[must_use]
    pub fn is_claim(&self) -> bool {
        self.record.fence == claim_mark(self.record.era())
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct ObservedRecord {
    record: Option<LeaseRecord>,
    end: Offset,
    // When this host read the record, or earlier, when the holder sent the renewal.
    since: Moment,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct HeldLease {
    fence: u64,
    until: Moment,
    // When the orders of the previous holder can no longer arrive.
    active_from: Moment,
    // When the last acknowledged renewal was sent.
    renewed_at: Moment,
    // End of the topic after that renewal.
    end: Offset,
}

/// State of the lease as one host sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    host: HostName,
    address: SocketAddr,
    incarnation: Incarnation,
    handover_delay: Duration,
    observed: Option<ObservedRecord>,
    held: Option<HeldLease>,
    // Whether the record must be read before the next write.
    stale: bool,
    // Latest known era of the store.
    era: Option<Era>,
    // Whether the store may have lost the record of a holder that this host does not know.
    may_lack_record: bool,
    // Expiry of the lease that this host held in an earlier era.
    //
    // Until then no other host can be active: it waits for longer from the restore on.
    reclaim_until: Option<Moment>,
}

impl Lease {
    /// Creates the state of a host that has just started.
    ///
    /// `handover_delay` is the minimum time between the orders of two holders.
    #[must_use]
    pub fn new(
        host: HostName,
        address: SocketAddr,
        incarnation: Incarnation,
        handover_delay: Duration,
    ) -> Self {
        Self {
            host,
            address,
            incarnation,
            handover_delay,
            observed: None,
            held: None,
            stale: false,
            era: None,
            may_lack_record: true,
            reclaim_until: None,
        }
    }

    /// Notes that all hosts start for the first time, so that no holder can be unknown.
    pub fn note_first_start(&mut self) {
        self.may_lack_record = false;
    }

    /// Notes an era of the store, as an answer or a peer stated it; returns whether it is later.
    ///
    /// The lease is no longer held in a later era, and the record must be read again.
    pub fn note_era(&mut self, era: Era) -> bool {
        let is_later = self.era.is_none_or(|known| known < era);
        if !is_later {
            return false;
        }
        self.may_lack_record |= self.era.is_some();
        self.era = Some(era);
        self.observed = None;
        if let Some(held) = self.held.take() {
            self.reclaim_until = Some(held.until);
        }
        true
    }

    fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Stores the record and the topic's end as read at `now`, in an era.
    ///
    /// What was read in an earlier era than the known one is discarded.
    pub fn observe(&mut self, record: Option<LeaseRecord>, era: Era, end: Offset, now: Moment) {
        self.note_era(era);
        if era < self.era() {
            return;
        }
        self.stale = false;
        if self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.end == end)
        {
            return;
        }
        let is_mine = record.as_ref().is_some_and(|record| self.is_mine(record));
        if !is_mine {
            self.held = None;
        }
        if record.as_ref().is_some_and(|record| record.era() == era) {
            self.reclaim_until = None;
        }
        self.observed = Some(ObservedRecord {
            record,
            end,
            since: now,
        });
    }

    fn is_mine(&self, record: &LeaseRecord) -> bool {
        record.host == self.host
            && record.incarnation == self.incarnation
            && record.era() == self.era()
            && !record.released
    }

    /// Notes that the holder of a record resigned; the lease is free at once.
    pub fn note_resignation(&mut self, fence: u64, end: Offset) {
        if era_of(fence) != self.era() {
            return;
        }
        if let Some(observed) = &mut self.observed
            && observed.end == end
            && let Some(record) = &mut observed.record
            && record.fence == fence
            && record.host != self.host
        {
            record.released = true;
        }
    }

    /// Notes when the holder sent the renewal that this host has read.
    pub fn note_renewal(&mut self, fence: u64, end: Offset, renewed_at: Moment) {
        if era_of(fence) != self.era() {
            return;
        }
        if let Some(observed) = &mut self.observed
            && observed.end == end
            && observed
                .record
                .as_ref()
                .is_some_and(|record| record.fence == fence)
        {
            observed.since = observed.since.min(renewed_at);
        }
    }

    /// Resigns if the last renewal is too old, and returns whether it did.
    ///
    /// Call it while this host cannot reach the store but others can.
    pub fn resign(&mut self, now: Moment) -> bool {
        let due = self
            .held
            .as_ref()
            .is_some_and(|held| now.since(held.renewed_at) >= RESIGNATION_TIMEOUT);
        if due {
            self.held = None;
        }
        due
    }

    /// Returns when the last acknowledged renewal was sent, and the topic's end after it.
    #[must_use]
    pub fn renewed_at(&self) -> Option<(Moment, Offset)> {
        let held = self.held.as_ref()?;
        Some((held.renewed_at, held.end))
    }

    /// Returns whether this host holds the lease, even if not yet active.
    #[must_use]
    pub fn is_held(&self, now: Moment) -> bool {
        self.held.as_ref().is_some_and(|held| now < held.until)
    }

    /// Returns the fencing token if orders may be sent now.
    #[must_use]
    pub fn fence(&self, now: Moment) -> Option<u64> {
        let held = self.held.as_ref()?;
        let is_active = now >= held.active_from && now.after(MAX_TRANSIT) < held.until;
        is_active.then_some(held.fence)
    }

    /// Returns the claim to write if the lease is available to this host.
    ///
    /// It is if it is free, or if an earlier start of this machine held it, or if this host held it
    /// until the era ended.
    #[must_use]
    pub fn claim(&self, now: Moment) -> Option<LeaseWrite> {
        let observed = self.observed.as_ref()?;
        let is_free = match &observed.record {
            _ if self.reclaim_until.is_some_and(|until| now < until) => true,
            None if !self.may_lack_record || self.era() == Era::default() => true,
            Some(record) if record.released && record.era() == self.era() => true,
            Some(_held) if self.was_active() => true,
            Some(_) | None => now.since(observed.since) >= LEASE_DURATION + CLOCK_MARGIN,
        };
        (is_free && !self.is_held(now)).then(|| LeaseWrite {
            record: self.record(self.reusable_fence(), self.was_active()),
            expected_end: observed.end,
        })
    }

    /// Returns the token of this host's own lapsed lease if no other host claimed it, or the mark of
    /// a new claim.
    ///
    /// An order sent before the lapse may still be in flight. If the token rose now, that order
    /// would arrive after one with a higher token.
    fn reusable_fence(&self) -> u64 {
        let record = self
            .observed
            .as_ref()
            .and_then(|observed| observed.record.as_ref());
        record
            .filter(|record| self.is_mine(record))
            .map_or(claim_mark(self.era()), |record| record.fence)
    }

    /// Returns whether this machine, maybe before a restart, held the lease and was active.
    fn was_active(&self) -> bool {
        let record = self
            .observed
            .as_ref()
            .and_then(|observed| observed.record.as_ref());
        let is_active_here = |record: &LeaseRecord| {
            record.host == self.host
                && record.active
                && record.era() == self.era()
                && !record.released
        };
        record.is_some_and(is_active_here)
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

    /// Returns the renewal to write, if one is due.
    #[must_use]
    pub fn renewal(&self, now: Moment) -> Option<LeaseWrite> {
        let held = self.held.as_ref()?;
        let observed = self.observed.as_ref()?;
        let became_active = now >= held.active_from
            && observed
                .record
                .as_ref()
                .is_some_and(|record| !record.active);
        (became_active || now.since(held.renewed_at) >= RENEWAL_INTERVAL).then(|| LeaseWrite {
            record: self.record(held.fence, now >= held.active_from),
            expected_end: observed.end,
        })
    }

    /// Gives up the lease and returns the record that says so.
    #[must_use]
    pub fn release(&mut self) -> Option<LeaseWrite> {
        self.reclaim_until = None;
        let held = self.held.take()?;
        let observed = self.observed.as_ref()?;
        Some(LeaseWrite {
            record: LeaseRecord {
                released: true,
                ..self.record(held.fence, true)
            },
            expected_end: observed.end,
        })
    }

    /// Notes that a write sent at `sent` succeeded at an offset of an era.
    ///
    /// A write for an earlier era counts for nothing: it may have hidden another host's record.
    pub fn confirm_write(&mut self, write: LeaseWrite, era: Era, offset: Offset, sent: Moment) {
        self.note_era(era);
        if era < self.era() || write.record.era() != era {
            self.invalidate();
            return;
        }
        self.reclaim_until = None;
        let was_active = self.was_active();
        let released = write.record.released;
        let active_from = match self.held.take() {
            Some(held) if held.fence == write.record.fence => held.active_from,
            Some(_) | None if was_active => sent,
            Some(_) | None => sent.after(self.handover_delay + CLOCK_MARGIN),
        };
        let fence = if write.is_claim() {
            fence_of(era, offset)
        } else {
            write.record.fence
        };
        self.observed = Some(ObservedRecord {
            record: Some(write.record),
            end: offset.next(),
            since: sent,
        });
        if !released {
            self.held = Some(HeldLease {
                fence,
                until: sent.after(LEASE_DURATION),
                active_from,
                renewed_at: sent,
                end: offset.next(),
            });
        }
    }

    /// Notes that a write failed or its answer was lost.
    ///
    /// The record must be read before the next write.
    pub fn invalidate(&mut self) {
        // A held lease stays valid until it expires.
        self.stale = true;
    }

    /// Returns whether the record must be read before the next write.
    #[must_use]
    pub fn needs_read(&self) -> bool {
        self.stale || self.observed.is_none()
    }
}
