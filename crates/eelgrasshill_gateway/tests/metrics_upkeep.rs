//! Tests the memory of the metrics recorder while nothing reads the metrics.

use std::time::Duration;

use eelgrasshill_gateway::install_metrics;

/// Number of samples in a round, and the pause after it, which is longer than the upkeep's interval.
const SAMPLES_PER_ROUND: u32 = 1_000_000;
const ROUND_PAUSE: Duration = Duration::from_millis(5_500);

/// Rounds after which memory is compared with that after the first one.
const ROUNDS: u32 = 3;

/// Maximum growth: a quarter of what the samples of one round take (16 bytes each).
const MAX_GROWTH_KB: u64 = 4_000;

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the system shows it");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let digits = line.and_then(|line| line.trim().strip_suffix(" kB"));
    digits.and_then(|kb| kb.parse().ok()).expect("a number")
}

/// Guards against samples that are kept until something reads the metrics.
#[actix_web::test]
async fn memory_stays_flat_while_nothing_reads_the_metrics() {
    let _metrics = install_metrics().expect("no other recorder is installed");
    let mut after_first = None;
    for _round in 0..=ROUNDS {
        for sample in 0..SAMPLES_PER_ROUND {
            metrics::histogram!("eelgrasshill_answer_seconds", "class" => "once")
                .record(f64::from(sample));
        }
        tokio::time::sleep(ROUND_PAUSE).await;
        let kb = resident_kb();
        let first = *after_first.get_or_insert(kb);
        assert!(
            kb < first + MAX_GROWTH_KB,
            "grew from {first} to {kb} kB without a reader"
        );
    }
}
