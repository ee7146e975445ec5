//! Reads a request body within a size limit and a timeout.

use std::time::Duration;

use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use crate::{ApiError, Code};

/// Reads a whole body of at most `max_bytes` bytes within `timeout`.
///
/// # Errors
///
/// Returns [`ApiError`] when the body is too long, too slow or truncated.
pub(crate) async fn read_body(
    payload: Payload,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, ApiError> {
    match tokio::time::timeout(timeout, collect(payload, max_bytes)).await {
        Ok(body) => body,
        Err(_elapsed) => {
            let millis = timeout.as_millis();
            let message = format!("the body did not arrive within {millis} ms");
            Err(ApiError::not_run(Code::BadRequest, message))
        }
    }
}

async fn collect(mut payload: Payload, max_bytes: usize) -> Result<Bytes, ApiError> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|error| ApiError::not_run(Code::BadRequest, error))?;
        if body.len() + part.len() > max_bytes {
            let message = format!("the body is longer than {max_bytes} bytes");
            return Err(ApiError::not_run(Code::BodyTooLarge, message));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}
