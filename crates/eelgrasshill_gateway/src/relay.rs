//! Handles a caller's request: resolves it, sends it to an upstream and passes the answer on.
//!
//! A request is refused before it is sent if it is malformed, has no route or no valid key, exceeds
//! the organisation's rate limit, or comes too late on a leaving host. After that it is sent, to
//! several upstreams if need be, until there is an answer or another attempt is not allowed.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use actix_web::body::SizedStream;
use actix_web::web::{Data, Payload};
use actix_web::{HttpMessage, HttpRequest, HttpResponse};
use bytes::Bytes;
use derive_more::{Display, Error};
use eelgrasshill_domain::Moment;
use eelgrasshill_ports::{
    BodyError, BodyLimits, BootClock, CallError, CallerBody, ConnectionMemory, CountedBody,
    HeadRefusal, HttpPool, RequestGate, guard_body, read_caller_body, read_counted_body,
};
use eelgrasshill_relay::{
    ModelKey, Organisation, ProbedParts, PromptPart, RequestOutcome, Route, Tables,
    is_admitted_late,
};
use futures_util::{Stream, StreamExt};

use crate::bound_stream::SoftwareBinding;
use crate::codec::{CallerHeaders, PlatformCodec, RequestMetadata};
use crate::model_request::ModelRequester;
use crate::picked_request::Picked;
use crate::refusal::{Refusal, RefusalCause};
use crate::relayed::{
    IncomingAnswer, RelayedRequest, SendFailure, refuse_part, start_response, token_cost,
};
use crate::shared::Shared;
use crate::telemetry;

/// Maximum size of a body until a configuration is known.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;

/// Longest time that a body may make no progress until a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time limit of a body whose request has neither a route nor a time limit of its own.
const DEFAULT_BODY_TIME: Duration = Duration::from_secs(15);

/// Retry time for callers of a host whose memory for requests is used up.
///
/// Most requests end within a second, and with them their memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time for which a connection stays open after a refusal during its body.
///
/// The caller may still be sending. If the connection were closed at once, the reset could destroy
/// the answer before the caller has read it.
const REFUSED_BODY_LINGER: Duration = Duration::from_secs(1);

/// Maximum size of an answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Time after the start in which requests wait for the host's first read of the store.
///
/// After a restart of all hosts, requests arrive immediately.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// Maximum wait of one request for the first read of the store.
///
/// It covers a read of the store, and parsing it on a tenth of a processor.
const MAX_STARTUP_WAIT: Duration = Duration::from_secs(1);

/// Time between checks while a request waits for the first read of the store.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Retry time for callers of a host that has no recent configuration or is leaving.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Timeout of an attempt while another is allowed, as a multiple of the route's objective.
const ATTEMPT_TIMEOUT_OBJECTIVES: u32 = 3;

/// Minimum timeout of an attempt while another is allowed.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(350);

/// Handles one request of a caller.
pub async fn relay<C: PlatformCodec>(
    shared: Data<Shared<C>>,
    pool: Data<HttpPool>,
    requester: Data<ModelRequester>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let shared = shared.into_inner();
    let Some(open_request) = shared.open_request(request.peer_addr()) else {
        let refusal = Refusal::new(RefusalCause::Leaving).with_retry(SHORT_RETRY_AFTER);
        return close_connection(refusal.respond());
    };
    let arrived_at = BootClock.now();
    let mut unanswered = Unanswered {
        id: "-".to_owned(),
        arrived_at,
        gate: request.conn_data::<RequestGate>().cloned(),
        is_answered: false,
    };
    let response = match prepare(&shared, &pool, &request, payload, arrived_at).await {
        Ok(relayed) => {
            let (id, route) = (relayed.metadata.id.clone(), Arc::clone(&relayed.route));
            open_request.set_id(&id);
            unanswered.id.clone_from(&id);
            tokio::select! {
                response = serve(relayed, &requester) => response,
                // Whether the request ran is not known, and nobody will be there to pass it on.
                () = shared.closing() => {
                    refuse(&id, Some(&route), Refusal::new(RefusalCause::Lost), arrived_at)
                }
            }
        }
        Err(Unprepared {
            id,
            refusal,
            body_ended,
        }) => {
            open_request.set_id(&id);
            let response = refuse(&id, None, refusal, arrived_at);
            if body_ended {
                response
            } else {
                end_connection(response, refusal.cause)
            }
        }
    };
    unanswered.is_answered = true;
    let is_leaving = shared.leaving().is_some();
    // The request stays open until its answer, also a refusal, has been passed on in full.
    let response = guard_body(response, open_request);
    if is_leaving {
        close_connection(response)
    } else {
        response
    }
}

