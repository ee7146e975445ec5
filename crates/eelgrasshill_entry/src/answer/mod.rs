//! Generates one answer, from the queue to its last token.
//!
//! An interrupted answer is resumed on the same or another upstream, as the route's
//! `repeat` setting, the retry budget and the deadline allow.

mod attempt;

use std::sync::Arc;

use eelgrasshill_control::Grant;
use eelgrasshill_domain::{HostName, ModelName, Moment};
use eelgrasshill_ports::{EngineClient, GenerateRequest, Usage};
use eelgrasshill_route::{
    Call, ClassTimeouts, DisconnectCause, PrefixHash, Requirement, ResumableStream, ResumeAt,
    RetryBudget, Sent, Ticket,
};
use tokio::sync::mpsc;

use crate::answer::attempt::AttemptEnd;
use crate::quota::Reservation;
use crate::telemetry::{Labels, count_refusal};
use crate::traces::{StepEvent, Trace, TraceStep};
use crate::{ApiError, BootClock, Code, DispatchGuard, Shared};

/// A part of an answer, sent to the task that writes the response.
#[derive(Clone, Debug)]
pub enum AnswerPart {
    /// The text of one token.
    Token(String),
    /// The answer is complete.
    Finished {
        /// The engine's finish reason.
        reason: String,
        /// The number of tokens used.
        usage: Usage,
    },
    /// The answer failed and stays incomplete.
    Failed(ApiError),
}

/// A request for an answer whose route and cost are known.
#[derive(Debug)]
pub struct AnswerRequest {
    /// The authorisation for the route.
    pub grant: Grant,
    /// The model that generates the answer.
    pub model: ModelName,
    /// The request to the engine.
    pub generate: GenerateRequest,
    /// The estimated number of prompt tokens.
    pub prompt_tokens: u64,
    /// The hash of the prompt's first bytes.
    pub prefix_hash: PrefixHash,
    /// When the request arrived.
    pub arrived: Moment,
}

/// An answer that holds a slot on an upstream.
#[derive(Debug)]
pub struct Answer<E> {
    shared: Arc<Shared>,
    engine: E,
    request: AnswerRequest,
    timeouts: ClassTimeouts,
    /// The slot on the upstream; `None` while the answer waits for one.
    guard: Option<DispatchGuard>,
    /// The reserved tokens; `None` on open routes.
    reservation: Option<Reservation>,
    labels: Labels,
    trace: Trace,
    first_token_at: Option<Moment>,
    /// When the last token arrived; before the first one, when the request arrived.
    last_token_at: Moment,
    /// The index of the first token of the current attempt.
    resumed_from: u64,
    /// The software version of the engine that generates the first tokens.
    software: String,
}

impl<E: EngineClient> Answer<E> {
    /// Reserves tokens and waits for an upstream.
    ///
    /// # Errors
    ///
    /// Returns [`ApiError`], always marked as not run.
    pub async fn begin(
        shared: Arc<Shared>,
        engine: E,
        request: AnswerRequest,
    ) -> Result<(Self, HostName), ApiError> {
        let timeouts = *shared.timeouts.of(request.grant.route.class);
        let labels = Labels::new(
            request.grant.organisation.as_ref(),
            request.grant.route.class,
        );
        let trace = Trace {
            id: request.generate.id.clone(),
            route: request.grant.route_name.clone(),
            organisation: request.grant.organisation.clone(),
            class: request.grant.route.class,
            steps: Vec::new(),
        };
        let last_token_at = request.arrived;
        let mut answer = Self {
            shared,
            engine,
            request,
            timeouts,
            guard: None,
            reservation: None,
            labels,
            trace,
            first_token_at: None,
            last_token_at,
            resumed_from: 0,
            software: String::new(),
        };
        match answer.reserve_and_wait().await {
            Ok(host) => Ok((answer, host)),
            Err(error) => {
                answer.record_step(StepEvent::Refused {
                    code: error.code.to_string(),
                });
                count_refusal(error.code, answer.request.grant.organisation.as_ref());
                Err(error)
            }
        }
    }

    async fn reserve_and_wait(&mut self) -> Result<HostName, ApiError> {
        let deadline = self.request.arrived.after(self.timeouts.queue_wait);
        let cost = self.request.prompt_tokens + self.request.generate.max_tokens;
        self.shared.record_demand(self.request.model.as_str(), cost);
        if let Some(organisation) = self.request.grant.organisation.clone() {
            let mut reservation = self
                .shared
                .quota
                .admit(&organisation, cost, deadline)
                .await?;
            reservation.spend(self.request.prompt_tokens);
            self.reservation = Some(reservation);
            self.record_step(StepEvent::Admitted { cost });
        }
        let host = self.wait_for_upstream(Vec::new(), false, deadline).await?;
        let wait = BootClock.now().since(self.request.arrived);
        self.labels.record_queue_wait(wait);
        Ok(host)
    }

