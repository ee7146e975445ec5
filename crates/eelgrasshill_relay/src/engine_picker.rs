//! Choice of an engine for each prompt, by one host for all.
//!
//! An engine processes prompts between the steps of its running streams, so prompts that arrive
//! together interrupt all of them. The picker bounds the time of the prompts that are under way at
//! an engine by the longest pause that callers accept. Further prompts wait at their hosts, in the
//! order in which they have to start; [`admission`](crate::admission) decides what becomes of those
//! that would start too late. A prompt that
//! alone takes longer than such a pause goes where it interrupts the fewest streams, and the next one
//! of its kind to the same engine, whose streams are late already.
//!
//! The load pattern is one of long prompts from many hosts for the few models with most of the
//! demand. A prompt takes a fraction of a second, which is less than the age of what hosts know of
//! each other's requests, so hosts that choose by themselves collide.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, ModelName, Moment, PoolName, record, scalar};

use crate::admission::{
    AdmissionLimits, Claim, LateShare, Turn, late_wait, may_reject, usable_room,
};
use crate::{
    AnswerStart, EngineSpeeds, FairShares, OrganisationHash, RequestIdentity, Reservations,
    ReturnQuery, ReturningCaller, Upstream, max_start_wait,
};

/// Part of the accepted interruption that prompts may take, in percent.
///
/// What a prompt takes is an estimate.
const PROMPT_PERCENT: u32 = 90;

/// Shortest time after which a waiting request asks again.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// Longest time after which a waiting request asks again, as the plan may change by then.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// How long a place is kept for a request beyond the time when it should ask again.
const ASK_SLACK: Duration = Duration::from_millis(100);

/// Time beyond twice the expected one after which a prompt counts as processed.
///
/// The note that says so may be lost.
const NOTE_SLACK: Duration = Duration::from_millis(500);

/// Cost of an engine whose slots are all taken; a part of it counts for each slot that is.
///
/// It outweighs the cost of another zone several times.
const FULL_ENGINE_COST: Duration = Duration::from_millis(48);

/// Part of the mean answer time that each answer replaces, as a divisor.
const ANSWER_GAIN_DIVISOR: u32 = 16;

/// Wait for a slot of a full engine until the time of an answer is known.
const DEFAULT_SLOT_WAIT: Duration = Duration::from_millis(20);

scalar! {
    /// Number of a request at its picker, drawn at random by the request's host.
    pub struct Ticket(pub u64);
}

record! {
    /// A request that needs an engine, without the engines that can take it.
    pub struct PromptQuery {
        /// Number under which the request asks.
        pub ticket: Ticket,
        /// Pool that must serve the request.
        pub pool: PoolName,
        /// Model of the request.
        pub model: ModelName,
        /// Rank of the request; prompts of more urgent ranks are processed first.
        pub rank: u8,
        /// Prompt tokens.
        pub tokens: u64,
        /// Latency objective of the first event.
        pub objective: Duration,
        /// Time since the request arrived.
        pub elapsed: Duration,
        /// Longest time for which prompts may interrupt streams.
        ///
        /// It is the longest pause that callers accept without the steps of the stream itself.
        #[serde(rename = "interruption")]
        pub max_interruption: Duration,
        /// Time until the request's deadline.
        pub remaining: Duration,
        /// Silence after which the caller leaves; zero if it is not known.
        ///
        /// Without it the request is rejected if it cannot start in time.
        pub patience: Duration,
        /// What the request has in common with its retry; none if that is not known.
        pub identity: Option<RequestIdentity>,
        /// Organisation of the caller; none if that is not known.
        pub organisation: Option<OrganisationHash>,
        /// Tokens that the answer may have.
        pub output_tokens: u64,
    }

    /// Decision on a request.
    pub enum Pick {
        /// The request is to be sent to the engine now.
        Send {
            /// The chosen engine.
            engine: HostName,
            /// Expected time until the engine starts on the request.
            wait: Duration,
        },
        /// A place is kept for the request, which is to ask again after this time.
        Wait {
            /// Time until then.
            after: Duration,
        },
        /// No engine can start the request in time.
        Reject {
            /// Time after which one could.
            after: Duration,
        },
        /// No engine can start the request before its caller leaves, and no retry is worth it.
        Decline,
    }
}

impl PromptQuery {
    /// Returns whether the objective is over while the caller still waits.
    #[must_use]
    pub fn is_late(&self) -> bool {
        !self.patience.is_zero() && self.elapsed > self.objective
    }
}

