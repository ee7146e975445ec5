//! Which of the upstreams that have room gets a request.

use std::cmp::Reverse;

use rand::{Rng, RngExt};

/// An upstream that holds what a request needs and has room for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its position in the view.
    pub position: usize,
    /// Requests that it holds by this host's estimate.
    pub load: u32,
    /// Most requests in its batch.
    pub slots: u32,
    /// Its rendezvous weight for the request's prefix.
    pub affinity: u64,
    /// Whether its cache events named the prefix.
    pub cached: bool,
}

impl Candidate {
    /// Returns the load in thousandths of its slots.
    #[must_use]
    pub fn fill(&self) -> u64 {
        u64::from(self.load) * 1000 / u64::from(self.slots.max(1))
    }
}

/// Chooses among candidates; they all have room and stand in one zone group.
pub trait ChoicePolicy {
    /// Returns one of the candidates, none only when there are none.
    fn choose(&mut self, candidates: &[Candidate]) -> Option<Candidate>;
}

/// The less loaded of the first two by rendezvous of the prefix.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixTwo;

/// The least loaded of all.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

/// Any, with equal chances.
#[derive(Clone, Debug)]
pub struct Random<R> {
    random: R,
}

impl<R: Rng> Random<R> {
    /// Chooses by a source of random numbers.
    #[must_use]
    pub fn new(random: R) -> Self {
        Self { random }
    }
}

impl ChoicePolicy for PrefixTwo {
    fn choose(&mut self, candidates: &[Candidate]) -> Option<Candidate> {
        let first = candidates.iter().max_by_key(|c| c.affinity)?;
        let second = candidates
            .iter()
            .filter(|c| c.position != first.position)
            .max_by_key(|c| c.affinity);
        match second {
            Some(second) if second.fill() < first.fill() => Some(*second),
            Some(_) | None => Some(*first),
        }
    }
}

impl ChoicePolicy for LeastLoaded {
    fn choose(&mut self, candidates: &[Candidate]) -> Option<Candidate> {
        candidates
            .iter()
            .min_by_key(|c| (c.fill(), Reverse(c.affinity)))
            .copied()
    }
}

impl<R: Rng> ChoicePolicy for Random<R> {
    fn choose(&mut self, candidates: &[Candidate]) -> Option<Candidate> {
        if candidates.is_empty() {
            return None;
        }
        let position = self.random.random_range(0..candidates.len());
        candidates.get(position).copied()
    }
}
