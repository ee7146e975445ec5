//! Tests when hosts read the store themselves, alone and as a fleet of several hundred.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, ZoneName};
use eelgrasshill_relay::{Capacity, KeyedRecord, KeyedTopic, Peer, ReadPolicy, ReadState, Tree};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const POLICY: ReadPolicy = ReadPolicy {
    read_interval: Duration::from_millis(800),
    root_age: Duration::from_millis(2_600),
    level_age: Duration::from_millis(250),
    max_age: Duration::from_secs(3),
    patience: Duration::from_secs(4),
};

#[test]
fn a_host_reads_as_first_root_and_when_its_records_are_old() {
    struct Case {
        name: &'static str,
        first_root: bool,
        placed: bool,
        level: u32,
        confirmed_at: Option<u64>,
        reads: bool,
    }
    let case = |name, first_root, placed, level, confirmed_at, reads| Case {
        name,
        first_root,
        placed,
        level,
        confirmed_at,
        reads,
    };
    // All at 10 s, with a start at 7 s.
    let cases = [
        case("the first root", true, true, 0, Some(10_000), true),
        case(
            "alone, before others are known",
            true,
            false,
            0,
            None,
            false,
        ),
        case("a start, parent not heard", false, true, 1, None, false),
        case("a root, fresh", false, true, 0, Some(7_401), false),
        case("a root, old", false, true, 0, Some(7_400), true),
        case("a child, as old", false, true, 1, Some(7_400), false),
        case("a child, older", false, true, 1, Some(7_150), true),
        case(
            "far below, at the limit",
            false,
            true,
            9,
            Some(7_001),
            false,
        ),
        case("far below, beyond it", false, true, 9, Some(7_000), true),
    ];
    for case in cases {
        let state = ReadState {
            started_at: Moment(7_000),
            has_position: case.placed,
            is_first_root: case.first_root,
            level: case.level,
            confirmed_at: case.confirmed_at.map(Moment),
        };
        assert_eq!(
            POLICY.should_read(&state, Moment(10_000)),
            case.reads,
            "{}",
            case.name
        );
    }
    let state = ReadState {
        started_at: Moment(7_000),
        has_position: false,
        is_first_root: false,
        level: 0,
        confirmed_at: None,
    };
    assert!(
        POLICY.should_read(&state, Moment(11_000)),
        "a host whose parent does not answer reads in the end"
    );
}

const HOSTS: usize = 295;
const ZONES: usize = 5;
const TICK_MS: u64 = 20;
const ROUND_MS: u64 = 250;
const START_ROUND_MS: u64 = 50;
const HOST_READ_MS: u64 = 2_000;
const CHECK_MS: u64 = 200;
/// Time after which a caller notices that its peer is gone.
const PEER_TIMEOUT_MS: u64 = 400;

/// Host of a simulated fleet.
struct SimulatedHost {
    me: Peer,
    tree: Tree,
    hosts: KeyedTopic,
    /// When the records of the followed topic were last known to be the newest.
    confirmed_at: Option<Moment>,
    started_at: u64,
    registered: bool,
    alive: bool,
    /// Whether its calls to the store get no answer.
    store_cut: bool,
    next_round: u64,
    next_host_read: u64,
    next_check: u64,
    calls: usize,
}

/// Fleet whose hosts follow one topic and the registrations.
struct Fleet {
    members: Vec<SimulatedHost>,
    registry: Vec<KeyedRecord>,
    policy: ReadPolicy,
}

impl Fleet {
    /// Creates hosts that start within 0.3 s, and need up to 0.4 s more on a weak processor.
    fn new(policy: ReadPolicy, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let members = (0..HOSTS).map(|number| {
            let me = Peer {
                host: HostName::new(&format!("h{number}")).expect("the name is valid"),
                zone: ZoneName::new(&format!("z{}", number % ZONES)).expect("the name is valid"),
                address: "127.0.0.1:1".parse().expect("the address is valid"),
                incarnation: Incarnation(1),
                capacity: Some(Capacity(if number < ZONES * 3 { 50 } else { 12 })),
            };
            SimulatedHost {
                tree: Tree::new(me.clone()),
                hosts: KeyedTopic::default(),
                confirmed_at: None,
                started_at: random.random_range(0..700),
                registered: false,
                alive: true,
                store_cut: false,
                next_round: 0,
                next_host_read: 0,
                next_check: 0,
                calls: 0,
                me,
            }
        });
        Self {
            members: members.collect(),
            registry: Vec::new(),
            policy,
        }
    }

