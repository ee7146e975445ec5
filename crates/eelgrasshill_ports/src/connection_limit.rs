//! The limit on a server's connections, and which one is closed to make room for a new one.
//!
//! A new connection is always accepted while one can be closed whose caller keeps it waiting: first
//! those whose request makes no progress, then those between two requests, then those whose request
//! is arriving, and last those whose caller has not read its answer for long. A connection whose
//! request is being served is never closed. Addresses play no part, since a load balancer or NAT
//! gives a crowd and its neighbours the same one.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use derive_more::{Debug, Display};
use eelgrasshill_domain::{FastMap, Moment};
use tokio::sync::Notify;
use tokio::sync::futures::OwnedNotified;

use crate::{BootClock, ConnectionMemory, lock};

/// Time without progress from which on a request counts as stalled.
///
/// Longer than the pauses of a caller that sends steadily, also over far links.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Time without a byte taken from which on the caller of an answer counts as gone.
const UNREAD_TIME: Duration = Duration::from_secs(10);

/// Bytes of a request that count as progress.
///
/// Single bytes do not, so that a caller that trickles is no better than one that stops.
const PROGRESS_BYTES: usize = 256;

/// Minimum time between two log lines of one server on closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// A request is incomplete, or none was sent yet.
    Receiving,
    /// A complete request has no complete answer.
    Serving,
    /// The server has the whole answer, and the system has not taken all of it.
    Flushing,
    /// The last answer is complete, and nothing of a further request has arrived.
    Idle,
}

/// Why a connection is closed for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum CloseCause {
    /// Its request makes no progress.
    #[display("stalled")]
    Stalled,
    /// It is between two requests.
    #[display("idle")]
    Idle,
    /// Its request is arriving.
    #[display("receiving")]
    Receiving,
    /// Its caller does not read the answer.
    #[display("unread")]
    Unread,
    /// It is new, and all others are served.
    #[display("rejected")]
    Rejected,
}

/// What the host waits for on a connection that may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Waiting {
    Receiving,
    Idle,
    Unread,
}

/// Place of a connection among those that may be closed: what for, since when, its number.
type Place = (Waiting, Moment, u64);

#[derive(Debug)]
struct Entry {
    phase: ConnectionPhase,
    // When the phase began, or the request last made progress.
    since: Moment,
    // Since when the system takes no bytes of answers.
    blocked_since: Option<Moment>,
    memory: ConnectionMemory,
    close: Arc<Notify>,
}

impl Entry {
    fn place(&self, number: u64) -> Option<Place> {
        if let Some(since) = self.blocked_since {
            return Some((Waiting::Unread, since, number));
        }
        match self.phase {
            ConnectionPhase::Receiving => Some((Waiting::Receiving, self.since, number)),
            ConnectionPhase::Idle => Some((Waiting::Idle, self.since, number)),
            ConnectionPhase::Serving | ConnectionPhase::Flushing => None,
        }
    }
}

#[derive(Debug, Default)]
struct Connections {
    next_number: u64,
    entries: FastMap<u64, Entry>,
    // The entries that may be closed.
    order: BTreeSet<Place>,
    // Connections closed since the last log line.
    closed: u64,
    logged_at: Option<Moment>,
}

impl Connections {
    fn update(&mut self, number: u64, change: impl FnOnce(&mut Entry)) {
        // A connection that is being closed has no entry any more.
        let Some(entry) = self.entries.get_mut(&number) else {
            return;
        };
        let before = entry.place(number);
        change(entry);
        let after = entry.place(number);
        if before != after {
            before.map(|place| self.order.remove(&place));
            after.map(|place| self.order.insert(place));
        }
    }

    fn oldest(&self, waiting: Waiting) -> Option<(Moment, u64)> {
        let first = self.order.range((waiting, Moment(0), 0)..).next()?;
        (first.0 == waiting).then_some((first.1, first.2))
    }

    /// Returns which connection to close for a new one.
    fn choose(&self, now: Moment) -> Option<(u64, CloseCause)> {
        let waits = |(since, _number): &(Moment, u64), time| now.since(*since) >= time;
        let receiving = self.oldest(Waiting::Receiving);
        let stalled = receiving.filter(|oldest| waits(oldest, STALL_TIME));
        let unread = || {
            let oldest = self.oldest(Waiting::Unread);
            oldest.filter(|oldest| waits(oldest, UNREAD_TIME))
        };
        let close = |cause| move |(_since, number)| (number, cause);
        stalled
            .map(close(CloseCause::Stalled))
            .or_else(|| self.oldest(Waiting::Idle).map(close(CloseCause::Idle)))
            .or_else(|| receiving.map(close(CloseCause::Receiving)))
            .or_else(|| unread().map(close(CloseCause::Unread)))
    }

    fn close(&mut self, number: u64) {
        if let Some(entry) = self.entries.remove(&number) {
            entry.place(number).map(|place| self.order.remove(&place));
            entry.close.notify_one();
        }
    }
}

#[derive(Debug)]
struct Limit {
    server: &'static str,
    max_connections: usize,
    connections: Mutex<Connections>,
    // Connections whose socket is open, also those that are being closed.
    open: AtomicUsize,
    closed: AtomicU64,
}

/// The limit on the connections of one server.
#[derive(Clone, Debug)]
pub struct ConnectionLimit(Arc<Limit>);

impl ConnectionLimit {
    /// Creates a limit; `server` names the server in logs and metrics.
    #[must_use]
    pub fn new(server: &'static str, max_connections: usize) -> Self {
        Self(Arc::new(Limit {
            server,
            max_connections,
            connections: Mutex::default(),
            open: AtomicUsize::new(0),
            closed: AtomicU64::new(0),
        }))
    }

