//! When a host reads a topic from the store itself, instead of from its parent in the tree.
//!
//! The first root reads for all. Every other host reads only if what it gets along the tree is too
//! old, or if it has just started and its parent does not answer.
//!
//! The load patterns are the start of all hosts at once and the loss of the first root, or of its
//! path to the store: several hundred hosts then miss the same records. A host further down the
//! tree waits longer, since a host above it that reads passes the records on. All of that takes
//! place within the time in which a record must be in force on every host.

use std::time::Duration;

use eelgrasshill_domain::{Moment, record};

/// Part of the bound at which a root reads, in percent.
///
/// The rest is for the check, the read, and the way down the tree.
const ROOT_AGE_PERCENT: u32 = 50;

/// Part of the bound at which any host reads, in percent.
const MAX_AGE_PERCENT: u32 = 75;

/// Part of the bound between two reads of the first root, in percent.
///
/// The other hosts' records are then fresh enough not to be read again.
const READ_INTERVAL_PERCENT: u32 = 20;

/// Age that is added for each level below the roots: a round of the exchange.
const LEVEL_AGE: Duration = Duration::from_millis(250);

record! {
    /// Ages at which the hosts read one topic from the store.
    #[derive(Copy)]
    pub struct ReadPolicy {
        /// Longest time between two reads of the first root.
        #[serde(rename = "interval")]
        pub read_interval: Duration,
        /// Age of the records at which a root reads them.
        pub root_age: Duration,
        /// Age that is added for each level below the roots.
        #[serde(rename = "level")]
        pub level_age: Duration,
        /// Age at which any host reads.
        pub max_age: Duration,
        /// How long a host that has just started waits for records of its parent.
        pub patience: Duration,
    }

    /// What a host knows about a topic and about its own position.
    #[derive(Copy)]
    pub struct ReadState {
        /// Start of the process.
        #[serde(rename = "started")]
        pub started_at: Moment,
        /// Whether the host knows the registered hosts, and so its position.
        #[serde(rename = "placed")]
        pub has_position: bool,
        /// Whether it is the first root, which reads for the others.
        #[serde(rename = "first")]
        pub is_first_root: bool,
        /// Number of hosts between it and the root of its zone, and 1; 0 for the root.
        pub level: u32,
        /// When the records were last known to be the newest.
        #[serde(rename = "confirmed")]
        pub confirmed_at: Option<Moment>,
    }
}

impl ReadPolicy {
    /// Creates a policy with which a record is on every host within `bound` after it was written.
    ///
    /// It holds also if the first root has lost the store, but not its peers.
    #[must_use]
    pub fn new(bound: Duration, patience: Duration) -> Self {
        Self {
            read_interval: bound * READ_INTERVAL_PERCENT / 100,
            root_age: bound * ROOT_AGE_PERCENT / 100,
            level_age: LEVEL_AGE,
            max_age: bound * MAX_AGE_PERCENT / 100,
            patience,
        }
    }

    /// Returns whether a host in that state reads the topic now.
    #[must_use]
    pub fn should_read(&self, state: &ReadState, now: Moment) -> bool {
        if state.has_position && state.is_first_root {
            return true;
        }
        match state.confirmed_at {
            None => now.since(state.started_at) >= self.patience,
            Some(confirmed_at) => {
                let age = self.root_age + self.level_age * state.level;
                now.since(confirmed_at) >= age.min(self.max_age)
            }
        }
    }
}
