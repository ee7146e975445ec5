//! Tests every fault at every step of the lease holder's protocol.

use eelgrasshill_domain::Fencing;

use crate::fleet::{Disabled, Fault, FaultRates, Fleet, Layout, Step};

/// Whether a combination of step and fault can be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cell {
    Run,
    Impossible(&'static str),
}

use Cell::{Impossible, Run};

const FAULTS: [Fault; 10] = [
    Fault::Lost,
    Fault::Late,
    Fault::Duplicated,
    Fault::AnswerLost,
    Fault::CrashBefore,
    Fault::CrashAfter,
    Fault::Pause,
    Fault::LogOutage,
    Fault::Partitioned,
    Fault::EngineCrash,
];

const NO_ANSWER: Cell =
    Impossible("a report is the answer to a poll, so its loss is covered by `Lost`");

/// One row per step, with one combination for each of [`FAULTS`].
const MATRIX: [(Step, [Cell; 10]); 7] = [
    (Step::Claim, [Run; 10]),
    (Step::Renew, [Run; 10]),
    (Step::Intent, [Run; 10]),
    (Step::Order, [Run; 10]),
    (
        Step::Report,
        [Run, Run, Run, NO_ANSWER, Run, Run, Run, Run, Run, Run],
    ),
    (Step::Resolved, [Run; 10]),
    (Step::Release, [Run; 10]),
];

/// Time at which versions and demand change, in ms.
///
/// The changes cause the second half of the loads. A fault at a claim, an intent or an order is
/// injected at the first one, before the changes; a fault at another step only after them.
const CHANGES_AT_MS: u64 = 25_000;
/// Time at which a lease holder is drained, in ms.
const DRAIN_AT_MS: u64 = 60_000;
/// Time at which the run ends, in ms.
const END_AT_MS: u64 = 330_000;
const SEED: u64 = 7;

fn run(step: Step, fault: Fault, layout: &Layout) -> Fleet {
    let mut fleet = Fleet::new(
        layout,
        layout.settings(),
        FaultRates::NONE,
        Disabled::Nothing,
        SEED,
    );
    if matches!(step, Step::Claim | Step::Intent | Step::Order) {
        fleet.trigger = Some((step, fault));
    }
    fleet.run(CHANGES_AT_MS);
    fleet.trigger = Some((step, fault));
    for _ in 0..2 {
        fleet.bump_version();
        fleet.request_random_model();
        fleet.shift_demand();
    }
    fleet.run(DRAIN_AT_MS);
    fleet.drain_holder();
    fleet.run(END_AT_MS);
    fleet.check_rate();
    fleet
}

/// Guards against a single fault that breaks a limit of the fleet.
///
/// It must not overcommit an engine, exceed a load limit, give a zone two lease holders or leave a
/// model unloaded.
#[test]
fn no_violation_for_any_fault_at_any_step() {
    let mut combinations = 0;
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let layout = Layout::small().with_fencing(fencing);
        for (step, row) in MATRIX {
            for (fault, cell) in FAULTS.into_iter().zip(row) {
                if let Impossible(reason) = cell {
                    assert!(
                        !reason.is_empty(),
                        "{fault:?} at {step:?} is skipped without a reason"
                    );
                    continue;
                }
                let name = format!("{fault:?} at {step:?} with {fencing:?}");
                let fleet = run(step, fault, &layout);
                assert!(fleet.triggered, "{name}: the fault was never injected");
                assert!(
                    fleet.violations.is_empty(),
                    "{name}: expected no violation, got {:?}",
                    fleet.violations
                );
                assert!(
                    fleet.unreachable().is_empty(),
                    "{name}: expected a copy of every model at the end, missing {:?}",
                    fleet.unreachable()
                );
                combinations += 1;
            }
        }
    }
    println!("{combinations} combinations run");
}
