//! The planner's view of one engine.
//!
//! Combines the engine's reports with the orders sent since, so that the plan knows what the engine
//! holds now and what is in progress.

use std::time::Duration;

use eelgrasshill_domain::{AdapterName, FastMap, ModelName, Moment, PoolName, record, scalar};

use super::goal::Goal;
use super::{
    ADAPTER_LOAD_TIME, Action, MAX_REPORT_AGE, MIN_RESIDENCE, REPORT_INTERVAL, REPORT_SLACK, Step,
    UNLOAD_LATENCY, UNLOAD_REPORT_INTERVAL, VACATE_DELAY,
};
use crate::{EnginePool, Holding, Model, Upstream};

record! {
    /// Report of an engine, reduced to what the planner needs.
    pub struct EngineReport {
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

/// Order that an engine is carrying out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RunningOrder {
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
enum Reachability {
    /// It answered the last call.
    Reachable,
    /// The answer to the last call was lost.
    AnswerLost,
    /// It could not be reached, or several answers were lost.
    Unreachable,
}

/// Known state of one engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    pub(crate) pool: PoolName,
    pub(crate) started_ms: u64,
    pub(crate) holdings: Vec<Holding>,
    // Models whose weights are cached in main memory or on disk.
    pub(crate) memory: Vec<ModelName>,
    pub(crate) disk: Vec<ModelName>,
    /// Orders that the engine has accepted; none until a report says so.
    pub(crate) orders: Option<u64>,
    pub(crate) running_order: Option<RunningOrder>,
    pub(crate) goal: Option<Goal>,
    pub(crate) revision: u64,
    call_pending: bool,
    reachability: Reachability,
    suspected: bool,
    // When the loads of models are due to end.
    load_times: FastMap<ModelName, Moment>,
    next_report: Moment,
    report_time: Moment,
    // When the last ordered load of each adapter is due to end.
    adapter_times: FastMap<(ModelName, AdapterName), Moment>,
}

impl EngineState {
    pub(crate) fn new(upstream: &Upstream) -> Self {
        Self {
            pool: upstream.pool.clone(),
            started_ms: upstream.started_ms,
            holdings: upstream.holdings.clone(),
            memory: upstream.memory.clone(),
            disk: upstream.disk.clone(),
            orders: None,
            running_order: None,
            goal: None,
            revision: 0,
            call_pending: false,
            reachability: Reachability::Reachable,
            suspected: false,
            load_times: FastMap::default(),
            next_report: Moment(0),
            report_time: Moment(0),
            adapter_times: FastMap::default(),
        }
    }

    pub(crate) fn has_pending_call(&self) -> bool {
        self.call_pending
    }

    pub(crate) fn begin_call(&mut self, step: &Step, now: Moment) {
        self.call_pending = true;
        if matches!(step, Step::Report) {
            let unloading = matches!(self.running_order, Some(RunningOrder::Unloading { .. }));
            let pause = if unloading || self.is_down() {
                UNLOAD_REPORT_INTERVAL
            } else {
                REPORT_INTERVAL
            };
            self.next_report = now.after(pause);
        }
    }

    /// Returns whether the engine is unreachable, so that its copies do not count.
    pub(crate) fn is_down(&self) -> bool {
        self.reachability == Reachability::Unreachable || self.suspected
    }

    /// Sets whether several other hosts recently failed to reach the engine.
    pub(crate) fn set_suspected(&mut self, suspected: bool) {
        self.suspected = suspected;
    }

    /// Returns whether a report is due, because its state is unknown, changing or old.
    pub(crate) fn needs_report(&self, now: Moment) -> bool {
        if now < self.next_report {
            return false;
        }
        match &self.running_order {
            Some(RunningOrder::Loading { until, .. }) => now >= *until,
            Some(RunningOrder::Unloading { .. } | RunningOrder::Foreign) => true,
            None => {
                self.orders.is_none()
                    || self.is_down()
                    || now.since(self.report_time) > MAX_REPORT_AGE
            }
        }
    }

    pub(crate) fn holding(&self, model: &ModelName) -> Option<&Holding> {
        self.holdings.iter().find(|held| held.model == *model)
    }

    /// Returns whether the engine holds a model that is not being removed.
    pub(crate) fn keeps(&self, model: &ModelName) -> bool {
        self.holding(model).is_some() && !self.is_vacating(model)
    }

    fn is_vacating(&self, model: &ModelName) -> bool {
        let unloading = matches!(
            &self.running_order,
            Some(RunningOrder::Unloading { model: gone }) if gone == model
        );
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
            let from = self.adapter_times.get(&(model.clone(), adapter.clone()));
            return Some(from.map_or(Duration::ZERO, |from| from.since(now)));
        }
        // Adapters are ordered only after their model is loaded.
        match &self.running_order {
            Some(RunningOrder::Loading { model: new, until }) if new == model => {
                Some(until.since(now) + REPORT_SLACK)
            }
            _ => None,
        }
    }

    /// Returns the delay until a model that is planned for this engine has room.
    pub(crate) fn goal_room_delay(&self, model: &ModelName, now: Moment) -> Option<Duration> {
        let goal = self.goal.as_ref().filter(|goal| goal.model == *model)?;
        if !goal
            .victims
            .iter()
            .any(|victim| self.holding(victim).is_some())
        {
            return Some(Duration::ZERO);
        }
        Some(VACATE_DELAY.saturating_sub(now.since(goal.since)) + UNLOAD_LATENCY)
    }

    /// Returns the holdings for which hosts may send requests.
    pub(crate) fn usable_holdings(&self) -> Vec<Holding> {
        let kept = self
            .holdings
            .iter()
            .filter(|held| !self.is_vacating(&held.model));
        kept.cloned().collect()
    }