/// An engine that can take a request, with what speaks against it.
#[derive(Clone, Debug)]
pub struct PickCandidate {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// Cost of its zone and of its recent failures, as a time.
    pub cost: Duration,
}

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It waits at its host, with a place kept until the given moment.
    Waiting { until: Moment },
    /// It was sent, and its prompt counts as processed from the given moment on.
    Sent { until: Moment },
    /// Its answer has started.
    Answering { since: Moment },
}

#[derive(Clone, Debug)]
struct Prompt {
    ticket: Ticket,
    turn: Turn,
    time: Duration,
    tokens: u64,
    // Whether the engine had no other prompt to process since this one was sent.
    alone: bool,
    model: ModelName,
    stage: Stage,
    // Whether a prompt interrupted its stream for too long.
    interrupted: bool,
    deadline: Moment,
    // What is known of the first attempt, if the caller returns after a rejection.
    returning: Option<ReturningCaller>,
}

/// The requests of one engine.
#[derive(Clone, Debug, Default)]
struct EngineQueue {
    pool: Option<PoolName>,
    prompts: Vec<Prompt>,
    late_share: LateShare,
}

/// Prompts and streams before a request at one engine.
#[derive(Clone, Copy, Debug, Default)]
struct Ahead {
    time: Duration,
    tokens: u64,
    // Requests that hold or will hold a slot.
    slots: u32,
    running: u32,
    // Streams that no prompt has interrupted for too long.
    punctual: u32,
    // Late requests that wait.
    late: u32,
}

impl EngineQueue {
    /// Removes requests that are over, and takes sent prompts without a note as processed.
    fn expire(&mut self, now: Moment) {
        self.prompts.retain_mut(|prompt| {
            if let Stage::Sent { until } = prompt.stage
                && until <= now
            {
                prompt.stage = Stage::Answering { since: now };
            }
            let kept = match prompt.stage {
                Stage::Waiting { until } => now < until,
                Stage::Sent { .. } | Stage::Answering { .. } => true,
            };
            kept && now < prompt.deadline
        });
    }

    /// Notes that a prompt interrupts all streams for too long.
    fn interrupt_streams(&mut self) {
        for prompt in &mut self.prompts {
            if !matches!(prompt.stage, Stage::Waiting { .. }) {
                prompt.interrupted = true;
            }
        }
    }

    fn ahead(&self, turn: Turn) -> Ahead {
        let mut ahead = Ahead::default();
        for prompt in &self.prompts {
            let is_running = !matches!(prompt.stage, Stage::Waiting { .. });
            ahead.punctual += u32::from(is_running && !prompt.interrupted);
            match prompt.stage {
                Stage::Answering { .. } => {
                    ahead.running += 1;
                    ahead.slots += 1;
                }
                Stage::Sent { .. } => {
                    ahead.running += 1;
                    ahead.slots += 1;
                    ahead.time += prompt.time;
                    ahead.tokens += prompt.tokens;
                }
                Stage::Waiting { .. } if prompt.turn <= turn => {
                    ahead.late += u32::from(prompt.turn.is_late());
                    ahead.slots += 1;
                    ahead.time += prompt.time;
                    ahead.tokens += prompt.tokens;
                }
                Stage::Waiting { .. } => {}
            }
        }
        ahead
    }
}

/// An engine with what a request would find there.
struct EngineOption<'a> {
    candidate: &'a PickCandidate,
    ahead: Ahead,
    own_time: Duration,
    // Time until the request may be sent.
    delay: Duration,
    // Streams that the prompt interrupts for too long.
    interrupted: u32,
    cost: Duration,
}

impl EngineOption<'_> {
    fn key(&self) -> (Duration, u32, Duration) {
        (self.delay, self.interrupted, self.cost)
    }
}

/// Returns a random one of the best options.
fn best_option<'a>(
    options: impl Iterator<Item = EngineOption<'a>>,
    draw: impl FnOnce(usize) -> usize,
) -> Option<EngineOption<'a>> {
    let mut best: Vec<EngineOption<'a>> = Vec::new();
    for option in options {
        match best.first().map(|first| option.key().cmp(&first.key())) {
            Some(Ordering::Greater) => continue,
            Some(Ordering::Less) => best.clear(),
            Some(Ordering::Equal) | None => {}
        }
        best.push(option);
    }
    match best.len() {
        0 => None,
        1 => best.pop(),
        count => Some(best.swap_remove(draw(count).min(count - 1))),
    }
}

