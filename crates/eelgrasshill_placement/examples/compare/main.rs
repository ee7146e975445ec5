//! Compares placement with simpler ways, on the sizes of both deployments.
//!
//! Run with `cargo run --release -p eelgrasshill_placement --example compare`.

mod bench;
mod lru;
mod takeover;

#[path = "../../tests/proofs/fleet/engine.rs"]
#[expect(
    dead_code,
    reason = "the proofs use more of the fake engine than this example"
)]
mod engine;

use std::time::Duration;

use bench::{Bench, Deployment, Figures};
use eelgrasshill_placement::DemandSpans;

fn main() {
    println!("| deployment | policy | moves | served | served at home |");
    println!("|---|---|---|---|---|");
    for deployment in [Deployment::lakeshore(), Deployment::kjallaravakt()] {
        let spans = DemandSpans::default();
        let hasty = DemandSpans {
            rise: Duration::from_millis(1),
            fall: Duration::from_millis(1),
            factor: 1.0,
            ..spans
        };
        let rows = [
            ("this crate", Bench::new(&deployment, spans, true).run()),
            ("no hysteresis", Bench::new(&deployment, hasty, true).run()),
            ("static split", Bench::new(&deployment, spans, false).run()),
            ("least recently used", lru::run(&deployment)),
        ];
        for (policy, figures) in rows {
            print_row(deployment.name, policy, &figures);
        }
    }
    println!();
    println!("| successor | terms | mean ms to first placement | longest ms |");
    println!("|---|---|---|---|");
    for (name, warm) in [("knows nothing", false), ("heard reports before", true)] {
        let spans = takeover::spans(warm);
        let mean = spans.iter().sum::<u64>() / spans.len().max(1) as u64;
        let most = spans.iter().max().copied().unwrap_or(0);
        println!("| {name} | {} | {mean} | {most} |", spans.len());
    }
}

fn print_row(deployment: &str, policy: &str, figures: &Figures) {
    let Figures {
        moves,
        served,
        home,
    } = figures;
    println!(
        "| {deployment} | {policy} | {moves} | {:.2} % | {:.2} % |",
        served * 100.0,
        home * 100.0
    );
}
