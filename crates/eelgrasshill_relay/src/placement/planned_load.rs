//! Choice of the next copy to load, its engine, and the copies to unload.
//!
//! Decides from the load estimate, the free memory of the engines and the requests that wait for
//! models or adapters.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastSet, HostName, ModelName, Moment, PoolName};

use super::engine_state::EngineState;
use super::load_estimate::{EngineIndex, LoadEstimate, ModelIndex};
use super::pool_models::PoolModels;
use super::{Action, PlacementPlanner, VACATE_DELAY};
use crate::{Model, ModelKey, SoftwareVersion};

/// How long a planned load is pursued before it is planned again.
const PLANNED_LOAD_TTL: Duration = Duration::from_secs(12);

/// How long a miss is remembered after its last request.
const MISS_TTL: Duration = Duration::from_millis(1_500);

/// Bonus for a model without a copy, in thousandths of an engine.
///
/// Even a model without load is requested at some time.
const MISSING_BONUS_PERMILLE: u64 = 80;

/// Further bonus while requests wait for the model, in thousandths of an engine.
const WAITING_BONUS_PERMILLE: u64 = 150;

/// Minimum gain for which a move is considered, in thousandths of an engine.
const MIN_GAIN_PERMILLE: u64 = 40;

/// Weight of a move's loss relative to its gain, because estimates are rough.
const LOSS_WEIGHT_PERCENT: i64 = 150;

/// Cost per second of loading, in thousandths of an engine.
const LOAD_COST_PERMILLE_PER_SECOND: i64 = 15;

/// Time between withdrawing an idle copy from use and unloading it.
const IDLE_VACATE_DELAY: Duration = Duration::from_millis(150);

/// Load up to which a model counts as idle, in thousandths of an engine.
const IDLE_PERMILLE: u64 = 10;

/// A copy planned for an engine, with the copies to unload for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlannedLoad {
    pub(crate) model: ModelName,
    pub(crate) evictions: Vec<ModelName>,
    pub(crate) since: Moment,
}

impl PlacementPlanner {
    /// Plans loads for engines, after dropping expired plans.
    pub(crate) fn plan(&mut self, now: Moment) {
        self.last_plan = now;
        self.misses.retain(|_miss, at| now.since(*at) < MISS_TTL);
        for state in self.engines.values_mut() {
            let is_old =
                |planned_load: &PlannedLoad| now.since(planned_load.since) > PLANNED_LOAD_TTL;
            if state.is_down() || state.planned_load.as_ref().is_some_and(is_old) {
                state.planned_load = None;
            }
        }
        let pools: Vec<_> = self
            .pools
            .iter()
            .map(|(name, pool)| (name.clone(), Arc::clone(pool)))
            .collect();
        for (name, pool) in pools {
            self.plan_pool(&name, &pool, now);
        }
    }

    fn plan_pool(&mut self, name: &PoolName, pool: &PoolModels, now: Moment) {
        let mut estimate = self.estimate(name);
        let mut models = self.models_to_load(name, pool, &mut estimate);
        models.extend(self.bound_models_to_load(name, pool, &mut estimate));
        if models.is_empty() {
            return;
        }
        let mut free_engines = self.free_engines(name, pool, &mut estimate, now);
        for (model, need) in models {
            let Some((position, evictions)) = best_engine(&free_engines, model, &need, &estimate)
            else {
                continue;
            };
            let engine = free_engines.remove(position);
            estimate.apply_move(engine.index, model.index, &evictions);
            self.revision += 1;
            if let Some(state) = self.engines.get_mut(&engine.id) {
                let evictions = evictions.iter().map(|gone| estimate.name(*gone).clone());
                state.revision = self.revision;
                state.planned_load = Some(PlannedLoad {
                    model: model.row.name.clone(),
                    evictions: evictions.collect(),
                    since: now,
                });
            }
        }
    }

    /// Returns the copies and load of a pool's models, the busiest first.
    ///
    /// Loads are in thousandths of an engine.
    #[must_use]
    pub fn summary(&self, name: &PoolName) -> Vec<(ModelName, u64, u64)> {
        let mut estimate = self.estimate(name);
        let Some(pool) = self.pools.get(name) else {
            return Vec::new();
        };
        let models = pool.models().iter().map(|model| {
            let index = estimate.add_model(&model.name);
            (
                model.name.clone(),
                estimate.copies(index),
                estimate.work(index),
            )
        });
        let mut models: Vec<_> = models.collect();
        models.sort_by_key(|(_name, _copies, work)| std::cmp::Reverse(*work));
        models
    }

