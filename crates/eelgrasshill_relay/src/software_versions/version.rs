//! Version of an upstream's software.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum length of a software version, in bytes, so that it fits into a datagram.
const MAX_VERSION_BYTES: usize = 96;

/// Error for a software version that is too long.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("a software version has at most {MAX_VERSION_BYTES} bytes, got {bytes}")]
pub struct VersionError {
    /// Length of the version.
    pub bytes: usize,
}

/// Version of an upstream's software; empty if it states none.
#[derive(
    Clone, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Creates a version from its text.
    ///
    /// # Errors
    ///
    /// Returns [`VersionError`] if the text is too long.
    pub fn new(text: &str) -> Result<Self, VersionError> {
        let bytes = text.len();
        if bytes > MAX_VERSION_BYTES {
            return Err(VersionError { bytes });
        }
        Ok(Self(Arc::from(text)))
    }

    /// Returns the version as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = VersionError;

    fn try_from(text: String) -> Result<Self, VersionError> {
        Self::new(&text)
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.0.to_string()
    }
}
