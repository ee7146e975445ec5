//! Random schedules: no window admits more than `rate * t + burst` over all hosts.
//!
//! Each case injects the faults against which one safeguard protects. To show that the case
//! detects its failure, the same seeds are run without the safeguard, and at least one must exceed
//! the bound.

use crate::faults::{FaultConfig, NO_FAULTS, RANDOM_FAULTS};
use crate::simulation::Simulation;
use eelgrasshill_limit::{AllSafeguards, Safeguards};

/// Length of a run.
const RUN_MS: u64 = 60_000;

macro_rules! without {
    ($($name:ident: $switch:ident;)+) => {
        $(
            #[derive(Clone, Copy, Debug, Default)]
            struct $name;

            impl Safeguards for $name {
                const $switch: bool = false;
            }
        )+
    };
}

without! {
    NoRefundLimit: LIMIT_REFUNDS;
    NoLoanHold: HOLD_LOANS;
    NoDeduplication: DEDUPLICATE;
    NoEmptyStart: START_EMPTY;
    NoLoanDeadline: LOAN_DEADLINE;
    NoLeaseWait: AWAIT_LEASE_END;
    NoLeaseStop: STOP_AT_LEASE_END;
    NoCompensation: COMPENSATE_UNAWARE;
    NoShrinkFirst: SHRINK_FIRST;
}

/// Runs the schedule of a seed and returns whether it exceeds the bound.
type Run = fn(u64, FaultConfig) -> bool;

/// Schedules that need certain safeguards, with a run without each of them.
struct Case {
    name: &'static str,
    faults: FaultConfig,
    seeds: u64,
    without: &'static [(&'static str, Run)],
}

/// Returns whether the schedule of a seed exceeds the bound in some window.
fn violates<S: Safeguards>(seed: u64, faults: FaultConfig) -> bool {
    let (violation, simulation) = Simulation::<S>::new(seed, faults).run(RUN_MS);
    assert!(
        simulation.ledgers_agree(),
        "seed {seed}: two hosts have different ledgers for the same log"
    );
    violation.is_some()
}

/// Small bursts and more demand than the rate, so that a small excess is detected.
const SMALL_BURST: FaultConfig = FaultConfig {
    small_burst: true,
    overload: true,
    ..NO_FAULTS
};

const PARTITIONS: FaultConfig = FaultConfig {
    partition: 6,
    min_zones: 2,
    delist: true,
    ..SMALL_BURST
};

const CASES: &[Case] = &[
    Case {
        name: "random faults",
        faults: RANDOM_FAULTS,
        seeds: 60,
        without: &[],
    },
    Case {
        name: "random faults with clock drift",
        faults: FaultConfig {
            max_drift_permille: 4,
            ..RANDOM_FAULTS
        },
        seeds: 40,
        without: &[],
    },
    Case {
        name: "late refunds",
        faults: FaultConfig {
            partial_use: 800,
            overload: false,
            ..SMALL_BURST
        },
        seeds: 60,
        without: &[("refund limit", violates::<NoRefundLimit>)],
    },
    Case {
        name: "late replies",
        faults: FaultConfig {
            delay: 700,
            max_delay_ms: 950,
            ..NO_FAULTS
        },
        seeds: 30,
        without: &[("loan hold", violates::<NoLoanHold>)],
    },
    Case {
        name: "repeated messages",
        faults: FaultConfig {
            duplicate: 500,
            partial_use: 800,
            overload: true,
            ..NO_FAULTS
        },
        seeds: 20,
        without: &[("deduplication", violates::<NoDeduplication>)],
    },
    Case {
        name: "paused borrowers",
        faults: FaultConfig {
            pause: 40,
            ..SMALL_BURST
        },
        seeds: 60,
        without: &[("loan deadline", violates::<NoLoanDeadline>)],
    },
    Case {
        name: "moved shares",
        faults: FaultConfig {
            crash: 3,
            drain: 3,
            overload: false,
            small_burst: false,
            ..PARTITIONS
        },
        seeds: 25,
        without: &[("empty start", violates::<NoEmptyStart>)],
    },
    Case {
        name: "partitions",
        faults: PARTITIONS,
        seeds: 12,
        without: &[
            ("lease wait", violates::<NoLeaseWait>),
            ("lease stop", violates::<NoLeaseStop>),
        ],
    },
    Case {
        name: "limit changes under partitions",
        faults: FaultConfig {
            limit_edit: 2,
            partition: 3,
            lease_ms: 40_000,
            ..PARTITIONS
        },
        seeds: 20,
        without: &[("compensation", violates::<NoCompensation>)],
    },
    Case {
        name: "transferred shares",
        faults: FaultConfig {
            crash: 3,
            drain: 3,
            partition: 20,
            skip_read: 900,
            ..PARTITIONS
        },
        seeds: 60,
        without: &[("shrinking first", violates::<NoShrinkFirst>)],
    },
    Case {
        name: "restarted lenders",
        faults: FaultConfig {
            crash: 60,
            delay: 950,
            max_delay_ms: 950,
            quick_restart: true,
            skip_read: 50,
            overload: false,
            ..SMALL_BURST
        },
        seeds: 20,
        without: &[],
    },
];

/// Number of threads among which the cases are divided.
const THREADS: usize = 4;

#[test]
fn no_window_exceeds_the_bound_unless_a_safeguard_is_off() {
    let check = |case: &Case| {
        let violating_seeds = |run: Run| -> Vec<u64> {
            (0..case.seeds)
                .filter(|seed| run(*seed, case.faults))
                .collect()
        };
        let violating = violating_seeds(violates::<AllSafeguards>);
        assert!(
            violating.is_empty(),
            "{}: seeds {violating:?} exceed the bound with all safeguards",
            case.name
        );
        for (switch, run) in case.without {
            let violating = violating_seeds(*run);
            println!(
                "{}: without {switch}, {} of {} seeds exceed the bound",
                case.name,
                violating.len(),
                case.seeds
            );
            assert!(
                !violating.is_empty(),
                "{}: no seed exceeds the bound without {switch}, so the case does not test it",
                case.name
            );
        }
    };
    std::thread::scope(|scope| {
        for first in 0..THREADS {
            scope.spawn(move || CASES.iter().skip(first).step_by(THREADS).for_each(check));
        }
    });
}

#[test]
fn every_case_keeps_the_bound_with_further_seeds() {
    bolero::check!()
        .exhaustive()
        .with_generator((1_000..1_002u64, 0..CASES.len()))
        .for_each(|(seed, case)| {
            let case = &CASES[*case];
            let exceeds = violates::<AllSafeguards>(*seed, case.faults);
            assert!(!exceeds, "{}: seed {seed} exceeds the bound", case.name);
        });
}
