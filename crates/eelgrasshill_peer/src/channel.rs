//! gRPC channels to peers.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::{Channel, Endpoint};

/// Creates a channel that connects on first use.
///
/// `connect_timeout` bounds the wait for the connection and `answer_timeout` that for each answer.
/// Returns `None` if the address does not form a valid URL.
#[must_use]
pub fn open_channel(
    address: SocketAddr,
    connect_timeout: Duration,
    answer_timeout: Duration,
) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint
        .connect_timeout(connect_timeout)
        .timeout(answer_timeout)
        .tcp_nodelay(true);
    Some(endpoint.connect_lazy())
}
