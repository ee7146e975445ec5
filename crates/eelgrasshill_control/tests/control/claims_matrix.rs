//! Tests each fault at each step of a claimed call.
//!
//! A combination that cannot occur is listed with the reason.

use std::{fmt::Write, time::Duration};

use eelgrasshill_control::CallAnswer;
use eelgrasshill_domain::RequestId;

use crate::claims_simulation::{Disabled, Fault, HOSTS, Simulation, Step, Violation, key};

/// The retention of the log: answers are kept for 16 s of log time, and keys for 32 s.
const RETENTION: Duration = Duration::from_secs(64);

const STEPS: [Step; 7] = [
    Step::Claim,
    Step::Append,
    Step::ReadBack,
    Step::Decide,
    Step::Run,
    Step::Record,
    Step::Repeat,
];

/// Whether a fault can occur at a step.
enum Combination {
    Runs,
    Impossible(&'static str),
}

const SAME_HOST: &str =
    "a won call is sent by the host that learnt of the win, with no message between";

/// The combinations: one row for each fault, one cell for each step.
const MATRIX: [(Fault, [Combination; 7]); 8] = {
    use Combination::{Impossible, Runs};
    [
        (Fault::Crash, [Runs, Runs, Runs, Runs, Runs, Runs, Runs]),
        (Fault::Pause, [Runs, Runs, Runs, Runs, Runs, Runs, Runs]),
        (Fault::Lost, [Runs, Runs, Runs, Runs, Runs, Runs, Runs]),
        (Fault::Late, [Runs, Runs, Runs, Runs, Runs, Runs, Runs]),
        (
            Fault::Repeated,
            [Runs, Runs, Runs, Runs, Impossible(SAME_HOST), Runs, Runs],
        ),
        (Fault::Outage, [Runs, Runs, Runs, Runs, Runs, Runs, Runs]),
        (Fault::Expiry, [Runs, Runs, Runs, Runs, Runs, Runs, Runs]),
        (Fault::Cut, [Runs, Runs, Runs, Runs, Runs, Runs, Runs]),
    ]
};

/// Runs one call with one fault, then repeats it.
///
/// Host 3 requests the call, and host 0 writes its claim. The repeats with the same key come from
/// hosts 0 to 2, before and after recovery.
fn run(step: Step, fault: Fault, disabled: Disabled) -> Simulation {
    let mut simulation = Simulation::new(7, RETENTION, disabled);
    simulation.planned_fault = Some((step, fault));
    simulation.begin(3, "first", key(0), 0);
    let mut recovery_second = None;
    for second in 0..240 {
        // After 25 s the answer has expired, after 80 s the key is forgotten, and after 190 s every
        // pause is over.
        match second {
            1 => simulation.begin(1, "second", key(0), 0),
            6 => simulation.begin(2, "third", key(0), 0),
            25 => simulation.begin(1, "after-25s", key(0), 0),
            80 => simulation.begin(2, "after-80s", key(0), 0),
            190 => simulation.begin(0, "after-190s", key(0), 0),
            _ => {}
        }
        // Calls with other keys from hosts 1 and 2 let the log time advance.
        if second % 3 == 0 && second < 180 {
            let host = (second / 3 + 1) % 2 + 1;
            simulation.begin(host, &format!("other-{second}"), key(second), 0);
        }
        if simulation.is_fault_injected && recovery_second.is_none() {
            recovery_second = Some(second + 8);
        }
        if recovery_second == Some(second) {
            simulation.log.is_unavailable = false;
            (0..HOSTS).for_each(|host| simulation.restart(host));
        }
        simulation.run_until((second as u64 + 1) * 1000);
    }
    simulation.check_end();
    simulation
}

fn kind(simulation: &Simulation, request: &str) -> &'static str {
    match &simulation.answers[&RequestId::new(request).unwrap()] {
        None if simulation.has_run(request) => "run",
        None => "lost",
        Some(CallAnswer::Recorded(_)) => "recorded",
        Some(CallAnswer::NotRun(_)) => "not run",
        Some(CallAnswer::Unknown) => "unknown",
        Some(CallAnswer::Conflict) => "conflict",
        Some(CallAnswer::Expired) => "expired",
    }
}

#[test]
fn every_fault_at_every_step() {
    let mut table = String::new();
    for (fault, cells) in MATRIX {
        for (step, cell) in STEPS.into_iter().zip(cells) {
            let cell = match cell {
                Combination::Impossible(reason) => reason.to_owned(),
                Combination::Runs => {
                    let simulation = run(step, fault, Disabled::Nothing);
                    assert!(
                        simulation.is_fault_injected,
                        "{fault:?} at {step:?} was not injected"
                    );
                    assert_eq!(simulation.violations, [], "{fault:?} at {step:?}");
                    let calls = [
                        "first",
                        "second",
                        "third",
                        "after-25s",
                        "after-80s",
                        "after-190s",
                    ];
                    calls.map(|request| kind(&simulation, request)).join(", ")
                }
            };
            writeln!(table, "{fault:?} at {step:?}: {cell}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against a host that sends a call after its claim was forgotten.
///
/// The host is paused after its claim won. Meanwhile the other hosts forget the
/// key, and a repeat runs the call. Only the check right before sending stops it.
#[test]
fn without_the_send_check_a_paused_host_runs_the_call_twice() {
    let simulation = run(Step::Run, Fault::Expiry, Disabled::SendCheck);
    let violates = |violation: &Violation| matches!(violation, Violation::SecondRun(_));
    assert!(
        simulation.violations.iter().any(violates),
        "expected a second run, got the violations {:?}",
        simulation.violations
    );
}
