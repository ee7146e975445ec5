//! Estimate of the load that a pool's engines serve in time.
//!
//! It also gives the gain and loss of a move of copies. A model's load is divided evenly among its
//! copies. An engine's load is the sum over its models. The busier an engine is, the larger the
//! part of added load that starts too late.
//!
//! The load pattern is a shift of demand over hundreds of models and engines, in which a plan
//! compares each busy model with each engine. Models and engines are numbered, and what follows
//! from a model alone is computed once until a move changes it.

use std::cell::Cell;

use eelgrasshill_domain::{FastMap, ModelName};

use crate::SoftwareVersion;

/// Load of an engine, in thousandths, above which all added load starts too late.
const SATURATION_PERMILLE: u64 = 650;

/// Number of a model within an estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ModelIndex(usize);

/// Number of an engine within an estimate, in the order in which the engines were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EngineIndex(usize);

#[derive(Debug)]
struct ModelLoad {
    name: ModelName,
    // Load in thousandths of an engine.
    work: u64,
    holders: Vec<EngineIndex>,
    // Sums over the holders, until the next move.
    relief: Cell<Option<i64>>,
    loss: Cell<Option<i64>>,
}

#[derive(Debug)]
struct EngineLoad {
    software: SoftwareVersion,
    held: Vec<ModelIndex>,
    load: u64,
}

/// Copies on a pool's engines, current and planned, with the load of its models.
#[derive(Debug, Default)]
pub(crate) struct LoadEstimate {
    indexes: FastMap<ModelName, ModelIndex>,
    models: Vec<ModelLoad>,
    engines: Vec<EngineLoad>,
}