    /// Applies a report; returns whether the holdings changed.
    pub(crate) fn apply_report(&mut self, report: EngineReport, now: Moment) -> bool {
        self.call_pending = false;
        self.reachability = Reachability::Reachable;
        self.report_time = now;
        if self.orders.is_some_and(|orders| report.orders < orders) {
            // The report was made before the last answered order.
            return false;
        }
        let changed = self.holdings != report.holdings || self.orders.is_none();
        self.holdings = report.holdings;
        self.orders = Some(report.orders);
        self.memory = report.memory;
        self.disk = report.disk;
        if !report.busy {
            self.running_order = None;
        } else if self.running_order.is_none() {
            // No order can be planned until this one ends.
            self.running_order = Some(RunningOrder::Foreign);
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
        self.call_pending = false;
        self.reachability = match self.reachability {
            Reachability::Reachable if !unreached => Reachability::AnswerLost,
            Reachability::Reachable | Reachability::AnswerLost | Reachability::Unreachable => {
                Reachability::Unreachable
            }
        };
    }

    /// Returns whether a copy was loaded too recently to be replaced.
    pub(crate) fn is_recent(&self, model: &ModelName, now: Moment) -> bool {
        self.load_times
            .get(model)
            .is_some_and(|at| now.since(*at) < MIN_RESIDENCE)
    }

    pub(crate) fn apply_order_end(
        &mut self,
        action: &Action,
        end: OrderEnd,
        pool: &EnginePool,
        now: Moment,
    ) {
        self.call_pending = false;
        match end {
            OrderEnd::Accepted | OrderEnd::Done => self.apply_action(action, end, pool, now),
            OrderEnd::Refused | OrderEnd::Unknown | OrderEnd::Unreached => {
                // An engine that leaves an order unanswered may still serve requests.
                if end == OrderEnd::Unreached {
                    self.reachability = Reachability::Unreachable;
                }
                // The next report shows the state. If the order arrives after another one, its
                // precondition fails.
                self.orders = None;
                self.next_report = now.after(REPORT_INTERVAL);
            }
        }
    }

    fn apply_action(&mut self, action: &Action, end: OrderEnd, pool: &EnginePool, now: Moment) {
        if end == OrderEnd::Accepted || !matches!(action, Action::Load(_) | Action::Unload(_)) {
            self.orders = self.orders.map(|orders| orders + 1);
        }
        match action {
            Action::Load(model) => {
                let time = pool
                    .model(model)
                    .map_or(REPORT_INTERVAL, |row| self.load_time(row));
                self.running_order = Some(RunningOrder::Loading {
                    model: model.clone(),
                    until: now.after(time + REPORT_SLACK),
                });
                self.load_times.insert(model.clone(), now.after(time));
            }
            Action::Unload(model) => {
                self.load_times.remove(model);
                self.adapter_times
                    .retain(|(held, _adapter), _at| held != model);
                if end == OrderEnd::Done {
                    self.holdings.retain(|held| held.model != *model);
                } else {
                    self.running_order = Some(RunningOrder::Unloading {
                        model: model.clone(),
                    });
                    self.next_report = now.after(REPORT_INTERVAL);
                }
            }
            Action::LoadAdapter(model, adapter) => {
                if let Some(held) = self.holdings.iter_mut().find(|held| held.model == *model)
                    && !held.adapters.contains(adapter)
                {
                    held.adapters.push(adapter.clone());
                }
                let key = (model.clone(), adapter.clone());
                self.adapter_times.insert(key, now.after(ADAPTER_LOAD_TIME));
            }
            Action::UnloadAdapter(model, adapter) => {
                if let Some(held) = self.holdings.iter_mut().find(|held| held.model == *model) {
                    held.adapters.retain(|kept| kept != adapter);
                }
                self.adapter_times.remove(&(model.clone(), adapter.clone()));
            }
        }
    }

    /// Returns how long a load takes on this engine; cached weights load faster.
    pub(crate) fn load_time(&self, model: &Model) -> Duration {
        if self.memory.contains(&model.name) {
            model.warm_load
        } else if self.disk.contains(&model.name) {
            model.disk_load
        } else {
            model.cold_load
        }
    }

    pub(crate) fn is_cached(&self, model: &ModelName) -> bool {
        self.memory.contains(model) || self.disk.contains(model)
    }

    pub(crate) fn is_loading_cold(&self) -> bool {
        matches!(
            &self.running_order,
            Some(RunningOrder::Loading { model, .. }) if !self.is_cached(model)
        )
    }

    pub(crate) fn adapter_count(&self) -> usize {
        self.holdings.iter().map(|held| held.adapters.len()).sum()
    }

    /// Returns when the last ordered load of an adapter is due to end.
    pub(crate) fn adapter_ready_at(&self, model: &ModelName, adapter: &AdapterName) -> Moment {
        let key = (model.clone(), adapter.clone());
        self.adapter_times.get(&key).copied().unwrap_or(Moment(0))
    }

    /// Returns the free memory in MB, with memory reserved for all adapters.
    pub(crate) fn free_memory(&self, pool: &EnginePool) -> u64 {
        let held = self
            .holdings
            .iter()
            .filter_map(|held| pool.model(&held.model));
        let weights: u64 = held.map(|row| row.weights_mb).sum();
        pool.memory_mb
            .saturating_sub(weights + adapter_reserve(pool))
    }
}

/// Returns the memory in MB that a full set of adapters may need.
fn adapter_reserve(pool: &EnginePool) -> u64 {
    let largest = pool
        .models
        .iter()
        .map(|row| row.adapter_mb)
        .max()
        .unwrap_or(0);
    largest * u64::from(pool.max_adapters)
}
