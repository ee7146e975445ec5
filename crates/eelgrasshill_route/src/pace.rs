//! How many answers an upstream can run at once within the target between tokens.
//!
//! A batch grows slower with each answer, and an engine takes more than it can
//! serve in time. What a token's gap shows is the same on every entry host, so
//! that all of them come to the same bound without a word to each other.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment, record};

/// Parts in a whole, for shares of late tokens.
const PER_MILLE: u64 = 1000;

record! {
    /// How the bound on running answers is learned.
    #[derive(Copy)]
    pub struct PaceSettings {
        /// Longest time between two tokens that is in time.
        pub target: Duration,
        /// Share of late tokens above which the bound is lowered, in thousandths.
        pub most: u64,
        /// Share of late tokens below which the bound is raised, in thousandths.
        pub least: u64,
        /// Time over which tokens are counted before a step.
        pub period: Duration,
        /// Fewest tokens of a period that tell anything.
        pub tokens: u64,
    }
}

impl Default for PaceSettings {
    fn default() -> Self {
        Self {
            target: Duration::from_millis(39),
            most: 30,
            least: 10,
            period: Duration::from_secs(1),
            tokens: 20,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Pace {
    limit: Option<u32>,
    tokens: u64,
    late: u64,
    since: Moment,
}

/// The bounds that one entry host has learned.
#[derive(Clone, Debug)]
pub struct Pacer {
    settings: PaceSettings,
    hosts: FastMap<HostName, Pace>,
}

impl Pacer {
    /// Starts without any bound.
    #[must_use]
    pub fn new(settings: PaceSettings) -> Self {
        Self {
            settings,
            hosts: FastMap::default(),
        }
    }

    /// Notes the time between two tokens of an answer.
    pub fn note(&mut self, host: &HostName, gap: Duration, now: Moment) {
        let late = u64::from(gap > self.settings.target);
        let pace = self.hosts.entry(host.clone()).or_insert(Pace {
            limit: None,
            tokens: 0,
            late: 0,
            since: now,
        });
        pace.tokens += 1;
        pace.late += late;
    }

    /// Returns how many of an upstream's slots to use, given its load.
    pub fn slots(&mut self, host: &HostName, running: u32, slots: u32, now: Moment) -> u32 {
        let settings = self.settings;
        let Some(pace) = self.hosts.get_mut(host) else {
            return slots;
        };
        if now.since(pace.since) >= settings.period && pace.tokens >= settings.tokens {
            pace.step(&settings, running, slots);
            pace.tokens = 0;
            pace.late = 0;
            pace.since = now;
        }
        pace.limit.map_or(slots, |limit| limit.min(slots))
    }

    /// Forgets upstreams that are no longer in the tables.
    pub fn retain(&mut self, is_known: impl Fn(&HostName) -> bool) {
        self.hosts.retain(|host, _pace| is_known(host));
    }
}

impl Pace {
    fn step(&mut self, settings: &PaceSettings, running: u32, slots: u32) {
        let limit = self.limit.unwrap_or(slots).min(slots);
        let late = self.late * PER_MILLE / self.tokens.max(1);
        if late > settings.most {
            self.limit = Some(limit.min(running.max(1)).saturating_sub(1).max(1));
        } else if late < settings.least && running + 1 >= limit {
            self.limit = Some((limit + 1).min(slots));
        }
    }
}
