//! Tests each fault at each step of a publication.

use std::fmt::Write;

use crate::{
    config_simulation::{Disabled, HOSTS, MAX_LAG_MS, RETENTION_MS, Simulation, Step, zone_of},
    log::Delivery,
};

const SEED: u64 = 11;

/// The time of the edit before the fault.
const FIRST_EDIT_MS: u64 = 10_000;

/// The duration of most faults.
const FAULT_MS: u64 = 9000;

/// The host that still saves checkpoints when all others fail.
const SURVIVING_HOST: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConfigFault {
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

const FAULTS: [ConfigFault; 8] = [
    ConfigFault::Crash,
    ConfigFault::Pause,
    ConfigFault::Lost,
    ConfigFault::Late,
    ConfigFault::Repeated,
    ConfigFault::Outage,
    ConfigFault::Expiry,
    ConfigFault::Cut,
];

/// Publishes three edits: before the fault, with the fault at the given step, and after recovery.
fn run(step: Step, fault: ConfigFault) -> Simulation {
    let mut simulation = Simulation::new(SEED, Disabled::Nothing);
    simulation.run_until(FIRST_EDIT_MS);
    simulation.start_edit();
    simulation.run_until(20_000);
    // The checkpoint is due when half of the retention has passed.
    let start = if step == Step::Save {
        FIRST_EDIT_MS + RETENTION_MS / 2
    } else {
        30_000
    };
    simulation.run_until(start);
    match fault {
        // An append is stored but its answer is lost; a page or update is lost altogether.
        ConfigFault::Lost => {
            simulation
                .planned_deliveries
                .insert(step, Delivery::AnswerLost);
        }
        ConfigFault::Late => {
            simulation
                .planned_deliveries
                .insert(step, Delivery::Late(FAULT_MS));
        }
        ConfigFault::Repeated => {
            simulation
                .planned_deliveries
                .insert(step, Delivery::Twice(FAULT_MS));
        }
        // The operator's command crashes instead, see below.
        ConfigFault::Crash if step == Step::Publish => {}
        ConfigFault::Crash => targets(step).for_each(|host| simulation.crash(host)),
        ConfigFault::Pause => targets(step).for_each(|host| simulation.pause(host, FAULT_MS)),
        ConfigFault::Expiry => {
            targets(step).for_each(|host| simulation.pause(host, 2 * RETENTION_MS));
        }
        ConfigFault::Outage => simulation.log.is_unavailable = true,
        ConfigFault::Cut => {
            simulation.log_cut_until_ms[0] = start + FAULT_MS;
            simulation.zone_cut_until_ms[0] = start + FAULT_MS;
            // An operator in the cut zone cannot reach the log either.
            if step == Step::Publish {
                simulation
                    .planned_deliveries
                    .insert(step, Delivery::NeverArrived);
            }
        }
    }
    simulation.start_edit();
    if (step, fault) == (Step::Publish, ConfigFault::Crash) {
        simulation.run_until(start + 1);
        simulation.crash_operators();
    }
    simulation.run_until(start + FAULT_MS);
    simulation.log.is_unavailable = false;
    (0..HOSTS).for_each(|host| simulation.restart(host));
    simulation.start_edit();
    let recovery_ms = if fault == ConfigFault::Expiry {
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
        Step::Save => *host != SURVIVING_HOST,
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
            let outcomes = simulation.outcomes;
            let line = format!("{outcomes} verdicts, {checkpoints} checkpoints, all at {offset}");
            writeln!(table, "{name}: {line}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}
