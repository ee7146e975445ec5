//! One append to the log, carried on until it was read back.
//!
//! The log's answer may be lost after the append took effect, and the append may
//! also land late. So a lost answer is followed by a read to the log's end, and
//! only then by the same append under the same id.

use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_domain::{AppendId, Moment, Offset};

/// How long to wait for the log's answer to an append or a read.
pub(crate) const ANSWER_BOUND: Duration = Duration::from_secs(2);

/// Time between two attempts while the log refuses.
const RETRY: Duration = Duration::from_millis(500);

/// Why an append has no offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum AppendError {
    /// The log said that it did not take the record.
    #[display("the log refused the append")]
    Refused,
    /// No answer came, so the record may stand in the log now or later.
    #[display("the log's answer to the append was lost")]
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
    Landed(Offset),
    /// The flag says whether a read began after the answer was lost.
    Looking(bool),
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
            Stage::Sent(at) if now.since(*at) > ANSWER_BOUND => {
                self.stage = Stage::Looking(false);
                AppendStep::Read
            }
            Stage::Due(_) | Stage::Sent(_) => AppendStep::Wait,
            Stage::Landed(_) | Stage::Looking(_) => AppendStep::Read,
        }
    }

    /// Takes in the log's answer to an attempt.
    pub fn answer(&mut self, answer: Result<Offset, AppendError>, now: Moment) {
        match (self.stage, answer) {
            (_, Ok(offset)) => self.stage = Stage::Landed(offset),
            (Stage::Sent(_), Err(AppendError::Lost)) => self.stage = Stage::Looking(false),
            (Stage::Sent(_), Err(AppendError::Refused)) => {
                self.stage = Stage::Due(now.after(RETRY));
            }
            // An answer to an earlier attempt says nothing about this one.
            (Stage::Due(_) | Stage::Landed(_) | Stage::Looking(_), Err(_)) => {}
        }
    }

    /// Notes that a read of the log begins now.
    pub fn read_began(&mut self) {
        if let Stage::Looking(began) = &mut self.stage {
            *began = true;
        }
    }

    /// Notes that a read reached the log's end without the append's id.
    pub fn not_found(&mut self, now: Moment) {
        if self.stage == Stage::Looking(true) {
            self.stage = Stage::Due(now.after(RETRY));
        }
    }

    /// Returns whether the record landed and expired before it was read back.
    #[must_use]
    pub fn is_expired(&self, first: Offset) -> bool {
        matches!(self.stage, Stage::Landed(offset) if offset < first)
    }
}
