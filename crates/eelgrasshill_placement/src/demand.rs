//! Demand for each model, smoothed so that a jump and its return cause few moves.
//!
//! Copies are added by a quick average, and protected by a slow one: demand that came back down
//! goes on protecting its copies for a while, so that a second jump finds them resident.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, ModelName, Moment};

use crate::DemandSpans;

/// What the entry hosts of a zone say about one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelName,
    /// Tokens asked for in a second.
    pub rate: f64,
}

#[derive(Clone, Copy, Debug)]
struct Level {
    at: Moment,
    input: f64,
    quick: f64,
    slow: f64,
}

/// Smoothed demand of all models.
#[derive(Clone, Debug)]
pub struct Demand {
    spans: DemandSpans,
    levels: FastMap<ModelName, Level>,
}

impl Demand {
    /// Starts with no demand.
    #[must_use]
    pub fn new(spans: DemandSpans) -> Self {
        Self {
            spans,
            levels: FastMap::default(),
        }
    }

    /// Takes in what was asked for lately; models not named keep their last rate.
    pub fn report(&mut self, demands: &[ModelDemand], now: Moment) {
        for demand in demands {
            let level = self.levels.entry(demand.model.clone()).or_insert(Level {
                at: now,
                input: 0.0,
                quick: 0.0,
                slow: 0.0,
            });
            *level = step(*level, &self.spans, now);
            level.input = demand.rate.max(0.0);
        }
    }

    /// Returns the tokens a second for which copies are added.
    #[must_use]
    pub fn quick(&self, model: &ModelName, now: Moment) -> f64 {
        self.level(model, now).map_or(0.0, |level| level.quick)
    }

    /// Returns the tokens a second for which copies are kept.
    #[must_use]
    pub fn kept(&self, model: &ModelName, now: Moment) -> f64 {
        self.level(model, now)
            .map_or(0.0, |level| level.quick.max(level.slow))
    }

    fn level(&self, model: &ModelName, now: Moment) -> Option<Level> {
        self.levels
            .get(model)
            .map(|level| step(*level, &self.spans, now))
    }
}

fn step(level: Level, spans: &DemandSpans, now: Moment) -> Level {
    let span = now.since(level.at);
    let quick = level.input + (level.quick - level.input) * decay(span, spans.rise);
    let fallen = quick + (level.slow - quick) * decay(span, spans.fall);
    Level {
        at: now,
        input: level.input,
        quick,
        slow: fallen.max(quick),
    }
}

fn decay(span: Duration, constant: Duration) -> f64 {
    (-span.as_secs_f64() / constant.as_secs_f64().max(0.001)).exp()
}
