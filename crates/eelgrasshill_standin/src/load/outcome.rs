//! The outcome of one request and the times of its answer.

use std::time::{Duration, Instant};

/// The times of an answer, measured from its request's due time.
///
/// Measuring from the due time includes any delay in sending.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Timing {
    pub(super) first_token: Duration,
    pub(super) gaps: Vec<Duration>,
    pub(super) total: Duration,
}

/// Measures the times of an answer's tokens as they arrive.
#[derive(Clone, Debug)]
pub(super) struct TokenTimer {
    due: Instant,
    last: Option<Instant>,
    stalled: bool,
    stall_timeout: Duration,
    timing: Timing,
}

impl TokenTimer {
    pub(super) fn new(due: Instant, stall_timeout: Duration) -> Self {
        Self {
            due,
            last: None,
            stalled: false,
            stall_timeout,
            timing: Timing::default(),
        }
    }

    /// Records that a token arrived now.
    pub(super) fn record_token(&mut self) {
        let now = Instant::now();
        let since = now.saturating_duration_since(self.last.unwrap_or(self.due));
        self.stalled |= since > self.stall_timeout;
        match self.last {
            None => self.timing.first_token = since,
            Some(_earlier) => self.timing.gaps.push(since),
        }
        self.last = Some(now);
    }

    /// Ends the measurement and returns the times and whether the answer stalled.
    pub(super) fn finish(mut self) -> (Timing, bool) {
        let now = Instant::now();
        let quiet = now.saturating_duration_since(self.last.unwrap_or(self.due));
        self.timing.total = now.saturating_duration_since(self.due);
        let stalled = self.stalled || quiet > self.stall_timeout;
        (self.timing, stalled)
    }
}

/// How one request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The answer is complete; `correct` tells whether its text is as expected.
    Complete { timing: Timing, correct: bool },
    /// The request was answered with an error status.
    Refused { status: u16, code: String },
    /// The answer or its connection broke off.
    Broken { code: String },
}

/// The outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Outcome {
    pub(super) ending: Ending,
    pub(super) stalled: bool,
    /// Delay from the due time to the sending of the request.
    pub(super) send_delay: Duration,
}
