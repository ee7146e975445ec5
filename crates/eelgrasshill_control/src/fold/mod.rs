//! Applies the configuration stream of the log to a deterministic state.
//!
//! All hosts that have applied the records up to an offset have the same state
//! and reached the same verdicts, whether they read every record or started from
//! a checkpoint. Missing records therefore stop the fold until a checkpoint or a
//! peer fills the gap.

mod checkpoint_due;
mod exchange;

use std::collections::{BTreeMap, VecDeque};

use derive_more::{Display, Error};
use eelgrasshill_domain::{
    AppendId, ConfigRecord, EditOutcome, FastMap, KeyGrant, KeyId, Offset, RowKey, Tables, Version,
    record,
};

use crate::{
    Checkpoint, ConfigEntry, Delta, JudgedAppend, LogEntry, LogTime, SavedCheckpoint,
    config_state::ConfigState,
};

/// The number of verdicts that are remembered.
///
/// It is part of the state, so it must be the same on all hosts.
pub const MAX_RECENT_VERDICTS: usize = 1024;

/// The number of records that are kept to send deltas to peers.
const MAX_TAIL_RECORDS: usize = 256;

/// Records that the fold needs but that are no longer available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("records from offset {expected} on are needed, but the log starts at {first}")]
pub struct Gap {
    /// The offset of the next record that the fold needs.
    pub expected: Offset,
    /// The first offset that is still available.
    pub first: Offset,
}

/// The outcome of applying one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The record got its verdict now.
    Judged(EditOutcome),
    /// The append is a repeat; its first verdict stays valid.
    Repeated(EditOutcome),
    /// The offset had been applied before.
    Old,
    /// The record is a checkpoint, which changes no rows or keys.
    Checkpoint,
    /// Records before this one are missing, so it was not applied.
    Blocked(Gap),
}

record! {
    /// The data that brings a peer up to date.
    pub enum CatchUp {
        /// The records after the peer's offset.
        Delta(Delta<ConfigEntry>),
        /// The complete state, sent if the records are no longer kept.
        Checkpoint(Box<Checkpoint>),
    }
}

/// The configuration state of one host.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    last: Offset,
    state: ConfigState,
    recent_appends: VecDeque<JudgedAppend>,
    verdicts: FastMap<AppendId, EditOutcome>,
    last_checkpoint: Option<SavedCheckpoint>,
    /// The last applied entries, kept to send deltas to peers.
    tail: VecDeque<LogEntry<ConfigEntry>>,
    /// The offset after which `tail` has every entry.
    tail_start: Offset,
    gap: Option<Gap>,
    /// The offset from which a checkpoint is searched for while there is a gap.
    scan_offset: Offset,
}

impl ConfigFold {
    /// Creates a fold without any records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the last applied record.
    #[must_use]
    pub fn last(&self) -> Offset {
        self.last
    }

    /// Returns the offset from which to read the log.
    ///
    /// While there is a gap, this is the offset from which to search for a checkpoint.
    #[must_use]
    pub fn cursor(&self) -> Offset {
        self.gap
            .map_or(self.last.next(), |gap| self.scan_offset.max(gap.first))
    }

    /// Returns the gap that stops the fold, if there is one.
    #[must_use]
    pub fn gap(&self) -> Option<Gap> {
        self.gap
    }

    /// Returns the rows in force.
    #[must_use]
    pub fn tables(&self) -> &Tables {
        &self.state.tables
    }

    /// Returns the keys in force.
    #[must_use]
    pub fn keys(&self) -> &BTreeMap<KeyId, KeyGrant> {
        &self.state.keys
    }

