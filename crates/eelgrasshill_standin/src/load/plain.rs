//! Plain calls with idempotency keys, which check that no call runs twice.
//!
//! The client retries a call with the same key until it is acknowledged. At the
//! end, what the client was told is compared with the services' own counts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::Client;
use eelgrasshill_domain::FastMap;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::client::{Sender, broken, refused, transport_code};
use super::outcome::{Ending, Outcome, TokenTimer};
use super::schedule::Arrival;
use super::settings::PlainLoad;
use crate::plain::RunCounts;

/// Delay before a call is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time to wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// One in this many acknowledged calls is sent again; it must not run twice.
const CALLS_PER_REPEAT: usize = 4;
/// Header that tells whether a refused call may have run.
const RUN_HEADER: &str = "eelgrasshill-run";
/// Value of that header for a call that did not run.
const NOT_RUN_VALUE: &str = "not-run";

/// What the client knows about a plain call at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KnownOutcome {
    Acknowledged,
    NotRun,
    Unknown,
}

/// A finished plain call, with all its tries.
#[derive(Clone, Debug)]
pub(super) struct FinishedPlainCall {
    pub(super) key: String,
    pub(super) known: KnownOutcome,
    pub(super) sent: u32,
}

/// The outcomes of all plain calls, compared with the services' own counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PlainReport {
    /// Distinct calls, each with its own idempotency key.
    pub calls: u64,
    /// Requests sent for them, including retries and repeats.
    pub sent: u64,
    /// Calls that were acknowledged.
    pub acknowledged: u64,
    /// Calls that failed and, by each error, had not run.
    pub refused: u64,
    /// Calls that may or may not have run, as far as the client knows.
    pub unknown: u64,
    /// Calls that ran more than once.
    pub twice: u64,
    /// Calls that were acknowledged but never ran.
    pub lost: u64,
    /// Calls that ran although every refusal said that they had not.
    pub untrue: u64,
    /// Whether the services' counts were read.
    pub checked: bool,
}

impl Sender<'_> {
    /// Sends a plain call until it is acknowledged or out of tries.
    pub(super) async fn plain(
        &self,
        plain: &PlainLoad,
        arrival: &Arrival,
        due: Instant,
    ) -> (Outcome, FinishedPlainCall) {
        let send_delay = due.elapsed();
        let key = format!("load-{}-{}", self.settings.seed, arrival.number);
        let mut known = KnownOutcome::NotRun;
        let mut ending = broken("no-try");
        let mut sent = 0;
        let timer = TokenTimer::new(due, self.settings.stall_timeout);
        for number in 0..plain.tries {
            let target = self.target(arrival.target + number as usize);
            sent += 1;
            match self.post(plain, arrival, &key, target).await {
                Ok(()) => {
                    known = KnownOutcome::Acknowledged;
                    break;
                }
                Err((end, not_run)) => {
                    ending = end;
                    if !not_run {
                        known = KnownOutcome::Unknown;
                    }
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        let (timing, stalled) = timer.finish();
        if known == KnownOutcome::Acknowledged {
            let correct = true;
            ending = Ending::Complete { timing, correct };
            if arrival.number.is_multiple_of(CALLS_PER_REPEAT) {
                sent += 1;
                let target = self.target(arrival.target + 1);
                let again = self.post(plain, arrival, &key, target).await;
                log::debug!("standin load: repeat of acknowledged call {key} gave {again:?}");
            }
        }
        let outcome = Outcome {
            ending,
            stalled,
            send_delay,
        };
        (outcome, FinishedPlainCall { key, known, sent })
    }

    /// Sends a call once; an error tells whether the call certainly did not run.
    async fn post(
        &self,
        plain: &PlainLoad,
        arrival: &Arrival,
        key: &str,
        target: SocketAddr,
    ) -> Result<(), (Ending, bool)> {
        let request = self
            .client
            .post(format!("http://{target}{}", plain.path))
            .bearer_auth(&self.settings.callers[arrival.caller].key)
            .insert_header(("idempotency-key", key))
            .send_json(&json!({ "call": arrival.number }));
        let mut response = tokio::time::timeout(ANSWER_TIMEOUT, request)
            .await
            .map_err(|_elapsed| (broken("silent"), false))?
            .map_err(|error| {
                (
                    broken(transport_code(&error)),
                    transport_code(&error) == "connect",
                )
            })?;
        let status = response.status();
        let run_header = response.headers().get(RUN_HEADER);
        let not_run =
            run_header.is_some_and(|run_header| run_header.as_bytes() == NOT_RUN_VALUE.as_bytes());
        let body = tokio::time::timeout(ANSWER_TIMEOUT, response.body())
            .await
            .map_err(|_elapsed| (broken("silent"), false))?
            .map_err(|_error| (broken("cut"), false))?;
        if status.is_success() {
            return Ok(());
        }
        Err((refused(status.as_u16(), &body), not_run))
    }
}

/// Compares the clients' results with the services' counts.
pub(super) fn compare(calls: &[FinishedPlainCall], runs: Option<&[RunCounts]>) -> PlainReport {
    let mut report = PlainReport {
        calls: calls.len() as u64,
        checked: runs.is_some(),
        ..PlainReport::default()
    };
    let counted = count_by_key(runs.unwrap_or_default());
    for call in calls {
        let count = counted.get(call.key.as_str()).copied().unwrap_or(0);
        report.sent += u64::from(call.sent);
        report.twice += u64::from(count > 1);
        match call.known {
            KnownOutcome::Acknowledged => {
                report.acknowledged += 1;
                report.lost += u64::from(runs.is_some() && count == 0);
            }
            KnownOutcome::NotRun => {
                report.refused += 1;
                report.untrue += u64::from(count > 0);
            }
            KnownOutcome::Unknown => report.unknown += 1,
        }
    }
    report
}

fn count_by_key(runs: &[RunCounts]) -> FastMap<&str, u64> {
    let mut counted = FastMap::default();
    for run in runs.iter().flat_map(|runs| &runs.keys) {
        *counted.entry(run.id.as_str()).or_default() += run.count;
    }
    counted
}

/// Reads the counts of all plain services; returns none if any cannot be read.
pub(super) async fn read_counts(services: &[SocketAddr]) -> Option<Vec<RunCounts>> {
    let client = Client::default();
    let mut all = Vec::new();
    for service in services {
        let url = format!("http://{service}/admin/runs");
        let mut response = client.get(url).send().await.ok()?;
        let body = response.body().limit(64 << 20).await.ok()?;
        all.push(serde_json::from_slice(&body).ok()?);
    }
    (!all.is_empty()).then_some(all)
}
