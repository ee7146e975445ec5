//! One append to the log, carried on until it was read back.
//!
//! The log's answer may be lost after the append took effect, and the append may
//! also land late. So a lost answer is followed by a read to the log's end, and
//! only then by the same append under the same id.

use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_domain::{AppendId, Moment, Offset};

/// The time to wait for the log's answer to an append or a read.
pub(crate) const LOG_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay before an append is sent again.
const APPEND_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Why an append has no offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum AppendError {
    /// The log said that it did not take the record.
    #[display("the log refused the append")]
    Refused,
    /// No answer arrived, so the record may be in the log now or later.
    #[display("no answer from the log; it may or may not have accepted the append")]
    Lost,
}

/// What to do next for an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendStep {
    /// Send the append, under its own id.
    Append,
    /// Read the log on from the last folded offset.
    Read,
    /// Wait for an answer or for time to pass.
    Wait,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Due(Moment),
    Sent(Moment),
    Acknowledged(Offset),
    /// The flag is set once a read has started after the answer was lost.
    Searching(bool),
}

/// The state of one append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    id: AppendId,
    stage: Stage,
    attempts: u32,
}

impl Append {
    /// Starts with an append that is still to be sent.
    #[must_use]
    pub fn new(id: AppendId, now: Moment) -> Self {
        Self {
            id,
            stage: Stage::Due(now),
            attempts: 0,
        }
    }

    /// Returns the id, the same on every attempt.
    #[must_use]
    pub fn id(&self) -> &AppendId {
        &self.id
    }

    /// Returns how often the append was sent.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the next step; an append counts as sent, a read not yet as begun.
    pub fn step(&mut self, now: Moment) -> AppendStep {
        match &mut self.stage {
            Stage::Due(at) if *at <= now => {
                self.stage = Stage::Sent(now);
                self.attempts += 1;
                AppendStep::Append
            }
            Stage::Sent(at) if now.since(*at) > LOG_ANSWER_TIMEOUT => {
                self.stage = Stage::Searching(false);
                AppendStep::Read
            }
            Stage::Due(_) | Stage::Sent(_) => AppendStep::Wait,
            Stage::Acknowledged(_) | Stage::Searching(_) => AppendStep::Read,
        }
    }

    /// Processes the log's answer to an attempt.
    pub fn handle_answer(&mut self, answer: Result<Offset, AppendError>, now: Moment) {
        match (self.stage, answer) {
            (_, Ok(offset)) => self.stage = Stage::Acknowledged(offset),
            (Stage::Sent(_), Err(AppendError::Lost)) => self.stage = Stage::Searching(false),
            (Stage::Sent(_), Err(AppendError::Refused)) => {
                self.stage = Stage::Due(now.after(APPEND_RETRY_INTERVAL));
            }
            // A late answer to an earlier attempt says nothing about the current one.
            (Stage::Due(_) | Stage::Acknowledged(_) | Stage::Searching(_), Err(_)) => {}
        }
    }

    /// Records that a read of the log starts now.
    pub fn mark_read_started(&mut self) {
        if let Stage::Searching(read_started) = &mut self.stage {
            *read_started = true;
        }
    }

    /// Records that a read reached the end of the log without finding the id.
    ///
    /// The append is sent again, unless that read started before the answer was lost.
    pub fn mark_not_found(&mut self, now: Moment) {
        if self.stage == Stage::Searching(true) {
            self.stage = Stage::Due(now.after(APPEND_RETRY_INTERVAL));
        }
    }

    /// Returns whether the record landed and expired before it was read back.
    #[must_use]
    pub fn is_expired(&self, first: Offset) -> bool {
        matches!(self.stage, Stage::Acknowledged(offset) if offset < first)
    }
}
