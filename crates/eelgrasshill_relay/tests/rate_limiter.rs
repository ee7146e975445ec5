//! Tests that an organisation's spending over all hosts stays within its limit and uses it.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Incarnation, Moment, OrgName};
use eelgrasshill_relay::{
    HostCounts, HostHash, Organisation, PeerRole, RateLimiter, ReceivedTotals, Totals, TotalsSender,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Rate and burst of the organisation, in tokens per second and tokens.
const RATE: u64 = 20_000;
const ROUND_MS: u64 = 250;
/// Window over which the platform checks the limit.
const WINDOW_MS: u64 = 8_000;

fn organisation() -> Organisation {
    Organisation {
        name: name(),
        rank: None,
        rate: RATE,
        burst: RATE,
        default_cost: 1,
    }
}

fn name() -> OrgName {
    OrgName::new("o").expect("the name is valid")
}

fn host(number: usize) -> HostName {
    HostName::new(&format!("h{number}")).expect("the name is valid")
}

struct Fleet {
    hosts: Vec<(RateLimiter, ReceivedTotals)>,
    spent: Vec<(u64, u64)>,
    random: StdRng,
    incarnation: u64,
    /// Offset within a round at which each host exchanges totals; none if all do so at once.
    phases: Option<Vec<u64>>,
    /// Retries per thousand requests, each after the request may have run.
    retries: u64,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let make = |_number| {
            let mut limiter = RateLimiter::default();
            limiter.configure([&organisation()].into_iter(), Moment(0));
            (limiter, ReceivedTotals::default())
        };
        Self {
            hosts: (0..count).map(make).collect(),
            spent: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            incarnation: 1,
            phases: None,
            retries: 0,
        }
    }

    /// Restarts all hosts, which then exchange totals at different times within a round.
    fn restart(&mut self, now: Moment) {
        self.incarnation += 1;
        for (limiter, received_totals) in &mut self.hosts {
            (*limiter, *received_totals) = (RateLimiter::default(), ReceivedTotals::default());
            limiter.configure([&organisation()].into_iter(), now);
        }
        let count = self.hosts.len();
        let phases = (0..count).map(|_host| self.random.random_range(0..ROUND_MS / 10) * 10);
        self.phases = Some(phases.collect());
    }

    fn own_totals(&self, at: usize) -> Totals {
        let spent = self.hosts[at].0.spent();
        Totals {
            hosts: [HostHash::new(&host(at))].into_iter().collect(),
            spent: spent.map(|(name, tokens)| (name.clone(), tokens)).collect(),
            ..Totals::default()
        }
    }

    /// Exchanges totals between host 0, the root, and the hosts that are not cut off from it.
    fn exchange(&mut self, cut: &[usize], now: Moment) {
        let count = self.hosts.len();
        let phase = now.0 % ROUND_MS;
        let phases = self.phases.clone();
        let is_due = |at: usize| match &phases {
            Some(phases) => phases[at] == phase,
            None => phase == 0,
        };
        for at in (1..count).filter(|at| !cut.contains(at) && is_due(*at)) {
            let up = self.own_totals(at);
            self.receive(0, PeerRole::Child, at, up, now);
            let own = self.own_totals(0);
            let down = self.hosts[0].1.for_child(own, &host(at), now);
            self.receive(at, PeerRole::Parent, 0, down, now);
        }
        for (at, (limiter, received_totals)) in self.hosts.iter_mut().enumerate() {
            if !is_due(at) {
                continue;
            }
            let reachable =
                1 + u64::try_from(received_totals.elsewhere(now).hosts.len()).expect("few hosts");
            let registered = u64::try_from(count).expect("few hosts");
            limiter.set_host_counts(
                HostCounts {
                    reachable,
                    registered,
                },
                now,
            );
            limiter.begin_round(now);
        }
    }

    fn receive(&mut self, at: usize, role: PeerRole, from: usize, sum: Totals, now: Moment) {
        let sender = TotalsSender {
            host: host(from),
            incarnation: Incarnation(self.incarnation),
        };
        let (limiter, received_totals) = &mut self.hosts[at];
        for (name, tokens) in received_totals.receive(role, sender, sum, now) {
            limiter.debit(&name, tokens, now);
        }
    }

    /// Sends requests of `rate` tokens per second, mostly to a few hosts.
    ///
    /// Returns the tokens that were requested and those that were admitted.
    fn run(&mut self, from: u64, to: u64, rate: u64, cut: &[usize]) -> (u64, u64) {
        let (mut requested, mut admitted) = (0, 0);
        for clock in (from..to).step_by(10) {
            self.exchange(cut, Moment(clock));
            let mut due = rate / 100;
            while due > 0 {
                let cost = self.random.random_range(200..3_000);
                if self.random.random_range(0..cost) < due {
                    let count = self.hosts.len();
                    let at = self
                        .random
                        .random_range(0..count)
                        .min(self.random.random_range(0..count));
                    requested += cost;
                    if self.hosts[at].0.take(&name(), cost, Moment(clock)).is_ok() {
                        self.spent.push((clock, cost));
                        admitted += cost;
                        if self.random.random_range(0..1_000) < self.retries {
                            self.hosts[at].0.charge(&name(), cost, Moment(clock));
                            self.spent.push((clock, cost));
                        }
                    }
                }
                due = due.saturating_sub(cost);
            }
        }
        (requested, admitted)
    }

    /// Returns the most tokens that were admitted in one window.
    fn max_spent(&self) -> u64 {
        let ends = self.spent.iter().map(|(end, _cost)| {
            let within = |(at, _cost): &&(u64, u64)| *at <= *end && *at + WINDOW_MS > *end;
            self.spent
                .iter()
                .filter(within)
                .map(|(_at, cost)| cost)
                .sum()
        });
        ends.max().unwrap_or_default()
    }
}

