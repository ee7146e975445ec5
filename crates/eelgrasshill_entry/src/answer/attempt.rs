//! Runs one connection of an answer to an engine.
//!
//! Forwards tokens to the caller, detects idle connections and checks at an interval
//! that the caller's key is still valid.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment, OnStale, RequestId};
use eelgrasshill_ports::{CallError, EngineClient, EngineStreamEvent as Event, Resume, Usage};
use eelgrasshill_route::{
    Attempt, ConnectionOutcome, DisconnectCause, ResumableStream, ResumeAt, StreamAction,
    StreamEvent, StreamFailure,
};
use futures_util::StreamExt;
use tokio::sync::mpsc;

use crate::answer::{Answer, AnswerPart};
use crate::{ApiError, BootClock, Code};
use eelgrasshill_ports::lock;

/// Interval at which a running answer checks that its caller's key is still valid.
const KEY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Last part of the idle timeout, which begins again when the rest has passed.
///
/// After a time without processor time, timers have passed before the sockets were read. This is
/// the time to read them.
const READ_TIME: Duration = Duration::from_millis(100);

/// Maximum time for which a caller may accept no token.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(10);

impl<E: EngineClient> Answer<E> {
    /// Opens a connection and forwards its tokens until it ends.
    pub(super) async fn attempt(
        &mut self,
        stream: &mut ResumableStream<String>,
        request_id: &RequestId,
        parts: &mpsc::Sender<AnswerPart>,
    ) -> AttemptEnd {
        let host = stream.host().clone();
        let attempt = stream.attempt();
        let opened = BootClock.now();
        let Some(address) = self.shared.address_of(&host) else {
            // The host has left the tables.
            return end_attempt(stream, attempt, StreamEvent::Failed);
        };
        self.prepare_request(&host, stream.tokens());
        let mut events = match self.open_stream(address, parts).await {
            OpenOutcome::Events(events) => events,
            OpenOutcome::CallerGone => {
                return end_attempt(stream, attempt, StreamEvent::CallerGone);
            }
            OpenOutcome::Failed(error) => {
                log::warn!("answer: cannot open the stream of {request_id} on {host}: {error}");
                let outcome = ConnectionOutcome::ConnectFailed;
                self.shared
                    .dispatcher
                    .observe(&host, outcome, BootClock.now());
                return end_attempt(stream, attempt, StreamEvent::Failed);
            }
        };
        stream.step(attempt, StreamEvent::Opened, BootClock.now());
        let mut answered = false;
        let mut next_check = opened.after(KEY_CHECK_INTERVAL);
        // Whether READ_TIME has begun since the last event.
        let mut is_last_read = false;
        loop {
            if BootClock.now() >= next_check {
                next_check = BootClock.now().after(KEY_CHECK_INTERVAL);
                if let Some(error) = self.access_error() {
                    return AttemptEnd::Failed(error);
                }
            }
            // Only an ended stream has no wake-up; the moment in the past ticks it at once.
            let mut stream_wake = stream.next_wake().unwrap_or(opened);
            if !is_last_read {
                stream_wake = before(stream_wake, READ_TIME);
            }
            let event = tokio::select! {
                // A timer may have passed while events that refute it waited to be read.
                biased;
                () = parts.closed() => {
                    // The engine stops when it notices the closed connection; `cancel` makes
                    // it stop sooner.
                    drop(events);
                    let _ignored = self.engine.cancel(address, request_id).await;
                    return end_attempt(stream, attempt, StreamEvent::CallerGone);
                }
                event = events.next() => event,
                () = BootClock.sleep_until(stream_wake.min(next_check)) => {
                    let now = BootClock.now();
                    if !is_last_read && now >= stream_wake {
                        is_last_read = true;
                        stream.extend_idle(now.after(READ_TIME));
                    }
                    match self.step_tick(stream, attempt, &host, opened) {
                        Some(ended) => return ended,
                        None => continue,
                    }
                }
            };
            is_last_read = false;
            let now = BootClock.now();
            if !answered && matches!(event, Some(Ok(_))) {
                answered = true;
                let outcome = ConnectionOutcome::Answered { opened };
                self.shared.dispatcher.observe(&host, outcome, now);
            }
            let action = match event {
                // The connection was lost or closed before the last chunk.
                None | Some(Err(_)) => stream.step(attempt, StreamEvent::Failed, now),
                Some(Ok(Event::Ping)) => stream.step(attempt, StreamEvent::Ping, now),
                Some(Ok(Event::Chunk(chunk))) => {
                    let event = match chunk.finish_reason {
                        // In the last chunk the index is the number of tokens.
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
                        return self.completed(stream, chunk.finish_reason, chunk.usage);
                    }
                    action
                }
            };
            match action {
                None => {}
                Some(StreamAction::Forward { text, .. }) => {
                    self.record_token(&host, now);
                    if !send_token(parts, text).await {
                        return end_attempt(stream, attempt, StreamEvent::CallerGone);
                    }
                    // The engine was not read while its caller accepted no token.
                    stream.extend_idle(BootClock.now().after(self.timeouts.idle));
                }
                Some(action) => return attempt_end(action),
            }
        }
    }

    fn completed(
        &self,
        stream: &ResumableStream<String>,
        reason: Option<String>,
        usage: Option<Usage>,
    ) -> AttemptEnd {
        AttemptEnd::Completed {
            reason: reason.unwrap_or_default(),
            usage: Usage {
                prompt_tokens: self.request.prompt_tokens,
                cached_tokens: usage.unwrap_or_default().cached_tokens,
                completion_tokens: stream.tokens().len() as u64,
            },
        }
    }

