//! The arrivals of a load, drawn from its seed before the start.
//!
//! Arrivals are a Poisson process whose rate follows the bursts; candidates
//! drawn at the highest rate are thinned out to the rate at their time.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::settings::{Burst, LoadSettings, Subject, TokenLimit};
use crate::text::{AnswerText, prompt_tokens};

/// Words in the prompt prefix shared by one caller and model.
const PREFIX_WORDS: u64 = 48;

/// A request to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its number, from zero.
    pub number: usize,
    /// Its due time, measured from the start.
    pub at: Duration,
    /// The index of its caller in the settings.
    pub caller: usize,
    /// The index of its model in the settings.
    pub model: usize,
    /// The index of its first target in the settings.
    pub target: usize,
    /// The chat messages of the request.
    pub messages: Value,
    /// Maximum length of the answer in tokens.
    pub tokens: u64,
    /// Whether it is a plain call.
    pub plain: bool,
    /// Whether it is within its organisation's rate and burst.
    pub within: bool,
}

/// A token bucket that decides which requests are within a limit.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    at: Duration,
}

#[expect(clippy::cast_precision_loss, reason = "limits are far below 2^52")]
impl TokenBucket {
    fn new(limit: TokenLimit) -> Self {
        Self {
            tokens: limit.burst as f64,
            at: Duration::ZERO,
        }
    }

    fn take(&mut self, limit: TokenLimit, at: Duration, cost: u64) -> bool {
        let refill = at.saturating_sub(self.at).as_secs_f64() * limit.rate as f64;
        self.tokens = (self.tokens + refill).min(limit.burst as f64);
        self.at = at;
        let within = self.tokens >= cost as f64;
        if within {
            self.tokens -= cost as f64;
        }
        within
    }
}

/// Draws all arrivals of a load, in order of time.
#[must_use]
pub fn schedule(settings: &LoadSettings) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(settings.seed);
    let mut buckets: Vec<_> = settings
        .callers
        .iter()
        .map(|caller| caller.limit.map(TokenBucket::new))
        .collect();
    let max_rate = find_max_rate(settings);
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    while arrivals.len() < settings.count {
        at += draw_interval(&mut rng, max_rate);
        if at >= settings.span {
            break;
        }
        let shares = caller_shares(settings, at);
        let rate = settings.rate * shares.iter().sum::<f64>() / total_share(settings);
        if rng.random_range(0.0..1.0) * max_rate >= rate {
            continue;
        }
        let caller = draw_index(&mut rng, &shares);
        let model = draw_index(&mut rng, &model_shares(settings, at));
        let mut arrival = draw_arrival(settings, &mut rng, caller, model);
        arrival.number = arrivals.len();
        arrival.at = at;
        if let (Some(bucket), Some(limit)) = (&mut buckets[caller], settings.callers[caller].limit)
        {
            let cost = prompt_tokens(&arrival.messages) + arrival.tokens;
            arrival.within = bucket.take(limit, at, cost);
        }
        arrivals.push(arrival);
    }
    arrivals
}

fn draw_arrival(settings: &LoadSettings, rng: &mut StdRng, caller: usize, model: usize) -> Arrival {
    let org = &settings.callers[caller].org;
    let name = &settings.models[model].name;
    let prefix = AnswerText::new(name, Some(org), &Value::Null).prefix(PREFIX_WORDS);
    let question = AnswerText::new("question", None, &json!(rng.random::<u64>()));
    let words = rng.random_range(settings.prompt.0..=settings.prompt.1);
    let plain = settings.plain.as_ref().map_or(0.0, |plain| plain.share);
    Arrival {
        number: 0,
        at: Duration::ZERO,
        caller,
        model,
        target: rng.random_range(0..settings.targets.len().max(1)),
        messages: json!([
            {"role": "system", "content": prefix.trim_end()},
            {"role": "user", "content": question.prefix(words).trim_end()},
        ]),
        tokens: rng.random_range(settings.answer.0..=settings.answer.1),
        plain: rng.random_range(0.0..1.0) < plain,
        within: true,
    }
}

fn factor_at(bursts: &[Burst], at: Duration, applies_to: impl Fn(&Subject) -> bool) -> f64 {
    bursts
        .iter()
        .filter(|burst| applies_to(&burst.subject) && burst.from <= at && at < burst.until)
        .map(|burst| burst.factor)
        .product()
}

fn caller_shares(settings: &LoadSettings, at: Duration) -> Vec<f64> {
    let share = |caller: &super::LoadCaller| {
        let is_target =
            |subject: &Subject| matches!(subject, Subject::Organisation(org) if *org == caller.org);
        caller.share * factor_at(&settings.bursts, at, is_target)
    };
    settings.callers.iter().map(share).collect()
}

fn model_shares(settings: &LoadSettings, at: Duration) -> Vec<f64> {
    let share = |model: &super::ModelShare| {
        let is_target =
            |subject: &Subject| matches!(subject, Subject::Model(name) if *name == model.name);
        model.share * factor_at(&settings.bursts, at, is_target)
    };
    settings.models.iter().map(share).collect()
}

fn total_share(settings: &LoadSettings) -> f64 {
    settings.callers.iter().map(|caller| caller.share).sum()
}

/// Returns the highest arrival rate.
///
/// The rate changes only where a burst starts or ends.
fn find_max_rate(settings: &LoadSettings) -> f64 {
    let edges = settings
        .bursts
        .iter()
        .flat_map(|burst| [burst.from, burst.until]);
    let max_share = std::iter::once(Duration::ZERO)
        .chain(edges)
        .map(|at| caller_shares(settings, at).iter().sum::<f64>())
        .fold(0.0, f64::max);
    settings.rate * max_share / total_share(settings)
}

fn draw_interval(rng: &mut StdRng, rate: f64) -> Duration {
    let drawn: f64 = rng.random_range(0.0..1.0);
    let seconds = -(1.0 - drawn).ln() / rate;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 4)
}

fn draw_index(rng: &mut StdRng, shares: &[f64]) -> usize {
    let mut left = rng.random_range(0.0..1.0) * shares.iter().sum::<f64>();
    for (position, share) in shares.iter().enumerate() {
        left -= share;
        if left < 0.0 {
            return position;
        }
    }
    shares.len().saturating_sub(1)
}
