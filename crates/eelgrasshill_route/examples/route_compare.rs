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
const HOSTS_PER_ZONE: usize = 5;
const ENGINES_PER_ZONE: usize = 5;
const MODELS: usize = 20;
const MODELS_PER_ENGINE: usize = 10;
const PREFIXES_PER_MODEL: u64 = 6;
const CACHED_PREFIXES_PER_ENGINE: usize = 24;
const ORGS: usize = 5;
const SLOTS_PER_ENGINE: u32 = 16;
const PREFIX_TOKENS: u32 = 500;
const SUFFIX_TOKENS: u32 = 200;
const PREFILL_TOKENS_PER_STEP: u32 = 200;
/// Duration of an engine's step: a fixed part, and one for each request and prefilled token.
const STEP_US: u64 = 8_000;
const STEP_US_PER_REQUEST: u64 = 1_200;
const STEP_US_PER_PREFILL_TOKEN: u64 = 100;
/// The most tokens of an answer.
const MAX_ANSWER_TOKENS: u32 = 180;
const RUN_MS: u64 = 90_000;
/// The last part of a run, whose requests may not end within it.
const LEFT_OUT_MS: u64 = 20_000;
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
    answer_tokens: u32,
    arrived: u64,
    host: usize,
    first_token_at: Option<u64>,
    last_token_at: Option<u64>,
    prefix_hit: Option<bool>,
}

