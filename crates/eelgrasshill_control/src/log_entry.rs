//! Log entries and log time, as the log service reports them to every reader.
//!
//! All hosts see the same timestamps, so decisions that depend on the age of a
//! record use [`LogTime`] and not the clock of the host.

use std::time::Duration;

use derive_more::Display;
use eelgrasshill_domain::{AppendId, Offset, record, scalar};

scalar! {
    /// A time on the log service's clock, in milliseconds since the Unix epoch.
    #[derive(Default, Display)]
    pub struct LogTime(pub u64);
}

impl LogTime {
    /// Returns the time `span` later, rounded down to milliseconds.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(span))
    }
}

record! {
    /// A record with the position, time and append id that the log gave it.
    pub struct LogEntry<R> {
        /// The position in the stream; the first record has offset one.
        pub offset: Offset,
        /// The time at which the log service accepted the record.
        pub at: LogTime,
        /// The append id, which is the same on every retry.
        pub id: AppendId,
        /// The appended record.
        pub record: R,
    }

    /// Consecutive log entries, received from the log or from a peer.
    ///
    /// No record between `from` and `to` is missing, but not every offset in
    /// between needs to have a record.
    pub struct Delta<R> {
        /// The first offset that the delta covers.
        pub from: Offset,
        /// The last offset that the delta covers.
        pub to: Offset,
        /// The entries, in ascending order of offsets.
        pub records: Vec<LogEntry<R>>,
    }
}

impl<R> Delta<R> {
    /// Creates a delta from `from` to the offset of the last entry.
    #[must_use]
    pub fn new(from: Offset, records: Vec<LogEntry<R>>) -> Self {
        let before = Offset(from.0.saturating_sub(1));
        let to = records.last().map_or(before, |entry| entry.offset);
        Self { from, to, records }
    }
}
