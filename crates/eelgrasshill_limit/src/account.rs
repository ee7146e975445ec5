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
        self.stakes
            .iter()
            .fold(Share::default(), |sum, stake| sum.plus(stake.share))
    }

    /// Returns the share of a process, if it holds one.
    #[must_use]
    pub fn share_of(&self, process: &Process) -> Option<Share> {
        self.stakes
            .iter()
            .find(|stake| stake.holder.process == *process)
            .map(|stake| stake.share)
    }

    /// Returns the share that a process may use under a limit.
    ///
    /// `heard` tells whether another holder has said that the limit is in force with it;
    /// within the grace time each is taken to have heard.
    #[must_use]
    pub fn in_force(
        &self,
        process: &Process,
        limit: Share,
        heard: impl Fn(&Process) -> bool,
    ) -> Share {
        let Some(share) = self.share_of(process) else {
            return Share::default();
        };
        let excess = self.assigned().minus(limit);
        if excess.is_empty() {
            return share;
        }
        let carriers = self
            .stakes
            .iter()
            .filter(|stake| {
                let other = &stake.holder.process;
                other == process || heard(other)
            })
            .fold(Share::default(), |sum, stake| sum.plus(stake.share));
        share.minus(share.portion(excess, carriers))
    }

    /// Scales the shares down once every holder has the limit in force.
    pub(crate) fn settle(&mut self, offset: Offset, through: impl Fn(&Process) -> Version) {
        let assigned = self.assigned();
        let excess = assigned.minus(self.limit.share);
        let version = self.limit.version;
        let all = self
            .stakes
            .iter()
            .all(|stake| through(&stake.holder.process) >= version);
        if excess.is_empty() || !all {
            return;
        }
        for stake in &mut self.stakes {
            stake.share = stake.share.minus(stake.share.portion(excess, assigned));
        }
        self.stakes.retain(|stake| !stake.share.is_empty());
        self.revision = offset;
    }
}
