//! Validated names, as shared immutable strings with one type for each kind.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 96;

/// Error for a text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display(
    "`{text}` is not a {kind} name: use 1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, `-`, `_`, `.` and `:`"
)]
pub struct NameError {
    /// Kind of name that was expected.
    pub kind: &'static str,
    /// Text that was given.
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
                /// Creates a name from a text, which is checked.
                ///
                /// # Errors
                ///
                /// Returns [`NameError`] if the text is empty, too long or has invalid characters.
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
    /// Name of an adapter of a model.
    AdapterName, "adapter";
    /// Unique id of an append to the log, which retries reuse.
    AppendId, "append id";
    /// Name of an entry host or an upstream host.
    ///
    /// An entry host accepts callers' requests; an upstream host serves them.
    HostName, "host";
    /// Public id of a key, by which operators refer to it.
    KeyId, "key id";
    /// Name of a model.
    ModelName, "model";
    /// Name of an organisation.
    OrgName, "organisation";
    /// Name of a pool, by which routes, hosts and models refer to it.
    PoolName, "pool";
    /// Id of a request.
    RequestId, "request id";
    /// Name of a route in the routes table.
    RouteName, "route";
    /// Name of a stream of the log service.
    StreamName, "stream";
    /// Name of an availability zone.
    ZoneName, "zone";
}
