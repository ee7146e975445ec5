//! Demand for each model, smoothed so that a jump and its return cause few moves.
//!
//! Copies are added by a quick average, and protected by a slow one: demand that came back down
//! goes on protecting its copies for a while, so that a second jump finds them resident.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, ModelName, Moment};

use crate::DemandSettings;

/// What the entry hosts of a zone say about one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelName,
    /// Tokens asked for in a second.
    pub rate: f64,
}

#[derive(Clone, Copy, Debug)]
struct DemandLevel {
    at: Moment,
    rate: f64,
    fast: f64,
    slow: f64,
}

/// Smoothed demand of all models.
#[derive(Clone, Debug)]
pub struct SmoothedDemand {
    settings: DemandSettings,
    levels: FastMap<ModelName, DemandLevel>,
}

impl SmoothedDemand {
    /// Starts with no demand.
    #[must_use]
    pub fn new(settings: DemandSettings) -> Self {
        Self {
            settings,
            levels: FastMap::default(),
        }
    }

    /// Takes in what was asked for lately; models not named keep their last rate.
    pub fn update(&mut self, demands: &[ModelDemand], now: Moment) {
        for demand in demands {
            let level = self
                .levels
                .entry(demand.model.clone())
                .or_insert(DemandLevel {
                    at: now,
                    rate: 0.0,
                    fast: 0.0,
                    slow: 0.0,
                });
            *level = advance(*level, &self.settings, now);
            level.rate = demand.rate.max(0.0);
        }
    }

    /// Returns the tokens a second for which copies are added.
    #[must_use]
    pub fn fast_rate(&self, model: &ModelName, now: Moment) -> f64 {
        self.level(model, now).map_or(0.0, |level| level.fast)
    }

    /// Returns the tokens a second for which copies are kept.
    #[must_use]
    pub fn retained_rate(&self, model: &ModelName, now: Moment) -> f64 {
        self.level(model, now)
            .map_or(0.0, |level| level.fast.max(level.slow))
    }

    fn level(&self, model: &ModelName, now: Moment) -> Option<DemandLevel> {
        self.levels
            .get(model)
            .map(|level| advance(*level, &self.settings, now))
    }
}

fn advance(level: DemandLevel, settings: &DemandSettings, now: Moment) -> DemandLevel {
    let elapsed = now.since(level.at);
    let fast = level.rate + (level.fast - level.rate) * decay_factor(elapsed, settings.rise_time);
    let decayed = fast + (level.slow - fast) * decay_factor(elapsed, settings.fall_time);
    DemandLevel {
        at: now,
        rate: level.rate,
        fast,
        slow: decayed.max(fast),
    }
}

fn decay_factor(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64().max(0.001)).exp()
}
