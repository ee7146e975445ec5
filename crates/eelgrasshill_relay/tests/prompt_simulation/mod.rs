//! Engines that read prompts between the steps of their streams, in virtual time.
//!
//! In each step an engine reads up to [`CHUNK_TOKENS`] tokens of the waiting prompts, in order, and
//! makes a token of each running stream.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, FastSet, HostName, ModelName, Moment, PoolName, ZoneName};
use eelgrasshill_relay::{
    EnginePicker, EngineRests, EngineSpeeds, KnownUpstreams, Pick, PickCandidate, PromptQuery,
    ResidentModel, SelectionSettings, Ticket, Upstream, UpstreamHealth, UpstreamLoad,
    UpstreamLoads, UpstreamQuery, UpstreamSelector,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const CHUNK_TOKENS: u64 = 4_096;
const DURATION_MS: u64 = 20_000;
/// Age that a host's view of the other hosts' requests has on average.
const VIEW_INTERVAL_MS: u64 = 350;

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
    ticket: Ticket,
    host: usize,
    tokens: u64,
    unread: u64,
    sent_ms: u64,
    arrived_ms: u64,
    made: u64,
    last_event_ms: u64,
    late: bool,
    started: bool,
}

#[derive(Default)]
struct Engine {
    queued: Vec<Stream>,
    running: Vec<Stream>,
    step_end: Option<u64>,
}

#[derive(Clone, Copy)]
struct Waiting {
    at_ms: u64,
    arrived_ms: u64,
    ticket: Ticket,
    host: usize,
    tokens: u64,
}

struct Simulation<'a> {
    deployment: &'a Deployment,
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

/// Plays the load of a deployment.
pub fn simulate(deployment: &Deployment, policy: Policy, seed: u64) -> Outcome {
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
        };
        ids.insert(upstream.id.clone(), number);
        upstreams.insert(upstream.clone(), Moment(1));
        candidates.push(PickCandidate {
            upstream: Arc::new(upstream),
            cost: Duration::ZERO,
        });
    }
    let mut simulation = Simulation {
        deployment,
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
        now_ms: 1_000,
    };
    simulation.run();
    simulation.outcome
}

impl Simulation<'_> {
    fn now(&self) -> Moment {
        Moment(self.now_ms)
    }

    fn run(&mut self) {
        let mut waiting: Vec<Waiting> = Vec::new();
        let mut next_ticket = 0;
        let end_ms = self.now_ms + DURATION_MS;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            for engine in 0..self.engines.len() {
                self.advance(engine);
            }
            if self.now_ms.is_multiple_of(VIEW_INTERVAL_MS) {
                self.share_loads();
            }
            let (mut due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut waiting)
                .into_iter()
                .partition(|request| request.at_ms <= self.now_ms);
            waiting = later;
            if self.arrivals.random_range(0..1_000) < self.deployment.requests_per_s {
                let (least, most) = self.deployment.prompt_tokens;
                next_ticket += 1;
                // Short prompts are more frequent than long ones.
                let draw: f64 = self.arrivals.random();
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    clippy::cast_precision_loss,
                    reason = "a few thousand tokens"
                )]
                let tokens = least + ((most - least) as f64 * draw * draw) as u64;
                due.push(Waiting {
                    at_ms: self.now_ms,
                    arrived_ms: self.now_ms,
                    ticket: Ticket(next_ticket),
                    host: self.arrivals.random_range(0..self.deployment.hosts),
                    tokens,
                });
            }
            for request in due {
                waiting.extend(self.offer(request));
            }
        }
    }

    /// Sends a request or rejects it; returns it if it waits.
    fn offer(&mut self, request: Waiting) -> Option<Waiting> {
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
                    ticket: request.ticket,
                    host: request.host,
                    tokens: request.tokens,
                    unread: request.tokens,
                    sent_ms: self.now_ms,
                    arrived_ms: request.arrived_ms,
                    made: 0,
                    last_event_ms: 0,
                    late: false,
                    started: false,
                });
                None
            }
            Pick::Wait { after } => {
                let after_ms = u64::try_from(after.as_millis()).expect("the span is short");
                Some(Waiting {
                    at_ms: self.now_ms + after_ms,
                    ..request
                })
            }
            Pick::Reject { .. } => {
                self.outcome.rejected += 1;
                None
            }
        }
    }

    fn choose(&mut self, request: &Waiting) -> Pick {
        let (pool, model, zone) = names();
        let objective = Duration::from_millis(self.deployment.objective_ms);
        if self.policy == Policy::Picker {
            let query = PromptQuery {
                ticket: request.ticket,
                pool,
                model,
                rank: 0,
                tokens: request.tokens,
                objective,
                elapsed: self.now().since(Moment(request.arrived_ms)),
                max_interruption: Duration::from_millis(
                    self.deployment.pause_ms
                        - self.deployment.step_ms * self.deployment.tokens_per_event,
                ),
                remaining: Duration::from_secs(20),
            };
            let now = self.now();
            let pick = self
                .picker
                .pick(&query, &self.candidates, &self.speeds, |_count| 0, now);
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
            if !stream.made.is_multiple_of(self.deployment.tokens_per_event) {
                continue;
            }
            if stream.started {
                stream.late |= self.now_ms - stream.last_event_ms > self.deployment.pause_ms;
            } else {
                stream.started = true;
                stream.late |= self.now_ms - stream.arrived_ms > self.deployment.objective_ms;
                self.loads[stream.host].record_answer_start(id, 0, stream.tokens);
                let elapsed = now.since(Moment(stream.sent_ms));
                self.picker
                    .note_answer(stream.ticket, elapsed, now, &mut self.speeds);
            }
            stream.last_event_ms = self.now_ms;
        }
        let total = self.deployment.events * self.deployment.tokens_per_event;
        let (ended, going): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|stream| stream.made >= total);
        self.engines[number].running = going;
        for stream in ended {
            self.outcome.served += 1;
            self.outcome.late += u32::from(stream.late);
            self.loads[stream.host].record_end(id);
            self.picker.note_end(stream.ticket, now);
        }
    }
}
