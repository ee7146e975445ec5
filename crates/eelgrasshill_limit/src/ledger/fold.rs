//! Applies each kind of record to the ledger, or rejects it.

use eelgrasshill_domain::{Offset, OrgName, Version};

use super::Ledger;
use crate::{
    Account, Allocation, Holder, HolderLease, Limit, Process, RightsRecord, RightsRejection,
};

type FoldResult = Result<(), RightsRejection>;

impl Ledger {
    pub(super) fn fold(&mut self, offset: Offset, record: &RightsRecord) -> FoldResult {
        match record {
            RightsRecord::Limit {
                organisation,
                limit,
            } => self.set_limit(offset, organisation, *limit),
            RightsRecord::Assign {
                organisation,
                revision,
                allocations,
            } => self.assign(offset, organisation, *revision, allocations),
            RightsRecord::Renew {
                process,
                config_version,
                ..
            } => self.renew(offset, process, *config_version),
            RightsRecord::Transfer {
                organisation,
                revision,
                from,
                allocation,
            } => self.transfer(offset, organisation, *revision, from, allocation),
            RightsRecord::Release { process } => self.release(offset, process),
            RightsRecord::Takeover {
                holder,
                config_version,
                ..
            } => self.take_over(offset, holder, *config_version),
            RightsRecord::Reclaim {
                process,
                last_renewal,
            } => self.reclaim(offset, process, *last_renewal),
            RightsRecord::Snapshot { .. } => Ok(()),
        }
    }

    fn set_limit(&mut self, offset: Offset, organisation: &OrgName, limit: Limit) -> FoldResult {
        let known = self.accounts.get(organisation);
        let current = known.map(|a| a.limit.version).unwrap_or_default();
        if limit.version <= current {
            return Err(RightsRejection::OldLimit);
        }
        let account = self
            .accounts
            .entry(organisation.clone())
            .or_insert_with(|| Account {
                limit,
                allocations: Vec::new(),
                revision: offset,
                was_assigned: false,
            });
        account.limit = limit;
        account.revision = offset;
        Ok(())
    }

    fn account_at(
        &mut self,
        organisation: &OrgName,
        revision: Offset,
    ) -> Result<&mut Account, RightsRejection> {
        let account = self
            .accounts
            .get_mut(organisation)
            .ok_or(RightsRejection::NoAccount)?;
        if account.revision != revision {
            let current = account.revision;
            return Err(RightsRejection::Revision { current });
        }
        Ok(account)
    }

    fn assign(
        &mut self,
        offset: Offset,
        organisation: &OrgName,
        revision: Offset,
        allocations: &[Allocation],
    ) -> FoldResult {
        for allocation in allocations {
            self.check_incarnation(&allocation.holder)?;
        }
        let account = self.account_at(organisation, revision)?;
        let sum = allocations
            .iter()
            .fold(account.assigned(), |sum, allocation| {
                sum.plus(allocation.share)
            });
        if !sum.fits(account.limit.share) {
            return Err(RightsRejection::OverLimit);
        }
        for allocation in allocations {
            add_allocation(&mut account.allocations, allocation);
        }
        account.revision = offset;
        account.was_assigned = true;
        for allocation in allocations {
            self.open_lease(&allocation.holder);
        }
        Ok(())
    }

    fn renew(&mut self, offset: Offset, process: &Process, config_version: Version) -> FoldResult {
        let lease = self
            .leases
            .get_mut(process)
            .ok_or(RightsRejection::NotHeld)?;
        lease.last_renewal = Some(offset);
        lease.config_version = lease.config_version.max(config_version);
        Ok(())
    }

