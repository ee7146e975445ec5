//! How a host divides the memory and the descriptors of its machine.
//!
//! Each part is bounded by itself, so that their sum, and not only each of them, fits in the
//! machine. `docs/design/connection-budget.md` has the sum in words.

use derive_more::{Display, Error};

const BYTES_PER_KB: usize = 1 << 10;
const BYTES_PER_MB: usize = 1 << 20;

const EIGHTHS: usize = 8;

/// Parts of eight of the memory for requests and answers that are charged to the account.
const ACCOUNT_EIGHTHS: usize = 2;

/// Parts of eight of the memory for the process without its callers.
const PROCESS_EIGHTHS: usize = 2;

/// Least memory of the process without its callers, in bytes.
const MIN_PROCESS_BYTES: usize = 24 * BYTES_PER_MB;

/// Size of the receive buffer of a connection, as the system counts it, in bytes.
///
/// The system doubles what a program asks for, and counts its own overhead in it.
pub const RECEIVE_BUFFER_BYTES: usize = 32 * BYTES_PER_KB;

/// Size of the send buffer of a connection, as the system counts it, in bytes.
pub const SEND_BUFFER_BYTES: usize = 32 * BYTES_PER_KB;

/// Most memory of a connection in the process that is not charged to the account, in bytes.
///
/// It holds the read and write buffers of the HTTP server, a head with its decoded headers, the
/// first part of a body and of an answer, the tasks, and the connection to the upstream.
const CONNECTION_PROCESS_BYTES: usize = 112 * BYTES_PER_KB;

/// Most memory of a connection that is not charged to the account, in bytes.
pub const CONNECTION_BYTES: usize =
    RECEIVE_BUFFER_BYTES + SEND_BUFFER_BYTES + CONNECTION_PROCESS_BYTES;

/// Maximum size of the headers of a request where no configuration says it, in bytes.
pub const DEFAULT_MAX_HEAD_BYTES: usize = 16 * BYTES_PER_KB;

/// Most connections of the load balancer, operators and metrics.
pub const ADMIN_CONNECTIONS: usize = 32;

/// Connections that were chosen to be closed, or wait to be, while new ones are accepted.
pub const CLOSING_CONNECTIONS: usize = 32;

/// Most connections that the system holds until the process accepts them.
pub const ACCEPT_BACKLOG: u32 = 256;

/// Most memory of the connections that the process has not accepted, in bytes.
const BACKLOG_BYTES: usize = ACCEPT_BACKLOG as usize * RECEIVE_BUFFER_BYTES;

/// Descriptors that a platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;

/// Parts of eight of the sockets for callers.
///
/// As many are left for the upstream of each request, one part for peers, and one for the store and
/// the connections that the lease holder keeps to engines.
const CALLER_EIGHTHS: usize = 3;

/// Fewest connections of peers: the children of a host in the tree, and some others.
const MIN_PEER_CONNECTIONS: usize = 24;

/// Connections of peers where the descriptors are not known.
const DEFAULT_PEER_CONNECTIONS: usize = 256;

/// Memory and descriptors of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostBudget {
    /// Memory, in bytes.
    pub memory: usize,
    /// Descriptors that the process may open; none if not known.
    pub descriptors: Option<usize>,
}

/// Error for connections that do not fit in the machine.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum BudgetError {
    /// The memory of the machine does not suffice.
    #[display(
        "{connections} connections of {} KB and {} others, {} KB waiting to be accepted, \
         {} MB for requests and {} MB for the process need {} MB of {} MB; {most} connections fit",
        CONNECTION_BYTES / BYTES_PER_KB,
        ADMIN_CONNECTIONS + CLOSING_CONNECTIONS,
        BACKLOG_BYTES / BYTES_PER_KB,
        budget.account_bytes() / BYTES_PER_MB,
        budget.process_bytes() / BYTES_PER_MB,
        budget.needed_bytes(*connections).div_ceil(BYTES_PER_MB),
        budget.memory / BYTES_PER_MB
    )]
    Memory {
        /// Connections that were asked for.
        connections: usize,
        /// Connections that fit.
        most: usize,
        /// What they were to fit in.
        budget: HostBudget,
    },
    /// The descriptors do not suffice.
    #[display(
        "{connections} connections are more than {CALLER_EIGHTHS} of {EIGHTHS} parts of the \
         sockets among {descriptors} descriptors; {most} connections fit"
    )]
    Descriptors {
        /// Connections that were asked for.
        connections: usize,
        /// Connections that fit.
        most: usize,
        /// Descriptors of the machine.
        descriptors: usize,
    },
}