/// A request in an engine's batch, with its remaining tokens.
#[derive(Debug)]
struct Job {
    request: usize,
    prefill: u32,
    tokens_left: u32,
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
        while self.batch.len() < SLOTS_PER_ENGINE as usize {
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            let key = (requests[request].model, requests[request].prefix);
            let hit = self.cache.iter().position(|k| *k == key);
            if let Some(position) = hit {
                self.cache.remove(position);
            }
            self.cache.push_back(key);
            if self.cache.len() > CACHED_PREFIXES_PER_ENGINE {
                self.cache.pop_front();
            }
            requests[request].prefix_hit = Some(hit.is_some());
            let prefix = if hit.is_some() { 0 } else { PREFIX_TOKENS };
            self.batch.push(Job {
                request,
                prefill: prefix + SUFFIX_TOKENS,
                tokens_left: requests[request].answer_tokens,
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
            job.tokens_left -= 1;
            let request = &mut requests[job.request];
            request.first_token_at.get_or_insert(now);
            if job.tokens_left == 0 {
                request.last_token_at = Some(now);
                ended.push(job.request);
            }
        }
        self.batch.retain(|job| job.tokens_left > 0);
        self.admit(requests);
        let mut chunk = PREFILL_TOKENS_PER_STEP;
        for job in &mut self.batch {
            let prefill_now = job.prefill.min(chunk);
            job.prefill -= prefill_now;
            chunk -= prefill_now;
        }
        let prefilled = u64::from(PREFILL_TOKENS_PER_STEP - chunk);
        let step_us = STEP_US
            + STEP_US_PER_REQUEST * self.batch.len() as u64
            + STEP_US_PER_PREFILL_TOKEN * prefilled;
        self.step_ends = now + (step_us / 1_000).max(1);
        ended
    }
}

/// Results of one run; the parts are between 0 and 1.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    attained_per_second_per_engine: f64,
    attained: f64,
    prefix_hits: f64,
    worst_other_attained: f64,
    bursting_attained: f64,
    first_token_p99_ms: f64,
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

fn engine_name(engine: usize) -> HostName {
    HostName::new(&format!("engine-{engine}")).expect("the host name must be valid")
}

fn model(n: usize) -> ModelName {
    ModelName::new(&format!("model-{n}")).expect("the model name must be valid")
}

fn zone(n: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{n}")).expect("the zone name must be valid")
}

fn pool() -> PoolName {
    PoolName::new("pole-assist").expect("the pool name must be valid")
}

fn view(zone_index: usize, reports: &[UpstreamReport]) -> View {
    let upstreams = reports.iter().enumerate().map(|(engine, report)| {
        let mut upstream =
            Upstream::new(engine_name(engine), pool(), zone(engine / ENGINES_PER_ZONE))
                .with_report(*report);
        for n in 0..MODELS_PER_ENGINE {
            upstream = upstream.with_resident(ResidentModel {
                model: model((engine * 7 + n) % MODELS),
                version: "1".to_owned(),
                adapters: Vec::new(),
            });
        }
        upstream
    });
    View::new(&zone(zone_index), upstreams.collect())
}

impl<P: ChoicePolicy> Fleet<P> {
    fn new(seed: u64, settings: DispatchSettings, mut policy: impl FnMut(u64) -> P) -> Self {
        let idle = UpstreamReport {
            running: 0,
            waiting: 0,
            slots: SLOTS_PER_ENGINE,
            taken_at: Moment(0),
        };
        let known_reports = vec![vec![idle; ZONES * ENGINES_PER_ZONE]; ZONES];
        Self {
            requests: Vec::new(),
            engines: (0..ZONES * ENGINES_PER_ZONE)
                .map(|_n| Engine {
                    waiting: VecDeque::new(),
                    batch: Vec::new(),
                    cache: VecDeque::new(),
                    step_ends: 0,
                })
                .collect(),
            hosts: (0..ZONES * HOSTS_PER_ZONE)
                .map(|n| Dispatcher::new(settings, policy(seed * 1_000 + n as u64)))
                .collect(),
            views: (0..ZONES).map(|z| view(z, &known_reports[z])).collect(),
            known_reports,
            reports_in_transit: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn next_arrival(
        &mut self,
        now: u64,
        calls_per_second_per_engine: f64,
        burst_factor: f64,
    ) -> Option<usize> {
        let org = self.random.random_range(0..ORGS);
        let bursting = org == 0 && BURST_MS.contains(&now);
        let rate = calls_per_second_per_engine * (ZONES * ENGINES_PER_ZONE) as f64 / 1_000.0
            * if bursting { burst_factor } else { 1.0 };
        if self.random.random_range(0.0..1.0) >= rate {
            return None;
        }
        let zone = self.random.random_range(0..ZONES);
        // Models with a higher number are more popular.
        let skewed = self.random.random_range(0..MODELS * MODELS);
        let request = Request {
            org,
            model: skewed.isqrt(),
            prefix: self.random.random_range(0..PREFIXES_PER_MODEL),
            answer_tokens: self.random.random_range(60..MAX_ANSWER_TOKENS),
            arrived: now,
            host: zone * HOSTS_PER_ZONE + self.random.random_range(0..HOSTS_PER_ZONE),
            first_token_at: None,
            last_token_at: None,
            prefix_hit: None,
        };
        self.requests.push(request);
        Some(self.requests.len() - 1)
    }

    fn offer(&mut self, id: usize, now: u64) {
        let request = &self.requests[id];
        let org = OrgName::new(&format!("org-{}", request.org))
            .expect("the organisation name must be valid");
        let prefix = PrefixHash(request.model as u64 * 1_000 + request.prefix);
        let cost = u64::from(PREFIX_TOKENS + SUFFIX_TOKENS + MAX_ANSWER_TOKENS);
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
        for decision in self.hosts[host].poll(&self.views[host / HOSTS_PER_ZONE], Moment(now)) {
            let Decision::Start { ticket, host } = decision else {
                continue;
            };
            let number = host.as_str().trim_start_matches("engine-");
            let engine: usize = number.parse().expect("the host name must end in a number");
            let id = usize::try_from(ticket.id.0).expect("the id must be small");
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
                running: u32::try_from(state.batch.len()).expect("the batch must be small"),
                waiting: u32::try_from(state.waiting.len()).expect("the queue must be small"),
                slots: SLOTS_PER_ENGINE,
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
                for host in zone * HOSTS_PER_ZONE..(zone + 1) * HOSTS_PER_ZONE {
                    self.poll(host, now);
                }
            }
        }
    }

    fn run(mut self, calls_per_second_per_engine: f64, burst_factor: f64) -> Results {
        for now in 1..RUN_MS {
            self.report(now);
            if let Some(id) = self.next_arrival(now, calls_per_second_per_engine, burst_factor) {
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
        self.results()
    }

    fn results(&self) -> Results {
        // Requests that may not end within the run are left out.
        let counted: Vec<_> = self
            .requests
            .iter()
            .filter(|r| r.arrived + LEFT_OUT_MS < RUN_MS)
            .collect();
        let is_attained = |r: &&&Request| meets_targets(r);
        let share = |org: usize| {
            let all = counted.iter().filter(|r| r.org == org);
            let count = all.clone().count().max(1);
            all.filter(is_attained).count() as f64 / count as f64
        };
        let attained = counted.iter().filter(is_attained).count() as f64;
        let prefix_hits = counted
            .iter()
            .filter(|r| r.prefix_hit == Some(true))
            .count() as f64;
        let ran = counted.iter().filter(|r| r.prefix_hit.is_some()).count() as f64;
        let mut first_token_waits: Vec<_> = counted
            .iter()
            .filter(|r| r.org > 0)
            .map(|r| r.first_token_at.unwrap_or(RUN_MS) - r.arrived)
            .collect();
        first_token_waits.sort_unstable();
        let seconds = (RUN_MS - LEFT_OUT_MS) as f64 / 1_000.0;
        Results {
            attained_per_second_per_engine: attained / seconds / (ZONES * ENGINES_PER_ZONE) as f64,
            attained: attained / counted.len() as f64,
            prefix_hits: prefix_hits / ran,
            worst_other_attained: (1..ORGS).map(share).fold(1.0, f64::min),
            bursting_attained: share(0),
            first_token_p99_ms: first_token_waits[first_token_waits.len() * 99 / 100] as f64,
        }
    }
}

fn meets_targets(request: &Request) -> bool {
    let (Some(first), Some(last)) = (request.first_token_at, request.last_token_at) else {
        return false;
    };
    let gap = (last - first) as f64 / f64::from(request.answer_tokens - 1);
    first - request.arrived <= FIRST_TOKEN_TARGET_MS && gap <= TOKEN_GAP_TARGET_MS
}

fn measure<P: ChoicePolicy>(
    settings: DispatchSettings,
    calls_per_second_per_engine: f64,
    burst_factor: f64,
    policy: impl Fn(u64) -> P + Copy,
) -> Results {
    let mut sum = Results::default();
    for seed in 0..SEEDS {
        let results =
            Fleet::new(seed, settings, policy).run(calls_per_second_per_engine, burst_factor);
        sum.attained_per_second_per_engine += results.attained_per_second_per_engine / SEEDS as f64;
        sum.attained += results.attained / SEEDS as f64;
        sum.prefix_hits += results.prefix_hits / SEEDS as f64;
        sum.worst_other_attained += results.worst_other_attained / SEEDS as f64;
        sum.bursting_attained += results.bursting_attained / SEEDS as f64;
        sum.first_token_p99_ms += results.first_token_p99_ms / SEEDS as f64;
    }
    sum
}

fn print(
    policy: &str,
    order: &str,
    calls_per_second_per_engine: f64,
    burst_factor: f64,
    results: Results,
) {
    println!(
        "| {calls_per_second_per_engine} | {burst_factor} | {policy} | {order} | {:.3} | {:.1} % | {:.1} % | {:.1} % | {:.1} % | {:.0} |",
        results.attained_per_second_per_engine,
        results.attained * 100.0,
        results.prefix_hits * 100.0,
        results.worst_other_attained * 100.0,
        results.bursting_attained * 100.0,
        results.first_token_p99_ms,
    );
}

fn main() {
    println!(
        "| calls/s per engine | burst | policy | order | attained/s per engine | attained \
         | prefix hits | worst other organisation | bursting organisation \
         | p99 first token of others, ms |"
    );
    println!("|--:|--:|---|---|--:|--:|--:|--:|--:|--:|");
    for (calls_per_second_per_engine, burst_factor) in
        [(2.0, 1.0), (3.0, 1.0), (2.0, 6.0), (2.6, 8.0)]
    {
        for (order_name, order) in [
            ("fair", QueueOrder::FairShare),
            ("first come", QueueOrder::FirstCome),
        ] {
            let settings = DispatchSettings::default().with_order(order);
            let results = measure(
                settings,
                calls_per_second_per_engine,
                burst_factor,
                |_seed| PrefixTwoChoices,
            );
            print(
                "PrefixTwoChoices",
                order_name,
                calls_per_second_per_engine,
                burst_factor,
                results,
            );
            let results = measure(
                settings,
                calls_per_second_per_engine,
                burst_factor,
                |_seed| LeastLoaded,
            );
            print(
                "LeastLoaded",
                order_name,
                calls_per_second_per_engine,
                burst_factor,
                results,
            );
            let random = |seed| Random::new(StdRng::seed_from_u64(seed));
            let results = measure(settings, calls_per_second_per_engine, burst_factor, random);
            print(
                "Random",
                order_name,
                calls_per_second_per_engine,
                burst_factor,
                results,
            );
        }
    }
}
