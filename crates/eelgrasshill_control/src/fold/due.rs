//! When the state has to be saved again, before records expire.

use std::time::Duration;

use eelgrasshill_domain::Offset;

use super::ConfigFold;
use crate::{
    LogTime, TAKEOVER,
    checkpoint::{MAX_UNSAVED, oldest_needed},
};

impl ConfigFold {
    /// Returns whether the host of this rank should save a checkpoint now.
    ///
    /// The first rank saves when half of the log's retention has passed. Each
    /// later rank waits [`TAKEOVER`] longer for those before it.
    #[must_use]
    pub fn is_checkpoint_due(&self, now: LogTime, rank: usize, retention: Duration) -> bool {
        if self.gap.is_some() {
            return false;
        }
        let Some(oldest) = oldest_needed(self.saved.as_ref(), self.recent.iter()) else {
            return false;
        };
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let wait = TAKEOVER.saturating_mul(rank);
        if now >= oldest.after(retention / 2).after(wait) {
            return true;
        }
        self.crowded_at().is_some_and(|at| now >= at.after(wait))
    }

    /// Returns when the records after the newest checkpoint became too many.
    fn crowded_at(&self) -> Option<LogTime> {
        let through = self.saved.as_ref().map_or(Offset::default(), |s| s.through);
        let start = self.recent.partition_point(|j| j.offset <= through);
        self.recent.get(start + MAX_UNSAVED).map(|j| j.at)
    }
}
