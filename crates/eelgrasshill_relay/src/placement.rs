//! Placement of models and adapters on engines, planned by the lease's holder.
//!
//! The plan follows from demand per model, from the engines' reports and from the limit on loads.
//! A few of many models get most requests, and which ones changes within seconds; the rest get few
//! requests each, but every model must be served.
//!
//! The value of a copy is the load that is served in time because of it. For a busy model, that is
//! the part of its load that its engines cannot serve; for a model without a copy, its whole load
//! plus a fixed bonus. The only copy of a model keeps that bonus when its removal is considered. A
//! copy is placed where it gains clearly more than the copies removed for it. Engines whose memory
//! or disk caches the weights are preferred, because a load from the weight store takes several
//! times as long.
//!
//! Each order carries the number of orders that the engine must have accepted before. The planner
//! has computed the memory use for exactly that state, so an order that arrives late, after others,
//! is refused.

mod adapter_orders;
mod engine_state;
mod load_estimate;
mod load_pacer;
mod planned_load;
mod pool_models;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{AdapterName, FastMap, HostName, ModelName, Moment, PoolName, record};

pub use engine_state::{EngineReport, EngineState, OrderOutcome};
use load_pacer::LoadPacer;
use pool_models::PoolModels;

use crate::{EnginePool, KnownUpstreams, ModelKey, ResidentModel, SoftwareVersion, UpstreamLoads};

/// Time between withdrawing a copy from use and unloading it.
///
/// Hosts learn of the withdrawal within two rounds of their exchange.
const VACATE_DELAY: Duration = Duration::from_millis(500);

/// Time beyond the load itself until a report shows its result.
const REPORT_SLACK: Duration = Duration::from_millis(60);

/// Time between two plans without a new miss; demand changes over seconds.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Time between reports while an order is in progress.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time between reports during an unload, or while the engine is down.
const UNLOAD_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum time that a copy stays before a busier model may replace it.
///
/// A jump in demand that ends within this time moves nothing.
const MIN_RESIDENCE: Duration = Duration::from_secs(4);

/// Age of the last report at which a new one is requested.
const MAX_REPORT_AGE: Duration = Duration::from_secs(20);

/// Time from the order of an adapter until it is loaded.
///
/// At most ten milliseconds, and more while many adapters are being loaded.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(14);

/// Time until an order that is due has been sent and answered.
const ORDER_LATENCY: Duration = Duration::from_millis(10);

/// Time from the decision to load an adapter until requests may be sent for it.
const ADAPTER_READY_TIME: Duration = ORDER_LATENCY.saturating_add(ADAPTER_LOAD_TIME);

/// Time in which the requests on a withdrawn copy usually finish.
const UNLOAD_LATENCY: Duration = Duration::from_millis(800);

/// Retry delay for callers if a model cannot be loaded now.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(1_500);

record! {
    /// Action that an order asks of an engine.
    pub enum Action {
        /// Load a model.
        Load(ModelName),
        /// Unload a model once its requests have finished.
        Unload(ModelName),
        /// Load an adapter of a model that the engine holds.
        LoadAdapter(ModelName, AdapterName),
        /// Unload an adapter.
        UnloadAdapter(ModelName, AdapterName),
    }

    /// Next call that the holder must make to an engine.
    pub enum NextCall {
        /// Request its report.
        Report,
        /// Send an order.
        Order {
            /// Action that the engine must carry out.
            action: Action,
            /// Number of orders that the engine must have accepted before.
            precondition: u64,
        },
    }

    /// When a model or adapter becomes available.
    pub enum Availability {
        /// An engine can serve it after a delay.
        Ready {
            /// Engine that will serve it.
            engine: HostName,
            /// Delay until then; zero if it is loaded.
            after: Duration,
        },
        /// No engine will have it soon.
        Later {
            /// Delay before a retry makes sense.
            after: Duration,
        },
    }

    /// Update of an engine's holdings, ahead of the engine's own registry entry.
    pub struct HoldingsUpdate {
        /// Id of the engine.
        pub engine: HostName,
        /// Start time of the engine, as in its registration.
        #[serde(rename = "born")]
        pub started_ms: u64,
        /// Fencing token of the holder that sends it.
        pub fence: u64,
        /// Revision, which rises with each change by the holder.
        #[serde(rename = "number")]
        pub revision: u64,
        /// Models and adapters for which requests may be sent to the engine.
        pub holdings: Vec<ResidentModel>,
    }
}

/// A model or adapter that requests wait for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Miss {
    /// The model or adapter.
    pub key: ModelKey,
    /// Software version that the engine must run; any if none.
    pub software: Option<SoftwareVersion>,
}

impl From<ModelKey> for Miss {
    fn from(key: ModelKey) -> Self {
        Self {
            key,
            software: None,
        }
    }
}

/// Demand for the models of one pool.
#[derive(Clone, Debug, Default)]
struct PoolDemand {
    // Load in thousandths of an engine, by model.
    work: FastMap<ModelName, u64>,
    // Demand in microseconds of engine time per second.
    adapters: FastMap<(ModelName, AdapterName), u64>,
}

