//! Retries stay within their budget, suspicion keeps off dead hosts, a drain cuts off nothing.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment, Repeat};
use eelgrasshill_route::{
    Admission, Call, Drain, DrainAction, DrainEvent, DrainSettings, DrainState, Health,
    HealthState, Observation, Refusal, RefusalCause, RetryBudget, RetryError, RetrySettings,
    RunState,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 200;

/// Runs calls that fail with a chance in percent, and returns fresh calls and retries.
fn retries(seed: u64, settings: RetrySettings, chance: u32) -> (u64, u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new(settings);
    let (mut fresh, mut again) = (0, 0);
    for n in 0..2_000 {
        budget.record_call();
        fresh += 1;
        let repeat = if n % 5 == 0 {
            Repeat::Never
        } else {
            Repeat::Allowed
        };
        let call = Call::new(repeat).send();
        while random.random_range(0..100) < chance {
            match call.retry(&mut budget, Moment(n)) {
                Ok(()) => again += 1,
                Err(RetryError::NotRepeatable | RetryError::BudgetExhausted) => break,
            }
            assert_eq!(
                repeat,
                Repeat::Allowed,
                "a call that may not be repeated was"
            );
        }
    }
    (fresh, again)
}

#[test]
fn retries_stay_within_budget() {
    let settings = RetrySettings::default();
    let unbounded = RetrySettings {
        per_thousand: 1_000_000,
        burst: 1_000_000,
    };
    let mut red = 0;
    for seed in 0..SEEDS {
        for chance in [1, 10, 50, 90, 99] {
            let (fresh, again) = retries(seed, settings, chance);
            let bound = settings.burst + fresh * settings.per_thousand / 1_000;
            assert!(again <= bound, "seed {seed}: {again} retries over {bound}");
        }
        let (fresh, again) = retries(seed, unbounded, 50);
        red += u64::from(again > settings.burst + fresh * settings.per_thousand / 1_000);
    }
    assert_eq!(red, SEEDS, "without a budget the bound must break");
}

#[test]
fn run_state_is_what_the_type_knows() {
    let refusal = Refusal {
        cause: RefusalCause::Deadline,
        retry_after: Duration::from_secs(1),
    };
    let mut spent = RetryBudget::new(RetrySettings {
        per_thousand: 0,
        burst: 0,
    });
    let mut full = RetryBudget::default();
    let now = Moment(5);
    let unsent = Call::new(Repeat::Never);
    assert_eq!(unsent.reconnect(&mut full, now), Ok(()));
    assert_eq!(
        unsent.reconnect(&mut spent, now),
        Err(RetryError::BudgetExhausted)
    );
    assert_eq!(spent.last_refused(), Some(now));
    let proof = unsent.refuse(refusal);
    assert_eq!(proof.refusal(), refusal);
    assert!(matches!(RunState::from(proof), RunState::NotRun(_)));
    let gone = Call::new(Repeat::Never).send();
    assert_eq!(gone.retry(&mut full, now), Err(RetryError::NotRepeatable));
    assert_eq!(gone.fail(), RunState::Unknown);
    assert_eq!(Call::new(Repeat::Allowed).send().answer(), RunState::Ran);
}

struct HealthCase {
    name: &'static str,
    seen: Vec<(u64, Observation)>,
    expected: Vec<(u64, HealthState)>,
}

#[test]
fn suspicion_follows_new_connections() {
    let silent = |opened| Observation::Silent {
        opened: Moment(opened),
    };
    let answered = |opened| Observation::Answered {
        opened: Moment(opened),
    };
    let cases = [
        HealthCase {
            name: "many old connections go silent together",
            seen: vec![
                (1_000, silent(10)),
                (1_000, silent(20)),
                (1_001, silent(30)),
            ],
            expected: vec![(1_002, HealthState::Probing)],
        },
        HealthCase {
            name: "a new connection works",
            seen: vec![(1_000, silent(10)), (1_300, answered(1_010))],
            expected: vec![(1_300, HealthState::Healthy)],
        },
        HealthCase {
            name: "an old connection says nothing of new ones",
            seen: vec![(1_000, silent(10)), (1_300, answered(20))],
            expected: vec![(1_300, HealthState::Probing)],
        },
        HealthCase {
            name: "a new connection is silent too",
            seen: vec![(1_000, silent(10)), (3_000, silent(1_010))],
            expected: vec![
                (3_001, HealthState::Suspected),
                (3_500, HealthState::Probing),
            ],
        },
        HealthCase {
            name: "failed connects lapse later each time",
            seen: vec![
                (0, Observation::ConnectFailed),
                (600, Observation::ConnectFailed),
            ],
            expected: vec![
                (1_100, HealthState::Suspected),
                (1_600, HealthState::Probing),
            ],
        },
        HealthCase {
            name: "connects that fail together count once",
            seen: (0..50).map(|at| (at, Observation::ConnectFailed)).collect(),
            expected: vec![(499, HealthState::Suspected), (500, HealthState::Probing)],
        },
        HealthCase {
            name: "its own word that it leaves outlasts an answer",
            seen: vec![(0, Observation::Leaving), (10, answered(5))],
            expected: vec![(30_000, HealthState::Leaving)],
        },
    ];
    let host = HostName::new("engine-1").unwrap();
    for case in cases {
        let mut health = Health::new();
        for (at, seen) in case.seen {
            health.observe(&host, seen, Moment(at));
        }
        for (at, expected) in case.expected {
            let state = health.state(&host, Moment(at));
            assert_eq!(state, expected, "{} at {at}", case.name);
        }
    }
}

/// Serves random requests through a drain; returns how many were cut off or turned away.
fn drain(seed: u64, settings: DrainSettings) -> usize {
    const BALANCER_LAG_MS: u64 = 3_000;
    let mut random = StdRng::seed_from_u64(seed);
    let mut drain = Drain::new(settings);
    let mut ends = Vec::<u64>::new();
    let (mut listening, mut lost) = (true, 0);
    let mut shown = None;
    for now in (0..).step_by(20) {
        let mut events = vec![DrainEvent::Tick];
        if now == 1_000 {
            events.push(DrainEvent::Begin);
        }
        let done = ends.extract_if(.., |end| *end <= now).count();
        events.extend(std::iter::repeat_n(DrainEvent::RequestEnded, done));
        let sends = shown.is_none_or(|at| now < at + BALANCER_LAG_MS);
        if sends && random.random_range(0..4) == 0 {
            if !listening || drain.admission() == Admission::Refuse {
                lost += 1;
            } else {
                ends.push(now + random.random_range(50..30_000));
                events.push(DrainEvent::RequestStarted);
            }
        }
        for event in events {
            for action in drain.step(event, Moment(now)) {
                match action {
                    DrainAction::ShowNotReady => shown = Some(now),
                    DrainAction::StopListening => listening = false,
                    DrainAction::Exit | DrainAction::Abort => return lost + ends.len(),
                }
            }
        }
    }
    lost
}

#[test]
fn drain_cuts_off_nothing() {
    let hasty = DrainSettings {
        readiness_delay: Duration::ZERO,
        ..DrainSettings::default()
    };
    let short = DrainSettings {
        timeout: Duration::from_secs(10),
        ..DrainSettings::default()
    };
    let (mut red_hasty, mut red_short) = (0, 0);
    for seed in 0..SEEDS {
        assert_eq!(drain(seed, DrainSettings::default()), 0, "seed {seed}");
        red_hasty += u64::from(drain(seed, hasty) > 0);
        red_short += u64::from(drain(seed, short) > 0);
    }
    println!("no notice: {red_hasty} of {SEEDS} red; short bound: {red_short} of {SEEDS} red");
    assert_eq!((red_hasty, red_short), (SEEDS, SEEDS));
}

#[test]
fn drain_states_follow_each_other() {
    let mut drain = Drain::new(DrainSettings::default());
    assert_eq!(drain.admission(), Admission::Serve);
    assert_eq!(drain.step(DrainEvent::RequestStarted, Moment(0)), []);
    assert_eq!(
        drain.step(DrainEvent::Begin, Moment(10)),
        [DrainAction::ShowNotReady]
    );
    assert_eq!(
        (drain.state(), drain.admission()),
        (DrainState::NotReady, Admission::ServeAndClose)
    );
    assert_eq!(drain.next_wake(), Some(Moment(5_010)));
    assert_eq!(
        drain.step(DrainEvent::Tick, Moment(5_010)),
        [DrainAction::StopListening]
    );
    assert_eq!(drain.state(), DrainState::NoNewConnections);
    assert_eq!(drain.admission(), Admission::ServeAndClose);
    assert_eq!(
        drain.step(DrainEvent::RequestEnded, Moment(6_000)),
        [DrainAction::Exit]
    );
    assert_eq!(
        (drain.state(), drain.admission()),
        (DrainState::Drained, Admission::Refuse)
    );
}
