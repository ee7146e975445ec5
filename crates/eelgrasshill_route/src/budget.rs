//! Bound on retries, as a fraction of the calls made.
//!
//! Unbounded retries multiply the load of upstreams that are already failing.

use eelgrasshill_domain::{Moment, record};

/// Number of parts that one retry takes from the budget.
const PARTS_PER_RETRY: u64 = 1000;

record! {
    /// Rate and burst of retries.
    #[derive(Copy)]
    pub struct RetrySettings {
        /// Number of retries earned by a thousand first attempts.
        #[serde(rename = "per-thousand")]
        pub retries_per_1000: u64,
        /// Maximum number of unused retries, which is also the initial number.
        pub burst: u64,
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            retries_per_1000: 100,
            burst: 20,
        }
    }
}

/// Token bucket that first attempts fill and from which retries are taken.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    parts: u64,
    last_refused: Option<Moment>,
}

impl RetryBudget {
    /// Makes a full bucket.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            parts: settings.burst * PARTS_PER_RETRY,
            last_refused: None,
        }
    }

    /// Counts the first attempt of a call.
    pub fn record_call(&mut self) {
        let max_parts = self.settings.burst * PARTS_PER_RETRY;
        self.parts = max_parts.min(self.parts + self.settings.retries_per_1000);
    }

    /// Returns when a retry was last refused, if ever.
    #[must_use]
    pub fn last_refused(&self) -> Option<Moment> {
        self.last_refused
    }

    /// Takes one retry, and returns whether one was left.
    pub(crate) fn take(&mut self, now: Moment) -> bool {
        let Some(left) = self.parts.checked_sub(PARTS_PER_RETRY) else {
            self.last_refused = Some(now);
            return false;
        };
        self.parts = left;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetrySettings::default())
    }
}
