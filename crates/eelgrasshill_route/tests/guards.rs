//! Tests of the retry budget, of whether a call ran, of upstream health and of the shutdown.
//!
//! They guard against retry storms, against requests to dead upstreams, and against requests cut
//! off by a shutdown.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment, Repeat};
use eelgrasshill_route::{
    Call, ConnectionOutcome, Drain, DrainAction, DrainDecision, DrainEvent, DrainSettings,
    DrainState, Health, HealthState, Refusal, RefusalCause, RetryBudget, RetryError, RetrySettings,
    RunState,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 200;

/// Runs calls that fail at a rate in percent, and returns the numbers of calls and of retries.
fn run_calls(seed: u64, settings: RetrySettings, failure_percent: u32) -> (u64, u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new(settings);
    let (mut calls, mut retries) = (0, 0);
    for n in 0..2_000 {
        budget.record_call();
        calls += 1;
        let repeat = if n % 5 == 0 {
            Repeat::Never
        } else {
            Repeat::Allowed
        };
        let call = Call::new(repeat).send();
        while random.random_range(0..100) < failure_percent {
            match call.retry(&mut budget, Moment(n)) {
                Ok(()) => retries += 1,
                Err(RetryError::NotRepeatable | RetryError::BudgetExhausted) => break,
            }
            assert_eq!(
                repeat,
                Repeat::Allowed,
                "a call that may not be repeated was retried"
            );
        }
    }
    (calls, retries)
}

#[test]
fn retries_stay_within_budget() {
    let settings = RetrySettings::default();
    let unbounded = RetrySettings {
        retries_per_1000: 1_000_000,
        burst: 1_000_000,
    };
    let mut over_bound = 0;
    for seed in 0..SEEDS {
        for failure_percent in [1, 10, 50, 90, 99] {
            let (calls, retries) = run_calls(seed, settings, failure_percent);
            let bound = settings.burst + calls * settings.retries_per_1000 / 1_000;
            assert!(
                retries <= bound,
                "seed {seed}: {retries} retries, expected at most {bound}"
            );
        }
        let (calls, retries) = run_calls(seed, unbounded, 50);
        over_bound +=
            u64::from(retries > settings.burst + calls * settings.retries_per_1000 / 1_000);
    }
    assert_eq!(
        over_bound, SEEDS,
        "without a budget, retries must exceed the bound on every seed"
    );
}

#[test]
fn only_an_unsent_call_counts_as_not_run() {
    let refusal = Refusal {
        cause: RefusalCause::Deadline,
        retry_after: Duration::from_secs(1),
    };
    let mut empty = RetryBudget::new(RetrySettings {
        retries_per_1000: 0,
        burst: 0,
    });
    let mut full = RetryBudget::default();
    let now = Moment(5);
    let unsent = Call::new(Repeat::Never);
    assert_eq!(unsent.reconnect(&mut full, now), Ok(()));
    assert_eq!(
        unsent.reconnect(&mut empty, now),
        Err(RetryError::BudgetExhausted)
    );
    assert_eq!(empty.last_refused(), Some(now));
    let not_run = unsent.refuse(refusal);
    assert_eq!(not_run.refusal(), refusal);
    assert!(matches!(RunState::from(not_run), RunState::NotRun(_)));
    let sent = Call::new(Repeat::Never).send();
    assert_eq!(sent.retry(&mut full, now), Err(RetryError::NotRepeatable));
    assert_eq!(sent.fail(), RunState::Unknown);
    assert_eq!(Call::new(Repeat::Allowed).send().answer(), RunState::Ran);
}

struct HealthCase {
    name: &'static str,
    outcomes: Vec<(u64, ConnectionOutcome)>,
    expected: Vec<(u64, HealthState)>,
}

#[test]
fn health_follows_new_connections() {
    let silent = |opened| ConnectionOutcome::Silent {
        opened: Moment(opened),
    };
    let answered = |opened| ConnectionOutcome::Answered {
        opened: Moment(opened),
    };
    let cases = [
        HealthCase {
            name: "several old connections go silent together",
            outcomes: vec![
                (1_000, silent(10)),
                (1_000, silent(20)),
                (1_001, silent(30)),
            ],
            expected: vec![(1_002, HealthState::Probing)],
        },
        HealthCase {
            name: "a new connection brings an answer",
            outcomes: vec![(1_000, silent(10)), (1_300, answered(1_010))],
            expected: vec![(1_300, HealthState::Healthy)],
        },
        HealthCase {
            name: "an answer on an old connection does not end the probing",
            outcomes: vec![(1_000, silent(10)), (1_300, answered(20))],
            expected: vec![(1_300, HealthState::Probing)],
        },
        HealthCase {
            name: "a connection opened during the probing goes silent too",
            outcomes: vec![(1_000, silent(10)), (3_000, silent(1_010))],
            expected: vec![
                (3_001, HealthState::Suspected),
                (3_500, HealthState::Probing),
            ],
        },
        HealthCase {
            name: "the second suspicion lasts longer than the first",
            outcomes: vec![
                (0, ConnectionOutcome::ConnectFailed),
                (600, ConnectionOutcome::ConnectFailed),
            ],
            expected: vec![
                (1_100, HealthState::Suspected),
                (1_600, HealthState::Probing),
            ],
        },
        HealthCase {
            name: "connects that fail together count as one failure",
            outcomes: (0..50)
                .map(|at| (at, ConnectionOutcome::ConnectFailed))
                .collect(),
            expected: vec![(499, HealthState::Suspected), (500, HealthState::Probing)],
        },
        HealthCase {
            name: "an upstream that said it is leaving stays so after an answer",
            outcomes: vec![(0, ConnectionOutcome::Leaving), (10, answered(5))],
            expected: vec![(30_000, HealthState::Leaving)],
        },
    ];
    let host = HostName::new("engine-1").unwrap();
    for case in cases {
        let mut health = Health::new();
        for (at, outcome) in case.outcomes {
            health.observe(&host, outcome, Moment(at));
        }
        for (at, expected) in case.expected {
            let state = health.state(&host, Moment(at));
            assert_eq!(state, expected, "{} at {at} ms", case.name);
        }
    }
}

/// Runs random requests through a drain, and returns how many were cut off or refused.
fn drain(seed: u64, settings: DrainSettings) -> usize {
    /// Time from the not-ready state until the load balancer sends no more requests.
    const BALANCER_LAG_MS: u64 = 3_000;
    let mut random = StdRng::seed_from_u64(seed);
    let mut drain = Drain::new(settings);
    let mut ends = Vec::<u64>::new();
    let (mut listening, mut refused) = (true, 0);
    let mut not_ready_shown_at = None;
    for now in (0..).step_by(20) {
        let mut events = vec![DrainEvent::Tick];
        if now == 1_000 {
            events.push(DrainEvent::Begin);
        }
        let ended = ends.extract_if(.., |end| *end <= now).count();
        events.extend(std::iter::repeat_n(DrainEvent::RequestEnded, ended));
        let balancer_still_sends = not_ready_shown_at.is_none_or(|at| now < at + BALANCER_LAG_MS);
        if balancer_still_sends && random.random_range(0..4) == 0 {
            if !listening || drain.decision() == DrainDecision::Refuse {
                refused += 1;
            } else {
                ends.push(now + random.random_range(50..30_000));
                events.push(DrainEvent::RequestStarted);
            }
        }
        for event in events {
            for action in drain.step(event, Moment(now)) {
                match action {
                    DrainAction::ShowNotReady => not_ready_shown_at = Some(now),
                    DrainAction::StopListening => listening = false,
                    DrainAction::Exit | DrainAction::Abort => return refused + ends.len(),
                }
            }
        }
    }
    refused
}

#[test]
fn drain_cuts_off_nothing() {
    let no_delay = DrainSettings {
        readiness_delay: Duration::ZERO,
        ..DrainSettings::default()
    };
    let short_timeout = DrainSettings {
        timeout: Duration::from_secs(10),
        ..DrainSettings::default()
    };
    let (mut cut_without_delay, mut cut_by_timeout) = (0, 0);
    for seed in 0..SEEDS {
        assert_eq!(
            drain(seed, DrainSettings::default()),
            0,
            "seed {seed}: requests were cut off or refused, expected none"
        );
        cut_without_delay += u64::from(drain(seed, no_delay) > 0);
        cut_by_timeout += u64::from(drain(seed, short_timeout) > 0);
    }
    println!(
        "seeds with cut requests, of {SEEDS}: no delay {cut_without_delay}, short timeout {cut_by_timeout}"
    );
    assert_eq!(
        (cut_without_delay, cut_by_timeout),
        (SEEDS, SEEDS),
        "expected cut requests on every seed, without the delay and with the short timeout"
    );
}

#[test]
fn drain_passes_through_its_states() {
    let mut drain = Drain::new(DrainSettings::default());
    assert_eq!(drain.decision(), DrainDecision::Serve);
    assert_eq!(drain.step(DrainEvent::RequestStarted, Moment(0)), []);
    assert_eq!(
        drain.step(DrainEvent::Begin, Moment(10)),
        [DrainAction::ShowNotReady]
    );
    assert_eq!(
        (drain.state(), drain.decision()),
        (DrainState::NotReady, DrainDecision::ServeAndClose)
    );
    // The readiness delay is 5 s.
    assert_eq!(drain.next_wake(), Some(Moment(5_010)));
    assert_eq!(
        drain.step(DrainEvent::Tick, Moment(5_010)),
        [DrainAction::StopListening]
    );
    assert_eq!(drain.state(), DrainState::NoNewConnections);
    assert_eq!(drain.decision(), DrainDecision::ServeAndClose);
    assert_eq!(
        drain.step(DrainEvent::RequestEnded, Moment(6_000)),
        [DrainAction::Exit]
    );
    assert_eq!(
        (drain.state(), drain.decision()),
        (DrainState::Drained, DrainDecision::Refuse)
    );
}
