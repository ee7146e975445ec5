//! The deterministic fold over the `rights` stream: who may accrue how much.
//!
//! Every host folds the same records in log order and reaches the same verdicts, without clocks
//! and without the configuration stream: an organisation's limit enters by a record of its own.
//! The shares of an organisation never add up to more than its limit, except that after a lowered
//! limit the old shares stand until every holder has it in force (see [`Account::in_force`]).
//!
//! A share leaves its holder in four ways only: by its own `Give`, by its own `Release`, by the
//! `Takeover` of a newer incarnation at its address, and by a `Reclaim` that names the holder's
//! last renewal, whose author has watched the lease to its end. An address is taken to belong to
//! one network namespace: a newer process bound to it proves that the older one has ended.

use std::collections::BTreeMap;

use eelgrasshill_domain::{Offset, OrgName, Version};

use crate::{
    Account, Holder, Limit, Process, RightsOutcome, RightsRecord, RightsRejection, Stake, Tenure,
};

type Verdict = Result<(), RightsRejection>;

/// The folded state of the `rights` stream.
///
/// A new ledger must be fed from the stream's first record. Where that has expired, the ledger is
/// restored from the newest snapshot and fed the records that follow it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    accounts: BTreeMap<OrgName, Account>,
    tenures: BTreeMap<Process, Tenure>,
    through: Option<Offset>,
}

impl Ledger {
    /// Folds the record at an offset; records at or before the last offset are passed over.
    pub fn apply(&mut self, offset: Offset, record: &RightsRecord) -> RightsOutcome {
        if self.through.is_some_and(|last| offset <= last) {
            return RightsOutcome::Rejected(RightsRejection::OldOffset);
        }
        let verdict = self.fold(offset, record);
        self.through = Some(offset);
        match verdict {
            Ok(()) => {
                self.settle(offset);
                RightsOutcome::Accepted
            }
            Err(rejection) => RightsOutcome::Rejected(rejection),
        }
    }

    /// Returns the state of an organisation.
    #[must_use]
    pub fn account(&self, organisation: &OrgName) -> Option<&Account> {
        self.accounts.get(organisation)
    }

    /// Returns every organisation with its state.
    pub fn accounts(&self) -> impl Iterator<Item = (&OrgName, &Account)> {
        self.accounts.iter()
    }

    /// Returns what is known of a holder's lease.
    #[must_use]
    pub fn tenure(&self, process: &Process) -> Option<&Tenure> {
        self.tenures.get(process)
    }

    /// Returns every holder's lease.
    pub fn tenures(&self) -> impl Iterator<Item = &Tenure> {
        self.tenures.values()
    }

    /// Returns the offset of the last record that was folded.
    #[must_use]
    pub const fn through(&self) -> Option<Offset> {
        self.through
    }

    /// Makes the ledger as of a snapshot; the records after its `through` come next.
    ///
    /// Returns none for a record of another kind.
    #[must_use]
    pub fn restore(snapshot: RightsRecord) -> Option<Self> {
        let RightsRecord::Snapshot {
            through,
            accounts,
            tenures,
        } = snapshot
        else {
            return None;
        };
        let keyed = tenures.into_iter().map(|t| (t.holder.process.clone(), t));
        Some(Self {
            accounts: accounts.into_iter().collect(),
            tenures: keyed.collect(),
            through: Some(through),
        })
    }

    /// Returns the folded state as a record, to be appended before older records expire.
    #[must_use]
    pub fn snapshot(&self) -> Option<RightsRecord> {
        let accounts = self.accounts.iter();
        Some(RightsRecord::Snapshot {
            through: self.through?,
            accounts: accounts.map(|(o, a)| (o.clone(), a.clone())).collect(),
            tenures: self.tenures.values().cloned().collect(),
        })
    }

    /// Returns the configuration that a holder has in force, zero when it said nothing.
    #[must_use]
    pub fn in_force(&self, process: &Process) -> Version {
        self.tenures
            .get(process)
            .map(|tenure| tenure.through)
            .unwrap_or_default()
    }

    fn fold(&mut self, offset: Offset, record: &RightsRecord) -> Verdict {
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

    fn settle(&mut self, offset: Offset) {
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
