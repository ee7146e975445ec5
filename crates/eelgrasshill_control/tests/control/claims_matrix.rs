//! Every fault at every step of a claimed call, each run or named impossible.

use std::{fmt::Write, time::Duration};

use eelgrasshill_control::Answer;
use eelgrasshill_domain::RequestId;

use crate::claims_world::{Broken, Fault, HOSTS, Step, Violation, World, key};

const STEPS: [Step; 7] = [
    Step::Claim,
    Step::Append,
    Step::ReadBack,
    Step::Decide,
    Step::Run,
    Step::Record,
    Step::Repeat,
];

/// Whether a fault can meet a step.
enum Cell {
    Run,
    Impossible(&'static str),
}

const SAME_HOST: &str =
    "a won call is sent by the host that learnt of the win, with no message between";

/// One row for each fault, one cell for each step.
const MATRIX: [(Fault, [Cell; 7]); 8] = {
    use Cell::{Impossible, Run};
    [
        (Fault::Crash, [Run, Run, Run, Run, Run, Run, Run]),
        (Fault::Pause, [Run, Run, Run, Run, Run, Run, Run]),
        (Fault::Lost, [Run, Run, Run, Run, Run, Run, Run]),
        (Fault::Late, [Run, Run, Run, Run, Run, Run, Run]),
        (
            Fault::Repeated,
            [Run, Run, Run, Run, Impossible(SAME_HOST), Run, Run],
        ),
        (Fault::Outage, [Run, Run, Run, Run, Run, Run, Run]),
        (Fault::Expiry, [Run, Run, Run, Run, Run, Run, Run]),
        (Fault::Cut, [Run, Run, Run, Run, Run, Run, Run]),
    ]
};

/// One call of host 3 by writer 0, repeats by all hosts, and one fault.
fn run(step: Step, fault: Fault, broken: Broken) -> World {
    let mut world = World::new(7, Duration::from_secs(64), broken);
    world.planned = Some((step, fault));
    world.begin(3, "first", key(0), 0);
    let mut healed = None;
    for second in 0..240 {
        match second {
            1 => world.begin(1, "second", key(0), 0),
            6 => world.begin(2, "third", key(0), 0),
            25 => world.begin(1, "after-25s", key(0), 0),
            80 => world.begin(2, "after-80s", key(0), 0),
            190 => world.begin(0, "after-190s", key(0), 0),
            _ => {}
        }
        if second % 3 == 0 && second < 180 {
            let host = (second / 3 + 1) % 2 + 1;
            world.begin(host, &format!("other-{second}"), key(second), 0);
        }
        if world.is_met && healed.is_none() {
            healed = Some(second + 8);
        }
        if healed == Some(second) {
            world.log.is_out = false;
            (0..HOSTS).for_each(|host| world.restart(host));
        }
        world.run_until((second as u64 + 1) * 1000);
    }
    world.check_end();
    world
}

fn kind(world: &World, request: &str) -> &'static str {
    match &world.answers[&RequestId::new(request).unwrap()] {
        None if world.has_run(request) => "run",
        None => "lost",
        Some(Answer::Recorded(_)) => "recorded",
        Some(Answer::NotRun(_)) => "not run",
        Some(Answer::Unknown) => "unknown",
        Some(Answer::Conflict) => "conflict",
        Some(Answer::Expired) => "expired",
    }
}

#[test]
fn every_fault_at_every_step() {
    let mut table = String::new();
    for (fault, cells) in MATRIX {
        for (step, cell) in STEPS.into_iter().zip(cells) {
            let cell = match cell {
                Cell::Impossible(reason) => reason.to_owned(),
                Cell::Run => {
                    let world = run(step, fault, Broken::Nothing);
                    assert!(world.is_met, "{fault:?} at {step:?} never came");
                    assert_eq!(world.violations, [], "{fault:?} at {step:?}");
                    let calls = [
                        "first",
                        "second",
                        "third",
                        "after-25s",
                        "after-80s",
                        "after-190s",
                    ];
                    calls.map(|request| kind(&world, request)).join(", ")
                }
            };
            writeln!(table, "{fault:?} at {step:?}: {cell}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

/// A host that wakes after its claim was forgotten would be the second to run.
#[test]
fn without_the_last_check_a_late_waker_runs_twice() {
    let world = run(Step::Run, Fault::Expiry, Broken::LastCheck);
    let is_red = |violation: &Violation| matches!(violation, Violation::SecondRun(_));
    assert!(
        world.violations.iter().any(is_red),
        "{:?}",
        world.violations
    );
}