    /// Queues the request until an upstream other than those in `avoid` is free.
    ///
    /// An answer that has begun goes on only at the versions of its first tokens.
    async fn wait_for_upstream(
        &mut self,
        avoid: Vec<HostName>,
        has_begun: bool,
        deadline: Moment,
    ) -> Result<HostName, ApiError> {
        self.guard = None;
        let now = BootClock.now();
        let requirement = Requirement::Model {
            model: self.request.model.clone(),
            adapter: self.request.generate.adapter.clone(),
            version: has_begun.then(|| self.request.generate.version.clone()),
            software: has_begun.then(|| self.software.clone()),
        };
        let route = &self.request.grant.route;
        let cost = self.request.prompt_tokens + self.request.generate.max_tokens;
        let id = self.shared.dispatcher.next_id();
        let mut ticket = Ticket::new(
            id,
            route.class,
            route.pool.clone(),
            requirement,
            cost,
            deadline,
        )
        .with_prefix(self.request.prefix_hash)
        .with_avoid(avoid);
        ticket
            .organisation
            .clone_from(&self.request.grant.organisation);
        let mut guard = self.shared.dispatcher.enqueue(ticket, now)?;
        let host = guard.wait_started().await?;
        self.guard = Some(guard);
        self.record_step(StepEvent::Started { host: host.clone() });
        Ok(host)
    }

    /// Generates the answer; dropping the receiver of `parts` cancels it.
    pub async fn run(mut self, host: HostName, parts: mpsc::Sender<AnswerPart>) {
        // From here on the call counts as sent, so that it is retried only if its route
        // allows repeats.
        let call = Call::new(self.request.grant.route.repeat).send();
        self.shared.with_retry_budget(RetryBudget::record_call);
        let request_id = self.request.generate.id.clone();
        let now = BootClock.now();
        let mut stream = ResumableStream::new(
            request_id.clone(),
            self.request.grant.route.repeat,
            &self.timeouts,
            host,
            now,
        )
        .with_deadline(self.request.arrived.after(self.timeouts.whole_answer));
        let last_part = loop {
            match self.attempt(&mut stream, &request_id, &parts).await {
                AttemptEnd::Completed { reason, usage } => {
                    // Ends the call, which then cannot be retried.
                    let _ran = call.answer();
                    break Some(AnswerPart::Finished { reason, usage });
                }
                AttemptEnd::CallerGone => break None,
                AttemptEnd::Failed(error) => break Some(AnswerPart::Failed(error)),
                AttemptEnd::Disconnected {
                    cause,
                    from_token,
                    resume_at,
                } => {
                    if let Err(error) = self
                        .resume(&mut stream, &call, cause, from_token, resume_at)
                        .await
                    {
                        break Some(AnswerPart::Failed(error));
                    }
                }
            }
        };
        self.finish(last_part, &stream, &parts).await;
    }

    /// Records how the answer ended and sends its last part.
    async fn finish(
        mut self,
        last_part: Option<AnswerPart>,
        stream: &ResumableStream<String>,
        parts: &mpsc::Sender<AnswerPart>,
    ) {
        let elapsed = BootClock.now().since(self.request.arrived);
        match &last_part {
            Some(AnswerPart::Finished { .. }) => {
                self.labels.record_whole_answer(elapsed);
                self.record_step(StepEvent::Finished {
                    tokens: stream.tokens().len() as u64,
                });
            }
            Some(AnswerPart::Failed(error)) => {
                count_refusal(error.code, self.request.grant.organisation.as_ref());
                self.record_step(StepEvent::Refused {
                    code: error.code.to_string(),
                });
            }
            Some(AnswerPart::Token(_)) | None => self.record_step(StepEvent::CallerGone),
        }
        self.guard = None;
        self.reservation = None;
        if let Some(part) = last_part {
            // The caller may have disconnected.
            let _gone = parts.send(part).await;
        }
    }

    /// Starts the next attempt on the same upstream or waits for another one.
    async fn resume(
        &mut self,
        stream: &mut ResumableStream<String>,
        call: &Call<Sent>,
        cause: DisconnectCause,
        from_token: u64,
        resume_at: ResumeAt,
    ) -> Result<(), ApiError> {
        let now = BootClock.now();
        self.labels.count_resumed();
        self.record_step(StepEvent::Resumed {
            cause: cause.to_string(),
            from: from_token,
        });
        log::info!(
            "answer: resuming {} from token {from_token}: {cause}",
            self.request.generate.id
        );
        // An attempt that delivered tokens repeats none of them, so only attempts without
        // progress count against the retry budget.
        let is_without_progress = from_token == self.resumed_from;
        self.resumed_from = from_token;
        if is_without_progress
            && let Err(error) = self
                .shared
                .with_retry_budget(|budget| call.retry(budget, now))
        {
            return Err(ApiError::may_have_run(Code::UpstreamFailed, error));
        }
        let has_begun = from_token > 0;
        let avoid = match resume_at {
            ResumeAt::Same(host) if !has_begun || self.has_same_software(&host) => {
                stream.begin_attempt(host, now);
                return Ok(());
            }
            ResumeAt::Same(host) => vec![host],
            ResumeAt::Other { avoid } => avoid,
        };
        let deadline = now.after(self.timeouts.queue_wait);
        let host = self
            .wait_for_upstream(avoid, has_begun, deadline)
            .await
            .map_err(ApiError::after_run)?;
        stream.begin_attempt(host, BootClock.now());
        Ok(())
    }

    /// Returns whether an upstream has not restarted with other software, as far as is known.
    fn has_same_software(&self, host: &HostName) -> bool {
        let view = self.shared.view.load();
        let upstream = view.upstreams().iter().find(|u| u.host == *host);
        upstream.is_none_or(|upstream| upstream.software == self.software)
    }

    fn record_step(&mut self, event: StepEvent) {
        let elapsed = BootClock.now().since(self.request.arrived);
        let at_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.trace.steps.push(TraceStep { at_ms, event });
    }
}

impl<E> Drop for Answer<E> {
    fn drop(&mut self) {
        self.shared.traces.store(self.trace.clone());
    }
}
