//! A retry budget that all hosts share without communication.
//!
//! It prevents a retry storm in a brown-out that affects every host. Within a window, the fleet may
//! retry a fraction of its requests plus a fixed number. Each host may retry that fraction of its
//! own requests, plus the fixed number divided by the number of registered hosts.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, PoolName, record};

record! {
    /// Limit on the retries of all hosts.
    #[derive(Copy)]
    pub struct RetrySettings {
        /// Retries per thousand requests.
        #[serde(rename = "ratio")]
        pub retries_per_1000: u64,
        /// Retries on top of that fraction, for all hosts together.
        #[serde(rename = "extra")]
        pub fleet_retries: u64,
        /// Time over which requests and retries are counted.
        pub window: Duration,
    }
}

/// Part of the limit that is used, because arrivals cluster differently at the upstreams.
const USED_PERCENT: u64 = 80;

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// One host's share of the retry budget.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    hosts: u64,
    pools: FastMap<PoolName, Window>,
}

impl RetryBudget {
    /// Creates one of `hosts` equal shares.
    #[must_use]
    pub fn new(settings: RetrySettings, hosts: u64) -> Self {
        Self {
            settings,
            hosts: hosts.max(1),
            pools: FastMap::default(),
        }
    }

    /// Replaces the limit; requests and retries so far still count.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        self.settings = settings;
    }

    /// Sets how many hosts share the budget.
    pub fn set_hosts(&mut self, hosts: u64) {
        self.hosts = hosts.max(1);
    }

    /// Records the first attempt of a request.
    pub fn note_request(&mut self, pool: &PoolName, now: Moment) {
        let window = self.pools.entry(pool.clone()).or_default();
        window.requests.push_back(now);
        window.trim(self.settings.window, now);
    }

    /// Records one retry if the share allows it, and returns whether it does.
    pub fn take(&mut self, pool: &PoolName, now: Moment) -> bool {
        let allowed = self.allows(pool, now);
        if allowed && let Some(window) = self.pools.get_mut(pool) {
            window.retries.push_back(now);
        }
        allowed
    }

    /// Returns whether the share allows another retry.
    pub fn allows(&mut self, pool: &PoolName, now: Moment) -> bool {
        let window = self.pools.entry(pool.clone()).or_default();
        window.trim(self.settings.window, now);
        let requests = u64::try_from(window.requests.len()).unwrap_or(u64::MAX);
        let retries = u64::try_from(window.retries.len()).unwrap_or(u64::MAX);
        let limit = requests * self.settings.retries_per_1000 / 1_000
            + self.settings.fleet_retries / self.hosts;
        retries < limit * USED_PERCENT / 100
    }
}

impl Window {
    fn trim(&mut self, span: Duration, now: Moment) {
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|at| now.since(*at) > span) {
                queue.pop_front();
            }
        }
    }
}