/// Plans which models and adapters the engines of all pools hold.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    engines: BTreeMap<HostName, EngineState>,
    pools: FastMap<PoolName, Arc<PoolModels>>,
    pool_demands: FastMap<PoolName, PoolDemand>,
    load_pacers: FastMap<PoolName, LoadPacer>,
    misses: FastMap<Miss, Moment>,
    load_window: Duration,
    revision: u64,
    last_plan: Moment,
}

impl PlacementPlanner {
    /// Creates a planner without state; `load_window` is the window of the limit on loads.
    #[must_use]
    pub fn new(load_window: Duration) -> Self {
        Self {
            engines: BTreeMap::new(),
            pools: FastMap::default(),
            pool_demands: FastMap::default(),
            load_pacers: FastMap::default(),
            misses: FastMap::default(),
            load_window,
            revision: 0,
            last_plan: Moment(0),
        }
    }

    /// Sets the pools of a configuration.
    pub fn set_pools<'a>(
        &mut self,
        pools: impl Iterator<Item = (&'a PoolName, &'a Arc<EnginePool>)>,
        now: Moment,
    ) {
        self.pools = pools
            .map(|(name, pool)| {
                let load_window = self.load_window;
                self.load_pacers
                    .entry(name.clone())
                    .or_insert_with(|| LoadPacer::new(load_window, now))
                    .set_rate(pool.loads_per_1000_s);
                (name.clone(), Arc::new(PoolModels::new(pool)))
            })
            .collect();
    }

    /// Updates the engines from their registrations and from failed calls of other hosts.
    pub fn set_upstreams(
        &mut self,
        upstreams: &KnownUpstreams,
        loads: &UpstreamLoads,
        now: Moment,
    ) {
        let mut engines = BTreeMap::new();
        // Engines of an evacuated zone keep their state: unanswered orders may still take effect.
        for upstream in upstreams.available(now).chain(upstreams.evacuated(now)) {
            if !self.pools.contains_key(&upstream.pool) {
                continue;
            }
            let mut state = match self.engines.remove(&upstream.id) {
                Some(known) if known.started_ms == upstream.started_ms => known,
                Some(before) => EngineState::after_restart(upstream, before),
                None => EngineState::new(upstream),
            };
            state.set_suspected(loads.is_suspected(&upstream.id));
            state.set_evacuated(upstreams.is_evacuated(upstream));
            engines.insert(upstream.id.clone(), state);
        }
        self.engines = engines;
    }

    /// Sets the demand of all hosts, in microseconds of engine time per second.
    pub fn set_demand(&mut self, demand: &FastMap<ModelKey, u64>) {
        self.pool_demands.clear();
        for (model_key, rate) in demand {
            let pool_demand = self.pool_demands.entry(model_key.pool.clone()).or_default();
            *pool_demand.work.entry(model_key.model.clone()).or_default() += rate / 1_000;
            if let Some(adapter) = &model_key.adapter {
                let key = (model_key.model.clone(), adapter.clone());
                *pool_demand.adapters.entry(key).or_default() += rate;
            }
        }
    }

    /// Returns when a model or adapter is available, and plans a load if necessary.
    pub fn resolve_miss(&mut self, miss: &Miss, now: Moment) -> Availability {
        if let Some(found) = self.held_availability(miss, now) {
            return found;
        }
        self.misses.insert(miss.clone(), now);
        let found = match &miss.key.adapter {
            // An adapter of a model that an engine keeps needs no plan, and most misses are of
            // that kind.
            Some(_adapter) => self.adapter_availability(miss, now),
            None => None,
        };
        let found = found.or_else(|| self.loading_availability(miss, now));
        found.unwrap_or_else(|| {
            self.plan(now);
            let planned = self.planned_availability(miss, now);
            planned.unwrap_or(Availability::Later {
                after: DEFAULT_RETRY_DELAY,
            })
        })
    }

    /// Returns the availability of an adapter whose model an engine keeps.
    ///
    /// An engine that carries out another order takes this one after it.
    fn adapter_availability(&self, miss: &Miss, now: Moment) -> Option<Availability> {
        if let Some(engine) = self.best_adapter_engine(miss) {
            return Some(Availability::Ready {
                engine: engine.clone(),
                after: ADAPTER_READY_TIME,
            });
        }
        self.soonest(miss, |state| {
            let after = state.order_ends_after(now)?;
            let will_take = state.keeps(&miss.key.model) && !state.is_down();
            will_take.then_some(after + ADAPTER_READY_TIME)
        })
    }

    /// Returns the availability of a model or adapter that an engine holds.
    fn held_availability(&self, miss: &Miss, now: Moment) -> Option<Availability> {
        self.soonest(miss, |state| {
            state.held_after(&miss.key.model, miss.key.adapter.as_ref(), now)
        })
    }

    /// Returns the availability of a model that is being loaded, or of its adapter after that.
    fn loading_availability(&self, miss: &Miss, now: Moment) -> Option<Availability> {
        let adapter_time = match &miss.key.adapter {
            Some(_adapter) => ADAPTER_READY_TIME,
            None => Duration::ZERO,
        };
        self.soonest(miss, |state| {
            let after = state.loaded_after(&miss.key.model, now)?;
            Some(after + adapter_time)
        })
    }

    /// Returns the engine that may serve a miss with the shortest delay.
    fn soonest(
        &self,
        miss: &Miss,
        delay: impl Fn(&EngineState) -> Option<Duration>,
    ) -> Option<Availability> {
        let engines = self.engines.iter();
        let delays = engines
            .filter(|(_id, state)| state.serves(miss))
            .filter_map(|(id, state)| Some((delay(state)?, id)));
        delays.min().map(|(after, id)| Availability::Ready {
            engine: id.clone(),
            after,
        })
    }

    /// Returns the availability that the next orders will lead to.
    fn planned_availability(&self, miss: &Miss, now: Moment) -> Option<Availability> {
        let pool = self.pools.get(&miss.key.pool)?;
        let model = pool.model(&miss.key.model)?;
        self.soonest(miss, |state| {
            let room_delay = state.planned_load_room_delay(&miss.key.model, now)?;
            Some(room_delay + ORDER_LATENCY + state.load_time(model) + REPORT_SLACK)
        })
    }

    /// Returns the calls to make now; each engine has at most one pending call.
    pub fn next_calls(&mut self, now: Moment) -> Vec<(HostName, NextCall)> {
        if now.since(self.last_plan) >= PLAN_INTERVAL {
            self.plan(now);
        }
        let adapter_misses = self.adapter_misses(now);
        let mut next_calls = Vec::new();
        let ids: Vec<_> = self.engines.keys().cloned().collect();
        for id in ids {
            let adapters = adapter_misses.get(&id).map_or(&[][..], Vec::as_slice);
            if let Some(next_call) = self.next_call(&id, adapters, now) {
                if let Some(state) = self.engines.get_mut(&id) {
                    state.begin_call(&next_call, now);
                }
                next_calls.push((id, next_call));
            }
        }
        next_calls
    }

    fn next_call(&mut self, id: &HostName, adapters: &[ModelKey], now: Moment) -> Option<NextCall> {
        let state = self.engines.get(id)?;
        if state.has_pending_call() || state.is_evacuated() {
            return None;
        }
        if state.needs_report(now) {
            return Some(NextCall::Report);
        }
        let precondition = state.orders?;
        let action = self.next_action(id, adapters, now)?;
        Some(NextCall::Order {
            action,
            precondition,
        })
    }

    /// Applies an engine's report, which is complete.
    pub fn apply_report(&mut self, id: &HostName, report: EngineReport, now: Moment) {
        if let Some(state) = self.engines.get_mut(id)
            && state.apply_report(report, now)
        {
            self.revision += 1;
            state.revision = self.revision;
        }
    }

    /// Applies the result of an order.
    ///
    /// An order without an answer may still take effect later.
    pub fn apply_order_outcome(
        &mut self,
        id: &HostName,
        action: &Action,
        end: OrderOutcome,
        now: Moment,
    ) {
        let Some(state) = self.engines.get_mut(id) else {
            return;
        };
        let Some(pool) = self.pools.get(&state.pool) else {
            return;
        };
        self.revision += 1;
        state.revision = self.revision;
        state.apply_order_outcome(action, end, pool, now);
    }

    /// Returns the revision of the latest change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the updates after a revision that hosts need beyond the engines' own entries.
    pub fn holdings_updates(&self, fence: u64, after: u64) -> impl Iterator<Item = HoldingsUpdate> {
        let engines = self.engines.iter();
        engines
            .filter(move |(_id, state)| state.revision > after)
            .filter_map(move |(id, state)| holdings_update(id, state, fence))
    }

    /// Returns the update on one engine, if hosts need it.
    #[must_use]
    pub fn holdings_update(&self, fence: u64, id: &HostName) -> Option<HoldingsUpdate> {
        holdings_update(id, self.engines.get(id)?, fence)
    }

    /// Notes that a report could not be read.
    ///
    /// `unsent` says that the request was not even sent.
    pub fn fail_report(&mut self, id: &HostName, unsent: bool) {
        if let Some(state) = self.engines.get_mut(id) {
            state.end_call(unsent);
        }
    }

    /// Discards reports and plans, because another host may have given orders since.
    pub fn reset(&mut self, now: Moment) {
        self.engines.clear();
        self.misses.clear();
        for load_pacer in self.load_pacers.values_mut() {
            load_pacer.restart(now);
        }
    }
}

fn holdings_update(id: &HostName, state: &EngineState, fence: u64) -> Option<HoldingsUpdate> {
    let is_known = state.orders.is_some() && state.revision > 0;
    is_known.then(|| HoldingsUpdate {
        engine: id.clone(),
        started_ms: state.started_ms,
        fence,
        revision: state.revision,
        holdings: state.usable_holdings(),
    })
}
