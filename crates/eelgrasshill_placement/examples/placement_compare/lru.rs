//! A baseline policy that evicts the least recently used model.
//!
//! It loads the model whose copies fall short of its demand by the most.

use std::collections::BTreeMap;

use eelgrasshill_domain::{HostName, ModelName, Tables};
use eelgrasshill_placement::{Action, Assignment};

use crate::bench::{
    DemandCurve, DeploymentProfile, Figures, RUN_MS, SAMPLE_MS, STEP_MS, Tally, WARM_UP_MS,
    engines, load_interval, order_without_term, to_f64,
};
use crate::engine::FakeEngine;

/// Tokens per second for which one copy counts as sufficient.
const COPY_TOKENS_PER_SECOND: f64 = 1000.0;
/// Number of copies that count as needed when demand is met.
const COPIES_KEPT: usize = 3;
/// Time at which a copy counts as last needed if it is not needed, in ms.
const NEVER_NEEDED_MS: u64 = 0;

struct Lru {
    tables: Tables,
    engines: BTreeMap<HostName, FakeEngine>,
    /// Time at which each copy was last needed, in ms.
    last_needed_ms: BTreeMap<(HostName, ModelName), u64>,
    seq: u64,
}

pub fn run(deployment: &DeploymentProfile, seed: u64) -> Figures {
    let tables = deployment.tables();
    let mut demand = DemandCurve::new(&tables, seed);
    let mut lru = Lru {
        engines: engines(&tables),
        last_needed_ms: BTreeMap::new(),
        seq: 0,
        tables,
    };
    lru.start(deployment);
    let load_interval_ms =
        u64::try_from(load_interval(deployment.budget).as_millis()).unwrap_or(u64::MAX);
    let load_slots = usize::try_from(deployment.budget.load_slots).unwrap_or(1);
    let (mut tally, mut next_load_ms) = (Tally::default(), 0);
    for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
        demand.advance(now);
        for engine in lru.engines.values_mut() {
            engine.advance(now);
        }
        let loading: usize = lru
            .engines
            .values()
            .map(|engine| engine.loading.len())
            .sum();
        if now >= next_load_ms && loading < load_slots && lru.step(&demand.rates(), now) {
            next_load_ms = now + load_interval_ms;
        }
        if now >= WARM_UP_MS && now.is_multiple_of(SAMPLE_MS) {
            tally.add(&lru.engines, &demand.rates(), deployment.zones.len());
        }
    }
    tally.figures(&lru.engines)
}

impl Lru {
    /// Loads every model into each zone to which it is assigned.
    fn start(&mut self, deployment: &DeploymentProfile) {
        let assignment = Assignment::new(&self.tables, &deployment.zones());
        let models: Vec<_> = self.tables.models.keys().cloned().collect();
        for model in &models {
            for (zone, _requirement) in assignment.zones(model) {
                let table_row = &self.tables.models[model];
                let zone_engines = self.engines.values().filter(|engine| {
                    engine.zone == *zone && self.tables.hosts[&engine.name].pool == table_row.pool
                });
                let most_free = zone_engines
                    .max_by_key(|engine| engine.memory_mb.saturating_sub(engine.used_mb()));
                if let Some(name) = most_free.map(|engine| engine.name.clone()) {
                    self.order(&name, Action::load(model, table_row), 0);
                }
            }
        }
    }

    fn order(&mut self, name: &HostName, action: Action, now: u64) {
        self.seq += 1;
        let order = order_without_term(action, self.seq);
        if let Some(engine) = self.engines.get_mut(name) {
            engine.execute(&order, true, now);
        }
    }

    /// Acts on the model with the largest shortfall; returns whether a load started.
    fn step(&mut self, rates: &BTreeMap<ModelName, f64>, now: u64) -> bool {
        let mut shortfalls = Vec::new();
        for (model, rate) in rates {
            let holders: Vec<_> = self.engines.values().filter(|e| e.holds(model)).collect();
            for engine in &holders {
                self.last_needed_ms
                    .insert((engine.name.clone(), model.clone()), now);
            }
            let loading_count = self
                .engines
                .values()
                .filter(|e| e.loading.keys().any(|(m, _v)| m == model))
                .count();
            let shortfall = rate - to_f64(holders.len() + loading_count) * COPY_TOKENS_PER_SECOND;
            if shortfall > 0.0 {
                shortfalls.push((shortfall, model));
            } else if holders.len() > COPIES_KEPT {
                for engine in &holders[COPIES_KEPT..] {
                    self.last_needed_ms
                        .insert((engine.name.clone(), model.clone()), NEVER_NEEDED_MS);
                }
            }
        }
        let Some((_shortfall, model)) = shortfalls.into_iter().max_by(|a, b| a.0.total_cmp(&b.0))
        else {
            return false;
        };
        self.place(&model.clone(), now)
    }

    fn place(&mut self, model: &ModelName, now: u64) -> bool {
        let row = self.tables.models[model].clone();
        let without_copy = self.engines.values().filter(|engine| {
            let has_copy = engine
                .loading
                .keys()
                .chain(engine.resident.keys())
                .any(|(name, _v)| name == model);
            self.tables.hosts[&engine.name].pool == row.pool && !has_copy
        });
        let Some(name) = without_copy
            .max_by_key(|e| e.memory_mb.saturating_sub(e.used_mb()))
            .map(|e| e.name.clone())
        else {
            return false;
        };
        let engine = &self.engines[&name];
        if engine.used_mb() + row.memory_mb <= engine.memory_mb {
            self.order(&name, Action::load(model, &row), now);
            return true;
        }
        if !engine.unloading.is_empty() {
            return false;
        }
        let resident_models = engine
            .resident
            .keys()
            .map(|(model, _version)| model.clone());
        let with_other_copies = resident_models
            .filter(|other| self.engines.values().filter(|e| e.holds(other)).count() > 1);
        let least_recently_needed = with_other_copies.min_by_key(|other| {
            self.last_needed_ms
                .get(&(name.clone(), other.clone()))
                .copied()
        });
        if let Some(model) = least_recently_needed {
            self.order(&name, Action::Unload { model }, now);
        }
        false
    }
}
