//! Records that operators and hosts append to the log's configuration stream.

use std::collections::BTreeMap;

use derive_more::{Display, Error};

use crate::{KeyDigest, KeyId, Offset, OrgName, Row, RowKey, Tables, Version, record};

record! {
    /// A change of one row, made from a known version of it.
    pub struct RowChange {
        /// The row.
        pub key: RowKey,
        /// The version that the operator saw; zero where there was no row.
        pub base: Version,
        /// The new row; none removes it.
        pub row: Option<Row>,
    }

    /// Changes of rows that are accepted or rejected together.
    pub struct Edit {
        /// Who made the edit, for `explain` and the logs.
        pub author: String,
        /// The rows to change.
        pub changes: Vec<RowChange>,
    }

    /// The right of a key to act for an organisation.
    pub struct KeyGrant {
        /// The digest of the key's text.
        pub digest: KeyDigest,
        /// The organisation for which the key acts.
        pub organisation: OrgName,
    }

    /// One record of the configuration stream.
    pub enum ConfigRecord {
        /// An operator changes rows.
        Edit(Edit),
        /// An operator issues a key.
        IssueKey {
            /// The key's public id, never used again after its withdrawal.
            id: KeyId,
            /// What the key allows.
            grant: KeyGrant,
        },
        /// An operator withdraws a key for good.
        WithdrawKey {
            /// The key's public id.
            id: KeyId,
        },
        /// A host repeats the folded state before older records expire.
        Snapshot {
            /// The offset of the last record that is folded in.
            through: Offset,
            /// The rows.
            tables: Tables,
            /// The version of each row; removed rows keep theirs.
            versions: Vec<(RowKey, Version)>,
            /// The keys that work.
            keys: BTreeMap<KeyId, KeyGrant>,
            /// The keys that were withdrawn.
            withdrawn: Vec<KeyId>,
        },
    }

    /// Why an edit was rejected.
    #[derive(Display, Error)]
    pub enum Rejection {
        /// Another edit of the same row came first.
        #[display("[{key}] was edited from version {base}, but version {current} is in force; edit that one")]
        Conflict {
            /// The row.
            key: RowKey,
            /// The version that the edit was made from.
            base: Version,
            /// The version in force.
            current: Version,
        },
        /// Key and row are of different kinds.
        #[display("[{key}] is given a row of another kind")]
        Kind {
            /// The row.
            key: RowKey,
        },
        /// The tables would no longer join.
        #[display("[{row}] would name [{missing}], which is not in the tables")]
        Join {
            /// The row that holds the name.
            row: RowKey,
            /// The row that is missing.
            missing: RowKey,
        },
        /// The key's id was used before.
        #[display("key id `{id}` was used before; issue a key with another id")]
        KeyUsed {
            /// The key's public id.
            id: KeyId,
        },
        /// There is no such key.
        #[display("there is no key `{id}`")]
        KeyUnknown {
            /// The key's public id.
            id: KeyId,
        },
        /// The key's organisation is not in the tables.
        #[display("organisation `{organisation}` is not in the tables")]
        OrganisationUnknown {
            /// The organisation.
            organisation: OrgName,
        },
    }

    /// The verdict on one record, the same on every host.
    pub enum EditOutcome {
        /// The record is in force from this version on.
        Accepted(Version),
        /// The record changes nothing.
        Rejected(Rejection),
    }
}
