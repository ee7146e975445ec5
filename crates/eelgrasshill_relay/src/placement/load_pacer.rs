//! The limit on loads from the weight store, over all engines.
//!
//! Bounds both the loads that start within a window and those in progress, from the rate that the
//! configuration allows.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrasshill_domain::Moment;

/// Part of the allowed rate that is used, because orders arrive with some jitter.
const USED_PERCENT: u64 = 95;

/// Milliseconds in the thousand seconds to which the rate refers.
const RATE_PERIOD_MS: u128 = 1_000_000;

/// Limits how many loads start within a window and how many are in progress.
#[derive(Clone, Debug)]
pub(crate) struct LoadPacer {
    window: Duration,
    // Loads per thousand seconds.
    rate: u64,
    load_starts: VecDeque<Moment>,
    // Loads before this time are unknown, and are assumed to have used the whole rate.
    known_from: Moment,
}

impl LoadPacer {
    pub(crate) fn new(window: Duration, now: Moment) -> Self {
        Self {
            window,
            rate: 0,
            load_starts: VecDeque::new(),
            known_from: now,
        }
    }

    pub(crate) fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    /// Discards the recorded loads, because another host may have given orders meanwhile.
    pub(crate) fn restart(&mut self, now: Moment) {
        self.load_starts.clear();
        self.known_from = now;
    }

    /// Returns whether a load of duration `load_time` may start now.
    ///
    /// `running` loads are in progress, and `unanswered` ones may begin at any time. The weight store reaches the allowed rate with rate times
    /// duration loads at once; more of them would slow each other down.
    pub(crate) fn allows(
        &mut self,
        running: usize,
        unanswered: usize,
        load_time: Duration,
        now: Moment,
    ) -> bool {
        while self
            .load_starts
            .front()
            .is_some_and(|at| now.since(*at) > self.window)
        {
            self.load_starts.pop_front();
        }
        let known_ms = now.since(self.known_from).min(self.window).as_millis();
        let limit =
            u128::from(self.rate) * known_ms * u128::from(USED_PERCENT) / (RATE_PERIOD_MS * 100);
        let max_running = (u128::from(self.rate) * load_time.as_millis() / RATE_PERIOD_MS).max(1);
        let starts = self.load_starts.len() + unanswered;
        (starts as u128) < limit.max(1) && (running as u128) < max_running
    }

    pub(crate) fn record_load(&mut self, now: Moment) {
        self.load_starts.push_back(now);
    }
}
