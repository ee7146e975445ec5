//! What the threads of one gateway share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use eelgrasshill_domain::{FastSet, HostName, Incarnation, Moment};
use eelgrasshill_ports::{BootClock, lock};
use eelgrasshill_relay::{Capacity, Lease, MaxKeyAge, Outcome, Peer, Placer};
use eelgrasshill_settings::{GatewayBounds, GatewaySettings};
use tokio::sync::Notify;

use crate::desk::Desk;
use crate::wire::Wire;

/// Added to the number of open requests once the host has closed.
const CLOSED: u64 = 1 << 32;

/// One host's part in orders to engines.
#[derive(Debug)]
pub struct Hold {
    /// Whether it may give them.
    pub lease: Lease,
    /// Which it would give.
    pub placer: Placer,
}

impl Hold {
    fn new(settings: &GatewaySettings, incarnation: Incarnation) -> Self {
        let name = settings.name.clone();
        let handover_delay = settings.orders.handover_delay;
        Self {
            lease: Lease::new(name, settings.peer, incarnation, handover_delay),
            placer: Placer::new(settings.orders.window),
        }
    }
}

/// What the threads of one gateway share.
#[derive(Debug)]
pub struct Shared<W> {
    /// The host's settings.
    pub settings: GatewaySettings,
    /// The number of this start of the host.
    pub incarnation: Incarnation,
    /// How this host registers itself.
    pub me: Peer,
    /// When the process started.
    pub began: Moment,
    /// Wakes the giver of orders.
    pub wake: Notify,
    bounds: Mutex<GatewayBounds>,
    desk: Mutex<Desk<W>>,
    hold: Mutex<Hold>,
    open: AtomicU64,
    leaving: AtomicU64,
    stopped: AtomicBool,
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest<W: Wire>(Arc<Shared<W>>);

impl<W: Wire> Drop for OpenRequest<W> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<W: Wire> Shared<W> {
    /// Makes the state of a host that has just started.
    #[must_use]
    pub fn new(settings: GatewaySettings) -> Self {
        let incarnation = BootClock.incarnation();
        let me = Peer {
            host: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.peer,
            incarnation,
            capacity: Some(Capacity(settings.capacity)),
        };
        Self {
            bounds: Mutex::new(settings.bounds),
            desk: Mutex::new(Desk::new(&settings, me.clone())),
            hold: Mutex::new(Hold::new(&settings, incarnation)),
            began: BootClock.now(),
            wake: Notify::new(),
            me,
            incarnation,
            settings,
            open: AtomicU64::new(0),
            leaving: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        }
    }

    /// Locks what is known and decided; never across an await.
    pub fn desk(&self) -> MutexGuard<'_, Desk<W>> {
        lock(&self.desk)
    }

    /// Locks this host's part in orders to engines; never across an await, nor with the desk.
    pub fn hold(&self) -> MutexGuard<'_, Hold> {
        lock(&self.hold)
    }

    /// Returns the bounds in force.
    #[must_use]
    pub fn bounds(&self) -> GatewayBounds {
        *lock(&self.bounds)
    }

    /// Puts other bounds in force; requests that are under way keep theirs.
    pub fn set_bounds(&self, bounds: GatewayBounds) {
        *lock(&self.bounds) = bounds;
        self.desk().set_bounds(&bounds);
    }

    /// Counts a request as open; none where the host has closed.
    pub fn open(self: &Arc<Self>) -> Option<OpenRequest<W>> {
        let before = self.open.fetch_add(1, Ordering::AcqRel);
        let opened = OpenRequest(Arc::clone(self));
        (before < CLOSED).then_some(opened)
    }

    /// Closes the host if no request is open: whatever comes later is not passed on.
    #[must_use]
    pub fn close_if_empty(&self) -> bool {
        let closed = self
            .open
            .compare_exchange(0, CLOSED, Ordering::AcqRel, Ordering::Acquire);
        closed.is_ok()
    }

    /// Closes the host although requests are open.
    pub fn close(&self) {
        self.open.fetch_add(CLOSED, Ordering::AcqRel);
    }

    /// Returns the number of open requests.
    #[must_use]
    pub fn open_requests(&self) -> u64 {
        self.open.load(Ordering::Relaxed) % CLOSED
    }

    /// Notes that the host is leaving from a moment on.
    pub fn leave(&self, now: Moment) {
        self.leaving.store(now.0.max(1), Ordering::Relaxed);
    }

    /// Returns since when the host is leaving.
    #[must_use]
    pub fn leaving(&self) -> Option<Moment> {
        match self.leaving.load(Ordering::Relaxed) {
            0 => None,
            at => Some(Moment(at)),
        }
    }

    /// Notes that all threads must end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether all threads must end.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Returns whether keys may be accepted by what is known of the configuration.
    #[must_use]
    pub fn allows_keys(&self, desk: &Desk<W>, now: Moment) -> bool {
        MaxKeyAge(self.bounds().key).allows(desk.config.fresh(), now)
    }

    /// Returns whether the balancer may send callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.leaving().is_none() && self.is_informed(BootClock.now())
    }

    /// Returns whether this host knows what it needs to serve requests.
    #[must_use]
    pub fn is_informed(&self, now: Moment) -> bool {
        let desk = self.desk();
        desk.tables.is_some()
            && !desk.fleet.is_empty()
            && desk.hosts.fresh().is_some()
            && self.allows_keys(&desk, now)
    }
}

/// Counts a request on an upstream until it is dropped.
#[derive(Debug)]
pub struct LoadGuard<W: Wire> {
    shared: Arc<Shared<W>>,
    id: HostName,
    rank: u8,
    unread: u64,
    outcome: Option<Outcome>,
}

impl<W: Wire> LoadGuard<W> {
    /// Counts a request that is about to be sent.
    #[must_use]
    pub fn new(shared: &Arc<Shared<W>>, id: &HostName, rank: u8, tokens: u64) -> Self {
        shared.desk().loads.start(id, rank, tokens);
        Self {
            rank,
            shared: Arc::clone(shared),
            id: id.clone(),
            unread: tokens,
            outcome: None,
        }
    }

    /// Notes that the answer has begun.
    pub fn begin(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.shared.desk().loads.begin(&self.id, self.rank, unread);
    }

    /// Notes how it went; counted once, when the guard is dropped.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }
}

impl<W: Wire> Drop for LoadGuard<W> {
    fn drop(&mut self) {
        let mut desk = self.shared.desk();
        desk.loads.begin(&self.id, self.rank, self.unread);
        desk.loads.end(&self.id);
        if let Some(outcome) = self.outcome {
            desk.health
                .record_outcome(&self.id, outcome, BootClock.now());
        }
    }
}

/// The upstreams that a request was sent to.
pub type Tried = FastSet<HostName>;
