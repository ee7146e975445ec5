//! Every fault at every step of a publication, all of them run.

use std::fmt::Write;

use crate::{
    config_world::{Broken, HOSTS, IN_FORCE, RETENTION, Step, World, zone_of},
    log::Fate,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Crash,
    Pause,
    Lost,
    Late,
    Repeated,
    Outage,
    Expiry,
    Cut,
}

const STEPS: [Step; 4] = [Step::Publish, Step::Adopt, Step::Spread, Step::Save];

const FAULTS: [Fault; 8] = [
    Fault::Crash,
    Fault::Pause,
    Fault::Lost,
    Fault::Late,
    Fault::Repeated,
    Fault::Outage,
    Fault::Expiry,
    Fault::Cut,
];

/// One edit, one fault at its step, an edit after it, and the way back.
fn run(step: Step, fault: Fault) -> World {
    let mut world = World::new(11, Broken::Nothing);
    world.run_until(10_000);
    world.operate();
    world.run_until(20_000);
    // The checkpoint falls due when half of the retention has passed.
    let start = if step == Step::Save {
        10_000 + RETENTION / 2
    } else {
        30_000
    };
    world.run_until(start);
    match fault {
        Fault::Lost => {
            world.fates.insert(step, Fate::AnswerLost);
        }
        Fault::Late => {
            world.fates.insert(step, Fate::Late(9000));
        }
        Fault::Repeated => {
            world.fates.insert(step, Fate::Twice(9000));
        }
        Fault::Crash if step == Step::Publish => {}
        Fault::Crash => victims(step).for_each(|host| world.crash(host)),
        Fault::Pause => victims(step).for_each(|host| world.pause(host, 9000)),
        Fault::Expiry => victims(step).for_each(|host| world.pause(host, 2 * RETENTION)),
        Fault::Outage => world.log.is_out = true,
        Fault::Cut => {
            world.log_cut[0] = start + 9000;
            world.zone_cut[0] = start + 9000;
            if step == Step::Publish {
                world.fates.insert(step, Fate::NeverArrived);
            }
        }
    }
    world.operate();
    if (step, fault) == (Step::Publish, Fault::Crash) {
        world.run_until(start + 1);
        world.crash_operators();
    }
    world.run_until(start + 9000);
    world.log.is_out = false;
    (0..HOSTS).for_each(|host| world.restart(host));
    world.operate();
    let wake = if fault == Fault::Expiry {
        2 * RETENTION
    } else {
        RETENTION
    };
    world.run_until(start + wake + 2 * IN_FORCE);
    world.check_end();
    world
}

/// The hosts that a fault of hosts hits: those of one zone, or all but one to save.
fn victims(step: Step) -> impl Iterator<Item = usize> {
    (0..HOSTS).filter(move |host| match step {
        Step::Save => *host != 4,
        Step::Publish | Step::Adopt | Step::Spread => zone_of(*host) == 0,
    })
}

#[test]
fn every_fault_at_every_step() {
    let mut table = String::new();
    for fault in FAULTS {
        for step in STEPS {
            let world = run(step, fault);
            let name = format!("{fault:?} at {step:?}");
            assert_eq!(world.violations, [], "{name}");
            assert!(world.fates.is_empty(), "{name} never came");
            assert_eq!(world.pending_operators(), 0, "{name}");
            let (checkpoints, offset) = (world.checkpoints(), world.log.last());
            let verdicts = world.verdicts;
            let line = format!("{verdicts} verdicts, {checkpoints} checkpoints, all at {offset}");
            writeln!(table, "{name}: {line}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}
