//! Timeouts, intervals and size limits for handling claims.
//!
//! Most of them derive from the retention of the log: a record must not expire
//! while a decision may still depend on it.

use std::time::Duration;

use eelgrasshill_domain::record;

/// The highest value of [`ClaimBounds::claim_timeout`].
const MAX_CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// The highest value of [`ClaimBounds::start_timeout`].
const MAX_START_TIMEOUT: Duration = Duration::from_mins(1);

/// The highest value of [`ClaimBounds::wait_timeout`].
const MAX_WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Divides the log's retention into [`ClaimBounds::answer_retention`].
const ANSWER_RETENTION_DIVISOR: u32 = 4;

/// Divides the log's retention into [`ClaimBounds::key_retention`].
const KEY_RETENTION_DIVISOR: u32 = 2;

/// Divides the log's retention into a bound on [`ClaimBounds::claim_timeout`].
const CLAIM_TIMEOUT_DIVISOR: u32 = 32;

/// Divides the log's retention into a bound on [`ClaimBounds::start_timeout`].
const START_TIMEOUT_DIVISOR: u32 = 16;

/// Divides the log's retention into a bound on [`ClaimBounds::wait_timeout`].
const WAIT_TIMEOUT_DIVISOR: u32 = 16;

record! {
    /// Limits for claims, which must be equal on all hosts of a deployment.
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
    /// Derives the limits from the retention of the log.
    ///
    /// A key is remembered for half of the retention. A host that reads the log
    /// from its start then knows every key that the other hosts know, even if it
    /// reads slowly. Answers are kept for half as long as keys.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            answer_retention: retention / ANSWER_RETENTION_DIVISOR,
            key_retention: retention / KEY_RETENTION_DIVISOR,
            batch_delay: Duration::from_millis(10),
            append_interval: Duration::from_millis(100),
            poll_interval: Duration::from_millis(20),
            batch_records: 256,
            queue_records: 4096,
            open_calls: 4096,
            claim_timeout: MAX_CLAIM_TIMEOUT.min(retention / CLAIM_TIMEOUT_DIVISOR),
            start_timeout: MAX_START_TIMEOUT.min(retention / START_TIMEOUT_DIVISOR),
            wait_timeout: MAX_WAIT_TIMEOUT.min(retention / WAIT_TIMEOUT_DIVISOR),
            resend_interval: Duration::from_millis(700),
        }
    }

    /// Sets the append interval so that all writers together keep to a rate.
    ///
    /// `appends_per_second` is the total rate, and `writers` the total number of
    /// writers of all shards.
    #[must_use]
    pub fn with_rate(mut self, appends_per_second: u32, writers: u32) -> Self {
        self.append_interval = Duration::from_secs(1) * writers / appends_per_second.max(1);
        self
    }
}
