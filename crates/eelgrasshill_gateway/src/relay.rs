//! Answers callers: resolves a request, sends it, and passes the answer on.

use std::sync::Arc;
use std::time::Duration;

use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use bytes::{Bytes, BytesMut};
use eelgrasshill_domain::Moment;
use eelgrasshill_ports::{BootClock, HttpPool, read_whole};
use eelgrasshill_relay::{Asked, Organisation, Outcome, Route, Tables};
use futures_util::StreamExt;

use crate::job::{Job, Run, SendFailure, begin_answer, cost};
use crate::need::Needs;
use crate::refusal::{Cause, Refusal};
use crate::state::{OpenRequest, Shared};
use crate::telemetry;
use crate::wire::{Ask, CallerHeaders, Wire};

/// Most bytes of a body while no configuration says more.
const BODY: usize = 4 << 20;

/// Longest time for a body to arrive.
const BODY_TIME: Duration = Duration::from_secs(5);

/// Most bytes of an answer that is read whole.
const ANSWER: usize = 16 << 20;

/// Time from the start in which a request waits for the host's first look at the store: callers
/// come at once to hosts that were all started anew.
const START: Duration = Duration::from_secs(3);

/// Longest such wait: a read of the store, and its parsing on a tenth of a processor.
const START_WAIT: Duration = Duration::from_secs(1);

/// Pause between two looks while a request waits for that.
const START_LOOK: Duration = Duration::from_millis(10);

/// Advice to callers of a host that knows no configuration yet or is leaving.
const RETRY_SOON: Duration = Duration::from_millis(300);

/// Time from SIGTERM on in which a new stream would surely be cut by the end of the grace time.
const LAST_STREAMS: Duration = Duration::from_millis(2_800);

/// Time before the end of the grace time in which calls are no longer begun: theirs is a second.
const LAST_CALLS: Duration = Duration::from_millis(1_500);

/// What an answer's steps take of an engine beyond the prompt, in microseconds: some 300 steps
/// that are each longer by some 40 microseconds.
const ANSWER_WORK: u64 = 10_000;

/// Times the objective that one attempt may take while another is allowed.
const ATTEMPT_OBJECTIVES: u32 = 3;

/// Shortest bound of one attempt while another is allowed.
const ATTEMPT_LEAST: Duration = Duration::from_millis(350);

