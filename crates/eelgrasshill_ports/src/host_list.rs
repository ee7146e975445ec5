//! The platform's lagging list of live and leaving hosts.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{HostName, ZoneName, record, scalar};

use crate::{CallError, HttpClient};

scalar! {
    /// What the platform knows of a host's life.
    pub enum HostState {
        /// The host runs.
        Live,
        /// The host will stop soon.
        Leaving,
    }

    /// What a host is for.
    pub enum HostRole {
        /// An entry host of this system.
        Entry,
        /// A host of an upstream.
        Upstream,
    }
}

record! {
    /// One line of the host list.
    pub struct ListedHost {
        /// The host's name.
        pub host: HostName,
        /// The zone it stands in.
        pub zone: ZoneName,
        /// Where it listens; for entry hosts the address for their peers.
        pub address: SocketAddr,
        /// What it is for.
        pub role: HostRole,
        /// Whether it is leaving.
        pub state: HostState,
    }
}

/// The platform's host list.
#[expect(
    async_fn_in_trait,
    reason = "callers run on one thread and need no Send bound"
)]
pub trait HostList {
    /// Returns every host that the platform believes to run.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when no list came within the bound.
    async fn hosts(&self) -> Result<Vec<ListedHost>, CallError>;
}

/// The host list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpHostList {
    /// Makes an adapter for the service at an address.
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
