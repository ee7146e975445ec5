//! Applies one claims stream of the log to a deterministic state.
//!
//! Each key has at most one winning claim at any offset. A claim that lost or
//! was aborted is discarded: it never wins, even if it is appended again or late.
//!
//! A key is forgotten once it has had no record for
//! [`ClaimBounds::key_retention`]. A fold that starts after records expired does
//! not know which records of a key came before the first one it sees. Keys that
//! appear within that time after its start therefore have a partial history, and
//! no claim of them wins here. All folds that let a claim win have seen the
//! whole history of the key, so they agree on the winner.

mod verdict;

use std::{collections::VecDeque, sync::Arc};

use eelgrasshill_domain::{FastMap, Offset};

use super::{
    CallDigest, CallKey, CallOutcome, Claim, ClaimBatch, ClaimBounds, ClaimId, ClaimRecord,
};
use crate::{Delta, LogEntry, LogTime};

pub use verdict::{Verdict, WinnerState};

#[derive(Clone, Debug)]
struct Winner {
    id: ClaimId,
    request: CallDigest,
    at: LogTime,
    outcome: Option<Arc<CallOutcome>>,
}

/// The state of one key.
#[derive(Clone, Debug, Default)]
struct KeyEntry {
    winner: Option<Winner>,
    discarded: Vec<ClaimId>,
    last_record: LogTime,
    partial_history: bool,
}

impl KeyEntry {
    fn is_winner(&self, id: ClaimId) -> bool {
        self.winner.as_ref().is_some_and(|winner| winner.id == id)
    }

    fn has_seen(&self, id: ClaimId) -> bool {
        self.is_winner(id) || self.discarded.contains(&id)
    }
}

/// The claims of one stream, as one host has applied them.
#[derive(Clone, Debug)]
pub struct ClaimFold {
    bounds: ClaimBounds,
    last: Offset,
    now: LogTime,
    /// Keys whose first known record is not later than this have a partial history.
    partial_until: Option<LogTime>,
    entries: FastMap<CallKey, KeyEntry>,
    key_expiry: VecDeque<(LogTime, CallKey)>,
    answer_expiry: VecDeque<(LogTime, CallKey)>,
}

impl ClaimFold {
    /// Creates a fold without any records.
    #[must_use]
    pub fn new(bounds: ClaimBounds) -> Self {
        Self {
            bounds,
            last: Offset::default(),
            now: LogTime::default(),
            partial_until: None,
            entries: FastMap::default(),
            key_expiry: VecDeque::new(),
            answer_expiry: VecDeque::new(),
        }
    }

