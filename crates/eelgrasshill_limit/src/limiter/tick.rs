//! Periodic appends: renewals, transfers, the release, and the records that the planner returns.

use eelgrasshill_domain::{Moment, Version};

use super::Limiter;
use crate::local_lease::PendingTransfer;
use crate::{Effect, Lender, RightsRecord, Safeguards};

impl<S: Safeguards> Limiter<S> {
    pub(super) fn tick(&mut self, now: Moment) {
        self.refresh(now);
        if self.lease.draining {
            self.release(now);
        }
        let config_version = self.applied_version();
        let due = self
            .lease
            .due_record(&self.ledger, config_version, now, &self.settings);
        self.effects.extend(due.map(Effect::Append));
        self.transfer_surplus(now);
        let tables = (self.config_version, &self.limits);
        let me = &self.lease.me;
        let records = self
            .planner
            .plan::<S>(me, &self.ledger, tables, now, &self.settings);
        self.effects.extend(records.into_iter().map(Effect::Append));
    }

    /// Returns the configuration version that this host fully applies.
    ///
    /// The newest one counts only once the outstanding loans fit into the shares under it.
    fn applied_version(&self) -> Version {
        let fits = |lender: &Lender<S>| lender.bucket().held() <= lender.bucket().share().burst;
        if self.lenders.values().all(fits) {
            self.config_version
        } else {
            self.ledger.applied_version(&self.lease.me.process)
        }
    }

    fn release(&mut self, now: Moment) {
        for lender in self.lenders.values_mut() {
            lender.advance(now);
        }
        let has_loans = self
            .lenders
            .values()
            .any(|lender| !lender.bucket().held().is_zero());
        if has_loans || self.is_drained() {
            return;
        }
        let process = self.lease.me.process.clone();
        self.effects
            .push(Effect::Append(RightsRecord::Release { process }));
    }

    /// Reserves a surplus, and transfers it once the loans fit into the rest.
    fn transfer_surplus(&mut self, now: Moment) {
        if self.lease.transfer.is_none() && !self.lease.draining {
            let surplus = self
                .planner
                .surplus(&self.lease.me, &self.ledger, now, &self.settings);
            self.lease.transfer = surplus.map(|(organisation, allocation)| PendingTransfer {
                organisation,
                allocation,
                revision: None,
            });
            self.refresh(now);
        }
        let Some(transfer) = &mut self.lease.transfer else {
            return;
        };
        let Some(account) = self.ledger.account(&transfer.organisation) else {
            return;
        };
        let bucket = self.lenders.get(&transfer.organisation).map(Lender::bucket);
        let fits = bucket.is_none_or(|bucket| bucket.held() <= bucket.share().burst);
        if S::SHRINK_FIRST && !fits {
            return;
        }
        let revision = *transfer.revision.get_or_insert(account.revision);
        self.effects.push(Effect::Append(RightsRecord::Transfer {
            organisation: transfer.organisation.clone(),
            revision,
            from: self.lease.me.process.clone(),
            allocation: transfer.allocation.clone(),
        }));
    }
}
