//! Which copy comes next, where, and what makes room for it.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, ModelName, Moment, PoolName};

use super::book::Book;
use super::census::Census;
use super::{Action, Placer, VACATE};
use crate::{EnginePool, Model};

/// How long a plan for an engine is followed before it is made anew.
const GOAL_TIME: Duration = Duration::from_secs(12);

/// How long a need is remembered after it was last heard.
const NEED_TIME: Duration = Duration::from_millis(1_500);

/// What a model without any copy is worth beyond its load, in thousandths of an engine: each model
/// is asked for at some time.
const MISSING: u64 = 80;

/// What is added while requests wait for it.
const NEEDED: u64 = 150;

/// Least gain for which a move is looked for, in thousandths of an engine.
const LEAST_GAIN: u64 = 40;

/// Weight of what a move takes away, in percent of what it brings: estimates are rough.
const LOSS_PERCENT: i64 = 150;

/// Cost of a second of loading, in thousandths of an engine.
const TIME_COST: i64 = 15;

/// How long hosts are told to avoid a copy that hardly anybody asks for.
const VACATE_IDLE: Duration = Duration::from_millis(150);

/// Load of a copy, in thousandths of an engine, up to which it counts as idle.
const IDLE: u64 = 10;

/// Shortest time that an ordered adapter stays.
const ADAPTER_STAY: Duration = Duration::from_millis(250);

/// A copy that is to come to an engine, and the copies that make room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Goal {
    pub(crate) model: ModelName,
    pub(crate) victims: Vec<ModelName>,
    pub(crate) since: Moment,
}

impl Placer {
    /// Sets goals for engines that have none.
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

    /// Returns copies and load, in thousandths of an engine, of a pool's models, the busiest first.
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

    /// Returns how many engines are known, are moving models, and are down.
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

    /// Returns models that should get a copy and whether requests wait for it, the most pressing
    /// first.
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

    /// Returns the engine where a copy serves most, and what makes room there.
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

    /// Returns the next order for an engine without a call under way.
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

    /// Returns the engine that should get one more adapter of a model.
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

/// Returns the copies that make room for a model at the least loss, and that loss; none where
/// there is no room to be had.
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
    // One copy that is large enough goes before several.
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
