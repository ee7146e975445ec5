//! Tests the store shares, the load pacing, the zone assignment and the lease.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::{AppendId, HostName, Moment, Offset, ZoneName};
use eelgrasshill_placement::{
    Assignment, Budget, Lease, LeaseEntry, LeaseTimings, LoadPacer, ZoneRequirement,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::fleet::{Layout, named, offset_index};

/// Upper bound of the time between two steps of the lease test, in ms.
const MAX_STEP_MS: u16 = 2048;
/// Bits of a step that are all set if the candidate does not read the log.
const NO_READ_BITS: u16 = 0x1800;
/// Bits of a step that are the delay of an append, in ms.
const APPEND_DELAY_BITS: u16 = 0x0fff;

fn zones(count: usize) -> Vec<ZoneName> {
    (0..count)
        .map(|index| named(&format!("zone-{index}")))
        .collect()
}

/// Guards against zones that together exceed the limits of the weight store.
#[test]
fn shares_add_up_to_the_budget() {
    struct Case {
        budget: Budget,
        zones: usize,
        /// Expected load slots of the zones, sorted.
        sorted_slots: &'static [u32],
    }
    let lakeshore = Budget {
        loads_per_second: 2.0,
        load_slots: 8,
        adapter_slots: 60,
    };
    let kjallaravakt = Budget {
        loads_per_second: 2.5,
        load_slots: 3,
        adapter_slots: 25,
    };
    let scarce = Budget {
        loads_per_second: 1.0,
        load_slots: 2,
        adapter_slots: 1,
    };
    let cases = [
        Case {
            budget: lakeshore,
            zones: 3,
            sorted_slots: &[2, 3, 3],
        },
        Case {
            budget: kjallaravakt,
            zones: 3,
            sorted_slots: &[1, 1, 1],
        },
        Case {
            budget: scarce,
            zones: 3,
            sorted_slots: &[0, 1, 1],
        },
    ];
    for case in cases {
        let zones = zones(case.zones);
        let shares: Vec<_> = zones
            .iter()
            .map(|zone| case.budget.share(zone, &zones))
            .collect();
        let mut slots: Vec<_> = shares.iter().map(|share| share.load_slots).collect();
        slots.sort_unstable();
        assert_eq!(
            slots, case.sorted_slots,
            "load slots per zone of {:?}",
            case.budget
        );
        assert_eq!(
            shares.iter().map(|share| share.adapter_slots).sum::<u32>(),
            case.budget.adapter_slots,
            "the adapter slots of the zones must add up to the budget"
        );
        let rates = shares
            .iter()
            .filter_map(|share| share.load_interval)
            .map(|span| 1.0 / span.as_secs_f64());
        assert!(
            (rates.sum::<f64>() - case.budget.loads_per_second).abs() < 1e-6,
            "the load rates of the zones must add up to {} per second",
            case.budget.loads_per_second
        );
        assert!(
            shares
                .iter()
                .all(|share| share.load_interval.is_some() == (share.load_slots > 0)),
            "just the zones without load slots may have no load interval: {shares:?}"
        );
    }
}

/// Guards against more load starts than one per interval.
#[test]
fn pacer_keeps_to_the_rate() {
    bolero::check!()
        .with_iterations(200)
        .with_type::<(u8, Vec<u8>)>()
        .for_each(|(interval, steps)| {
            let interval = Duration::from_millis(u64::from(*interval) + 1);
            let mut pacer = LoadPacer::new(Some(interval), Moment(0));
            let (mut now, mut started) = (0, 0_u128);
            for step in steps {
                now += u64::from(*step);
                started += u128::from(pacer.try_start(Moment(now)));
                assert!(
                    started * interval.as_millis() <= u128::from(now),
                    "{started} loads started after {now} ms, one per {interval:?} is allowed"
                );
            }
        });
}

/// Guards against a model without two zones, an assignment beyond the memory of a zone, and zones
/// that compute different assignments.
#[test]
fn assignment_covers_every_model() {
    for (name, layout) in [("small", Layout::small()), ("tight", Layout::tight())] {
        let tables = layout.tables();
        let zones = layout.settings().zones;
        let assignment = Assignment::new(&tables, &zones);
        for model in tables.models.keys() {
            let required = assignment
                .zones(model)
                .filter(|(_zone, requirement)| *requirement == ZoneRequirement::Required);
            assert!(
                required.count() >= 2,
                "{name}: {model} is required in fewer than two zones"
            );
        }
        for zone in &zones {
            let assigned = tables
                .models
                .iter()
                .filter(|(model, _row)| assignment.requirement(model, zone).is_some());
            let memory = tables
                .hosts
                .values()
                .filter(|host| host.zone == *zone)
                .map(|host| host.memory_mb);
            assert!(
                assigned.map(|(_model, model)| model.memory_mb).sum::<u64>() <= memory.sum(),
                "{name}: the models assigned to {zone} need more memory than its engines have"
            );
        }
        let mut reversed = zones.clone();
        reversed.reverse();
        let again = Assignment::new(&tables, &reversed);
        let same = |model| assignment.zones(model).eq(again.zones(model));
        assert!(
            tables.models.keys().all(same),
            "{name}: the assignment depends on the order of the zones"
        );
    }
}

/// Runs two candidates with independent clocks.
///
/// Returns the first time at which both hold a valid lease, in ms, if any. In each step, one
/// candidate acts: bits 0 to 10 are the time since the last step in ms, bit 15 is the candidate.
/// If bits 11 and 12 are set, it does not read the log. Bits 0 to 11 are also the delay of its
/// append in ms.
fn time_of_two_holders(timings: [LeaseTimings; 2], steps: &[u16]) -> Option<u64> {
    let names: Vec<_> = ["a", "b"].into_iter().map(named::<HostName>).collect();
    let mut leases: Vec<_> = names
        .iter()
        .zip(timings)
        .map(|(name, timings)| Lease::new(name.clone(), timings))
        .collect();
    let mut log: Vec<LeaseEntry> = Vec::new();
    let mut in_flight: BTreeMap<(u64, usize), (AppendId, eelgrasshill_placement::LeaseRecord)> =
        BTreeMap::new();
    let mut now = 0;
    for (seq, step) in steps.iter().enumerate() {
        now += u64::from(step % MAX_STEP_MS);
        let index = usize::from(step >> 15);
        // The second clock runs one percent fast and has a different origin.
        let clock = |index: usize| {
            Moment(if index == 0 {
                now
            } else {
                50_000 + now * 101 / 100
            })
        };
        let written: Vec<_> = in_flight
            .extract_if(..=(now, usize::MAX), |_key, _append| true)
            .collect();
        for (_key, (id, record)) in written {
            log.push(LeaseEntry {
                offset: Offset(log.len() as u64),
                id,
                record,
            });
        }
        if step & NO_READ_BITS != NO_READ_BITS {
            let from = offset_index(leases[index].state().next_offset());
            leases[index].apply_entries(&log[from.min(log.len())..], clock(index));
        }
        if let Some(record) = leases[index].due_record(&names, clock(index)) {
            let id = named(&format!("{index}-{seq}"));
            leases[index].record_sent(&id, &record, clock(index));
            in_flight.insert(
                (now + u64::from(step & APPEND_DELAY_BITS), seq),
                (id, record),
            );
        }
        if leases[0].is_valid(clock(0)) && leases[1].is_valid(clock(1)) {
            return Some(now);
        }
    }
    None
}

/// Guards against two hosts that both consider their lease valid.
///
/// It also shows that two hosts do so if one of them does not wait for the end of the old lease.
#[test]
fn one_holder_at_a_time() {
    let timings = LeaseTimings::default();
    let claims_early = LeaseTimings {
        ttl: Duration::from_secs(1),
        clock_margin: Duration::ZERO,
        ..timings
    };
    let (mut checked, mut overlaps) = (0, 0);
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let steps: Vec<u16> = (0..400).map(|_| rng.random()).collect();
        assert_eq!(
            time_of_two_holders([timings; 2], &steps),
            None,
            "seed {seed}: expected no time in ms at which two hosts hold a valid lease"
        );
        checked += 1;
        overlaps += u32::from(time_of_two_holders([timings, claims_early], &steps).is_some());
    }
    assert_eq!(checked, 200);
    assert!(
        overlaps > 0,
        "no seed gives two holders when one candidate does not wait for the old lease"
    );
    bolero::check!()
        .with_iterations(200)
        .with_type::<Vec<u16>>()
        .for_each(|steps| {
            assert_eq!(time_of_two_holders([timings; 2], steps), None);
        });
}
