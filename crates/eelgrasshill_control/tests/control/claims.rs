//! Tests that a call runs at most once under random crashes, losses and delays.

use std::time::Duration;

use eelgrasshill_control::{
    CallAnswer, CallDigest, CallKey, CallRequest, ClaimBounds, ClaimWriter, Delta, LogEntry,
    LogTime, Process, Requester, RequesterEffect, WriterEffect,
};
use eelgrasshill_domain::{Incarnation, Moment, Offset, RequestId};
use rand::RngExt;

use crate::claims_simulation::{Disabled, HOSTS, Simulation, Violation, WRITER_HOSTS, key};

const SEEDS: u64 = 200;

/// The number of seeds for runs with a disabled mechanism, at most [`SEEDS`].
const DISABLED_SEEDS: u64 = 60;

/// Seeds that once caused a rare violation, or cause one if a mechanism is disabled.
const REGRESSION_SEEDS: [u64; 4] = [
    2573,
    1_415_261_244_684_153_109,
    10_592_576_205_381_536_090,
    6_145_758_856_438_871_589,
];

const KEYS: usize = 10;

/// The retention of the log and the duration of most runs, in which no record expires.
const LONG_RETENTION_SECS: u64 = 400;
const RUN_MS: u64 = 20_000;

/// The retention of the log and the duration of runs in which records expire.
const SHORT_RETENTION_SECS: u64 = 48;
const EXPIRY_RUN_MS: u64 = 100_000;

const STEP_MS: u64 = 100;

/// The longest duration of a cut or outage.
const MAX_CUT_MS: u64 = 8000;

/// The time in which all open calls end once every host runs.
const SETTLE_MS: u64 = 40_000;

/// Runs random calls and faults, then recovers all hosts and repeats every key.
fn run(seed: u64, retention_secs: u64, duration_ms: u64, disabled: Disabled) -> Simulation {
    let mut simulation = Simulation::new(seed, Duration::from_secs(retention_secs), disabled);
    simulation.is_faulty = true;
    let mut calls = 0;
    let mut outage_end = 0;
    while simulation.now_ms < duration_ms {
        let until = simulation.now_ms + STEP_MS;
        simulation.run_until(until);
        for _ in 0..simulation.rng.random_range(0..3) {
            calls += 1;
            let key_number = simulation.rng.random_range(0..KEYS);
            let host = simulation.rng.random_range(0..HOSTS);
            let has_other_body = simulation.rng.random_bool(0.05);
            let name = format!("{calls}{}", if has_other_body { "-other" } else { "" });
            // Another body for the same key is a conflict.
            let body = u8::from(has_other_body);
            simulation.begin(host, &name, key(key_number), body);
        }
        let host = simulation.rng.random_range(0..HOSTS);
        // Faults in two-hundredths per step. Restarting a running host does nothing.
        match simulation.rng.random_range(0..200) {
            0..2 => simulation.crash(host),
            2..10 => simulation.restart(host),
            10..12 => {
                let pause = simulation.rng.random_range(100..duration_ms / 2);
                simulation.pause(host, pause);
            }
            12..14 => {
                let cut = simulation.rng.random_range(100..MAX_CUT_MS);
                simulation.cut(host, cut);
            }
            14..16 => outage_end = simulation.now_ms + simulation.rng.random_range(100..MAX_CUT_MS),
            _ => {}
        }
        simulation.log.is_unavailable = outage_end > simulation.now_ms;
    }
    simulation.is_faulty = false;
    simulation.log.is_unavailable = false;
    for host in 0..HOSTS {
        simulation.restart(host);
    }
    // A pause lasts up to half of the duration, so every host runs again after 3/2 of it.
    let settled_ms = duration_ms * 3 / 2 + SETTLE_MS;
    simulation.run_until(settled_ms);
    for number in 0..KEYS {
        simulation.begin(
            number % WRITER_HOSTS,
            &format!("last-{number}"),
            key(number),
            0,
        );
    }
    simulation.run_until(settled_ms + SETTLE_MS);
    simulation.check_end();
    simulation
}

fn count_violating_seeds(
    retention_secs: u64,
    duration_ms: u64,
    disabled: Disabled,
    is_expected: fn(&Violation) -> bool,
) -> usize {
    let seeds = (0..DISABLED_SEEDS).filter(|seed| {
        let simulation = run(*seed, retention_secs, duration_ms, disabled);
        simulation.violations.iter().any(is_expected)
    });
    seeds.count()
}

#[test]
fn a_call_runs_at_most_once() {
    let mut answer_counts = [0; 6];
    for seed in (0..SEEDS).chain(REGRESSION_SEEDS) {
        let simulation = run(seed, LONG_RETENTION_SECS, RUN_MS, Disabled::Nothing);
        assert_eq!(simulation.violations, [], "seed {seed}");
        for answer in simulation.answers.values() {
            let kind = match answer {
                None => 0,
                Some(CallAnswer::Recorded(_)) => 1,
                Some(CallAnswer::NotRun(_)) => 2,
                Some(CallAnswer::Unknown) => 3,
                Some(CallAnswer::Conflict) => 4,
                Some(CallAnswer::Expired) => 5,
            };
            answer_counts[kind] += 1;
        }
    }
    println!("run or lost, recorded, not run, unknown, conflict, expired: {answer_counts:?}");
    // The last kind, expired, cannot occur: answers are kept for 100 s, and the last repeat of a call
    // comes before.
    assert!(
        answer_counts[..5].iter().all(|count| *count > 0),
        "a kind of answer never occurred: {answer_counts:?}"
    );
}

