//! Body of an answer that keeps a guard until the server has taken or dropped all of it.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_web::HttpResponse;
use actix_web::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use derive_more::Debug;

#[derive(Debug)]
struct GuardedBody<G> {
    body: BoxBody,
    #[debug(skip)]
    _guard: G,
}

impl<G: Unpin> MessageBody for GuardedBody<G> {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_next(cx)
    }
}

/// Keeps the guard until the server has taken the whole body, or the connection has ended.
///
/// Up to a write buffer of the server, and what the system buffers, may be unsent by then.
pub fn guard_body<G: Unpin + 'static>(response: HttpResponse, guard: G) -> HttpResponse {
    response.map_body(|_head, body| {
        BoxBody::new(GuardedBody {
            body,
            _guard: guard,
        })
    })
}
