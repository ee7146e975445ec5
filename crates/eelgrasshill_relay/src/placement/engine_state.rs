//! The planner's view of one engine.
//!
//! Combines the engine's reports with the orders sent since, so that the plan knows what the engine
//! holds now and what is in progress.

use std::time::Duration;

use eelgrasshill_domain::{AdapterName, FastMap, ModelName, Moment, PoolName, record, scalar};

use super::planned_load::PlannedLoad;
use super::pool_models::PoolModels;
use super::{
    ADAPTER_LOAD_TIME, Action, MAX_REPORT_AGE, MIN_RESIDENCE, Miss, NextCall, REPORT_INTERVAL,
    REPORT_SLACK, UNLOAD_LATENCY, UNLOAD_REPORT_INTERVAL, VACATE_DELAY,
};
use crate::{Model, ResidentModel, SoftwareVersion, Upstream};

record! {
    /// Report of an engine, reduced to what the planner needs.
    pub struct EngineReport {
        /// Loaded models and adapters.
        pub holdings: Vec<ResidentModel>,
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
    pub enum OrderOutcome {
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

/// Time for which an order without an answer is remembered.
///
/// Engines carry out late orders up to 12 s after they were sent; a load that begins then counts
/// against the rate of loads for another 5 s.
const LATE_ORDER_TTL: Duration = Duration::from_secs(17);

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

/// What became of an order without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LateOutcome {
    /// The engine may still carry it out.
    Pending,
    /// Another order with the same precondition was accepted instead.
    Replaced,
    /// The engine has carried it out, at this moment or before.
    CarriedOut(Moment),
}

/// Order without an answer, which the engine may carry out late.
///
/// It does so only when it has accepted as many orders as the precondition says. It counts from
/// zero again after a restart, so a replaced order may become valid once more.
#[derive(Clone, Debug)]
struct UnansweredOrder {
    action: Action,
    precondition: u64,
    // Whether it loads weights from the weight store.
    is_cold_load: bool,
    sent_at: Moment,
    outcome: LateOutcome,
}

/// Known state of one engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    pub(crate) pool: PoolName,
    pub(crate) software: SoftwareVersion,
    pub(crate) started_ms: u64,
    pub(crate) holdings: Vec<ResidentModel>,
    // Models whose weights are cached in main memory or on disk.
    pub(crate) memory: Vec<ModelName>,
    pub(crate) disk: Vec<ModelName>,
    /// Orders that the engine has accepted; none until a report says so.
    pub(crate) orders: Option<u64>,
    pub(crate) running_order: Option<RunningOrder>,
    pub(crate) planned_load: Option<PlannedLoad>,
    pub(crate) revision: u64,
    call_pending: bool,
    reachability: Reachability,
    suspected: bool,
    evacuated: bool,
    // When the loads of models are due to end.
    load_times: FastMap<ModelName, Moment>,
    next_report: Moment,
    report_time: Moment,
    // When the last ordered load of each adapter is due to end.
    adapter_times: FastMap<(ModelName, AdapterName), Moment>,
    unanswered: Vec<UnansweredOrder>,
}

impl EngineState {
    pub(crate) fn new(upstream: &Upstream) -> Self {
        Self {
            pool: upstream.pool.clone(),
            software: upstream.software.clone(),
            started_ms: upstream.started_ms,
            holdings: upstream.holdings.clone(),
            memory: upstream.memory.clone(),
            disk: upstream.disk.clone(),
            orders: None,
            running_order: None,
            planned_load: None,
            revision: 0,
            call_pending: false,
            reachability: Reachability::Reachable,
            suspected: false,
            evacuated: false,
            load_times: FastMap::default(),
            next_report: Moment(0),
            report_time: Moment(0),
            adapter_times: FastMap::default(),
            unanswered: Vec::new(),
        }
    }

    /// Creates the state of an engine that has restarted, with its unanswered orders.
    pub(crate) fn after_restart(upstream: &Upstream, before: Self) -> Self {
        let mut unanswered = before.unanswered;
        for order in &mut unanswered {
            if order.outcome == LateOutcome::Replaced {
                order.outcome = LateOutcome::Pending;
            }
        }
        Self {
            unanswered,
            ..Self::new(upstream)
        }
    }

    /// Returns whether the engine is one that a miss may wait for.
    pub(crate) fn serves(&self, miss: &Miss) -> bool {
        self.pool == miss.key.pool && self.runs(miss.software.as_ref())
    }

    /// Returns whether the engine runs a software version; true if any will do.
    pub(crate) fn runs(&self, software: Option<&SoftwareVersion>) -> bool {
        software.is_none_or(|software| self.software == *software)
    }

    /// Returns the orders that the engine may carry out at a later count of accepted orders.
    fn late_actions(&self) -> impl Iterator<Item = &Action> {
        let orders = self.orders.unwrap_or(0);
        let late = self
            .unanswered
            .iter()
            .filter(move |order| !matches!(order.outcome, LateOutcome::CarriedOut(_)))
            .filter(move |order| order.precondition > orders);
        late.map(|order| &order.action)
    }

