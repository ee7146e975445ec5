//! Reads the caller's API key and keeps it from reaching an upstream.

use actix_web::HttpRequest;
use actix_web::http::header::AUTHORIZATION;
use eelgrasshill_domain::KeyText;

use crate::{ApiError, Code};

/// Prefix of the authorization header, before the key.
const BEARER_PREFIX: &str = "Bearer ";

/// Returns the API key of the authorization header, if any.
pub(crate) fn presented_key(request: &HttpRequest) -> Option<KeyText> {
    let value = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix(BEARER_PREFIX)?.trim();
    Some(KeyText::unchecked(key.to_owned()))
}

/// Rejects content for an upstream that contains the API key.
///
/// # Errors
///
/// Returns [`ApiError`] when the content contains the key.
pub(crate) fn refuse_key_in(key: Option<&KeyText>, content: &[u8]) -> Result<(), ApiError> {
    let Some(key) = key else {
        return Ok(());
    };
    let text = key.reveal().as_bytes();
    let is_inside = !text.is_empty() && content.windows(text.len()).any(|part| part == text);
    if is_inside {
        let message = "the key stands in the request itself; send it in Authorization only";
        return Err(ApiError::not_run(Code::BadRequest, message));
    }
    Ok(())
}