    /// Returns the offset from which to read the log.
    #[must_use]
    pub fn cursor(&self) -> Offset {
        self.last.next()
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies a page of the log.
    ///
    /// `first` is the first offset that the log still keeps, and `oldest` a time
    /// after which the log guarantees to keep every record. A fold that missed
    /// expired records starts again from the remaining ones. To read less of a
    /// long stream, a new fold may be given any later offset as `first`, with the
    /// time of the record before it as `oldest`.
    pub fn read(&mut self, first: Offset, oldest: LogTime, page: &Delta<ClaimBatch>) {
        if first > self.cursor() {
            self.restart(first, oldest, page);
        }
        if page.from > self.cursor() {
            return;
        }
        for log_entry in &page.records {
            self.apply(log_entry);
        }
    }

    /// Drops the state and continues at `first`, after records expired unread.
    fn restart(&mut self, first: Offset, oldest: LogTime, page: &Delta<ClaimBatch>) {
        if self.last > Offset::default() {
            log::warn!(
                "claims: expected records from offset {} on, but the log starts at {first}; those between expired unread",
                self.cursor()
            );
        }
        let missing_until = page
            .records
            .first()
            .map_or(oldest, |log_entry| oldest.min(log_entry.at));
        *self = Self::new(self.bounds.clone());
        self.last = Offset(first.0.saturating_sub(1));
        self.partial_until = Some(missing_until.after(self.bounds.key_retention));
    }

    /// Applies the log entry that follows the last one.
    pub fn apply(&mut self, log_entry: &LogEntry<ClaimBatch>) {
        if log_entry.offset <= self.last {
            return;
        }
        self.last = log_entry.offset;
        self.now = self.now.max(log_entry.at);
        self.expire();
        for record in &log_entry.record.records {
            match record {
                ClaimRecord::Claim(claim) => self.apply_claim(claim),
                ClaimRecord::Outcome { id, key, outcome } => self.apply_outcome(*id, *key, outcome),
                ClaimRecord::Abort { id, key } => self.apply_abort(*id, *key),
            }
        }
    }

    /// Returns the entry of a key to which a record is applied now.
    ///
    /// The retention of the key starts again, and an expired entry is replaced by
    /// a new one. Repeated records restart the retention as well, so that hosts that missed the first one forget the key at
    /// the same time as those that saw it.
    fn entry_for_record(&mut self, key: CallKey) -> &mut KeyEntry {
        let now = self.now;
        let partial_history = self.partial_until.is_some_and(|until| now <= until);
        if self.live_entry(key).is_none() {
            self.entries.remove(&key);
        }
        let key_expiry = &mut self.key_expiry;
        let entry = self.entries.entry(key).or_insert_with(|| {
            key_expiry.push_back((now, key));
            KeyEntry {
                partial_history,
                ..KeyEntry::default()
            }
        });
        entry.last_record = now;
        entry
    }

    /// Returns the entry of a key, unless it has expired.
    fn live_entry(&self, key: CallKey) -> Option<&KeyEntry> {
        self.entries
            .get(&key)
            .filter(|entry| entry.last_record.after(self.bounds.key_retention) >= self.now)
    }

    fn apply_claim(&mut self, claim: &Claim) {
        let now = self.now;
        let entry = self.entry_for_record(claim.key);
        if entry.has_seen(claim.id) {
            return;
        }
        if entry.winner.is_some() {
            entry.discarded.push(claim.id);
            return;
        }
        entry.winner = Some(Winner {
            id: claim.id,
            request: claim.request,
            at: now,
            outcome: None,
        });
    }

    fn apply_outcome(&mut self, id: ClaimId, key: CallKey, outcome: &CallOutcome) {
        let winner = self
            .entry_for_record(key)
            .winner
            .as_mut()
            .filter(|winner| winner.id == id && winner.outcome.is_none());
        let Some(winner) = winner else {
            return;
        };
        winner.outcome = Some(Arc::new(outcome.clone()));
        let at = winner.at;
        self.answer_expiry.push_back((at, key));
    }

    fn apply_abort(&mut self, id: ClaimId, key: CallKey) {
        let entry = self.entry_for_record(key);
        if entry.is_winner(id) {
            let is_running = entry.winner.as_ref().is_some_and(|w| w.outcome.is_none());
            if entry.partial_history || !is_running {
                return;
            }
            entry.winner = None;
        }
        if !entry.discarded.contains(&id) {
            entry.discarded.push(id);
        }
    }

    /// Drops answers and keys that are older than their retention.
    fn expire(&mut self) {
        while let Some((at, key)) = self.answer_expiry.front().copied()
            && at.after(self.bounds.answer_retention) < self.now
        {
            self.answer_expiry.pop_front();
            self.drop_answer(key);
        }
        while let Some((at, key)) = self.key_expiry.front().copied()
            && at.after(self.bounds.key_retention) < self.now
        {
            self.key_expiry.pop_front();
            let last_record = self.entries.get(&key).map(|entry| entry.last_record);
            match last_record {
                Some(last_record) if last_record.after(self.bounds.key_retention) >= self.now => {
                    self.key_expiry.push_back((last_record, key));
                }
                Some(_) | None => {
                    self.entries.remove(&key);
                }
            }
        }
    }

    fn drop_answer(&mut self, key: CallKey) {
        let retention = self.bounds.answer_retention;
        let now = self.now;
        let winner = self
            .entries
            .get_mut(&key)
            .and_then(|entry| entry.winner.as_mut())
            .filter(|winner| winner.at.after(retention) < now);
        if let Some(winner) = winner
            && winner.outcome.is_some()
        {
            // The expired answer is freed; only the fact that there was one still matters.
            winner.outcome = Some(Arc::new(CallOutcome::Unknown));
        }
    }
}
