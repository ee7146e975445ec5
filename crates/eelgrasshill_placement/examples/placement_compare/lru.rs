//! A baseline policy that evicts the least recently used model.
//!
//! It loads the model whose copies fall short of its demand by the most.

use std::collections::BTreeMap;

use eelgrasshill_domain::{HostName, ModelName, Tables};
use eelgrasshill_placement::{Action, Assignment};

use crate::bench::{
    DemandCurve, Deployment, Figures, RUN_MS, STEP_MS, Tally, count, engines, interval,
    order_without_term,
};
use crate::engine::FakeEngine;

/// Tokens per second for which one copy counts as sufficient.
const COPY_TOKENS_PER_SECOND: f64 = 1000.0;

struct Lru {
    tables: Tables,
    engines: BTreeMap<HostName, FakeEngine>,
    /// Time at which each copy was last needed, in ms.
    used: BTreeMap<(HostName, ModelName), u64>,
    seq: u64,
}

pub fn run(deployment: &Deployment, seed: u64) -> Figures {
    let tables = deployment.tables();
    let mut load = DemandCurve::new(&tables, seed);
    let mut lru = Lru {
        engines: engines(&tables),
        used: BTreeMap::new(),
        seq: 0,
        tables,
    };
    lru.start(deployment);
    let spacing = u64::try_from(interval(deployment.budget).as_millis()).unwrap_or(u64::MAX);
    let slots = usize::try_from(deployment.budget.load_slots).unwrap_or(1);
    let (mut tally, mut next) = (Tally::default(), 0);
    for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
        load.advance(now);
        for engine in lru.engines.values_mut() {
            engine.advance(now);
        }
        let loading: usize = lru
            .engines
            .values()
            .map(|engine| engine.loading.len())
            .sum();
        if now >= next && loading < slots && lru.step(&load.rates(), now) {
            next = now + spacing;
        }
        if now >= RUN_MS / 10 && now.is_multiple_of(1000) {
            tally.add(&lru.engines, &load.rates(), deployment.zones.len());
        }
    }
    tally.figures(&lru.engines)
}

impl Lru {
    /// Loads every model into each zone to which it is assigned.
    fn start(&mut self, deployment: &Deployment) {
        let assignment = Assignment::new(&self.tables, &deployment.zones());
        let models: Vec<_> = self.tables.models.keys().cloned().collect();
        for model in &models {
            for (zone, _requirement) in assignment.zones(model) {
                let row = &self.tables.models[model];
                let room = self.engines.values().filter(|engine| {
                    engine.zone == *zone && self.tables.hosts[&engine.name].pool == row.pool
                });
                let roomiest =
                    room.max_by_key(|engine| engine.memory_mb.saturating_sub(engine.used_mb()));
                if let Some(name) = roomiest.map(|engine| engine.name.clone()) {
                    self.order(&name, Action::load(model, row), 0);
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
        let mut missing = Vec::new();
        for (model, rate) in rates {
            let holders: Vec<_> = self.engines.values().filter(|e| e.holds(model)).collect();
            for engine in &holders {
                self.used.insert((engine.name.clone(), model.clone()), now);
            }
            let coming = self
                .engines
                .values()
                .filter(|e| e.loading.keys().any(|(m, _v)| m == model))
                .count();
            let shortfall = rate - count(holders.len() + coming) * COPY_TOKENS_PER_SECOND;
            if shortfall > 0.0 {
                missing.push((shortfall, model));
            } else if holders.len() > 3 {
                // Copies beyond the first three count as unused when demand is met.
                for engine in &holders[3..] {
                    self.used.insert((engine.name.clone(), model.clone()), 0);
                }
            }
        }
        let Some((_shortfall, model)) = missing.into_iter().max_by(|a, b| a.0.total_cmp(&b.0))
        else {
            return false;
        };
        self.place(&model.clone(), now)
    }

    fn place(&mut self, model: &ModelName, now: u64) -> bool {
        let row = self.tables.models[model].clone();
        let open = self.engines.values().filter(|engine| {
            let here = engine
                .loading
                .keys()
                .chain(engine.resident.keys())
                .any(|(name, _v)| name == model);
            self.tables.hosts[&engine.name].pool == row.pool && !here
        });
        let Some(name) = open
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
        let oldest = engine
            .resident
            .keys()
            .map(|(model, _version)| model.clone());
        let oldest =
            oldest.filter(|other| self.engines.values().filter(|e| e.holds(other)).count() > 1);
        let oldest =
            oldest.min_by_key(|other| self.used.get(&(name.clone(), other.clone())).copied());
        if let Some(model) = oldest {
            self.order(&name, Action::Unload { model }, now);
        }
        false
    }
}
