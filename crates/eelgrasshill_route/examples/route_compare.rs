//! Compares choice policies and queue orders, with many entry hosts that share engines.
//!
//! The upstreams are deterministic simulations of batching engines with a prefix cache. Run it
//! with `cargo run --release -p eelgrasshill_route --example route_compare`.

#![expect(
    clippy::cast_precision_loss,
    clippy::expect_used,
    reason = "the numbers are small, and a failed measurement ends the run"
)]

use std::collections::{BTreeMap, VecDeque};

use eelgrasshill_domain::{Class, HostName, ModelName, Moment, OrgName, PoolName, ZoneName};
use eelgrasshill_route::{
    ChoicePolicy, Decision, DispatchSettings, Dispatcher, LeastLoaded, PrefixHash,
    PrefixTwoChoices, QueueOrder, Random, Requirement, ResidentModel, Ticket, TicketId, Upstream,
    UpstreamReport, View,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const ZONES: usize = 3;
const HOSTS: usize = 5;
const ENGINES: usize = 5;
const MODELS: usize = 20;
const MODELS_PER_ENGINE: usize = 10;
const PREFIXES_PER_MODEL: u64 = 6;
const CACHED_PREFIXES: usize = 24;
const ORGS: usize = 5;
const SLOTS: u32 = 16;
const PREFIX_TOKENS: u32 = 500;
const SUFFIX_TOKENS: u32 = 200;
const CHUNK_TOKENS: u32 = 200;
const RUN_MS: u64 = 90_000;
const BURST_MS: std::ops::Range<u64> = 30_000..60_000;
const FIRST_TOKEN_TARGET_MS: u64 = 350;
const TOKEN_GAP_TARGET_MS: f64 = 39.0;
const SEEDS: u64 = 3;

/// A request and its outcome.
#[derive(Clone, Debug)]
struct Request {
    org: usize,
    model: usize,
    prefix: u64,
    answer: u32,
    arrived: u64,
    host: usize,
    first: Option<u64>,
    last: Option<u64>,
    hit: Option<bool>,
}

/// A request in an engine's batch, with its remaining tokens.
#[derive(Debug)]
struct Job {
    request: usize,
    prefill: u32,
    left: u32,
}

/// A batching engine.
///
/// Each step makes a token for every request whose prompt is done, and reads a chunk of prompts.
#[derive(Debug)]
struct Engine {
    waiting: VecDeque<usize>,
    batch: Vec<Job>,
    cache: VecDeque<(usize, u64)>,
    step_ends: u64,
}

impl Engine {
    fn admit(&mut self, requests: &mut [Request]) {
        while self.batch.len() < SLOTS as usize {
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            let key = (requests[request].model, requests[request].prefix);
            let hit = self.cache.iter().position(|k| *k == key);
            if let Some(position) = hit {
                self.cache.remove(position);
            }
            self.cache.push_back(key);
            if self.cache.len() > CACHED_PREFIXES {
                self.cache.pop_front();
            }
            requests[request].hit = Some(hit.is_some());
            let prefix = if hit.is_some() { 0 } else { PREFIX_TOKENS };
            self.batch.push(Job {
                request,
                prefill: prefix + SUFFIX_TOKENS,
                left: requests[request].answer,
            });
        }
    }

    /// Ends the current step if it is over, begins the next, and returns the ended requests.
    fn step(&mut self, now: u64, requests: &mut [Request]) -> Vec<usize> {
        if now < self.step_ends {
            return Vec::new();
        }
        let mut ended = Vec::new();
        for job in &mut self.batch {
            if job.prefill > 0 {
                continue;
            }
            job.left -= 1;
            let request = &mut requests[job.request];
            request.first.get_or_insert(now);
            if job.left == 0 {
                request.last = Some(now);
                ended.push(job.request);
            }
        }
        self.batch.retain(|job| job.left > 0);
        self.admit(requests);
        let mut chunk = CHUNK_TOKENS;
        for job in &mut self.batch {
            let part = job.prefill.min(chunk);
            job.prefill -= part;
            chunk -= part;
        }
        let prefilled = u64::from(CHUNK_TOKENS - chunk);
        let step = 8_000 + 1_200 * self.batch.len() as u64 + 100 * prefilled;
        self.step_ends = now + (step / 1_000).max(1);
        ended
    }
}

/// Results of one run.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    engine_rate: f64,
    attained: f64,
    prefix_hits: f64,
    worst_share: f64,
    burst_share: f64,
    p99_ms: f64,
}

#[derive(Debug)]
struct Fleet<P> {
    requests: Vec<Request>,
    engines: Vec<Engine>,
    hosts: Vec<Dispatcher<P>>,
    /// Latest report of each engine that has arrived in each zone.
    known_reports: Vec<Vec<UpstreamReport>>,
    reports_in_transit: BTreeMap<(u64, usize, usize), UpstreamReport>,
    views: Vec<View>,
    random: StdRng,
}

fn name(engine: usize) -> HostName {
    HostName::new(&format!("engine-{engine}")).expect("a host name")
}

