//! Decides which adapters to load and unload next.
//!
//! Adapters are loaded only when a request needs them. The target is the engine with the fewest
//! adapters among those that hold the model. If it lacks memory, the least recently requested
//! adapter is unloaded first.

use eelgrasshill_domain::{AdapterName, FastMap, ModelName, Moment};

use crate::view::{EngineView, ZoneView};
use crate::{Action, EngineReport, EngineState, PlannedAction};

/// A model and the name of one of its adapters.
pub(crate) type AdapterKey = (ModelName, AdapterName);

/// The requested adapters and the limits of one planning round.
#[derive(Debug)]
pub(crate) struct AdapterRound<'a> {
    pub(crate) requested: Vec<AdapterKey>,
    pub(crate) last_requested: &'a FastMap<AdapterKey, Moment>,
    /// Adapter loads that may still be ordered.
    pub(crate) adapter_slots: usize,
    /// Memory of one adapter, in MB.
    pub(crate) adapter_memory_mb: u64,
}

impl AdapterRound<'_> {
    /// Plans the adapter loads and unloads of one round.
    pub(crate) fn plan(mut self, view: &mut ZoneView<'_>) -> Vec<PlannedAction> {
        let mut actions = Vec::new();
        for key in std::mem::take(&mut self.requested) {
            if view
                .engines
                .iter()
                .any(|engine| is_loaded_or_changing(engine, &key))
            {
                continue;
            }
            let Some(index) = self.target_engine(view, &key) else {
                continue;
            };
            let action = self.next_action(&view.engines[index], &key);
            let Some(action) = action else {
                continue;
            };
            let engine = &mut view.engines[index];
            if matches!(action, Action::LoadAdapter { .. }) {
                engine.free_mb -= self.adapter_memory_mb;
                self.adapter_slots -= 1;
            }
            actions.push(PlannedAction {
                engine: engine.name.clone(),
                action,
            });
        }
        actions
    }

    fn target_engine(&self, view: &ZoneView<'_>, key: &AdapterKey) -> Option<usize> {
        let eligible = (0..view.engines.len()).filter(|index| {
            let engine = &view.engines[*index];
            let has_copy = engine
                .copies
                .iter()
                .any(|copy| *copy.model == key.0 && copy.is_current && !copy.has_open_order);
            has_copy && !has_open_adapter_order(engine.engine_state, key)
        });
        eligible.min_by_key(|index| {
            let engine = &view.engines[*index];
            (
                engine.free_mb < self.adapter_memory_mb,
                adapter_count(engine),
            )
        })
    }

    fn next_action(&self, engine: &EngineView<'_>, key: &AdapterKey) -> Option<Action> {
        if engine.free_mb < self.adapter_memory_mb {
            return self.unload_least_recently_requested(engine);
        }
        if self.adapter_slots == 0 {
            return None;
        }
        Some(Action::LoadAdapter {
            model: key.0.clone(),
            adapter: key.1.clone(),
        })
    }

    fn unload_least_recently_requested(&self, engine: &EngineView<'_>) -> Option<Action> {
        if engine
            .engine_state
            .orders()
            .values()
            .any(|open_order| matches!(open_order.order.action, Action::UnloadAdapter { .. }))
        {
            return None;
        }
        let idle = engine.idle_adapters.iter().cloned();
        let (model, adapter) = idle.min_by_key(|key| self.last_requested.get(key).copied())?;
        Some(Action::UnloadAdapter { model, adapter })
    }
}

/// Returns the loaded adapters that no open order concerns.
pub(crate) fn idle_adapters(engine_state: &EngineState, report: &EngineReport) -> Vec<AdapterKey> {
    let pairs = report.resident.iter().flat_map(|resident| {
        let adapters = resident.adapters.iter();
        adapters.map(|adapter| (resident.model.clone(), adapter.clone()))
    });
    pairs
        .filter(|key| !has_open_adapter_order(engine_state, key))
        .collect()
}

fn is_loaded_or_changing(engine: &EngineView<'_>, key: &AdapterKey) -> bool {
    engine.report.has_adapter(&key.0, &key.1) || has_open_adapter_order(engine.engine_state, key)
}

fn adapter_count(engine: &EngineView<'_>) -> usize {
    engine
        .report
        .resident
        .iter()
        .map(|resident| resident.adapters.len())
        .sum()
}

fn has_open_adapter_order(engine_state: &EngineState, key: &AdapterKey) -> bool {
    engine_state
        .orders()
        .values()
        .any(|open_order| match &open_order.order.action {
            Action::LoadAdapter { model, adapter } | Action::UnloadAdapter { model, adapter } => {
                *model == key.0 && *adapter == key.1
            }
            Action::Load { .. } | Action::Unload { .. } | Action::Seal => false,
        })
}