/// Guard that logs a request whose connection ends before it has an answer.
#[derive(Debug)]
struct Unanswered {
    id: String,
    arrived_at: Moment,
    gate: Option<RequestGate>,
    is_answered: bool,
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let has_left = self.gate.as_ref().is_some_and(RequestGate::has_caller_left);
        telemetry::count_unanswered(has_left);
        log::info!(
            "request: id={} ended without an answer, caller-left={has_left} ms={}",
            self.id,
            BootClock.now().since(self.arrived_at).as_millis()
        );
    }
}

/// Makes the server close the connection after this answer.
fn close_connection(mut response: HttpResponse) -> HttpResponse {
    response
        .head_mut()
        .set_connection_type(actix_web::http::ConnectionType::Close);
    response
}

fn refuse(id: &str, route: Option<&Route>, refusal: Refusal, arrived_at: Moment) -> HttpResponse {
    let now = BootClock.now();
    telemetry::count_refusal(refusal.cause);
    log::info!(
        "request: id={id} route={} refused cause={} status={} retry={:?} ms={}",
        route.map_or("-", |route| route.name.as_str()),
        refusal.cause,
        refusal.status().as_u16(),
        refusal.retry_after,
        now.since(arrived_at).as_millis()
    );
    refusal.respond()
}

/// Refusal of a request before it was sent.
struct Unprepared {
    id: String,
    refusal: Refusal,
    // Whether the body was read to its end.
    body_ended: bool,
}

/// Makes the server close the connection shortly after the caller has got a refusal.
///
/// The server itself waits without a limit for the rest of a body in chunks.
fn end_connection(mut response: HttpResponse, cause: RefusalCause) -> HttpResponse {
    response
        .head_mut()
        .set_connection_type(actix_web::http::ConnectionType::Close);
    let text = Refusal::text(cause);
    let length = u64::try_from(text.len()).unwrap_or(u64::MAX);
    let end = futures_util::stream::once(async {
        tokio::time::sleep(REFUSED_BODY_LINGER).await;
        Err(BodyRefused)
    });
    let parts = futures_util::stream::iter([Ok(Bytes::from(text))]).chain(end);
    response.set_body(actix_web::body::BoxBody::new(SizedStream::new(
        length, parts,
    )))
}

/// Error that ends a connection whose body was refused.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the rest of the body is not read")]
struct BodyRefused;

