//! One host's part in the lease of its zone: when to claim, when to renew, when to stop.
//!
//! The holder counts its time from before it sent an append; a successor counts lease and
//! margin from when it read the last renewal. An append lands between the two, so the holder
//! stops first whatever the log's delay, as long as clock rates differ by less than the margin.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::{AppendId, HostName, Moment, Offset, rendezvous_order};

use crate::{ApplyOutcome, LeaseEntry, LeaseRecord, LeaseState};

/// Spans of time that all candidates of a zone share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimings {
    /// How long a renewal lasts on the holder's clock.
    pub ttl: Duration,
    /// What a successor waits beyond the lease.
    pub clock_margin: Duration,
    /// How often the holder renews.
    pub renew_interval: Duration,
    /// What each further candidate waits beyond the one before it.
    pub claim_stagger: Duration,
    /// How long after an append without an answer it is made again.
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

/// What reading the stream changed for this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// This host became the holder with this fencing number.
    Acquired(Offset),
    /// This host is no longer the holder.
    Lost,
}

#[derive(Clone, Debug)]
struct PendingAppend {
    first_sent: Moment,
    last_sent: Moment,
    record: LeaseRecord,
}

/// One host's view of its zone's lease.
#[derive(Clone, Debug)]
pub struct Lease {
    host: HostName,
    timings: LeaseTimings,
    state: LeaseState,
    last_read: Option<Moment>,
    last_activity: Moment,
    pending: BTreeMap<String, PendingAppend>,
    fence: Option<Offset>,
    expiry: Moment,
    drained: bool,
}

impl Lease {
    /// Makes a candidate that has read nothing yet.
    #[must_use]
    pub fn new(host: HostName, timings: LeaseTimings) -> Self {
        Self {
            host,
            timings,
            state: LeaseState::default(),
            last_read: None,
            last_activity: Moment(0),
            pending: BTreeMap::new(),
            fence: None,
            expiry: Moment(0),
            drained: false,
        }
    }

    /// Returns the fold of the stream.
    #[must_use]
    pub fn state(&self) -> &LeaseState {
        &self.state
    }

    /// Returns the fencing number while this host is the last holder that it knows of.
    #[must_use]
    pub fn fence(&self) -> Option<Offset> {
        self.fence.filter(|_fence| !self.drained)
    }

    /// Returns whether no successor can exist yet.
    #[must_use]
    pub fn is_valid(&self, now: Moment) -> bool {
        self.fence().is_some() && now < self.expiry
    }

    /// Returns how long ago the stream was last read.
    #[must_use]
    pub fn read_age(&self, now: Moment) -> Option<Duration> {
        self.last_read.map(|last_read| now.since(last_read))
    }

    /// Takes in records and says what they changed.
    pub fn apply_entries(&mut self, entries: &[LeaseEntry], now: Moment) -> Option<LeaseChange> {
        self.last_read.get_or_insert_with(|| {
            self.last_activity = now;
            now
        });
        self.last_read = Some(now);
        let mut change = None;
        for entry in entries {
            let verdict = self.state.apply(entry);
            change = self.apply_entry(entry, verdict, now).or(change);
        }
        change
    }

    fn apply_entry(
        &mut self,
        entry: &LeaseEntry,
        verdict: ApplyOutcome,
        now: Moment,
    ) -> Option<LeaseChange> {
        let own_append = self.pending.remove(entry.id.as_str());
        match verdict {
            ApplyOutcome::Claimed => {
                self.last_activity = now;
                self.apply_claim(entry.offset, own_append)
            }
            ApplyOutcome::Renewed => {
                self.last_activity = now;
                if let Some(own_append) = own_append {
                    self.expiry = self
                        .expiry
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
        self.expiry = own_append.first_sent.after(self.timings.ttl);
        Some(LeaseChange::Acquired(fence))
    }

    fn end_term(&mut self) -> Option<LeaseChange> {
        self.pending.clear();
        self.fence.take().map(|_fence| LeaseChange::Lost)
    }

    /// Stops at once, because an engine showed a higher fencing number.
    pub fn step_down(&mut self) -> Option<LeaseChange> {
        self.end_term()
    }

    /// Gives the lease up, and claims it no more.
    pub fn drain(&mut self) -> Option<LeaseRecord> {
        let fence = self.fence();
        self.drained = true;
        fence.map(|fence| LeaseRecord::Release { fence })
    }

    /// Notes that an append leaves now, for counting its time.
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

    /// Returns the claim or renewal that is due.
    #[must_use]
    pub fn due_record(&self, candidates: &[HostName], now: Moment) -> Option<LeaseRecord> {
        if self.drained || self.has_recent_append(now) {
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
        let from = self.expiry.0.saturating_sub(millis(self.timings.ttl));
        if now.since(Moment(from)) < self.timings.renew_interval {
            return None;
        }
        Some(LeaseRecord::Renew {
            host: self.host.clone(),
            fence,
        })
    }

    fn claim(&self, candidates: &[HostName], now: Moment) -> Option<LeaseRecord> {
        // A claim in flight keeps its id until the stream shows what became of it.
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
        self.last_read?;
        if now.since(self.last_activity) < self.claim_delay(candidates) {
            return None;
        }
        Some(LeaseRecord::Claim {
            host: self.host.clone(),
            after: self.state.last_change(),
        })
    }

    fn claim_delay(&self, candidates: &[HostName]) -> Duration {
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

    /// Returns the claims whose answer is overdue and which must be appended again.
    pub fn take_overdue_claims(&mut self, now: Moment) -> Vec<(String, LeaseRecord)> {
        let retry_interval = self.timings.retry_interval;
        let last_change = self.state.last_change();
        self.pending.retain(|_id, pending| match &pending.record {
            LeaseRecord::Claim { after, .. } => *after == last_change,
            _ => now.since(pending.first_sent) < retry_interval * 30,
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
