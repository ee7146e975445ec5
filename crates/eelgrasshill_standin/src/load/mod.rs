//! The load tool: sends open-loop load and judges the answers.
//!
//! Arrivals are drawn from a seed before the start. They do not depend on the answers
//! (open loop), so that a slow server gets as many requests as a fast one.

mod client;
mod outcome;
mod plain;
mod report;
mod schedule;
mod settings;
mod tally;

use std::time::{Duration, Instant};

use derive_more::{Display, Error, From};
use futures_util::stream::{FuturesUnordered, StreamExt};

pub use plain::PlainReport;
pub use report::{LoadReport, LoadRow, Quantiles, WorstServed};
pub use schedule::{Arrival, schedule};
pub use settings::{
    Burst, LatencyObjective, LoadCaller, LoadSettings, ModelShare, PlainLoad, Subject, TokenLimit,
};

use client::LoadClient;
use tally::Tally;

/// Time for the threads to start before the schedule begins.
const START_DELAY: Duration = Duration::from_millis(50);

/// Why a load could not be run.
#[derive(Debug, Display, Error, From)]
pub enum LoadError {
    /// The settings have no target, no caller or no model.
    #[display("a load needs at least one target, one caller and one model")]
    NothingToSend,
    /// The lower bound of a length range exceeds its upper bound.
    #[display("the minimum length of a prompt or answer exceeds the maximum")]
    InvertedRange,
    /// A sending thread could not be started.
    #[display("cannot start a sending thread: {_0}")]
    Thread(std::io::Error),
    /// A sending thread panicked.
    #[display("a sending thread panicked")]
    Panicked,
    /// The report could not be serialised.
    #[display("cannot write the report as JSON: {_0}")]
    Report(serde_json::Error),
}

/// Runs a load on its own threads and returns the report.
///
/// # Errors
///
/// Returns [`LoadError`] when the settings are invalid or a thread fails.
pub fn run_load(settings: &LoadSettings) -> Result<LoadReport, LoadError> {
    validate(settings)?;
    let arrivals = schedule(settings);
    let start = Instant::now() + START_DELAY;
    let threads = settings.threads.max(1);
    let mut tally = std::thread::scope(|scope| {
        let arrivals = &arrivals;
        let mut handles = Vec::new();
        for thread_index in 0..threads {
            let thread_main = move || {
                let thread_arrivals = arrivals.iter().skip(thread_index).step_by(threads);
                actix_web::rt::System::new().block_on(send(settings, thread_arrivals, start))
            };
            let builder = std::thread::Builder::new().name("load".to_owned());
            handles.push(builder.spawn_scoped(scope, thread_main)?);
        }
        let mut tally = Tally::default();
        for handle in handles {
            tally.merge(handle.join().map_err(|_panic| LoadError::Panicked)?);
        }
        Ok::<_, LoadError>(tally)
    })?;
    let seconds = start.elapsed().as_secs_f64();
    let plain = settings.plain.as_ref().map(|plain| {
        let counts_future = plain::read_counts(&plain.checked_services);
        let run_counts = actix_web::rt::System::new().block_on(counts_future);
        plain::build_plain_report(&std::mem::take(&mut tally.plain), run_counts.as_deref())
    });
    Ok(LoadReport::new(settings, &tally, seconds, plain))
}

/// Checks what would make the load panic; rates, shares and factors are trusted.
fn validate(settings: &LoadSettings) -> Result<(), LoadError> {
    let empty =
        settings.targets.is_empty() || settings.callers.is_empty() || settings.models.is_empty();
    if empty {
        return Err(LoadError::NothingToSend);
    }
    let ranges = [settings.prompt_words, settings.answer_tokens];
    if ranges.iter().any(|(min, max)| min > max) {
        return Err(LoadError::InvertedRange);
    }
    Ok(())
}

/// Sends one thread's part of the arrivals, each at its due time.
async fn send(
    settings: &LoadSettings,
    arrivals: impl Iterator<Item = &Arrival>,
    start: Instant,
) -> Tally {
    let load_client = LoadClient::new(settings);
    let mut tally = Tally::default();
    let mut requests_in_flight = FuturesUnordered::new();
    let mut arrivals = arrivals.peekable();
    loop {
        let due = arrivals.peek().map(|arrival| start + arrival.due);
        if due.is_none() && requests_in_flight.is_empty() {
            return tally;
        }
        let next_due = async {
            match due {
                Some(due) => tokio::time::sleep_until(due.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = next_due => {
                if let (Some(arrival), Some(due)) = (arrivals.next(), due) {
                    requests_in_flight.push(send_one(&load_client, arrival, due));
                }
            }
            Some((arrival, outcome, plain_call)) = requests_in_flight.next() => {
                tally.add(settings, arrival, &outcome);
                tally.plain.extend(plain_call);
            }
        }
    }
}

async fn send_one<'a>(
    load_client: &LoadClient<'_>,
    arrival: &'a Arrival,
    due: Instant,
) -> (
    &'a Arrival,
    outcome::Outcome,
    Option<plain::FinishedPlainCall>,
) {
    match &load_client.settings.plain {
        Some(plain) if arrival.is_plain_call => {
            let (outcome, plain_call) = load_client.send_plain(plain, arrival, due).await;
            (arrival, outcome, Some(plain_call))
        }
        Some(_) | None => (arrival, load_client.send_chat(arrival, due).await, None),
    }
}
