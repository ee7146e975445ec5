//! A session of an operator with the log: reads the configuration and publishes records.
//!
//! A record is published once its outcome is known, which the session computes from the log as
//! every host does. If the answer to an append is lost, the record may have been written. The
//! session then reads the log until it finds the id of the append.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshill_control::{
    AppendError as ControlAppendError, ConfigEntry, ConfigFold, Delta, LogEntry, LogTime,
    Publication, PublishStep,
};
use eelgrasshill_domain::{
    AppendId, ConfigRecord, EditOutcome, Moment, Offset, StreamName, Version,
};
use eelgrasshill_ports::{
    AppendError, HttpClient, HttpClientSettings, HttpLog, LogClient, NewRecord, Page,
};

use crate::CommandError;

/// The stream that holds the tables and keys.
const CONFIG_STREAM: &str = "config";

/// The maximum number of records in one read.
const MAX_PAGE_RECORDS: usize = 1000;

/// The maximum wait for the outcome of a record.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(20);

/// The wait between two polls of the log.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A session that reads and changes the configuration in the log.
#[derive(Debug)]
pub struct LogSession<L = HttpLog> {
    log: L,
    stream: StreamName,
    config: ConfigFold,
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

impl<L: LogClient> LogSession<L> {
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
            config: ConfigFold::new(),
            started_at: Instant::now(),
        };
        session.read_to_end().await?;
        Ok(session)
    }

    /// Returns the configuration as last read from the log.
    #[must_use]
    pub fn config(&self) -> &ConfigFold {
        &self.config
    }

    /// Reads the log from its start and returns the configuration as of a version.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the log cannot be read.
    pub async fn as_of(&self, version: Version) -> Result<ConfigFold, CommandError> {
        let mut config = ConfigFold::new();
        loop {
            let mut page = self
                .log
                .read(
                    &self.stream,
                    config.cursor(),
                    MAX_PAGE_RECORDS,
                    Duration::ZERO,
                )
                .await?;
            let is_last = page.reaches_end();
            page.records.retain(|record| record.offset.0 <= version.0);
            // A page that is no longer full contained later records, so the version is reached.
            let is_past_version = page.records.len() < MAX_PAGE_RECORDS;
            apply_page(&mut config, page);
            if is_last || is_past_version || config.last().0 >= version.0 {
                return Ok(config);
            }
        }
    }

    async fn read_to_end(&mut self) -> Result<(), CommandError> {
        loop {
            let from = self.config.cursor();
            let page = self
                .log
                .read(&self.stream, from, MAX_PAGE_RECORDS, Duration::ZERO)
                .await?;
            let is_end = page.reaches_end();
            apply_page(&mut self.config, page);
            if is_end {
                return self.config.gap().map_or(Ok(()), |gap| Err(gap.into()));
            }
        }
    }

    /// Publishes a record and waits for its outcome, which is the same on every host.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the record is rejected or no outcome comes in time.
    pub async fn publish(&mut self, record: ConfigRecord) -> Result<Version, CommandError> {
        let id = AppendId::new(&format!("operator-{:032x}", rand::random::<u128>()))?;
        let mut publication = Publication::new(id, record, self.now());
        let mut failure = None;
        let deadline = Instant::now() + OUTCOME_TIMEOUT;
        while Instant::now() < deadline {
            match publication.step(&self.config, self.now()) {
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
        Err(failure.unwrap_or(CommandError::NoOutcome))
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
                (Err(ControlAppendError::NotWritten), Some(error.into()))
            }
            Err(AppendError::MaybeWritten(_)) => (Err(ControlAppendError::Unknown), None),
        };
        publication.handle_answer(answer, self.now());
        failure
    }

    fn now(&self) -> Moment {
        Moment::default().after(self.started_at.elapsed())
    }
}

fn apply_page(config: &mut ConfigFold, page: Page) {
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
                at: LogTime(record.accepted_at_ms),
                id: record.id,
                record: serde_json::from_value(record.body).ok()?,
            })
        })
        .collect();
    // A later checkpoint may still close a gap, so `read_to_end` checks for one at the end.
    let _gap = config.read(page.first, &Delta { from, to, records });
}
