//! Simulated engines in virtual time, which check each order against their own limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{
    AdapterName, FastMap, FastSet, HostName, ModelName, Moment, PoolName, ZoneName,
};
use eelgrasshill_relay::{
    Action, EnginePool, EngineReport, KnownUpstreams, Model, ModelKey, NextCall, OrderOutcome,
    PlacementPlanner, ResidentModel, SoftwareVersion, Upstream, UpstreamLoads,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const LOAD_WINDOW: Duration = Duration::from_secs(5);
/// The same as [`LOAD_WINDOW`].
const LOAD_WINDOW_MS: u64 = 5_000;
const LOADS_PER_1000_S: u64 = 2_200;
/// Time to load a model from the weight store, as in its row's `cold_load`.
const STORE_LOAD_MS: u64 = 4_000;
/// Rate, duration and tolerated number of loads, as above, of a store with many short loads.
const FAST_LOADS_PER_1000_S: u64 = 16_000;
const FAST_LOAD_MS: u64 = 1_200;
const MAX_FAST_LOADS: usize = 91;
/// Time after which silent engines carry out orders.
const LATE_MS: u64 = 6_000;
const DISK_LOAD_MS: u64 = 800;
const UNLOAD_MS: u64 = 900;
const STEP_MS: u64 = 10;
/// Steps between two restarts on average, until their number is reached.
const STEPS_PER_RESTART: i32 = 300;
const MEMORY_MB: u64 = 200;
const MODEL_MB: u64 = 80;
const MAX_ADAPTERS: usize = 8;
/// Loads from the weight store that may start in a window.
///
/// These are 2.2 loads a second for 5 s, plus a tenth, plus three loads: 15.
const MAX_STORE_LOADS: usize = 15;

pub fn pool_name() -> PoolName {
    PoolName::new("engines").expect("the name is valid")
}

pub fn model(number: usize) -> ModelName {
    ModelName::new(&format!("m{number}")).expect("the name is valid")
}

pub fn newer_software() -> SoftwareVersion {
    SoftwareVersion::new("newer").expect("the version is short")
}

pub fn adapter(number: usize) -> AdapterName {
    AdapterName::new(&format!("a{number}")).expect("the name is valid")
}

/// Faults of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    /// Orders per thousand that get no answer.
    pub unanswered: u32,
    /// Unanswered orders per thousand that take effect late; the others never do.
    pub late: u32,
    /// Restarts of an engine.
    pub restarts: u32,
}

struct Engine {
    started_ms: u64,
    /// Number of orders that were accepted.
    orders: u64,
    held: Vec<(ModelName, Vec<AdapterName>)>,
    disk: Vec<ModelName>,
    /// End in ms and action of the order that runs.
    current_order: Option<(u64, Action)>,
}

pub struct EngineSimulation {
    pub planner: PlacementPlanner,
    pub violations: Vec<String>,
    pub loads: u64,
    engines: BTreeMap<HostName, Engine>,
    demand: FastMap<ModelKey, u64>,
    /// Due time in ms, engine, action and precondition of each order that takes effect late.
    late_orders: Vec<(u64, HostName, Action, u64)>,
    store_loads: Vec<u64>,
    now_ms: u64,
    random: StdRng,
    models: usize,
    /// Engines that answer nothing from their next order on, and carry it out seconds later.
    pub silent: Vec<HostName>,
    /// Engines of an evacuated zone.
    pub evacuated: Vec<HostName>,
    /// Engines of another software version.
    pub newer: Vec<HostName>,
    /// Calls to evacuated engines.
    pub evacuated_calls: u64,
    memory_mb: u64,
    /// Time that a load from the store takes.
    store_load_ms: u64,
    /// Loads from the store that may begin in one window.
    max_store_loads: usize,
}

