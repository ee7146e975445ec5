//! Engines that read prompts between the steps of their streams, in virtual time.
//!
//! In each step an engine reads up to [`CHUNK_TOKENS`] tokens of the waiting prompts, in order, and
//! makes a token of each running stream.

mod loads;

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, FastSet, HostName, ModelName, Moment, PoolName, ZoneName};
use eelgrasshill_relay::{
    AdmissionLimits, EnginePicker, EngineRests, EngineSpeeds, KnownUpstreams, OrganisationHash,
    Pick, PickCandidate, PromptQuery, RequestIdentity, ResidentModel, SelectionSettings,
    SoftwareVersion, Ticket, Upstream, UpstreamHealth, UpstreamLoad, UpstreamLoads, UpstreamQuery,
    UpstreamSelector,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub use loads::{Burst, CallerCounts, Class, Fault, Load, LoadOutcome};

const CHUNK_TOKENS: u64 = 4_096;
const START_MS: u64 = 1_000;
const DURATION_MS: u64 = 20_000;
/// Time after which a load with callers that leave and retry has no new ones.
const ARRIVALS_MS: u64 = 12_000;
/// Age that a host's view of the other hosts' requests has on average.
const VIEW_INTERVAL_MS: u64 = 350;
/// Time after which a caller whose connection broke sends its request again.
const RECONNECT_MS: (u64, u64) = (50, 500);
/// Shortest retry time that a host gives after a rejection by the picker.
const MIN_REJECT_RETRY: Duration = Duration::from_millis(100);
/// A caller honours a retry time up to its remaining time divided by this.
const RETRY_DIVISOR: u64 = 3;

/// Engines, hosts and load of a run.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub hosts: usize,
    pub engines: usize,
    pub slots: u32,
    pub tokens_per_ms: u64,
    pub step_ms: u64,
    pub tokens_per_event: u64,
    pub events: u64,
    /// Fewest and most tokens of a prompt.
    pub prompt_tokens: (u64, u64),
    pub requests_per_s: u64,
    pub pause_ms: u64,
    pub objective_ms: u64,
}

/// Who chooses the engine of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each host, with a view of the others that is some rounds old.
    EachHost,
    /// One host for all.
    Picker,
}

/// Result of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Streams that ended.
    pub served: u32,
    /// Those with a first event after the objective, or a pause that is too long.
    pub late: u32,
    /// Requests that were rejected.
    pub rejected: u32,
    /// Requests that found no free slot at their engine.
    pub queued: u32,
}

impl Outcome {
    pub fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from(self.served.max(1))
    }
}

struct Stream {
    request: Waiting,
    unread: u64,
    sent_ms: u64,
    made: u64,
    last_event_ms: u64,
    // Whether the first event came after the objective.
    late: bool,
    // Whether a pause was too long.
    paused: bool,
    started: bool,
}

#[derive(Default)]
struct Engine {
    queued: Vec<Stream>,
    running: Vec<Stream>,
    step_end: Option<u64>,
    is_gone: bool,
}

#[derive(Clone, Copy)]
struct Waiting {
    at_ms: u64,
    // When the first and when this attempt arrived.
    first_ms: u64,
    arrived_ms: u64,
    ticket: Ticket,
    // Ticket of the first attempt.
    first_ticket: Ticket,
    host: usize,
    tokens: u64,
    class: usize,
    organisation: usize,
}

impl Waiting {
    fn is_retry(&self) -> bool {
        self.first_ms < self.arrived_ms
    }
}

struct Simulation<'a> {
    deployment: &'a Deployment,
    classes: &'a [Class],
    // The load with callers that leave and retry, if they do.
    load: Option<&'a Load<'a>>,
    counts: LoadOutcome,
    // Number of first events and sum of the times until them, for each organisation.
    waits: Vec<(u64, u64)>,
    waiting: Vec<Waiting>,
    next_ticket: u64,
    is_down: bool,
    limits: AdmissionLimits,
    policy: Policy,
    upstreams: KnownUpstreams,
    candidates: Vec<PickCandidate>,
    engines: Vec<Engine>,
    ids: FastMap<HostName, usize>,
    picker: EnginePicker,
    speeds: EngineSpeeds,
    // Own requests of each host, and the view of the others.
    loads: Vec<UpstreamLoads>,
    // The load, which does not depend on the policy.
    arrivals: StdRng,
    random: StdRng,
    outcome: Outcome,
    now_ms: u64,
}

