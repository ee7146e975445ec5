//! Where a wanted copy goes, and what makes room for it.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Model, ModelName};

use crate::planner::{Need, Promise, Round};
use crate::view::EngineView;
use crate::{Action, Duty, Move};

/// How long room that was cleared for a model is kept for it.
const PROMISE_SPAN: Duration = Duration::from_secs(20);

impl<'a> Round<'_, 'a> {
    /// Loads a copy where there is room, or clears room for it.
    pub(crate) fn serve(&mut self, name: &'a ModelName, row: &'a Model, need: Need) -> bool {
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
            return !matches!(need, Need::Optional(_)) && self.relocate(&engines, row);
        };
        if let Need::Extra(value) | Need::Optional(value) = need
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
            Some(Duty::Optional) => backed && !matches!(need, Need::Optional(_)),
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
    pub(crate) fn replace(&mut self, name: &ModelName) {
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

    pub(crate) fn unload(&mut self, at: usize, index: usize) {
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

    pub(crate) fn push(&mut self, at: usize, action: Action) {
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
