//! Body of an answer that reaches the server in slices, so that its write buffer stays small.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;

use crate::RequestGate;
use crate::socket_limits::{Direction, LARGE_BYTES};

/// Maximum size of a slice, and of the server's write buffer before a slice is added.
pub(crate) const SLICE_BYTES: usize = 8 << 10;

/// Body that ends the connection's request when the server has taken or dropped all of it.
#[derive(Debug)]
pub(crate) struct SlicedBody<B> {
    body: B,
    rest: Bytes,
    gate: Option<RequestGate>,
}

impl<B: MessageBody> SlicedBody<B> {
    pub(crate) fn new(body: B, gate: Option<RequestGate>) -> Self {
        if let (BodySize::Sized(length), Some(gate)) = (body.size(), &gate)
            && length >= LARGE_BYTES as u64
        {
            gate.grow_buffer(Direction::Send);
        }
        Self {
            body,
            rest: Bytes::new(),
            gate,
        }
    }
}

impl<B: MessageBody + Unpin> MessageBody for SlicedBody<B> {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.get_mut();
        if this.rest.is_empty() {
            match Pin::new(&mut this.body).poll_next(cx) {
                Poll::Ready(Some(Ok(bytes))) => this.rest = bytes,
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error.into()))),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            }
        }
        let slice = this.rest.split_to(this.rest.len().min(SLICE_BYTES));
        Poll::Ready(Some(Ok(slice)))
    }
}

impl<B> Drop for SlicedBody<B> {
    fn drop(&mut self) {
        if let Some(gate) = &self.gate {
            gate.end_answer();
        }
    }
}
