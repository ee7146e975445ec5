//! Tests that the dispatcher ends each ticket exactly once and starts it only on a valid upstream.
//!
//! Random scripts of offers, ends, cancellations, failures and view changes run against a
//! dispatcher, and the true state of the hosts checks every decision. The test must also detect
//! when one input of the dispatcher is withheld.

#![expect(
    clippy::unwrap_used,
    reason = "a failed helper fails its test, and the numbers are small"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshill_domain::{
    AdapterName, Class, HostName, ModelName, Moment, OrgName, PoolName, ZoneName,
};
use eelgrasshill_route::{
    Cancelled, ChoicePolicy, ConnectionOutcome, Decision, DispatchSettings, Dispatcher,
    LeastLoaded, PrefixHash, PrefixTwoChoices, Presence, Random, RefusalCause, Requirement,
    ResidentModel, Ticket, TicketId, Upstream, UpstreamReport, View,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 400;
const HOSTS: u8 = 6;
const MODELS: u8 = 4;
const CLASS_LIMIT: usize = 24;
const MIN_SUSPICION_MS: u64 = 500;
const MAX_SUSPICION_MS: u64 = 8_000;
/// Least time between two reports of the same miss.
const MISS_INTERVAL_MS: u64 = 1_000;
/// Seeds of which more must break a rule if an input is withheld.
const MIN_FAILED_SEEDS: usize = 20;

/// Input that is withheld from the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Omission {
    Nothing,
    /// The view shows hosts that are leaving as live.
    LeavingHosts,
    /// Outcomes of connections are not reported.
    Observations,
    /// A repeated request gets a new ticket id.
    TicketIds,
    /// The view shows every model as loaded on every host.
    Residents,
    /// Tickets do not list the hosts to avoid.
    AvoidedHosts,
}

