//! What hosts and the log exchange: whole states, deltas and digests.

use eelgrasshill_domain::{AppendId, ConfigRecord, Offset};

use super::{ApplyOutcome, CatchUp, ConfigFold, Gap};
use crate::{Checkpoint, Delta, StateDigest, config_state::ConfigState};

impl ConfigFold {
    /// Returns the whole state, for the log and for peers.
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
            recent: self.recent.iter().cloned().collect(),
            saved: self.saved.clone(),
        }
    }

    /// Returns the state without append ids, as the domain's own record.
    #[must_use]
    pub fn snapshot(&self) -> ConfigRecord {
        self.checkpoint().into()
    }

    /// Returns the digest of the state, equal on all hosts at this offset.
    #[must_use]
    pub fn digest(&self) -> StateDigest {
        self.checkpoint().digest()
    }

    /// Returns whether a peer at the same offset holds another state.
    #[must_use]
    pub fn differs(&self, peer: &StateDigest) -> bool {
        peer.offset == self.last && *peer != self.digest()
    }

    /// Takes over a peer's state when it is newer; returns whether it was.
    pub fn adopt(&mut self, checkpoint: &Checkpoint) -> bool {
        if checkpoint.through <= self.last {
            return false;
        }
        self.replace(checkpoint);
        true
    }

    /// Replaces a state whose digest differs from that of most peers at its offset.
    ///
    /// Returns false, and changes nothing, when the checkpoint is older.
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
        self.recent = checkpoint.recent.iter().cloned().collect();
        self.verdicts = checkpoint
            .recent
            .iter()
            .map(|judged| (judged.id.clone(), judged.outcome.clone()))
            .collect();
        self.saved.clone_from(&checkpoint.saved);
        self.tail.clear();
        self.tail_start = self.last;
        self.shrink_gap();
    }

    /// Returns what a peer that has folded up to `offset` needs.
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

    /// Takes in what a peer sent; returns what each new record became.
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
