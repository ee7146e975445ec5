//! This crate's design: a limiter on every host, joined by a network and a log.

use std::collections::{BTreeMap, VecDeque};

use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, OrgName, Version, ZoneName};
use eelgrasshill_limit::{
    Admission, AllSafeguards, BorrowReply, BorrowRequest, Effect, Holder, Limit, LimitSettings,
    Limiter, Process, Refusal, ReservationId, RightsRecord,
};

use crate::load::{Arrival, Case, END, Outcome, PATIENCE, START, ZONES, limit};

/// One way between hosts of one zone or of two, in ms.
const HOP: u64 = 1;

/// From an append to its reading in ms.
const LOG_DELAY: u64 = 20;

struct Host {
    limiter: Limiter<AllSafeguards>,
    queue: VecDeque<usize>,
    wake: u64,
    retry: u64,
    offset: usize,
}

enum Event {
    Request(usize, BorrowRequest),
    Reply(usize, BorrowReply),
    Land(RightsRecord),
    Settle(usize, ReservationId, u64),
}

/// The fleet in the middle of a run.
pub struct Fleet<'a> {
    case: Case,
    arrivals: &'a [Arrival],
    org: OrgName,
    hosts: Vec<Host>,
    events: BTreeMap<(u64, u64), Event>,
    serial: u64,
    log: Vec<(u64, RightsRecord)>,
    dead: usize,
    now: u64,
    outcome: Outcome,
    served: Vec<u64>,
}

/// Returns the holders of a fleet; host `n` stands in zone `n % ZONES`.
pub fn holders(hosts: usize) -> Result<Vec<Holder>, Box<dyn std::error::Error>> {
    let zones = ["duluth-yard", "toledo-yard", "erie-yard"];
    (0..hosts)
        .map(|number| {
            Ok(Holder {
                process: Process {
                    host: HostName::new(&format!("entry-{number}"))?,
                    incarnation: Incarnation(1),
                },
                zone: ZoneName::new(zones[number % ZONES])?,
                address: format!("10.0.{}.{}:7000", number / 250, number % 250).parse()?,
            })
        })
        .collect()
}

/// Returns the number of a host that becomes a home.
pub fn find_lender(names: &[Holder], org: &OrgName) -> usize {
    let weight = |holder: &&Holder| {
        let host = holder.process.host.as_str();
        eelgrasshill_domain::rendezvous_weight(host, org.as_str())
    };
    let zone = names.iter().filter(|holder| holder.zone == names[1].zone);
    let lender = zone.max_by_key(weight);
    names.iter().position(|n| Some(n) == lender).unwrap_or(0)
}

impl<'a> Fleet<'a> {
    pub fn new(
        case: Case,
        names: &[Holder],
        org: &OrgName,
        arrivals: &'a [Arrival],
        settings: LimitSettings,
    ) -> Self {
        let share = limit();
        let limits = BTreeMap::from([(
            org.clone(),
            Limit {
                version: Version(1),
                share,
            },
        )]);
        let host = |me: &Holder| {
            let mut limiter = Limiter::new(me.clone(), settings);
            limiter.configure(Version(1), limits.clone(), Moment(0));
            limiter.set_members(names.iter().cloned());
            Host {
                limiter,
                queue: VecDeque::new(),
                wake: 0,
                retry: u64::MAX,
                offset: 0,
            }
        };
        Self {
            case,
            arrivals,
            org: org.clone(),
            hosts: names.iter().map(host).collect(),
            events: BTreeMap::new(),
            serial: 0,
            log: Vec::new(),
            dead: find_lender(names, org),
            now: 0,
            outcome: Outcome::new(arrivals.len()),
            served: vec![0; names.len()],
        }
    }

    /// Runs to the end and returns what was admitted.
    pub fn run(mut self) -> Outcome {
        let mut next = 0;
        while self.now < END + 2 * PATIENCE {
            self.now += 1;
            self.read_log();
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            while let Some(arrival) = self.arrivals.get(next).filter(|a| a.at <= self.now) {
                self.hosts[arrival.host].queue.push_back(next);
                self.serve(arrival.host);
                next += 1;
            }
            for number in 0..self.hosts.len() {
                let host = &self.hosts[number];
                if !host.queue.is_empty() && host.retry <= self.now {
                    self.serve(number);
                }
                if self.hosts[number].wake <= self.now && !self.is_dead(number) {
                    self.poll(number);
                }
            }
        }
        self.outcome.busiest = self.served.iter().copied().max().unwrap_or(0);
        self.outcome
    }

