//! The folded configuration as a record, so that hosts can start without old records.

use std::{collections::BTreeMap, time::Duration};

use eelgrasshill_domain::{
    AppendId, ConfigRecord, EditOutcome, HostName, KeyGrant, KeyId, Offset, RowKey, Tables,
    Version, digest_hex, record,
};

use crate::{LogEntry, LogTime};

/// The time that a host gives each host ranked before it to save a checkpoint.
pub const CHECKPOINT_TAKEOVER_INTERVAL: Duration = Duration::from_secs(10);

/// The number of judged records after a checkpoint beyond which a new one is due.
pub(crate) const MAX_UNSAVED_RECORDS: usize = 256;

record! {
    /// The verdict on one append, kept so that a repeated append is not applied again.
    pub struct JudgedAppend {
        /// The append id, which is the same on every retry.
        pub id: AppendId,
        /// Where the append first stood.
        pub offset: Offset,
        /// When the log accepted it.
        pub at: LogTime,
        /// Who made the edit, as the record says; none for keys.
        pub author: Option<String>,
        /// The verdict, the same on every host.
        pub outcome: EditOutcome,
    }

    /// The position and time of the newest checkpoint in the log.
    pub struct SavedCheckpoint {
        /// The offset of the last record that the checkpoint covers.
        pub through: Offset,
        /// When the log accepted it.
        pub at: LogTime,
    }

    /// The whole state of a configuration fold.
    ///
    /// It holds what a host needs to judge every later record as the others do:
    /// beside rows and keys also the recent append ids.
    pub struct Checkpoint {
        /// The offset of the last record that is folded in.
        pub through: Offset,
        /// The rows.
        pub tables: Tables,
        /// The version of each row; removed rows keep theirs.
        pub versions: Vec<(RowKey, Version)>,
        /// The keys that work.
        pub keys: BTreeMap<KeyId, KeyGrant>,
        /// The keys that were withdrawn.
        pub withdrawn: Vec<KeyId>,
        /// The verdicts on recent appends, oldest first.
        pub recent: Vec<JudgedAppend>,
        /// The newest checkpoint among the covered records.
        pub saved: Option<SavedCheckpoint>,
    }

    /// Whatever stands in the configuration stream.
    ///
    /// The forms are told apart by their fields, so that operators' records stay plain.
    #[serde(untagged)]
    pub enum ConfigEntry {
        /// A record of an operator.
        Record(ConfigRecord),
        /// A checkpoint of a host.
        Checkpoint(Box<Checkpoint>),
        /// A placeholder for a checkpoint, sent to peers that already have its state.
        Mark(CheckpointMark),
    }

    /// A reference to a checkpoint in the log, without its state.
    pub struct CheckpointMark {
        /// The offset of the last record that the checkpoint covers.
        pub through: Offset,
    }

    /// The digest of a fold's state at an offset.
    pub struct StateDigest {
        /// The offset of the last folded record.
        pub offset: Offset,
        /// SHA-256 in hexadecimal.
        pub digest: String,
    }
}

impl Checkpoint {
    /// Returns the digest of the state, equal on all hosts at this offset.
    ///
    /// # Panics
    ///
    /// Never: names, numbers and lists always have a JSON form.
    #[must_use]
    pub fn digest(&self) -> StateDigest {
        let json = serde_json::to_vec(self).expect("a checkpoint can be serialised as JSON");
        StateDigest {
            offset: self.through,
            digest: digest_hex(&json),
        }
    }

    /// Returns the append id under which a host saves this checkpoint.
    ///
    /// A retry has the same id, and each host has its own.
    #[must_use]
    pub fn append_id(&self, host: &HostName) -> Option<AppendId> {
        let digest = digest_hex(host.as_str().as_bytes());
        let text = format!("checkpoint-{}-{}", self.through, &digest[..16]);
        AppendId::new(&text).ok()
    }

    /// Returns when the oldest record that a cold host needs was accepted.
    #[must_use]
    pub fn oldest_needed(&self) -> Option<LogTime> {
        oldest_needed(self.saved.as_ref(), self.recent.iter())
    }
}

pub(crate) fn oldest_needed<'a>(
    saved: Option<&SavedCheckpoint>,
    mut recent: impl Iterator<Item = &'a JudgedAppend>,
) -> Option<LogTime> {
    let through = saved.map_or(Offset::default(), |s| s.through);
    let unsaved = recent.find(|j| j.offset > through).map(|j| j.at);
    saved.map(|s| s.at).into_iter().chain(unsaved).min()
}

impl LogEntry<ConfigEntry> {
    /// Returns the entry with a checkpoint replaced by its placeholder.
    pub(crate) fn without_state(&self) -> Self {
        let record = match &self.record {
            ConfigEntry::Checkpoint(checkpoint) => ConfigEntry::Mark(CheckpointMark {
                through: checkpoint.through,
            }),
            ConfigEntry::Record(_) | ConfigEntry::Mark(_) => self.record.clone(),
        };
        Self {
            offset: self.offset,
            at: self.at,
            id: self.id.clone(),
            record,
        }
    }
}

impl From<ConfigRecord> for ConfigEntry {
    fn from(record: ConfigRecord) -> Self {
        Self::Record(record)
    }
}

impl From<Checkpoint> for ConfigRecord {
    fn from(checkpoint: Checkpoint) -> Self {
        Self::Snapshot {
            through: checkpoint.through,
            tables: checkpoint.tables,
            versions: checkpoint.versions,
            keys: checkpoint.keys,
            withdrawn: checkpoint.withdrawn,
        }
    }
}
