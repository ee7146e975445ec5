//! Instants, log offsets, versions and incarnations as numbers with a type.

use std::time::Duration;

use derive_more::Display;

use crate::scalar;

scalar! {
    /// A point on one host's monotonic clock, in milliseconds.
    #[derive(Default, Display)]
    pub struct Moment(pub u64);

    /// A position in one stream of the log.
    #[derive(Default, Display)]
    pub struct Offset(pub u64);

    /// The offset of the accepted edit that last changed a row.
    ///
    /// Zero stands for a row that does not exist.
    #[derive(Default, Display)]
    pub struct Version(pub u64);

    /// A number that rises each time a process starts at an address.
    #[derive(Default, Display)]
    pub struct Incarnation(pub u64);
}

impl Moment {
    /// Returns the moment `span` later, in whole milliseconds.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// Returns the time since `earlier`, zero when that lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Offset {
    /// Returns the offset that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
