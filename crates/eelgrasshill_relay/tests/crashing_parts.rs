//! Tests which parts of prompts are quarantined, and how many requests it takes to know.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment};
use eelgrasshill_relay::{
    Accusation, CrashId, CrashingParts, NewsLimit, PartRefusal, ProbeTurn, ProbedParts, PromptPart,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Turn of a host that is the only one to probe any part.
fn first(_part: PromptPart) -> ProbeTurn {
    ProbeTurn { rank: 0, hosts: 1 }
}

/// Turn of the second of two hosts.
fn second(_part: PromptPart) -> ProbeTurn {
    ProbeTurn { rank: 1, hosts: 2 }
}

/// Ids that begin with `=` are those of whole requests.
fn part(id: &str) -> PromptPart {
    match id.strip_prefix('=') {
        Some(id) => PromptPart::whole(&[id.as_bytes()]),
        None => PromptPart::new(id),
    }
}

/// What happens to a host's parts, at a second of the case.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request with these parts is lost at the engine of this number.
    Lost(&'static [&'static str], u64),
    /// As `Lost`, but the request is sent as a probe where it may be.
    Probe(&'static [&'static str], u64),
    /// An answer to a request with these parts begins.
    Answered(&'static [&'static str]),
}

/// Events at one host, and which requests it then refuses.
#[derive(Clone, Copy, Debug)]
struct PartCase {
    name: &'static str,
    events: &'static [(f64, Event)],
    // When requests are checked, and with which parts.
    at: f64,
    refused: &'static [&'static [&'static str]],
    admitted: &'static [&'static [&'static str]],
}

const PART_CASES: [PartCase; 21] = [
    PartCase {
        name: "one crash proves nothing",
        events: &[(0.0, Event::Lost(&["f", "dead"], 1))],
        at: 0.1,
        refused: &[],
        admitted: &[&["f", "dead"], &["f"]],
    },
    PartCase {
        name: "a second crash quarantines what no answer has cleared",
        events: &[
            (0.0, Event::Lost(&["f", "dead"], 1)),
            (0.2, Event::Answered(&["f"])),
            (0.3, Event::Lost(&["f", "dead"], 2)),
        ],
        at: 0.4,
        refused: &[&["f", "dead"], &["dead"]],
        admitted: &[&["f"], &["f", "other"]],
    },
    PartCase {
        name: "a part is cleared by answers to others' requests with it",
        events: &[
            (0.0, Event::Lost(&["f", "m", "dead"], 1)),
            (0.3, Event::Lost(&["f", "m", "dead"], 2)),
            (0.5, Event::Answered(&["f", "m"])),
        ],
        at: 0.6,
        refused: &[&["f", "m", "dead"]],
        admitted: &[&["f", "m"]],
    },
    PartCase {
        name: "parts that always came together are told apart by a request with one of them",
        events: &[
            (0.0, Event::Lost(&["m", "dead"], 1)),
            (0.3, Event::Lost(&["m", "dead"], 2)),
        ],
        at: 0.4,
        refused: &[&["m", "dead"]],
        admitted: &[&["m"], &["dead"]],
    },
    PartCase {
        name: "a rare part beside a crashing one is not condemned for the other's crashes",
        events: &[
            (0.0, Event::Lost(&["dead"], 1)),
            (0.0, Event::Lost(&["rare"], 1)),
            (0.3, Event::Lost(&["dead"], 2)),
            (0.3, Event::Lost(&["rare"], 2)),
            (0.6, Event::Lost(&["dead"], 3)),
        ],
        at: 0.7,
        refused: &[&["dead"]],
        admitted: &[&["rare"]],
    },
    PartCase {
        name: "all engines crash together and return",
        events: &[
            (0.0, Event::Lost(&["f"], 1)),
            (0.0, Event::Lost(&["f"], 2)),
            (0.0, Event::Lost(&["f"], 3)),
        ],
        at: 1.1,
        refused: &[],
        admitted: &[&["f"]],
    },
    PartCase {
        name: "a probe that crashes an engine condemns the part",
        events: &[
            (0.0, Event::Lost(&["dead"], 1)),
            (0.3, Event::Lost(&["dead"], 2)),
            (1.5, Event::Probe(&["dead"], 3)),
        ],
        at: 30.0,
        refused: &[&["dead"]],
        admitted: &[],
    },
    PartCase {
        name: "a condemned part is probed again after half a minute",
        events: &[
            (0.0, Event::Lost(&["dead"], 1)),
            (0.3, Event::Lost(&["dead"], 2)),
            (1.5, Event::Probe(&["dead"], 3)),
        ],
        at: 32.0,
        refused: &[],
        admitted: &[&["dead"]],
    },
    PartCase {
        name: "the time between probes rises",
        events: &[
            (0.0, Event::Lost(&["dead"], 1)),
            (0.3, Event::Lost(&["dead"], 2)),
            (1.5, Event::Probe(&["dead"], 3)),
            (32.0, Event::Probe(&["dead"], 4)),
        ],
        at: 200.0,
        refused: &[&["dead"]],
        admitted: &[],
    },
    PartCase {
        name: "a mended part is cleared by its probe",
        events: &[
            (0.0, Event::Lost(&["dead"], 1)),
            (0.3, Event::Lost(&["dead"], 2)),
            (1.5, Event::Probe(&["dead"], 3)),
            (32.0, Event::Answered(&["dead"])),
        ],
        at: 60.0,
        refused: &[],
        admitted: &[&["dead"]],
    },
    PartCase {
        name: "a part that turns bad after its answers",
        events: &[
            (0.0, Event::Answered(&["f"])),
            (0.1, Event::Lost(&["f"], 1)),
            (1.8, Event::Lost(&["f"], 2)),
            (2.0, Event::Lost(&["f"], 3)),
        ],
        at: 2.1,
        refused: &[&["f"]],
        admitted: &[],
    },
    PartCase {
        name: "two crashing parts, one after the other",
        events: &[
            (0.0, Event::Lost(&["dead-1"], 1)),
            (0.3, Event::Lost(&["dead-1"], 2)),
            (5.0, Event::Lost(&["dead-2"], 3)),
            (5.3, Event::Lost(&["dead-2"], 4)),
        ],
        at: 5.4,
        refused: &[&["dead-2"]],
        admitted: &[&["dead-1"]],
    },
    PartCase {
        name: "a request that crashed two engines waits, though its parts are sound",
        events: &[
            (0.0, Event::Lost(&["f", "=dead"], 1)),
            (0.1, Event::Answered(&["f"])),
            (0.2, Event::Lost(&["f", "=dead"], 2)),
            (0.3, Event::Answered(&["f"])),
        ],
        at: 0.5,
        refused: &[&["f", "=dead"]],
        admitted: &[&["f"], &["f", "=other"]],
    },
    PartCase {
        name: "the verdict on a request does not wait for one on its parts",
        events: &[
            (0.0, Event::Lost(&["f", "=other"], 1)),
            (0.0, Event::Lost(&["f", "=dead"], 2)),
            (0.2, Event::Lost(&["f", "=dead"], 3)),
            // A probe shows that the part is sound; the request is refused all the same.
            (1.3, Event::Answered(&["f"])),
        ],
        at: 1.1,
        refused: &[&["f", "=dead"], &["=dead"]],
        admitted: &[],
    },
    PartCase {
        name: "the verdict on a part does not wait for one on a request",
        events: &[
            (0.0, Event::Lost(&["dead", "=a"], 1)),
            (0.2, Event::Lost(&["dead", "=b"], 2)),
        ],
        at: 0.4,
        refused: &[&["dead", "=c"]],
        admitted: &[&["=a"], &["=b"]],
    },
    PartCase {
        name: "a request that crashed three engines gets no probe for minutes",
        events: &[
            (0.0, Event::Lost(&["=dead"], 1)),
            (0.2, Event::Lost(&["=dead"], 2)),
            (1.4, Event::Probe(&["=dead"], 3)),
        ],
        at: 590.0,
        refused: &[&["=dead"]],
        admitted: &[&["=other"]],
    },
    PartCase {
        name: "three crashes condemn a request, also without a probe",
        events: &[
            (0.0, Event::Lost(&["=dead"], 1)),
            (0.1, Event::Lost(&["=dead"], 2)),
            (0.2, Event::Lost(&["=dead"], 3)),
        ],
        at: 60.0,
        refused: &[&["=dead"]],
        admitted: &[],
    },
    PartCase {
        name: "a sound request that was in flight at three crashes is cleared by a late probe",
        events: &[
            (0.0, Event::Lost(&["=rare"], 1)),
            (0.1, Event::Lost(&["=rare"], 2)),
            (0.2, Event::Lost(&["=rare"], 3)),
            (600.5, Event::Answered(&["=rare"])),
        ],
        at: 603.0,
        refused: &[],
        admitted: &[&["=rare"]],
    },
    PartCase {
        name: "an answer clears a request at once",
        events: &[
            (0.0, Event::Lost(&["=rare"], 1)),
            (0.1, Event::Lost(&["=rare"], 2)),
            (0.3, Event::Answered(&["=rare"])),
        ],
        at: 0.4,
        refused: &[],
        admitted: &[&["=rare"]],
    },
    PartCase {
        name: "a sound request beside one that crashes engines is not condemned for its crashes",
        events: &[
            (0.0, Event::Lost(&["=dead"], 1)),
            (0.0, Event::Lost(&["=rare"], 1)),
            (0.3, Event::Lost(&["=dead"], 2)),
            (0.3, Event::Lost(&["=rare"], 2)),
            (1.6, Event::Lost(&["=dead"], 3)),
        ],
        at: 1.8,
        refused: &[&["=dead"]],
        admitted: &[&["=rare"]],
    },
    PartCase {
        name: "two requests that crashed the same engines are both held back",
        events: &[
            (0.0, Event::Lost(&["=dead"], 1)),
            (0.0, Event::Lost(&["=rare"], 1)),
            (0.3, Event::Lost(&["=dead"], 2)),
            (0.3, Event::Lost(&["=rare"], 2)),
        ],
        at: 0.5,
        refused: &[&["=dead"], &["=rare"]],
        admitted: &[],
    },
];

/// Guards against sound parts that are condemned beside a crashing one, or by other crashes.
#[test]
fn only_parts_that_crash_engines_are_quarantined() {
    for case in PART_CASES {
        let mut parts = CrashingParts::default();
        for (second, event) in case.events {
            let now = moment(*second);
            match event {
                Event::Lost(ids, engine) => {
                    let ids = parts_of(ids);
                    parts.note_lost(&ids, &ProbedParts::default(), CrashId(*engine), now);
                }
                Event::Probe(ids, engine) => {
                    let ids = parts_of(ids);
                    let probed = parts.admit(&ids, first, now).expect(case.name);
                    parts.note_lost(&ids, &probed, CrashId(*engine), now);
                    parts.end_probes(&probed);
                }
                Event::Answered(ids) => parts.note_answered(&parts_of(ids), now),
            }
        }
        let now = moment(case.at);
        for ids in case.refused {
            let checked = parts.check(&parts_of(ids), first, now);
            assert!(checked.is_err(), "{}: {ids:?} was admitted", case.name);
        }
        for ids in case.admitted {
            let checked = parts.check(&parts_of(ids), first, now);
            assert_eq!(checked, Ok(()), "{}: {ids:?}", case.name);
        }
    }
}

fn parts_of(ids: &[&str]) -> Vec<PromptPart> {
    ids.iter().map(|id| part(id)).collect()
}

fn moment(second: f64) -> Moment {
    Moment(100_000).after(Duration::from_secs_f64(second))
}

/// Guards against several probes of a part at a time, by one host or by many.
#[test]
fn one_request_probes_a_part() {
    let mut parts = CrashingParts::default();
    let ids = [part("dead")];
    for engine in 1..=2 {
        parts.note_lost(&ids, &ProbedParts::default(), CrashId(engine), moment(0.0));
    }
    let probed = parts.admit(&ids, first, moment(1.5)).expect("a probe");
    assert_eq!(probed, ProbedParts(vec![ids[0]]));
    assert!(parts.admit(&ids, first, moment(1.6)).is_err());
    parts.end_probes(&probed);
    assert!(parts.check(&ids, first, moment(1.7)).is_ok());
    // The next host waits until the first one's probe has ended and is known.
    let refusal = parts.check(&ids, second, moment(1.7));
    let expected = PartRefusal {
        part: ids[0],
        retry_after: Duration::from_secs(1),
    };
    assert_eq!(refusal, Err(expected));
    assert!(parts.check(&ids, second, moment(3.1)).is_ok());

    let hosts: Vec<_> = (0..295)
        .map(|number| HostName::new(&format!("front-{number}")).expect("a valid name"))
        .collect();
    let mut ranks: Vec<_> = hosts
        .iter()
        .map(|host| ProbeTurn::new(ids[0], host, hosts.iter()).rank)
        .collect();
    ranks.sort_unstable();
    assert!(ranks.iter().copied().eq(0..295), "each host has its rank");
}

/// Guards against state that grows with the parts that callers invent, and against losing a
/// quarantine among them.
#[test]
fn invented_parts_do_not_displace_a_quarantine() {
    let mut parts = CrashingParts::default();
    let dead = [part("dead")];
    for engine in 1..=2 {
        parts.note_lost(&dead, &ProbedParts::default(), CrashId(engine), moment(0.0));
    }
    for number in 0..20_000_u64 {
        let invented = [part(&format!("x{number}"))];
        let crash = CrashId(100 + number % 7);
        parts.note_lost(&invented, &ProbedParts::default(), crash, moment(0.1));
        parts.note_answered(&[part(&format!("y{number}"))], moment(0.1));
    }
    assert!(parts.check(&dead, first, moment(0.2)).is_err());
    let mut known = 0;
    let mut told = 0;
    loop {
        let (accusations, told_count) = parts.changes(known);
        if accusations.is_empty() {
            break;
        }
        assert!(accusations.len() <= 512, "one message is bounded");
        told += accusations.len();
        known = told_count;
    }
    assert!(told <= 1_100, "{told} accusations are kept");
}

/// One engine of the simulation.
#[derive(Clone, Copy, Debug, Default)]
struct Engine {
    start: u64,
    down_until: u64,
}

/// A request that waits for its first event.
#[derive(Clone, Debug)]
struct Waiting {
    host: usize,
    engine: usize,
    start: u64,
    parts: Vec<PromptPart>,
    probed: ProbedParts,
    begins_at: u64,
    sends: u32,
}

/// One deployment and what its callers send.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    hosts: usize,
    engines: usize,
    requests_per_s: u64,
    crashing_permille: u32,
    // Whether all engines crash at once for reasons of their own, as in a zone that loses power.
    outage: bool,
    // Number of different crashing requests; 0 if no two are alike and share a crashing part.
    repeated: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    crashes: usize,
    late: usize,
    // Sends of a crashing request after the third crash under it.
    after_third: usize,
    sound_sent: usize,
    sound_refused: usize,
    // Sound requests that were refused after their first send was lost.
    sound_refused_again: usize,
}

/// Runs of each deployment.
const SEEDS: u64 = 60;

const START_MS: u64 = 10_000;
const OUTAGE_MS: u64 = 11_000;
const STEP_MS: u64 = 10;
const ROUND_MS: u64 = 250;
const EARLY_ROUND_MS: u64 = 100;
const PROMPT_MS: u64 = 150;
const DOWN_MS: u64 = 3_500;
const CHILDREN: usize = 16;
/// Datagrams that are lost.
const LOST_PERMILLE: u32 = 10;
/// Accusations that fit into a datagram.
const MAX_ACCUSATIONS: usize = 32;
/// Time after which a caller comes again: an engine's prompt, its crash and a round trip.
const RETURN_MS: u64 = PROMPT_MS + 10;

/// Time over which the crashes of one outage are spread.
const SPREAD_MS: u64 = 200;

/// Returns whether an engine crashes when it begins an answer to a request with this part.
fn crashes_engine(part: PromptPart) -> bool {
    part.is_whole() || part == PromptPart::new("dead")
}

/// The hosts of a fleet, which exchange their accusations along a tree.
struct Simulation {
    fleet: Fleet,
    random: StdRng,
    hosts: Vec<CrashingParts>,
    names: Vec<HostName>,
    // For each host and its parent, the changes that each has received of the other.
    links: Vec<(u64, u64)>,
    limits: Vec<NewsLimit>,
    news: Vec<bool>,
    last_rounds: Vec<u64>,
    engines: Vec<Engine>,
    waiting: Vec<Waiting>,
    crash_times: Vec<u64>,
    // For each crashing request, how many engines have crashed under it.
    crashes_under: BTreeMap<PromptPart, usize>,
    // Callers that come again at another host, with the moment.
    returning: Vec<(u64, Vec<PromptPart>)>,
    // Crashes for reasons other than a request, by engine and moment.
    planned_crashes: Vec<(u64, usize)>,
    outage_crashes: usize,
    // When the first request that crashes an engine is sent.
    crashing_from: u64,
    // Whether a few topics get most of the requests.
    has_popular_topics: bool,
    tally: Tally,
}

impl Simulation {
    fn new(fleet: Fleet, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let last_rounds = (0..fleet.hosts)
            .map(|_host| random.random_range(0..ROUND_MS))
            .collect();
        Self {
            random,
            hosts: vec![CrashingParts::default(); fleet.hosts],
            names: (0..fleet.hosts)
                .map(|number| HostName::new(&format!("h{number}")).expect("a valid name"))
                .collect(),
            links: vec![(0, 0); fleet.hosts],
            limits: vec![NewsLimit::default(); fleet.hosts],
            news: vec![false; fleet.hosts],
            last_rounds,
            engines: vec![Engine::default(); fleet.engines],
            waiting: Vec::new(),
            crash_times: Vec::new(),
            crashes_under: BTreeMap::new(),
            returning: Vec::new(),
            planned_crashes: Vec::new(),
            outage_crashes: 0,
            crashing_from: START_MS,
            has_popular_topics: false,
            tally: Tally::default(),
            fleet,
        }
    }