impl LoadEstimate {
    /// Creates an estimate for engines of a software version that hold the given models.
    pub(crate) fn new<'a>(
        engines: impl Iterator<Item = (&'a SoftwareVersion, Vec<&'a ModelName>)>,
        work: Option<&FastMap<ModelName, u64>>,
    ) -> Self {
        let mut estimate = Self::default();
        for (name, work) in work.into_iter().flatten() {
            let index = estimate.add_model(name);
            estimate.models[index.0].work = *work;
        }
        for (position, (software, names)) in engines.enumerate() {
            let held: Vec<_> = names
                .into_iter()
                .map(|name| estimate.add_model(name))
                .collect();
            for index in &held {
                estimate.models[index.0].holders.push(EngineIndex(position));
            }
            estimate.engines.push(EngineLoad {
                software: software.clone(),
                held,
                load: 0,
            });
        }
        for position in 0..estimate.engines.len() {
            estimate.update_load(EngineIndex(position));
        }
        estimate
    }

    /// Returns the number of a model, which is added if it is not known yet.
    pub(crate) fn add_model(&mut self, name: &ModelName) -> ModelIndex {
        if let Some(index) = self.indexes.get(name) {
            return *index;
        }
        let index = ModelIndex(self.models.len());
        self.models.push(ModelLoad {
            name: name.clone(),
            work: 0,
            holders: Vec::new(),
            relief: Cell::new(None),
            loss: Cell::new(None),
        });
        self.indexes.insert(name.clone(), index);
        index
    }

    pub(crate) fn name(&self, model: ModelIndex) -> &ModelName {
        &self.models[model.0].name
    }

    /// Returns the models of an engine, current and planned.
    pub(crate) fn held(&self, engine: EngineIndex) -> &[ModelIndex] {
        &self.engines[engine.0].held
    }

    /// Returns the numbers of the engines, in the order in which they were added.
    pub(crate) fn engine_indexes(&self) -> impl Iterator<Item = EngineIndex> + use<> {
        (0..self.engines.len()).map(EngineIndex)
    }

    pub(crate) fn copies(&self, model: ModelIndex) -> u64 {
        u64::try_from(self.models[model.0].holders.len()).unwrap_or(u64::MAX)
    }

    /// Returns whether other engines hold a model, but none of this engine's software version.
    pub(crate) fn is_last_of_version(&self, engine: EngineIndex, model: ModelIndex) -> bool {
        let holders = &self.models[model.0].holders;
        let software = &self.engines[engine.0].software;
        let same = holders
            .iter()
            .filter(|holder| self.engines[holder.0].software == *software);
        holders.len() > 1 && same.count() == 1
    }

    pub(crate) fn work(&self, model: ModelIndex) -> u64 {
        self.models[model.0].work
    }

    /// Returns the load of each of `copies` copies, in thousandths of an engine.
    fn share(&self, model: ModelIndex, copies: u64) -> u64 {
        self.work(model) / copies.max(1)
    }

    fn current_share(&self, model: ModelIndex) -> u64 {
        self.share(model, self.copies(model))
    }

    fn update_load(&mut self, engine: EngineIndex) {
        let held = &self.engines[engine.0].held;
        let load = held.iter().map(|model| self.current_share(*model)).sum();
        self.engines[engine.0].load = load;
    }

    /// Returns the total loads of the engines that hold a model.
    fn holder_loads(&self, model: ModelIndex) -> impl Iterator<Item = u64> {
        let holders = self.models[model.0].holders.iter();
        holders.map(|engine| self.engines[engine.0].load)
    }

    /// Returns the part of a model's load that starts too late.
    pub(crate) fn unserved(&self, model: ModelIndex) -> u64 {
        let share = self.current_share(model);
        let parts = self.holder_loads(model).map(|load| {
            let late = u64::try_from(late_part(load)).unwrap_or_default();
            late * share / load.max(1)
        });
        parts.sum()
    }

    /// Returns how much more load starts in time with a copy replacing `evictions`.
    pub(crate) fn gain(
        &self,
        engine: EngineIndex,
        model: ModelIndex,
        evictions: &[ModelIndex],
    ) -> i64 {
        let after = self.share(model, self.copies(model) + 1);
        let before = self.engines[engine.0].load;
        let freed: u64 = evictions.iter().map(|gone| self.current_share(*gone)).sum();
        let here = late_part(before.saturating_sub(freed) + after) - late_part(before);
        self.relief(model) - here
    }

    /// Returns how much more load of a model's holders starts in time with another copy.
    fn relief(&self, model: ModelIndex) -> i64 {
        let known = &self.models[model.0].relief;
        let relief = known.get().unwrap_or_else(|| {
            let copies = self.copies(model);
            if copies == 0 {
                return self.work(model).try_into().unwrap_or(i64::MAX);
            }
            let moved = self.share(model, copies) - self.share(model, copies + 1);
            let loads = self.holder_loads(model);
            loads
                .map(|load| late_part(load) - late_part(load.saturating_sub(moved)))
                .sum()
        });
        known.set(Some(relief));
        relief
    }

    /// Returns how much less load starts in time without the copy on an engine.
    pub(crate) fn loss(&self, engine: EngineIndex, model: ModelIndex) -> i64 {
        let copies = self.copies(model);
        if copies <= 1 {
            return self.work(model).try_into().unwrap_or(i64::MAX);
        }
        let added = self.share(model, copies - 1) - self.share(model, copies);
        let part = |load: u64| late_part(load + added) - late_part(load);
        let known = &self.models[model.0].loss;
        let sum = known
            .get()
            .unwrap_or_else(|| self.holder_loads(model).map(part).sum());
        known.set(Some(sum));
        sum - part(self.engines[engine.0].load)
    }

    /// Applies a planned move to the estimate.
    pub(crate) fn apply_move(
        &mut self,
        engine: EngineIndex,
        model: ModelIndex,
        evictions: &[ModelIndex],
    ) {
        let held = &mut self.engines[engine.0].held;
        held.retain(|held| !evictions.contains(held));
        held.push(model);
        self.models[model.0].holders.push(engine);
        let mut changed = vec![engine];
        for gone in evictions {
            let holders = &mut self.models[gone.0].holders;
            holders.retain(|holder| *holder != engine);
            changed.extend_from_slice(holders);
        }
        changed.extend_from_slice(&self.models[model.0].holders);
        for engine in changed {
            self.update_load(engine);
        }
        for model in &self.models {
            model.relief.set(None);
            model.loss.set(None);
        }
    }
}

/// Returns the part of an engine's load that starts too late.
///
/// Below saturation, prompts delay each other, which grows with the square of the load; all load
/// above saturation is late.
fn late_part(load: u64) -> i64 {
    let below = load.min(SATURATION_PERMILLE);
    let late = below * below / (2 * SATURATION_PERMILLE) + (load - below);
    late.try_into().unwrap_or(i64::MAX)
}
