//! Reports of models that requests wait for and no upstream has loaded.
//!
//! The same miss is reported at most once per interval, however many requests wait for it.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, PoolName, record};

use crate::{Requirement, Ticket};

record! {
    /// A requirement of waiting requests that no upstream of the pool meets.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Miss {
        /// Pool in which the requests wait.
        pub pool: PoolName,
        /// Requirement of the requests, for example a model.
        #[serde(rename = "work")]
        pub requirement: Requirement,
    }
}

/// Misses that are due to be reported, and those reported recently.
#[derive(Clone, Debug)]
pub(crate) struct Misses {
    interval: Duration,
    reported_at: FastMap<Miss, Moment>,
    due: Vec<Miss>,
}

impl Misses {
    pub(crate) fn new(interval: Duration) -> Self {
        Self {
            interval,
            reported_at: FastMap::default(),
            due: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, ticket: &Ticket, now: Moment) {
        let miss = Miss {
            pool: ticket.pool.clone(),
            requirement: ticket.requirement.clone(),
        };
        let last = self.reported_at.get(&miss);
        if last.is_some_and(|at| now.since(*at) < self.interval) {
            return;
        }
        self.reported_at.insert(miss.clone(), now);
        self.due.push(miss);
    }

    /// Returns the misses to report now.
    pub(crate) fn report(&mut self, now: Moment) -> impl Iterator<Item = Miss> {
        let interval = self.interval;
        self.reported_at
            .retain(|_miss, at| now.since(*at) < interval);
        self.due.drain(..)
    }

    /// Returns when a miss may be reported again.
    pub(crate) fn next_wake(&self) -> Option<Moment> {
        let due_times = self.reported_at.values().map(|at| at.after(self.interval));
        due_times.min()
    }
}
