//! Decides which zones hold which models, from the tables and the settings alone.
//!
//! Zones may be partitioned from each other, so each zone's holder computes the assignment by
//! itself, with the same result. A zone with enough memory for all models of a pool holds them
//! all. Otherwise each model is assigned to two zones by rendezvous hashing, and the remaining
//! memory is filled with further models.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{FastMap, ModelName, PoolName, Tables, ZoneName, rendezvous_weight};

/// Smallest number of zones to which each model is assigned, if their memory permits.
const MIN_ZONES_PER_MODEL: usize = 2;

/// How strictly a zone has to hold a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneRequirement {
    /// The zone holds the model because it has memory left for it.
    Optional,
    /// The zone holds the model regardless of copies in other zones.
    Required,
}

/// The zones to which each model is assigned.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    zones: BTreeMap<ModelName, BTreeMap<ZoneName, ZoneRequirement>>,
    weights: FastMap<ModelName, FastMap<ZoneName, u64>>,
}

/// Free memory of each engine of a pool, in MB, by zone.
type FreeMemoryMb = BTreeMap<ZoneName, Vec<u64>>;

impl Assignment {
    /// Computes the assignment for all pools that consist of engines.
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

    /// Returns whether a zone has to hold a model, and how strictly.
    #[must_use]
    pub fn requirement(&self, model: &ModelName, zone: &ZoneName) -> Option<ZoneRequirement> {
        self.zones.get(model)?.get(zone).copied()
    }

    /// Returns the rendezvous weight of a zone for a model.
    ///
    /// It depends only on the two names, so no edit of the tables changes it.
    pub(crate) fn weight(&self, model: &ModelName, zone: &ZoneName) -> u64 {
        let cached = self
            .weights
            .get(model)
            .and_then(|weights| weights.get(zone));
        cached.copied().unwrap_or_else(|| weight(zone, model))
    }

    /// Returns the zones to which a model is assigned.
    pub fn zones(&self, model: &ModelName) -> impl Iterator<Item = (&ZoneName, ZoneRequirement)> {
        let zones = self.zones.get(model).into_iter().flatten();
        zones.map(|(zone, requirement)| (zone, *requirement))
    }

    fn add_pool(&mut self, tables: &Tables, pool: &PoolName, zones: &[ZoneName]) {
        let mut free_memory = FreeMemoryMb::new();
        for (_name, host) in tables.hosts_of(pool) {
            if zones.contains(&host.zone) {
                free_memory
                    .entry(host.zone.clone())
                    .or_default()
                    .push(host.memory_mb);
            }
        }
        // Large models come first, as they are the hardest to fit.
        let mut models: Vec<_> = tables
            .models
            .iter()
            .filter(|(_name, m)| m.pool == *pool)
            .collect();
        models.sort_by_key(|(name, model)| (Reverse(model.memory_mb), *name));
        let models: Vec<_> = models
            .into_iter()
            .map(|(name, model)| (name, model.memory_mb))
            .collect();
        let complete_zones = self.assign_zones_with_room_for_all(&models, &mut free_memory);
        // All models get one zone before any gets a second.
        for min_zones in 1..=MIN_ZONES_PER_MODEL {
            for (model, memory_mb) in &models {
                self.add_zone(model, *memory_mb, min_zones, &mut free_memory);
            }
        }
        for zone in free_memory
            .keys()
            .filter(|zone| !complete_zones.contains(*zone))
            .cloned()
            .collect::<Vec<_>>()
        {
            self.fill_remaining(&zone, &models, &mut free_memory);
        }
    }

    /// Assigns all models to each zone that has memory for all of them.
    fn assign_zones_with_room_for_all(
        &mut self,
        models: &[(&ModelName, u64)],
        free_memory: &mut FreeMemoryMb,
    ) -> BTreeSet<ZoneName> {
        let mut complete_zones = BTreeSet::new();
        for (zone, free_mb) in free_memory {
            let mut remaining_mb = free_mb.clone();
            if !models
                .iter()
                .all(|(_model, memory_mb)| reserve(&mut remaining_mb, *memory_mb))
            {
                continue;
            }
            *free_mb = remaining_mb;
            complete_zones.insert(zone.clone());
            for (model, _memory) in models {
                self.assign(model, zone, ZoneRequirement::Required);
            }
        }
        complete_zones
    }

    /// Assigns a model to one more zone, if it has fewer than `min_zones` and another has memory.
    fn add_zone(
        &mut self,
        model: &ModelName,
        memory_mb: u64,
        min_zones: usize,
        free_memory: &mut FreeMemoryMb,
    ) {
        let assigned_zones = self.zones.get(model);
        if assigned_zones.is_some_and(|zones| zones.len() >= min_zones) {
            return;
        }
        let assigned_zones: BTreeSet<_> = assigned_zones
            .into_iter()
            .flat_map(BTreeMap::keys)
            .cloned()
            .collect();
        let mut by_weight: Vec<_> = free_memory
            .keys()
            .filter(|zone| !assigned_zones.contains(*zone))
            .cloned()
            .collect();
        by_weight.sort_by_key(|zone| Reverse(self.weight(model, zone)));
        let zone_with_memory = by_weight.iter().find(|zone| {
            free_memory
                .get_mut(*zone)
                .is_some_and(|free_mb| reserve(free_mb, memory_mb))
        });
        if let Some(zone) = zone_with_memory {
            self.assign(model, zone, ZoneRequirement::Required);
        }
    }

    fn fill_remaining(
        &mut self,
        zone: &ZoneName,
        models: &[(&ModelName, u64)],
        free_memory: &mut FreeMemoryMb,
    ) {
        let Some(free_mb) = free_memory.get_mut(zone) else {
            return;
        };
        let mut by_weight: Vec<_> = models
            .iter()
            .filter(|(model, _memory)| self.requirement(model, zone).is_none())
            .collect();
        by_weight.sort_by_key(|(model, _memory)| Reverse(self.weight(model, zone)));
        let fitting: Vec<_> = by_weight
            .into_iter()
            .filter(|(_model, memory_mb)| reserve(free_mb, *memory_mb))
            .collect();
        for (model, _memory) in fitting {
            self.assign(model, zone, ZoneRequirement::Optional);
        }
    }

    fn assign(&mut self, model: &ModelName, zone: &ZoneName, requirement: ZoneRequirement) {
        self.zones
            .entry(model.clone())
            .or_default()
            .insert(zone.clone(), requirement);
    }
}

/// Reserves memory on the engine with the most free memory; returns whether it fits.
fn reserve(free_mb: &mut [u64], memory_mb: u64) -> bool {
    let Some(largest) = free_mb.iter_mut().max() else {
        return false;
    };
    let Some(remaining_mb) = largest.checked_sub(memory_mb) else {
        return false;
    };
    *largest = remaining_mb;
    true
}

fn weight(zone: &ZoneName, model: &ModelName) -> u64 {
    rendezvous_weight(zone.as_str(), model.as_str())
}
