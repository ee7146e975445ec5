//! A budget of repeats that all hosts share without a word to each other.
//!
//! Load pattern: a brown-out in which every host would repeat. The fleet may repeat a fraction of
//! its requests plus a fixed number in a window; each host takes its share of the fixed number by
//! the hosts that are registered, and the fraction of its own requests.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, PoolName, record};

record! {
    /// The fleet's bound on repeats.
    #[derive(Copy)]
    pub struct RetrySettings {
        /// Repeats for each thousand requests.
        pub ratio: u64,
        /// Repeats beyond the ratio, over all hosts.
        pub extra: u64,
        /// The window.
        pub window: Duration,
    }
}

/// Part of the bound that is used, in percent: arrivals cluster differently at the upstreams.
const USED: u64 = 80;

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

/// One host's share of the budget.
#[derive(Clone, Debug)]
pub struct RetryShare {
    settings: RetrySettings,
    hosts: u64,
    pools: FastMap<PoolName, Window>,
}

impl RetryShare {
    /// Makes a share among `hosts` hosts.
    #[must_use]
    pub fn new(settings: RetrySettings, hosts: u64) -> Self {
        Self {
            settings,
            hosts: hosts.max(1),
            pools: FastMap::default(),
        }
    }

    /// Puts another bound in force; what was sent before still counts.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        self.settings = settings;
    }

    /// Sets the number of hosts that share the budget.
    pub fn set_hosts(&mut self, hosts: u64) {
        self.hosts = hosts.max(1);
    }

    /// Notes the first send of a request.
    pub fn note_request(&mut self, pool: &PoolName, now: Moment) {
        let window = self.pools.entry(pool.clone()).or_default();
        window.requests.push_back(now);
        window.trim(self.settings.window, now);
    }

    /// Takes one repeat, if the share allows it.
    pub fn take(&mut self, pool: &PoolName, now: Moment) -> bool {
        let allowed = self.allows(pool, now);
        if allowed && let Some(window) = self.pools.get_mut(pool) {
            window.repeats.push_back(now);
        }
        allowed
    }

    /// Returns whether the share allows one more repeat.
    pub fn allows(&mut self, pool: &PoolName, now: Moment) -> bool {
        let window = self.pools.entry(pool.clone()).or_default();
        window.trim(self.settings.window, now);
        let requests = u64::try_from(window.requests.len()).unwrap_or(u64::MAX);
        let repeats = u64::try_from(window.repeats.len()).unwrap_or(u64::MAX);
        let most = requests * self.settings.ratio / 1_000 + self.settings.extra / self.hosts;
        repeats < most * USED / 100
    }
}

impl Window {
    fn trim(&mut self, span: Duration, now: Moment) {
        for queue in [&mut self.requests, &mut self.repeats] {
            while queue.front().is_some_and(|at| now.since(*at) > span) {
                queue.pop_front();
            }
        }
    }
}
