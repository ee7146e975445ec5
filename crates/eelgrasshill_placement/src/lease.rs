//! Decides when a host claims, renews and stops using the lease of its zone.
//!
//! For the holder, the lease lasts for the TTL (by default 6 s) from just before it first sent the
//! claim or renewal. A successor waits for the TTL and a margin (by default 1 s) from when it read
//! that record, which is always later. The holder therefore stops first however slow the log is,
//! as long as the two clocks drift apart by less than the margin during a lease.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::{AppendId, HostName, Moment, Offset, rendezvous_order};

use crate::{ApplyOutcome, LeaseEntry, LeaseRecord, LeaseState};

/// Number of retry intervals for which a renewal that was not read back is kept.
///
/// An older one no longer extends the lease: by default this is 30 s, and the TTL is 6 s.
const RENEWAL_KEPT_INTERVALS: u32 = 30;

/// Time limits of the lease, equal for all candidates of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimings {
    /// How long a claim or renewal is valid, by the holder's clock.
    pub ttl: Duration,
    /// Time that a successor waits in addition to the lease.
    pub clock_margin: Duration,
    /// Time after a renewal at which the next one is due.
    pub renew_interval: Duration,
    /// Time that each candidate waits longer than the one ranked before it.
    pub claim_stagger: Duration,
    /// Time after which an append that was not read back is repeated.
    pub retry_interval: Duration,
}

impl Default for LeaseTimings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(6),
            clock_margin: Duration::from_secs(1),
            renew_interval: Duration::from_secs(2),
            claim_stagger: Duration::from_millis(500),
            retry_interval: Duration::from_secs(1),
        }
    }
}

/// A change of the lease that concerns this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// This host acquired the lease with this fencing token.
    Acquired(Offset),
    /// This host no longer holds the lease.
    Lost,
}

/// A claim or renewal that was not read back from the log yet.
#[derive(Clone, Debug)]
struct PendingAppend {
    first_sent: Moment,
    last_sent: Moment,
    record: LeaseRecord,
}

/// The lease of a zone, as one candidate knows it.
#[derive(Clone, Debug)]
pub struct Lease {
    host: HostName,
    timings: LeaseTimings,
    state: LeaseState,
    last_read_at: Option<Moment>,
    /// When this host last read a claim, renewal or release.
    ///
    /// If it has read none, this is when it first read the stream.
    last_activity: Moment,
    /// Claims and renewals that were not read back yet, by append id.
    pending: BTreeMap<String, PendingAppend>,
    /// The fencing token of the own term, if this host is the latest known holder.
    fence: Option<Offset>,
    /// The end of the own lease, by this host's clock.
    expires_at: Moment,
    is_draining: bool,
}

impl Lease {
    /// Creates a candidate that has not read the stream yet.
    #[must_use]
    pub fn new(host: HostName, timings: LeaseTimings) -> Self {
        Self {
            host,
            timings,
            state: LeaseState::default(),
            last_read_at: None,
            last_activity: Moment(0),
            pending: BTreeMap::new(),
            fence: None,
            expires_at: Moment(0),
            is_draining: false,
        }
    }

    /// Returns the state that results from the records read so far.
    #[must_use]
    pub fn state(&self) -> &LeaseState {
        &self.state
    }

    /// Returns the fencing token if this host is the latest known lease holder.
    #[must_use]
    pub fn fence(&self) -> Option<Offset> {
        self.fence.filter(|_fence| !self.is_draining)
    }

    /// Returns whether this host holds the lease and no successor can exist yet.
    #[must_use]
    pub fn is_valid(&self, now: Moment) -> bool {
        self.fence().is_some() && now < self.expires_at
    }

    /// Returns the time since the stream was last read.
    #[must_use]
    pub fn read_age(&self, now: Moment) -> Option<Duration> {
        self.last_read_at.map(|read_at| now.since(read_at))
    }

    /// Applies records and returns the change that concerns this host.
    pub fn apply_entries(&mut self, entries: &[LeaseEntry], now: Moment) -> Option<LeaseChange> {
        // A lease may exist that this host has not read, so its wait begins with the first read.
        self.last_read_at.get_or_insert_with(|| {
            self.last_activity = now;
            now
        });
        self.last_read_at = Some(now);
        let mut change = None;
        for entry in entries {
            let outcome = self.state.apply(entry);
            change = self.apply_entry(entry, outcome, now).or(change);
        }
        change
    }

    fn apply_entry(
        &mut self,
        entry: &LeaseEntry,
        outcome: ApplyOutcome,
        now: Moment,
    ) -> Option<LeaseChange> {
        let own_append = self.pending.remove(entry.id.as_str());
        match outcome {
            ApplyOutcome::Claimed => {
                self.last_activity = now;
                self.apply_claim(entry.offset, own_append)
            }
            ApplyOutcome::Renewed => {
                self.last_activity = now;
                if let Some(own_append) = own_append {
                    self.expires_at = self
                        .expires_at
                        .max(own_append.first_sent.after(self.timings.ttl));
                }
                None
            }
            ApplyOutcome::Released => {
                self.last_activity = now;
                self.end_term()
            }
            ApplyOutcome::Recorded | ApplyOutcome::Stale | ApplyOutcome::Repeated => None,
        }
    }

