//! The newest record of each key of a topic, read from the store or told by peers.
//!
//! Offsets are the store's, so that what two hosts read can be compared and the newer
//! record of a key always wins, whatever way it came.

use std::sync::Arc;

use eelgrasshill_domain::{FastMap, Moment, Offset};

/// One record of a keyed topic; without a value the key is dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: Arc<str>,
    /// Where it lies in the topic.
    pub offset: Offset,
    /// The content; empty where the key was dropped.
    pub value: Arc<[u8]>,
}

impl KeyedRecord {
    /// Returns whether the record drops its key.
    #[must_use]
    pub fn is_removal(&self) -> bool {
        self.value.is_empty()
    }
}

/// A topic's newest records and how recently they were known to be the newest.
#[derive(Clone, Debug, Default)]
pub struct Keyed {
    rows: FastMap<Arc<str>, KeyedRecord>,
    end: Offset,
    fresh: Option<Moment>,
}

impl Keyed {
    /// Returns the offset from which to read on.
    #[must_use]
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Returns the moment at which the records were last known to be the newest.
    #[must_use]
    pub fn fresh(&self) -> Option<Moment> {
        self.fresh
    }

    /// Takes records in order of offset, up to `end`, known to be current at `fresh`.
    ///
    /// The records must be all that changed since [`Self::end`]; returns those that are news.
    pub fn extend(
        &mut self,
        records: Vec<KeyedRecord>,
        end: Offset,
        fresh: Option<Moment>,
    ) -> Vec<KeyedRecord> {
        let mut news = Vec::new();
        // All before the end is known, also where a record that changed nothing was not kept.
        for record in records
            .into_iter()
            .filter(|record| record.offset >= self.end)
        {
            let known = self.rows.get(&record.key);
            let is_newer = known.is_none_or(|known| known.offset < record.offset);
            if is_newer && known.is_none_or(|known| known.value != record.value) {
                self.rows.insert(Arc::clone(&record.key), record.clone());
                news.push(record);
            }
        }
        if end >= self.end {
            self.end = end;
            self.fresh = self.fresh.max(fresh);
        }
        news
    }

    /// Takes a whole topic, read from `began` on; returns news, dropped keys included.
    pub fn replace(
        &mut self,
        records: Vec<KeyedRecord>,
        end: Offset,
        began: Moment,
    ) -> Vec<KeyedRecord> {
        let kept: eelgrasshill_domain::FastSet<_> = records
            .iter()
            .map(|record| Arc::clone(&record.key))
            .collect();
        let dropped =
            |row: &&KeyedRecord| !row.is_removal() && row.offset < end && !kept.contains(&row.key);
        let removals: Vec<_> = self
            .rows
            .values()
            .filter(dropped)
            .map(|row| KeyedRecord {
                key: Arc::clone(&row.key),
                // The exact offset of the removal expired; it lies before the end.
                offset: Offset(end.0.saturating_sub(1).max(row.offset.0 + 1)),
                value: Arc::from([]),
            })
            .collect();
        let mut news = Vec::new();
        for record in records.into_iter().chain(removals) {
            let known = self.rows.get(&record.key);
            if known.is_none_or(|known| known.offset < record.offset) {
                let changed = known.is_none_or(|known| known.value != record.value);
                self.rows.insert(Arc::clone(&record.key), record.clone());
                if changed {
                    news.push(record);
                }
            }
        }
        if end >= self.end {
            self.end = end;
            self.fresh = self.fresh.max(Some(began));
        }
        news
    }

    /// Returns the records at or after an offset.
    pub fn since(&self, from: Offset) -> impl Iterator<Item = &KeyedRecord> {
        self.rows.values().filter(move |row| row.offset >= from)
    }

    /// Returns the newest record of a key, unless the key is dropped.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&KeyedRecord> {
        self.rows.get(key).filter(|row| !row.is_removal())
    }

    /// Returns the newest record of each key that is not dropped.
    pub fn iter(&self) -> impl Iterator<Item = &KeyedRecord> {
        self.rows.values().filter(|row| !row.is_removal())
    }
}
