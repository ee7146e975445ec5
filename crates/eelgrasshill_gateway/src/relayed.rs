//! A request that is being relayed, with the rules for sending it.
//!
//! Decides which upstream comes next, whether the request waits for a model, whether it may be sent
//! again, and whether an answer is accepted as its own. The inputs are the route, the host's state,
//! what was tried so far and the time left.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode as CallerStatus;
use actix_web::http::header::{HeaderMap as CallerMap, HeaderName, HeaderValue};
use actix_web::{HttpResponse, HttpResponseBuilder};
use bytes::Bytes;
use eelgrasshill_domain::{HostName, Moment, PoolName};
use eelgrasshill_ports::{
    AnswerBody, BootClock, CallError, HttpConnection, HttpPool, MemoryCharge, MemoryLease,
};
use eelgrasshill_relay::{
    Availability, Candidate, CrashId, HomeRegions, Miss, ModelKey, NoUpstream, Organisation,
    PartRefusal, ProbedParts, PromptPart, RequestOutcome, Route, START_PERCENT, Upstream,
    can_go_on_in_time, max_start_wait,
};
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::sync::Notify;
use tokio::time::error::Elapsed;

use crate::bound_stream::SoftwareBinding;
use crate::codec::{
    AnswerHead, CallerHeaders, ForwardInfo, PlatformCodec, RequestMetadata, RunStatement,
};
use crate::crash_news::tell_crashes;
use crate::model_request::ModelRequester;
use crate::picked_request::PickGuard;
use crate::refusal::{Refusal, RefusalCause};
use crate::shared::{LoadGuard, Shared, TriedUpstreams};
use crate::telemetry;
use crate::timeout::timeout_after_read;
use crate::upstream_signals::{note_cold, note_leaving, note_rest};

/// Timeout for opening a connection.
///
/// Several round trips, and less than the time until a lost packet is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum idle time of a connection that is reused.
///
/// Short, since an idle connection can break without a sign.
const MAX_IDLE_REUSE: Duration = Duration::from_secs(3);

/// Minimum retry time for callers, in which the hosts exchange their state.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The random part of a retry time after a rest is at most the rest divided by this.
///
/// It spreads the callers that were told the same time.
const RETRY_SPREAD_DIVISOR: u32 = 4;

/// Minimum time that callers of a stream wait for its first event.
const MIN_CALLER_PATIENCE: Duration = Duration::from_millis(1_500);

/// Maximum number of times that a request waits for a model.
///
/// It waits for the model, for its adapter, and again if one of them is unloaded.
const MAX_MODEL_WAITS: u32 = 4;

/// Time between checks whether another upstream can be asked in place of a silent one.
pub(crate) const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time left for which another attempt is worth starting.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(15);

/// Request of a caller, with its route, its deadline and its attempts so far.
#[derive(Debug)]
pub struct RelayedRequest<C: PlatformCodec> {
    /// State of the host.
    pub shared: Arc<Shared<C>>,
    /// Pool of connections of this thread.
    pub http_pool: HttpPool,
    /// What the caller declared in the headers.
    pub metadata: RequestMetadata,
    /// Route that the request matches.
    pub route: Arc<Route>,
    /// Pool of upstreams, drawn from the route's targets.
    pub target_pool: PoolName,
    /// Organisation of the caller's key; none if no key was needed.
    pub organisation: Option<Arc<Organisation>>,
    /// Method of the caller's request.
    pub method: hyper::Method,
    /// Path and query of the caller's request, unmodified.
    pub path: hyper::Uri,
    /// Headers of the caller's request.
    pub headers: CallerMap,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Memory of the body.
    pub charge: MemoryCharge,
    /// When the request arrived.
    pub arrived_at: Moment,
    /// When the caller must have its final answer.
    pub deadline: Moment,
    /// Software version that upstreams must run.
    pub software: SoftwareBinding,
    /// Upstreams that the request was sent to or that could not be reached.
    pub tried: TriedUpstreams,
    /// How often the request was sent.
    pub sends: u32,
    /// Shared parts of the prompt, and the request as a whole: what engines may crash on.
    pub suspects: Vec<PromptPart>,
    /// Which of the suspects the last attempt probed.
    pub probed_parts: ProbedParts,
    /// Whether an answer went on after its first event, or was complete.
    pub answer_began: bool,
    /// Whether an upstream may have run the request.
    pub may_have_run: bool,
    /// How often the request waited for a model or adapter.
    pub model_waits: u32,
}

