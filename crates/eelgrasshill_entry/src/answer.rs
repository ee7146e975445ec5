//! One generated answer, from its place in the queue to its last token.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_control::Grant;
use eelgrasshill_domain::{HostName, ModelName, Moment, OnStale, RequestId};
use eelgrasshill_platform::{
    CallError, Engine, GenerateRequest, Resume, StreamEvent as Event, Usage,
};
use eelgrasshill_route::{
    Attempt, Call, ClassBounds, LeaveCause, Observation, PrefixHash, ResumeAt, Resumption,
    RetryBudget, Sent, StreamAction, StreamEvent, StreamFailure, Ticket, Work,
};
use futures_util::StreamExt;
use tokio::sync::mpsc;

use crate::journal::{Step, StepEvent, Trace};
use crate::measure::{Labels, count_refusal};
use crate::quota::Reservation;
use crate::{ApiError, BootClock, Code, Place, Shared};

/// How often a running answer checks that its caller's key still works.
const KEY_CHECK: Duration = Duration::from_millis(500);

/// Longest time for which a caller's connection may take no token.
const SLOW_CALLER: Duration = Duration::from_secs(10);

/// What the caller's side of an answer gets.
#[derive(Clone, Debug)]
pub enum Part {
    /// A token's text.
    Token(String),
    /// The answer is whole.
    Finished {
        /// Why it ended.
        reason: String,
        /// Tokens used.
        usage: Usage,
    },
    /// The answer stays incomplete.
    Failed(ApiError),
}

/// A request for an answer, resolved and priced.
#[derive(Debug)]
pub struct AnswerRequest {
    /// The right to the route.
    pub grant: Grant,
    /// The model.
    pub model: ModelName,
    /// What goes to the engine.
    pub generate: GenerateRequest,
    /// Tokens that the prompt is taken to have.
    pub prompt: u64,
    /// The hash of the prompt's start.
    pub prefix: PrefixHash,
    /// When the request arrived.
    pub arrived: Moment,
}

/// An answer that has a place on an upstream.
#[derive(Debug)]
pub struct Answer<E> {
    shared: Arc<Shared>,
    engine: E,
    request: AnswerRequest,
    bounds: ClassBounds,
    place: Option<Place>,
    reservation: Option<Reservation>,
    labels: Labels,
    trace: Trace,
    first: Option<Moment>,
    latest: Moment,
    /// The token from which the present attempt goes on.
    resumed: u64,
}

impl<E: Engine> Answer<E> {
    /// Reserves tokens and waits for an upstream.
    ///
    /// # Errors
    ///
    /// Returns [`ApiError`], always as not run.
    pub async fn begin(
        shared: Arc<Shared>,
        engine: E,
        request: AnswerRequest,
    ) -> Result<(Self, HostName), ApiError> {
        let bounds = *shared.bounds.of(request.grant.route.class);
        let labels = Labels::new(
            request.grant.organisation.as_ref(),
            request.grant.route.class,
        );
        let trace = Trace {
            id: request.generate.id.clone(),
            route: request.grant.name.clone(),
            organisation: request.grant.organisation.clone(),
            class: request.grant.route.class,
            steps: Vec::new(),
        };
        let latest = request.arrived;
        let mut answer = Self {
            shared,
            engine,
            request,
            bounds,
            place: None,
            reservation: None,
            labels,
            trace,
            first: None,
            latest,
            resumed: 0,
        };
        match answer.admit().await {
            Ok(host) => Ok((answer, host)),
            Err(error) => {
                answer.note(StepEvent::Refused {
                    code: error.code.to_string(),
                });
                count_refusal(error.code, answer.request.grant.organisation.as_ref());
                Err(error)
            }
        }
    }

    async fn admit(&mut self) -> Result<HostName, ApiError> {
        let until = self.request.arrived.after(self.bounds.queue_wait);
        let cost = self.request.prompt + self.request.generate.max_tokens;
        self.shared.note_demand(self.request.model.as_str(), cost);
        if let Some(organisation) = self.request.grant.organisation.clone() {
            let mut reservation = self.shared.quota.admit(&organisation, cost, until).await?;
            reservation.spend(self.request.prompt);
            self.reservation = Some(reservation);
            self.note(StepEvent::Admitted { cost });
        }
        let host = self.queue(Vec::new(), None, until).await?;
        let wait = BootClock.now().since(self.request.arrived);
        self.labels.queue_wait(wait);
        Ok(host)
    }

