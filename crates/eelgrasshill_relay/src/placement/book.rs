//! The planner's view of one engine.
//!
//! Combines the engine's reports with the orders sent since, so that the plan knows what the engine
//! holds now and what is in progress.

use std::time::Duration;

use eelgrasshill_domain::{AdapterName, FastMap, ModelName, Moment, PoolName, record, scalar};

use super::goal::Goal;
use super::{
    ADAPTER_TIME, Action, REPORT_AGE, REPORT_PAUSE, SLACK, STAY, Step, UNLOAD_PAUSE, UNLOAD_TIME,
    VACATE,
};
use crate::{EnginePool, Holding, Model, Upstream};

record! {
    /// Report of an engine, reduced to what the planner needs.
    pub struct Seen {
        /// Loaded models and adapters.
        pub holdings: Vec<Holding>,
        /// Whether it is carrying out an order.
        pub busy: bool,
        /// Number of orders that it has accepted.
        pub orders: u64,
        /// Models whose weights are cached in its main memory.
        pub memory: Vec<ModelName>,
        /// Models whose weights are cached on its disk.
        pub disk: Vec<ModelName>,
    }
}

scalar! {
    /// Result of an order.
    pub enum OrderEnd {
        /// The engine is carrying it out.
        Accepted,
        /// The engine already was in the ordered state.
        Done,
        /// The engine refused it and did nothing.
        Refused,
        /// No answer arrived; the order may still take effect, even later.
        Unknown,
        /// The order could not be sent to the engine.
        Unreached,
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Moving {
    Loading {
        model: ModelName,
        until: Moment,
    },
    Unloading {
        model: ModelName,
    },
    /// An order that this host did not give.
    Foreign,
}

/// Whether the engine answers the holder's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// It answered the last call.
    Sound,
    /// The answer to the last call was lost.
    Missed,
    /// It could not be reached, or several answers were lost.
    Silent,
}

/// Known state of one engine.
#[derive(Clone, Debug)]
pub struct Book {
    pub(crate) pool: PoolName,
    pub(crate) born: u64,
    pub(crate) holdings: Vec<Holding>,
    pub(crate) memory: Vec<ModelName>,
    pub(crate) disk: Vec<ModelName>,
    /// Orders that the engine has accepted; none until a report says so.
    pub(crate) orders: Option<u64>,
    pub(crate) moving: Option<Moving>,
    pub(crate) goal: Option<Goal>,
    pub(crate) number: u64,
    calling: bool,
    reach: Reach,
    doubted: bool,
    // When the loads of models are due to end.
    loaded: FastMap<ModelName, Moment>,
    next_report: Moment,
    read: Moment,
    // When the last ordered load of each adapter is due to end.
    adapters: FastMap<(ModelName, AdapterName), Moment>,
}

impl Book {
    pub(crate) fn new(upstream: &Upstream) -> Self {
        Self {
            pool: upstream.pool.clone(),
            born: upstream.born,
            holdings: upstream.holdings.clone(),
            memory: upstream.memory.clone(),
            disk: upstream.disk.clone(),
            orders: None,
            moving: None,
            goal: None,
            number: 0,
            calling: false,
            reach: Reach::Sound,
            doubted: false,
            loaded: FastMap::default(),
            next_report: Moment(0),
            read: Moment(0),
            adapters: FastMap::default(),
        }
    }

    pub(crate) fn is_calling(&self) -> bool {
        self.calling
    }

    pub(crate) fn begin_call(&mut self, step: &Step, now: Moment) {
        self.calling = true;
        if matches!(step, Step::Report) {
            let unloading = matches!(self.moving, Some(Moving::Unloading { .. }));
            let pause = if unloading || self.is_down() {
                UNLOAD_PAUSE
            } else {
                REPORT_PAUSE
            };
            self.next_report = now.after(pause);
        }
    }

    /// Returns whether the engine is unreachable, so that its copies do not count.
    pub(crate) fn is_down(&self) -> bool {
        self.reach == Reach::Silent || self.doubted
    }

    /// Sets whether several other hosts recently failed to reach the engine.
    pub(crate) fn set_doubted(&mut self, doubted: bool) {
        self.doubted = doubted;
    }

    /// Returns whether a report is due, because its state is unknown, changing or old.
    pub(crate) fn needs_report(&self, now: Moment) -> bool {
        if now < self.next_report {
            return false;
        }
        match &self.moving {
            Some(Moving::Loading { until, .. }) => now >= *until,
            Some(Moving::Unloading { .. } | Moving::Foreign) => true,
            None => self.orders.is_none() || self.is_down() || now.since(self.read) > REPORT_AGE,
        }
    }

    pub(crate) fn holding(&self, model: &ModelName) -> Option<&Holding> {
        self.holdings.iter().find(|held| held.model == *model)
    }

    /// Returns whether the engine holds a model that is not being removed.
    pub(crate) fn keeps(&self, model: &ModelName) -> bool {
        self.holding(model).is_some() && !self.is_leaving(model)
    }

    fn is_leaving(&self, model: &ModelName) -> bool {
        let unloading =
            matches!(&self.moving, Some(Moving::Unloading { model: gone }) if gone == model);
        unloading
            || self
                .goal
                .as_ref()
                .is_some_and(|goal| goal.victims.contains(model))
    }

    /// Returns the delay until the engine can serve a model and adapter.
    ///
    /// None if they are neither loaded nor being loaded.
    pub(crate) fn ready_after(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        now: Moment,
    ) -> Option<Duration> {
        if self.is_down() {
            return None;
        }
        if self.keeps(model) {
            let Some(adapter) = adapter else {
                return Some(Duration::ZERO);
            };
            let held = self.holding(model)?;
            if !held.adapters.contains(adapter) {
                return None;
            }
            let from = self.adapters.get(&(model.clone(), adapter.clone()));
            return Some(from.map_or(Duration::ZERO, |from| from.since(now)));
        }
        // Adapters are ordered only after their model is loaded.
        match &self.moving {
            Some(Moving::Loading { model: new, until }) if new == model => {
                Some(until.since(now) + SLACK)
            }
            _ => None,
        }
    }

    /// Returns the delay until a model that is planned for this engine has room.
    pub(crate) fn goal_room_after(&self, model: &ModelName, now: Moment) -> Option<Duration> {
        let goal = self.goal.as_ref().filter(|goal| goal.model == *model)?;
        if !goal
            .victims
            .iter()
            .any(|victim| self.holding(victim).is_some())
        {
            return Some(Duration::ZERO);
        }
        Some(VACATE.saturating_sub(now.since(goal.since)) + UNLOAD_TIME)
    }

    /// Returns the holdings for which hosts may send requests.
    pub(crate) fn offered(&self) -> Vec<Holding> {
        let kept = self
            .holdings
            .iter()
            .filter(|held| !self.is_leaving(&held.model));
        kept.cloned().collect()
    }

    /// Applies a report; returns whether the holdings changed.
    pub(crate) fn take_report(&mut self, seen: Seen, now: Moment) -> bool {
        self.calling = false;
        self.reach = Reach::Sound;
        self.read = now;
        if self.orders.is_some_and(|orders| seen.orders < orders) {
            // The report was made before the last answered order.
            return false;
        }
        let changed = self.holdings != seen.holdings || self.orders.is_none();
        self.holdings = seen.holdings;
        self.orders = Some(seen.orders);
        self.memory = seen.memory;
        self.disk = seen.disk;
        if !seen.busy {
            self.moving = None;
        } else if self.moving.is_none() {
            // No order can be planned until this one ends.
            self.moving = Some(Moving::Foreign);
        }
        if self
            .goal
            .as_ref()
            .is_some_and(|goal| self.holding(&goal.model).is_some())
        {
            self.goal = None;
        }
        changed
    }

    /// Notes that a report could not be read.
    ///
    /// A single lost answer is ignored; an unsent call or a second lost answer marks it as down.
    pub(crate) fn end_call(&mut self, unreached: bool) {
        self.calling = false;
        self.reach = match self.reach {
            Reach::Sound if !unreached => Reach::Missed,
            Reach::Sound | Reach::Missed | Reach::Silent => Reach::Silent,
        };
    }

    /// Returns whether a copy was loaded too recently to be replaced.
    pub(crate) fn is_new(&self, model: &ModelName, now: Moment) -> bool {
        self.loaded
            .get(model)
            .is_some_and(|at| now.since(*at) < STAY)
    }

    pub(crate) fn take_order(
        &mut self,
        action: &Action,
        end: OrderEnd,
        pool: &EnginePool,
        now: Moment,
    ) {
        self.calling = false;
        match end {
            OrderEnd::Accepted | OrderEnd::Done => self.apply(action, end, pool, now),
            OrderEnd::Refused | OrderEnd::Unknown | OrderEnd::Unreached => {
                // An engine that leaves an order unanswered may still serve requests.
                if end == OrderEnd::Unreached {
                    self.reach = Reach::Silent;
                }
                // The next report shows the state. If the order arrives after another one, its
                // precondition fails.
                self.orders = None;
                self.next_report = now.after(REPORT_PAUSE);
            }
        }
    }

    fn apply(&mut self, action: &Action, end: OrderEnd, pool: &EnginePool, now: Moment) {
        if end == OrderEnd::Accepted || !matches!(action, Action::Load(_) | Action::Unload(_)) {
            self.orders = self.orders.map(|orders| orders + 1);
        }
        match action {
            Action::Load(model) => {
                let time = pool
                    .model(model)
                    .map_or(REPORT_PAUSE, |row| self.load_time(row));
                self.moving = Some(Moving::Loading {
                    model: model.clone(),
                    until: now.after(time + SLACK),
                });
                self.loaded.insert(model.clone(), now.after(time));
            }
            Action::Unload(model) => {
                self.loaded.remove(model);
                self.adapters.retain(|(held, _adapter), _at| held != model);
                if end == OrderEnd::Done {
                    self.holdings.retain(|held| held.model != *model);
                } else {
                    self.moving = Some(Moving::Unloading {
                        model: model.clone(),
                    });
                    self.next_report = now.after(REPORT_PAUSE);
                }
            }
            Action::LoadAdapter(model, adapter) => {
                if let Some(held) = self.holdings.iter_mut().find(|held| held.model == *model)
                    && !held.adapters.contains(adapter)
                {
                    held.adapters.push(adapter.clone());
                }
                let key = (model.clone(), adapter.clone());
                self.adapters.insert(key, now.after(ADAPTER_TIME));
            }
            Action::UnloadAdapter(model, adapter) => {
                if let Some(held) = self.holdings.iter_mut().find(|held| held.model == *model) {
                    held.adapters.retain(|kept| kept != adapter);
                }
                self.adapters.remove(&(model.clone(), adapter.clone()));
            }
        }
    }

    /// Returns how long a load takes on this engine; cached weights load faster.
    pub(crate) fn load_time(&self, model: &Model) -> Duration {
        if self.memory.contains(&model.name) {
            model.warm
        } else if self.disk.contains(&model.name) {
            model.disk
        } else {
            model.cold
        }
    }

    pub(crate) fn is_at_hand(&self, model: &ModelName) -> bool {
        self.memory.contains(model) || self.disk.contains(model)
    }

    pub(crate) fn is_loading_cold(&self) -> bool {
        matches!(&self.moving, Some(Moving::Loading { model, .. }) if !self.is_at_hand(model))
    }

    pub(crate) fn adapter_count(&self) -> usize {
        self.holdings.iter().map(|held| held.adapters.len()).sum()
    }

    /// Returns when the last ordered load of an adapter is due to end.
    pub(crate) fn adapter_from(&self, model: &ModelName, adapter: &AdapterName) -> Moment {
        let key = (model.clone(), adapter.clone());
        self.adapters.get(&key).copied().unwrap_or(Moment(0))
    }

    /// Returns the free memory in MB, with memory reserved for all adapters.
    pub(crate) fn room(&self, pool: &EnginePool) -> u64 {
        let held = self
            .holdings
            .iter()
            .filter_map(|held| pool.model(&held.model));
        let weights: u64 = held.map(|row| row.memory).sum();
        pool.memory.saturating_sub(weights + adapter_room(pool))
    }
}

/// Returns the memory in MB that a full set of adapters may need.
fn adapter_room(pool: &EnginePool) -> u64 {
    let largest = pool.models.iter().map(|row| row.adapter).max().unwrap_or(0);
    largest * u64::from(pool.adapters)
}