    fn run(mut self, duration: u64, contact_ms: u64) -> Tally {
        for now in (START_MS..START_MS + duration).filter(|ms| ms.is_multiple_of(STEP_MS)) {
            self.answer(now, contact_ms);
            if self.fleet.outage && now == OUTAGE_MS {
                for engine in 0..self.engines.len() {
                    self.crash(engine, now);
                }
            }
            self.crash_as_planned(now);
            self.send(now);
            self.send_again(now);
            for host in 1..self.fleet.hosts {
                let interval = if self.news[host] {
                    EARLY_ROUND_MS
                } else {
                    ROUND_MS
                };
                if now - self.last_rounds[host] >= interval {
                    self.exchange(host, now);
                }
            }
        }
        self.tally.crashes = self.crash_times.len() + self.outage_crashes;
        self.tally
    }

    fn send(&mut self, now: u64) {
        let expected = self.fleet.requests_per_s * STEP_MS;
        let count =
            expected / 1_000 + u64::from(self.random.random_range(0..1_000_u64) < expected % 1_000);
        for _request in 0..count {
            let is_crashing = !self.fleet.outage
                && now >= self.crashing_from
                && self
                    .random
                    .random_ratio(self.fleet.crashing_permille, 1_000);
            let organisation = self.random.random_range(0..5);
            let mut topic = self.random.random_range(0..200);
            if self.has_popular_topics {
                // The mean rate of a topic falls from some 60 per second to 0.1 in the large fleet.
                topic = topic * topic * topic / 40_000;
            }
            let mut parts = vec![
                part(&format!("f{organisation}")),
                part(&format!("t{organisation}-{topic}")),
            ];
            if is_crashing {
                parts = vec![part("f0"), part("t0-0"), part("dead")];
                if let Some(kind) = self
                    .random
                    .random_range(0..1_000_u64)
                    .checked_rem(self.fleet.repeated)
                {
                    parts[2] = part(&format!("=dead-{kind}"));
                }
            }
            let host = self.random.random_range(0..self.fleet.hosts);
            if is_crashing && self.fleet.repeated > 0 {
                self.returning.push((now + RETURN_MS, parts.clone()));
            }
            let is_sent = self.try_send(host, parts, now, 0);
            // Nothing can be sent during the outage.
            let counts = !self.fleet.outage || now > OUTAGE_MS + DOWN_MS + 2_000;
            if !is_crashing && counts {
                self.tally.sound_sent += 1;
                self.tally.sound_refused += usize::from(!is_sent);
            }
        }
    }

