//! Time that engines need for prompts, learned from when their answers start.
//!
//! Deployments differ in their engines, and models and engines of one pool in their speed. The time
//! until an answer starts grows with the prompt tokens that the engine processes until then, its
//! own and those ahead of it. For each pool, a decaying linear fit gives the time of a token, so
//! that what every answer takes, whatever its prompt, does not count. Each engine and model has a
//! factor, which follows from its answers' deviation from the fit.
//!
//! The load pattern is one of engines that differ by a factor, or change their speed, while the
//! choice among them and the refusals at full load depend on the expected wait.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, ModelName, PoolName};

/// Part of the fit's weight that each answer replaces.
const FIT_GAIN: f64 = 1.0 / 256.0;

/// Prompts of the answers that stand for the configured speed at the start, in tokens.
const PRIOR_TOKENS: [f64; 2] = [500.0, 2_000.0];

/// Weight of each of these answers.
const PRIOR_WEIGHT: f64 = 8.0;

/// Part of a deviation by which a factor changes at most, at its first answers.
const MAX_FACTOR_GAIN: f64 = 1.0 / 8.0;

/// Part of a deviation by which a factor changes in the long run.
const MIN_FACTOR_GAIN: f64 = 1.0 / 24.0;

/// Largest deviation that counts, as the logarithm of a factor of 4.
///
/// A single answer may be late for any reason.
const MAX_DEVIATION: f64 = 1.386;

/// Largest factor by which a learned speed differs from the configured one.
const MAX_SPEED_CHANGE: f64 = 16.0;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Sums of a weighted linear fit of times over tokens.
#[derive(Clone, Copy, Debug)]
struct Fit {
    weight: f64,
    tokens: f64,
    micros: f64,
    squares: f64,
    products: f64,
}

impl Fit {
    /// Creates the fit of a configured time for each token.
    fn new(token_micros: f64) -> Self {
        let mut fit = Self {
            weight: 0.0,
            tokens: 0.0,
            micros: 0.0,
            squares: 0.0,
            products: 0.0,
        };
        for tokens in PRIOR_TOKENS {
            fit.add(tokens, tokens * token_micros, PRIOR_WEIGHT);
        }
        fit
    }

    fn add(&mut self, tokens: f64, micros: f64, weight: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.micros += weight * micros;
        self.squares += weight * tokens * tokens;
        self.products += weight * tokens * micros;
    }

    fn decay(&mut self) {
        let kept = 1.0 - FIT_GAIN;
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.micros,
            &mut self.squares,
            &mut self.products,
        ] {
            *sum *= kept;
        }
    }

    /// Returns the time of each token.
    fn slope(&self) -> Option<f64> {
        let variance = self.weight * self.squares - self.tokens * self.tokens;
        let covariance = self.weight * self.products - self.tokens * self.micros;
        (variance > 0.0).then(|| covariance / variance)
    }

    /// Returns the time without any token, for a time of each token.
    fn base(&self, slope: f64) -> f64 {
        ((self.micros - slope * self.tokens) / self.weight).max(0.0)
    }
}

/// Logarithm of a factor, with its answers so far.
#[derive(Clone, Copy, Debug, Default)]
struct Factor {
    log: f64,
    answers: u32,
}

impl Factor {
    fn record(&mut self, deviation: f64) {
        self.answers = self.answers.saturating_add(1);
        let gain = (1.0 / f64::from(self.answers)).clamp(MIN_FACTOR_GAIN, MAX_FACTOR_GAIN);
        self.log = (self.log + gain * deviation).clamp(-MAX_DEVIATION, MAX_DEVIATION);
    }
}

/// An answer's start, as evidence about the speed of its engine.
#[derive(Clone, Copy, Debug)]
pub struct AnswerStart<'a> {
    /// Pool of the engine.
    pub pool: &'a PoolName,
    /// The engine that answered.
    pub engine: &'a HostName,
    /// Model of the request.
    pub model: &'a ModelName,
    /// Prompt tokens of the request, and those ahead of it when it was sent.
    pub tokens: u64,
    /// Time from sending the request to its first event.
    pub elapsed: Duration,
}

/// Speeds of the engines of all pools, as seen by this host.
#[derive(Clone, Debug)]
pub struct EngineSpeeds {
    default_micros: f64,
    fits: FastMap<PoolName, Fit>,
    engines: FastMap<HostName, Factor>,
    models: FastMap<(PoolName, ModelName), Factor>,
}

