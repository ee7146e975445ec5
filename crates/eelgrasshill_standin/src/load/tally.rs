//! Counts the outcomes of requests by organisation and class.
//!
//! Decides whether an answer counts as attained: complete, correct and within
//! the latency objective. Plain calls need not meet the objective.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::Class;
use hdrhistogram::Histogram;

use super::outcome::{AnswerTimes, Ending, Outcome};
use super::plain::FinishedPlainCall;
use super::schedule::Arrival;
use super::settings::{LatencyObjective, LoadSettings};

/// Maximum value of a histogram; longer times count as this one.
const MAX_TIME_US: u64 = 600_000_000;
/// Precision of the histograms in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;
/// The percentile of the times between tokens that the latency objective bounds.
const OBJECTIVE_PERCENTILE: usize = 95;

/// A histogram of times, in microseconds.
#[derive(Clone, Debug)]
pub(super) struct TimeHistogram(Histogram<u64>);

impl Default for TimeHistogram {
    fn default() -> Self {
        let bounded = Histogram::new_with_max(MAX_TIME_US, SIGNIFICANT_DIGITS);
        Self(bounded.unwrap_or_else(|_error| {
            unreachable!("MAX_TIME_US and SIGNIFICANT_DIGITS are valid bounds of a histogram")
        }))
    }
}

impl TimeHistogram {
    fn add(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(MAX_TIME_US);
        self.0.saturating_record(micros);
    }

    fn merge(&mut self, other: &Self) {
        if let Err(error) = self.0.add(&other.0) {
            log::warn!("standin load: cannot merge time histograms: {error}");
        }
    }

    /// Returns the time at a quantile, in milliseconds.
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 us")]
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
    }
}

/// The counts of one organisation and class; [`LoadRow`](super::LoadRow) describes them.
#[derive(Clone, Debug, Default)]
pub(super) struct OutcomeCounts {
    pub(super) requests: u64,
    pub(super) within_limit: u64,
    pub(super) completed: u64,
    pub(super) attained: u64,
    pub(super) attained_within_limit: u64,
    pub(super) refused: u64,
    pub(super) refused_within_limit: u64,
    pub(super) broken: u64,
    pub(super) wrong_text: u64,
    pub(super) stalled: u64,
    pub(super) first_token_times: TimeHistogram,
    pub(super) token_gaps: TimeHistogram,
    pub(super) total_times: TimeHistogram,
}

impl OutcomeCounts {
    pub(super) fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.within_limit += other.within_limit;
        self.completed += other.completed;
        self.attained += other.attained;
        self.attained_within_limit += other.attained_within_limit;
        self.refused += other.refused;
        self.refused_within_limit += other.refused_within_limit;
        self.broken += other.broken;
        self.wrong_text += other.wrong_text;
        self.stalled += other.stalled;
        self.first_token_times.merge(&other.first_token_times);
        self.token_gaps.merge(&other.token_gaps);
        self.total_times.merge(&other.total_times);
    }
}

/// The outcomes of a load, or of one thread's part of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    pub(super) counts: BTreeMap<(String, Class), OutcomeCounts>,
    pub(super) refusals: BTreeMap<String, u64>,
    pub(super) breaks: BTreeMap<String, u64>,
    pub(super) send_delays: TimeHistogram,
    pub(super) plain: Vec<FinishedPlainCall>,
}

impl Tally {
    pub(super) fn add(&mut self, settings: &LoadSettings, arrival: &Arrival, outcome: &Outcome) {
        let caller = &settings.callers[arrival.caller_index];
        let key = (caller.organisation.clone(), caller.class);
        let counts = self.counts.entry(key).or_default();
        counts.requests += 1;
        counts.within_limit += u64::from(arrival.within_limit);
        counts.stalled += u64::from(outcome.stalled);
        self.send_delays.add(outcome.send_delay);
        match &outcome.ending {
            Ending::Complete { times, correct } => {
                let attained = *correct
                    && (arrival.is_plain_call || meets_objective(times, settings.objective));
                counts.completed += 1;
                counts.wrong_text += u64::from(!correct);
                counts.attained += u64::from(attained);
                counts.attained_within_limit += u64::from(attained && arrival.within_limit);
                counts.total_times.add(times.total);
                // A plain call has no tokens, and so no gaps either.
                if !arrival.is_plain_call {
                    counts.first_token_times.add(times.first_token);
                }
                for gap in &times.token_gaps {
                    counts.token_gaps.add(*gap);
                }
            }
            Ending::Refused { status, code } => {
                counts.refused += 1;
                counts.refused_within_limit += u64::from(arrival.within_limit);
                *self.refusals.entry(format!("{status} {code}")).or_default() += 1;
            }
            Ending::Broken { code } => {
                counts.broken += 1;
                *self.breaks.entry(code.clone()).or_default() += 1;
            }
        }
    }

    pub(super) fn merge(&mut self, other: Self) {
        for (key, counts) in &other.counts {
            self.counts.entry(key.clone()).or_default().merge(counts);
        }
        for (code, count) in other.refusals {
            *self.refusals.entry(code).or_default() += count;
        }
        for (code, count) in other.breaks {
            *self.breaks.entry(code).or_default() += count;
        }
        self.send_delays.merge(&other.send_delays);
        self.plain.extend(other.plain);
    }
}

/// Returns whether the times of an answer meet the latency objective.
fn meets_objective(times: &AnswerTimes, objective: LatencyObjective) -> bool {
    if times.first_token > objective.first_token {
        return false;
    }
    let Some(count) = u32::try_from(times.token_gaps.len())
        .ok()
        .filter(|count| *count > 0)
    else {
        return true;
    };
    let mean = times.token_gaps.iter().sum::<Duration>() / count;
    let mut sorted = times.token_gaps.clone();
    sorted.sort_unstable();
    // The nearest rank, counted from 1.
    let rank = (sorted.len() * OBJECTIVE_PERCENTILE).div_ceil(100);
    mean <= objective.mean_gap && sorted[rank - 1] <= objective.p95_gap
}
