//! Part of an engine's time that a request needs, from which the demand for models is added up.
//!
//! An engine is full if prompts take all its time, or if answers take all its slots. The time of an
//! answer is learned from those that ended, for each route, since routes differ in how long their
//! answers are.
//!
//! The load pattern is one of long answers on engines with few slots. Counted by their prompts, the
//! engines of a busy model seem to have room for several times the requests that they have slots for.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, PoolName, RouteName};

/// Work of an engine for the steps of an answer.
///
/// The request makes each of some 300 steps take some 40 microseconds longer, 12 ms in all. The
/// value is a little below that.
const STEP_WORK: Duration = Duration::from_millis(10);

/// Part of the mean that each answer replaces, as a divisor.
const GAIN_DIVISOR: u32 = 16;

/// Times that answers hold a slot, by pool and route.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    means: FastMap<(PoolName, RouteName), Duration>,
}

impl AnswerTimes {
    /// Records the time from a complete answer's start to its end.
    pub fn record(&mut self, pool: &PoolName, route: &RouteName, time: Duration) {
        let mean = self
            .means
            .entry((pool.clone(), route.clone()))
            .or_insert(time);
        *mean = *mean * (GAIN_DIVISOR - 1) / GAIN_DIVISOR + time / GAIN_DIVISOR;
    }

    /// Returns the part of an engine's time that a request needs.
    ///
    /// `slots` is the number of requests that the engine processes at once, if it is known.
    #[must_use]
    pub fn work(
        &self,
        pool: &PoolName,
        route: &RouteName,
        prompt_time: Duration,
        slots: Option<u32>,
    ) -> Duration {
        let by_prompt = prompt_time + STEP_WORK;
        let known = self.means.get(&(pool.clone(), route.clone()));
        match (known, slots) {
            (Some(answer_time), Some(slots)) if slots > 0 => {
                by_prompt.max((prompt_time + *answer_time) / slots)
            }
            _ => by_prompt,
        }
    }

    /// Removes the routes that are no longer configured.
    pub fn retain(&mut self, is_known: impl Fn(&RouteName) -> bool) {
        self.means.retain(|(_pool, route), _mean| is_known(route));
    }
}
