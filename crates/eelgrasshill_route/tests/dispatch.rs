//! Tickets are neither lost nor started twice, and start only where they may.

#![expect(
    clippy::unwrap_used,
    reason = "a failed helper fails its test, and the figures are small"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshill_domain::{
    AdapterName, Class, HostName, ModelName, Moment, OrgName, PoolName, ZoneName,
};
use eelgrasshill_route::{
    Cancelled, ChoicePolicy, Decision, DispatchSettings, Dispatcher, LeastLoaded, Observation,
    PrefixHash, PrefixTwoChoices, Presence, Random, RefusalCause, Report, Requirement, Resident,
    Ticket, TicketId, Upstream, View,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 400;
const HOSTS: u8 = 6;
const MODELS: u8 = 4;
const LIMIT: usize = 24;

/// What the dispatcher is not told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Switch {
    Sound,
    /// The view shows leaving hosts as live.
    NoLeaving,
    /// The traffic's observations stay away.
    NoObservations,
    /// A repeated request gets a fresh ticket id.
    NoDuplicates,
    /// The view shows every host as holding every model.
    NoIndex,
    /// Tickets leave out the hosts that they must avoid.
    NoAvoid,
}

#[derive(Clone, Debug, PartialEq)]
enum Violation {
    StartedTwice(u64),
    StartedAfterEnd(u64),
    WrongHost(&'static str, HostName),
    Lost(usize),
    Overfull(Class),
    MissTooSoon,
}

#[derive(Default)]
struct Truth {
    leaving: BTreeSet<u8>,
    told: BTreeSet<u8>,
    failed: BTreeMap<u8, (Moment, u32)>,
    resident: BTreeSet<(u8, u8)>,
}

struct Trial<P> {
    switch: Switch,
    dispatcher: Dispatcher<P>,
    truth: Truth,
    view: View,
    now: Moment,
    next: u64,
    waiting: BTreeMap<u64, Ticket>,
    running: BTreeSet<u64>,
    started: BTreeSet<u64>,
    real: BTreeMap<u64, u64>,
    misses: BTreeMap<Requirement, Moment>,
}

fn name(n: u8) -> HostName {
    HostName::new(&format!("engine-{n}")).unwrap()
}

fn model(n: u8) -> ModelName {
    ModelName::new(&format!("model-{n}")).unwrap()
}

fn zone(n: u8) -> ZoneName {
    ZoneName::new(&format!("zone-{}", n % 3)).unwrap()
}

fn pool(n: u8) -> PoolName {
    PoolName::new(if n == 0 { "plain" } else { "engines" }).unwrap()
}

fn number(host: &HostName) -> u8 {
    host.as_str().trim_start_matches("engine-").parse().unwrap()
}

impl<P: ChoicePolicy> Trial<P> {
    fn new(switch: Switch, policy: P) -> Self {
        let settings = DispatchSettings {
            class_limit: LIMIT,
            ..DispatchSettings::default()
        };
        let mut trial = Self {
            switch,
            dispatcher: Dispatcher::new(settings, policy),
            truth: Truth::default(),
            view: View::new(&zone(0), Vec::new()),
            now: Moment(1_000),
            next: 0,
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
            started: BTreeSet::new(),
            real: BTreeMap::new(),
            misses: BTreeMap::new(),
        };
        for host in 1..HOSTS {
            trial.truth.resident.insert((host, host % MODELS));
        }
        trial.look(0);
        trial
    }

    /// Gives the host a new view, with reports of random age and load.
    fn look(&mut self, byte: u8) {
        let upstreams = (0..HOSTS).map(|n| {
            let mut upstream = Upstream::new(name(n), pool(n), zone(n));
            if self.truth.leaving.contains(&n) && self.switch != Switch::NoLeaving {
                upstream = upstream.with_presence(Presence::Leaving);
            }
            for m in 0..MODELS {
                if self.truth.resident.contains(&(n, m)) || self.switch == Switch::NoIndex {
                    upstream = upstream.with_resident(Resident {
                        model: model(m),
                        version: "1".to_owned(),
                        adapters: vec![AdapterName::new("a").unwrap()],
                    });
                }
            }
            if byte.is_multiple_of(5) {
                return upstream;
            }
            let lag = u64::from(byte) * 16;
            upstream.with_report(Report {
                running: u32::from(byte.rotate_left(u32::from(n)) % 6),
                waiting: 0,
                slots: 4,
                taken_at: Moment(self.now.0.saturating_sub(lag)),
            })
        });
        self.view = View::new(&zone(0), upstreams.collect());
    }

