//! The newest record of each key of a topic.
//!
//! Records come from the store or from other hosts, and all carry the store's offsets. Of two
//! records of a key, the one with the higher offset wins, whichever way it arrived. Offsets are
//! compared only within an era of the store: records of a later era replace all known ones, and
//! those of an earlier era are discarded.

use std::cmp::Ordering;
use std::sync::Arc;

use eelgrasshill_domain::{FastMap, FastSet, Moment, Offset};

use crate::Era;

/// A record of a keyed topic; an empty value removes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key that the record sets or removes.
    pub key: Arc<str>,
    /// Offset of the record in the topic.
    pub offset: Offset,
    /// Content of the record; empty for a removal.
    pub value: Arc<[u8]>,
}

impl KeyedRecord {
    /// Returns whether the record removes its key.
    #[must_use]
    pub fn is_removal(&self) -> bool {
        self.value.is_empty()
    }
}

/// Records of a topic, read from the store or received from another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopicUpdate {
    /// Era of all offsets.
    pub era: Era,
    /// Records in order of their offsets.
    pub records: Vec<KeyedRecord>,
    /// Offset up to which the records are complete.
    pub end: Offset,
    /// When the records were known to be the newest.
    pub confirmed_at: Option<Moment>,
    /// Whether the records are those of all keys, not only those that changed since the known end.
    pub is_whole: bool,
}

/// What an update changed in a topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TopicChanges {
    /// Records that set or remove a key.
    pub records: Vec<KeyedRecord>,
    /// Keys that a later era does not have although no record removed them.
    ///
    /// Their records may have been lost in the restore, and may be written again.
    pub missing: Vec<Arc<str>>,
    /// Whether the records are the first ones of a later era.
    pub is_new_era: bool,
}

/// The newest records of a topic, with the time when they were last confirmed.
#[derive(Clone, Debug, Default)]
pub struct KeyedTopic {
    newest: FastMap<Arc<str>, KeyedRecord>,
    era: Era,
    end: Offset,
    // Offset from which on all removals are known. A whole read does not show earlier ones.
    removals_from: Offset,
    confirmed_at: Option<Moment>,
}

impl KeyedTopic {
    /// Returns the offset at which the next read starts.
    #[must_use]
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Returns the era of all offsets.
    #[must_use]
    pub fn era(&self) -> Era {
        self.era
    }

    /// Returns when the records were last confirmed to be the newest.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Applies an update, unless it is of an earlier era, or of a later one and not whole.
    pub fn apply(&mut self, update: TopicUpdate) -> TopicChanges {
        let records = match (update.era.cmp(&self.era), update.confirmed_at) {
            (Ordering::Equal, Some(confirmed_at)) if update.is_whole => {
                if update.end < self.end {
                    // It may have keys whose removal this host no longer knows.
                    return TopicChanges::default();
                }
                self.replace(update.records, update.end, confirmed_at)
            }
            (Ordering::Equal, confirmed_at) => {
                self.extend(update.records, update.end, confirmed_at)
            }
            (Ordering::Greater, Some(_confirmed_at)) if update.is_whole => {
                return self.start_era(update);
            }
            (Ordering::Less | Ordering::Greater, _) => Vec::new(),
        };
        TopicChanges {
            records,
            ..TopicChanges::default()
        }
    }

    /// Replaces all records by those of a later era.
    fn start_era(&mut self, update: TopicUpdate) -> TopicChanges {
        let known = std::mem::take(&mut self.newest);
        let is_new_era = self.confirmed_at.is_some();
        let present_keys: FastSet<_> = update
            .records
            .iter()
            .map(|record| Arc::clone(&record.key))
            .collect();
        let missing = known
            .values()
            .filter(|record| !record.is_removal() && !present_keys.contains(&record.key))
            .map(|record| Arc::clone(&record.key))
            .collect();
        for record in update.records {
            self.newest.insert(Arc::clone(&record.key), record);
        }
        let differs = |record: &&KeyedRecord| {
            known
                .get(&record.key)
                .is_none_or(|known| known.value != record.value)
        };
        let mut records: Vec<_> = self.newest.values().filter(differs).cloned().collect();
        records.sort_by_key(|record| record.offset);
        self.era = update.era;
        self.end = update.end;
        self.removals_from = update.end;
        self.confirmed_at = self.confirmed_at.max(update.confirmed_at);
        TopicChanges {
            records,
            missing,
            is_new_era,
        }
    }

