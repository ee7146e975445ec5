//! Choice of the engine that loads an adapter, and of the adapter that makes room for it.
//!
//! The load pattern is a shift of demand, after which callers of many organisations ask for their
//! adapters at once. Each pass looks at the engines of a model once, whatever the number of
//! adapters that requests wait for.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, ModelName, Moment, PoolName};

use super::engine_state::EngineState;
use super::pool_models::PoolModels;
use super::{Action, Miss, PlacementPlanner};
use crate::ModelKey;

/// Minimum time that a loaded adapter stays.
const MIN_ADAPTER_RESIDENCE: Duration = Duration::from_millis(250);

/// Adapters that requests wait for, by the engine that should load them.
pub(crate) type AdapterMisses = FastMap<HostName, Vec<ModelKey>>;

impl PlacementPlanner {
    /// Returns the adapters that requests wait for, and forgets those that an engine holds.
    pub(crate) fn adapter_misses(&mut self, now: Moment) -> AdapterMisses {
        let mut found = AdapterMisses::default();
        if self.misses.keys().all(|miss| miss.key.adapter.is_none()) {
            return found;
        }
        let mut holders: FastMap<(&PoolName, &ModelName), Vec<(&HostName, &EngineState)>> =
            FastMap::default();
        for (id, state) in &self.engines {
            for held in &state.holdings {
                let holders = holders.entry((&state.pool, &held.model)).or_default();
                holders.push((id, state));
            }
        }
        self.misses.retain(|miss, _at| {
            let key = &miss.key;
            let Some(adapter) = &key.adapter else {
                return true;
            };
            let Some(holders) = holders.get(&(&key.pool, &key.model)) else {
                return true;
            };
            let serving = || holders.iter().filter(|(_id, state)| state.serves(miss));
            let is_held = serving().any(|(_id, state)| {
                let after = state.held_after(&key.model, Some(adapter), now);
                after.is_some()
            });
            let takers = serving().filter(|(_id, state)| state.takes_adapters(&key.model));
            let best = takers.min_by_key(|(_id, state)| state.adapter_count());
            if let Some((id, _state)) = best
                && !is_held
            {
                let id = HostName::clone(id);
                found.entry(id).or_default().push(key.clone());
            }
            !is_held
        });
        found
    }

    /// Returns the order towards loading an adapter that requests wait for.
    pub(crate) fn adapter_action(
        &self,
        state: &EngineState,
        adapters: &[ModelKey],
        pool: &PoolModels,
        now: Moment,
    ) -> Option<Action> {
        for key in adapters {
            let Some(adapter) = &key.adapter else {
                continue;
            };
            if state.possible_adapter_count() < pool.max_adapters() {
                return Some(Action::LoadAdapter(key.model.clone(), adapter.clone()));
            }
            if let Some(action) = self.adapter_unload(state, now) {
                return Some(action);
            }
        }
        None
    }

    /// Returns the engine with the fewest adapters, for the next adapter of a model.
    pub(crate) fn best_adapter_engine(&self, miss: &Miss) -> Option<&HostName> {
        let engines = self.engines.iter();
        engines
            .filter(|(_id, state)| state.serves(miss) && state.takes_adapters(&miss.key.model))
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
