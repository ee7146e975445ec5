//! Tests that an organisation below its rate limit is not refused while the fleet has tokens for it.

use eelgrasshill_domain::{HostName, Incarnation, Moment, OrgName};
use eelgrasshill_relay::{
    HostCounts, HostHash, Organisation, PeerRole, RateLimiter, ReceivedTotals, Totals, TotalsSender,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const STEP_MS: u64 = 10;
const ROUND_MS: u64 = 250;
const CHILDREN: usize = 16;
/// Window over which the platform checks the limit.
const WINDOW_MS: u64 = 8_000;
/// Tokens that the platform tolerates in a window beyond a tenth more than the limit.
const TOLERATED_TOKENS: u64 = 17_000;
const ORGANISATIONS: usize = 5;
/// Requests per second and host, of all organisations as usual.
const REQUESTS_PER_HOST: u64 = 3;
const MEAN_COST: u64 = 1_700;
/// Index of the organisation that sends several times its usual rate.
const FLOODING: usize = 0;
const FLOOD_START_MS: u64 = 6_000;

/// When hosts fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// All hosts are killed and start again during the flood.
    KillAll,
    /// Two fifths of the hosts do not reach the others during the flood.
    Partition,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    hosts: usize,
    // Usual rate in percent of the limit.
    usual_percent: u64,
    // Rate of the flooding organisation, as a multiple of its usual rate.
    flood_factor: u64,
    trouble: Trouble,
}

impl Load {
    /// Returns the tokens per second that an organisation usually requests.
    fn usual_rate(self) -> u64 {
        u64::try_from(self.hosts).expect("few hosts") * MEAN_COST * REQUESTS_PER_HOST
            / u64::try_from(ORGANISATIONS).expect("few organisations")
    }

    fn limit(self) -> u64 {
        self.usual_rate() * 100 / self.usual_percent
    }
}

fn name(index: usize) -> OrgName {
    OrgName::new(&format!("o{index}")).expect("the name is valid")
}

fn host(number: usize) -> HostName {
    HostName::new(&format!("h{number}")).expect("the name is valid")
}

/// An exact token bucket of the configured limits, as one host for the whole fleet would keep it.
#[derive(Clone, Copy, Debug)]
struct ExactBucket {
    level: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u64,
    refused: u64,
    // Of organisations below their limit, while the fleet has tokens for the request.
    wrongly_refused: u64,
    // Tokens in the fullest window, in percent of the bound.
    used_percent: u64,
    // Tokens that the flooding organisation got per second, in percent of its rate.
    flood_percent: u64,
}

struct Fleet {
    load: Load,
    hosts: Vec<(RateLimiter, ReceivedTotals)>,
    phases: Vec<u64>,
    incarnation: u64,
    exact: Vec<ExactBucket>,
    admitted: Vec<Vec<(u64, u64)>>,
    random: StdRng,
    tally: Tally,
}

impl Fleet {
    fn new(load: Load, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let phases = (0..load.hosts).map(|_host| random.random_range(0..ROUND_MS / STEP_MS));
        let phases = phases.map(|phase| phase * STEP_MS).collect();
        let mut fleet = Self {
            load,
            hosts: Vec::new(),
            phases,
            incarnation: 0,
            exact: vec![
                ExactBucket {
                    level: load.limit()
                };
                ORGANISATIONS
            ],
            admitted: vec![Vec::new(); ORGANISATIONS],
            random,
            tally: Tally::default(),
        };
        fleet.start_all(Moment(0));
        fleet
    }

    fn start_all(&mut self, now: Moment) {
        self.incarnation += 1;
        let limit = self.load.limit();
        let organisations: Vec<_> = (0..ORGANISATIONS)
            .map(|index| Organisation {
                name: name(index),
                rank: None,
                rate: limit,
                burst: limit,
                default_cost: 1,
                allowed_regions: Vec::new(),
            })
            .collect();
        let start = |_host| {
            let mut limiter = RateLimiter::default();
            limiter.configure(organisations.iter(), now);
            (limiter, ReceivedTotals::default())
        };
        self.hosts = (0..self.load.hosts).map(start).collect();
    }

