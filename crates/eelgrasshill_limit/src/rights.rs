//! This host's own rights: its lease, its appends and the share that it is about to give.
//!
//! The lease counts from before its renewal was first given out for appending, so whoever reads
//! that renewal later, and waits for lease and loan to pass on its own clock, waits long enough.

use std::collections::VecDeque;

use eelgrasshill_domain::{Moment, Offset, OrgName, Version};

use crate::{Holder, Ledger, LimitSettings, RightsRecord, Share, Stake};

/// Most own appends that are remembered; a renewal that comes later extends nothing.
const MAX_APPENDS: usize = 64;

/// A part of the share that is no longer used and is being given away.
#[derive(Clone, Debug)]
pub(crate) struct Pledge {
    pub organisation: OrgName,
    pub stake: Stake,
    /// The account's revision that the record names, once it was given out.
    pub revision: Option<Offset>,
}

/// The lease and the open appends of this host.
#[derive(Clone, Debug)]
pub(crate) struct Rights {
    pub me: Holder,
    pub ends: Moment,
    pub pledge: Option<Pledge>,
    pub draining: bool,
    nonce: u64,
    appends: VecDeque<(u64, Moment)>,
    renewed: Option<Moment>,
}

impl Rights {
    pub(crate) fn new(me: Holder) -> Self {
        Self {
            me,
            ends: Moment::default(),
            pledge: None,
            draining: false,
            nonce: 0,
            appends: VecDeque::new(),
            renewed: None,
        }
    }

    /// Returns the part of an organisation's share that is pledged away.
    pub(crate) fn pledged(&self, organisation: &OrgName) -> Share {
        self.pledge
            .as_ref()
            .filter(|pledge| pledge.organisation == *organisation)
            .map_or(Share::default(), |pledge| pledge.stake.share)
    }

    /// Extends the lease by an own record that was read back.
    pub(crate) fn confirm(&mut self, nonce: u64, settings: &LimitSettings) {
        let known = self.appends.iter().find(|(number, _at)| *number == nonce);
        let Some(&(_number, began)) = known else {
            return;
        };
        self.ends = self.ends.max(began.after(settings.lease));
    }

    /// Forgets the lease, since this host holds nothing any more.
    pub(crate) fn forget(&mut self) {
        self.ends = Moment::default();
        self.appends.clear();
        self.renewed = None;
    }

    /// Returns the record that keeps or takes up this host's rights, when one is due.
    pub(crate) fn due(
        &mut self,
        ledger: &Ledger,
        through: Version,
        now: Moment,
        settings: &LimitSettings,
    ) -> Option<RightsRecord> {
        if self.draining {
            return None;
        }
        if self.precedes(ledger) {
            let nonce = self.next_nonce(now);
            return Some(RightsRecord::Takeover {
                holder: self.me.clone(),
                nonce,
                through,
            });
        }
        let tenure = ledger.tenure(&self.me.process)?;
        let fresh = self
            .renewed
            .is_some_and(|at| now.since(at) < settings.renew && now < self.ends);
        if fresh && tenure.through >= through {
            return None;
        }
        let nonce = self.next_nonce(now);
        self.renewed = Some(now);
        Some(RightsRecord::Renew {
            process: self.me.process.clone(),
            nonce,
            through,
        })
    }

    /// Returns whether an older incarnation at this address still holds rights.
    fn precedes(&self, ledger: &Ledger) -> bool {
        ledger.tenures().any(|tenure| {
            tenure.holder.address == self.me.address
                && tenure.holder.process.incarnation < self.me.process.incarnation
        })
    }

    fn next_nonce(&mut self, now: Moment) -> u64 {
        self.nonce += 1;
        self.appends.push_back((self.nonce, now));
        if self.appends.len() > MAX_APPENDS {
            self.appends.pop_front();
        }
        self.nonce
    }
}