    /// Sends a request to a random engine that is up; returns whether it was admitted.
    fn try_send(&mut self, host: usize, parts: Vec<PromptPart>, now: u64, sends: u32) -> bool {
        let up: Vec<_> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].down_until <= now)
            .collect();
        let names = &self.names;
        let turn = |part| ProbeTurn::new(part, &names[host], names.iter());
        if up.is_empty() {
            return self.hosts[host].check(&parts, turn, Moment(now)).is_ok();
        }
        let Ok(probed) = self.hosts[host].admit(&parts, turn, Moment(now)) else {
            return false;
        };
        let engine = up[self.random.random_range(0..up.len())];
        let is_condemned = |part| {
            self.crashes_under
                .get(part)
                .is_some_and(|count| *count >= 3)
        };
        self.tally.after_third += usize::from(parts.iter().any(is_condemned));
        self.waiting.push(Waiting {
            host,
            engine,
            start: self.engines[engine].start,
            parts,
            probed,
            begins_at: now + PROMPT_MS,
            sends: sends + 1,
        });
        true
    }

    /// Lets callers repeat their requests.
    fn send_again(&mut self, now: u64) {
        let due: Vec<_> = self
            .returning
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_at, parts) in due {
            let host = self.random.random_range(0..self.fleet.hosts);
            self.try_send(host, parts, now, 0);
        }
    }

    fn crash(&mut self, engine: usize, now: u64) {
        self.engines[engine].start += 1;
        self.engines[engine].down_until = now + DOWN_MS;
        let lost: Vec<_> = self
            .waiting
            .extract_if(.., |w| w.engine == engine)
            .collect();
        for request in lost {
            let crash = CrashId(engine as u64 * 1_000 + request.start);
            let parts = &mut self.hosts[request.host];
            parts.end_probes(&request.probed);
            if parts.note_lost(&request.parts, &request.probed, crash, Moment(now)) {
                self.news[request.host] = true;
                self.spread(request.host, &request.parts, now);
            }
            if request.sends < 2 {
                let is_sound = !request.parts.iter().copied().any(crashes_engine);
                let is_sent = self.try_send(request.host, request.parts, now, request.sends);
                self.tally.sound_refused_again += usize::from(is_sound && !is_sent);
            }
        }
    }

    /// Lets a quarter of the engines crash together at each of these moments, two of them in turn.
    fn plan_crashes(&mut self, rounds: &[u64]) {
        let count = self.engines.len();
        for (first, round) in [0, 1].into_iter().cycle().zip(rounds) {
            for number in 0..count / 4 {
                let at = round + self.random.random_range(0..SPREAD_MS / STEP_MS) * STEP_MS;
                self.planned_crashes
                    .push((at, (first + number * 4) % count));
            }
        }
    }

    fn crash_as_planned(&mut self, now: u64) {
        let due: Vec<_> = self
            .planned_crashes
            .extract_if(.., |(at, _engine)| *at <= now)
            .collect();
        for (_at, engine) in due {
            if self.engines[engine].down_until <= now {
                self.outage_crashes += 1;
                self.crash(engine, now);
            }
        }
    }

    /// Tells all hosts of the crashes of a request, by datagrams of which few are lost.
    fn spread(&mut self, host: usize, parts: &[PromptPart], now: u64) {
        if !self.limits[host].admit(Moment(now)) {
            return;
        }
        let accusations = self.hosts[host].accusations(parts, MAX_ACCUSATIONS);
        for other in (0..self.fleet.hosts).filter(|other| *other != host) {
            if self.random.random_ratio(LOST_PERMILLE, 1_000) {
                continue;
            }
            for accusation in &accusations {
                self.hosts[other].apply(*accusation, Moment(now));
            }
        }
    }

    /// Lets answers begin; an engine crashes instead if it begins one to the crashing part.
    fn answer(&mut self, now: u64, contact_ms: u64) {
        while let Some(index) = self.waiting.iter().position(|w| w.begins_at <= now) {
            let crashing = self.waiting[index]
                .parts
                .iter()
                .copied()
                .find(|part| crashes_engine(*part));
            if let Some(crashing) = crashing {
                *self.crashes_under.entry(crashing).or_default() += 1;
                let sent_at = self.waiting[index].begins_at - PROMPT_MS;
                let fifth = self.crash_times.get(4);
                self.tally.late += usize::from(fifth.is_some_and(|at| sent_at > at + contact_ms));
                self.crash_times.push(now);
                self.crash(self.waiting[index].engine, now);
            } else {
                let request = self.waiting.swap_remove(index);
                let parts = &mut self.hosts[request.host];
                parts.end_probes(&request.probed);
                parts.note_answered(&request.parts, Moment(now));
            }
        }
    }

    fn exchange(&mut self, host: usize, now: u64) {
        self.last_rounds[host] = now;
        self.news[host] = false;
        let parent = (host - 1) / CHILDREN;
        let (received, acked) = self.links[host];
        let (upward, own_count) = self.hosts[host].changes(acked);
        let (downward, parent_count) = self.hosts[parent].changes(received);
        let apply = |parts: &mut CrashingParts, accusations: Vec<Accusation>| {
            let news = accusations
                .into_iter()
                .filter(|accusation| parts.apply(*accusation, Moment(now)));
            news.count() > 0
        };
        self.news[parent] |= apply(&mut self.hosts[parent], upward);
        self.news[host] |= apply(&mut self.hosts[host], downward);
        self.links[host] = (parent_count, own_count);
    }
}

