//! The reasons for which a request is refused before any of it runs.

use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_domain::{KeyTextError, OrgName};

use crate::PathError;

/// The reason why a presented key is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum KeyError {
    /// The route needs a key and none was presented.
    #[display("a key is needed")]
    Missing,
    /// The text does not have the format of a key.
    #[display("{_0}")]
    Malformed(KeyTextError),
    /// No key with this id and secret is in force.
    #[display("the key is not known")]
    Unknown,
    /// The key was withdrawn.
    #[display("the key was withdrawn")]
    Withdrawn,
}

/// The reason why a request is refused before any of it runs.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum AccessRefusal {
    /// The request has no valid key.
    #[display("unauthorized: {_0}")]
    Unauthorized(KeyError),
    /// The organisation of the key has no route to the requested model or path.
    #[display("forbidden: organisation `{organisation}` has no route to this")]
    Forbidden {
        /// The organisation to which the key was issued.
        #[error(not(source))]
        organisation: OrgName,
    },
    /// No route leads to the requested model.
    #[display("no route reaches this model")]
    UnknownModel,
    /// No route leads to the requested path.
    #[display("no route reaches this path")]
    UnknownPath,
    /// The path is ambiguous, so an upstream could interpret it differently.
    #[display("{_0}")]
    Path(PathError),
    /// The tables are older than the route allows.
    #[display("the tables are {} s old, and the route allows {} s", age.as_secs(), max_age.as_secs())]
    Stale {
        /// The time since the tables were last known to be current.
        age: Duration,
        /// The highest age that the route allows.
        max_age: Duration,
    },
}
