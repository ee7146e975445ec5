//! The queues of one entry host and the start of what waits in them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshill_domain::{Class, FastMap, HostName, Moment, OrgName, PoolName};

use crate::fleet::Fleet;
use crate::health::Observation;
use crate::miss::Misses;
use crate::pool::{Pick, PoolQueue};
use crate::queue::{Entry, Payer};
use crate::{ChoicePolicy, DispatchSettings, Miss, Refusal, RefusalCause, Ticket, TicketId, View};

/// Shortest advice on when to come back.
const MIN_RETRY: Duration = Duration::from_millis(250);

/// Longest advice on when to come back.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// What the entry host has to do with a ticket, or to tell the placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to an upstream.
    Start {
        /// The ticket, which now counts as running.
        ticket: Ticket,
        /// The upstream.
        host: HostName,
    },
    /// Refuse the request; it was never started.
    Expired {
        /// The ticket, which is forgotten.
        ticket: Ticket,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Tell the placement that requests wait for work that no upstream holds.
    Miss(Miss),
}

/// What a cancelled ticket was doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// It waited and never started.
    Waiting,
    /// It ran on this upstream.
    Running(HostName),
    /// No such ticket was open.
    Unknown,
}

#[derive(Clone, Debug)]
struct Place {
    pool: PoolName,
    class: Class,
    payer: Payer,
    seq: u64,
}

#[derive(Clone, Debug)]
struct Running {
    host: HostName,
    pool: PoolName,
    class: Class,
    payer: Payer,
}

/// Queues tickets and starts them on upstreams that have room.
#[derive(Clone, Debug)]
pub struct Dispatcher<P> {
    settings: DispatchSettings,
    policy: P,
    weights: FastMap<OrgName, u32>,
    pools: BTreeMap<PoolName, PoolQueue>,
    places: FastMap<TicketId, Place>,
    running: FastMap<TicketId, Running>,
    expiries: BTreeSet<(Moment, TicketId)>,
    misses: Misses,
    fleet: Fleet,
    seq: u64,
}

impl<P: ChoicePolicy> Dispatcher<P> {
    /// Starts with empty queues.
    #[must_use]
    pub fn new(settings: DispatchSettings, policy: P) -> Self {
        Self {
            settings,
            policy,
            weights: FastMap::default(),
            pools: BTreeMap::new(),
            places: FastMap::default(),
            running: FastMap::default(),
            expiries: BTreeSet::new(),
            misses: Misses::new(settings.miss_interval),
            fleet: Fleet::default(),
            seq: 0,
        }
    }

    /// Replaces the weights of the organisations; one that is not named has weight one.
    pub fn set_weights(&mut self, weights: FastMap<OrgName, u32>) {
        self.weights = weights;
    }

    /// Sets how many entry hosts share the upstreams of this zone, this one included.
    pub fn set_peers(&mut self, peers: u32) {
        self.settings.peers = peers.max(1);
    }

    /// Queues a ticket.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when a queue is full, its time has passed or its id is open.
    pub fn offer(&mut self, ticket: Ticket, now: Moment) -> Result<(), Refusal> {
        let bounds = self.settings.bounds.of(ticket.class);
        let expires = ticket.deadline.min(now.after(bounds.queue_wait));
        let queue = self.pools.entry(ticket.pool.clone()).or_default();
        let waiting = queue.class(ticket.class).count();
        let own = queue.class(ticket.class).count_of(&ticket.organisation);
        let cause = if self.places.contains_key(&ticket.id) || self.running.contains_key(&ticket.id)
        {
            Some(RefusalCause::Duplicate)
        } else if expires <= now {
            Some(RefusalCause::Deadline)
        } else if own >= self.settings.organisation_limit {
            Some(RefusalCause::OrganisationFull)
        } else if waiting >= self.settings.class_limit {
            Some(RefusalCause::ClassFull)
        } else {
            None
        };
        if let Some(cause) = cause {
            let retry_after = retry_after(queue, now);
            return Err(Refusal { cause, retry_after });
        }
        self.seq += 1;
        let place = Place {
            pool: ticket.pool.clone(),
            class: ticket.class,
            payer: ticket.organisation.clone(),
            seq: self.seq,
        };
        self.places.insert(ticket.id, place);
        self.expiries.insert((expires, ticket.id));
        let entry = Entry {
            ticket,
            offered: now,
            expires,
            held: false,
        };
        queue.push(self.seq, entry);
        Ok(())
    }

