//! Which copy comes next, where, and what makes room for it.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, ModelName, Moment, PoolName};

use super::book::Book;
use super::{Action, BUSY, GAIN_PERCENT, Placer, VACATE};
use crate::{EnginePool, Model};

/// How long a plan for an engine is followed before it is made anew.
const GOAL_TIME: Duration = Duration::from_secs(12);

/// How long a need is remembered after it was last heard.
const NEED_TIME: Duration = Duration::from_millis(1_500);

/// What an evicted copy costs, beside the load's time: its prompts are read again.
const EVICTION: Duration = Duration::from_millis(700);

/// Shortest time that an ordered adapter stays.
const ADAPTER_STAY: Duration = Duration::from_millis(250);

/// A copy that is to come to an engine, and the copies that make room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Goal {
    pub(crate) model: ModelName,
    pub(crate) victims: Vec<ModelName>,
    pub(crate) since: Moment,
}

/// What a pool's models have and need at one moment.
struct Census {
    // Copies that stay or come.
    copies: FastMap<ModelName, u64>,
    // Thousandths of an engine.
    work: FastMap<ModelName, u64>,
}

impl Census {
    fn copies(&self, model: &ModelName) -> u64 {
        self.copies.get(model).copied().unwrap_or_default()
    }

    fn work(&self, model: &ModelName) -> u64 {
        self.work.get(model).copied().unwrap_or_default()
    }

    /// Returns the load of each copy, after `taken` of them are gone.
    fn load(&self, model: &ModelName, taken: u64) -> u64 {
        self.work(model) / self.copies(model).saturating_sub(taken).max(1)
    }
}

/// Why a model gets a copy, the most pressing first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// Requests wait and no engine has it.
    Needed,
    /// No engine has it.
    Missing,
    /// Its copies are busy.
    Busy,
}

impl Placer {
    /// Sets goals for engines that have none.
    pub(crate) fn plan(&mut self, now: Moment) {
        self.needs.retain(|_asked, at| now.since(*at) < NEED_TIME);
        for book in self.books.values_mut() {
            let is_old = |goal: &Goal| now.since(goal.since) > GOAL_TIME;
            if book.is_down() || book.goal.as_ref().is_some_and(is_old) {
                book.goal = None;
            }
        }
        let pools: Vec<_> = self.pools.iter().map(|(n, p)| (n.clone(), p.clone())).collect();
        for (name, pool) in pools {
            self.plan_pool(&name, &pool, now);
        }
    }

    fn plan_pool(&mut self, name: &PoolName, pool: &EnginePool, now: Moment) {
        let mut census = self.census(name);
        for (_cause, model) in self.lacking(name, pool, &census) {
            let Some(row) = pool.model(&model) else {
                continue;
            };
            if let Some((id, victims)) = self.place(name, pool, row, &census, now) {
                for victim in &victims {
                    if let Some(copies) = census.copies.get_mut(victim) {
                        *copies = copies.saturating_sub(1);
                    }
                }
                *census.copies.entry(model.clone()).or_default() += 1;
                self.number += 1;
                if let Some(book) = self.books.get_mut(&id) {
                    book.number = self.number;
                    book.goal = Some(Goal {
                        model,
                        victims,
                        since: now,
                    });
                }
            }
        }
    }

    /// Returns copies and load, in thousandths of an engine, of a pool's models, the busiest first.
    #[must_use]
    pub fn summary(&self, name: &PoolName) -> Vec<(ModelName, u64, u64)> {
        let census = self.census(name);
        let Some(pool) = self.pools.get(name) else {
            return Vec::new();
        };
        let rows = pool.models.iter().map(|row| {
            (row.name.clone(), census.copies(&row.name), census.work(&row.name))
        });
        let mut rows: Vec<_> = rows.collect();
        rows.sort_by_key(|(_name, _copies, work)| std::cmp::Reverse(*work));
        rows
    }

