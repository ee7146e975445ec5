//! Dispatcher of one entry host: queues requests and starts them on upstreams with room.
//!
//! The caller passes in time, views and connection outcomes, and carries out the decisions. So the
//! dispatcher itself does no input or output and can be tested step by step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshill_domain::{Class, FastMap, HostName, Moment, OrgName, PoolName};

use crate::health::ConnectionOutcome;
use crate::miss::Misses;
use crate::pool::{DispatchPass, PoolQueue};
use crate::queue::{Payer, QueueEntry};
use crate::tracker::UpstreamTracker;
use crate::{ChoicePolicy, DispatchSettings, Miss, Refusal, RefusalCause, Ticket, TicketId, View};

/// Shortest delay that a refused caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Longest delay that a refused caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Decision that the entry host has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to an upstream.
    Start {
        /// Ticket of the request, which now counts as running.
        ticket: Ticket,
        /// Upstream to send it to.
        host: HostName,
    },
    /// Refuse the request, which timed out in its queue and was never started.
    Expired {
        /// Ticket of the request, which the dispatcher has dropped.
        ticket: Ticket,
        /// Reason for the refusal, and when to retry.
        refusal: Refusal,
    },
    /// Tell the placement that requests wait for a model that no upstream has loaded.
    Miss(Miss),
}

/// State that a ticket was in when it was cancelled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// It was waiting and was never started.
    Waiting,
    /// It was running on this upstream.
    Running(HostName),
    /// No ticket with this id was waiting or running.
    Unknown,
}

/// Where a waiting ticket is queued.
#[derive(Clone, Debug)]
struct QueuedTicket {
    pool: PoolName,
    class: Class,
    payer: Payer,
    seq: u64,
}

/// Where a running ticket was started, and from which queue.
#[derive(Clone, Debug)]
struct RunningTicket {
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
    queued: FastMap<TicketId, QueuedTicket>,
    running: FastMap<TicketId, RunningTicket>,
    expiries: BTreeSet<(Moment, TicketId)>,
    misses: Misses,
    tracker: UpstreamTracker,
    seq: u64,
}

impl<P: ChoicePolicy> Dispatcher<P> {
    /// Makes a dispatcher with empty queues.
    #[must_use]
    pub fn new(settings: DispatchSettings, policy: P) -> Self {
        Self {
            settings,
            policy,
            weights: FastMap::default(),
            pools: BTreeMap::new(),
            queued: FastMap::default(),
            running: FastMap::default(),
            expiries: BTreeSet::new(),
            misses: Misses::new(settings.miss_interval),
            tracker: UpstreamTracker::default(),
            seq: 0,
        }
    }

    /// Replaces the weights of the organisations; those left out have weight one.
    pub fn set_weights(&mut self, weights: FastMap<OrgName, u32>) {
        self.weights = weights;
    }

    /// Sets the number of entry hosts that share this zone's upstreams, including this one.
    pub fn set_peers(&mut self, peers: u32) {
        self.settings.peers = peers.max(1);
    }

