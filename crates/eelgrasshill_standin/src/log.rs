//! A stand-in for the platform's log service: append-only streams over HTTP.
//!
//! Each stream is bounded by count and age, and reads can long-poll. One token bucket
//! limits the appends to all streams together; an append without a token is refused
//! with status 429.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use actix_web::web::{self, Json, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use eelgrasshill_domain::{FastMap, Offset, StreamName, record};
use eelgrasshill_ports::{AppendBody, AppendReply, NewRecord, Page, ReadQuery, StoredRecord};
use tokio::sync::Notify;

use crate::fault::Faults;
use crate::middleware::{call_label, error_response};
use crate::server::Standin;
use crate::sync::lock;

/// The token bucket holds as many appends as the rate allows in this many seconds.
const BURST_SECONDS: f64 = 0.25;

/// Settings of the log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of records kept in a stream.
    pub max_records: usize,
    /// Maximum age of a record before it expires.
    pub max_age: Duration,
    /// Maximum appends per second over all streams.
    pub appends_per_second: u32,
    /// Maximum number of records in one page.
    pub max_page_records: usize,
}

/// The flags of the command line have the same defaults.
impl Default for LogSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_records: 1_000_000,
            max_age: Duration::from_hours(24),
            appends_per_second: 400,
            max_page_records: 10_000,
        }
    }
}

record! {
    /// The log's own counts, which tests compare with their clients' results.
    #[derive(Copy, Default)]
    pub struct LogCounts {
        /// Appends whose records were written.
        pub appends: u64,
        /// Records written by those appends.
        pub records: u64,
        /// Appends refused because they exceeded the rate.
        pub capped: u64,
        /// Reads answered with a page.
        pub reads: u64,
    }
}

#[derive(Debug, Default)]
struct Stream {
    records: VecDeque<StoredRecord>,
    expired_count: u64,
}

impl Stream {
    /// Returns the offset that the next record gets; offsets start at 1.
    fn end(&self) -> u64 {
        self.expired_count + self.records.len() as u64 + 1
    }

    fn append(&mut self, time_ms: u64, new_records: Vec<NewRecord>) -> Vec<Offset> {
        let start = self.end();
        let count = new_records.len() as u64;
        for (offset, record) in (start..).zip(new_records) {
            self.records.push_back(StoredRecord {
                offset: Offset(offset),
                id: record.id,
                accepted_at_ms: time_ms,
                body: record.body,
            });
        }
        (start..start + count).map(Offset).collect()
    }

    fn expire(&mut self, now_ms: u64, settings: &LogSettings) {
        let max_age_ms = u64::try_from(settings.max_age.as_millis()).unwrap_or(u64::MAX);
        let oldest_time_ms = now_ms.saturating_sub(max_age_ms);
        let expired_by_count = self.records.len().saturating_sub(settings.max_records);
        let expired_by_age = self
            .records
            .partition_point(|record| record.accepted_at_ms < oldest_time_ms);
        let expired = expired_by_count.max(expired_by_age);
        self.records.drain(..expired);
        self.expired_count += expired as u64;
    }

    fn read_page(&self, from: u64, max: usize) -> Page {
        let first = self.expired_count + 1;
        let skip = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        Page {
            first: Offset(first),
            end: Offset(self.end()),
            records: self.records.iter().skip(skip).take(max).cloned().collect(),
        }
    }
}

#[derive(Debug)]
struct State {
    streams: FastMap<StreamName, Stream>,
    counts: LogCounts,
    bucket_level: f64,
    refilled_at: Instant,
}

/// A stand-in for the platform's log service.
#[derive(Clone, Debug)]
pub struct Log {
    settings: Arc<LogSettings>,
    state: Arc<Mutex<State>>,
    appended: Arc<Notify>,
    faults: Faults,
}