    /// Returns how many engines are open for orders, are moving models, and are down.
    #[must_use]
    pub fn engine_counts(&self) -> (usize, usize, usize) {
        let down = self.books.values().filter(|book| book.is_down()).count();
        let moving = self.books.values().filter(|book| book.moving.is_some()).count();
        (self.books.len(), moving, down)
    }

    fn census(&self, name: &PoolName) -> Census {
        let mut copies = FastMap::default();
        for book in self.books.values().filter(|book| book.pool == *name && !book.is_down()) {
            for held in book.holdings.iter().filter(|held| book.keeps(&held.model)) {
                *copies.entry(held.model.clone()).or_default() += 1;
            }
            if let Some(coming) = book.coming() {
                *copies.entry(coming.clone()).or_default() += 1;
            }
        }
        let work = self.wants.get(name).map(|want| want.work.clone());
        Census {
            copies,
            work: work.unwrap_or_default(),
        }
    }

    /// Returns the models that should get a copy, the most pressing first.
    fn lacking(&self, name: &PoolName, pool: &EnginePool, census: &Census) -> Vec<(Cause, ModelName)> {
        let mut found = Vec::new();
        for row in &pool.models {
            let needed = self
                .needs
                .keys()
                .any(|asked| asked.pool == *name && asked.model == row.name);
            let cause = match census.copies(&row.name) {
                0 if needed => Some(Cause::Needed),
                0 => Some(Cause::Missing),
                _ => (census.load(&row.name, 0) >= BUSY).then_some(Cause::Busy),
            };
            if let Some(cause) = cause {
                found.push((cause, std::cmp::Reverse(census.load(&row.name, 0)), row.name.clone()));
            }
        }
        found.sort();
        found.into_iter().map(|(cause, _load, model)| (cause, model)).collect()
    }

    /// Returns the engine that gets a copy at the least cost, and what makes room there.
    fn place(
        &self,
        name: &PoolName,
        pool: &EnginePool,
        row: &Model,
        census: &Census,
        now: Moment,
    ) -> Option<(HostName, Vec<ModelName>)> {
        let mut best: Option<(u128, &HostName, Vec<ModelName>)> = None;
        for (id, book) in &self.books {
            let is_open = book.pool == *name
                && book.orders.is_some()
                && !book.is_down()
                && book.moving.is_none()
                && book.goal.is_none()
                && book.holding(&row.name).is_none();
            if !is_open {
                continue;
            }
            let Some(victims) = victims(book, pool, row, census, now) else {
                continue;
            };
            let load: u64 = book.holdings.iter().map(|held| census.load(&held.model, 0)).sum();
            // A thousandth of an engine's load weighs like two milliseconds of loading.
            let cost = book.load_time(row).as_millis()
                + u128::from(load) * 2
                + EVICTION.as_millis() * victims.len() as u128;
            if best.as_ref().is_none_or(|(least, _id, _victims)| cost < *least) {
                best = Some((cost, id, victims));
            }
        }
        best.map(|(_cost, id, victims)| (id.clone(), victims))
    }

    /// Returns the next order for an engine without a call under way.
    pub(crate) fn next_action(&mut self, id: &HostName, now: Moment) -> Option<Action> {
        let book = self.books.get(id)?;
        if book.moving.is_some() {
            return None;
        }
        let pool = self.pools.get(&book.pool)?.clone();
        if let Some(action) = self.adapter_action(id, &pool, now) {
            return Some(action);
        }
        let book = self.books.get(id)?;
        let goal = book.goal.as_ref()?;
        if let Some(victim) = goal.victims.iter().find(|victim| book.holding(victim).is_some()) {
            let vacated = now.since(goal.since) >= VACATE;
            return vacated.then(|| Action::Unload(victim.clone()));
        }
        let row = pool.model(&goal.model)?;
        let model = goal.model.clone();
        if book.room(&pool) < row.memory {
            self.books.get_mut(id)?.goal = None;
            return None;
        }
        if !book.is_at_hand(&model) {
            let cold = self.books.values().filter(|book| book.is_loading_cold()).count();
            let budget = self.budgets.get_mut(&self.books.get(id)?.pool)?;
            if !budget.allows(cold, row.cold, now) {
                return None;
            }
            budget.note(now);
        }
        Some(Action::Load(model))
    }

