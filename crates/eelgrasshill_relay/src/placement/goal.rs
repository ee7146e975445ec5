//! Choice of the next copy to load, its engine, and the copies that it replaces.
//!
//! Decides from the load estimate, the free memory of the engines and the requests that wait for
//! models or adapters.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, ModelName, Moment, PoolName};

use super::book::Book;
use super::census::Census;
use super::{Action, Placer, VACATE};
use crate::{EnginePool, Model};

/// How long a goal is pursued before it is planned again.
const GOAL_TIME: Duration = Duration::from_secs(12);

/// How long a need is remembered after its last request.
const NEED_TIME: Duration = Duration::from_millis(1_500);

/// Bonus for a model without a copy, in thousandths of an engine.
///
/// Even a model without load is requested at some time.
const MISSING: u64 = 80;

/// Further bonus while requests wait for the model, in thousandths of an engine.
const NEEDED: u64 = 150;

/// Minimum gain for which a move is considered, in thousandths of an engine.
const LEAST_GAIN: u64 = 40;

/// Weight of the loss by a move relative to its gain, because estimates are rough.
const LOSS_PERCENT: i64 = 150;

/// Cost per second of loading, in thousandths of an engine.
const TIME_COST: i64 = 15;

/// Time between withdrawing an idle copy from use and unloading it.
const VACATE_IDLE: Duration = Duration::from_millis(150);

/// Load up to which a model counts as idle, in thousandths of an engine.
const IDLE: u64 = 10;

/// Minimum time that a loaded adapter stays.
const ADAPTER_STAY: Duration = Duration::from_millis(250);

/// A copy planned for an engine, with the copies to unload for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Goal {
    pub(crate) model: ModelName,
    pub(crate) victims: Vec<ModelName>,
    pub(crate) since: Moment,
}

impl Placer {
    /// Sets goals for engines, after dropping expired ones.
    pub(crate) fn plan(&mut self, now: Moment) {
        self.planned = now;
        self.needs.retain(|_asked, at| now.since(*at) < NEED_TIME);
        for book in self.books.values_mut() {
            let is_old = |goal: &Goal| now.since(goal.since) > GOAL_TIME;
            if book.is_down() || book.goal.as_ref().is_some_and(is_old) {
                book.goal = None;
            }
        }
        let pools: Vec<_> = self
            .pools
            .iter()
            .map(|(name, pool)| (name.clone(), Arc::clone(pool)))
            .collect();
        for (name, pool) in pools {
            self.plan_pool(&name, &pool, now);
        }
    }

