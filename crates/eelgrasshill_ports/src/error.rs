//! Failures of calls to outside systems, told apart by what may have happened.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use derive_more::{Display, Error};

/// Why a call to an upstream or to the platform has no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum CallError {
    /// No connection stood, so that no byte of the request has left.
    #[display("no connection to {address}: {cause}")]
    NotSent {
        /// Where the call was to go.
        address: String,
        /// What the transport said.
        cause: String,
    },
    /// The request may have arrived and taken effect.
    #[display("the answer of {address} was lost: {cause}")]
    Lost {
        /// Where the call went.
        address: String,
        /// What the transport said.
        cause: String,
    },
    /// Nothing arrived within the bound; the request may have taken effect.
    #[display("{address} did not answer within {} ms", bound.as_millis())]
    Timeout {
        /// Where the call went.
        address: String,
        /// How long the caller waited.
        bound: Duration,
    },
    /// The other side answered with an error status.
    #[display("{address} answered with status {status}: {detail}")]
    Status {
        /// Where the call went.
        address: String,
        /// The HTTP status.
        status: u16,
        /// The start of the answer's body.
        detail: String,
    },
    /// The answer cannot be read.
    #[display("{address} sent an answer that cannot be read: {cause}")]
    Malformed {
        /// Where the call went.
        address: String,
        /// What is wrong with it.
        cause: String,
    },
}

impl CallError {
    /// Returns whether the request certainly never reached the other side.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }

    /// Sorts a transport's error by whether a byte may have left.
    pub(crate) fn from_send(address: &str, bound: Duration, error: &SendRequestError) -> Self {
        let address = address.to_owned();
        match error {
            // The client calls a connection that ended before an answer "disconnected".
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
            SendRequestError::Timeout => Self::Timeout { address, bound },
            _ => Self::Lost {
                address,
                cause: error.to_string(),
            },
        }
    }
}

/// Makes a call within a bound.
pub(crate) async fn within<T>(
    address: SocketAddr,
    bound: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let timeout = |_elapsed| CallError::Timeout {
        address: address.to_string(),
        bound,
    };
    tokio::time::timeout(bound, call).await.map_err(timeout)?
}

/// Why an append has no offset.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum AppendError {
    /// The log certainly holds none of the records.
    #[display("the records were not written: {_0}")]
    NotWritten(CallError),
    /// The log may hold the records; read on for their ids before retrying.
    #[display("the records may have been written: {_0}")]
    Unknown(CallError),
}

/// Why a read gave no page.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("the log could not be read: {_0}")]
pub struct ReadError(#[error(source)] pub CallError);