    /// Returns how many engines are known, are carrying out an order, and are down.
    #[must_use]
    pub fn engine_counts(&self) -> (usize, usize, usize) {
        let down = self
            .engines
            .values()
            .filter(|state| state.is_down())
            .count();
        let busy = self
            .engines
            .values()
            .filter(|state| state.running_order.is_some())
            .count();
        (self.engines.len(), busy, down)
    }

    /// Returns the engines of a pool whose copies count.
    fn counted_engines(&self, name: &PoolName) -> impl Iterator<Item = (&HostName, &EngineState)> {
        let engines = self.engines.iter();
        engines.filter(move |(_id, state)| state.pool == *name && !state.is_down())
    }

    fn estimate(&self, name: &PoolName) -> LoadEstimate {
        let held = self.counted_engines(name).map(|(_id, state)| {
            let models = state.holdings.iter().map(|held| &held.model);
            let kept = models.filter(|model| state.keeps(model));
            (
                &state.software,
                kept.chain(state.incoming_model()).collect(),
            )
        });
        let pool_demand = self.pool_demands.get(name);
        LoadEstimate::new(held, pool_demand.map(|pool_demand| &pool_demand.work))
    }

    /// Returns the models that should get another copy, the most urgent first.
    fn models_to_load<'a>(
        &self,
        name: &PoolName,
        pool: &'a PoolModels,
        estimate: &mut LoadEstimate,
    ) -> Vec<(PlannedModel<'a>, Need)> {
        let misses = self.misses.keys();
        let needed: FastSet<_> = misses
            .filter(|miss| miss.key.pool == *name)
            .map(|miss| &miss.key.model)
            .collect();
        let mut found = Vec::new();
        for row in pool.models() {
            let index = estimate.add_model(&row.name);
            let needed = needed.contains(&row.name);
            let weight = match estimate.copies(index) {
                0 => {
                    estimate.work(index)
                        + MISSING_BONUS_PERMILLE
                        + if needed { WAITING_BONUS_PERMILLE } else { 0 }
                }
                _ => estimate.unserved(index),
            };
            if weight >= MIN_GAIN_PERMILLE {
                found.push((weight, PlannedModel { index, row }, needed));
            }
        }
        found.sort_by(
            |(weight, model, _needed), (other_weight, other, _other_needed)| {
                let by_weight = other_weight.cmp(weight);
                by_weight.then_with(|| model.row.name.cmp(&other.row.name))
            },
        );
        let need = |is_needed| {
            if is_needed {
                Need::Waiting
            } else {
                Need::Demand
            }
        };
        found
            .into_iter()
            .map(|(_weight, model, needed)| (model, need(needed)))
            .collect()
    }

    /// Returns the models that requests need at a software version whose engines do not have them.
    fn bound_models_to_load<'a>(
        &self,
        name: &PoolName,
        pool: &'a PoolModels,
        estimate: &mut LoadEstimate,
    ) -> Vec<(PlannedModel<'a>, Need)> {
        let mut found = Vec::new();
        for miss in self.misses.keys().filter(|miss| miss.key.pool == *name) {
            let (Some(software), Some(row)) = (&miss.software, pool.model(&miss.key.model)) else {
                continue;
            };
            let is_coming = self.counted_engines(name).any(|(_id, state)| {
                let has_model = state.keeps(&row.name) || state.incoming_model() == Some(&row.name);
                state.runs(Some(software)) && has_model
            });
            let index = estimate.add_model(&row.name);
            let need = Need::Bound(software.clone());
            let is_new = found
                .iter()
                .all(|(model, known): &(PlannedModel<'_>, Need)| {
                    model.index != index || *known != need
                });
            if !is_coming && is_new {
                found.push((PlannedModel { index, row }, need));
            }
        }
        found
    }

    /// Returns the engines for which a load may be planned.
    fn free_engines(
        &self,
        name: &PoolName,
        pool: &PoolModels,
        estimate: &mut LoadEstimate,
        now: Moment,
    ) -> Vec<FreeEngine> {
        let mut found = Vec::new();
        for ((id, state), index) in self.counted_engines(name).zip(estimate.engine_indexes()) {
            let is_free = state.orders.is_some()
                && state.running_order.is_none()
                && state.planned_load.is_none();
            if !is_free {
                continue;
            }
            let replaceable = state
                .holdings
                .iter()
                .filter(|held| !state.is_recent(&held.model, now));
            found.push(FreeEngine {
                id: id.clone(),
                software: state.software.clone(),
                index,
                memory_mb: state.free_memory(pool),
                replaceable: replaceable
                    .map(|held| {
                        (
                            estimate.add_model(&held.model),
                            pool.weights_mb(&held.model),
                        )
                    })
                    .collect(),
                memory: indexes(&state.memory, estimate),
                disk: indexes(&state.disk, estimate),
            });
        }
        found
    }

    /// Returns the next order for an engine without a pending call.
    ///
    /// `adapters` are the ones that requests wait for at this engine.
    pub(crate) fn next_action(
        &mut self,
        id: &HostName,
        adapters: &[ModelKey],
        now: Moment,
    ) -> Option<Action> {
        let state = self.engines.get(id)?;
        if state.running_order.is_some() {
            return None;
        }
        let pool = Arc::clone(self.pools.get(&state.pool)?);
        if let Some(action) = self.adapter_action(state, adapters, &pool, now) {
            return Some(action);
        }
        let planned_load = state.planned_load.as_ref()?;
        if let Some(evicted) = planned_load
            .evictions
            .iter()
            .find(|evicted| state.holding(evicted).is_some())
        {
            let work = self
                .pool_demands
                .get(&state.pool)
                .and_then(|pool_demand| pool_demand.work.get(evicted));
            let is_idle = work.is_none_or(|work| *work <= IDLE_PERMILLE);
            let vacated = now.since(planned_load.since)
                >= if is_idle {
                    IDLE_VACATE_DELAY
                } else {
                    VACATE_DELAY
                };
            return vacated.then(|| Action::Unload(evicted.clone()));
        }
        let model = pool.model(&planned_load.model)?;
        let model_name = planned_load.model.clone();
        if state.free_memory(&pool) < model.weights_mb {
            self.engines.get_mut(id)?.planned_load = None;
            return None;
        }
        if !state.is_cached(&model_name) {
            let cold = self
                .engines
                .values()
                .filter(|state| state.is_loading_cold(now))
                .count();
            let unanswered = self
                .engines
                .values()
                .map(|state| state.unanswered_cold_loads(self.load_window, now))
                .sum();
            let load_pacer = self.load_pacers.get_mut(&self.engines.get(id)?.pool)?;
            if !load_pacer.allows(cold, unanswered, model.cold_load, now) {
                return None;
            }
            load_pacer.record_load(now);
        }
        Some(Action::Load(model_name))
    }
}

