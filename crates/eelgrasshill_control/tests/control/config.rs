//! Tests that all hosts reach the same configuration in time and never revert it.

use std::time::Duration;

use eelgrasshill_control::{
    ApplyOutcome, CHECKPOINT_TAKEOVER_INTERVAL, ConfigFold, Delta, LogTime,
};
use eelgrasshill_domain::Offset;
use rand::RngExt;

use crate::{
    builders::{change, edit, entry_at, folded, issue, org_key, org_row, withdraw},
    config_simulation::{
        Disabled, HOSTS, MAX_LAG_MS, Simulation, Violation, ZONES, stored_checkpoint,
    },
};

const SEEDS: u64 = 10;
const SPAN_MS: u64 = 300_000;

/// Runs concurrent operators and random faults for `SPAN_MS`, then recovers all hosts.
fn run(seed: u64, disabled: Disabled) -> Simulation {
    let mut simulation = Simulation::new(seed, disabled);
    simulation.is_faulty = true;
    let mut outage_end = 0;
    while simulation.now_ms < SPAN_MS {
        let until = simulation.now_ms + 1000;
        simulation.run_until(until);
        if simulation.rng.random_bool(0.4) {
            simulation.start_edit();
        }
        let host = simulation.rng.random_range(0..HOSTS);
        let zone = simulation.rng.random_range(0..ZONES);
        let duration_ms = simulation.rng.random_range(1000..20_000);
        // Faults in percent per second.
        match simulation.rng.random_range(0..100) {
            0..6 => simulation.crash(host),
            6..20 => simulation.restart(host),
            20..24 => simulation.pause(host, duration_ms),
            24..26 => simulation.log_cut_until_ms[zone] = simulation.now_ms + duration_ms,
            26..28 => simulation.zone_cut_until_ms[zone] = simulation.now_ms + duration_ms,
            28..29 => outage_end = simulation.now_ms + duration_ms,
            29 => restart_all(&mut simulation),
            _ => {}
        }
        simulation.log.is_unavailable = outage_end > simulation.now_ms;
    }
    simulation.is_faulty = false;
    simulation.log.is_unavailable = false;
    (0..HOSTS).for_each(|host| simulation.restart(host));
    simulation.run_until(SPAN_MS + 20_000 + MAX_LAG_MS);
    simulation.check_end();
    simulation
}

fn restart_all(simulation: &mut Simulation) {
    for host in 0..HOSTS {
        simulation.crash(host);
        simulation.restart(host);
    }
}

#[test]
fn every_host_reaches_the_same_state_in_time() {
    let mut outcomes = 0;
    let mut gap_reads = 0;
    let mut max_lag_ms = 0;
    for seed in 0..SEEDS {
        let simulation = run(seed, Disabled::Nothing);
        assert_eq!(simulation.violations, [], "seed {seed}");
        assert_eq!(simulation.pending_operators(), 0, "seed {seed}");
        assert!(
            simulation.log.first_kept_offset > 1,
            "no record expired with seed {seed}"
        );
        outcomes += simulation.outcomes;
        gap_reads += simulation.gap_reads;
        max_lag_ms = max_lag_ms.max(simulation.max_lag_ms);
    }
    println!(
        "{outcomes} outcomes, {gap_reads} log reads that found records missing, oldest missing record {max_lag_ms} ms"
    );
    assert!(
        outcomes > 500 && gap_reads > 0,
        "expected more than 500 outcomes and a gap, got {outcomes} and {gap_reads}"
    );
}

#[test]
fn every_host_reaches_the_same_state_with_generated_seeds() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(3)
        .for_each(|seed| {
            let simulation = run(*seed, Disabled::Nothing);
            assert_eq!(simulation.violations, [], "seed {seed}");
        });
}

/// Guards against checkpoints that all hosts save at once, and against none.
#[test]
fn a_host_saves_a_checkpoint_only_if_hosts_before_it_did_not() {
    struct Case {
        name: &'static str,
        now: u64,
        rank: usize,
        expect: bool,
    }
    let fold = folded(vec![edit(vec![change(org_key("a"), 0, org_row(1))])]);
    // Half of the retention of 2 min after the record at 1 s.
    let due_ms = 1000 + 60_000;
    let takeover = CHECKPOINT_TAKEOVER_INTERVAL.as_millis() as u64;
    let cases = [
        Case {
            name: "first rank, too early",
            now: due_ms - 1,
            rank: 0,
            expect: false,
        },
        Case {
            name: "first rank is due",
            now: due_ms,
            rank: 0,
            expect: true,
        },
        Case {
            name: "second rank waits",
            now: due_ms + takeover - 1,
            rank: 1,
            expect: false,
        },
        Case {
            name: "second rank takes over",
            now: due_ms + takeover,
            rank: 1,
            expect: true,
        },
        Case {
            name: "third rank waits longer",
            now: due_ms + takeover,
            rank: 2,
            expect: false,
        },
    ];
    let is_due = |fold: &ConfigFold, now, rank| {
        fold.is_checkpoint_due(LogTime(now), rank, Duration::from_mins(2))
    };
    for case in cases {
        assert_eq!(
            is_due(&fold, case.now, case.rank),
            case.expect,
            "{}",
            case.name
        );
    }
    let mut saved = fold.clone();
    // The entry at offset 61 has the log time 61 s, when the first checkpoint is due.
    saved.apply(&stored_checkpoint(61, fold.checkpoint()));
    assert!(
        !is_due(&saved, due_ms + takeover, 0),
        "due although a checkpoint was just saved"
    );
    assert!(
        is_due(&saved, due_ms + 60_000, 0),
        "not due although the checkpoint itself expires"
    );
}

