//! A fleet of limiters with a log and a network that fail by a seed, and an oracle of windows.

mod oracle;
mod strikes;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, OrgName, Version, ZoneName};
use eelgrasshill_limit::{
    Admission, Amount, BorrowReply, BorrowRequest, Effect, Holder, Ledger, Limit, LimitSettings,
    Limiter, Process, Refusal, ReservationId, RightsRecord, Safeguards, Share,
};
use oracle::Violation;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::faults::{Act, Faults, Kind, Point, Strike};

/// Short times, so that every lease lapses often within a run.
pub fn settings(lease: u64) -> LimitSettings {
    LimitSettings {
        lease_ttl: Duration::from_millis(lease),
        renew_interval: Duration::from_secs(3),
        append_timeout: Duration::from_millis(400),
        propagation_delay: Duration::from_secs(2),
        max_staleness: Duration::from_secs(1),
        ..LimitSettings::default()
    }
}

struct Node<S> {
    limiter: Limiter<S>,
    born: u64,
    base: u64,
    drift: i64,
    read: usize,
    edits: usize,
    heard: u64,
    open: Vec<(ReservationId, u64, u64)>,
    leaving: bool,
    /// The cost of the request that waits first.
    first: Option<u64>,
}

struct Slot<S> {
    host: HostName,
    zone: usize,
    address: std::net::SocketAddr,
    incarnation: u64,
    node: Option<Node<S>>,
    /// No event reaches the process before this time.
    wakes: u64,
    /// The dead host comes back at this time.
    back: u64,
}

#[derive(Clone, Copy)]
enum Phase {
    Idle,
    Light,
    Flood,
}

enum Packet {
    Request(usize, BorrowRequest),
    Reply(usize, BorrowReply),
    Append(RightsRecord),
}

/// The fleet, the log, the network and the account of every token spent.
pub struct World<S> {
    pub rng: StdRng,
    seed: u64,
    faults: Faults,
    settings: LimitSettings,
    pub now: u64,
    org: OrgName,
    slots: Vec<Slot<S>>,
    zones: Vec<ZoneName>,
    log: Vec<RightsRecord>,
    truth: Ledger,
    edits: Vec<(u64, Share)>,
    net: BTreeMap<(u64, u64), Packet>,
    sent: u64,
    /// Until when each zone is cut from other zones and the log.
    cut: Vec<u64>,
    out: u64,
    pub spends: Vec<(u64, u64)>,
    allowed: Vec<(u64, Share)>,
    phase: Phase,
    turns: u64,
    size: u64,
    pub script: Vec<(u64, Act)>,
    pub strike: Option<(Kind, Point, Strike)>,
    /// Messages of the struck kind that pass before the struck one.
    pub skip: u32,
    /// When homes first held more rate than is allowed, and how much.
    pub overdrawn: Option<(u64, u64)>,
}

