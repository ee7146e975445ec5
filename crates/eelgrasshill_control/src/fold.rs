//! The deterministic fold of the log's configuration stream.
//!
//! Every host that has folded up to an offset holds the same state and has
//! reached the same verdicts, whether it read all records or started from a checkpoint.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use derive_more::{Display, Error};
use eelgrasshill_domain::{
    AppendId, ConfigRecord, EditOutcome, FastMap, KeyGrant, KeyId, Offset, RowKey, Tables, Version,
    record,
};

use crate::{
    Checkpoint, ConfigEntry, Delta, Judged, LogTime, Saved, StateDigest, Stored, TAKEOVER,
    checkpoint::{MAX_UNSAVED, oldest_needed},
    judge::State,
};

/// Most verdicts that are remembered, a number that all hosts share.
pub const MAX_RECENT: usize = 1024;

/// Most records that are kept for peers that are a little behind.
const MAX_TAIL: usize = 256;

/// Records that a host has not seen and the log no longer keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("records from offset {expected} on are needed, but the log starts at {first}")]
pub struct Gap {
    /// The offset of the next record that the fold needs.
    pub expected: Offset,
    /// The first offset that is still to be had.
    pub first: Offset,
}

/// What became of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The record was judged now.
    Judged(EditOutcome),
    /// The append was judged before; its first verdict stands.
    Repeated(EditOutcome),
    /// The offset was folded in before.
    Old,
    /// The record is a checkpoint and changes nothing here.
    Saved,
    /// Records before this one are missing, so it was not folded in.
    Blocked(Gap),
}

record! {
    /// What a peer at some offset needs to catch up.
    pub enum CatchUp {
        /// The records that follow.
        Delta(Delta<ConfigEntry>),
        /// The whole state, as the records are no longer kept.
        Checkpoint(Box<Checkpoint>),
    }
}

/// The configuration as one host knows it.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    last: Offset,
    state: State,
    recent: VecDeque<Judged>,
    verdicts: FastMap<AppendId, EditOutcome>,
    saved: Option<Saved>,
    tail: VecDeque<Stored<ConfigEntry>>,
    tail_from: Offset,
    gap: Option<Gap>,
    scan: Offset,
}

impl ConfigFold {
    /// Makes a fold that has seen no record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the last folded record.
    #[must_use]
    pub fn last(&self) -> Offset {
        self.last
    }

    /// Returns the offset from which to read the log.
    ///
    /// In a gap this runs ahead of the folded state, in search of a checkpoint.
    #[must_use]
    pub fn cursor(&self) -> Offset {
        self.gap
            .map_or(self.last.next(), |gap| self.scan.max(gap.first))
    }

    /// Returns the missing records, if there are any.
    #[must_use]
    pub fn gap(&self) -> Option<Gap> {
        self.gap
    }

    /// Returns the rows in force.
    #[must_use]
    pub fn tables(&self) -> &Tables {
        &self.state.tables
    }

    /// Returns the keys that work.
    #[must_use]
    pub fn keys(&self) -> &BTreeMap<KeyId, KeyGrant> {
        &self.state.keys
    }

