//! What callers of one host ask of each model, as a rate that follows jumps within seconds.

use std::time::Duration;

use eelgrasshill_domain::{AdapterName, FastMap, ModelName, Moment, PoolName, record};

/// Time constant of the average: demand moves to other models within some five seconds.
const SPAN: Duration = Duration::from_secs(2);

/// Rates below this are forgotten: a request a minute or so, in microseconds a second.
const LEAST: f64 = 20.0;

record! {
    /// A model of a pool, or one adapter of it.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Asked {
        /// The pool.
        pub pool: PoolName,
        /// The model.
        pub model: ModelName,
        /// The adapter.
        pub adapter: Option<AdapterName>,
    }
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    level: f64,
    at: Moment,
}

impl Rate {
    fn level(self, now: Moment) -> f64 {
        self.level * (-now.since(self.at).as_secs_f64() / SPAN.as_secs_f64()).exp()
    }
}

/// The rates at which one host's callers ask.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    rates: FastMap<Asked, Rate>,
}

impl Demand {
    /// Notes a request that takes an engine `work` microseconds.
    pub fn note(&mut self, asked: Asked, work: u64, now: Moment) {
        let rate = self.rates.entry(asked).or_insert(Rate {
            level: 0.0,
            at: now,
        });
        #[expect(clippy::cast_precision_loss, reason = "the work of a request is small")]
        let added = work as f64 / SPAN.as_secs_f64();
        *rate = Rate {
            level: rate.level(now) + added,
            at: now,
        };
    }

    /// Returns all rates, in microseconds of engine time a second, and forgets those near zero.
    pub fn rates(&mut self, now: Moment) -> FastMap<Asked, u64> {
        self.rates.retain(|_asked, rate| rate.level(now) >= LEAST);
        let rates = self.rates.iter();
        rates
            .map(|(asked, rate)| {
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "rates are small and positive"
                )]
                let level = rate.level(now) as u64;
                (asked.clone(), level)
            })
            .collect()
    }
}
