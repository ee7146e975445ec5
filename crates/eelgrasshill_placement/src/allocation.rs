//! Chooses the engine for a new copy and the copies to evict for it.
//!
//! An engine with enough free memory is preferred. Otherwise the engine is chosen on which the
//! evicted copies carry the least demand, and its memory is reserved until they are unloaded.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Model, ModelName};

use crate::planner::{MemoryReservation, Need, Round};
use crate::view::EngineView;
use crate::{Action, PlannedAction, ZoneRequirement};

/// How long freed memory stays reserved for a model.
const RESERVATION_TTL: Duration = Duration::from_secs(20);

impl<'a> Round<'_, 'a> {
    /// Loads a copy or frees memory for it.
    ///
    /// Returns false if too few copies may be evicted, or if their demand is too high for this
    /// need, so that the caller may try something else. A copy that only waits for a load slot or
    /// for reserved memory counts as placed.
    pub(crate) fn place(&mut self, name: &'a ModelName, model: &'a Model, need: Need) -> bool {
        let engines = self.candidate_engines(name, model);
        let engine_with_memory = engines
            .iter()
            .find(|engine_index| self.view.engines[**engine_index].free_mb >= model.memory_mb);
        if let Some(engine_index) = engine_with_memory.copied() {
            return self.load(engine_index, name, model);
        }
        if self.has_reservation(name) {
            return true;
        }
        let least_demand = engines
            .iter()
            .filter_map(|engine_index| {
                self.find_evictions(*engine_index, model.memory_mb, need)
                    .map(|evictions| (evictions, *engine_index))
            })
            .min_by(|a, b| a.0.demand.total_cmp(&b.0.demand));
        let Some((evictions, engine_index)) = least_demand else {
            return !matches!(need, Need::Optional(_)) && self.relocate(&engines, model);
        };
        if let Need::Extra(value) | Need::Optional(value) = need
            && value <= evictions.demand * self.planner.settings.eviction_factor
        {
            return false;
        }
        self.reserve(engine_index, name);
        if evictions.unload_idle_adapters {
            self.unload_adapters(engine_index);
        }
        for copy_index in evictions.copies {
            self.unload(engine_index, copy_index);
        }
        true
    }

    /// Returns the engines that could load the model, by decreasing free memory.
    fn candidate_engines(&self, name: &ModelName, model: &Model) -> Vec<usize> {
        let mut engines = self.view.engines_by_free_memory(&model.pool);
        engines.retain(|engine_index| {
            let engine = &self.view.engines[*engine_index];
            let reservation = self.planner.reservations.get(engine.name);
            !engine.report.occupies_memory(name)
                && !engine.engine_state.is_changing(name)
                && reservation.is_none_or(|reservation| reservation.model == *name)
                && !self.is_planned(engine.name, name)
        });
        engines
    }

    fn is_planned(&self, engine: &HostName, model: &ModelName) -> bool {
        self.actions
            .iter()
            .any(|planned| planned.engine == *engine && planned.action.model() == Some(model))
    }

    fn has_reservation(&self, name: &ModelName) -> bool {
        self.planner
            .reservations
            .values()
            .any(|reservation| reservation.model == *name)
    }

    fn reserve(&mut self, engine_index: usize, name: &ModelName) {
        let reservation = MemoryReservation {
            model: name.clone(),
            expires_at: self.now.after(RESERVATION_TTL),
        };
        self.planner
            .reservations
            .insert(self.view.engines[engine_index].name.clone(), reservation);
    }

    fn load(&mut self, engine_index: usize, name: &'a ModelName, model: &Model) -> bool {
        if self.load_slots == 0 {
            // A later round will have a load slot.
            return true;
        }
        self.load_slots -= 1;
        let engine = &mut self.view.engines[engine_index];
        engine.free_mb -= model.memory_mb;
        self.planner.reservations.remove(engine.name);
        self.view.copy_counts.entry(name).or_default().incoming += 1;
        self.push(engine_index, Action::load(name, model));
        true
    }

    /// Finds the copies with the least demand whose memory is sufficient.
    fn find_evictions(&self, engine_index: usize, memory_mb: u64, need: Need) -> Option<Evictions> {
        let engine = &self.view.engines[engine_index];
        let mut copies: Vec<_> = (0..engine.copies.len())
            .filter(|copy_index| self.may_unload(engine_index, *copy_index, need))
            .map(|copy_index| {
                (
                    self.demand_per_copy(engine.copies[copy_index].model),
                    copy_index,
                )
            })
            .collect();
        copies.sort_by(|a, b| a.0.total_cmp(&b.0));
        let copies_only = select_evictions(engine, &copies, engine.free_mb, memory_mb);
        if copies_only.is_some() || matches!(need, Need::Extra(_)) {
            return copies_only;
        }
        // Adapters reload within milliseconds, so they may be evicted for a model.
        let adapters_mb =
            u64::try_from(engine.idle_adapters.len()).unwrap_or(0) * self.view.adapter_memory_mb;
        let mut evictions =
            select_evictions(engine, &copies, engine.free_mb + adapters_mb, memory_mb)?;
        evictions.unload_idle_adapters = true;
        Some(evictions)
    }

    /// Returns the retained token rate per current copy of a model.
    fn demand_per_copy(&self, model: &ModelName) -> f64 {
        let copies = self.copy_counts(model).current.max(1);
        self.demand.retained_rate(model, self.now) / f64::from(copies)
    }

    /// Returns whether a copy may be evicted for a need.
    fn may_unload(&self, engine_index: usize, copy_index: usize, need: Need) -> bool {
        let copy = &self.view.engines[engine_index].copies[copy_index];
        if copy.has_open_order {
            return false;
        }
        let copy_counts = self.copy_counts(copy.model);
        let other_copies = if copy.is_current {
            copy_counts.current.saturating_sub(1)
        } else {
            (copy_counts.current + copy_counts.outdated).saturating_sub(1)
        };
        if other_copies > 0 {
            return true;
        }
        let held_elsewhere = self.view.is_held_elsewhere(copy.model, copy.is_current);
        match self.view.assignment.requirement(copy.model, self.view.zone) {
            Some(ZoneRequirement::Required) => false,
            Some(ZoneRequirement::Optional) => held_elsewhere && !matches!(need, Need::Optional(_)),
            None => held_elsewhere,
        }
    }

    /// Loads a second copy of a smaller model on another engine.
    ///
    /// Its first copy can then be unloaded, which together with the free memory makes enough room
    /// for `model`.
    fn relocate(&mut self, engines: &[usize], model: &Model) -> bool {
        for engine_index in engines {
            let engine = &self.view.engines[*engine_index];
            let candidates = engine.copies.iter().filter(|copy| {
                copy.is_current
                    && !copy.has_open_order
                    && engine.free_mb + copy.memory_mb >= model.memory_mb
            });
            let names: Vec<_> = candidates.map(|copy| copy.model).collect();
            for name in names {
                let Some(smaller_model) = self.view.tables.models.get(name) else {
                    continue;
                };
                let target = self.candidate_engines(name, smaller_model);
                let target = target.into_iter().find(|target_index| {
                    self.view.engines[*target_index].free_mb >= smaller_model.memory_mb
                });
                if let Some(target_index) = target
                    && smaller_model.memory_mb < model.memory_mb
                {
                    return self.load(target_index, name, smaller_model);
                }
            }
        }
        false
    }

    /// Unloads an outdated copy of a model that another zone reports.
    ///
    /// This is the last resort when no engine has memory for both versions.
    pub(crate) fn unload_outdated(&mut self, name: &ModelName) {
        if !self.view.is_held_elsewhere(name, false) {
            return;
        }
        for engine_index in 0..self.view.engines.len() {
            let copies = &self.view.engines[engine_index].copies;
            let copy_index = copies
                .iter()
                .position(|copy| copy.model == name && !copy.is_current && !copy.has_open_order);
            if let Some(copy_index) = copy_index {
                self.unload(engine_index, copy_index);
                return;
            }
        }
    }

    fn unload_adapters(&mut self, engine_index: usize) {
        for (model, adapter) in std::mem::take(&mut self.view.engines[engine_index].idle_adapters) {
            self.push(engine_index, Action::UnloadAdapter { model, adapter });
        }
    }

    pub(crate) fn unload(&mut self, engine_index: usize, copy_index: usize) {
        let copy = &mut self.view.engines[engine_index].copies[copy_index];
        copy.has_open_order = true;
        let model = copy.model;
        let copy_counts = self.view.copy_counts.entry(model).or_default();
        let count = if copy.is_current {
            &mut copy_counts.current
        } else {
            &mut copy_counts.outdated
        };
        *count = count.saturating_sub(1);
        self.push(
            engine_index,
            Action::Unload {
                model: model.clone(),
            },
        );
    }

    pub(crate) fn push(&mut self, engine_index: usize, action: Action) {
        let engine = self.view.engines[engine_index].name.clone();
        self.actions.push(PlannedAction { engine, action });
    }
}

/// What to unload from one engine to free memory for a model.
#[derive(Debug, Default)]
struct Evictions {
    /// The demand that the copies serve, in tokens per second.
    demand: f64,
    /// Indices into the copies of the engine.
    copies: Vec<usize>,
    /// Whether to unload all idle adapters too.
    unload_idle_adapters: bool,
}

/// Selects copies in order of increasing demand until the free memory is sufficient.
fn select_evictions(
    engine: &EngineView<'_>,
    copies: &[(f64, usize)],
    mut free_mb: u64,
    required_mb: u64,
) -> Option<Evictions> {
    let mut evictions = Evictions::default();
    for (demand, copy_index) in copies {
        if free_mb >= required_mb {
            break;
        }
        free_mb += engine.copies[*copy_index].memory_mb;
        evictions.demand += demand;
        evictions.copies.push(*copy_index);
    }
    (free_mb >= required_mb).then_some(evictions)
}
