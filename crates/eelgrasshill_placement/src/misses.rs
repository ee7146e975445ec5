//! Models and adapters that requests wait for.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{AdapterName, ModelName, Moment};

use crate::adapters::AdapterKey;

/// What is waited for, each with the latest deadline of those that wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct Misses {
    open: BTreeMap<(ModelName, Option<AdapterName>), Moment>,
}

/// What became of a miss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MissEnd {
    Met,
    Expired,
}

impl Misses {
    /// Adds a miss; returns whether it is new.
    pub(crate) fn add(
        &mut self,
        model: ModelName,
        adapter: Option<AdapterName>,
        deadline: Moment,
    ) -> bool {
        let key = (model, adapter);
        let known = self.open.get(&key).copied();
        self.open
            .insert(key, known.map_or(deadline, |old| old.max(deadline)));
        known.is_none()
    }

    /// Returns the models that are waited for.
    pub(crate) fn models(&self) -> BTreeSet<ModelName> {
        self.open
            .keys()
            .map(|(model, _adapter)| model.clone())
            .collect()
    }

    /// Returns the adapters that are waited for.
    pub(crate) fn adapters(&self) -> Vec<AdapterKey> {
        let keys = self.open.keys();
        keys.filter_map(|(model, adapter)| Some((model.clone(), adapter.clone()?)))
            .collect()
    }

    /// Removes the misses that are met or past their deadline.
    pub(crate) fn settle(
        &mut self,
        now: Moment,
        is_met: impl Fn(&ModelName, Option<&AdapterName>) -> bool,
    ) -> Vec<(ModelName, Option<AdapterName>, MissEnd)> {
        let mut ended = Vec::new();
        self.open.retain(|(model, adapter), deadline| {
            let end = if is_met(model, adapter.as_ref()) {
                MissEnd::Met
            } else if now >= *deadline {
                MissEnd::Expired
            } else {
                return true;
            };
            ended.push((model.clone(), adapter.clone(), end));
            false
        });
        ended
    }
}