impl EngineState {
    /// Returns the model that is planned or being loaded.
    pub(crate) fn incoming_model(&self) -> Option<&ModelName> {
        if let Some(planned_load) = &self.planned_load {
            return Some(&planned_load.model);
        }
        match &self.running_order {
            Some(super::engine_state::RunningOrder::Loading { model, .. }) => {
                self.holding(model).is_none().then_some(model)
            }
            _ => None,
        }
    }
}

fn indexes(names: &[ModelName], estimate: &mut LoadEstimate) -> Vec<ModelIndex> {
    let names = names.iter();
    names.map(|name| estimate.add_model(name)).collect()
}

/// A model that should get another copy.
#[derive(Clone, Copy)]
struct PlannedModel<'a> {
    index: ModelIndex,
    row: &'a Model,
}

/// Why a model should get another copy.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Need {
    /// Its demand exceeds what its engines serve.
    Demand,
    /// Requests wait for it.
    Waiting,
    /// Requests wait for it at engines of this software version.
    Bound(SoftwareVersion),
}

/// An engine for which a load may be planned.
struct FreeEngine {
    id: HostName,
    software: SoftwareVersion,
    index: EngineIndex,
    memory_mb: u64,
    // Copies that may be unloaded, with their sizes in MB.
    replaceable: Vec<(ModelIndex, u64)>,
    // Models whose weights are cached in main memory or on disk.
    memory: Vec<ModelIndex>,
    disk: Vec<ModelIndex>,
}