    fn is_dead(&self, number: usize) -> bool {
        number == self.dead && self.case.is_dead(self.now)
    }

    fn is_apart(&self, one: usize, two: usize) -> bool {
        let cut = |host: usize| self.case.is_cut(host % ZONES, self.now);
        one % ZONES != two % ZONES && (cut(one) || cut(two))
    }

    fn read_log(&mut self) {
        if self.case.is_log_out(self.now) || !self.now.is_multiple_of(10) {
            return;
        }
        for number in 0..self.hosts.len() {
            if self.case.is_cut(number % ZONES, self.now) || self.is_dead(number) {
                continue;
            }
            let host = &mut self.hosts[number];
            while let Some((_at, record)) = self.log.get(host.offset) {
                let offset = Offset(host.offset as u64);
                host.limiter.read(offset, record, Moment(self.now));
                host.offset += 1;
                host.wake = 0;
            }
            host.limiter.mark_caught_up(Moment(self.now));
        }
    }

    fn push(&mut self, after: u64, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + after, self.serial), event);
    }

    fn handle(&mut self, event: Event) {
        let now = Moment(self.now);
        match event {
            Event::Land(record) => self.log.push((self.now, record)),
            Event::Settle(number, id, used) => {
                self.hosts[number].limiter.settle(id, used, now);
            }
            Event::Request(to, request) => {
                if self.is_dead(to) {
                    return;
                }
                let from = number(&request.borrower);
                if self.now >= START {
                    self.served[to] += 1;
                    self.outcome.messages += 2;
                }
                let reply = self.hosts[to].limiter.lend(&request, now);
                let apart = self.is_apart(from, to);
                if let Some(reply) = reply.filter(|_reply| !apart) {
                    self.push(HOP, Event::Reply(from, reply));
                }
            }
            Event::Reply(to, reply) => {
                self.hosts[to].limiter.receive(&reply, now);
                self.poll(to);
            }
        }
    }

    fn poll(&mut self, slot: usize) {
        let effects = self.hosts[slot].limiter.poll(Moment(self.now));
        for effect in effects {
            match effect {
                Effect::Borrow { lender, request } => {
                    let to = number(&lender.process);
                    if !self.is_apart(slot, to) {
                        self.push(HOP, Event::Request(to, request));
                    }
                }
                Effect::Append(record) => {
                    let cut = self.case.is_cut(slot % ZONES, self.now);
                    if !cut && !self.case.is_log_out(self.now) {
                        self.push(LOG_DELAY, Event::Land(record));
                    }
                }
                Effect::Ready(_organisation) => self.serve(slot),
            }
        }
        self.hosts[slot].wake = self.hosts[slot].limiter.next_wake().0;
    }

    /// Admits waiting requests in order, as far as the tokens reach.
    fn serve(&mut self, number: usize) {
        while let Some(&index) = self.hosts[number].queue.front() {
            let arrival = self.arrivals[index];
            if self.now > arrival.at + PATIENCE {
                self.hosts[number].queue.pop_front();
                continue;
            }
            let host = &mut self.hosts[number];
            let retry = match host
                .limiter
                .admit(&self.org, arrival.cost, Moment(self.now))
            {
                Admission::Admitted(id) => {
                    host.queue.pop_front();
                    self.outcome.admit(index, arrival.used, self.now);
                    self.push(arrival.runs, Event::Settle(number, id, arrival.used));
                    continue;
                }
                Admission::Wait(until) => until.0,
                Admission::Refused(Refusal::Scarce { retry } | Refusal::Unreachable { retry }) => {
                    self.now + u64::try_from(retry.as_millis()).unwrap_or(PATIENCE).max(1)
                }
                Admission::Refused(Refusal::TooLarge { .. } | Refusal::Unknown { .. }) => {
                    host.queue.pop_front();
                    continue;
                }
            };
            host.retry = retry.min(self.now + PATIENCE);
            host.wake = 0;
            return;
        }
        self.hosts[number].retry = u64::MAX;
    }
}

fn number(process: &Process) -> usize {
    let digits = process.host.as_str().trim_start_matches("entry-");
    digits.parse().unwrap_or(0)
}