    /// Applies records of the known era, sorted by offset, and returns those that changed something.
    ///
    /// They must include every change from [`Self::end`] up to `end`. `confirmed_at` is when
    /// they were confirmed to be current.
    pub fn extend(
        &mut self,
        records: Vec<KeyedRecord>,
        end: Offset,
        confirmed_at: Option<Moment>,
    ) -> Vec<KeyedRecord> {
        let mut changes = Vec::new();
        // Records before the end were applied already. The offsets in `newest` do not show this,
        // because records that changed nothing were not stored.
        for record in records
            .into_iter()
            .filter(|record| record.offset >= self.end)
        {
            let known = self.newest.get(&record.key);
            let is_newer = known.is_none_or(|known| known.offset < record.offset);
            if !is_newer {
                continue;
            }
            if known.is_none_or(|known| known.value != record.value) {
                self.newest.insert(Arc::clone(&record.key), record.clone());
                changes.push(record);
            } else if record.is_removal() {
                // Another host may have read a value that was set and removed in between.
                self.newest.insert(Arc::clone(&record.key), record);
            }
        }
        if end >= self.end {
            self.end = end;
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
        }
        changes
    }

    /// Replaces the records by a whole topic of the known era, whose read started at `read_started`.
    ///
    /// Returns the changed records, including removals of keys that the topic no longer has.
    pub fn replace(
        &mut self,
        records: Vec<KeyedRecord>,
        end: Offset,
        read_started: Moment,
    ) -> Vec<KeyedRecord> {
        let present_keys: FastSet<_> = records
            .iter()
            .filter(|record| !record.is_removal())
            .map(|record| Arc::clone(&record.key))
            .collect();
        let is_gone = |record: &&KeyedRecord| {
            !record.is_removal() && record.offset < end && !present_keys.contains(&record.key)
        };
        let removals: Vec<_> = self
            .newest
            .values()
            .filter(is_gone)
            .map(|record| KeyedRecord {
                key: Arc::clone(&record.key),
                // The removal's own record has expired; its offset was below the end.
                offset: Offset(end.0.saturating_sub(1).max(record.offset.0 + 1)),
                value: Arc::from([]),
            })
            .collect();
        let mut changes = Vec::new();
        for record in records.into_iter().chain(removals) {
            let known = self.newest.get(&record.key);
            if known.is_none_or(|known| known.offset < record.offset) {
                let differs = known.is_none_or(|known| known.value != record.value);
                self.newest.insert(Arc::clone(&record.key), record.clone());
                if differs {
                    changes.push(record);
                }
            }
        }
        if end >= self.end {
            self.end = end;
            self.removals_from = end;
            self.confirmed_at = self.confirmed_at.max(Some(read_started));
        }
        changes
    }

    /// Returns whether a host that knows the topic up to an end of an era needs all records.
    ///
    /// It does if the era is another one, or if this host does not know all removals since then.
    #[must_use]
    pub fn needs_whole(&self, era: Era, end: Offset) -> bool {
        era != self.era || end < self.removals_from
    }

    /// Returns the records that such a host lacks, or all if it needs them.
    pub fn missing_after(&self, era: Era, end: Offset) -> impl Iterator<Item = &KeyedRecord> {
        let is_whole = self.needs_whole(era, end);
        self.since(if is_whole { Offset(0) } else { end })
    }

    /// Returns the records at or after an offset of the known era, including removals.
    pub fn since(&self, from: Offset) -> impl Iterator<Item = &KeyedRecord> {
        self.newest
            .values()
            .filter(move |record| record.offset >= from)
    }

    /// Returns the newest record of a key, unless the key was removed.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&KeyedRecord> {
        self.newest.get(key).filter(|record| !record.is_removal())
    }

    /// Returns the newest record of each key that was not removed.
    pub fn iter(&self) -> impl Iterator<Item = &KeyedRecord> {
        self.newest.values().filter(|record| !record.is_removal())
    }
}
