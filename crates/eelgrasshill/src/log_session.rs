//! A session of an operator with the log: reads the configuration and publishes records.
//!
//! A record is published when the log gives a verdict on it. An append that may have been written
//! is not a failure by itself: the session reads on for its id.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshill_control::{
    AppendError as AppendFailure, ConfigEntry, ConfigFold, Delta, LogEntry, LogTime, Publication,
    PublishStep,
};
use eelgrasshill_domain::{
    AppendId, ConfigRecord, EditOutcome, Moment, Offset, StreamName, Version,
};
use eelgrasshill_ports::{
    AppendError, HttpClient, HttpClientSettings, HttpLog, Log, NewRecord, Page,
};

use crate::CommandError;

/// The stream that holds the tables and keys.
const CONFIG_STREAM: &str = "config";

/// The maximum number of records in one read.
const MAX_PAGE_RECORDS: usize = 1000;

/// The maximum wait for the verdict on a record.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(20);

/// The wait between two polls of the log.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A session that reads and changes the configuration in the log.
#[derive(Debug)]
pub struct LogSession<L = HttpLog> {
    log: L,
    stream: StreamName,
    fold: ConfigFold,
    started_at: Instant,
}

impl LogSession {
    /// Opens a session with the log service at an address.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the log cannot be read.
    pub async fn open(address: SocketAddr) -> Result<Self, CommandError> {
        let client = HttpClient::new(HttpClientSettings::default());
        Self::with_log(HttpLog::new(client, address)).await
    }
}

impl<L: Log> LogSession<L> {
    /// Opens a session with any implementation of the log.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the log cannot be read.
    pub async fn with_log(log: L) -> Result<Self, CommandError> {
        let stream = StreamName::new(CONFIG_STREAM)?;
        let mut session = Self {
            log,
            stream,
            fold: ConfigFold::new(),
            started_at: Instant::now(),
        };
        session.read_to_end().await?;
        Ok(session)
    }

    /// Returns the configuration as last read from the log.
    #[must_use]
    pub fn fold(&self) -> &ConfigFold {
        &self.fold
    }

    /// Reads the log from its start and returns the configuration as of a version.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the log cannot be read.
    pub async fn as_of(&self, version: Version) -> Result<ConfigFold, CommandError> {
        let mut fold = ConfigFold::new();
        loop {
            let mut page = self
                .log
                .read(
                    &self.stream,
                    fold.cursor(),
                    MAX_PAGE_RECORDS,
                    Duration::ZERO,
                )
                .await?;
            let is_last = page.is_end();
            page.records.retain(|record| record.offset.0 <= version.0);
            let is_past_version = page.records.len() < MAX_PAGE_RECORDS;
            fold_page(&mut fold, page);
            if is_last || is_past_version || fold.last().0 >= version.0 {
                return Ok(fold);
            }
        }
    }

    async fn read_to_end(&mut self) -> Result<(), CommandError> {
        loop {
            let from = self.fold.cursor();
            let page = self
                .log
                .read(&self.stream, from, MAX_PAGE_RECORDS, Duration::ZERO)
                .await?;
            let is_end = page.is_end();
            fold_page(&mut self.fold, page);
            if is_end {
                return self.fold.gap().map_or(Ok(()), |gap| Err(gap.into()));
            }
        }
    }

    /// Publishes a record and waits for the verdict, which is the same on every host.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the record is rejected or no verdict comes in time.
    pub async fn publish(&mut self, record: ConfigRecord) -> Result<Version, CommandError> {
        let id = AppendId::new(&format!("operator-{:032x}", rand::random::<u128>()))?;
        let mut publication = Publication::new(id, record, self.now());
        let mut failure = None;
        let deadline = Instant::now() + VERDICT_TIMEOUT;
        while Instant::now() < deadline {
            match publication.step(&self.fold, self.now()) {
                PublishStep::Append(id, record) => {
                    failure = self.append(&mut publication, id, record).await;
                }
                PublishStep::Read(_) => match self.read_to_end().await {
                    Ok(()) => publication.mark_end_reached(self.now()),
                    Err(error) => failure = Some(error),
                },
                PublishStep::Wait => tokio::time::sleep(POLL_INTERVAL).await,
                PublishStep::Done(EditOutcome::Accepted(version)) => return Ok(version),
                PublishStep::Done(EditOutcome::Rejected(rejection)) => return Err(rejection.into()),
            }
        }
        Err(failure.unwrap_or(CommandError::NoVerdict))
    }

    async fn append(
        &self,
        publication: &mut Publication,
        id: AppendId,
        record: ConfigRecord,
    ) -> Option<CommandError> {
        let body = serde_json::to_value(ConfigEntry::Record(record)).ok()?;
        let appended = self
            .log
            .append(&self.stream, vec![NewRecord { id, body }])
            .await;
        let (answer, failure) = match appended {
            Ok(offsets) => (Ok(offsets.first().copied().unwrap_or_default()), None),
            Err(error @ AppendError::NotWritten(_)) => {
                (Err(AppendFailure::NotWritten), Some(error.into()))
            }
            Err(AppendError::Unknown(_)) => (Err(AppendFailure::Unknown), None),
        };
        publication.handle_answer(answer, self.now());
        failure
    }

    fn now(&self) -> Moment {
        Moment::default().after(self.started_at.elapsed())
    }
}

fn fold_page(fold: &mut ConfigFold, page: Page) {
    let from = page
        .records
        .first()
        .map_or(page.end, |record| record.offset);
    let to = page
        .records
        .last()
        .map_or(Offset(from.0.saturating_sub(1)), |last| last.offset);
    let records = page
        .records
        .into_iter()
        .filter_map(|record| {
            Some(LogEntry {
                offset: record.offset,
                at: LogTime(record.time),
                id: record.id,
                record: serde_json::from_value(record.body).ok()?,
            })
        })
        .collect();
    // A later checkpoint may still close a gap, so the caller checks for one at the end.
    let _gap = fold.read(page.first, &Delta { from, to, records });
}
