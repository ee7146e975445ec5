//! Simulated engines in virtual time, which check each order against their own limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{AdapterName, FastMap, HostName, ModelName, Moment, PoolName, ZoneName};
use eelgrasshill_relay::{
    Action, EnginePool, EngineReport, KnownUpstreams, Model, ModelKey, NextCall, OrderOutcome,
    PlacementPlanner, ResidentModel, Upstream, UpstreamLoads,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const LOAD_WINDOW: Duration = Duration::from_secs(5);
const MEMORY_MB: u64 = 200;
const MODEL_MB: u64 = 80;
const MAX_ADAPTERS: usize = 8;
/// Loads from the weight store that may start in a window.
///
/// The rate of 2.2 a second, with a tolerance of a tenth and three loads.
const MAX_STORE_LOADS: usize = 15;

pub fn pool_name() -> PoolName {
    PoolName::new("engines").expect("the name is valid")
}

pub fn model(number: usize) -> ModelName {
    ModelName::new(&format!("m{number}")).expect("the name is valid")
}

pub fn adapter(number: usize) -> AdapterName {
    AdapterName::new(&format!("a{number}")).expect("the name is valid")
}

/// Probabilities of faulty orders, in thousandths, and the number of engine restarts.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    pub unanswered: u32,
    pub late: u32,
    pub restarts: u32,
}

struct Engine {
    started_ms: u64,
    orders: u64,
    held: Vec<(ModelName, Vec<AdapterName>)>,
    disk: Vec<ModelName>,
    busy: Option<(u64, Action)>,
}

pub struct World {
    pub planner: PlacementPlanner,
    pub violations: Vec<String>,
    pub loads: u64,
    engines: BTreeMap<HostName, Engine>,
    demand: FastMap<ModelKey, u64>,
    late: Vec<(u64, HostName, Action, u64)>,
    store_loads: Vec<u64>,
    clock: u64,
    random: StdRng,
    models: usize,
}

impl World {
    pub fn new(engines: usize, models: usize, seed: u64) -> Self {
        let rows = (0..models).map(|number| Model {
            name: model(number),
            weights_mb: MODEL_MB,
            adapter_mb: 1,
            cold_load: Duration::from_secs(4),
            warm_load: Duration::from_millis(400),
            disk_load: Duration::from_millis(800),
        });
        let pool = Arc::new(EnginePool {
            models: rows.collect(),
            memory_mb: MEMORY_MB,
            max_adapters: 8,
            loads_per_1000_s: 2_200,
        });
        let mut planner = PlacementPlanner::new(LOAD_WINDOW);
        planner.set_pools([(&pool_name(), &pool)].into_iter(), Moment(0));
        let engines = (0..engines).map(|at| {
            let name = HostName::new(&format!("e{at}")).expect("the name is valid");
            let held = [(2 * at) % models, (2 * at + 1) % models];
            let engine = Engine {
                started_ms: 1,
                orders: 0,
                held: held.map(|number| (model(number), Vec::new())).into(),
                disk: held.map(model).into(),
                busy: None,
            };
            (name, engine)
        });
        Self {
            planner,
            violations: Vec::new(),
            loads: 0,
            engines: engines.collect(),
            demand: FastMap::default(),
            late: Vec::new(),
            store_loads: Vec::new(),
            clock: 10_000,
            random: StdRng::seed_from_u64(seed),
            models,
        }
    }

    pub fn now(&self) -> Moment {
        Moment(self.clock)
    }

    /// Sets the demand for a model, in thousandths of an engine.
    pub fn set_demand(&mut self, number: usize, rate: u64) {
        let model_key = ModelKey {
            pool: pool_name(),
            model: model(number),
            adapter: None,
        };
        self.demand.insert(model_key, rate * 1_000);
    }

