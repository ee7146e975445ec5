//! Loads from the weight store, bounded over all engines.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrasshill_domain::Moment;

/// Part of the allowed rate that is used, in percent: orders arrive with some jitter.
const USED: u64 = 95;

/// The loads of a window, and those under way.
#[derive(Clone, Debug)]
pub(crate) struct LoadBudget {
    window: Duration,
    // Loads in a thousand seconds.
    rate: u64,
    begun: VecDeque<Moment>,
    // Loads before this moment are unknown and taken as all that was allowed.
    since: Moment,
}

impl LoadBudget {
    pub(crate) fn new(window: Duration, now: Moment) -> Self {
        Self {
            window,
            rate: 0,
            begun: VecDeque::new(),
            since: now,
        }
    }

    pub(crate) fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    /// Forgets what was begun, as after a time in which another host gave the orders.
    pub(crate) fn restart(&mut self, now: Moment) {
        self.begun.clear();
        self.since = now;
    }

    /// Returns whether one more load, which takes `time`, may begin while `running` are under way.
    ///
    /// The allowed rate is that at which loads end when as many run as are fast together.
    pub(crate) fn allows(&mut self, running: usize, time: Duration, now: Moment) -> bool {
        while self
            .begun
            .front()
            .is_some_and(|at| now.since(*at) > self.window)
        {
            self.begun.pop_front();
        }
        let known = now.since(self.since).min(self.window).as_millis();
        let most = u128::from(self.rate) * known * u128::from(USED) / 100_000_000;
        let at_once = (u128::from(self.rate) * time.as_millis() / 1_000_000).max(1);
        (self.begun.len() as u128) < most.max(1) && (running as u128) < at_once
    }

    pub(crate) fn note(&mut self, now: Moment) {
        self.begun.push_back(now);
    }
}