/// Returns the most tokens that the platform tolerates in one window.
fn allowed() -> u64 {
    (RATE * WINDOW_MS / 1_000 + RATE) * 11 / 10 + 17_000
}

#[test]
fn flood_stays_within_the_limit_and_uses_it() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(15, seed);
        fleet.run(0, 3_000, RATE / 2, &[]);
        let (requested, admitted) = fleet.run(3_000, 15_000, RATE * 4, &[]);
        assert!(
            fleet.max_spent() <= allowed(),
            "seed {seed}: {} tokens were admitted in one window",
            fleet.max_spent()
        );
        assert!(
            admitted >= RATE * 12 * 9 / 10,
            "seed {seed}: {admitted} of {requested} tokens were admitted"
        );
    }
}

#[test]
fn usage_below_the_limit_is_rarely_rejected() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(15, seed);
        fleet.run(0, 4_000, RATE / 2, &[]);
        let (requested, admitted) = fleet.run(4_000, 24_000, RATE * 55 / 100, &[]);
        assert!(
            admitted * 100 >= requested * 97,
            "seed {seed}: {admitted} of {requested} tokens were admitted"
        );
    }
}

#[test]
fn hosts_without_contact_share_the_limit() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(15, seed);
        fleet.run(0, 4_000, RATE / 2, &[]);
        let cut: Vec<_> = (1..6).collect();
        fleet.run(4_000, 14_000, RATE * 4, &cut);
        assert!(
            fleet.max_spent() <= allowed(),
            "seed {seed}: {} tokens were admitted in one window",
            fleet.max_spent()
        );
    }
}

