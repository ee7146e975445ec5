//! Random runs: no window of `t` ms admits more than `rate * t + burst` over all hosts.
//!
//! Most cases inject the faults against which one or two safeguards protect. To show that a case
//! detects their failure, the same seeds are run without each safeguard, and at least one must
//! exceed the bound.

use crate::faults::{NO_FAULTS, RANDOM_FAULTS, RunConfig};
use crate::simulation::Simulation;
use eelgrasshill_limit::{AllSafeguards, Safeguards};

/// Length of a run in simulated time.
const RUN_MS: u64 = 60_000;

macro_rules! safeguards_without {
    ($($name:ident: $safeguard:ident;)+) => {
        $(
            #[derive(Clone, Copy, Debug, Default)]
            struct $name;

            impl Safeguards for $name {
                const $safeguard: bool = false;
            }
        )+
    };
}

safeguards_without! {
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

/// Returns whether the run of a seed exceeds the bound.
type SeedCheck = fn(u64, RunConfig) -> bool;

/// Faults that certain safeguards must withstand, and a check without each of them.
struct Case {
    name: &'static str,
    config: RunConfig,
    seeds: u64,
    without: &'static [(&'static str, SeedCheck)],
}

/// Returns whether the run of a seed exceeds the bound in some window.
fn violates<S: Safeguards>(seed: u64, config: RunConfig) -> bool {
    let (violation, simulation) = Simulation::<S>::new(seed, config).run(RUN_MS);
    assert!(
        simulation.ledgers_agree(),
        "seed {seed}: two hosts have different ledgers for the same log"
    );
    violation.is_some()
}

/// Small bursts and more demand than the rate, so that a small excess is detected.
const SMALL_BURST: RunConfig = RunConfig {
    small_burst: true,
    overload: true,
    ..NO_FAULTS
};

const PARTITIONS: RunConfig = RunConfig {
    partition_permille: 6,
    min_zones: 2,
    delist: true,
    ..SMALL_BURST
};

const CASES: &[Case] = &[
    Case {
        name: "random faults",
        config: RANDOM_FAULTS,
        seeds: 60,
        without: &[],
    },
    Case {
        name: "random faults with clock drift",
        config: RunConfig {
            max_drift_permille: 4,
            ..RANDOM_FAULTS
        },
        seeds: 40,
        without: &[],
    },
    Case {
        name: "late refunds",
        config: RunConfig {
            partial_use_permille: 800,
            overload: false,
            ..SMALL_BURST
        },
        seeds: 60,
        without: &[("refund limit", violates::<NoRefundLimit>)],
    },
    Case {
        name: "late replies",
        config: RunConfig {
            delay_permille: 700,
            max_delay_ms: 950,
            ..NO_FAULTS
        },
        seeds: 30,
        without: &[("loan hold", violates::<NoLoanHold>)],
    },
    Case {
        name: "repeated messages",
        config: RunConfig {
            duplicate_permille: 500,
            partial_use_permille: 800,
            overload: true,
            ..NO_FAULTS
        },
        seeds: 20,
        without: &[("deduplication", violates::<NoDeduplication>)],
    },
    Case {
        name: "paused borrowers",
        config: RunConfig {
            pause_permille: 40,
            ..SMALL_BURST
        },
        seeds: 60,
        without: &[("loan deadline", violates::<NoLoanDeadline>)],
    },
    Case {
        name: "moved shares",
        config: RunConfig {
            crash_permille: 3,
            drain_permille: 3,
            overload: false,
            small_burst: false,
            ..PARTITIONS
        },
        seeds: 25,
        without: &[("empty start", violates::<NoEmptyStart>)],
    },
    Case {
        name: "partitions",
        config: PARTITIONS,
        seeds: 12,
        without: &[
            ("lease wait", violates::<NoLeaseWait>),
            ("lease stop", violates::<NoLeaseStop>),
        ],
    },
    Case {
        name: "limit changes under partitions",
        config: RunConfig {
            limit_edit_permille: 2,
            partition_permille: 3,
            lease_ms: 40_000,
            ..PARTITIONS
        },
        seeds: 20,
        without: &[("compensation", violates::<NoCompensation>)],
    },
    Case {
        name: "transferred shares",
        config: RunConfig {
            crash_permille: 3,
            drain_permille: 3,
            partition_permille: 20,
            skip_read_permille: 900,
            ..PARTITIONS
        },
        seeds: 60,
        without: &[("shrinking first", violates::<NoShrinkFirst>)],
    },
    Case {
        // The wait for loans of the predecessor has a test of its own in `restart.rs`.
        name: "restarted lenders",
        config: RunConfig {
            crash_permille: 60,
            delay_permille: 950,
            max_delay_ms: 950,
            quick_restart: true,
            skip_read_permille: 50,
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
        let violating_seeds = |check: SeedCheck| -> Vec<u64> {
            (0..case.seeds)
                .filter(|seed| check(*seed, case.config))
                .collect()
        };
        let violating = violating_seeds(violates::<AllSafeguards>);
        assert!(
            violating.is_empty(),
            "{}: seeds {violating:?} exceed the bound with all safeguards",
            case.name
        );
        for (safeguard, check) in case.without {
            let violating = violating_seeds(*check);
            println!(
                "{}: without {safeguard}, {} of {} seeds exceed the bound",
                case.name,
                violating.len(),
                case.seeds
            );
            assert!(
                !violating.is_empty(),
                "{}: no seed exceeds the bound without {safeguard}, so the case does not test it",
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
            let exceeds = violates::<AllSafeguards>(*seed, case.config);
            assert!(!exceeds, "{}: seed {seed} exceeds the bound", case.name);
        });
}
