//! Smooths the demand for each model.
//!
//! A short peak should cause few loads and unloads. The input is the token rate that the zone's
//! entry hosts report. A fast average decides when copies are added. The larger of the fast and a
//! slow average decides which copies are kept, so that a second peak finds them still resident.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, ModelName, Moment};

use crate::DemandSettings;

/// The demand for one model, as the entry hosts of a zone report it.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelName,
    /// Requested tokens per second.
    pub rate: f64,
}

/// The last reported rate and its averages, in tokens per second.
#[derive(Clone, Copy, Debug)]
struct DemandLevel {
    /// The time of the averages.
    at: Moment,
    rate: f64,
    fast: f64,
    slow: f64,
}

/// The smoothed token rates of all models.
#[derive(Clone, Debug)]
pub struct SmoothedDemand {
    settings: DemandSettings,
    levels: FastMap<ModelName, DemandLevel>,
}

impl SmoothedDemand {
    /// Creates a tracker in which every model has a rate of zero.
    #[must_use]
    pub fn new(settings: DemandSettings) -> Self {
        Self {
            settings,
            levels: FastMap::default(),
        }
    }

    /// Records the latest reported rates; models not listed keep their previous rate.
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

    /// Returns the tokens per second that decide whether to add copies.
    #[must_use]
    pub fn fast_rate(&self, model: &ModelName, now: Moment) -> f64 {
        self.level(model, now).map_or(0.0, |level| level.fast)
    }

    /// Returns the tokens per second that decide which copies to keep.
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
