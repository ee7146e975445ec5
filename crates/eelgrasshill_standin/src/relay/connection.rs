//! One relayed connection, copied in both directions at once.
//!
//! Received bytes are queued with the time at which they are due, so that a
//! delay shifts the stream without slowing it down.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::{RelayControl, RelayMode};

/// Maximum number of bytes read at once.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Waits until the relay is cut or dropped.
pub(super) async fn wait_until_cut(mut control: watch::Receiver<RelayControl>) {
    let cut = control
        .wait_for(|control| control.faults.mode == RelayMode::Cut)
        .await;
    if cut.is_err() {
        log::debug!("standin relay: stopped waiting for a cut, because the relay was dropped");
    }
}

/// Relays a client's connection to the target until it ends or is cut.
pub(super) async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    control: watch::Receiver<RelayControl>,
    silence_epoch: u64,
) {
    let state = ConnectionState {
        control,
        silence_epoch,
    };
    let cut = wait_until_cut(state.control.clone());
    let relayed = async {
        state.block_if_silent().await;
        let server = match TcpStream::connect(target).await {
            Ok(server) => server,
            Err(error) => {
                log::debug!("standin relay: cannot connect to {target}: {error}");
                return;
            }
        };
        copy_both_directions(client, server, &state).await;
    };
    tokio::select! {
        biased;
        () = cut => {}
        () = relayed => {}
    }
}

async fn copy_both_directions(client: TcpStream, server: TcpStream, state: &ConnectionState) {
    for stream in [&client, &server] {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("standin relay: cannot set TCP_NODELAY: {error}");
        }
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    futures_util::future::join(
        copy_direction(client_read, server_write, state.clone()),
        copy_direction(server_read, client_write, state.clone()),
    )
    .await;
}

/// The fault switches as they apply to one connection.
#[derive(Clone, Debug)]
struct ConnectionState {
    control: watch::Receiver<RelayControl>,
    silence_epoch: u64,
}

impl ConnectionState {
    /// Never returns if the connection is silent now, even if the mode ends later.
    async fn block_if_silent(&self) {
        if self.is_silent() {
            std::future::pending::<()>().await;
        }
    }

    fn is_silent(&self) -> bool {
        let control = *self.control.borrow();
        control.faults.mode == RelayMode::Silent || self.silence_epoch < control.silence_epoch
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.control.borrow().faults.delay_ms)
    }
}

/// Copies bytes in one direction and forwards each block when its delay has passed.
async fn copy_direction(read: OwnedReadHalf, write: OwnedWriteHalf, state: ConnectionState) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let copied = futures_util::future::join(
        queue_received(read, sender, state.clone()),
        send_when_due(write, receiver, state),
    )
    .await;
    if let (Err(error), _) | (_, Err(error)) = copied {
        log::debug!("standin relay: connection ended with an error: {error}");
    }
}

type DelayedBytes = (Instant, Bytes);

async fn queue_received(
    mut read: OwnedReadHalf,
    delayed: mpsc::UnboundedSender<DelayedBytes>,
    state: ConnectionState,
) -> std::io::Result<()> {
    loop {
        let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        if read.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        if state.is_silent() {
            continue;
        }
        let due = Instant::now() + state.delay();
        if delayed.send((due, buffer.freeze())).is_err() {
            return Ok(());
        }
    }
}

async fn send_when_due(
    mut write: OwnedWriteHalf,
    mut delayed: mpsc::UnboundedReceiver<DelayedBytes>,
    state: ConnectionState,
) -> std::io::Result<()> {
    while let Some((due, bytes)) = delayed.recv().await {
        tokio::time::sleep_until(due).await;
        state.block_if_silent().await;
        write.write_all(&bytes).await?;
    }
    state.block_if_silent().await;
    write.shutdown().await
}
