//! This host's own lease, its renewals and its pending transfer of a share.
//!
//! The lease counts from before its renewal was first handed out for appending. Another host that
//! reads the renewal later and waits on its own clock for lease and loan to pass thus waits long
//! enough.

use std::collections::VecDeque;

use eelgrasshill_domain::{Moment, Offset, OrgName, Version};

use crate::{Allocation, Holder, Ledger, LimitSettings, RightsRecord, Share};

/// Most renewals that may await being read back; an older one no longer extends the lease.
const MAX_RENEWALS: usize = 64;

/// A part of the own share that is no longer used and is being transferred.
#[derive(Clone, Debug)]
pub(crate) struct PendingTransfer {
    pub organisation: OrgName,
    pub allocation: Allocation,
    /// The account's revision that the appended record names; none before the append.
    pub revision: Option<Offset>,
}

/// The state of this host's lease and of the records that it appends for it.
#[derive(Clone, Debug)]
pub(crate) struct LocalLease {
    pub me: Holder,
    pub expires_at: Moment,
    pub transfer: Option<PendingTransfer>,
    pub draining: bool,
    nonce: u64,
    /// Nonces of recent renewals and takeovers, and when each was handed out for appending.
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

    /// Returns the part of an organisation's share that is being transferred.
    pub(crate) fn outgoing_share(&self, organisation: &OrgName) -> Share {
        self.transfer
            .as_ref()
            .filter(|transfer| transfer.organisation == *organisation)
            .map_or(Share::default(), |transfer| transfer.allocation.share)
    }

    /// Extends the lease when an own renewal was read back from the log.
    pub(crate) fn confirm_renewal(&mut self, nonce: u64, settings: &LimitSettings) {
        let known = self.renewals.iter().find(|(number, _at)| *number == nonce);
        let Some(&(_number, appended_at)) = known else {
            return;
        };
        self.expires_at = self.expires_at.max(appended_at.after(settings.lease_ttl));
    }

    /// Resets the lease once this host holds no share.
    pub(crate) fn reset(&mut self) {
        self.expires_at = Moment::default();
        self.renewals.clear();
        self.last_renewal = None;
    }

    /// Returns the takeover or renewal that is due, if any.
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
        let is_fresh = self
            .last_renewal
            .is_some_and(|at| now.since(at) < settings.renew_interval && now < self.expires_at);
        if is_fresh && lease.config_version >= config_version {
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

    /// Returns whether an older incarnation at this address still holds a lease.
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
