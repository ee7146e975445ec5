//! Every window of every random schedule stays within `rate * t + burst`, over all hosts.

use crate::faults::{CALM, Faults, STORM};
use crate::world::World;
use eelgrasshill_limit::{AllSafeguards, Safeguards};

/// Length of one run in ms.
const RUN: u64 = 60_000;

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
    NoEnvelope: LIMIT_REFUNDS;
    NoHold: HOLD_LOANS;
    NoDedupe: DEDUPLICATE;
    NoEmpty: START_EMPTY;
    NoDeadline: LOAN_DEADLINE;
    NoLeaseWait: AWAIT_LEASE_END;
    NoLeaseStop: STOP_AT_LEASE_END;
    NoRoom: COMPENSATE_UNAWARE;
    NoStopFirst: SHRINK_FIRST;
}

/// Runs the schedule of a seed and returns whether it breaks the bound.
type Run = fn(u64, Faults) -> bool;

/// Schedules that bring out one mechanism, and that mechanism's switch.
struct Case {
    name: &'static str,
    faults: Faults,
    seeds: u64,
    without: &'static [(&'static str, Run)],
}

/// Returns whether the schedule of a seed admits too many tokens in some window.
fn violates<S: Safeguards>(seed: u64, faults: Faults) -> bool {
    let (violation, world) = World::<S>::new(seed, faults).run(RUN);
    assert!(
        world.agrees(),
        "seed {seed}: two hosts folded the log differently"
    );
    violation.is_some()
}

/// Small bursts and more demand than the rate, so that little excess shows.
const TIGHT: Faults = Faults {
    tight: true,
    flood: true,
    ..CALM
};

const CUT: Faults = Faults {
    cut: 6,
    zones: 2,
    delist: true,
    ..TIGHT
};

const CASES: &[Case] = &[
    Case {
        name: "storm",
        faults: STORM,
        seeds: 60,
        without: &[],
    },
    Case {
        name: "storm with clocks of different rates",
        faults: Faults { drift: 4, ..STORM },
        seeds: 40,
        without: &[],
    },
    Case {
        name: "late refunds",
        faults: Faults {
            refund: 800,
            flood: false,
            ..TIGHT
        },
        seeds: 60,
        without: &[("envelope", violates::<NoEnvelope>)],
    },
    Case {
        name: "late replies",
        faults: Faults {
            late: 700,
            slow: 950,
            ..CALM
        },
        seeds: 30,
        without: &[("hold", violates::<NoHold>)],
    },
    Case {
        name: "repeated messages",
        faults: Faults {
            repeat: 500,
            refund: 800,
            flood: true,
            ..CALM
        },
        seeds: 20,
        without: &[("dedupe", violates::<NoDedupe>)],
    },
    Case {
        name: "paused borrowers",
        faults: Faults { pause: 40, ..TIGHT },
        seeds: 60,
        without: &[("deadline", violates::<NoDeadline>)],
    },
    Case {
        name: "moved rights",
        faults: Faults {
            crash: 3,
            drain: 3,
            flood: false,
            tight: false,
            ..CUT
        },
        seeds: 25,
        without: &[("empty start", violates::<NoEmpty>)],
    },
    Case {
        name: "cut zones",
        faults: CUT,
        seeds: 12,
        without: &[
            ("lease wait", violates::<NoLeaseWait>),
            ("lease stop", violates::<NoLeaseStop>),
        ],
    },
    Case {
        name: "rate edits under cuts",
        faults: Faults {
            edit: 2,
            cut: 3,
            lease: 40_000,
            ..CUT
        },
        seeds: 20,
        without: &[("make room", violates::<NoRoom>)],
    },
    Case {
        name: "given rights",
        faults: Faults {
            crash: 3,
            drain: 3,
            cut: 20,
            lag: 900,
            ..CUT
        },
        seeds: 60,
        without: &[("stop first", violates::<NoStopFirst>)],
    },
    Case {
        name: "restarted homes",
        faults: Faults {
            crash: 60,
            late: 950,
            slow: 950,
            quick: true,
            lag: 50,
            flood: false,
            ..TIGHT
        },
        seeds: 20,
        without: &[],
    },
];

/// Threads that share the cases.
const THREADS: usize = 4;

#[test]
fn no_window_exceeds_the_bound_unless_a_mechanism_is_off() {
    let check = |case: &Case| {
        let bad = |run: Run| -> Vec<u64> {
            (0..case.seeds)
                .filter(|seed| run(*seed, case.faults))
                .collect()
        };
        let sound = bad(violates::<AllSafeguards>);
        assert!(
            sound.is_empty(),
            "{}: seeds {sound:?} break the bound",
            case.name
        );
        for (switch, run) in case.without {
            let red = bad(*run);
            println!(
                "{}: without {switch} {} of {} seeds break the bound",
                case.name,
                red.len(),
                case.seeds
            );
            assert!(
                !red.is_empty(),
                "{}: no seed breaks the bound without {switch}",
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
            let bad = violates::<AllSafeguards>(*seed, case.faults);
            assert!(!bad, "{}: seed {seed} breaks the bound", case.name);
        });
}
