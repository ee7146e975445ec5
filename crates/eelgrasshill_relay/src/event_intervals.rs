//! Time between the events of streams that nothing interrupts, learned for each pool.
//!
//! An event holds several tokens, and each takes a step of the engine, so prompts have only the rest
//! of an accepted pause. The median of the intervals is followed: prompts interrupt only a few.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, PoolName};

/// Part of the estimate by which an interval above or below it changes the estimate.
const GAIN: f64 = 0.02;

/// Shorter intervals are those of events that arrived together.
const MIN_INTERVAL: Duration = Duration::from_millis(2);

/// Intervals between events, by pool.
#[derive(Clone, Debug, Default)]
pub struct EventIntervals {
    medians: FastMap<PoolName, f64>,
}

impl EventIntervals {
    /// Records the interval between two events of a stream.
    pub fn record(&mut self, pool: &PoolName, interval: Duration) {
        if interval < MIN_INTERVAL {
            return;
        }
        let seconds = interval.as_secs_f64();
        let Some(median) = self.medians.get_mut(pool) else {
            self.medians.insert(pool.clone(), seconds);
            return;
        };
        if seconds > *median {
            *median *= 1.0 + GAIN;
        } else if seconds < *median {
            *median *= 1.0 - GAIN;
        }
    }

    /// Returns the usual interval; zero if nothing is known of the pool.
    #[must_use]
    pub fn usual(&self, pool: &PoolName) -> Duration {
        let median = self.medians.get(pool);
        median.map_or(Duration::ZERO, |seconds| Duration::from_secs_f64(*seconds))
    }
}
