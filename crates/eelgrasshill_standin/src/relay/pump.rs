//! One relayed connection: bytes in both directions, until cut or silent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::{Control, RelayMode};

/// Most bytes that are read at once.
const READ_BYTES: usize = 16 << 10;

/// Waits until the relay is cut, or gone.
pub(super) async fn await_cut(mut control: watch::Receiver<Control>) {
    let cut = control
        .wait_for(|control| control.set.mode == RelayMode::Cut)
        .await;
    if cut.is_err() {
        log::debug!("standin relay: switches are gone");
    }
}

/// Relays a client's connection to the target until it ends or is cut.
pub(super) async fn connect(
    client: TcpStream,
    target: SocketAddr,
    control: watch::Receiver<Control>,
    epoch: u64,
) {
    let gate = Gate { control, epoch };
    let cut = await_cut(gate.control.clone());
    let relayed = async {
        gate.pass().await;
        let server = match TcpStream::connect(target).await {
            Ok(server) => server,
            Err(error) => {
                log::debug!("standin relay: {target} cannot be reached: {error}");
                return;
            }
        };
        relay(client, server, &gate).await;
    };
    tokio::select! {
        biased;
        () = cut => {}
        () = relayed => {}
    }
}

async fn relay(client: TcpStream, server: TcpStream, gate: &Gate) {
    for stream in [&client, &server] {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("standin relay: no immediate sending: {error}");
        }
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    futures_util::future::join(
        pump(client_read, server_write, gate.clone()),
        pump(server_read, client_write, gate.clone()),
    )
    .await;
}

/// What one connection knows of the switches.
#[derive(Clone, Debug)]
struct Gate {
    control: watch::Receiver<Control>,
    epoch: u64,
}

impl Gate {
    /// Returns at once, or never once the connection is silent.
    async fn pass(&self) {
        if self.is_silent() {
            std::future::pending::<()>().await;
        }
    }

    fn is_silent(&self) -> bool {
        let control = *self.control.borrow();
        control.set.mode == RelayMode::Silent || self.epoch < control.epoch
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.control.borrow().set.delay)
    }
}

/// Copies one direction; each part is written once its delay has passed.
async fn pump(read: OwnedReadHalf, write: OwnedWriteHalf, gate: Gate) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let copied = futures_util::future::join(
        receive(read, sender, gate.clone()),
        forward(write, receiver, gate),
    )
    .await;
    if let (Err(error), _) | (_, Err(error)) = copied {
        log::debug!("standin relay: connection broke: {error}");
    }
}

type Part = (Instant, Bytes);

async fn receive(
    mut read: OwnedReadHalf,
    parts: mpsc::UnboundedSender<Part>,
    gate: Gate,
) -> std::io::Result<()> {
    loop {
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        if read.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        if gate.is_silent() {
            continue;
        }
        let due = Instant::now() + gate.delay();
        if parts.send((due, buffer.freeze())).is_err() {
            return Ok(());
        }
    }
}

async fn forward(
    mut write: OwnedWriteHalf,
    mut parts: mpsc::UnboundedReceiver<Part>,
    gate: Gate,
) -> std::io::Result<()> {
    while let Some((due, bytes)) = parts.recv().await {
        tokio::time::sleep_until(due).await;
        gate.pass().await;
        write.write_all(&bytes).await?;
    }
    gate.pass().await;
    write.shutdown().await
}
