//! One request on its way: where it was sent, and what may still be done for it.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode as CallerStatus;
use actix_web::http::header::{HeaderMap as CallerMap, HeaderName, HeaderValue};
use actix_web::{HttpResponse, HttpResponseBuilder};
use bytes::Bytes;
use eelgrasshill_domain::{Moment, PoolName};
use eelgrasshill_ports::{BootClock, CallError, HttpConnection, HttpPool};
use eelgrasshill_relay::{
    Asked, Availability, Candidate, Organisation, Outcome, Route, Upstream, UpstreamQuery,
};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};

use crate::need::Needs;
use crate::refusal::{Cause, Refusal};
use crate::state::{LoadGuard, Shared, Tried};
use crate::wire::{Ask, CallerHeaders, Reply, Sending, Wire};

/// Longest wait for a connection: several round trips, and less than the repeat of a lost packet.
const CONNECT: Duration = Duration::from_millis(300);

/// Longest time that an idle connection is used again: short, since a connection can go silent.
const REUSE: Duration = Duration::from_secs(3);

/// Share of the objective by which a request must be begun, in percent.
const BEGIN_PERCENT: u32 = 90;

/// Part of the objective for which a request may wait whatever its own size: one half.
const LEAST_BEGIN: u32 = 2;

/// Shortest advice to come back: a news round of the hosts.
const RETRY_LEAST: Duration = Duration::from_millis(500);

/// Time that callers of a stream wait for its first event at least.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// Most times that a request waits for a model: for the model, its adapter, and one that is lost.
const MOST_WAITS: u32 = 4;

/// Shortest time in which an upstream's run is worth beginning.
const LEAST_LEFT: Duration = Duration::from_millis(15);

/// What a request was and how it is treated.
#[derive(Debug)]
pub struct Job<W: Wire> {
    /// The host's state.
    pub shared: Arc<Shared<W>>,
    /// This thread's connections.
    pub pool: HttpPool,
    /// What the caller declared.
    pub ask: Ask,
    /// The route.
    pub route: Arc<Route>,
    /// The pool of the route that was drawn.
    pub target: PoolName,
    /// The organisation, if a key was needed.
    pub organisation: Option<Arc<Organisation>>,
    /// The method.
    pub method: hyper::Method,
    /// The path and query as they came.
    pub path: hyper::Uri,
    /// The caller's headers.
    pub headers: CallerMap,
    /// The body.
    pub body: Bytes,
    /// When the request arrived.
    pub arrived: Moment,
    /// When the caller must have a final answer.
    pub until: Moment,
    /// Upstreams that it was sent to, or that could not be reached.
    pub tried: Tried,
    /// Upstreams that it was sent to.
    pub sends: u32,
    /// Whether it may have run.
    pub may_have_run: bool,
    /// How often it waited for a model or adapter.
    pub waits: u32,
}

/// An answer's head, with all that must be kept while its body is read.
#[derive(Debug)]
pub struct Run<W: Wire> {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// The answer.
    pub response: Response<Incoming>,
    /// What its head says.
    pub reply: Reply,
    /// The connection.
    pub exchange: HttpConnection,
    /// Counts the request on the upstream.
    pub guard: LoadGuard<W>,
}

/// Why a send brought no answer that can be passed on.
#[derive(Debug)]
pub enum SendFailure {
    /// Nothing reached the upstream.
    Unsent,
    /// The upstream says that it did not run the request.
    NotRun,
    /// The request may have run.
    Lost(CallError),
    /// The upstream failed it, and a repeat was taken from the budget.
    Failed,
}

/// Returns the tokens that a request counts as.
pub(crate) fn cost(ask: &Ask, row: &Organisation) -> u64 {
    match ask.prompt + ask.output {
        0 => row.default_cost,
        declared => declared,
    }
}

