//! This crate's design: a limiter on every host, connected by a simulated network and log.
//!
//! All times are in ms of simulated time.

use std::collections::{BTreeMap, VecDeque};

use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, OrgName, Version, ZoneName};
use eelgrasshill_limit::{
    Admission, AllSafeguards, BorrowReply, BorrowRequest, Effect, Holder, Limit, LimitRefusal,
    LimitSettings, Limiter, Process, ReservationId, RightsRecord,
};

use crate::load::{
    ARRIVALS_END_MS, ARRIVALS_START_MS, Arrival, MAX_WAIT_MS, Outcome, Scenario, ZONES, limit,
};

/// The delay of a message between any two hosts.
const HOP_MS: u64 = 1;

/// The delay from an append until the record can be read.
const LOG_DELAY_MS: u64 = 20;

/// How often hosts read the log.
const LOG_POLL_INTERVAL_MS: u64 = 10;

struct Host {
    limiter: Limiter<AllSafeguards>,
    /// Indices of the arrivals that wait.
    queue: VecDeque<usize>,
    wake_at: u64,
    /// When the first waiting arrival is tried again.
    retry_at: u64,
    /// The offset of the next record to read.
    offset: usize,
}

enum Event {
    /// A message to the host of this number.
    Request(usize, BorrowRequest),
    Reply(usize, BorrowReply),
    AppendToLog(RightsRecord),
    /// Host number, reservation and used tokens.
    Settle(usize, ReservationId, u64),
}

/// The state of a simulated fleet.
pub struct Fleet<'a> {
    scenario: Scenario,
    arrivals: &'a [Arrival],
    org: OrgName,
    hosts: Vec<Host>,
    /// Events by due time and event number, which keeps the order of scheduling.
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    /// Time of the append and record.
    log: Vec<(u64, RightsRecord)>,
    /// The lender that fails in [`Scenario::DeadLender`].
    failed_host: usize,
    now: u64,
    outcome: Outcome,
    /// Requests that each host received as a lender.
    lender_requests: Vec<u64>,
}

/// Returns the holders of a fleet; host `n` is in zone `n % ZONES`.
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

/// Returns the index of the host that will be the lender in the zone of host 1.
///
/// It is the one with the highest rendezvous weight.
pub fn find_lender(holders: &[Holder], org: &OrgName) -> usize {
    let weight = |holder: &&Holder| {
        let host = holder.process.host.as_str();
        eelgrasshill_domain::rendezvous_weight(host, org.as_str())
    };
    let zone = holders
        .iter()
        .filter(|holder| holder.zone == holders[1].zone);
    let lender = zone.max_by_key(weight);
    holders
        .iter()
        .position(|holder| Some(holder) == lender)
        .unwrap_or(0)
}

