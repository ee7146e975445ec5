//! Log lines that never block, and counters and histograms.

use std::io::{self, Write};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use eelgrasshill_domain::Moment;
use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::Route;

use crate::refusal::Cause;

/// Lines that wait for standard output; more are dropped and counted.
const MAX_QUEUED_LINES: usize = 1_024;

/// Most lines in a second; a busy host writes one or two for each of some ten requests.
const MAX_LINES_PER_SECOND: u32 = 200;

/// Passes lines to a thread of their own and drops what it cannot take.
#[derive(Debug)]
struct BoundedWriter {
    lines: SyncSender<Vec<u8>>,
    second_start: Moment,
    written: u32,
    dropped: u64,
}

impl BoundedWriter {
    fn start() -> io::Result<Self> {
        let (lines, waiting) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                for line in waiting {
                    if io::stdout().write_all(&line).is_err() {
                        // Nobody reads the log any more; serving goes on without it.
                        return;
                    }
                }
            })?;
        Ok(Self {
            lines,
            second_start: Moment(0),
            written: 0,
            dropped: 0,
        })
    }

    fn admit(&mut self) -> bool {
        let now = BootClock.now();
        if now.since(self.second_start) >= Duration::from_secs(1) {
            self.second_start = now;
            self.written = 0;
            if self.dropped > 0 {
                let line = format!("log: {} lines were dropped\n", self.dropped);
                if self.lines.try_send(line.into_bytes()).is_ok() {
                    self.dropped = 0;
                }
            }
        }
        self.written += 1;
        self.written <= MAX_LINES_PER_SECOND
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if !self.admit() {
            self.dropped += 1;
            return Ok(buf.len());
        }
        match self.lines.try_send(buf.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Sends log lines to standard output, bounded and without blocking.
///
/// # Errors
///
/// Returns the error where the thread cannot be started.
pub fn start_log() -> io::Result<()> {
    let writer = BoundedWriter::start()?;
    env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or("info,actix_server=warn"),
    )
    .target(env_logger::Target::Pipe(Box::new(writer)))
    .init();
    Ok(())
}

/// Counts an answer that was passed on, and how long it took.
pub(crate) fn count_answer(route: &Route, took: Duration) {
    let class = class(route);
    metrics::counter!("eelgrasshill_requests_total", "class" => class, "end" => "answered")
        .increment(1);
    metrics::histogram!("eelgrasshill_answer_seconds", "class" => class).record(took.as_secs_f64());
}

/// Counts the time to a stream's first event.
pub(crate) fn record_first_event(route: &Route, took: Duration) {
    metrics::histogram!("eelgrasshill_first_event_seconds", "class" => class(route))
        .record(took.as_secs_f64());
}

/// Counts how a stream ended.
pub(crate) fn count_stream_end(route: &Route, end: &str) {
    metrics::counter!("eelgrasshill_requests_total",
        "class" => class(route), "end" => end.to_owned())
    .increment(1);
}

/// Counts an answer of the gateway's own.
pub(crate) fn count_refusal(cause: Cause) {
    metrics::counter!("eelgrasshill_refusals_total", "cause" => cause.to_string()).increment(1);
}

/// Counts an order to an engine by how it ended.
pub(crate) fn count_order(end: &str) {
    metrics::counter!("eelgrasshill_orders_total", "end" => end.to_owned()).increment(1);
}

/// Counts a call to the store.
pub(crate) fn count_store_call(topic: crate::codec::Topic, end: &'static str) {
    metrics::counter!("eelgrasshill_store_calls_total", "topic" => topic.to_string(), "end" => end)
        .increment(1);
}

/// Returns the label of a route's requests: few, whatever the number of routes.
fn class(route: &Route) -> &'static str {
    use eelgrasshill_relay::Repeat;
    match route.repeat {
        Repeat::Idempotent => "idempotent",
        Repeat::Once => "once",
        Repeat::Stream => "stream",
        Repeat::ResumableStream => "resumable-stream",
    }
}
