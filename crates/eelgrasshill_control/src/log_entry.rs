//! Time as the log service counts it, shared by all hosts that read its records.

use std::time::Duration;

use derive_more::Display;
use eelgrasshill_domain::{AppendId, Offset, record, scalar};

scalar! {
    /// When the log service accepted a record, in milliseconds since the epoch.
    #[derive(Default, Display)]
    pub struct LogTime(pub u64);
}

impl LogTime {
    /// Returns the time `span` later, in whole milliseconds.
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
        /// When the log accepted it.
        pub at: LogTime,
        /// The id of the append, the same on every retry.
        pub id: AppendId,
        /// What was appended.
        pub record: R,
    }

    /// Consecutive records, read from the log or from a peer.
    ///
    /// No record between `from` and `to` is missing. Offsets may still have holes.
    pub struct Delta<R> {
        /// The offset that was asked for.
        pub from: Offset,
        /// The last offset that the records cover.
        pub to: Offset,
        /// The entries, in ascending order of offsets.
        pub records: Vec<LogEntry<R>>,
    }
}

impl<R> Delta<R> {
    /// Makes a delta that starts at `from` and ends with its last record.
    #[must_use]
    pub fn new(from: Offset, records: Vec<LogEntry<R>>) -> Self {
        let before = Offset(from.0.saturating_sub(1));
        let to = records.last().map_or(before, |entry| entry.offset);
        Self { from, to, records }
    }
}
