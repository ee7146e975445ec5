//! State that all threads of one gateway share.
//!
//! Tracks open requests, so that a leaving host closes only when none is left, and whether the host
//! knows enough to serve.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use eelgrasshill_domain::{FastSet, HostName, Incarnation, ModelName, Moment};
use eelgrasshill_ports::{
    AnswerMemory, BootClock, ConnectionLimit, MemoryAccount, MemoryLimits, lock,
};
use eelgrasshill_relay::{
    AnswerStart, Capacity, Era, Lease, MaxKeyAge, Peer, PlacementPlanner, ProbedParts,
    RequestOutcome, Upstream,
};
use eelgrasshill_settings::{GatewayBounds, GatewaySettings};
use tokio::sync::Notify;

use crate::codec::PlatformCodec;
use crate::gateway_state::GatewayState;
use crate::open_requests::OpenRequests;
use crate::pick_socket::PickSocket;
use crate::picked_request::PickGuard;
use crate::software_versions::SoftwareTracker;
use crate::telemetry;

/// Added to the count of open requests when the host closes.
const CLOSED_FLAG: u64 = 1 << 32;

/// Memory for answers, beyond the first part of each.
///
/// The buffers grow by doubling, so this is a sixth of the memory of the smallest hosts.
const ANSWER_MEMORY_BYTES: usize = 16 << 20;

/// Part of the grace time that is reserved for the process to exit.
const EXIT_TIME: Duration = Duration::from_millis(350);

/// How long a starting host waits for its registration before it reads those of the others.
///
/// Some times the 4 ms that the store takes for an answer.
const MAX_REGISTRATION_WAIT: Duration = Duration::from_millis(150);

/// What a host needs to give orders to engines.
#[derive(Debug)]
pub struct OrderState {
    /// Lease that permits giving orders.
    pub lease: Lease,
    /// Planner of the orders.
    pub planner: PlacementPlanner,
}

impl OrderState {
    fn new(settings: &GatewaySettings, incarnation: Incarnation) -> Self {
        let name = settings.name.clone();
        let handover_delay = settings.orders.handover_delay;
        let mut lease = Lease::new(name, settings.peer_address, incarnation, handover_delay);
        if settings.is_first_start {
            lease.note_first_start();
        }
        Self {
            lease,
            planner: PlacementPlanner::new(settings.orders.load_window),
        }
    }
}

/// Settings, locks and counters of one running gateway.
#[derive(Debug)]
pub struct Shared<C> {
    /// Settings as read at start; `bounds` gives the current bounds.
    pub settings: GatewaySettings,
    /// Number of this start of the process, higher than that of all earlier ones.
    pub incarnation: Incarnation,
    /// Registration of this host.
    pub self_peer: Peer,
    /// When this state was created, at the start of the process.
    pub started_at: Moment,
    /// Memory for answers that are not passed on yet.
    pub answer_memory: AnswerMemory,
    /// Memory of callers' requests and their answers.
    pub memory: MemoryAccount,
    /// Limit on the connections of callers.
    pub connections: ConnectionLimit,
    /// Wakes the task that plans and sends orders.
    pub order_wakeup: Notify,
    /// Starts the next round of the exchange early.
    pub exchange_wakeup: Notify,
    /// Software versions of the upstreams and of streams.
    pub(crate) software: SoftwareTracker,
    bounds: Mutex<GatewayBounds>,
    state: Mutex<GatewayState<C>>,
    order_state: Mutex<OrderState>,
    // Bound once the process has started.
    picks: OnceLock<PickSocket>,
    open_count: AtomicU64,
    open_requests: Mutex<OpenRequests>,
    // Wakes the requests without an answer when the host is about to close.
    closing: Notify,
    // Moment since which the host is leaving; 0 while it is not.
    leaving: AtomicU64,
    stopped: AtomicBool,
    registered: AtomicBool,
}

/// Guard that counts a request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest<C: PlatformCodec> {
    shared: Arc<Shared<C>>,
    number: u64,
}

