//! Channels to peers.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::{Channel, Endpoint};

/// Opens a channel to a peer on its first use; none where the address makes no URL.
///
/// `connect` bounds the wait for the connection, and `answer` that for each answer.
#[must_use]
pub fn open_channel(address: SocketAddr, connect: Duration, answer: Duration) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint
        .connect_timeout(connect)
        .timeout(answer)
        .tcp_nodelay(true);
    Some(endpoint.connect_lazy())
}