impl<'a> Fleet<'a> {
    pub fn new(
        scenario: Scenario,
        holders: &[Holder],
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
            limiter.set_members(holders.iter().cloned());
            Host {
                limiter,
                queue: VecDeque::new(),
                wake_at: 0,
                retry_at: u64::MAX,
                offset: 0,
            }
        };
        Self {
            scenario,
            arrivals,
            org: org.clone(),
            hosts: holders.iter().map(host).collect(),
            events: BTreeMap::new(),
            event_count: 0,
            log: Vec::new(),
            failed_host: find_lender(holders, org),
            now: 0,
            outcome: Outcome::new(arrivals.len()),
            lender_requests: vec![0; holders.len()],
        }
    }

    /// Runs the simulation to its end and returns the outcome.
    pub fn run(mut self) -> Outcome {
        let mut next = 0;
        while self.now < ARRIVALS_END_MS + 2 * MAX_WAIT_MS {
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
                self.admit_waiting(arrival.host);
                next += 1;
            }
            for number in 0..self.hosts.len() {
                let host = &self.hosts[number];
                if !host.queue.is_empty() && host.retry_at <= self.now {
                    self.admit_waiting(number);
                }
                if self.hosts[number].wake_at <= self.now && !self.is_lender_down(number) {
                    self.poll(number);
                }
            }
        }
        self.outcome.busiest_host_requests =
            self.lender_requests.iter().copied().max().unwrap_or(0);
        self.outcome
    }

    fn is_lender_down(&self, number: usize) -> bool {
        number == self.failed_host && self.scenario.is_lender_down(self.now)
    }

    fn are_partitioned(&self, one: usize, two: usize) -> bool {
        let cut = |host: usize| self.scenario.is_partitioned(host % ZONES, self.now);
        one % ZONES != two % ZONES && (cut(one) || cut(two))
    }

    fn read_log(&mut self) {
        if self.scenario.is_log_down(self.now) || !self.now.is_multiple_of(LOG_POLL_INTERVAL_MS) {
            return;
        }
        for number in 0..self.hosts.len() {
            if self.scenario.is_partitioned(number % ZONES, self.now) || self.is_lender_down(number)
            {
                continue;
            }
            let host = &mut self.hosts[number];
            while let Some((_at, record)) = self.log.get(host.offset) {
                let offset = Offset(host.offset as u64);
                host.limiter.read(offset, record, Moment(self.now));
                host.offset += 1;
                host.wake_at = 0;
            }
            host.limiter.mark_caught_up(Moment(self.now));
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay_ms, self.event_count), event);
    }

    fn handle(&mut self, event: Event) {
        let now = Moment(self.now);
        match event {
            Event::AppendToLog(record) => self.log.push((self.now, record)),
            Event::Settle(number, id, used) => {
                self.hosts[number].limiter.settle(id, used, now);
            }
            Event::Request(to, request) => {
                if self.is_lender_down(to) {
                    return;
                }
                let from = host_index(&request.borrower);
                if self.now >= ARRIVALS_START_MS {
                    self.lender_requests[to] += 1;
                    self.outcome.messages += 2;
                }
                let reply = self.hosts[to].limiter.lend(&request, now);
                let partitioned = self.are_partitioned(from, to);
                if let Some(reply) = reply.filter(|_reply| !partitioned) {
                    self.schedule(HOP_MS, Event::Reply(from, reply));
                }
            }
            Event::Reply(to, reply) => {
                self.hosts[to].limiter.receive(&reply, now);
                self.poll(to);
            }
        }
    }

    fn poll(&mut self, number: usize) {
        let effects = self.hosts[number].limiter.poll(Moment(self.now));
        for effect in effects {
            match effect {
                Effect::Borrow { lender, request } => {
                    let to = host_index(&lender.process);
                    if !self.are_partitioned(number, to) {
                        self.schedule(HOP_MS, Event::Request(to, request));
                    }
                }
                Effect::Append(record) => {
                    let cut = self.scenario.is_partitioned(number % ZONES, self.now);
                    if !cut && !self.scenario.is_log_down(self.now) {
                        self.schedule(LOG_DELAY_MS, Event::AppendToLog(record));
                    }
                }
                Effect::Ready(_organisation) => self.admit_waiting(number),
            }
        }
        self.hosts[number].wake_at = self.hosts[number].limiter.next_wake().0;
    }

    /// Admits waiting requests in order until one must wait.
    fn admit_waiting(&mut self, number: usize) {
        while let Some(&index) = self.hosts[number].queue.front() {
            let arrival = self.arrivals[index];
            if self.now > arrival.at + MAX_WAIT_MS {
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
                    self.schedule(arrival.duration_ms, Event::Settle(number, id, arrival.used));
                    continue;
                }
                Admission::Wait(until) => until.0,
                Admission::Refused(
                    LimitRefusal::Scarce { retry } | LimitRefusal::Unreachable { retry },
                ) => {
                    self.now
                        + u64::try_from(retry.as_millis())
                            .unwrap_or(MAX_WAIT_MS)
                            .max(1)
                }
                Admission::Refused(
                    LimitRefusal::TooLarge { .. } | LimitRefusal::Unknown { .. },
                ) => {
                    host.queue.pop_front();
                    continue;
                }
            };
            host.retry_at = retry.min(self.now + MAX_WAIT_MS);
            host.wake_at = 0;
            return;
        }
        self.hosts[number].retry_at = u64::MAX;
    }
}

fn host_index(process: &Process) -> usize {
    let digits = process.host.as_str().trim_start_matches("entry-");
    digits.parse().unwrap_or(0)
}
