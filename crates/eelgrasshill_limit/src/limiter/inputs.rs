//! Handles the input from the control thread: limits, live hosts and the `rights` stream.
//!
//! After each input it updates this host's shares, leases and lenders. It also decides how much of
//! its share this host may use, from the newest limit known and how long it has been known.

use std::collections::BTreeMap;

use eelgrasshill_domain::{Moment, Offset, OrgName, Version};

use super::{Limiter, ObservedLimit};
use crate::{
    Bucket, Holder, Ledger, Lender, Limit, RightsOutcome, RightsRecord, Safeguards, Share,
};

impl<S: Safeguards> Limiter<S> {
    /// Replaces the ledger by one that was restored from a snapshot.
    ///
    /// The wait for the expiry of its leases starts at `now`, the current time.
    #[must_use]
    pub fn with_ledger(mut self, ledger: Ledger, now: Moment) -> Self {
        self.ledger = ledger;
        self.refresh(now);
        self
    }

    /// Sets the limits of all organisations as of a configuration version.
    ///
    /// A lowered limit applies at once, a raised one only through records of the ledger. An older
    /// version than the current one is ignored.
    pub fn configure(
        &mut self,
        config_version: Version,
        limits: BTreeMap<OrgName, Limit>,
        now: Moment,
    ) {
        if config_version < self.config_version {
            return;
        }
        self.config_version = config_version;
        self.limits = limits;
        self.last_tick = None;
        self.refresh(now);
    }

    /// Records that this host had read the log to its end at a given time.
    ///
    /// Call it after everything read by then was passed to [`Self::configure`] and [`Self::read`].
    /// A limit that arrives soon after is new for every holder. Any other may be old, so this host
    /// compensates at once for holders that do not know it.
    pub fn mark_caught_up(&mut self, at: Moment) {
        self.caught_up_at = self.caught_up_at.max(Some(at));
    }

