//! Choice of the next copy to load, its engine, and the copies to unload.
//!
//! Decides from the load estimate, the free memory of the engines and the requests that wait for
//! models or adapters.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, ModelName, Moment, PoolName};

use super::engine_state::EngineState;
use super::load_estimate::LoadEstimate;
use super::{Action, PlacementPlanner, VACATE_DELAY};
use crate::{EnginePool, Model};

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

/// Minimum time that a loaded adapter stays.
const MIN_ADAPTER_RESIDENCE: Duration = Duration::from_millis(250);

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
        self.misses
            .retain(|_model_key, at| now.since(*at) < MISS_TTL);
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

    fn plan_pool(&mut self, name: &PoolName, pool: &EnginePool, now: Moment) {
        let mut estimate = self.estimate(name);
        for (model_name, needed) in self.models_to_load(name, pool, &estimate) {
            let Some(model) = pool.model(&model_name) else {
                continue;
            };
            let Some((id, evictions)) = self.best_engine(name, pool, model, needed, &estimate, now)
            else {
                continue;
            };
            estimate.apply_move(&id, &model_name, &evictions);
            self.revision += 1;
            if let Some(state) = self.engines.get_mut(&id) {
                state.revision = self.revision;
                state.planned_load = Some(PlannedLoad {
                    model: model_name,
                    evictions,
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
        let estimate = self.estimate(name);
        let Some(pool) = self.pools.get(name) else {
            return Vec::new();
        };
        let models = pool.models.iter().map(|model| {
            (
                model.name.clone(),
                estimate.copies(&model.name),
                estimate.work(&model.name),
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

    fn estimate(&self, name: &PoolName) -> LoadEstimate {
        let mut held = FastMap::default();
        let engines = self.engines.iter();
        for (id, state) in engines.filter(|(_id, state)| state.pool == *name && !state.is_down()) {
            let kept = state
                .holdings
                .iter()
                .filter(|held| state.keeps(&held.model));
            let mut models: Vec<_> = kept.map(|held| held.model.clone()).collect();
            models.extend(state.incoming_model().cloned());
            held.insert(id.clone(), models);
        }
        let work = self
            .pool_demands
            .get(name)
            .map(|pool_demand| pool_demand.work.clone());
        LoadEstimate::new(held, work.unwrap_or_default())
    }

    /// Returns the models that should get another copy, the most urgent first.
    ///
    /// The flag says whether requests wait for the model.
    fn models_to_load(
        &self,
        name: &PoolName,
        pool: &EnginePool,
        estimate: &LoadEstimate,
    ) -> Vec<(ModelName, bool)> {
        let mut found = Vec::new();
        for model in &pool.models {
            let needed = self
                .misses
                .keys()
                .any(|model_key| model_key.pool == *name && model_key.model == model.name);
            let weight = match estimate.copies(&model.name) {
                0 => {
                    estimate.work(&model.name)
                        + MISSING_BONUS_PERMILLE
                        + if needed { WAITING_BONUS_PERMILLE } else { 0 }
                }
                _ => estimate.unserved(&model.name),
            };
            if weight >= MIN_GAIN_PERMILLE {
                found.push((std::cmp::Reverse(weight), model.name.clone(), needed));
            }
        }
        found.sort();
        found
            .into_iter()
            .map(|(_weight, name, needed)| (name, needed))
            .collect()
    }

    /// Returns the engine where a copy gains most, with the copies to unload there.
    fn best_engine(
        &self,
        name: &PoolName,
        pool: &EnginePool,
        model: &Model,
        needed: bool,
        estimate: &LoadEstimate,
        now: Moment,
    ) -> Option<(HostName, Vec<ModelName>)> {
        let mut best: Option<(i64, &HostName, Vec<ModelName>)> = None;
        for (id, state) in &self.engines {
            let is_eligible = state.pool == *name
                && state.orders.is_some()
                && !state.is_down()
                && state.running_order.is_none()
                && state.planned_load.is_none()
                && state.holding(&model.name).is_none();
            if !is_eligible {
                continue;
            }
            let Some((evictions, loss)) = evictions(id, state, pool, model, estimate, now) else {
                continue;
            };
            let mut gain = estimate.gain(id, &model.name, &evictions);
            if estimate.copies(&model.name) == 0 {
                gain += saturating_i64(MISSING_BONUS_PERMILLE)
                    + if needed {
                        saturating_i64(WAITING_BONUS_PERMILLE)
                    } else {
                        0
                    };
            }
            let load_ms = saturating_i64(
                u64::try_from(state.load_time(model).as_millis()).unwrap_or(u64::MAX),
            );
            let value = gain
                - loss * LOSS_WEIGHT_PERCENT / 100
                - load_ms * LOAD_COST_PERMILLE_PER_SECOND / 1_000;
            if value > 0
                && best
                    .as_ref()
                    .is_none_or(|(most, _id, _evictions)| value > *most)
            {
                best = Some((value, id, evictions));
            }
        }
        best.map(|(_value, id, evictions)| (id.clone(), evictions))
    }

    /// Returns the next order for an engine without a pending call.
    pub(crate) fn next_action(&mut self, id: &HostName, now: Moment) -> Option<Action> {
        let state = self.engines.get(id)?;
        if state.running_order.is_some() {
            return None;
        }
        let pool = Arc::clone(self.pools.get(&state.pool)?);
        if let Some(action) = self.adapter_action(id, &pool, now) {
            return Some(action);
        }
        let state = self.engines.get(id)?;
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
                .filter(|state| state.is_loading_cold())
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

    /// Returns the order towards loading an adapter that requests wait for.
    fn adapter_action(&self, id: &HostName, pool: &EnginePool, now: Moment) -> Option<Action> {
        let state = self.engines.get(id)?;
        let misses = self
            .misses
            .keys()
            .filter(|model_key| model_key.pool == state.pool);
        for model_key in misses {
            let Some(adapter) = &model_key.adapter else {
                continue;
            };
            if !state.keeps(&model_key.model) || self.held_availability(model_key, now).is_some() {
                continue;
            }
            if self.best_adapter_engine(&model_key.pool, &model_key.model) != Some(id) {
                continue;
            }
            if state.possible_adapter_count()
                < usize::try_from(pool.max_adapters).unwrap_or(usize::MAX)
            {
                return Some(Action::LoadAdapter(
                    model_key.model.clone(),
                    adapter.clone(),
                ));
            }
            if let Some(action) = self.adapter_unload(state, now) {
                return Some(action);
            }
        }
        None
    }

    /// Returns the engine with the fewest adapters, for the next adapter of a model.
    pub(crate) fn best_adapter_engine(
        &self,
        pool: &PoolName,
        model: &ModelName,
    ) -> Option<&HostName> {
        let engines = self.engines.iter().filter(|(_id, state)| {
            state.pool == *pool
                && state.keeps(model)
                && state.running_order.is_none()
                && state.orders.is_some()
                && !state.is_down()
        });
        engines
            .min_by_key(|(_id, state)| state.adapter_count())
            .map(|(id, _state)| id)
    }

    /// Returns the order that unloads the adapter with the least demand.
    fn adapter_unload(&self, state: &EngineState, now: Moment) -> Option<Action> {
        let pool_demand = self.pool_demands.get(&state.pool);
        let mut least = None;
        for held in &state.holdings {
            for adapter in &held.adapters {
                let from = state.adapter_ready_at(&held.model, adapter);
                if now.since(from) < MIN_ADAPTER_RESIDENCE {
                    continue;
                }
                let key = (held.model.clone(), adapter.clone());
                let rate = pool_demand
                    .and_then(|pool_demand| pool_demand.adapters.get(&key))
                    .copied()
                    .unwrap_or(0);
                let rank = (rate, from);
                if least.as_ref().is_none_or(|(best, _key)| rank < *best) {
                    least = Some((rank, key));
                }
            }
        }
        let (_rank, (model, adapter)) = least?;
        Some(Action::UnloadAdapter(model, adapter))
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

/// Returns the copies to unload for a model, with the loss that this causes.
///
/// None if no set of copies frees enough memory.
fn evictions(
    id: &HostName,
    state: &EngineState,
    pool: &EnginePool,
    model: &Model,
    estimate: &LoadEstimate,
    now: Moment,
) -> Option<(Vec<ModelName>, i64)> {
    let mut free_memory = state.free_memory(pool);
    if free_memory >= model.weights_mb {
        return Some((Vec::new(), 0));
    }
    let mut spare: Vec<_> = state
        .holdings
        .iter()
        .filter(|held| !state.is_recent(&held.model, now))
        .map(|held| {
            let last_copy_bonus = if estimate.copies(&held.model) == 1 {
                saturating_i64(MISSING_BONUS_PERMILLE)
            } else {
                0
            };
            (
                estimate.loss(id, &held.model) + last_copy_bonus,
                &held.model,
            )
        })
        .collect();
    spare.sort();
    let size = |name: &ModelName| pool.model(name).map_or(0, |listed| listed.weights_mb);
    // A single copy that is large enough is preferred to several.
    let single = spare
        .iter()
        .find(|(_loss, name)| free_memory + size(name) >= model.weights_mb);
    if let Some((loss, name)) = single {
        return Some((vec![(*name).clone()], *loss));
    }
    let (mut found, mut sum) = (Vec::new(), 0);
    for (loss, name) in spare {
        free_memory += size(name);
        sum += loss;
        found.push(name.clone());
        if free_memory >= model.weights_mb {
            return Some((found, sum));
        }
    }
    None
}

fn saturating_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