    fn run(&mut self, from: u64, to: u64) {
        for now in (from..to).step_by(usize::try_from(TICK_MS).expect("a tick is short")) {
            for number in 0..self.members.len() {
                let host = &self.members[number];
                if host.alive && now >= host.started_at {
                    self.step(number, now);
                }
            }
        }
    }

    fn step(&mut self, number: usize, now: u64) {
        let end = Offset(self.registry.len() as u64);
        let host = &mut self.members[number];
        if !host.registered {
            host.registered = true;
            host.calls += 1;
            let value = serde_json::to_vec(&host.me).expect("a peer can be serialised");
            self.registry.push(KeyedRecord {
                key: Arc::from(host.me.host.as_str()),
                offset: end,
                value: Arc::from(value),
            });
            return;
        }
        let moment = Moment(now);
        let is_first = host.hosts.confirmed_at().is_none();
        if now >= host.next_check || is_first {
            host.next_check = now + CHECK_MS;
            let position = host.tree.position(moment);
            let state = ReadState {
                started_at: Moment(host.started_at),
                has_position: !is_first,
                is_first_root: position.reads_store,
                level: position.level,
                confirmed_at: host.confirmed_at,
            };
            if self.policy.should_read(&state, moment) {
                host.calls += 1;
                let interval = self.policy.read_interval.as_millis();
                host.next_check = now + u64::try_from(interval).expect("an interval is short");
                if !host.store_cut {
                    host.confirmed_at = Some(moment);
                }
            }
            if is_first || (position.reads_store && now >= host.next_host_read) {
                host.calls += 1;
                host.next_host_read = now + HOST_READ_MS;
                let records = self.registry.clone();
                apply(host, records, end, Some(moment));
            }
        }
        if now >= self.members[number].next_round {
            self.exchange(number, now);
        }
    }

    /// Takes the records of the parent, or of the roots of other zones.
    fn exchange(&mut self, number: usize, now: u64) {
        let moment = Moment(now);
        let host = &mut self.members[number];
        let has_records = host.confirmed_at.is_some() && host.hosts.confirmed_at().is_some();
        host.next_round = now
            + if has_records {
                ROUND_MS
            } else {
                START_ROUND_MS
            };
        let position = host.tree.position(moment);
        for peer in position.parent.into_iter().chain(position.zone_roots) {
            let index: usize = peer.host.as_str()[1..]
                .parse()
                .expect("a host has a number");
            let source = &self.members[index];
            if !source.alive || now < source.started_at {
                let host = &mut self.members[number];
                host.tree.suspect(&peer.host, moment);
                host.next_round = now + PEER_TIMEOUT_MS;
                continue;
            }
            let from = self.members[number].hosts.end();
            let mut records: Vec<_> = source.hosts.since(from).cloned().collect();
            records.sort_by_key(|record| record.offset);
            let (end, hosts_at) = (source.hosts.end(), source.hosts.confirmed_at());
            let confirmed_at = source.confirmed_at;
            let host = &mut self.members[number];
            host.confirmed_at = host.confirmed_at.max(confirmed_at);
            apply(host, records, end, hosts_at);
        }
    }

    /// Returns the first root, once all hosts know each other.
    fn first_root(&mut self, now: u64) -> &mut SimulatedHost {
        let members = self.members.iter_mut();
        let mut first = members.filter_map(|host| {
            let reads = host.tree.position(Moment(now)).reads_store;
            reads.then_some(host)
        });
        first.next().expect("there is a first root")
    }

