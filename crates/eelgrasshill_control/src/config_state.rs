//! Decides whether an operator's record is accepted, and applies it if so.
//!
//! The verdict depends only on the record, its offset and the state before it,
//! so every host that applies the same records reaches the same verdicts.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{
    ConfigRecord, Edit, EditOutcome, KeyGrant, KeyId, Offset, Rejection, Row, RowChange, RowKey,
    Tables, Version,
};

/// The rows, row versions and keys in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigState {
    pub tables: Tables,
    pub versions: BTreeMap<RowKey, Version>,
    pub keys: BTreeMap<KeyId, KeyGrant>,
    pub withdrawn: BTreeSet<KeyId>,
}

impl ConfigState {
    /// Validates a record, and applies it if it is accepted.
    pub(crate) fn judge(&mut self, offset: Offset, record: &ConfigRecord) -> EditOutcome {
        let version = Version(offset.0);
        let verdict = match record {
            ConfigRecord::Edit(edit) => self.edit(version, edit),
            ConfigRecord::IssueKey { id, grant } => self.issue(id, grant),
            ConfigRecord::WithdrawKey { id } => self.withdraw(id),
            ConfigRecord::Snapshot { .. } => Ok(()),
        };
        match verdict {
            Ok(()) => EditOutcome::Accepted(version),
            Err(rejection) => EditOutcome::Rejected(rejection),
        }
    }

    fn edit(&mut self, version: Version, edit: &Edit) -> Result<(), Rejection> {
        for change in &edit.changes {
            self.check_change(change)?;
        }
        let previous_rows = self.replace_rows(edit);
        if let Err(errors) = self.tables.check_references()
            && let Some(error) = errors.into_iter().next()
        {
            self.restore_rows(previous_rows);
            return Err(Rejection::Join {
                row: error.row,
                missing: error.missing,
            });
        }
        for change in &edit.changes {
            self.versions.insert(change.key.clone(), version);
        }
        Ok(())
    }

    /// Checks the kind of a changed row and its base version.
    ///
    /// A removed row keeps its version, so that an old edit cannot restore it.
    fn check_change(&self, change: &RowChange) -> Result<(), Rejection> {
        let key = change.key.clone();
        if change.row.as_ref().is_some_and(|row| !is_kind(&key, row)) {
            return Err(Rejection::Kind { key });
        }
        let current = self.versions.get(&key).copied().unwrap_or_default();
        if change.base == current {
            return Ok(());
        }
        Err(Rejection::Conflict {
            key,
            base: change.base,
            current,
        })
    }

    /// Applies the changes and returns the previous rows.
    fn replace_rows(&mut self, edit: &Edit) -> Vec<(RowKey, Option<Row>)> {
        let mut previous_rows = Vec::with_capacity(edit.changes.len());
        for change in &edit.changes {
            previous_rows.push((change.key.clone(), self.tables.get(&change.key)));
            // `check_change` has compared the kinds, so `set` always accepts the row.
            let _is_set = self.tables.set(&change.key, change.row.clone());
        }
        previous_rows
    }

    fn restore_rows(&mut self, previous_rows: Vec<(RowKey, Option<Row>)>) {
        for (key, row) in previous_rows.into_iter().rev() {
            let _is_set = self.tables.set(&key, row);
        }
    }

    fn issue(&mut self, id: &KeyId, grant: &KeyGrant) -> Result<(), Rejection> {
        if self.keys.contains_key(id) || self.withdrawn.contains(id) {
            return Err(Rejection::KeyUsed { id: id.clone() });
        }
        if !self.tables.organisations.contains_key(&grant.organisation) {
            return Err(Rejection::OrganisationUnknown {
                organisation: grant.organisation.clone(),
            });
        }
        self.keys.insert(id.clone(), grant.clone());
        Ok(())
    }

    /// Withdraws a key; withdrawing it a second time is accepted as well.
    fn withdraw(&mut self, id: &KeyId) -> Result<(), Rejection> {
        if self.keys.remove(id).is_some() {
            self.withdrawn.insert(id.clone());
            return Ok(());
        }
        if self.withdrawn.contains(id) {
            return Ok(());
        }
        Err(Rejection::KeyUnknown { id: id.clone() })
    }
}

/// Returns whether the row is of the kind that its key names.
fn is_kind(key: &RowKey, row: &Row) -> bool {
    match (key, row) {
        (RowKey::Organisation(_), Row::Organisation(_))
        | (RowKey::Route(_), Row::Route(_))
        | (RowKey::Pool(_), Row::Pool(_))
        | (RowKey::Host(_), Row::Host(_))
        | (RowKey::Model(_), Row::Model(_)) => true,
        (
            RowKey::Organisation(_)
            | RowKey::Route(_)
            | RowKey::Pool(_)
            | RowKey::Host(_)
            | RowKey::Model(_),
            _,
        ) => false,
    }
}