    /// Decides on all tickets that can start or have expired.
    ///
    /// Call it after each offer, finish and new view, and at [`Self::next_wake`].
    pub fn poll(&mut self, view: &View, now: Moment) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.fleet.prune(view);
        self.expire(now, &mut decisions);
        let Self {
            settings,
            policy,
            weights,
            pools,
            misses,
            fleet,
            ..
        } = self;
        let mut picks = Vec::new();
        for queue in pools.values_mut() {
            let mut pick = Pick {
                settings,
                weights,
                policy,
                misses,
                fleet,
                view,
                now,
            };
            pick.run(queue, &mut picks);
        }
        for (entry, host) in picks {
            let id = entry.ticket.id;
            self.places.remove(&id);
            self.expiries.remove(&(entry.expires, id));
            let ticket = entry.ticket;
            let running = Running {
                host: host.clone(),
                pool: ticket.pool.clone(),
                class: ticket.class,
                payer: ticket.organisation.clone(),
            };
            self.running.insert(id, running);
            decisions.push(Decision::Start { ticket, host });
        }
        decisions.extend(self.misses.report(now).map(Decision::Miss));
        decisions
    }

    /// Frees what a running ticket used; returns whether it ran.
    pub fn finish(&mut self, ticket: TicketId, now: Moment) -> bool {
        self.end(ticket, now).is_some()
    }

    /// Drops a ticket whose caller went away.
    pub fn cancel(&mut self, ticket: TicketId, now: Moment) -> Cancelled {
        if self.remove(ticket).is_some() {
            return Cancelled::Waiting;
        }
        self.end(ticket, now)
            .map_or(Cancelled::Unknown, Cancelled::Running)
    }

    /// Takes in what this host's traffic showed of an upstream.
    pub fn observe(&mut self, host: &HostName, seen: Observation, now: Moment) {
        self.fleet.health.observe(host, seen, now);
    }

    /// Returns when [`Self::poll`] may decide something without another event.
    #[must_use]
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        let expiry = self.expiries.first().map(|(at, _ticket)| *at);
        let ageing = self
            .pools
            .values()
            .filter_map(|queue| queue.next_aged(&self.settings, now))
            .min();
        let lapse = self.fleet.health.next_wake(now);
        let lapse = lapse.filter(|_at| !self.places.is_empty());
        let miss = self.misses.next_wake();
        [expiry, ageing, lapse, miss].into_iter().flatten().min()
    }

    /// Returns the number of tickets that wait in a class of a pool.
    #[must_use]
    pub fn waiting(&self, pool: &PoolName, class: Class) -> usize {
        self.pools.get(pool).map_or(0, |q| q.class(class).count())
    }

    /// Returns the number of tickets that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Frees what a running ticket used and returns its upstream.
    fn end(&mut self, ticket: TicketId, now: Moment) -> Option<HostName> {
        let ended = self.running.remove(&ticket)?;
        self.fleet.finish(&ended.host, ticket, now);
        if let Some(queue) = self.pools.get_mut(&ended.pool) {
            queue.finish(ended.class, &ended.payer);
        }
        Some(ended.host)
    }

    fn remove(&mut self, ticket: TicketId) -> Option<Entry> {
        let place = self.places.remove(&ticket)?;
        let queue = self.pools.get_mut(&place.pool)?;
        let entry = queue.remove(place.class, &place.payer, place.seq)?;
        self.expiries.remove(&(entry.expires, ticket));
        Some(entry)
    }

    fn expire(&mut self, now: Moment, decisions: &mut Vec<Decision>) {
        while let Some((at, id)) = self.expiries.first().copied() {
            if now < at {
                return;
            }
            self.expiries.pop_first();
            let Some(entry) = self.remove(id) else {
                continue;
            };
            let retry_after = self
                .pools
                .get(&entry.ticket.pool)
                .map_or(MIN_RETRY, |queue| retry_after(queue, now));
            let cause = if entry.held {
                RefusalCause::Deadline
            } else {
                RefusalCause::NoUpstream
            };
            let ticket = entry.ticket;
            let refusal = Refusal { cause, retry_after };
            decisions.push(Decision::Expired { ticket, refusal });
        }
    }
}

/// Returns how long the pool's queue takes to empty at its recent pace.
fn retry_after(queue: &PoolQueue, now: Moment) -> Duration {
    queue.drain_time(now).clamp(MIN_RETRY, MAX_RETRY)
}
