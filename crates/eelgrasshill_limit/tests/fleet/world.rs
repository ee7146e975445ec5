//! A fleet of limiters with a log and a network that fail by a seed, and an oracle of windows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, OrgName, Version, ZoneName};
use eelgrasshill_limit::{
    Admission, Amount, BorrowReply, BorrowRequest, Effect, Holder, Ledger, Limit, LimitSettings,
    Limiter, Process, Refusal, ReservationId, RightsRecord, Safeguards, Share,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// How often each kind of fault begins, in thousandths per step over the fleet.
#[derive(Clone, Copy, Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct Faults {
    pub crash: u32,
    pub pause: u32,
    pub cut: u32,
    pub outage: u32,
    pub edit: u32,
    pub drain: u32,
    /// Of each message, in thousandths.
    pub lose: u32,
    pub repeat: u32,
    pub late: u32,
    /// The longest delay of a late message in ms.
    pub slow: u64,
    /// Of each admission, in thousandths, how often less than its cost is used.
    pub refund: u32,
    /// Whether demand is always more than the rate.
    pub flood: bool,
    /// Whether bursts are small beside rates, so that little excess shows.
    pub tight: bool,
    /// Whether every cost fits into one home's part of the burst.
    pub small: bool,
    /// Whether a crashed host is back within 0.1 s.
    pub quick: bool,
    /// How often a host does not look at the log, in thousandths.
    pub lag: u32,
    /// Lease of rights in ms.
    pub lease: u64,
    /// Fewest zones.
    pub zones: usize,
    /// Largest difference of a clock's rate from the true one, in thousandths.
    pub drift: i64,
    /// Whether hosts that are paused or cut leave the platform's list.
    pub delist: bool,
}

pub const CALM: Faults = Faults {
    crash: 0,
    pause: 0,
    cut: 0,
    outage: 0,
    edit: 0,
    drain: 0,
    lose: 0,
    repeat: 0,
    late: 0,
    slow: 4_000,
    refund: 0,
    flood: false,
    tight: false,
    small: false,
    quick: false,
    lag: 200,
    lease: 12_000,
    zones: 1,
    drift: 0,
    delist: false,
};

pub const STORM: Faults = Faults {
    crash: 6,
    pause: 8,
    cut: 4,
    outage: 3,
    edit: 5,
    drain: 2,
    lose: 60,
    repeat: 100,
    late: 100,
    refund: 600,
    delist: true,
    ..CALM
};

/// Short times, so that every lease lapses often within a run.
pub fn settings(lease: u64) -> LimitSettings {
    LimitSettings {
        lease: Duration::from_millis(lease),
        renew: Duration::from_secs(3),
        append: Duration::from_millis(400),
        grace: Duration::from_secs(2),
        contact: Duration::from_secs(1),
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

/// A message or record of one protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Borrow,
    Report,
    Reply,
    Limit,
    Assign,
    Renew,
    Give,
    Release,
    Takeover,
    Reclaim,
}

/// Where on its way a message is when a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    Sent,
    /// Taken by the receiver, or landed in the log and read by nobody yet.
    Taken,
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    Lose,
    Repeat,
    Delay,
    CrashSender,
    CrashReceiver,
    PauseSender,
    PauseReceiver,
    CutSender,
    LogOut,
    Edit,
}

/// What happens to hosts at a time, so that every protocol runs.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// The host's process ends and a new one starts there after a while.
    Restart(usize, u64),
    Drain(usize),
    Edit(u64),
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