/// Rule that the dispatcher has broken.
#[derive(Clone, Debug, PartialEq)]
enum Violation {
    StartedTwice(u64),
    /// A ticket was started that did not wait.
    StartedWhenNotWaiting(u64),
    /// A ticket expired that did not wait.
    ExpiredWhenNotWaiting(u64),
    /// A ticket was started on a host, or at a time, that this reason rules out.
    WrongHost(&'static str, HostName),
    /// Number of tickets that neither started nor expired.
    NeverEnded(usize),
    QueueOverLimit(Class),
    /// A miss was reported again within a second.
    MissTooSoon,
}

/// True state of the hosts, whatever the dispatcher is told.
#[derive(Default)]
struct TrueState {
    /// Hosts that the host list shows as leaving.
    leaving: BTreeSet<u8>,
    /// Hosts that said on a connection that they are leaving.
    said_leaving: BTreeSet<u8>,
    /// End of the last suspicion and number of failures, by host.
    suspicions: BTreeMap<u8, (Moment, u32)>,
    /// Pairs of a host and a model that it has loaded.
    resident: BTreeSet<(u8, u8)>,
}

struct Simulation<P> {
    omission: Omission,
    dispatcher: Dispatcher<P>,
    truth: TrueState,
    view: View,
    now: Moment,
    /// Number of the next request.
    next_request: u64,
    waiting: BTreeMap<u64, Ticket>,
    running: BTreeSet<u64>,
    started: BTreeSet<u64>,
    /// Request of each ticket, which stays the same when the request is repeated.
    request_of: BTreeMap<u64, u64>,
    /// Time of the last miss of each requirement.
    misses: BTreeMap<Requirement, Moment>,
}

fn host_name(n: u8) -> HostName {
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

fn host_number(host: &HostName) -> u8 {
    host.as_str().trim_start_matches("engine-").parse().unwrap()
}

impl<P: ChoicePolicy> Simulation<P> {
    fn new(omission: Omission, policy: P) -> Self {
        let settings = DispatchSettings {
            class_limit: CLASS_LIMIT,
            ..DispatchSettings::default()
        };
        let mut simulation = Self {
            omission,
            dispatcher: Dispatcher::new(settings, policy),
            truth: TrueState::default(),
            view: View::new(&zone(0), Vec::new()),
            now: Moment(1_000),
            next_request: 0,
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
            started: BTreeSet::new(),
            request_of: BTreeMap::new(),
            misses: BTreeMap::new(),
        };
        for host in 1..HOSTS {
            simulation.truth.resident.insert((host, host % MODELS));
        }
        simulation.refresh_view(0);
        simulation
    }

    /// Builds a new view, with reports of random age and load.
    fn refresh_view(&mut self, byte: u8) {
        let upstreams = (0..HOSTS).map(|n| {
            let mut upstream = Upstream::new(host_name(n), pool(n), zone(n));
            if self.truth.leaving.contains(&n) && self.omission != Omission::LeavingHosts {
                upstream = upstream.with_presence(Presence::Leaving);
            }
            for m in 0..MODELS {
                if self.truth.resident.contains(&(n, m)) || self.omission == Omission::Residents {
                    upstream = upstream.with_resident(ResidentModel {
                        model: model(m),
                        version: "1".to_owned(),
                        adapters: vec![AdapterName::new("a").unwrap()],
                    });
                }
            }
            if byte.is_multiple_of(5) {
                return upstream;
            }
            let report_age_ms = u64::from(byte) * 16;
            upstream.with_report(UpstreamReport {
                running: u32::from(byte.rotate_left(u32::from(n)) % 6),
                waiting: 0,
                slots: 4,
                taken_at: Moment(self.now.0.saturating_sub(report_age_ms)),
            })
        });
        self.view = View::new(&zone(0), upstreams.collect());
    }

    /// Offers a ticket for a new request or again for an earlier one.
    ///
    /// The byte decides on class, requirement, deadline, prefix, organisation and avoided host.
    fn offer(&mut self, byte: u8, repeated: bool) {
        // A repeat is of the request with half the next number.
        let request = if repeated {
            self.next_request / 2
        } else {
            self.next_request
        };
        self.next_request += u64::from(!repeated);
        let id = if repeated && self.omission == Omission::TicketIds {
            self.next_request += 1;
            self.next_request + 1_000_000
        } else {
            request
        };
        let class = [Class::Urgent, Class::Interactive, Class::Batch][usize::from(byte % 3)];
        let requirement = match byte % 8 {
            0 => Requirement::Plain,
            1 => Requirement::Model {
                model: model(byte / 8 % MODELS),
                adapter: Some(AdapterName::new("a").unwrap()),
                version: Some("1".to_owned()),
                software: None,
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
        let avoid = if byte % 4 == 3 {
            vec![host_name(byte / 16 % HOSTS)]
        } else {
            Vec::new()
        };
        let avoid_told_to_dispatcher = if self.omission == Omission::AvoidedHosts {
            Vec::new()
        } else {
            avoid.clone()
        };
        let offered = self.dispatcher.offer(
            ticket.clone().with_avoid(avoid_told_to_dispatcher),
            self.now,
        );
        let is_waiting_or_running = self.waiting.contains_key(&id) || self.running.contains(&id);
        match offered {
            Ok(()) => {
                assert!(
                    !is_waiting_or_running,
                    "the dispatcher accepted an id that was waiting or running"
                );
                self.request_of.insert(id, request);
                self.waiting.insert(id, ticket.with_avoid(avoid));
            }
            Err(refusal) => {
                assert!(
                    is_waiting_or_running == (refusal.cause == RefusalCause::Duplicate),
                    "ticket {id} was refused for {:?}, waiting or running: {is_waiting_or_running}",
                    refusal.cause
                );
                assert!(
                    refusal.retry_after > Duration::ZERO,
                    "retry_after must be above zero"
                );
            }
        }
    }

    fn poll(&mut self) -> Result<(), Violation> {
        for decision in self.dispatcher.poll(&self.view, self.now) {
            match decision {
                Decision::Start { ticket, host } => self.start(ticket.id.0, &host)?,
                Decision::Expired { ticket, .. } => {
                    let ended = self.waiting.remove(&ticket.id.0);
                    ended.ok_or(Violation::ExpiredWhenNotWaiting(ticket.id.0))?;
                }
                Decision::Miss(miss) => {
                    let last = self.misses.insert(miss.requirement, self.now);
                    if last.is_some_and(|at| self.now.0 < at.0 + MISS_INTERVAL_MS) {
                        return Err(Violation::MissTooSoon);
                    }
                }
            }
        }
        for class in [Class::Urgent, Class::Interactive, Class::Batch] {
            if self.dispatcher.waiting(&pool(1), class) > CLASS_LIMIT {
                return Err(Violation::QueueOverLimit(class));
            }
        }
        Ok(())
    }

    fn start(&mut self, id: u64, host: &HostName) -> Result<(), Violation> {
        let request = self.request_of[&id];
        let ticket = self
            .waiting
            .remove(&id)
            .ok_or(Violation::StartedWhenNotWaiting(id))?;
        let wrong_host = |why| Err(Violation::WrongHost(why, host.clone()));
        // A repeated request may start only after its earlier ticket has ended.
        if self
            .running
            .iter()
            .any(|running| self.request_of[running] == request)
        {
            return Err(Violation::StartedTwice(request));
        }
        self.started.insert(request);
        self.running.insert(id);
        let n = host_number(host);
        if self.truth.leaving.contains(&n) || self.truth.said_leaving.contains(&n) {
            return wrong_host("leaving");
        }
        if ticket.avoid.contains(host) && self.other_host_takes_requests(n, &ticket) {
            return wrong_host("avoided");
        }
        if self
            .truth
            .suspicions
            .get(&n)
            .is_some_and(|(until, _)| self.now < *until)
        {
            return wrong_host("suspected");
        }
        if let Requirement::Model { model: m, .. } = &ticket.requirement
            && !(0..MODELS).any(|k| model(k) == *m && self.truth.resident.contains(&(n, k)))
        {
            return wrong_host("model not loaded");
        }
        if ticket.deadline <= self.now {
            return wrong_host("after its deadline");
        }
        Ok(())
    }

    /// Returns whether another host certainly takes requests with the ticket's requirement.
    fn other_host_takes_requests(&self, n: u8, ticket: &Ticket) -> bool {
        (0..HOSTS).any(|other| {
            let has_loaded = match &ticket.requirement {
                Requirement::Plain => other == 0,
                Requirement::Model { model: m, .. } => {
                    (0..MODELS).any(|k| model(k) == *m && self.truth.resident.contains(&(other, k)))
                }
            };
            other != n
                && has_loaded
                && !self.truth.leaving.contains(&other)
                && !self.truth.said_leaving.contains(&other)
                && !self.truth.suspicions.contains_key(&other)
        })
    }

    fn observe(&mut self, n: u8, outcome: ConnectionOutcome) {
        if self.omission != Omission::Observations {
            self.dispatcher.observe(&host_name(n), outcome, self.now);
        }
    }

    /// Takes the event that a pair of bytes of the script stands for, then polls.
    fn step(&mut self, kind: u8, byte: u8) -> Result<(), Violation> {
        let n = 1 + byte % (HOSTS - 1);
        match kind % 16 {
            // A new request, or a repeat of an earlier one.
            0..=5 => self.offer(byte, false),
            6 => self.offer(byte, true),
            // The oldest running ticket ends.
            7 | 8 => {
                let first = self.running.first().copied();
                if let Some(id) = first {
                    self.running.remove(&id);
                    assert!(self.dispatcher.finish(TicketId(id), self.now));
                }
            }
            // A caller cancels.
            9 => {
                let id = u64::from(byte);
                let cancelled = self.dispatcher.cancel(TicketId(id), self.now);
                let waited = self.waiting.remove(&id).is_some();
                let ran = self.running.remove(&id);
                assert_eq!(
                    cancelled == Cancelled::Waiting,
                    waited,
                    "cancel of ticket {id} returned {cancelled:?}"
                );
                assert_eq!(
                    matches!(cancelled, Cancelled::Running(_)),
                    ran,
                    "cancel of ticket {id} returned {cancelled:?}"
                );
            }
            // The host list shows a host as leaving.
            10 if byte < 40 => {
                self.truth.leaving.insert(n);
                self.refresh_view(byte);
            }
            // A host loads a model.
            11 => {
                self.truth.resident.insert((n, byte % MODELS));
                self.refresh_view(byte);
            }
            // A host says on a connection that it is leaving.
            12 if byte < 30 => {
                self.truth.said_leaving.insert(n);
                self.observe(n, ConnectionOutcome::Leaving);
            }
            // A connect fails.
            13 => {
                // Each suspicion lasts twice as long as the one before. A failure during a suspicion
                // does not prolong it.
                let (until, failures) = self.truth.suspicions.get(&n).copied().unwrap_or_default();
                if self.now >= until {
                    let duration = Duration::from_millis(
                        MAX_SUSPICION_MS.min(MIN_SUSPICION_MS << failures.min(8)),
                    );
                    let suspicion = (self.now.after(duration), failures + 1);
                    self.truth.suspicions.insert(n, suspicion);
                }
                self.observe(n, ConnectionOutcome::ConnectFailed);
            }
            // New reports arrive, or time passes.
            14 => self.refresh_view(byte),
            _ => self.now = Moment(self.now.0 + u64::from(byte) * 2),
        }
        self.poll()
    }

    fn run(mut self, script: &[u8]) -> Result<usize, Violation> {
        for pair in script.chunks_exact(2) {
            self.step(pair[0], pair[1])?;
        }
        // Every ticket must end by its deadline, with polls only at the times the dispatcher gives.
        while let Some(at) = self.dispatcher.next_wake(self.now) {
            if self.waiting.is_empty() {
                break;
            }
            self.now = at.max(Moment(self.now.0 + 1));
            self.poll()?;
        }
        if !self.waiting.is_empty() {
            return Err(Violation::NeverEnded(self.waiting.len()));
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
fn tickets_end_once_on_valid_hosts() {
    let mut started = 0;
    for seed in 0..SEEDS {
        let script = script(seed);
        let random = Random::new(StdRng::seed_from_u64(seed));
        let outcomes = [
            Simulation::new(Omission::Nothing, PrefixTwoChoices).run(&script),
            Simulation::new(Omission::Nothing, LeastLoaded).run(&script),
            Simulation::new(Omission::Nothing, random).run(&script),
        ];
        for outcome in outcomes {
            started += outcome.unwrap_or_else(|violation| panic!("seed {seed}: {violation:?}"));
        }
    }
    assert!(
        started > 10_000,
        "only {started} tickets started, expected more than 10000"
    );
}

#[test]
fn tickets_end_once_under_generated_events() {
    bolero::check!()
        .with_iterations(500)
        .with_type::<Vec<u8>>()
        .for_each(|script| {
            let outcome = Simulation::new(Omission::Nothing, PrefixTwoChoices).run(script);
            assert!(outcome.is_ok(), "{:?}", outcome.err());
        });
}

#[test]
fn a_withheld_input_breaks_a_rule() {
    let omissions = [
        Omission::LeavingHosts,
        Omission::Observations,
        Omission::TicketIds,
        Omission::Residents,
        Omission::AvoidedHosts,
    ];
    for omission in omissions {
        let failed_seeds = (0..SEEDS)
            .filter(|seed| {
                Simulation::new(omission, PrefixTwoChoices)
                    .run(&script(*seed))
                    .is_err()
            })
            .count();
        println!("withheld {omission:?}: {failed_seeds} of {SEEDS} seeds broke a rule");
        assert!(
            failed_seeds > MIN_FAILED_SEEDS,
            "withheld {omission:?}: only {failed_seeds} seeds broke a rule, expected more than {MIN_FAILED_SEEDS}"
        );
    }
}

struct LoadCase {
    name: &'static str,
    report: Option<UpstreamReport>,
    peers: u32,
    /// Times in ms at which a ticket is offered, and whether it must start at once.
    offers: Vec<(u64, bool)>,
}

#[test]
fn load_is_report_plus_later_changes() {
    let report = |running, taken_at| {
        Some(UpstreamReport {
            running,
            waiting: 0,
            slots: 4,
            taken_at: Moment(taken_at),
        })
    };
    let cases = [
        LoadCase {
            name: "this host's starts since the report fill the slots",
            report: report(2, 100),
            peers: 1,
            offers: vec![(200, true), (210, true), (220, false)],
        },
        LoadCase {
            name: "each start counts once per entry host",
            report: report(1, 100),
            peers: 3,
            offers: vec![(200, true), (210, false)],
        },
        LoadCase {
            name: "a full upstream gets no requests",
            report: report(4, 100),
            peers: 1,
            offers: vec![(200, false), (10_099, false)],
        },
        LoadCase {
            name: "a full upstream gets requests again once its report is too old",
            report: report(4, 100),
            peers: 1,
            offers: vec![(200, false), (10_100, true)],
        },
        LoadCase {
            name: "an upstream without a report is assumed to have eight slots",
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
        let mut upstream = Upstream::new(host_name(0), pool(0), zone(0));
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
            assert_eq!(!decisions.is_empty(), starts, "{} at {at} ms", case.name);
        }
    }
}

#[test]
fn avoided_or_suspected_hosts_are_used_only_without_alternative() {
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
            ..case("the other host takes requests", Some(2))
        },
        Case {
            avoid: vec![1, 2],
            ..case("the request failed on both hosts", Some(1))
        },
        Case {
            avoid: vec![1],
            down: vec![2],
            ..case("the other host is down", Some(1))
        },
        Case {
            presence: suspected,
            ..case("the host list suspects one host", Some(2))
        },
        Case {
            presence: [Presence::Suspected; 2],
            ..case("the host list suspects both hosts", Some(1))
        },
        Case {
            presence: [Presence::Leaving; 2],
            ..case("both hosts are leaving", None)
        },
        Case {
            down: vec![1, 2],
            ..case("both hosts are down", None)
        },
        Case {
            slots: 0,
            ..case("the hosts have no slots", None)
        },
    ];
    for case in cases {
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), LeastLoaded);
        let now = Moment(1_000);
        let upstreams = [1_u8, 2].map(|n| {
            Upstream::new(host_name(n), pool(0), zone(0))
                .with_presence(case.presence[usize::from(n) - 1])
                .with_report(UpstreamReport {
                    running: u32::from(n),
                    waiting: 0,
                    slots: case.slots,
                    taken_at: now,
                })
        });
        for n in case.down {
            dispatcher.observe(&host_name(n), ConnectionOutcome::ConnectFailed, now);
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
        .with_avoid(case.avoid.into_iter().map(host_name).collect());
        dispatcher.offer(ticket, now).unwrap();
        let decisions = dispatcher.poll(&View::new(&zone(0), upstreams.into()), now);
        let host = decisions.iter().find_map(|decision| match decision {
            Decision::Start { host, .. } => Some(host_number(host)),
            Decision::Expired { .. } | Decision::Miss(_) => None,
        });
        assert_eq!(host, case.expected, "{}", case.name);
    }
}
