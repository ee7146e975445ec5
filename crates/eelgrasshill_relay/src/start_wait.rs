//! How long a request may wait for an engine before its answer would start too late.

use std::time::Duration;

/// Part of the objective within which a request must start, in percent.
pub const START_PERCENT: u32 = 90;

/// Any request may wait for the objective divided by this, whatever its size.
const MIN_START_DIVISOR: u32 = 2;

/// Returns how long a request may wait, from the time that its prompt takes.
///
/// A prompt that takes most of the objective is late on any engine.
#[must_use]
pub fn max_start_wait(objective: Duration, prompt_time: Duration) -> Duration {
    (objective * START_PERCENT / 100)
        .saturating_sub(prompt_time)
        .max(objective / MIN_START_DIVISOR)
}