    /// Returns the order that brings an adapter which requests wait for to this engine.
    fn adapter_action(&self, id: &HostName, pool: &EnginePool, now: Moment) -> Option<Action> {
        let book = self.books.get(id)?;
        let needs = self.needs.keys().filter(|asked| asked.pool == book.pool);
        for asked in needs {
            let Some(adapter) = &asked.adapter else {
                continue;
            };
            if !book.keeps(&asked.model) || self.prospect(asked, now).is_some() {
                continue;
            }
            if self.best_for(&asked.pool, &asked.model, now) != Some(id) {
                continue;
            }
            if book.adapter_count() < usize::try_from(pool.adapters).unwrap_or(usize::MAX) {
                return Some(Action::LoadAdapter(asked.model.clone(), adapter.clone()));
            }
            if let Some(action) = self.drop_adapter(book, now) {
                return Some(action);
            }
        }
        None
    }

    /// Returns the engine that should get one more adapter of a model.
    fn best_for(&self, pool: &PoolName, model: &ModelName, _now: Moment) -> Option<&HostName> {
        let books = self.books.iter().filter(|(_id, book)| {
            book.pool == *pool
                && book.keeps(model)
                && book.moving.is_none()
                && book.orders.is_some()
                && !book.is_down()
        });
        books
            .min_by_key(|(_id, book)| book.adapter_count())
            .map(|(id, _book)| id)
    }

    /// Returns the order that drops the adapter which is asked for least.
    fn drop_adapter(&self, book: &Book, now: Moment) -> Option<Action> {
        let want = self.wants.get(&book.pool);
        let mut least = None;
        for held in &book.holdings {
            for adapter in &held.adapters {
                let from = book.adapter_from(&held.model, adapter);
                if now.since(from) < ADAPTER_STAY {
                    continue;
                }
                let key = (held.model.clone(), adapter.clone());
                let rate = want.and_then(|want| want.adapters.get(&key)).copied().unwrap_or(0);
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

impl Book {
    /// Returns the model that is on its way here.
    pub(crate) fn coming(&self) -> Option<&ModelName> {
        if let Some(goal) = &self.goal {
            return Some(&goal.model);
        }
        match &self.moving {
            Some(super::book::Moving::Loading { model, .. }) => {
                self.holding(model).is_none().then_some(model)
            }
            _ => None,
        }
    }
}

/// Returns the copies that must go so that a model fits; none where none may go.
fn victims(
    book: &Book,
    pool: &EnginePool,
    row: &Model,
    census: &Census,
    now: Moment,
) -> Option<Vec<ModelName>> {
    let mut room = book.room(pool);
    let mut victims = Vec::new();
    if room >= row.memory {
        return Some(victims);
    }
    let missing = census.copies(&row.name) == 0;
    let mut spare: Vec<_> = book
        .holdings
        .iter()
        .filter(|held| missing || !book.is_new(&held.model, now))
        .filter(|held| may_go(&held.model, &row.name, missing, census))
        .collect();
    spare.sort_by_key(|held| {
        let last = census.copies(&held.model) == 1;
        (last, book.is_new(&held.model, now), census.load(&held.model, 1))
    });
    for held in spare {
        room += pool.model(&held.model).map_or(0, |row| row.memory);
        victims.push(held.model.clone());
        if room >= row.memory {
            return Some(victims);
        }
    }
    None
}

/// Returns whether a copy of `model` may make room for one of `wanted`.
fn may_go(model: &ModelName, wanted: &ModelName, missing: bool, census: &Census) -> bool {
    let copies = census.copies(model);
    if missing {
        // A copy too many goes first; a last copy only where nobody asks for it and somebody
        // asks for the other.
        return copies > 1 || (census.work(model) == 0 && census.work(wanted) > 0);
    }
    copies > 1 && census.load(model, 1) * GAIN_PERCENT <= census.load(wanted, 0) * 100
}