/// Relays one request.
pub async fn relay<W: Wire>(
    shared: Data<Shared<W>>,
    pool: Data<HttpPool>,
    needs: Data<Needs>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let shared = shared.into_inner();
    let Some(open) = shared.open() else {
        return Refusal::new(Cause::Leaving)
            .with_retry(RETRY_SOON)
            .respond();
    };
    let arrived = BootClock.now();
    let leaving = shared.leaving().is_some();
    let mut response = match prepare(&shared, &pool, &request, payload, arrived).await {
        Ok(job) => serve(job, &needs, open).await,
        Err((id, refusal)) => refuse(&id, None, refusal, arrived),
    };
    if leaving {
        response
            .head_mut()
            .set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}

fn refuse(id: &str, route: Option<&Route>, refusal: Refusal, arrived: Moment) -> HttpResponse {
    let now = BootClock.now();
    telemetry::refused(refusal.cause);
    log::info!(
        "request: id={id} route={} refused cause={} status={} retry={:?} ms={}",
        route.map_or("-", |route| route.name.as_str()),
        refusal.cause,
        refusal.status().as_u16(),
        refusal.retry,
        now.since(arrived).as_millis()
    );
    refusal.respond()
}

/// Reads and resolves a request.
async fn prepare<W: Wire>(
    shared: &Arc<Shared<W>>,
    pool: &HttpPool,
    request: &HttpRequest,
    payload: Payload,
    arrived: Moment,
) -> Result<Job<W>, (String, Refusal)> {
    let limit = shared
        .desk()
        .tables
        .as_ref()
        .map_or(BODY, |tables| tables.bounds().body_bytes);
    // The body is read first, so that a refusal does not reset the connection under it.
    let body = read_body(payload, limit).await;
    let ask = match W::ask(CallerHeaders(request.headers())) {
        Ok(ask) => ask,
        Err(error) => {
            log::info!("request: id=- malformed: {error}");
            return Err(("-".to_owned(), Refusal::new(Cause::Malformed)));
        }
    };
    let id = ask.id.clone();
    let body = body.map_err(|cause| (id.clone(), Refusal::new(cause)))?;
    await_start(shared, arrived).await;
    resolve(shared, pool, request, ask, body, arrived).map_err(|refusal| (id, refusal))
}

/// Waits until a host that has just started knows enough to serve, or a while.
async fn await_start<W: Wire>(shared: &Shared<W>, arrived: Moment) {
    loop {
        let now = BootClock.now();
        let is_starting = now.since(shared.began) < START && now.since(arrived) < START_WAIT;
        if !is_starting || shared.is_informed(now) {
            return;
        }
        tokio::time::sleep(START_LOOK).await;
    }
}

async fn read_body(mut payload: Payload, limit: usize) -> Result<Bytes, Cause> {
    let whole = async {
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let part = part.map_err(|error| {
                log::info!("request: the body cannot be read: {error}");
                Cause::Malformed
            })?;
            if body.len() + part.len() > limit {
                return Err(Cause::TooLarge);
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    };
    let slow = |_elapsed| Err(Cause::Malformed);
    tokio::time::timeout(BODY_TIME, whole)
        .await
        .unwrap_or_else(slow)
}

fn resolve<W: Wire>(
    shared: &Arc<Shared<W>>,
    pool: &HttpPool,
    request: &HttpRequest,
    ask: Ask,
    body: Bytes,
    arrived: Moment,
) -> Result<Job<W>, Refusal> {
    let malformed = || Refusal::new(Cause::Malformed);
    let now = BootClock.now();
    let mut desk = shared.desk();
    let Some(tables) = desk.tables.clone() else {
        return Err(Refusal::new(Cause::NoTables).with_retry(RETRY_SOON));
    };
    let host = request
        .headers()
        .get("host")
        .and_then(|host| host.to_str().ok());
    let host = host.map_or("", |host| host.split(':').next().unwrap_or(host));
    let Some(route) = tables.route(host, request.uri().path()) else {
        return Err(Refusal::new(Cause::NoRoute));
    };
    let fresh = shared.allows_keys(&desk, now);
    let organisation = authorise(&tables, route, &ask, fresh)?;
    check_leaving(shared, route, now)?;
    let target = route.target(rand::random()).ok_or_else(malformed)?.clone();
    if let Some(row) = &organisation {
        let cost = cost(&ask, row);
        desk.allowances
            .take(&row.name, cost, now)
            .map_err(|after| Refusal::new(Cause::RateLimited).with_retry(after))?;
    }
    desk.retries.note_request(&target, now);
    if let Some(asked) = asked(&ask, &target) {
        desk.demand
            .record_request(asked, work(&ask, shared.bounds().prefill), now);
    }
    drop(desk);
    let wait = ask.deadline.unwrap_or(route.timeout).min(route.timeout);
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    Ok(Job {
        method: hyper::Method::from_bytes(request.method().as_str().as_bytes())
            .map_err(|_invalid| malformed())?,
        path: path.parse().map_err(|_invalid| malformed())?,
        headers: request.headers().clone(),
        shared: Arc::clone(shared),
        pool: pool.clone(),
        until: arrived.after(wait),
        route: Arc::clone(route),
        ask,
        target,
        organisation,
        body,
        arrived,
        tried: crate::state::Tried::default(),
        sends: 0,
        may_have_run: false,
        waits: 0,
    })
}

/// Returns the model that a request asks for, if it declares one.
fn asked(ask: &Ask, pool: &eelgrasshill_domain::PoolName) -> Option<Asked> {
    Some(Asked {
        pool: pool.clone(),
        model: ask.model.clone()?,
        adapter: ask.adapter.clone(),
    })
}

/// Returns what a request takes of an engine, in microseconds: reading its prompt, and its part
/// in the steps that its answer takes.
fn work(ask: &Ask, prefill: u64) -> u64 {
    ask.prompt * 1_000 / prefill.max(1) + ANSWER_WORK
}

/// Returns the organisation of a request, none where the route is open.
fn authorise(
    tables: &Tables,
    route: &Route,
    ask: &Ask,
    fresh: bool,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    if route.anonymous || !tables.has_keys() {
        return Ok(None);
    }
    if !fresh {
        // A key that is unknown here may be new, and a known one may be withdrawn.
        return Err(Refusal::new(Cause::KeysStale).with_retry(RETRY_SOON));
    }
    let holder = ask.key.as_ref().and_then(|key| tables.holder(key));
    holder
        .cloned()
        .map(Some)
        .ok_or_else(|| Refusal::new(Cause::UnknownKey))
}

/// Refuses requests that a leaving host could not finish.
fn check_leaving<W: Wire>(shared: &Shared<W>, route: &Route, now: Moment) -> Result<(), Refusal> {
    let Some(since) = shared.leaving() else {
        return Ok(());
    };
    let bound = if route.repeat.is_stream() {
        LAST_STREAMS
    } else {
        shared.bounds().grace.saturating_sub(LAST_CALLS)
    };
    if now.since(since) > bound {
        return Err(Refusal::new(Cause::Leaving).with_retry(RETRY_SOON));
    }
    Ok(())
}

/// Sends a request until it has an answer or nothing more may be done.
async fn serve<W: Wire>(mut job: Job<W>, needs: &Needs, mut open: OpenRequest<W>) -> HttpResponse {
    let mut timed_out = false;
    let refusal = loop {
        let found = match job.choose() {
            Ok(found) => found,
            Err(_refusal) if job.may_have_run => break job.give_up(timed_out),
            Err(refusal) if refusal.cause == Cause::NotHeld => {
                match job.wait_for_model(needs).await {
                    Ok(()) => continue,
                    Err(refusal) => break refusal,
                }
            }
            Err(refusal) => break refusal,
        };
        let bound = attempt_bound(&job);
        let failure = match job.send(&found.upstream, job.ask.last, bound).await {
            Ok(run) => match answer(job, run, open, bound).await {
                Ok(response) => return response,
                Err((back, still, failure)) => {
                    job = back;
                    open = still;
                    failure
                }
            },
            Err(failure) => failure,
        };
        log::info!(
            "request: id={} upstream={} wait={:?} running={} failed: {failure:?}",
            job.ask.id,
            found.upstream.id,
            found.wait,
            found.running
        );
        if let SendFailure::Lost(error) = &failure {
            timed_out = matches!(error, eelgrasshill_ports::CallError::Timeout { .. });
        }
        if !matches!(failure, SendFailure::Unsent | SendFailure::Failed) && !job.may_repeat() {
            break job.give_up(timed_out);
        }
        if job.left().is_zero() {
            break job.give_up(true);
        }
    };
    if !job.may_have_run
        && let Some(row) = &job.organisation
    {
        let cost = cost(&job.ask, row);
        job.shared.desk().allowances.refund(&row.name, cost);
    }
    refuse(&job.ask.id, Some(&job.route), refusal, job.arrived)
}

/// Returns how long one attempt may take: all that is left, unless another could follow.
fn attempt_bound<W: Wire>(job: &Job<W>) -> Duration {
    let left = job.left();
    let more = job.route.repeat.is_repeatable() && job.sends + 1 < job.route.max_attempts;
    if more {
        let objective = job.route.objective * ATTEMPT_OBJECTIVES;
        objective.max(ATTEMPT_LEAST).min(left)
    } else {
        left
    }
}

type Returned<W> = (Job<W>, OpenRequest<W>, SendFailure);

/// Passes an upstream's answer on.
async fn answer<W: Wire>(
    mut job: Job<W>,
    mut run: Run<W>,
    open: OpenRequest<W>,
    bound: Duration,
) -> Result<HttpResponse, Returned<W>> {
    let status = run.response.status();
    let is_failure = status.is_server_error();
    if is_failure && job.route.repeat.is_repeatable() && job.may_repeat() {
        run.guard.set_outcome(Outcome::Failed);
        return Err((job, open, SendFailure::Failed));
    }
    if job.route.repeat.is_stream() && status.is_success() {
        return job.stream(run, open, bound).await;
    }
    run.guard.begin();
    let Run {
        upstream,
        response,
        reply,
        exchange,
        mut guard,
    } = run;
    let (head, body) = response.into_parts();
    let read = read_whole(upstream.address, body, ANSWER);
    let left = job.left();
    let body = match tokio::time::timeout(left, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            guard.set_outcome(Outcome::Failed);
            return Err((job, open, SendFailure::Lost(error)));
        }
        Err(_elapsed) => {
            guard.set_outcome(Outcome::Unreachable);
            let cause = eelgrasshill_ports::CallError::Timeout {
                address: upstream.address.to_string(),
                bound: left,
            };
            return Err((job, open, SendFailure::Lost(cause)));
        }
    };
    guard.set_outcome(if is_failure {
        Outcome::Failed
    } else {
        Outcome::Success
    });
    drop(guard);
    job.keep(exchange, &reply);
    let now = BootClock.now();
    telemetry::answered(&job.route, now.since(job.arrived));
    log::info!(
        "request: id={} route={} upstream={} status={} sends={} ms={}",
        job.ask.id,
        job.route.name,
        upstream.id,
        head.status.as_u16(),
        job.sends,
        now.since(job.arrived).as_millis()
    );
    Ok(begin_answer(head.status, &head.headers).body(body))
}
