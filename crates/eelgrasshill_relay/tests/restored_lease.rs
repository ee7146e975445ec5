//! Tests that a store restored from older copies makes no two hosts order under one lease.
//!
//! Faults are restores at any step, two in a row among them, hosts that learn of the new era at
//! different moments, from the store or from each other, answers that cross, writes that take
//! effect late or in a later era than the one they were sent in, and frozen, cut and restarted
//! hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset};
use eelgrasshill_relay::{Era, Lease, LeaseRecord, LeaseWrite};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const HANDOVER_DELAY: Duration = Duration::from_secs(3);
const HANDOVER_MS: u64 = 3_000;
/// Longest time from the check of the lease until an order arrives.
const TRANSIT_MS: u64 = 400;
const SEEDS: u64 = 400;
const RUN_MS: u64 = 90_000;
const STEP_MS: u64 = 50;
const FIRST_ERA: u64 = 3;

/// Lease topic of a store that can be restored to its state at an earlier moment.
struct Topic {
    era: u64,
    record: Option<LeaseRecord>,
    end: u64,
    /// State at each step of the current run, by time in ms.
    states: BTreeMap<u64, (Option<LeaseRecord>, u64)>,
    late_writes: Vec<(u64, LeaseWrite)>,
}

impl Topic {
    fn new() -> Self {
        Self {
            era: FIRST_ERA,
            record: None,
            end: 0,
            states: BTreeMap::new(),
            late_writes: Vec::new(),
        }
    }

    fn write(&mut self, write: &LeaseWrite) -> Option<(Era, Offset)> {
        if write.expected_end.0 != self.end {
            return None;
        }
        self.record = Some(write.record.clone());
        self.end += 1;
        Some((Era(self.era), Offset(self.end - 1)))
    }

    /// Carries out late writes, and keeps the state for later restores.
    fn advance(&mut self, now: u64) {
        let due: Vec<_> = self
            .late_writes
            .extract_if(.., |(at, _write)| *at <= now)
            .collect();
        for (_at, write) in due {
            self.write(&write);
        }
        self.states.insert(now, (self.record.clone(), self.end));
    }

    /// Restores the state of an earlier moment.
    fn restore(&mut self, at: u64) {
        let (record, end) = self.states[&at].clone();
        self.states.split_off(&(at + 1));
        (self.record, self.end) = (record, end);
        self.era += 1;
    }
}

/// Answer of the store that is on its way to a host.
enum Answer {
    Read(Option<LeaseRecord>, Era, Offset),
    Written(LeaseWrite, Era, Offset, u64),
}

struct SimulatedHost {
    name: HostName,
    lease: Lease,
    incarnation: u64,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    /// Due time in ms of each answer that is on its way.
    answers: Vec<(u64, Answer)>,
    era: u64,
}

impl SimulatedHost {
    fn start(name: &str, incarnation: u64) -> Self {
        let name = HostName::new(name).expect("the name is valid");
        let address = "127.0.0.1:1".parse().expect("the address is valid");
        let incarnation_number = Incarnation(incarnation);
        let mut lease = Lease::new(name.clone(), address, incarnation_number, HANDOVER_DELAY);
        if incarnation == 1 {
            lease.note_first_start();
        }
        Self {
            lease,
            name,
            incarnation,
            frozen_until_ms: 0,
            cut_until_ms: 0,
            answers: Vec::new(),
            era: 0,
        }
    }

    fn learn(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.lease.note_era(Era(era));
        }
    }

    fn receive(&mut self, now: u64) {
        let due: Vec<_> = self
            .answers
            .extract_if(.., |(at, _answer)| *at <= now)
            .collect();
        for (_at, answer) in due {
            match answer {
                Answer::Read(record, era, end) => {
                    self.learn(era.0);
                    self.lease.observe(record, era, end, Moment(now));
                }
                Answer::Written(write, era, offset, sent) => {
                    self.learn(era.0);
                    self.lease.confirm_write(write, era, offset, Moment(sent));
                }
            }
        }
    }
}