fn names() -> (PoolName, ModelName, ZoneName) {
    let pool = PoolName::new("p").expect("the name is valid");
    let model = ModelName::new("m").expect("the name is valid");
    let zone = ZoneName::new("z").expect("the name is valid");
    (pool, model, zone)
}

/// Plays the load of a deployment, whose callers wait and never retry.
pub fn simulate(deployment: &Deployment, policy: Policy, seed: u64) -> Outcome {
    let class = Class {
        rank: 0,
        objective_ms: deployment.objective_ms,
        timeout_ms: DURATION_MS,
        pause_ms: deployment.pause_ms,
        prompt_tokens: deployment.prompt_tokens,
        events: deployment.events,
        requests_per_s: deployment.requests_per_s,
    };
    let classes = [class];
    let mut simulation = Simulation::new(deployment, &classes, None, policy, seed);
    simulation.run();
    simulation.outcome
}

/// Plays a load whose callers leave and retry, with one host that picks for all.
pub fn simulate_load(load: &Load<'_>, limits: AdmissionLimits, seed: u64) -> LoadOutcome {
    let mut simulation = Simulation::new(
        &load.deployment,
        load.classes,
        Some(load),
        Policy::Picker,
        seed,
    );
    simulation.limits = limits;
    simulation.picker = EnginePicker::new(limits);
    simulation.run();
    let waits = simulation.waits.iter();
    let means = waits.map(|(count, sum)| Duration::from_millis(sum / (*count).max(1)));
    simulation.counts.worst_wait = means.max().unwrap_or_default();
    simulation.counts
}

fn engines(
    deployment: &Deployment,
) -> (KnownUpstreams, Vec<PickCandidate>, FastMap<HostName, usize>) {
    let (pool, model, zone) = names();
    let mut upstreams = KnownUpstreams::default();
    let mut candidates = Vec::new();
    let mut ids = FastMap::default();
    for number in 0..deployment.engines {
        let upstream = Upstream {
            id: HostName::new(&format!("e{number}")).expect("the name is valid"),
            pool: pool.clone(),
            zone: zone.clone(),
            address: ([127, 0, 0, 1], 80).into(),
            slots: deployment.slots,
            leaving: false,
            started_ms: 1,
            holdings: vec![ResidentModel {
                model: model.clone(),
                adapters: Vec::new(),
            }],
            memory: Vec::new(),
            disk: Vec::new(),
            cold_remaining: Duration::ZERO,
            software: SoftwareVersion::default(),
        };
        ids.insert(upstream.id.clone(), number);
        upstreams.insert(upstream.clone(), Moment(1));
        candidates.push(PickCandidate {
            upstream: Arc::new(upstream),
            cost: Duration::ZERO,
        });
    }
    (upstreams, candidates, ids)
}

impl<'a> Simulation<'a> {
    fn new(
        deployment: &'a Deployment,
        classes: &'a [Class],
        load: Option<&'a Load<'a>>,
        policy: Policy,
        seed: u64,
    ) -> Self {
        let (upstreams, candidates, ids) = engines(deployment);
        let organisations = load.map_or(1, |load| load.organisations);
        Self {
            deployment,
            classes,
            load,
            counts: LoadOutcome {
                classes: vec![CallerCounts::default(); classes.len()],
                organisations: vec![(0, 0); organisations],
                ..LoadOutcome::default()
            },
            waits: vec![(0, 0); organisations],
            waiting: Vec::new(),
            next_ticket: 0,
            is_down: false,
            limits: AdmissionLimits::default(),
            policy,
            upstreams,
            candidates,
            engines: (0..deployment.engines)
                .map(|_number| Engine::default())
                .collect(),
            ids,
            picker: EnginePicker::default(),
            speeds: EngineSpeeds::new(deployment.tokens_per_ms),
            loads: vec![UpstreamLoads::default(); deployment.hosts],
            arrivals: StdRng::seed_from_u64(seed),
            random: StdRng::seed_from_u64(seed),
            outcome: Outcome::default(),
            now_ms: START_MS,
        }
    }

