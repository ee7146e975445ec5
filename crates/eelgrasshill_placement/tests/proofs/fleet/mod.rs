//! Simulates a fleet: a log, engines and lease candidates with independent clocks.
//!
//! It injects faults and checks after every message that no engine is overcommitted, that no
//! load limit is exceeded, and that no zone has two valid lease holders.

pub mod engine;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::fmt::Debug;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{
    Fencing, Host, HostName, Incarnation, Model, ModelName, Moment, Offset, Pool, PoolKind,
    PoolName, Tables, ZoneName,
};
use eelgrasshill_placement::{
    Action, Assignment, Budget, Controller, Effect, Event, LeaseEntry, LeaseRecord, LeaseTimings,
    OrderTimings, Settings, ZoneRequirement,
};
use engine::FakeEngine;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A mechanism that is switched off to show that the checks then fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disabled {
    Nothing,
    /// Engines accept old fencing tokens although the tables say that they check them.
    Fencing,
    /// Successors do not read the intents of their predecessor.
    Intents,
    /// Memory counts as free once its unload is sent.
    UnloadReport,
    /// Each zone takes three times its share of the store's limits.
    Shares,
    /// Every second candidate claims before the old lease has expired.
    ClaimWait,
}

/// A step of the lease, order or report protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Claim,
    Renew,
    Intent,
    Order,
    Report,
    Resolved,
    Release,
}

/// A fault that is injected at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Lost,
    Late,
    Duplicated,
    AnswerLost,
    CrashBefore,
    CrashAfter,
    Pause,
    LogOutage,
    Partitioned,
    EngineCrash,
}

/// The probabilities and limits of random faults.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// Probability that a message is lost, delayed or duplicated.
    pub message_probability: f64,
    /// Probability per second of each kind of major fault, such as a crash.
    pub major_probability_per_s: f64,
    /// Time at which faults end, in ms.
    pub until_ms: u64,
    /// Longest delay of an order, in ms.
    pub max_late_ms: u64,
    /// Whether engines crash.
    pub engine_crashes: bool,
}

impl FaultRates {
    pub const NONE: Self = Self {
        message_probability: 0.0,
        major_probability_per_s: 0.0,
        until_ms: 0,
        max_late_ms: 1,
        engine_crashes: false,
    };
}

/// A message or timer of the simulation.
///
/// The first number is the index of the candidate, the second its incarnation at the time of
/// sending.
#[derive(Clone, Debug)]
enum Message {
    Tick(usize, u64),
    Poll(usize, u64),
    Deliver(usize, u64, Event),
    /// A poll that reaches an engine; the moment is its sending by the candidate's clock.
    Query(usize, u64, HostName, Moment),
    Order(usize, u64, HostName, eelgrasshill_placement::Order),
    /// An append that reaches the log; the flag says whether its answer can arrive.
    Append(usize, u64, LeaseEntry, bool),
    Read(usize, u64, Offset),
    Restart(usize),
    EngineUp(HostName),
    EverySecond,
}

struct Candidate {
    zone: ZoneName,
    controller: Controller,
    /// Number of starts so far.
    incarnation: u64,
    /// Time on the host's clock when the simulation starts, in ms.
    clock_offset_ms: u64,
    /// Speed of the host's clock, in permille of real time.
    clock_permille: u64,
    up: bool,
    paused_until_ms: u64,
    partitioned_until_ms: u64,
}

pub struct Fleet {
    /// Simulated time, in ms.
    pub now: u64,
    pub tables: Arc<Tables>,
    pub engines: BTreeMap<HostName, FakeEngine>,
    pub violations: Vec<String>,
    /// A fault to inject once, and the step at which it is injected.
    pub trigger: Option<(Step, Fault)>,
    pub triggered: bool,
    pub order_counts: BTreeMap<&'static str, u32>,
    /// Time in ms, zone and fencing token of each acquired lease.
    pub takeovers: Vec<(u64, ZoneName, Offset)>,
    pub log_outage_until_ms: u64,
    /// Whether each finished miss was met, by candidate index and model.
    pub misses: BTreeMap<(usize, ModelName), bool>,
    settings: Settings,
    rng: StdRng,
    fault_rates: FaultRates,
    disabled: Disabled,
    /// Time in ms and number of each scheduled message, the earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    messages: BTreeMap<u64, Message>,
    seq: u64,
    logs: BTreeMap<ZoneName, Vec<LeaseEntry>>,
    candidates: Vec<Candidate>,
    /// Time in ms, engine and lost models of each recent engine crash.
    recent_crashes: Vec<(u64, HostName, BTreeSet<ModelName>)>,
}

/// The zones, engines, models and lease candidates of a fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    pub zones: Vec<&'static str>,
    /// Zone index, memory in MB and fencing of each engine.
    pub engines: Vec<(usize, u64, Fencing)>,
    pub model_memory_mb: Vec<u64>,
    pub candidates_per_zone: usize,
    pub adapters_per_model: usize,
}

