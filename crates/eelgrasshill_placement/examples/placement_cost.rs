//! Measures the memory and CPU time of one controller and prints them as CSV.
//!
//! Run with `cargo run --release -p eelgrasshill_placement --example placement_cost`. Before each
//! measured round, the demand for a tenth of the models changes tenfold.

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use eelgrasshill_domain::{
    Fencing, Host, HostName, Model, ModelName, Moment, Offset, Pool, PoolKind, Tables, ZoneName,
};
use eelgrasshill_placement::{
    Action, Controller, Effect, EngineReport, Event, LeaseEntry, ModelDemand, OrderOutcome,
    ResidentModel, Settings,
};

/// Allocator that counts the allocated bytes.
struct CountingAllocator;

static BYTES_IN_USE: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES_IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of the forwarded call.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        BYTES_IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of the forwarded call.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Memory of an engine, in MB.
const ENGINE_MB: u64 = 80_000;
/// Simulated time from one round to the next, in ms.
const ROUND_MS: u64 = 2000;
/// Time from the start of a round to its tick, which plans, in ms.
const TICK_AFTER_MS: u64 = 1500;
/// Demand for a model outside and within its peak, in tokens per second.
const BASE_TOKENS_PER_SECOND: f64 = 300.0;
const PEAK_TOKENS_PER_SECOND: f64 = 3000.0;
/// Duration that is one percent of a core, in µs, at one round per second.
const PERCENT_US: f64 = 1e4;
/// Number of measured rounds.
const MEASURED_ROUNDS: u64 = 20;
/// Number of the first measured round; the rounds from 1 on before it warm up the controller.
const WARM_UP_ROUNDS: u64 = 120;

fn named<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the text is valid")
}

fn tables(engines: usize, models: usize, zones: &[ZoneName]) -> Tables {
    let mut tables = Tables::default();
    let pool: eelgrasshill_domain::PoolName = named("chat");
    tables.pools.insert(
        pool.clone(),
        Pool {
            kind: PoolKind::Engines,
        },
    );
    for index in 0..engines {
        let host = Host {
            pool: pool.clone(),
            zone: zones[index % zones.len()].clone(),
            address: named("10.0.0.1:80"),
            memory_mb: ENGINE_MB,
            accelerators: 1,
            fencing: Fencing::Checked,
        };
        tables
            .hosts
            .insert(named(&format!("engine-{index:04}")), host);
    }
    // Two copies of every model occupy three fifths of the fleet's memory.
    let memory_mb = ENGINE_MB * engines as u64 * 3 / 5 / 2 / models as u64;
    for index in 0..models {
        let model = Model {
            pool: pool.clone(),
            memory_mb,
            version: "v1".to_owned(),
            adapters: Vec::new(),
        };
        tables
            .models
            .insert(named(&format!("model-{index:04}")), model);
    }
    tables
}

/// The engines of all zones, on which loads complete immediately.
///
/// Each has the highest fencing token that it received, and the memory in MB of each resident
/// model.
struct Engines(BTreeMap<HostName, (Offset, BTreeMap<ModelName, u64>)>);

impl Engines {
    fn execute(&mut self, engine: &HostName, fence: Offset, action: Action) {
        let Some((highest_fence, resident)) = self.0.get_mut(engine) else {
            return;
        };
        *highest_fence = (*highest_fence).max(fence);
        match action {
            Action::Load { model, memory, .. } => {
                resident.insert(model, memory);
            }
            Action::Unload { model } => {
                resident.remove(&model);
            }
            Action::LoadAdapter { .. } | Action::UnloadAdapter { .. } | Action::Seal => {}
        }
    }

    fn report(&self, engine: &HostName) -> Option<EngineReport> {
        let (fence, resident) = self.0.get(engine)?;
        let models = resident.keys().map(|model| ResidentModel {
            model: model.clone(),
            version: "v1".to_owned(),
            adapters: Vec::new(),
            running: 1,
            waiting: 0,
        });
        Some(EngineReport {
            host: engine.clone(),
            fence: *fence,
            resident: models.collect(),
            loading: Vec::new(),
            unloading: Vec::new(),
            used_mb: resident.values().sum(),
            total_mb: ENGINE_MB,
            request_slots: 8,
            age_ms: 0,
        })
    }
}

struct Run {
    controller: Controller,
    engines: Engines,
    log: Vec<LeaseEntry>,
    events: Vec<Event>,
}