#[test]
fn a_call_runs_at_most_once_when_records_expire() {
    for seed in (0..SEEDS / 3).chain([20_985]) {
        let simulation = run(seed, SHORT_RETENTION_SECS, EXPIRY_RUN_MS, Disabled::Nothing);
        assert_eq!(simulation.violations, [], "seed {seed}");
        assert!(
            simulation.log.first_kept_offset > 1,
            "no record expired with seed {seed}"
        );
    }
}

#[test]
fn a_call_runs_at_most_once_with_generated_seeds() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(30)
        .for_each(|seed| {
            let simulation = run(*seed, LONG_RETENTION_SECS, RUN_MS, Disabled::Nothing);
            assert_eq!(simulation.violations, [], "seed {seed}");
        });
}

/// Checks that the oracle detects when a mechanism is missing.
///
/// With each mechanism disabled, some of the same seeds must cause the expected violation.
#[test]
fn disabling_a_mechanism_causes_violations() {
    struct Case {
        disabled: Disabled,
        retention_secs: u64,
        duration_ms: u64,
        is_expected: fn(&Violation) -> bool,
    }
    let cases = [
        Case {
            disabled: Disabled::ReadBack,
            retention_secs: LONG_RETENTION_SECS,
            duration_ms: RUN_MS,
            is_expected: |v| matches!(v, Violation::SecondRun(_)),
        },
        Case {
            disabled: Disabled::GiveUp,
            retention_secs: LONG_RETENTION_SECS,
            duration_ms: RUN_MS,
            is_expected: |v| matches!(v, Violation::FalseNotRun(_)),
        },
        Case {
            disabled: Disabled::Abort,
            retention_secs: LONG_RETENTION_SECS,
            duration_ms: RUN_MS,
            is_expected: |v| matches!(v, Violation::Stuck(_)),
        },
        Case {
            disabled: Disabled::Retention,
            retention_secs: SHORT_RETENTION_SECS,
            duration_ms: EXPIRY_RUN_MS,
            is_expected: |v| matches!(v, Violation::SecondRun(_)),
        },
    ];
    for case in cases {
        let count = count_violating_seeds(
            case.retention_secs,
            case.duration_ms,
            case.disabled,
            case.is_expected,
        );
        println!(
            "without {:?}: {count} of {DISABLED_SEEDS} seeds cause the violation",
            case.disabled
        );
        assert!(
            count > 0,
            "expected a violation without {:?}, but none of {DISABLED_SEEDS} seeds causes it",
            case.disabled
        );
    }
}

/// The append rate of the log, and the number of writers that share it.
const APPENDS_PER_SECOND: u32 = 200;
const WRITERS: u32 = 24;

/// Guards against a writer that exceeds its share of the log's append rate.
///
/// One claim arrives per millisecond, far more often than the writer may append.
#[test]
fn writer_respects_the_append_interval() {
    let bounds = ClaimBounds::new(Duration::from_hours(1)).with_rate(APPENDS_PER_SECOND, WRITERS);
    assert_eq!(bounds.append_interval, Duration::from_millis(120));
    let process = Process {
        address: "10.0.0.1:7000".parse().unwrap(),
        incarnation: Incarnation(1),
    };
    let mut requester = Requester::new("entry-1".parse().unwrap(), process, bounds.clone());
    let mut writer = ClaimWriter::new("claims-0".parse().unwrap(), process, bounds.clone());
    let (mut appends, mut records) = (Vec::new(), 0);
    for now in (0..3000).map(Moment) {
        let request: RequestId = format!("r-{now}").parse().unwrap();
        let key = CallKey::new(None, request.as_str());
        let digest = CallDigest::new(&[]);
        let call = CallRequest {
            request,
            key,
            organisation: None,
            digest,
        };
        let mut effects = writer.tick(now);
        for effect in requester.begin(call, now) {
            if let RequesterEffect::Submit { record, .. } = effect {
                effects.extend(writer.submit(record, now));
            }
        }
        while let Some(effect) = effects.pop() {
            let WriterEffect::Append { id, batch, .. } = effect else {
                continue;
            };
            appends.push(now);
            records += batch.records.len();
            assert!(batch.records.len() <= bounds.batch_records);
            let offset = Offset(appends.len() as u64);
            effects.extend(writer.handle_answer(&id, Ok(offset), now));
            let at = LogTime(now.0);
            let stored = LogEntry {
                offset,
                at,
                id,
                record: (*batch).clone(),
            };
            let page = Delta::new(offset, vec![stored]);
            effects.extend(writer.handle_page(Offset(1), LogTime(0), &page, true, now));
        }
    }
    let is_interval_kept = |pair: &[Moment]| pair[1].since(pair[0]) >= bounds.append_interval;
    assert!(
        appends.windows(2).all(is_interval_kept),
        "two appends are closer than the append interval: {appends:?}"
    );
    // In 3000 ms, 25 appends are possible, 120 ms apart; the last claims may still wait.
    assert!(
        appends.len() >= 24 && records >= 2800,
        "expected 24 appends and 2800 records at least, got {} and {records}",
        appends.len()
    );
}
