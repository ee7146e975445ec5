//! Sends plain calls with idempotency keys and checks that no call ran twice.
//!
//! The client retries a call with the same key until it is acknowledged. At the
//! end, what the client was told is compared with the services' own counts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::Client;
use eelgrasshill_domain::FastMap;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::client::{
    CONNECT, CUT, LoadClient, SILENT, broken_ending, refused_ending, transport_code,
};
use super::outcome::{Ending, Outcome, TokenTimer};
use super::schedule::Arrival;
use super::settings::PlainLoad;
use crate::plain::RunCounts;

/// Delay before a call is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time to wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// An acknowledged call whose number is a multiple of this is sent once more.
///
/// The repeat must not run.
const REPEATED_CALL_INTERVAL: usize = 4;
/// The call was never sent, as no attempt is allowed.
const NO_TRY: &str = "no-try";
/// Header that tells whether a refused call may have run; set by the entry hosts.
const RUN_HEADER: &str = "eelgrasshill-run";
/// Value of that header for a call that did not run.
const NOT_RUN_VALUE: &str = "not-run";

/// Maximum size of the counts that a plain service returns.
const MAX_COUNTS_BYTES: usize = 64 << 20;

/// What the client knows about a plain call at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunKnowledge {
    Acknowledged,
    NotRun,
    Unknown,
}

/// A finished plain call, with all its attempts.
#[derive(Clone, Debug)]
pub(super) struct FinishedPlainCall {
    pub(super) key: String,
    pub(super) knowledge: RunKnowledge,
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
    /// Calls that failed and, by each error, had not run; printed as `not-run`.
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

impl LoadClient<'_> {
    /// Sends a plain call until it is acknowledged or out of attempts.
    pub(super) async fn send_plain(
        &self,
        plain: &PlainLoad,
        arrival: &Arrival,
        due: Instant,
    ) -> (Outcome, FinishedPlainCall) {
        let send_delay = due.elapsed();
        let key = format!("load-{}-{}", self.settings.seed, arrival.number);
        let mut knowledge = RunKnowledge::NotRun;
        let mut ending = broken_ending(NO_TRY);
        let mut sent = 0;
        let token_timer = TokenTimer::new(due, self.settings.stall_timeout);
        for attempt in 0..plain.max_attempts {
            let target = self.target_address(arrival.target_index + attempt as usize);
            sent += 1;
            match self.send_plain_once(plain, arrival, &key, target).await {
                Ok(()) => {
                    knowledge = RunKnowledge::Acknowledged;
                    break;
                }
                Err((attempt_ending, not_run)) => {
                    ending = attempt_ending;
                    if !not_run {
                        knowledge = RunKnowledge::Unknown;
                    }
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        let (times, stalled) = token_timer.finish();
        if knowledge == RunKnowledge::Acknowledged {
            let correct = true;
            ending = Ending::Complete { times, correct };
            if arrival.number.is_multiple_of(REPEATED_CALL_INTERVAL) {
                sent += 1;
                let target = self.target_address(arrival.target_index + 1);
                let repeat_result = self.send_plain_once(plain, arrival, &key, target).await;
                log::debug!(
                    "standin load: repeat of acknowledged call {key}, expected success: {repeat_result:?}"
                );
            }
        }
        let outcome = Outcome {
            ending,
            stalled,
            send_delay,
        };
        (
            outcome,
            FinishedPlainCall {
                key,
                knowledge,
                sent,
            },
        )
    }

    /// Sends a call once; an error has the ending, and whether the call certainly did not run.
    async fn send_plain_once(
        &self,
        plain: &PlainLoad,
        arrival: &Arrival,
        key: &str,
        target: SocketAddr,
    ) -> Result<(), (Ending, bool)> {
        let request = self
            .client
            .post(format!("http://{target}{}", plain.path))
            .bearer_auth(&self.settings.callers[arrival.caller_index].key)
            .insert_header(("idempotency-key", key))
            .send_json(&json!({ "call": arrival.number }));
        let mut response = tokio::time::timeout(ANSWER_TIMEOUT, request)
            .await
            .map_err(|_elapsed| (broken_ending(SILENT), false))?
            .map_err(|error| {
                (
                    broken_ending(transport_code(&error)),
                    transport_code(&error) == CONNECT,
                )
            })?;
        let status = response.status();
        let run_header = response.headers().get(RUN_HEADER);
        let not_run =
            run_header.is_some_and(|run_header| run_header.as_bytes() == NOT_RUN_VALUE.as_bytes());
        let body = tokio::time::timeout(ANSWER_TIMEOUT, response.body())
            .await
            .map_err(|_elapsed| (broken_ending(SILENT), false))?
            .map_err(|_error| (broken_ending(CUT), false))?;
        if status.is_success() {
            return Ok(());
        }
        Err((refused_ending(status.as_u16(), &body), not_run))
    }
}

/// Compares the clients' results with the services' counts.
pub(super) fn build_plain_report(
    calls: &[FinishedPlainCall],
    run_counts: Option<&[RunCounts]>,
) -> PlainReport {
    let mut report = PlainReport {
        calls: calls.len() as u64,
        checked: run_counts.is_some(),
        ..PlainReport::default()
    };
    let runs_by_key = count_by_key(run_counts.unwrap_or_default());
    for call in calls {
        let count = runs_by_key.get(call.key.as_str()).copied().unwrap_or(0);
        report.sent += u64::from(call.sent);
        report.twice += u64::from(count > 1);
        match call.knowledge {
            RunKnowledge::Acknowledged => {
                report.acknowledged += 1;
                report.lost += u64::from(run_counts.is_some() && count == 0);
            }
            RunKnowledge::NotRun => {
                report.refused += 1;
                report.untrue += u64::from(count > 0);
            }
            RunKnowledge::Unknown => report.unknown += 1,
        }
    }
    report
}

fn count_by_key(run_counts: &[RunCounts]) -> FastMap<&str, u64> {
    let mut runs_by_key = FastMap::default();
    for run in run_counts.iter().flat_map(|counts| &counts.keys) {
        *runs_by_key.entry(run.id_or_key.as_str()).or_default() += run.count;
    }
    runs_by_key
}

/// Reads the counts of all plain services.
///
/// Returns none if any of them cannot be read, or if no service is given.
pub(super) async fn read_counts(services: &[SocketAddr]) -> Option<Vec<RunCounts>> {
    let client = Client::default();
    let mut all = Vec::new();
    for service in services {
        let url = format!("http://{service}/admin/runs");
        let mut response = client.get(url).send().await.ok()?;
        let body = response.body().limit(MAX_COUNTS_BYTES).await.ok()?;
        all.push(serde_json::from_slice(&body).ok()?);
    }
    (!all.is_empty()).then_some(all)
}
