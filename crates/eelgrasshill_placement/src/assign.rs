//! Which zones hold which models, computed alike by every zone's holder from the tables alone.
//!
//! Zones may be cut off from each other, so the assignment needs no message: it is a
//! deterministic function of the tables and the settings. A zone with memory for every model of
//! a pool holds them all; otherwise each model gets two zones by rendezvous first, and what
//! memory is left is filled with further models.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{FastMap, ModelName, PoolName, Tables, ZoneName, rendezvous_weight};

/// Number of zones that hold a model when a zone can't hold them all.
const MIN_ZONES: usize = 2;

/// How much a zone owes to a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    /// The zone holds the model since it has room for it.
    Optional,
    /// The zone is one of those that hold the model whatever happens elsewhere.
    Required,
}

/// The zones of each model.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    zones: BTreeMap<ModelName, BTreeMap<ZoneName, Duty>>,
    weights: FastMap<ModelName, FastMap<ZoneName, u64>>,
}

/// Free memory of a pool's engines in one zone, in MB.
type Bins = BTreeMap<ZoneName, Vec<u64>>;

impl Assignment {
    /// Computes the assignment for all pools of engines.
    #[must_use]
    pub fn new(tables: &Tables, zones: &[ZoneName]) -> Self {
        let mut assignment = Self::default();
        for model in tables.models.keys() {
            let weights = zones.iter().map(|zone| (zone.clone(), weight(zone, model)));
            assignment.weights.insert(model.clone(), weights.collect());
        }
        for pool in tables
            .pools
            .keys()
            .filter(|pool| tables.is_engine_pool(pool))
        {
            assignment.add_pool(tables, pool, zones);
        }
        assignment
    }

    /// Returns what a zone owes to a model, if anything.
    #[must_use]
    pub fn duty(&self, model: &ModelName, zone: &ZoneName) -> Option<Duty> {
        self.zones.get(model)?.get(zone).copied()
    }

    /// Returns a zone's place in the fixed order of zones for a model; no edit changes it.
    pub(crate) fn weight(&self, model: &ModelName, zone: &ZoneName) -> u64 {
        let known = self
            .weights
            .get(model)
            .and_then(|weights| weights.get(zone));
        known.copied().unwrap_or_else(|| weight(zone, model))
    }

    /// Returns the zones that are to hold a model.
    pub fn zones(&self, model: &ModelName) -> impl Iterator<Item = (&ZoneName, Duty)> {
        let zones = self.zones.get(model).into_iter().flatten();
        zones.map(|(zone, duty)| (zone, *duty))
    }

    fn add_pool(&mut self, tables: &Tables, pool: &PoolName, zones: &[ZoneName]) {
        let mut bins = Bins::new();
        for (_name, host) in tables.hosts_of(pool) {
            if zones.contains(&host.zone) {
                bins.entry(host.zone.clone()).or_default().push(host.memory);
            }
        }
        // Large models go first, as they are the hardest to find room for.
        let mut models: Vec<_> = tables
            .models
            .iter()
            .filter(|(_name, m)| m.pool == *pool)
            .collect();
        models.sort_by_key(|(name, model)| (Reverse(model.memory), *name));
        let models: Vec<_> = models
            .into_iter()
            .map(|(name, model)| (name, model.memory))
            .collect();
        let whole = self.fill_whole(&models, &mut bins);
        for round in 1..=MIN_ZONES {
            for (model, memory) in &models {
                self.add_zone(model, *memory, round, &mut bins);
            }
        }
        for zone in bins
            .keys()
            .filter(|zone| !whole.contains(*zone))
            .cloned()
            .collect::<Vec<_>>()
        {
            self.fill_rest(&zone, &models, &mut bins);
        }
    }

    /// Gives all models to each zone that has room for all of them.
    fn fill_whole(&mut self, models: &[(&ModelName, u64)], bins: &mut Bins) -> BTreeSet<ZoneName> {
        let mut whole = BTreeSet::new();
        for (zone, free) in bins {
            let mut trial = free.clone();
            if !models
                .iter()
                .all(|(_model, memory)| put(&mut trial, *memory))
            {
                continue;
            }
            *free = trial;
            whole.insert(zone.clone());
            for (model, _memory) in models {
                self.set(model, zone, Duty::Required);
            }
        }
        whole
    }

    fn add_zone(&mut self, model: &ModelName, memory: u64, wanted: usize, bins: &mut Bins) {
        let held = self.zones.get(model);
        if held.is_some_and(|zones| zones.len() >= wanted) {
            return;
        }
        let held: BTreeSet<_> = held.into_iter().flat_map(BTreeMap::keys).cloned().collect();
        let mut order: Vec<_> = bins
            .keys()
            .filter(|zone| !held.contains(*zone))
            .cloned()
            .collect();
        order.sort_by_key(|zone| Reverse(self.weight(model, zone)));
        let found = order
            .iter()
            .find(|zone| bins.get_mut(*zone).is_some_and(|free| put(free, memory)));
        if let Some(zone) = found {
            self.set(model, zone, Duty::Required);
        }
    }

    fn fill_rest(&mut self, zone: &ZoneName, models: &[(&ModelName, u64)], bins: &mut Bins) {
        let Some(free) = bins.get_mut(zone) else {
            return;
        };
        let mut order: Vec<_> = models
            .iter()
            .filter(|(model, _memory)| self.duty(model, zone).is_none())
            .collect();
        order.sort_by_key(|(model, _memory)| Reverse(self.weight(model, zone)));
        let fitting: Vec<_> = order
            .into_iter()
            .filter(|(_model, memory)| put(free, *memory))
            .collect();
        for (model, _memory) in fitting {
            self.set(model, zone, Duty::Optional);
        }
    }

    fn set(&mut self, model: &ModelName, zone: &ZoneName, duty: Duty) {
        self.zones
            .entry(model.clone())
            .or_default()
            .insert(zone.clone(), duty);
    }
}

/// Puts a copy on the engine with the most room.
fn put(free: &mut [u64], memory: u64) -> bool {
    let Some(most) = free.iter_mut().max() else {
        return false;
    };
    let Some(rest) = most.checked_sub(memory) else {
        return false;
    };
    *most = rest;
    true
}

fn weight(zone: &ZoneName, model: &ModelName) -> u64 {
    rendezvous_weight(zone.as_str(), model.as_str())
}
