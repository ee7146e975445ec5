//! What a holder may use of its share while a lowered limit is not yet in force everywhere.
//!
//! A holder that hears of a lowered limit lowers its share in proportion at once. A host that is
//! cut off cannot hear of it and goes on with its old share until its lease ends. So after a grace
//! time, the holders that have heard carry the whole reduction among themselves, in proportion to
//! their shares, until every holder has said in the log that the new limit is in force with it.
//! The sum in use is then at most the larger of the new limit and what the silent ones hold.
//!
//! A reader of fewer such words than another takes more of the reduction on itself, so readers at
//! different offsets never take too little together.

use eelgrasshill_domain::{Offset, Version};

use crate::{Account, Process, Share};

impl Account {
    /// Returns the sum of the shares.
    #[must_use]
    pub fn assigned(&self) -> Share {
        self.allocations
            .iter()
            .fold(Share::default(), |sum, allocation| {
                sum.plus(allocation.share)
            })
    }

    /// Returns the share of a process, if it holds one.
    #[must_use]
    pub fn share_of(&self, process: &Process) -> Option<Share> {
        self.allocations
            .iter()
            .find(|allocation| allocation.holder.process == *process)
            .map(|allocation| allocation.share)
    }

    /// Returns the share that a process may use under a limit.
    ///
    /// `is_aware` tells whether another holder has said that the limit is in force with it;
    /// within the grace time each is taken to have heard.
    #[must_use]
    pub fn usable_share(
        &self,
        process: &Process,
        limit: Share,
        is_aware: impl Fn(&Process) -> bool,
    ) -> Share {
        let Some(share) = self.share_of(process) else {
            return Share::default();
        };
        let excess = self.assigned().minus(limit);
        if excess.is_empty() {
            return share;
        }
        let aware_total = self
            .allocations
            .iter()
            .filter(|allocation| {
                let other = &allocation.holder.process;
                other == process || is_aware(other)
            })
            .fold(Share::default(), |sum, allocation| {
                sum.plus(allocation.share)
            });
        share.minus(share.proportional_part(excess, aware_total))
    }

    /// Scales the shares down once every holder has the limit in force.
    pub(crate) fn apply_reduction(
        &mut self,
        offset: Offset,
        config_version: impl Fn(&Process) -> Version,
    ) {
        let assigned = self.assigned();
        let excess = assigned.minus(self.limit.share);
        let version = self.limit.version;
        let all = self
            .allocations
            .iter()
            .all(|allocation| config_version(&allocation.holder.process) >= version);
        if excess.is_empty() || !all {
            return;
        }
        for allocation in &mut self.allocations {
            allocation.share = allocation
                .share
                .minus(allocation.share.proportional_part(excess, assigned));
        }
        self.allocations
            .retain(|allocation| !allocation.share.is_empty());
        self.revision = offset;
    }
}
