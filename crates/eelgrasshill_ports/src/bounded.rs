//! Connections that end when the server sends more than an answer can have.
//!
//! A faulty server may send bytes that never become a head, or a body that never ends. HTTP clients
//! bound the parts that they collect, but not what they skip: informational answers, the sizes of
//! chunks, spaces. The bound is therefore on the bytes that arrive on the connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The number of bytes that may still arrive on a connection.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget(Arc<AtomicUsize>);

impl ByteBudget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Sets how many bytes may arrive from now on.
    pub(crate) fn allow(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    fn is_spent(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
    }
}

/// A stream that fails when it is read after its budget was spent.
#[derive(Debug)]
pub(crate) struct BoundedStream<S> {
    inner: S,
    budget: ByteBudget,
    // What a request that is written allows to arrive, if anything.
    answer_bytes: Option<usize>,
}

impl<S> BoundedStream<S> {
    /// Wraps a stream whose budget is set from outside.
    pub(crate) fn new(inner: S, budget: ByteBudget) -> Self {
        Self {
            inner,
            budget,
            answer_bytes: None,
        }
    }

    /// Wraps a stream on which each write allows that many bytes to arrive.
    pub(crate) fn with_answer_bytes(inner: S, answer_bytes: usize) -> Self {
        Self {
            inner,
            budget: ByteBudget::new(answer_bytes),
            answer_bytes: Some(answer_bytes),
        }
    }

    fn note_write(&self) {
        if let Some(bytes) = self.answer_bytes {
            self.budget.allow(bytes);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.budget.is_spent() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the server sent more bytes than an answer can have",
            )));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.budget.spend(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.note_write();
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.note_write();
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}

impl<S: ActixStream> ActixStream for BoundedStream<S> {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.inner.poll_read_ready(cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.inner.poll_write_ready(cx)
    }
}

/// The unread body of an answer.
///
/// It fails if many bytes arrive that are no data, such as the sizes of chunks.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    budget: ByteBudget,
    // Bytes that may arrive before the next data.
    bytes_before_data: usize,
}

impl AnswerBody {
    pub(crate) fn new(incoming: Incoming, budget: ByteBudget, bytes_before_data: usize) -> Self {
        budget.allow(bytes_before_data);
        Self {
            incoming,
            budget,
            bytes_before_data,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && frame.is_data()
        {
            self.budget.allow(self.bytes_before_data);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
