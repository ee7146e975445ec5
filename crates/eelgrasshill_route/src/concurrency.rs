//! Adaptive limit on the answers that an upstream runs at once.
//!
//! Each answer in a batch slows all of its tokens, and an engine accepts more requests than it can
//! serve in time. The limit follows the share of tokens that come late. The time between tokens
//! looks the same to every entry host, so all of them arrive at the same limit without exchanging
//! it.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment, record};

const PER_MILLE: u64 = 1000;

record! {
    /// How the limit on running answers is adapted.
    #[derive(Copy)]
    pub struct ConcurrencySettings {
        /// Longest time between two tokens at which the second is not late.
        #[serde(rename = "target")]
        pub target_gap: Duration,
        /// Share of late tokens above which the limit is lowered, in thousandths.
        #[serde(rename = "most")]
        pub lower_above: u64,
        /// Share of late tokens below which the limit is raised, in thousandths.
        #[serde(rename = "least")]
        pub raise_below: u64,
        /// Shortest time between two changes of the limit.
        pub period: Duration,
        /// Minimum number of tokens counted before a change of the limit.
        #[serde(rename = "tokens")]
        pub min_tokens: u64,
    }
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self {
            target_gap: Duration::from_millis(39),
            lower_above: 30,
            raise_below: 10,
            period: Duration::from_secs(1),
            min_tokens: 20,
        }
    }
}

/// Limit of one upstream, and its tokens since the last change.
#[derive(Clone, Copy, Debug)]
struct HostLimit {
    limit: Option<u32>,
    tokens: u64,
    late: u64,
    period_start: Moment,
}

/// Limits on running answers, by upstream, as one entry host has learned them.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    settings: ConcurrencySettings,
    hosts: FastMap<HostName, HostLimit>,
}

impl ConcurrencyLimiter {
    /// Makes a limiter without any limits.
    #[must_use]
    pub fn new(settings: ConcurrencySettings) -> Self {
        Self {
            settings,
            hosts: FastMap::default(),
        }
    }

    /// Counts a token that came `gap` after the one before it.
    pub fn record_gap(&mut self, host: &HostName, gap: Duration, now: Moment) {
        let late = u64::from(gap > self.settings.target_gap);
        let host_limit = self.hosts.entry(host.clone()).or_insert(HostLimit {
            limit: None,
            tokens: 0,
            late: 0,
            period_start: now,
        });
        host_limit.tokens += 1;
        host_limit.late += late;
    }

    /// Returns the number of an upstream's slots to use.
    ///
    /// Adapts the limit first, if the period is over. `running` is the upstream's reported load.
    pub fn usable_slots(&mut self, host: &HostName, running: u32, slots: u32, now: Moment) -> u32 {
        let settings = self.settings;
        let Some(host_limit) = self.hosts.get_mut(host) else {
            return slots;
        };
        if now.since(host_limit.period_start) >= settings.period
            && host_limit.tokens >= settings.min_tokens
        {
            host_limit.step(&settings, running, slots);
            host_limit.tokens = 0;
            host_limit.late = 0;
            host_limit.period_start = now;
        }
        host_limit.limit.map_or(slots, |limit| limit.min(slots))
    }

    /// Drops the limits of upstreams for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&HostName) -> bool) {
        self.hosts.retain(|host, _limit| is_known(host));
    }
}

impl HostLimit {
    /// Lowers or raises the limit by the share of late tokens since the last change.
    fn step(&mut self, settings: &ConcurrencySettings, running: u32, slots: u32) {
        let limit = self.limit.unwrap_or(slots).min(slots);
        let late_permille = self.late * PER_MILLE / self.tokens.max(1);
        if late_permille > settings.lower_above {
            self.limit = Some(limit.min(running.max(1)).saturating_sub(1).max(1));
        } else if late_permille < settings.raise_below && running + 1 >= limit {
            self.limit = Some((limit + 1).min(slots));
        }
    }
}
