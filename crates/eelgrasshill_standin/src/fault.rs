//! Fault switches that all stand-ins share and that can be set while they run.
//!
//! Decides for each request whether it is served, answered with status 503 or has its
//! connection closed, and for each response whether it is sent or lost, from the
//! active [`FaultSet`] and from the state of the connection.

use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use eelgrasshill_domain::{Fencing, record, scalar};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;

use crate::sync::lock;

/// Seed of the random choice of lost answers.
///
/// It is fixed so that tests are repeatable.
const LOSS_SEED: u64 = 7;
/// The value of `lost_answers_permille` at which all answers are lost.
const ALL_ANSWERS_PERMILLE: u32 = 1000;

scalar! {
    /// How a stand-in treats all calls.
    #[derive(Default)]
    pub enum Mode {
        /// Calls are answered.
        #[default]
        Normal,
        /// Calls are answered with status 503 and take no effect.
        Unavailable,
        /// Calls are accepted but never answered; open streams go silent.
        Silent,
        /// Calls and streams are suspended until the mode ends.
        Frozen,
        /// The connection of each call is closed without an answer or effect.
        Closed,
    }
}

record! {
    /// The active faults of a stand-in.
    #[derive(Default)]
    #[serde(default)]
    pub struct FaultSet {
        /// How all calls are treated.
        pub mode: Mode,
        /// Prefix of the `METHOD /path` of the affected calls; empty for all.
        ///
        /// It restricts the mode, the delay, lost answers and silenced connections. The
        /// other faults apply to all calls.
        #[serde(rename = "only")]
        pub call_prefix: String,
        /// Delay of each call before it takes effect, in milliseconds.
        #[serde(rename = "delay")]
        pub delay_ms: u64,
        /// Number of answers still to be lost after the call took effect.
        #[serde(rename = "lose")]
        pub lost_answers: u32,
        /// Share of answers lost after the call took effect, in thousandths.
        #[serde(rename = "lose-share")]
        pub lost_answers_permille: u32,
        /// Whether the connection of a lost answer stays open instead of closing.
        #[serde(rename = "lose-silent")]
        pub keep_lost_open: bool,
        /// Number of answers or chunks still to be crossed (swapped with another request's).
        #[serde(rename = "cross")]
        pub swapped_answers: u32,
        /// Overrides the engine's setting for orders with an old fencing token.
        pub fencing: Option<Fencing>,
        /// Whether the engine refuses new requests because it is draining.
        pub draining: bool,
        /// Number of chunks with a token after which the engine breaks off a stream.
        #[serde(rename = "stop-after")]
        pub stop_after_tokens: Option<u64>,
        /// Number of chunks with a token after which a stream goes silent for good.
        #[serde(rename = "stall-after")]
        pub stall_after_tokens: Option<u64>,
    }
}

impl FaultSet {
    /// Creates a set with a mode and no other fault.
    #[must_use]
    pub fn new(mode: Mode) -> Self {
        Self {
            mode,
            ..Self::default()
        }
    }

    /// Restricts the faults to calls whose `METHOD /path` has a prefix.
    #[must_use]
    pub fn with_call_prefix(mut self, label_prefix: &str) -> Self {
        label_prefix.clone_into(&mut self.call_prefix);
        self
    }

    fn applies_to(&self, label: &str) -> bool {
        label.starts_with(&self.call_prefix)
    }
}

/// An accepted connection, which faults can close or silence.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Value of the silence counter when the connection was accepted.
    silence_epoch: u64,
}

impl Connection {
    /// Shuts the connection down in both directions.
    pub fn close(&self) {
        if let Err(error) = self.stream.shutdown(Shutdown::Both) {
            log::debug!("standin: cannot shut down a connection, probably closed already: {error}");
        }
    }
}

/// What happens to a request before it takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestAction {
    /// Passes it to its handler.
    Serve,
    /// Answers it with status 503.
    Refuse,
    /// Closes its connection.
    Close,
}

/// What happens to a response after the call took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseAction {
    /// Sends it.
    Send,
    /// Drops it and closes the connection.
    Close,
    /// Drops it and leaves the connection open.
    DropSilently,
}

#[derive(Debug)]
struct FaultState {
    active: watch::Sender<FaultSet>,
    /// Counts the calls that silenced all open connections; those accepted earlier stay silent.
    silence_epoch: AtomicU64,
    connections: Mutex<Vec<Weak<Connection>>>,
    rng: Mutex<StdRng>,
}

/// A shared handle to the fault switches of a stand-in.
#[derive(Clone, Debug)]
pub struct Faults {
    shared: Arc<FaultState>,
}

impl Default for Faults {
    fn default() -> Self {
        Self::new()
    }
}