    /// Queues a ticket.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if a queue is full, the ticket's deadline has passed, or a ticket with
    /// its id is waiting or running.
    pub fn offer(&mut self, ticket: Ticket, now: Moment) -> Result<(), Refusal> {
        let timeouts = self.settings.timeouts.of(ticket.class);
        let expires_at = ticket.deadline.min(now.after(timeouts.queue_wait));
        let queue = self.pools.entry(ticket.pool.clone()).or_default();
        let waiting = queue.class(ticket.class).count();
        let own_waiting = queue.class(ticket.class).count_of(&ticket.organisation);
        let cause = if self.queued.contains_key(&ticket.id) || self.running.contains_key(&ticket.id)
        {
            Some(RefusalCause::Duplicate)
        } else if expires_at <= now {
            Some(RefusalCause::Deadline)
        } else if own_waiting >= self.settings.organisation_limit {
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
        let queued_ticket = QueuedTicket {
            pool: ticket.pool.clone(),
            class: ticket.class,
            payer: ticket.organisation.clone(),
            seq: self.seq,
        };
        self.queued.insert(ticket.id, queued_ticket);
        self.expiries.insert((expires_at, ticket.id));
        let entry = QueueEntry {
            ticket,
            offered_at: now,
            expires_at,
            found_holder: false,
        };
        queue.push(self.seq, entry);
        Ok(())
    }

    /// Starts all tickets that can start, and expires those whose time has passed.
    ///
    /// Has to be called after each offer, finish and new view, and at [`Self::next_wake`].
    pub fn poll(&mut self, view: &View, now: Moment) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.tracker.prune(view);
        self.expire(now, &mut decisions);
        let Self {
            settings,
            policy,
            weights,
            pools,
            misses,
            tracker,
            ..
        } = self;
        let mut starts = Vec::new();
        for queue in pools.values_mut() {
            let mut pass = DispatchPass {
                settings,
                weights,
                policy,
                misses,
                tracker,
                view,
                now,
            };
            pass.run(queue, &mut starts);
        }
        for (entry, host) in starts {
            let id = entry.ticket.id;
            self.queued.remove(&id);
            self.expiries.remove(&(entry.expires_at, id));
            let ticket = entry.ticket;
            let running = RunningTicket {
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

    /// Frees the slot of a running ticket, and returns whether it was running.
    pub fn finish(&mut self, ticket: TicketId, now: Moment) -> bool {
        self.end_running(ticket, now).is_some()
    }

    /// Drops a ticket whose caller has disconnected.
    pub fn cancel(&mut self, ticket: TicketId, now: Moment) -> Cancelled {
        if self.remove(ticket).is_some() {
            return Cancelled::Waiting;
        }
        self.end_running(ticket, now)
            .map_or(Cancelled::Unknown, Cancelled::Running)
    }

    /// Records the outcome of a connection to an upstream.
    pub fn observe(&mut self, host: &HostName, outcome: ConnectionOutcome, now: Moment) {
        self.tracker.health.observe(host, outcome, now);
    }

    /// Returns when [`Self::poll`] is due if nothing else happens before.
    #[must_use]
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        let expiry = self.expiries.first().map(|(at, _ticket)| *at);
        let ageing = self
            .pools
            .values()
            .filter_map(|queue| queue.next_aged(&self.settings, now))
            .min();
        let probe_time = self.tracker.health.next_wake(now);
        let probe_time = probe_time.filter(|_at| !self.queued.is_empty());
        let miss = self.misses.next_wake();
        [expiry, ageing, probe_time, miss]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the number of waiting tickets in a class of a pool.
    #[must_use]
    pub fn waiting(&self, pool: &PoolName, class: Class) -> usize {
        self.pools.get(pool).map_or(0, |q| q.class(class).count())
    }

    /// Returns the number of running tickets.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Frees the slot of a running ticket and returns its upstream.
    fn end_running(&mut self, ticket: TicketId, now: Moment) -> Option<HostName> {
        let ended = self.running.remove(&ticket)?;
        self.tracker.finish(&ended.host, ticket, now);
        if let Some(queue) = self.pools.get_mut(&ended.pool) {
            queue.finish(ended.class, &ended.payer);
        }
        Some(ended.host)
    }

    fn remove(&mut self, ticket: TicketId) -> Option<QueueEntry> {
        let queued_ticket = self.queued.remove(&ticket)?;
        let queue = self.pools.get_mut(&queued_ticket.pool)?;
        let entry = queue.remove(queued_ticket.class, &queued_ticket.payer, queued_ticket.seq)?;
        self.expiries.remove(&(entry.expires_at, ticket));
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
                .map_or(MIN_RETRY_AFTER, |queue| retry_after(queue, now));
            let cause = if entry.found_holder {
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

/// Returns the delay after which a retry has a chance: the time until the pool's queue is empty.
fn retry_after(queue: &PoolQueue, now: Moment) -> Duration {
    queue
        .drain_time(now)
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
