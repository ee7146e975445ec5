//! Appends folded state to the log again before the records that it was folded from expire.
//!
//! Hosts are ranked, and each waits longer than those of lower rank, so that usually one
//! host saves.

use std::rc::Rc;
use std::time::Duration;

use actix::{ActorFutureExt, Context, WrapFuture};
use eelgrasshill_control::{ConfigEntry, LogTime};
use eelgrasshill_domain::{AppendId, Moment, Offset, StreamName};
use eelgrasshill_limit::{Ledger, RightsRecord};
use eelgrasshill_ports::{LogClient, NewRecord, Page};
use serde_json::Value;

use crate::control::messages::LogStream;
use crate::control::{Control, ServiceClients};

/// Number of unsaved rights records after which a snapshot is due at any age.
const MAX_UNSAVED_RECORDS: u64 = 4096;

/// Minimum time between two attempts to save state.
const SAVE_INTERVAL: Duration = Duration::from_secs(10);

/// Part of the retention after which state is saved: one half.
const SAVE_AGE_DIVISOR: u32 = 2;

/// Task by which hosts are ranked to save the configuration; rank zero is the first choice.
const CHECKPOINT_TASK: &str = "checkpoint";

/// Task by which hosts are ranked to save the rights.
const SNAPSHOT_TASK: &str = "rights-snapshot";

/// Additional delay per rank, which lets hosts of lower rank save first.
const TAKEOVER_DELAY: Duration = Duration::from_secs(30);

/// An estimate of the log's clock from the times of its records.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LogClock {
    /// The highest log time seen, in milliseconds, and when it was received.
    latest: Option<(u64, Moment)>,
}

impl LogClock {
    /// Updates the estimate from the newest record of a page.
    pub(crate) fn record(&mut self, page: &Page, now: Moment) {
        let Some(last) = page.records.last() else {
            return;
        };
        if self
            .estimate(now)
            .is_none_or(|time| time.0 < last.accepted_at_ms)
        {
            self.latest = Some((last.accepted_at_ms, now));
        }
    }

    /// Returns a time that the log's clock has reached; `None` before the first record.
    pub(crate) fn estimate(&self, now: Moment) -> Option<LogTime> {
        let (time, received_at) = self.latest?;
        Some(LogTime(time).after(now.since(received_at)))
    }
}

/// How far the rights stream is folded and saved.
#[derive(Clone, Debug, Default)]
pub(crate) struct RightsReader {
    /// The last offset read.
    pub(crate) last_offset: Offset,
    /// Whether records expired unread, so that a snapshot is needed to continue.
    needs_snapshot: bool,
    /// The last offset that a snapshot in the log covers.
    saved_through: Offset,
    /// The log time of the oldest record that no snapshot covers.
    oldest_unsaved: Option<LogTime>,
    /// When this host last tried to save the state of either stream.
    save_attempted_at: Moment,
}

impl RightsReader {
    /// Returns whether a host of this rank should save a snapshot of the rights.
    fn is_snapshot_due(&self, now: LogTime, rank: usize, retention: Duration) -> bool {
        if self.needs_snapshot {
            return false;
        }
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let wait = TAKEOVER_DELAY.saturating_mul(rank);
        let is_old = self
            .oldest_unsaved
            .is_some_and(|at| now >= at.after(retention / SAVE_AGE_DIVISOR).after(wait));
        let unsaved_records = self.last_offset.0.saturating_sub(self.saved_through.0);
        is_old || unsaved_records > MAX_UNSAVED_RECORDS * (u64::from(rank) + 1)
    }
}

impl<C: ServiceClients> Control<C> {
    /// Folds a page of the rights stream, or searches it for a snapshot.
    pub(crate) fn fold_rights(&mut self, page: &Page, now: Moment) {
        self.log_clock.record(page, now);
        if page.first > self.rights.last_offset.next() && !self.rights.needs_snapshot {
            log::warn!(
                "rights: offsets from {} to before {} expired before this host read them; waiting for a snapshot",
                self.rights.last_offset.next(),
                page.first
            );
            self.rights.needs_snapshot = true;
        }
        for stored in &page.records {
            let record = match serde_json::from_value::<RightsRecord>(stored.body.clone()) {
                Ok(record) => record,
                Err(error) => {
                    log::warn!(
                        "rights: skipping the undecodable record at offset {}: {error}",
                        stored.offset
                    );
                    self.rights.last_offset = stored.offset;
                    continue;
                }
            };
            let at = LogTime(stored.accepted_at_ms);
            if self.rights.needs_snapshot {
                if self.restore_rights(record, page.first, now) {
                    // Reading continues after the offset that the snapshot covers.
                    return;
                }
                self.rights.last_offset = stored.offset;
                continue;
            }
            self.fold_rights_record(stored.offset, at, &record, now);
        }
    }