impl<S: Safeguards> World<S> {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let zones = (0..rng.random_range(faults.zones..=3))
            .map(|z| ZoneName::new(&format!("zone-{z}")).unwrap());
        let zones: Vec<_> = zones.collect();
        let share = random_share(&mut rng, faults.tight);
        let mut slots = Vec::new();
        for zone in 0..zones.len() {
            for _ in 0..rng.random_range(1..=3) {
                let number = slots.len();
                slots.push(Slot {
                    host: HostName::new(&format!("entry-{number}")).unwrap(),
                    zone,
                    address: format!("10.0.0.{number}:7000").parse().unwrap(),
                    incarnation: 0,
                    node: None,
                    wakes: 0,
                    back: 0,
                });
            }
        }
        let mut world = Self {
            cut: vec![0; zones.len()],
            rng,
            seed,
            faults,
            settings: settings(faults.lease),
            now: 1,
            org: OrgName::new("lakeshore").unwrap(),
            slots,
            zones,
            log: Vec::new(),
            truth: Ledger::default(),
            edits: vec![(0, share)],
            net: BTreeMap::new(),
            sent: 0,
            out: 0,
            spends: Vec::new(),
            allowed: Vec::new(),
            phase: Phase::Flood,
            turns: 0,
            size: 1,
            script: Vec::new(),
            strike: None,
            skip: 0,
            overdrawn: None,
        };
        for slot in 0..world.slots.len() {
            world.start(slot);
        }
        world
    }

    /// Runs until a time in ms and returns the worst window that breaks the bound.
    pub fn run(mut self, until: u64) -> (Option<Violation>, Self) {
        while self.now < until {
            self.step();
        }
        (self.check(), self)
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
        let drift = self.faults.drift;
        let mut limiter = Limiter::new(me, self.settings);
        let mut read = 0;
        let base = self.rng.random_range(0..1_000_000);
        // Some hosts start from a snapshot in place of the whole log.
        if !self.log.is_empty() && self.chance(500) {
            limiter = limiter.with_ledger(self.restored(), Moment(base));
            read = self.log.len();
        }
        self.slots[slot].node = Some(Node {
            limiter,
            born: self.now,
            base,
            drift: self.rng.random_range(-drift..=drift),
            read,
            edits: 0,
            heard: 0,
            open: Vec::new(),
            leaving: false,
            first: None,
        });
    }

    /// Returns the ledger as restored from its snapshot's text.
    fn restored(&self) -> Ledger {
        let text = serde_json::to_string(&self.truth.snapshot().unwrap()).unwrap();
        Ledger::restore(serde_json::from_str(&text).unwrap()).unwrap()
    }

    fn chance(&mut self, mille: u32) -> bool {
        self.rng.random_range(0..1000) < mille
    }

    fn local(&self, slot: usize) -> Moment {
        let node = self.slots[slot].node.as_ref().unwrap();
        let passed = self.now - node.born;
        let skew = i64::try_from(passed).unwrap() * node.drift / 1000;
        Moment((node.base + passed).saturating_add_signed(skew))
    }

    fn is_up(&self, slot: usize) -> bool {
        self.slots[slot].node.is_some() && self.slots[slot].wakes <= self.now
    }

    fn is_cut(&self, zone: usize) -> bool {
        self.cut[zone] > self.now
    }

    fn step(&mut self) {
        let span = if self.chance(30) { 800 } else { 60 };
        let target = self.now + self.rng.random_range(1..=span);
        while let Some((&(due, id), _packet)) = self.net.first_key_value() {
            if due > target {
                break;
            }
            self.now = self.now.max(due);
            let packet = self.net.remove(&(due, id)).unwrap();
            self.deliver(packet);
        }
        self.now = target;
        self.act();
        self.fail();
        for slot in 0..self.slots.len() {
            if self.is_up(slot) {
                self.sync(slot);
                self.poll(slot);
            }
        }
        self.traffic();
        self.note_allowed();
    }

    fn fail(&mut self) {
        let faults = self.faults;
        let slot = self.rng.random_range(0..self.slots.len());
        let zone = self.slots[slot].zone;
        let long = if self.chance(300) {
            3 * faults.lease
        } else {
            2_500
        };
        let span = self.rng.random_range(1..=long);
        if self.chance(faults.crash) && self.slots[slot].node.take().is_some() {
            self.slots[slot].back = self.now + if faults.quick { 100 } else { span };
            self.slots[slot].wakes = 0;
        }
        if self.chance(faults.pause) && self.is_up(slot) {
            self.slots[slot].wakes = self.now + span;
        }
        if self.chance(faults.drain) && self.is_up(slot) {
            let node = self.slots[slot].node.as_mut().unwrap();
            node.limiter.drain();
            node.leaving = true;
        }
        if self.chance(faults.cut) && !self.is_cut(zone) {
            self.cut[zone] = self.now + span;
        }
        if self.chance(faults.outage) && self.out <= self.now {
            self.out = self.now + span;
        }
        if self.chance(faults.edit) && self.out <= self.now {
            let share = random_share(&mut self.rng, faults.tight);
            self.edits.push((self.now, share));
        }
        for slot in 0..self.slots.len() {
            if self.slots[slot].node.is_none() && self.slots[slot].back <= self.now {
                self.start(slot);
            }
        }
    }

    fn listed(&self) -> BTreeSet<Holder> {
        (0..self.slots.len())
            .filter(|&slot| {
                let seen = self.is_up(slot) && !self.is_cut(self.slots[slot].zone);
                let leaving = self.slots[slot].node.as_ref().is_some_and(|n| n.leaving);
                !leaving && (seen || !self.faults.delist)
            })
            .map(|slot| self.holder(slot))
            .collect()
    }

    fn sync(&mut self, slot: usize) {
        if self.out > self.now || self.is_cut(self.slots[slot].zone) || self.chance(self.faults.lag)
        {
            return;
        }
        let now = self.local(slot);
        let (org, listed) = (self.org.clone(), self.listed());
        let (edits, log) = (&self.edits, &self.log);
        let node = self.slots[slot].node.as_mut().unwrap();
        if node.edits < edits.len() {
            let version = Version(edits.len() as u64);
            let share = edits.last().unwrap().1;
            let limit = Limit { version, share };
            node.edits = edits.len();
            node.heard = self.now;
            node.limiter
                .configure(version, BTreeMap::from([(org, limit)]), now);
        }
        while node.read < log.len() {
            let offset = Offset(node.read as u64);
            node.limiter.read(offset, &log[node.read], now);
            node.read += 1;
        }
        node.limiter.set_members(listed);
        node.limiter.mark_caught_up(now);
    }

    fn poll(&mut self, slot: usize) {
        let now = self.local(slot);
        let node = self.slots[slot].node.as_mut().unwrap();
        for effect in node.limiter.poll(now) {
            // A fault may strike between two effects.
            if !self.is_up(slot) {
                return;
            }
            match effect {
                Effect::Borrow { lender, request } => {
                    let to = self.slots.iter().position(|s| s.address == lender.address);
                    self.send(slot, &Packet::Request(to.unwrap(), request));
                }
                Effect::Append(record) => self.send(slot, &Packet::Append(record)),
                Effect::Ready(_organisation) => self.ask(slot),
            }
        }
    }

    fn send(&mut self, from: usize, packet: &Packet) {
        let faults = self.faults;
        let strike = self.strikes(packet, Point::Sent);
        let to = match packet {
            Packet::Request(to, _) | Packet::Reply(to, _) => Some(*to),
            Packet::Append(_) => None,
        };
        if let Some(strike) = strike {
            self.apply(strike, Some(from), to);
        }
        let zone = self.slots[from].zone;
        let cut = match packet {
            Packet::Request(to, _) | Packet::Reply(to, _) => {
                let other = self.slots[*to].zone;
                zone != other && (self.is_cut(zone) || self.is_cut(other))
            }
            Packet::Append(_) => self.is_cut(zone) || self.out > self.now,
        };
        if cut {
            return;
        }
        let twice = strike == Some(Strike::Repeat) || self.chance(faults.repeat);
        let copies = if twice { 2 } else { 1 };
        for _copy in 0..copies {
            if strike == Some(Strike::Lose) || self.chance(faults.lose) {
                continue;
            }
            let late = if self.chance(faults.late) {
                faults.slow
            } else {
                5
            };
            let mut due = self.now + self.rng.random_range(1..=late);
            if strike == Some(Strike::Delay) {
                due += 4_000;
            }
            self.sent += 1;
            let copy = match packet {
                Packet::Request(to, request) => Packet::Request(*to, request.clone()),
                Packet::Reply(to, reply) => Packet::Reply(*to, reply.clone()),
                Packet::Append(record) => Packet::Append(record.clone()),
            };
            self.net.insert((due, self.sent), copy);
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let strike = self.strikes(&packet, Point::Taken);
        let (from, to) = self.ends(&packet);
        self.take(packet);
        if let Some(strike) = strike {
            self.apply(strike, from, to);
        }
    }

    /// Returns the sending and the receiving host of a message.
    fn ends(&self, packet: &Packet) -> (Option<usize>, Option<usize>) {
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

    fn take(&mut self, packet: Packet) {
        let to = match &packet {
            Packet::Append(record) => {
                self.truth.apply(Offset(self.log.len() as u64), record);
                self.log.push(record.clone());
                return;
            }
            Packet::Request(to, _) | Packet::Reply(to, _) => *to,
        };
        if self.slots[to].node.is_none() {
            return;
        }
        if !self.is_up(to) {
            // A paused process finds its messages when it wakes.
            self.sent += 1;
            self.net.insert((self.slots[to].wakes, self.sent), packet);
            return;
        }
        let now = self.local(to);
        let limiter = &mut self.slots[to].node.as_mut().unwrap().limiter;
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

    fn traffic(&mut self) {
        if self.now >= self.turns {
            let phase = [Phase::Idle, Phase::Light, Phase::Flood][self.rng.random_range(0..3)];
            self.phase = if self.faults.flood {
                Phase::Flood
            } else {
                phase
            };
            let long = [1_000, 5_000, 15_000][self.rng.random_range(0..3)];
            self.turns = self.now + self.rng.random_range(1..=long);
            let sizes = if self.faults.small {
                [8, 8, 20, 50]
            } else {
                [2, 8, 20, 50]
            };
            self.size = sizes[self.rng.random_range(0..4)];
        }
        for slot in 0..self.slots.len() {
            if !self.is_up(slot) {
                continue;
            }
            let asks = match self.phase {
                Phase::Idle => 0,
                Phase::Light => u32::from(self.chance(150)),
                Phase::Flood => 4,
            };
            for _ask in 0..asks {
                self.ask(slot);
            }
            self.poll(slot);
            self.settle(slot);
        }
    }

    fn settle(&mut self, slot: usize) {
        if !self.is_up(slot) {
            return;
        }
        let (now, local) = (self.now, self.local(slot));
        let node = self.slots[slot].node.as_mut().unwrap();
        let (due, open) = node.open.drain(..).partition(|(_id, _used, at)| *at <= now);
        node.open = open;
        for (id, used, _at) in due {
            assert!(node.limiter.settle(id, used, local));
            assert!(!node.limiter.settle(id, used, local), "settled twice");
        }
    }

    fn ask(&mut self, slot: usize) {
        let now = self.local(slot);
        let burst = self.edits.last().unwrap().1.burst.tokens();
        let most = burst / self.size;
        let cost = self.rng.random_range(1..=most.max(1));
        let partial = self.chance(self.faults.refund);
        let node = self.slots[slot].node.as_mut().unwrap();
        let cost = node.first.take().unwrap_or(cost);
        match node.limiter.admit(&self.org, cost, now) {
            Admission::Admitted(id) => {
                let used = if partial {
                    self.rng.random_range(0..=cost)
                } else {
                    cost
                };
                let at = self.now + self.rng.random_range(0..=4_000);
                node.open.push((id, used, at));
                self.spends.push((self.now, used));
            }
            Admission::Wait(until) => {
                assert!(until > now);
                node.first = Some(cost);
            }
            Admission::Refused(Refusal::TooLarge { cost, burst }) => assert!(cost > burst),
            Admission::Refused(_refusal) => node.first = self.rng.random_bool(0.9).then_some(cost),
        }
    }
}

fn random_share(rng: &mut StdRng, tight: bool) -> Share {
    if tight {
        let rate = 1_000 * [200, 400][rng.random_range(0..2)];
        let burst = Amount::from_tokens(100);
        return Share { rate, burst };
    }
    Share {
        rate: 1_000 * [20, 100, 400][rng.random_range(0..3)],
        burst: Amount::from_tokens([100, 300, 1_000][rng.random_range(0..3)]),
    }
}
