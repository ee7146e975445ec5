//! An operator's record on its way into the log, until its verdict is known.

use eelgrasshill_domain::{AppendId, ConfigRecord, EditOutcome, Moment, Offset};

use crate::{Append, AppendError, AppendStep, ConfigFold};

/// What the publisher has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishStep {
    /// Append the record under this id.
    Append(AppendId, ConfigRecord),
    /// Read the log from this offset and fold it in.
    Read(Offset),
    /// Wait for an answer or for time to pass.
    Wait,
    /// The verdict, the same on every host.
    Done(EditOutcome),
}

/// The state of one publication.
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

    /// Returns what to do next, given the publisher's own fold.
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