    fn fold_rights_record(
        &mut self,
        offset: Offset,
        at: LogTime,
        record: &RightsRecord,
        now: Moment,
    ) {
        self.rights.last_offset = offset;
        if let RightsRecord::Snapshot { through, .. } = record {
            self.rights.saved_through = *through;
            // The snapshot expires too, so its own age decides when state is saved again.
            self.rights.oldest_unsaved = Some(at);
        }
        self.rights.oldest_unsaved.get_or_insert(at);
        let outcome = self
            .shared
            .quota
            .with_limiter(now, |limiter| limiter.read(offset, record, now));
        log::debug!("rights: folded the record at offset {offset} with outcome {outcome:?}");
    }

    /// Restores the rights from a snapshot; returns false if it cannot be continued from.
    fn restore_rights(&mut self, record: RightsRecord, first: Offset, now: Moment) -> bool {
        let RightsRecord::Snapshot { through, .. } = &record else {
            return false;
        };
        let through = *through;
        // Records between the snapshot and the start of the stream have expired.
        if through.next() < first {
            return false;
        }
        let Some(ledger) = Ledger::restore(record) else {
            return false;
        };
        self.shared.quota.with_limiter(now, |limiter| {
            *limiter = limiter.clone().with_ledger(ledger, now);
        });
        log::info!("rights: restored from a snapshot that covers offsets up to {through}");
        self.rights = RightsReader {
            last_offset: through,
            saved_through: through,
            ..RightsReader::default()
        };
        true
    }

    /// Appends folded state whose records will expire soon.
    pub(crate) fn save_expiring_state(&mut self, ctx: &mut Context<Self>, now: Moment) {
        let Some(log_time) = self.log_clock.estimate(now) else {
            return;
        };
        let retention = self.shared.settings.log_retention;
        let is_paused = now.since(self.rights.save_attempted_at) < SAVE_INTERVAL;
        if !self.reads_log || is_paused || self.shared.is_draining() {
            return;
        }
        let rank = self.members.rank(CHECKPOINT_TASK, now);
        if self.config.is_checkpoint_due(log_time, rank, retention) {
            self.rights.save_attempted_at = now;
            let checkpoint = self.config.checkpoint();
            let id = checkpoint.append_id(self.members.host());
            let body = serde_json::to_value(ConfigEntry::Checkpoint(Box::new(checkpoint)));
            self.append_state(ctx, LogStream::Config, id, body.ok());
        }
        let rank = self.members.rank(SNAPSHOT_TASK, now);
        if self.rights.is_snapshot_due(log_time, rank, retention) {
            self.rights.save_attempted_at = now;
            let host = self.members.host();
            let id = AppendId::new(&format!(
                "rights-snapshot-{host}-{}",
                self.rights.last_offset
            ))
            .ok();
            let snapshot = self
                .shared
                .quota
                .with_limiter(now, |limiter| limiter.ledger().snapshot());
            let body = snapshot.and_then(|record| serde_json::to_value(record).ok());
            self.append_state(ctx, LogStream::Rights, id, body);
        }
    }

    fn append_state(
        &mut self,
        ctx: &mut Context<Self>,
        stream: LogStream,
        id: Option<AppendId>,
        body: Option<Value>,
    ) {
        let (Some(id), Some(body)) = (id, body) else {
            log::error!("{stream}: cannot make the append ID or the body of the folded state");
            return;
        };
        let Ok(name) = StreamName::new(&stream.to_string()) else {
            return;
        };
        log::info!("{stream}: saving the folded state as {id}");
        let clients = Rc::clone(&self.clients);
        let append = async move {
            // A lost reply is harmless: the state is read back from the log or saved again.
            if let Err(error) = clients
                .log()
                .append(&name, vec![NewRecord { id, body }])
                .await
            {
                log::warn!("{stream}: saving the folded state: {error}");
            }
        };
        actix::AsyncContext::spawn(ctx, append.into_actor(self).map(|(), _control, _ctx| ()));
    }
}
