//! Tracks the models and adapters that requests are waiting for.
//!
//! A miss ends when the model or adapter is resident in the zone, or at the latest deadline of
//! its requests.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{AdapterName, ModelName, Moment};

use crate::adapters::AdapterKey;

/// Missed models and adapters, each with the latest deadline of its requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Misses {
    pending: BTreeMap<(ModelName, Option<AdapterName>), Moment>,
}

/// How a miss ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MissOutcome {
    Met,
    Expired,
}

impl Misses {
    /// Adds a miss and returns whether it is new.
    pub(crate) fn add(
        &mut self,
        model: ModelName,
        adapter: Option<AdapterName>,
        deadline: Moment,
    ) -> bool {
        let key = (model, adapter);
        let previous = self.pending.get(&key).copied();
        self.pending
            .insert(key, previous.map_or(deadline, |old| old.max(deadline)));
        previous.is_none()
    }

    /// Returns the models of all pending misses.
    pub(crate) fn models(&self) -> BTreeSet<ModelName> {
        self.pending
            .keys()
            .map(|(model, _adapter)| model.clone())
            .collect()
    }

    /// Returns the adapters of all pending misses.
    pub(crate) fn adapters(&self) -> Vec<AdapterKey> {
        let keys = self.pending.keys();
        keys.filter_map(|(model, adapter)| Some((model.clone(), adapter.clone()?)))
            .collect()
    }

    /// Removes and returns the misses that are met or past their deadline.
    pub(crate) fn take_finished(
        &mut self,
        now: Moment,
        is_met: impl Fn(&ModelName, Option<&AdapterName>) -> bool,
    ) -> Vec<(ModelName, Option<AdapterName>, MissOutcome)> {
        let mut finished = Vec::new();
        self.pending.retain(|(model, adapter), deadline| {
            let outcome = if is_met(model, adapter.as_ref()) {
                MissOutcome::Met
            } else if now >= *deadline {
                MissOutcome::Expired
            } else {
                return true;
            };
            finished.push((model.clone(), adapter.clone(), outcome));
            false
        });
        finished
    }
}
