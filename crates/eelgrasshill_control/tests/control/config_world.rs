//! Hosts of three zones that fold one model log, and operators who race.

use std::{collections::BTreeMap, time::Duration};

use eelgrasshill_control::{
    CatchUp, Checkpoint, ConfigEntry, ConfigFold, Delta, Heartbeat, Listed, LogTime, Members,
    Process, Publish, PublishStep, StateDigest, Stored,
};
use eelgrasshill_domain::{
    AppendId, ConfigRecord, EditOutcome, HostName, Incarnation, Moment, Offset, PoolKind, Row,
    Target, ZoneName,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    log::{Fate, ModelLog},
    make::{change, edit, issue, org_key, org_row, pool_key, pool_row, route, route_key, withdraw},
};

pub(crate) const ZONES: usize = 3;
pub(crate) const HOSTS: usize = 15;
pub(crate) const IN_FORCE: u64 = 13_000;
pub(crate) const RETENTION: u64 = 120_000;
const TICK: u64 = 250;

/// A mechanism that is switched off on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    Nothing,
    Dedupe,
    Versions,
    Recent,
    Gap,
    Checkpoint,
    Look,
    Follow,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// Two hosts differ at one offset.
    Parted(usize, Offset),
    /// A host went back.
    Reverted(usize),
    /// A host that can be reached lacks a record that is old enough.
    Behind(usize, u64),
    /// An operator was told another verdict than the one in force.
    FalseVerdict(AppendId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
    Publish,
    Adopt,
    Spread,
    Save,
}

#[derive(Clone, Debug)]
enum Msg {
    Hello(Heartbeat),
    Reply(Heartbeat, Option<Box<CatchUp>>),
}

pub(crate) struct Node {
    pub(crate) fold: ConfigFold,
    members: Members,
    pub(crate) is_up: bool,
    paused: u64,
    reached: Offset,
    good_since: u64,
}

struct Operator {
    fold: ConfigFold,
    publish: Publish,
    record: ConfigRecord,
    tries: Vec<AppendId>,
}

pub(crate) struct World {
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    pub(crate) log: ModelLog<ConfigEntry>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) violations: Vec<Violation>,
    pub(crate) is_faulty: bool,
    /// Until when a zone is cut from the log and from the other zones.
    pub(crate) log_cut: [u64; ZONES],
    pub(crate) zone_cut: [u64; ZONES],
    pub(crate) fates: BTreeMap<Step, Fate>,
    pub(crate) verdicts: usize,
    pub(crate) gaps: usize,
    /// The oldest record, in ms, that a host with links still lacked.
    pub(crate) worst: u64,
    broken: Broken,
    operators: Vec<Operator>,
    reference: ConfigFold,
    digests: Vec<StateDigest>,
    states: Vec<ConfigFold>,
    queue: BTreeMap<(u64, u64), (usize, usize, Msg)>,
    seq: u64,
    listed: Vec<Listed>,
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

fn node(host: usize, incarnation: u64) -> Node {
    let process = Process {
        address: format!("10.0.0.{host}:7000").parse().unwrap(),
        incarnation: Incarnation(incarnation),
    };
    Node {
        fold: ConfigFold::new(),
        members: Members::new(host_name(host), zone(zone_of(host)), process),
        is_up: true,
        paused: 0,
        reached: Offset(0),
        good_since: 0,
    }
}

