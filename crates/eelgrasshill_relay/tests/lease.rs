//! Tests that orders of two holders are separated by the handover delay under all faults.
//!
//! Faults are frozen and restarted hosts, lost connections to the store, and writes whose answer is
//! lost or that take effect late.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset};
use eelgrasshill_relay::{Era, Lease, LeaseRecord, LeaseWrite};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const HANDOVER_DELAY: Duration = Duration::from_secs(3);
const SEEDS: u64 = 300;
const RUN_MS: u64 = 90_000;
const STEP_MS: u64 = 50;

/// Lease topic of the store, with conditional writes of which some take effect late.
#[derive(Default)]
struct Topic {
    record: Option<LeaseRecord>,
    end: u64,
    /// Due time in ms of each write that takes effect late.
    late_writes: Vec<(u64, LeaseWrite)>,
}

impl Topic {
    fn write(&mut self, write: &LeaseWrite) -> Option<Offset> {
        if write.expected_end.0 != self.end {
            return None;
        }
        self.record = Some(write.record.clone());
        self.end += 1;
        Some(Offset(self.end - 1))
    }

    fn advance(&mut self, now: u64) {
        let due: Vec<_> = self
            .late_writes
            .extract_if(.., |(at, _write)| *at <= now)
            .collect();
        for (_at, write) in due {
            self.write(&write);
        }
    }
}

/// A host with its lease.
struct SimulatedHost {
    name: HostName,
    lease: Lease,
    incarnation: u64,
    frozen_until_ms: u64,
    cut_until_ms: u64,
}

impl SimulatedHost {
    fn start(name: &str, incarnation: u64) -> Self {
        let name = HostName::new(name).expect("the name is valid");
        let address = "127.0.0.1:1".parse().expect("the address is valid");
        Self {
            lease: Lease::new(
                name.clone(),
                address,
                Incarnation(incarnation),
                HANDOVER_DELAY,
            ),
            name,
            incarnation,
            frozen_until_ms: 0,
            cut_until_ms: 0,
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
}

/// Runs three hosts and returns the time, host and fence of each order.
fn orders(seed: u64, faults: FaultRates) -> Vec<(u64, HostName, u64)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut topic = Topic::default();
    let mut simulated_hosts: Vec<_> = ["a", "b", "c"]
        .map(|name| SimulatedHost::start(name, 1))
        .into();
    let mut orders = Vec::new();
    for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).expect("a step is small")) {
        topic.advance(now);
        for simulated_host in &mut simulated_hosts {
            let roll = random.random_range(0..1_000);
            if roll < faults.freeze {
                simulated_host.frozen_until_ms = now + random.random_range(500..9_000);
            } else if roll < faults.freeze + faults.cut {
                simulated_host.cut_until_ms = now + random.random_range(500..9_000);
            } else if roll < faults.freeze + faults.cut + faults.restart {
                *simulated_host = SimulatedHost::start(
                    simulated_host.name.as_str(),
                    simulated_host.incarnation + 1,
                );
                simulated_host.frozen_until_ms = now + random.random_range(200..4_000);
            }
            if now < simulated_host.frozen_until_ms {
                continue;
            }
            step(simulated_host, &mut topic, &mut random, faults, now);
            if let Some(fence) = simulated_host.lease.fence(Moment(now)) {
                orders.push((now, simulated_host.name.clone(), fence));
            }
        }
    }
    orders
}

fn step(
    simulated_host: &mut SimulatedHost,
    topic: &mut Topic,
    random: &mut StdRng,
    faults: FaultRates,
    now: u64,
) {
    if now < simulated_host.cut_until_ms {
        return;
    }
    let at = Moment(now);
    if (simulated_host.lease.needs_read() || !simulated_host.lease.is_held(at))
        && random.random_range(0..10) == 0
    {
        simulated_host
            .lease
            .observe(topic.record.clone(), Era(0), Offset(topic.end), at);
    }
    if simulated_host.lease.needs_read() {
        return;
    }
    let renewal = simulated_host
        .lease
        .renewal(at)
        .filter(|_write| simulated_host.lease.is_held(at));
    let Some(write) = renewal.or_else(|| simulated_host.lease.claim(at)) else {
        return;
    };
    if random.random_range(0..1_000) < faults.lost {
        // The answer is lost; the write takes effect at once, late, or never.
        match random.random_range(0..3) {
            0 => drop(topic.write(&write)),
            1 => topic
                .late_writes
                .push((now + random.random_range(1_000..6_000), write)),
            _ => {}
        }
        simulated_host.lease.invalidate();
    } else {
        match topic.write(&write) {
            Some(offset) => simulated_host
                .lease
                .confirm_write(write, Era(0), offset, at),
            None => simulated_host.lease.invalidate(),
        }
    }
}

/// Describes two holders' orders within the handover delay, or a fence that decreased.
fn violation(orders: &[(u64, HostName, u64)]) -> Option<String> {
    let handover_delay_ms = u64::try_from(HANDOVER_DELAY.as_millis()).expect("the bound is small");
    for pair in orders.windows(2) {
        let [
            (first_ms, first_host, first_fence),
            (second_ms, second_host, second_fence),
        ] = pair
        else {
            continue;
        };
        if first_host != second_host && second_ms - first_ms < handover_delay_ms {
            return Some(format!(
                "expected orders of two hosts to be {handover_delay_ms} ms apart, but {first_host} sent one at {first_ms} ms and {second_host} at {second_ms} ms"
            ));
        }
        if second_fence < first_fence {
            return Some(format!(
                "the fence fell from {first_fence} to {second_fence} at {second_ms} ms"
            ));
        }
    }
    None
}

