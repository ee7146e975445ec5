//! The load tool: sends open-loop load and judges the answers.
//!
//! Arrivals are drawn from a seed before the start and do not depend on the
//! answers, so that a slow server is not spared requests.

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

use client::Sender;
use tally::Tally;

/// Time for the threads to start before the schedule begins.
const START_DELAY: Duration = Duration::from_millis(50);

/// Why a load could not be run.
#[derive(Debug, Display, Error, From)]
pub enum LoadError {
    /// The settings have no target, no caller or no model.
    #[display("a load needs at least one target, one caller and one model")]
    Empty,
    /// The lower bound of a length range exceeds its upper bound.
    #[display("the lower bound of a prompt or answer length exceeds its upper bound")]
    Range,
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
        let mut running = Vec::new();
        for thread in 0..threads {
            let thread_main = move || {
                let own = arrivals.iter().skip(thread).step_by(threads);
                actix_web::rt::System::new().block_on(send(settings, own, start))
            };
            let builder = std::thread::Builder::new().name("load".to_owned());
            running.push(builder.spawn_scoped(scope, thread_main)?);
        }
        let mut all = Tally::default();
        for thread in running {
            all.merge(thread.join().map_err(|_panic| LoadError::Panicked)?);
        }
        Ok::<_, LoadError>(all)
    })?;
    let seconds = start.elapsed().as_secs_f64();
    let plain = settings.plain.as_ref().map(|plain| {
        let read = plain::read_counts(&plain.check);
        let runs = actix_web::rt::System::new().block_on(read);
        plain::compare(&std::mem::take(&mut tally.plain), runs.as_deref())
    });
    Ok(LoadReport::new(settings, &tally, seconds, plain))
}

fn validate(settings: &LoadSettings) -> Result<(), LoadError> {
    let empty =
        settings.targets.is_empty() || settings.callers.is_empty() || settings.models.is_empty();
    if empty {
        return Err(LoadError::Empty);
    }
    let ranges = [settings.prompt, settings.answer];
    if ranges.iter().any(|(low, high)| low > high) {
        return Err(LoadError::Range);
    }
    Ok(())
}

/// Sends one thread's part of the arrivals, each at its due time.
async fn send(
    settings: &LoadSettings,
    arrivals: impl Iterator<Item = &Arrival>,
    start: Instant,
) -> Tally {
    let sender = Sender::new(settings);
    let mut tally = Tally::default();
    let mut open = FuturesUnordered::new();
    let mut arrivals = arrivals.peekable();
    loop {
        let due = arrivals.peek().map(|arrival| start + arrival.at);
        if due.is_none() && open.is_empty() {
            return tally;
        }
        let wait = async {
            match due {
                Some(due) => tokio::time::sleep_until(due.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = wait => {
                if let (Some(arrival), Some(due)) = (arrivals.next(), due) {
                    open.push(send_one(&sender, arrival, due));
                }
            }
            Some((arrival, outcome, call)) = open.next() => {
                tally.add(settings, arrival, &outcome);
                tally.plain.extend(call);
            }
        }
    }
}

async fn send_one<'a>(
    sender: &Sender<'_>,
    arrival: &'a Arrival,
    due: Instant,
) -> (
    &'a Arrival,
    outcome::Outcome,
    Option<plain::FinishedPlainCall>,
) {
    match &sender.settings.plain {
        Some(plain) if arrival.plain => {
            let (outcome, call) = sender.plain(plain, arrival, due).await;
            (arrival, outcome, Some(call))
        }
        Some(_) | None => (arrival, sender.chat(arrival, due).await, None),
    }
}
