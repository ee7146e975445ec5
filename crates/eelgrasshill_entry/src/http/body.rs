//! Reads a request body within a size limit, a timeout and the host's memory.

use std::time::Duration;

use actix_web::web::Payload;
use actix_web::{HttpMessage, HttpRequest, HttpResponse, ResponseError};
use eelgrasshill_ports::{
    BodyError, BodyLimits, CallerBody, ConnectionMemory, HeadRefusal, RequestGate, read_caller_body,
};

use crate::{ApiError, Code, Shared};

/// Retry time for callers of a host whose memory for requests is used up.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reads a whole body, whose memory is charged to the caller.
///
/// # Errors
///
/// Returns [`ApiError`] when the body is too long, too slow, truncated or does not fit.
pub(crate) async fn read_body(
    shared: &Shared,
    request: &HttpRequest,
    payload: Payload,
) -> Result<CallerBody, ApiError> {
    let bounds = shared.settings.bounds;
    let limits = BodyLimits {
        max_bytes: bounds.max_body_bytes,
        idle_timeout: bounds.receive_timeout,
        time_limit: bounds.receive_timeout,
    };
    let gate = request.conn_data::<RequestGate>();
    let connection = gate.map_or_else(ConnectionMemory::default, |gate| {
        gate.connection().memory().clone()
    });
    let address = request.peer_addr().map(|address| address.ip());
    let charge = shared.memory.charge(address, &connection, limits.max_bytes);
    read_caller_body(payload, limits, charge, gate)
        .await
        .map_err(|error| match error {
            BodyError::TooLarge { .. } => ApiError::not_run(Code::BodyTooLarge, error),
            BodyError::MemoryFull(_) => memory_full(error),
            BodyError::Unreadable(_) | BodyError::Idle { .. } | BodyError::Late { .. } => {
                ApiError::not_run(Code::BadRequest, error)
            }
        })
}

fn memory_full(cause: impl std::fmt::Display) -> ApiError {
    ApiError::not_run(Code::MemoryFull, cause).with_retry_after(MEMORY_RETRY_AFTER)
}

/// Answers a request whose head was refused.
pub(crate) async fn refuse_head(request: HttpRequest) -> HttpResponse {
    let error = match request.extensions().get::<HeadRefusal>() {
        Some(HeadRefusal::MemoryFull) => memory_full("the memory for requests is used up"),
        Some(HeadRefusal::TooLarge) | None => ApiError::not_run(
            Code::HeadTooLarge,
            "the headers or the request line are longer than allowed",
        ),
    };
    error.error_response()
}
