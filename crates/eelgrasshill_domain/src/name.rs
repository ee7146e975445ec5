//! Names as shared immutable strings, each kind with a type of its own.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Longest name in bytes.
const MAX_NAME_BYTES: usize = 96;

/// A text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display(
    "`{text}` is not a {kind} name: use 1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, `-`, `_`, `.` and `:`"
)]
pub struct NameError {
    /// What kind of name was expected.
    pub kind: &'static str,
    /// The text that was given.
    pub text: String,
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(&b))
}

macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident, $kind:literal;)+) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
            #[serde(try_from = "String", into = "String")]
            pub struct $name(Arc<str>);

            impl $name {
                /// Checks a text and makes a name of it.
                ///
                /// # Errors
                ///
                /// Returns [`NameError`] when the text is empty, too long or has other characters.
                pub fn new(text: &str) -> Result<Self, NameError> {
                    if !is_name(text) {
                        return Err(NameError { kind: $kind, text: text.to_owned() });
                    }
                    Ok(Self(Arc::from(text)))
                }

                /// Returns the name as text.
                #[must_use]
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl TryFrom<String> for $name {
                type Error = NameError;

                fn try_from(text: String) -> Result<Self, NameError> {
                    Self::new(&text)
                }
            }

            impl std::str::FromStr for $name {
                type Err = NameError;

                fn from_str(text: &str) -> Result<Self, NameError> {
                    Self::new(text)
                }
            }

            impl From<$name> for String {
                fn from(name: $name) -> Self {
                    name.0.to_string()
                }
            }
        )+
    };
}

name_type! {
    /// The name of an adapter of a model.
    AdapterName, "adapter";
    /// The unique id of one append to the log, the same on every retry.
    AppendId, "append id";
    /// The name of an entry host or an upstream host.
    HostName, "host";
    /// The public part of a key, by which operators refer to it.
    KeyId, "key id";
    /// The name of a model.
    ModelName, "model";
    /// The name of an organisation.
    OrgName, "organisation";
    /// The name of a pool, by which routes and pools are joined.
    PoolName, "pool";
    /// The id of one request.
    RequestId, "request id";
    /// The name of a row of the routes table.
    RouteName, "route";
    /// The name of one stream of the log service.
    StreamName, "stream";
    /// The name of an availability zone.
    ZoneName, "zone";
}
