//! Tests that placement follows demand within the limits on memory, adapters and loads.

mod world;

use std::time::Duration;

use eelgrasshill_domain::Moment;
use eelgrasshill_relay::{Availability, ModelKey};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use world::{EngineSimulation, Faults, model, pool_name};

/// Demand concentrates on four of twenty models, one of which needs 2.7 engines.
///
/// An engine holds two models. The demand is that of a load run 12 s after its start.
#[test]
fn busy_models_replace_idle_ones() {
    let mut world = EngineSimulation::new(10, 20, 1);
    for number in 4..20 {
        world.set_demand(number, 20);
    }
    world.set_demand(0, 2_700);
    world.set_demand(1, 1_500);
    world.set_demand(2, 1_100);
    world.set_demand(3, 900);
    world.run(40_000, Faults::default());
    for (number, least) in [(0, 4), (1, 2), (2, 2), (3, 1)] {
        let copies = world.copies(number);
        assert!(
            copies >= least,
            "model {number} has {copies} copies, at least {least} are needed"
        );
    }
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn every_model_has_a_copy_if_all_fit() {
    let mut world = EngineSimulation::new(12, 20, 2);
    for number in 0..4 {
        world.set_demand(number, 500);
    }
    for number in 4..20 {
        world.set_demand(number, 25);
    }
    world.run(40_000, Faults::default());
    for number in 0..20 {
        assert!(world.copies(number) >= 1, "model {number} has no copy");
    }
}

#[test]
fn missing_model_is_loaded_when_needed() {
    let mut world = EngineSimulation::new(2, 6, 3);
    world.set_demand(0, 200);
    world.run(10_000, Faults::default());
    let missing = (0..6)
        .find(|number| world.copies(*number) == 0)
        .expect("two engines hold at most four of six models");
    world.set_demand(missing, 30);
    let model_key = ModelKey {
        pool: pool_name(),
        model: model(missing),
        adapter: None,
    };
    let mut ready = false;
    for _try in 0..100 {
        let now = world.now();
        ready |= matches!(world.planner.resolve_miss(&model_key, now),
            Availability::Ready { after, .. } if after < Duration::from_millis(1));
        world.run(100, Faults::default());
    }
    assert!(ready, "the needed model was not loaded within ten seconds");
}

/// Engines leave 30 percent of the orders unanswered but keep serving.
///
/// In a load run, such engines counted as down, and their models were loaded elsewhere.
#[test]
fn engines_that_leave_orders_unanswered_keep_their_models() {
    let mut world = EngineSimulation::new(12, 20, 4);
    for number in 0..20 {
        world.set_demand(number, 40);
    }
    world.run(20_000, Faults::default());
    let before = world.loads;
    world.run(
        20_000,
        Faults {
            unanswered: 300,
            ..Faults::default()
        },
    );
    assert!(
        world.loads - before <= 4,
        "expected at most 4 loads while demand does not change, got {}",
        world.loads - before
    );
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Orders are unanswered or take effect late, engines restart, and demand moves.
///
/// A planner that miscounts accepted orders would overcommit an engine or the weight store.
#[test]
fn memory_adapter_and_load_limits_hold_under_faults() {
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = EngineSimulation::new(8, 14, seed);
        for _phase in 0..8 {
            for number in 0..14 {
                let rate = if random.random_range(0..4) == 0 {
                    900
                } else {
                    10
                };
                world.set_demand(number, rate);
            }
            let faults = Faults {
                unanswered: random.random_range(0..500),
                late: random.random_range(0..500),
                restarts: random.random_range(0..4),
            };
            world.need_adapters(&mut random);
            world.run(6_000, faults);
        }
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn needed_adapter_is_ready_within_milliseconds() {
    let mut world = EngineSimulation::new(4, 4, 7);
    world.run(8_000, Faults::default());
    let model_key = ModelKey {
        pool: pool_name(),
        model: model(0),
        adapter: Some(world::adapter(3)),
    };
    let now = world.now();
    // In an incident, the first request for an adapter was deferred by 1.5 s.
    let availability = world.planner.resolve_miss(&model_key, now);
    assert!(
        matches!(
            availability,
            Availability::Ready { after, .. } if after < Duration::from_millis(40)
        ),
        "expected the adapter to be ready within 40 ms, got {availability:?}"
    );
    world.run(20, Faults::default());
    let now = world.now();
    let availability = world.planner.resolve_miss(&model_key, now);
    assert!(
        matches!(
            availability,
            Availability::Ready { after, .. } if after < Duration::from_millis(20)
        ),
        "expected the adapter to be ready within 20 ms, got {availability:?}"
    );
    assert_eq!(Moment(now.0), now);
}