/// Guards against engines that crash one after the other until the requests stop, at each size.
#[test]
fn a_fleet_stops_sending_a_crashing_part_and_goes_on_with_sound_ones() {
    struct Case {
        name: &'static str,
        fleet: Fleet,
        contact_ms: u64,
        max_refused_percent: usize,
    }
    let fleet = |hosts, engines, requests_per_s, crashing_permille, outage| Fleet {
        hosts,
        engines,
        requests_per_s,
        crashing_permille,
        outage,
        repeated: 0,
    };
    let cases = [
        Case {
            name: "20 hosts",
            fleet: fleet(20, 12, 75, 50, false),
            contact_ms: 3_000,
            max_refused_percent: 5,
        },
        Case {
            name: "20 hosts, every fifth request",
            fleet: fleet(20, 12, 75, 200, false),
            contact_ms: 3_000,
            max_refused_percent: 5,
        },
        Case {
            name: "127 hosts",
            fleet: fleet(127, 112, 275, 50, false),
            contact_ms: 4_000,
            max_refused_percent: 5,
        },
        Case {
            name: "295 hosts",
            fleet: fleet(295, 204, 552, 20, false),
            contact_ms: 5_000,
            max_refused_percent: 5,
        },
        Case {
            name: "127 hosts, all engines crash at once for another reason",
            fleet: fleet(127, 112, 275, 0, true),
            contact_ms: 4_000,
            max_refused_percent: 5,
        },
    ];
    for case in cases {
        let mut seen = BTreeMap::new();
        for seed in 0..SEEDS {
            let tally = Simulation::new(case.fleet, seed).run(25_000, case.contact_ms);
            assert!(
                tally.late <= 3,
                "{} seed {seed}: {} late requests, {} crashes",
                case.name,
                tally.late,
                tally.crashes
            );
            assert!(
                tally.sound_refused * 100 <= tally.sound_sent * case.max_refused_percent,
                "{} seed {seed}: {} of {} sound requests refused",
                case.name,
                tally.sound_refused,
                tally.sound_sent
            );
            seen.insert(seed, (tally.crashes, tally.late, tally.sound_refused));
        }
        println!(
            "{}: crashes, late, sound refused by seed: {seen:?}",
            case.name
        );
    }
}