    /// Sets the versions of model and software and the text after which the engine continues.
    ///
    /// A resumed answer keeps the versions of its first tokens.
    fn prepare_request(&mut self, host: &HostName, tokens: &[String]) {
        let generate = &mut self.request.generate;
        let view = self.shared.view.load();
        let upstream = view.upstreams().iter().find(|u| u.host == *host);
        if tokens.is_empty()
            && let Some(upstream) = upstream
        {
            self.software.clone_from(&upstream.software);
            let mut residents = upstream.residents.iter();
            if let Some(resident) = residents.find(|r| r.model == generate.model) {
                generate.version.clone_from(&resident.version);
            }
        }
        generate.resume = (!tokens.is_empty()).then(|| Resume {
            next_index: tokens.len() as u64,
            text: tokens.concat(),
        });
    }

    async fn open_stream(
        &self,
        address: SocketAddr,
        parts: &mpsc::Sender<AnswerPart>,
    ) -> OpenOutcome<E::Events> {
        tokio::select! {
            opened = self.engine.generate(address, &self.request.generate) => match opened {
                Ok(events) => OpenOutcome::Events(events),
                Err(error) => OpenOutcome::Failed(error),
            },
            () = parts.closed() => OpenOutcome::CallerGone,
        }
    }

    /// Passes the current time to the stream; returns the end of the attempt, if it is due.
    fn step_tick(
        &self,
        stream: &mut ResumableStream<String>,
        attempt: Attempt,
        host: &HostName,
        opened: Moment,
    ) -> Option<AttemptEnd> {
        let now = BootClock.now();
        let action = stream.step(attempt, StreamEvent::Tick, now)?;
        if let StreamAction::Resume {
            cause: DisconnectCause::Silent,
            ..
        } = &action
        {
            self.shared
                .dispatcher
                .observe(host, ConnectionOutcome::Silent { opened }, now);
        }
        Some(attempt_end(action))
    }

    /// Returns an error if the key was withdrawn or the tables are too old.
    fn access_error(&self) -> Option<ApiError> {
        let snapshot = self.shared.snapshot.load();
        let key = self.request.grant.key.as_ref()?;
        if !snapshot.access.is_key_valid(key) {
            return Some(ApiError::may_have_run(
                Code::KeyWithdrawn,
                "the key was withdrawn",
            ));
        }
        let OnStale::Refuse(seconds) = self.request.grant.route.on_stale else {
            return None;
        };
        let age = self.shared.tables_age(BootClock.now());
        (age.as_secs() > u64::from(seconds)).then(|| {
            ApiError::may_have_run(
                Code::TablesStale,
                "the tables are older than the route allows",
            )
        })
    }

    /// Records the time of a token and spends it from the reservation.
    fn record_token(&mut self, host: &HostName, now: Moment) {
        let gap = now.since(self.last_token_at);
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            self.labels
                .record_first_token(now.since(self.request.arrived));
        } else {
            self.labels.record_between_tokens(gap);
            lock(&self.shared.concurrency).record_gap(host, gap, now);
        }
        self.last_token_at = now;
        if let Some(reservation) = &mut self.reservation {
            reservation.spend(1);
        }
    }
}

/// Returns the moment `span` earlier.
fn before(moment: Moment, span: Duration) -> Moment {
    let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    Moment(moment.0.saturating_sub(span))
}

/// Sends a token to the caller; returns false if it is not accepted in time.
async fn send_token(parts: &mpsc::Sender<AnswerPart>, text: String) -> bool {
    match tokio::time::timeout(CALLER_WRITE_TIMEOUT, parts.send(AnswerPart::Token(text))).await {
        Ok(sent) => sent.is_ok(),
        Err(_elapsed) => {
            log::info!(
                "answer: a caller accepted no token within {CALLER_WRITE_TIMEOUT:?}; closing its connection"
            );
            false
        }
    }
}

/// The result of opening a connection to an engine.
enum OpenOutcome<S> {
    Events(S),
    CallerGone,
    Failed(CallError),
}

/// The way in which one connection of an answer ended.
pub(super) enum AttemptEnd {
    Completed {
        reason: String,
        usage: Usage,
    },
    Disconnected {
        cause: DisconnectCause,
        from_token: u64,
        resume_at: ResumeAt,
    },
    Failed(ApiError),
    CallerGone,
}

/// Converts an action that ends the connection.
fn attempt_end(action: StreamAction<String>) -> AttemptEnd {
    match action {
        StreamAction::Resume {
            cause, from, at, ..
        } => AttemptEnd::Disconnected {
            cause,
            from_token: from,
            resume_at: at,
        },
        StreamAction::Fail(StreamFailure::Deadline) => AttemptEnd::Failed(ApiError::may_have_run(
            Code::AnswerTimeout,
            "the time for the whole answer has passed",
        )),
        StreamAction::Fail(failure) => {
            AttemptEnd::Failed(ApiError::may_have_run(Code::UpstreamFailed, failure))
        }
        // `attempt` handles Forward and Finish itself; Cancel means that the caller is gone.
        StreamAction::Forward { .. } | StreamAction::Finish | StreamAction::Cancel => {
            AttemptEnd::CallerGone
        }
    }
}

/// Applies an event that ends the attempt.
///
/// The stream returns no action if it has ended already; the attempt then ends as if
/// the caller were gone.
fn end_attempt(
    stream: &mut ResumableStream<String>,
    attempt: Attempt,
    event: StreamEvent<String>,
) -> AttemptEnd {
    stream
        .step(attempt, event, BootClock.now())
        .map_or(AttemptEnd::CallerGone, attempt_end)
}
