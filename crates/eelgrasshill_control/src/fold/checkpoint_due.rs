//! Decides when a host saves a new checkpoint, before needed records expire.

use std::time::Duration;

use eelgrasshill_domain::Offset;

use super::ConfigFold;
use crate::{
    CHECKPOINT_TAKEOVER_INTERVAL, LogTime,
    checkpoint::{MAX_UNSAVED_RECORDS, oldest_needed},
};

/// Divides the log's retention into the age of the oldest needed record at which to save.
const SAVE_AGE_DIVISOR: u32 = 2;

impl ConfigFold {
    /// Returns whether the host of this rank should save a checkpoint now.
    ///
    /// The first host saves when the oldest needed record has reached half of the
    /// log's retention, or when too many records follow the newest checkpoint.
    /// Each later host waits [`CHECKPOINT_TAKEOVER_INTERVAL`] longer, so that it
    /// saves only if the hosts ranked before it did not.
    #[must_use]
    pub fn is_checkpoint_due(&self, now: LogTime, rank: usize, retention: Duration) -> bool {
        if self.gap.is_some() {
            return false;
        }
        let Some(oldest) = oldest_needed(self.last_checkpoint.as_ref(), self.recent_appends.iter())
        else {
            return false;
        };
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let wait = CHECKPOINT_TAKEOVER_INTERVAL.saturating_mul(rank);
        if now >= oldest.after(retention / SAVE_AGE_DIVISOR).after(wait) {
            return true;
        }
        self.overflow_time().is_some_and(|at| now >= at.after(wait))
    }

    /// Returns the log time at which too many records followed the newest checkpoint.
    fn overflow_time(&self) -> Option<LogTime> {
        let through = self
            .last_checkpoint
            .as_ref()
            .map_or(Offset::default(), |checkpoint| checkpoint.through);
        let start = self
            .recent_appends
            .partition_point(|judged_append| judged_append.offset <= through);
        self.recent_appends
            .get(start + MAX_UNSAVED_RECORDS)
            .map(|judged_append| judged_append.at)
    }
}
