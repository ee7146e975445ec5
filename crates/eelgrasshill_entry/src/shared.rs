//! What the traffic threads and the control thread of one host share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use eelgrasshill_control::Access;
use eelgrasshill_domain::{FastMap, HostName, Incarnation, Moment, RequestId, Tables};
use eelgrasshill_route::{
    Admission, ConcurrencyLimiter, ConcurrencySettings, Drain, DrainEvent, DrainState, RetryBudget,
    RetrySettings, Timeouts, View,
};
use eelgrasshill_settings::EntrySettings;
use tokio::sync::mpsc;

use crate::{BootClock, ClaimCommand, Journal, Quota, SharedDispatcher};
use eelgrasshill_ports::lock;

/// An immutable picture of the tables, replaced by the control thread.
#[derive(Debug, Default)]
pub struct TablesSnapshot {
    /// Who may reach what.
    pub access: Access,
    /// The rows in force.
    pub tables: Tables,
    /// Whether any tables were received.
    pub ready: bool,
}

/// What the threads of one host share.
#[derive(Debug)]
pub struct Shared {
    /// The host's settings.
    pub settings: EntrySettings,
    /// The number of this start of the host.
    pub incarnation: Incarnation,
    /// Time bounds of the classes.
    pub timeouts: Timeouts,
    /// The tables in force.
    pub snapshot: ArcSwap<TablesSnapshot>,
    /// What is known of the upstreams.
    pub view: Arc<ArcSwap<View>>,
    /// The queues.
    pub dispatch: SharedDispatcher,
    /// Rate and burst.
    pub quota: Quota,
    /// The latest requests.
    pub journal: Journal,
    /// How the host's control thread sees itself.
    pub status: ArcSwap<serde_json::Value>,
    /// Where claims of non-idempotent calls are demand for.
    pub claims: mpsc::Sender<ClaimCommand>,
    /// Tokens that callers of this host demand for, by model and adapter.
    pub demand: Mutex<FastMap<String, u64>>,
    /// How many answers each upstream can run in time.
    pub concurrency: Mutex<ConcurrencyLimiter>,
    drain: Mutex<Drain>,
    retries: Mutex<RetryBudget>,
    current_at: AtomicU64,
    request_count: AtomicU64,
    stopped: AtomicBool,
    claims_idle: AtomicBool,
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    shared: Arc<Shared>,
    /// Whether the connection must close after the answer.
    pub close_connection: bool,
}

impl Shared {
    /// Joins the parts of a host that has just started.
    #[must_use]
    pub fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        view: Arc<ArcSwap<View>>,
        dispatch: SharedDispatcher,
        quota: Quota,
        drain: Drain,
        claims: mpsc::Sender<ClaimCommand>,
    ) -> Self {
        Self {
            settings,
            incarnation,
            timeouts: Timeouts::default(),
            snapshot: ArcSwap::default(),
            view,
            dispatch,
            quota,
            journal: Journal::default(),
            status: ArcSwap::default(),
            claims,
            demand: Mutex::default(),
            concurrency: Mutex::new(ConcurrencyLimiter::new(ConcurrencySettings::default())),
            drain: Mutex::new(drain),
            retries: Mutex::new(RetryBudget::new(RetrySettings::default())),
            current_at: AtomicU64::new(0),
            request_count: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            claims_idle: AtomicBool::new(true),
        }
    }

    /// Returns an id for a new request, unique over all hosts and starts.
    ///
    /// # Panics
    ///
    /// Never: host names and numbers make a valid name.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{:x}-{number:x}", self.settings.name, self.incarnation.0);
        RequestId::new(&text).expect("host names and hexadecimal digits make a name")
    }

    /// Notes that the tables were current at a moment.
    pub fn set_tables_current(&self, at: Moment) {
        self.current_at.fetch_max(at.0, Ordering::Relaxed);
    }

    /// Returns the time since the tables were close_connection known to be current.
    #[must_use]
    pub fn tables_age(&self, now: Moment) -> Duration {
        now.since(Moment(self.current_at.load(Ordering::Relaxed)))
    }

    /// Lets a request in, unless the host has stopped serving.
    #[must_use]
    pub fn open_request(self: &Arc<Self>, now: Moment) -> Option<OpenRequest> {
        let mut drain = lock(&self.drain);
        let close_connection = match drain.admission() {
            Admission::Serve => false,
            Admission::ServeAndClose => true,
            Admission::Refuse => return None,
        };
        drain.step(DrainEvent::RequestStarted, now);
        Some(OpenRequest {
            shared: Arc::clone(self),
            close_connection,
        })
    }

    /// Takes a step of the shutdown and returns the state after it.
    pub fn step_drain(&self, event: DrainEvent, now: Moment) -> DrainState {
        let mut drain = lock(&self.drain);
        drain.step(event, now);
        drain.state()
    }

    /// Returns whether the balancer may send requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.snapshot.load().ready && lock(&self.drain).state() == DrainState::Ready
    }

    /// Returns whether the host is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        lock(&self.drain).state() != DrainState::Ready
    }

    /// Works on the budget of retries.
    pub fn with_retries<T>(&self, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        work(&mut lock(&self.retries))
    }

    /// Notes that the control thread must end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether the control thread must end.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Notes whether all claims of this host are settled in the log.
    pub fn set_claims_idle(&self, idle: bool) {
        self.claims_idle.store(idle, Ordering::Relaxed);
    }

    /// Returns whether all claims of this host are settled in the log.
    #[must_use]
    pub fn are_claims_idle(&self) -> bool {
        self.claims_idle.load(Ordering::Relaxed)
    }

    /// Returns where an upstream listens.
    #[must_use]
    pub fn address_of(&self, host: &HostName) -> Option<std::net::SocketAddr> {
        self.snapshot
            .load()
            .tables
            .hosts
            .get(host)
            .map(|row| row.address)
    }

    /// Counts tokens that a caller demand for, for the placement.
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