fn model(n: usize) -> ModelName {
    ModelName::new(&format!("model-{n}")).expect("a model name")
}

fn zone(n: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{n}")).expect("a zone name")
}

fn pool() -> PoolName {
    PoolName::new("pole-assist").expect("a pool name")
}

fn view(at: usize, reports: &[UpstreamReport]) -> View {
    let upstreams = reports.iter().enumerate().map(|(engine, report)| {
        let mut upstream =
            Upstream::new(name(engine), pool(), zone(engine / ENGINES)).with_report(*report);
        for n in 0..MODELS_PER_ENGINE {
            upstream = upstream.with_resident(ResidentModel {
                model: model((engine * 7 + n) % MODELS),
                version: "1".to_owned(),
                adapters: Vec::new(),
            });
        }
        upstream
    });
    View::new(&zone(at), upstreams.collect())
}

impl<P: ChoicePolicy> Fleet<P> {
    fn new(seed: u64, settings: DispatchSettings, mut policy: impl FnMut(u64) -> P) -> Self {
        let idle = UpstreamReport {
            running: 0,
            waiting: 0,
            slots: SLOTS,
            taken_at: Moment(0),
        };
        let known_reports = vec![vec![idle; ZONES * ENGINES]; ZONES];
        Self {
            requests: Vec::new(),
            engines: (0..ZONES * ENGINES)
                .map(|_n| Engine {
                    waiting: VecDeque::new(),
                    batch: Vec::new(),
                    cache: VecDeque::new(),
                    step_ends: 0,
                })
                .collect(),
            hosts: (0..ZONES * HOSTS)
                .map(|n| Dispatcher::new(settings, policy(seed * 1_000 + n as u64)))
                .collect(),
            views: (0..ZONES).map(|z| view(z, &known_reports[z])).collect(),
            known_reports,
            reports_in_transit: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn next_arrival(&mut self, now: u64, load: f64, burst: f64) -> Option<usize> {
        let org = self.random.random_range(0..ORGS);
        let bursting = org == 0 && BURST_MS.contains(&now);
        let rate = load * (ZONES * ENGINES) as f64 / 1_000.0 * if bursting { burst } else { 1.0 };
        if self.random.random_range(0.0..1.0) >= rate {
            return None;
        }
        let zone = self.random.random_range(0..ZONES);
        let skewed = self.random.random_range(0..MODELS * MODELS);
        let request = Request {
            org,
            model: skewed.isqrt(),
            prefix: self.random.random_range(0..PREFIXES_PER_MODEL),
            answer: self.random.random_range(60..180),
            arrived: now,
            host: zone * HOSTS + self.random.random_range(0..HOSTS),
            first: None,
            last: None,
            hit: None,
        };
        self.requests.push(request);
        Some(self.requests.len() - 1)
    }

    fn offer(&mut self, id: usize, now: u64) {
        let request = &self.requests[id];
        let org = OrgName::new(&format!("org-{}", request.org)).expect("an organisation name");
        let prefix = PrefixHash(request.model as u64 * 1_000 + request.prefix);
        let cost = u64::from(PREFIX_TOKENS + SUFFIX_TOKENS + 180);
        let requirement = Requirement::new(model(request.model));
        let deadline = Moment(now + 10_000);
        let id = TicketId(id as u64);
        let ticket = Ticket::new(id, Class::Interactive, pool(), requirement, cost, deadline)
            .with_organisation(org)
            .with_prefix(prefix);
        // A refused request counts as a missed target.
        let _refused = self.hosts[request.host].offer(ticket, Moment(now)).is_err();
        self.poll(request.host, now);
    }

    fn poll(&mut self, host: usize, now: u64) {
        for decision in self.hosts[host].poll(&self.views[host / HOSTS], Moment(now)) {
            let Decision::Start { ticket, host } = decision else {
                continue;
            };
            let number = host.as_str().trim_start_matches("engine-");
            let engine: usize = number.parse().expect("an engine's number");
            let id = usize::try_from(ticket.id.0).expect("a small id");
            self.engines[engine].waiting.push_back(id);
        }
    }

    /// Makes a report of each engine twice a second, which arrives 0.5 to 1.5 s later.
    fn report(&mut self, now: u64) {
        for (engine, state) in self.engines.iter().enumerate() {
            if !(now + engine as u64 * 37).is_multiple_of(500) {
                continue;
            }
            let report = UpstreamReport {
                running: u32::try_from(state.batch.len()).expect("a small batch"),
                waiting: u32::try_from(state.waiting.len()).expect("a small queue"),
                slots: SLOTS,
                taken_at: Moment(now),
            };
            for zone in 0..ZONES {
                let at = now + self.random.random_range(500..1_500);
                self.reports_in_transit.insert((at, zone, engine), report);
            }
        }
        while let Some(((at, zone, engine), report)) = self.reports_in_transit.pop_first() {
            if at > now {
                self.reports_in_transit.insert((at, zone, engine), report);
                break;
            }
            if self.known_reports[zone][engine].taken_at < report.taken_at {
                self.known_reports[zone][engine] = report;
                self.views[zone] = view(zone, &self.known_reports[zone]);
                for host in zone * HOSTS..(zone + 1) * HOSTS {
                    self.poll(host, now);
                }
            }
        }
    }

    fn run(mut self, load: f64, burst: f64) -> Figures {
        for now in 1..RUN_MS {
            self.report(now);
            if let Some(id) = self.next_arrival(now, load, burst) {
                self.offer(id, now);
            }
            for engine in 0..self.engines.len() {
                for id in self.engines[engine].step(now, &mut self.requests) {
                    let host = self.requests[id].host;
                    self.hosts[host].finish(TicketId(id as u64), Moment(now));
                    self.poll(host, now);
                }
            }
        }
        self.figures()
    }

    fn figures(&self) -> Figures {
        // Requests of the last 20 s may not end within the run, so they are left out.
        let counted: Vec<_> = self
            .requests
            .iter()
            .filter(|r| r.arrived + 20_000 < RUN_MS)
            .collect();
        let is_attained = |r: &&&Request| meets_targets(r);
        let share = |org: usize| {
            let all = counted.iter().filter(|r| r.org == org);
            let count = all.clone().count().max(1);
            all.filter(is_attained).count() as f64 / count as f64
        };
        let attained = counted.iter().filter(is_attained).count() as f64;
        let prefix_hits = counted.iter().filter(|r| r.hit == Some(true)).count() as f64;
        let ran = counted.iter().filter(|r| r.hit.is_some()).count() as f64;
        let mut firsts: Vec<_> = counted
            .iter()
            .filter(|r| r.org > 0)
            .map(|r| r.first.unwrap_or(RUN_MS) - r.arrived)
            .collect();
        firsts.sort_unstable();
        let seconds = (RUN_MS - 20_000) as f64 / 1_000.0;
        Figures {
            engine_rate: attained / seconds / (ZONES * ENGINES) as f64,
            attained: attained / counted.len() as f64,
            prefix_hits: prefix_hits / ran,
            worst_share: (1..ORGS).map(share).fold(1.0, f64::min),
            burst_share: share(0),
            p99_ms: firsts[firsts.len() * 99 / 100] as f64,
        }
    }
}

fn meets_targets(request: &Request) -> bool {
    let (Some(first), Some(last)) = (request.first, request.last) else {
        return false;
    };
    let gap = (last - first) as f64 / f64::from(request.answer - 1);
    first - request.arrived <= FIRST_TOKEN_TARGET_MS && gap <= TOKEN_GAP_TARGET_MS
}

fn measure<P: ChoicePolicy>(
    settings: DispatchSettings,
    load: f64,
    burst: f64,
    policy: impl Fn(u64) -> P + Copy,
) -> Figures {
    let mut sum = Figures::default();
    for seed in 0..SEEDS {
        let figures = Fleet::new(seed, settings, policy).run(load, burst);
        sum.engine_rate += figures.engine_rate / SEEDS as f64;
        sum.attained += figures.attained / SEEDS as f64;
        sum.prefix_hits += figures.prefix_hits / SEEDS as f64;
        sum.worst_share += figures.worst_share / SEEDS as f64;
        sum.burst_share += figures.burst_share / SEEDS as f64;
        sum.p99_ms += figures.p99_ms / SEEDS as f64;
    }
    sum
}

fn print(policy: &str, order: &str, load: f64, burst: f64, figures: Figures) {
    println!(
        "| {load} | {burst} | {policy} | {order} | {:.3} | {:.1} % | {:.1} % | {:.1} % | {:.1} % | {:.0} |",
        figures.engine_rate,
        figures.attained * 100.0,
        figures.prefix_hits * 100.0,
        figures.worst_share * 100.0,
        figures.burst_share * 100.0,
        figures.p99_ms,
    );
}

fn main() {
    println!(
        "| calls/s an engine | burst | policy | order | attained/s an accelerator | attained \
         | prefix hits | worst other organisation | bursting organisation \
         | p99 first token of others, ms |"
    );
    println!("|--:|--:|---|---|--:|--:|--:|--:|--:|--:|");
    for (load, burst) in [(2.0, 1.0), (3.0, 1.0), (2.0, 6.0), (2.6, 8.0)] {
        for (name, order) in [
            ("fair", QueueOrder::FairShare),
            ("first come", QueueOrder::FirstCome),
        ] {
            let settings = DispatchSettings::default().with_order(order);
            let figures = measure(settings, load, burst, |_seed| PrefixTwoChoices);
            print("PrefixTwoChoices", name, load, burst, figures);
            let figures = measure(settings, load, burst, |_seed| LeastLoaded);
            print("LeastLoaded", name, load, burst, figures);
            let random = |seed| Random::new(StdRng::seed_from_u64(seed));
            let figures = measure(settings, load, burst, random);
            print("Random", name, load, burst, figures);
        }
    }
}