impl Faults {
    /// Creates switches without an active fault.
    #[must_use]
    pub fn new() -> Self {
        let (active, _unused) = watch::channel(FaultSet::default());
        let shared = FaultState {
            active,
            silence_epoch: AtomicU64::new(0),
            connections: Mutex::new(Vec::new()),
            rng: Mutex::new(StdRng::seed_from_u64(LOSS_SEED)),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Replaces the active faults.
    ///
    /// The silent mode also silences all open connections, which stay silent after its end.
    pub fn set(&self, faults: FaultSet) {
        if faults.mode == Mode::Silent {
            self.silence_connections();
        }
        self.shared.active.send_replace(faults);
    }

    /// Clears all faults; silenced connections stay silent.
    pub fn clear(&self) {
        self.set(FaultSet::default());
    }

    /// Returns the active faults.
    #[must_use]
    pub fn get(&self) -> FaultSet {
        self.shared.active.borrow().clone()
    }

    /// Silences all open connections for good; new ones work.
    pub fn silence_connections(&self) {
        self.shared.silence_epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// Closes all open connections; new ones work.
    pub fn close_connections(&self) {
        for connection in lock(&self.shared.connections).drain(..) {
            if let Some(connection) = connection.upgrade() {
                connection.close();
            }
        }
    }

    /// Registers an accepted connection.
    pub(crate) fn accept(&self, stream: TcpStream) -> Arc<Connection> {
        let connection = Arc::new(Connection {
            stream,
            silence_epoch: self.shared.silence_epoch.load(Ordering::SeqCst),
        });
        let mut connections = lock(&self.shared.connections);
        connections.retain(|old| old.strong_count() > 0);
        connections.push(Arc::downgrade(&connection));
        connection
    }

    /// Delays a request as the faults demand and returns what happens to it.
    pub(crate) async fn check_request(
        &self,
        connection: Option<&Arc<Connection>>,
        label: &str,
    ) -> RequestAction {
        self.wait_if_blocked(connection, label).await;
        let active = self.get();
        if !active.applies_to(label) {
            return RequestAction::Serve;
        }
        if active.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(active.delay_ms)).await;
            self.wait_if_blocked(connection, label).await;
        }
        match self.get().mode {
            Mode::Unavailable => RequestAction::Refuse,
            Mode::Closed => RequestAction::Close,
            Mode::Normal | Mode::Silent | Mode::Frozen => RequestAction::Serve,
        }
    }

    /// Returns what happens to the response of a call that took effect.
    pub(crate) async fn check_response(
        &self,
        connection: Option<&Arc<Connection>>,
        label: &str,
    ) -> ResponseAction {
        self.wait_if_blocked(connection, label).await;
        if !self.take_loss(label) {
            return ResponseAction::Send;
        }
        if self.get().keep_lost_open {
            ResponseAction::DropSilently
        } else {
            ResponseAction::Close
        }
    }

    /// Waits while calls are frozen, and forever on a silent connection.
    pub(crate) async fn wait_if_blocked(&self, connection: Option<&Arc<Connection>>, label: &str) {
        self.wait_while_frozen(label).await;
        let active = self.get();
        let silent = active.mode == Mode::Silent && active.applies_to(label);
        let silenced = connection.is_some_and(|connection| {
            connection.silence_epoch < self.shared.silence_epoch.load(Ordering::SeqCst)
        });
        if silent || (silenced && active.applies_to(label)) {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until calls with this label are no longer frozen.
    pub(crate) async fn wait_while_frozen(&self, label: &str) {
        let mut changes = self.shared.active.subscribe();
        let unfrozen = changes
            .wait_for(|active| active.mode != Mode::Frozen || !active.applies_to(label))
            .await;
        if unfrozen.is_err() {
            log::debug!(
                "standin: wait for the end of a freeze of {label} ended, because its switches were dropped"
            );
        }
    }

    /// Returns a receiver that is notified of each change of the faults.
    pub(crate) fn changes(&self) -> watch::Receiver<FaultSet> {
        self.shared.active.subscribe()
    }

    /// Returns whether calls with this label are answered with 503.
    pub(crate) fn is_unavailable(&self, label: &str) -> bool {
        let active = self.shared.active.borrow();
        active.mode == Mode::Unavailable && active.applies_to(label)
    }

    /// Uses up one pending swap and returns whether there was one.
    pub(crate) fn take_pending_swap(&self) -> bool {
        self.shared.active.send_if_modified(|active| {
            let pending = active.swapped_answers > 0;
            active.swapped_answers = active.swapped_answers.saturating_sub(1);
            pending
        })
    }

    /// Returns whether a response is lost; uses up one lost answer of the count.
    fn take_loss(&self, label: &str) -> bool {
        let share = self.get().lost_answers_permille;
        let lost_by_share =
            share > 0 && lock(&self.shared.rng).random_range(0..ALL_ANSWERS_PERMILLE) < share;
        self.shared.active.send_if_modified(|active| {
            let lost_by_count = active.applies_to(label) && active.lost_answers > 0;
            active.lost_answers -= u32::from(lost_by_count);
            lost_by_count
        }) || (lost_by_share && self.get().applies_to(label))
    }
}