impl World {
    pub(crate) fn new(seed: u64, broken: Broken) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            log: ModelLog::new(),
            nodes: (0..HOSTS).map(|host| node(host, 1)).collect(),
            violations: Vec::new(),
            is_faulty: false,
            log_cut: [0; ZONES],
            zone_cut: [0; ZONES],
            fates: BTreeMap::new(),
            verdicts: 0,
            gaps: 0,
            worst: 0,
            broken,
            operators: Vec::new(),
            reference: ConfigFold::new(),
            digests: vec![ConfigFold::new().digest()],
            states: vec![ConfigFold::new()],
            queue: BTreeMap::new(),
            seq: 0,
            listed: Vec::new(),
        };
        world.refresh_list();
        world
    }

    pub(crate) fn crash(&mut self, host: usize) {
        self.nodes[host].is_up = false;
    }

    pub(crate) fn restart(&mut self, host: usize) {
        if self.nodes[host].is_up {
            return;
        }
        let incarnation = self.nodes[host].members.process().incarnation.0 + 1;
        self.nodes[host] = node(host, incarnation);
        self.nodes[host].good_since = self.now;
        let lines = self.listed.clone();
        self.nodes[host].members.list(&lines, Moment(self.now));
    }

    pub(crate) fn pause(&mut self, host: usize, span: u64) {
        self.nodes[host].paused = self.now + span;
    }

    /// The platform's list, which shows a crash only after a while.
    fn refresh_list(&mut self) {
        self.listed = (0..HOSTS)
            .filter(|host| self.nodes[*host].is_up || self.rng.random_bool(0.5))
            .map(|host| Listed {
                host: host_name(host),
                zone: zone(zone_of(host)),
                address: self.nodes[host].members.process().address,
                leaving: false,
            })
            .collect();
        let lines = self.listed.clone();
        for host in 0..HOSTS {
            if self.is_awake(host) && self.reaches_log(host) {
                self.nodes[host].members.list(&lines, Moment(self.now));
            }
        }
    }

    fn is_awake(&self, host: usize) -> bool {
        self.nodes[host].is_up && self.nodes[host].paused <= self.now
    }

    fn reaches_log(&self, host: usize) -> bool {
        !self.log.is_out && self.log_cut[zone_of(host)] <= self.now
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (zone_of(from), zone_of(to));
        from == to || (self.zone_cut[from] <= self.now && self.zone_cut[to] <= self.now)
    }

    fn send(&mut self, from: usize, to: usize, msg: &Msg) {
        if !self.reaches(from, to) || (self.is_faulty && self.rng.random_bool(0.1)) {
            return;
        }
        let slow = self.is_faulty && self.rng.random_bool(0.05);
        let delay = self.rng.random_range(1..if slow { 5000 } else { 10 });
        let mut due = vec![self.now + delay];
        if self.is_faulty && self.rng.random_bool(0.05) {
            due.push(self.now + delay + self.rng.random_range(0..9000));
        }
        for at in due {
            self.seq += 1;
            self.queue.insert((at, self.seq), (from, to, msg.clone()));
        }
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += TICK;
            self.log.tick(self.now, Duration::from_millis(RETENTION));
            self.note_landed();
            while let Some((&(at, seq), _)) = self.queue.first_key_value()
                && at <= self.now
            {
                let (from, to, msg) = self.queue.remove(&(at, seq)).unwrap();
                self.deliver(from, to, msg);
            }
            if self.now.is_multiple_of(5000) {
                self.refresh_list();
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

    /// Folds what landed into the oracle's own state.
    fn note_landed(&mut self) {
        while self.reference.last() < self.log.last() {
            let stored = &self.log.all[self.reference.last().0 as usize];
            self.reference.apply(stored);
            self.digests.push(self.reference.digest());
            self.states.push(self.reference.clone());
        }
    }

    fn tick(&mut self, host: usize) {
        let now = Moment(self.now);
        let node = &mut self.nodes[host];
        let plan = node.members.plan(now);
        let beat = node.members.heartbeat(node.fold.last(), false, now);
        if self.broken != Broken::Follow {
            for followed in &plan.follows {
                let to = (0..HOSTS).find(|to| host_name(*to) == *followed).unwrap();
                self.send(host, to, &Msg::Hello(beat.clone()));
            }
        }
        if plan.reads && self.reaches_log(host) {
            self.read(host);
            self.save(host);
        }
    }

    fn read(&mut self, host: usize) {
        if self.is_faulty && self.rng.random_bool(0.05) {
            return;
        }
        let cursor = self.nodes[host].fold.cursor();
        let Some((first, page, is_end)) = self.log.read(cursor, 20) else {
            return;
        };
        let Some(page) = self.meet(Step::Adopt, host, page) else {
            return;
        };
        if self.broken == Broken::Gap {
            skip_gap(&mut self.nodes[host].fold, first);
        }
        let page = self.weaken(host, page);
        let node = &mut self.nodes[host];
        let result = node.fold.read(first, &page);
        self.gaps += usize::from(result.is_err());
        if is_end && result.is_ok() && node.fold.cursor() > self.log.last() {
            node.members.note_read(Moment(self.now));
        }
    }

    /// Applies a planned fault to a page or a delta; none is lost or late.
    fn meet(
        &mut self,
        step: Step,
        host: usize,
        page: Delta<ConfigEntry>,
    ) -> Option<Delta<ConfigEntry>> {
        if page.records.is_empty() {
            return Some(page);
        }
        match self.fates.remove(&step) {
            Some(Fate::AnswerLost | Fate::NeverArrived) => None,
            Some(Fate::Late(by)) => {
                let own = self.nodes[host]
                    .members
                    .heartbeat(Offset(0), false, Moment(self.now));
                let late = Msg::Reply(own, Some(Box::new(CatchUp::Delta(page))));
                self.seq += 1;
                self.queue
                    .insert((self.now + by, self.seq), (host, host, late));
                None
            }
            Some(Fate::Twice(_)) => {
                let mut records = page.records.clone();
                records.extend(page.records);
                Some(Delta::new(page.from, records))
            }
            Some(Fate::Kept) | None => Some(page),
        }
    }

    /// Changes records as a host without a mechanism would take them.
    fn weaken(&self, host: usize, mut page: Delta<ConfigEntry>) -> Delta<ConfigEntry> {
        let mut fold = self.nodes[host].fold.clone();
        for stored in &mut page.records {
            match (&self.broken, &mut stored.record) {
                (Broken::Dedupe, _) => {
                    let id = format!("{}-{}", stored.id, stored.offset);
                    stored.id = AppendId::new(&id).unwrap();
                }
                (Broken::Versions, ConfigEntry::Record(ConfigRecord::Edit(edit))) => {
                    for change in &mut edit.changes {
                        change.base = fold.version(&change.key);
                    }
                }
                (Broken::Recent, ConfigEntry::Checkpoint(checkpoint)) => checkpoint.recent.clear(),
                _ => {}
            }
            if self.broken == Broken::Versions {
                fold.apply(stored);
            }
        }
        page
    }

    fn save(&mut self, host: usize) {
        let retention = Duration::from_millis(RETENTION);
        let node = &self.nodes[host];
        let now = LogTime(self.now);
        if !node.fold.is_checkpoint_due(now, 0, retention) || self.broken == Broken::Checkpoint {
            return;
        }
        let rank = node.members.rank("checkpoint", Moment(self.now));
        if !node.fold.is_checkpoint_due(now, rank, retention) {
            return;
        }
        let checkpoint = node.fold.checkpoint();
        let id = checkpoint.append_id(node.members.host()).unwrap();
        let fate = self
            .fates
            .remove(&Step::Save)
            .unwrap_or_else(|| self.fate());
        let record = ConfigEntry::Checkpoint(Box::new(checkpoint));
        // The host looks into the log at its next read, whatever the answer is.
        let _answer = self.log.append(&id, record, fate, self.now);
        self.note_landed();
    }

    fn fate(&mut self) -> Fate {
        if !self.is_faulty {
            return Fate::Kept;
        }
        match self.rng.random_range(0..100) {
            0..15 => Fate::AnswerLost,
            15..25 => Fate::NeverArrived,
            25..40 => Fate::Late(self.rng.random_range(0..20_000)),
            40..60 => Fate::Twice(self.rng.random_range(0..30_000)),
            _ => Fate::Kept,
        }
    }

    fn deliver(&mut self, from: usize, to: usize, msg: Msg) {
        if !self.is_awake(to) {
            return;
        }
        let now = Moment(self.now);
        let node = &mut self.nodes[to];
        match msg {
            Msg::Hello(beat) => {
                node.members.hear(&beat, now);
                let own = node.members.heartbeat(node.fold.last(), false, now);
                let sent = (node.fold.last() > beat.offset && node.fold.gap().is_none())
                    .then(|| Box::new(node.fold.since(beat.offset)));
                self.send(to, from, &Msg::Reply(own, sent));
            }
            Msg::Reply(beat, sent) => {
                self.nodes[to].members.hear(&beat, now);
                if let Some(sent) = sent {
                    self.take(to, *sent);
                }
            }
        }
    }

    fn take(&mut self, host: usize, sent: CatchUp) {
        let sent = match sent {
            CatchUp::Delta(delta) => {
                let Some(delta) = self.meet(Step::Spread, host, delta) else {
                    return;
                };
                CatchUp::Delta(self.weaken(host, delta))
            }
            CatchUp::Checkpoint(mut checkpoint) => {
                if self.broken == Broken::Recent {
                    checkpoint.recent.clear();
                }
                CatchUp::Checkpoint(checkpoint)
            }
        };
        // A late delta may start beyond what the host holds; the next one will not.
        let _gap = self.nodes[host].fold.catch_up(&sent);
    }

    fn check(&mut self, host: usize) {
        self.check_state(host);
        self.check_lag(host);
    }

    fn check_state(&mut self, host: usize) {
        let node = &mut self.nodes[host];
        let last = node.fold.last();
        if last < node.reached {
            self.violations.push(Violation::Reverted(host));
        }
        if last == node.reached {
            return;
        }
        node.reached = last;
        let reference = &self.states[last.0 as usize];
        let is_same = node.fold.tables() == reference.tables()
            && node.fold.keys() == reference.keys()
            && node.fold.withdrawn().eq(reference.withdrawn());
        let is_whole = match self.broken {
            Broken::Nothing => node.fold.digest() == self.digests[last.0 as usize],
            _ => true,
        };
        if !(is_same && is_whole) {
            self.violations.push(Violation::Parted(host, last));
        }
    }

    /// Checks that news of some age is in force on a host that can be reached.
    fn check_lag(&mut self, host: usize) {
        let has_link = (0..ZONES).any(|other| {
            let is_linked = other == zone_of(host)
                || (self.zone_cut[zone_of(host)] <= self.now && self.zone_cut[other] <= self.now);
            let has_reader = (0..HOSTS).any(|peer| {
                zone_of(peer) == other && self.nodes[peer].good_since + IN_FORCE <= self.now
            });
            is_linked && self.log_cut[other] <= self.now && (other == zone_of(host) || has_reader)
        });
        if !self.is_awake(host) || self.log.is_out || !has_link {
            self.nodes[host].good_since = self.now;
            return;
        }
        if self.nodes[host].good_since + IN_FORCE > self.now {
            return;
        }
        if let Some(next) = self.log.all.get(self.nodes[host].fold.last().0 as usize) {
            self.worst = self.worst.max(self.now - next.at.0);
        }
        let old = LogTime(self.now - IN_FORCE);
        let due = self.log.all.partition_point(|stored| stored.at <= old) as u64;
        if self.nodes[host].fold.last().0 < due {
            self.violations.push(Violation::Behind(host, self.now));
        }
    }

    /// Lets an operator edit from what some host shows.
    pub(crate) fn operate(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        let fold = self.nodes[host].fold.clone();
        let record = self.random_record(&fold);
        self.seq += 1;
        let id = AppendId::new(&format!("operator-{}", self.seq)).unwrap();
        let publish = Publish::new(id.clone(), record.clone(), Moment(self.now));
        self.operators.push(Operator {
            fold,
            publish,
            record,
            tries: vec![id],
        });
    }

    fn random_record(&mut self, fold: &ConfigFold) -> ConfigRecord {
        let number = self.rng.random_range(0..4);
        let org = format!("org-{number}");
        let pool = format!("pool-{number}");
        let rate = self.rng.random_range(1..1000);
        let plain = route(Some(&org), Target::Path(format!("/{rate}")), &pool);
        let is_removed = self.rng.random_bool(0.3);
        let (key, row) = match self.rng.random_range(0..7) {
            0 | 1 => (org_key(&org), org_row(rate)),
            2 | 3 => (pool_key(&pool), pool_row(PoolKind::Plain)),
            4 | 5 => (route_key(&format!("route-{number}")), Row::from(plain)),
            _ if is_removed => return withdraw(&format!("key-{}", rate % 8)),
            _ => return issue(&format!("key-{}", rate % 8), &org),
        };
        let base = fold.version(&key).0;
        edit(vec![change(key, base, (!is_removed).then_some(row))])
    }

    fn step_operators(&mut self) {
        for mut operator in std::mem::take(&mut self.operators) {
            if !self.step_operator(&mut operator) {
                self.operators.push(operator);
            }
        }
    }

    fn step_operator(&mut self, operator: &mut Operator) -> bool {
        let now = Moment(self.now);
        match operator.publish.step(&operator.fold, now) {
            PublishStep::Append(id, record) => {
                let fate = self
                    .fates
                    .remove(&Step::Publish)
                    .unwrap_or_else(|| self.fate());
                let answer = self.log.append(&id, record.into(), fate, self.now);
                self.note_landed();
                operator.publish.answer(answer, now);
                if self.broken == Broken::Look && answer.is_err() {
                    let text = format!("{}-try-{}", operator.tries[0], operator.tries.len());
                    let id = AppendId::new(&text).unwrap();
                    operator.tries.push(id.clone());
                    operator.publish = Publish::new(id, operator.record.clone(), now);
                }
                false
            }
            PublishStep::Read(from) => {
                if let Some((first, page, is_end)) = self.log.read(from, 20) {
                    let is_read = operator.fold.read(first, &page).is_ok();
                    if is_end && is_read {
                        operator.publish.reached_end(now);
                    }
                }
                false
            }
            PublishStep::Wait => false,
            PublishStep::Done(outcome) => {
                self.check_verdict(operator, &outcome);
                true
            }
        }
    }

    /// Checks the verdict that an operator was told against the one in force.
    fn check_verdict(&mut self, operator: &Operator, outcome: &EditOutcome) {
        self.verdicts += 1;
        let is_accepted = |outcome: &EditOutcome| matches!(outcome, EditOutcome::Accepted(_));
        let in_force = operator
            .tries
            .iter()
            .filter_map(|id| self.reference.outcome(id))
            .any(is_accepted);
        if in_force != is_accepted(outcome) {
            let id = operator.tries[0].clone();
            self.violations.push(Violation::FalseVerdict(id));
        }
    }

    /// Checks that every host that is up holds the newest record.
    pub(crate) fn check_end(&mut self) {
        for host in 0..HOSTS {
            if self.nodes[host].is_up && self.nodes[host].fold.last() < self.log.last() {
                self.violations.push(Violation::Behind(host, self.now));
            }
        }
    }

    /// Counts the checkpoints that ever stood in the log.
    pub(crate) fn checkpoints(&self) -> usize {
        let is_checkpoint =
            |stored: &&Stored<ConfigEntry>| matches!(stored.record, ConfigEntry::Checkpoint(_));
        self.log.all.iter().filter(is_checkpoint).count()
    }

    /// Stops the operators' commands, wherever they are.
    pub(crate) fn crash_operators(&mut self) {
        self.operators.clear();
    }

    pub(crate) fn pending_operators(&self) -> usize {
        self.operators.len()
    }
}

/// Goes on folding although records are missing.
fn skip_gap(fold: &mut ConfigFold, first: Offset) {
    if first > fold.last().next() {
        let through = Offset(first.0 - 1);
        fold.adopt(&Checkpoint {
            through,
            ..fold.checkpoint()
        });
    }
}

/// Makes a log record of a checkpoint, for tests that start from one.
pub(crate) fn stored_checkpoint(offset: u64, checkpoint: Checkpoint) -> Stored<ConfigEntry> {
    Stored {
        offset: Offset(offset),
        at: LogTime(offset * 1000),
        id: AppendId::new(&format!("checkpoint-{offset}")).unwrap(),
        record: ConfigEntry::Checkpoint(Box::new(checkpoint)),
    }
}