    fn offer(&mut self, byte: u8, again: bool) {
        let real = if again { self.next / 2 } else { self.next };
        self.next += u64::from(!again);
        let id = if again && self.switch == Switch::NoDuplicates {
            self.next += 1;
            self.next + 1_000_000
        } else {
            real
        };
        let class = [Class::Urgent, Class::Interactive, Class::Batch][usize::from(byte % 3)];
        let requirement = match byte % 8 {
            0 => Requirement::Plain,
            1 => Requirement::Model {
                model: model(byte / 8 % MODELS),
                adapter: Some(AdapterName::new("a").unwrap()),
                version: Some("1".to_owned()),
            },
            _ => Requirement::new(model(byte / 8 % MODELS)),
        };
        let pool = pool(u8::from(requirement != Requirement::Plain));
        let deadline = Moment(self.now.0 + u64::from(byte) * 40);
        let mut ticket = Ticket::new(TicketId(id), class, pool, requirement, 300, deadline)
            .with_prefix(PrefixHash(u64::from(byte / 16)));
        if !byte.is_multiple_of(4) {
            let org = OrgName::new(&format!("org-{}", byte % 4)).unwrap();
            ticket = ticket.with_organisation(org);
        }
        let full = if byte % 4 == 3 {
            vec![name(byte / 16 % HOSTS)]
        } else {
            Vec::new()
        };
        let told = if self.switch == Switch::NoAvoid {
            Vec::new()
        } else {
            full.clone()
        };
        let offered = self
            .dispatcher
            .offer(ticket.clone().with_avoid(told), self.now);
        let open = self.waiting.contains_key(&id) || self.running.contains(&id);
        match offered {
            Ok(()) => {
                assert!(!open, "an open id was taken twice");
                self.real.insert(id, real);
                self.waiting.insert(id, ticket.with_avoid(full));
            }
            Err(refusal) => {
                assert!(open == (refusal.cause == RefusalCause::Duplicate));
                assert!(refusal.retry_after > Duration::ZERO);
            }
        }
    }

    fn poll(&mut self) -> Result<(), Violation> {
        for decision in self.dispatcher.poll(&self.view, self.now) {
            match decision {
                Decision::Start { ticket, host } => self.start(ticket.id.0, &host)?,
                Decision::Expired { ticket, .. } => {
                    let ended = self.waiting.remove(&ticket.id.0);
                    ended.ok_or(Violation::StartedAfterEnd(ticket.id.0))?;
                }
                Decision::Miss(miss) => {
                    let last = self.misses.insert(miss.requirement, self.now);
                    if last.is_some_and(|at| self.now.0 < at.0 + 1_000) {
                        return Err(Violation::MissTooSoon);
                    }
                }
            }
        }
        for class in [Class::Urgent, Class::Interactive, Class::Batch] {
            if self.dispatcher.waiting(&pool(1), class) > LIMIT {
                return Err(Violation::Overfull(class));
            }
        }
        Ok(())
    }

    fn start(&mut self, id: u64, host: &HostName) -> Result<(), Violation> {
        let real = self.real[&id];
        let ticket = self
            .waiting
            .remove(&id)
            .ok_or(Violation::StartedAfterEnd(id))?;
        let wrong = |why| Err(Violation::WrongHost(why, host.clone()));
        // The same request may come again only after its earlier ticket was finished.
        if self.running.iter().any(|open| self.real[open] == real) {
            return Err(Violation::StartedTwice(real));
        }
        self.started.insert(real);
        self.running.insert(id);
        let n = number(host);
        if self.truth.leaving.contains(&n) || self.truth.told.contains(&n) {
            return wrong("leaving");
        }
        if ticket.avoid.contains(host) && self.has_other(n, &ticket) {
            return wrong("avoided");
        }
        if self
            .truth
            .failed
            .get(&n)
            .is_some_and(|(until, _)| self.now < *until)
        {
            return wrong("suspected");
        }
        if let Requirement::Model { model: m, .. } = &ticket.requirement
            && !(0..MODELS).any(|k| model(k) == *m && self.truth.resident.contains(&(n, k)))
        {
            return wrong("not resident");
        }
        if ticket.deadline <= self.now {
            return wrong("late");
        }
        Ok(())
    }

    /// Returns whether some other host surely takes requests for the ticket's work.
    fn has_other(&self, n: u8, ticket: &Ticket) -> bool {
        (0..HOSTS).any(|other| {
            let holds = match &ticket.requirement {
                Requirement::Plain => other == 0,
                Requirement::Model { model: m, .. } => {
                    (0..MODELS).any(|k| model(k) == *m && self.truth.resident.contains(&(other, k)))
                }
            };
            other != n
                && holds
                && !self.truth.leaving.contains(&other)
                && !self.truth.told.contains(&other)
                && !self.truth.failed.contains_key(&other)
        })
    }