    /// Returns how many connections are allowed at the same time.
    #[must_use]
    pub fn max_connections(&self) -> usize {
        self.0.max_connections
    }

    /// Returns how many connections the server has not closed.
    #[must_use]
    pub fn open(&self) -> usize {
        self.0.open.load(Ordering::Acquire)
    }

    /// Admits a new connection, for which another one may be closed; none if all are served.
    #[must_use]
    pub fn admit(&self) -> Option<Connection> {
        let now = BootClock.now();
        let mut connections = lock(&self.0.connections);
        if connections.entries.len() >= self.0.max_connections {
            let Some((number, cause)) = connections.choose(now) else {
                self.count_closed(&mut connections, CloseCause::Rejected, now);
                return None;
            };
            connections.close(number);
            self.count_closed(&mut connections, cause, now);
        }
        let number = connections.next_number;
        connections.next_number += 1;
        let entry = Entry {
            phase: ConnectionPhase::Receiving,
            since: now,
            blocked_since: None,
            memory: ConnectionMemory::default(),
            close: Arc::default(),
        };
        let connection = OpenConnection {
            limit: self.clone(),
            number,
            memory: entry.memory.clone(),
            close: Arc::clone(&entry.close),
            unnoted_bytes: AtomicUsize::new(0),
        };
        entry
            .place(number)
            .map(|place| connections.order.insert(place));
        connections.entries.insert(number, entry);
        self.0.open.fetch_add(1, Ordering::AcqRel);
        Some(Connection(Arc::new(connection)))
    }

    /// Returns whether a new connection would be rejected.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        let connections = lock(&self.0.connections);
        connections.entries.len() >= self.0.max_connections
            && connections.choose(BootClock.now()).is_none()
    }

    /// Closes the connection that holds memory for a request which has stalled for the longest time.
    ///
    /// Returns whether there was one.
    #[must_use]
    pub fn close_stalled_holder(&self) -> bool {
        let now = BootClock.now();
        let mut connections = lock(&self.0.connections);
        let holder = connections
            .order
            .iter()
            .take_while(|(waiting, since, _number)| {
                *waiting == Waiting::Receiving && now.since(*since) >= STALL_TIME
            })
            .map(|(_waiting, _since, number)| *number)
            .find(|number| {
                let entry = connections.entries.get(number);
                entry.is_some_and(|entry| entry.memory.held() > 0)
            });
        if let Some(number) = holder {
            connections.close(number);
            self.count_closed(&mut connections, CloseCause::Stalled, now);
        }
        holder.is_some()
    }

    fn count_closed(&self, connections: &mut Connections, cause: CloseCause, now: Moment) {
        let server = self.0.server;
        let total = self.0.closed.fetch_add(1, Ordering::Relaxed) + 1;
        metrics::counter!(
            "eelgrasshill_closed_connections_total",
            "server" => server, "cause" => cause.to_string()
        )
        .increment(1);
        connections.closed += 1;
        let is_due = connections
            .logged_at
            .is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if is_due {
            connections.logged_at = Some(now);
            let closed = std::mem::take(&mut connections.closed);
            log::info!(
                "connections: server={server} limit={} reached, closed={closed} total={total} last={cause}",
                self.0.max_connections
            );
        }
    }
}

#[derive(Debug)]
struct OpenConnection {
    limit: ConnectionLimit,
    number: u64,
    memory: ConnectionMemory,
    close: Arc<Notify>,
    // Bytes of the request since it last counted as making progress.
    unnoted_bytes: AtomicUsize,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let limit = &self.limit.0;
        let mut connections = lock(&limit.connections);
        if let Some(entry) = connections.entries.remove(&self.number) {
            entry
                .place(self.number)
                .map(|place| connections.order.remove(&place));
        }
        limit.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// One admitted connection, which counts until its last clone is dropped.
#[derive(Clone, Debug)]
pub struct Connection(#[debug("{}", _0.number)] Arc<OpenConnection>);

impl Connection {
    /// Returns the memory that is charged to the connection.
    #[must_use]
    pub fn memory(&self) -> &ConnectionMemory {
        &self.0.memory
    }

    /// Returns the limit that it counts toward.
    #[must_use]
    pub fn limit(&self) -> &ConnectionLimit {
        &self.0.limit
    }

    /// Waits until the connection is to be closed for another one.
    pub async fn closed(&self) {
        self.0.close.notified().await;
    }

    /// Returns a future that ends when the connection is to be closed for another one.
    pub(crate) fn closed_owned(&self) -> OwnedNotified {
        Arc::clone(&self.0.close).notified_owned()
    }

    /// Notes a change of what the connection is doing.
    pub fn set_phase(&self, phase: ConnectionPhase) {
        self.0.unnoted_bytes.store(0, Ordering::Relaxed);
        self.update(|entry| {
            entry.phase = phase;
            entry.since = BootClock.now();
        });
    }

    /// Changes the phase if the connection is in another one.
    pub(crate) fn change_phase(&self, from: ConnectionPhase, to: ConnectionPhase) {
        self.update(|entry| {
            if entry.phase == from {
                entry.phase = to;
                entry.since = BootClock.now();
            }
        });
    }

    /// Notes bytes of a request that have arrived.
    pub(crate) fn note_received(&self, bytes: usize) {
        let unnoted = self.0.unnoted_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if unnoted >= PROGRESS_BYTES {
            self.0.unnoted_bytes.store(0, Ordering::Relaxed);
            self.update(|entry| entry.since = BootClock.now());
        }
    }

    /// Notes whether the system takes bytes of answers.
    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        self.update(|entry| entry.blocked_since = is_blocked.then(|| BootClock.now()));
    }

    fn update(&self, change: impl FnOnce(&mut Entry)) {
        lock(&self.0.limit.0.connections).update(self.0.number, change);
    }
}
