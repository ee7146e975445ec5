//! The errors of commands and their exit statuses.

use std::io;

use derive_more::{Display, Error, From};
use eelgrasshill_domain::{NameError, Rejection};
use eelgrasshill_entry::StartError;
use eelgrasshill_ports::{AppendError, CallError, ReadError};
use eelgrasshill_settings::Problems;

/// The reason why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// The given files contain mistakes.
    #[display("{_0}")]
    Files(Problems),
    /// The record was rejected, with the same outcome on every host.
    #[display("rejected: {_0}")]
    Rejected(Rejection),
    /// Reading from the log failed.
    #[display("{_0}")]
    Read(ReadError),
    /// Appending to the log failed.
    #[display("{_0}")]
    Append(AppendError),
    /// No outcome came in time; the record may still take effect.
    #[display(
        "no outcome of the record came in time; it may still take effect: \
         check with `eelgrasshill tables` or `eelgrasshill key list`"
    )]
    NoOutcome,
    /// The log retains neither the start of the configuration nor a snapshot of it.
    #[display("the log no longer holds the configuration: {_0}")]
    Gap(eelgrasshill_control::Gap),
    /// The call to a host failed.
    #[display("{_0}")]
    Call(CallError),
    /// A given name is invalid.
    #[display("{_0}")]
    Name(NameError),
    /// Writing a file failed.
    #[display("{file}: {cause}")]
    #[from(skip)]
    File {
        /// The path of the file.
        file: String,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// An entry host of the demo could not start.
    #[display("{_0}")]
    Start(StartError),
    /// A stand-in could not start.
    #[display("{_0}")]
    Standin(eelgrasshill_standin::StartError),
    /// The request of the demo was refused.
    #[display("the request was refused with status {status}: {body}")]
    #[from(skip)]
    Refused {
        /// The HTTP status; 0 if there was no answer.
        status: u16,
        /// The response body, or the error of the transport.
        body: String,
    },
    /// A host of the demo was not ready, or did not accept a new key, before the timeout.
    #[display("a host of the demo was not ready or did not accept the new key in time")]
    NotReady,
}

impl CommandError {
    /// Returns the exit status: 2 for mistakes in files, 3 for a rejection, 1 otherwise.
    #[must_use]
    pub fn status(&self) -> u8 {
        match self {
            Self::Files(_) | Self::Name(_) => 2,
            Self::Rejected(_) => 3,
            _ => 1,
        }
    }
}
