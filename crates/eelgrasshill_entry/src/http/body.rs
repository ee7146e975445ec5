//! Reads a request body within a size limit and a timeout.

use std::time::Duration;

use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use crate::{ApiError, Code};

/// Reads a whole body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// Returns [`ApiError`] when the body is too long, too slow or truncated.
pub(crate) async fn read_body(
    payload: Payload,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, ApiError> {
    match tokio::time::timeout(timeout, collect(payload, limit)).await {
        Ok(body) => body,
        Err(_elapsed) => {
            let millis = timeout.as_millis();
            let message = format!("the body did not arrive within {millis} ms");
            Err(ApiError::not_run(Code::BadRequest, message))
        }
    }
}

async fn collect(mut payload: Payload, limit: usize) -> Result<Bytes, ApiError> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|error| ApiError::not_run(Code::BadRequest, error))?;
        if body.len() + part.len() > limit {
            let message = format!("the body is longer than {limit} bytes");
            return Err(ApiError::not_run(Code::BodyTooLarge, message));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}
