//! This host's own rights: its lease, its renewals and the share that it is about to give.
//!
//! The lease counts from before its renewal was first given out for appending, so whoever reads
//! that renewal later, and waits for lease and loan to pass on its own clock, waits long enough.

use std::collections::VecDeque;

use eelgrasshill_domain::{Moment, Offset, OrgName, Version};

use crate::{Allocation, Holder, Ledger, LimitSettings, RightsRecord, Share};

/// Most own renewals that are remembered; a renewal that comes later extends nothing.
const MAX_RENEWALS: usize = 64;

/// A part of the share that is no longer used and is being given away.
#[derive(Clone, Debug)]
pub(crate) struct PendingTransfer {
    pub organisation: OrgName,
    pub allocation: Allocation,
    /// The account's revision that the record names, once it was given out.
    pub revision: Option<Offset>,
}

/// The lease and the open renewals of this host.
#[derive(Clone, Debug)]
pub(crate) struct LocalLease {
    pub me: Holder,
    pub expires_at: Moment,
    pub transfer: Option<PendingTransfer>,
    pub draining: bool,
    nonce: u64,
    renewals: VecDeque<(u64, Moment)>,
    last_renewal: Option<Moment>,
}

impl LocalLease {
    pub(crate) fn new(me: Holder) -> Self {
        Self {
            me,
            expires_at: Moment::default(),
            transfer: None,
            draining: false,
            nonce: 0,
            renewals: VecDeque::new(),
            last_renewal: None,
        }
    }

    /// Returns the part of an organisation's share that is pledged away.
    pub(crate) fn outgoing_share(&self, organisation: &OrgName) -> Share {
        self.transfer
            .as_ref()
            .filter(|transfer| transfer.organisation == *organisation)
            .map_or(Share::default(), |transfer| transfer.allocation.share)
    }

    /// Extends the lease by an own record that was read back.
    pub(crate) fn confirm_renewal(&mut self, nonce: u64, settings: &LimitSettings) {
        let known = self.renewals.iter().find(|(number, _at)| *number == nonce);
        let Some(&(_number, appended_at)) = known else {
            return;
        };
        self.expires_at = self.expires_at.max(appended_at.after(settings.lease_ttl));
    }

    /// Forgets the lease, since this host holds nothing any more.
    pub(crate) fn reset(&mut self) {
        self.expires_at = Moment::default();
        self.renewals.clear();
        self.last_renewal = None;
    }

    /// Returns the record that keeps or takes up this host's rights, when one is due.
    pub(crate) fn due_record(
        &mut self,
        ledger: &Ledger,
        config_version: Version,
        now: Moment,
        settings: &LimitSettings,
    ) -> Option<RightsRecord> {
        if self.draining {
            return None;
        }
        if self.has_predecessor(ledger) {
            let nonce = self.next_nonce(now);
            return Some(RightsRecord::Takeover {
                holder: self.me.clone(),
                nonce,
                config_version,
            });
        }
        let lease = ledger.lease(&self.me.process)?;
        let fresh = self
            .last_renewal
            .is_some_and(|at| now.since(at) < settings.renew_interval && now < self.expires_at);
        if fresh && lease.config_version >= config_version {
            return None;
        }
        let nonce = self.next_nonce(now);
        self.last_renewal = Some(now);
        Some(RightsRecord::Renew {
            process: self.me.process.clone(),
            nonce,
            config_version,
        })
    }

    /// Returns whether an older incarnation at this address still holds rights.
    fn has_predecessor(&self, ledger: &Ledger) -> bool {
        ledger.leases().any(|lease| {
            lease.holder.address == self.me.address
                && lease.holder.process.incarnation < self.me.process.incarnation
        })
    }

    fn next_nonce(&mut self, now: Moment) -> u64 {
        self.nonce += 1;
        self.renewals.push_back((self.nonce, now));
        if self.renewals.len() > MAX_RENEWALS {
            self.renewals.pop_front();
        }
        self.nonce
    }
}
