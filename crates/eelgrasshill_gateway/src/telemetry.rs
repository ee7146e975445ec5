//! Log output that never blocks, and metrics.
//!
//! Lines beyond a rate, and lines that standard output does not take in time, are dropped and
//! counted, since a slow reader of the log must not delay requests.

use std::io::{self, Write};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use eelgrasshill_domain::Moment;
use eelgrasshill_ports::{BootClock, CallError};
use eelgrasshill_relay::{EngineSpeeds, Route};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::refusal::RefusalCause;

/// Maximum number of lines that wait for standard output; more are dropped.
const MAX_QUEUED_LINES: usize = 1_024;

/// Maximum number of lines per second.
///
/// A busy host writes one or two lines for each of some ten requests per second.
const MAX_LINES_PER_SECOND: u32 = 200;

/// Writer that passes lines to a thread and drops those that it cannot take.
#[derive(Debug)]
struct BoundedWriter {
    lines: SyncSender<Vec<u8>>,
    second_start: Moment,
    written: u32,
    dropped: u64,
}

impl BoundedWriter {
    fn start() -> io::Result<Self> {
        let (lines, queued) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                for line in queued {
                    if io::stdout().write_all(&line).is_err() {
                        // Standard output is closed; the host goes on without a log.
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

    fn allows_line(&mut self) -> bool {
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
        if !self.allows_line() {
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

/// Starts logging to standard output, at a bounded rate and without blocking.
///
/// # Errors
///
/// Returns an error if the writing thread cannot be started.
pub fn start_log() -> io::Result<()> {
    let writer = BoundedWriter::start()?;
    env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or("info,actix_server=warn"),
    )
    .target(env_logger::Target::Pipe(Box::new(writer)))
    .init();
    Ok(())
}

/// Time between the upkeeps of the metrics recorder.
///
/// Until then it keeps each sample of a histogram; 2,800 samples per second take 0.2 MB.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Upper bounds of the buckets of all histograms, in seconds.
///
/// Without buckets the recorder keeps quantile sketches, which take some 10 MB in a gateway.
const HISTOGRAM_BUCKETS: [f64; 13] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0,
];

/// Installs the metrics recorder and runs its upkeep on this thread.
///
/// Without the upkeep, samples of histograms are kept until something reads the metrics. Returns
/// none, and logs why, if the process has another recorder.
#[must_use]
pub fn install_metrics() -> Option<PrometheusHandle> {
    let installed = PrometheusBuilder::new()
        .set_buckets(&HISTOGRAM_BUCKETS)
        .and_then(PrometheusBuilder::install_recorder);
    let handle = match installed {
        Ok(handle) => handle,
        Err(error) => {
            log::warn!("host: no metrics, the recorder cannot be installed: {error}");
            return None;
        }
    };
    let upkeep = handle.clone();
    actix_web::rt::spawn(async move {
        loop {
            tokio::time::sleep(METRICS_UPKEEP_INTERVAL).await;
            upkeep.run_upkeep();
        }
    });
    Some(handle)
}

/// Counts an upstream's answer that was passed on, and records how long it took.
pub(crate) fn count_answer(route: &Route, elapsed: Duration) {
    let class = class(route);
    metrics::counter!("eelgrasshill_requests_total", "class" => class, "end" => "answered")
        .increment(1);
    metrics::histogram!("eelgrasshill_answer_seconds", "class" => class)
        .record(elapsed.as_secs_f64());
}

/// Records the time to a stream's first event.
pub(crate) fn record_first_event(route: &Route, elapsed: Duration) {
    metrics::histogram!("eelgrasshill_first_event_seconds", "class" => class(route))
        .record(elapsed.as_secs_f64());
}

/// Counts how a stream ended.
pub(crate) fn count_stream_end(route: &Route, end: &str) {
    metrics::counter!("eelgrasshill_requests_total",
        "class" => class(route), "end" => end.to_owned())
    .increment(1);
}

/// Counts a stream of a silent engine for which another one was asked, by what became of it.
pub(crate) fn count_handover(end: &'static str) {
    metrics::counter!("eelgrasshill_stream_handovers_total", "end" => end).increment(1);
}

/// Counts a request whose connection ended before it had an answer, by who ended it.
pub(crate) fn count_unanswered(has_caller_left: bool) {
    let end = if has_caller_left { "caller" } else { "host" };
    metrics::counter!("eelgrasshill_unanswered_requests_total", "end" => end).increment(1);
}

/// Counts a stream that this host cut, by whether its engine was silent or had broken off.
pub(crate) fn count_cut_stream(was_silent: bool) {
    let engine = if was_silent { "silent" } else { "broken" };
    metrics::counter!("eelgrasshill_cut_streams_total", "engine" => engine).increment(1);
}

/// Counts an attempt that an upstream did not begin to answer, by how it ended.
pub(crate) fn count_lost_attempt(error: &CallError) {
    let end = match error {
        CallError::NotSent { .. } => "not-sent",
        CallError::Lost { .. } => "closed",
        CallError::Timeout { .. } => "timeout",
        CallError::Status { .. } => "status",
        CallError::Malformed { .. } => "malformed",
    };
    metrics::counter!("eelgrasshill_lost_attempts_total", "end" => end).increment(1);
}

/// Counts a new accusation of a part of a prompt, by the host that saw the crash.
pub(crate) fn count_accusation(source: &'static str) {
    metrics::counter!("eelgrasshill_part_accusations_total", "source" => source).increment(1);
}

/// Sets the number of parts of prompts that several crashes accuse.
pub(crate) fn set_suspect_parts(count: usize) {
    #[expect(clippy::cast_precision_loss, reason = "the number of parts is bounded")]
    metrics::gauge!("eelgrasshill_suspect_parts").set(count as f64);
}

/// Counts requests whose answers the exit of this host cuts.
pub(crate) fn count_cut_requests(count: usize) {
    metrics::counter!("eelgrasshill_cut_requests_total").increment(count as u64);
}

/// Counts a request that was about to go to a cold engine, by whether there was a permit.
pub(crate) fn count_permit(end: &'static str) {
    metrics::counter!("eelgrasshill_cold_permits_total", "end" => end).increment(1);
}

/// Sets how many engines are cold, and how many permits for them this host has.
pub(crate) fn set_cold_engines((engines, permits): (usize, usize)) {
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    for (name, count) in [
        ("eelgrasshill_cold_engines", engines as f64),
        ("eelgrasshill_cold_permits", permits as f64),
    ] {
        metrics::gauge!(name).set(count);
    }
}

/// Sets the number of evacuated zones, and of this host's requests that run there still.
pub(crate) fn set_evacuations((zones, running): (usize, u32)) {
    #[expect(clippy::cast_precision_loss, reason = "there are few zones")]
    metrics::gauge!("eelgrasshill_evacuated_zones").set(zones as f64);
    metrics::gauge!("eelgrasshill_evacuated_running").set(f64::from(running));
}

/// Counts a refusal by its cause.
pub(crate) fn count_refusal(cause: RefusalCause) {
    metrics::counter!("eelgrasshill_refusals_total", "cause" => cause.to_string()).increment(1);
}

/// Counts a round of the exchange that started late.
pub(crate) fn count_late_round() {
    metrics::counter!("eelgrasshill_late_rounds_total").increment(1);
}

/// Counts a peer that did not answer in time.
pub(crate) fn count_suspected_peer() {
    metrics::counter!("eelgrasshill_suspected_peers_total").increment(1);
}

/// Counts an order to an engine by its end.
pub(crate) fn count_order(end: &str) {
    metrics::counter!("eelgrasshill_orders_total", "end" => end.to_owned()).increment(1);
}

/// Counts an answer in which an engine says that it is leaving, asks for rest, or is not the
/// expected one and echoes no id.
pub(crate) fn count_upstream_signal(signal: &'static str) {
    metrics::counter!("eelgrasshill_upstream_signals_total", "signal" => signal).increment(1);
}

/// Counts a pick of an engine by its end.
pub(crate) fn count_pick(end: &'static str) {
    metrics::counter!("eelgrasshill_picks_total", "end" => end).increment(1);
}

/// Sets how many requests wait, are being read and are being answered, as the picker knows.
///
/// `late` of those that wait can only be answered late.
pub(crate) fn set_picked_requests(counts: (usize, usize, usize), late: usize) {
    let (waiting, sent, answering) = counts;
    for (stage, count) in [
        ("late", late),
        ("waiting", waiting),
        ("sent", sent),
        ("answering", answering),
    ] {
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        metrics::gauge!("eelgrasshill_picked_requests", "stage" => stage).set(count as f64);
    }
}

/// Sets how many rejected callers may return, as the picker knows.
pub(crate) fn set_reserved_returns(count: usize) {
    #[expect(clippy::cast_precision_loss, reason = "the count is bounded")]
    metrics::gauge!("eelgrasshill_reserved_returns").set(count as f64);
}

/// Sets how many requests wait longer because of what their organisations used recently.
pub(crate) fn set_delayed_requests(count: usize) {
    #[expect(clippy::cast_precision_loss, reason = "the count is small")]
    metrics::gauge!("eelgrasshill_delayed_requests").set(count as f64);
}

/// Sets the learned speed of each pool's average engine, in prompt tokens per millisecond.
pub(crate) fn set_engine_speeds(speeds: &EngineSpeeds) {
    for (pool, speed) in speeds.pool_speeds() {
        metrics::gauge!("eelgrasshill_prompt_tokens_per_ms", "pool" => pool.to_string()).set(speed);
    }
}

/// Counts a call to the store by topic and end.
pub(crate) fn count_store_call(topic: crate::codec::Topic, end: &'static str) {
    metrics::counter!("eelgrasshill_store_calls_total", "topic" => topic.to_string(), "end" => end)
        .increment(1);
}

/// Counts streams whose software versions were to be written, by what became of it.
pub(crate) fn count_stream_versions(end: &'static str, count: usize) {
    metrics::counter!("eelgrasshill_stream_versions_total", "end" => end).increment(count as u64);
}

/// Counts an append of streams' software versions by its end.
pub(crate) fn count_stream_append(end: &'static str) {
    metrics::counter!("eelgrasshill_stream_version_appends_total", "end" => end).increment(1);
}

/// Counts a stream that a caller took up, by how its software version was found.
pub(crate) fn count_stream_look(source: String) {
    metrics::counter!("eelgrasshill_stream_version_looks_total", "source" => source).increment(1);
}

/// Counts a new era of the store, which begins when it is restored from an older copy.
pub(crate) fn count_store_restore() {
    metrics::counter!("eelgrasshill_store_restores_total").increment(1);
}

/// Returns the class label of a route. Its values are few, whatever the number of routes.
fn class(route: &Route) -> &'static str {
    use eelgrasshill_relay::Repeat;
    match route.repeat {
        Repeat::Idempotent => "idempotent",
        Repeat::Once => "once",
        Repeat::Stream => "stream",
        Repeat::ResumableStream => "resumable-stream",
    }
}