impl EngineSimulation {
    pub fn new(engines: usize, models: usize, seed: u64) -> Self {
        let rows = (0..models).map(|number| Model {
            name: model(number),
            weights_mb: MODEL_MB,
            adapter_mb: 1,
            cold_load: Duration::from_secs(4),
            warm_load: Duration::from_millis(400),
            disk_load: Duration::from_millis(DISK_LOAD_MS),
        });
        let pool = Arc::new(EnginePool {
            models: rows.collect(),
            memory_mb: MEMORY_MB,
            // The same as MAX_ADAPTERS.
            max_adapters: 8,
            loads_per_1000_s: LOADS_PER_1000_S,
        });
        let mut planner = PlacementPlanner::new(LOAD_WINDOW);
        planner.set_pools([(&pool_name(), &pool)].into_iter(), Moment(0));
        let engines = (0..engines).map(|index| {
            let name = HostName::new(&format!("e{index}")).expect("the name is valid");
            let held = [(2 * index) % models, (2 * index + 1) % models];
            let engine = Engine {
                started_ms: 1,
                orders: 0,
                held: held.map(|number| (model(number), Vec::new())).into(),
                disk: held.map(model).into(),
                current_order: None,
            };
            (name, engine)
        });
        Self {
            planner,
            violations: Vec::new(),
            loads: 0,
            engines: engines.collect(),
            demand: FastMap::default(),
            late_orders: Vec::new(),
            store_loads: Vec::new(),
            now_ms: 10_000,
            random: StdRng::seed_from_u64(seed),
            models,
            silent: Vec::new(),
            evacuated: Vec::new(),
            newer: Vec::new(),
            evacuated_calls: 0,
            memory_mb: MEMORY_MB,
            store_load_ms: STORE_LOAD_MS,
            max_store_loads: MAX_STORE_LOADS,
        }
    }

    /// Replaces the weight store by one that allows many short loads, and doubles the memory.
    pub fn with_fast_store(mut self) -> Self {
        let models = (0..self.models).map(|number| Model {
            name: model(number),
            weights_mb: MODEL_MB,
            adapter_mb: 1,
            cold_load: Duration::from_millis(FAST_LOAD_MS),
            warm_load: Duration::from_millis(400),
            disk_load: Duration::from_millis(DISK_LOAD_MS),
        });
        let pool = Arc::new(EnginePool {
            models: models.collect(),
            memory_mb: 2 * MEMORY_MB,
            max_adapters: 8,
            loads_per_1000_s: FAST_LOADS_PER_1000_S,
        });
        self.planner
            .set_pools([(&pool_name(), &pool)].into_iter(), Moment(0));
        self.memory_mb = 2 * MEMORY_MB;
        self.store_load_ms = FAST_LOAD_MS;
        self.max_store_loads = MAX_FAST_LOADS;
        self
    }

    pub fn now(&self) -> Moment {
        Moment(self.now_ms)
    }

    /// Sets the demand for a model, in thousandths of an engine.
    pub fn set_demand(&mut self, number: usize, thousandths: u64) {
        let model_key = ModelKey {
            pool: pool_name(),
            model: model(number),
            adapter: None,
        };
        // The planner counts microseconds of engine time per second.
        self.demand.insert(model_key, thousandths * 1_000);
    }

    pub fn need_adapters(&mut self, random: &mut StdRng) {
        for _need in 0..12 {
            let model_key = ModelKey {
                pool: pool_name(),
                model: model(random.random_range(0..self.models)),
                adapter: Some(adapter(random.random_range(0..20))),
            };
            let now = self.now();
            self.planner.resolve_miss(&model_key.clone().into(), now);
        }
    }

    pub fn copies(&self, number: usize) -> usize {
        let all: Vec<_> = self.engines.keys().cloned().collect();
        self.copies_at(&all, number)
    }

    pub fn copies_at(&self, ids: &[HostName], number: usize) -> usize {
        let name = model(number);
        let holds = |engine: &&Engine| engine.held.iter().any(|(held, _adapters)| *held == name);
        let engines = ids.iter().filter_map(|id| self.engines.get(id));
        engines.filter(holds).count()
    }

    /// Moves the engines that hold a model to a zone that is evacuated.
    pub fn evacuate_holders(&mut self, model: &ModelName) {
        let holds = |engine: &Engine| engine.held.iter().any(|(held, _adapters)| held == model);
        let holders = self.engines.iter().filter(|(_id, engine)| holds(engine));
        self.evacuated = holders.map(|(id, _engine)| id.clone()).collect();
    }