/// Probabilities of faults, in thousandths per step and host.
#[derive(Clone, Copy, Debug)]
struct FaultRates {
    freeze: u32,
    cut: u32,
    restart: u32,
    lost: u32,
    /// Whether answers may take up to 1.5 s, so that those of two eras cross.
    slow: bool,
    /// Whether hosts tell each other of a new era.
    gossip: bool,
    /// Longest time between two restores.
    restore_ms: u64,
}

/// Order that was sent: time, host, start of the host's process, fencing token.
type SentOrder = (u64, HostName, u64, u64);

/// Runs three hosts and returns the orders, with the number of restores.
fn orders(seed: u64, faults: FaultRates) -> (Vec<SentOrder>, u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut topic = Topic::new();
    let mut hosts: Vec<_> = ["a", "b", "c"]
        .map(|name| SimulatedHost::start(name, 1))
        .into();
    let mut orders = Vec::new();
    let mut next_restore = random.random_range(1_000..faults.restore_ms);
    for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).expect("a step is small")) {
        topic.advance(now);
        if now >= next_restore {
            let age = random.random_range(0..=8_000_u64) / STEP_MS * STEP_MS;
            let at = now.saturating_sub(age);
            // Moments that an earlier restore has undone are no longer to be had.
            let at = *topic.states.range(..=at).next_back().expect("0 is kept").0;
            topic.restore(at);
            let is_double = random.random_range(0..4) == 0;
            next_restore = now
                + if is_double {
                    random.random_range(50..1_500)
                } else {
                    random.random_range(1_000..faults.restore_ms)
                };
        }
        for number in 0..hosts.len() {
            let teller = random.random_range(0..hosts.len());
            let told_era = hosts[teller].era;
            let host = &mut hosts[number];
            let roll = random.random_range(0..1_000);
            if roll < faults.freeze {
                host.frozen_until_ms = now + random.random_range(500..9_000);
            } else if roll < faults.freeze + faults.cut {
                host.cut_until_ms = now + random.random_range(500..9_000);
            } else if roll < faults.freeze + faults.cut + faults.restart {
                // Half of the stops are planned, and release the lease.
                if random.random_range(0..2) == 0
                    && now >= host.frozen_until_ms.max(host.cut_until_ms)
                    && let Some(write) = host.lease.release()
                {
                    topic.write(&write);
                }
                *host = SimulatedHost::start(host.name.as_str(), host.incarnation + 1);
                host.frozen_until_ms = now + random.random_range(200..4_000);
            }
            if now < host.frozen_until_ms {
                continue;
            }
            if faults.gossip && random.random_range(0..10) == 0 {
                host.learn(told_era);
            }
            host.receive(now);
            step(host, &mut topic, &mut random, faults, now);
            if let Some(fence) = host.lease.fence(Moment(now)) {
                let era = fence >> 40;
                assert!(
                    era >= host.era,
                    "seed {seed}: an order of era {era} at {now} ms, but the host knows {}",
                    host.era
                );
                orders.push((now, host.name.clone(), host.incarnation, fence));
            }
        }
    }
    (orders, topic.era - FIRST_ERA)
}

/// Reads or writes the lease's record, if it is due and no answer is awaited.
fn step(
    host: &mut SimulatedHost,
    topic: &mut Topic,
    random: &mut StdRng,
    faults: FaultRates,
    now: u64,
) {
    if now < host.cut_until_ms || !host.answers.is_empty() {
        return;
    }
    let at = Moment(now);
    let delay = match (faults.slow, random.random_range(0..10)) {
        (true, 0) => random.random_range(50..1_500),
        _ => 0,
    };
    if host.lease.needs_read() || !host.lease.is_held(at) {
        if random.random_range(0..10) == 0 {
            let answer = Answer::Read(topic.record.clone(), Era(topic.era), Offset(topic.end));
            host.answers.push((now + delay, answer));
            host.receive(now);
        }
        if !host.answers.is_empty() {
            return;
        }
    }
    if host.lease.needs_read() {
        return;
    }
    let renewal = host
        .lease
        .renewal(at)
        .filter(|_write| host.lease.is_held(at));
    let Some(write) = renewal.or_else(|| host.lease.claim(at)) else {
        return;
    };
    if random.random_range(0..1_000) < faults.lost {
        // The answer is lost; the write takes effect at once, late, or never.
        match random.random_range(0..3) {
            0 => drop(topic.write(&write)),
            1 => {
                let due = now + random.random_range(200..6_000);
                topic.late_writes.push((due, write));
            }
            _ => {}
        }
        host.lease.invalidate();
    } else if let Some((era, offset)) = topic.write(&write) {
        let answer = Answer::Written(write, era, offset, now);
        host.answers.push((now + delay, answer));
        host.receive(now);
    } else {
        host.lease.invalidate();
    }
}

