//! The deterministic fold of the log's configuration stream.
//!
//! Every host that has folded up to an offset holds the same state and has
//! reached the same verdicts, whether it read all records or started from a checkpoint.

mod due;
mod exchange;

use std::collections::{BTreeMap, VecDeque};

use derive_more::{Display, Error};
use eelgrasshill_domain::{
    AppendId, ConfigRecord, EditOutcome, FastMap, KeyGrant, KeyId, Offset, RowKey, Tables, Version,
    record,
};

use crate::{Checkpoint, ConfigEntry, Delta, Judged, LogTime, Saved, Stored, judge::State};

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

    /// Returns who put a recent version in force, to tell those who lost to it.
    #[must_use]
    pub fn judged(&self, version: Version) -> Option<&Judged> {
        let index = self
            .recent
            .binary_search_by_key(&version.0, |judged| judged.offset.0)
            .ok()?;
        self.recent.get(index)
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
    /// Whoever decodes the records leaves out those that cannot be decoded, as
    /// every other host does.
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
            .map(|stored| (stored.id.clone(), self.fold_in(stored)))
            .collect();
        self.narrow_gap();
        Ok(applied)
    }

    /// Ends or shortens a gap that a peer has filled.
    fn narrow_gap(&mut self) {
        let expected = self.last.next();
        self.gap = self
            .gap
            .filter(|gap| gap.first > expected)
            .map(|gap| Gap { expected, ..gap });
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
        match self.gap {
            Some(gap) if stored.offset > self.last => Applied::Blocked(gap),
            Some(_) | None => self.fold_in(stored),
        }
    }

    fn fold_in(&mut self, stored: &Stored<ConfigEntry>) -> Applied {
        if stored.offset <= self.last {
            return Applied::Old;
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
            author: match record {
                ConfigRecord::Edit(edit) => Some(edit.author.clone()),
                _ => None,
            },
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
}