    /// Returns a model whose only copy is on an engine that loads another model.
    pub fn kept_beside_a_load(&self) -> Option<ModelName> {
        let is_loading =
            |engine: &&Engine| matches!(&engine.current_order, Some((_end, Action::Load(_model))));
        let mut engines = self.engines.values().filter(is_loading);
        engines.find_map(|engine| {
            let mut held = engine.held.iter().map(|(name, _adapters)| name);
            held.find(|name| {
                let holds = |other: &&Engine| other.held.iter().any(|(held, _)| held == *name);
                self.engines.values().filter(holds).count() == 1
            })
            .cloned()
        })
    }

    pub fn run(&mut self, duration_ms: u64, faults: FaultRates) {
        let end = self.now_ms + duration_ms;
        let mut restarts = faults.restarts;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            self.advance();
            if restarts > 0 && self.random.random_range(0..STEPS_PER_RESTART) == 0 {
                restarts -= 1;
                self.restart();
            }
            let upstreams = self.upstreams();
            let now = self.now();
            self.planner
                .set_upstreams(&upstreams, &UpstreamLoads::default(), now);
            self.planner.set_demand(&self.demand);
            for (id, next_call) in self.planner.next_calls(now) {
                self.carry_out(&id, next_call, faults);
            }
        }
    }

    /// Lets time pass without a call of the planner.
    pub fn pass_time(&mut self, duration_ms: u64) {
        self.now_ms += duration_ms;
        self.advance();
        let upstreams = self.upstreams();
        let now = self.now();
        self.planner
            .set_upstreams(&upstreams, &UpstreamLoads::default(), now);
        self.planner.set_demand(&self.demand);
    }

    /// Carries out calls of the planner without faults.
    pub fn carry_out_all(&mut self, next_calls: Vec<(HostName, NextCall)>) {
        for (id, next_call) in next_calls {
            self.carry_out(&id, next_call, FaultRates::default());
        }
    }

    fn restart(&mut self) {
        let index = self.random.random_range(0..self.engines.len());
        if let Some(engine) = self.engines.values_mut().nth(index) {
            engine.started_ms += 1;
            engine.orders = 0;
            engine.held.clear();
            engine.current_order = None;
        }
    }

    fn advance(&mut self) {
        let now_ms = self.now_ms;
        let late: Vec<_> = self
            .late_orders
            .extract_if(.., |(at, ..)| *at <= now_ms)
            .collect();
        for (_at, id, action, precondition) in late {
            self.accept(&id, &action, precondition);
        }
        for engine in self.engines.values_mut() {
            if let Some((at, action)) = engine.current_order.clone()
                && at <= now_ms
            {
                engine.current_order = None;
                match action {
                    Action::Load(name) => {
                        engine.disk.push(name.clone());
                        engine.held.push((name, Vec::new()));
                    }
                    Action::Unload(name) => engine.held.retain(|(held, _)| *held != name),
                    Action::LoadAdapter(..) | Action::UnloadAdapter(..) => {}
                }
            }
        }
    }

    fn upstreams(&self) -> KnownUpstreams {
        let mut upstreams = KnownUpstreams::default();
        let evacuated = ZoneName::new("evacuated").expect("the name is valid");
        upstreams.set_evacuated(FastSet::from_iter([evacuated.clone()]));
        for (id, engine) in &self.engines {
            let upstream = Upstream {
                id: id.clone(),
                pool: pool_name(),
                zone: if self.evacuated.contains(id) {
                    evacuated.clone()
                } else {
                    ZoneName::new("z").expect("the name is valid")
                },
                address: "127.0.0.1:1".parse().expect("the address is valid"),
                slots: 48,
                leaving: false,
                started_ms: engine.started_ms,
                holdings: holdings(engine),
                memory: Vec::new(),
                disk: engine.disk.clone(),
                cold_remaining: Duration::ZERO,
                software: if self.newer.contains(id) {
                    newer_software()
                } else {
                    SoftwareVersion::default()
                },
            };
            upstreams.insert(upstream, self.now());
        }
        upstreams
    }

    fn carry_out(&mut self, id: &HostName, next_call: NextCall, faults: FaultRates) {
        let now = self.now();
        self.evacuated_calls += u64::from(self.evacuated.contains(id));
        let is_silent = self.silent.contains(id);
        match next_call {
            NextCall::Report if is_silent && self.late_orders.iter().any(|late| late.1 == *id) => {
                self.planner.fail_report(id, true);
            }
            NextCall::Report => {
                let engine = &self.engines[id];
                let report = EngineReport {
                    holdings: holdings(engine),
                    busy: engine.current_order.is_some(),
                    orders: engine.orders,
                    memory: Vec::new(),
                    disk: engine.disk.clone(),
                };
                self.planner.apply_report(id, report, now);
            }
            NextCall::Order {
                action,
                precondition,
            } => {
                let end = if is_silent {
                    let at = self.now_ms + LATE_MS;
                    self.late_orders
                        .push((at, id.clone(), action.clone(), precondition));
                    OrderOutcome::Unknown
                } else if self.random.random_range(0..1_000) < faults.unanswered {
                    if self.random.random_range(0..1_000) < faults.late {
                        let at = self.now_ms + self.random.random_range(2_000..12_000);
                        self.late_orders
                            .push((at, id.clone(), action.clone(), precondition));
                    }
                    OrderOutcome::Unknown
                } else if self.accept(id, &action, precondition) {
                    OrderOutcome::Accepted
                } else {
                    OrderOutcome::Refused
                };
                self.planner.apply_order_outcome(id, &action, end, now);
            }
        }
    }

    /// Applies an order as an engine does, and records violations of the limits.
    ///
    /// The precondition is the number of orders that the planner believes were accepted.
    fn accept(&mut self, id: &HostName, action: &Action, precondition: u64) -> bool {
        let now_ms = self.now_ms;
        let Some(engine) = self.engines.get_mut(id) else {
            return false;
        };
        if engine.current_order.is_some() || engine.orders != precondition {
            return false;
        }
        match action {
            Action::Load(name) => {
                let held = u64::try_from(engine.held.len()).expect("few models are held");
                if (held + 1) * MODEL_MB > self.memory_mb {
                    self.violations.push(format!(
                        "{id} at {now_ms} ms: {name} does not fit into {} MB",
                        self.memory_mb
                    ));
                }
                let cached = engine.disk.contains(name);
                engine.current_order = Some((
                    now_ms
                        + if cached {
                            DISK_LOAD_MS
                        } else {
                            self.store_load_ms
                        },
                    action.clone(),
                ));
                self.loads += 1;
                if !cached {
                    self.store_loads.push(now_ms);
                    let from = now_ms.saturating_sub(LOAD_WINDOW_MS);
                    let count = self.store_loads.iter().filter(|at| **at > from).count();
                    if count > self.max_store_loads {
                        self.violations.push(format!(
                            "{count} loads in one window at {now_ms} ms, limit {}",
                            self.max_store_loads
                        ));
                    }
                }
            }
            Action::Unload(_) => engine.current_order = Some((now_ms + UNLOAD_MS, action.clone())),
            Action::LoadAdapter(name, adapter) => {
                let used: usize = engine.held.iter().map(|(_, adapters)| adapters.len()).sum();
                if used + 1 > MAX_ADAPTERS {
                    self.violations.push(format!(
                        "{id} at {now_ms} ms: more than {MAX_ADAPTERS} adapters with {adapter}"
                    ));
                }
                let Some((_, adapters)) = engine.held.iter_mut().find(|(held, _)| held == name)
                else {
                    return false;
                };
                adapters.push(adapter.clone());
            }
            Action::UnloadAdapter(name, adapter) => {
                for (held, adapters) in &mut engine.held {
                    if held == name {
                        adapters.retain(|kept| kept != adapter);
                    }
                }
            }
        }
        engine.orders += 1;
        true
    }
}

fn holdings(engine: &Engine) -> Vec<ResidentModel> {
    let held = engine.held.iter().map(|(name, adapters)| ResidentModel {
        model: name.clone(),
        adapters: adapters.clone(),
    });
    held.collect()
}
