//! Decides which model copies to load and unload next.
//!
//! A copy stays resident until its memory is needed for a more valuable one, so that short
//! peaks of demand cause few loads. Each round serves the needs in this order: loads that may
//! still take effect, misses, required models, optional models, and further copies by demand.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{HostName, Model, ModelName, Moment};

use crate::view::{CopyCounts, ZoneView};
use crate::{Action, DemandSettings, SmoothedDemand, ZoneRequirement};

/// An action that the planner chose for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedAction {
    /// The engine that executes the action.
    pub engine: HostName,
    /// The action to execute.
    pub action: Action,
}

/// The number of loads that may be ordered in one round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSlots {
    /// Loads of further copies; every load that runs or may still start takes a slot.
    pub(crate) for_new_loads: usize,
    /// Repeats of missing loads; the missing loads themselves take no slot.
    pub(crate) for_repeats: usize,
}

/// Memory on an engine that is being freed for a model.
#[derive(Clone, Debug)]
pub(crate) struct MemoryReservation {
    pub(crate) model: ModelName,
    pub(crate) expires_at: Moment,
}

/// Plans the loads and unloads of one zone.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) settings: DemandSettings,
    pub(crate) reservations: BTreeMap<HostName, MemoryReservation>,
}

/// The reason for a copy, in order of decreasing priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Need {
    /// A request waits for the model.
    Miss,
    /// The zone must hold the model.
    Required,
    /// The zone has memory left for the model, whose demand is this many tokens per second.
    Optional(f64),
    /// A further copy would serve this many tokens per second.
    Extra(f64),
}

impl Planner {
    /// Creates a planner without reservations.
    #[must_use]
    pub fn new(settings: DemandSettings) -> Self {
        Self {
            settings,
            reservations: BTreeMap::new(),
        }
    }

    /// Plans the actions of one round.
    pub(crate) fn round(
        &mut self,
        view: &mut ZoneView<'_>,
        demand: &SmoothedDemand,
        misses: &BTreeSet<ModelName>,
        slots: LoadSlots,
        now: Moment,
    ) -> Vec<PlannedAction> {
        self.reservations
            .retain(|_engine, reservation| now < reservation.expires_at);
        let mut round = Round {
            planner: self,
            view,
            demand,
            load_slots: slots.for_new_loads,
            now,
            actions: Vec::new(),
        };
        round.repeat_missing_loads(slots.for_repeats);
        round.place_missed(misses);
        round.place_assigned();
        round.unload_obsolete();
        round.place_extra();
        round.actions
    }
}

/// The state of a planning round in progress.
#[derive(Debug)]
pub(crate) struct Round<'r, 'a> {
    pub(crate) planner: &'r mut Planner,
    pub(crate) view: &'r mut ZoneView<'a>,
    pub(crate) demand: &'r SmoothedDemand,
    /// Model loads that may still be ordered in this round.
    pub(crate) load_slots: usize,
    pub(crate) now: Moment,
    pub(crate) actions: Vec<PlannedAction>,
}

impl<'a> Round<'_, 'a> {
    pub(crate) fn copy_counts(&self, model: &ModelName) -> CopyCounts {
        self.view
            .copy_counts
            .get(model)
            .copied()
            .unwrap_or_default()
    }

    /// Repeats the missing loads, which may also still start by themselves.
    ///
    /// A missing load and its repeat take one slot together, as they load the same version on the
    /// same engine. The slot is free again once the model is resident.
    fn repeat_missing_loads(&mut self, mut slots: usize) {
        for engine_index in 0..self.view.engines.len() {
            let engine_state = self.view.engines[engine_index].engine_state;
            for open_order in engine_state.orders().values() {
                if slots > 0
                    && engine_state.load_is_missing(open_order)
                    && !engine_state.has_active_duplicate(open_order)
                {
                    slots -= 1;
                    self.push(engine_index, open_order.order.action.clone());
                }
            }
        }
    }

    fn place_missed(&mut self, misses: &BTreeSet<ModelName>) {
        let tables = self.view.tables;
        for name in misses {
            let Some((name, model)) = tables.models.get_key_value(name) else {
                continue;
            };
            let copy_counts = self.copy_counts(name);
            if copy_counts.current_or_incoming() + copy_counts.outdated == 0 {
                self.place(name, model, Need::Miss);
            }
        }
    }

    fn place_assigned(&mut self) {
        for requirement in [ZoneRequirement::Required, ZoneRequirement::Optional] {
            let mut missing_models = self.missing_models(requirement);
            missing_models.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
            for (value, name, model) in missing_models {
                let need = match requirement {
                    ZoneRequirement::Required => Need::Required,
                    ZoneRequirement::Optional => Need::Optional(value),
                };
                if !self.place(name, model, need) && self.copy_counts(name).outdated > 0 {
                    self.unload_outdated(name);
                }
            }
        }
    }

    /// Returns the assigned models that have no current copy and none being loaded.
    ///
    /// A model that is resident in an outdated version counts as required.
    fn missing_models(&self, requirement: ZoneRequirement) -> Vec<(f64, &'a ModelName, &'a Model)> {
        let mut missing_models = Vec::new();
        for (name, model) in &self.view.tables.models {
            let copy_counts = self.copy_counts(name);
            let needed = match self.view.assignment.requirement(name, self.view.zone) {
                _ if copy_counts.outdated > 0 => Some(ZoneRequirement::Required),
                assigned => assigned,
            };
            if copy_counts.current_or_incoming() == 0 && needed == Some(requirement) {
                missing_models.push((self.demand.retained_rate(name, self.now), name, model));
            }
        }
        missing_models
    }

    /// Unloads replaced versions and models that are no longer in the tables.
    fn unload_obsolete(&mut self) {
        for engine_index in 0..self.view.engines.len() {
            for copy_index in 0..self.view.engines[engine_index].copies.len() {
                let copy = &self.view.engines[engine_index].copies[copy_index];
                if copy.is_current || copy.has_open_order {
                    continue;
                }
                let model = copy.model;
                if !self.view.tables.models.contains_key(model)
                    || self.copy_counts(model).current > 0
                {
                    self.unload(engine_index, copy_index);
                }
            }
        }
    }

    fn place_extra(&mut self) {
        let mut candidates = Vec::new();
        for (name, model) in &self.view.tables.models {
            let copy_counts = self.copy_counts(name);
            let rate = self.demand.fast_rate(name, self.now);
            let exceeds_capacity = rate
                > f64::from(copy_counts.current) * self.planner.settings.copy_tokens_per_second;
            if exceeds_capacity && copy_counts.current > 0 && copy_counts.incoming == 0 {
                candidates.push((rate / f64::from(copy_counts.current + 1), name, model));
            }
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        for (value, name, model) in candidates {
            self.place(name, model, Need::Extra(value));
        }
    }
}
