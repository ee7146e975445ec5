//! The newest record of each key of a topic.
//!
//! Records come from the store or from other hosts, and all carry the store's offsets. Of two
//! records of a key, the one with the higher offset wins, whichever way it arrived.

use std::sync::Arc;

use eelgrasshill_domain::{FastMap, FastSet, Moment, Offset};

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

/// The newest records of a topic, with the time when they were last confirmed.
#[derive(Clone, Debug, Default)]
pub struct KeyedTopic {
    newest: FastMap<Arc<str>, KeyedRecord>,
    end: Offset,
    confirmed_at: Option<Moment>,
    // Keys that were removed before this offset may be unknown, unlike those removed after it.
    removals_from: Offset,
}

impl KeyedTopic {
    /// Returns the offset at which the next read starts.
    #[must_use]
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Returns when the records were last confirmed to be the newest.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Applies records, sorted by offset, and returns those that changed something.
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
            if is_newer && known.is_none_or(|known| known.value != record.value) {
                self.newest.insert(Arc::clone(&record.key), record.clone());
                changes.push(record);
            }
        }
        if end >= self.end {
            self.end = end;
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
        }
        changes
    }

    /// Replaces the records by a whole topic whose read started at `read_started`.
    ///
    /// Returns the changed records, including removals of keys that the topic no longer has.
    pub fn replace(
        &mut self,
        records: Vec<KeyedRecord>,
        end: Offset,
        read_started: Moment,
    ) -> Vec<KeyedRecord> {
        let present_keys = records.iter().map(|record| Arc::clone(&record.key));
        let mut changes = self.remove_unlisted(&present_keys.collect(), end);
        for record in records {
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
            self.confirmed_at = self.confirmed_at.max(Some(read_started));
        }
        changes
    }

    /// Removes the keys that a topic no longer has, and returns their removals.
    ///
    /// `keys` are all keys that the topic had at its offset `end`.
    pub fn remove_unlisted(&mut self, keys: &FastSet<Arc<str>>, end: Offset) -> Vec<KeyedRecord> {
        let is_gone = |record: &&KeyedRecord| {
            !record.is_removal() && record.offset < end && !keys.contains(&record.key)
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
        for removal in &removals {
            let key = Arc::clone(&removal.key);
            self.newest.insert(key, removal.clone());
        }
        if end > self.end {
            self.removals_from = end;
        }
        removals
    }

    /// Returns all keys of the topic, for a peer that knows its records before `from`.
    ///
    /// None if the records since then include every removal.
    #[must_use]
    pub fn keys_for(&self, from: Offset) -> Option<impl Iterator<Item = &Arc<str>>> {
        (from < self.removals_from).then(|| self.iter().map(|record| &record.key))
    }

    /// Returns the records at or after an offset, including removals.
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