/// Reads a request's body and resolves the request.
async fn prepare<C: PlatformCodec>(
    shared: &Arc<Shared<C>>,
    pool: &HttpPool,
    request: &HttpRequest,
    payload: Payload,
    arrived_at: Moment,
) -> Result<RelayedRequest<C>, Unprepared> {
    if let Some(refusal) = request.extensions().get::<HeadRefusal>() {
        return Err(Unprepared {
            id: "-".to_owned(),
            refusal: refuse_head(*refusal),
            body_ended: false,
        });
    }
    let metadata = C::parse_request(CallerHeaders(request.headers()));
    let deadline = metadata
        .as_ref()
        .ok()
        .and_then(|metadata| metadata.deadline);
    let limits = body_limits(shared, request, deadline);
    let gate = request.conn_data::<RequestGate>();
    let connection = gate.map_or_else(ConnectionMemory::default, |gate| {
        gate.connection().memory().clone()
    });
    let charge = shared.memory.charge(
        request.peer_addr().map(|address| address.ip()),
        &connection,
        limits.max_bytes,
    );
    // The body is read first, so that a refusal does not reset the connection while it arrives.
    let body = read_caller_body(payload, limits, charge, gate).await;
    let body_ended = body.is_ok();
    let unprepared = |id: &str, refusal: Refusal| Unprepared {
        id: id.to_owned(),
        refusal,
        body_ended,
    };
    let metadata = match metadata {
        Ok(metadata) => metadata,
        Err(error) => {
            log::info!("request: id=- malformed: {error}");
            return Err(unprepared("-", Refusal::new(RefusalCause::Malformed)));
        }
    };
    let id = metadata.id.clone();
    let body = body.map_err(|error| {
        log::info!("request: id={id} held={} {error}", shared.memory.held());
        unprepared(&id, refuse_body(&error))
    })?;
    wait_for_startup(shared, arrived_at).await;
    resolve(shared, pool, request, metadata, body, arrived_at)
        .map_err(|refusal| unprepared(&id, refusal))
}

/// Returns the limits of a request's body, from the configuration and the request's time limit.
fn body_limits<C: PlatformCodec>(
    shared: &Shared<C>,
    request: &HttpRequest,
    deadline: Option<Duration>,
) -> BodyLimits {
    let tables = shared.state().tables.clone();
    let Some(tables) = tables else {
        return BodyLimits {
            max_bytes: DEFAULT_MAX_BODY_BYTES,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            time_limit: deadline.unwrap_or(DEFAULT_BODY_TIME),
        };
    };
    let route = tables.route(host_name(request), request.uri().path());
    let time_limit = [deadline, route.map(|route| route.timeout)]
        .into_iter()
        .flatten()
        .min();
    BodyLimits {
        max_bytes: tables.bounds().body_bytes,
        idle_timeout: tables.bounds().idle_timeout,
        time_limit: time_limit.unwrap_or(DEFAULT_BODY_TIME),
    }
}

fn refuse_head(refusal: HeadRefusal) -> Refusal {
    match refusal {
        HeadRefusal::TooLarge => Refusal::new(RefusalCause::HeadTooLarge),
        HeadRefusal::MemoryFull => refuse_full(),
    }
}

fn refuse_full() -> Refusal {
    Refusal::new(RefusalCause::MemoryFull).with_retry(MEMORY_RETRY_AFTER)
}

fn refuse_body(error: &BodyError) -> Refusal {
    match error {
        BodyError::Unreadable(_) => Refusal::new(RefusalCause::Malformed),
        BodyError::TooLarge { .. } => Refusal::new(RefusalCause::TooLarge),
        BodyError::MemoryFull(_) => refuse_full(),
        BodyError::Idle { .. } | BodyError::Late { .. } => Refusal::new(RefusalCause::BodyTimeout),
    }
}

/// Waits until a host that has just started can serve, up to the maximum wait.
async fn wait_for_startup<C: PlatformCodec>(shared: &Shared<C>, arrived_at: Moment) {
    loop {
        let now = BootClock.now();
        let is_starting = now.since(shared.started_at) < STARTUP_PERIOD
            && now.since(arrived_at) < MAX_STARTUP_WAIT;
        if !is_starting || shared.can_serve(now) {
            return;
        }
        tokio::time::sleep(STARTUP_CHECK_INTERVAL).await;
    }
}

/// Returns the name in the header `host`, without the port.
fn host_name(request: &HttpRequest) -> &str {
    let host = request
        .headers()
        .get("host")
        .and_then(|host| host.to_str().ok());
    host.map_or("", |host| host.split(':').next().unwrap_or(host))
}