impl<C: PlatformCodec> OpenRequest<C> {
    /// Sets the request's id, by which it is logged if it is cut.
    pub(crate) fn set_id(&self, id: &str) {
        lock(&self.shared.open_requests).set_id(self.number, id);
    }
}

impl<C: PlatformCodec> Drop for OpenRequest<C> {
    fn drop(&mut self) {
        lock(&self.shared.open_requests).remove(self.number);
        self.shared.open_count.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<C: PlatformCodec> Shared<C> {
    /// Creates the state of a host that has just started.
    #[must_use]
    pub fn new(settings: GatewaySettings) -> Self {
        let incarnation = BootClock.incarnation();
        let self_peer = Peer {
            host: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.peer_address,
            incarnation,
            capacity: Some(Capacity(settings.capacity)),
        };
        let connections = ConnectionLimit::new("callers", settings.max_connections);
        let started_at = BootClock.now();
        Self {
            software: SoftwareTracker::new(started_at),
            bounds: Mutex::new(settings.bounds),
            state: Mutex::new(GatewayState::new(&settings, self_peer.clone())),
            order_state: Mutex::new(OrderState::new(&settings, incarnation)),
            started_at,
            answer_memory: AnswerMemory::new(ANSWER_MEMORY_BYTES),
            memory: MemoryAccount::new(MemoryLimits::of_machine(settings.memory_mb))
                .with_reclaim(connections.clone()),
            connections,
            order_wakeup: Notify::new(),
            exchange_wakeup: Notify::new(),
            self_peer,
            incarnation,
            settings,
            picks: OnceLock::new(),
            open_count: AtomicU64::new(0),
            open_requests: Mutex::default(),
            closing: Notify::new(),
            leaving: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            registered: AtomicBool::new(false),
        }
    }

    /// Locks the host's state. The lock must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, GatewayState<C>> {
        lock(&self.state)
    }

    /// Locks the state of orders to engines.
    ///
    /// The lock must not be held across an await, nor together with that of the host's state.
    pub fn order_state(&self) -> MutexGuard<'_, OrderState> {
        lock(&self.order_state)
    }

    /// Returns the latest known era of the store.
    pub(crate) fn store_era(&self) -> Era {
        self.state().store_era.unwrap_or_default()
    }

    /// Notes an era of the store, as its answer or another host stated it.
    ///
    /// If the store was restored, this host stops sending orders at once.
    pub(crate) fn learn_era(&self, era: Era, source: &str) {
        let now = BootClock.now();
        let (before, config_confirmed_at) = {
            let mut state = self.state();
            let before = state.store_era;
            if before.is_some_and(|before| before >= era) {
                return;
            }
            state.store_era = Some(era);
            if before.is_some() {
                state.store_failure = Some(now);
            }
            (before, state.config_in_force.confirmed_at())
        };
        let was_held = {
            let mut order_state = self.order_state();
            let was_held = order_state.lease.is_held(now);
            order_state.lease.note_era(era);
            was_held
        };
        let Some(before) = before else {
            log::info!("store: era={era}, as {source} stated");
            return;
        };
        telemetry::count_store_restore();
        let config_age = config_confirmed_at.map_or(0, |at| now.since(at).as_millis());
        log::warn!(
            "store: restored, era={era} before={before}, as {source} stated; \
             lease held={was_held}, config age={config_age} ms; all topics are read again"
        );
        self.order_wakeup.notify_one();
    }

    /// Sets the socket for picks, which is bound once.
    pub(crate) fn set_picks(&self, picks: PickSocket) {
        if self.picks.set(picks).is_err() {
            log::error!("picks: the socket was bound already");
        }
    }

    /// Returns the socket for picks, if it is bound.
    pub(crate) fn picks(&self) -> Option<&PickSocket> {
        self.picks.get()
    }

    /// Returns the bounds in force, which settings changes may replace.
    #[must_use]
    pub fn bounds(&self) -> GatewayBounds {
        *lock(&self.bounds)
    }

