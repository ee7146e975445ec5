//! Newtypes for instants, log offsets, versions and process incarnations.

use std::time::Duration;

use derive_more::Display;

use crate::scalar;

scalar! {
    /// Instant of one host's monotonic clock, in milliseconds.
    #[derive(Default, Display)]
    pub struct Moment(pub u64);

    /// Position of a record in one stream of the log.
    #[derive(Default, Display)]
    pub struct Offset(pub u64);

    /// Version of a row: the offset of the accepted edit that last changed it.
    ///
    /// Zero means that the row does not exist.
    #[derive(Default, Display)]
    pub struct Version(pub u64);

    /// Number of a process start, higher than at each earlier start at the same address.
    #[derive(Default, Display)]
    pub struct Incarnation(pub u64);
}

impl Moment {
    /// Returns the instant `span` later, rounded down to milliseconds.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this instant.
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
