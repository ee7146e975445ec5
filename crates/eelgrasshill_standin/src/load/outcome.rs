//! The outcome of one request and the times of its answer.

use std::time::{Duration, Instant};

/// The times of an answer, measured from its request's due time.
///
/// Measuring from the due time includes any delay in sending.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct AnswerTimes {
    pub(super) first_token: Duration,
    pub(super) token_gaps: Vec<Duration>,
    pub(super) total: Duration,
}

/// Measures the times of an answer's tokens as they arrive.
#[derive(Clone, Debug)]
pub(super) struct TokenTimer {
    due: Instant,
    last_token_at: Option<Instant>,
    stalled: bool,
    stall_timeout: Duration,
    times: AnswerTimes,
}

impl TokenTimer {
    pub(super) fn new(due: Instant, stall_timeout: Duration) -> Self {
        Self {
            due,
            last_token_at: None,
            stalled: false,
            stall_timeout,
            times: AnswerTimes::default(),
        }
    }

    /// Records that a token arrived now.
    pub(super) fn record_token(&mut self) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.last_token_at.unwrap_or(self.due));
        self.stalled |= elapsed > self.stall_timeout;
        match self.last_token_at {
            None => self.times.first_token = elapsed,
            Some(_previous) => self.times.token_gaps.push(elapsed),
        }
        self.last_token_at = Some(now);
    }

    /// Ends the measurement and returns the times and whether the answer stalled.
    pub(super) fn finish(mut self) -> (AnswerTimes, bool) {
        let now = Instant::now();
        let silence = now.saturating_duration_since(self.last_token_at.unwrap_or(self.due));
        self.times.total = now.saturating_duration_since(self.due);
        let stalled = self.stalled || silence > self.stall_timeout;
        (self.times, stalled)
    }
}

/// How one request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The answer is complete; `correct` tells whether its text is as expected.
    Complete { times: AnswerTimes, correct: bool },
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
