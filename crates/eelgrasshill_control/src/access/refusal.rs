//! Why a request is refused before anything of it runs.

use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_domain::{KeyTextError, OrgName};

use crate::PathError;

/// Why a presented key does not count.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum KeyError {
    /// The route needs a key and none was presented.
    #[display("a key is needed")]
    Missing,
    /// The text is not a key.
    #[display("{_0}")]
    Malformed(KeyTextError),
    /// No key with this id and secret is in force.
    #[display("the key is not known")]
    Unknown,
    /// The key was withdrawn.
    #[display("the key was withdrawn")]
    Withdrawn,
}

/// Why a request is refused before it runs.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// The request has no key that counts.
    #[display("unauthorized: {_0}")]
    Unauthorized(KeyError),
    /// The key's organisation has no route to what was asked for.
    #[display("forbidden: organisation `{organisation}` has no route to this")]
    Forbidden {
        /// The key's organisation.
        #[error(not(source))]
        organisation: OrgName,
    },
    /// No route reaches the model.
    #[display("no route reaches this model")]
    UnknownModel,
    /// No route reaches the path.
    #[display("no route reaches this path")]
    UnknownPath,
    /// The path could mean another one to an upstream.
    #[display("{_0}")]
    Path(PathError),
    /// The tables are older than the route allows.
    #[display("the tables are {} s old, and the route allows {} s", age.as_secs(), bound.as_secs())]
    Stale {
        /// Time since the tables were last known to be current.
        age: Duration,
        /// The most that the route allows.
        bound: Duration,
    },
}