    /// Returns whether a key was withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, id: &KeyId) -> bool {
        self.state.withdrawn.contains(id)
    }

    /// Returns the withdrawn keys, in order.
    pub fn withdrawn(&self) -> impl Iterator<Item = &KeyId> {
        self.state.withdrawn.iter()
    }

    /// Returns a row's version, zero for one that never was.
    #[must_use]
    pub fn version(&self, key: &RowKey) -> Version {
        self.state.versions.get(key).copied().unwrap_or_default()
    }

    /// Returns the verdict on a recent append.
    #[must_use]
    pub fn outcome(&self, id: &AppendId) -> Option<&EditOutcome> {
        self.verdicts.get(id)
    }

    /// Folds in a page of the log, whose first kept offset is `first`.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] while records are missing and no checkpoint covers them.
    pub fn read(
        &mut self,
        first: Offset,
        page: &Delta<ConfigEntry>,
    ) -> Result<Vec<(AppendId, Applied)>, Gap> {
        self.observe(first);
        let Some(gap) = self.gap else {
            return self.extend(page);
        };
        let covering = page
            .records
            .iter()
            .rev()
            .find_map(|stored| match &stored.record {
                ConfigEntry::Checkpoint(c) if c.through.next() >= gap.first => Some(c),
                ConfigEntry::Checkpoint(_) | ConfigEntry::Record(_) | ConfigEntry::Mark(_) => None,
            });
        if let Some(checkpoint) = covering {
            self.adopt(checkpoint);
            return Ok(Vec::new());
        }
        self.scan = self.scan.max(page.to.next());
        Err(gap)
    }

    /// Folds in consecutive records of the log or of a peer.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] when records before the delta are missing.
    pub fn extend(&mut self, delta: &Delta<ConfigEntry>) -> Result<Vec<(AppendId, Applied)>, Gap> {
        if delta.from > self.last.next() {
            return Err(Gap {
                expected: self.last.next(),
                first: delta.from,
            });
        }
        let applied = delta
            .records
            .iter()
            .map(|stored| (stored.id.clone(), self.apply(stored)))
            .collect();
        Ok(applied)
    }

    /// Notes the first offset that the log keeps.
    pub fn observe(&mut self, first: Offset) {
        let expected = self.last.next();
        if first <= expected {
            self.gap = None;
            return;
        }
        if self.gap.is_none() {
            self.scan = first;
            log::warn!("config: offsets {expected} to {first} expired unread");
        }
        self.gap = Some(Gap { expected, first });
    }

    /// Folds in the record that follows the last one.
    ///
    /// The caller vouches that no record lies between them.
    pub fn apply(&mut self, stored: &Stored<ConfigEntry>) -> Applied {
        if stored.offset <= self.last {
            return Applied::Old;
        }
        if let Some(gap) = self.gap {
            return Applied::Blocked(gap);
        }
        self.last = stored.offset;
        self.keep_tail(stored);
        match &stored.record {
            ConfigEntry::Record(ConfigRecord::Snapshot { .. }) => Applied::Saved,
            ConfigEntry::Record(record) => self.judge(stored, record),
            ConfigEntry::Checkpoint(checkpoint) => {
                self.note_saved(checkpoint.through, stored.at);
                Applied::Saved
            }
            ConfigEntry::Mark(mark) => {
                self.note_saved(mark.through, stored.at);
                Applied::Saved
            }
        }
    }

    fn judge(&mut self, stored: &Stored<ConfigEntry>, record: &ConfigRecord) -> Applied {
        if let Some(outcome) = self.verdicts.get(&stored.id) {
            return Applied::Repeated(outcome.clone());
        }
        let outcome = self.state.judge(stored.offset, record);
        self.remember(Judged {
            id: stored.id.clone(),
            offset: stored.offset,
            at: stored.at,
            outcome: outcome.clone(),
        });
        Applied::Judged(outcome)
    }

    fn remember(&mut self, judged: Judged) {
        self.verdicts
            .insert(judged.id.clone(), judged.outcome.clone());
        self.recent.push_back(judged);
        if self.recent.len() > MAX_RECENT
            && let Some(oldest) = self.recent.pop_front()
        {
            self.verdicts.remove(&oldest.id);
        }
    }

    fn note_saved(&mut self, through: Offset, at: LogTime) {
        if self.saved.as_ref().is_none_or(|s| s.through <= through) {
            self.saved = Some(Saved { through, at });
        }
    }

    fn keep_tail(&mut self, stored: &Stored<ConfigEntry>) {
        self.tail.push_back(stored.without_state());
        if self.tail.len() > MAX_TAIL
            && let Some(oldest) = self.tail.pop_front()
        {
            self.tail_from = oldest.offset;
        }
    }

    /// Returns the whole state, for the log and for peers.
    #[must_use]
    pub fn checkpoint(&self) -> Checkpoint {
        Checkpoint {
            through: self.last,
            tables: self.state.tables.clone(),
            versions: self
                .state
                .versions
                .iter()
                .map(|(key, version)| (key.clone(), *version))
                .collect(),
            keys: self.state.keys.clone(),
            withdrawn: self.state.withdrawn.iter().cloned().collect(),
            recent: self.recent.iter().cloned().collect(),
            saved: self.saved.clone(),
        }
    }

    /// Returns the state without append ids, as the domain's own record.
    #[must_use]
    pub fn snapshot(&self) -> ConfigRecord {
        self.checkpoint().into()
    }

    /// Returns the digest of the state, equal on all hosts at this offset.
    #[must_use]
    pub fn digest(&self) -> StateDigest {
        self.checkpoint().digest()
    }

    /// Takes over a peer's state when it is newer; returns whether it was.
    pub fn adopt(&mut self, checkpoint: &Checkpoint) -> bool {
        if checkpoint.through <= self.last {
            return false;
        }
        self.replace(checkpoint);
        true
    }

    /// Replaces a state whose digest differs from that of most peers at its offset.
    ///
    /// Returns false, and changes nothing, when the checkpoint is older.
    pub fn repair(&mut self, checkpoint: &Checkpoint) -> bool {
        if checkpoint.through < self.last {
            return false;
        }
        self.replace(checkpoint);
        true
    }

    fn replace(&mut self, checkpoint: &Checkpoint) {
        self.last = checkpoint.through;
        self.state = State {
            tables: checkpoint.tables.clone(),
            versions: checkpoint.versions.iter().cloned().collect(),
            keys: checkpoint.keys.clone(),
            withdrawn: checkpoint.withdrawn.iter().cloned().collect(),
        };
        self.recent = checkpoint.recent.iter().cloned().collect();
        self.verdicts = checkpoint
            .recent
            .iter()
            .map(|judged| (judged.id.clone(), judged.outcome.clone()))
            .collect();
        self.saved.clone_from(&checkpoint.saved);
        self.tail.clear();
        self.tail_from = self.last;
        self.gap = self
            .gap
            .filter(|gap| gap.first > self.last.next())
            .map(|gap| Gap {
                expected: self.last.next(),
                ..gap
            });
    }

    /// Returns what a peer that has folded up to `offset` needs.
    #[must_use]
    pub fn since(&self, offset: Offset) -> CatchUp {
        if offset < self.tail_from {
            return CatchUp::Checkpoint(Box::new(self.checkpoint()));
        }
        let records = self
            .tail
            .iter()
            .filter(|stored| stored.offset > offset)
            .cloned()
            .collect();
        CatchUp::Delta(Delta::new(offset.next(), records))
    }

    /// Takes in what a peer sent; returns what each new record became.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] when the peer's records start too late.
    pub fn catch_up(&mut self, sent: &CatchUp) -> Result<Vec<(AppendId, Applied)>, Gap> {
        match sent {
            CatchUp::Delta(delta) => self.extend(delta),
            CatchUp::Checkpoint(checkpoint) => {
                self.adopt(checkpoint);
                Ok(Vec::new())
            }
        }
    }

    /// Returns whether the host of this rank should save a checkpoint now.
    ///
    /// The first rank saves when half of the log's retention has passed. Each
    /// later rank waits [`TAKEOVER`] longer for those before it.
    #[must_use]
    pub fn is_checkpoint_due(&self, now: LogTime, rank: usize, retention: Duration) -> bool {
        if self.gap.is_some() {
            return false;
        }
        let Some(oldest) = oldest_needed(self.saved.as_ref(), self.recent.iter()) else {
            return false;
        };
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let wait = TAKEOVER.saturating_mul(rank);
        if now >= oldest.after(retention / 2).after(wait) {
            return true;
        }
        self.crowded_at().is_some_and(|at| now >= at.after(wait))
    }

    /// Returns when the records after the newest checkpoint became too many.
    fn crowded_at(&self) -> Option<LogTime> {
        let through = self.saved.as_ref().map_or(Offset::default(), |s| s.through);
        let start = self.recent.partition_point(|j| j.offset <= through);
        self.recent.get(start + MAX_UNSAVED).map(|j| j.at)
    }
}
