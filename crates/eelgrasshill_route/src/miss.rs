//! Work that requests wait for and no upstream holds.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, PoolName, record};

use crate::{Ticket, Work};

record! {
    /// Requests wait for work that no upstream of the pool holds.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Miss {
        /// The pool.
        pub pool: PoolName,
        /// What is asked for.
        pub work: Work,
    }
}

/// Which misses are due and which were reported of late.
#[derive(Clone, Debug)]
pub(crate) struct Misses {
    interval: Duration,
    reported: FastMap<Miss, Moment>,
    due: Vec<Miss>,
}

impl Misses {
    pub(crate) fn new(interval: Duration) -> Self {
        Self {
            interval,
            reported: FastMap::default(),
            due: Vec::new(),
        }
    }

    pub(crate) fn note(&mut self, ticket: &Ticket, now: Moment) {
        let miss = Miss {
            pool: ticket.pool.clone(),
            work: ticket.work.clone(),
        };
        let last = self.reported.get(&miss);
        if last.is_some_and(|at| now.since(*at) < self.interval) {
            return;
        }
        self.reported.insert(miss.clone(), now);
        self.due.push(miss);
    }

    /// Returns the misses to report now, each once in an interval.
    pub(crate) fn report(&mut self, now: Moment) -> impl Iterator<Item = Miss> {
        let interval = self.interval;
        self.reported.retain(|_miss, at| now.since(*at) < interval);
        self.due.drain(..)
    }

    /// Returns when a miss may be reported again.
    pub(crate) fn next_wake(&self) -> Option<Moment> {
        let again = self.reported.values().map(|at| at.after(self.interval));
        again.min()
    }
}
