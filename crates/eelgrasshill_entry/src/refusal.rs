//! Refusals as callers see them: a status, a stable code and what may have run.

use std::fmt::Display;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use actix_web::{HttpResponse, ResponseError};
use derive_more::Error;
use eelgrasshill_domain::scalar;
use serde_json::{Value, json};

/// The header that says whether a refused request may have run.
pub const RUN_HEADER: &str = "Eelgrasshill-Run";

scalar! {
    /// The stable code of a refusal.
    #[derive(derive_more::Display)]
    #[display(rename_all = "kebab-case")]
    pub enum Code {
        /// The request cannot be read.
        BadRequest,
        /// The request needs a key that works.
        Unauthorized,
        /// The key was withdrawn.
        KeyWithdrawn,
        /// The organisation has no route to this.
        Forbidden,
        /// No route reaches the model.
        UnknownModel,
        /// No route reaches the path.
        UnknownPath,
        /// The body is too large.
        BodyTooLarge,
        /// The request may cost more than the organisation's burst.
        CostTooLarge,
        /// The organisation is over its rate.
        RateLimited,
        /// The queue is full.
        QueueFull,
        /// The request's time to wait has passed.
        QueueTimeout,
        /// No upstream holds what was asked for.
        NoUpstream,
        /// The tables are older than the route allows.
        TablesStale,
        /// The host is not ready or is leaving.
        NotReady,
        /// The call's key is in use with another request.
        IdempotencyConflict,
        /// The call may not be repeated, and its idempotency key cannot be claimed now.
        ClaimUnavailable,
        /// Whether the call ran cannot be told.
        OutcomeUnknown,
        /// The upstream failed.
        UpstreamFailed,
        /// The time for the whole answer has passed.
        AnswerTimeout,
    }

    /// Whether a refused request ran.
    #[derive(derive_more::Display)]
    pub enum Run {
        /// It did not run and never will.
        #[display("not-run")]
        NotRun,
        /// It may have run.
        #[display("unknown")]
        Unknown,
    }
}

/// A refusal on its way to a caller.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, Error)]
#[display("{code}: {message}")]
pub struct ApiError {
    /// The stable code.
    pub code: Code,
    /// What is wrong, in words.
    pub message: String,
    /// Whether the request ran.
    pub run: Run,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl ApiError {
    /// Makes the refusal of a request that did not run.
    #[must_use]
    pub fn not_run(code: Code, message: impl Display) -> Self {
        Self {
            code,
            message: message.to_string(),
            run: Run::NotRun,
            retry_after: None,
        }
    }

    /// Makes the refusal of a request that may have run.
    #[must_use]
    pub fn unknown(code: Code, message: impl Display) -> Self {
        Self {
            code,
            message: message.to_string(),
            run: Run::Unknown,
            retry_after: None,
        }
    }

    /// Sets when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the body, which is also the data of an error event in a stream.
    #[must_use]
    pub fn body(&self) -> Value {
        json!({ "error": {
            "code": self.code.to_string(),
            "message": self.message,
            "run": self.run.to_string(),
        } })
    }
}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        match self.code {
            Code::BadRequest | Code::CostTooLarge => StatusCode::BAD_REQUEST,
            Code::Unauthorized | Code::KeyWithdrawn => StatusCode::UNAUTHORIZED,
            Code::Forbidden => StatusCode::FORBIDDEN,
            Code::UnknownModel | Code::UnknownPath => StatusCode::NOT_FOUND,
            Code::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Code::RateLimited | Code::QueueFull => StatusCode::TOO_MANY_REQUESTS,
            Code::IdempotencyConflict | Code::OutcomeUnknown => StatusCode::CONFLICT,
            Code::QueueTimeout
            | Code::NoUpstream
            | Code::TablesStale
            | Code::NotReady
            | Code::ClaimUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            Code::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Code::AnswerTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        response.insert_header((RUN_HEADER, self.run.to_string()));
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_millis().div_ceil(1000).max(1);
            response.insert_header((RETRY_AFTER, seconds.to_string()));
        }
        response.json(self.body())
    }
}

impl From<eelgrasshill_control::Refusal> for ApiError {
    fn from(refusal: eelgrasshill_control::Refusal) -> Self {
        use eelgrasshill_control::{KeyError, Refusal};
        let code = match &refusal {
            Refusal::Unauthorized(KeyError::Withdrawn) => Code::KeyWithdrawn,
            Refusal::Unauthorized(_) => Code::Unauthorized,
            Refusal::Forbidden { .. } => Code::Forbidden,
            Refusal::UnknownModel => Code::UnknownModel,
            Refusal::UnknownPath => Code::UnknownPath,
            Refusal::Path(_) => Code::BadRequest,
            Refusal::Stale { .. } => Code::TablesStale,
        };
        Self::not_run(code, refusal)
    }
}

impl From<eelgrasshill_limit::Refusal> for ApiError {
    fn from(refusal: eelgrasshill_limit::Refusal) -> Self {
        use eelgrasshill_limit::Refusal;
        let not_run = |code| Self::not_run(code, &refusal);
        match &refusal {
            Refusal::Unknown { .. } => not_run(Code::Forbidden),
            Refusal::TooLarge { .. } => not_run(Code::CostTooLarge),
            Refusal::Scarce { retry } | Refusal::Unreachable { retry } => {
                not_run(Code::RateLimited).with_retry_after(*retry)
            }
        }
    }
}

impl From<eelgrasshill_route::Refusal> for ApiError {
    fn from(refusal: eelgrasshill_route::Refusal) -> Self {
        use eelgrasshill_route::RefusalCause;
        let code = match refusal.cause {
            RefusalCause::ClassFull | RefusalCause::OrganisationFull => Code::QueueFull,
            RefusalCause::NoUpstream => Code::NoUpstream,
            RefusalCause::Deadline => Code::QueueTimeout,
            RefusalCause::Duplicate => Code::BadRequest,
        };
        Self::not_run(code, refusal).with_retry_after(refusal.retry_after)
    }
}