    /// Returns how many unanswered loads from the weight store count against its rate.
    ///
    /// These may begin without a new order, or began within the window.
    pub(crate) fn unanswered_cold_loads(&self, window: Duration, now: Moment) -> usize {
        let cold = self.unanswered.iter().filter(|order| order.is_cold_load);
        cold.filter(|order| match order.outcome {
            LateOutcome::Pending => now.since(order.sent_at) < LATE_ORDER_TTL,
            LateOutcome::Replaced => false,
            LateOutcome::CarriedOut(at) => now.since(at) < window,
        })
        .count()
    }

    /// Notes which unanswered orders a report shows to have been carried out.
    fn find_carried_out(&mut self, now: Moment) {
        let orders = self.orders.unwrap_or(0);
        self.unanswered
            .retain(|order| now.since(order.sent_at) < LATE_ORDER_TTL);
        for order in &mut self.unanswered {
            if order.outcome == LateOutcome::Pending && order.precondition < orders {
                order.outcome = LateOutcome::CarriedOut(now);
            }
        }
    }

    pub(crate) fn has_pending_call(&self) -> bool {
        self.call_pending
    }

    pub(crate) fn begin_call(&mut self, next_call: &NextCall, now: Moment) {
        self.call_pending = true;
        if matches!(next_call, NextCall::Report) {
            let unloading = matches!(self.running_order, Some(RunningOrder::Unloading { .. }));
            let pause = if unloading || self.is_down() {
                UNLOAD_REPORT_INTERVAL
            } else {
                REPORT_INTERVAL
            };
            self.next_report = now.after(pause);
        }
    }

    /// Returns whether the engine is unreachable or evacuated, so that its copies do not count.
    pub(crate) fn is_down(&self) -> bool {
        self.reachability == Reachability::Unreachable || self.suspected || self.evacuated
    }

    /// Returns whether the engine's zone is evacuated, so that it gets no calls.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.evacuated
    }

