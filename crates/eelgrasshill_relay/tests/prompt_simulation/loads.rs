//! Loads of several routes with bursts and faults, and what becomes of their callers.

use std::fmt;
use std::time::Duration;

use super::Deployment;

/// Shortest silence after which a caller of a stream disconnects.
const MIN_PATIENCE_MS: u64 = 2_000;

/// Requests of one route.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub rank: u8,
    pub objective_ms: u64,
    pub timeout_ms: u64,
    pub pause_ms: u64,
    /// Fewest and most tokens of a prompt.
    pub prompt_tokens: (u64, u64),
    pub events: u64,
    pub requests_per_s: u64,
}

impl Class {
    /// Returns the silence after which a caller disconnects.
    pub fn patience_ms(&self) -> u64 {
        MIN_PATIENCE_MS
            .max(4 * self.objective_ms)
            .max(8 * self.pause_ms)
    }
}

/// A multiple of a class' load for some time.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Index of the class.
    pub class: usize,
    pub factor: u64,
    /// The organisation that alone sends more; all if none is named.
    pub organisation: Option<usize>,
    pub from_ms: u64,
    pub until_ms: u64,
}

/// A fault of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A quarter of the engines crashes and returns later.
    EnginesGone { from_ms: u64, until_ms: u64 },
    /// All hosts are killed, and serve again later.
    HostsKilled { from_ms: u64, until_ms: u64 },
}

/// Load of a run. Callers leave after a silence, and retry a rejected or broken request once.
#[derive(Clone, Copy, Debug)]
pub struct Load<'a> {
    pub name: &'static str,
    /// The engines and hosts; its requests are replaced by the classes.
    pub deployment: Deployment,
    pub classes: &'a [Class],
    /// Number of organisations, which send equally often.
    pub organisations: usize,
    pub bursts: &'static [Burst],
    pub fault: Option<Fault>,
    /// Time after which a rejected caller that is told no time returns; none if it does not.
    pub untold_return_ms: Option<u64>,
}

/// What became of the callers of one class, counted once for each caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerCounts {
    pub arrived: u32,
    /// Streams whose first event came within the objective, counted from the first attempt, and
    /// which had no pause that is too long.
    pub in_time: u32,
    /// Streams that were complete otherwise.
    pub late: u32,
    /// Callers that were rejected for good.
    pub rejected: u32,
    /// Rejections of a second attempt.
    pub rejected_again: u32,
    /// Rejections of requests that had waited for half of their objective or more.
    pub rejected_after_wait: u32,
    /// Callers that left before their first event, or whose second attempt broke.
    pub deserted: u32,
    /// Rejections with a time to return.
    pub told: u32,
    /// Callers that left a host after their return.
    pub returned_in_vain: u32,
    /// Streams with a pause that is too long.
    pub paused: u32,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct LoadOutcome {
    pub classes: Vec<CallerCounts>,
    /// Callers of each organisation that arrived, and that were served in time.
    pub organisations: Vec<(u32, u32)>,
    /// Mean time until the first event, of the organisation for which it is longest.
    pub worst_wait: Duration,
    /// Most requests that waited at one host at the same time.
    pub longest_queue: usize,
    /// Most requests that waited at all hosts at the same time.
    pub most_waiting: usize,
}

impl LoadOutcome {
    /// Returns the sum of a count over all classes.
    pub fn sum(&self, count: impl Fn(&CallerCounts) -> u32) -> u32 {
        self.classes.iter().map(count).sum()
    }
}

impl fmt::Display for LoadOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, counts) in self.classes.iter().enumerate() {
            let CallerCounts {
                arrived,
                in_time,
                late,
                rejected,
                rejected_again,
                rejected_after_wait,
                deserted,
                told,
                returned_in_vain,
                paused,
            } = counts;
            write!(
                f,
                "[{number}: {arrived} arrived, {in_time} in time, {late} late, {rejected} \
                 rejected, {rejected_again} again, {rejected_after_wait} after a wait, {deserted} \
                 deserted, {told} told, {returned_in_vain} returned in vain, {paused} paused] "
            )?;
        }
        write!(
            f,
            "worst wait {:?}, longest queue {}, all queues {}",
            self.worst_wait, self.longest_queue, self.most_waiting
        )
    }
}