/// Interval between the ticks of a candidate, in ms.
const TICK_MS: u64 = 200;
/// Interval between the polls of all engines by a candidate, in ms.
const POLL_MS: u64 = 700;
/// Interval between the injections of random faults, in ms.
const SECOND_MS: u64 = 1000;
/// Duration of a model load, in ms.
const MODEL_LOAD_MS: u64 = 1500;
/// Additional delay of a late report, in ms.
const LATE_REPORT_MS: u64 = 6000;
/// Time between a report and its duplicate, in ms.
const DUPLICATE_REPORT_MS: u64 = 4000;
/// Longest random delay of an append, in ms.
const MAX_LATE_APPEND_MS: u64 = 8000;
/// Additional delay of a late or duplicated message that a trigger causes, in ms.
const LATE_MESSAGE_MS: u64 = 20_000;
/// Time until a crashed or drained process starts again, in ms.
const RESTART_MS: u64 = 3000;
/// Duration of a triggered pause, log outage or partition, in ms.
const TRIGGERED_OUTAGE_MS: u64 = 15_000;
/// Time after which a candidate notices that the answer to its append is lost, in ms.
const LOST_ANSWER_TIMEOUT_MS: u64 = 1000;
/// Time during which controllers may still count the models of a crashed engine, in ms.
const CRASH_UNNOTICED_MS: u64 = 10_000;
/// Width of the range of delays that are close to the maximum, in ms.
const NEAR_MAX_MS: u64 = 3000;
/// Time by which the poll of a premature unload report lies ahead, in ms.
const PREMATURE_POLL_MS: u64 = 400;
/// Probability per second that the demand for a model changes.
const DEMAND_PROBABILITY_PER_S: f64 = 0.2;
/// Probability per second that a request misses a model.
const MISS_PROBABILITY_PER_S: f64 = 0.3;
/// Longest time that a request waits for a missed model.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Delay of changes to the host list, in ms.
const HOST_LIST_LAG_MS: u64 = 2000;
/// Memory of one adapter, in MB.
const ADAPTER_MB: u64 = 3;

impl Layout {
    /// Returns two zones, each with one engine per kind of fencing.
    pub fn small() -> Self {
        let engines = [
            Fencing::Checked,
            Fencing::Ignored,
            Fencing::Checked,
            Fencing::Ignored,
        ];
        let engines = engines
            .into_iter()
            .enumerate()
            .map(|(index, fencing)| (index / 2, 100, fencing));
        Self {
            zones: vec!["north", "south"],
            engines: engines.collect(),
            model_memory_mb: vec![40, 35, 30, 25, 20],
            candidates_per_zone: 2,
            adapters_per_model: 3,
        }
    }

    /// Returns three zones, none of which has memory for all models.
    pub fn tight() -> Self {
        let kinds = [Fencing::Checked, Fencing::Checked, Fencing::Ignored];
        Self {
            zones: vec!["north", "south", "west"],
            engines: (0..9)
                .map(|index| (index / 3, 80, kinds[index % 3]))
                .collect(),
            model_memory_mb: vec![40, 40, 35, 30, 30, 25, 20, 20, 20],
            candidates_per_zone: 2,
            adapters_per_model: 2,
        }
    }

    pub fn with_fencing(mut self, fencing: Fencing) -> Self {
        for engine in &mut self.engines {
            engine.2 = fencing;
        }
        self
    }

    pub fn tables(&self) -> Tables {
        let pool: PoolName = named("chat");
        let mut tables = Tables::default();
        tables.pools.insert(
            pool.clone(),
            Pool {
                kind: PoolKind::Engines,
            },
        );
        for (index, (zone, memory, fencing)) in self.engines.iter().enumerate() {
            let host = Host {
                pool: pool.clone(),
                zone: named(self.zones[*zone]),
                address: named("10.0.0.1:80"),
                memory_mb: *memory,
                accelerators: 1,
                fencing: *fencing,
            };
            tables
                .hosts
                .insert(named(&format!("engine-{index:03}")), host);
        }
        let adapters = 0..self.adapters_per_model;
        let adapters: Vec<_> = adapters
            .map(|index| named(&format!("adapter-{index}")))
            .collect();
        for (index, memory) in self.model_memory_mb.iter().enumerate() {
            let model = Model {
                pool: pool.clone(),
                memory_mb: *memory,
                version: "v1".to_owned(),
                adapters: adapters.clone(),
            };
            tables
                .models
                .insert(named(&format!("model-{index:04}")), model);
        }
        tables
    }

    /// Returns settings with short time limits, so that a run covers many lease terms.
    pub fn settings(&self) -> Settings {
        let zones: Vec<_> = self
            .zones
            .iter()
            .map(|zone| named::<ZoneName>(zone))
            .collect();
        let lease = LeaseTimings {
            claim_stagger: Duration::from_millis(700),
            ..LeaseTimings::default()
        };
        let orders = OrderTimings {
            resend_window: Duration::from_secs(10),
            max_lateness: Duration::from_mins(1),
            report_timeout: Duration::from_secs(4),
            ..OrderTimings::default()
        };
        let settings = Settings::new(named("entry"), zones[0].clone(), zones);
        let mut settings = settings.with_lease(lease).with_orders(orders);
        settings.adapter_memory_mb = ADAPTER_MB;
        settings.budget = Budget {
            loads_per_second: 2.5,
            load_slots: 3,
            adapter_slots: 6,
        };
        settings
    }
}