    fn observe(&mut self, n: u8, seen: Observation) {
        if self.switch != Switch::NoObservations {
            self.dispatcher.observe(&name(n), seen, self.now);
        }
    }

    fn step(&mut self, kind: u8, byte: u8) -> Result<(), Violation> {
        let n = 1 + byte % (HOSTS - 1);
        match kind % 16 {
            0..=5 => self.offer(byte, false),
            6 => self.offer(byte, true),
            7 | 8 => {
                let first = self.running.first().copied();
                if let Some(id) = first {
                    self.running.remove(&id);
                    assert!(self.dispatcher.finish(TicketId(id), self.now));
                }
            }
            9 => {
                let id = u64::from(byte);
                let was = self.dispatcher.cancel(TicketId(id), self.now);
                let waited = self.waiting.remove(&id).is_some();
                let ran = self.running.remove(&id);
                assert_eq!(was == Cancelled::Waiting, waited);
                assert_eq!(matches!(was, Cancelled::Running(_)), ran);
            }
            10 if byte < 40 => {
                self.truth.leaving.insert(n);
                self.look(byte);
            }
            11 => {
                self.truth.resident.insert((n, byte % MODELS));
                self.look(byte);
            }
            12 if byte < 30 => {
                self.truth.told.insert(n);
                self.observe(n, Observation::Leaving);
            }
            13 => {
                // Each suspicion lasts twice as long; a failure within one adds nothing.
                let (until, faults) = self.truth.failed.get(&n).copied().unwrap_or_default();
                if self.now >= until {
                    let lapse = Duration::from_millis(8_000.min(500 << faults.min(8)));
                    let suspicion = (self.now.after(lapse), faults + 1);
                    self.truth.failed.insert(n, suspicion);
                }
                self.observe(n, Observation::ConnectFailed);
            }
            14 => self.look(byte),
            _ => self.now = Moment(self.now.0 + u64::from(byte) * 2),
        }
        self.poll()
    }