/// One window in which too many tokens were admitted.
#[derive(Debug)]
#[expect(dead_code, reason = "read by the failure message only")]
pub struct Violation {
    pub seed: u64,
    pub from: u64,
    pub to: u64,
    pub excess: u64,
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
        node.limiter.confirm_current(now);
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
                Effect::Borrow { home, request } => {
                    let to = self.slots.iter().position(|s| s.address == home.address);
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

    /// Returns the fault that strikes a message here, once.
    fn strikes(&mut self, packet: &Packet, point: Point) -> Option<Strike> {
        let (struck, at, strike) = self.strike?;
        // The first seconds are left alone, so that all hosts hold shares.
        if struck != kind(packet) || at != point || (self.now < 5_000 && self.skip > 0) {
            return None;
        }
        self.strike = None;
        Some(strike)
    }

    fn apply(&mut self, strike: Strike, from: Option<usize>, to: Option<usize>) {
        let pause = self.now + 2 * self.faults.lease;
        match strike {
            Strike::CrashSender | Strike::CrashReceiver => {
                let slot = if strike == Strike::CrashSender {
                    from
                } else {
                    to
                };
                let slot = &mut self.slots[slot.unwrap()];
                slot.node = None;
                slot.wakes = 0;
                slot.back = self.now + 300;
            }
            Strike::PauseSender => self.slots[from.unwrap()].wakes = pause,
            Strike::PauseReceiver => self.slots[to.unwrap()].wakes = pause,
            Strike::CutSender => {
                let zone = self.slots[from.unwrap()].zone;
                self.cut[zone] = pause;
            }
            Strike::LogOut => self.out = pause,
            Strike::Edit => {
                let last = self.edits.last().unwrap().1;
                self.edits.push((self.now, last.part(2)));
            }
            Strike::Lose | Strike::Repeat | Strike::Delay => {}
        }
    }

    fn act(&mut self) {
        while self
            .script
            .first()
            .is_some_and(|(at, _act)| *at <= self.now)
        {
            let (_at, act) = self.script.remove(0);
            match act {
                Act::Restart(slot, span) => {
                    self.slots[slot].node = None;
                    self.slots[slot].back = self.now + span;
                }
                Act::Drain(slot) => {
                    let node = self.slots[slot].node.as_mut().unwrap();
                    node.limiter.drain();
                    node.leaving = true;
                }
                Act::Edit(parts) => {
                    let last = self.edits[0].1;
                    self.edits.push((self.now, last.part(parts)));
                }
            }
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
            Packet::Reply(to, reply) => (slot(&reply.home), Some(*to)),
            Packet::Append(record) => {
                let author = match record {
                    RightsRecord::Renew { process, .. } | RightsRecord::Release { process } => {
                        process
                    }
                    RightsRecord::Give { giver, .. } => giver,
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

    /// Notes what may be in use now: the limits of late, or what those hold who have not heard.
    fn note_allowed(&mut self) {
        let lag = 1_000 + 1_000 + 2_000 + 1_100 + 1_000;
        let current = self.edits.len() as u64;
        let mut allowed = Share::default();
        for (index, (_at, share)) in self.edits.iter().enumerate() {
            let ended = self.edits.get(index + 1).map_or(u64::MAX, |(at, _)| *at);
            if ended.saturating_add(lag) > self.now {
                allowed = max(allowed, *share);
            }
        }
        let mut silent = Share::default();
        if let Some(account) = self.truth.account(&self.org) {
            for stake in &account.stakes {
                let process = &stake.holder.process;
                let slot = self.slots.iter().find(|s| s.host == process.host).unwrap();
                let node = slot
                    .node
                    .as_ref()
                    .filter(|_n| slot.incarnation == process.incarnation.0);
                // Loans of before the edit may still be spent for a moment.
                let heard = |n: &Node<S>| n.edits as u64 == current && n.heard + 1_100 < self.now;
                if !node.is_some_and(heard) {
                    silent = silent.plus(stake.share);
                }
            }
        }
        self.allowed.push((self.now, max(allowed, silent)));
    }

    /// Checks every window that starts and ends with an admission.
    fn check(&self) -> Option<Violation> {
        let drift = u64::try_from(self.faults.drift).unwrap();
        let mut worst = None;
        let mut most = 0;
        // For each spend: tokens so far, what accrued so far, and the burst in force then.
        let (mut accrued, mut last, mut index) = (0u64, 0, 0);
        let mut marks = Vec::with_capacity(self.spends.len());
        for (at, used) in &self.spends {
            let mut burst = 0;
            while let Some((until, share)) = self.allowed.get(index) {
                let to = (*until).min(*at);
                accrued += share.rate * (to - last);
                last = to;
                burst = burst.max(share.burst.0);
                if until >= at {
                    break;
                }
                index += 1;
            }
            marks.push((*at, used * 1_000_000, accrued, burst));
        }
        for (first, (from, _used, before, _burst)) in marks.iter().enumerate() {
            let (mut sum, mut burst) = (0, 0);
            for (to, used, accrued, now_burst) in &marks[first..] {
                sum += used;
                burst = burst.max(*now_burst);
                let grown = accrued - before;
                let slack = if drift == 0 {
                    0
                } else {
                    grown * drift / 1000 + 4_000_000
                };
                let bound = burst + grown + slack;
                if sum > bound && sum - bound > most {
                    most = sum - bound;
                    worst = Some(Violation {
                        seed: self.seed,
                        from: *from,
                        to: *to,
                        excess: most,
                    });
                }
            }
        }
        worst
    }

    /// Returns the rate of all homes that may lend now over the limit's, in thousandths.
    pub fn lent_mille(&self) -> u64 {
        let up = (0..self.slots.len()).filter(|&slot| self.is_up(slot));
        let rates = up.map(|slot| {
            let limiter = &self.slots[slot].node.as_ref().unwrap().limiter;
            let home = limiter.home(&self.org);
            let open = limiter.is_lending(self.local(slot));
            home.filter(|_home| open)
                .map_or(0, |home| home.bucket().share().rate)
        });
        rates.sum::<u64>() * 1_000 / self.edits.last().unwrap().1.rate
    }

    /// Returns tokens admitted since a time over the last rate, in thousandths.
    pub fn use_since(&self, from: u64) -> u64 {
        let spends = self.spends.iter().filter(|(at, _used)| *at >= from);
        let sum: u64 = spends.map(|(_at, used)| used).sum();
        let rate = self.edits.last().unwrap().1.rate;
        sum * 1_000_000_000 / (rate * (self.now - from)).max(1)
    }

    /// Returns whether every live host that read the whole log folded it to the same state.
    pub fn agrees(&self) -> bool {
        let whole = self
            .slots
            .iter()
            .filter_map(|s| s.node.as_ref())
            .filter(|n| n.read == self.log.len());
        whole.into_iter().all(|n| *n.limiter.ledger() == self.truth)
            && self.restored() == self.truth
    }
}

fn max(a: Share, b: Share) -> Share {
    Share {
        rate: a.rate.max(b.rate),
        burst: a.burst.max(b.burst),
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

fn kind(packet: &Packet) -> Kind {
    match packet {
        Packet::Request(_, request) if request.most.is_zero() => Kind::Report,
        Packet::Request(..) => Kind::Borrow,
        Packet::Reply(..) => Kind::Reply,
        Packet::Append(record) => match record {
            RightsRecord::Limit { .. } => Kind::Limit,
            RightsRecord::Assign { .. } | RightsRecord::Snapshot { .. } => Kind::Assign,
            RightsRecord::Renew { .. } => Kind::Renew,
            RightsRecord::Give { .. } => Kind::Give,
            RightsRecord::Release { .. } => Kind::Release,
            RightsRecord::Takeover { .. } => Kind::Takeover,
            RightsRecord::Reclaim { .. } => Kind::Reclaim,
        },
    }
}