/// The prompts and streams of all hosts, by engine.
#[derive(Clone, Debug, Default)]
pub struct EnginePicker {
    queues: FastMap<HostName, EngineQueue>,
    engines: FastMap<Ticket, HostName>,
    answer_times: FastMap<PoolName, Duration>,
    limits: AdmissionLimits,
    reservations: Reservations,
    shares: FairShares,
}

impl EnginePicker {
    /// Creates a picker that knows of no requests.
    #[must_use]
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Replaces the bounds of the policy.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Decides on a request; returns none if there is no candidate.
    ///
    /// `draw` returns a random index below its argument, and decides among equal engines.
    pub fn pick(
        &mut self,
        query: &PromptQuery,
        candidates: &[PickCandidate],
        speeds: &EngineSpeeds,
        mut draw: impl FnMut(usize) -> usize,
        now: Moment,
    ) -> Option<Pick> {
        let earlier = self.remove(query.ticket);
        let returning = match earlier {
            Some((_pool, prompt)) => prompt.returning,
            None => self.returning(query, now),
        };
        let has_place = returning.is_some_and(|caller| caller.has_place);
        // The objective counts from the first attempt.
        let elapsed = returning.map_or(query.elapsed, |caller| now.since(caller.first_arrival));
        for candidate in candidates {
            if let Some(queue) = self.queues.get_mut(&candidate.upstream.id) {
                queue.expire(now);
            }
        }
        let prompt_time = speeds.prompt_time(&query.pool, Some(&query.model), query.tokens);
        let start_limit = max_start_wait(query.objective, prompt_time);
        let max_wait = start_limit.saturating_sub(elapsed);
        let share_delay = if has_place {
            Duration::ZERO
        } else {
            self.share_delay(query, now)
        };
        let in_time = Turn::InTime {
            rank: query.rank,
            fair_start: now.after(max_wait + share_delay),
            start_by: now.after(max_wait),
        };
        let mut turn = in_time;
        let mut best = self.best(query, candidates, speeds, in_time, &mut draw, now)?;
        let wait = best.ahead.time.max(best.delay);
        let takes_late = self.takes_late(query);
        let is_over = takes_late && elapsed > start_limit;
        let is_late = !has_place && (wait > max_wait || is_over);
        if is_late {
            let reject = Pick::Reject {
                after: wait.saturating_sub(max_wait),
            };
            if !takes_late {
                return Some(reject);
            }
            turn = Turn::late(query.rank, elapsed, share_delay, now);
            best = self.best(query, candidates, speeds, turn, &mut draw, now)?;
            let max_wait = late_wait(query.patience, prompt_time, query.elapsed);
            let is_short = best.delay.is_zero() || best.ahead.late < self.limits.late_queue;
            let late_share = self.queues.get(&best.candidate.upstream.id);
            let late_share = late_share.map_or_else(LateShare::default, |queue| queue.late_share);
            let wait = late_share.stretch(best.delay).max(best.ahead.time);
            let is_hopeless = !is_short || wait > max_wait;
            if is_hopeless && may_reject(query.objective, elapsed) {
                let slots = best.candidate.upstream.slots.max(1);
                let answer_time = self.answer_times.get(&query.pool);
                let slot_time = answer_time.map_or(DEFAULT_SLOT_WAIT, |time| *time / slots);
                let engines = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
                let interval = late_share.stretch(slot_time) / engines;
                return Some(self.reject(query, wait, interval, now));
            }
        }
        let wait = best.ahead.time.max(best.delay);
        let expected = best.ahead.time + best.own_time;
        let (stage, pick) = if best.delay.is_zero() {
            let stage = Stage::Sent {
                until: now.after(expected * 2 + NOTE_SLACK),
            };
            let engine = best.candidate.upstream.id.clone();
            (stage, Pick::Send { engine, wait })
        } else {
            let after = best.delay.clamp(MIN_WAIT, MAX_WAIT);
            let until = now.after(after + ASK_SLACK);
            (Stage::Waiting { until }, Pick::Wait { after })
        };
        let prompt = Prompt {
            ticket: query.ticket,
            turn,
            returning,
            time: best.own_time,
            tokens: query.tokens,
            alone: best.ahead.tokens == 0,
            model: query.model.clone(),
            interrupted: false,
            stage,
            deadline: now.after(query.remaining),
        };
        let engine = best.candidate.upstream.id.clone();
        let interrupts = best.interrupted > 0;
        let queue = self.queues.entry(engine.clone()).or_default();
        if matches!(stage, Stage::Sent { .. }) {
            queue.late_share.record(turn);
            if let Some(organisation) = query.organisation {
                let tokens = query.tokens + query.output_tokens;
                self.shares.record(organisation, tokens, now);
            }
            if interrupts {
                queue.interrupt_streams();
            }
            for prompt in &mut queue.prompts {
                prompt.alone = false;
            }
        }
        queue.pool.get_or_insert_with(|| query.pool.clone());
        queue.prompts.push(prompt);
        self.engines.insert(query.ticket, engine);
        Some(pick)
    }

