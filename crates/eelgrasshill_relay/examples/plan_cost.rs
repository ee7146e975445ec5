//! Prints what the lease holder's plans cost, by the number of engines and models.
//!
//! Each line shifts the demand to models without a copy and lets callers ask for many adapters, the
//! load at which the holder has most to decide.

#![expect(clippy::print_stdout, reason = "an example prints its result")]

#[path = "../tests/engine_simulation/mod.rs"]
#[expect(dead_code, reason = "tests use more of the simulation")]
mod engine_simulation;

use std::time::{Duration, Instant};

use eelgrasshill_relay::ModelKey;
use engine_simulation::{EngineSimulation, FaultRates, adapter, model, pool_name};

/// Engines and models of the sizes compared.
const SIZES: [(usize, usize); 5] = [(18, 34), (51, 62), (102, 124), (204, 248), (600, 1_900)];

fn main() {
    println!("engines models pass-mean-us pass-max-us miss-mean-us");
    for (engines, models) in SIZES {
        let mut simulation = EngineSimulation::new(engines, models, 1).with_fast_store();
        for number in 0..models {
            simulation.set_demand(number, 40);
        }
        simulation.run(8_000, FaultRates::default());
        for number in 0..models {
            let share = if number % 7 == 0 { 2_000 } else { 15 };
            simulation.set_demand(number, share);
        }
        let mut miss_time = Duration::ZERO;
        let mut misses = 0_u32;
        let mut pass_max = Duration::ZERO;
        let mut passes = 0_u32;
        let mut pass_time = Duration::ZERO;
        for round in 0..100 {
            let now = simulation.now();
            for number in 0..models / 4 {
                let model_key = ModelKey {
                    pool: pool_name(),
                    model: model((number * 5 + round) % models),
                    adapter: Some(adapter(number % 20)),
                };
                let start = Instant::now();
                simulation
                    .planner
                    .resolve_miss(&model_key.clone().into(), now);
                miss_time += start.elapsed();
                misses += 1;
            }
            let start = Instant::now();
            let calls = simulation.planner.next_calls(now);
            let elapsed = start.elapsed();
            pass_time += elapsed;
            pass_max = pass_max.max(elapsed);
            passes += 1;
            simulation.carry_out_all(calls);
            simulation.run(30, FaultRates::default());
        }
        println!(
            "{engines} {models} {} {} {}",
            (pass_time / passes).as_micros(),
            pass_max.as_micros(),
            (miss_time / misses).as_micros()
        );
    }
}