    fn now(&self) -> Moment {
        Moment(self.now_ms)
    }

    fn run(&mut self) {
        let end_ms = self.now_ms + DURATION_MS;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            self.apply_faults();
            for engine in 0..self.engines.len() {
                self.advance(engine);
            }
            if self.load.is_some() {
                self.leave_engines();
                self.leave_hosts();
            } else if self.now_ms.is_multiple_of(VIEW_INTERVAL_MS) {
                self.share_loads();
            }
            let (mut due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
                .into_iter()
                .partition(|request| request.at_ms <= self.now_ms);
            self.waiting = later;
            if self.load.is_none() || self.now_ms < START_MS + ARRIVALS_MS {
                for class in 0..self.classes.len() {
                    self.arrive(class, &mut due);
                }
            }
            for request in due {
                let waiting = self.offer(request);
                self.waiting.extend(waiting);
            }
        }
    }

    /// Adds the requests of a class that arrive now, at most one for each organisation or burst.
    fn arrive(&mut self, number: usize, due: &mut Vec<Waiting>) {
        let class = self.classes[number];
        let mut rates = vec![(class.requests_per_s, None)];
        if let Some(load) = self.load {
            let organisations = u64::try_from(load.organisations).expect("few organisations");
            let elapsed_ms = self.now_ms - START_MS;
            for burst in load.bursts {
                if burst.class != number || !(burst.from_ms..burst.until_ms).contains(&elapsed_ms) {
                    continue;
                }
                let more = class.requests_per_s * (burst.factor - 1);
                rates.push(match burst.organisation {
                    None => (more, None),
                    Some(organisation) => (more / organisations, Some(organisation)),
                });
            }
        }
        for (requests_per_s, organisation) in rates {
            if self.arrivals.random_range(0..1_000) >= requests_per_s {
                continue;
            }
            let (least, most) = class.prompt_tokens;
            self.next_ticket += 1;
            // Short prompts are more frequent than long ones.
            let draw: f64 = self.arrivals.random();
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                clippy::cast_precision_loss,
                reason = "a few thousand tokens"
            )]
            let tokens = least + ((most - least) as f64 * draw * draw) as u64;
            let host = self.arrivals.random_range(0..self.deployment.hosts);
            let organisation = match organisation {
                Some(organisation) => organisation,
                None if self.waits.len() > 1 => self.arrivals.random_range(0..self.waits.len()),
                None => 0,
            };
            self.counts.classes[number].arrived += 1;
            self.counts.organisations[organisation].0 += 1;
            due.push(Waiting {
                at_ms: self.now_ms,
                first_ms: self.now_ms,
                arrived_ms: self.now_ms,
                ticket: Ticket(self.next_ticket),
                first_ticket: Ticket(self.next_ticket),
                host,
                tokens,
                class: number,
                organisation,
            });
        }
    }

    fn apply_faults(&mut self) {
        let elapsed_ms = self.now_ms - START_MS;
        match self.load.and_then(|load| load.fault) {
            Some(Fault::EnginesGone { from_ms, until_ms }) => {
                let count = self.engines.len() / 4;
                if elapsed_ms == from_ms {
                    for number in 0..count {
                        self.empty_engine(number);
                        self.engines[number].is_gone = true;
                    }
                }
                if elapsed_ms == until_ms {
                    for engine in &mut self.engines {
                        engine.is_gone = false;
                    }
                }
            }
            Some(Fault::HostsKilled { from_ms, until_ms }) => {
                if elapsed_ms == from_ms {
                    for number in 0..self.engines.len() {
                        self.empty_engine(number);
                    }
                    // Those that will ask for the first time after a retry are not yet at a host.
                    let now_ms = self.now_ms;
                    let (open, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
                        .into_iter()
                        .partition(|request| request.arrived_ms < now_ms);
                    self.waiting = later;
                    for request in open {
                        self.break_off(request);
                    }
                    self.picker = EnginePicker::new(self.limits);
                    self.speeds = EngineSpeeds::new(self.deployment.tokens_per_ms);
                }
                self.is_down = (from_ms..until_ms).contains(&elapsed_ms);
            }
            None => {}
        }
    }

    /// Breaks the streams of an engine.
    fn empty_engine(&mut self, number: usize) {
        let engine = std::mem::take(&mut self.engines[number]);
        let now = self.now();
        for stream in engine.running.into_iter().chain(engine.queued) {
            self.picker.note_end(stream.request.ticket, now);
            if stream.started {
                self.counts.classes[stream.request.class].deserted += 1;
            } else {
                self.break_off(stream.request);
            }
        }
    }

    /// Lets the caller of a request without an event send it once more.
    fn break_off(&mut self, request: Waiting) {
        let (least, most) = RECONNECT_MS;
        let after_ms = self.random.random_range(least..most);
        if !self.retry(request, after_ms) {
            self.counts.classes[request.class].deserted += 1;
        }
    }

    fn retry(&mut self, request: Waiting, after_ms: u64) -> bool {
        let at_ms = self.now_ms + after_ms;
        let end_ms = request.first_ms + self.classes[request.class].timeout_ms;
        if request.is_retry() || at_ms >= end_ms {
            return false;
        }
        self.next_ticket += 1;
        self.waiting.push(Waiting {
            at_ms,
            arrived_ms: at_ms,
            ticket: Ticket(self.next_ticket),
            host: self.random.random_range(0..self.deployment.hosts),
            ..request
        });
        true
    }

    /// Removes requests at hosts whose callers have left.
    fn leave_hosts(&mut self) {
        let now = self.now();
        let classes = self.classes;
        let has_left = |request: &mut Waiting| {
            let class = &classes[request.class];
            let end_ms =
                (request.arrived_ms + class.patience_ms()).min(request.first_ms + class.timeout_ms);
            now >= Moment(end_ms)
        };
        let mut waiting = std::mem::take(&mut self.waiting);
        for request in waiting.extract_if(.., has_left) {
            self.picker.note_end(request.ticket, now);
            let counts = &mut self.counts.classes[request.class];
            counts.deserted += 1;
            counts.returned_in_vain += u32::from(request.is_retry());
        }
        let mut queues = vec![0; self.deployment.hosts];
        for request in waiting.iter().filter(|request| request.arrived_ms < now.0) {
            queues[request.host] += 1;
        }
        let counts = &mut self.counts;
        counts.most_waiting = counts.most_waiting.max(queues.iter().sum());
        counts.longest_queue = counts
            .longest_queue
            .max(queues.into_iter().max().unwrap_or(0));
        self.waiting = waiting;
    }

    /// Removes streams without an event whose callers have left.
    fn leave_engines(&mut self) {
        let now = self.now();
        let classes = self.classes;
        for engine in &mut self.engines {
            let has_left = |stream: &mut Stream| {
                let request = &stream.request;
                let end_ms = request.arrived_ms + classes[request.class].patience_ms();
                !stream.started && now >= Moment(end_ms)
            };
            let queued = engine.queued.extract_if(.., has_left);
            let left: Vec<_> = queued
                .chain(engine.running.extract_if(.., has_left))
                .collect();
            for stream in left {
                self.picker.note_end(stream.request.ticket, now);
                self.counts.classes[stream.request.class].deserted += 1;
            }
        }
    }

    /// Sends a request or rejects it; returns it if it waits.
    fn offer(&mut self, request: Waiting) -> Option<Waiting> {
        if self.is_down {
            self.break_off(request);
            return None;
        }
        match self.choose(&request) {
            Pick::Send { engine, .. } => {
                let number = self.ids[&engine];
                let loads = &mut self.loads[request.host];
                loads.record_start(&engine, 0, request.tokens);
                let target = &mut self.engines[number];
                let slots = usize::try_from(self.deployment.slots).expect("few slots");
                if target.running.len() + target.queued.len() >= slots {
                    self.outcome.queued += 1;
                }
                target.queued.push(Stream {
                    request,
                    unread: request.tokens,
                    sent_ms: self.now_ms,
                    made: 0,
                    last_event_ms: 0,
                    late: false,
                    paused: false,
                    started: false,
                });
                None
            }
            Pick::Wait { after } => Some(Waiting {
                at_ms: self.now_ms + to_ms(after).max(1),
                ..request
            }),
            Pick::Reject { after } => {
                self.reject(request, Some(after));
                None
            }
            Pick::Decline => {
                self.reject(request, None);
                None
            }
        }
    }

    fn reject(&mut self, request: Waiting, after: Option<Duration>) {
        self.outcome.rejected += 1;
        if self.load.is_none() {
            return;
        }
        let class = &self.classes[request.class];
        let counts = &mut self.counts.classes[request.class];
        let waited_ms = self.now_ms - request.arrived_ms;
        counts.rejected_after_wait += u32::from(waited_ms * 2 >= class.objective_ms);
        counts.told += u32::from(after.is_some());
        counts.rejected_again += u32::from(request.is_retry());
        let end_ms = request.first_ms + class.timeout_ms;
        let longest_ms = end_ms.saturating_sub(self.now_ms) / RETRY_DIVISOR;
        let untold_ms = self.load.and_then(|load| load.untold_return_ms);
        let after_ms = after.map(|after| to_ms(after.max(MIN_REJECT_RETRY)).min(longest_ms));
        let after_ms = after_ms.or(untold_ms);
        if !after_ms.is_some_and(|after_ms| self.retry(request, after_ms)) {
            self.counts.classes[request.class].rejected += 1;
        }
    }

    fn choose(&mut self, request: &Waiting) -> Pick {
        let (pool, model, zone) = names();
        let class = &self.classes[request.class];
        let objective = Duration::from_millis(class.objective_ms);
        if self.policy == Policy::Picker {
            let elapsed = self.now().since(Moment(request.arrived_ms));
            let end = Moment(request.first_ms + class.timeout_ms);
            let query = PromptQuery {
                ticket: request.ticket,
                pool,
                model,
                rank: class.rank,
                tokens: request.tokens,
                objective,
                elapsed,
                max_interruption: Duration::from_millis(
                    class.pause_ms - self.deployment.step_ms * self.deployment.tokens_per_event,
                ),
                remaining: end.since(self.now()),
                patience: match self.load {
                    Some(_) => Duration::from_millis(class.patience_ms()),
                    None => Duration::ZERO,
                },
                identity: Some(RequestIdentity(request.first_ticket.0)),
                organisation: Some(OrganisationHash::new(&request.organisation.to_string())),
                output_tokens: class.events * self.deployment.tokens_per_event,
            };
            let now = self.now();
            let engines = &self.engines;
            let candidates: Vec<_> = self
                .candidates
                .iter()
                .zip(engines)
                .filter(|(_candidate, engine)| !engine.is_gone)
                .map(|(candidate, _engine)| candidate.clone())
                .collect();
            let pick = self
                .picker
                .pick(&query, &candidates, &self.speeds, |_count| 0, now);
            return pick.expect("there are candidates");
        }
        let selector = UpstreamSelector {
            upstreams: &self.upstreams,
            loads: &self.loads[request.host],
            health: &UpstreamHealth::default(),
            rests: &EngineRests::default(),
            speeds: &self.speeds,
            zone: &zone,
            settings: &SelectionSettings::default(),
        };
        let query = UpstreamQuery {
            pool: &pool,
            model: Some(&model),
            adapter: None,
            rank: 0,
            tried: &FastSet::default(),
            homes: None,
            software: None,
        };
        let random = &mut self.random;
        let chosen = selector.choose(
            &query,
            |count| random.random_range(0..count),
            Moment(self.now_ms),
        );
        let chosen = chosen.expect("there are candidates");
        if chosen.wait > objective * 9 / 10 {
            return Pick::Reject { after: chosen.wait };
        }
        Pick::Send {
            engine: chosen.upstream.id.clone(),
            wait: chosen.wait,
        }
    }

    /// Gives each host the loads of all others as they are now.
    fn share_loads(&mut self) {
        let mut sums: FastMap<HostName, UpstreamLoad> = FastMap::default();
        for loads in &self.loads {
            for (id, load) in loads.own() {
                sums.entry(id.clone()).or_default().add(load);
            }
        }
        for loads in &mut self.loads {
            let own: FastMap<_, _> = loads.own().map(|(id, load)| (id.clone(), *load)).collect();
            let mut elsewhere = sums.clone();
            for (id, load) in own {
                if let Some(sum) = elsewhere.get_mut(&id) {
                    sum.running -= load.running;
                    for (all, mine) in sum.queued_tokens.iter_mut().zip(load.queued_tokens) {
                        *all -= mine;
                    }
                }
            }
            loads.set_elsewhere(elsewhere);
        }
    }

    /// Ends the step of an engine if it is due, and starts the next one.
    fn advance(&mut self, number: usize) {
        let id = self.candidates[number].upstream.id.clone();
        if self.engines[number]
            .step_end
            .is_some_and(|end| end <= self.now_ms)
        {
            self.engines[number].step_end = None;
            self.make_tokens(number, &id);
        }
        if self.engines[number].step_end.is_some() {
            return;
        }
        let engine = &mut self.engines[number];
        let slots = usize::try_from(self.deployment.slots).expect("few slots");
        let mut room = CHUNK_TOKENS;
        for stream in &mut engine.running {
            let read = stream.unread.min(room);
            stream.unread -= read;
            room -= read;
        }
        while room > 0 && engine.running.len() < slots && !engine.queued.is_empty() {
            let mut stream = engine.queued.remove(0);
            let read = stream.unread.min(room);
            stream.unread -= read;
            room -= read;
            engine.running.push(stream);
        }
        if !engine.running.is_empty() {
            let read_ms = (CHUNK_TOKENS - room) / self.deployment.tokens_per_ms;
            engine.step_end = Some(self.now_ms + self.deployment.step_ms + read_ms);
        }
    }

    /// Makes a token of each stream whose prompt has been read.
    fn make_tokens(&mut self, number: usize, id: &HostName) {
        let now = self.now();
        let mut running = std::mem::take(&mut self.engines[number].running);
        for stream in &mut running {
            if stream.unread > 0 {
                continue;
            }
            stream.made += 1;
            let request = stream.request;
            let class = &self.classes[request.class];
            if !stream.made.is_multiple_of(self.deployment.tokens_per_event) {
                continue;
            }
            if stream.started {
                stream.paused |= self.now_ms - stream.last_event_ms > class.pause_ms;
            } else {
                stream.started = true;
                let wait_ms = self.now_ms - request.first_ms;
                stream.late |= wait_ms > class.objective_ms;
                let (count, sum) = &mut self.waits[request.organisation];
                *count += 1;
                *sum += wait_ms;
                self.loads[request.host].record_answer_start(id, 0, request.tokens);
                let elapsed = now.since(Moment(stream.sent_ms));
                self.picker
                    .note_answer(request.ticket, elapsed, now, &mut self.speeds);
            }
            stream.last_event_ms = self.now_ms;
        }
        let classes = self.classes;
        let tokens_per_event = self.deployment.tokens_per_event;
        let (ended, going): (Vec<_>, Vec<_>) = running.into_iter().partition(|stream| {
            stream.made >= classes[stream.request.class].events * tokens_per_event
        });
        self.engines[number].running = going;
        for stream in ended {
            self.outcome.served += 1;
            let is_late = stream.late || stream.paused;
            self.outcome.late += u32::from(is_late);
            let counts = &mut self.counts.classes[stream.request.class];
            counts.late += u32::from(is_late);
            counts.in_time += u32::from(!is_late);
            let (_arrived, in_time) = &mut self.counts.organisations[stream.request.organisation];
            *in_time += u32::from(!is_late);
            counts.paused += u32::from(stream.paused);
            self.loads[stream.request.host].record_end(id);
            self.picker.note_end(stream.request.ticket, now);
        }
    }
}

fn to_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).expect("the span is short")
}