    /// Sets whether the engine's zone is evacuated.
    pub(crate) fn set_evacuated(&mut self, evacuated: bool) {
        self.evacuated = evacuated;
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

    pub(crate) fn holding(&self, model: &ModelName) -> Option<&ResidentModel> {
        self.holdings.iter().find(|held| held.model == *model)
    }

    /// Returns whether the engine holds a model that is not being removed.
    pub(crate) fn keeps(&self, model: &ModelName) -> bool {
        self.holding(model).is_some() && !self.is_vacating(model)
    }

    /// Returns whether the engine takes an order now to load an adapter of a model.
    pub(crate) fn takes_adapters(&self, model: &ModelName) -> bool {
        self.keeps(model)
            && self.running_order.is_none()
            && self.orders.is_some()
            && !self.is_down()
    }

    fn is_vacating(&self, model: &ModelName) -> bool {
        let unloading = matches!(
            &self.running_order,
            Some(RunningOrder::Unloading { model: gone }) if gone == model
        );
        unloading
            || self
                .planned_load
                .as_ref()
                .is_some_and(|planned_load| planned_load.evictions.contains(model))
    }

    /// Returns the delay until the engine can serve a model and adapter that it holds.
    pub(crate) fn held_after(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        now: Moment,
    ) -> Option<Duration> {
        if self.is_down() || !self.keeps(model) {
            return None;
        }
        let Some(adapter) = adapter else {
            return Some(Duration::ZERO);
        };
        let held = self.holding(model)?;
        if !held.adapters.contains(adapter) {
            return None;
        }
        let from = self.adapter_times.get(&(model.clone(), adapter.clone()));
        Some(from.map_or(Duration::ZERO, |from| from.since(now)))
    }

    /// Returns the delay until the engine has loaded a model that is being loaded.
    pub(crate) fn loaded_after(&self, model: &ModelName, now: Moment) -> Option<Duration> {
        match &self.running_order {
            Some(RunningOrder::Loading { model: new, .. })
                if new == model && !self.keeps(model) && !self.is_down() =>
            {
                self.order_ends_after(now)
            }
            _ => None,
        }
    }

    /// Returns the delay until a report can show the end of the running order.
    pub(crate) fn order_ends_after(&self, now: Moment) -> Option<Duration> {
        match self.running_order.as_ref()? {
            // A load that takes longer than expected is looked at again in each report.
            RunningOrder::Loading { until, .. } if now >= *until => Some(REPORT_INTERVAL),
            RunningOrder::Loading { until, .. } => Some(until.since(now) + REPORT_SLACK),
            RunningOrder::Unloading { .. } => Some(UNLOAD_LATENCY),
            RunningOrder::Foreign => Some(REPORT_INTERVAL),
        }
    }

    /// Returns the delay until a model that is planned for this engine has room.
    pub(crate) fn planned_load_room_delay(
        &self,
        model: &ModelName,
        now: Moment,
    ) -> Option<Duration> {
        let planned_load = self
            .planned_load
            .as_ref()
            .filter(|planned_load| planned_load.model == *model)?;
        if !planned_load
            .evictions
            .iter()
            .any(|evicted| self.holding(evicted).is_some())
        {
            return Some(Duration::ZERO);
        }
        Some(VACATE_DELAY.saturating_sub(now.since(planned_load.since)) + UNLOAD_LATENCY)
    }

    /// Returns the holdings for which hosts may send requests.
    pub(crate) fn usable_holdings(&self) -> Vec<ResidentModel> {
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
        self.find_carried_out(now);
        self.memory = report.memory;
        self.disk = report.disk;
        if !report.busy {
            self.running_order = None;
        } else if self.running_order.is_none() {
            // No order can be planned until this one ends.
            self.running_order = Some(RunningOrder::Foreign);
        }
        if self
            .planned_load
            .as_ref()
            .is_some_and(|planned_load| self.holding(&planned_load.model).is_some())
        {
            self.planned_load = None;
        }
        changed
    }

    /// Notes that a report could not be read.
    ///
    /// A single lost answer is ignored; an unsent call or a second lost answer marks it as down.
    pub(crate) fn end_call(&mut self, unsent: bool) {
        self.call_pending = false;
        self.reachability = match self.reachability {
            Reachability::Reachable if !unsent => Reachability::AnswerLost,
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

    pub(crate) fn apply_order_outcome(
        &mut self,
        action: &Action,
        end: OrderOutcome,
        pool: &PoolModels,
        now: Moment,
    ) {
        self.call_pending = false;
        match end {
            OrderOutcome::Accepted | OrderOutcome::Done => {
                self.apply_action(action, end, pool, now);
            }
            OrderOutcome::Refused | OrderOutcome::Unknown | OrderOutcome::Unreached => {
                // An engine that leaves an order unanswered may still serve requests.
                if end == OrderOutcome::Unreached {
                    self.reachability = Reachability::Unreachable;
                }
                if end == OrderOutcome::Unknown
                    && let Some(precondition) = self.orders
                {
                    self.unanswered.push(UnansweredOrder {
                        action: action.clone(),
                        precondition,
                        is_cold_load: matches!(action, Action::Load(model) if !self.is_cached(model)),
                        sent_at: now,
                        outcome: LateOutcome::Pending,
                    });
                }
                // The next report shows the state. If the order arrives after another one, its
                // precondition fails.
                self.orders = None;
                self.next_report = now.after(REPORT_INTERVAL);
            }
        }
    }

    fn apply_action(&mut self, action: &Action, end: OrderOutcome, pool: &PoolModels, now: Moment) {
        if end == OrderOutcome::Accepted || !matches!(action, Action::Load(_) | Action::Unload(_)) {
            for order in &mut self.unanswered {
                if order.outcome == LateOutcome::Pending && Some(order.precondition) == self.orders
                {
                    order.outcome = LateOutcome::Replaced;
                }
            }
            self.orders = self.orders.map(|orders| orders + 1);
        }
        match action {
            Action::Load(model) => {
                let time = pool
                    .model(model)
                    .map_or(REPORT_INTERVAL, |listed| self.load_time(listed));
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
                if end == OrderOutcome::Done {
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

    /// Returns whether the engine loads weights from the weight store.
    ///
    /// No report shows the end of a load in an evacuated zone, so it is assumed on time.
    pub(crate) fn is_loading_cold(&self, now: Moment) -> bool {
        matches!(
            &self.running_order,
            Some(RunningOrder::Loading { model, until })
                if !self.is_cached(model) && (!self.evacuated || now < *until)
        )
    }

    pub(crate) fn adapter_count(&self) -> usize {
        self.holdings.iter().map(|held| held.adapters.len()).sum()
    }

    /// Returns the number of adapters, with those that late orders may still load.
    pub(crate) fn possible_adapter_count(&self) -> usize {
        let is_load = |action: &&Action| matches!(action, Action::LoadAdapter(..));
        self.adapter_count() + self.late_actions().filter(is_load).count()
    }

    /// Returns when the last ordered load of an adapter is due to end.
    pub(crate) fn adapter_ready_at(&self, model: &ModelName, adapter: &AdapterName) -> Moment {
        let key = (model.clone(), adapter.clone());
        self.adapter_times.get(&key).copied().unwrap_or(Moment(0))
    }

    /// Returns the free memory in MB.
    ///
    /// Memory is reserved for all adapters and for models that late orders may still load.
    pub(crate) fn free_memory(&self, pool: &PoolModels) -> u64 {
        let held = self.holdings.iter();
        let weights: u64 = held.map(|held| pool.weights_mb(&held.model)).sum();
        let late = self.late_actions().map(|action| match action {
            Action::Load(model) => pool.weights_mb(model),
            Action::Unload(_) | Action::LoadAdapter(..) | Action::UnloadAdapter(..) => 0,
        });
        let late: u64 = late.sum();
        pool.memory_mb()
            .saturating_sub(weights + late + pool.adapter_reserve)
    }
}
