//! Which copies to load and unload next.
//!
//! Copies stay where they are until their room is needed by something worth more, so that
//! demand which jumps and falls back causes few moves. Needs are served in order: loads that
//! may arrive anyway, misses, required models, optional models, further copies by demand.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{HostName, Model, ModelName, Moment};

use crate::view::{Standing, ZoneView};
use crate::{Action, Demand, DemandSpans, Duty};

/// Something an engine should be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub engine: HostName,
    /// What it should do.
    pub action: Action,
}

/// Loads that may be ordered in one round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slots {
    /// Loads beside all that run or may come to run.
    pub(crate) new: usize,
    /// Loads that may come to run anyway and are ordered again.
    pub(crate) repeated: usize,
}

/// Room that is being cleared.
#[derive(Clone, Debug)]
pub(crate) struct Promise {
    pub(crate) model: ModelName,
    pub(crate) until: Moment,
}

/// Chooses moves for one zone, round by round.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) spans: DemandSpans,
    pub(crate) promises: BTreeMap<HostName, Promise>,
}

/// Why a copy is wanted; what comes later displaces less.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Need {
    Miss,
    Required,
    Optional(f64),
    Extra(f64),
}

impl Planner {
    /// Makes a planner that has promised nothing.
    #[must_use]
    pub fn new(spans: DemandSpans) -> Self {
        Self {
            spans,
            promises: BTreeMap::new(),
        }
    }

    /// Chooses the moves of one round.
    pub(crate) fn round(
        &mut self,
        view: &mut ZoneView<'_>,
        demand: &Demand,
        misses: &BTreeSet<ModelName>,
        slots: Slots,
        now: Moment,
    ) -> Vec<Move> {
        self.promises.retain(|_engine, promise| now < promise.until);
        let mut round = Round {
            planner: self,
            view,
            demand,
            slots: slots.new,
            now,
            moves: Vec::new(),
        };
        round.repeat_loads(slots.repeated);
        round.serve_misses(misses);
        round.serve_duties();
        round.drop_leftovers();
        round.serve_demand();
        round.moves
    }
}

/// One round on its way.
#[derive(Debug)]
pub(crate) struct Round<'r, 'a> {
    pub(crate) planner: &'r mut Planner,
    pub(crate) view: &'r mut ZoneView<'a>,
    pub(crate) demand: &'r Demand,
    pub(crate) slots: usize,
    pub(crate) now: Moment,
    pub(crate) moves: Vec<Move>,
}

impl<'a> Round<'_, 'a> {
    pub(crate) fn standing(&self, model: &ModelName) -> Standing {
        self.view.standing.get(model).copied().unwrap_or_default()
    }

    /// Repeats loads that may arrive anyway, so that they end resident and free their slot.
    fn repeat_loads(&mut self, mut slots: usize) {
        for at in 0..self.view.engines.len() {
            let account = self.view.engines[at].account;
            for open in account.orders().values() {
                if slots > 0 && account.came_to_nothing(open) && !account.is_repeated(open) {
                    slots -= 1;
                    self.push(at, open.order.action.clone());
                }
            }
        }
    }

    fn serve_misses(&mut self, misses: &BTreeSet<ModelName>) {
        let tables = self.view.tables;
        for name in misses {
            let Some((name, row)) = tables.models.get_key_value(name) else {
                continue;
            };
            let standing = self.standing(name);
            if standing.wanted() + standing.old == 0 {
                self.serve(name, row, Need::Miss);
            }
        }
    }

    fn serve_duties(&mut self) {
        for duty in [Duty::Required, Duty::Optional] {
            let mut lacking = self.lacking(duty);
            lacking.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
            for (value, name, row) in lacking {
                let need = match duty {
                    Duty::Required => Need::Required,
                    Duty::Optional => Need::Optional(value),
                };
                if !self.serve(name, row, need) && self.standing(name).old > 0 {
                    self.replace(name);
                }
            }
        }
    }

    /// Returns the models that the zone should hold and of which no copy is there or coming.
    ///
    /// A model that stands here in another version is due like a required one.
    fn lacking(&self, duty: Duty) -> Vec<(f64, &'a ModelName, &'a Model)> {
        let mut lacking = Vec::new();
        for (name, row) in &self.view.tables.models {
            let standing = self.standing(name);
            let due = match self.view.assignment.duty(name, self.view.zone) {
                _ if standing.old > 0 => Some(Duty::Required),
                found => found,
            };
            if standing.wanted() == 0 && due == Some(duty) {
                lacking.push((self.demand.kept(name, self.now), name, row));
            }
        }
        lacking
    }

    /// Unloads copies of other versions, and of models that are no longer in the tables.
    fn drop_leftovers(&mut self) {
        for at in 0..self.view.engines.len() {
            for index in 0..self.view.engines[at].copies.len() {
                let copy = &self.view.engines[at].copies[index];
                if copy.current || copy.moving {
                    continue;
                }
                let model = copy.model;
                if !self.view.tables.models.contains_key(model) || self.standing(model).current > 0
                {
                    self.unload(at, index);
                }
            }
        }
    }

    fn serve_demand(&mut self) {
        let mut wanted = Vec::new();
        for (name, row) in &self.view.tables.models {
            let standing = self.standing(name);
            let rate = self.demand.quick(name, self.now);
            let full = rate > f64::from(standing.current) * self.planner.spans.copy_rate;
            if full && standing.current > 0 && standing.coming == 0 {
                wanted.push((rate / f64::from(standing.current + 1), name, row));
            }
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        for (value, name, row) in wanted {
            self.serve(name, row, Need::Extra(value));
        }
    }
}
