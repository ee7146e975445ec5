//! State shared by the traffic threads and the control thread of one host.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use eelgrasshill_control::Access;
use eelgrasshill_domain::{FastMap, HostName, Incarnation, Moment, RequestId, Tables};
use eelgrasshill_route::{
    ConcurrencyLimiter, ConcurrencySettings, Drain, DrainDecision, DrainEvent, DrainState,
    RetryBudget, RetrySettings, Timeouts, View,
};
use eelgrasshill_settings::EntrySettings;
use tokio::sync::mpsc;

use crate::{BootClock, ClaimCommand, Quota, RecentTraces, SharedDispatcher};
use eelgrasshill_ports::{ConnectionLimit, MemoryAccount, MemoryCharge, MemoryLimits, lock};

/// An immutable snapshot of the tables, replaced by the control thread.
#[derive(Debug, Default)]
pub struct TablesSnapshot {
    /// The API keys and routes derived from the tables.
    pub access: Access,
    /// The rows currently in force.
    pub tables: Tables,
    /// Whether any tables have been received since the start.
    pub ready: bool,
}

/// State shared by the threads of one host.
#[derive(Debug)]
pub struct Shared {
    /// The host's settings.
    pub settings: EntrySettings,
    /// The limit on callers' connections.
    pub connections: ConnectionLimit,
    /// The memory of callers' requests.
    pub memory: MemoryAccount,
    /// The incarnation of this process, which grows with each start.
    pub incarnation: Incarnation,
    /// The request timeouts of each class.
    pub timeouts: Timeouts,
    /// The tables in force.
    pub snapshot: ArcSwap<TablesSnapshot>,
    /// The latest known state of the upstreams.
    pub view: Arc<ArcSwap<View>>,
    /// The request queues.
    pub dispatcher: SharedDispatcher,
    /// The rate limiter.
    pub quota: Quota,
    /// The traces of recently ended requests.
    pub traces: RecentTraces,
    /// The status document served at `/status`.
    pub status: ArcSwap<serde_json::Value>,
    /// The queue of claim commands to the control thread.
    pub claim_commands: mpsc::Sender<ClaimCommand>,
    /// Tokens requested since the last demand report, by model.
    pub demand: Mutex<FastMap<String, u64>>,
    /// Limits the number of concurrent answers on each upstream.
    pub concurrency: Mutex<ConcurrencyLimiter>,
    drain: Mutex<Drain>,
    retries: Mutex<RetryBudget>,
    /// The [`Moment`] in milliseconds at which the tables were last known to be current;
    /// zero before that.
    tables_current_at_ms: AtomicU64,
    request_count: AtomicU64,
    stopped: AtomicBool,
    claims_idle: AtomicBool,
}

/// Counts a request as open until dropped.
#[derive(Debug)]
pub struct OpenRequest {
    shared: Arc<Shared>,
    /// Whether the connection should close after the answer.
    pub close_connection: bool,
    // Memory of the body, which the request keeps until its end.
    memory: Option<MemoryCharge>,
}

impl OpenRequest {
    /// Keeps memory charged until the request ends.
    pub(crate) fn hold_memory(&mut self, charge: MemoryCharge) {
        self.memory = Some(charge);
    }
}

impl Shared {
    /// Creates the state of a host that has just started.
    #[must_use]
    pub fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        view: Arc<ArcSwap<View>>,
        dispatcher: SharedDispatcher,
        quota: Quota,
        drain: Drain,
        claim_commands: mpsc::Sender<ClaimCommand>,
    ) -> Self {
        let connections = ConnectionLimit::new("callers", settings.bounds.max_connections);
        let memory = MemoryAccount::new(MemoryLimits::of_machine(settings.memory_mb))
            .with_reclaim(connections.clone());
        Self {
            settings,
            connections,
            memory,
            incarnation,
            timeouts: Timeouts::default(),
            snapshot: ArcSwap::default(),
            view,
            dispatcher,
            quota,
            traces: RecentTraces::default(),
            status: ArcSwap::default(),
            claim_commands,
            demand: Mutex::default(),
            concurrency: Mutex::new(ConcurrencyLimiter::new(ConcurrencySettings::default())),
            drain: Mutex::new(drain),
            retries: Mutex::new(RetryBudget::new(RetrySettings::default())),
            tables_current_at_ms: AtomicU64::new(0),
            request_count: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            claims_idle: AtomicBool::new(true),
        }
    }

    /// Returns a request ID that is unique across all hosts and restarts.
    ///
    /// # Panics
    ///
    /// Never: host names and numbers make a valid name.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{:x}-{number:x}", self.settings.name, self.incarnation.0);
        RequestId::new(&text).expect("host names and hexadecimal digits make a valid request ID")
    }

    /// Records that the tables were known to be current at `at`.
    pub fn set_tables_current(&self, at: Moment) {
        self.tables_current_at_ms.fetch_max(at.0, Ordering::Relaxed);
    }

    /// Returns the time since the tables were last known to be current.
    #[must_use]
    pub fn tables_age(&self, now: Moment) -> Duration {
        now.since(Moment(self.tables_current_at_ms.load(Ordering::Relaxed)))
    }

    /// Registers an open request, or returns `None` when the host refuses requests.
    #[must_use]
    pub fn open_request(self: &Arc<Self>, now: Moment) -> Option<OpenRequest> {
        let mut drain = lock(&self.drain);
        let close_connection = match drain.decision() {
            DrainDecision::Serve => false,
            DrainDecision::ServeAndClose => true,
            DrainDecision::Refuse => return None,
        };
        drain.step(DrainEvent::RequestStarted, now);
        Some(OpenRequest {
            shared: Arc::clone(self),
            close_connection,
            memory: None,
        })
    }

    /// Applies an event to the drain state machine and returns the new state.
    pub fn step_drain(&self, event: DrainEvent, now: Moment) -> DrainState {
        let mut drain = lock(&self.drain);
        drain.step(event, now);
        drain.state()
    }

    /// Returns whether the load balancer may send requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.snapshot.load().ready && lock(&self.drain).state() == DrainState::Ready
    }

    /// Returns whether a drain has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        lock(&self.drain).state() != DrainState::Ready
    }

    /// Calls a closure with the locked retry budget.
    pub fn with_retry_budget<T>(&self, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        work(&mut lock(&self.retries))
    }

    /// Tells the control thread to end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether the control thread should end.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Records whether all claims of this host are settled in the log.
    pub fn set_claims_idle(&self, idle: bool) {
        self.claims_idle.store(idle, Ordering::Relaxed);
    }

    /// Returns whether all claims of this host are settled in the log.
    #[must_use]
    pub fn are_claims_idle(&self) -> bool {
        self.claims_idle.load(Ordering::Relaxed)
    }

    /// Returns the address of an upstream, if it is in the tables.
    #[must_use]
    pub fn address_of(&self, host: &HostName) -> Option<std::net::SocketAddr> {
        self.snapshot
            .load()
            .tables
            .hosts
            .get(host)
            .map(|row| row.address)
    }

    /// Adds requested tokens to the demand reported to the placement controller.
    pub fn record_demand(&self, model: &str, tokens: u64) {
        let mut demand = lock(&self.demand);
        *demand.entry(model.to_owned()).or_default() += tokens;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        lock(&self.shared.drain).step(DrainEvent::RequestEnded, BootClock.now());
    }
}
