//! Answers that the gateway gives itself instead of an upstream's.
//!
//! The cause decides the status, from which a caller sees whether the request may have run.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder};
use derive_more::Display;

/// Reason why the gateway refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum RefusalCause {
    /// The request's headers or body cannot be parsed.
    #[display("malformed")]
    Malformed,
    /// The headers or the request line are longer than allowed.
    #[display("head-too-large")]
    HeadTooLarge,
    /// The body is larger than allowed.
    #[display("too-large")]
    TooLarge,
    /// The body made no progress, or was not complete within the request's time limit.
    #[display("body-timeout")]
    BodyTimeout,
    /// The host's memory for requests is used up.
    #[display("memory-full")]
    MemoryFull,
    /// The host has not read a configuration yet.
    #[display("no-tables")]
    NoTables,
    /// No route matches the host and path.
    #[display("no-route")]
    NoRoute,
    /// The key is missing or unknown.
    #[display("unknown-key")]
    UnknownKey,
    /// The configuration is too old to accept keys from it.
    #[display("keys-stale")]
    KeysStale,
    /// The organisation has used up its rate limit.
    #[display("rate-limited")]
    RateLimited,
    /// The host is leaving and could not finish the request in time.
    #[display("leaving")]
    Leaving,
    /// No upstream holds the model or adapter.
    #[display("not-held")]
    NotHeld,
    /// All upstreams that could serve the request are in evacuated zones.
    #[display("evacuated")]
    Evacuated,
    /// No upstream can start the request in time.
    #[display("overloaded")]
    Overloaded,
    /// All upstreams with the model asked this host to send nothing for some time.
    #[display("resting")]
    Resting,
    /// Engines crashed on requests that share a part of the prompt.
    #[display("quarantined-part")]
    QuarantinedPart,
    /// Engines crashed on earlier requests that were the same as a whole.
    #[display("quarantined-request")]
    QuarantinedRequest,
    /// The base version of the pool's software is not known.
    #[display("no-base")]
    NoBase,
    /// The software version that began the stream is not known.
    #[display("unknown-stream")]
    UnknownStream,
    /// The software version that began the stream has no upstream any more.
    #[display("version-gone")]
    VersionGone,
    /// The software version of the stream could not be written to the store.
    #[display("unwritten")]
    Unwritten,
    /// Upstreams did not run the request, and it may not be sent again.
    #[display("refused-upstream")]
    RefusedUpstream,
    /// The upstream failed the request with a status that would say that it did not run.
    #[display("unproven")]
    Unproven,
    /// The upstream's answer was lost, and the request may have run.
    #[display("lost")]
    Lost,
    /// The upstream did not answer in time, and the request may have run.
    #[display("timeout")]
    Timeout,
}

/// Refusal of a request by the gateway itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub cause: RefusalCause,
    /// When the caller may retry; only set if the request did not run.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    #[must_use]
    pub fn new(cause: RefusalCause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the HTTP status, which also tells whether the request may have run.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self.cause {
            RefusalCause::Malformed => StatusCode::BAD_REQUEST,
            RefusalCause::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            RefusalCause::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalCause::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RefusalCause::NoRoute => StatusCode::NOT_FOUND,
            RefusalCause::UnknownKey => StatusCode::UNAUTHORIZED,
            RefusalCause::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            RefusalCause::MemoryFull
            | RefusalCause::NoTables
            | RefusalCause::KeysStale
            | RefusalCause::Leaving
            | RefusalCause::NotHeld
            | RefusalCause::Evacuated
            | RefusalCause::Overloaded
            | RefusalCause::Resting
            | RefusalCause::QuarantinedPart
            | RefusalCause::QuarantinedRequest
            | RefusalCause::NoBase
            | RefusalCause::UnknownStream
            | RefusalCause::VersionGone
            | RefusalCause::RefusedUpstream => StatusCode::SERVICE_UNAVAILABLE,
            RefusalCause::Unwritten | RefusalCause::Unproven | RefusalCause::Lost => {
                StatusCode::BAD_GATEWAY
            }
            RefusalCause::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the text of the answer's body.
    pub(crate) fn text(cause: RefusalCause) -> String {
        format!("{cause}\n")
    }

    /// Builds the HTTP answer, with the cause as its body.
    #[must_use]
    pub fn respond(&self) -> HttpResponse {
        let mut response = HttpResponseBuilder::new(self.status());
        if let Some(after) = self.retry_after {
            response.insert_header(("retry-after", format!("{:.3}", after.as_secs_f64())));
        }
        response.body(Self::text(self.cause))
    }
}