    /// Returns whether a key was withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, id: &KeyId) -> bool {
        self.state.withdrawn.contains(id)
    }

    /// Returns the withdrawn keys, sorted by id.
    pub fn withdrawn(&self) -> impl Iterator<Item = &KeyId> {
        self.state.withdrawn.iter()
    }

    /// Returns the version of a row; zero if the row never existed.
    #[must_use]
    pub fn version(&self, key: &RowKey) -> Version {
        self.state.versions.get(key).copied().unwrap_or_default()
    }

    /// Returns the verdict on an append, if it is still remembered.
    #[must_use]
    pub fn outcome(&self, id: &AppendId) -> Option<&EditOutcome> {
        self.verdicts.get(id)
    }

    /// Returns the append that created a version, if it is still remembered.
    ///
    /// Operators whose edits conflict with that version are shown its author.
    #[must_use]
    pub fn judged_append(&self, version: Version) -> Option<&JudgedAppend> {
        let index = self
            .recent_appends
            .binary_search_by_key(&version.0, |judged_append| judged_append.offset.0)
            .ok()?;
        self.recent_appends.get(index)
    }

    /// Applies a page of the log and returns the outcome of each record.
    ///
    /// `first` is the first offset that the log still keeps.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] while records are missing and no checkpoint covers them.
    pub fn read(
        &mut self,
        first: Offset,
        page: &Delta<ConfigEntry>,
    ) -> Result<Vec<(AppendId, ApplyOutcome)>, Gap> {
        self.update_gap(first);
        let Some(gap) = self.gap else {
            return self.extend(page);
        };
        let covering_checkpoint = page
            .records
            .iter()
            .rev()
            .find_map(|entry| match &entry.record {
                ConfigEntry::Checkpoint(c) if c.through.next() >= gap.first => Some(c),
                ConfigEntry::Checkpoint(_) | ConfigEntry::Record(_) | ConfigEntry::Mark(_) => None,
            });
        if let Some(checkpoint) = covering_checkpoint {
            self.adopt(checkpoint);
            return Ok(Vec::new());
        }
        self.scan_offset = self.scan_offset.max(page.to.next());
        Err(gap)
    }

    /// Applies consecutive records of the log or of a peer.
    ///
    /// The caller omits records that cannot be decoded. Every host does so, which
    /// keeps their states equal.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] when records before the delta are missing.
    pub fn extend(
        &mut self,
        delta: &Delta<ConfigEntry>,
    ) -> Result<Vec<(AppendId, ApplyOutcome)>, Gap> {
        if delta.from > self.last.next() {
            return Err(Gap {
                expected: self.last.next(),
                first: delta.from,
            });
        }
        let applied = delta
            .records
            .iter()
            .map(|entry| (entry.id.clone(), self.fold_in(entry)))
            .collect();
        self.shrink_gap();
        Ok(applied)
    }

    /// Closes or shortens the gap after records or a checkpoint were applied.
    fn shrink_gap(&mut self) {
        let expected = self.last.next();
        self.gap = self
            .gap
            .filter(|gap| gap.first > expected)
            .map(|gap| Gap { expected, ..gap });
    }

    /// Opens or closes the gap, given the first offset that the log still keeps.
    pub fn update_gap(&mut self, first: Offset) {
        let expected = self.last.next();
        if first <= expected {
            self.gap = None;
            return;
        }
        if self.gap.is_none() {
            self.scan_offset = first;
            log::warn!("config: offsets {expected} to {first} expired unread");
        }
        self.gap = Some(Gap { expected, first });
    }

    /// Applies the record that follows the last one.
    ///
    /// The caller guarantees that no record lies between them.
    pub fn apply(&mut self, entry: &LogEntry<ConfigEntry>) -> ApplyOutcome {
        match self.gap {
            Some(gap) if entry.offset > self.last => ApplyOutcome::Blocked(gap),
            Some(_) | None => self.fold_in(entry),
        }
    }

    fn fold_in(&mut self, entry: &LogEntry<ConfigEntry>) -> ApplyOutcome {
        if entry.offset <= self.last {
            return ApplyOutcome::Old;
        }
        self.last = entry.offset;
        self.keep_tail(entry);
        match &entry.record {
            ConfigEntry::Record(ConfigRecord::Snapshot { .. }) => ApplyOutcome::Checkpoint,
            ConfigEntry::Record(record) => self.judge(entry, record),
            ConfigEntry::Checkpoint(checkpoint) => {
                self.record_checkpoint(checkpoint.through, entry.at);
                ApplyOutcome::Checkpoint
            }
            ConfigEntry::Mark(mark) => {
                self.record_checkpoint(mark.through, entry.at);
                ApplyOutcome::Checkpoint
            }
        }
    }

    fn judge(&mut self, entry: &LogEntry<ConfigEntry>, record: &ConfigRecord) -> ApplyOutcome {
        if let Some(outcome) = self.verdicts.get(&entry.id) {
            return ApplyOutcome::Repeated(outcome.clone());
        }
        let outcome = self.state.judge(entry.offset, record);
        self.record_verdict(JudgedAppend {
            id: entry.id.clone(),
            offset: entry.offset,
            at: entry.at,
            author: match record {
                ConfigRecord::Edit(edit) => Some(edit.author.clone()),
                _ => None,
            },
            outcome: outcome.clone(),
        });
        ApplyOutcome::Judged(outcome)
    }

    fn record_verdict(&mut self, judged_append: JudgedAppend) {
        self.verdicts
            .insert(judged_append.id.clone(), judged_append.outcome.clone());
        self.recent_appends.push_back(judged_append);
        if self.recent_appends.len() > MAX_RECENT_VERDICTS
            && let Some(oldest) = self.recent_appends.pop_front()
        {
            self.verdicts.remove(&oldest.id);
        }
    }

    fn record_checkpoint(&mut self, through: Offset, at: LogTime) {
        if self
            .last_checkpoint
            .as_ref()
            .is_none_or(|newest| newest.through <= through)
        {
            self.last_checkpoint = Some(SavedCheckpoint { through, at });
        }
    }

    fn keep_tail(&mut self, entry: &LogEntry<ConfigEntry>) {
        self.tail.push_back(entry.without_state());
        if self.tail.len() > MAX_TAIL_RECORDS
            && let Some(oldest) = self.tail.pop_front()
        {
            self.tail_start = oldest.offset;
        }
    }
}
