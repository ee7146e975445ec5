//! An operator's session with the log: reads the configuration and publishes records.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshill_control::{
    AppendError as Answer, ConfigEntry, ConfigFold, Delta, LogEntry, LogTime, Publication,
    PublishStep,
};
use eelgrasshill_domain::{
    AppendId, ConfigRecord, EditOutcome, Moment, Offset, StreamName, Version,
};
use eelgrasshill_ports::{
    AppendError, HttpClient, HttpClientSettings, HttpLog, Log, NewRecord, Page,
};

use crate::CommandError;

/// The stream of tables and keys.
const STREAM: &str = "config";

/// Most records of one read.
const PAGE: usize = 1000;

/// Longest wait for a verdict.
const VERDICT: Duration = Duration::from_secs(20);

/// Pause between two looks at the log.
const PAUSE: Duration = Duration::from_millis(50);

/// The configuration as the log holds it, and the way to change it.
#[derive(Debug)]
pub struct LogSession<L = HttpLog> {
    log: L,
    stream: StreamName,
    fold: ConfigFold,
    began: Instant,
}

impl LogSession {
    /// Opens a session with the service at an address.
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
    /// Opens a session with a log.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the log cannot be read.
    pub async fn with_log(log: L) -> Result<Self, CommandError> {
        let stream = StreamName::new(STREAM)?;
        let mut session = Self {
            log,
            stream,
            fold: ConfigFold::new(),
            began: Instant::now(),
        };
        session.read_to_end().await?;
        Ok(session)
    }

    /// Returns the configuration that was read.
    #[must_use]
    pub fn fold(&self) -> &ConfigFold {
        &self.fold
    }

    /// Reads the log again and returns the configuration as of a version.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the log cannot be read so far back.
    pub async fn as_of(&self, version: Version) -> Result<ConfigFold, CommandError> {
        let mut fold = ConfigFold::new();
        loop {
            let mut page = self
                .log
                .read(&self.stream, fold.cursor(), PAGE, Duration::ZERO)
                .await?;
            let is_last = page.is_end();
            page.records.retain(|record| record.offset.0 <= version.0);
            let is_over = page.records.len() < PAGE;
            fold_page(&mut fold, page);
            if is_last || is_over || fold.last().0 >= version.0 {
                return Ok(fold);
            }
        }
    }

    async fn read_to_end(&mut self) -> Result<(), CommandError> {
        loop {
            let from = self.fold.cursor();
            let page = self
                .log
                .read(&self.stream, from, PAGE, Duration::ZERO)
                .await?;
            let is_end = page.is_end();
            fold_page(&mut self.fold, page);
            if is_end {
                return self.fold.gap().map_or(Ok(()), |gap| Err(gap.into()));
            }
        }
    }

    /// Publishes a record and waits for the verdict, the same on every host.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when it is rejected or no verdict came.
    pub async fn publish(&mut self, record: ConfigRecord) -> Result<Version, CommandError> {
        let id = AppendId::new(&format!("operator-{:032x}", rand::random::<u128>()))?;
        let mut publish = Publication::new(id, record, self.now());
        let mut failure = None;
        let until = Instant::now() + VERDICT;
        while Instant::now() < until {
            match publish.step(&self.fold, self.now()) {
                PublishStep::Append(id, record) => {
                    failure = self.append(&mut publish, id, record).await;
                }
                PublishStep::Read(_) => match self.read_to_end().await {
                    Ok(()) => publish.mark_end_reached(self.now()),
                    Err(error) => failure = Some(error),
                },
                PublishStep::Wait => tokio::time::sleep(PAUSE).await,
                PublishStep::Done(EditOutcome::Accepted(version)) => return Ok(version),
                PublishStep::Done(EditOutcome::Rejected(rejection)) => return Err(rejection.into()),
            }
        }
        Err(failure.unwrap_or(CommandError::NoVerdict))
    }

    async fn append(
        &self,
        publish: &mut Publication,
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
            Err(error @ AppendError::NotWritten(_)) => (Err(Answer::Refused), Some(error.into())),
            Err(AppendError::Unknown(_)) => (Err(Answer::Lost), None),
        };
        publish.handle_answer(answer, self.now());
        failure
    }

    fn now(&self) -> Moment {
        Moment::default().after(self.began.elapsed())
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
    // A gap may still be closed by a later checkpoint; the caller looks at the end.
    let _gap = fold.read(page.first, &Delta { from, to, records });
}