impl Fleet {
    pub fn new(
        layout: &Layout,
        settings: Settings,
        fault_rates: FaultRates,
        disabled: Disabled,
        seed: u64,
    ) -> Self {
        let tables = layout.tables();
        let engines = tables.hosts.iter().map(|(name, host)| {
            let mut engine = FakeEngine::new(
                name.clone(),
                host.zone.clone(),
                host.fencing,
                host.memory_mb,
                MODEL_LOAD_MS,
            );
            engine.adapter_memory_mb = settings.adapter_memory_mb;
            (name.clone(), engine)
        });
        let engines = engines.collect();
        let mut fleet = Self {
            now: 0,
            engines,
            tables: Arc::new(tables),
            violations: Vec::new(),
            trigger: None,
            triggered: false,
            order_counts: BTreeMap::new(),
            takeovers: Vec::new(),
            log_outage_until_ms: 0,
            misses: BTreeMap::new(),
            settings,
            rng: StdRng::seed_from_u64(seed),
            fault_rates,
            disabled,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            seq: 0,
            logs: BTreeMap::new(),
            candidates: Vec::new(),
            recent_crashes: Vec::new(),
        };
        for zone in fleet.settings.zones.clone() {
            for _ in 0..layout.candidates_per_zone {
                let index = fleet.candidates.len();
                let (clock_offset_ms, clock_permille) = (
                    fleet.rng.random_range(1..100_000),
                    fleet.rng.random_range(990..1010),
                );
                let controller = Controller::new(fleet.settings.clone());
                let (up, paused_until_ms, partitioned_until_ms) = (false, 0, 0);
                let zone = zone.clone();
                fleet.candidates.push(Candidate {
                    zone,
                    controller,
                    incarnation: 0,
                    clock_offset_ms,
                    clock_permille,
                    up,
                    paused_until_ms,
                    partitioned_until_ms,
                });
                fleet.start_candidate(index);
            }
        }
        fleet.schedule(SECOND_MS, Message::EverySecond);
        fleet
    }

    fn schedule(&mut self, delay_ms: u64, message: Message) {
        self.seq += 1;
        self.queue.push(Reverse((self.now + delay_ms, self.seq)));
        self.messages.insert(self.seq, message);
    }

    fn start_candidate(&mut self, index: usize) {
        let zone = self.candidates[index].zone.clone();
        let incarnation = self.candidates[index].incarnation + 1;
        let mut settings = self
            .settings
            .clone()
            .with_incarnation(Incarnation(incarnation));
        settings.host = candidate_name(index);
        settings.zone = zone.clone();
        if self.disabled == Disabled::Shares {
            // Each of the three zones takes the whole budget.
            settings.budget.load_slots *= 3;
            settings.budget.loads_per_second *= 3.0;
        }
        if self.disabled == Disabled::ClaimWait {
            settings.lease.renew_interval = Duration::from_millis(400);
        }
        // Candidates with an odd index consider a lease expired after 1 s.
        if self.disabled == Disabled::ClaimWait && index % 2 == 1 {
            settings.lease.ttl = Duration::from_secs(1);
            settings.lease.clock_margin = Duration::ZERO;
        }
        let host = &mut self.candidates[index];
        host.controller = Controller::new(settings);
        (host.incarnation, host.up, host.paused_until_ms) = (incarnation, true, 0);
        let candidates =
            (0..self.candidates.len()).filter(|other| self.candidates[*other].zone == zone);
        let candidates = candidates.map(candidate_name).collect();
        let gone = self
            .engines
            .values()
            .filter(|e| !e.up)
            .map(|e| e.name.clone())
            .collect();
        self.handle_event(index, Event::Tables(Arc::clone(&self.tables)));
        self.handle_event(
            index,
            Event::Members {
                candidates,
                leaving: BTreeSet::new(),
                gone,
            },
        );
        self.schedule(1, Message::Tick(index, incarnation));
        self.schedule(2, Message::Poll(index, incarnation));
    }