impl FreeEngine {
    fn load_time(&self, model: PlannedModel<'_>) -> Duration {
        if self.memory.contains(&model.index) {
            model.row.warm_load
        } else if self.disk.contains(&model.index) {
            model.row.disk_load
        } else {
            model.row.cold_load
        }
    }

    /// Returns the copies to unload for a model, with the loss that this causes.
    ///
    /// None if no set of copies frees enough memory.
    fn evictions(
        &self,
        model: PlannedModel<'_>,
        need: &Need,
        estimate: &LoadEstimate,
    ) -> Option<(Vec<ModelIndex>, i64)> {
        let needed_mb = model.row.weights_mb.saturating_sub(self.memory_mb);
        if needed_mb == 0 {
            return Some((Vec::new(), 0));
        }
        let spare = self.replaceable.iter().map(|(held, size)| {
            let last_copy_bonus = match need {
                // Streams of this version can go on nowhere else.
                _ if estimate.is_last_of_version(self.index, *held) => {
                    MISSING_BONUS_PERMILLE + WAITING_BONUS_PERMILLE
                }
                _ if estimate.copies(*held) > 1 => 0,
                // New requests would wait for it, as streams do for the other one.
                Need::Bound(_) if estimate.work(*held) > IDLE_PERMILLE => {
                    MISSING_BONUS_PERMILLE + WAITING_BONUS_PERMILLE
                }
                Need::Demand | Need::Waiting | Need::Bound(_) => MISSING_BONUS_PERMILLE,
            };
            let loss = estimate.loss(self.index, *held) + saturating_i64(last_copy_bonus);
            (loss, estimate.name(*held), *held, *size)
        });
        // A single copy that is large enough is preferred to several.
        let large_enough = spare
            .clone()
            .filter(|(_loss, _name, _held, size)| *size >= needed_mb);
        if let Some((loss, _name, held, _size)) = large_enough.min() {
            return Some((vec![held], loss));
        }
        let mut spare: Vec<_> = spare.collect();
        spare.sort();
        let (mut found, mut freed, mut sum) = (Vec::new(), 0, 0);
        for (loss, _name, held, size) in spare {
            freed += size;
            sum += loss;
            found.push(held);
            if freed >= needed_mb {
                return Some((found, sum));
            }
        }
        None
    }
}

/// Returns the position of the engine where a copy gains most, with the copies to unload there.
fn best_engine(
    free_engines: &[FreeEngine],
    model: PlannedModel<'_>,
    need: &Need,
    estimate: &LoadEstimate,
) -> Option<(usize, Vec<ModelIndex>)> {
    let bonus = match (need, estimate.copies(model.index)) {
        (Need::Bound(_), _) | (Need::Waiting, 0) => MISSING_BONUS_PERMILLE + WAITING_BONUS_PERMILLE,
        (Need::Demand, 0) => MISSING_BONUS_PERMILLE,
        (Need::Demand | Need::Waiting, _) => 0,
    };
    let mut best: Option<(i64, usize, Vec<ModelIndex>)> = None;
    for (position, engine) in free_engines.iter().enumerate() {
        let is_other = matches!(need, Need::Bound(software) if engine.software != *software);
        if is_other || estimate.held(engine.index).contains(&model.index) {
            continue;
        }
        let Some((evictions, loss)) = engine.evictions(model, need, estimate) else {
            continue;
        };
        let gain = estimate.gain(engine.index, model.index, &evictions) + saturating_i64(bonus);
        let load_ms = u64::try_from(engine.load_time(model).as_millis()).unwrap_or(u64::MAX);
        let value = gain
            - loss * LOSS_WEIGHT_PERCENT / 100
            - saturating_i64(load_ms) * LOAD_COST_PERMILLE_PER_SECOND / 1_000;
        let is_better = best.as_ref().is_none_or(|(most, ..)| value > *most);
        if value > 0 && is_better {
            best = Some((value, position, evictions));
        }
    }
    best.map(|(_value, position, evictions)| (position, evictions))
}

fn saturating_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