fn resolve<C: PlatformCodec>(
    shared: &Arc<Shared<C>>,
    pool: &HttpPool,
    request: &HttpRequest,
    metadata: RequestMetadata,
    body: CallerBody,
    arrived_at: Moment,
) -> Result<RelayedRequest<C>, Refusal> {
    let CallerBody {
        bytes: body,
        charge,
    } = body;
    let malformed = || Refusal::new(RefusalCause::Malformed);
    let now = BootClock.now();
    let mut state = shared.state();
    let Some(tables) = state.tables.clone() else {
        return Err(Refusal::new(RefusalCause::NoTables).with_retry(SHORT_RETRY_AFTER));
    };
    let Some(route) = tables.route(host_name(request), request.uri().path()) else {
        return Err(Refusal::new(RefusalCause::NoRoute));
    };
    let keys_accepted = shared.accepts_keys(&state, now);
    let organisation = authorise(&tables, route, &metadata, keys_accepted)?;
    let time_limit = metadata
        .deadline
        .unwrap_or(route.timeout)
        .min(route.timeout);
    check_leaving(shared, time_limit, now)?;
    let suspects = suspects(request, &metadata, &body);
    state
        .check_parts(&suspects, now)
        .map_err(|quarantined| refuse_part(&metadata.id, quarantined))?;
    let target_pool = route.target(rand::random()).ok_or_else(malformed)?.clone();
    if let Some(row) = &organisation {
        let token_cost = token_cost(&metadata, row);
        state
            .rate_limiter
            .take(&row.name, token_cost, now)
            .map_err(|exceeded| {
                log::info!(
                    "request: id={} organisation={} cost={token_cost} over its rate: {exceeded}",
                    metadata.id,
                    row.name
                );
                Refusal::new(RefusalCause::RateLimited).with_retry(exceeded.retry_after)
            })?;
    }
    state.retries.note_request(&target_pool, now);
    if let Some(model_key) = model_key(&metadata, &target_pool) {
        let model = Some(&model_key.model);
        let prompt_tokens = metadata.prompt_tokens;
        let prompt_time = state.speeds.prompt_time(&target_pool, model, prompt_tokens);
        let slots = state.upstreams.slots(&target_pool);
        let answer_times = &state.answer_times;
        let work = answer_times.work(&target_pool, &route.name, prompt_time, slots);
        let work_micros = u64::try_from(work.as_micros()).unwrap_or(u64::MAX);
        state.demand.record_request(model_key, work_micros, now);
    }
    drop(state);
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    Ok(RelayedRequest {
        method: hyper::Method::from_bytes(request.method().as_str().as_bytes())
            .map_err(|_invalid| malformed())?,
        path: path.parse().map_err(|_invalid| malformed())?,
        headers: request.headers().clone(),
        shared: Arc::clone(shared),
        http_pool: pool.clone(),
        deadline: arrived_at.after(time_limit),
        route: Arc::clone(route),
        metadata,
        target_pool,
        organisation,
        body,
        charge,
        arrived_at,
        software: SoftwareBinding::default(),
        tried: crate::shared::TriedUpstreams::default(),
        sends: 0,
        suspects,
        probed_parts: ProbedParts::default(),
        answer_began: false,
        may_have_run: false,
        model_waits: 0,
    })
}

/// Returns what engines may crash on: the shared parts of the prompt, and the request as a whole.
fn suspects(request: &HttpRequest, metadata: &RequestMetadata, body: &Bytes) -> Vec<PromptPart> {
    let mut suspects = metadata.shared_parts.clone();
    if let Some(prompt) = &metadata.declared_prompt {
        let host = request.headers().get("host");
        let path = request.uri().path_and_query();
        suspects.push(PromptPart::whole(&[
            request.method().as_str().as_bytes(),
            host.map_or(b"", |host| host.as_bytes()),
            path.map_or("/", |path| path.as_str()).as_bytes(),
            prompt.as_bytes(),
            body,
        ]));
    }
    suspects
}

/// Returns the model and adapter that a request needs, if it declares a model.
fn model_key(metadata: &RequestMetadata, pool: &eelgrasshill_domain::PoolName) -> Option<ModelKey> {
    Some(ModelKey {
        pool: pool.clone(),
        model: metadata.model.clone()?,
        adapter: metadata.adapter.clone(),
    })
}

