//! The platform's list of live and leaving hosts, which lags behind reality.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{HostName, ZoneName, record, scalar};

use crate::{CallError, HttpClient};

scalar! {
    /// The lifecycle state of a host as the platform knows it.
    pub enum HostState {
        /// The host is running.
        Live,
        /// The host will stop soon.
        Leaving,
    }

    /// The role of a host.
    pub enum HostRole {
        /// A host that accepts callers' requests and forwards them to upstreams.
        Entry,
        /// A host that runs an upstream.
        Upstream,
    }
}

record! {
    /// One entry of the host list.
    pub struct ListedHost {
        /// The name of the host.
        pub host: HostName,
        /// The zone that the host is located in.
        pub zone: ZoneName,
        /// The address on which an upstream listens for requests, or an entry host for its peers.
        pub address: SocketAddr,
        /// The role of the host.
        pub role: HostRole,
        /// Whether the host is live or leaving.
        pub state: HostState,
    }
}

/// A client of the platform's host list.
#[expect(
    async_fn_in_trait,
    reason = "callers run on one thread and need no Send bound"
)]
pub trait HostList {
    /// Returns every host that the platform considers running.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when no list arrived before the timeout.
    async fn hosts(&self) -> Result<Vec<ListedHost>, CallError>;
}

/// An HTTP adapter for the host list.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpHostList {
    /// Creates an adapter for the service at an address.
    #[must_use]
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self { client, address }
    }
}

impl HostList for HttpHostList {
    async fn hosts(&self) -> Result<Vec<ListedHost>, CallError> {
        self.client
            .get(self.address, "/hosts", Duration::ZERO)
            .await
    }
}
