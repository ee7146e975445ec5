//! Demand for each model at one host, as an exponentially decaying average.
//!
//! The average follows a jump in demand within seconds, from the engine time of each request.

use std::fmt;
use std::time::Duration;

use eelgrasshill_domain::{AdapterName, FastMap, ModelName, Moment, PoolName};
use serde::{Deserialize, Serialize};

/// Time constant of the average. Demand shifts to other models within about five seconds.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Rates below this are dropped; it is about one request a minute.
const MIN_RATE_US_PER_SECOND: f64 = 20.0;

/// Key of a model, or of one of its adapters, in a pool.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ModelKey {
    /// Pool that serves the model.
    pub pool: PoolName,
    /// Name of the model.
    pub model: ModelName,
    /// Adapter of the model; none for the model itself.
    pub adapter: Option<AdapterName>,
}

impl fmt::Debug for ModelKey {
    /// Prints the key under the type name `Asked`, which log lines have.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Asked")
            .field("pool", &self.pool)
            .field("model", &self.model)
            .field("adapter", &self.adapter)
            .finish()
    }
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    // Microseconds of engine time per second.
    level: f64,
    at: Moment,
}

impl Rate {
    fn level(self, now: Moment) -> f64 {
        self.level * (-now.since(self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Demand of one host's callers, by model.
#[derive(Clone, Debug, Default)]
pub struct SmoothedDemand {
    rates: FastMap<ModelKey, Rate>,
}

impl SmoothedDemand {
    /// Adds a request that takes `work_us` microseconds of engine time.
    pub fn record_request(&mut self, model_key: ModelKey, work_us: u64, now: Moment) {
        let rate = self.rates.entry(model_key).or_insert(Rate {
            level: 0.0,
            at: now,
        });
        #[expect(clippy::cast_precision_loss, reason = "the work of a request is small")]
        let added = work_us as f64 / TIME_CONSTANT.as_secs_f64();
        *rate = Rate {
            level: rate.level(now) + added,
            at: now,
        };
    }

    /// Returns all rates, in microseconds of engine time per second.
    ///
    /// Rates near zero are dropped.
    pub fn rates(&mut self, now: Moment) -> FastMap<ModelKey, u64> {
        self.rates
            .retain(|_model_key, rate| rate.level(now) >= MIN_RATE_US_PER_SECOND);
        let rates = self.rates.iter();
        rates
            .map(|(model_key, rate)| {
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "rates are small and positive"
                )]
                let level = rate.level(now) as u64;
                (model_key.clone(), level)
            })
            .collect()
    }
}
