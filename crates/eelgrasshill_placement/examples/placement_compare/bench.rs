//! Simulates deployments with changing demand and one controller per zone.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
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
/// Time before the measured part of a run, in ms.
pub const WARM_UP_MS: u64 = RUN_MS / 10;
/// Interval between two samples, and between two reports of the demand, in ms.
pub const SAMPLE_MS: u64 = 1000;
/// Duration of a model load, in ms.
pub const LOAD_MS: u64 = 3000;
/// Tokens per second that an engine serves.
const ENGINE_TOKENS_PER_SECOND: f64 = 2000.0;
/// Memory of an engine, in MB.
const ENGINE_MB: u64 = 80_000;
/// Memory of a model, in thousands of MB.
const MODEL_THOUSAND_MB: Range<u64> = 17..32;
/// Demand for a model outside its peaks, in tokens per second.
const BASE_TOKENS_PER_SECOND: Range<f64> = 100.0..600.0;
/// Factor by which the demand rises in a peak.
const PEAK_FACTOR: f64 = 10.0;
/// Interval between the starts of two peaks, in ms.
const PEAK_INTERVAL_MS: u64 = 30_000;
/// Length of a peak, in ms.
const PEAK_LENGTH_MS: Range<u64> = 20_000..120_000;
/// Number of iterations that balance the demand over the engines.
const BALANCE_ITERATIONS: u32 = 20;
/// Number of zones of a deployment.
const ZONE_COUNT: usize = 3;

/// The zones, pools and load limits of a deployment.
pub struct DeploymentProfile {
    pub name: &'static str,
    pub zones: [&'static str; ZONE_COUNT],
    /// Name, number of engines and number of models of each pool.
    pub pools: [(&'static str, usize, usize); 2],
    pub budget: Budget,
}

impl DeploymentProfile {
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
            for index in 0..engines {
                let host = Host {
                    pool: name.clone(),
                    zone: named(self.zones[index % ZONE_COUNT]),
                    address: named("10.0.0.1:80"),
                    memory_mb: ENGINE_MB,
                    accelerators: 1,
                    fencing: Fencing::Checked,
                };
                tables
                    .hosts
                    .insert(named(&format!("{pool}-{index:02}")), host);
            }
            for index in 0..models {
                let model = Model {
                    pool: name.clone(),
                    memory_mb: rng.random_range(MODEL_THOUSAND_MB) * 1000,
                    version: "v1".to_owned(),
                    adapters: Vec::new(),
                };
                tables
                    .models
                    .insert(named(&format!("{pool}-model-{index:02}")), model);
            }
        }
        tables
    }
}

pub fn named<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the text is valid")
}

/// Converts a count to a floating-point number.
pub fn to_f64(number: usize) -> f64 {
    u32::try_from(number).map_or(f64::MAX, f64::from)
}

/// Demand with peaks, each of one model.
pub struct DemandCurve {
    /// Demand outside peaks, in tokens per second.
    base: BTreeMap<ModelName, f64>,
    /// Time at which each current peak ends, in ms.
    peak_ends_ms: BTreeMap<ModelName, u64>,
    rng: StdRng,
}

impl DemandCurve {
    pub fn new(tables: &Tables, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let names = tables.models.keys();
        let base = names
            .map(|name| (name.clone(), rng.random_range(BASE_TOKENS_PER_SECOND)))
            .collect();
        Self {
            base,
            peak_ends_ms: BTreeMap::new(),
            rng,
        }
    }

    /// Ends the peaks that are over and starts one every 30 seconds.
    pub fn advance(&mut self, now: u64) {
        self.peak_ends_ms.retain(|_model, end| now < *end);
        if now.is_multiple_of(PEAK_INTERVAL_MS) {
            let index = self.rng.random_range(0..self.base.len());
            let length_ms = self.rng.random_range(PEAK_LENGTH_MS);
            if let Some(model) = self.base.keys().nth(index) {
                self.peak_ends_ms.insert(model.clone(), now + length_ms);
            }
        }
    }

