//! Checkpoints: the folded configuration as one record in the log.
//!
//! A host that starts from a checkpoint does not need the records before it,
//! which may have expired from the log.

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
        /// The offset at which the append first appeared in the log.
        pub offset: Offset,
        /// The time at which the log service accepted the record.
        pub at: LogTime,
        /// The author named in the edit; `None` for key records.
        pub author: Option<String>,
        /// The verdict, which is the same on every host.
        pub outcome: EditOutcome,
    }

    /// The position and time of the newest checkpoint in the log.
    pub struct SavedCheckpoint {
        /// The offset of the last record that the checkpoint covers.
        pub through: Offset,
        /// The time at which the log service accepted the checkpoint.
        pub at: LogTime,
    }

    /// The complete state of a configuration fold.
    ///
    /// Besides rows and keys it holds the recent append ids, without which a host
    /// could reach other verdicts on later records than the other hosts.
    pub struct Checkpoint {
        /// The offset of the last record that the checkpoint covers.
        pub through: Offset,
        /// The rows in force.
        pub tables: Tables,
        /// The version of each row, including removed rows.
        pub versions: Vec<(RowKey, Version)>,
        /// The keys in force.
        pub keys: BTreeMap<KeyId, KeyGrant>,
        /// The keys that were withdrawn.
        pub withdrawn: Vec<KeyId>,
        /// The verdicts on recent appends, oldest first.
        #[serde(rename = "recent")]
        pub recent_appends: Vec<JudgedAppend>,
        /// The newest checkpoint among the covered records.
        #[serde(rename = "saved")]
        pub last_checkpoint: Option<SavedCheckpoint>,
    }

    /// A record of the configuration stream.
    ///
    /// The variants are distinguished by their fields, so an operator's record
    /// is stored without a wrapper.
    #[serde(untagged)]
    pub enum ConfigEntry {
        /// A record that an operator published.
        Record(ConfigRecord),
        /// A checkpoint that a host saved.
        Checkpoint(Box<Checkpoint>),
        /// A placeholder for a checkpoint, sent to peers that already have its state.
        Mark(CheckpointMark),
    }

    /// A reference to a checkpoint in the log, without its state.
    pub struct CheckpointMark {
        /// The offset of the last record that the checkpoint covers.
        pub through: Offset,
    }

    /// A digest of the configuration state at an offset, for comparison with peers.
    pub struct StateDigest {
        /// The offset of the last applied record.
        pub offset: Offset,
        /// The SHA-256 digest of the state, in hexadecimal.
        pub digest: String,
    }
}

impl Checkpoint {
    /// Returns the digest of the state, which is equal on all hosts at this offset.
    ///
    /// # Panics
    ///
    /// Never panics: names, numbers and lists can always be serialised as JSON.
    #[must_use]
    pub fn digest(&self) -> StateDigest {
        let json = serde_json::to_vec(self).expect("a checkpoint can be serialised as JSON");
        StateDigest {
            offset: self.through,
            digest: digest_hex(&json),
        }
    }

    /// Returns the append id with which a host saves this checkpoint.
    ///
    /// The id is the same on every retry and differs between hosts.
    #[must_use]
    pub fn append_id(&self, host: &HostName) -> Option<AppendId> {
        let digest = digest_hex(host.as_str().as_bytes());
        let text = format!("checkpoint-{}-{}", self.through, &digest[..16]);
        AppendId::new(&text).ok()
    }

    /// Returns the log time of the oldest record that a starting host needs.
    #[must_use]
    pub fn oldest_needed(&self) -> Option<LogTime> {
        oldest_needed(self.last_checkpoint.as_ref(), self.recent_appends.iter())
    }
}

/// Returns the log time of the oldest record that a starting host needs.
///
/// This is the newest checkpoint or the first record that it does not cover,
/// whichever is older. `recent_appends` is sorted by offset.
pub(crate) fn oldest_needed<'a>(
    last_checkpoint: Option<&SavedCheckpoint>,
    mut recent_appends: impl Iterator<Item = &'a JudgedAppend>,
) -> Option<LogTime> {
    let through = last_checkpoint.map_or(Offset::default(), |checkpoint| checkpoint.through);
    let unsaved = recent_appends
        .find(|judged_append| judged_append.offset > through)
        .map(|judged_append| judged_append.at);
    last_checkpoint
        .map(|checkpoint| checkpoint.at)
        .into_iter()
        .chain(unsaved)
        .min()
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
