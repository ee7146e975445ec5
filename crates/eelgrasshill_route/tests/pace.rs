//! The bound on running answers finds what an engine can serve in time.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment};
use eelgrasshill_route::{ConcurrencyLimiter, ConcurrencySettings};

/// Slots that the engine of the tests offers.
const SLOTS: u32 = 16;

struct Case {
    name: &'static str,
    base: u64,
    each: u64,
    least: u32,
    most: u32,
}

/// Keeps an engine as full as the bound allows and returns the last bounds.
fn run(
    pacer: &mut ConcurrencyLimiter,
    host: &HostName,
    case: &Case,
    seconds: std::ops::Range<u64>,
) -> Vec<u32> {
    let mut running = SLOTS;
    let mut bounds = Vec::new();
    for second in seconds {
        for token in 0..40 {
            let gap = case.base + case.each * u64::from(running) / 10;
            pacer.record_gap(
                host,
                Duration::from_millis(gap),
                Moment(second * 1000 + token * 25),
            );
        }
        running = pacer.usable_slots(host, running, SLOTS, Moment(second * 1000 + 1000));
        bounds.push(running);
    }
    bounds.split_off(bounds.len() - 10)
}

#[test]
fn the_bound_settles_where_tokens_come_in_time() {
    // Milliseconds between tokens are base + each/10 for every running answer.
    let cases = [
        Case {
            name: "a batch of 14 is in time",
            base: 18,
            each: 15,
            least: 13,
            most: 15,
        },
        Case {
            name: "a batch of 7 is in time",
            base: 18,
            each: 30,
            least: 6,
            most: 8,
        },
        Case {
            name: "all slots are in time",
            base: 10,
            each: 10,
            least: 16,
            most: 16,
        },
        Case {
            name: "no batch is in time",
            base: 60,
            each: 10,
            least: 1,
            most: 2,
        },
    ];
    let host = HostName::new("engine-1").unwrap();
    for case in cases {
        let mut pacer = ConcurrencyLimiter::new(ConcurrencySettings::default());
        for bound in run(&mut pacer, &host, &case, 0..60) {
            assert!(
                (case.least..=case.most).contains(&bound),
                "{}: {bound}",
                case.name
            );
        }
    }
}

#[test]
fn the_bound_rises_again_when_the_engine_is_faster() {
    let host = HostName::new("engine-1").unwrap();
    let mut pacer = ConcurrencyLimiter::new(ConcurrencySettings::default());
    let slow = Case {
        name: "slow",
        base: 18,
        each: 30,
        least: 6,
        most: 8,
    };
    let fast = Case {
        name: "fast",
        base: 10,
        each: 10,
        least: 16,
        most: 16,
    };
    run(&mut pacer, &host, &slow, 0..60);
    let bounds = run(&mut pacer, &host, &fast, 60..120);
    assert!(bounds.iter().all(|bound| *bound == SLOTS), "{bounds:?}");
    pacer.retain(|_host| false);
    assert_eq!(pacer.usable_slots(&host, 0, SLOTS, Moment(200_000)), SLOTS);
}
