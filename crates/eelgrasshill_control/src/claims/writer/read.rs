//! What the writer learns from the log, and whom it tells.

use std::sync::Arc;

use eelgrasshill_domain::{FastSet, Moment, Offset};

use super::{ClaimWriter, WriterEffect, is_running};
use crate::{CallKey, ClaimBatch, ClaimRecord, Delta, LogTime};

impl ClaimWriter {
    /// Notes that a read failed.
    pub fn read_failed(&mut self, now: Moment) {
        self.reading = None;
        self.read = now;
    }

    /// Takes in a page that reaches the log's end when `is_end` is set.
    ///
    /// `first` is the first offset that the log keeps, and `oldest` a time after
    /// which it promises to keep every record.
    pub fn page(
        &mut self,
        first: Offset,
        oldest: LogTime,
        page: &Delta<ClaimBatch>,
        is_end: bool,
        now: Moment,
    ) -> Vec<WriterEffect> {
        self.reading = None;
        self.read = now;
        self.at_end = is_end;
        self.fold.read(first, oldest, page);
        let mut effects = self.land(first, page, is_end, now);
        let keys: FastSet<_> = page
            .records
            .iter()
            .flat_map(|stored| stored.record.records.iter().map(ClaimRecord::key))
            .collect();
        for key in keys {
            self.tell(key, &mut effects);
        }
        self.forget_watches(now);
        effects.extend(self.tick(now));
        effects
    }

    /// Ends the flight when its id was read back or expired after it landed.
    fn land(
        &mut self,
        first: Offset,
        page: &Delta<ClaimBatch>,
        is_end: bool,
        now: Moment,
    ) -> Vec<WriterEffect> {
        let Some(flight) = self.flight.as_mut() else {
            return Vec::new();
        };
        let is_found = page.records.iter().any(|s| s.id == *flight.append.id());
        if !is_found && !flight.append.is_expired(first) {
            if is_end {
                flight.append.not_found(now);
            }
            return Vec::new();
        }
        let batch = Arc::clone(&flight.batch);
        self.flight = None;
        self.refused = false;
        let mut effects = Vec::new();
        for record in &batch.records {
            self.queued.remove(&(record.id(), record.is_claim()));
            if !record.is_claim() {
                effects.push(WriterEffect::Recorded(record.id()));
            }
        }
        effects
    }

    /// Tells those who watch a key what has become known of it.
    fn tell(&mut self, key: CallKey, effects: &mut Vec<WriterEffect>) {
        let Some(mut watches) = self.watches.remove(&key) else {
            return;
        };
        watches.retain_mut(|watch| {
            if self.is_queued(watch.claim.id) {
                return true;
            }
            let Some(verdict) = self.fold.verdict(&watch.claim) else {
                return true;
            };
            let stays = is_running(&verdict);
            if !(stays && watch.told) {
                effects.push(WriterEffect::Decided(watch.claim.id, verdict));
            }
            watch.told = true;
            stays
        });
        if !watches.is_empty() {
            self.watches.insert(key, watches);
        }
    }

    fn forget_watches(&mut self, now: Moment) {
        let bound = self.bounds.wait * 2;
        self.watches.retain(|_key, watches| {
            watches.retain(|watch| now.since(watch.since) <= bound);
            !watches.is_empty()
        });
    }
}
