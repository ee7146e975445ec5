//! Tests that the concurrency limit settles at what an engine can serve in time.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment};
use eelgrasshill_route::{ConcurrencyLimiter, ConcurrencySettings};

/// Number of slots of the tested engine.
const SLOTS: u32 = 16;

/// Tokens that are recorded in each second, and the time between them.
const TOKENS_PER_SECOND: u64 = 40;
const TOKEN_INTERVAL_MS: u64 = 25;

struct Case {
    name: &'static str,
    /// Time between tokens of an idle engine.
    base_ms: u64,
    /// Additional time for each running answer, in tenths of a millisecond.
    ///
    /// The sum over all answers is cut off to whole milliseconds.
    answer_tenths: u64,
    /// Lowest limit expected in the end.
    min_limit: u32,
    /// Highest limit expected in the end.
    max_limit: u32,
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
        for token in 0..TOKENS_PER_SECOND {
            let gap_ms = case.base_ms + case.answer_tenths * u64::from(running) / 10;
            limiter.record_gap(
                host,
                Duration::from_millis(gap_ms),
                Moment(second * 1000 + token * TOKEN_INTERVAL_MS),
            );
        }
        running = limiter.usable_slots(host, running, SLOTS, Moment(second * 1000 + 1000));
        limits.push(running);
    }
    limits.split_off(limits.len() - 10)
}

#[test]
fn limit_settles_where_tokens_are_in_time() {
    // In time means a gap of at most 39 ms, the default target: 18 + 14 * 1.5 = 39.
    let cases = [
        Case {
            name: "14 answers are in time",
            base_ms: 18,
            answer_tenths: 15,
            min_limit: 13,
            max_limit: 15,
        },
        Case {
            name: "7 answers are in time",
            base_ms: 18,
            answer_tenths: 30,
            min_limit: 6,
            max_limit: 8,
        },
        Case {
            name: "as many answers as slots are in time",
            base_ms: 10,
            answer_tenths: 10,
            min_limit: 16,
            max_limit: 16,
        },
        Case {
            name: "not even one answer is in time",
            base_ms: 60,
            answer_tenths: 10,
            min_limit: 1,
            max_limit: 2,
        },
    ];
    let host = HostName::new("engine-1").unwrap();
    for case in cases {
        let mut limiter = ConcurrencyLimiter::new(ConcurrencySettings::default());
        for limit in saturate(&mut limiter, &host, &case, 0..60) {
            assert!(
                (case.min_limit..=case.max_limit).contains(&limit),
                "{}: limit {limit}, expected {} to {}",
                case.name,
                case.min_limit,
                case.max_limit
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
        min_limit: 6,
        max_limit: 8,
    };
    let fast = Case {
        name: "fast",
        base_ms: 10,
        answer_tenths: 10,
        min_limit: 16,
        max_limit: 16,
    };
    saturate(&mut limiter, &host, &slow, 0..60);
    let limits = saturate(&mut limiter, &host, &fast, 60..120);
    assert!(
        limits.iter().all(|limit| *limit == SLOTS),
        "expected {SLOTS}, got {limits:?}"
    );
    // A host that was removed starts again without a limit.
    limiter.retain(|_host| false);
    assert_eq!(
        limiter.usable_slots(&host, 0, SLOTS, Moment(200_000)),
        SLOTS
    );
}
