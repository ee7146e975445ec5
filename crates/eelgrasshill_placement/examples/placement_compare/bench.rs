//! Simulates deployments with changing demand and one controller per zone.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{
    Fencing, Host, HostName, Model, ModelName, Moment, Offset, Pool, PoolKind, PoolName, Tables,
    ZoneName,
};
use eelgrasshill_placement::{
    Action, Budget, Controller, DemandSettings, Effect, Event, LeaseEntry, ModelDemand, Settings,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::engine::FakeEngine;

/// Length of a step, in ms.
pub const STEP_MS: u64 = 250;
/// Length of a run, in ms; the first tenth is not measured.
pub const RUN_MS: u64 = 1_200_000;
/// Duration of a model load, in ms.
pub const LOAD_MS: u64 = 3000;
/// Tokens per second that an engine serves.
const ENGINE_TOKENS_PER_SECOND: f64 = 2000.0;

/// The zones, pools and load limits of a deployment.
pub struct Deployment {
    pub name: &'static str,
    pub zones: [&'static str; 3],
    pub pools: [(&'static str, usize, usize); 2],
    pub budget: Budget,
}

impl Deployment {
    pub fn lakeshore() -> Self {
        Self {
            name: "Lakeshore",
            zones: ["duluth-yard", "toledo-yard", "erie-yard"],
            pools: [("pole-assist", 12, 15), ("yard-desk", 3, 5)],
            budget: Budget {
                loads_per_second: 2.0,
                load_slots: 8,
                adapter_slots: 60,
            },
        }
    }

    pub fn kjallaravakt() -> Self {
        Self {
            name: "Kjallaravakt",
            zones: ["sudvestur-a", "sudvestur-b", "sudvestur-c"],
            pools: [("adstod", 12, 11), ("utkall", 3, 4)],
            budget: Budget {
                loads_per_second: 2.5,
                load_slots: 3,
                adapter_slots: 25,
            },
        }
    }

    pub fn zones(&self) -> Vec<ZoneName> {
        self.zones.iter().map(|zone| named(zone)).collect()
    }

    pub fn tables(&self) -> Tables {
        let mut tables = Tables::default();
        let mut rng = StdRng::seed_from_u64(1);
        for (pool, engines, models) in self.pools {
            let name: PoolName = named(pool);
            tables.pools.insert(
                name.clone(),
                Pool {
                    kind: PoolKind::Engines,
                },
            );
            for at in 0..engines {
                let host = Host {
                    pool: name.clone(),
                    zone: named(self.zones[at % 3]),
                    address: named("10.0.0.1:80"),
                    memory_mb: 80_000,
                    accelerators: 1,
                    fencing: Fencing::Checked,
                };
                tables.hosts.insert(named(&format!("{pool}-{at:02}")), host);
            }
            for at in 0..models {
                let model = Model {
                    pool: name.clone(),
                    memory_mb: rng.random_range(17..32) * 1000,
                    version: "v1".to_owned(),
                    adapters: Vec::new(),
                };
                tables
                    .models
                    .insert(named(&format!("{pool}-model-{at:02}")), model);
            }
        }
        tables
    }
}

pub fn named<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the text is valid")
}

/// Converts a count to a floating-point number.
pub fn count(things: usize) -> f64 {
    u32::try_from(things).map_or(f64::MAX, f64::from)
}

/// Demand that rises tenfold for some time, one model at a time.
pub struct DemandCurve {
    base: BTreeMap<ModelName, f64>,
    jumps: BTreeMap<ModelName, u64>,
    rng: StdRng,
}

impl DemandCurve {
    pub fn new(tables: &Tables, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let names = tables.models.keys();
        let base = names
            .map(|name| (name.clone(), rng.random_range(100.0..600.0)))
            .collect();
        Self {
            base,
            jumps: BTreeMap::new(),
            rng,
        }
    }

    /// Ends the peaks that are over and starts one every 30 seconds.
    pub fn advance(&mut self, now: u64) {
        self.jumps.retain(|_model, end| now < *end);
        if now.is_multiple_of(30_000) {
            let at = self.rng.random_range(0..self.base.len());
            let length = self.rng.random_range(20_000..120_000);
            if let Some(model) = self.base.keys().nth(at) {
                self.jumps.insert(model.clone(), now + length);
            }
        }
    }

    pub fn rates(&self) -> BTreeMap<ModelName, f64> {
        let rate = |model: &ModelName, base: f64| {
            if self.jumps.contains_key(model) {
                base * 10.0
            } else {
                base
            }
        };
        self.base
            .iter()
            .map(|(model, base)| (model.clone(), rate(model, *base)))
            .collect()
    }
}

/// The results of one run, or of several combined.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Number of loads after the first tenth of the run.
    pub loads: usize,
    /// Share of the demand that engines holding the model could serve.
    pub served: f64,
    /// Share of the demand with a copy of the model in its own zone.
    pub in_zone: f64,
}

impl Figures {
    /// Combines runs by adding the loads and averaging the shares.
    pub fn of(runs: &[Self]) -> Self {
        let mean =
            |share: fn(&Self) -> f64| runs.iter().map(share).sum::<f64>() / count(runs.len());
        Self {
            loads: runs.iter().map(|run| run.loads).sum(),
            served: mean(|run| run.served),
            in_zone: mean(|run| run.in_zone),
        }
    }
}

/// Sums of the demand and of its served parts.
#[derive(Default)]
pub struct Tally {
    demand: f64,
    served: f64,
    in_zone: f64,
}

impl Tally {
    /// Adds one sample, with each model's demand balanced over the engines that hold it.
    pub fn add(
        &mut self,
        engines: &BTreeMap<HostName, FakeEngine>,
        rates: &BTreeMap<ModelName, f64>,
        zones: usize,
    ) {
        let holders: BTreeMap<_, Vec<_>> = rates
            .keys()
            .map(|model| {
                (
                    model,
                    engines
                        .values()
                        .filter(|e| e.holds(model))
                        .map(|e| &e.name)
                        .collect(),
                )
            })
            .collect();
        let mut load: BTreeMap<&HostName, f64> = engines.keys().map(|name| (name, 1.0)).collect();
        let mut parts = BTreeMap::new();
        for _ in 0..20 {
            let mut next: BTreeMap<&HostName, f64> =
                engines.keys().map(|name| (name, 1.0)).collect();
            for (model, rate) in rates {
                let weights: Vec<_> = holders[model]
                    .iter()
                    .map(|name| {
                        let before = parts.get(&(model, *name)).copied().unwrap_or(1.0);
                        (*name, before / load[name])
                    })
                    .collect();
                let total: f64 = weights.iter().map(|(_name, weight)| weight).sum();
                for (name, weight) in weights {
                    let part = rate * weight / total;
                    parts.insert((model, name), part);
                    *next.entry(name).or_default() += part;
                }
            }
            load = next;
        }
        for (model, rate) in rates {
            self.demand += rate;
            let served = holders[model].iter().map(|name| {
                parts[&(model, *name)] * (ENGINE_TOKENS_PER_SECOND / load[name]).min(1.0)
            });
            self.served += served.sum::<f64>();
            let near: BTreeSet<_> = holders[model]
                .iter()
                .map(|name| &engines[*name].zone)
                .collect();
            self.in_zone += rate * count(near.len()) / count(zones);
        }
    }

    pub fn figures(&self, engines: &BTreeMap<HostName, FakeEngine>) -> Figures {
        let starts = engines.values().flat_map(|engine| &engine.load_starts_ms);
        Figures {
            loads: starts.filter(|at| **at >= RUN_MS / 10).count(),
            served: self.served / self.demand,
            in_zone: self.in_zone / self.demand,
        }
    }
}

pub fn engines(tables: &Tables) -> BTreeMap<HostName, FakeEngine> {
    let engines = tables.hosts.iter().map(|(name, host)| {
        (
            name.clone(),
            FakeEngine::new(
                name.clone(),
                host.zone.clone(),
                host.fencing,
                host.memory_mb,
                LOAD_MS,
            ),
        )
    });
    engines.collect()
}

/// One controller per zone, each with a log that never fails.
pub struct Bench {
    tables: Tables,
    engines: BTreeMap<HostName, FakeEngine>,
    controllers: Vec<(Controller, Vec<LeaseEntry>, Vec<Event>)>,
    load: DemandCurve,
    informed: bool,
}

impl Bench {
    /// Creates a fleet whose controllers receive the demand, or never do.
    pub fn new(deployment: &Deployment, spans: DemandSettings, informed: bool, seed: u64) -> Self {
        let tables = deployment.tables();
        let zones = deployment.zones();
        let controllers = zones.iter().map(|zone| {
            let settings = Settings::new(named("entry"), zone.clone(), zones.clone());
            let settings = settings.with_budget(deployment.budget).with_demand(spans);
            let start = Event::Tables(Arc::new(tables.clone()));
            (Controller::new(settings), Vec::new(), vec![start])
        });
        Self {
            controllers: controllers.collect(),
            engines: engines(&tables),
            load: DemandCurve::new(&tables, seed),
            tables,
            informed,
        }
    }

    pub fn run(mut self) -> Figures {
        let mut tally = Tally::default();
        for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
            self.load.advance(now);
            self.step(now);
            if now >= RUN_MS / 10 && now.is_multiple_of(1000) {
                tally.add(&self.engines, &self.load.rates(), self.controllers.len());
            }
        }
        tally.figures(&self.engines)
    }

    fn step(&mut self, now: u64) {
        let demands = self.load.rates().into_iter().map(|(model, rate)| {
            let rate = rate / count(self.controllers.len());
            ModelDemand { model, rate }
        });
        let demands: Vec<_> = demands.collect();
        for engine in self.engines.values_mut() {
            engine.advance(now);
        }
        for (controller, log, events) in &mut self.controllers {
            events.push(Event::Tick);
            if self.informed && now.is_multiple_of(1000) {
                events.push(Event::Demand(demands.clone()));
            }
            for engine in self.engines.values_mut() {
                events.push(Event::Report {
                    report: engine.report(now),
                    requested_at: Moment(now),
                });
            }
            for event in std::mem::take(events) {
                for effect in controller.handle(event, Moment(now)) {
                    perform(effect, &mut self.engines, log, events, now);
                }
            }
        }
        debug_assert!(self.engines.len() == self.tables.hosts.len());
    }
}

/// Performs an effect immediately; its answers are delivered in the next step.
pub fn perform(
    effect: Effect,
    engines: &mut BTreeMap<HostName, FakeEngine>,
    log: &mut Vec<LeaseEntry>,
    events: &mut Vec<Event>,
    now: u64,
) {
    match effect {
        Effect::Append { id, record } => {
            let offset = Offset(log.len() as u64);
            log.push(LeaseEntry {
                offset,
                id: id.clone(),
                record,
            });
            events.push(Event::AppendDone(id, offset));
        }
        Effect::Read(from) => {
            let from = usize::try_from(from.0).unwrap_or(usize::MAX).min(log.len());
            events.push(Event::LeaseRead(log[from..].to_vec()));
        }
        Effect::Send { engine, order } => {
            let Some(target) = engines.get_mut(&engine) else {
                return;
            };
            assert!(target.overcommits == 0, "{engine} was overcommitted");
            if let Some(outcome) = target.execute(&order, true, now).outcome {
                events.push(Event::Answer {
                    engine,
                    order: order.id,
                    outcome,
                });
            }
        }
        Effect::Acquired(_)
        | Effect::Lost
        | Effect::MissMet { .. }
        | Effect::MissExpired { .. } => {}
    }
}

/// Creates an order outside any term, for the baseline without a lease holder.
pub fn order_without_term(action: Action, seq: u64) -> eelgrasshill_placement::Order {
    let fence = Offset(0);
    let id = eelgrasshill_placement::OrderId { fence, seq };
    eelgrasshill_placement::Order { id, fence, action }
}

/// Returns the shortest interval between two load starts in the fleet.
pub fn interval(budget: Budget) -> Duration {
    Duration::from_secs_f64(1.0 / budget.loads_per_second)
}