    pub fn rates(&self) -> BTreeMap<ModelName, f64> {
        let rate = |model: &ModelName, base: f64| {
            if self.peak_ends_ms.contains_key(model) {
                base * PEAK_FACTOR
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
    /// Share of the demand that arises in a zone with a copy of the model.
    ///
    /// The demand for a model is equal in all zones.
    pub in_zone: f64,
}

impl Figures {
    /// Combines runs by adding the loads and averaging the shares.
    pub fn of(runs: &[Self]) -> Self {
        let mean =
            |share: fn(&Self) -> f64| runs.iter().map(share).sum::<f64>() / to_f64(runs.len());
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
        // Each iteration moves demand from engines with a high load to engines with a low one.
        let mut engine_load: BTreeMap<&HostName, f64> =
            engines.keys().map(|name| (name, 1.0)).collect();
        // Tokens per second of each model that an engine serves.
        let mut served_by = BTreeMap::new();
        for _ in 0..BALANCE_ITERATIONS {
            let mut next_load: BTreeMap<&HostName, f64> =
                engines.keys().map(|name| (name, 1.0)).collect();
            for (model, rate) in rates {
                let weights: Vec<_> = holders[model]
                    .iter()
                    .map(|name| {
                        let previous_share = served_by.get(&(model, *name)).copied().unwrap_or(1.0);
                        (*name, previous_share / engine_load[name])
                    })
                    .collect();
                let total: f64 = weights.iter().map(|(_name, weight)| weight).sum();
                for (name, weight) in weights {
                    let share = rate * weight / total;
                    served_by.insert((model, name), share);
                    *next_load.entry(name).or_default() += share;
                }
            }
            engine_load = next_load;
        }
        for (model, rate) in rates {
            self.demand += rate;
            let served = holders[model].iter().map(|name| {
                served_by[&(model, *name)] * (ENGINE_TOKENS_PER_SECOND / engine_load[name]).min(1.0)
            });
            self.served += served.sum::<f64>();
            let zones_with_copy: BTreeSet<_> = holders[model]
                .iter()
                .map(|name| &engines[*name].zone)
                .collect();
            self.in_zone += rate * to_f64(zones_with_copy.len()) / to_f64(zones);
        }
    }

    pub fn figures(&self, engines: &BTreeMap<HostName, FakeEngine>) -> Figures {
        let starts = engines.values().flat_map(|engine| &engine.load_starts_ms);
        Figures {
            loads: starts.filter(|at| **at >= WARM_UP_MS).count(),
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
    /// The controller, the log and the pending events of each zone.
    controllers: Vec<(Controller, Vec<LeaseEntry>, Vec<Event>)>,
    demand: DemandCurve,
    reports_demand: bool,
}

impl Bench {
    /// Creates a fleet whose controllers receive the demand, or never do.
    pub fn new(
        deployment: &DeploymentProfile,
        demand_settings: DemandSettings,
        reports_demand: bool,
        seed: u64,
    ) -> Self {
        let tables = deployment.tables();
        let zones = deployment.zones();
        let controllers = zones.iter().map(|zone| {
            let settings = Settings::new(named("entry"), zone.clone(), zones.clone());
            let settings = settings
                .with_budget(deployment.budget)
                .with_demand(demand_settings);
            let start = Event::Tables(Arc::new(tables.clone()));
            (Controller::new(settings), Vec::new(), vec![start])
        });
        Self {
            controllers: controllers.collect(),
            engines: engines(&tables),
            demand: DemandCurve::new(&tables, seed),
            tables,
            reports_demand,
        }
    }

    pub fn run(mut self) -> Figures {
        let mut tally = Tally::default();
        for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
            self.demand.advance(now);
            self.step(now);
            if now >= WARM_UP_MS && now.is_multiple_of(SAMPLE_MS) {
                tally.add(&self.engines, &self.demand.rates(), self.controllers.len());
            }
        }
        tally.figures(&self.engines)
    }

    fn step(&mut self, now: u64) {
        let demands = self.demand.rates().into_iter().map(|(model, rate)| {
            let rate = rate / to_f64(self.controllers.len());
            ModelDemand {
                model,
                tokens_per_second: rate,
            }
        });
        let demands: Vec<_> = demands.collect();
        for engine in self.engines.values_mut() {
            engine.advance(now);
        }
        for (controller, log, events) in &mut self.controllers {
            events.push(Event::Tick);
            if self.reports_demand && now.is_multiple_of(SAMPLE_MS) {
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
            assert!(
                target.overcommits == 0,
                "{engine} received {} orders beyond its memory, expected none",
                target.overcommits
            );
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
pub fn load_interval(budget: Budget) -> Duration {
    Duration::from_secs_f64(1.0 / budget.loads_per_second)
}
