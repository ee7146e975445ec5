//! The state folded from the `rights` stream: which process may accrue how much.
//!
//! Every host folds the same records in log order and reaches the same outcomes. The fold uses no
//! clock and no other stream: an organisation's limit enters it by a record of its own. The shares
//! of an organisation never add up to more than its limit, with one exception. After a limit is
//! lowered, the old shares stand until every holder applies the new limit (see
//! [`Account::usable_share`]).
//!
//! A share leaves its holder in four ways only:
//!
//! - by the holder's own `Transfer`,
//! - by the holder's own `Release`,
//! - by the `Takeover` of a newer incarnation at its address,
//! - by a `Reclaim` that names the holder's last renewal, whose author has waited until the lease
//!   expired.
//!
//! An address must belong to one network namespace: a newer process bound to it then proves that
//! the older one has ended.

mod fold;

use std::collections::BTreeMap;

use eelgrasshill_domain::{Offset, OrgName, Version};

use crate::{Account, HolderLease, Process, RightsOutcome, RightsRecord, RightsRejection};

/// The folded state of the `rights` stream.
///
/// A new ledger needs every record from the stream's first. If that has expired, restore the ledger
/// from the newest snapshot and apply the records that follow it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    accounts: BTreeMap<OrgName, Account>,
    leases: BTreeMap<Process, HolderLease>,
    through: Option<Offset>,
}

impl Ledger {
    /// Applies the record at an offset and returns its outcome.
    ///
    /// A record at or before the last offset is rejected and changes nothing.
    pub fn apply(&mut self, offset: Offset, record: &RightsRecord) -> RightsOutcome {
        if self.through.is_some_and(|last| offset <= last) {
            return RightsOutcome::Rejected(RightsRejection::OldOffset);
        }
        let verdict = self.fold(offset, record);
        self.through = Some(offset);
        match verdict {
            Ok(()) => {
                self.apply_reductions(offset);
                RightsOutcome::Accepted
            }
            Err(rejection) => RightsOutcome::Rejected(rejection),
        }
    }

    /// Returns the account of an organisation.
    #[must_use]
    pub fn account(&self, organisation: &OrgName) -> Option<&Account> {
        self.accounts.get(organisation)
    }

    /// Returns every organisation with its account.
    pub fn accounts(&self) -> impl Iterator<Item = (&OrgName, &Account)> {
        self.accounts.iter()
    }

    /// Returns the lease of a process, if it holds a share.
    #[must_use]
    pub fn lease(&self, process: &Process) -> Option<&HolderLease> {
        self.leases.get(process)
    }

    /// Returns the leases of all holders.
    pub fn leases(&self) -> impl Iterator<Item = &HolderLease> {
        self.leases.values()
    }

    /// Returns the offset of the last record that was applied.
    #[must_use]
    pub const fn through(&self) -> Option<Offset> {
        self.through
    }

    /// Restores the ledger from a snapshot; returns none for another record.
    ///
    /// Apply the records after the snapshot's `through` next.
    #[must_use]
    pub fn restore(snapshot: RightsRecord) -> Option<Self> {
        let RightsRecord::Snapshot {
            through,
            accounts,
            leases,
        } = snapshot
        else {
            return None;
        };
        let keyed = leases
            .into_iter()
            .map(|lease| (lease.holder.process.clone(), lease));
        Some(Self {
            accounts: accounts.into_iter().collect(),
            leases: keyed.collect(),
            through: Some(through),
        })
    }

    /// Returns a snapshot record of the state, or none for an empty ledger.
    ///
    /// Append it before older records expire.
    #[must_use]
    pub fn snapshot(&self) -> Option<RightsRecord> {
        let accounts = self.accounts.iter();
        Some(RightsRecord::Snapshot {
            through: self.through?,
            accounts: accounts.map(|(o, a)| (o.clone(), a.clone())).collect(),
            leases: self.leases.values().cloned().collect(),
        })
    }

    /// Returns the configuration version that a holder applies, zero if unknown.
    #[must_use]
    pub fn applied_version(&self, process: &Process) -> Version {
        self.leases
            .get(process)
            .map(|lease| lease.config_version)
            .unwrap_or_default()
    }
}
