//! Smooths the demand for each model.
//!
//! A short peak should cause few loads and unloads. The input is the token rate that the zone's
//! entry hosts report. A fast average decides when copies are added. The larger of the fast and a
//! slow average decides which copies are kept, so that a second peak finds them still resident.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, ModelName, Moment};

use crate::DemandSettings;

/// Smallest time constant of an average, which avoids a division by zero.
const MIN_TIME_CONSTANT_SECONDS: f64 = 0.001;

/// The demand for one model, as the entry hosts of a zone report it.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelName,
    /// Requested tokens per second.
    pub tokens_per_second: f64,
}

/// The last reported rate and its averages, in tokens per second.
#[derive(Clone, Copy, Debug)]
struct DemandAverages {
    /// The time of the averages.
    averaged_at: Moment,
    rate: f64,
    fast: f64,
    slow: f64,
}

/// The smoothed token rates of all models.
#[derive(Clone, Debug)]
pub struct SmoothedDemand {
    settings: DemandSettings,
    averages: FastMap<ModelName, DemandAverages>,
}

impl SmoothedDemand {
    /// Creates a tracker in which every model has a rate of zero.
    #[must_use]
    pub fn new(settings: DemandSettings) -> Self {
        Self {
            settings,
            averages: FastMap::default(),
        }
    }

    /// Records the latest reported rates; models not listed keep their previous rate.
    pub fn update(&mut self, demands: &[ModelDemand], now: Moment) {
        for demand in demands {
            let averages = self
                .averages
                .entry(demand.model.clone())
                .or_insert(DemandAverages {
                    averaged_at: now,
                    rate: 0.0,
                    fast: 0.0,
                    slow: 0.0,
                });
            *averages = advance(*averages, &self.settings, now);
            averages.rate = demand.tokens_per_second.max(0.0);
        }
    }

    /// Returns the tokens per second that decide whether to add copies.
    #[must_use]
    pub fn fast_rate(&self, model: &ModelName, now: Moment) -> f64 {
        self.averages(model, now)
            .map_or(0.0, |averages| averages.fast)
    }

    /// Returns the tokens per second that decide which copies to keep.
    #[must_use]
    pub fn retained_rate(&self, model: &ModelName, now: Moment) -> f64 {
        self.averages(model, now)
            .map_or(0.0, |averages| averages.fast.max(averages.slow))
    }

    fn averages(&self, model: &ModelName, now: Moment) -> Option<DemandAverages> {
        self.averages
            .get(model)
            .map(|averages| advance(*averages, &self.settings, now))
    }
}

fn advance(averages: DemandAverages, settings: &DemandSettings, now: Moment) -> DemandAverages {
    let elapsed = now.since(averages.averaged_at);
    let fast = averages.rate
        + (averages.fast - averages.rate) * decay_factor(elapsed, settings.fast_time_constant);
    let decayed =
        fast + (averages.slow - fast) * decay_factor(elapsed, settings.slow_time_constant);
    DemandAverages {
        averaged_at: now,
        rate: averages.rate,
        fast,
        slow: decayed.max(fast),
    }
}

fn decay_factor(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64().max(MIN_TIME_CONSTANT_SECONDS)).exp()
}
