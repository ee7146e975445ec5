//! The account of a host's memory for what arrives from callers and what leaves to them.
//!
//! Each request is bounded by itself, but many callers may send large requests at the same time and
//! leave them unfinished. All their memory is therefore charged to one account, with limits on the
//! whole, on each caller's address and on each connection.

use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_domain::{FastMap, HostBudget};

use crate::{ConnectionLimit, lock};

/// The parts of eight of the account that one address may hold.
const ADDRESS_EIGHTHS: usize = 6;

/// The parts of eight of the account that one connection may hold.
const CONNECTION_EIGHTHS: usize = 2;

const EIGHTHS: usize = 8;

/// Maximum number of connections that are closed so that one charge finds room.
const MAX_RECLAIMS: usize = 16;

/// Time in which the memory of a closed connection is released.
const RECLAIM_TIME: Duration = Duration::from_millis(5);

/// Memory that a body of the largest size may need beyond that size.
///
/// Its last block may be almost empty, and its head, receive buffer and answer are charged too.
const LARGEST_BODY_EXTRA: usize = 2 << 20;

/// The limit that a request would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum MemoryScope {
    /// The limit of all requests.
    #[display("host")]
    Host,
    /// The limit of the caller's address.
    #[display("address")]
    Address,
    /// The limit of the connection.
    #[display("connection")]
    Connection,
}

/// Error for a request that needs more memory than a limit allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the memory for requests is used up, limit of the {scope}: {held} bytes held")]
pub struct MemoryFull {
    /// The limit that would be exceeded.
    pub scope: MemoryScope,
    /// Bytes that are held under that limit.
    pub held: usize,
}

/// The limits of an account, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Limit of all requests together.
    pub total: usize,
    /// Limit of one caller's address.
    pub per_address: usize,
    /// Limit of one connection.
    pub per_connection: usize,
}

impl MemoryLimits {
    /// Returns the limits for a machine with that memory.
    #[must_use]
    pub fn of_machine(megabytes: u64) -> Self {
        let total = HostBudget::new(megabytes, None).account_bytes();
        Self {
            total,
            per_address: total / EIGHTHS * ADDRESS_EIGHTHS,
            per_connection: total / EIGHTHS * CONNECTION_EIGHTHS,
        }
    }
}

#[derive(Debug, Default)]
struct Held {
    total: usize,
    addresses: FastMap<IpAddr, usize>,
}

/// The memory of one connection.
#[derive(Clone, Debug, Default)]
pub struct ConnectionMemory(Arc<AtomicUsize>);

impl ConnectionMemory {
    /// Returns the bytes that are charged to the connection.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// The account of one host.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    limits: MemoryLimits,
    held: Arc<Mutex<Held>>,
    reclaim_from: Option<ConnectionLimit>,
}

impl MemoryAccount {
    /// Creates an account in which nothing is held.
    #[must_use]
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            held: Arc::default(),
            reclaim_from: None,
        }
    }

    /// Closes connections with stalled requests where the memory does not suffice.
    #[must_use]
    pub fn with_reclaim(mut self, connections: ConnectionLimit) -> Self {
        self.reclaim_from = Some(connections);
        self
    }

    /// Closes a connection whose stalled request holds memory; returns whether there was one.
    async fn reclaim(&self, full: MemoryFull) -> bool {
        let connections = self.reclaim_from.as_ref();
        let is_closed = full.scope != MemoryScope::Connection
            && connections.is_some_and(ConnectionLimit::close_stalled_holder);
        if is_closed {
            tokio::time::sleep(RECLAIM_TIME).await;
        }
        is_closed
    }

    /// Tries again what did not fit, each time that memory of a stalled request is released.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryFull`] if it still does not fit when there is nothing more to release.
    pub(crate) async fn retry_reclaiming<T>(
        &self,
        mut full: MemoryFull,
        mut retry: impl FnMut() -> Result<T, MemoryFull>,
    ) -> Result<T, MemoryFull> {
        for _reclaim in 0..MAX_RECLAIMS {
            if !self.reclaim(full).await {
                break;
            }
            match retry() {
                Ok(done) => return Ok(done),
                Err(still_full) => full = still_full,
            }
        }
        Err(full)
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        lock(&self.held).total
    }

    /// Starts a charge of a caller; `largest_body` is the size of the largest body allowed.
    ///
    /// Each limit is at least what one such body needs, so that it is served in calm.
    #[must_use]
    pub fn charge(
        &self,
        address: Option<IpAddr>,
        connection: &ConnectionMemory,
        largest_body: usize,
    ) -> MemoryCharge {
        MemoryCharge {
            account: self.clone(),
            address,
            connection: connection.clone(),
            least_limit: largest_body.saturating_add(LARGEST_BODY_EXTRA),
            bytes: 0,
        }
    }
}

/// Memory that is charged to a caller, and released on drop.
#[derive(Debug)]
pub struct MemoryCharge {
    account: MemoryAccount,
    address: Option<IpAddr>,
    connection: ConnectionMemory,
    least_limit: usize,
    bytes: usize,
}

impl MemoryCharge {
    /// Changes the charge to that many bytes.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryFull`] and keeps the charge if it would grow beyond a limit.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        if bytes == self.bytes {
            return Ok(());
        }
        let mut held = lock(&self.account.held);
        let by_address = self
            .address
            .and_then(|address| held.addresses.get(&address).copied())
            .unwrap_or_default();
        let by_connection = self.connection.0.load(Ordering::Relaxed);
        if bytes > self.bytes {
            let more = bytes - self.bytes;
            let limits = self.account.limits;
            for (scope, amount, limit) in [
                (MemoryScope::Host, held.total, limits.total),
                (MemoryScope::Address, by_address, limits.per_address),
                (
                    MemoryScope::Connection,
                    by_connection,
                    limits.per_connection,
                ),
            ] {
                if amount.saturating_add(more) > limit.max(self.least_limit) {
                    return Err(MemoryFull {
                        scope,
                        held: amount,
                    });
                }
            }
        }
        let changed = |amount: usize| (amount + bytes).saturating_sub(self.bytes);
        held.total = changed(held.total);
        self.connection
            .0
            .store(changed(by_connection), Ordering::Relaxed);
        if let Some(address) = self.address {
            match changed(by_address) {
                0 => {
                    held.addresses.remove(&address);
                }
                amount => {
                    held.addresses.insert(address, amount);
                }
            }
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Returns the account that is charged.
    pub(crate) fn account(&self) -> &MemoryAccount {
        &self.account
    }

    /// Starts another charge of the same caller on the same connection.
    #[must_use]
    pub fn sibling(&self) -> Self {
        Self {
            account: self.account.clone(),
            address: self.address,
            connection: self.connection.clone(),
            least_limit: self.least_limit,
            bytes: 0,
        }
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        // A smaller charge is within all limits.
        let _released = self.resize(0);
    }
}
