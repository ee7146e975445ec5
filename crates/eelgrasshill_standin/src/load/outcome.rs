//! What came of one request.

use std::time::{Duration, Instant};

/// The times of an answer, counted from when its request was due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Timing {
    pub(super) first: Duration,
    pub(super) gaps: Vec<Duration>,
    pub(super) whole: Duration,
}

/// Takes the times of an answer's tokens as they come.
#[derive(Clone, Debug)]
pub(super) struct TokenTimer {
    due: Instant,
    last: Option<Instant>,
    stalled: bool,
    stall: Duration,
    timing: Timing,
}

impl TokenTimer {
    pub(super) fn new(due: Instant, stall: Duration) -> Self {
        Self {
            due,
            last: None,
            stalled: false,
            stall,
            timing: Timing::default(),
        }
    }

    /// Notes that a token came now.
    pub(super) fn record_token(&mut self) {
        let now = Instant::now();
        let since = now.saturating_duration_since(self.last.unwrap_or(self.due));
        self.stalled |= since > self.stall;
        match self.last {
            None => self.timing.first = since,
            Some(_earlier) => self.timing.gaps.push(since),
        }
        self.last = Some(now);
    }

    /// Ends the answer and returns its times and whether it stalled.
    pub(super) fn finish(mut self) -> (Timing, bool) {
        let now = Instant::now();
        let quiet = now.saturating_duration_since(self.last.unwrap_or(self.due));
        self.timing.whole = now.saturating_duration_since(self.due);
        let stalled = self.stalled || quiet > self.stall;
        (self.timing, stalled)
    }
}

/// How one request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The whole answer came; `right` if its text is that of its request.
    Whole { timing: Timing, right: bool },
    /// An error status came instead of an answer.
    Refused { status: u16, code: String },
    /// The answer or its connection broke off.
    Broken { code: String },
}

/// What came of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Outcome {
    pub(super) ending: Ending,
    pub(super) stalled: bool,
    /// How much later than due the request was sent.
    pub(super) late: Duration,
}