    fn own_totals(&mut self, index: usize, now: Moment) -> Totals {
        let limiter = &mut self.hosts[index].0;
        Totals {
            hosts: [HostHash::new(&host(index))].into_iter().collect(),
            asked: limiter.asked(now),
            levels: limiter.levels(now),
            is_settled: limiter.is_settled(),
            ..Totals::default()
        }
    }

    fn receive(&mut self, index: usize, role: PeerRole, from: usize, totals: Totals, now: Moment) {
        let sender = TotalsSender {
            host: host(from),
            incarnation: Incarnation(self.incarnation),
        };
        let (limiter, received_totals) = &mut self.hosts[index];
        if totals.is_settled && !limiter.is_settled() {
            limiter.adopt(&totals.levels, now);
        }
        for (name, tokens) in received_totals.receive(role, sender, totals, now) {
            limiter.debit(&name, tokens, now);
        }
    }

    /// Returns whether a host is in the smaller part of a divided fleet.
    fn is_cut_off(&self, index: usize, now: Moment) -> bool {
        self.load.trouble == Trouble::Partition
            && (FLOOD_START_MS + 1_000..FLOOD_START_MS + 7_000).contains(&now.0)
            && matches!(index % 5, 1 | 2)
    }

    /// Returns the host that another one reports to, the nearest above it that it can reach.
    fn parent(&self, index: usize, now: Moment) -> Option<usize> {
        let mut parent = index;
        while parent > 0 {
            parent = (parent - 1) / CHILDREN;
            if self.is_cut_off(parent, now) == self.is_cut_off(index, now) {
                return Some(parent);
            }
        }
        // Host 1 is the root of the hosts that are cut off.
        (self.is_cut_off(index, now) && index != 1).then_some(1)
    }

    fn exchange(&mut self, index: usize, now: Moment) {
        let parent = self.parent(index, now);
        self.hosts[index].0.set_first_root(parent.is_none());
        if let Some(parent) = parent {
            let report = self.hosts[index].0.report();
            let own = self.own_totals(index, now);
            let mut up = self.hosts[index].1.for_parent(own, now);
            up.is_report = true;
            up.spent.clone_from(&report);
            self.receive(parent, PeerRole::Child, index, up, now);
            let own = self.own_totals(parent, now);
            let down = self.hosts[parent].1.for_child(own, &host(index), now);
            self.hosts[index].0.confirm_report(&report);
            self.hosts[index].0.adopt(&down.levels, now);
            self.receive(index, PeerRole::Parent, parent, down, now);
        }
        let registered = u64::try_from(self.hosts.len()).expect("few hosts");
        let (limiter, received_totals) = &mut self.hosts[index];
        let elsewhere = received_totals.elsewhere(now);
        let mut others = if parent.is_none() {
            received_totals.reporting_hosts(now)
        } else {
            elsewhere.hosts
        };
        others.remove(&HostHash::new(&host(index)));
        let host_counts = HostCounts {
            reachable: 1 + u64::try_from(others.len()).expect("few hosts"),
            registered,
        };
        limiter.set_host_counts(host_counts, now);
        limiter.set_asked_elsewhere(&elsewhere.asked, now);
    }

    fn send(&mut self, organisation: usize, rate: u64, now: Moment) {
        let mut due = rate * STEP_MS / 1_000;
        let limit = self.load.limit();
        let level = self.exact[organisation].level + limit * STEP_MS / 1_000;
        self.exact[organisation].level = level.min(limit);
        while due > 0 {
            let cost = self.random.random_range(1_000..2_400);
            // If less than the cost is due, the request is sent with probability due / cost.
            if self.random.random_range(0..cost) < due {
                let index = self.random.random_range(0..self.hosts.len());
                let taken = self.hosts[index].0.take(&name(organisation), cost, now);
                let counts = now.0 >= 3_000;
                self.tally.requests += u64::from(counts);
                if taken.is_ok() {
                    self.admitted[organisation].push((now.0, cost));
                    let exact = &mut self.exact[organisation];
                    exact.level = exact.level.saturating_sub(cost);
                } else if counts {
                    self.tally.refused += 1;
                    let is_wrong = rate < limit && self.exact[organisation].level >= cost;
                    self.tally.wrongly_refused += u64::from(is_wrong);
                }
            }
            due = due.saturating_sub(cost);
        }
    }

