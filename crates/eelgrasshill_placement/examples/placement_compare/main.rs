//! Compares placement with simpler policies at the size of both deployments.
//!
//! Run with `cargo run --release -p eelgrasshill_placement --example placement_compare`.

mod bench;
mod lru;
mod takeover;

#[path = "../../tests/proofs/fleet/engine.rs"]
#[expect(
    dead_code,
    reason = "the proofs use more of the fake engine than this example"
)]
mod engine;

use std::thread;
use std::time::Duration;

use bench::{Bench, DeploymentProfile, Figures};
use eelgrasshill_placement::DemandSettings;

/// Number of seeds, each with its own course of demand.
const SEED_COUNT: u64 = 4;

fn main() {
    println!("| deployment | policy | moves | served | served at home |");
    println!("|---|---|---|---|---|");
    for deployment in [
        DeploymentProfile::lakeshore(),
        DeploymentProfile::kjallaravakt(),
    ] {
        let settings = DemandSettings::default();
        let no_hysteresis = DemandSettings {
            fast_time_constant: Duration::from_millis(1),
            slow_time_constant: Duration::from_millis(1),
            eviction_factor: 1.0,
            ..settings
        };
        let controllers = |settings, reports_demand| {
            move |deployment: &DeploymentProfile, seed| {
                Bench::new(deployment, settings, reports_demand, seed).run()
            }
        };
        let rows = [
            (
                "this crate",
                over_seeds(&deployment, controllers(settings, true)),
            ),
            (
                "no hysteresis",
                over_seeds(&deployment, controllers(no_hysteresis, true)),
            ),
            (
                "static split",
                over_seeds(&deployment, controllers(settings, false)),
            ),
            ("least recently used", over_seeds(&deployment, lru::run)),
        ];
        for (policy, figures) in rows {
            print_row(deployment.name, policy, &figures);
        }
    }
    println!();
    println!("| successor | terms | mean ms to first placement | longest ms |");
    println!("|---|---|---|---|");
    for (name, polled_before) in [("knows nothing", false), ("heard reports before", true)] {
        let times = takeover::takeover_times(polled_before);
        let mean_ms = times.iter().sum::<u64>() / times.len().max(1) as u64;
        let max_ms = times.iter().max().copied().unwrap_or(0);
        println!("| {name} | {} | {mean_ms} | {max_ms} |", times.len());
    }
}

/// Runs a policy with every seed in parallel and combines the figures.
///
/// A run that panics is left out.
fn over_seeds(
    deployment: &DeploymentProfile,
    run: impl Fn(&DeploymentProfile, u64) -> Figures + Sync,
) -> Figures {
    let run = &run;
    let runs: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..SEED_COUNT)
            .map(|seed| scope.spawn(move || run(deployment, seed)))
            .collect();
        threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    });
    Figures::of(&runs)
}

fn print_row(deployment: &str, policy: &str, figures: &Figures) {
    let Figures {
        loads,
        served,
        in_zone,
    } = figures;
    println!(
        "| {deployment} | {policy} | {loads} | {:.2} % | {:.2} % |",
        served * 100.0,
        in_zone * 100.0
    );
}
