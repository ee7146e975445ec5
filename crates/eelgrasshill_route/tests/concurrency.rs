//! Tests that the concurrency limit settles at what an engine can serve in time.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment};
use eelgrasshill_route::{ConcurrencyLimiter, ConcurrencySettings};

/// Number of slots of the tested engine.
const SLOTS: u32 = 16;

struct Case {
    name: &'static str,
    /// Time between tokens of an idle engine.
    base_ms: u64,
    /// Additional time for each running answer, in tenths of a millisecond.
    answer_tenths: u64,
    /// Lowest limit expected in the end.
    min: u32,
    /// Highest limit expected in the end.
    max: u32,
}

/// Keeps an engine as full as the limit allows, and returns the last ten limits.
fn saturate(
    limiter: &mut ConcurrencyLimiter,
    host: &HostName,
    case: &Case,
    seconds: std::ops::Range<u64>,
) -> Vec<u32> {
    let mut running = SLOTS;
    let mut limits = Vec::new();
    for second in seconds {
        for token in 0..40 {
            let gap = case.base_ms + case.answer_tenths * u64::from(running) / 10;
            limiter.record_gap(
                host,
                Duration::from_millis(gap),
                Moment(second * 1000 + token * 25),
            );
        }
        running = limiter.usable_slots(host, running, SLOTS, Moment(second * 1000 + 1000));
        limits.push(running);
    }
    limits.split_off(limits.len() - 10)
}

#[test]
fn limit_settles_where_tokens_are_in_time() {
    let cases = [
        Case {
            name: "14 answers are in time",
            base_ms: 18,
            answer_tenths: 15,
            min: 13,
            max: 15,
        },
        Case {
            name: "7 answers are in time",
            base_ms: 18,
            answer_tenths: 30,
            min: 6,
            max: 8,
        },
        Case {
            name: "as many answers as slots are in time",
            base_ms: 10,
            answer_tenths: 10,
            min: 16,
            max: 16,
        },
        Case {
            name: "not even one answer is in time",
            base_ms: 60,
            answer_tenths: 10,
            min: 1,
            max: 2,
        },
    ];
    let host = HostName::new("engine-1").unwrap();
    for case in cases {
        let mut limiter = ConcurrencyLimiter::new(ConcurrencySettings::default());
        for limit in saturate(&mut limiter, &host, &case, 0..60) {
            assert!(
                (case.min..=case.max).contains(&limit),
                "{}: limit {limit}",
                case.name
            );
        }
    }
}

#[test]
fn limit_rises_when_engine_gets_faster() {
    let host = HostName::new("engine-1").unwrap();
    let mut limiter = ConcurrencyLimiter::new(ConcurrencySettings::default());
    let slow = Case {
        name: "slow",
        base_ms: 18,
        answer_tenths: 30,
        min: 6,
        max: 8,
    };
    let fast = Case {
        name: "fast",
        base_ms: 10,
        answer_tenths: 10,
        min: 16,
        max: 16,
    };
    saturate(&mut limiter, &host, &slow, 0..60);
    let limits = saturate(&mut limiter, &host, &fast, 60..120);
    assert!(
        limits.iter().all(|limit| *limit == SLOTS),
        "expected {SLOTS}, got {limits:?}"
    );
    limiter.retain(|_host| false);
    assert_eq!(
        limiter.usable_slots(&host, 0, SLOTS, Moment(200_000)),
        SLOTS
    );
}