    fn run(mut self, duration_ms: u64) -> Tally {
        let usual = self.load.usual_rate();
        for now_ms in (0..duration_ms).step_by(10) {
            let now = Moment(now_ms);
            if self.load.trouble == Trouble::KillAll && now_ms == FLOOD_START_MS + 4_000 {
                self.start_all(now);
            }
            for index in 0..self.hosts.len() {
                if now_ms % ROUND_MS == self.phases[index] {
                    self.exchange(index, now);
                }
            }
            for organisation in 0..ORGANISATIONS {
                let is_flood = organisation == FLOODING && now_ms >= FLOOD_START_MS;
                let factor = if is_flood { self.load.flood_factor } else { 1 };
                self.send(organisation, usual * factor, now);
            }
        }
        let limit = self.load.limit();
        let bound = (limit * WINDOW_MS / 1_000 + limit) * 11 / 10 + TOLERATED_TOKENS;
        let most = self
            .admitted
            .iter()
            .map(|requests| most_in_window(requests));
        self.tally.used_percent = (most.max().unwrap_or_default() * 100).div_ceil(bound);
        let flood_ms = duration_ms - FLOOD_START_MS;
        let flood = self.admitted[FLOODING].iter();
        let flood = flood.filter(|(at, _cost)| *at >= FLOOD_START_MS);
        let flood: u64 = flood.map(|(_at, cost)| cost).sum();
        self.tally.flood_percent = flood * 100_000 / flood_ms / limit;
        self.tally
    }
}

fn most_in_window(requests: &[(u64, u64)]) -> u64 {
    let (mut start, mut sum, mut most) = (0, 0, 0);
    for (at, cost) in requests {
        sum += cost;
        while requests[start].0 + WINDOW_MS <= *at {
            sum -= requests[start].1;
            start += 1;
        }
        most = most.max(sum);
    }
    most
}

/// Plays a load with some seeds; returns the runs that break a rule.
fn violations(load: Load, is_broken: impl Fn(Tally) -> bool) -> Vec<String> {
    let mut violations = Vec::new();
    for seed in 0..4 {
        let tally = Fleet::new(load, seed).run(18_000);
        println!("{load:?} seed {seed}: {tally:?}");
        if is_broken(tally) {
            violations.push(format!("{load:?} seed {seed}: {tally:?}"));
        }
    }
    violations
}

fn load(hosts: usize, usual_percent: u64, trouble: Trouble) -> Load {
    Load {
        hosts,
        usual_percent,
        flood_factor: 7,
        trouble,
    }
}

/// Guards against hosts that refuse a request because their own part of a full bucket is smaller.
#[test]
fn organisations_below_their_limit_are_not_refused_while_the_fleet_has_tokens() {
    let cases = [
        (15, 50),
        (15, 65),
        (134, 50),
        (134, 65),
        (134, 80),
        (300, 50),
        (300, 65),
        (300, 80),
    ];
    let failures: Vec<_> = cases
        .into_iter()
        .flat_map(|(hosts, usual)| {
            violations(load(hosts, usual, Trouble::None), |tally| {
                tally.wrongly_refused > 0
            })
        })
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against the same in a small fleet, where few requests use up the burst.
#[test]
fn small_fleet_near_its_limit_is_not_refused_while_it_has_tokens() {
    let failures = violations(load(15, 80, Trouble::None), |tally| {
        tally.wrongly_refused > 0
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against hosts that together take more than the bound while they do not know of each other.
#[test]
fn bound_holds_when_a_flood_meets_kills_and_partitions() {
    let mut failures = Vec::new();
    for hosts in [15, 134, 300] {
        for usual_percent in [65, 80, 95] {
            for trouble in [Trouble::None, Trouble::KillAll, Trouble::Partition] {
                let load = load(hosts, usual_percent, trouble);
                failures.extend(violations(load, |tally| tally.used_percent > 100));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
