//! Publishes an operator's record and waits for its verdict.
//!
//! The publisher applies the log to its own [`ConfigFold`], so it reaches the
//! same verdict on the record as every host does.

use eelgrasshill_domain::{AppendId, ConfigRecord, EditOutcome, Moment, Offset};

use crate::{Append, AppendError, AppendStep, ConfigFold};

/// The next action of the publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishStep {
    /// Append the record with this id.
    Append(AppendId, ConfigRecord),
    /// Read the log from this offset and apply it to the fold.
    Read(Offset),
    /// Wait for an answer or for time to pass.
    Wait,
    /// The verdict on the record is known; it is the same on every host.
    Done(EditOutcome),
}

/// A record that is being published, until its verdict is known.
#[derive(Clone, Debug)]
pub struct Publication {
    append: Append,
    record: ConfigRecord,
}

impl Publication {
    /// Creates the publication of a record with a new append id.
    #[must_use]
    pub fn new(id: AppendId, record: ConfigRecord, now: Moment) -> Self {
        Self {
            append: Append::new(id, now),
            record,
        }
    }

    /// Returns the next action, given the publisher's own fold.
    pub fn step(&mut self, fold: &ConfigFold, now: Moment) -> PublishStep {
        if let Some(outcome) = fold.outcome(self.append.id()) {
            return PublishStep::Done(outcome.clone());
        }
        match self.append.step(now) {
            AppendStep::Append => {
                PublishStep::Append(self.append.id().clone(), self.record.clone())
            }
            AppendStep::Read => {
                self.append.mark_read_started();
                PublishStep::Read(fold.cursor())
            }
            AppendStep::Wait => PublishStep::Wait,
        }
    }

    /// Processes the log's answer to the append.
    pub fn handle_answer(&mut self, answer: Result<Offset, AppendError>, now: Moment) {
        self.append.handle_answer(answer, now);
    }

    /// Records that the fold has reached the end of the log.
    pub fn mark_end_reached(&mut self, now: Moment) {
        self.append.mark_not_found(now);
    }
}
