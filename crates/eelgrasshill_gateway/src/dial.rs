//! Opens channels to peers.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::{Channel, Endpoint};

/// Most bytes of a message: a configuration with some hundred routes, and more.
pub(crate) const MESSAGE: usize = 16 << 20;

/// Opens a channel to a peer when it is first used.
pub(crate) fn channel(address: SocketAddr, bound: Duration) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint
        .connect_timeout(bound)
        .timeout(bound)
        .tcp_nodelay(true);
    Some(endpoint.connect_lazy())
}
