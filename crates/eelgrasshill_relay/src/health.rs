//! Passive health of upstreams, from the outcomes of this host's own requests.
//!
//! Active health checks can contradict what callers see, so only outcomes count. A failure adds a
//! penalty that decays. A failed connection or a missing answer ejects the upstream for a time that
//! doubles with each such outcome in a row.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment, record, scalar};

/// Half-life of a failure's penalty.
///
/// Long enough to span the time between requests of a quiet host.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Time of the first ejection of an unreachable upstream.
const MIN_EJECTION: Duration = Duration::from_millis(400);

/// Longest ejection of an unreachable upstream.
const MAX_EJECTION: Duration = Duration::from_secs(3);

/// Maximum exponent of the doubling, which keeps the shift from overflowing.
///
/// The longest ejection is reached before it.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Penalty of a failure.
const FAILURE_PENALTY_PERMILLE: u64 = 1_000;

/// Penalty of a refusal by a full upstream, which counts less than a failure.
const FULL_PENALTY_PERMILLE: u64 = 300;

/// Divides the penalty at each success.
const SUCCESS_PENALTY_DIVISOR: u64 = 2;

scalar! {
    /// Outcome of a request, as evidence about its upstream.
    pub enum RequestOutcome {
        /// An answer without a failure.
        #[serde(rename = "sound")]
        Success,
        /// An error of the upstream itself, or a broken answer.
        Failed,
        /// No connection, or no answer in time.
        Unreachable,
        /// A refusal because the upstream is at capacity.
        Full,
    }
}

record! {
    #[derive(Copy, Default)]
    struct Record {
        // Thousandths of a failure.
        #[serde(rename = "weight")]
        penalty: u64,
        // When the penalty was last updated.
        at: Moment,
        // Outcomes without any answer, in a row.
        misses: u32,
        #[serde(rename = "aside")]
        ejected_until: Option<Moment>,
    }
}

/// Health of all upstreams, as seen by this host.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    records: FastMap<HostName, Record>,
}

impl UpstreamHealth {
    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, id: &HostName, outcome: RequestOutcome, now: Moment) {
        let record = self.records.entry(id.clone()).or_default();
        record.decay(now);
        match outcome {
            RequestOutcome::Success => {
                record.penalty /= SUCCESS_PENALTY_DIVISOR;
                record.misses = 0;
                record.ejected_until = None;
            }
            RequestOutcome::Failed => record.penalty += FAILURE_PENALTY_PERMILLE,
            RequestOutcome::Full => record.penalty += FULL_PENALTY_PERMILLE,
            RequestOutcome::Unreachable => {
                let ejection = MIN_EJECTION
                    .saturating_mul(1 << record.misses.min(MAX_EJECTION_DOUBLINGS))
                    .min(MAX_EJECTION);
                record.misses += 1;
                record.penalty += FAILURE_PENALTY_PERMILLE;
                record.ejected_until = Some(now.after(ejection));
            }
        }
    }

    /// Returns the decayed number of recent failures, in thousandths.
    #[must_use]
    pub fn failures(&self, id: &HostName, now: Moment) -> u64 {
        self.records.get(id).map_or(0, |record| {
            let mut record = *record;
            record.decay(now);
            record.penalty
        })
    }

    /// Returns whether an upstream is ejected and used only if no other is available.
    #[must_use]
    pub fn is_ejected(&self, id: &HostName, now: Moment) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.ejected_until.is_some_and(|until| now < until))
    }

    /// Returns the ejected upstreams.
    pub fn ejected(&self, now: Moment) -> impl Iterator<Item = &HostName> {
        let records = self.records.iter();
        records
            .filter(move |(_id, record)| record.ejected_until.is_some_and(|until| now < until))
            .map(|(id, _record)| id)
    }

    /// Removes upstreams that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&HostName) -> bool) {
        self.records.retain(|id, _record| is_known(id));
    }
}

impl Record {
    fn decay(&mut self, now: Moment) {
        let span = now.since(self.at).as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "penalties are small and not negative"
        )]
        let left = (self.penalty as f64 * (-span / FAILURE_HALF_LIFE.as_secs_f64()).exp2()) as u64;
        self.penalty = left;
        self.at = now;
    }
}
