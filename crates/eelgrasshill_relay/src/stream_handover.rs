//! When a silent engine's stream goes to another engine, and when the silent one is given up.
//!
//! Two engines must not work on one request. An engine that refuses a request does not work on it,
//! so until then the silent engine may keep the stream.

use std::time::Duration;

use crate::caller_patience;

/// Time after a request was sent in which its engine may refuse it and the earlier engine is kept.
///
/// A refusal takes a round trip. The earlier engine must have ended 400 ms after the later one
/// began, so 250 ms remain for its connection's end to arrive, also from a host whose processor
/// time is used up for 100 ms.
pub const REFUSAL_WINDOW: Duration = Duration::from_millis(150);

/// Part of a caller's patience after which a silent engine's stream is offered to another engine.
///
/// Sound engines pause for a second or so. The rest is for the other engine's first event.
const SILENCE_PERCENT: u32 = 75;

/// When the stream of a silent engine is offered to another one, by when its caller leaves.
#[derive(Clone, Copy, Debug)]
pub struct SilencePolicy {
    patience: Duration,
}

impl SilencePolicy {
    /// Creates the policy of a route with this objective and longest pause.
    #[must_use]
    pub fn new(objective: Duration, max_pause: Option<Duration>) -> Self {
        Self {
            patience: caller_patience(objective, max_pause),
        }
    }

    /// Returns the silence after which another engine may be asked.
    #[must_use]
    pub fn limit(self) -> Duration {
        self.patience * SILENCE_PERCENT / 100
    }

    /// Returns the time within which another engine must send an event to be asked.
    ///
    /// A caller that is still there after its expected patience waits until its deadline.
    #[must_use]
    pub fn time_to_go_on(self, silence: Duration, time_left: Duration) -> Duration {
        match self.patience.saturating_sub(silence) {
            Duration::ZERO => time_left,
            until_leave => time_left.min(until_leave),
        }
    }
}

/// What is known of the attempt at the later engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LaterAttempt {
    /// The engine did not get the request.
    NotSent,
    /// The engine stated that it did not run the request.
    Refused,
    /// The request was sent that long ago and is not answered.
    Unanswered(Duration),
    /// The engine answered, or failed without a statement.
    MayHaveRun,
}

impl LaterAttempt {
    /// Returns whether the earlier engine keeps the stream for now.
    #[must_use]
    pub fn keeps_earlier(self) -> bool {
        match self {
            Self::NotSent | Self::Refused => true,
            Self::Unanswered(elapsed) => elapsed < REFUSAL_WINDOW,
            Self::MayHaveRun => false,
        }
    }
}

/// Returns whether another engine could send an event in the time left.
///
/// If not, only the silent engine can still go on with the stream. `start_wait` is the time until
/// the other engine reads the prompt and `prompt_time` the time that this takes.
#[must_use]
pub fn can_go_on_in_time(time_left: Duration, start_wait: Duration, prompt_time: Duration) -> bool {
    start_wait.saturating_add(prompt_time) < time_left
}
