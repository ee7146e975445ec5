//! The bounds of time and number within which claims are handled.

use std::time::Duration;

use eelgrasshill_domain::record;

/// Longest time until a claim is won.
const MAX_CLAIM: Duration = Duration::from_secs(3);

/// Longest time from the win to the first byte.
const MAX_START: Duration = Duration::from_mins(1);

/// Longest wait for a call that runs elsewhere.
const MAX_WAIT: Duration = Duration::from_secs(30);

record! {
    /// Bounds that all hosts of a deployment share.
    pub struct ClaimBounds {
        /// How long the answer of a call can be repeated, in log time.
        pub window: Duration,
        /// How long a key is known as used, in log time.
        pub keep: Duration,
        /// How long a record waits for others of its batch.
        pub linger: Duration,
        /// Least time between two appends of one writer.
        pub pace: Duration,
        /// Time between two reads while records are awaited.
        pub poll: Duration,
        /// Most records of one append.
        pub batch: usize,
        /// Most records that wait at one writer.
        pub queue: usize,
        /// Most calls that one host has open.
        pub calls: usize,
        /// Longest time until a claim is won, from its start.
        pub claim: Duration,
        /// Longest time from the win to the first byte for an upstream.
        pub start: Duration,
        /// Longest wait for a call that runs elsewhere.
        pub wait: Duration,
        /// Time after which an unanswered record goes to another writer.
        pub resend: Duration,
    }
}

impl ClaimBounds {
    /// Derives the bounds from the time that the log keeps records.
    ///
    /// A key is known as used for half of that time. So a host that reads the
    /// log from its start knows every key that the others know, even when its
    /// reading takes long. Answers are kept for half as long again.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            window: retention / 4,
            keep: retention / 2,
            linger: Duration::from_millis(10),
            pace: Duration::from_millis(100),
            poll: Duration::from_millis(20),
            batch: 256,
            queue: 4096,
            calls: 4096,
            claim: MAX_CLAIM.min(retention / 32),
            start: MAX_START.min(retention / 16),
            wait: MAX_WAIT.min(retention / 16),
            resend: Duration::from_millis(700),
        }
    }

    /// Sets the pace so that all writers stay within `rate` appends a second.
    ///
    /// `writers` is the number of writers of all shards together.
    #[must_use]
    pub fn with_rate(mut self, rate: u32, writers: u32) -> Self {
        self.pace = Duration::from_secs(1) * writers / rate.max(1);
        self
    }
}
