//! The share that a holder may use while a lowered limit is not yet known everywhere.
//!
//! A holder that learns of a lowered limit reduces its share in proportion at once. A host that is
//! cut off cannot learn of it and uses its old share until its lease expires. After a propagation
//! delay, the holders that are aware therefore take the whole reduction among themselves, in
//! proportion to their shares, until every holder has confirmed the new limit in the log. The sum
//! in use is then at most the larger of the new limit and the shares of the unaware holders.
//!
//! A host that has read fewer confirmations takes a larger part of the reduction. Hosts that have
//! read up to different offsets therefore never reduce too little together.

use eelgrasshill_domain::{Offset, Version};

use crate::{Account, Process, Share};

impl Account {
    /// Returns the sum of all assigned shares.
    #[must_use]
    pub fn assigned(&self) -> Share {
        self.allocations
            .iter()
            .fold(Share::default(), |sum, allocation| {
                sum.plus(allocation.share)
            })
    }

    /// Returns the share that a process holds, if any.
    #[must_use]
    pub fn share_of(&self, process: &Process) -> Option<Share> {
        self.allocations
            .iter()
            .find(|allocation| allocation.holder.process == *process)
            .map(|allocation| allocation.share)
    }

    /// Returns the part of its share that a process may use under `limit`.
    ///
    /// `is_aware` tells whether another holder applies the limit: it has confirmed it in the log,
    /// or the propagation delay has not passed yet.
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

    /// Scales the shares down to the limit once every holder applies it.
    pub(crate) fn apply_reduction(
        &mut self,
        offset: Offset,
        config_version: impl Fn(&Process) -> Version,
    ) {
        let assigned = self.assigned();
        let excess = assigned.minus(self.limit.share);
        let version = self.limit.version;
        let all_aware = self
            .allocations
            .iter()
            .all(|allocation| config_version(&allocation.holder.process) >= version);
        if excess.is_empty() || !all_aware {
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