    async fn queue(
        &mut self,
        avoid: Vec<HostName>,
        version: Option<String>,
        until: Moment,
    ) -> Result<HostName, ApiError> {
        self.place = None;
        let now = BootClock.now();
        let work = Work::Model {
            model: self.request.model.clone(),
            adapter: self.request.generate.adapter.clone(),
            version,
        };
        let route = &self.request.grant.route;
        let cost = self.request.prompt + self.request.generate.max_tokens;
        let id = self.shared.dispatch.next_id();
        let mut ticket = Ticket::new(id, route.class, route.pool.clone(), work, cost, until)
            .with_prefix(self.request.prefix)
            .with_avoid(avoid);
        ticket
            .organisation
            .clone_from(&self.request.grant.organisation);
        let mut place = self.shared.dispatch.offer(ticket, now)?;
        let host = place.started().await?;
        self.place = Some(place);
        self.note(StepEvent::Started { host: host.clone() });
        Ok(host)
    }

    /// Generates the answer; a dropped receiver cancels it.
    pub async fn run(mut self, host: HostName, parts: mpsc::Sender<Part>) {
        let call = Call::new(self.request.grant.route.repeat).send();
        self.shared.with_retries(RetryBudget::note_fresh);
        let request = self.request.generate.id.clone();
        let now = BootClock.now();
        let mut stream = Resumption::new(
            request.clone(),
            self.request.grant.route.repeat,
            &self.bounds,
            host,
            now,
        )
        .with_deadline(self.request.arrived.after(self.bounds.whole_answer));
        let last = loop {
            match self.attempt(&mut stream, &request, &parts).await {
                Ended::Whole { reason, usage } => {
                    let _ran = call.answer();
                    break Some(Part::Finished { reason, usage });
                }
                Ended::Gone => break None,
                Ended::Failed(error) => break Some(Part::Failed(error)),
                Ended::Left { cause, from, at } => {
                    if let Err(error) = self.resume(&mut stream, &call, cause, from, at).await {
                        break Some(Part::Failed(error));
                    }
                }
            }
        };
        self.conclude(last, &stream, &parts).await;
    }

    async fn conclude(
        mut self,
        last: Option<Part>,
        stream: &Resumption<String>,
        parts: &mpsc::Sender<Part>,
    ) {
        let whole = BootClock.now().since(self.request.arrived);
        match &last {
            Some(Part::Finished { .. }) => {
                self.labels.whole_answer(whole);
                self.note(StepEvent::Finished {
                    tokens: stream.tokens().len() as u64,
                });
            }
            Some(Part::Failed(error)) => {
                count_refusal(error.code, self.request.grant.organisation.as_ref());
                self.note(StepEvent::Refused {
                    code: error.code.to_string(),
                });
            }
            Some(Part::Token(_)) | None => self.note(StepEvent::CallerGone),
        }
        self.place = None;
        self.reservation = None;
        if let Some(part) = last {
            // A caller that is gone needs no last part.
            let _gone = parts.send(part).await;
        }
    }

    /// Opens the next connection's place: the same upstream or another one.
    async fn resume(
        &mut self,
        stream: &mut Resumption<String>,
        call: &Call<Sent>,
        cause: LeaveCause,
        from: u64,
        at: ResumeAt,
    ) -> Result<(), ApiError> {
        let now = BootClock.now();
        self.labels.resumed();
        self.note(StepEvent::Resumed {
            cause: cause.to_string(),
            from,
        });
        log::info!(
            "answer: {} is resumed from token {from}, {cause}",
            self.request.generate.id
        );
        // An attempt that brought tokens repeats none of them, so that only others are charged.
        let is_barren = from == self.resumed;
        self.resumed = from;
        if is_barren && let Err(error) = self.shared.with_retries(|b| call.retry(b, now)) {
            return Err(ApiError::unknown(Code::UpstreamFailed, error));
        }
        let host = match at {
            ResumeAt::Same(host) => host,
            ResumeAt::Other { avoid } => {
                let until = now.after(self.bounds.queue_wait);
                let version = (from > 0).then(|| self.request.generate.version.clone());
                self.queue(avoid, version, until)
                    .await
                    .map_err(|mut error| {
                        error.run = crate::Run::Unknown;
                        error
                    })?
            }
        };
        stream.begin(host, BootClock.now());
        Ok(())
    }

