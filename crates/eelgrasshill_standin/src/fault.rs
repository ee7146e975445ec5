//! Fault switches that every stand-in shares, settable while it runs.

use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use eelgrasshill_domain::{Fencing, record, scalar};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;

use crate::sync::lock;

/// Seed of the draws for faults that hit a share of the calls.
const LOSS_SEED: u64 = 7;
/// The whole of a share, in thousandths.
const MAX_SHARE_PERMILLE: u32 = 1000;

scalar! {
    /// How a stand-in treats every call.
    #[derive(Default)]
    pub enum Mode {
        /// Calls are answered.
        #[default]
        Normal,
        /// Calls are answered with status 503 and take no effect.
        Unavailable,
        /// Calls are accepted and never answered; open streams stop.
        Silent,
        /// Calls and streams stand still and go on when the mode ends.
        Frozen,
        /// The connection of each call is closed without an answer or effect.
        Closed,
    }
}

record! {
    /// The faults in force on one stand-in.
    #[derive(Default)]
    #[serde(default)]
    pub struct FaultSet {
        /// How every call is treated.
        pub mode: Mode,
        /// The start of `METHOD /path` of the calls concerned; empty for all.
        pub only: String,
        /// Milliseconds by which each call is delayed before it takes effect.
        pub delay: u64,
        /// Number of next answers that are lost after the call took effect.
        pub lose: u32,
        /// Share of answers lost after the call took effect, in thousandths.
        pub lose_share: u32,
        /// Whether a lost answer leaves its connection open and silent.
        pub lose_silent: bool,
        /// Number of next answers or chunks that are crossed with another's.
        pub cross: u32,
        /// How the engine treats old fencing numbers, instead of by its setting.
        pub fencing: Option<Fencing>,
        /// Whether the engine refuses new answers because it is leaving.
        pub draining: bool,
        /// Tokens after which the engine breaks a stream's connection.
        pub stop_after: Option<u64>,
        /// Tokens after which the engine's stream goes silent for good.
        pub stall_after: Option<u64>,
    }
}

impl FaultSet {
    /// Makes a set with no fault but a mode.
    #[must_use]
    pub fn new(mode: Mode) -> Self {
        Self {
            mode,
            ..Self::default()
        }
    }

    /// Limits the faults to calls whose `METHOD /path` starts with a text.
    #[must_use]
    pub fn with_only(mut self, start: &str) -> Self {
        start.clone_into(&mut self.only);
        self
    }

    fn applies_to(&self, label: &str) -> bool {
        label.starts_with(&self.only)
    }
}

/// One accepted connection, which faults can close or silence.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    epoch: u64,
}

impl Connection {
    /// Closes the connection in both directions at once.
    pub fn close(&self) {
        if let Err(error) = self.stream.shutdown(Shutdown::Both) {
            log::debug!("standin: connection was closed before: {error}");
        }
    }
}

/// What becomes of a call before it takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestAction {
    /// It is served.
    Serve,
    /// It is refused with status 503.
    Refuse,
    /// Its connection is closed.
    Close,
}

/// What becomes of an answer after the call took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseAction {
    /// It is sent.
    Send,
    /// It is lost and the connection closed.
    Close,
    /// It is lost and the connection stays open.
    Withhold,
}

#[derive(Debug)]
struct Shared {
    set: watch::Sender<FaultSet>,
    epoch: AtomicU64,
    connections: Mutex<Vec<Weak<Connection>>>,
    rng: Mutex<StdRng>,
}

/// The handle on one stand-in's fault switches.
#[derive(Clone, Debug)]
pub struct Faults {
    shared: Arc<Shared>,
}

impl Default for Faults {
    fn default() -> Self {
        Self::new()
    }
}

