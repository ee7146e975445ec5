//! Processes pages read from the log and notifies the claiming processes.

use std::sync::Arc;

use eelgrasshill_domain::{FastSet, Moment, Offset};

use super::{ClaimWriter, WriterEffect, is_call_running};
use crate::{CallKey, ClaimBatch, ClaimRecord, Delta, LogTime};

/// Maximum age of a watcher, as a multiple of the claims' `wait_timeout`.
const MAX_WATCHER_AGE_FACTOR: u32 = 2;

impl ClaimWriter {
    /// Records that a read of the log failed.
    pub fn read_failed(&mut self, now: Moment) {
        self.read_started = None;
        self.last_read = now;
    }

    /// Processes a page of the log.
    ///
    /// `is_end` tells whether the page reaches the end of the log.
    /// `first` is the first offset that the log still keeps, and `oldest` a time
    /// after which it guarantees to keep every record.
    pub fn handle_page(
        &mut self,
        first: Offset,
        oldest: LogTime,
        page: &Delta<ClaimBatch>,
        is_end: bool,
        now: Moment,
    ) -> Vec<WriterEffect> {
        self.read_started = None;
        self.last_read = now;
        self.is_at_end = is_end;
        self.fold.read(first, oldest, page);
        let mut effects = self.finish_append(first, page, is_end, now);
        let keys: FastSet<_> = page
            .records
            .iter()
            .flat_map(|log_entry| log_entry.record.records.iter().map(ClaimRecord::key))
            .collect();
        for key in keys {
            self.notify_watchers(key, &mut effects);
        }
        self.expire_watchers(now);
        effects.extend(self.tick(now));
        effects
    }

    /// Completes the pending append if its id was read back or has expired.
    ///
    /// Only an acknowledged append counts as expired.
    fn finish_append(
        &mut self,
        first: Offset,
        page: &Delta<ClaimBatch>,
        is_end: bool,
        now: Moment,
    ) -> Vec<WriterEffect> {
        let Some(pending) = self.in_flight.as_mut() else {
            return Vec::new();
        };
        let is_found = page
            .records
            .iter()
            .any(|entry| entry.id == *pending.append.id());
        if !is_found && !pending.append.is_expired(first) {
            if is_end {
                pending.append.mark_not_found(now);
            }
            return Vec::new();
        }
        let batch = Arc::clone(&pending.batch);
        self.in_flight = None;
        self.append_refused = false;
        let mut effects = Vec::new();
        for record in &batch.records {
            self.queued.remove(&(record.id(), record.is_claim()));
            if !record.is_claim() {
                effects.push(WriterEffect::Recorded(record.id()));
            }
        }
        effects
    }

    /// Reports new verdicts to the claims that wait for a key.
    fn notify_watchers(&mut self, key: CallKey, effects: &mut Vec<WriterEffect>) {
        let Some(mut watchers) = self.watchers.remove(&key) else {
            return;
        };
        watchers.retain_mut(|watcher| {
            if self.is_queued(watcher.claim.id) {
                return true;
            }
            let Some(verdict) = self.fold.verdict(&watcher.claim) else {
                return true;
            };
            let stays = is_call_running(&verdict);
            if !(stays && watcher.notified) {
                effects.push(WriterEffect::Decided(watcher.claim.id, verdict));
            }
            watcher.notified = true;
            stays
        });
        if !watchers.is_empty() {
            self.watchers.insert(key, watchers);
        }
    }

    fn expire_watchers(&mut self, now: Moment) {
        let max_age = self.bounds.wait_timeout * MAX_WATCHER_AGE_FACTOR;
        self.watchers.retain(|_key, watchers| {
            watchers.retain(|watcher| now.since(watcher.added_at) <= max_age);
            !watchers.is_empty()
        });
    }
}
