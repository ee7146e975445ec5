//! The limit on requests to cold engines, over all hosts and without a central counter.
//!
//! An engine is cold for some time after its start and may become cold again. Until then it takes
//! few requests per second and crashes at a rate well above that. A cold engine has a fixed number
//! of permits, each of which allows one request per period. Which host has a permit follows from a
//! hash of the engine's start, the permit's number and the registered hosts, so that hosts agree
//! without a message, also while they are partitioned. Hosts that know other registrations may give
//! a permit to two hosts; the number of permits leaves room for that.
//!
//! After the cold time the period of the permits is halved in steps, so that load does not jump.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment, PoolName, record, rendezvous_weight};

use crate::Upstream;

/// Time between two requests under one permit.
///
/// The rule counts arrivals within a second. The rest is for requests whose way to the engine takes
/// longer than that of the next one.
const PERMIT_PERIOD: Duration = Duration::from_millis(1_250);

/// Time between two steps in which the rate grows after the cold time.
const RAMP_STEP: Duration = Duration::from_millis(500);

/// Number of these steps; each doubles the rate.
const RAMP_STEPS: u32 = 3;

/// Time by which the clocks of an engine and of a host may differ.
const CLOCK_SLACK: Duration = Duration::from_secs(2);

/// Longest cold time that is believed; a faulty engine must not be left out for good.
const MAX_COLD_TIME: Duration = Duration::from_mins(1);

/// Views of the registered hosts that may be in use at once, for example of two partitions.
const MAX_VIEWS: u64 = 2;

record! {
    /// How cold engines of a pool are treated.
    #[derive(Copy)]
    pub struct ColdRule {
        /// Time for which an engine is cold after its start.
        pub start: Duration,
        /// Requests per thousand seconds that a cold engine takes.
        #[serde(rename = "rate")]
        pub per_1000_s: u64,
    }

    /// Bound on the requests to a cold engine within a second, relative to its rate.
    #[derive(Copy)]
    pub struct ColdBound {
        /// Factor in percent.
        #[serde(rename = "over")]
        pub over_percent: u64,
        /// Requests beyond that.
        pub slack: u64,
    }
}

impl ColdRule {
    /// Returns the number of permits for each cold engine.
    ///
    /// They stay below the rate, and within the bound if each is in use in several views.
    #[must_use]
    pub fn permits(&self, bound: Option<ColdBound>) -> u64 {
        let by_rate = self.per_1000_s / 1_000;
        bound.map_or(by_rate, |bound| {
            let limit = self.per_1000_s * bound.over_percent / 100_000 + bound.slack;
            by_rate.min(limit / MAX_VIEWS)
        })
    }
}

/// An engine that is cold, or warm for a short time.
#[derive(Clone, Debug)]
struct ColdEngine {
    pool: PoolName,
    // Start time of the engine; a restarted engine is cold anew.
    started_ms: u64,
    warm_at: Moment,
    // When each permit of this host may be used next.
    permits: FastMap<u64, Moment>,
}

impl ColdEngine {
    /// Returns when load is no longer limited.
    fn free_at(&self) -> Moment {
        self.warm_at.after(RAMP_STEP * RAMP_STEPS)
    }

    /// Returns the time between two requests under one permit.
    fn period(&self, now: Moment) -> Duration {
        if now < self.warm_at {
            return PERMIT_PERIOD;
        }
        let step = now.since(self.warm_at).as_millis() / RAMP_STEP.as_millis();
        PERMIT_PERIOD / (2 << u32::try_from(step).unwrap_or(RAMP_STEPS).min(RAMP_STEPS))
    }
}

/// The cold engines that this host knows, with its permits.
#[derive(Clone, Debug, Default)]
pub struct ColdEngines {
    rules: FastMap<PoolName, ColdRule>,
    bound: Option<ColdBound>,
    engines: FastMap<HostName, ColdEngine>,
    // Latest known start of each engine of a pool with a rule.
    starts: FastMap<HostName, u64>,
    host: Option<HostName>,
    hosts: Vec<HostName>,
    hosts_since: Moment,
    // Hash of each other registered host, and of this one if it is registered.
    other_hashes: Vec<u64>,
    own_hash: Option<u64>,
    started_at: Moment,
}

impl ColdEngines {
    /// Creates the state of a host that started at the given moment.
    #[must_use]
    pub fn new(host: HostName, bound: Option<ColdBound>, started_at: Moment) -> Self {
        Self {
            host: Some(host),
            bound,
            started_at,
            ..Self::default()
        }
    }

    /// Sets the rules of a configuration; pools that are not given have none.
    pub fn set_rules(&mut self, rules: FastMap<PoolName, ColdRule>) {
        self.rules = rules;
        let rules = &self.rules;
        self.engines
            .retain(|_id, engine| rules.contains_key(&engine.pool));
    }

    /// Sets the registered hosts.
    ///
    /// A permit that this host gets by it may just have been used by the host that had it.
    pub fn set_hosts(&mut self, hosts: Vec<HostName>, now: Moment) {
        if self.hosts == hosts {
            return;
        }
        self.hosts = hosts;
        self.hosts_since = now;
        let hash = |host: &HostName| rendezvous_weight(host.as_str(), "cold-permit");
        let (own, others): (Vec<_>, Vec<_>) = self
            .hosts
            .iter()
            .partition(|host| self.host.as_ref() == Some(*host));
        self.other_hashes = others.into_iter().map(hash).collect();
        self.own_hash = own.first().copied().map(hash);
        let mut engines = std::mem::take(&mut self.engines);
        for (id, engine) in &mut engines {
            self.assign_permits(id, engine, now.after(PERMIT_PERIOD));
        }
        self.engines = engines;
    }