impl Faults {
    /// Makes switches that are all off.
    #[must_use]
    pub fn new() -> Self {
        let (set, _unused) = watch::channel(FaultSet::default());
        let shared = Shared {
            set,
            epoch: AtomicU64::new(0),
            connections: Mutex::new(Vec::new()),
            rng: Mutex::new(StdRng::seed_from_u64(LOSS_SEED)),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Replaces the faults in force; open streams go silent with the silent mode.
    pub fn set(&self, set: FaultSet) {
        if set.mode == Mode::Silent {
            self.mute();
        }
        self.shared.set.send_replace(set);
    }

    /// Ends all faults; connections that went silent stay so.
    pub fn clear(&self) {
        self.set(FaultSet::default());
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn get(&self) -> FaultSet {
        self.shared.set.borrow().clone()
    }

    /// Silences every open connection for good; new ones work.
    pub fn mute(&self) {
        self.shared.epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// Closes every open connection; new ones work.
    pub fn cut(&self) {
        for connection in lock(&self.shared.connections).drain(..) {
            if let Some(connection) = connection.upgrade() {
                connection.close();
            }
        }
    }

    /// Takes note of an accepted connection.
    pub(crate) fn accept(&self, stream: TcpStream) -> Arc<Connection> {
        let connection = Arc::new(Connection {
            stream,
            epoch: self.shared.epoch.load(Ordering::SeqCst),
        });
        let mut connections = lock(&self.shared.connections);
        connections.retain(|old| old.strong_count() > 0);
        connections.push(Arc::downgrade(&connection));
        connection
    }

    /// Decides on a call before it takes effect.
    pub(crate) async fn check_request(
        &self,
        connection: Option<&Arc<Connection>>,
        label: &str,
    ) -> RequestAction {
        self.wait_if_blocked(connection, label).await;
        let set = self.get();
        if !set.applies_to(label) {
            return RequestAction::Serve;
        }
        if set.delay > 0 {
            tokio::time::sleep(Duration::from_millis(set.delay)).await;
            self.wait_if_blocked(connection, label).await;
        }
        match self.get().mode {
            Mode::Unavailable => RequestAction::Refuse,
            Mode::Closed => RequestAction::Close,
            Mode::Normal | Mode::Silent | Mode::Frozen => RequestAction::Serve,
        }
    }

    /// Decides on an answer after the call took effect.
    pub(crate) async fn check_response(
        &self,
        connection: Option<&Arc<Connection>>,
        label: &str,
    ) -> ResponseAction {
        self.wait_if_blocked(connection, label).await;
        if !self.loses_response(label) {
            return ResponseAction::Send;
        }
        if self.get().lose_silent {
            ResponseAction::Withhold
        } else {
            ResponseAction::Close
        }
    }

    /// Waits while frozen, and for ever on a silent connection.
    pub(crate) async fn wait_if_blocked(&self, connection: Option<&Arc<Connection>>, label: &str) {
        self.wait_while_frozen(label).await;
        let set = self.get();
        let silent = set.mode == Mode::Silent && set.applies_to(label);
        let muted = connection
            .is_some_and(|connection| connection.epoch < self.shared.epoch.load(Ordering::SeqCst));
        if silent || (muted && set.applies_to(label)) {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until calls of this kind are no longer frozen.
    pub(crate) async fn wait_while_frozen(&self, label: &str) {
        let mut changes = self.shared.set.subscribe();
        let unfrozen = changes
            .wait_for(|set| set.mode != Mode::Frozen || !set.applies_to(label))
            .await;
        if unfrozen.is_err() {
            log::debug!("standin: fault switches are gone");
        }
    }

    /// Waits for any change of the switches.
    pub(crate) fn changes(&self) -> watch::Receiver<FaultSet> {
        self.shared.set.subscribe()
    }

    /// Returns whether calls of this kind are refused now.
    pub(crate) fn is_unavailable(&self, label: &str) -> bool {
        let set = self.shared.set.borrow();
        set.mode == Mode::Unavailable && set.applies_to(label)
    }

    /// Takes one of the crossings that remain.
    pub(crate) fn take_cross(&self) -> bool {
        self.shared.set.send_if_modified(|set| {
            let armed = set.cross > 0;
            set.cross = set.cross.saturating_sub(1);
            armed
        })
    }

    fn loses_response(&self, label: &str) -> bool {
        let share = self.get().lose_share;
        let drawn = share > 0 && lock(&self.shared.rng).random_range(0..MAX_SHARE_PERMILLE) < share;
        self.shared.set.send_if_modified(|set| {
            let counted = set.applies_to(label) && set.lose > 0;
            set.lose -= u32::from(counted);
            counted
        }) || (drawn && self.get().applies_to(label))
    }
}