impl EngineSpeeds {
    /// Creates speeds that nothing is known of, from a configured number of tokens.
    #[must_use]
    pub fn new(tokens_per_ms: u64) -> Self {
        Self {
            default_micros: default_micros(tokens_per_ms),
            fits: FastMap::default(),
            engines: FastMap::default(),
            models: FastMap::default(),
        }
    }

    /// Sets the speed of pools that nothing is known of.
    pub fn set_default(&mut self, tokens_per_ms: u64) {
        self.default_micros = default_micros(tokens_per_ms);
    }

    /// Records the start of an answer.
    pub fn record(&mut self, start: &AnswerStart<'_>) {
        if start.tokens == 0 || start.elapsed.is_zero() {
            return;
        }
        let tokens = to_float(start.tokens);
        let micros = start.elapsed.as_secs_f64() * MICROS_PER_MS * MICROS_PER_MS;
        let engine_log = self
            .engines
            .get(start.engine)
            .map_or(0.0, |known| known.log);
        let model_key = (start.pool.clone(), start.model.clone());
        let model_log = self.models.get(&model_key).map_or(0.0, |known| known.log);
        let default_micros = self.default_micros;
        let fit = self
            .fits
            .entry(start.pool.clone())
            .or_insert_with(|| Fit::new(default_micros));
        let slope = bounded_slope(fit, default_micros);
        let expected = fit.base(slope) + slope * tokens * (engine_log + model_log).exp();
        let deviation = (micros / expected.max(1.0)).ln();
        let deviation = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        fit.decay();
        fit.add(tokens, expected * deviation.exp(), 1.0);
        self.engines
            .entry(start.engine.clone())
            .or_default()
            .record(deviation);
        self.models.entry(model_key).or_default().record(deviation);
    }

    /// Returns the time in which an engine processes prompt tokens of any model.
    #[must_use]
    pub fn queue_time(&self, pool: &PoolName, engine: &HostName, tokens: u64) -> Duration {
        let log = self.engines.get(engine).map_or(0.0, |known| known.log);
        self.time(pool, log, tokens)
    }

    /// Returns the time in which an average engine processes a prompt for a model.
    #[must_use]
    pub fn prompt_time(&self, pool: &PoolName, model: Option<&ModelName>, tokens: u64) -> Duration {
        let log = model.map_or(0.0, |model| {
            let known = self.models.get(&(pool.clone(), model.clone()));
            known.map_or(0.0, |known| known.log)
        });
        self.time(pool, log, tokens)
    }

    /// Returns the time in which an engine processes a prompt for a model.
    #[must_use]
    pub fn engine_prompt_time(
        &self,
        pool: &PoolName,
        engine: &HostName,
        model: &ModelName,
        tokens: u64,
    ) -> Duration {
        let engine_log = self.engines.get(engine).map_or(0.0, |known| known.log);
        let known = self.models.get(&(pool.clone(), model.clone()));
        let model_log = known.map_or(0.0, |known| known.log);
        self.time(pool, engine_log + model_log, tokens)
    }

    fn time(&self, pool: &PoolName, log: f64, tokens: u64) -> Duration {
        let fit = self.fits.get(pool);
        let slope = fit.map_or(self.default_micros, |fit| {
            bounded_slope(fit, self.default_micros)
        });
        Duration::from_secs_f64(
            slope * log.exp() * to_float(tokens) / MICROS_PER_MS / MICROS_PER_MS,
        )
    }

    /// Returns the learned tokens per millisecond of each pool's average engine.
    pub fn pool_speeds(&self) -> impl Iterator<Item = (&PoolName, f64)> {
        let fits = self.fits.iter();
        fits.map(|(pool, fit)| {
            (
                pool,
                MICROS_PER_MS / bounded_slope(fit, self.default_micros),
            )
        })
    }

    /// Removes the factors of engines that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&HostName) -> bool) {
        self.engines.retain(|id, _factor| is_known(id));
    }
}

fn bounded_slope(fit: &Fit, default_micros: f64) -> f64 {
    let slope = fit.slope().unwrap_or(default_micros);
    slope.clamp(
        default_micros / MAX_SPEED_CHANGE,
        default_micros * MAX_SPEED_CHANGE,
    )
}

fn default_micros(tokens_per_ms: u64) -> f64 {
    MICROS_PER_MS / to_float(tokens_per_ms.max(1))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of tokens are far below the precision of a float"
)]
fn to_float(count: u64) -> f64 {
    count as f64
}
