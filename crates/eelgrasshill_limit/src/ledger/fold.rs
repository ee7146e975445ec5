//! The effect of each record on the ledger.

use eelgrasshill_domain::{Offset, OrgName, Version};

use super::Ledger;
use crate::{Account, Holder, Limit, Process, RightsRecord, RightsRejection, Stake, Tenure};

type Verdict = Result<(), RightsRejection>;

impl Ledger {
    pub(super) fn fold(&mut self, offset: Offset, record: &RightsRecord) -> Verdict {
        match record {
            RightsRecord::Limit {
                organisation,
                limit,
            } => self.limit(offset, organisation, *limit),
            RightsRecord::Assign {
                organisation,
                revision,
                stakes,
            } => self.assign(offset, organisation, *revision, stakes),
            RightsRecord::Renew {
                process, through, ..
            } => self.renew(offset, process, *through),
            RightsRecord::Give {
                organisation,
                revision,
                giver,
                stake,
            } => self.give(offset, organisation, *revision, giver, stake),
            RightsRecord::Release { process } => self.release(offset, process),
            RightsRecord::Takeover {
                holder, through, ..
            } => self.take_over(offset, holder, *through),
            RightsRecord::Reclaim { process, renewed } => self.reclaim(offset, process, *renewed),
            RightsRecord::Snapshot { .. } => Ok(()),
        }
    }

    fn limit(&mut self, offset: Offset, organisation: &OrgName, limit: Limit) -> Verdict {
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
                stakes: Vec::new(),
                revision: offset,
                started: false,
            });
        account.limit = limit;
        account.revision = offset;
        Ok(())
    }

    fn revised(
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
        stakes: &[Stake],
    ) -> Verdict {
        for stake in stakes {
            self.check_current(&stake.holder)?;
        }
        let account = self.revised(organisation, revision)?;
        let sum = stakes
            .iter()
            .fold(account.assigned(), |sum, stake| sum.plus(stake.share));
        if !sum.fits(account.limit.share) {
            return Err(RightsRejection::OverLimit);
        }
        for stake in stakes {
            add_stake(&mut account.stakes, stake);
        }
        account.revision = offset;
        account.started = true;
        for stake in stakes {
            self.open_tenure(&stake.holder);
        }
        Ok(())
    }

    fn renew(&mut self, offset: Offset, process: &Process, through: Version) -> Verdict {
        let tenure = self
            .tenures
            .get_mut(process)
            .ok_or(RightsRejection::NotHeld)?;
        tenure.renewed = Some(offset);
        tenure.through = tenure.through.max(through);
        Ok(())
    }

    fn give(
        &mut self,
        offset: Offset,
        organisation: &OrgName,
        revision: Offset,
        giver: &Process,
        stake: &Stake,
    ) -> Verdict {
        self.check_current(&stake.holder)?;
        let account = self.revised(organisation, revision)?;
        if !account.assigned().fits(account.limit.share) {
            return Err(RightsRejection::OverLimit);
        }
        let source = account
            .stakes
            .iter_mut()
            .find(|held| held.holder.process == *giver)
            .filter(|held| stake.share.fits(held.share))
            .ok_or(RightsRejection::NotHeld)?;
        source.share = source.share.minus(stake.share);
        add_stake(&mut account.stakes, stake);
        account.stakes.retain(|held| !held.share.is_empty());
        account.revision = offset;
        self.open_tenure(&stake.holder);
        self.close_tenures();
        Ok(())
    }

    fn release(&mut self, offset: Offset, process: &Process) -> Verdict {
        self.tenures
            .remove(process)
            .ok_or(RightsRejection::NotHeld)?;
        for account in self.accounts.values_mut() {
            let before = account.stakes.len();
            account
                .stakes
                .retain(|stake| stake.holder.process != *process);
            if account.stakes.len() < before {
                account.revision = offset;
            }
        }
        Ok(())
    }

    fn reclaim(&mut self, offset: Offset, process: &Process, renewed: Option<Offset>) -> Verdict {
        let tenure = self.tenures.get(process).ok_or(RightsRejection::NotHeld)?;
        if tenure.renewed != renewed {
            return Err(RightsRejection::Renewed);
        }
        self.release(offset, process)
    }

    fn take_over(&mut self, offset: Offset, holder: &Holder, through: Version) -> Verdict {
        self.check_current(holder)?;
        let mut taken = false;
        for account in self.accounts.values_mut() {
            let mut changed = false;
            for stake in &mut account.stakes {
                if is_predecessor(&stake.holder, holder) {
                    stake.holder = holder.clone();
                    changed = true;
                }
            }
            if changed {
                account.revision = offset;
                taken = true;
                merge_stakes(&mut account.stakes);
            }
        }
        if !taken {
            return Err(RightsRejection::NotHeld);
        }
        self.open_tenure(holder);
        self.close_tenures();
        self.renew(offset, &holder.process, through)
    }

    fn check_current(&self, holder: &Holder) -> Verdict {
        let newer = self
            .tenures
            .values()
            .any(|tenure| is_predecessor(holder, &tenure.holder));
        if newer {
            return Err(RightsRejection::OldIncarnation);
        }
        Ok(())
    }

    fn open_tenure(&mut self, holder: &Holder) {
        self.tenures
            .entry(holder.process.clone())
            .or_insert_with(|| Tenure {
                holder: holder.clone(),
                renewed: None,
                through: Version::default(),
            });
    }

    fn close_tenures(&mut self) {
        let accounts = &self.accounts;
        self.tenures.retain(|process, _tenure| {
            accounts
                .values()
                .any(|account| account.share_of(process).is_some())
        });
    }

    pub(super) fn settle(&mut self, offset: Offset) {
        let tenures = &self.tenures;
        let through = |process: &Process| {
            tenures
                .get(process)
                .map(|tenure| tenure.through)
                .unwrap_or_default()
        };
        for account in self.accounts.values_mut() {
            account.settle(offset, through);
        }
        self.close_tenures();
    }
}

/// Returns whether a newer incarnation at the same address proves that a holder has ended.
fn is_predecessor(old: &Holder, new: &Holder) -> bool {
    old.address == new.address && old.process.incarnation < new.process.incarnation
}

fn add_stake(stakes: &mut Vec<Stake>, added: &Stake) {
    let held = stakes
        .iter_mut()
        .find(|stake| stake.holder.process == added.holder.process);
    match held {
        Some(stake) => stake.share = stake.share.plus(added.share),
        None => stakes.push(added.clone()),
    }
}

fn merge_stakes(stakes: &mut Vec<Stake>) {
    let mut merged = Vec::with_capacity(stakes.len());
    for stake in stakes.drain(..) {
        add_stake(&mut merged, &stake);
    }
    *stakes = merged;
}