/// Guards against a request that comes again at any host and crashes a fourth engine.
#[test]
fn a_request_under_which_three_engines_crashed_is_sent_to_no_other() {
    struct Case {
        name: &'static str,
        fleet: Fleet,
    }
    let fleet = |hosts, engines, requests_per_s, crashing_permille, repeated| Fleet {
        hosts,
        engines,
        requests_per_s,
        crashing_permille,
        outage: false,
        repeated,
    };
    let cases = [
        Case {
            name: "15 hosts, one request",
            fleet: fleet(15, 12, 75, 10, 1),
        },
        Case {
            name: "20 hosts, three requests",
            fleet: fleet(20, 12, 75, 30, 3),
        },
        Case {
            name: "127 hosts, three requests",
            fleet: fleet(127, 112, 275, 10, 3),
        },
        Case {
            name: "295 hosts, one request",
            fleet: fleet(295, 204, 552, 5, 1),
        },
    ];
    for case in cases {
        let mut seen = BTreeMap::new();
        for seed in 0..SEEDS {
            let tally = Simulation::new(case.fleet, seed).run(25_000, 0);
            seen.insert(seed, (tally.crashes, tally.after_third));
            assert!(
                tally.sound_refused * 100 <= tally.sound_sent * 5,
                "{} seed {seed}: {} of {} sound requests refused",
                case.name,
                tally.sound_refused,
                tally.sound_sent
            );
        }
        println!(
            "{}: crashes, sent after the third, by seed: {seen:?}",
            case.name
        );
        let sent: usize = seen.values().map(|(_crashes, sent)| *sent).sum();
        assert_eq!(sent, 0, "{}: {seen:?}", case.name);
    }
}

