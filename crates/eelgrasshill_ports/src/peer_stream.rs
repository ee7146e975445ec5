//! The stream of a peer's connection, which counts toward a limit.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use derive_more::Debug;
use futures_util::{Stream, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::futures::OwnedNotified;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::server::Connected;

use crate::{Connection, ConnectionLimit, ConnectionPhase};

/// Bytes with which each HTTP/2 connection begins.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Returns the connections that a listener accepts and the limit admits.
pub fn accept_peers(
    listener: TcpListener,
    limit: ConnectionLimit,
) -> impl Stream<Item = io::Result<PeerStream>> {
    TcpListenerStream::new(listener).filter_map(move |accepted| {
        let admitted = accepted.map(|stream| {
            let connection = limit.admit()?;
            Some(PeerStream::new(stream, connection))
        });
        std::future::ready(admitted.transpose())
    })
}

/// An accepted connection of a peer.
///
/// Until it has shown that it speaks HTTP/2, it is closed first for others; after that, the one is
/// closed first that has been silent for the longest time.
#[derive(Debug)]
pub struct PeerStream {
    stream: TcpStream,
    connection: Connection,
    #[debug(skip)]
    closed: Pin<Box<OwnedNotified>>,
    // Bytes of the preface that have arrived.
    preface_bytes: usize,
}

impl PeerStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream, connection: Connection) -> Self {
        Self {
            stream,
            closed: Box::pin(connection.closed_owned()),
            connection,
            preface_bytes: 0,
        }
    }

    fn note_read(&mut self, read: &[u8]) -> io::Result<()> {
        let expected = &PREFACE[self.preface_bytes..];
        let count = expected.len().min(read.len());
        if read[..count] != expected[..count] {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the connection does not begin as HTTP/2 does",
            ));
        }
        self.preface_bytes += count;
        if self.preface_bytes == PREFACE.len() && !read.is_empty() {
            self.connection.set_phase(ConnectionPhase::Idle);
        }
        Ok(())
    }
}

impl Connected for PeerStream {
    type ConnectInfo = ();

    fn connect_info(&self) -> Self::ConnectInfo {}
}

impl AsyncRead for PeerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.closed.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        match polled {
            Poll::Ready(Ok(())) => Poll::Ready(this.note_read(&buf.filled()[before..])),
            other => other,
        }
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
