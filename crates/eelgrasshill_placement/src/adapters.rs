//! Which adapters to load and unload next.
//!
//! Adapters are loaded on demand only. One that is asked for goes to the engine with the fewest
//! adapters among those that hold its model; the one asked for longest ago makes room for it.

use eelgrasshill_domain::{AdapterName, FastMap, ModelName, Moment};

use crate::view::{EngineView, ZoneView};
use crate::{Account, Action, EngineReport, Move};

/// An adapter of a model.
pub(crate) type AdapterKey = (ModelName, AdapterName);

/// What adapters are asked for, and what may be spent on them.
#[derive(Debug)]
pub(crate) struct AdapterRound<'a> {
    pub(crate) wanted: Vec<AdapterKey>,
    pub(crate) used: &'a FastMap<AdapterKey, Moment>,
    pub(crate) slots: usize,
    pub(crate) memory: u64,
}

impl AdapterRound<'_> {
    /// Chooses the moves of one round.
    pub(crate) fn moves(mut self, view: &mut ZoneView<'_>) -> Vec<Move> {
        let mut moves = Vec::new();
        for key in std::mem::take(&mut self.wanted) {
            if view.engines.iter().any(|engine| holds(engine, &key)) {
                continue;
            }
            let Some(at) = self.target(view, &key) else {
                continue;
            };
            let action = self.step(&view.engines[at], &key);
            let Some(action) = action else {
                continue;
            };
            let engine = &mut view.engines[at];
            if matches!(action, Action::LoadAdapter { .. }) {
                engine.free -= self.memory;
                self.slots -= 1;
            }
            moves.push(Move {
                engine: engine.name.clone(),
                action,
            });
        }
        moves
    }

    fn target(&self, view: &ZoneView<'_>, key: &AdapterKey) -> Option<usize> {
        let able = (0..view.engines.len()).filter(|at| {
            let engine = &view.engines[*at];
            let resident = engine
                .copies
                .iter()
                .any(|c| *c.model == key.0 && c.current && !c.moving);
            resident && !is_moving(engine.account, key)
        });
        able.min_by_key(|at| {
            let engine = &view.engines[*at];
            (engine.free < self.memory, count(engine))
        })
    }

    fn step(&self, engine: &EngineView<'_>, key: &AdapterKey) -> Option<Action> {
        if engine.free < self.memory {
            return self.oldest(engine);
        }
        if self.slots == 0 {
            return None;
        }
        Some(Action::LoadAdapter {
            model: key.0.clone(),
            adapter: key.1.clone(),
        })
    }

    fn oldest(&self, engine: &EngineView<'_>) -> Option<Action> {
        if engine
            .account
            .orders()
            .values()
            .any(|o| matches!(o.order.action, Action::UnloadAdapter { .. }))
        {
            return None;
        }
        let idle = engine.adapters.iter().cloned();
        let (model, adapter) = idle.min_by_key(|key| self.used.get(key).copied())?;
        Some(Action::UnloadAdapter { model, adapter })
    }
}

/// Returns the loaded adapters for which no order is open.
pub(crate) fn idle_adapters(account: &Account, report: &EngineReport) -> Vec<AdapterKey> {
    let pairs = report.resident.iter().flat_map(|resident| {
        let adapters = resident.adapters.iter();
        adapters.map(|adapter| (resident.model.clone(), adapter.clone()))
    });
    pairs.filter(|key| !is_moving(account, key)).collect()
}

fn holds(engine: &EngineView<'_>, key: &AdapterKey) -> bool {
    engine.report.has_adapter(&key.0, &key.1) || is_moving(engine.account, key)
}

fn count(engine: &EngineView<'_>) -> usize {
    engine
        .report
        .resident
        .iter()
        .map(|resident| resident.adapters.len())
        .sum()
}

fn is_moving(account: &Account, key: &AdapterKey) -> bool {
    account
        .orders()
        .values()
        .any(|open| match &open.order.action {
            Action::LoadAdapter { model, adapter } | Action::UnloadAdapter { model, adapter } => {
                *model == key.0 && *adapter == key.1
            }
            Action::Load { .. } | Action::Unload { .. } | Action::Seal => false,
        })
}
