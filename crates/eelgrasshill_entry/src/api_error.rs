//! Error responses: HTTP status, stable code and whether the request may have run.

use std::fmt::Display;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use actix_web::{HttpResponse, ResponseError};
use derive_more::Error;
use eelgrasshill_domain::scalar;
use serde_json::{Value, json};

/// Response header that says whether a refused request may have run.
pub const RUN_HEADER: &str = "Eelgrasshill-Run";

const MILLIS_PER_SECOND: u128 = 1000;

scalar! {
    /// The stable code of an error response.
    #[derive(derive_more::Display)]
    #[display(rename_all = "kebab-case")]
    pub enum Code {
        /// The request cannot be read.
        BadRequest,
        /// The request has no valid API key.
        Unauthorized,
        /// The API key was withdrawn.
        KeyWithdrawn,
        /// The organisation has no route to the target.
        Forbidden,
        /// No route serves the model.
        UnknownModel,
        /// No route serves the path.
        UnknownPath,
        /// The body exceeds the size limit.
        BodyTooLarge,
        /// The headers or the request line exceed the size limit.
        HeadTooLarge,
        /// The host's memory for requests is used up.
        MemoryFull,
        /// The request may cost more than the organisation's burst.
        CostTooLarge,
        /// The organisation exceeded its rate.
        RateLimited,
        /// The request's queue is full.
        QueueFull,
        /// The request waited in the queue for the maximum time.
        QueueTimeout,
        /// No upstream can serve the request.
        NoUpstream,
        /// The tables are older than the route's limit.
        TablesStale,
        /// The host has no tables yet or is draining.
        NotReady,
        /// The idempotency key was used with another request.
        IdempotencyConflict,
        /// The call may not be repeated, and its idempotency key cannot be claimed now.
        ClaimUnavailable,
        /// It is unknown whether the call ran.
        OutcomeUnknown,
        /// The upstream failed or closed the connection.
        UpstreamFailed,
        /// The answer exceeded its maximum duration.
        AnswerTimeout,
    }

    /// Whether a refused request was executed.
    #[derive(derive_more::Display)]
    pub enum RunStatus {
        /// The request did not run and never will.
        #[display("not-run")]
        NotRun,
        /// The request may have run.
        #[display("unknown")]
        Unknown,
    }
}

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, Error)]
#[display("{code}: {message}")]
pub struct ApiError {
    /// The stable error code.
    pub code: Code,
    /// The message for a human reader.
    pub message: String,
    /// Whether the request may have run.
    pub run: RunStatus,
    /// How long the caller should wait before a retry.
    pub retry_after: Option<Duration>,
}

impl ApiError {
    /// Creates the error of a request that did not run.
    #[must_use]
    pub fn not_run(code: Code, message: impl Display) -> Self {
        Self {
            code,
            message: message.to_string(),
            run: RunStatus::NotRun,
            retry_after: None,
        }
    }

    /// Creates the error of a request that may have run.
    #[must_use]
    pub fn may_have_run(code: Code, message: impl Display) -> Self {
        Self {
            code,
            message: message.to_string(),
            run: RunStatus::Unknown,
            retry_after: None,
        }
    }

    /// Sets the delay sent in the `Retry-After` header.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Turns the error of a later attempt into that of a request whose earlier attempt may have run.
    #[must_use]
    pub fn after_run(mut self) -> Self {
        self.run = RunStatus::Unknown;
        self.retry_after = None;
        self
    }

    /// Returns the JSON body, which is also the data of a stream's error event.
    #[must_use]
    pub fn body(&self) -> Value {
        json!({ "error": {
            "code": self.code.to_string(),
            "message": self.message,
            "run": self.run.to_string(),
        } })
    }
}

impl Code {
    /// Returns the HTTP status for a request that did not run.
    fn status(self) -> StatusCode {
        match self {
            Code::BadRequest | Code::CostTooLarge => StatusCode::BAD_REQUEST,
            Code::Unauthorized | Code::KeyWithdrawn => StatusCode::UNAUTHORIZED,
            Code::Forbidden => StatusCode::FORBIDDEN,
            Code::UnknownModel | Code::UnknownPath => StatusCode::NOT_FOUND,
            Code::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Code::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Code::RateLimited | Code::QueueFull => StatusCode::TOO_MANY_REQUESTS,
            Code::IdempotencyConflict | Code::OutcomeUnknown => StatusCode::CONFLICT,
            Code::MemoryFull
            | Code::QueueTimeout
            | Code::NoUpstream
            | Code::TablesStale
            | Code::NotReady
            | Code::ClaimUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            Code::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Code::AnswerTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl ResponseError for ApiError {
    /// Returns the status of the code, or 502 where that would say that nothing ran.
    ///
    /// Callers that do not read the header [`RUN_HEADER`] take 429 and 503 for that statement.
    fn status_code(&self) -> StatusCode {
        let status = self.code.status();
        let is_promise = matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        );
        match self.run {
            RunStatus::Unknown if is_promise => StatusCode::BAD_GATEWAY,
            RunStatus::Unknown | RunStatus::NotRun => status,
        }
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        response.insert_header((RUN_HEADER, self.run.to_string()));
        if let Some(retry_after) = self.retry_after {
            // Whole seconds, rounded up and at least 1, as the header cannot hold fractions.
            let seconds = retry_after.as_millis().div_ceil(MILLIS_PER_SECOND).max(1);
            response.insert_header((RETRY_AFTER, seconds.to_string()));
        }
        response.json(self.body())
    }
}

impl From<eelgrasshill_control::AccessRefusal> for ApiError {
    fn from(refusal: eelgrasshill_control::AccessRefusal) -> Self {
        use eelgrasshill_control::{AccessRefusal, KeyError};
        let code = match &refusal {
            AccessRefusal::Unauthorized(KeyError::Withdrawn) => Code::KeyWithdrawn,
            AccessRefusal::Unauthorized(_) => Code::Unauthorized,
            AccessRefusal::Forbidden { .. } => Code::Forbidden,
            AccessRefusal::UnknownModel => Code::UnknownModel,
            AccessRefusal::UnknownPath => Code::UnknownPath,
            AccessRefusal::Path(_) => Code::BadRequest,
            AccessRefusal::Stale { .. } => Code::TablesStale,
        };
        Self::not_run(code, refusal)
    }
}

impl From<eelgrasshill_limit::LimitRefusal> for ApiError {
    fn from(refusal: eelgrasshill_limit::LimitRefusal) -> Self {
        use eelgrasshill_limit::LimitRefusal;
        let not_run = |code| Self::not_run(code, &refusal);
        match &refusal {
            LimitRefusal::Unknown { .. } => not_run(Code::Forbidden),
            LimitRefusal::TooLarge { .. } => not_run(Code::CostTooLarge),
            LimitRefusal::Scarce { retry } | LimitRefusal::Unreachable { retry } => {
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
