//! One host's part in the lease of its zone: when to claim, when to renew, when to stop.
//!
//! The holder counts its time from before it sent an append; a successor counts lease and
//! margin from when it read the last renewal. An append lands between the two, so the holder
//! stops first whatever the log's delay, as long as clock rates differ by less than the margin.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::{AppendId, HostName, Moment, Offset, rendezvous_order};

use crate::{Entry, LeaseFold, LeaseRecord, Verdict};

/// Spans of time that all candidates of a zone share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSpans {
    /// How long a renewal lasts on the holder's clock.
    pub lease: Duration,
    /// What a successor waits beyond the lease.
    pub margin: Duration,
    /// How often the holder renews.
    pub renew: Duration,
    /// What each further candidate waits beyond the one before it.
    pub stagger: Duration,
    /// How long after an append without an answer it is made again.
    pub retry: Duration,
}

impl Default for LeaseSpans {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            margin: Duration::from_secs(1),
            renew: Duration::from_secs(2),
            stagger: Duration::from_millis(500),
            retry: Duration::from_secs(1),
        }
    }
}

/// What reading the stream changed for this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// This host became the holder with this fencing number.
    Became(Offset),
    /// This host is no longer the holder.
    Lost,
}

#[derive(Clone, Debug)]
struct Sent {
    at: Moment,
    tried: Moment,
    record: LeaseRecord,
}

/// One host's view of its zone's lease.
#[derive(Clone, Debug)]
pub struct Lease {
    host: HostName,
    spans: LeaseSpans,
    fold: LeaseFold,
    read: Option<Moment>,
    heard: Moment,
    sent: BTreeMap<String, Sent>,
    fence: Option<Offset>,
    expiry: Moment,
    drained: bool,
}

impl Lease {
    /// Makes a candidate that has read nothing yet.
    #[must_use]
    pub fn new(host: HostName, spans: LeaseSpans) -> Self {
        Self {
            host,
            spans,
            fold: LeaseFold::default(),
            read: None,
            heard: Moment(0),
            sent: BTreeMap::new(),
            fence: None,
            expiry: Moment(0),
            drained: false,
        }
    }

    /// Returns the fold of the stream.
    #[must_use]
    pub fn fold(&self) -> &LeaseFold {
        &self.fold
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
        self.read.map(|read| now.since(read))
    }

    /// Takes in records and says what they changed.
    pub fn read(&mut self, entries: &[Entry], now: Moment) -> Option<Change> {
        self.read.get_or_insert_with(|| {
            self.heard = now;
            now
        });
        self.read = Some(now);
        let mut change = None;
        for entry in entries {
            let verdict = self.fold.apply(entry);
            change = self.take(entry, verdict, now).or(change);
        }
        change
    }

    fn take(&mut self, entry: &Entry, verdict: Verdict, now: Moment) -> Option<Change> {
        let own = self.sent.remove(entry.id.as_str());
        match verdict {
            Verdict::Claimed => {
                self.heard = now;
                self.claimed(entry.offset, own)
            }
            Verdict::Renewed => {
                self.heard = now;
                if let Some(own) = own {
                    self.expiry = self.expiry.max(own.at.after(self.spans.lease));
                }
                None
            }
            Verdict::Released => {
                self.heard = now;
                self.lose()
            }
            Verdict::Noted | Verdict::Stale | Verdict::Repeated => None,
        }
    }

    fn claimed(&mut self, fence: Offset, own: Option<Sent>) -> Option<Change> {
        let Some(own) = own else {
            return self.lose();
        };
        self.sent.clear();
        self.fence = Some(fence);
        self.expiry = own.at.after(self.spans.lease);
        Some(Change::Became(fence))
    }

    fn lose(&mut self) -> Option<Change> {
        self.sent.clear();
        self.fence.take().map(|_fence| Change::Lost)
    }

    /// Stops at once, because an engine showed a higher fencing number.
    pub fn step_down(&mut self) -> Option<Change> {
        self.lose()
    }

    /// Gives the lease up, and claims it no more.
    pub fn drain(&mut self) -> Option<LeaseRecord> {
        let fence = self.fence();
        self.drained = true;
        fence.map(|fence| LeaseRecord::Release { fence })
    }

    /// Notes that an append leaves now, for counting its time.
    pub fn note_sent(&mut self, id: &AppendId, record: &LeaseRecord, now: Moment) {
        let sent = Sent {
            at: now,
            tried: now,
            record: record.clone(),
        };
        self.sent.entry(id.as_str().to_owned()).or_insert(sent);
    }

    /// Returns the claim or renewal that is due.
    #[must_use]
    pub fn due(&self, candidates: &[HostName], now: Moment) -> Option<LeaseRecord> {
        if self.drained || self.is_waiting(now) {
            return None;
        }
        match self.fence {
            Some(fence) => self.renewal(fence, now),
            None => self.claim(candidates, now),
        }
    }

    fn is_waiting(&self, now: Moment) -> bool {
        self.sent
            .values()
            .any(|sent| now.since(sent.at) < self.spans.retry)
    }

    fn renewal(&self, fence: Offset, now: Moment) -> Option<LeaseRecord> {
        let from = self.expiry.0.saturating_sub(millis(self.spans.lease));
        if now.since(Moment(from)) < self.spans.renew {
            return None;
        }
        Some(LeaseRecord::Renew {
            host: self.host.clone(),
            fence,
        })
    }

    fn claim(&self, candidates: &[HostName], now: Moment) -> Option<LeaseRecord> {
        // A claim in flight keeps its id until the stream shows what became of it.
        let open = self.sent.values().find_map(|sent| match &sent.record {
            LeaseRecord::Claim { after, .. } => Some(*after),
            _ => None,
        });
        if open.is_some_and(|after| after == self.fold.last()) {
            return None;
        }
        self.read?;
        if now.since(self.heard) < self.patience(candidates) {
            return None;
        }
        Some(LeaseRecord::Claim {
            host: self.host.clone(),
            after: self.fold.last(),
        })
    }

    fn patience(&self, candidates: &[HostName]) -> Duration {
        let order = rendezvous_order(candidates.iter().map(HostName::as_str), "lease");
        let rank = order.iter().position(|host| *host == self.host.as_str());
        let rank = u32::try_from(rank.unwrap_or(order.len())).unwrap_or(u32::MAX);
        let turn = self.spans.stagger.saturating_mul(rank);
        let free = self.fold.term().is_some_and(|term| term.released);
        if free {
            return turn;
        }
        self.spans.lease + self.spans.margin + turn
    }

    /// Returns the claims whose answer is overdue and which must be appended again.
    pub fn overdue(&mut self, now: Moment) -> Vec<(String, LeaseRecord)> {
        let retry = self.spans.retry;
        let last = self.fold.last();
        self.sent.retain(|_id, sent| match &sent.record {
            LeaseRecord::Claim { after, .. } => *after == last,
            _ => now.since(sent.at) < retry * 30,
        });
        let claims = self.sent.iter_mut().filter(|(_id, sent)| {
            matches!(sent.record, LeaseRecord::Claim { .. }) && now.since(sent.tried) >= retry
        });
        claims
            .map(|(id, sent)| {
                sent.tried = now;
                (id.clone(), sent.record.clone())
            })
            .collect()
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
