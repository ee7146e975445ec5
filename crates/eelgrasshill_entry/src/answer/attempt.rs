//! One connection of an answer: its tokens, its silence and its end.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment, OnStale, RequestId};
use eelgrasshill_ports::{CallError, Engine, Resume, StreamEvent as Event, Usage};
use eelgrasshill_route::{
    Attempt, DisconnectCause, Observation, ResumableStream, ResumeAt, StreamAction, StreamEvent,
    StreamFailure,
};
use futures_util::StreamExt;
use tokio::sync::mpsc;

use crate::answer::{Answer, Part};
use crate::{ApiError, BootClock, Code};
use eelgrasshill_ports::lock;

/// How often a running answer checks that its caller's key still works.
const KEY_CHECK: Duration = Duration::from_millis(500);

/// Longest time for which a caller's connection may take no token.
const SLOW_CALLER: Duration = Duration::from_secs(10);

impl<E: Engine> Answer<E> {
    /// Opens a connection and passes its tokens on until it ends.
    pub(super) async fn attempt(
        &mut self,
        stream: &mut ResumableStream<String>,
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
                    self.note_token(&host, now);
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

    async fn open(&self, address: SocketAddr, parts: &mpsc::Sender<Part>) -> Opened<E::Events> {
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
        stream: &mut ResumableStream<String>,
        attempt: Attempt,
        host: &HostName,
        opened: Moment,
    ) -> Option<Ended> {
        let now = BootClock.now();
        let action = stream.step(attempt, StreamEvent::Tick, now)?;
        if let StreamAction::Resume {
            cause: DisconnectCause::Silent,
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

    fn note_token(&mut self, host: &HostName, now: Moment) {
        let gap = now.since(self.latest);
        if self.first.is_none() {
            self.first = Some(now);
            self.labels.first_token(now.since(self.request.arrived));
        } else {
            self.labels.between_tokens(gap);
            lock(&self.shared.pacer).record_gap(host, gap, now);
        }
        self.latest = now;
        if let Some(reservation) = &mut self.reservation {
            reservation.spend(1);
        }
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
pub(super) enum Ended {
    Whole {
        reason: String,
        usage: Usage,
    },
    Left {
        cause: DisconnectCause,
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

fn step(
    stream: &mut ResumableStream<String>,
    attempt: Attempt,
    event: StreamEvent<String>,
) -> Ended {
    stream
        .step(attempt, event, BootClock.now())
        .map_or(Ended::Gone, ended)
}
