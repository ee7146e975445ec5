//! Which copies to load and unload next.
//!
//! Copies stay where they are until their room is needed by something worth more, so that
//! demand which jumps and falls back causes few moves. Needs are served in order: loads that
//! may arrive anyway, misses, required models, optional models, further copies by demand.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshill_domain::{HostName, Model, ModelName, Moment};

use crate::view::{EngineView, Standing, ZoneView};
use crate::{Action, Demand, DemandSpans, Duty};

/// How long room that was cleared for a model is kept for it.
const PROMISE_SPAN: Duration = Duration::from_secs(20);

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
struct Promise {
    model: ModelName,
    until: Moment,
}

/// Chooses moves for one zone, round by round.
#[derive(Clone, Debug)]
pub struct Planner {
    spans: DemandSpans,
    promises: BTreeMap<HostName, Promise>,
}

/// Why a copy is wanted; what comes later displaces less.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Need {
    Miss,
    Required,
    Optional,
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

struct Round<'r, 'a> {
    planner: &'r mut Planner,
    view: &'r mut ZoneView<'a>,
    demand: &'r Demand,
    slots: usize,
    now: Moment,
    moves: Vec<Move>,
}

impl<'a> Round<'_, 'a> {
    fn standing(&self, model: &ModelName) -> Standing {
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
            for (_value, name, row) in lacking {
                let need = match duty {
                    Duty::Required => Need::Required,
                    Duty::Optional => Need::Optional,
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

    /// Loads a copy where there is room, or clears room for it.
    fn serve(&mut self, name: &'a ModelName, row: &'a Model, need: Need) -> bool {
        let engines = self.open_to(name, row);
        let roomy = engines
            .iter()
            .find(|at| self.view.engines[**at].free >= row.memory);
        if let Some(at) = roomy.copied() {
            return self.load(at, name, row);
        }
        if self.is_promised(name) {
            return true;
        }
        let cheapest = engines
            .iter()
            .filter_map(|at| {
                self.victims(*at, row.memory, need)
                    .map(|found| (found, *at))
            })
            .min_by(|a, b| a.0.cost.total_cmp(&b.0.cost));
        let Some((victims, at)) = cheapest else {
            return need != Need::Optional && self.relocate(&engines, row);
        };
        if let Need::Extra(value) = need
            && value <= victims.cost * self.planner.spans.factor
        {
            return false;
        }
        self.promise(at, name);
        if victims.adapters {
            self.unload_adapters(at);
        }
        for index in victims.copies {
            self.unload(at, index);
        }
        true
    }

    /// Returns the engines that could take the model, the roomiest first.
    fn open_to(&self, name: &ModelName, row: &Model) -> Vec<usize> {
        let mut found = self.view.roomiest(&row.pool);
        found.retain(|at| {
            let engine = &self.view.engines[*at];
            let promise = self.planner.promises.get(engine.name);
            !engine.report.mentions(name)
                && !engine.account.is_moving(name)
                && promise.is_none_or(|promise| promise.model == *name)
                && !self.is_moved(engine.name, name)
        });
        found
    }

    fn is_moved(&self, engine: &HostName, model: &ModelName) -> bool {
        self.moves
            .iter()
            .any(|m| m.engine == *engine && m.action.model() == Some(model))
    }

    fn is_promised(&self, name: &ModelName) -> bool {
        self.planner
            .promises
            .values()
            .any(|promise| promise.model == *name)
    }

    fn promise(&mut self, at: usize, name: &ModelName) {
        let promise = Promise {
            model: name.clone(),
            until: self.now.after(PROMISE_SPAN),
        };
        self.planner
            .promises
            .insert(self.view.engines[at].name.clone(), promise);
    }

    fn load(&mut self, at: usize, name: &'a ModelName, row: &Model) -> bool {
        if self.slots == 0 {
            // A later round has a slot.
            return true;
        }
        self.slots -= 1;
        let engine = &mut self.view.engines[at];
        engine.free -= row.memory;
        self.planner.promises.remove(engine.name);
        self.view.standing.entry(name).or_default().coming += 1;
        self.push(at, Action::load(name, row));
        true
    }

    /// Finds the copies of least value whose room is enough.
    fn victims(&self, at: usize, memory: u64, need: Need) -> Option<Victims> {
        let engine = &self.view.engines[at];
        let mut copies: Vec<_> = (0..engine.copies.len())
            .filter(|index| self.may_drop(at, *index, need))
            .map(|index| (self.value(engine.copies[index].model), index))
            .collect();
        copies.sort_by(|a, b| a.0.total_cmp(&b.0));
        let alone = pick(engine, &copies, engine.free, memory);
        if alone.is_some() || matches!(need, Need::Extra(_)) {
            return alone;
        }
        // Adapters are loaded again within milliseconds, so they make way for a model.
        let adapters = u64::try_from(engine.adapters.len()).unwrap_or(0) * self.view.adapter_memory;
        let mut victims = pick(engine, &copies, engine.free + adapters, memory)?;
        victims.adapters = true;
        Some(victims)
    }

    /// Returns the demand that one copy carries.
    fn value(&self, model: &ModelName) -> f64 {
        let copies = self.standing(model).current.max(1);
        self.demand.kept(model, self.now) / f64::from(copies)
    }

    fn may_drop(&self, at: usize, index: usize, need: Need) -> bool {
        let copy = &self.view.engines[at].copies[index];
        if copy.moving {
            return false;
        }
        let standing = self.standing(copy.model);
        let others = if copy.current {
            standing.current.saturating_sub(1)
        } else {
            (standing.current + standing.old).saturating_sub(1)
        };
        if others > 0 {
            return true;
        }
        let backed = self.view.is_backed(copy.model, copy.current);
        match self.view.assignment.duty(copy.model, self.view.zone) {
            Some(Duty::Required) => false,
            Some(Duty::Optional) => backed && matches!(need, Need::Miss | Need::Required),
            None => backed,
        }
    }

    /// Copies a model elsewhere whose room would do, so that its copy here can go next.
    fn relocate(&mut self, engines: &[usize], row: &Model) -> bool {
        for at in engines {
            let engine = &self.view.engines[*at];
            let candidates = engine.copies.iter().filter(|copy| {
                copy.current && !copy.moving && engine.free + copy.memory >= row.memory
            });
            let names: Vec<_> = candidates.map(|copy| copy.model).collect();
            for name in names {
                let Some(other) = self.view.tables.models.get(name) else {
                    continue;
                };
                let target = self.open_to(name, other);
                let target = target
                    .into_iter()
                    .find(|to| self.view.engines[*to].free >= other.memory);
                if let Some(to) = target
                    && other.memory < row.memory
                {
                    return self.load(to, name, other);
                }
            }
        }
        false
    }

    /// Unloads the last copy of an old version where no engine can hold both.
    fn replace(&mut self, name: &ModelName) {
        if !self.view.is_backed(name, false) {
            return;
        }
        for at in 0..self.view.engines.len() {
            let copies = &self.view.engines[at].copies;
            let found = copies
                .iter()
                .position(|copy| copy.model == name && !copy.current && !copy.moving);
            if let Some(index) = found {
                self.unload(at, index);
                return;
            }
        }
    }

    fn unload_adapters(&mut self, at: usize) {
        for (model, adapter) in std::mem::take(&mut self.view.engines[at].adapters) {
            self.push(at, Action::UnloadAdapter { model, adapter });
        }
    }

    fn unload(&mut self, at: usize, index: usize) {
        let copy = &mut self.view.engines[at].copies[index];
        copy.moving = true;
        let model = copy.model;
        let standing = self.view.standing.entry(model).or_default();
        let count = if copy.current {
            &mut standing.current
        } else {
            &mut standing.old
        };
        *count = count.saturating_sub(1);
        self.push(
            at,
            Action::Unload {
                model: model.clone(),
            },
        );
    }

    fn push(&mut self, at: usize, action: Action) {
        let engine = self.view.engines[at].name.clone();
        self.moves.push(Move { engine, action });
    }
}

#[derive(Debug, Default)]
struct Victims {
    cost: f64,
    copies: Vec<usize>,
    adapters: bool,
}

/// Picks copies of least value until there is room.
fn pick(
    engine: &EngineView<'_>,
    copies: &[(f64, usize)],
    mut free: u64,
    memory: u64,
) -> Option<Victims> {
    let mut victims = Victims::default();
    for (value, index) in copies {
        if free >= memory {
            break;
        }
        free += engine.copies[*index].memory;
        victims.cost += value;
        victims.copies.push(*index);
    }
    (free >= memory).then_some(victims)
}
