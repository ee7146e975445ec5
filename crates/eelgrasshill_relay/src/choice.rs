//! Which upstream gets a request, and whether it can be served in time there.
//!
//! Load pattern: a model whose demand jumps has one or two copies until more are loaded. Requests
//! beyond what those can begin in time would make all later ones late as well, so they are
//! rejected at once. Elsewhere 15 to 20 hosts choose without seeing each other's latest sends, so
//! that the better of two drawn copies is taken rather than the best of all.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{
    AdapterName, FastSet, HostName, ModelName, Moment, PoolName, ZoneName, record,
};

use crate::{Fleet, Loads, Standings, Upstream};

record! {
    /// Figures by which upstreams are compared.
    #[derive(Copy)]
    pub struct ChoiceSettings {
        /// Prompt tokens that an engine reads in a millisecond.
        pub prefill: u64,
        /// What one running request adds to the wait, in microseconds.
        pub running: u64,
        /// What another zone adds to the wait, in microseconds.
        pub far: u64,
        /// What one recent failure adds to the wait, in microseconds.
        pub failure: u64,
    }
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        Self {
            // The engines' data sheet.
            prefill: 38,
            // A step of some 6 ms grows by a hundredth for each request in the batch; doubled,
            // since running requests also tell of prompts to come.
            running: 1_000,
            // A round trip between zones, and its price in bytes.
            far: 8_000,
            // One failure outweighs any wait that is in time.
            failure: 400_000,
        }
    }
}

/// What is asked of an upstream.
#[derive(Clone, Debug)]
pub struct Wanted<'a> {
    /// The pool.
    pub pool: &'a PoolName,
    /// The model, if one is declared.
    pub model: Option<&'a ModelName>,
    /// The adapter, if one is declared.
    pub adapter: Option<&'a AdapterName>,
    /// The request's rank: more urgent prompts are read first.
    pub rank: u8,
    /// Upstreams that this request already tried.
    pub tried: &'a FastSet<HostName>,
}

/// An upstream and the wait that is expected there.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Expected time until the request is begun.
    pub wait: Duration,
    /// Requests on it over all hosts.
    pub running: u32,
    cost: u64,
}

/// What a choice looks at.
#[derive(Clone, Copy, Debug)]
pub struct Picture<'a> {
    /// The upstreams.
    pub fleet: &'a Fleet,
    /// What runs on them.
    pub loads: &'a Loads,
    /// How they did lately.
    pub standings: &'a Standings,
    /// This host's zone.
    pub zone: &'a ZoneName,
    /// Weights of the comparison.
    pub settings: &'a ChoiceSettings,
}

impl Picture<'_> {
    /// Returns the upstream to send to: the better of two draws among those that hold the model.
    #[must_use]
    pub fn choose(
        &self,
        wanted: &Wanted<'_>,
        draw: impl FnMut(usize) -> usize,
        now: Moment,
    ) -> Option<Candidate> {
        let all = self.candidates(wanted, now);
        let sound = |one: &&Candidate| {
            let id = &one.upstream.id;
            !self.standings.is_aside(id, now) && !self.loads.is_doubted(id)
        };
        let sound: Vec<_> = all.iter().filter(sound).cloned().collect();
        better_of_two(if sound.is_empty() { all } else { sound }, draw)
    }

    fn candidates(&self, wanted: &Wanted<'_>, now: Moment) -> Vec<Candidate> {
        let mut found = Vec::new();
        for upstream in self.fleet.open(now) {
            let holds = wanted
                .model
                .is_none_or(|model| upstream.holds(model, wanted.adapter));
            if upstream.pool == *wanted.pool && holds && !wanted.tried.contains(&upstream.id) {
                found.push(self.candidate(upstream, wanted.rank, now));
            }
        }
        found
    }

    fn candidate(&self, upstream: &Arc<Upstream>, rank: u8, now: Moment) -> Candidate {
        let load = self.loads.total(&upstream.id);
        let settings = self.settings;
        let wait = load.ahead(rank) * 1_000 / settings.prefill.max(1);
        let far = if upstream.zone == *self.zone {
            0
        } else {
            settings.far
        };
        let failures = self.standings.failures(&upstream.id, now);
        let running = u64::from(load.running) * settings.running
            // Pools of few slots are compared by the share that is taken.
            * 48
            / u64::from(upstream.slots.max(1));
        Candidate {
            upstream: Arc::clone(upstream),
            wait: Duration::from_micros(wait),
            running: load.running,
            cost: wait + running + far + failures * settings.failure / 1_000,
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
    // Equal ones are taken in turn, not by their order here, which is the same on every host.
    if found.len() == 2 && draw(2) == 0 {
        found.swap(0, 1);
    }
    found.into_iter().min_by_key(|candidate| candidate.cost)
}