    fn run(mut self, script: &[u8]) -> Result<usize, Violation> {
        for pair in script.chunks_exact(2) {
            self.step(pair[0], pair[1])?;
        }
        // Every ticket ends by its deadline at the latest, woken only when the dispatcher asks.
        while let Some(at) = self.dispatcher.next_wake(self.now) {
            if self.waiting.is_empty() {
                break;
            }
            self.now = at.max(Moment(self.now.0 + 1));
            self.poll()?;
        }
        if !self.waiting.is_empty() {
            return Err(Violation::Lost(self.waiting.len()));
        }
        assert_eq!(self.dispatcher.running(), self.running.len());
        Ok(self.started.len())
    }
}

fn script(seed: u64) -> Vec<u8> {
    let mut random = StdRng::seed_from_u64(seed);
    (0..240).map(|_| random.random()).collect()
}

#[test]
fn tickets_end_once_where_they_may() {
    let mut started = 0;
    for seed in 0..SEEDS {
        let script = script(seed);
        let random = Random::new(StdRng::seed_from_u64(seed));
        let verdicts = [
            Trial::new(Switch::Sound, PrefixTwoChoices).run(&script),
            Trial::new(Switch::Sound, LeastLoaded).run(&script),
            Trial::new(Switch::Sound, random).run(&script),
        ];
        for verdict in verdicts {
            started += verdict.unwrap_or_else(|v| panic!("seed {seed}: {v:?}"));
        }
    }
    assert!(started > 10_000, "only {started} tickets started");
}

#[test]
fn tickets_end_once_under_generated_events() {
    bolero::check!()
        .with_iterations(500)
        .with_type::<Vec<u8>>()
        .for_each(|script| {
            let verdict = Trial::new(Switch::Sound, PrefixTwoChoices).run(script);
            assert!(verdict.is_ok(), "{:?}", verdict.err());
        });
}

#[test]
fn each_knowledge_is_needed() {
    let switches = [
        Switch::NoLeaving,
        Switch::NoObservations,
        Switch::NoDuplicates,
        Switch::NoIndex,
        Switch::NoAvoid,
    ];
    for switch in switches {
        let red = (0..SEEDS)
            .filter(|seed| {
                Trial::new(switch, PrefixTwoChoices)
                    .run(&script(*seed))
                    .is_err()
            })
            .count();
        println!("{switch:?}: {red} of {SEEDS} seeds red");
        assert!(red > 20, "{switch:?} was red on {red} seeds only");
    }
}

struct LoadCase {
    name: &'static str,
    report: Option<Report>,
    peers: u32,
    /// Moments at which a ticket is offered, and whether it must start at once.
    offers: Vec<(u64, bool)>,
}

#[test]
fn load_is_the_report_and_what_came_since() {
    let report = |running, taken_at| {
        Some(Report {
            running,
            waiting: 0,
            slots: 4,
            taken_at: Moment(taken_at),
        })
    };
    let cases = [
        LoadCase {
            name: "own starts since the report fill the slots",
            report: report(2, 100),
            peers: 1,
            offers: vec![(200, true), (210, true), (220, false)],
        },
        LoadCase {
            name: "each start counts for all entry hosts",
            report: report(1, 100),
            peers: 3,
            offers: vec![(200, true), (210, false)],
        },
        LoadCase {
            name: "a full upstream gets nothing",
            report: report(4, 100),
            peers: 1,
            offers: vec![(200, false), (10_099, false)],
        },
        LoadCase {
            name: "an old report does not keep work off for good",
            report: report(4, 100),
            peers: 1,
            offers: vec![(200, false), (10_100, true)],
        },
        LoadCase {
            name: "without a report eight slots are assumed",
            report: None,
            peers: 4,
            offers: vec![(200, true), (210, true), (220, false)],
        },
    ];
    for case in cases {
        let settings = DispatchSettings {
            peers: case.peers,
            interactive_age: Duration::from_mins(1),
            ..DispatchSettings::default()
        };
        let mut dispatcher = Dispatcher::new(settings, PrefixTwoChoices);
        let mut upstream = Upstream::new(name(0), pool(0), zone(0));
        upstream.report = case.report;
        let view = View::new(&zone(0), vec![upstream]);
        for (at, starts) in case.offers {
            let class = Class::Interactive;
            let ticket = Ticket::new(
                TicketId(at),
                class,
                pool(0),
                Requirement::Plain,
                1,
                Moment(60_000),
            );
            dispatcher.offer(ticket, Moment(at)).unwrap();
            let decisions = dispatcher.poll(&view, Moment(at));
            assert_eq!(!decisions.is_empty(), starts, "{} at {at}", case.name);
        }
    }
}

#[test]
fn last_resorts_are_used_only_when_nothing_else_is_open() {
    struct Case {
        name: &'static str,
        avoid: Vec<u8>,
        presence: [Presence; 2],
        down: Vec<u8>,
        slots: u32,
        expected: Option<u8>,
    }
    let live = [Presence::Live; 2];
    let case = |name, expected| Case {
        name,
        avoid: Vec::new(),
        presence: live,
        down: Vec::new(),
        slots: 4,
        expected,
    };
    let suspected = [Presence::Suspected, Presence::Live];
    let cases = [
        Case {
            avoid: vec![1],
            ..case("the other host is open", Some(2))
        },
        Case {
            avoid: vec![1, 2],
            ..case("all have failed it", Some(1))
        },
        Case {
            avoid: vec![1],
            down: vec![2],
            ..case("the other is down", Some(1))
        },
        Case {
            presence: suspected,
            ..case("the host list suspects one", Some(2))
        },
        Case {
            presence: [Presence::Suspected; 2],
            ..case("it suspects all", Some(1))
        },
        Case {
            presence: [Presence::Leaving; 2],
            ..case("all leave", None)
        },
        Case {
            down: vec![1, 2],
            ..case("all are down", None)
        },
        Case {
            slots: 0,
            ..case("no host has slots", None)
        },
    ];
    for case in cases {
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), LeastLoaded);
        let now = Moment(1_000);
        let upstreams = [1_u8, 2].map(|n| {
            Upstream::new(name(n), pool(0), zone(0))
                .with_presence(case.presence[usize::from(n) - 1])
                .with_report(Report {
                    running: u32::from(n),
                    waiting: 0,
                    slots: case.slots,
                    taken_at: now,
                })
        });
        for n in case.down {
            dispatcher.observe(&name(n), Observation::ConnectFailed, now);
        }
        let class = Class::Interactive;
        let ticket = Ticket::new(
            TicketId(1),
            class,
            pool(0),
            Requirement::Plain,
            1,
            Moment(60_000),
        )
        .with_avoid(case.avoid.into_iter().map(name).collect());
        dispatcher.offer(ticket, now).unwrap();
        let decisions = dispatcher.poll(&View::new(&zone(0), upstreams.into()), now);
        let host = decisions.iter().find_map(|decision| match decision {
            Decision::Start { host, .. } => Some(number(host)),
            Decision::Expired { .. } | Decision::Miss(_) => None,
        });
        assert_eq!(host, case.expected, "{}", case.name);
    }
}