    /// Replaces the bounds. Requests in progress keep the bounds that they started with.
    ///
    /// A leaving host keeps its grace time, since its SIGKILL follows the one at its SIGTERM.
    pub fn set_bounds(&self, mut bounds: GatewayBounds) {
        let mut current = lock(&self.bounds);
        if self.leaving().is_some() {
            bounds.termination_grace = current.termination_grace;
        }
        *current = bounds;
        drop(current);
        self.state().set_bounds(&bounds);
    }

    /// Counts a request as open; returns none if the host has closed.
    pub fn open_request(self: &Arc<Self>, peer: Option<SocketAddr>) -> Option<OpenRequest<C>> {
        let before = self.open_count.fetch_add(1, Ordering::AcqRel);
        let opened = OpenRequest {
            shared: Arc::clone(self),
            number: lock(&self.open_requests).insert(peer),
        };
        (before < CLOSED_FLAG).then_some(opened)
    }

    /// Returns the ids of the open requests, and of those whose answers these callers have not got.
    pub(crate) fn undelivered_ids(&self, unsent_peers: &[SocketAddr]) -> Vec<String> {
        lock(&self.open_requests).undelivered_ids(unsent_peers)
    }

    /// Returns how many callers' connections the server has not closed.
    pub(crate) fn open_connections(&self) -> usize {
        self.connections.open()
    }

    /// Closes the host if no request is open. Later requests are refused.
    #[must_use]
    pub fn close_if_empty(&self) -> bool {
        let closed =
            self.open_count
                .compare_exchange(0, CLOSED_FLAG, Ordering::AcqRel, Ordering::Acquire);
        closed.is_ok()
    }

    /// Returns how long after it began to leave the host closes, whether or not requests are open.
    pub(crate) fn max_drain_time(&self) -> Duration {
        self.bounds().termination_grace.saturating_sub(EXIT_TIME)
    }

    /// Ends the requests without an answer, which then get one that promises nothing.
    pub(crate) fn end_requests(&self) {
        self.closing.notify_waiters();
    }

    /// Waits until the host is about to close.
    pub(crate) async fn closing(&self) {
        self.closing.notified().await;
    }

    /// Closes the host even if requests are open.
    pub fn close(&self) {
        self.open_count.fetch_add(CLOSED_FLAG, Ordering::AcqRel);
    }

    /// Returns how many requests are open.
    #[must_use]
    pub fn open_requests(&self) -> u64 {
        self.open_count.load(Ordering::Relaxed) % CLOSED_FLAG
    }

    /// Marks the host as leaving from the given moment on.
    pub fn start_leaving(&self, now: Moment) {
        self.leaving.store(now.0.max(1), Ordering::Relaxed);
    }

    /// Returns since when the host is leaving; none if it is not.
    #[must_use]
    pub fn leaving(&self) -> Option<Moment> {
        match self.leaving.load(Ordering::Relaxed) {
            0 => None,
            at => Some(Moment(at)),
        }
    }

    /// Tells all tasks to end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether all tasks must end.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Notes that this host has tried to register itself.
    pub fn set_registered(&self) {
        self.registered.store(true, Ordering::Relaxed);
    }

    /// Returns whether this host may read the registrations.
    ///
    /// When all hosts start for the first time, each writes its own before, so that they find each
    /// other. A restarted host is mostly registered still.
    #[must_use]
    pub fn may_read_hosts(&self, now: Moment) -> bool {
        !self.settings.is_first_start
            || self.registered.load(Ordering::Relaxed)
            || now.since(self.started_at) >= MAX_REGISTRATION_WAIT
    }

    /// Returns whether the configuration is recent enough to accept callers' keys.
    #[must_use]
    pub fn accepts_keys(&self, state: &GatewayState<C>, now: Moment) -> bool {
        MaxKeyAge(self.bounds().max_key_age).allows(state.config_in_force.confirmed_at(), now)
    }