/// Moments at which a quarter of the engines crashes together.
const OUTAGES_MS: [u64; 4] = [11_000, 12_200, 15_000, 16_200];

/// Returns a fleet of which a quarter of the engines crashes several times.
fn fleet_with_outages(hosts: usize, engines: usize, crashing_permille: u32) -> Fleet {
    Fleet {
        hosts,
        engines,
        requests_per_s: u64::try_from(engines).expect("few engines") * 7,
        crashing_permille,
        outage: false,
        repeated: 0,
    }
}

/// Guards against sound parts that are quarantined because they were in flight at engines that
/// crashed together for another reason.
#[test]
fn sound_requests_are_not_refused_when_a_quarter_of_the_engines_crashes_together() {
    let mut refused = 0;
    for fleet in [
        fleet_with_outages(30, 48, 0),
        fleet_with_outages(134, 200, 0),
    ] {
        let mut seen = BTreeMap::new();
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(fleet, seed);
            simulation.has_popular_topics = true;
            simulation.plan_crashes(&OUTAGES_MS);
            let tally = simulation.run(12_000, 0);
            assert!(tally.crashes >= fleet.engines * 9 / 10, "the engines crash");
            let refused_here = tally.sound_refused + tally.sound_refused_again;
            seen.insert(seed, (tally.crashes, refused_here, tally.sound_sent));
            refused += refused_here;
        }
        println!(
            "{} hosts: crashes, refused, sent by seed: {seen:?}",
            fleet.hosts
        );
    }
    assert_eq!(refused, 0, "sound requests were refused");
}