    /// Sets the hosts that are live, this one included.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Holder>) {
        self.planner.members = members.into_iter().collect();
        self.last_tick = None;
    }

    /// Applies the next record of the `rights` stream.
    pub fn read(&mut self, offset: Offset, record: &RightsRecord, now: Moment) -> RightsOutcome {
        let first = self.first_assignment(record);
        let outcome = self.ledger.apply(offset, record);
        if outcome != RightsOutcome::Accepted {
            return outcome;
        }
        let me = &self.lease.me.process;
        match record {
            RightsRecord::Renew { process, nonce, .. } if process == me => {
                self.lease.confirm_renewal(*nonce, &self.settings);
            }
            RightsRecord::Takeover { holder, nonce, .. } if holder.process == *me => {
                self.lease.confirm_renewal(*nonce, &self.settings);
                self.open_lenders(now, None);
                self.hold_inherited_loans(now);
            }
            _ => {}
        }
        if self.ledger.lease(&self.lease.me.process).is_none() {
            self.lease.reset();
        }
        self.open_lenders(now, first);
        self.refresh(now);
        outcome
    }

    /// Returns the organisation whose first assignment ever a record makes.
    ///
    /// Nobody has held tokens of it before, so its lenders may start with full buckets.
    fn first_assignment<'a>(&self, record: &'a RightsRecord) -> Option<&'a OrgName> {
        let RightsRecord::Assign { organisation, .. } = record else {
            return None;
        };
        let account = self.ledger.account(organisation)?;
        (!account.was_assigned).then_some(organisation)
    }

    /// Creates the missing lenders for the shares of this host.
    ///
    /// Their buckets start empty, except for the `first` assignment of an organisation.
    fn open_lenders(&mut self, now: Moment, first: Option<&OrgName>) {
        for (organisation, account) in self.ledger.accounts() {
            let Some(share) = account.share_of(&self.lease.me.process) else {
                continue;
            };
            if self.lenders.contains_key(organisation) {
                continue;
            }
            let mut bucket = Bucket::new(share, now, self.lease_end());
            if first == Some(organisation) || !S::START_EMPTY {
                bucket = bucket.with_full_level();
            }
            self.lenders
                .insert(organisation.clone(), Lender::new(bucket));
        }
    }

    /// Counts a full burst as lent until all loans of older incarnations have ended.
    fn hold_inherited_loans(&mut self, now: Moment) {
        if !S::AWAIT_LOAN_END {
            return;
        }
        let until = now.after(self.settings.loan_hold());
        for lender in self.lenders.values_mut() {
            let burst = lender.bucket().share().burst;
            lender.hold(burst, until);
        }
    }

    /// Updates shares, leases and borrowers from the ledger and the limits.
    pub(super) fn refresh(&mut self, now: Moment) {
        self.planner.track_renewals(&self.ledger, now);
        self.drop_stale_transfer();
        let names: Vec<OrgName> = self.ledger.accounts().map(|(o, _a)| o.clone()).collect();
        let lease_end = self.lease_end();
        for organisation in names {
            self.observe_limit(&organisation, now);
            let share = self.own_share(&organisation, now);
            if let Some(lender) = self.lenders.get_mut(&organisation) {
                lender.set_accrual_end(now, lease_end);
                lender.set_share(now, share);
            }
            let account = self.ledger.account(&organisation);
            let borrower = self.borrowers.get_mut(&organisation);
            if let (Some(account), Some(borrower)) = (account, borrower) {
                borrower.set_lenders(account, now);
            }
        }
        self.lenders.retain(|_organisation, lender| {
            let bucket = lender.bucket();
            !bucket.share().is_empty() || !bucket.held().is_zero()
        });
    }

    fn drop_stale_transfer(&mut self) {
        let ledger = &self.ledger;
        self.lease.transfer.take_if(|transfer| {
            let account = ledger.account(&transfer.organisation);
            let current = account.map(|account| account.revision);
            transfer.revision.is_some() && transfer.revision != current
        });
    }

    /// Returns the newest limit of an organisation, recorded or configured.
    fn limit(&self, organisation: &OrgName) -> Limit {
        let recorded = self.ledger.account(organisation).map(|a| a.limit);
        let recorded = recorded.unwrap_or_default();
        let removed = Limit {
            version: self.config_version,
            share: Share::default(),
        };
        let configured = self.limits.get(organisation).copied().unwrap_or(removed);
        if configured.version > recorded.version {
            configured
        } else {
            recorded
        }
    }

    /// Records when a limit was first seen, if it is new for every holder.
    fn observe_limit(&mut self, organisation: &OrgName, now: Moment) {
        let limit = self.limit(organisation);
        let observed = self.observed.get(organisation);
        if observed.is_some_and(|observed| observed.limit.version >= limit.version) {
            return;
        }
        // Unless this host has read the log to its end lately, others may have known the limit
        // for long.
        let max_staleness = self.settings.max_staleness;
        let is_recent = self
            .caught_up_at
            .is_some_and(|at| now.since(at) <= max_staleness);
        // Compensation for holders that missed an earlier reduction must not be interrupted.
        let account = self.ledger.account(organisation);
        let is_settled = account
            .zip(observed)
            .is_some_and(|(account, observed)| account.assigned().fits(observed.limit.share));
        let since = (is_recent && is_settled).then_some(now);
        self.observed
            .insert(organisation.clone(), ObservedLimit { limit, since });
    }

    pub(super) fn own_share(&self, organisation: &OrgName, now: Moment) -> Share {
        let Some(account) = self.ledger.account(organisation) else {
            return Share::default();
        };
        let limit = self.limit(organisation);
        let since = self
            .observed
            .get(organisation)
            .and_then(|observed| observed.since);
        let is_propagating =
            since.is_some_and(|at| now.since(at) < self.settings.propagation_delay);
        let share = account.usable_share(&self.lease.me.process, limit.share, |other| {
            is_propagating
                || !S::COMPENSATE_UNAWARE
                || self.ledger.applied_version(other) >= limit.version
        });
        if S::SHRINK_FIRST {
            share.minus(self.lease.outgoing_share(organisation))
        } else {
            share
        }
    }
}