    fn transfer(
        &mut self,
        offset: Offset,
        organisation: &OrgName,
        revision: Offset,
        from: &Process,
        allocation: &Allocation,
    ) -> FoldResult {
        self.check_incarnation(&allocation.holder)?;
        let account = self.account_at(organisation, revision)?;
        if !account.assigned().fits(account.limit.share) {
            return Err(RightsRejection::OverLimit);
        }
        let sender = account
            .allocations
            .iter_mut()
            .find(|held| held.holder.process == *from)
            .filter(|held| allocation.share.fits(held.share))
            .ok_or(RightsRejection::NotHeld)?;
        sender.share = sender.share.minus(allocation.share);
        add_allocation(&mut account.allocations, allocation);
        account.allocations.retain(|held| !held.share.is_empty());
        account.revision = offset;
        self.open_lease(&allocation.holder);
        self.close_leases();
        Ok(())
    }

    fn release(&mut self, offset: Offset, process: &Process) -> FoldResult {
        self.leases
            .remove(process)
            .ok_or(RightsRejection::NotHeld)?;
        for account in self.accounts.values_mut() {
            let before = account.allocations.len();
            account
                .allocations
                .retain(|allocation| allocation.holder.process != *process);
            if account.allocations.len() < before {
                account.revision = offset;
            }
        }
        Ok(())
    }

    fn reclaim(
        &mut self,
        offset: Offset,
        process: &Process,
        last_renewal: Option<Offset>,
    ) -> FoldResult {
        let lease = self.leases.get(process).ok_or(RightsRejection::NotHeld)?;
        if lease.last_renewal != last_renewal {
            return Err(RightsRejection::Renewed);
        }
        self.release(offset, process)
    }

    fn take_over(
        &mut self,
        offset: Offset,
        holder: &Holder,
        config_version: Version,
    ) -> FoldResult {
        self.check_incarnation(holder)?;
        let mut any_moved = false;
        for account in self.accounts.values_mut() {
            let mut changed = false;
            for allocation in &mut account.allocations {
                if is_predecessor(&allocation.holder, holder) {
                    allocation.holder = holder.clone();
                    changed = true;
                }
            }
            if changed {
                account.revision = offset;
                any_moved = true;
                merge_allocations(&mut account.allocations);
            }
        }
        if !any_moved {
            return Err(RightsRejection::NotHeld);
        }
        self.open_lease(holder);
        self.close_leases();
        self.renew(offset, &holder.process, config_version)
    }

    fn check_incarnation(&self, holder: &Holder) -> FoldResult {
        let newer = self
            .leases
            .values()
            .any(|lease| is_predecessor(holder, &lease.holder));
        if newer {
            return Err(RightsRejection::OldIncarnation);
        }
        Ok(())
    }

    fn open_lease(&mut self, holder: &Holder) {
        self.leases
            .entry(holder.process.clone())
            .or_insert_with(|| HolderLease {
                holder: holder.clone(),
                last_renewal: None,
                config_version: Version::default(),
            });
    }

    fn close_leases(&mut self) {
        let accounts = &self.accounts;
        self.leases.retain(|process, _lease| {
            accounts
                .values()
                .any(|account| account.share_of(process).is_some())
        });
    }

    pub(super) fn apply_reductions(&mut self, offset: Offset) {
        let leases = &self.leases;
        let config_version = |process: &Process| {
            leases
                .get(process)
                .map(|lease| lease.config_version)
                .unwrap_or_default()
        };
        for account in self.accounts.values_mut() {
            account.apply_reduction(offset, config_version);
        }
        self.close_leases();
    }
}

/// Returns whether `new` is a newer process at the address of `old`, which has thus ended.
fn is_predecessor(old: &Holder, new: &Holder) -> bool {
    old.address == new.address && old.process.incarnation < new.process.incarnation
}

fn add_allocation(allocations: &mut Vec<Allocation>, added: &Allocation) {
    let held = allocations
        .iter_mut()
        .find(|allocation| allocation.holder.process == added.holder.process);
    match held {
        Some(allocation) => allocation.share = allocation.share.plus(added.share),
        None => allocations.push(added.clone()),
    }
}

fn merge_allocations(allocations: &mut Vec<Allocation>) {
    let mut merged = Vec::with_capacity(allocations.len());
    for allocation in allocations.drain(..) {
        add_allocation(&mut merged, &allocation);
    }
    *allocations = merged;
}
