//! Answers of the gateway's own, which say what became of the request.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder};
use derive_more::Display;

/// Why a request gets an answer of the gateway's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum Cause {
    /// The request's head or body cannot be understood.
    #[display("malformed")]
    Malformed,
    /// The body is too long.
    #[display("too-large")]
    TooLarge,
    /// No configuration is known yet.
    #[display("no-tables")]
    NoTables,
    /// No route has the path.
    #[display("no-route")]
    NoRoute,
    /// The key is missing or unknown.
    #[display("unknown-key")]
    UnknownKey,
    /// It is too long ago that the key was known to stand.
    #[display("keys-stale")]
    KeysStale,
    /// The organisation's rate is used up.
    #[display("rate-limited")]
    RateLimited,
    /// The host is leaving and could not finish the request.
    #[display("leaving")]
    Leaving,
    /// No upstream holds what is asked for.
    #[display("not-held")]
    NotHeld,
    /// No upstream can begin the request in time.
    #[display("overloaded")]
    Overloaded,
    /// Upstreams refused the request, and it may not be sent again.
    #[display("refused-upstream")]
    RefusedUpstream,
    /// The upstream's answer was lost.
    #[display("lost")]
    Lost,
    /// The time that the request had is over.
    #[display("timeout")]
    Timeout,
}

/// An answer of the gateway's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// When to come back; only where the request did not run.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal after which the caller need not come back.
    #[must_use]
    pub fn new(cause: Cause) -> Self {
        Self { cause, retry: None }
    }

    /// Says when to come back.
    #[must_use]
    pub fn with_retry(mut self, after: Duration) -> Self {
        self.retry = Some(after);
        self
    }

    /// Returns the status, which also says whether the request may have run.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self.cause {
            Cause::Malformed => StatusCode::BAD_REQUEST,
            Cause::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Cause::NoRoute => StatusCode::NOT_FOUND,
            Cause::UnknownKey => StatusCode::UNAUTHORIZED,
            Cause::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Cause::NoTables
            | Cause::KeysStale
            | Cause::Leaving
            | Cause::NotHeld
            | Cause::Overloaded
            | Cause::RefusedUpstream => StatusCode::SERVICE_UNAVAILABLE,
            Cause::Lost => StatusCode::BAD_GATEWAY,
            Cause::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the answer.
    #[must_use]
    pub fn respond(&self) -> HttpResponse {
        let mut response = HttpResponseBuilder::new(self.status());
        if let Some(after) = self.retry {
            response.insert_header(("retry-after", format!("{:.3}", after.as_secs_f64())));
        }
        response.body(format!("{}\n", self.cause))
    }
}
