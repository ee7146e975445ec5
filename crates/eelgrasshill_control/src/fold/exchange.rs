//! Exports and imports configuration state as checkpoints, deltas and digests.

use eelgrasshill_domain::{AppendId, ConfigRecord, Offset};

use super::{ApplyOutcome, CatchUp, ConfigFold, Gap};
use crate::{Checkpoint, Delta, StateDigest, config_state::ConfigState};

impl ConfigFold {
    /// Returns the complete state, for the log and for peers.
    #[must_use]
    pub fn checkpoint(&self) -> Checkpoint {
        Checkpoint {
            through: self.last,
            tables: self.state.tables.clone(),
            versions: self
                .state
                .versions
                .iter()
                .map(|(key, version)| (key.clone(), *version))
                .collect(),
            keys: self.state.keys.clone(),
            withdrawn: self.state.withdrawn.iter().cloned().collect(),
            recent_appends: self.recent_appends.iter().cloned().collect(),
            last_checkpoint: self.last_checkpoint.clone(),
        }
    }

    /// Returns the state without append ids, as a [`ConfigRecord::Snapshot`].
    #[must_use]
    pub fn snapshot(&self) -> ConfigRecord {
        self.checkpoint().into()
    }

    /// Returns the digest of the state, which is equal on all hosts at this offset.
    #[must_use]
    pub fn digest(&self) -> StateDigest {
        self.checkpoint().digest()
    }

    /// Returns whether a peer at the same offset has a different state.
    #[must_use]
    pub fn differs(&self, peer: &StateDigest) -> bool {
        peer.offset == self.last && *peer != self.digest()
    }

    /// Replaces the state by a newer checkpoint, and returns whether it was newer.
    pub fn adopt(&mut self, checkpoint: &Checkpoint) -> bool {
        if checkpoint.through <= self.last {
            return false;
        }
        self.replace(checkpoint);
        true
    }

    /// Replaces a state that differs from that of most peers at the same offset.
    ///
    /// Returns `false` and changes nothing if the checkpoint is older.
    pub fn repair(&mut self, checkpoint: &Checkpoint) -> bool {
        if checkpoint.through < self.last {
            return false;
        }
        self.replace(checkpoint);
        true
    }

    fn replace(&mut self, checkpoint: &Checkpoint) {
        self.last = checkpoint.through;
        self.state = ConfigState {
            tables: checkpoint.tables.clone(),
            versions: checkpoint.versions.iter().cloned().collect(),
            keys: checkpoint.keys.clone(),
            withdrawn: checkpoint.withdrawn.iter().cloned().collect(),
        };
        self.recent_appends = checkpoint.recent_appends.iter().cloned().collect();
        self.verdicts = checkpoint
            .recent_appends
            .iter()
            .map(|judged_append| (judged_append.id.clone(), judged_append.outcome.clone()))
            .collect();
        self.last_checkpoint.clone_from(&checkpoint.last_checkpoint);
        self.tail.clear();
        self.tail_start = self.last;
        self.shrink_gap();
    }

    /// Returns what a peer needs that has applied the records up to `offset`.
    #[must_use]
    pub fn since(&self, offset: Offset) -> CatchUp {
        if offset < self.tail_start {
            return CatchUp::Checkpoint(Box::new(self.checkpoint()));
        }
        let records = self
            .tail
            .iter()
            .filter(|entry| entry.offset > offset)
            .cloned()
            .collect();
        CatchUp::Delta(Delta::new(offset.next(), records))
    }

    /// Applies what a peer sent and returns the outcome of each record.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] if records before those of the peer are missing.
    pub fn catch_up(&mut self, sent: &CatchUp) -> Result<Vec<(AppendId, ApplyOutcome)>, Gap> {
        match sent {
            CatchUp::Delta(delta) => self.extend(delta),
            CatchUp::Checkpoint(checkpoint) => {
                self.adopt(checkpoint);
                Ok(Vec::new())
            }
        }
    }
}
