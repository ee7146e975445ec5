//! Tests that all hosts together send a cold engine no more requests than it takes.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, FastSet, HostName, Moment, PoolName, ZoneName};
use eelgrasshill_relay::{
    ColdBound, ColdEngines, ColdRule, EngineRests, EngineSpeeds, KnownUpstreams, NoUpstream,
    SelectionSettings, SoftwareVersion, Upstream, UpstreamHealth, UpstreamLoads, UpstreamQuery,
    UpstreamSelector,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const RULE: ColdRule = ColdRule {
    start: Duration::from_secs(3),
    per_1000_s: 8_900,
};

const BOUND: ColdBound = ColdBound {
    over_percent: 150,
    slack: 5,
};

/// Most requests within a second: 8.9 x 1.5 + 5.
const MAX_PER_SECOND: usize = 18;

/// When the engine becomes cold; the hosts started long before.
const COLD_FROM: u64 = 100_000;

const STEP_MS: u64 = 10;

/// Requests that a host sends at most in one step, more than it can have permits.
const MAX_SENDS_PER_STEP: usize = 10;

/// Longest time from sending a request to its arrival.
const MAX_DELAY_MS: u64 = 200;

fn pool() -> PoolName {
    PoolName::new("p").expect("the name is valid")
}

fn host(number: usize) -> HostName {
    HostName::new(&format!("h{number}")).expect("the name is valid")
}

fn hosts(numbers: impl Iterator<Item = usize>) -> Vec<HostName> {
    numbers.map(host).collect()
}

fn engine(started_ms: u64, cold_remaining: Duration) -> Upstream {
    Upstream {
        id: HostName::new("e").expect("the name is valid"),
        pool: pool(),
        zone: ZoneName::new("z").expect("the name is valid"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        slots: 48,
        leaving: false,
        started_ms,
        holdings: Vec::new(),
        memory: Vec::new(),
        disk: Vec::new(),
        cold_remaining,
        software: SoftwareVersion::default(),
    }
}

fn started(number: usize, known: Vec<HostName>, at: Moment) -> ColdEngines {
    let mut cold = ColdEngines::new(host(number), Some(BOUND), at);
    cold.set_rules(FastMap::from_iter([(pool(), RULE)]));
    cold.set_hosts(known, at);
    cold
}

/// Hosts that send to one engine whenever they may.
struct Fleet {
    hosts: Vec<ColdEngines>,
    engine: Upstream,
    arrivals: Vec<u64>,
    now_ms: u64,
    random: StdRng,
}

impl Fleet {
    /// Creates a fleet; `known` gives the hosts that a host knows.
    fn new(count: usize, known: impl Fn(usize) -> Vec<HostName>, seed: u64) -> Self {
        let mut hosts: Vec<_> = (0..count)
            .map(|number| started(number, known(number), Moment(0)))
            .collect();
        let engine = engine(7, RULE.start);
        for cold in &mut hosts {
            cold.note_entry(&engine, COLD_FROM, Moment(COLD_FROM));
        }
        Self {
            hosts,
            engine,
            arrivals: Vec::new(),
            now_ms: COLD_FROM,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Lets every host send as often as it may; `change` may change a host in each step.
    fn run(&mut self, duration: Duration, mut change: impl FnMut(&mut Self)) {
        let end = Moment(self.now_ms).after(duration);
        while Moment(self.now_ms) < end {
            change(self);
            let now = Moment(self.now_ms);
            for cold in &mut self.hosts {
                for _request in 0..MAX_SENDS_PER_STEP {
                    if cold.remaining(&self.engine, now).is_some() {
                        break;
                    }
                    assert!(cold.take(&self.engine, now), "a usable permit can be used");
                    let delay = self.random.random_range(0..MAX_DELAY_MS);
                    self.arrivals.push(self.now_ms + delay);
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    /// Returns the most arrivals within any second.
    fn most_in_a_second(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let within = |start: &u64| {
            let second = self.arrivals.iter();
            second
                .filter(|at| (*start..start + 1_000).contains(at))
                .count()
        };
        self.arrivals.iter().map(within).max().unwrap_or(0)
    }
}

/// Guards against shares that sum to more than the whole, and against a rate that is not used.
#[test]
fn all_hosts_together_stay_within_the_rate() {
    for count in [1, 3, 15, 134] {
        let mut fleet = Fleet::new(count, |_number| hosts(0..count), 1);
        fleet.run(RULE.start, |_fleet| {});
        let most = fleet.most_in_a_second();
        assert!(most <= 8, "{count} hosts: {most} requests in a second");
        // Each of the 8 permits is used at once and again every 1.25 s.
        assert_eq!(
            fleet.arrivals.len(),
            24,
            "{count} hosts in {:?}",
            RULE.start
        );
    }
}

/// Guards against two partitions that both use the whole rate and together exceed the bound.
#[test]
fn hosts_with_different_registrations_stay_within_the_bound() {
    for seed in 0..20 {
        let view = |number| if number < 20 { 0..20 } else { 10..40 };
        let mut fleet = Fleet::new(40, |number| hosts(view(number)), seed);
        fleet.run(RULE.start, |_fleet| {});
        let most = fleet.most_in_a_second();
        assert!(most <= MAX_PER_SECOND, "seed {seed}: {most} in a second");
    }
}

/// Guards against hosts that use a permit again after a restart, or one that another host has just
/// used before it left.
#[test]
fn restarts_and_changed_registrations_stay_within_the_bound() {
    for seed in 0..20 {
        let count = 30;
        let mut fleet = Fleet::new(count, |_number| hosts(0..count), seed);
        let gone = StdRng::seed_from_u64(seed).random_range(0..count);
        fleet.run(RULE.start, |fleet| {
            let now = Moment(fleet.now_ms);
            let number = fleet.random.random_range(0..count);
            if fleet.random.random_range(0..3) == 0 {
                fleet.hosts[number] = started(number, hosts(0..count), now);
                fleet.hosts[number].note_entry(&fleet.engine, COLD_FROM, now);
            } else {
                // One host has left, which the others learn one by one.
                let left = hosts((0..count).filter(|number| *number != gone));
                fleet.hosts[number].set_hosts(left, now);
            }
        });
        let most = fleet.most_in_a_second();
        assert!(most <= MAX_PER_SECOND, "seed {seed}: {most} in a second");
    }
}

/// Guards against load that jumps at the end of the cold time, and a limit that never ends.
#[test]
fn the_rate_grows_in_steps_after_the_cold_time() {
    let mut fleet = Fleet::new(15, |_number| hosts(0..15), 3);
    fleet.run(RULE.start, |_fleet| {});
    let mut counts = Vec::new();
    for _step in 0..3 {
        fleet.arrivals.clear();
        fleet.run(Duration::from_millis(500), |_fleet| {});
        counts.push(fleet.arrivals.len());
    }
    assert!(counts.is_sorted(), "requests in each step: {counts:?}");
    assert!(counts[2] <= 8 * 4, "requests in each step: {counts:?}");
    let now = Moment(fleet.now_ms);
    for cold in &fleet.hosts {
        assert!(!cold.is_limited(&fleet.engine, now));
    }
}

/// Guards against an engine that counts as warm although it started, restarted or says otherwise,
/// and against one that counts as cold because the host itself has just started.
#[test]
fn an_engine_is_cold_by_its_start_its_entry_and_its_answers() {
    let now = Moment(COLD_FROM);
    let wall_ms = 1_000_000;
    let long_ago = engine(wall_ms - 60_000, Duration::ZERO);
    let mut cold = started(0, hosts(0..1), Moment(0));
    assert!(!cold.note_entry(&long_ago, wall_ms, now));
    assert!(!cold.is_limited(&long_ago, now));
    assert!(cold.note(&long_ago, Duration::from_millis(800), now));
    assert!(cold.is_limited(&long_ago, now));
    // An entry that was on its way does not end the cold time that the answer named.
    cold.note_entry(&long_ago, wall_ms, now);
    assert!(cold.is_limited(&long_ago, now.after(Duration::from_millis(700))));
    let restarted = engine(wall_ms - 500, Duration::ZERO);
    assert!(cold.note_entry(&restarted, wall_ms, now));
    assert!(cold.is_limited(&restarted, now.after(Duration::from_millis(2_900))));
    let registered = engine(wall_ms - 60_001, Duration::from_secs(2));
    assert!(started(0, hosts(0..1), Moment(0)).note_entry(&registered, wall_ms, now));
    // Without a rule nothing is limited.
    let mut off = ColdEngines::new(host(0), None, Moment(0));
    assert!(!off.note_entry(&restarted, wall_ms, now));
    assert!(off.take(&restarted, now) && off.remaining(&restarted, now).is_none());
}

/// Guards against permits that are spent while a warm engine has a free slot, and against requests
/// to a cold engine, or picks of it, for a host without a usable permit.
#[test]
fn cold_engines_are_spared_and_need_a_permit() {
    let now = Moment(COLD_FROM);
    let cold_engine = engine(7, RULE.start);
    let warm_engine = Upstream {
        id: HostName::new("warm").expect("the name is valid"),
        ..engine(8, Duration::ZERO)
    };
    let mut upstreams = KnownUpstreams::default();
    upstreams.insert(cold_engine.clone(), now);
    let mut loads = UpstreamLoads::default();
    let mut rests = EngineRests::new(started(0, hosts(0..1), Moment(0)));
    rests.cold.note_entry(&cold_engine, COLD_FROM, now);
    let (pool, zone, tried) = (pool(), cold_engine.zone.clone(), FastSet::default());
    let query = UpstreamQuery {
        pool: &pool,
        model: None,
        adapter: None,
        rank: 0,
        tried: &tried,
        homes: None,
        software: None,
    };
    let decide = |upstreams: &KnownUpstreams, loads: &UpstreamLoads, rests: &EngineRests| {
        let selector = UpstreamSelector {
            upstreams,
            loads,
            health: &UpstreamHealth::default(),
            rests,
            speeds: &EngineSpeeds::new(38),
            zone: &zone,
            settings: &SelectionSettings::default(),
        };
        let chosen = selector.choose(&query, |_count| 0, now);
        let is_excluded = selector.excluded(&query, now).contains(&cold_engine.id);
        (
            chosen.map(|candidate| candidate.upstream.id.clone()),
            is_excluded,
        )
    };
    let alone = decide(&upstreams, &loads, &rests);
    assert_eq!(alone, (Ok(cold_engine.id.clone()), false));
    upstreams.insert(warm_engine.clone(), now);
    let spared = decide(&upstreams, &loads, &rests);
    assert_eq!(spared, (Ok(warm_engine.id.clone()), true));
    for _slot in 0..warm_engine.slots {
        loads.record_start(&warm_engine.id, 0, 0);
    }
    assert!(
        !decide(&upstreams, &loads, &rests).1,
        "the warm one is full"
    );
    while rests.cold.take(&cold_engine, now) {}
    let used = decide(&upstreams, &loads, &rests);
    assert_eq!(used, (Ok(warm_engine.id.clone()), true));
    upstreams.remove(&warm_engine.id, false, now);
    let (chosen, is_excluded) = decide(&upstreams, &loads, &rests);
    let remaining = Duration::from_millis(1_250);
    assert_eq!(chosen, Err(NoUpstream::Resting { remaining }));
    assert!(is_excluded);
}
