//! Shares one dispatcher among the traffic threads of a host.
//!
//! Each request holds a [`DispatchGuard`]. Dropping it, also when its task is cancelled,
//! frees the place in the queue or the slot on the upstream.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use eelgrasshill_domain::{FastMap, HostName, Moment, OrgName};
use eelgrasshill_route::{
    ConnectionOutcome, Decision, DispatchSettings, Dispatcher, Miss, PrefixTwoChoices, Refusal,
    RefusalCause, Ticket, TicketId, View,
};
use tokio::sync::oneshot;

use eelgrasshill_ports::lock;

/// Retry delay advised when a queue entry was lost without a decision.
const LOST_RETRY_AFTER: Duration = Duration::from_secs(1);

type DispatchResult = Result<HostName, Refusal>;

#[derive(Debug)]
struct DispatcherState {
    dispatcher: Dispatcher<PrefixTwoChoices>,
    waiters: FastMap<TicketId, oneshot::Sender<DispatchResult>>,
    misses: Vec<Miss>,
    last_id: u64,
}

/// The dispatcher of one host and the requests that wait for its decisions.
#[derive(Clone, Debug)]
pub struct SharedDispatcher {
    inner: Arc<Mutex<DispatcherState>>,
    view: Arc<ArcSwap<View>>,
}

/// Holds a request's place in a queue or slot on an upstream until dropped.
#[derive(Debug)]
pub struct DispatchGuard {
    dispatcher: SharedDispatcher,
    id: TicketId,
    result: Option<oneshot::Receiver<DispatchResult>>,
}

impl SharedDispatcher {
    /// Creates a dispatcher with empty queues.
    #[must_use]
    pub fn new(settings: DispatchSettings, view: Arc<ArcSwap<View>>) -> Self {
        let inner = DispatcherState {
            dispatcher: Dispatcher::new(settings, PrefixTwoChoices),
            waiters: FastMap::default(),
            misses: Vec::new(),
            last_id: 0,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            view,
        }
    }

    /// Returns a ticket ID that is unique on this host.
    #[must_use]
    pub fn next_id(&self) -> TicketId {
        let mut inner = lock(&self.inner);
        inner.last_id += 1;
        TicketId(inner.last_id)
    }

    /// Sets the organisations' weights for fair sharing.
    pub fn set_weights(&self, weights: FastMap<OrgName, u32>) {
        lock(&self.inner).dispatcher.set_weights(weights);
    }

    /// Sets the number of entry hosts in the zone, which share its upstreams.
    pub fn set_peers(&self, peers: u32) {
        lock(&self.inner).dispatcher.set_peers(peers);
    }

    /// Queues a request and starts it at once where an upstream is free.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when a queue is full or the request's time has passed.
    pub fn enqueue(&self, ticket: Ticket, now: Moment) -> Result<DispatchGuard, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let id = ticket.id;
        let mut inner = lock(&self.inner);
        inner.dispatcher.offer(ticket, now)?;
        inner.waiters.insert(id, sender);
        inner.dispatch_due(&self.view.load(), now);
        Ok(DispatchGuard {
            dispatcher: self.clone(),
            id,
            result: Some(receiver),
        })
    }

    /// Starts requests that have an upstream and expires those past their deadline.
    pub fn dispatch_due(&self, now: Moment) {
        lock(&self.inner).dispatch_due(&self.view.load(), now);
    }

    /// Records an upstream's health as observed from a request.
    pub fn observe(&self, host: &HostName, outcome: ConnectionOutcome, now: Moment) {
        lock(&self.inner).dispatcher.observe(host, outcome, now);
    }

    /// Takes the recorded misses: requirements that no upstream meets.
    #[must_use]
    pub fn take_misses(&self) -> Vec<Miss> {
        std::mem::take(&mut lock(&self.inner).misses)
    }

    /// Returns when [`Self::dispatch_due`] is next due without another event.
    #[must_use]
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        lock(&self.inner).dispatcher.next_wake(now)
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        lock(&self.inner).dispatcher.running()
    }
}

impl DispatcherState {
    fn dispatch_due(&mut self, view: &View, now: Moment) {
        loop {
            let decisions = self.dispatcher.poll(view, now);
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                self.deliver(decision, now);
            }
        }
    }

    /// Passes a decision to the task that waits for it, or stores a miss.
    fn deliver(&mut self, decision: Decision, now: Moment) {
        let (id, result) = match decision {
            Decision::Start { ticket, host } => (ticket.id, Ok(host)),
            Decision::Expired { ticket, refusal } => (ticket.id, Err(refusal)),
            Decision::Miss(miss) => {
                self.misses.push(miss);
                return;
            }
        };
        // Without a task that waits, the request is cancelled and its slot freed.
        let is_abandoned = match self.waiters.remove(&id) {
            Some(waiter) => waiter.send(result).is_err(),
            None => true,
        };
        if is_abandoned {
            self.dispatcher.cancel(id, now);
        }
    }
}

impl DispatchGuard {
    /// Waits until the request starts and returns its upstream.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the request expires in its queue.
    pub async fn wait_started(&mut self) -> Result<HostName, Refusal> {
        let lost = Refusal {
            cause: RefusalCause::Deadline,
            retry_after: LOST_RETRY_AFTER,
        };
        let Some(result) = self.result.take() else {
            return Err(lost);
        };
        result.await.unwrap_or(Err(lost))
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        let now = crate::BootClock.now();
        let mut inner = lock(&self.dispatcher.inner);
        inner.waiters.remove(&self.id);
        inner.dispatcher.cancel(self.id, now);
        inner.dispatch_due(&self.dispatcher.view.load(), now);
    }
}
