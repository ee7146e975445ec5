//! Simulates hosts in three zones that apply one log, and concurrent operators.

mod faults;
mod operators;
mod oracle;

use std::{collections::BTreeMap, time::Duration};

use eelgrasshill_control::{
    CatchUp, Checkpoint, ConfigEntry, ConfigFold, Heartbeat, ListedHost, LogEntry, LogTime,
    Members, Process, Publication, StateDigest,
};
use eelgrasshill_domain::{
    AppendId, ConfigRecord, HostName, Incarnation, Moment, Offset, ZoneName,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::builders::MS_PER_OFFSET;
use crate::log::{Delivery, SimulatedLog};

pub(crate) const ZONES: usize = 3;
pub(crate) const HOSTS: usize = 15;
/// The longest time for which a connected host may lack a stored record.
pub(crate) const MAX_LAG_MS: u64 = 13_000;
pub(crate) const RETENTION_MS: u64 = 120_000;
const TICK_MS: u64 = 250;

/// How often a faulty link loses, delays or repeats a message.
const LOSS_PROBABILITY: f64 = 0.1;
const DELAY_PROBABILITY: f64 = 0.05;
const REPEAT_PROBABILITY: f64 = 0.05;

/// How often a read of the log fails in a faulty run.
const FAILED_READ_PROBABILITY: f64 = 0.05;

/// The limits of a message's delay, and of the time until it is repeated.
const NORMAL_DELAY_MS: u64 = 10;
const SLOW_DELAY_MS: u64 = 5000;
const REPEAT_DELAY_MS: u64 = 9000;

/// The number of records in a page of the log.
pub(crate) const PAGE_RECORDS: usize = 20;

/// The time between two updates of the platform's host list.
const LIST_INTERVAL_MS: u64 = 5000;

use faults::skip_gap;

pub(crate) use oracle::Violation;

/// The mechanism that a run disables on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disabled {
    Nothing,
    /// Hosts judge a repeated append again.
    DedupeCheck,
    /// Hosts accept edits that are based on an old version.
    VersionCheck,
    /// Checkpoints lack the recent append ids.
    RecentAppends,
    /// Hosts continue although records are missing.
    GapCheck,
    /// Hosts save no checkpoints.
    Checkpoints,
    /// Operators send an unanswered append again with a new id, without a read.
    ReadBeforeRetry,
    /// Hosts do not follow others, so they get no updates from them.
    Following,
}

/// A step at which a fault can be planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
    /// An operator appends an edit.
    Publish,
    /// A host reads a page of the log.
    Adopt,
    /// A host receives an update from a peer.
    Spread,
    /// A host saves a checkpoint.
    Save,
}

#[derive(Clone, Debug)]
enum Message {
    Heartbeat(Heartbeat),
    Reply(Heartbeat, Option<Box<CatchUp>>),
}

pub(crate) struct SimulatedHost {
    pub(crate) fold: ConfigFold,
    members: Members,
    pub(crate) is_up: bool,
    paused_until_ms: u64,
    last_offset: Offset,
    reachable_since_ms: u64,
}

struct Operator {
    fold: ConfigFold,
    publish: Publication,
    record: ConfigRecord,
    append_ids: Vec<AppendId>,
}