impl HostBudget {
    /// Creates the budget of a machine with that memory, in MB.
    #[must_use]
    pub fn new(memory_mb: u64, descriptors: Option<u64>) -> Self {
        let to_usize = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
        Self {
            memory: to_usize(memory_mb).saturating_mul(BYTES_PER_MB),
            descriptors: descriptors.map(to_usize),
        }
    }

    /// Returns the memory for requests and answers that are charged to the account.
    #[must_use]
    pub fn account_bytes(&self) -> usize {
        self.memory / EIGHTHS * ACCOUNT_EIGHTHS
    }

    /// Returns the memory for the process without its callers.
    #[must_use]
    pub fn process_bytes(&self) -> usize {
        (self.memory / EIGHTHS * PROCESS_EIGHTHS).max(MIN_PROCESS_BYTES)
    }

    /// Returns the memory that all parts need with that many connections of callers.
    #[must_use]
    pub fn needed_bytes(&self, connections: usize) -> usize {
        let others = ADMIN_CONNECTIONS + CLOSING_CONNECTIONS;
        connections
            .saturating_add(others)
            .saturating_mul(CONNECTION_BYTES)
            .saturating_add(BACKLOG_BYTES)
            .saturating_add(self.account_bytes())
            .saturating_add(self.process_bytes())
    }

    /// Returns how many connections of callers fit in the memory and the descriptors.
    #[must_use]
    pub fn most_connections(&self) -> usize {
        self.most_by_memory().min(self.most_by_descriptors())
    }

    /// Returns as many connections of callers as fit, up to a usual number, and at least one.
    #[must_use]
    pub fn usual_connections(&self, usual: usize) -> usize {
        self.most_connections().min(usual).max(1)
    }

    /// Checks that a number of connections fits in the memory and the descriptors.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetError`] with the sum if it does not.
    pub fn check(&self, connections: usize) -> Result<(), BudgetError> {
        let most = self.most_by_memory();
        if connections > most {
            return Err(BudgetError::Memory {
                connections,
                most,
                budget: *self,
            });
        }
        let most = self.most_by_descriptors();
        match self.descriptors {
            Some(descriptors) if connections > most => Err(BudgetError::Descriptors {
                connections,
                most,
                descriptors,
            }),
            _ => Ok(()),
        }
    }

    fn most_by_memory(&self) -> usize {
        self.memory.saturating_sub(self.needed_bytes(0)) / CONNECTION_BYTES
    }

    /// Returns how many connections of peers are accepted.
    #[must_use]
    pub fn peer_connections(&self) -> usize {
        self.sockets()
            .map_or(DEFAULT_PEER_CONNECTIONS, |sockets| sockets / EIGHTHS)
            .max(MIN_PEER_CONNECTIONS)
    }

    fn most_by_descriptors(&self) -> usize {
        self.sockets()
            .map_or(usize::MAX, |sockets| sockets / EIGHTHS * CALLER_EIGHTHS)
    }

    /// Returns the sockets that are left for callers, upstreams, peers and the store.
    fn sockets(&self) -> Option<usize> {
        let others = FILE_DESCRIPTORS + ADMIN_CONNECTIONS + CLOSING_CONNECTIONS;
        self.descriptors
            .map(|descriptors| descriptors.saturating_sub(others))
    }
}
