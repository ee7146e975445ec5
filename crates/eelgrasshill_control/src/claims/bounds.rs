//! The bounds of time and number within which claims are handled.

use std::time::Duration;

use eelgrasshill_domain::record;

/// The highest value of [`ClaimBounds::claim_timeout`].
const MAX_CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// The highest value of [`ClaimBounds::start_timeout`].
const MAX_START_TIMEOUT: Duration = Duration::from_mins(1);

/// The highest value of [`ClaimBounds::wait_timeout`].
const MAX_WAIT_TIMEOUT: Duration = Duration::from_secs(30);

record! {
    /// Bounds that all hosts of a deployment share.
    pub struct ClaimBounds {
        /// The log time for which a recorded answer is repeated.
        #[serde(rename = "window")]
        pub answer_retention: Duration,
        /// The log time for which a key is remembered after its last record.
        #[serde(rename = "keep")]
        pub key_retention: Duration,
        /// The time for which a record waits for others to share its append.
        #[serde(rename = "linger")]
        pub batch_delay: Duration,
        /// The shortest time between two appends of one writer.
        #[serde(rename = "pace")]
        pub append_interval: Duration,
        /// The time between two reads of the log while records are awaited.
        #[serde(rename = "poll")]
        pub poll_interval: Duration,
        /// The highest number of records in one append.
        #[serde(rename = "batch")]
        pub batch_records: usize,
        /// The highest number of records that wait at one writer.
        #[serde(rename = "queue")]
        pub queue_records: usize,
        /// The highest number of open calls on one host.
        #[serde(rename = "calls")]
        pub open_calls: usize,
        /// The longest time from the start of a claim until it wins.
        #[serde(rename = "claim")]
        pub claim_timeout: Duration,
        /// The longest time from the win until the first byte is sent upstream.
        #[serde(rename = "start")]
        pub start_timeout: Duration,
        /// The longest wait for a call that runs on another claim.
        #[serde(rename = "wait")]
        pub wait_timeout: Duration,
        /// The time after which an unanswered record is sent to the next writer.
        #[serde(rename = "resend")]
        pub resend_interval: Duration,
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
            answer_retention: retention / 4,
            key_retention: retention / 2,
            batch_delay: Duration::from_millis(10),
            append_interval: Duration::from_millis(100),
            poll_interval: Duration::from_millis(20),
            batch_records: 256,
            queue_records: 4096,
            open_calls: 4096,
            claim_timeout: MAX_CLAIM_TIMEOUT.min(retention / 32),
            start_timeout: MAX_START_TIMEOUT.min(retention / 16),
            wait_timeout: MAX_WAIT_TIMEOUT.min(retention / 16),
            resend_interval: Duration::from_millis(700),
        }
    }

    /// Sets the pace so that all writers stay within `rate` appends a second.
    ///
    /// `writers` is the number of writers of all shards together.
    #[must_use]
    pub fn with_rate(mut self, appends_per_second: u32, writers: u32) -> Self {
        self.append_interval = Duration::from_secs(1) * writers / appends_per_second.max(1);
        self
    }
}