pub(crate) struct Simulation {
    pub(crate) rng: StdRng,
    pub(crate) now_ms: u64,
    pub(crate) log: SimulatedLog<ConfigEntry>,
    pub(crate) simulated_hosts: Vec<SimulatedHost>,
    pub(crate) violations: Vec<Violation>,
    pub(crate) is_faulty: bool,
    /// Until when each zone is cut off from the log.
    pub(crate) log_cut_until_ms: [u64; ZONES],
    /// Until when each zone is cut off from the other zones.
    pub(crate) zone_cut_until_ms: [u64; ZONES],
    pub(crate) planned_deliveries: BTreeMap<Step, Delivery>,
    /// The number of edits whose outcome an operator was told.
    pub(crate) outcomes: usize,
    pub(crate) gap_reads: usize,
    /// The highest age in ms of a record that a connected host lacked.
    pub(crate) max_lag_ms: u64,
    disabled: Disabled,
    operators: Vec<Operator>,
    /// The state after all records.
    reference: ConfigFold,
    /// The digest after each offset.
    reference_digests: Vec<StateDigest>,
    /// The state after each offset.
    reference_states: Vec<ConfigFold>,
    /// Sender, recipient and message, by due time in ms and sequence number.
    pending_messages: BTreeMap<(u64, u64), (usize, usize, Message)>,
    seq: u64,
    listed_hosts: Vec<ListedHost>,
}

pub(crate) fn zone_of(host: usize) -> usize {
    host % ZONES
}

fn zone(number: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{number}")).unwrap()
}

fn host_name(host: usize) -> HostName {
    HostName::new(&format!("entry-{host}")).unwrap()
}

fn simulated_host(host: usize, incarnation: u64) -> SimulatedHost {
    let process = Process {
        address: format!("10.0.0.{host}:7000").parse().unwrap(),
        incarnation: Incarnation(incarnation),
    };
    SimulatedHost {
        fold: ConfigFold::new(),
        members: Members::new(host_name(host), zone(zone_of(host)), process),
        is_up: true,
        paused_until_ms: 0,
        last_offset: Offset(0),
        reachable_since_ms: 0,
    }
}

