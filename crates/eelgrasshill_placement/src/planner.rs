//! Decides which model copies to load and unload next.
//!
//! A copy stays resident until its memory is needed for a more valuable one, so that short
//! peaks of demand cause few loads. Each round serves the needs in this order: loads that may
//! still take effect, misses, required models, optional models, and further copies by demand.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{HostName, Model, ModelName, Moment};

use crate::view::{CopyCounts, ZoneView};
use crate::{Action, DemandSettings, Requirement, SmoothedDemand};

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
    /// Loads in addition to all that are running or may still start.
    pub(crate) new: usize,
    /// Repeats of loads that had no effect so far and may still start.
    pub(crate) repeated: usize,
}

/// Memory on an engine that is being freed for a model.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) model: ModelName,
    pub(crate) expires_at: Moment,
}

/// Plans the loads and unloads of one zone.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) settings: DemandSettings,
    pub(crate) reservations: BTreeMap<HostName, Reservation>,
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
            slots: slots.new,
            now,
            actions: Vec::new(),
        };
        round.repeat_lost_loads(slots.repeated);
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
    pub(crate) slots: usize,
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

    /// Repeats loads without effect that may still start.
    ///
    /// Once the model is resident, the slots of the lost load and of its repeat become free.
    fn repeat_lost_loads(&mut self, mut slots: usize) {
        for engine_index in 0..self.view.engines.len() {
            let engine_state = self.view.engines[engine_index].engine_state;
            for open in engine_state.orders().values() {
                if slots > 0
                    && engine_state.had_no_effect(open)
                    && !engine_state.has_active_duplicate(open)
                {
                    slots -= 1;
                    self.push(engine_index, open.order.action.clone());
                }
            }
        }
    }

    fn place_missed(&mut self, misses: &BTreeSet<ModelName>) {
        let tables = self.view.tables;
        for name in misses {
            let Some((name, row)) = tables.models.get_key_value(name) else {
                continue;
            };
            let copy_counts = self.copy_counts(name);
            if copy_counts.current_or_incoming() + copy_counts.outdated == 0 {
                self.place(name, row, Need::Miss);
            }
        }
    }

    fn place_assigned(&mut self) {
        for requirement in [Requirement::Required, Requirement::Optional] {
            let mut missing = self.missing(requirement);
            missing.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
            for (value, name, row) in missing {
                let need = match requirement {
                    Requirement::Required => Need::Required,
                    Requirement::Optional => Need::Optional(value),
                };
                if !self.place(name, row, need) && self.copy_counts(name).outdated > 0 {
                    self.unload_outdated(name);
                }
            }
        }
    }

    /// Returns the assigned models that have no current copy and none being loaded.
    ///
    /// A model that is resident in an outdated version counts as required.
    fn missing(&self, requirement: Requirement) -> Vec<(f64, &'a ModelName, &'a Model)> {
        let mut missing = Vec::new();
        for (name, row) in &self.view.tables.models {
            let copy_counts = self.copy_counts(name);
            let needed = match self.view.assignment.requirement(name, self.view.zone) {
                _ if copy_counts.outdated > 0 => Some(Requirement::Required),
                found => found,
            };
            if copy_counts.current_or_incoming() == 0 && needed == Some(requirement) {
                missing.push((self.demand.retained_rate(name, self.now), name, row));
            }
        }
        missing
    }

    /// Unloads replaced versions and models that are no longer in the tables.
    fn unload_obsolete(&mut self) {
        for engine_index in 0..self.view.engines.len() {
            for copy_index in 0..self.view.engines[engine_index].copies.len() {
                let copy = &self.view.engines[engine_index].copies[copy_index];
                if copy.current || copy.changing {
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
        let mut wanted = Vec::new();
        for (name, row) in &self.view.tables.models {
            let copy_counts = self.copy_counts(name);
            let rate = self.demand.fast_rate(name, self.now);
            let exceeds_capacity =
                rate > f64::from(copy_counts.current) * self.planner.settings.copy_rate;
            if exceeds_capacity && copy_counts.current > 0 && copy_counts.incoming == 0 {
                wanted.push((rate / f64::from(copy_counts.current + 1), name, row));
            }
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        for (value, name, row) in wanted {
            self.place(name, row, Need::Extra(value));
        }
    }
}