/// Describes orders of two hosts that are too close, or a fencing token that was reused or fell.
fn violation(orders: &[SentOrder]) -> Option<String> {
    let mut holders: BTreeMap<u64, &HostName> = BTreeMap::new();
    for (at, host, _incarnation, fence) in orders {
        let known = holders.insert(*fence, host);
        if known.is_some_and(|known| known != host) {
            return Some(format!(
                "at {at} ms {host} orders under {fence} of {known:?}"
            ));
        }
    }
    orders.windows(2).find_map(|pair| {
        let [
            (before, first, start, lower),
            (at, second, next_start, fence),
        ] = pair
        else {
            return None;
        };
        let apart = at - before;
        let is_same_process = first == second && start == next_start;
        if first != second && apart < HANDOVER_MS {
            Some(format!(
                "orders of {first} and {second} {apart} ms apart at {at} ms"
            ))
        } else if fence < lower {
            Some(format!("the token fell from {lower} to {fence} at {at} ms"))
        } else if is_same_process && fence > lower && apart < TRANSIT_MS {
            // An order under the lower token may arrive after one under the higher token.
            Some(format!(
                "tokens {lower} and {fence} {apart} ms apart at {at} ms"
            ))
        } else {
            None
        }
    })
}

/// Guards against fencing tokens that are reused and holders that overlap after a restore.
#[test]
fn orders_stay_apart_and_tokens_rise_over_restores() {
    let calm = FaultRates {
        freeze: 0,
        cut: 0,
        restart: 0,
        lost: 0,
        slow: false,
        gossip: true,
        restore_ms: 20_000,
    };
    let cases = [
        calm,
        FaultRates {
            gossip: false,
            ..calm
        },
        FaultRates {
            slow: true,
            lost: 200,
            ..calm
        },
        FaultRates {
            freeze: 2,
            cut: 2,
            slow: true,
            ..calm
        },
        FaultRates {
            freeze: 2,
            cut: 2,
            restart: 3,
            lost: 200,
            slow: true,
            gossip: true,
            restore_ms: 10_000,
        },
    ];
    for faults in cases {
        let mut order_count = 0;
        let mut restore_count = 0;
        for seed in 0..SEEDS {
            let (sent, restores) = orders(seed, faults);
            assert_eq!(violation(&sent), None, "seed {seed}, {faults:?}");
            order_count += sent.len();
            restore_count += restores;
        }
        assert!(order_count > 0 && restore_count > SEEDS, "{faults:?}");
    }
}

/// Guards against a read of an earlier era that arrives late and hides a successor's record.
#[test]
fn what_was_read_in_an_earlier_era_is_discarded() {
    let mut host = SimulatedHost::start("a", 2);
    host.lease.note_era(Era(4));
    host.lease.observe(None, Era(3), Offset(7), Moment(100));
    assert!(
        host.lease.needs_read(),
        "the record of era 4 is still to be read"
    );
    host.lease.observe(None, Era(4), Offset(5), Moment(200));
    assert!(!host.lease.needs_read());
    assert_eq!(host.lease.claim(Moment(4_500)), None, "4.4 s from the read");
    let claim = host.lease.claim(Moment(4_600)).expect("the wait is over");
    assert_eq!(claim.expected_end, Offset(5));
}
