//! Selection of the upstream for a request, with the wait that is expected there.
//!
//! Candidates are compared by queued prompt tokens, running requests, zone and recent failures.
//! Many hosts (15 to 20) choose at once without seeing each other's latest requests, so each takes
//! the better of two random candidates instead of the best of all.
//!
//! When demand for a model jumps, it has only one or two copies until more are loaded. Requests
//! beyond what these can start in time would delay all later ones, so callers use the expected wait
//! to reject them at once.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{
    AdapterName, FastSet, HostName, ModelName, Moment, PoolName, ZoneName, record,
};

use crate::{
    EngineRests, EngineSpeeds, HomeRegions, KnownUpstreams, PickCandidate, SoftwareVersion,
    Upstream, UpstreamHealth, UpstreamLoads,
};

/// Number of slots to which the cost of running requests is scaled.
///
/// Upstreams with few slots thus compare by their use.
const REFERENCE_SLOTS: u64 = 48;

record! {
    /// Cost factors for the comparison of upstreams.
    #[derive(Copy)]
    pub struct SelectionSettings {
        /// Cost of one running request, in microseconds of wait.
        #[serde(rename = "running")]
        pub running_cost: u64,
        /// Cost of an upstream in another zone, in microseconds of wait.
        #[serde(rename = "far")]
        pub zone_cost: u64,
        /// Cost of one recent failure, in microseconds of wait.
        #[serde(rename = "failure")]
        pub failure_cost: u64,
    }
}

impl Default for SelectionSettings {
    fn default() -> Self {
        Self {
            // Each request in a batch lengthens a decoding step of about 6 ms by 1 percent. The
            // cost is doubled, because running requests also announce further prompts.
            running_cost: 1_000,
            // A round trip between zones, plus the price of the traffic.
            zone_cost: 8_000,
            // Above any wait with which a request is still in time.
            failure_cost: 400_000,
        }
    }
}

/// Requirements of a request for its upstream.
#[derive(Clone, Debug)]
pub struct UpstreamQuery<'a> {
    /// Pool that must serve the request.
    pub pool: &'a PoolName,
    /// Model that must be loaded, if the request declares one.
    pub model: Option<&'a ModelName>,
    /// Adapter that must be loaded, if the request declares one.
    pub adapter: Option<&'a AdapterName>,
    /// Rank of the request; prompts of more urgent ranks are processed first.
    pub rank: u8,
    /// Upstreams that were tried for this request already.
    pub tried: &'a FastSet<HostName>,
    /// Regions in which the upstream must be, if the request has home regions.
    pub homes: Option<HomeRegions<'a>>,
    /// Version of the software that the upstream must run, if the request is bound to one.
    pub software: Option<&'a SoftwareVersion>,
}

impl UpstreamQuery<'_> {
    /// Returns whether an upstream can serve the request and was not tried.
    fn is_served_by(&self, upstream: &Upstream) -> bool {
        self.holds_model(upstream)
            && self.is_home(upstream)
            && self.runs_software(upstream)
            && !self.tried.contains(&upstream.id)
    }

    /// Returns whether an upstream runs the software that the request is bound to.
    fn runs_software(&self, upstream: &Upstream) -> bool {
        self.software
            .is_none_or(|software| upstream.software == *software)
    }

    /// Returns whether an upstream is in the request's home regions.
    fn is_home(&self, upstream: &Upstream) -> bool {
        self.homes.is_none_or(|homes| homes.allow(&upstream.zone))
    }

    fn holds_model(&self, upstream: &Upstream) -> bool {
        upstream.pool == *self.pool
            && self
                .model
                .is_none_or(|model| upstream.holds(model, self.adapter))
    }
}

/// An upstream with the wait that is expected there.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The selected upstream.
    pub upstream: Arc<Upstream>,
    /// Expected time until the upstream starts on the request.
    pub wait: Duration,
    /// Running requests on it, from all hosts.
    pub running: u32,
    cost: u64,
}

impl Candidate {
    /// Creates a candidate that the picker chose.
    #[must_use]
    pub fn picked(upstream: Arc<Upstream>, wait: Duration) -> Self {
        Self {
            upstream,
            wait,
            running: 0,
            cost: 0,
        }
    }

    /// Returns whether the upstream is expected to run the request at once.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.running < self.upstream.slots
    }
}