/// An answer whose body has yet to be read, with its connection and load guard.
#[derive(Debug)]
pub struct IncomingAnswer<C: PlatformCodec> {
    /// Upstream that answers.
    pub upstream: Arc<Upstream>,
    /// Status, headers and unread body.
    pub response: Response<AnswerBody>,
    /// What the platform's headers of the answer say.
    pub answer_head: AnswerHead,
    /// Connection on which the body arrives.
    pub connection: HttpConnection,
    /// Guard that counts the request on the upstream.
    pub guard: LoadGuard<C>,
}

/// Reason why an attempt gave no answer to pass on.
#[derive(Debug)]
pub enum SendFailure {
    /// The request was not sent, since a part of its prompt is quarantined.
    Quarantined(PartRefusal),
    /// The request did not reach the upstream.
    Unsent,
    /// The upstream says that it did not run the request.
    NotRun,
    /// The request may have run.
    Lost(CallError),
    /// The version of a new stream's upstream was not written, so no event was passed on.
    Unwritten,
    /// The upstream answered with a server error, and a retry was taken from the budget.
    Failed,
    /// The upstream answered with this status, which may not be passed on.
    ///
    /// The request may have run, but callers take the status for a statement that it did not.
    Unproven(StatusCode),
}

/// Returns the number of tokens that a request takes from the organisation's rate limit.
pub(crate) fn token_cost(metadata: &RequestMetadata, row: &Organisation) -> u64 {
    match metadata.prompt_tokens + metadata.output_tokens {
        0 => row.default_cost,
        declared => declared,
    }
}

impl<C: PlatformCodec> RelayedRequest<C> {
    /// Starts to count the memory of an answer, on the caller's account too.
    pub(crate) fn lease_answer(&self) -> MemoryLease {
        let charge = self.charge.sibling();
        self.shared.answer_memory.charged_lease(charge)
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(BootClock.now())
    }