/// Returns the organisation of a request's key; none if the route is open to all.
fn authorise(
    tables: &Tables,
    route: &Route,
    metadata: &RequestMetadata,
    keys_accepted: bool,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    if route.anonymous || !tables.has_keys() {
        return Ok(None);
    }
    if !keys_accepted {
        // By now a key that is unknown here may be valid, and a known one may be withdrawn.
        return Err(Refusal::new(RefusalCause::KeysStale).with_retry(SHORT_RETRY_AFTER));
    }
    let key_owner = metadata.key.as_ref().and_then(|key| tables.holder(key));
    key_owner
        .cloned()
        .map(Some)
        .ok_or_else(|| Refusal::new(RefusalCause::UnknownKey))
}

/// Refuses a request that a leaving host could not finish.
fn check_leaving<C: PlatformCodec>(
    shared: &Shared<C>,
    time_limit: Duration,
    now: Moment,
) -> Result<(), Refusal> {
    let Some(since) = shared.leaving() else {
        return Ok(());
    };
    let elapsed = now.since(since);
    let grace = shared.bounds().termination_grace;
    let until_close = shared.max_drain_time().saturating_sub(elapsed);
    if !is_admitted_late(elapsed, grace, until_close, time_limit) {
        return Err(Refusal::new(RefusalCause::Leaving).with_retry(SHORT_RETRY_AFTER));
    }
    Ok(())
}

/// Sends a request until there is an answer or another attempt is not allowed.
async fn serve<C: PlatformCodec>(
    mut relayed: RelayedRequest<C>,
    requester: &ModelRequester,
) -> HttpResponse {
    // Why the last attempt that may have run gave no answer.
    let mut lost_cause = RefusalCause::Lost;
    let refusal = loop {
        let Picked { candidate, guard } = match relayed.pick().await {
            Ok(picked) => picked,
            Err(_refusal) if relayed.may_have_run => break relayed.final_refusal(lost_cause),
            Err(refusal)
                if matches!(
                    refusal.cause,
                    RefusalCause::NotHeld | RefusalCause::Evacuated
                ) =>
            {
                match relayed.wait_for_model(requester, refusal).await {
                    Ok(()) => continue,
                    Err(refusal) => break refusal,
                }
            }
            Err(refusal) => break refusal,
        };
        let bound = attempt_timeout(&relayed);
        let failure = match relayed
            .send(
                &candidate.upstream,
                relayed.metadata.last_event,
                bound,
                guard,
            )
            .await
        {
            Ok(incoming) => match pass_answer(relayed, incoming, bound).await {
                Ok(response) => return response,
                Err((returned, failure)) => {
                    relayed = returned;
                    failure
                }
            },
            Err(failure) => failure,
        };
        if let SendFailure::Quarantined(quarantined) = failure {
            break if relayed.may_have_run {
                relayed.final_refusal(lost_cause)
            } else {
                refuse_part(&relayed.metadata.id, quarantined)
            };
        }
        log::info!(
            "request: id={} upstream={} wait={:?} running={} failed: {failure:?}",
            relayed.metadata.id,
            candidate.upstream.id,
            candidate.wait,
            candidate.running
        );
        match &failure {
            SendFailure::Lost(error) => {
                lost_cause = match error {
                    CallError::Timeout { .. } => RefusalCause::Timeout,
                    _ => RefusalCause::Lost,
                };
                relayed.note_lost(&candidate.upstream, error);
            }
            SendFailure::Unproven(status) => {
                lost_cause = RefusalCause::Unproven;
                log::info!(
                    "request: id={} upstream={} status={} does not prove that nothing ran",
                    relayed.metadata.id,
                    candidate.upstream.id,
                    status.as_u16()
                );
            }
            SendFailure::Unwritten => lost_cause = RefusalCause::Unwritten,
            SendFailure::Quarantined(_)
            | SendFailure::Unsent
            | SendFailure::NotRun
            | SendFailure::Failed => {}
        }
        if !matches!(failure, SendFailure::Unsent | SendFailure::Failed) && !relayed.may_repeat() {
            break relayed.final_refusal(lost_cause);
        }
        if relayed.time_left().is_zero() {
            break relayed.final_refusal(RefusalCause::Timeout);
        }
    };
    if !relayed.may_have_run
        && let Some(row) = &relayed.organisation
    {
        let token_cost = token_cost(&relayed.metadata, row);
        relayed
            .shared
            .state()
            .rate_limiter
            .refund(&row.name, token_cost);
    }
    refuse(
        &relayed.metadata.id,
        Some(&relayed.route),
        refusal,
        relayed.arrived_at,
    )
}

