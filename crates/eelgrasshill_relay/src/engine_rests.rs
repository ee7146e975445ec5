//! Engines that asked this host to send them nothing for some time.
//!
//! A full engine may refuse requests with a time to wait. It works, so the refusal says nothing
//! about its health. Requests go to the other engines until the time is over. Where all engines of a
//! model ask for rest, callers learn when the first of them takes requests again.
//!
//! The load pattern is a burst that fills an engine for all hosts at once. Hosts that come back in
//! the same moment would fill it again, so each adds a random part to the time.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment};

use crate::{ColdEngines, Upstream};

/// Longest rest that is granted; a faulty engine must not be left out for good.
const MAX_REST: Duration = Duration::from_hours(1);

/// Longest part that a host adds to a rest.
const MAX_SPREAD: Duration = Duration::from_millis(500);

/// The added part is at most the asked time divided by this.
const SPREAD_DIVISOR: u32 = 4;

#[derive(Clone, Copy, Debug)]
struct Rest {
    // Start time of the engine that asked; a restarted engine has not asked.
    started_ms: u64,
    until: Moment,
}

/// Engines that get no requests of this host for now: they asked for rest, or are cold.
#[derive(Clone, Debug, Default)]
pub struct EngineRests {
    rests: FastMap<HostName, Rest>,
    /// Cold engines, for which a host needs permits.
    pub cold: ColdEngines,
}

impl EngineRests {
    /// Creates the state of a host that has not been asked for rest.
    #[must_use]
    pub fn new(cold: ColdEngines) -> Self {
        Self {
            cold,
            ..Self::default()
        }
    }

    /// Notes that an upstream asked for rest, and returns how long it gets none.
    ///
    /// `draw` is a random number from 0 to 1, which spreads the hosts that come back.
    pub fn note(
        &mut self,
        upstream: &Upstream,
        asked: Duration,
        draw: f64,
        now: Moment,
    ) -> Duration {
        let asked = asked.min(MAX_REST);
        let spread = (asked / SPREAD_DIVISOR).min(MAX_SPREAD).mul_f64(draw);
        let until = now.after(asked + spread);
        let known = self.rests.get(&upstream.id);
        let known = known.filter(|known| known.started_ms == upstream.started_ms);
        // An earlier answer may have asked for longer.
        let until = known.map_or(until, |known| known.until.max(until));
        self.rests.insert(
            upstream.id.clone(),
            Rest {
                started_ms: upstream.started_ms,
                until,
            },
        );
        until.since(now)
    }

    /// Returns how long an upstream gets no requests; none if it rests no longer.
    #[must_use]
    pub fn remaining(&self, upstream: &Upstream, now: Moment) -> Option<Duration> {
        let rest = self.rests.get(&upstream.id);
        let rest = rest.filter(|rest| rest.started_ms == upstream.started_ms && now < rest.until);
        let cold = self.cold.remaining(upstream, now);
        rest.map(|rest| rest.until.since(now)).max(cold)
    }

    /// Removes rests that are over.
    pub fn expire(&mut self, now: Moment) {
        self.rests.retain(|_id, rest| now < rest.until);
    }
}