    fn apply_claim(
        &mut self,
        fence: Offset,
        own_append: Option<PendingAppend>,
    ) -> Option<LeaseChange> {
        let Some(own_append) = own_append else {
            return self.end_term();
        };
        self.pending.clear();
        self.fence = Some(fence);
        self.expires_at = own_append.first_sent.after(self.timings.ttl);
        Some(LeaseChange::Acquired(fence))
    }

    fn end_term(&mut self) -> Option<LeaseChange> {
        self.pending.clear();
        self.fence.take().map(|_fence| LeaseChange::Lost)
    }

    /// Ends the term at once, because an engine has seen a higher fencing token.
    pub fn step_down(&mut self) -> Option<LeaseChange> {
        self.end_term()
    }

    /// Stops claiming the lease and returns the record that releases it.
    pub fn drain(&mut self) -> Option<LeaseRecord> {
        let fence = self.fence();
        self.is_draining = true;
        fence.map(|fence| LeaseRecord::Release { fence })
    }

    /// Records the time at which an append is first sent.
    pub fn record_sent(&mut self, id: &AppendId, record: &LeaseRecord, now: Moment) {
        let pending = PendingAppend {
            first_sent: now,
            last_sent: now,
            record: record.clone(),
        };
        self.pending
            .entry(id.as_str().to_owned())
            .or_insert(pending);
    }

    /// Returns the claim or renewal that is due now, if any.
    #[must_use]
    pub fn due_record(&self, candidates: &[HostName], now: Moment) -> Option<LeaseRecord> {
        if self.is_draining || self.has_recent_append(now) {
            return None;
        }
        match self.fence {
            Some(fence) => self.renewal(fence, now),
            None => self.claim(candidates, now),
        }
    }

    fn has_recent_append(&self, now: Moment) -> bool {
        self.pending
            .values()
            .any(|pending| now.since(pending.first_sent) < self.timings.retry_interval)
    }

    fn renewal(&self, fence: Offset, now: Moment) -> Option<LeaseRecord> {
        let renewed_at = self.expires_at.0.saturating_sub(millis(self.timings.ttl));
        if now.since(Moment(renewed_at)) < self.timings.renew_interval {
            return None;
        }
        Some(LeaseRecord::Renew {
            host: self.host.clone(),
            fence,
        })
    }

    fn claim(&self, candidates: &[HostName], now: Moment) -> Option<LeaseRecord> {
        // A pending claim keeps its id until the stream shows whether it was accepted.
        let pending_claim = self
            .pending
            .values()
            .find_map(|pending| match &pending.record {
                LeaseRecord::Claim { after, .. } => Some(*after),
                _ => None,
            });
        if pending_claim.is_some_and(|after| after == self.state.last_change()) {
            return None;
        }
        self.last_read_at?;
        if now.since(self.last_activity) < self.claim_delay(candidates) {
            return None;
        }
        Some(LeaseRecord::Claim {
            host: self.host.clone(),
            after: self.state.last_change(),
        })
    }

    fn claim_delay(&self, candidates: &[HostName]) -> Duration {
        // All candidates use the same subject, so they compute the same order.
        let order = rendezvous_order(candidates.iter().map(HostName::as_str), "lease");
        let rank = order.iter().position(|host| *host == self.host.as_str());
        let rank = u32::try_from(rank.unwrap_or(order.len())).unwrap_or(u32::MAX);
        let rank_delay = self.timings.claim_stagger.saturating_mul(rank);
        let is_released = self.state.term().is_some_and(|term| term.released);
        if is_released {
            return rank_delay;
        }
        self.timings.ttl + self.timings.clock_margin + rank_delay
    }

    /// Removes obsolete appends and returns the overdue claims, to be appended again.
    ///
    /// A claim is obsolete after another lease change, and a renewal after 30 retry intervals.
    pub fn take_overdue_claims(&mut self, now: Moment) -> Vec<(String, LeaseRecord)> {
        let retry_interval = self.timings.retry_interval;
        let last_change = self.state.last_change();
        self.pending.retain(|_id, pending| match &pending.record {
            LeaseRecord::Claim { after, .. } => *after == last_change,
            _ => now.since(pending.first_sent) < retry_interval * RENEWAL_KEPT_INTERVALS,
        });
        let claims = self.pending.iter_mut().filter(|(_id, pending)| {
            matches!(pending.record, LeaseRecord::Claim { .. })
                && now.since(pending.last_sent) >= retry_interval
        });
        claims
            .map(|(id, pending)| {
                pending.last_sent = now;
                (id.clone(), pending.record.clone())
            })
            .collect()
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