/// Returns the timeout of an attempt: all the time left, unless another could follow.
fn attempt_timeout<C: PlatformCodec>(relayed: &RelayedRequest<C>) -> Duration {
    let time_left = relayed.answer_time();
    let has_next =
        relayed.route.repeat.is_repeatable() && relayed.sends + 1 < relayed.route.max_attempts;
    if has_next {
        let objective = relayed.route.objective * ATTEMPT_TIMEOUT_OBJECTIVES;
        objective.max(MIN_ATTEMPT_TIMEOUT).min(time_left)
    } else {
        time_left
    }
}

type FailedAttempt<C> = (RelayedRequest<C>, SendFailure);

/// Passes an upstream's answer on to the caller, or returns the request for another attempt.
async fn pass_answer<C: PlatformCodec>(
    mut relayed: RelayedRequest<C>,
    mut incoming: IncomingAnswer<C>,
    bound: Duration,
) -> Result<HttpResponse, FailedAttempt<C>> {
    let status = incoming.response.status();
    let is_failure = status.is_server_error();
    if is_failure && relayed.route.repeat.is_repeatable() && relayed.may_repeat() {
        incoming.guard.set_outcome(RequestOutcome::Failed);
        return Err((relayed, SendFailure::Failed));
    }
    if relayed.route.repeat.is_stream() && status.is_success() {
        return relayed.stream(incoming, bound).await;
    }
    incoming.guard.record_answer_start();
    let IncomingAnswer {
        upstream,
        response,
        answer_head,
        connection,
        mut guard,
    } = incoming;
    let (head, body) = response.into_parts();
    let lease = relayed.lease_answer();
    let read = read_counted_body(upstream.address, body, MAX_ANSWER_BYTES, lease);
    let time_left = relayed.time_left();
    let body = match tokio::time::timeout(time_left, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            guard.set_outcome(RequestOutcome::Failed);
            connection.close().await;
            return Err((relayed, SendFailure::Lost(error)));
        }
        Err(_elapsed) => {
            guard.set_outcome(RequestOutcome::Unreachable);
            let cause = CallError::Timeout {
                address: upstream.address.to_string(),
                timeout: time_left,
            };
            return Err((relayed, SendFailure::Lost(cause)));
        }
    };
    relayed.note_answered();
    guard.set_outcome(if is_failure {
        RequestOutcome::Failed
    } else {
        RequestOutcome::Success
    });
    drop(guard);
    relayed.keep_connection(connection, &answer_head);
    let now = BootClock.now();
    telemetry::count_answer(&relayed.route, now.since(relayed.arrived_at));
    log::info!(
        "request: id={} route={} upstream={} status={} sends={} ms={}",
        relayed.metadata.id,
        relayed.route.name,
        upstream.id,
        head.status.as_u16(),
        relayed.sends,
        now.since(relayed.arrived_at).as_millis()
    );
    let mut response = start_response(head.status, &head.headers);
    Ok(response.body(counted_body(body)))
}

/// Returns the body of an answer whose memory is counted until the caller has got it.
fn counted_body(body: CountedBody) -> SizedStream<impl Stream<Item = Result<Bytes, Infallible>>> {
    let CountedBody {
        blocks,
        length,
        lease,
    } = body;
    let blocks = futures_util::stream::iter(blocks).map(move |block| {
        let _kept = &lease;
        Ok(block)
    });
    SizedStream::new(u64::try_from(length).unwrap_or(u64::MAX), blocks)
}
