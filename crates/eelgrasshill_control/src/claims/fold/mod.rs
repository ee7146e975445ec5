//! The deterministic fold of one claims stream.
//!
//! For each key at most one claim holds at any offset. A claim that lost or was
//! aborted is spent: when it lands again or late, it never wins.
//!
//! A key is remembered until no record of it came for the time `keep`.
//! A fold that started after records expired cannot know what came before the
//! first record that it saw of a key. Within `keep` of its start such a key is
//! unsure: no claim of it wins here. So all folds that let a claim win have seen
//! the key from its beginning, and they agree on the winner.

mod verdict;

use std::{collections::VecDeque, sync::Arc};

use eelgrasshill_domain::{FastMap, Offset};

use super::{
    CallDigest, CallKey, CallOutcome, Claim, ClaimBatch, ClaimBounds, ClaimId, ClaimRecord,
};
use crate::{Delta, LogTime, Stored};

pub use verdict::{Held, Verdict};

#[derive(Clone, Debug)]
struct Winner {
    id: ClaimId,
    request: CallDigest,
    at: LogTime,
    outcome: Option<Arc<CallOutcome>>,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    winner: Option<Winner>,
    spent: Vec<ClaimId>,
    touched: LogTime,
    unsure: bool,
}

impl Entry {
    fn holds(&self, id: ClaimId) -> bool {
        self.winner.as_ref().is_some_and(|winner| winner.id == id)
    }

    fn knows(&self, id: ClaimId) -> bool {
        self.holds(id) || self.spent.contains(&id)
    }
}

/// The claims of one stream as one host knows them.
#[derive(Clone, Debug)]
pub struct ClaimFold {
    bounds: ClaimBounds,
    last: Offset,
    now: LogTime,
    /// Keys whose first record is not later than this are unsure.
    sure_after: Option<LogTime>,
    entries: FastMap<CallKey, Entry>,
    order: VecDeque<(LogTime, CallKey)>,
    answers: VecDeque<(LogTime, CallKey)>,
}

impl ClaimFold {
    /// Makes a fold that has seen no record.
    #[must_use]
    pub fn new(bounds: ClaimBounds) -> Self {
        Self {
            bounds,
            last: Offset::default(),
            now: LogTime::default(),
            sure_after: None,
            entries: FastMap::default(),
            order: VecDeque::new(),
            answers: VecDeque::new(),
        }
    }

    /// Returns the offset from which to read the log.
    #[must_use]
    pub fn cursor(&self) -> Offset {
        self.last.next()
    }

    /// Returns the number of keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Folds in a page of the log, whose first kept offset is `first`.
    ///
    /// `oldest` is a time after which the log promises to keep every record. A
    /// fold that missed expired records starts anew from what is left. To read
    /// less of a long stream, a new fold may take any later offset for `first`,
    /// with the time of the record before it as `oldest`.
    pub fn read(&mut self, first: Offset, oldest: LogTime, page: &Delta<ClaimBatch>) {
        if first > self.cursor() {
            self.restart(first, oldest, page);
        }
        if page.from > self.cursor() {
            return;
        }
        for stored in &page.records {
            self.apply(stored);
        }
    }

    fn restart(&mut self, first: Offset, oldest: LogTime, page: &Delta<ClaimBatch>) {
        if self.last > Offset::default() {
            log::warn!(
                "claims: offsets {} to {first} expired unread",
                self.cursor()
            );
        }
        let missing = page
            .records
            .first()
            .map_or(oldest, |stored| oldest.min(stored.at));
        *self = Self::new(self.bounds.clone());
        self.last = Offset(first.0.saturating_sub(1));
        self.sure_after = Some(missing.after(self.bounds.keep));
    }

    /// Folds in the record that follows the last one.
    pub fn apply(&mut self, stored: &Stored<ClaimBatch>) {
        if stored.offset <= self.last {
            return;
        }
        self.last = stored.offset;
        self.now = self.now.max(stored.at);
        self.forget();
        for record in &stored.record.records {
            match record {
                ClaimRecord::Claim(claim) => self.claim(claim),
                ClaimRecord::Outcome { id, key, outcome } => self.settle(*id, *key, outcome),
                ClaimRecord::Abort { id, key } => self.abort(*id, *key),
            }
        }
    }

    /// Returns a key's entry, a new one when the key was quiet for long enough.
    ///
    /// Every record counts, also a repeated one: hosts that missed the first
    /// must come to the same end of the entry as those that saw it.
    fn touch(&mut self, key: CallKey) -> &mut Entry {
        let now = self.now;
        let unsure = self.sure_after.is_some_and(|bound| now <= bound);
        if self.live(key).is_none() {
            self.entries.remove(&key);
        }
        let order = &mut self.order;
        let entry = self.entries.entry(key).or_insert_with(|| {
            order.push_back((now, key));
            Entry {
                unsure,
                ..Entry::default()
            }
        });
        entry.touched = now;
        entry
    }

    fn live(&self, key: CallKey) -> Option<&Entry> {
        self.entries
            .get(&key)
            .filter(|entry| entry.touched.after(self.bounds.keep) >= self.now)
    }

    fn claim(&mut self, claim: &Claim) {
        let now = self.now;
        let entry = self.touch(claim.key);
        if entry.knows(claim.id) {
            return;
        }
        if entry.winner.is_some() {
            entry.spent.push(claim.id);
            return;
        }
        entry.winner = Some(Winner {
            id: claim.id,
            request: claim.request,
            at: now,
            outcome: None,
        });
    }

    fn settle(&mut self, id: ClaimId, key: CallKey, outcome: &CallOutcome) {
        let winner = self
            .touch(key)
            .winner
            .as_mut()
            .filter(|winner| winner.id == id && winner.outcome.is_none());
        let Some(winner) = winner else {
            return;
        };
        winner.outcome = Some(Arc::new(outcome.clone()));
        let at = winner.at;
        self.answers.push_back((at, key));
    }

    fn abort(&mut self, id: ClaimId, key: CallKey) {
        let entry = self.touch(key);
        if entry.holds(id) {
            let is_running = entry.winner.as_ref().is_some_and(|w| w.outcome.is_none());
            if entry.unsure || !is_running {
                return;
            }
            entry.winner = None;
        }
        if !entry.spent.contains(&id) {
            entry.spent.push(id);
        }
    }

    /// Drops answers older than the window and keys older than the log time kept.
    fn forget(&mut self) {
        while let Some((at, key)) = self.answers.front().copied()
            && at.after(self.bounds.window) < self.now
        {
            self.answers.pop_front();
            self.drop_answer(key);
        }
        while let Some((at, key)) = self.order.front().copied()
            && at.after(self.bounds.keep) < self.now
        {
            self.order.pop_front();
            let touched = self.entries.get(&key).map(|entry| entry.touched);
            match touched {
                Some(touched) if touched.after(self.bounds.keep) >= self.now => {
                    self.order.push_back((touched, key));
                }
                Some(_) | None => {
                    self.entries.remove(&key);
                }
            }
        }
    }

    fn drop_answer(&mut self, key: CallKey) {
        let window = self.bounds.window;
        let now = self.now;
        let winner = self
            .entries
            .get_mut(&key)
            .and_then(|entry| entry.winner.as_mut())
            .filter(|winner| winner.at.after(window) < now);
        if let Some(winner) = winner
            && winner.outcome.is_some()
        {
            // What the answer was no longer matters, only that there was one.
            winner.outcome = Some(Arc::new(CallOutcome::Unknown));
        }
    }
}
