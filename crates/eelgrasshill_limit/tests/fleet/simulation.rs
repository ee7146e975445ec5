//! A simulated fleet of limiters with a log, a network and clocks that fail at random.
//!
//! A seed determines the whole run. All times are in ms of simulated time. The oracle checks the
//! bound: in any window of `t` ms, the fleet admits at most `rate * t + burst` tokens.

mod injection;
mod oracle;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, OrgName, Version, ZoneName};
use eelgrasshill_limit::{
    Admission, Amount, BorrowReply, BorrowRequest, Effect, Holder, Ledger, Limit, LimitRefusal,
    LimitSettings, Limiter, Process, ReservationId, RightsRecord, Safeguards, Share,
};
use oracle::Violation;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::faults::{DeliveryPoint, InjectedFault, MessageKind, RunConfig, ScriptedEvent};

/// The longest step of the fleet, in a few steps and in the others.
const LONG_STEP_MS: u64 = 800;
const STEP_MS: u64 = 60;

/// How often a step may be long, in thousandths.
const LONG_STEP_PERMILLE: u32 = 30;

/// How often a host starts from a snapshot, in thousandths.
const SNAPSHOT_START_PERMILLE: u32 = 500;

/// How often a random fault may last for three leases, in thousandths.
const LONG_FAULT_PERMILLE: u32 = 300;

/// The longest duration of the other random faults.
const SHORT_FAULT_MS: u64 = 2_500;

/// The longest delay of a message without a fault.
const NORMAL_DELAY_MS: u64 = 5;

/// The additional delay that an injected fault causes.
const INJECTED_DELAY_MS: u64 = 4_000;

/// How often a host gets a request in a step with light load, in thousandths.
const LIGHT_LOAD_PERMILLE: u32 = 150;

/// Settings with short times, so that leases expire often within a run.
pub fn settings(lease_ms: u64) -> LimitSettings {
    LimitSettings {
        lease_ttl: Duration::from_millis(lease_ms),
        renew_interval: Duration::from_secs(3),
        append_timeout: Duration::from_millis(400),
        propagation_delay: Duration::from_secs(2),
        max_staleness: Duration::from_secs(1),
        ..LimitSettings::default()
    }
}

/// A running process of a host.
struct Instance<S> {
    limiter: Limiter<S>,
    started_at: u64,
    clock_offset: u64,
    drift_permille: i64,
    records_read: usize,
    limits_read: usize,
    /// When the process read the newest limit.
    limit_read_at: u64,
    /// Open reservations, each with the tokens to use and the time to settle.
    reservations: Vec<(ReservationId, u64, u64)>,
    leaving: bool,
    /// The cost of the first waiting request.
    waiting_cost: Option<u64>,
}

/// A host, whether its process runs or not.
struct HostSlot<S> {
    host: HostName,
    zone: usize,
    address: std::net::SocketAddr,
    incarnation: u64,
    instance: Option<Instance<S>>,
    /// Until when the process is suspended.
    paused_until: u64,
    /// When a stopped host starts again.
    restart_at: u64,
}

/// How many requests the hosts get for a while.
#[derive(Clone, Copy)]
enum LoadPhase {
    Idle,
    Light,
    Overload,
}

/// A message in flight, with the slot of its receiver.
enum Packet {
    Request(usize, BorrowRequest),
    Reply(usize, BorrowReply),
    Append(RightsRecord),
}

/// The fleet, the log, the network and every admission.
pub struct Simulation<S> {
    pub rng: StdRng,
    seed: u64,
    config: RunConfig,
    settings: LimitSettings,
    pub now: u64,
    org: OrgName,
    slots: Vec<HostSlot<S>>,
    zones: Vec<ZoneName>,
    log: Vec<RightsRecord>,
    /// The fold of the whole log.
    reference_ledger: Ledger,
    /// When each limit was set.
    limit_history: Vec<(u64, Share)>,
    /// Messages by delivery time and packet number, which keeps the order of sending.
    in_flight: BTreeMap<(u64, u64), Packet>,
    last_packet_number: u64,
    /// Until when each zone is cut off from other zones and the log.
    partitioned_until: Vec<u64>,
    log_down_until: u64,
    /// Time and used tokens of each admission.
    pub admissions: Vec<(u64, u64)>,
    /// The largest share that may be in use, by time.
    allowed_shares: Vec<(u64, Share)>,
    phase: LoadPhase,
    phase_end: u64,
    /// The burst divided by this is the largest cost of a request.
    cost_divisor: u64,
    pub script: Vec<(u64, ScriptedEvent)>,
    /// A fault that is injected once, at the next message of this kind and point.
    pub targeted_fault: Option<(MessageKind, DeliveryPoint, InjectedFault)>,
    /// If above zero, the targeted fault is not injected in the first 5 s.
    pub skip_start: u32,
    /// When active lenders first held more rate than allowed, and their rate in micro-tokens per ms.
    pub first_overuse: Option<(u64, u64)>,
}