/// Guards against a host that keeps a state which differs from that of its peers.
///
/// The host adopts a checkpoint without the withdrawn key. The digest reveals the
/// difference, and the peer's checkpoint repairs it.
#[test]
fn a_differing_state_is_detected_and_repaired() {
    let good = folded(vec![
        edit(vec![change(org_key("a"), 0, org_row(1))]),
        issue("k", "a"),
        withdraw("k"),
    ]);
    let mut wrong = ConfigFold::new();
    let mut checkpoint = good.checkpoint();
    checkpoint.withdrawn.clear();
    assert!(wrong.adopt(&checkpoint));
    assert_eq!(wrong.last(), good.last());
    assert!(wrong.differs(&good.digest()));
    assert!(
        !wrong.adopt(&good.checkpoint()),
        "adopted a checkpoint that is not newer"
    );
    assert!(wrong.repair(&good.checkpoint()));
    assert_eq!(wrong.digest(), good.digest());
    let old = folded(vec![edit(vec![change(org_key("a"), 0, org_row(1))])]);
    assert!(
        !wrong.repair(&old.checkpoint()),
        "repaired from an older checkpoint"
    );
}

/// Checks that the oracle detects when a mechanism is missing.
///
/// With each mechanism disabled, one of the same seeds must cause the expected violation.
#[test]
fn disabling_a_mechanism_causes_violations() {
    struct Case {
        disabled: Disabled,
        is_expected: fn(&Violation) -> bool,
    }
    let has_diverged = |violation: &Violation| matches!(violation, Violation::Diverged(..));
    let is_lagging = |violation: &Violation| matches!(violation, Violation::Lagging(..));
    let is_false_outcome = |violation: &Violation| matches!(violation, Violation::FalseOutcome(_));
    let cases = [
        Case {
            disabled: Disabled::DedupeCheck,
            is_expected: has_diverged,
        },
        Case {
            disabled: Disabled::VersionCheck,
            is_expected: has_diverged,
        },
        Case {
            disabled: Disabled::RecentAppends,
            is_expected: has_diverged,
        },
        Case {
            disabled: Disabled::GapCheck,
            is_expected: has_diverged,
        },
        Case {
            disabled: Disabled::Checkpoints,
            is_expected: is_lagging,
        },
        Case {
            disabled: Disabled::ReadBeforeRetry,
            is_expected: is_false_outcome,
        },
        Case {
            disabled: Disabled::Following,
            is_expected: is_lagging,
        },
    ];
    for case in cases {
        let violates = |seed: &u64| {
            run(*seed, case.disabled)
                .violations
                .iter()
                .any(case.is_expected)
        };
        let violating_seed = (0..SEEDS).find(violates);
        println!(
            "without {:?}: first violating seed {violating_seed:?}",
            case.disabled
        );
        assert!(
            violating_seed.is_some(),
            "expected a violation without {:?}, but none of {SEEDS} seeds causes it",
            case.disabled
        );
    }
}

/// Guards against a gap that stays open although a peer has the missing records.
///
/// The records expired from the log before the host had read them.
#[test]
fn a_gap_is_filled_by_a_peer() {
    let records: Vec<_> = (1..=6)
        .map(|offset| {
            let row = org_row(offset);
            entry_at(
                offset,
                &format!("a{offset}"),
                edit(vec![change(org_key("a"), offset - 1, row)]),
            )
        })
        .collect();
    let page = |from: usize| Delta::new(Offset(from as u64 + 1), records[from..].to_vec());
    let mut peer = ConfigFold::new();
    peer.extend(&page(0)).unwrap();
    let mut fold = ConfigFold::new();
    fold.apply(&records[0]);
    let gap = fold.read(Offset(5), &page(4)).unwrap_err();
    assert_eq!((gap.expected, gap.first), (Offset(2), Offset(5)));
    assert_eq!(fold.apply(&records[1]), ApplyOutcome::Blocked(gap));
    // In a gap, the cursor is where the search for a checkpoint continues.
    assert!(
        fold.cursor() > Offset(5),
        "the search for a checkpoint did not continue"
    );
    assert!(
        fold.extend(&page(3)).is_err(),
        "a delta after the gap was applied"
    );
    fold.catch_up(&peer.since(fold.last())).unwrap();
    assert_eq!(fold.gap(), None);
    assert!(!fold.differs(&peer.digest()));
}