    /// Returns the rank of the organisation, or else that of the route.
    pub fn rank(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|row| row.rank);
        own.unwrap_or(self.route.rank)
    }

    /// Returns the home regions of the request, if it has any.
    pub(crate) fn homes(&self) -> Option<HomeRegions<'_>> {
        let organisation = self.organisation.as_deref();
        HomeRegions::new(&self.route, organisation, &self.shared.settings.regions)
    }

    /// Returns whether an upstream is in the request's home regions.
    fn is_home(&self, upstream: &Upstream) -> bool {
        self.homes().is_none_or(|homes| homes.allow(&upstream.zone))
    }

    /// Returns whether the request may be sent again, and takes that retry from the budget.
    pub fn may_repeat(&mut self) -> bool {
        let is_safe = !self.may_have_run || self.route.repeat.is_repeatable();
        is_safe
            && self.sends < self.route.max_attempts.max(1)
            && self.time_left() > MIN_ATTEMPT_TIME
            && self
                .shared
                .state()
                .retries
                .take(&self.target_pool, BootClock.now())
    }

    /// Returns another upstream that could be asked now, and begin to answer within `time`.
    ///
    /// If there is none, only the upstream that was asked last can still answer.
    pub(crate) fn next_candidate(&self, time: Duration) -> Option<Candidate> {
        let is_allowed = self.route.repeat.is_repeatable() && self.sends < self.route.max_attempts;
        if !is_allowed {
            return None;
        }
        let now = BootClock.now();
        let (has_budget, prompt_time) = {
            let mut state = self.shared.state();
            let model = self.metadata.model.as_ref();
            let tokens = self.metadata.prompt_tokens;
            (
                state.retries.allows(&self.target_pool, now),
                state.speeds.prompt_time(&self.target_pool, model, tokens),
            )
        };
        let candidate = self.choose().ok().filter(|_candidate| has_budget);
        candidate.filter(|candidate| can_go_on_in_time(time, candidate.wait, prompt_time))
    }

    /// Returns whether an upstream that has not begun to answer may be given up.
    ///
    /// Either another one can be asked, or the caller gets no answer of this one in time.
    pub(crate) fn may_give_up(&self) -> bool {
        let time_left = self.time_left();
        time_left <= MIN_ATTEMPT_TIME || self.next_candidate(time_left).is_some()
    }

    /// Returns the time left for an upstream's answer, so that a refusal reaches the caller in time.
    pub(crate) fn answer_time(&self) -> Duration {
        self.time_left().saturating_sub(MIN_ATTEMPT_TIME)
    }

    /// Awaits an upstream's answer until the timeout, and longer while no other can be asked.
    ///
    /// # Errors
    ///
    /// Returns [`Elapsed`] if another upstream can be asked, or no time is left.
    async fn await_answer<F: Future>(
        &self,
        timeout: Duration,
        answer: F,
    ) -> Result<F::Output, Elapsed> {
        let mut answer = pin!(answer);
        let mut timeout = timeout;
        loop {
            match timeout_after_read(timeout, &mut answer).await {
                Ok(output) => return Ok(output),
                Err(elapsed) => {
                    if self.may_give_up() {
                        return Err(elapsed);
                    }
                    timeout = SILENCE_CHECK_INTERVAL.min(self.answer_time());
                }
            }
        }
    }

    /// Chooses the upstream for the next attempt.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no upstream can start the request in time.
    pub fn choose(&self) -> Result<Candidate, Refusal> {
        self.check_wait(self.select()?)
    }

    /// Selects an upstream by what this host knows, whatever the wait there.
    pub(crate) fn select(&self) -> Result<Candidate, Refusal> {
        let now = BootClock.now();
        let state = self.shared.state();
        if self.organisation.is_some() && !self.shared.accepts_keys(&state, now) {
            return Err(Refusal::new(RefusalCause::KeysStale).with_retry(MIN_RETRY_AFTER));
        }
        state
            .choose(&self.upstream_query(), now)
            .map_err(|none| match none {
                NoUpstream::NotHeld => {
                    Refusal::new(RefusalCause::NotHeld).with_retry(MIN_RETRY_AFTER)
                }
                NoUpstream::Evacuated => {
                    let age = state.config.confirmed_at().map(|at| now.since(at));
                    log::info!(
                        "request: id={} pool={} is held in evacuated zones only, as known {age:?} ago",
                        self.metadata.id,
                        self.target_pool
                    );
                    // The end of an evacuation is in force on every host within this time.
                    let after = self.shared.bounds().config_delay;
                    Refusal::new(RefusalCause::Evacuated).with_retry(after)
                }
                NoUpstream::Resting { remaining } => {
                    let spread = (remaining / RETRY_SPREAD_DIVISOR).mul_f64(rand::random());
                    let after = (remaining + spread).max(MIN_RETRY_AFTER);
                    Refusal::new(RefusalCause::Resting).with_retry(after)
                }
            })
    }

    /// Refuses a request that would start too late at the selected upstream.
    pub(crate) fn check_wait(&self, candidate: Candidate) -> Result<Candidate, Refusal> {
        let prefill_time = self.shared.state().speeds.prompt_time(
            &self.target_pool,
            self.metadata.model.as_ref(),
            self.metadata.prompt_tokens,
        );
        let max_wait = max_start_wait(self.route.objective, prefill_time);
        if candidate.wait > max_wait {
            let after = candidate.wait.saturating_sub(max_wait).max(MIN_RETRY_AFTER);
            log::info!(
                "request: id={} upstream={} wait={:?} exceeds {max_wait:?}, running={}",
                self.metadata.id,
                candidate.upstream.id,
                candidate.wait,
                candidate.running
            );
            return Err(Refusal::new(RefusalCause::Overloaded).with_retry(after));
        }
        Ok(candidate)
    }

    /// Waits for the model and adapter, if an engine will hold them in time.
    ///
    /// # Errors
    ///
    /// Returns the refusal otherwise, with the time after which the request can be served.
    pub async fn wait_for_model(
        &mut self,
        requester: &ModelRequester,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        let Some(model) = self.metadata.model.clone() else {
            return Err(refusal);
        };
        let key = ModelKey {
            pool: self.target_pool.clone(),
            model,
            adapter: self.metadata.adapter.clone(),
        };
        let software = self.software.version.clone();
        let miss = Miss { key, software };
        let availability = requester.request(&self.shared, &miss).await;
        log::info!(
            "request: id={} waits={} needs {miss:?}: {availability:?}",
            self.metadata.id,
            self.model_waits
        );
        match availability {
            // The engine holds the model but refused the request; an order would not help.
            Availability::Ready { engine, .. } if self.tried.contains(&engine) => {
                Err(Refusal::new(RefusalCause::RefusedUpstream).with_retry(MIN_RETRY_AFTER))
            }
            // The planner does not know the home regions, and one of an earlier release no versions.
            Availability::Ready { engine, .. } if self.is_foreign(&engine) => {
                Err(refusal.with_retry(MIN_RETRY_AFTER))
            }
            Availability::Ready { after, .. } if self.is_worth_waiting(after) => {
                self.model_waits += 1;
                tokio::time::sleep(after).await;
                Ok(())
            }
            Availability::Ready { after, .. } | Availability::Later { after } => {
                Err(refusal.with_retry(after.max(MIN_RETRY_AFTER)))
            }
        }
    }

    /// Returns whether an engine is known to be of another version or outside of the home regions.
    fn is_foreign(&self, engine: &HostName) -> bool {
        let state = self.shared.state();
        let upstream = state.upstreams.get(engine);
        upstream.is_some_and(|upstream| !self.is_home(upstream) || !self.runs_version(upstream))
    }

    /// Returns whether the request, after that wait, would start before its caller leaves.
    fn is_worth_waiting(&self, after: Duration) -> bool {
        let elapsed = BootClock.now().since(self.arrived_at);
        let patience = self.route.objective.max(MIN_CALLER_PATIENCE) * START_PERCENT / 100;
        self.model_waits < MAX_MODEL_WAITS && elapsed + after < patience && after < self.time_left()
    }

    /// Charges the tokens again if the request may have run, since engines may run both attempts.
    fn charge_repeat(&self) {
        if !self.may_have_run {
            return;
        }
        if let Some(row) = &self.organisation {
            let token_cost = token_cost(&self.metadata, row);
            let mut state = self.shared.state();
            state
                .rate_limiter
                .charge(&row.name, token_cost, BootClock.now());
        }
    }

    /// Sends the request, or resumes a stream after `last_event`; `bound` is the answer timeout.
    ///
    /// `pick` is the guard of the place that the picker keeps for it.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure`] if there was no valid answer; it says if the request may have run.
    pub async fn send(
        &mut self,
        upstream: &Arc<Upstream>,
        last_event: Option<u64>,
        bound: Duration,
        pick: Option<PickGuard<C>>,
    ) -> Result<IncomingAnswer<C>, SendFailure> {
        self.send_noting(upstream, last_event, bound, pick, &Notify::new())
            .await
    }

    /// Sends the request as [`Self::send`] does, and notifies `sent` when its bytes are written.
    ///
    /// After a failure, the connection is closed.
    pub(crate) async fn send_noting(
        &mut self,
        upstream: &Arc<Upstream>,
        last_event: Option<u64>,
        bound: Duration,
        pick: Option<PickGuard<C>>,
        sent: &Notify,
    ) -> Result<IncomingAnswer<C>, SendFailure> {
        let admitted = self
            .shared
            .state()
            .admit_parts(&self.suspects, BootClock.now());
        self.probed_parts = admitted.map_err(SendFailure::Quarantined)?;
        if !self.probed_parts.0.is_empty() {
            log::info!(
                "request: id={} upstream={} probes parts={}",
                self.metadata.id,
                upstream.id,
                display_parts(&self.probed_parts.0)
            );
        }
        let guard = LoadGuard::new(
            &self.shared,
            upstream,
            self.rank(),
            self.metadata.prompt_tokens,
        );
        let mut guard = guard.with_pick(pick).with_probes(self.probed_parts.clone());
        let may_reuse = self.route.repeat.is_repeatable();
        let opened = if may_reuse {
            self.http_pool.take(upstream.address, CONNECT_TIMEOUT).await
        } else {
            HttpConnection::open(upstream.address, CONNECT_TIMEOUT).await
        };
        let mut connection = match opened {
            Ok(connection) => connection,
            Err(error) => {
                guard.set_outcome(RequestOutcome::Unreachable);
                self.tried.insert(upstream.id.clone());
                log::info!(
                    "request: id={} upstream={} unsent: {error}",
                    self.metadata.id,
                    upstream.id
                );
                return Err(SendFailure::Unsent);
            }
        };
        // An evacuation may have begun since the upstream was chosen.
        if self.shared.state().upstreams.is_evacuated(upstream) {
            return Err(SendFailure::Unsent);
        }
        if !self.is_home(upstream) {
            log::warn!(
                "request: id={} upstream={} zone={} is outside of its home regions",
                self.metadata.id,
                upstream.id,
                upstream.zone
            );
            return Err(SendFailure::Unsent);
        }
        // Another request may have used the permit for a cold engine meanwhile.
        if !self.take_permit(upstream) {
            return Err(SendFailure::Unsent);
        }
        if !self.begin_at(upstream) {
            self.tried.insert(upstream.id.clone());
            return Err(SendFailure::Unsent);
        }
        let request = self.build_request(upstream, last_event);
        self.tried.insert(upstream.id.clone());
        self.sends += 1;
        self.charge_repeat();
        sent.notify_one();
        let answer = self.await_answer(bound, connection.send(request)).await;
        match answer {
            Ok(Ok(response)) => self.read_head(upstream, response, connection, guard),
            Ok(Err(CallError::NotSent { .. })) => {
                self.tried.remove(&upstream.id);
                self.sends -= 1;
                Err(SendFailure::Unsent)
            }
            Ok(Err(error)) => {
                guard.set_outcome(RequestOutcome::Failed);
                self.may_have_run = true;
                connection.close().await;
                Err(SendFailure::Lost(error))
            }
            Err(_elapsed) => {
                guard.set_outcome(RequestOutcome::Unreachable);
                self.may_have_run = true;
                connection.close().await;
                Err(SendFailure::Lost(CallError::Timeout {
                    address: upstream.address.to_string(),
                    timeout: bound,
                }))
            }
        }
    }

    /// Uses a permit if the upstream is cold; returns false if this host has none now.
    fn take_permit(&self, upstream: &Upstream) -> bool {
        let now = BootClock.now();
        let mut state = self.shared.state();
        let cold = &mut state.rests.cold;
        if !cold.is_limited(upstream, now) {
            return true;
        }
        let is_taken = cold.take(upstream, now);
        drop(state);
        telemetry::count_permit(if is_taken { "used" } else { "none" });
        log::info!(
            "request: id={} upstream={} is cold, permit={is_taken}",
            self.metadata.id,
            upstream.id
        );
        is_taken
    }

    fn read_head(
        &mut self,
        upstream: &Arc<Upstream>,
        response: Response<AnswerBody>,
        connection: HttpConnection,
        mut guard: LoadGuard<C>,
    ) -> Result<IncomingAnswer<C>, SendFailure> {
        let answer_head = C::parse_answer_head(response.status(), response.headers());
        if answer_head.leaving {
            note_leaving(&self.shared, upstream, &self.metadata.id);
        }
        let is_success = response.status().is_success();
        let is_only_request = connection.has_sent_one();
        if let Some(cause) = self.answer_fault(is_success, is_only_request, &answer_head) {
            // The answer may be another request's, so it is unknown whether this one ran.
            self.may_have_run = true;
            guard.set_outcome(RequestOutcome::Failed);
            return Err(SendFailure::Lost(CallError::Malformed {
                address: upstream.address.to_string(),
                cause,
            }));
        }
        if let Some(asked) = answer_head.rest {
            note_rest(&self.shared, upstream, asked, &self.metadata.id);
        }
        if let Some(remaining) = answer_head.cold {
            note_cold(&self.shared, upstream, remaining, &self.metadata.id);
        }
        match answer_head.run {
            RunStatement::NotRun => {
                if answer_head.id.is_none() {
                    telemetry::count_upstream_signal("misdirected-without-id");
                    log::info!(
                        "request: id={} upstream={} status={} without an id on a new connection, \
                         did not run",
                        self.metadata.id,
                        upstream.id,
                        response.status().as_u16()
                    );
                }
                // An upstream that asks for rest works, and gets no requests for that time anyway.
                if answer_head.rest.is_none() {
                    guard.set_outcome(RequestOutcome::Full);
                }
                Err(SendFailure::NotRun)
            }
            RunStatement::Unproven => {
                self.may_have_run = true;
                guard.set_outcome(RequestOutcome::Failed);
                Err(SendFailure::Unproven(response.status()))
            }
            RunStatement::MayHaveRun => {
                self.may_have_run = true;
                Ok(IncomingAnswer {
                    upstream: Arc::clone(upstream),
                    response,
                    answer_head,
                    connection,
                    guard,
                })
            }
        }
    }

    /// Returns why an answer is not accepted for this request; none if it is.
    ///
    /// A faulty upstream may repeat an earlier answer on a connection that is used again, also one
    /// that says that its request did not run. An upstream that is not the expected one may not know
    /// the id, so its answer is accepted without one where no other request was sent.
    fn answer_fault(
        &self,
        success: bool,
        is_only_request: bool,
        answer_head: &AnswerHead,
    ) -> Option<String> {
        let is_misdirected = answer_head.misdirected && answer_head.run == RunStatement::NotRun;
        if is_misdirected && answer_head.id.is_none() && is_only_request {
            return None;
        }
        if answer_head.id.as_deref() != Some(self.metadata.id.as_str()) {
            return Some(format!(
                "expected an answer to this request, got one to {:?}",
                answer_head.id
            ));
        }
        let is_accepted = !success || answer_head.signed;
        (!is_accepted).then(|| {
            "expected a signed answer, got a successful one without a signature".to_owned()
        })
    }

    fn build_request(&self, upstream: &Upstream, last_event: Option<u64>) -> Request<Full<Bytes>> {
        let forward = ForwardInfo {
            upstream: &upstream.id,
            organisation: self.organisation.as_ref().map(|row| &row.name),
            time_left: self.time_left(),
            rank: self.rank(),
            last_event,
        };
        let headers = C::forwarded_headers(CallerHeaders(&self.headers), &forward);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Keeps the connection of a fully read answer for reuse, if the upstream allows it.
    pub fn keep_connection(&self, connection: HttpConnection, answer_head: &AnswerHead) {
        if let Some(idle_timeout) = answer_head.idle_timeout {
            // The upstream must not close it as idle while the next request is sent.
            let idle_time = idle_timeout
                .saturating_sub(Duration::from_secs(1))
                .min(MAX_IDLE_REUSE);
            if !idle_time.is_zero() {
                self.http_pool.put_back(connection, idle_time);
            }
        }
    }

    /// Notes that an answer went on after its first event, or was complete.
    ///
    /// No part of its prompt crashes engines.
    pub(crate) fn note_answered(&mut self) {
        if std::mem::replace(&mut self.answer_began, true) {
            return;
        }
        let parts = &self.suspects;
        let mut state = self.shared.state();
        state.crashing_parts.note_answered(parts, BootClock.now());
    }

    /// Notes an attempt that an upstream did not begin to answer.
    ///
    /// A connection that ended may be that of a crashed engine, which accuses the prompt's parts.
    pub(crate) fn note_lost(&self, upstream: &Upstream, error: &CallError) {
        if self.answer_began {
            return;
        }
        telemetry::count_lost_attempt(error);
        log::info!(
            "request: id={} upstream={} started={} lost before its first event, sends={} parts={}",
            self.metadata.id,
            upstream.id,
            upstream.started_ms,
            self.sends,
            display_parts(&self.suspects)
        );
        if !matches!(error, CallError::Lost { .. }) {
            return;
        }
        let is_news = self.shared.state().crashing_parts.note_lost(
            &self.suspects,
            &self.probed_parts,
            CrashId::new(upstream),
            BootClock.now(),
        );
        if is_news {
            telemetry::count_accusation("own");
            self.shared.exchange_wakeup.notify_one();
            tell_crashes(&self.shared, &self.metadata.id, &self.suspects);
        }
    }

    /// Returns the refusal of a request that is not sent again.
    ///
    /// `cause` is that of the last attempt that may have run.
    pub fn final_refusal(&self, cause: RefusalCause) -> Refusal {
        if !self.may_have_run {
            return Refusal::new(RefusalCause::RefusedUpstream).with_retry(MIN_RETRY_AFTER);
        }
        Refusal::new(cause)
    }
}