    fn clock(&self, index: usize) -> Moment {
        Moment(
            self.candidates[index].clock_offset_ms
                + self.now * self.candidates[index].clock_permille / 1000,
        )
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((time, seq))) = self.queue.peek().copied() {
            if time > until {
                break;
            }
            self.queue.pop();
            self.now = time;
            for engine in self.engines.values_mut() {
                engine.advance(time);
            }
            if let Some(message) = self.messages.remove(&seq) {
                self.deliver(message);
            }
            self.check_limits();
            self.check_leases();
        }
        self.now = until;
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Tick(index, incarnation) => {
                if self.is_awake_or_defer(index, incarnation, Message::Tick(index, incarnation)) {
                    self.handle_event(index, Event::Tick);
                    self.schedule(TICK_MS, Message::Tick(index, incarnation));
                }
            }
            Message::Poll(index, incarnation) => {
                if self.is_awake_or_defer(index, incarnation, Message::Poll(index, incarnation)) {
                    self.poll(index, incarnation);
                    self.schedule(POLL_MS, Message::Poll(index, incarnation));
                }
            }
            Message::Deliver(index, incarnation, event) => {
                if self.is_awake_or_defer(
                    index,
                    incarnation,
                    Message::Deliver(index, incarnation, event.clone()),
                ) {
                    self.handle_event(index, event);
                }
            }
            Message::Query(index, incarnation, name, sent) => {
                self.answer_poll(index, incarnation, &name, sent);
            }
            Message::Order(index, incarnation, name, order) => {
                self.execute_order(index, incarnation, &name, &order);
            }
            Message::Append(index, incarnation, entry, answered) => {
                self.append(index, incarnation, entry, answered);
            }
            Message::Read(index, incarnation, from) => self.read(index, incarnation, from),
            Message::Restart(index) => self.start_candidate(index),
            Message::EngineUp(name) => {
                let engine = self
                    .engines
                    .get_mut(&name)
                    .expect("engines are never removed");
                engine.up = true;
                self.announce_members();
            }
            Message::EverySecond => {
                self.inject_faults();
                self.announce_members();
                self.schedule(SECOND_MS, Message::EverySecond);
            }
        }
    }

    /// Returns whether the candidate still runs in this incarnation and is not paused.
    ///
    /// If it is paused, the message is delivered after the pause.
    fn is_awake_or_defer(&mut self, index: usize, incarnation: u64, message: Message) -> bool {
        let host = &self.candidates[index];
        if !host.up || host.incarnation != incarnation {
            return false;
        }
        if host.paused_until_ms > self.now {
            self.schedule(host.paused_until_ms - self.now, message);
            return false;
        }
        true
    }

    fn poll(&mut self, index: usize, incarnation: u64) {
        let requested_at = self.clock(index);
        for name in self.engines.keys().cloned().collect::<Vec<_>>() {
            let delay_ms = self.network_delay_ms();
            if !self.loses_message() {
                self.schedule(
                    delay_ms,
                    Message::Query(index, incarnation, name, requested_at),
                );
            }
        }
    }

    fn answer_poll(
        &mut self,
        index: usize,
        incarnation: u64,
        name: &HostName,
        requested_at: Moment,
    ) {
        let now = self.now;
        let engine = self
            .engines
            .get_mut(name)
            .expect("engines are never removed");
        if !engine.up {
            return;
        }
        let report = engine.report(now);
        let event = Event::Report {
            report,
            requested_at,
        };
        let fault = self.inject_triggered_fault(Step::Report, index, Some(name));
        let (lost, mut delay_ms) = (self.loses_message(), self.network_delay_ms());
        if lost || fault == Some(Fault::Lost) {
            return;
        }
        if fault == Some(Fault::Late) || self.happens(self.fault_rates.message_probability) {
            delay_ms += LATE_REPORT_MS;
        }
        if fault == Some(Fault::Duplicated) || self.happens(self.fault_rates.message_probability) {
            self.schedule(
                delay_ms + DUPLICATE_REPORT_MS,
                Message::Deliver(index, incarnation, event.clone()),
            );
        }
        self.schedule(delay_ms, Message::Deliver(index, incarnation, event));
    }

    pub fn handle_event(&mut self, index: usize, event: Event) {
        let now = self.clock(index);
        let effects = self.candidates[index].controller.handle(event, now);
        for effect in effects {
            if !self.candidates[index].up {
                return;
            }
            self.perform(index, effect);
        }
    }

    pub fn broadcast(&mut self, event: &Event) {
        for index in 0..self.candidates.len() {
            let incarnation = self.candidates[index].incarnation;
            self.schedule(
                1 + index as u64,
                Message::Deliver(index, incarnation, event.clone()),
            );
        }
    }

    fn perform(&mut self, index: usize, effect: Effect) {
        let incarnation = self.candidates[index].incarnation;
        match effect {
            Effect::Append { id, record } => {
                let step = match record {
                    LeaseRecord::Claim { .. } => Step::Claim,
                    LeaseRecord::Renew { .. } => Step::Renew,
                    LeaseRecord::Intent { .. } => Step::Intent,
                    LeaseRecord::Resolved { .. } => Step::Resolved,
                    LeaseRecord::Release { .. } => Step::Release,
                };
                let entry = LeaseEntry {
                    offset: Offset(0),
                    id,
                    record,
                };
                self.send(index, step, None, |answered| {
                    Message::Append(index, incarnation, entry.clone(), answered)
                });
            }
            Effect::Read(from) => {
                let delay_ms = self.network_delay_ms();
                self.schedule(delay_ms, Message::Read(index, incarnation, from));
            }
            Effect::Send { engine, order } => {
                if self.disabled == Disabled::UnloadReport {
                    self.deliver_premature_unload_report(
                        index,
                        incarnation,
                        &engine,
                        &order.action,
                    );
                }
                *self
                    .order_counts
                    .entry(action_kind(&order.action))
                    .or_default() += 1;
                if !self.engines[&engine].up {
                    // No process is listening, so the connection is refused.
                    return;
                }
                let target = engine.clone();
                self.send(index, Step::Order, Some(&target), |_reply| {
                    Message::Order(index, incarnation, engine.clone(), order.clone())
                });
            }
            Effect::Acquired(fence) => {
                let zone = self.candidates[index].zone.clone();
                self.takeovers.push((self.now, zone, fence));
            }
            Effect::MissMet { model, .. } => {
                self.misses.insert((index, model), true);
            }
            Effect::MissExpired { model, .. } => {
                self.misses.insert((index, model), false);
            }
            Effect::Lost => {}
        }
    }

    /// Delivers a report as if the unload had already freed its memory.
    ///
    /// Its poll time lies ahead, so that it counts as newer than the order.
    fn deliver_premature_unload_report(
        &mut self,
        index: usize,
        incarnation: u64,
        name: &HostName,
        action: &Action,
    ) {
        let Action::Unload { model } = action else {
            return;
        };
        let now = self.now;
        let requested_at = Moment(self.clock(index).0 + PREMATURE_POLL_MS);
        let engine = &self.engines[name];
        let freed: u64 = engine
            .resident
            .iter()
            .filter(|((m, _v), _c)| m == model)
            .map(|(_k, c)| c.0)
            .sum();
        let mut report = self
            .engines
            .get_mut(name)
            .expect("engines are never removed")
            .report(now);
        report.used_mb -= freed.min(report.used_mb);
        report.resident.retain(|resident| resident.model != *model);
        report.age_ms = 0;
        self.schedule(
            3,
            Message::Deliver(
                index,
                incarnation,
                Event::Report {
                    report,
                    requested_at,
                },
            ),
        );
    }

    /// Sends a message, subject to random faults and to the triggered fault.
    fn send(
        &mut self,
        index: usize,
        step: Step,
        engine: Option<&HostName>,
        message: impl Fn(bool) -> Message,
    ) {
        let fault = self.inject_triggered_fault(step, index, engine);
        let mut delay_ms = self.network_delay_ms();
        if matches!(fault, Some(Fault::Lost | Fault::CrashBefore)) || self.loses_message() {
            return;
        }
        if fault == Some(Fault::Pause) {
            delay_ms += self.candidates[index].paused_until_ms - self.now;
        }
        let max_late_ms = if step == Step::Order {
            self.fault_rates.max_late_ms
        } else {
            MAX_LATE_APPEND_MS
        };
        // The delay of a duplicate counts from the sending of the original, so that it also arrives
        // within the maximum lateness.
        if fault == Some(Fault::Duplicated) {
            self.schedule(delay_ms + LATE_MESSAGE_MS, message(true));
        } else if self.happens(self.fault_rates.message_probability) {
            let extra_ms = self.random_lateness_ms(max_late_ms);
            self.schedule(delay_ms + extra_ms, message(true));
        }
        if fault == Some(Fault::Late) {
            delay_ms += LATE_MESSAGE_MS;
        } else if self.happens(self.fault_rates.message_probability) {
            delay_ms += self.random_lateness_ms(max_late_ms);
        }
        self.schedule(delay_ms, message(fault != Some(Fault::AnswerLost)));
    }

    fn inject_triggered_fault(
        &mut self,
        step: Step,
        index: usize,
        engine: Option<&HostName>,
    ) -> Option<Fault> {
        let (trigger_step, fault) = self.trigger?;
        // All candidates poll reports, but the fault is injected only for the lease holder.
        if trigger_step != step
            || self.triggered
            || (step == Step::Report && self.candidates[index].controller.fence().is_none())
        {
            return None;
        }
        self.triggered = true;
        match fault {
            Fault::CrashBefore | Fault::CrashAfter => self.crash(index, RESTART_MS),
            Fault::Pause => self.candidates[index].paused_until_ms = self.now + TRIGGERED_OUTAGE_MS,
            Fault::LogOutage => self.log_outage_until_ms = self.now + TRIGGERED_OUTAGE_MS,
            Fault::Partitioned => {
                self.candidates[index].partitioned_until_ms = self.now + TRIGGERED_OUTAGE_MS;
            }
            Fault::EngineCrash => {
                let first = self.engines.keys().next().cloned();
                if let Some(name) = engine.cloned().or(first) {
                    self.crash_engine(&name, RESTART_MS);
                }
            }
            Fault::Lost | Fault::Late | Fault::Duplicated | Fault::AnswerLost => {}
        }
        Some(fault)
    }

    fn append(&mut self, index: usize, incarnation: u64, entry: LeaseEntry, answered: bool) {
        let partitioned = self.candidates[index].partitioned_until_ms > self.now;
        let outage = self.log_outage_until_ms > self.now;
        let unknown = Event::AppendUnknown(entry.id.clone());
        if partitioned || outage {
            // An append may take effect although the log answers that it is unavailable.
            if partitioned || !self.happens(self.fault_rates.message_probability) {
                self.schedule(5, Message::Deliver(index, incarnation, unknown));
                return;
            }
        }
        let log = self
            .logs
            .entry(self.candidates[index].zone.clone())
            .or_default();
        let offset = Offset(log.len() as u64);
        let id = entry.id.clone();
        log.push(LeaseEntry { offset, ..entry });
        let lost = outage || !answered || self.loses_message();
        let event = if lost {
            unknown
        } else {
            Event::AppendDone(id, offset)
        };
        let delay_ms = self.network_delay_ms() + if lost { LOST_ANSWER_TIMEOUT_MS } else { 0 };
        self.schedule(delay_ms, Message::Deliver(index, incarnation, event));
    }

    fn read(&mut self, index: usize, incarnation: u64, from: Offset) {
        let delay_ms = self.network_delay_ms();
        if self.candidates[index].partitioned_until_ms > self.now
            || self.log_outage_until_ms > self.now
            || self.loses_message()
        {
            self.schedule(
                delay_ms,
                Message::Deliver(index, incarnation, Event::ReadFailed),
            );
            return;
        }
        let own = format!("{}:", candidate_name(index));
        let log = self
            .logs
            .get(&self.candidates[index].zone)
            .map_or(&[][..], Vec::as_slice);
        let mut entries = log[offset_index(from).min(log.len())..].to_vec();
        for entry in &mut entries {
            if self.disabled == Disabled::Intents
                && !entry.id.as_str().starts_with(&own)
                && let LeaseRecord::Intent { intents, .. } = &mut entry.record
            {
                intents.clear();
            }
        }
        self.schedule(
            delay_ms,
            Message::Deliver(index, incarnation, Event::LeaseRead(entries)),
        );
    }

    fn execute_order(
        &mut self,
        index: usize,
        incarnation: u64,
        name: &HostName,
        order: &eelgrasshill_placement::Order,
    ) {
        self.check_late(name, order);
        let (now, fencing_works) = (self.now, self.disabled != Disabled::Fencing);
        let engine = self
            .engines
            .get_mut(name)
            .expect("engines are never removed");
        if !engine.up {
            return;
        }
        let result = engine.execute(order, fencing_works, now);
        for (model, version) in &result.removed {
            self.check_removed(name, model, version);
        }
        let Some(outcome) = result.outcome.filter(|_| !self.loses_message()) else {
            return;
        };
        let event = Event::Answer {
            engine: name.clone(),
            order: order.id,
            outcome,
        };
        let delay_ms = self.network_delay_ms();
        self.schedule(delay_ms, Message::Deliver(index, incarnation, event));
    }

    /// Checks that no order reaches an engine without fencing after the maximum lateness.
    ///
    /// The lateness counts from the takeover by a later term.
    fn check_late(&mut self, name: &HostName, order: &eelgrasshill_placement::Order) {
        let engine = &self.engines[name];
        let mut later_terms = self
            .takeovers
            .iter()
            .filter(|(_takeover_ms, zone, fence)| *zone == engine.zone && *fence > order.fence);
        let max_lateness =
            u64::try_from(self.settings.orders.max_lateness.as_millis()).unwrap_or(u64::MAX);
        if engine.fencing == Fencing::Ignored
            && later_terms.any(|(takeover_ms, _zone, _fence)| {
                self.now > takeover_ms.saturating_add(max_lateness)
            })
        {
            let text = format!(
                "{}: an order of term {} reached {name}, which ignores fencing tokens, more than \
                 {max_lateness} ms after a later term began",
                self.now, order.fence
            );
            self.violations.push(text);
        }
    }

    fn check_removed(&mut self, name: &HostName, model: &ModelName, version: &str) {
        let Some(current) = self.tables.models.get(model) else {
            return;
        };
        // If no engine of the zone has memory for both versions, the outdated one may be unloaded
        // first, while other zones serve the model.
        let replaced = current.version != version;
        self.recent_crashes
            .retain(|(crash_ms, _engine, _models)| self.now < crash_ms + CRASH_UNNOTICED_MS);
        let held = |engine: &HostName| {
            let lost = self
                .recent_crashes
                .iter()
                .any(|(_crash_ms, e, models)| e == engine && models.contains(model));
            lost || self.engines[engine].holds(model)
        };
        let zone = &self.engines[name].zone;
        let holders: Vec<_> = self.engines.keys().filter(|engine| held(engine)).collect();
        let required = Assignment::new(&self.tables, &self.settings.zones).requirement(model, zone)
            == Some(ZoneRequirement::Required);
        let held_in_zone = holders
            .iter()
            .any(|engine| self.engines[*engine].zone == *zone);
        if holders.is_empty() || (required && !held_in_zone && !replaced) {
            let text = format!(
                "{}: the last copy of {model} {version} in {zone} was removed from {name}; \
                 engines that hold the model: {holders:?}",
                self.now
            );
            self.violations.push(text);
        }
    }

    fn check_limits(&mut self) {
        let overcommits: u32 = self.engines.values().map(|engine| engine.overcommits).sum();
        if overcommits > 0
            && !self
                .violations
                .iter()
                .any(|text| text.contains("overcommit"))
        {
            self.violations.push(format!(
                "{}: {overcommits} orders overcommit an engine",
                self.now
            ));
        }
        let loading: usize = self
            .engines
            .values()
            .map(|engine| engine.loading.len())
            .sum();
        let loading_adapters: usize = self
            .engines
            .values()
            .map(|engine| engine.loading_adapters.len())
            .sum();
        let budget = self.settings.budget;
        if loading > budget.load_slots as usize || loading_adapters > budget.adapter_slots as usize
        {
            self.violations.push(format!(
                "{}: {loading} loads (limit {}) and {loading_adapters} adapter loads (limit {}) \
                 at once",
                self.now, budget.load_slots, budget.adapter_slots
            ));
        }
    }

    /// Checks that no zone has two hosts that consider their lease valid.
    fn check_leases(&mut self) {
        let valid = |index: &usize| {
            self.candidates[*index].up
                && self.candidates[*index]
                    .controller
                    .lease()
                    .is_valid(self.clock(*index))
        };
        let holders: Vec<_> = (0..self.candidates.len()).filter(valid).collect();
        let overlapping = holders
            .windows(2)
            .any(|pair| self.candidates[pair[0]].zone == self.candidates[pair[1]].zone);
        if overlapping {
            self.violations.push(format!(
                "{}: two valid holders in one zone among candidates {holders:?}",
                self.now
            ));
        }
    }

    /// Checks the rate of load starts of all engines over every time window.
    pub fn check_rate(&mut self) {
        let mut starts: Vec<_> = self
            .engines
            .values()
            .flat_map(|engine| engine.load_starts_ms.clone())
            .collect();
        starts.sort_unstable();
        let budget = self.settings.budget;
        // Each zone may have one start in reserve, and as many orders as there are load slots
        // may arrive in a burst.
        let burst =
            u32::try_from(self.settings.zones.len()).unwrap_or(u32::MAX) + budget.load_slots;
        for (first, from) in starts.iter().enumerate() {
            for (count, to) in (1_u32..).zip(&starts[first..]) {
                let span = Duration::from_millis(to - from).as_secs_f64();
                if f64::from(count) > budget.loads_per_second * span + f64::from(burst) {
                    self.violations.push(format!(
                        "{count} loads started from {from} to {to} ms, \
                             limit {} per second plus {burst}",
                        budget.loads_per_second
                    ));
                    return;
                }
            }
        }
    }

    /// Returns the models that no engine holds, or no engine of a zone that must hold them.
    pub fn unreachable(&self) -> Vec<String> {
        let assignment = Assignment::new(&self.tables, &self.settings.zones);
        let mut missing = Vec::new();
        for model in self.tables.models.keys() {
            let holders: Vec<_> = self
                .engines
                .values()
                .filter(|engine| engine.holds(model))
                .collect();
            if holders.is_empty() {
                missing.push(format!("{model} nowhere"));
            }
            for (zone, requirement) in assignment.zones(model) {
                if requirement == ZoneRequirement::Required
                    && !holders.iter().any(|engine| engine.zone == *zone)
                {
                    missing.push(format!("{model} in {zone}"));
                }
            }
        }
        missing
    }

    fn inject_faults(&mut self) {
        if self.now >= self.fault_rates.until_ms {
            return;
        }
        // Drains are a quarter as frequent as crashes, log outages half, new versions twice.
        for index in 0..self.candidates.len() {
            if self.happens(self.fault_rates.major_probability_per_s) {
                self.candidates[index].paused_until_ms =
                    self.now + self.rng.random_range(500..15_000);
            }
            if self.happens(self.fault_rates.major_probability_per_s) {
                let down_ms = self.rng.random_range(500..8000);
                self.crash(index, down_ms);
            }
            if self.happens(self.fault_rates.major_probability_per_s) {
                self.candidates[index].partitioned_until_ms =
                    self.now + self.rng.random_range(1000..20_000);
            }
            if self.happens(self.fault_rates.major_probability_per_s / 4.0)
                && self.candidates[index].up
            {
                self.handle_event(index, Event::Drain);
                self.crash(index, RESTART_MS);
            }
        }
        if self.happens(self.fault_rates.major_probability_per_s / 2.0) {
            self.log_outage_until_ms = self.now + self.rng.random_range(1000..25_000);
        }
        if self.fault_rates.engine_crashes && self.happens(self.fault_rates.major_probability_per_s)
        {
            let index = self.rng.random_range(0..self.engines.len());
            if let Some(name) = self.engines.keys().nth(index).cloned() {
                let down_ms = self.rng.random_range(200..6000);
                self.crash_engine(&name, down_ms);
            }
        }
        if self.happens(self.fault_rates.major_probability_per_s * 2.0) {
            self.bump_version();
        }
        if self.happens(DEMAND_PROBABILITY_PER_S) {
            self.shift_demand();
        }
        if self.happens(MISS_PROBABILITY_PER_S) {
            self.request_random_model();
        }
    }

    pub fn request_random_model(&mut self) {
        let names: Vec<_> = self.tables.models.keys().cloned().collect();
        let model = names[self.rng.random_range(0..names.len())].clone();
        let adapters = self.tables.models[&model].adapters.clone();
        let adapter = adapters
            .get(self.rng.random_range(0..=adapters.len()))
            .cloned();
        let max_wait = MAX_WAIT;
        self.broadcast(&Event::Miss {
            model,
            adapter,
            max_wait,
        });
    }

    pub fn shift_demand(&mut self) {
        let names: Vec<_> = self.tables.models.keys().cloned().collect();
        let index = self.rng.random_range(0..names.len());
        let rate = self.rng.random_range(0.0..8000.0);
        let demand = eelgrasshill_placement::ModelDemand {
            model: names[index].clone(),
            tokens_per_second: rate,
        };
        self.broadcast(&Event::Demand(vec![demand]));
    }

    pub fn bump_version(&mut self) {
        let mut tables = Tables::clone(&self.tables);
        let index = self.rng.random_range(0..tables.models.len());
        if let Some(model) = tables.models.values_mut().nth(index) {
            model.version = format!("v{}", self.now);
        }
        self.set_tables(tables);
    }

    pub fn set_tables(&mut self, tables: Tables) {
        self.tables = Arc::new(tables);
        self.broadcast(&Event::Tables(Arc::clone(&self.tables)));
    }

    pub fn drain_holder(&mut self) {
        let holder = (0..self.candidates.len())
            .find(|index| self.candidates[*index].controller.fence().is_some());
        if let Some(index) = holder {
            self.handle_event(index, Event::Drain);
        }
    }

    fn crash(&mut self, index: usize, down_ms: u64) {
        if self.candidates[index].up {
            self.candidates[index].up = false;
            self.schedule(down_ms, Message::Restart(index));
        }
    }

    pub fn crash_engine(&mut self, name: &HostName, down_ms: u64) {
        let engine = self
            .engines
            .get_mut(name)
            .expect("engines are never removed");
        if !engine.up {
            return;
        }
        let models = engine
            .resident
            .keys()
            .map(|(model, _version)| model.clone())
            .collect();
        self.recent_crashes.push((self.now, name.clone(), models));
        engine.clear_memory(false);
        // Orders in transit to the crashed process are lost with its connections.
        self.messages
            .retain(|_seq, message| !matches!(message, Message::Order(_, _, to, _) if to == name));
        self.schedule(down_ms, Message::EngineUp(name.clone()));
        self.announce_members();
    }

    fn announce_members(&mut self) {
        let gone: BTreeSet<_> = self
            .engines
            .values()
            .filter(|e| !e.up)
            .map(|e| e.name.clone())
            .collect();
        for index in 0..self.candidates.len() {
            let zone = self.candidates[index].zone.clone();
            let candidates =
                (0..self.candidates.len()).filter(|other| self.candidates[*other].zone == zone);
            let candidates = candidates.map(candidate_name).collect();
            let (incarnation, gone) = (self.candidates[index].incarnation, gone.clone());
            let lag = HOST_LIST_LAG_MS;
            let event = Event::Members {
                candidates,
                leaving: BTreeSet::new(),
                gone,
            };
            self.schedule(lag, Message::Deliver(index, incarnation, event));
        }
    }

    /// Returns true with this probability while faults are injected.
    fn happens(&mut self, probability: f64) -> bool {
        self.now < self.fault_rates.until_ms && self.rng.random_bool(probability)
    }

    fn loses_message(&mut self) -> bool {
        self.happens(self.fault_rates.message_probability)
    }

    /// Returns a random delay; half of the delays are close to the maximum.
    fn random_lateness_ms(&mut self, max_ms: u64) -> u64 {
        let min_ms = if self.rng.random_bool(0.5) {
            max_ms - max_ms.min(NEAR_MAX_MS)
        } else {
            0
        };
        self.rng.random_range(min_ms..max_ms)
    }

    fn network_delay_ms(&mut self) -> u64 {
        self.rng.random_range(1..20)
    }
}

/// Returns the index of an offset in a log that starts at zero.
pub fn offset_index(offset: Offset) -> usize {
    usize::try_from(offset.0).unwrap_or(usize::MAX)
}

/// Parses a text that is known to be valid.
pub fn named<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("the text is valid")
}

fn candidate_name(index: usize) -> HostName {
    named(&format!("entry-{index}"))
}

fn action_kind(action: &Action) -> &'static str {
    match action {
        Action::Load { .. } => "load",
        Action::Unload { .. } => "unload",
        Action::LoadAdapter { .. } => "load-adapter",
        Action::UnloadAdapter { .. } => "unload-adapter",
        Action::Seal => "seal",
    }
}