    pub fn need_adapters(&mut self, random: &mut StdRng) {
        for _need in 0..12 {
            let model_key = ModelKey {
                pool: pool_name(),
                model: model(random.random_range(0..self.models)),
                adapter: Some(adapter(random.random_range(0..20))),
            };
            let now = self.now();
            self.planner.resolve_miss(&model_key, now);
        }
    }

    pub fn copies(&self, number: usize) -> usize {
        let name = model(number);
        let holds = |engine: &&Engine| engine.held.iter().any(|(held, _adapters)| *held == name);
        self.engines.values().filter(holds).count()
    }

    pub fn run(&mut self, span: u64, faults: FaultRates) {
        let end = self.clock + span;
        let mut restarts = faults.restarts;
        while self.clock < end {
            self.clock += 10;
            self.advance();
            if restarts > 0 && self.random.random_range(0..300) == 0 {
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

    fn restart(&mut self) {
        let at = self.random.random_range(0..self.engines.len());
        if let Some(engine) = self.engines.values_mut().nth(at) {
            engine.started_ms += 1;
            engine.orders = 0;
            engine.held.clear();
            engine.busy = None;
        }
    }

    fn advance(&mut self) {
        let clock = self.clock;
        let late: Vec<_> = self.late.extract_if(.., |(at, ..)| *at <= clock).collect();
        for (_at, id, action, precondition) in late {
            self.accept(&id, &action, precondition);
        }
        for engine in self.engines.values_mut() {
            if let Some((at, action)) = engine.busy.clone()
                && at <= clock
            {
                engine.busy = None;
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
        for (id, engine) in &self.engines {
            let upstream = Upstream {
                id: id.clone(),
                pool: pool_name(),
                zone: ZoneName::new("z").expect("the name is valid"),
                address: "127.0.0.1:1".parse().expect("the address is valid"),
                slots: 48,
                leaving: false,
                started_ms: engine.started_ms,
                holdings: holdings(engine),
                memory: Vec::new(),
                disk: engine.disk.clone(),
            };
            upstreams.insert(upstream, self.now());
        }
        upstreams
    }

    fn carry_out(&mut self, id: &HostName, next_call: NextCall, faults: FaultRates) {
        let now = self.now();
        match next_call {
            NextCall::Report => {
                let engine = &self.engines[id];
                let report = EngineReport {
                    holdings: holdings(engine),
                    busy: engine.busy.is_some(),
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
                let end = if self.random.random_range(0..1_000) < faults.unanswered {
                    if self.random.random_range(0..1_000) < faults.late {
                        let at = self.clock + self.random.random_range(2_000..12_000);
                        self.late
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
    fn accept(&mut self, id: &HostName, action: &Action, precondition: u64) -> bool {
        let clock = self.clock;
        let Some(engine) = self.engines.get_mut(id) else {
            return false;
        };
        if engine.busy.is_some() || engine.orders != precondition {
            return false;
        }
        match action {
            Action::Load(name) => {
                let held = u64::try_from(engine.held.len()).expect("few models are held");
                if (held + 1) * MODEL_MB > MEMORY_MB {
                    self.violations
                        .push(format!("{id} is overcommitted by {name} at {clock}"));
                }
                let cached = engine.disk.contains(name);
                engine.busy = Some((clock + if cached { 800 } else { 4_000 }, action.clone()));
                self.loads += 1;
                if !cached {
                    self.store_loads.push(clock);
                    let from = clock.saturating_sub(5_000);
                    let count = self.store_loads.iter().filter(|at| **at > from).count();
                    if count > MAX_STORE_LOADS {
                        self.violations.push(format!(
                            "{count} loads in one window at {clock}, limit {MAX_STORE_LOADS}"
                        ));
                    }
                }
            }
            Action::Unload(_) => engine.busy = Some((clock + 900, action.clone())),
            Action::LoadAdapter(name, adapter) => {
                let used: usize = engine.held.iter().map(|(_, adapters)| adapters.len()).sum();
                if used + 1 > MAX_ADAPTERS {
                    self.violations.push(format!(
                        "{id} has too many adapters with {adapter} at {clock}"
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