/// Refuses a request on which engines crash; the callers' returns are spread.
pub(crate) fn refuse_part(id: &str, quarantined: PartRefusal) -> Refusal {
    let after = quarantined.retry_after;
    log::info!(
        "request: id={id} part={} is quarantined, no probe for {after:?}",
        quarantined.part
    );
    let spread = (after / RETRY_SPREAD_DIVISOR).mul_f64(rand::random());
    let cause = if quarantined.part.is_whole() {
        RefusalCause::QuarantinedRequest
    } else {
        RefusalCause::QuarantinedPart
    };
    Refusal::new(cause).with_retry(after + spread)
}

/// Formats the parts of a prompt for the log.
fn display_parts(parts: &[PromptPart]) -> String {
    let parts: Vec<_> = parts.iter().map(PromptPart::to_string).collect();
    parts.join(",")
}

/// Headers that belong to one connection, and the length, which the server sets itself.
const CONNECTION_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
];

/// Starts the answer to a caller, with the status and headers of an upstream's answer.
pub fn start_response(status: StatusCode, headers: &HeaderMap) -> HttpResponseBuilder {
    let status = CallerStatus::from_u16(status.as_u16()).unwrap_or(CallerStatus::BAD_GATEWAY);
    let mut answer = HttpResponse::build(status);
    let forwarded = headers
        .iter()
        .filter(|(name, _value)| !CONNECTION_HEADERS.contains(&name.as_str()));
    for (name, value) in forwarded {
        if let (Ok(name), Ok(value)) = (
            HeaderName::try_from(name.as_str()),
            HeaderValue::from_bytes(value.as_bytes()),
        ) {
            answer.append_header((name, value));
        }
    }
    answer
}