    /// Returns whether the load balancer may send requests to this host.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.leaving().is_none()
            && self.can_serve(BootClock.now())
            && !self.connections.is_exhausted()
    }

    /// Returns whether this host knows enough to serve requests.
    ///
    /// It needs a configuration, an upstream, the registered hosts and recent keys.
    #[must_use]
    pub fn can_serve(&self, now: Moment) -> bool {
        let state = self.state();
        state.tables.is_some()
            && !state.upstreams.is_empty()
            && state.hosts.confirmed_at().is_some()
            && self.accepts_keys(&state, now)
    }
}

/// Guard that counts a request on an upstream until it is dropped.
#[derive(Debug)]
pub struct LoadGuard<C: PlatformCodec> {
    shared: Arc<Shared<C>>,
    upstream: Arc<Upstream>,
    rank: u8,
    queued_tokens: u64,
    sent_at: Moment,
    // Prompt tokens that the upstream processes before those of this request.
    tokens_ahead: u64,
    outcome: Option<RequestOutcome>,
    pick: Option<PickGuard<C>>,
    probed_parts: ProbedParts,
}

impl<C: PlatformCodec> LoadGuard<C> {
    /// Counts a request that is about to be sent, with its prompt tokens as queued.
    #[must_use]
    pub fn new(
        shared: &Arc<Shared<C>>,
        upstream: &Arc<Upstream>,
        rank: u8,
        prompt_tokens: u64,
    ) -> Self {
        let tokens_ahead = {
            let loads = &mut shared.state().loads;
            let tokens_ahead = loads.total(&upstream.id).tokens_ahead(rank);
            loads.record_start(&upstream.id, rank, prompt_tokens);
            tokens_ahead
        };
        Self {
            rank,
            shared: Arc::clone(shared),
            upstream: Arc::clone(upstream),
            queued_tokens: prompt_tokens,
            sent_at: BootClock.now(),
            tokens_ahead,
            outcome: None,
            pick: None,
            probed_parts: ProbedParts::default(),
        }
    }

    /// Adds the parts that the request probes, which the guard ends.
    #[must_use]
    pub fn with_probes(mut self, probed_parts: ProbedParts) -> Self {
        self.probed_parts = probed_parts;
        self
    }

    /// Adds the guard of the place that the picker keeps for the request.
    #[must_use]
    pub fn with_pick(mut self, pick: Option<PickGuard<C>>) -> Self {
        self.pick = pick;
        self
    }

    /// Records that the answer has started, so the prompt has been read.
    pub fn record_answer_start(&mut self) {
        if let Some(pick) = &self.pick {
            pick.note_answer(BootClock.now().since(self.sent_at));
        }
        let queued_tokens = std::mem::take(&mut self.queued_tokens);
        self.shared
            .state()
            .loads
            .record_answer_start(&self.upstream.id, self.rank, queued_tokens);
    }

    /// Records the first event of a stream for a model, from which the upstream's speed is learned.
    pub fn record_first_event(&mut self, model: Option<&ModelName>) {
        // How much of the prompts ahead was already processed is not known.
        if let Some(model) = model.filter(|_model| self.tokens_ahead == 0) {
            self.shared.state().speeds.record(&AnswerStart {
                pool: &self.upstream.pool,
                engine: &self.upstream.id,
                model,
                tokens: self.queued_tokens,
                elapsed: BootClock.now().since(self.sent_at),
            });
        }
        self.record_answer_start();
    }

    /// Sets the outcome, which is recorded once, when the guard is dropped.
    pub fn set_outcome(&mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
        if let Some(pick) = &mut self.pick {
            pick.set_outcome(outcome);
        }
    }
}

impl<C: PlatformCodec> Drop for LoadGuard<C> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state
            .loads
            .record_answer_start(&self.upstream.id, self.rank, self.queued_tokens);
        state.loads.record_end(&self.upstream.id);
        state.crashing_parts.end_probes(&self.probed_parts);
        if let Some(outcome) = self.outcome {
            state
                .health
                .record_outcome(&self.upstream.id, outcome, BootClock.now());
        }
    }
}

/// Upstreams that are not tried again for a request.
pub type TriedUpstreams = FastSet<HostName>;
