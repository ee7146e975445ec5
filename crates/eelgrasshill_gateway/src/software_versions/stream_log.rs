//! Tasks that write the versions of streams to the log, and look them up.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::Offset;
use eelgrasshill_ports::{BootClock, CallError};
use eelgrasshill_relay::{Era, StreamRecord, StreamVersions, VersionSource, add_stream};
use tokio::sync::mpsc;

use super::base_keeper::read_bases;
use super::{Look, MAX_QUEUED, Write, WriteEnd, encode, note_store_era};
use crate::codec::{PlatformCodec, StoreClient, StoreError, Topic};
use crate::shared::Shared;
use crate::telemetry;

/// Maximum number of streams in one append, some 20 kB.
const MAX_BATCH: usize = 1_024;

/// Time between appends of no streams while appends fail.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Appends the versions of streams to the log until the host stops.
pub(super) async fn append_writes<C: PlatformCodec, S: StoreClient>(
    shared: Arc<Shared<C>>,
    store: S,
    mut queue: mpsc::Receiver<Write>,
) {
    let mut is_failing = false;
    while !shared.is_stopped() {
        let mut batch = Vec::new();
        let received = async { queue.recv_many(&mut batch, MAX_BATCH).await > 0 };
        let is_open = if is_failing {
            // New streams wait for a success, so an empty batch is tried.
            let received = tokio::time::timeout(PROBE_INTERVAL, received).await;
            received.unwrap_or(true)
        } else {
            received.await
        };
        if !is_open {
            return;
        }
        let sent_at = BootClock.now();
        shared.software.versions().note_append_sent(sent_at);
        let result = append_batch(&store, &batch).await;
        note_store_era(&shared, &store);
        finish_writes(&shared, batch, result.as_ref().err());
        match result {
            Ok(()) if is_failing => log::info!("software: appends to the log regained"),
            Err(error) if !is_failing => log::warn!("software: appends to the log fail: {error}"),
            Ok(()) | Err(_) => continue,
        }
        is_failing = !is_failing;
    }
}

/// Appends the writes as one record, which lists the streams by pool and version.
async fn append_batch<S: StoreClient>(store: &S, batch: &[Write]) -> Result<(), StoreError> {
    let mut records = Vec::new();
    for write in batch {
        let stream = StreamRecord(write.stream, write.revision);
        add_stream(&mut records, &write.pool, &write.version, stream);
    }
    let value = encode(&records);
    store
        .append(Topic::StreamVersions, "", &value, None)
        .await
        .map(|_position| ())
}

fn finish_writes<C: PlatformCodec>(
    shared: &Shared<C>,
    batch: Vec<Write>,
    error: Option<&StoreError>,
) {
    let end = if error.is_none() { "written" } else { "failed" };
    telemetry::count_stream_append(end);
    telemetry::count_stream_versions(end, batch.len());
    let may_be_written = match error {
        None
        | Some(
            StoreError::Refused(_)
            | StoreError::Conflict { .. }
            | StoreError::Expired { .. }
            | StoreError::Failed(CallError::NotSent { .. }),
        ) => false,
        Some(StoreError::Failed(_) | StoreError::EarlierEra(_)) => true,
    };
    let is_written = error.is_none();
    let write_end = match (is_written, may_be_written) {
        (true, _) => WriteEnd::Written,
        (false, true) => WriteEnd::Doubtful,
        (false, false) => WriteEnd::NotWritten,
    };
    let again = batch
        .iter()
        .filter(|write| may_be_written || (!is_written && write.done.is_none()));
    let mut versions = shared.software.versions();
    versions.note_append(is_written);
    versions.note_doubtful(again.map(|write| write.stream));
    drop(versions);
    for write in batch {
        if let Some(done) = write.done {
            // The request may have ended.
            let _request_ended = done.send(write_end);
        }
    }
}

/// Answers look-ups from the log and the base versions until the host stops.
pub(super) async fn answer_looks<C: PlatformCodec, S: StoreClient>(
    shared: Arc<Shared<C>>,
    store: S,
    mut queue: mpsc::Receiver<Look>,
) {
    let mut reader = LogReader {
        shared: Arc::clone(&shared),
        store: store.clone(),
        position: Offset::default(),
        era: None,
    };
    let mut is_failing = false;
    while !shared.is_stopped() {
        let mut looks = Vec::new();
        if queue.recv_many(&mut looks, MAX_QUEUED).await == 0 {
            return;
        }
        let (log, bases) = tokio::join!(reader.read(), read_bases(&shared, &store));
        {
            let versions = shared.software.versions();
            let now = BootClock.now();
            for look in looks {
                let found = versions.resolve_read(look.stream, &look.pool, now);
                let found = found.filter(|(_version, source)| match source {
                    VersionSource::Memory | VersionSource::OnlyVersion => true,
                    VersionSource::Log => log.is_ok(),
                    VersionSource::Base => log.is_ok() && bases.is_ok(),
                });
                // The request may have ended.
                let _request_ended = look.answer.send(found);
            }
        }
        match log.and(bases.map(|_end| ())) {
            Ok(()) if is_failing => log::info!("software: look-ups of streams regained"),
            Err(error) if !is_failing => log::warn!("software: look-ups of streams fail: {error}"),
            Ok(()) | Err(_) => continue,
        }
        is_failing = !is_failing;
    }
}

struct LogReader<C: PlatformCodec, S: StoreClient> {
    shared: Arc<Shared<C>>,
    store: S,
    position: Offset,
    // Era of the position; none before the first read.
    era: Option<Era>,
}

impl<C: PlatformCodec, S: StoreClient> LogReader<C, S> {
    /// Reads the records that were added since the last read.
    async fn read(&mut self) -> Result<(), StoreError> {
        let topic = Topic::StreamVersions;
        loop {
            let read = self.store.read(topic, self.position, Duration::ZERO).await;
            note_store_era(&self.shared, &self.store);
            let page = match read {
                Ok(page) => page,
                Err(StoreError::Expired { first }) => {
                    let first = first.unwrap_or_default();
                    if first == self.position {
                        return Err(StoreError::Expired { first: Some(first) });
                    }
                    self.position = first;
                    continue;
                }
                Err(error) => {
                    telemetry::count_store_call(topic, "failed");
                    return Err(error);
                }
            };
            telemetry::count_store_call(topic, "read");
            // Offsets of an earlier era are assigned again.
            if self
                .era
                .replace(page.era)
                .is_some_and(|era| era != page.era)
            {
                self.position = Offset::default();
                continue;
            }
            let now = BootClock.now();
            let mut versions = self.shared.software.versions();
            for record in &page.records {
                match serde_json::from_slice::<Vec<StreamVersions>>(&record.value) {
                    Ok(rows) => versions.note_records(&rows, now),
                    Err(error) => log::warn!(
                        "software: topic={topic} offset={} skipped: {error}",
                        record.offset
                    ),
                }
            }
            self.position = page.end;
            if !page.has_more {
                return Ok(());
            }
        }
    }
}