/// Reason why no upstream can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoUpstream {
    /// No upstream that is left holds the model.
    NotHeld,
    /// All that hold the model are in evacuated zones.
    Evacuated,
    /// All that hold the model asked this host for rest.
    Resting {
        /// Time until the first of them takes requests again.
        remaining: Duration,
    },
}

/// Selects upstreams from the state at one moment.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSelector<'a> {
    /// The known upstreams.
    pub upstreams: &'a KnownUpstreams,
    /// Load of each upstream.
    pub loads: &'a UpstreamLoads,
    /// Recent outcomes of each upstream.
    pub health: &'a UpstreamHealth,
    /// Upstreams that asked for rest.
    pub rests: &'a EngineRests,
    /// Learned speeds of the upstreams.
    pub speeds: &'a EngineSpeeds,
    /// Zone of this host.
    pub zone: &'a ZoneName,
    /// Cost factors of the comparison.
    pub settings: &'a SelectionSettings,
}

impl UpstreamSelector<'_> {
    /// Returns the better of two random candidates that hold the model.
    ///
    /// Ejected and suspected upstreams are used only if no other candidate is left, resting ones
    /// never. `draw` returns a random index below its argument.
    ///
    /// # Errors
    ///
    /// Returns [`NoUpstream`] if there is no candidate.
    pub fn choose(
        &self,
        query: &UpstreamQuery<'_>,
        draw: impl FnMut(usize) -> usize,
        now: Moment,
    ) -> Result<Candidate, NoUpstream> {
        let (all, first_rest) = self.candidates(query, now);
        let spares_cold = self.spares_cold(query, now);
        let is_healthy = |one: &&Candidate| {
            let is_spared = spares_cold && self.rests.cold.is_limited(&one.upstream, now);
            self.is_healthy(&one.upstream.id, now) && !is_spared
        };
        let healthy: Vec<_> = all.iter().filter(is_healthy).cloned().collect();
        let found = better_of_two(if healthy.is_empty() { all } else { healthy }, draw);
        found.ok_or(match first_rest {
            Some(remaining) => NoUpstream::Resting { remaining },
            None if self.evacuated_holders(query, now).next().is_some() => NoUpstream::Evacuated,
            None => NoUpstream::NotHeld,
        })
    }

    /// Returns whether an upstream answers this host and most others.
    fn is_healthy(&self, id: &HostName, now: Moment) -> bool {
        !self.health.is_ejected(id, now) && !self.loads.is_suspected(id)
    }

    /// Returns whether a request needs no cold upstream, since a warm one has a free slot.
    ///
    /// The few requests that cold ones take are left for those that would wait or be refused.
    fn spares_cold(&self, query: &UpstreamQuery<'_>, now: Moment) -> bool {
        let is_any_limited = self.rests.cold.counts().0 > 0;
        is_any_limited
            && self.holders(query, now).any(|upstream| {
                self.is_healthy(&upstream.id, now)
                    && !self.rests.cold.is_limited(upstream, now)
                    && self.rests.remaining(upstream, now).is_none()
                    && self.loads.total(&upstream.id).running < upstream.slots
            })
    }

    /// Returns the upstreams among which the picker chooses, the healthy ones if there are any.
    ///
    /// `holder` holds the model according to the request's host, which may know more.
    #[must_use]
    pub fn pick_candidates(
        &self,
        query: &UpstreamQuery<'_>,
        holder: &HostName,
        now: Moment,
    ) -> Vec<PickCandidate> {
        let mut all: Vec<_> = self.holders(query, now).collect();
        if all.iter().all(|upstream| upstream.id != *holder) {
            let mut available = self.upstreams.available(now);
            let known = available.find(|upstream| {
                upstream.id == *holder
                    && upstream.pool == *query.pool
                    && query.is_home(upstream)
                    && query.runs_software(upstream)
                    && !query.tried.contains(holder)
            });
            all.extend(known);
        }
        let any_healthy = all
            .iter()
            .any(|upstream| self.is_healthy(&upstream.id, now));
        let used = all
            .into_iter()
            .filter(|upstream| !any_healthy || self.is_healthy(&upstream.id, now));
        used.map(|upstream| PickCandidate {
            upstream: Arc::clone(upstream),
            cost: Duration::from_micros(self.zone_and_failure_cost(upstream, now)),
        })
        .collect()
    }

    /// Returns the holders of a request's model that this host does not use for it.
    #[must_use]
    pub fn excluded(&self, query: &UpstreamQuery<'_>, now: Moment) -> FastSet<HostName> {
        let spares_cold = self.spares_cold(query, now);
        let unusable = self.holders(query, now).filter(|upstream| {
            !self.is_healthy(&upstream.id, now)
                || self.rests.remaining(upstream, now).is_some()
                || (spares_cold && self.rests.cold.is_limited(upstream, now))
        });
        // The picker may not know of an evacuation yet.
        let unusable = unusable.chain(self.evacuated_holders(query, now));
        // The picker does not know the home regions.
        let foreign = self
            .upstreams
            .available(now)
            .filter(|upstream| !query.is_home(upstream) && query.holds_model(upstream));
        let unusable = unusable.chain(foreign);
        let unusable = unusable.map(|upstream| upstream.id.clone());
        unusable.chain(query.tried.iter().cloned()).collect()
    }

    /// Returns an upstream if the request may be sent to it.
    #[must_use]
    pub fn usable(
        &self,
        query: &UpstreamQuery<'_>,
        id: &HostName,
        now: Moment,
    ) -> Option<Arc<Upstream>> {
        let mut holders = self.holders(query, now);
        let found = holders.find(|upstream| upstream.id == *id)?;
        let is_resting = self.rests.remaining(found, now).is_some();
        (!is_resting).then(|| Arc::clone(found))
    }

    /// Returns the upstreams that hold a request's model and were not tried.
    fn holders(
        &self,
        query: &UpstreamQuery<'_>,
        now: Moment,
    ) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams
            .available(now)
            .filter(|upstream| query.is_served_by(upstream))
    }

    /// Returns the upstreams that would be holders if their zones were not evacuated.
    fn evacuated_holders(
        &self,
        query: &UpstreamQuery<'_>,
        now: Moment,
    ) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams
            .evacuated(now)
            .filter(|upstream| query.is_served_by(upstream))
    }

    fn zone_and_failure_cost(&self, upstream: &Upstream, now: Moment) -> u64 {
        let zone_cost = if upstream.zone == *self.zone {
            0
        } else {
            self.settings.zone_cost
        };
        let failures = self.health.failures(&upstream.id, now);
        zone_cost.saturating_add(failures * self.settings.failure_cost / 1_000)
    }

    /// Returns the candidates, and the shortest rest of the upstreams left out for it.
    fn candidates(
        &self,
        query: &UpstreamQuery<'_>,
        now: Moment,
    ) -> (Vec<Candidate>, Option<Duration>) {
        let mut found = Vec::new();
        let mut first_rest: Option<Duration> = None;
        for upstream in self.holders(query, now) {
            match self.rests.remaining(upstream, now) {
                Some(rest) => {
                    first_rest = Some(first_rest.map_or(rest, |first| first.min(rest)));
                }
                None => found.push(self.candidate(upstream, query.rank, now)),
            }
        }
        (found, first_rest)
    }

    fn candidate(&self, upstream: &Arc<Upstream>, rank: u8, now: Moment) -> Candidate {
        let load = self.loads.total(&upstream.id);
        let settings = self.settings;
        let wait = self
            .speeds
            .queue_time(&upstream.pool, &upstream.id, load.tokens_ahead(rank));
        let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        let running_cost = u64::from(load.running) * settings.running_cost * REFERENCE_SLOTS
            / u64::from(upstream.slots.max(1));
        Candidate {
            upstream: Arc::clone(upstream),
            wait,
            running: load.running,
            cost: wait_us
                .saturating_add(running_cost)
                .saturating_add(self.zone_and_failure_cost(upstream, now)),
        }
    }
}

fn better_of_two(
    mut found: Vec<Candidate>,
    mut draw: impl FnMut(usize) -> usize,
) -> Option<Candidate> {
    if found.len() > 2 {
        let first = draw(found.len());
        let last = found.len() - 1;
        found.swap(first, last);
        let second = draw(last);
        found.swap(second, last - 1);
        found.drain(..last - 1);
    }
    // Breaks ties at random: the order of candidates is the same on every host.
    if found.len() == 2 && draw(2) == 0 {
        found.swap(0, 1);
    }
    found.into_iter().min_by_key(|candidate| candidate.cost)
}
