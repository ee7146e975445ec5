//! Records of the log's configuration stream, appended by operators and hosts.
//!
//! All hosts apply the records in the order of the log, so each decides alike about an edit.

use std::collections::BTreeMap;

use derive_more::{Display, Error};

use crate::{KeyDigest, KeyId, Offset, OrgName, Row, RowKey, Tables, Version, record};

record! {
    /// Change of one row, based on a known version of it.
    pub struct RowChange {
        /// Key of the row.
        pub key: RowKey,
        /// Version that the operator started from; zero if the row did not exist.
        pub base: Version,
        /// New content of the row; none removes the row.
        pub row: Option<Row>,
    }

    /// Row changes that are accepted or rejected as a whole.
    pub struct Edit {
        /// Author of the edit, shown by `explain` and in logs.
        pub author: String,
        /// Rows to change.
        pub changes: Vec<RowChange>,
    }

    /// Grant that lets a key act for an organisation.
    pub struct KeyGrant {
        /// Digest of the key.
        pub digest: KeyDigest,
        /// Organisation for which the key acts.
        pub organisation: OrgName,
    }

    /// Record of the configuration stream.
    pub enum ConfigRecord {
        /// An operator changes rows.
        Edit(Edit),
        /// An operator issues a key.
        IssueKey {
            /// Public id of the key, which is never reused after a withdrawal.
            id: KeyId,
            /// Grant of the key.
            grant: KeyGrant,
        },
        /// An operator permanently withdraws a key.
        WithdrawKey {
            /// Public id of the key.
            id: KeyId,
        },
        /// A host writes the current state, a checkpoint, before older records expire.
        Snapshot {
            /// Offset of the last record that is included.
            through: Offset,
            /// All rows.
            tables: Tables,
            /// Version of each row, including removed rows.
            versions: Vec<(RowKey, Version)>,
            /// Keys in force.
            keys: BTreeMap<KeyId, KeyGrant>,
            /// Keys that were withdrawn.
            withdrawn: Vec<KeyId>,
        },
    }

    /// Reason for the rejection of a record.
    #[derive(Display, Error)]
    pub enum Rejection {
        /// Another edit changed the row after the base version.
        #[display("[{key}] was edited from version {base}, but version {current} is in force; edit that one")]
        Conflict {
            /// Key of the row.
            key: RowKey,
            /// Version that the edit is based on.
            base: Version,
            /// Version in force.
            current: Version,
        },
        /// The key and the row are of different kinds.
        #[display("[{key}] is given a row of another kind")]
        Kind {
            /// Key of the row.
            key: RowKey,
        },
        /// The edit would leave a reference to a missing row.
        ///
        /// A model that a route lists counts as missing if it belongs to another pool.
        #[display("[{row}] would name [{missing}], which is not in the tables")]
        Join {
            /// Key of the row with the reference.
            row: RowKey,
            /// Key of the missing row.
            missing: RowKey,
        },
        /// The key's id was used by an earlier key.
        #[display("key id `{id}` was used before; issue a key with another id")]
        KeyUsed {
            /// Public id of the key.
            id: KeyId,
        },
        /// No key has this id.
        #[display("there is no key `{id}`")]
        KeyUnknown {
            /// Public id of the key.
            id: KeyId,
        },
        /// The organisation of the key is not in the tables.
        #[display("organisation `{organisation}` is not in the tables")]
        OrganisationUnknown {
            /// Name of the organisation.
            organisation: OrgName,
        },
    }

    /// Outcome of an edit or of a key record, which is the same on every host.
    pub enum EditOutcome {
        /// The record takes effect with this version.
        Accepted(Version),
        /// The record has no effect.
        Rejected(Rejection),
    }
}