    async fn attempt(
        &mut self,
        stream: &mut Resumption<String>,
        request: &RequestId,
        parts: &mpsc::Sender<Part>,
    ) -> Ended {
        let host = stream.host().clone();
        let attempt = stream.attempt();
        let opened = BootClock.now();
        let Some(address) = self.shared.address_of(&host) else {
            return step(stream, attempt, StreamEvent::Failed);
        };
        self.prepare(&host, stream.tokens());
        let mut events = match self.open(address, parts).await {
            Opened::Events(events) => events,
            Opened::Gone => return step(stream, attempt, StreamEvent::CallerGone),
            Opened::Failed(error) => {
                log::warn!("answer: {request} on {host} failed: {error}");
                let seen = Observation::ConnectFailed;
                self.shared.dispatch.observe(&host, seen, BootClock.now());
                return step(stream, attempt, StreamEvent::Failed);
            }
        };
        stream.step(attempt, StreamEvent::Opened, BootClock.now());
        let mut answered = false;
        let mut check = opened.after(KEY_CHECK);
        loop {
            if BootClock.now() >= check {
                check = BootClock.now().after(KEY_CHECK);
                if let Some(error) = self.revoked() {
                    return Ended::Failed(error);
                }
            }
            let wake = stream.next_wake().unwrap_or(opened).min(check);
            let event = tokio::select! {
                event = events.next() => event,
                () = parts.closed() => {
                    // The engine sees the closed connection; this only makes it sooner.
                    drop(events);
                    let _late = self.engine.cancel(address, request).await;
                    return step(stream, attempt, StreamEvent::CallerGone);
                }
                () = BootClock.sleep_until(wake) => {
                    match self.step_tick(stream, attempt, &host, opened) {
                        Some(ended) => return ended,
                        None => continue,
                    }
                }
            };
            let now = BootClock.now();
            if !answered && matches!(event, Some(Ok(_))) {
                answered = true;
                let seen = Observation::Answered { opened };
                self.shared.dispatch.observe(&host, seen, now);
            }
            let action = match event {
                None | Some(Err(_)) => stream.step(attempt, StreamEvent::Failed, now),
                Some(Ok(Event::Ping)) => stream.step(attempt, StreamEvent::Ping, now),
                Some(Ok(Event::Chunk(chunk))) => {
                    let event = match chunk.finish {
                        Some(_) => StreamEvent::Done {
                            request: chunk.id,
                            total: chunk.index,
                        },
                        None => StreamEvent::Chunk {
                            request: chunk.id,
                            index: chunk.index,
                            text: chunk.text,
                        },
                    };
                    let action = stream.step(attempt, event, now);
                    if action == Some(StreamAction::Finish) {
                        let tokens = stream.tokens().len() as u64;
                        return Ended::Whole {
                            reason: chunk.finish.unwrap_or_default(),
                            usage: Usage {
                                prompt: self.request.prompt,
                                cached: chunk.usage.unwrap_or_default().cached,
                                completion: tokens,
                            },
                        };
                    }
                    action
                }
            };
            match action {
                None => {}
                Some(StreamAction::Forward { text, .. }) => {
                    self.note_token(now);
                    if !deliver(parts, text).await {
                        return step(stream, attempt, StreamEvent::CallerGone);
                    }
                }
                Some(action) => return ended(action),
            }
        }
    }

    fn prepare(&mut self, host: &HostName, tokens: &[String]) {
        let generate = &mut self.request.generate;
        let view = self.shared.view.load();
        let resident = view
            .upstreams()
            .iter()
            .find(|upstream| upstream.host == *host)
            .and_then(|upstream| {
                upstream
                    .residents
                    .iter()
                    .find(|r| r.model == generate.model)
            });
        if tokens.is_empty()
            && let Some(resident) = resident
        {
            generate.version.clone_from(&resident.version);
        }
        generate.resume = (!tokens.is_empty()).then(|| Resume {
            index: tokens.len() as u64,
            text: tokens.concat(),
        });
    }