impl Log {
    /// Creates a log without streams; the first access to a stream creates it.
    #[must_use]
    pub fn new(settings: LogSettings) -> Self {
        let state = State {
            streams: FastMap::default(),
            counts: LogCounts::default(),
            bucket_level: f64::from(settings.appends_per_second) * BURST_SECONDS,
            refilled_at: Instant::now(),
        };
        Self {
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
            appended: Arc::new(Notify::new()),
            faults: Faults::new(),
        }
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counts(&self) -> LogCounts {
        lock(&self.state).counts
    }

    /// Returns all records of a stream that have not expired.
    #[must_use]
    pub fn records(&self, stream: &StreamName) -> Vec<StoredRecord> {
        self.read_page(stream, 0, usize::MAX).records
    }

    /// Expires all records of a stream before an offset, as the limits on count and age do.
    pub fn expire_before(&self, stream: &StreamName, offset: Offset) {
        let mut state = lock(&self.state);
        let stream = state.streams.entry(stream.clone()).or_default();
        let expired = stream
            .records
            .partition_point(|record| record.offset < offset);
        stream.records.drain(..expired);
        stream.expired_count += expired as u64;
    }

    /// Appends records directly, bypassing the rate limit and the faults.
    #[expect(
        clippy::must_use_candidate,
        reason = "tests append for the effect alone"
    )]
    pub fn append(&self, stream: &StreamName, new_records: Vec<NewRecord>) -> Vec<Offset> {
        let now_ms = unix_time_ms();
        let mut state = lock(&self.state);
        state.counts.appends += 1;
        state.counts.records += new_records.len() as u64;
        let stream = state.streams.entry(stream.clone()).or_default();
        let offsets = stream.append(now_ms, new_records);
        stream.expire(now_ms, &self.settings);
        drop(state);
        self.appended.notify_waiters();
        offsets
    }

    /// Expires old records and reads a page; creates the stream if it does not exist.
    fn read_page(&self, stream: &StreamName, from: u64, max: usize) -> Page {
        let mut state = lock(&self.state);
        let stream = state.streams.entry(stream.clone()).or_default();
        stream.expire(unix_time_ms(), &self.settings);
        stream.read_page(from, max)
    }

    fn admit(&self) -> bool {
        let rate = f64::from(self.settings.appends_per_second);
        let mut state = lock(&self.state);
        let now = Instant::now();
        let refill = now.duration_since(state.refilled_at).as_secs_f64() * rate;
        state.refilled_at = now;
        state.bucket_level = (state.bucket_level + refill).min((rate * BURST_SECONDS).max(1.0));
        if state.bucket_level < 1.0 {
            state.counts.capped += 1;
            return false;
        }
        state.bucket_level -= 1.0;
        true
    }

    /// Returns a page once the stream reaches beyond the requested offset, at the query's
    /// deadline or when reads become unavailable; the caller must check for the last.
    async fn await_page(&self, stream: &StreamName, query: &ReadQuery, label: &str) -> Page {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
        let max = query.max_records.min(self.settings.max_page_records);
        let mut changes = self.faults.changes();
        loop {
            let appended = self.appended.notified();
            let page = self.read_page(stream, query.from, max);
            // Offsets start at 1. The page may be empty, if its records have expired.
            if page.end.0 > query.from.max(1) || self.faults.is_unavailable(label) {
                return page;
            }
            tokio::select! {
                () = appended => {}
                _changed = changes.changed() => {}
                () = tokio::time::sleep_until(deadline) => {
                    return self.read_page(stream, query.from, max);
                }
            }
        }
    }
}

/// Returns the wall clock as milliseconds since the Unix epoch.
fn unix_time_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl Standin for Log {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn listen(&self) -> SocketAddr {
        self.settings.listen
    }

    fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(web::Data::new(self.clone()))
            .route("/streams/{name}", web::post().to(append))
            .route("/streams/{name}", web::get().to(read))
            .route("/admin/counts", web::get().to(counts));
    }
}

async fn append(
    log: web::Data<Log>,
    name: web::Path<StreamName>,
    body: Json<AppendBody>,
) -> HttpResponse {
    if !log.admit() {
        return error_response(
            HttpResponse::TooManyRequests(),
            // The text is imprecise: the bucket holds the appends of a quarter of a second.
            "too-many-appends",
            "the log takes no more appends in this second",
        );
    }
    let offsets = log.append(&name, body.into_inner().records);
    HttpResponse::Ok().json(AppendReply { offsets })
}

async fn read(
    request: HttpRequest,
    log: web::Data<Log>,
    name: web::Path<StreamName>,
    query: web::Query<ReadQuery>,
) -> HttpResponse {
    let label = call_label(request.method(), request.path());
    let page = log.await_page(&name, &query, &label).await;
    if log.faults.is_unavailable(&label) {
        return error_response(
            HttpResponse::ServiceUnavailable(),
            "outage",
            "out of service",
        );
    }
    lock(&log.state).counts.reads += 1;
    HttpResponse::Ok().json(page)
}

async fn counts(log: web::Data<Log>) -> Json<LogCounts> {
    Json(log.counts())
}