    /// Applies an upstream's entry; returns whether it made the upstream cold.
    ///
    /// `wall_ms` is this host's wall clock in milliseconds since 1970. It only tells whether a start
    /// that was not known before is recent.
    pub fn note_entry(&mut self, upstream: &Upstream, wall_ms: u64, now: Moment) -> bool {
        let Some(rule) = self.rules.get(&upstream.pool) else {
            return false;
        };
        let known_start = self.starts.insert(upstream.id.clone(), upstream.started_ms);
        let age = Duration::from_millis(wall_ms.saturating_sub(upstream.started_ms));
        let is_new = known_start != Some(upstream.started_ms);
        let remaining = if is_new && age < rule.start + CLOCK_SLACK {
            upstream.cold_remaining.max(rule.start)
        } else {
            upstream.cold_remaining
        };
        self.note(upstream, remaining, now)
    }

    /// Applies an upstream's own word of how long it stays cold; returns whether it became cold.
    ///
    /// Of two statements the one that ends later counts: an entry may have been on its way when an
    /// answer said that the engine is cold again.
    pub fn note(&mut self, upstream: &Upstream, remaining: Duration, now: Moment) -> bool {
        if remaining.is_zero() || !self.rules.contains_key(&upstream.pool) {
            return false;
        }
        let warm_at = now.after(remaining.min(MAX_COLD_TIME));
        if let Some(known) = self.engines.get_mut(&upstream.id)
            && known.started_ms == upstream.started_ms
        {
            let was_warm = known.warm_at <= now;
            known.warm_at = known.warm_at.max(warm_at);
            return was_warm;
        }
        let mut engine = ColdEngine {
            pool: upstream.pool.clone(),
            started_ms: upstream.started_ms,
            warm_at,
            permits: FastMap::default(),
        };
        // An earlier process of this host, or the owner by the registrations before, may just have
        // used the permits.
        let usable_at = self.started_at.max(self.hosts_since).after(PERMIT_PERIOD);
        self.assign_permits(&upstream.id, &mut engine, usable_at);
        self.engines.insert(upstream.id.clone(), engine);
        true
    }

    /// Gives this host its permits for an engine; new ones are usable from a moment on.
    fn assign_permits(&self, id: &HostName, engine: &mut ColdEngine, usable_at: Moment) {
        let permits = self
            .rules
            .get(&engine.pool)
            .map_or(0, |rule| rule.permits(self.bound));
        let before = std::mem::take(&mut engine.permits);
        let subject = |number| format!("{id}/{}/{number}", engine.started_ms);
        let owned = (0..permits).filter(|number| self.is_first(&subject(*number)));
        engine.permits = owned
            .map(|number| (number, before.get(&number).copied().unwrap_or(usable_at)))
            .collect();
    }

    /// Returns whether this host comes first of all registered hosts for a subject.
    ///
    /// A host that does not know its own registration comes first for none.
    fn is_first(&self, subject: &str) -> bool {
        let subject = rendezvous_weight("cold-permit", subject);
        let weight = |host: u64| mixed(host ^ subject);
        self.own_hash.is_some_and(|own| {
            let own = weight(own);
            self.other_hashes.iter().all(|other| weight(*other) < own)
        })
    }

    fn limited(&self, upstream: &Upstream, now: Moment) -> Option<&ColdEngine> {
        let engine = self.engines.get(&upstream.id)?;
        // The upstream may have restarted since it was chosen.
        let is_limited = engine.started_ms >= upstream.started_ms && now < engine.free_at();
        is_limited.then_some(engine)
    }

    /// Returns whether an upstream is cold, or warm for so short a time that load is limited.
    #[must_use]
    pub fn is_limited(&self, upstream: &Upstream, now: Moment) -> bool {
        self.limited(upstream, now).is_some()
    }

    /// Returns the time until this host may send a request to an upstream; none if it may now.
    #[must_use]
    pub fn remaining(&self, upstream: &Upstream, now: Moment) -> Option<Duration> {
        let engine = self.limited(upstream, now)?;
        let next = engine.permits.values().copied().min();
        let next = next.map_or(engine.free_at(), |next| next.min(engine.free_at()));
        (now < next).then(|| next.since(now))
    }

    /// Uses a permit for a request that is about to be sent; returns false if there is none.
    pub fn take(&mut self, upstream: &Upstream, now: Moment) -> bool {
        if !self.is_limited(upstream, now) {
            return true;
        }
        let Some(engine) = self.engines.get_mut(&upstream.id) else {
            return true;
        };
        let period = engine.period(now);
        let mut permits = engine.permits.values_mut();
        let Some(usable_at) = permits.find(|usable_at| **usable_at <= now) else {
            return false;
        };
        *usable_at = now.after(period);
        true
    }

    /// Removes engines whose load is no longer limited, and those that are no longer known.
    pub fn expire(&mut self, is_known: impl Fn(&HostName) -> bool, now: Moment) {
        self.engines.retain(|_id, engine| now < engine.free_at());
        self.starts.retain(|id, _started_ms| is_known(id));
    }

    /// Returns how many engines are limited, and how many permits for them this host has.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let permits = self.engines.values().map(|engine| engine.permits.len());
        (self.engines.len(), permits.sum())
    }
}

/// Scatters a number over all bits (the finaliser of `SplitMix64`).
///
/// A zone that returns makes each host compare all hosts for thousands of permits at once, which a
/// cryptographic hash would make too slow on the weakest ones.
fn mixed(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
