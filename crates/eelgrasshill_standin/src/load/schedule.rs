//! The arrivals of a load, drawn from its seed before the start.
//!
//! Arrivals are a Poisson process whose rate follows the bursts. Candidates are drawn
//! at the highest rate of the load. Each is kept with a probability: the rate at its
//! time divided by the highest rate (thinning).

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
    pub due: Duration,
    /// The index of its caller in the settings.
    pub caller_index: usize,
    /// The index of its model in the settings.
    pub model_index: usize,
    /// The index in the settings of the target of its first attempt.
    pub target_index: usize,
    /// The chat messages of the request.
    pub messages: Value,
    /// Maximum length of the answer in tokens.
    pub max_answer_tokens: u64,
    /// Whether it is a plain call.
    pub is_plain_call: bool,
    /// Whether it is within its organisation's rate and burst.
    pub within_limit: bool,
}

/// A token bucket that decides which requests are within a limit.
#[derive(Clone, Copy, Debug)]
struct BucketLevel {
    tokens: f64,
    refilled_at: Duration,
}

#[expect(clippy::cast_precision_loss, reason = "limits are far below 2^52")]
impl BucketLevel {
    fn new(limit: TokenLimit) -> Self {
        Self {
            tokens: limit.burst_tokens as f64,
            refilled_at: Duration::ZERO,
        }
    }

    /// Refills up to now, takes the tokens if there are enough and returns whether there were.
    fn try_take(&mut self, limit: TokenLimit, now: Duration, cost: u64) -> bool {
        let refill =
            now.saturating_sub(self.refilled_at).as_secs_f64() * limit.tokens_per_second as f64;
        self.tokens = (self.tokens + refill).min(limit.burst_tokens as f64);
        self.refilled_at = now;
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
        .map(|caller| caller.limit.map(BucketLevel::new))
        .collect();
    let max_rate = find_max_rate(settings);
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    while arrivals.len() < settings.max_requests {
        at += draw_interval(&mut rng, max_rate);
        if at >= settings.arrival_period {
            break;
        }
        let shares = caller_shares(settings, at);
        // A burst of an organisation raises the total rate; one of a model moves requests to it.
        let rate =
            settings.requests_per_second * shares.iter().sum::<f64>() / total_share(settings);
        if rng.random_range(0.0..1.0) * max_rate >= rate {
            continue;
        }
        let caller_index = draw_index(&mut rng, &shares);
        let model_index = draw_index(&mut rng, &model_shares(settings, at));
        let mut arrival = draw_arrival(settings, &mut rng, caller_index, model_index);
        arrival.number = arrivals.len();
        arrival.due = at;
        if let (Some(bucket), Some(limit)) = (
            &mut buckets[caller_index],
            settings.callers[caller_index].limit,
        ) {
            let cost = prompt_tokens(&arrival.messages) + arrival.max_answer_tokens;
            arrival.within_limit = bucket.try_take(limit, at, cost);
        }
        arrivals.push(arrival);
    }
    arrivals
}

/// Draws the contents of a request; the caller sets its number and due time.
fn draw_arrival(
    settings: &LoadSettings,
    rng: &mut StdRng,
    caller_index: usize,
    model_index: usize,
) -> Arrival {
    let organisation = &settings.callers[caller_index].organisation;
    let name = &settings.models[model_index].name;
    // AnswerText serves as a source of repeatable words.
    let prefix = AnswerText::new(name, Some(organisation), &Value::Null).prefix(PREFIX_WORDS);
    let question = AnswerText::new("question", None, &json!(rng.random::<u64>()));
    let words = rng.random_range(settings.prompt_words.0..=settings.prompt_words.1);
    let plain_share = settings.plain.as_ref().map_or(0.0, |plain| plain.share);
    Arrival {
        number: 0,
        due: Duration::ZERO,
        caller_index,
        model_index,
        target_index: rng.random_range(0..settings.targets.len().max(1)),
        messages: json!([
            {"role": "system", "content": prefix.trim_end()},
            {"role": "user", "content": question.prefix(words).trim_end()},
        ]),
        max_answer_tokens: rng.random_range(settings.answer_tokens.0..=settings.answer_tokens.1),
        is_plain_call: rng.random_range(0.0..1.0) < plain_share,
        within_limit: true,
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
        let applies_to_caller = |subject: &Subject| {
            matches!(
                subject,
                Subject::Organisation(name) if *name == caller.organisation
            )
        };
        caller.share * factor_at(&settings.bursts, at, applies_to_caller)
    };
    settings.callers.iter().map(share).collect()
}

fn model_shares(settings: &LoadSettings, at: Duration) -> Vec<f64> {
    let share = |model: &super::ModelShare| {
        let applies_to_model =
            |subject: &Subject| matches!(subject, Subject::Model(name) if *name == model.name);
        model.share * factor_at(&settings.bursts, at, applies_to_model)
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
    let rate_changes = settings
        .bursts
        .iter()
        .flat_map(|burst| [burst.from, burst.until]);
    let max_share = std::iter::once(Duration::ZERO)
        .chain(rate_changes)
        .map(|at| caller_shares(settings, at).iter().sum::<f64>())
        .fold(0.0, f64::max);
    settings.requests_per_second * max_share / total_share(settings)
}

fn draw_interval(rng: &mut StdRng, rate: f64) -> Duration {
    let drawn: f64 = rng.random_range(0.0..1.0);
    let seconds = -(1.0 - drawn).ln() / rate;
    // Small enough that adding it to a time within the load cannot overflow.
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 4)
}

fn draw_index(rng: &mut StdRng, shares: &[f64]) -> usize {
    let mut remaining_share = rng.random_range(0.0..1.0) * shares.iter().sum::<f64>();
    for (index, share) in shares.iter().enumerate() {
        remaining_share -= share;
        if remaining_share < 0.0 {
            return index;
        }
    }
    shares.len().saturating_sub(1)
}