    fn plan_pool(&mut self, name: &PoolName, pool: &EnginePool, now: Moment) {
        let mut census = self.census(name);
        for (model, needed) in self.lacking(name, pool, &census) {
            let Some(row) = pool.model(&model) else {
                continue;
            };
            let Some((id, victims)) = self.place(name, pool, row, needed, &census, now) else {
                continue;
            };
            census.change(&id, &model, &victims);
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

    /// Returns the copies and load of a pool's models, the busiest first.
    ///
    /// Loads are in thousandths of an engine.
    #[must_use]
    pub fn summary(&self, name: &PoolName) -> Vec<(ModelName, u64, u64)> {
        let census = self.census(name);
        let Some(pool) = self.pools.get(name) else {
            return Vec::new();
        };
        let rows = pool.models.iter().map(|row| {
            (
                row.name.clone(),
                census.copies(&row.name),
                census.work(&row.name),
            )
        });
        let mut rows: Vec<_> = rows.collect();
        rows.sort_by_key(|(_name, _copies, work)| std::cmp::Reverse(*work));
        rows
    }

    /// Returns how many engines are known, are carrying out an order, and are down.
    #[must_use]
    pub fn engine_counts(&self) -> (usize, usize, usize) {
        let down = self.books.values().filter(|book| book.is_down()).count();
        let moving = self
            .books
            .values()
            .filter(|book| book.moving.is_some())
            .count();
        (self.books.len(), moving, down)
    }

    fn census(&self, name: &PoolName) -> Census {
        let mut held = FastMap::default();
        let books = self.books.iter();
        for (id, book) in books.filter(|(_id, book)| book.pool == *name && !book.is_down()) {
            let kept = book.holdings.iter().filter(|held| book.keeps(&held.model));
            let mut models: Vec<_> = kept.map(|held| held.model.clone()).collect();
            models.extend(book.coming().cloned());
            held.insert(id.clone(), models);
        }
        let work = self.wants.get(name).map(|want| want.work.clone());
        Census::new(held, work.unwrap_or_default())
    }

    /// Returns the models that should get another copy, the most urgent first.
    ///
    /// The flag says whether requests wait for the model.
    fn lacking(
        &self,
        name: &PoolName,
        pool: &EnginePool,
        census: &Census,
    ) -> Vec<(ModelName, bool)> {
        let mut found = Vec::new();
        for row in &pool.models {
            let needed = self
                .needs
                .keys()
                .any(|asked| asked.pool == *name && asked.model == row.name);
            let weight = match census.copies(&row.name) {
                0 => census.work(&row.name) + MISSING + if needed { NEEDED } else { 0 },
                _ => census.unserved(&row.name),
            };
            if weight >= LEAST_GAIN {
                found.push((std::cmp::Reverse(weight), row.name.clone(), needed));
            }
        }
        found.sort();
        found
            .into_iter()
            .map(|(_weight, model, needed)| (model, needed))
            .collect()
    }

    /// Returns the engine where a copy gains most, with the copies to unload there.
    fn place(
        &self,
        name: &PoolName,
        pool: &EnginePool,
        row: &Model,
        needed: bool,
        census: &Census,
        now: Moment,
    ) -> Option<(HostName, Vec<ModelName>)> {
        let mut best: Option<(i64, &HostName, Vec<ModelName>)> = None;
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
            let Some((victims, loss)) = victims(id, book, pool, row, census, now) else {
                continue;
            };
            let mut gain = census.gain(id, &row.name, &victims);
            if census.copies(&row.name) == 0 {
                gain += signed(MISSING) + if needed { signed(NEEDED) } else { 0 };
            }
            let time = signed(u64::try_from(book.load_time(row).as_millis()).unwrap_or(u64::MAX));
            let value = gain - loss * LOSS_PERCENT / 100 - time * TIME_COST / 1_000;
            if value > 0
                && best
                    .as_ref()
                    .is_none_or(|(most, _id, _victims)| value > *most)
            {
                best = Some((value, id, victims));
            }
        }
        best.map(|(_value, id, victims)| (id.clone(), victims))
    }

    /// Returns the next order for an engine without a pending call.
    pub(crate) fn next_action(&mut self, id: &HostName, now: Moment) -> Option<Action> {
        let book = self.books.get(id)?;
        if book.moving.is_some() {
            return None;
        }
        let pool = Arc::clone(self.pools.get(&book.pool)?);
        if let Some(action) = self.adapter_action(id, &pool, now) {
            return Some(action);
        }
        let book = self.books.get(id)?;
        let goal = book.goal.as_ref()?;
        if let Some(victim) = goal
            .victims
            .iter()
            .find(|victim| book.holding(victim).is_some())
        {
            let work = self
                .wants
                .get(&book.pool)
                .and_then(|want| want.work.get(victim));
            let is_idle = work.is_none_or(|work| *work <= IDLE);
            let vacated = now.since(goal.since) >= if is_idle { VACATE_IDLE } else { VACATE };
            return vacated.then(|| Action::Unload(victim.clone()));
        }
        let row = pool.model(&goal.model)?;
        let model = goal.model.clone();
        if book.room(&pool) < row.memory {
            self.books.get_mut(id)?.goal = None;
            return None;
        }
        if !book.is_at_hand(&model) {
            let cold = self
                .books
                .values()
                .filter(|book| book.is_loading_cold())
                .count();
            let budget = self.budgets.get_mut(&self.books.get(id)?.pool)?;
            if !budget.allows(cold, row.cold, now) {
                return None;
            }
            budget.note(now);
        }
        Some(Action::Load(model))
    }

    /// Returns the order towards loading an adapter that requests wait for.
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
            if self.best_for(&asked.pool, &asked.model) != Some(id) {
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

    /// Returns the engine for the next adapter of a model: the one with fewest adapters.
    pub(crate) fn best_for(&self, pool: &PoolName, model: &ModelName) -> Option<&HostName> {
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

    /// Returns the order that unloads the adapter with the least demand.
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
                let rate = want
                    .and_then(|want| want.adapters.get(&key))
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

impl Book {
    /// Returns the model that is planned or being loaded.
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

/// Returns the copies to unload for a model, with the loss that this causes.
///
/// None if no set of copies frees enough memory.
fn victims(
    id: &HostName,
    book: &Book,
    pool: &EnginePool,
    row: &Model,
    census: &Census,
    now: Moment,
) -> Option<(Vec<ModelName>, i64)> {
    let mut room = book.room(pool);
    if room >= row.memory {
        return Some((Vec::new(), 0));
    }
    let mut spare: Vec<_> = book
        .holdings
        .iter()
        .filter(|held| !book.is_new(&held.model, now))
        .map(|held| {
            let last = if census.copies(&held.model) == 1 {
                signed(MISSING)
            } else {
                0
            };
            (census.loss(id, &held.model) + last, &held.model)
        })
        .collect();
    spare.sort();
    let size = |model: &ModelName| pool.model(model).map_or(0, |row| row.memory);
    // A single copy that is large enough is preferred to several.
    let alone = spare
        .iter()
        .find(|(_loss, model)| room + size(model) >= row.memory);
    if let Some((loss, model)) = alone {
        return Some((vec![(*model).clone()], *loss));
    }
    let (mut found, mut sum) = (Vec::new(), 0);
    for (loss, model) in spare {
        room += size(model);
        sum += loss;
        found.push(model.clone());
        if room >= row.memory {
            return Some((found, sum));
        }
    }
    None
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