/// Guards against a crashing part that goes unnoticed among crashes for another reason.
#[test]
fn a_crashing_part_that_comes_with_an_outage_is_found() {
    for fleet in [
        fleet_with_outages(30, 48, 30),
        fleet_with_outages(134, 200, 5),
        fleet_with_outages(134, 200, 20),
    ] {
        let mut seen = BTreeMap::new();
        for seed in 0..SEEDS / 2 {
            let mut simulation = Simulation::new(fleet, seed);
            simulation.has_popular_topics = true;
            simulation.crashing_from = OUTAGES_MS[0];
            simulation.plan_crashes(&OUTAGES_MS);
            let tally = simulation.run(14_000, 4_000);
            seen.insert(seed, (tally.crashes, tally.late, tally.sound_refused));
        }
        println!(
            "{} hosts: crashes, late, sound refused by seed: {seen:?}",
            fleet.hosts
        );
        let late = seen.values().map(|(_crashes, late, _refused)| *late).max();
        assert!(late <= Some(3), "{} hosts: {seen:?}", fleet.hosts);
    }
}

/// Guards against a probe's crash that is not kept beside many others, so that the next probe
/// follows a second later.
#[test]
fn the_crash_of_a_probe_is_kept_beside_many_others() {
    let mut parts = CrashingParts::default();
    let ids = [part("dead")];
    for engine in 1..=16 {
        parts.note_lost(&ids, &ProbedParts::default(), CrashId(engine), moment(0.0));
    }
    let probed = parts.admit(&ids, first, moment(1.5)).expect("a probe");
    parts.note_lost(&ids, &probed, CrashId(100), moment(1.7));
    parts.end_probes(&probed);
    assert!(parts.check(&ids, first, moment(20.0)).is_err());
}
