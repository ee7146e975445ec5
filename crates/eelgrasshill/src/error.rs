//! Why a command failed, and the exit status that says so.

use std::io;

use derive_more::{Display, Error, From};
use eelgrasshill_domain::{NameError, Rejection};
use eelgrasshill_entry::StartError;
use eelgrasshill_ports::{AppendError, CallError, ReadError};
use eelgrasshill_settings::Problems;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// Files have mistakes.
    #[display("{_0}")]
    Files(Problems),
    /// The log rejected the edit, the same on every host.
    #[display("rejected: {_0}")]
    Rejected(Rejection),
    /// The log could not be read.
    #[display("{_0}")]
    Read(ReadError),
    /// The log could not be written.
    #[display("{_0}")]
    Append(AppendError),
    /// The verdict did not come; the edit may be in force later.
    #[display("the log gave no verdict within the bound; look again with `eelgrasshill tables`")]
    NoVerdict,
    /// The log no longer holds the configuration's start nor a snapshot of it.
    #[display("the log no longer holds the configuration: {_0}")]
    Gap(eelgrasshill_control::Gap),
    /// A host could not be asked.
    #[display("{_0}")]
    Call(CallError),
    /// A name is not valid.
    #[display("{_0}")]
    Name(NameError),
    /// A file could not be written.
    #[display("{file}: {cause}")]
    #[from(skip)]
    File {
        /// The file.
        file: String,
        /// What the system said.
        cause: io::Error,
    },
    /// The demo could not start.
    #[display("{_0}")]
    Start(StartError),
    /// A stand-in could not start.
    #[display("{_0}")]
    Standin(eelgrasshill_standin::StartError),
    /// The demo's request was refused.
    #[display("the request was refused with status {status}: {body}")]
    #[from(skip)]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The answer's body.
        body: String,
    },
    /// The demo did not become ready.
    #[display("the demo did not become ready in time")]
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