impl Run {
    fn new(engines: usize, models: usize) -> Self {
        let zones: Vec<ZoneName> = ["a", "b", "c"].into_iter().map(named).collect();
        let tables = tables(engines, models, &zones);
        let mut settings = Settings::new(named("entry"), zones[0].clone(), zones.clone());
        // The weight store does not limit the loads.
        settings.budget.loads_per_second = 3000.0;
        settings.budget.load_slots = 3000;
        let mut controller = Controller::new(settings);
        controller.handle(Event::Tables(Arc::new(tables.clone())), Moment(0));
        let empty = tables
            .hosts
            .keys()
            .map(|name| (name.clone(), (Offset(0), BTreeMap::new())));
        let mut engines = Engines(empty.collect());
        // The other zones already hold the models that are assigned to them.
        for (name, model) in &tables.models {
            for (zone, _requirement) in controller.assignment().zones(name) {
                let zone_engines = tables
                    .hosts
                    .iter()
                    .filter(|(_name, host)| host.zone == *zone && *zone != zones[0]);
                let most_free = zone_engines
                    .min_by_key(|(name, _host)| engines.0[*name].1.values().sum::<u64>());
                if let Some((engine, _host)) = most_free {
                    engines.execute(engine, Offset(0), Action::load(name, model));
                }
            }
        }
        Self {
            controller,
            engines,
            log: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Runs one round: a report of each engine, the demand and a tick, which plans.
    ///
    /// Returns the duration of handling the reports and of planning, in µs.
    fn run_round(&mut self, now: u64, demands: Vec<ModelDemand>) -> (u128, u128) {
        let names: Vec<_> = self.engines.0.keys().cloned().collect();
        let reports: Vec<_> = names
            .iter()
            .filter_map(|name| self.engines.report(name))
            .collect();
        let start = Instant::now();
        for report in reports {
            let effects = self.controller.handle(
                Event::Report {
                    report,
                    requested_at: Moment(now),
                },
                Moment(now + 1),
            );
            self.perform(effects);
        }
        let reports_us = start.elapsed().as_micros();
        self.handle_pending(now + 2);
        let effects = self
            .controller
            .handle(Event::Demand(demands), Moment(now + 3));
        self.perform(effects);
        self.handle_pending(now + 4);
        let start = Instant::now();
        let effects = self
            .controller
            .handle(Event::Tick, Moment(now + TICK_AFTER_MS));
        let planning_us = start.elapsed().as_micros();
        self.perform(effects);
        self.handle_pending(now + TICK_AFTER_MS);
        (reports_us, planning_us)
    }

    fn handle_pending(&mut self, now: u64) {
        while !self.events.is_empty() {
            for event in std::mem::take(&mut self.events) {
                let effects = self.controller.handle(event, Moment(now));
                self.perform(effects);
            }
        }
    }

    fn perform(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Append { id, record } => {
                    let offset = Offset(self.log.len() as u64);
                    self.log.push(LeaseEntry {
                        offset,
                        id: id.clone(),
                        record,
                    });
                    self.events.push(Event::AppendDone(id, offset));
                }
                Effect::Read(from) => {
                    let from = usize::try_from(from.0).unwrap_or(usize::MAX);
                    self.events
                        .push(Event::LeaseRead(self.log[from..].to_vec()));
                }
                Effect::Send { engine, order } => {
                    self.engines.execute(&engine, order.fence, order.action);
                    let outcome = OrderOutcome::Done;
                    self.events.push(Event::Answer {
                        engine,
                        order: order.id,
                        outcome,
                    });
                }
                _ => {}
            }
        }
    }
}

fn main() {
    println!(
        "engines,models,state_bytes,round_us_mean,round_us_max,reports_us_mean,core_share_percent"
    );
    for (engines, models) in [(15, 20), (100, 300), (300, 900), (600, 1900)] {
        let before = BYTES_IN_USE.load(Ordering::Relaxed);
        let mut run = Run::new(engines, models);
        for round in 1..WARM_UP_ROUNDS {
            run.run_round(round * ROUND_MS, demands(models, 0));
        }
        let (mut planning_us, mut reports_us) = (Vec::new(), 0);
        for round in 0..MEASURED_ROUNDS {
            let (round_reports_us, round_planning_us) = run.run_round(
                (WARM_UP_ROUNDS + round) * ROUND_MS,
                demands(models, round + 1),
            );
            planning_us.push(round_planning_us);
            reports_us += round_reports_us;
        }
        // The fake engines and the log do not count as the controller's memory.
        drop((run.engines, run.log, run.events));
        let state_bytes = BYTES_IN_USE.load(Ordering::Relaxed) - before;
        let count = u128::from(MEASURED_ROUNDS);
        let (mean_us, max_us) = (
            planning_us.iter().sum::<u128>() / count,
            planning_us.iter().max().copied().unwrap_or(0),
        );
        let reports_us = reports_us / count;
        let core_percent =
            f64::from(u32::try_from(mean_us + reports_us).unwrap_or(u32::MAX)) / PERCENT_US;
        println!(
            "{engines},{models},{state_bytes},{mean_us},{max_us},{reports_us},{core_percent:.2}"
        );
    }
}

/// Returns the demand in a round.
///
/// In round 0 every model has the base demand. In later rounds every tenth model has its peak, a
/// different tenth in each round.
fn demands(models: usize, round: u64) -> Vec<ModelDemand> {
    let demand = |index: usize| ModelDemand {
        model: named(&format!("model-{index:04}")),
        tokens_per_second: if round > 0 && index as u64 % 10 == round % 10 {
            PEAK_TOKENS_PER_SECOND
        } else {
            BASE_TOKENS_PER_SECOND
        },
    };
    (0..models).map(demand).collect()
}
