//! Policies that choose one of the upstreams with room for a request.
//!
//! The choice weighs each upstream's load against the chance that it has the prompt's prefix
//! cached.

use std::cmp::Reverse;

use rand::{Rng, RngExt};

/// An upstream that meets a request's requirement and has room for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The upstream's position in the view.
    pub position: usize,
    /// This host's estimate of the requests running and waiting on it.
    pub load: u32,
    /// Maximum number of requests in its batch.
    pub slots: u32,
    /// Rendezvous hash weight of the upstream for the request's prefix.
    pub affinity: u64,
    /// Whether its cache events listed the request's prefix.
    pub cached: bool,
}

impl Candidate {
    /// Returns the load in thousandths of the slots.
    #[must_use]
    pub fn load_permille(&self) -> u64 {
        u64::from(self.load) * 1000 / u64::from(self.slots.max(1))
    }
}

/// A policy for the choice among candidates.
///
/// The candidates all have room. Either all are in this host's zone or none is.
pub trait ChoicePolicy {
    /// Returns one of the candidates, or `None` if there are none.
    fn choose(&mut self, candidates: &[Candidate]) -> Option<Candidate>;
}

/// Chooses the less loaded of two upstreams picked by the prefix.
///
/// The two have the highest rendezvous weights for the prefix. Requests with the same prefix
/// thus meet on two upstreams, where its cache is likely warm.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixTwoChoices;

/// Chooses the least loaded candidate.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

/// Chooses a candidate uniformly at random.
#[derive(Clone, Debug)]
pub struct Random<R> {
    rng: R,
}

impl<R: Rng> Random<R> {
    /// Makes a policy that draws from a random number generator.
    #[must_use]
    pub fn new(rng: R) -> Self {
        Self { rng }
    }
}

impl ChoicePolicy for PrefixTwoChoices {
    fn choose(&mut self, candidates: &[Candidate]) -> Option<Candidate> {
        let first = candidates.iter().max_by_key(|c| c.affinity)?;
        let second = candidates
            .iter()
            .filter(|c| c.position != first.position)
            .max_by_key(|c| c.affinity);
        match second {
            Some(second) if second.load_permille() < first.load_permille() => Some(*second),
            Some(_) | None => Some(*first),
        }
    }
}

impl ChoicePolicy for LeastLoaded {
    fn choose(&mut self, candidates: &[Candidate]) -> Option<Candidate> {
        candidates
            .iter()
            .min_by_key(|c| (c.load_permille(), Reverse(c.affinity)))
            .copied()
    }
}

impl<R: Rng> ChoicePolicy for Random<R> {
    fn choose(&mut self, candidates: &[Candidate]) -> Option<Candidate> {
        if candidates.is_empty() {
            return None;
        }
        let position = self.rng.random_range(0..candidates.len());
        candidates.get(position).copied()
    }
}
