//! The deterministic fold over the `rights` stream: who may accrue how much.
//!
//! Every host folds the same records in log order and reaches the same verdicts, without clocks
//! and without the configuration stream: an organisation's limit enters by a record of its own.
//! The shares of an organisation never add up to more than its limit, except that after a lowered
//! limit the old shares stand until every holder has it in force (see [`Account::applied_version`]).
//!
//! A share leaves its holder in four ways only: by its own `Transfer`, by its own `Release`, by the
//! `Takeover` of a newer incarnation at its address, and by a `Reclaim` that names the holder's
//! last renewal, whose author has watched the lease to its end. An address is taken to belong to
//! one network namespace: a newer process bound to it proves that the older one has ended.

mod fold;

use std::collections::BTreeMap;

use eelgrasshill_domain::{Offset, OrgName, Version};

use crate::{Account, Lease, Process, RightsOutcome, RightsRecord, RightsRejection};

/// The folded state of the `rights` stream.
///
/// A new ledger must be fed from the stream's first record. Where that has expired, the ledger is
/// restored from the newest snapshot and fed the records that follow it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    accounts: BTreeMap<OrgName, Account>,
    leases: BTreeMap<Process, Lease>,
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
                self.apply_reductions(offset);
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
    pub fn lease(&self, process: &Process) -> Option<&Lease> {
        self.leases.get(process)
    }

    /// Returns every holder's lease.
    pub fn leases(&self) -> impl Iterator<Item = &Lease> {
        self.leases.values()
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
            leases,
        } = snapshot
        else {
            return None;
        };
        let keyed = leases.into_iter().map(|t| (t.holder.process.clone(), t));
        Some(Self {
            accounts: accounts.into_iter().collect(),
            leases: keyed.collect(),
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
            leases: self.leases.values().cloned().collect(),
        })
    }

    /// Returns the configuration that a holder has in force, zero when it said nothing.
    #[must_use]
    pub fn applied_version(&self, process: &Process) -> Version {
        self.leases
            .get(process)
            .map(|lease| lease.config_version)
            .unwrap_or_default()
    }
}
