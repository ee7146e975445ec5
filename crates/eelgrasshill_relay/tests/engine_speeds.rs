//! Tests that speeds of engines and models are learned from their answers, whatever was configured.

use std::time::Duration;

use eelgrasshill_domain::{HostName, ModelName, PoolName};
use eelgrasshill_relay::{AnswerStart, EngineSpeeds};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Time of an answer that does not depend on its prompt, in ms.
const BASE_MS: f64 = 12.0;

/// Tolerance of a learned time.
const TOLERANCE: f64 = 0.25;

struct Deployment {
    name: &'static str,
    /// Tokens per ms that the settings say.
    configured: u64,
    /// Tokens per ms of each engine.
    engines: &'static [f64],
    /// Time of a token for each model, relative to the others.
    models: &'static [f64],
    /// Seconds until the speed of all engines doubles; none if it stays.
    doubles: bool,
}

const DEPLOYMENTS: [Deployment; 6] = [
    Deployment {
        name: "as configured",
        configured: 38,
        engines: &[38.0; 6],
        models: &[1.0; 3],
        doubles: false,
    },
    Deployment {
        name: "half of the configured speed",
        configured: 38,
        engines: &[19.0; 6],
        models: &[1.0; 3],
        doubles: false,
    },
    Deployment {
        name: "four times the configured speed",
        configured: 38,
        engines: &[152.0; 6],
        models: &[1.0; 3],
        doubles: false,
    },
    Deployment {
        name: "engines of half and of twice the speed side by side",
        configured: 38,
        engines: &[19.0, 76.0, 19.0, 76.0],
        models: &[1.0; 3],
        doubles: false,
    },
    Deployment {
        name: "a large model beside small ones",
        configured: 38,
        engines: &[38.0; 6],
        models: &[2.0, 1.0, 1.0, 1.0],
        doubles: false,
    },
    Deployment {
        name: "engines that become faster",
        configured: 38,
        engines: &[38.0; 6],
        models: &[1.0; 3],
        doubles: true,
    },
];

fn pool() -> PoolName {
    PoolName::new("p").expect("the name is valid")
}

fn engine(number: usize) -> HostName {
    HostName::new(&format!("e{number}")).expect("the name is valid")
}

fn model(number: usize) -> ModelName {
    ModelName::new(&format!("m{number}")).expect("the name is valid")
}

/// Records answers of random engines and models; `speed` multiplies that of all engines.
fn record_answers(
    speeds: &mut EngineSpeeds,
    deployment: &Deployment,
    speed: f64,
    random: &mut StdRng,
) {
    for _answer in 0..1_200 {
        let engine_number = random.random_range(0..deployment.engines.len());
        let model_number = random.random_range(0..deployment.models.len());
        let tokens: u64 = random.random_range(50..4_000);
        let rate = deployment.engines[engine_number] * speed / deployment.models[model_number];
        let noise = random.random_range(0.8..1.25);
        let tokens_ms = f64::from(u32::try_from(tokens).expect("prompts are short")) / rate;
        speeds.record(&AnswerStart {
            pool: &pool(),
            engine: &engine(engine_number),
            model: &model(model_number),
            tokens,
            elapsed: Duration::from_secs_f64((BASE_MS + tokens_ms) * noise / 1_000.0),
        });
    }
}

fn assert_near(name: &str, what: &str, actual: Duration, expected_ms: f64) {
    let actual_ms = actual.as_secs_f64() * 1_000.0;
    let deviation = (actual_ms / expected_ms - 1.0).abs();
    assert!(
        deviation < TOLERANCE,
        "{name}: expected {expected_ms:.1} ms for {what}, got {actual_ms:.1} ms"
    );
}

#[test]
fn speeds_are_learned_whatever_is_configured() {
    for deployment in &DEPLOYMENTS {
        let mut random = StdRng::seed_from_u64(1);
        let mut speeds = EngineSpeeds::new(deployment.configured);
        record_answers(&mut speeds, deployment, 1.0, &mut random);
        let speed = if deployment.doubles { 2.0 } else { 1.0 };
        if deployment.doubles {
            record_answers(&mut speeds, deployment, speed, &mut random);
        }
        let models = deployment.models.iter();
        let mean_model = models.sum::<f64>()
            / f64::from(u32::try_from(deployment.models.len()).expect("there are few models"));
        for (number, rate) in deployment.engines.iter().enumerate() {
            let expected_ms = 2_000.0 * mean_model / (rate * speed);
            let learned = speeds.queue_time(&pool(), &engine(number), 2_000);
            let what = format!("2,000 tokens at engine {number}");
            assert_near(deployment.name, &what, learned, expected_ms);
        }
        if deployment
            .engines
            .iter()
            .all(|rate| (rate / deployment.engines[0]).ln().abs() < f64::EPSILON)
        {
            for (number, factor) in deployment.models.iter().enumerate() {
                let expected_ms = 2_000.0 * factor / (deployment.engines[0] * speed);
                let learned = speeds.prompt_time(&pool(), Some(&model(number)), 2_000);
                let what = format!("2,000 tokens of model {number}");
                assert_near(deployment.name, &what, learned, expected_ms);
            }
        }
    }
}

#[test]
fn configured_speed_counts_where_nothing_is_known() {
    for (configured, tokens, expected_ms) in [(38, 3_800, 100), (1, 50, 50), (100_000, 100_000, 1)]
    {
        let speeds = EngineSpeeds::new(configured);
        let expected = Duration::from_millis(expected_ms);
        assert_eq!(speeds.queue_time(&pool(), &engine(0), tokens), expected);
        assert_eq!(speeds.prompt_time(&pool(), None, tokens), expected);
    }
}

/// One answer may be late for any reason.
#[test]
fn single_answers_change_little() {
    for elapsed in [Duration::from_nanos(1), Duration::from_hours(1)] {
        let mut speeds = EngineSpeeds::new(38);
        speeds.record(&AnswerStart {
            pool: &pool(),
            engine: &engine(0),
            model: &model(0),
            tokens: 1_000,
            elapsed,
        });
        let learned = speeds.queue_time(&pool(), &engine(0), 3_800);
        assert!(
            learned > Duration::from_millis(50) && learned < Duration::from_millis(200),
            "expected about 100 ms, got {learned:?} after an answer in {elapsed:?}"
        );
    }
}