impl Simulation {
    pub(crate) fn new(seed: u64, disabled: Disabled) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            log: SimulatedLog::new(),
            simulated_hosts: (0..HOSTS).map(|host| simulated_host(host, 1)).collect(),
            violations: Vec::new(),
            is_faulty: false,
            log_cut_until_ms: [0; ZONES],
            zone_cut_until_ms: [0; ZONES],
            planned_deliveries: BTreeMap::new(),
            outcomes: 0,
            gap_reads: 0,
            max_lag_ms: 0,
            disabled,
            operators: Vec::new(),
            reference: ConfigFold::new(),
            reference_digests: vec![ConfigFold::new().digest()],
            reference_states: vec![ConfigFold::new()],
            pending_messages: BTreeMap::new(),
            seq: 0,
            listed_hosts: Vec::new(),
        };
        simulation.refresh_host_list();
        simulation
    }

    pub(crate) fn crash(&mut self, host: usize) {
        self.simulated_hosts[host].is_up = false;
    }

    pub(crate) fn restart(&mut self, host: usize) {
        if self.simulated_hosts[host].is_up {
            return;
        }
        let incarnation = self.simulated_hosts[host].members.process().incarnation.0 + 1;
        self.simulated_hosts[host] = simulated_host(host, incarnation);
        self.simulated_hosts[host].reachable_since_ms = self.now_ms;
        let listed_hosts = self.listed_hosts.clone();
        self.simulated_hosts[host]
            .members
            .update_list(&listed_hosts, Moment(self.now_ms));
    }

    pub(crate) fn pause(&mut self, host: usize, duration_ms: u64) {
        self.simulated_hosts[host].paused_until_ms = self.now_ms + duration_ms;
    }

    /// Updates the platform's host list.
    ///
    /// A crashed host stays listed with a probability of one half at each refresh.
    fn refresh_host_list(&mut self) {
        self.listed_hosts = (0..HOSTS)
            .filter(|host| self.simulated_hosts[*host].is_up || self.rng.random_bool(0.5))
            .map(|host| ListedHost {
                host: host_name(host),
                zone: zone(zone_of(host)),
                address: self.simulated_hosts[host].members.process().address,
                leaving: false,
            })
            .collect();
        let listed_hosts = self.listed_hosts.clone();
        for host in 0..HOSTS {
            if self.is_awake(host) && self.reaches_log(host) {
                self.simulated_hosts[host]
                    .members
                    .update_list(&listed_hosts, Moment(self.now_ms));
            }
        }
    }

    fn is_awake(&self, host: usize) -> bool {
        self.simulated_hosts[host].is_up
            && self.simulated_hosts[host].paused_until_ms <= self.now_ms
    }

    fn reaches_log(&self, host: usize) -> bool {
        !self.log.is_unavailable && self.log_cut_until_ms[zone_of(host)] <= self.now_ms
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (zone_of(from), zone_of(to));
        from == to
            || (self.zone_cut_until_ms[from] <= self.now_ms
                && self.zone_cut_until_ms[to] <= self.now_ms)
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        if !self.reaches(from, to) || (self.is_faulty && self.rng.random_bool(LOSS_PROBABILITY)) {
            return;
        }
        let slow = self.is_faulty && self.rng.random_bool(DELAY_PROBABILITY);
        let delay = self
            .rng
            .random_range(1..if slow { SLOW_DELAY_MS } else { NORMAL_DELAY_MS });
        let mut due = vec![self.now_ms + delay];
        if self.is_faulty && self.rng.random_bool(REPEAT_PROBABILITY) {
            due.push(self.now_ms + delay + self.rng.random_range(0..REPEAT_DELAY_MS));
        }
        for at in due {
            self.seq += 1;
            self.pending_messages
                .insert((at, self.seq), (from, to, message.clone()));
        }
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            self.log
                .tick(self.now_ms, Duration::from_millis(RETENTION_MS));
            self.update_reference();
            while let Some((&(at, seq), _)) = self.pending_messages.first_key_value()
                && at <= self.now_ms
            {
                let (from, to, message) = self.pending_messages.remove(&(at, seq)).unwrap();
                self.deliver(from, to, message);
            }
            if self.now_ms.is_multiple_of(LIST_INTERVAL_MS) {
                self.refresh_host_list();
            }
            for host in 0..HOSTS {
                if self.is_awake(host) {
                    self.tick(host);
                }
                self.check(host);
            }
            self.step_operators();
        }
    }

    fn tick(&mut self, host: usize) {
        let now = Moment(self.now_ms);
        let simulated_host = &mut self.simulated_hosts[host];
        let plan = simulated_host.members.plan(now);
        let leaving = false;
        let heartbeat = simulated_host
            .members
            .heartbeat(simulated_host.fold.last(), leaving, now);
        if self.disabled != Disabled::Following {
            for followed in &plan.follows {
                let to = (0..HOSTS).find(|to| host_name(*to) == *followed).unwrap();
                self.send(host, to, &Message::Heartbeat(heartbeat.clone()));
            }
        }
        if plan.reads_log && self.reaches_log(host) {
            self.read(host);
            self.save(host);
        }
    }

    fn read(&mut self, host: usize) {
        if self.is_faulty && self.rng.random_bool(FAILED_READ_PROBABILITY) {
            return;
        }
        let cursor = self.simulated_hosts[host].fold.cursor();
        let Some((first, page, is_end)) = self.log.read(cursor, PAGE_RECORDS) else {
            return;
        };
        let Some(page) = self.apply_planned_fault(Step::Adopt, host, page) else {
            return;
        };
        if self.disabled == Disabled::GapCheck {
            skip_gap(&mut self.simulated_hosts[host].fold, first);
        }
        let page = self.disable_mechanism(host, page);
        let simulated_host = &mut self.simulated_hosts[host];
        let result = simulated_host.fold.read(first, &page);
        self.gap_reads += usize::from(result.is_err());
        if is_end && result.is_ok() && simulated_host.fold.cursor() > self.log.last() {
            simulated_host.members.record_log_read(Moment(self.now_ms));
        }
    }

    fn save(&mut self, host: usize) {
        let retention = Duration::from_millis(RETENTION_MS);
        let simulated_host = &self.simulated_hosts[host];
        let now = LogTime(self.now_ms);
        if !simulated_host.fold.is_checkpoint_due(now, 0, retention)
            || self.disabled == Disabled::Checkpoints
        {
            return;
        }
        let rank = simulated_host
            .members
            .rank("checkpoint", Moment(self.now_ms));
        if !simulated_host.fold.is_checkpoint_due(now, rank, retention) {
            return;
        }
        let checkpoint = simulated_host.fold.checkpoint();
        let id = checkpoint.append_id(simulated_host.members.host()).unwrap();
        let delivery = self
            .planned_deliveries
            .remove(&Step::Save)
            .unwrap_or_else(|| self.delivery());
        let record = ConfigEntry::Checkpoint(Box::new(checkpoint));
        // The host sees at its next read of the log whether the append arrived.
        let _answer = self.log.append(&id, record, delivery, self.now_ms);
        self.update_reference();
    }

    fn delivery(&mut self) -> Delivery {
        if !self.is_faulty {
            return Delivery::Normal;
        }
        match self.rng.random_range(0..100) {
            0..15 => Delivery::AnswerLost,
            15..25 => Delivery::NeverArrived,
            25..40 => Delivery::Late(self.rng.random_range(0..20_000)),
            40..60 => Delivery::Twice(self.rng.random_range(0..30_000)),
            _ => Delivery::Normal,
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if !self.is_awake(to) {
            return;
        }
        let now = Moment(self.now_ms);
        let simulated_host = &mut self.simulated_hosts[to];
        match message {
            Message::Heartbeat(heartbeat) => {
                simulated_host.members.receive_heartbeat(&heartbeat, now);
                let leaving = false;
                let own_heartbeat =
                    simulated_host
                        .members
                        .heartbeat(simulated_host.fold.last(), leaving, now);
                let update = (simulated_host.fold.last() > heartbeat.offset
                    && simulated_host.fold.gap().is_none())
                .then(|| Box::new(simulated_host.fold.since(heartbeat.offset)));
                self.send(to, from, &Message::Reply(own_heartbeat, update));
            }
            Message::Reply(heartbeat, update) => {
                self.simulated_hosts[to]
                    .members
                    .receive_heartbeat(&heartbeat, now);
                if let Some(update) = update {
                    self.receive_update(to, *update);
                }
            }
        }
    }

    fn receive_update(&mut self, host: usize, update: CatchUp) {
        let update = match update {
            CatchUp::Delta(delta) => {
                let Some(delta) = self.apply_planned_fault(Step::Spread, host, delta) else {
                    return;
                };
                CatchUp::Delta(self.disable_mechanism(host, delta))
            }
            CatchUp::Checkpoint(mut checkpoint) => {
                if self.disabled == Disabled::RecentAppends {
                    checkpoint.recent_appends.clear();
                }
                CatchUp::Checkpoint(checkpoint)
            }
        };
        // A delayed delta may start after the host's last offset and is then refused. A later reply to a
        // heartbeat brings the missing records.
        let _gap = self.simulated_hosts[host].fold.catch_up(&update);
    }

    /// Returns the number of checkpoints that were ever appended.
    pub(crate) fn checkpoints(&self) -> usize {
        let is_checkpoint =
            |stored: &&LogEntry<ConfigEntry>| matches!(stored.record, ConfigEntry::Checkpoint(_));
        self.log.entries.iter().filter(is_checkpoint).count()
    }
}

/// Creates the log entry of a checkpoint.
pub(crate) fn stored_checkpoint(offset: u64, checkpoint: Checkpoint) -> LogEntry<ConfigEntry> {
    LogEntry {
        offset: Offset(offset),
        at: LogTime(offset * MS_PER_OFFSET),
        id: AppendId::new(&format!("checkpoint-{offset}")).unwrap(),
        record: ConfigEntry::Checkpoint(Box::new(checkpoint)),
    }
}
