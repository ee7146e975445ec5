//! A bound on retries as a fraction of fresh calls.
//!
//! Retries without a bound multiply the load of a fleet that is already failing.

use eelgrasshill_domain::{Moment, record};

/// Parts of one retry in which the budget is counted.
const PARTS: u64 = 1000;

record! {
    /// How many retries are allowed.
    #[derive(Copy)]
    pub struct RetrySettings {
        /// Retries earned by a thousand fresh calls.
        pub per_thousand: u64,
        /// Most retries saved up, and the number at the start.
        pub burst: u64,
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            per_thousand: 100,
            burst: 20,
        }
    }
}

/// A token bucket that fresh calls fill and retries empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    parts: u64,
    refused: Option<Moment>,
}

impl RetryBudget {
    /// Starts with a full bucket.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            parts: settings.burst * PARTS,
            refused: None,
        }
    }

    /// Counts a fresh call.
    pub fn note_fresh(&mut self) {
        let full = self.settings.burst * PARTS;
        self.parts = full.min(self.parts + self.settings.per_thousand);
    }

    /// Returns when a retry was last refused.
    #[must_use]
    pub fn last_refused(&self) -> Option<Moment> {
        self.refused
    }

    /// Takes one retry, if one is left.
    pub(crate) fn take(&mut self, now: Moment) -> bool {
        let Some(left) = self.parts.checked_sub(PARTS) else {
            self.refused = Some(now);
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
