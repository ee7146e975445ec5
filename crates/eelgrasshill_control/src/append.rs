//! Decides when to send, retry and look up one append to the log.
//!
//! The append is complete once its id has been read back from the log. The
//! answer may be lost although the log accepted the append, and the append may
//! also arrive late. After a lost answer the log is therefore read to its end
//! first, and only if the id is missing is the append sent again, with the same id.

use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_domain::{AppendId, Moment, Offset};

/// The time to wait for the log's answer to an append or a read.
pub(crate) const LOG_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay before an append is sent again.
const APPEND_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The reason why the log's answer to an append has no offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum AppendError {
    /// The log answered that it did not accept the record.
    #[display("the log refused the append")]
    NotWritten,
    /// No answer arrived, so the record may be in the log now or later.
    #[display("no answer from the log; it may or may not have accepted the append")]
    Unknown,
}

/// The next action for an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendStep {
    /// Send the append with its id.
    Append,
    /// Read the log from the first offset that has not been applied yet.
    Read,
    /// Wait for an answer or for time to pass.
    Wait,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendStage {
    /// The append is to be sent at this time.
    Due(Moment),
    /// The append was sent at this time and has no answer yet.
    Sent(Moment),
    /// The log accepted the append at this offset, but it was not read back yet.
    Acknowledged(Offset),
    /// The answer was lost; the flag tells whether a read has started since then.
    Searching(bool),
}

/// An append on its way into the log, from the first attempt to its read-back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    id: AppendId,
    stage: AppendStage,
    attempts: u32,
}

impl Append {
    /// Creates an append that is due at once.
    #[must_use]
    pub fn new(id: AppendId, now: Moment) -> Self {
        Self {
            id,
            stage: AppendStage::Due(now),
            attempts: 0,
        }
    }

    /// Returns the append id, which is the same on every attempt.
    #[must_use]
    pub fn id(&self) -> &AppendId {
        &self.id
    }

    /// Returns the number of times the append was sent.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the next action.
    ///
    /// [`AppendStep::Append`] marks the append as sent. After [`AppendStep::Read`]
    /// the caller reports the start of the read with [`Self::mark_read_started`].
    pub fn step(&mut self, now: Moment) -> AppendStep {
        match &mut self.stage {
            AppendStage::Due(at) if *at <= now => {
                self.stage = AppendStage::Sent(now);
                self.attempts += 1;
                AppendStep::Append
            }
            AppendStage::Sent(at) if now.since(*at) > LOG_ANSWER_TIMEOUT => {
                self.stage = AppendStage::Searching(false);
                AppendStep::Read
            }
            AppendStage::Due(_) | AppendStage::Sent(_) => AppendStep::Wait,
            AppendStage::Acknowledged(_) | AppendStage::Searching(_) => AppendStep::Read,
        }
    }

    /// Processes the log's answer to an attempt.
    pub fn handle_answer(&mut self, answer: Result<Offset, AppendError>, now: Moment) {
        match (self.stage, answer) {
            (_, Ok(offset)) => self.stage = AppendStage::Acknowledged(offset),
            (AppendStage::Sent(_), Err(AppendError::Unknown)) => {
                self.stage = AppendStage::Searching(false);
            }
            (AppendStage::Sent(_), Err(AppendError::NotWritten)) => {
                self.stage = AppendStage::Due(now.after(APPEND_RETRY_INTERVAL));
            }
            // A late answer to an earlier attempt says nothing about the current one.
            (
                AppendStage::Due(_) | AppendStage::Acknowledged(_) | AppendStage::Searching(_),
                Err(_),
            ) => {}
        }
    }

    /// Records that a read of the log starts now.
    pub fn mark_read_started(&mut self) {
        if let AppendStage::Searching(read_started) = &mut self.stage {
            *read_started = true;
        }
    }

    /// Records that a read reached the end of the log without finding the id.
    ///
    /// The append is sent again, unless that read started before the answer was lost.
    pub fn mark_not_found(&mut self, now: Moment) {
        if self.stage == AppendStage::Searching(true) {
            self.stage = AppendStage::Due(now.after(APPEND_RETRY_INTERVAL));
        }
    }

    /// Returns whether the acknowledged record expired before it was read back.
    ///
    /// `first` is the first offset that the log still keeps.
    #[must_use]
    pub fn is_expired(&self, first: Offset) -> bool {
        matches!(self.stage, AppendStage::Acknowledged(offset) if offset < first)
    }
}