impl<W: Wire> Job<W> {
    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.until.since(BootClock.now())
    }

    /// Returns the rank: the organisation's goes before the route's.
    pub fn rank(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|row| row.rank);
        own.unwrap_or(self.route.rank)
    }

    /// Returns whether the request may be sent once more, taking it from the budget.
    pub fn may_repeat(&mut self) -> bool {
        let is_safe = !self.may_have_run || self.route.repeat.is_repeatable();
        is_safe
            && self.sends < self.route.max_attempts.max(1)
            && self.left() > LEAST_LEFT
            && self
                .shared
                .desk()
                .retries
                .take(&self.target, BootClock.now())
    }

    /// Chooses the upstream for the next send.
    ///
    /// # Errors
    ///
    /// Returns the refusal where none can begin the request in time.
    pub fn choose(&self) -> Result<Candidate, Refusal> {
        let now = BootClock.now();
        let desk = self.shared.desk();
        if self.organisation.is_some() && !self.shared.allows_keys(&desk, now) {
            return Err(Refusal::new(Cause::KeysStale).with_retry(RETRY_LEAST));
        }
        let wanted = UpstreamQuery {
            pool: &self.target,
            model: self.ask.model.as_ref(),
            adapter: self.ask.adapter.as_ref(),
            rank: self.rank(),
            tried: &self.tried,
        };
        let Some(found) = desk.choose(&wanted, now) else {
            return Err(Refusal::new(Cause::NotHeld).with_retry(RETRY_LEAST));
        };
        let reading =
            Duration::from_micros(self.ask.prompt * 1_000 / self.shared.bounds().prefill.max(1));
        // A prompt that takes most of the objective by itself is late anywhere.
        let begin = (self.route.objective * BEGIN_PERCENT / 100)
            .saturating_sub(reading)
            .max(self.route.objective / LEAST_BEGIN);
        if found.wait > begin {
            let after = found.wait.saturating_sub(begin).max(RETRY_LEAST);
            log::info!(
                "request: id={} upstream={} wait={:?} is too long, running={}",
                self.ask.id,
                found.upstream.id,
                found.wait,
                found.running
            );
            return Err(Refusal::new(Cause::Overloaded).with_retry(after));
        }
        Ok(found)
    }

    /// Waits for the model and adapter, where an engine will hold them in time.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with the time from which the request can be served.
    pub async fn wait_for_model(&mut self, needs: &Needs) -> Result<(), Refusal> {
        let refusal = Refusal::new(Cause::NotHeld);
        let Some(model) = self.ask.model.clone() else {
            return Err(refusal.with_retry(RETRY_LEAST));
        };
        let asked = Asked {
            pool: self.target.clone(),
            model,
            adapter: self.ask.adapter.clone(),
        };
        let prospect = needs.ask(&self.shared, &asked).await;
        log::info!(
            "request: id={} waits={} needs {asked:?}: {prospect:?}",
            self.ask.id,
            self.waits
        );
        match prospect {
            // The engine is there and did not take it: no order changes that.
            Availability::Ready { engine, .. } if self.tried.contains(&engine) => {
                Err(Refusal::new(Cause::RefusedUpstream).with_retry(RETRY_LEAST))
            }
            Availability::Ready { after, .. } if self.is_worth_waiting(after) => {
                self.waits += 1;
                tokio::time::sleep(after).await;
                Ok(())
            }
            Availability::Ready { after, .. } | Availability::Later { after } => {
                Err(refusal.with_retry(after.max(RETRY_LEAST)))
            }
        }
    }

    /// Returns whether a request that waits is still begun while its caller is there.
    fn is_worth_waiting(&self, after: Duration) -> bool {
        let passed = BootClock.now().since(self.arrived);
        let patience = self.route.objective.max(PATIENCE) * BEGIN_PERCENT / 100;
        self.waits < MOST_WAITS && passed + after < patience && after < self.left()
    }

    /// Counts a repeat of what may have run as spent once more: an engine may run both.
    fn charge_repeat(&self) {
        if !self.may_have_run {
            return;
        }
        if let Some(row) = &self.organisation {
            let cost = cost(&self.ask, row);
            let mut desk = self.shared.desk();
            desk.allowances.charge(&row.name, cost, BootClock.now());
        }
    }

    /// Sends the request, or what is left of a stream after `last`.
    ///
    /// # Errors
    ///
    /// Returns what is known of the request where no answer came that belongs to it.
    pub async fn send(
        &mut self,
        upstream: &Arc<Upstream>,
        last: Option<u64>,
        bound: Duration,
    ) -> Result<Run<W>, SendFailure> {
        let mut guard = LoadGuard::new(&self.shared, &upstream.id, self.rank(), self.ask.prompt);
        let reuse = self.route.repeat.is_repeatable();
        let opened = if reuse {
            self.pool.take(upstream.address, CONNECT).await
        } else {
            HttpConnection::open(upstream.address, CONNECT).await
        };
        let mut exchange = match opened {
            Ok(exchange) => exchange,
            Err(error) => {
                guard.set_outcome(Outcome::Unreachable);
                self.tried.insert(upstream.id.clone());
                log::info!(
                    "request: id={} upstream={} unsent: {error}",
                    self.ask.id,
                    upstream.id
                );
                return Err(SendFailure::Unsent);
            }
        };
        let request = self.outgoing(upstream, last);
        self.tried.insert(upstream.id.clone());
        self.sends += 1;
        self.charge_repeat();
        let answer = tokio::time::timeout(bound, exchange.send(request)).await;
        match answer {
            Ok(Ok(response)) => self.read_head(upstream, response, exchange, guard),
            Ok(Err(CallError::NotSent { .. })) => {
                self.tried.remove(&upstream.id);
                self.sends -= 1;
                Err(SendFailure::Unsent)
            }
            Ok(Err(error)) => {
                guard.set_outcome(Outcome::Failed);
                self.may_have_run = true;
                Err(SendFailure::Lost(error))
            }
            Err(_elapsed) => {
                guard.set_outcome(Outcome::Unreachable);
                self.may_have_run = true;
                Err(SendFailure::Lost(CallError::Timeout {
                    address: upstream.address.to_string(),
                    bound,
                }))
            }
        }
    }

    fn read_head(
        &mut self,
        upstream: &Arc<Upstream>,
        response: Response<Incoming>,
        exchange: HttpConnection,
        mut guard: LoadGuard<W>,
    ) -> Result<Run<W>, SendFailure> {
        let reply = W::reply(response.status().as_u16(), response.headers());
        if reply.not_run || reply.misdirected {
            guard.set_outcome(Outcome::Full);
            return Err(SendFailure::NotRun);
        }
        self.may_have_run = true;
        if let Some(cause) = self.distrust(response.status().is_success(), &reply) {
            // What becomes of this request cannot be known.
            guard.set_outcome(Outcome::Failed);
            return Err(SendFailure::Lost(CallError::Malformed {
                address: upstream.address.to_string(),
                cause,
            }));
        }
        Ok(Run {
            upstream: Arc::clone(upstream),
            response,
            reply,
            exchange,
            guard,
        })
    }

    /// Returns why an answer is not taken for that of this request.
    fn distrust(&self, success: bool, reply: &Reply) -> Option<String> {
        if reply.id.as_deref() != Some(self.ask.id.as_str()) {
            return Some(format!("the answer is for request {:?}", reply.id));
        }
        (success && !reply.sealed).then(|| "a success that the upstream does not sign".to_owned())
    }

    fn outgoing(&self, upstream: &Upstream, last: Option<u64>) -> Request<Full<Bytes>> {
        let sending = Sending {
            upstream: &upstream.id,
            organisation: self.organisation.as_ref().map(|row| &row.name),
            left: self.left(),
            rank: self.rank(),
            last,
        };
        let headers = W::outgoing(CallerHeaders(&self.headers), &sending);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Keeps the connection of an answer that was read whole, where that may be used again.
    pub fn keep(&self, exchange: HttpConnection, reply: &Reply) {
        if let Some(idle) = reply.idle {
            // The upstream's own bound must not end it under the next request.
            let span = idle.saturating_sub(Duration::from_secs(1)).min(REUSE);
            if !span.is_zero() {
                self.pool.keep(exchange, span);
            }
        }
    }

    /// Returns the final refusal of a request for which nothing more is done.
    pub fn give_up(&self, timed_out: bool) -> Refusal {
        if !self.may_have_run {
            return Refusal::new(Cause::RefusedUpstream).with_retry(RETRY_LEAST);
        }
        Refusal::new(if timed_out {
            Cause::Timeout
        } else {
            Cause::Lost
        })
    }
}

/// Headers that belong to one connection, and a length that the server works out itself.
const CONNECTION_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
];

/// Begins the answer to a caller with the status and headers of an upstream's answer.
pub fn begin_answer(status: StatusCode, headers: &HeaderMap) -> HttpResponseBuilder {
    let status = CallerStatus::from_u16(status.as_u16()).unwrap_or(CallerStatus::BAD_GATEWAY);
    let mut answer = HttpResponse::build(status);
    let passed = headers
        .iter()
        .filter(|(name, _value)| !CONNECTION_HEADERS.contains(&name.as_str()));
    for (name, value) in passed {
        if let (Ok(name), Ok(value)) = (
            HeaderName::try_from(name.as_str()),
            HeaderValue::from_bytes(value.as_bytes()),
        ) {
            answer.append_header((name, value));
        }
    }
    answer
}