    fn calls(&self) -> usize {
        self.members.iter().map(|host| host.calls).sum()
    }
}

fn apply(
    host: &mut SimulatedHost,
    records: Vec<KeyedRecord>,
    end: Offset,
    confirmed_at: Option<Moment>,
) {
    for record in host.hosts.extend(records, end, confirmed_at) {
        let peer = serde_json::from_slice(&record.value).expect("the registry holds peers");
        host.tree.insert(peer);
    }
}

fn seeds_and_policies() -> impl Iterator<Item = (u64, ReadPolicy)> {
    let policies = [
        POLICY,
        ReadPolicy::new(Duration::from_secs(4), POLICY.patience),
    ];
    (0..4).flat_map(move |seed| policies.map(|policy| (seed, policy)))
}

/// Guards against a start of all hosts in which each reads every topic.
///
/// Hosts that read the registrations before they wrote their own found nobody, and all took
/// themselves for the first root.
#[test]
fn a_start_of_all_hosts_costs_two_calls_for_each() {
    for (seed, policy) in seeds_and_policies() {
        let mut fleet = Fleet::new(policy, seed);
        fleet.run(0, 6_000);
        for host in &fleet.members {
            assert_eq!(
                host.tree.peers().count(),
                HOSTS,
                "seed {seed}: hosts that {} knows",
                host.me.host
            );
            assert!(
                host.confirmed_at >= Some(Moment(3_500)),
                "seed {seed}: {} has records of {:?}",
                host.me.host,
                host.confirmed_at
            );
        }
        let calls = fleet.calls();
        assert!(
            calls <= HOSTS * 2 + HOSTS / 4,
            "seed {seed}: {calls} calls of {HOSTS} hosts"
        );
    }
}

/// Guards against a fleet that reads the store because one host is gone.
#[test]
fn the_loss_of_the_first_root_makes_few_hosts_read() {
    for (seed, policy) in seeds_and_policies() {
        let mut fleet = Fleet::new(policy, seed);
        fleet.run(0, 6_000);
        fleet.first_root(6_000).alive = false;
        let before = fleet.calls();
        fleet.run(6_000, 11_000);
        let calls = fleet.calls() - before;
        // Two roots poll for a while, which is some 20 calls.
        assert!(calls <= 60, "seed {seed}: {calls} calls in 5 s");
        let oldest = fleet.members.iter().filter(|host| host.alive);
        let oldest = oldest.map(|host| host.confirmed_at).min().flatten();
        assert!(
            oldest >= Some(Moment(8_000)),
            "seed {seed}: a host has records of {oldest:?}"
        );
    }
}

/// The first root loses its path to the store, but answers its peers.
///
/// The other hosts read only when their records were two seconds old, whatever the bound, so a
/// configuration that must be in force within two seconds was not.
#[test]
fn records_reach_all_hosts_in_time_when_the_first_root_loses_the_store() {
    for seed in 0..4 {
        for bound_ms in [2_000, 3_000, 4_000] {
            let policy = ReadPolicy::new(Duration::from_millis(bound_ms), POLICY.patience);
            let mut fleet = Fleet::new(policy, seed);
            fleet.run(0, 8_000);
            let first = fleet.first_root(8_000);
            first.store_cut = true;
            let name = first.me.host.clone();
            let before = fleet.calls();
            let mut now = 8_000;
            while now < 16_000 {
                fleet.run(now, now + 100);
                now += 100;
                for host in fleet.members.iter().filter(|host| host.me.host != name) {
                    let confirmed_at = host.confirmed_at.expect("the host has records");
                    let age = Moment(now).since(confirmed_at);
                    assert!(
                        age <= Duration::from_millis(bound_ms),
                        "seed {seed}: {} has records of {age:?}, {bound_ms} ms are allowed",
                        host.me.host
                    );
                }
            }
            // The first root goes on, and the other roots take turns.
            let calls = fleet.calls() - before;
            assert!(
                calls <= 150,
                "seed {seed}, {bound_ms} ms: {calls} calls in 8 s"
            );
        }
    }
}