    async fn open(
        &self,
        address: std::net::SocketAddr,
        parts: &mpsc::Sender<Part>,
    ) -> Opened<E::Events> {
        tokio::select! {
            opened = self.engine.generate(address, &self.request.generate) => match opened {
                Ok(events) => Opened::Events(events),
                Err(error) => Opened::Failed(error),
            },
            () = parts.closed() => Opened::Gone,
        }
    }

    fn step_tick(
        &self,
        stream: &mut Resumption<String>,
        attempt: Attempt,
        host: &HostName,
        opened: Moment,
    ) -> Option<Ended> {
        let now = BootClock.now();
        let action = stream.step(attempt, StreamEvent::Tick, now)?;
        if let StreamAction::Resume {
            cause: LeaveCause::Silent,
            ..
        } = &action
        {
            self.shared
                .dispatch
                .observe(host, Observation::Silent { opened }, now);
        }
        Some(ended(action))
    }

    /// Returns the failure of an answer whose caller's key was withdrawn.
    fn revoked(&self) -> Option<ApiError> {
        let picture = self.shared.picture.load();
        let key = self.request.grant.key.as_ref()?;
        if !picture.access.is_key_valid(key) {
            return Some(ApiError::unknown(
                Code::KeyWithdrawn,
                "the key was withdrawn",
            ));
        }
        let OnStale::Refuse(seconds) = self.request.grant.route.on_stale else {
            return None;
        };
        let age = self.shared.tables_age(BootClock.now());
        (age.as_secs() > u64::from(seconds)).then(|| {
            ApiError::unknown(
                Code::TablesStale,
                "the tables are older than the route allows",
            )
        })
    }

    fn note_token(&mut self, now: Moment) {
        match self.first {
            None => {
                self.first = Some(now);
                self.labels.first_token(now.since(self.request.arrived));
            }
            Some(_) => self.labels.between_tokens(now.since(self.latest)),
        }
        self.latest = now;
        if let Some(reservation) = &mut self.reservation {
            reservation.spend(1);
        }
    }

    fn note(&mut self, event: StepEvent) {
        let at = BootClock.now().since(self.request.arrived);
        let at = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        self.trace.steps.push(Step { at, event });
    }
}

impl<E> Drop for Answer<E> {
    fn drop(&mut self) {
        self.shared.journal.keep(self.trace.clone());
    }
}

/// Hands a token to the caller's side; false when nobody takes it.
async fn deliver(parts: &mpsc::Sender<Part>, text: String) -> bool {
    match tokio::time::timeout(SLOW_CALLER, parts.send(Part::Token(text))).await {
        Ok(sent) => sent.is_ok(),
        Err(_elapsed) => {
            log::info!("answer: a caller that takes no tokens is cut off");
            false
        }
    }
}

/// What became of the connection that an attempt opened.
enum Opened<S> {
    Events(S),
    Gone,
    Failed(CallError),
}

/// How one connection of an answer ended.
enum Ended {
    Whole {
        reason: String,
        usage: Usage,
    },
    Left {
        cause: LeaveCause,
        from: u64,
        at: ResumeAt,
    },
    Failed(ApiError),
    Gone,
}

fn ended(action: StreamAction<String>) -> Ended {
    match action {
        StreamAction::Resume {
            cause, from, at, ..
        } => Ended::Left { cause, from, at },
        StreamAction::Fail(StreamFailure::Deadline) => Ended::Failed(ApiError::unknown(
            Code::AnswerTimeout,
            "the time for the whole answer has passed",
        )),
        StreamAction::Fail(failure) => {
            Ended::Failed(ApiError::unknown(Code::UpstreamFailed, failure))
        }
        StreamAction::Forward { .. } | StreamAction::Finish | StreamAction::Cancel => Ended::Gone,
    }
}

fn step(stream: &mut Resumption<String>, attempt: Attempt, event: StreamEvent<String>) -> Ended {
    stream
        .step(attempt, event, BootClock.now())
        .map_or(Ended::Gone, ended)
}
