//! Errors of calls to external systems, distinguished by whether the call may have taken effect.
//!
//! Callers decide from this whether they may retry.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use derive_more::{Debug, Display, Error};

/// The reason why a call to an upstream or the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum CallError {
    /// No byte of the request was sent.
    ///
    /// The request could not be built, no connection was established, or a pooled connection had
    /// ended.
    #[display("no connection to {address}: {cause}")]
    NotSent {
        /// The address that could not be reached.
        address: String,
        /// The error message of the transport.
        cause: String,
    },
    /// The connection failed after sending; the request may have taken effect.
    #[display("the answer of {address} was lost: {cause}")]
    Lost {
        /// The address that was called.
        address: String,
        /// The error message of the transport.
        cause: String,
    },
    /// No answer arrived within the timeout; the request may have taken effect.
    #[debug("Timeout {{ address: {address:?}, bound: {timeout:?} }}")]
    #[display("{address} did not answer within {} ms", timeout.as_millis())]
    Timeout {
        /// The address that was called.
        address: String,
        /// The timeout.
        timeout: Duration,
    },
    /// The server answered with an error status; whether the request ran depends on the server.
    #[display("{address} answered with status {status}: {detail}")]
    Status {
        /// The address that was called.
        address: String,
        /// The HTTP status.
        status: u16,
        /// The start of the response body.
        detail: String,
    },
    /// The answer cannot be parsed or is too long; the request may have taken effect.
    #[display("{address} sent an answer that cannot be read: {cause}")]
    Malformed {
        /// The address that was called.
        address: String,
        /// What is wrong with the answer.
        cause: String,
    },
}

impl CallError {
    /// Returns whether the request certainly never reached the server.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }

    /// Classifies a transport error by whether any byte may have been sent.
    pub(crate) fn from_send_error(
        address: &str,
        timeout: Duration,
        error: &SendRequestError,
    ) -> Self {
        let address = address.to_owned();
        match error {
            // `awc` reports a connection that ended before an answer as `Disconnected`.
            SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
                Self::Lost {
                    address,
                    cause: "the connection ended without an answer".to_owned(),
                }
            }
            SendRequestError::Url(_) | SendRequestError::Connect(_) | SendRequestError::Http(_) => {
                Self::NotSent {
                    address,
                    cause: error.to_string(),
                }
            }
            SendRequestError::Timeout => Self::Timeout { address, timeout },
            _ => Self::Lost {
                address,
                cause: error.to_string(),
            },
        }
    }
}

/// Statuses of final answers.
///
/// The HTTP clients accept any three digits from 100 on. Passed on, a 101 would leave the caller
/// without an answer, and a status that does not exist means something else to each program.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Checks that an answer has the status of a final answer.
///
/// # Errors
///
/// Returns [`CallError::Malformed`] for any other status.
pub(crate) fn check_final_status(address: SocketAddr, status: u16) -> Result<(), CallError> {
    if FINAL_STATUSES.contains(&status) {
        return Ok(());
    }
    Err(CallError::Malformed {
        address: address.to_string(),
        cause: format!("status {status} instead of an answer"),
    })
}

/// Runs a call with a timeout.
pub(crate) async fn with_timeout<T>(
    address: SocketAddr,
    timeout: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let timeout_error = |_elapsed| CallError::Timeout {
        address: address.to_string(),
        timeout,
    };
    tokio::time::timeout(timeout, call)
        .await
        .map_err(timeout_error)?
}

/// The reason why an append failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum AppendError {
    /// None of the records was written.
    #[display("the records were not written: {_0}")]
    NotWritten(CallError),
    /// The records may have been written; read the stream for their ids before a retry.
    #[display("the records may have been written: {_0}")]
    MaybeWritten(CallError),
}

/// The error of a failed read from the log.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("the log could not be read: {_0}")]
pub struct ReadError(#[error(source)] pub CallError);