    /// Returns by how much later a request starts because of what its organisation used.
    fn share_delay(&self, query: &PromptQuery, now: Moment) -> Duration {
        match query.organisation {
            Some(organisation) if self.limits.has_shares => {
                self.shares.delay(organisation, query.objective, now)
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns what is known of the first attempt, if the request's caller returns.
    fn returning(&mut self, query: &PromptQuery, now: Moment) -> Option<ReturningCaller> {
        let waited = u64::try_from(query.elapsed.as_millis()).unwrap_or(u64::MAX);
        let arrived_at = Moment(now.0.saturating_sub(waited));
        self.reservations.take(query.identity?, arrived_at)
    }

    /// Rejects a request, with the time of its return if that is worth it.
    fn reject(
        &mut self,
        query: &PromptQuery,
        delay: Duration,
        interval: Duration,
        now: Moment,
    ) -> Pick {
        let Some(identity) = query.identity else {
            return Pick::Decline;
        };
        let waited = u64::try_from(query.elapsed.as_millis()).unwrap_or(u64::MAX);
        let key = (query.pool.clone(), query.model.clone());
        let query = ReturnQuery {
            identity,
            arrived_at: Moment(now.0.saturating_sub(waited)),
            delay,
            interval,
            remaining: query.remaining,
        };
        match self.reservations.reserve(key, &query, now) {
            Some(after) => Pick::Reject { after },
            None => Pick::Decline,
        }
    }

    /// Returns whether a request may wait although it can only be answered late.
    fn takes_late(&self, query: &PromptQuery) -> bool {
        self.limits.late_queue > 0 && !query.patience.is_zero()
    }

    fn best<'a>(
        &self,
        query: &PromptQuery,
        candidates: &'a [PickCandidate],
        speeds: &EngineSpeeds,
        turn: Turn,
        draw: impl FnOnce(usize) -> usize,
        now: Moment,
    ) -> Option<EngineOption<'a>> {
        let claim = if self.takes_late(query) {
            Claim::new(turn, now)
        } else {
            Claim::Whole
        };
        let options = candidates
            .iter()
            .map(|candidate| self.option(query, candidate, speeds, turn, claim));
        best_option(options, draw)
    }

    fn option<'a>(
        &self,
        query: &PromptQuery,
        candidate: &'a PickCandidate,
        speeds: &EngineSpeeds,
        turn: Turn,
        claim: Claim,
    ) -> EngineOption<'a> {
        let upstream = &candidate.upstream;
        let own_time =
            speeds.engine_prompt_time(&query.pool, &upstream.id, &query.model, query.tokens);
        let ahead = self
            .queues
            .get(&upstream.id)
            .map_or_else(Ahead::default, |queue| queue.ahead(turn));
        let slots = upstream.slots.max(1);
        let room = query.max_interruption * PROMPT_PERCENT / 100;
        let is_oversized = own_time > room;
        let prompt_delay = if is_oversized && !turn.is_late() {
            Duration::ZERO
        } else {
            (ahead.time + own_time).saturating_sub(usable_room(turn, room, own_time))
        };
        let usable_slots = claim.slots(slots);
        let slot_delay = if ahead.slots < usable_slots {
            Duration::ZERO
        } else {
            let answer_time = self.answer_times.get(&query.pool);
            answer_time.map_or(DEFAULT_SLOT_WAIT, |answer_time| {
                (*answer_time / slots) * (ahead.slots - usable_slots + 1)
            })
        };
        EngineOption {
            candidate,
            ahead,
            own_time,
            delay: prompt_delay.max(slot_delay),
            interrupted: if is_oversized { ahead.punctual } else { 0 },
            cost: ahead.time + candidate.cost + FULL_ENGINE_COST * ahead.running / slots,
        }
    }

    /// Notes that a request's answer has started, `elapsed` after it was sent.
    ///
    /// The engine's speed is learned from prompts that were alone. For others it is not known how
    /// much of those ahead was already processed, or how many were processed in the same step.
    pub fn note_answer(
        &mut self,
        ticket: Ticket,
        elapsed: Duration,
        now: Moment,
        speeds: &mut EngineSpeeds,
    ) {
        let Some(engine) = self.engines.get(&ticket) else {
            return;
        };
        let Some(queue) = self.queues.get_mut(engine) else {
            return;
        };
        let prompts = &mut queue.prompts;
        let Some(prompt) = prompts.iter_mut().find(|prompt| prompt.ticket == ticket) else {
            return;
        };
        prompt.stage = Stage::Answering { since: now };
        if let Some(pool) = queue.pool.as_ref().filter(|_pool| prompt.alone) {
            speeds.record(&AnswerStart {
                pool,
                engine,
                model: &prompt.model,
                tokens: prompt.tokens,
                elapsed,
            });
        }
    }

    /// Notes that a request has ended, whether it was answered, failed or its caller left.
    ///
    /// Returns the engine that it was sent to.
    pub fn note_end(&mut self, ticket: Ticket, now: Moment) -> Option<HostName> {
        let engine = self.engines.get(&ticket).cloned()?;
        let (pool, prompt) = self.remove(ticket)?;
        if let (Some(pool), Stage::Answering { since }) = (pool, prompt.stage) {
            let time = now.since(since);
            let mean = self.answer_times.entry(pool).or_insert(time);
            *mean = *mean * (ANSWER_GAIN_DIVISOR - 1) / ANSWER_GAIN_DIVISOR
                + time / ANSWER_GAIN_DIVISOR;
        }
        let was_sent = !matches!(prompt.stage, Stage::Waiting { .. });
        was_sent.then_some(engine)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<(Option<PoolName>, Prompt)> {
        let engine = self.engines.remove(&ticket)?;
        let queue = self.queues.get_mut(&engine)?;
        let position = queue
            .prompts
            .iter()
            .position(|prompt| prompt.ticket == ticket)?;
        Some((queue.pool.clone(), queue.prompts.swap_remove(position)))
    }

    /// Removes requests that are over, and engines that are no longer known.
    pub fn expire(&mut self, is_known: impl Fn(&HostName) -> bool, now: Moment) {
        self.reservations.expire(now);
        self.shares.expire(now);
        for queue in self.queues.values_mut() {
            queue.expire(now);
        }
        self.queues
            .retain(|engine, queue| is_known(engine) && !queue.prompts.is_empty());
        let queues = &self.queues;
        self.engines.retain(|ticket, engine| {
            queues.get(engine).is_some_and(|queue| {
                let mut prompts = queue.prompts.iter();
                prompts.any(|prompt| prompt.ticket == *ticket)
            })
        });
    }

    /// Returns how many rejected callers may return.
    #[must_use]
    pub fn reserved_count(&self) -> usize {
        self.reservations.count()
    }

    /// Returns how many of the requests that wait can only be answered late.
    #[must_use]
    pub fn late_count(&self) -> usize {
        self.waiting_turns().filter(|turn| turn.is_late()).count()
    }

    /// Returns how many of the others start later because of what their organisations used.
    #[must_use]
    pub fn delayed_count(&self) -> usize {
        self.waiting_turns()
            .filter(|turn| turn.is_delayed())
            .count()
    }

    fn waiting_turns(&self) -> impl Iterator<Item = Turn> {
        let prompts = self.queues.values().flat_map(|queue| &queue.prompts);
        let waiting = prompts.filter(|prompt| matches!(prompt.stage, Stage::Waiting { .. }));
        waiting.map(|prompt| prompt.turn)
    }

    /// Returns how many requests wait at their hosts, are being read, and are being answered.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        let prompts = self.queues.values().flat_map(|queue| &queue.prompts);
        prompts.fold(
            (0, 0, 0),
            |(waiting, sent, answering), prompt| match prompt.stage {
                Stage::Waiting { .. } => (waiting + 1, sent, answering),
                Stage::Sent { .. } => (waiting, sent + 1, answering),
                Stage::Answering { .. } => (waiting, sent, answering + 1),
            },
        )
    }
}
