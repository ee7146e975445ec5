//! Counts the outcomes of requests by organisation and class.
//!
//! Decides whether an answer counts as attained: complete, correct and within
//! the latency goal. Plain calls need not meet the goal.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::Class;
use hdrhistogram::Histogram;

use super::outcome::{Ending, Outcome, Timing};
use super::plain::FinishedPlainCall;
use super::schedule::Arrival;
use super::settings::{LatencyObjective, LoadSettings};

/// Maximum value of a histogram; longer times count as this one.
const MAX_TIME_US: u64 = 600_000_000;
/// Precision of the histograms in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of times, in microseconds.
#[derive(Clone, Debug)]
pub(super) struct TimeHistogram(Histogram<u64>);

impl Default for TimeHistogram {
    fn default() -> Self {
        let bounded = Histogram::new_with_max(MAX_TIME_US, SIGNIFICANT_DIGITS);
        Self(
            bounded
                .unwrap_or_else(|_error| unreachable!("the bounds of the histogram are constants")),
        )
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
    pub(super) fn quantile(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64 / 1000.0
    }
}

/// The counts of one organisation and class.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    pub(super) requests: u64,
    pub(super) within: u64,
    pub(super) completed: u64,
    pub(super) attained: u64,
    pub(super) served: u64,
    pub(super) refused: u64,
    pub(super) wrongful: u64,
    pub(super) broken: u64,
    pub(super) wrong: u64,
    pub(super) stalled: u64,
    pub(super) first: TimeHistogram,
    pub(super) gap: TimeHistogram,
    pub(super) whole: TimeHistogram,
}

impl Counts {
    pub(super) fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.within += other.within;
        self.completed += other.completed;
        self.attained += other.attained;
        self.served += other.served;
        self.refused += other.refused;
        self.wrongful += other.wrongful;
        self.broken += other.broken;
        self.wrong += other.wrong;
        self.stalled += other.stalled;
        self.first.merge(&other.first);
        self.gap.merge(&other.gap);
        self.whole.merge(&other.whole);
    }
}

/// The outcomes of a load, or of one thread's part of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    pub(super) counts: BTreeMap<(String, Class), Counts>,
    pub(super) refusals: BTreeMap<String, u64>,
    pub(super) breaks: BTreeMap<String, u64>,
    pub(super) late: TimeHistogram,
    pub(super) plain: Vec<FinishedPlainCall>,
}

impl Tally {
    pub(super) fn add(&mut self, settings: &LoadSettings, arrival: &Arrival, outcome: &Outcome) {
        let caller = &settings.callers[arrival.caller];
        let key = (caller.org.clone(), caller.class);
        let counts = self.counts.entry(key).or_default();
        counts.requests += 1;
        counts.within += u64::from(arrival.within);
        counts.stalled += u64::from(outcome.stalled);
        self.late.add(outcome.send_delay);
        match &outcome.ending {
            Ending::Complete { timing, correct } => {
                let attained =
                    *correct && (arrival.plain || meets_objective(timing, settings.objective));
                counts.completed += 1;
                counts.wrong += u64::from(!correct);
                counts.attained += u64::from(attained);
                counts.served += u64::from(attained && arrival.within);
                counts.whole.add(timing.total);
                if !arrival.plain {
                    counts.first.add(timing.first_token);
                }
                for gap in &timing.gaps {
                    counts.gap.add(*gap);
                }
            }
            Ending::Refused { status, code } => {
                counts.refused += 1;
                counts.wrongful += u64::from(arrival.within);
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
        self.late.merge(&other.late);
        self.plain.extend(other.plain);
    }
}

/// Returns whether the times of an answer meet the latency goal.
fn meets_objective(timing: &Timing, objective: LatencyObjective) -> bool {
    if timing.first_token > objective.first {
        return false;
    }
    let Some(count) = u32::try_from(timing.gaps.len())
        .ok()
        .filter(|count| *count > 0)
    else {
        return true;
    };
    let mean = timing.gaps.iter().sum::<Duration>() / count;
    let mut sorted = timing.gaps.clone();
    sorted.sort_unstable();
    let rank = (sorted.len() * 95).div_ceil(100);
    mean <= objective.mean && sorted[rank - 1] <= objective.tail
}
