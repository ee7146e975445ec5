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
use actix_web::{HttpRequest, HttpResponse};
use bytes::{Bytes, BytesMut};
use eelgrasshill_domain::Moment;
use eelgrasshill_ports::{BootClock, CallError, CountedBody, HttpPool, read_counted_body};
use eelgrasshill_relay::{
    ModelKey, Organisation, ProbedParts, PromptPart, RequestOutcome, Route, Tables,
    is_admitted_late,
};
use futures_util::{Stream, StreamExt};

use crate::codec::{CallerHeaders, PlatformCodec, RequestMetadata};
use crate::model_request::ModelRequester;
use crate::picked_request::Picked;
use crate::refusal::{Refusal, RefusalCause};
use crate::relayed::{
    IncomingAnswer, RelayedRequest, SendFailure, refuse_part, start_response, token_cost,
};
use crate::shared::{OpenRequest, Shared};
use crate::telemetry;

/// Maximum size of a body until a configuration is known.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;

/// Timeout for a request's body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

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
    let Some(open_request) = shared.open_request() else {
        return Refusal::new(RefusalCause::Leaving)
            .with_retry(SHORT_RETRY_AFTER)
            .respond();
    };
    let arrived_at = BootClock.now();
    let leaving = shared.leaving().is_some();
    let mut response = match prepare(&shared, &pool, &request, payload, arrived_at).await {
        Ok(relayed) => {
            let (id, route) = (relayed.metadata.id.clone(), Arc::clone(&relayed.route));
            tokio::select! {
                response = serve(relayed, &requester, open_request) => response,
                // Whether the request ran is not known, and nobody will be there to pass it on.
                () = shared.closing() => {
                    refuse(&id, Some(&route), Refusal::new(RefusalCause::Lost), arrived_at)
                }
            }
        }
        Err((id, refusal)) => refuse(&id, None, refusal, arrived_at),
    };
    if leaving {
        response
            .head_mut()
            .set_connection_type(actix_web::http::ConnectionType::Close);
    }
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

/// Reads a request's body and resolves the request; errors carry the request's id.
async fn prepare<C: PlatformCodec>(
    shared: &Arc<Shared<C>>,
    pool: &HttpPool,
    request: &HttpRequest,
    payload: Payload,
    arrived_at: Moment,
) -> Result<RelayedRequest<C>, (String, Refusal)> {
    let max_bytes = shared
        .state()
        .tables
        .as_ref()
        .map_or(DEFAULT_MAX_BODY_BYTES, |tables| tables.bounds().body_bytes);
    // The body is read first, so that a refusal does not reset the connection while it arrives.
    let body = read_body(payload, max_bytes).await;
    let metadata = match C::parse_request(CallerHeaders(request.headers())) {
        Ok(metadata) => metadata,
        Err(error) => {
            log::info!("request: id=- malformed: {error}");
            return Err(("-".to_owned(), Refusal::new(RefusalCause::Malformed)));
        }
    };
    let id = metadata.id.clone();
    let body = body.map_err(|cause| (id.clone(), Refusal::new(cause)))?;
    wait_for_startup(shared, arrived_at).await;
    resolve(shared, pool, request, metadata, body, arrived_at).map_err(|refusal| (id, refusal))
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

async fn read_body(mut payload: Payload, max_bytes: usize) -> Result<Bytes, RefusalCause> {
    let whole = async {
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let part = part.map_err(|error| {
                log::info!("request: the body cannot be read: {error}");
                RefusalCause::Malformed
            })?;
            if body.len() + part.len() > max_bytes {
                return Err(RefusalCause::TooLarge);
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    };
    let timed_out = |_elapsed| Err(RefusalCause::Malformed);
    tokio::time::timeout(BODY_TIMEOUT, whole)
        .await
        .unwrap_or_else(timed_out)
}

fn resolve<C: PlatformCodec>(
    shared: &Arc<Shared<C>>,
    pool: &HttpPool,
    request: &HttpRequest,
    metadata: RequestMetadata,
    body: Bytes,
    arrived_at: Moment,
) -> Result<RelayedRequest<C>, Refusal> {
    let malformed = || Refusal::new(RefusalCause::Malformed);
    let now = BootClock.now();
    let mut state = shared.state();
    let Some(tables) = state.tables.clone() else {
        return Err(Refusal::new(RefusalCause::NoTables).with_retry(SHORT_RETRY_AFTER));
    };
    let host = request
        .headers()
        .get("host")
        .and_then(|host| host.to_str().ok());
    let host = host.map_or("", |host| host.split(':').next().unwrap_or(host));
    let Some(route) = tables.route(host, request.uri().path()) else {
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
        arrived_at,
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
    mut open_request: OpenRequest<C>,
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
            Ok(incoming) => match pass_answer(relayed, incoming, open_request, bound).await {
                Ok(response) => return response,
                Err((returned, returned_open, failure)) => {
                    relayed = returned;
                    open_request = returned_open;
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
    let time_left = relayed.time_left();
    let has_next =
        relayed.route.repeat.is_repeatable() && relayed.sends + 1 < relayed.route.max_attempts;
    if has_next {
        let objective = relayed.route.objective * ATTEMPT_TIMEOUT_OBJECTIVES;
        objective.max(MIN_ATTEMPT_TIMEOUT).min(time_left)
    } else {
        time_left
    }
}

type FailedAttempt<C> = (RelayedRequest<C>, OpenRequest<C>, SendFailure);

/// Passes an upstream's answer on to the caller, or returns the request for another attempt.
async fn pass_answer<C: PlatformCodec>(
    mut relayed: RelayedRequest<C>,
    mut incoming: IncomingAnswer<C>,
    open_request: OpenRequest<C>,
    bound: Duration,
) -> Result<HttpResponse, FailedAttempt<C>> {
    let status = incoming.response.status();
    let is_failure = status.is_server_error();
    if is_failure && relayed.route.repeat.is_repeatable() && relayed.may_repeat() {
        incoming.guard.set_outcome(RequestOutcome::Failed);
        return Err((relayed, open_request, SendFailure::Failed));
    }
    if relayed.route.repeat.is_stream() && status.is_success() {
        return relayed.stream(incoming, open_request, bound).await;
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
    let lease = relayed.shared.answer_memory.lease();
    let read = read_counted_body(upstream.address, body, MAX_ANSWER_BYTES, lease);
    let time_left = relayed.time_left();
    let body = match tokio::time::timeout(time_left, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            guard.set_outcome(RequestOutcome::Failed);
            return Err((relayed, open_request, SendFailure::Lost(error)));
        }
        Err(_elapsed) => {
            guard.set_outcome(RequestOutcome::Unreachable);
            let cause = CallError::Timeout {
                address: upstream.address.to_string(),
                timeout: time_left,
            };
            return Err((relayed, open_request, SendFailure::Lost(cause)));
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