/// Runs one host without faults until a time, when it holds the lease.
fn held_until(end_ms: u64) -> (Topic, SimulatedHost) {
    let mut topic = Topic::default();
    let mut simulated_host = SimulatedHost::start("a", 1);
    let mut random = StdRng::seed_from_u64(1);
    let no_faults = FaultRates {
        freeze: 0,
        cut: 0,
        restart: 0,
        lost: 0,
    };
    for now in (0..end_ms).step_by(50) {
        step(&mut simulated_host, &mut topic, &mut random, no_faults, now);
    }
    (topic, simulated_host)
}

#[test]
fn orders_of_two_holders_are_separated_by_the_handover_delay() {
    let cases = [
        FaultRates {
            freeze: 0,
            cut: 0,
            restart: 0,
            lost: 0,
        },
        FaultRates {
            freeze: 4,
            cut: 0,
            restart: 0,
            lost: 0,
        },
        FaultRates {
            freeze: 0,
            cut: 4,
            restart: 0,
            lost: 100,
        },
        FaultRates {
            freeze: 2,
            cut: 2,
            restart: 2,
            lost: 300,
        },
    ];
    for faults in cases {
        for seed in 0..SEEDS {
            let given = orders(seed, faults);
            assert_eq!(violation(&given), None, "seed {seed}, {faults:?}");
            assert!(!given.is_empty(), "seed {seed}: no host gave any order");
        }
    }
}

#[test]
fn restarted_holder_resumes_at_once_while_others_wait() {
    // A lease lasts 4 s and is renewed every 1.2 s.
    let (mut topic, first) = held_until(10_000);
    assert!(first.lease.fence(Moment(9_950)).is_some());
    let mut again = SimulatedHost::start("a", 2);
    again.lease.observe(
        topic.record.clone(),
        Era(0),
        Offset(topic.end),
        Moment(10_100),
    );
    let write = again
        .lease
        .claim(Moment(10_100))
        .expect("the lease belongs to an earlier start of this host");
    let offset = topic.write(&write).expect("no other write came between");
    again
        .lease
        .confirm_write(write, Era(0), offset, Moment(10_100));
    assert!(again.lease.fence(Moment(10_100)).is_some());
    let mut other = SimulatedHost::start("b", 1);
    other.lease.observe(
        topic.record.clone(),
        Era(0),
        Offset(topic.end),
        Moment(10_200),
    );
    assert_eq!(other.lease.claim(Moment(13_000)), None);
}

/// A lease lapses, and its holder claims it again before any other host does.
///
/// In a fault-injection run (seed 572170005843), such a claim got a new fence, and an order with the
/// old fence arrived after one with the new fence of the same host.
#[test]
fn lapsed_lease_without_a_successor_keeps_its_fence() {
    let (mut topic, mut simulated_host) = held_until(8_000);
    let before = simulated_host
        .lease
        .fence(Moment(7_950))
        .expect("the lease is held");
    assert_eq!(
        simulated_host.lease.fence(Moment(15_000)),
        None,
        "the lease has expired"
    );
    simulated_host.lease.observe(
        topic.record.clone(),
        Era(0),
        Offset(topic.end),
        Moment(15_000),
    );
    let write = simulated_host
        .lease
        .claim(Moment(15_000))
        .expect("no other host claimed it");
    let offset = topic.write(&write).expect("no other write came between");
    simulated_host
        .lease
        .confirm_write(write, Era(0), offset, Moment(15_000));
    assert_eq!(simulated_host.lease.fence(Moment(15_000)), Some(before));
}

#[test]
fn resigned_lease_can_be_claimed_at_once() {
    let (mut topic, mut simulated_host) = held_until(8_000);
    let fence = simulated_host
        .lease
        .fence(Moment(7_950))
        .expect("the lease is held");
    assert!(
        !simulated_host.lease.resign(Moment(8_000)),
        "expected no resignation, because the last renewal is younger than 2.6 s"
    );
    let mut other = SimulatedHost::start("b", 1);
    other.lease.observe(
        topic.record.clone(),
        Era(0),
        Offset(topic.end),
        Moment(10_600),
    );
    assert_eq!(other.lease.claim(Moment(10_700)), None);
    assert!(simulated_host.lease.resign(Moment(10_700)));
    assert_eq!(simulated_host.lease.fence(Moment(10_700)), None);
    other.lease.note_resignation(fence, Offset(topic.end));
    let write = other
        .lease
        .claim(Moment(10_700))
        .expect("the holder resigned");
    let offset = topic.write(&write).expect("no other write came between");
    other
        .lease
        .confirm_write(write, Era(0), offset, Moment(10_700));
    // The handover delay of 3 s ends at 13_700.
    assert_eq!(
        other.lease.fence(Moment(13_600)),
        None,
        "orders of the old holder may be in flight"
    );
    let renewal = other
        .lease
        .renewal(Moment(13_000))
        .expect("the renewal is due");
    let offset = topic.write(&renewal).expect("no other write came between");
    other
        .lease
        .confirm_write(renewal, Era(0), offset, Moment(13_000));
    assert!(other.lease.fence(Moment(14_200)).is_some());
}