impl<S: Safeguards> Simulation<S> {
    pub fn new(seed: u64, config: RunConfig) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let zones = (0..rng.random_range(config.min_zones..=3))
            .map(|z| ZoneName::new(&format!("zone-{z}")).unwrap());
        let zones: Vec<_> = zones.collect();
        let share = random_share(&mut rng, config.small_burst);
        let mut slots = Vec::new();
        for zone in 0..zones.len() {
            for _ in 0..rng.random_range(1..=3) {
                let number = slots.len();
                slots.push(HostSlot {
                    host: HostName::new(&format!("entry-{number}")).unwrap(),
                    zone,
                    address: format!("10.0.0.{number}:7000").parse().unwrap(),
                    incarnation: 0,
                    instance: None,
                    paused_until: 0,
                    restart_at: 0,
                });
            }
        }
        let mut simulation = Self {
            partitioned_until: vec![0; zones.len()],
            rng,
            seed,
            config,
            settings: settings(config.lease_ms),
            now: 1,
            org: OrgName::new("lakeshore").unwrap(),
            slots,
            zones,
            log: Vec::new(),
            reference_ledger: Ledger::default(),
            limit_history: vec![(0, share)],
            in_flight: BTreeMap::new(),
            last_packet_number: 0,
            log_down_until: 0,
            admissions: Vec::new(),
            allowed_shares: Vec::new(),
            phase: LoadPhase::Overload,
            phase_end: 0,
            cost_divisor: 1,
            script: Vec::new(),
            targeted_fault: None,
            skip_start: 0,
            first_overuse: None,
        };
        for slot in 0..simulation.slots.len() {
            simulation.start(slot);
        }
        simulation
    }

    /// Runs until a given time and returns the worst window that exceeds the bound.
    pub fn run(mut self, until: u64) -> (Option<Violation>, Self) {
        while self.now < until {
            self.step();
        }
        (self.worst_violation(), self)
    }

    fn holder(&self, slot: usize) -> Holder {
        let slot = &self.slots[slot];
        Holder {
            process: Process {
                host: slot.host.clone(),
                incarnation: Incarnation(slot.incarnation),
            },
            zone: self.zones[slot.zone].clone(),
            address: slot.address,
        }
    }

    fn start(&mut self, slot: usize) {
        self.slots[slot].incarnation += 1;
        let me = self.holder(slot);
        let drift = self.config.max_drift_permille;
        let mut limiter = Limiter::new(me, self.settings);
        let mut records_read = 0;
        let clock_offset = self.rng.random_range(0..1_000_000);
        // Some hosts start from a snapshot instead of the whole log.
        if !self.log.is_empty() && self.chance(SNAPSHOT_START_PERMILLE) {
            limiter = limiter.with_ledger(self.restored_ledger(), Moment(clock_offset));
            records_read = self.log.len();
        }
        self.slots[slot].instance = Some(Instance {
            limiter,
            started_at: self.now,
            clock_offset,
            drift_permille: self.rng.random_range(-drift..=drift),
            records_read,
            limits_read: 0,
            limit_read_at: 0,
            reservations: Vec::new(),
            leaving: false,
            waiting_cost: None,
        });
    }

    /// Returns the ledger restored from the JSON of its snapshot.
    fn restored_ledger(&self) -> Ledger {
        let text = serde_json::to_string(&self.reference_ledger.snapshot().unwrap()).unwrap();
        Ledger::restore(serde_json::from_str(&text).unwrap()).unwrap()
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1000) < permille
    }

    fn local_time(&self, slot: usize) -> Moment {
        let instance = self.slots[slot].instance.as_ref().unwrap();
        let passed = self.now - instance.started_at;
        let skew = i64::try_from(passed).unwrap() * instance.drift_permille / 1000;
        Moment((instance.clock_offset + passed).saturating_add_signed(skew))
    }

    fn is_running(&self, slot: usize) -> bool {
        self.slots[slot].instance.is_some() && self.slots[slot].paused_until <= self.now
    }

    fn is_partitioned(&self, zone: usize) -> bool {
        self.partitioned_until[zone] > self.now
    }

    fn step(&mut self) {
        let max_step_ms = if self.chance(LONG_STEP_PERMILLE) {
            LONG_STEP_MS
        } else {
            STEP_MS
        };
        let target = self.now + self.rng.random_range(1..=max_step_ms);
        while let Some((&(due, id), _packet)) = self.in_flight.first_key_value() {
            if due > target {
                break;
            }
            self.now = self.now.max(due);
            let packet = self.in_flight.remove(&(due, id)).unwrap();
            self.deliver(packet);
        }
        self.now = target;
        self.run_script();
        self.inject_random_faults();
        for slot in 0..self.slots.len() {
            if self.is_running(slot) {
                self.read_log(slot);
                self.poll(slot);
            }
        }
        self.run_traffic();
        self.record_allowed();
    }

    fn inject_random_faults(&mut self) {
        let config = self.config;
        let slot = self.rng.random_range(0..self.slots.len());
        let zone = self.slots[slot].zone;
        let max_fault_ms = if self.chance(LONG_FAULT_PERMILLE) {
            3 * config.lease_ms
        } else {
            SHORT_FAULT_MS
        };
        let fault_ms = self.rng.random_range(1..=max_fault_ms);
        if self.chance(config.crash_permille) && self.slots[slot].instance.take().is_some() {
            self.slots[slot].restart_at =
                self.now + if config.quick_restart { 100 } else { fault_ms };
            self.slots[slot].paused_until = 0;
        }
        if self.chance(config.pause_permille) && self.is_running(slot) {
            self.slots[slot].paused_until = self.now + fault_ms;
        }
        if self.chance(config.drain_permille) && self.is_running(slot) {
            let instance = self.slots[slot].instance.as_mut().unwrap();
            instance.limiter.drain();
            instance.leaving = true;
        }
        if self.chance(config.partition_permille) && !self.is_partitioned(zone) {
            self.partitioned_until[zone] = self.now + fault_ms;
        }
        if self.chance(config.log_outage_permille) && self.log_down_until <= self.now {
            self.log_down_until = self.now + fault_ms;
        }
        if self.chance(config.limit_edit_permille) && self.log_down_until <= self.now {
            let share = random_share(&mut self.rng, config.small_burst);
            self.limit_history.push((self.now, share));
        }
        for slot in 0..self.slots.len() {
            if self.slots[slot].instance.is_none() && self.slots[slot].restart_at <= self.now {
                self.start(slot);
            }
        }
    }

    fn listed_members(&self) -> BTreeSet<Holder> {
        (0..self.slots.len())
            .filter(|&slot| {
                let is_reachable =
                    self.is_running(slot) && !self.is_partitioned(self.slots[slot].zone);
                let leaving = self.slots[slot]
                    .instance
                    .as_ref()
                    .is_some_and(|instance| instance.leaving);
                !leaving && (is_reachable || !self.config.delist)
            })
            .map(|slot| self.holder(slot))
            .collect()
    }

    fn read_log(&mut self, slot: usize) {
        if self.log_down_until > self.now
            || self.is_partitioned(self.slots[slot].zone)
            || self.chance(self.config.skip_read_permille)
        {
            return;
        }
        let now = self.local_time(slot);
        let (org, listed) = (self.org.clone(), self.listed_members());
        let (limit_history, log) = (&self.limit_history, &self.log);
        let instance = self.slots[slot].instance.as_mut().unwrap();
        if instance.limits_read < limit_history.len() {
            let version = Version(limit_history.len() as u64);
            let share = limit_history.last().unwrap().1;
            let limit = Limit { version, share };
            instance.limits_read = limit_history.len();
            instance.limit_read_at = self.now;
            instance
                .limiter
                .configure(version, BTreeMap::from([(org, limit)]), now);
        }
        while instance.records_read < log.len() {
            let offset = Offset(instance.records_read as u64);
            instance
                .limiter
                .read(offset, &log[instance.records_read], now);
            instance.records_read += 1;
        }
        instance.limiter.set_members(listed);
        instance.limiter.mark_caught_up(now);
    }

    fn poll(&mut self, slot: usize) {
        let now = self.local_time(slot);
        let instance = self.slots[slot].instance.as_mut().unwrap();
        for effect in instance.limiter.poll(now) {
            // An injected fault may stop the host between two effects.
            if !self.is_running(slot) {
                return;
            }
            match effect {
                Effect::Borrow { lender, request } => {
                    let to = self.slots.iter().position(|s| s.address == lender.address);
                    self.send(slot, &Packet::Request(to.unwrap(), request));
                }
                Effect::Append(record) => self.send(slot, &Packet::Append(record)),
                Effect::Ready(_organisation) => self.submit_request(slot),
            }
        }
    }

    fn send(&mut self, from: usize, packet: &Packet) {
        let config = self.config;
        let injected = self.take_fault(packet, DeliveryPoint::Sent);
        let to = match packet {
            Packet::Request(to, _) | Packet::Reply(to, _) => Some(*to),
            Packet::Append(_) => None,
        };
        if let Some(fault) = injected {
            self.apply_fault(fault, Some(from), to);
        }
        let zone = self.slots[from].zone;
        let cut = match packet {
            Packet::Request(to, _) | Packet::Reply(to, _) => {
                let other = self.slots[*to].zone;
                zone != other && (self.is_partitioned(zone) || self.is_partitioned(other))
            }
            Packet::Append(_) => self.is_partitioned(zone) || self.log_down_until > self.now,
        };
        if cut {
            return;
        }
        let twice =
            injected == Some(InjectedFault::Duplicate) || self.chance(config.duplicate_permille);
        let copies = if twice { 2 } else { 1 };
        for _copy in 0..copies {
            if injected == Some(InjectedFault::Lose) || self.chance(config.loss_permille) {
                continue;
            }
            let max_delay_ms = if self.chance(config.delay_permille) {
                config.max_delay_ms
            } else {
                NORMAL_DELAY_MS
            };
            let mut due = self.now + self.rng.random_range(1..=max_delay_ms);
            if injected == Some(InjectedFault::Delay) {
                due += INJECTED_DELAY_MS;
            }
            self.last_packet_number += 1;
            let copy = match packet {
                Packet::Request(to, request) => Packet::Request(*to, request.clone()),
                Packet::Reply(to, reply) => Packet::Reply(*to, reply.clone()),
                Packet::Append(record) => Packet::Append(record.clone()),
            };
            self.in_flight.insert((due, self.last_packet_number), copy);
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let injected = self.take_fault(&packet, DeliveryPoint::Received);
        let (from, to) = self.endpoints(&packet);
        self.handle(packet);
        if let Some(fault) = injected {
            self.apply_fault(fault, from, to);
        }
    }

    /// Returns the slots of the sender and the receiver, as far as the message names them.
    fn endpoints(&self, packet: &Packet) -> (Option<usize>, Option<usize>) {
        let slot = |process: &Process| self.slots.iter().position(|s| s.host == process.host);
        match packet {
            Packet::Request(to, request) => (slot(&request.borrower), Some(*to)),
            Packet::Reply(to, reply) => (slot(&reply.lender), Some(*to)),
            Packet::Append(record) => {
                let author = match record {
                    RightsRecord::Renew { process, .. } | RightsRecord::Release { process } => {
                        process
                    }
                    RightsRecord::Transfer { from, .. } => from,
                    RightsRecord::Takeover { holder, .. } => &holder.process,
                    _ => return (None, None),
                };
                (slot(author), None)
            }
        }
    }

    fn handle(&mut self, packet: Packet) {
        let to = match &packet {
            Packet::Append(record) => {
                self.reference_ledger
                    .apply(Offset(self.log.len() as u64), record);
                self.log.push(record.clone());
                return;
            }
            Packet::Request(to, _) | Packet::Reply(to, _) => *to,
        };
        if self.slots[to].instance.is_none() {
            return;
        }
        if !self.is_running(to) {
            // A suspended process receives its messages when it resumes.
            self.last_packet_number += 1;
            self.in_flight.insert(
                (self.slots[to].paused_until, self.last_packet_number),
                packet,
            );
            return;
        }
        let now = self.local_time(to);
        let limiter = &mut self.slots[to].instance.as_mut().unwrap().limiter;
        match packet {
            Packet::Request(_to, request) => {
                let Some(reply) = limiter.lend(&request, now) else {
                    return;
                };
                let host = &request.borrower.host;
                let back = self.slots.iter().position(|s| s.host == *host).unwrap();
                self.send(to, &Packet::Reply(back, reply));
            }
            Packet::Reply(_to, reply) => {
                limiter.receive(&reply, now);
                self.poll(to);
            }
            Packet::Append(_) => unreachable!("records go to the log"),
        }
    }

    fn run_traffic(&mut self) {
        if self.now >= self.phase_end {
            let phase = [LoadPhase::Idle, LoadPhase::Light, LoadPhase::Overload]
                [self.rng.random_range(0..3)];
            self.phase = if self.config.overload {
                LoadPhase::Overload
            } else {
                phase
            };
            let max_phase_ms = [1_000, 5_000, 15_000][self.rng.random_range(0..3)];
            self.phase_end = self.now + self.rng.random_range(1..=max_phase_ms);
            let cost_divisors = if self.config.small_costs {
                [8, 8, 20, 50]
            } else {
                [2, 8, 20, 50]
            };
            self.cost_divisor = cost_divisors[self.rng.random_range(0..4)];
        }
        for slot in 0..self.slots.len() {
            if !self.is_running(slot) {
                continue;
            }
            let request_count = match self.phase {
                LoadPhase::Idle => 0,
                LoadPhase::Light => u32::from(self.chance(LIGHT_LOAD_PERMILLE)),
                LoadPhase::Overload => 4,
            };
            for _request in 0..request_count {
                self.submit_request(slot);
            }
            self.poll(slot);
            self.settle(slot);
        }
    }

    fn settle(&mut self, slot: usize) {
        if !self.is_running(slot) {
            return;
        }
        let (now, local) = (self.now, self.local_time(slot));
        let instance = self.slots[slot].instance.as_mut().unwrap();
        let (due, reservations) = instance
            .reservations
            .drain(..)
            .partition(|(_id, _used, at)| *at <= now);
        instance.reservations = reservations;
        for (id, used, _at) in due {
            assert!(
                instance.limiter.settle(id, used, local),
                "seed {}: an open reservation was not settled",
                self.seed
            );
            assert!(!instance.limiter.settle(id, used, local), "settled twice");
        }
    }

    fn submit_request(&mut self, slot: usize) {
        let now = self.local_time(slot);
        let burst = self.limit_history.last().unwrap().1.burst.tokens();
        let most = burst / self.cost_divisor;
        let cost = self.rng.random_range(1..=most.max(1));
        let partial = self.chance(self.config.partial_use_permille);
        let instance = self.slots[slot].instance.as_mut().unwrap();
        let cost = instance.waiting_cost.take().unwrap_or(cost);
        match instance.limiter.admit(&self.org, cost, now) {
            Admission::Admitted(id) => {
                let used = if partial {
                    self.rng.random_range(0..=cost)
                } else {
                    cost
                };
                let at = self.now + self.rng.random_range(0..=4_000);
                instance.reservations.push((id, used, at));
                self.admissions.push((self.now, used));
            }
            Admission::Wait(until) => {
                assert!(
                    until > now,
                    "a request must wait until {until:?}, which is not after now, {now:?}"
                );
                instance.waiting_cost = Some(cost);
            }
            Admission::Refused(LimitRefusal::TooLarge { cost, burst }) => assert!(
                cost > burst,
                "a cost of {cost} was refused as too large for a burst of {burst}"
            ),
            Admission::Refused(_) => {
                instance.waiting_cost = self.rng.random_bool(0.9).then_some(cost);
            }
        }
    }
}

fn random_share(rng: &mut StdRng, small_burst: bool) -> Share {
    if small_burst {
        let rate = 1_000 * [200, 400][rng.random_range(0..2)];
        let burst = Amount::from_tokens(100);
        return Share {
            milli_tokens_per_second: rate,
            burst,
        };
    }
    Share {
        milli_tokens_per_second: 1_000 * [20, 100, 400][rng.random_range(0..3)],
        burst: Amount::from_tokens([100, 300, 1_000][rng.random_range(0..3)]),
    }
}
