//! Tests each fault at each step of a publication.

use std::fmt::Write;

use crate::{
    config_simulation::{Disabled, HOSTS, MAX_LAG_MS, RETENTION_MS, Simulation, Step, zone_of},
    log::Delivery,
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

/// Publishes an edit, one with a fault at the given step, and one after recovery.
fn run(step: Step, fault: Fault) -> Simulation {
    let mut simulation = Simulation::new(11, Disabled::Nothing);
    simulation.run_until(10_000);
    simulation.start_edit();
    simulation.run_until(20_000);
    // The checkpoint is due when half of the retention has passed.
    let start = if step == Step::Save {
        10_000 + RETENTION_MS / 2
    } else {
        30_000
    };
    simulation.run_until(start);
    match fault {
        Fault::Lost => {
            simulation
                .planned_deliveries
                .insert(step, Delivery::AnswerLost);
        }
        Fault::Late => {
            simulation
                .planned_deliveries
                .insert(step, Delivery::Late(9000));
        }
        Fault::Repeated => {
            simulation
                .planned_deliveries
                .insert(step, Delivery::Twice(9000));
        }
        Fault::Crash if step == Step::Publish => {}
        Fault::Crash => targets(step).for_each(|host| simulation.crash(host)),
        Fault::Pause => targets(step).for_each(|host| simulation.pause(host, 9000)),
        Fault::Expiry => targets(step).for_each(|host| simulation.pause(host, 2 * RETENTION_MS)),
        Fault::Outage => simulation.log.is_unavailable = true,
        Fault::Cut => {
            simulation.log_cut[0] = start + 9000;
            simulation.zone_cut[0] = start + 9000;
            if step == Step::Publish {
                simulation
                    .planned_deliveries
                    .insert(step, Delivery::NeverArrived);
            }
        }
    }
    simulation.start_edit();
    if (step, fault) == (Step::Publish, Fault::Crash) {
        simulation.run_until(start + 1);
        simulation.crash_operators();
    }
    simulation.run_until(start + 9000);
    simulation.log.is_unavailable = false;
    (0..HOSTS).for_each(|host| simulation.restart(host));
    simulation.start_edit();
    let recovery_ms = if fault == Fault::Expiry {
        2 * RETENTION_MS
    } else {
        RETENTION_MS
    };
    simulation.run_until(start + recovery_ms + 2 * MAX_LAG_MS);
    simulation.check_end();
    simulation
}

/// Returns the hosts that a fault affects: one zone, or all but one for checkpoints.
fn targets(step: Step) -> impl Iterator<Item = usize> {
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
            let simulation = run(step, fault);
            let name = format!("{fault:?} at {step:?}");
            assert_eq!(simulation.violations, [], "{name}");
            assert!(
                simulation.planned_deliveries.is_empty(),
                "{name} was not injected"
            );
            assert_eq!(simulation.pending_operators(), 0, "{name}");
            let (checkpoints, offset) = (simulation.checkpoints(), simulation.log.last());
            let verdicts = simulation.verdicts;
            let line = format!("{verdicts} verdicts, {checkpoints} checkpoints, all at {offset}");
            writeln!(table, "{name}: {line}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}