/// All hosts are killed while an organisation floods them, and start with partly filled buckets.
///
/// Found by a fault-injection run (hunt aa50, kjallari hunt-aa50-3): one window then held
/// 2 permille more tokens than allowed.
#[test]
fn restart_of_all_hosts_under_a_flood_stays_within_the_limit() {
    for count in [15, 21, 32] {
        for seed in 0..10 {
            let mut fleet = Fleet::new(count, seed);
            fleet.run(0, 6_000, RATE / 2, &[]);
            fleet.run(6_000, 10_000, RATE * 3, &[]);
            fleet.restart(Moment(10_000));
            let (_asked, admitted) = fleet.run(10_000, 20_000, RATE * 3, &[]);
            let most = fleet.max_spent();
            assert!(
                most <= allowed(),
                "{count} hosts, seed {seed}: {most} tokens were admitted in one window"
            );
            assert!(
                admitted >= RATE * 10 * 85 / 100,
                "{count} hosts, seed {seed}: {admitted} tokens were admitted after the restart"
            );
        }
    }
}

/// Engines fail during a flood, and a fifth of the admitted requests run a second time.
///
/// Retries that are not charged would exceed the limit.
#[test]
fn retries_of_requests_that_may_have_run_count_against_the_limit() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(15, seed);
        fleet.retries = 200;
        fleet.run(0, 3_000, RATE / 2, &[]);
        fleet.run(3_000, 20_000, RATE * 4, &[]);
        let most = fleet.max_spent();
        assert!(
            most <= allowed(),
            "seed {seed}: {most} tokens were admitted in one window"
        );
    }
}

#[test]
fn host_that_knows_no_others_spends_almost_nothing() {
    let mut limiter = RateLimiter::default();
    limiter.configure([&organisation()].into_iter(), Moment(0));
    let mut admitted = 0;
    for clock in (0..1_000).step_by(10) {
        if limiter.take(&name(), 100, Moment(clock)).is_ok() {
            admitted += 100;
        }
    }
    assert!(admitted <= RATE / 100, "{admitted} tokens were admitted");
}

#[test]
fn lowered_limit_takes_effect_at_once() {
    let mut fleet = Fleet::new(4, 1);
    fleet.run(0, 4_000, RATE, &[]);
    let lower = Organisation {
        rate: RATE / 10,
        burst: RATE / 10,
        ..organisation()
    };
    for (limiter, _sums) in &mut fleet.hosts {
        limiter.configure([&lower].into_iter(), Moment(4_000));
    }
    let (_asked, admitted) = fleet.run(4_000, 12_000, RATE * 4, &[]);
    assert!(
        admitted <= allowed() / 10 + 17_000,
        "{admitted} tokens were admitted"
    );
}

#[test]
fn spending_is_counted_once_across_parent_changes_and_restarts() {
    let mut received_totals = ReceivedTotals::default();
    let sum = |tokens| Totals {
        spent: FastMap::from_iter([(name(), tokens)]),
        ..Totals::default()
    };
    let mut receive = |from, start, tokens, at| {
        let sender = TotalsSender {
            host: host(from),
            incarnation: Incarnation(start),
        };
        let added = received_totals.receive(PeerRole::Child, sender, sum(tokens), Moment(at));
        added.iter().map(|(_name, tokens)| *tokens).sum::<u64>()
    };
    let cases = [
        (1, 1, 500, 0, "the first totals set the base line"),
        (1, 1, 700, 200, "an increase counts"),
        (2, 1, 900, 0, "another host has its own base line"),
        (
            1,
            2,
            50,
            0,
            "the first totals after a restart set a new base line",
        ),
        (1, 2, 80, 30, "later increases count from there"),
        (1, 2, 60, 0, "delayed older totals subtract nothing"),
    ];
    for (from, start, tokens, counted, why) in cases {
        assert_eq!(receive(from, start, tokens, 10), counted, "{why}");
    }
    let total = received_totals.elsewhere(Moment(60_000)).spent[&name()];
    assert_eq!(
        total, 230,
        "counted tokens remain after their host stops sending"
    );
    assert_eq!(Duration::from_millis(ROUND_MS).as_millis(), 250);
}
