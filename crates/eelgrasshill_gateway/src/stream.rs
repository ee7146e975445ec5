//! Passes a stream's events on as they come, and goes on elsewhere when it breaks off.

use std::time::Duration;

use actix_web::HttpResponse;
use bytes::Bytes;
use derive_more::{Display, Error};
use eelgrasshill_ports::CallError;
use eelgrasshill_relay::{EventSplitter, Outcome, Repeat};
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::job::{Job, Run, SendFailure, begin_answer};
use crate::state::OpenRequest;
use crate::wire::Wire;

/// Longest silence within a stream before it goes on elsewhere: half of the two seconds after
/// which callers leave, and several times a pause that is still on time.
const SILENCE: Duration = Duration::from_secs(1);

/// Time in which the server writes what it has taken.
const WRITE_TIME: Duration = Duration::from_millis(50);

/// Events that may wait for a slow caller.
const AHEAD: usize = 8;

/// A stream that could not be finished; the caller's connection ends without the last chunk.
#[derive(Debug, Display, Error)]
#[display("the stream broke off")]
pub struct BrokenStream;

type Sender = mpsc::Sender<Result<Bytes, BrokenStream>>;

/// How one run of a stream ended.
enum Ended {
    /// The last event came.
    Complete,
    /// The caller is gone.
    Deserted,
    /// The run broke off.
    Broken,
}

/// Lets the events that were passed on reach the caller: an error of the body drops what the
/// server has not written yet.
async fn let_pass(sender: &Sender) {
    let waiting = async {
        while sender.capacity() < AHEAD && !sender.is_closed() {
            tokio::time::sleep(WRITE_TIME).await;
        }
        tokio::time::sleep(WRITE_TIME).await;
    };
    if tokio::time::timeout(SILENCE, waiting).await.is_err() {
        log::info!("request: a caller does not read, the rest of its stream is dropped");
    }
}

/// What the next read of a run brought.
enum Next {
    Events(Bytes),
    End,
    Broken(CallError),
}

/// The events of one run.
struct Events<W: Wire> {
    run: Run<W>,
    splitter: EventSplitter,
}

impl<W: Wire> Events<W> {
    async fn next(&mut self, bound: Duration) -> Next {
        let address = self.run.upstream.address;
        let lost = |cause: String| {
            Next::Broken(CallError::Lost {
                address: address.to_string(),
                cause,
            })
        };
        let read = async {
            loop {
                match self.run.response.body_mut().frame().await {
                    None if self.splitter.has_partial() => return lost("a torn event".to_owned()),
                    None => return Next::End,
                    Some(Err(error)) => return lost(error.to_string()),
                    Some(Ok(frame)) => {
                        let Ok(bytes) = frame.into_data() else {
                            continue;
                        };
                        if let Some(whole) = self.splitter.push(&bytes) {
                            return Next::Events(whole);
                        }
                        if self.splitter.is_overlong() {
                            return lost("an event is too long".to_owned());
                        }
                    }
                }
            }
        };
        tokio::time::timeout(bound, read)
            .await
            .unwrap_or(Next::Broken(CallError::Timeout {
                address: address.to_string(),
                bound,
            }))
    }
}

impl<W: Wire> Job<W> {
    /// Answers with the stream of a run whose head says success.
    ///
    /// # Errors
    ///
    /// Returns the job where the run broke off before its first event.
    pub async fn stream(
        mut self,
        run: Run<W>,
        open: OpenRequest<W>,
        first_bound: Duration,
    ) -> Result<HttpResponse, (Self, OpenRequest<W>, SendFailure)> {
        let mut response = begin_answer(run.response.status(), run.response.headers());
        let mut events = Events {
            splitter: EventSplitter::new(self.ask.last),
            run,
        };
        let first = match events.next(first_bound.min(self.left())).await {
            Next::Events(bytes) => bytes,
            Next::End => Bytes::new(),
            Next::Broken(error) => {
                events.run.guard.set_outcome(Outcome::Unreachable);
                return Err((self, open, SendFailure::Lost(error)));
            }
        };
        events.run.guard.begin();
        let now = eelgrasshill_ports::BootClock.now();
        crate::telemetry::first_event(&self.route, now.since(self.arrived));
        let leaving = self.shared.leaving().is_some();
        let (sender, receiver) = mpsc::channel(AHEAD);
        if sender.try_send(Ok(first)).is_err() {
            log::error!("request: id={} a new channel is full", self.ask.id);
        }
        actix_web::rt::spawn(async move {
            self.pump(events, &sender).await;
            drop(open);
        });
        if leaving {
            response.force_close();
        }
        Ok(response.streaming(ReceiverStream::new(receiver)))
    }

    /// Passes events on until the stream is complete, deserted or cannot go on.
    async fn pump(&mut self, mut events: Events<W>, sender: &Sender) {
        let mut runs = 1_u32;
        loop {
            let ended = self.pass(&mut events, sender).await;
            let last = events.splitter.last();
            match ended {
                Ended::Complete => {
                    events.run.guard.set_outcome(Outcome::Success);
                    let Run {
                        exchange, reply, ..
                    } = events.run;
                    self.keep(exchange, &reply);
                    self.log_stream("complete", runs, last);
                    return;
                }
                Ended::Deserted => {
                    self.log_stream("deserted", runs, last);
                    return;
                }
                Ended::Broken => {
                    events.run.guard.set_outcome(Outcome::Failed);
                    drop(events);
                }
            }
            let Some(next) = self.resume(last, sender).await else {
                self.log_stream("broken", runs, last);
                let_pass(sender).await;
                // The receiver is gone only where the caller is.
                let _deserted = sender.send(Err(BrokenStream)).await;
                return;
            };
            events = next;
            runs += 1;
        }
    }

    async fn pass(&self, events: &mut Events<W>, sender: &Sender) -> Ended {
        let silence = match self.route.repeat {
            Repeat::ResumableStream => SILENCE,
            Repeat::Idempotent | Repeat::Once | Repeat::Stream => self.left(),
        };
        loop {
            let next = tokio::select! {
                next = events.next(silence.min(self.left())) => next,
                () = sender.closed() => return Ended::Deserted,
            };
            match next {
                Next::Events(bytes) => {
                    if sender.send(Ok(bytes)).await.is_err() {
                        return Ended::Deserted;
                    }
                }
                Next::End => return Ended::Complete,
                // Silence alone ends nothing while no other engine can go on.
                Next::Broken(CallError::Timeout { .. })
                    if !self.left().is_zero() && !self.can_go_on() => {}
                Next::Broken(error) => {
                    log::info!(
                        "request: id={} upstream={} event={:?} stream broke off: {error}",
                        self.ask.id,
                        events.run.upstream.id,
                        events.splitter.last()
                    );
                    return Ended::Broken;
                }
            }
        }
    }

    /// Returns whether another engine could go on with the stream now.
    fn can_go_on(&self) -> bool {
        let is_allowed =
            self.route.repeat == Repeat::ResumableStream && self.sends < self.route.max_attempts;
        if !is_allowed {
            return false;
        }
        let now = eelgrasshill_ports::BootClock.now();
        let has_budget = self.shared.desk().retries.allows(&self.target, now);
        has_budget && self.choose().is_ok()
    }

    /// Goes on after the last event that was passed on, while that is allowed.
    async fn resume(&mut self, last: Option<u64>, sender: &Sender) -> Option<Events<W>> {
        if self.route.repeat != Repeat::ResumableStream {
            return None;
        }
        while self.may_repeat() && !sender.is_closed() {
            let found = match self.choose() {
                Ok(found) => found,
                Err(refusal) => {
                    log::info!(
                        "request: id={} cannot go on: {}",
                        self.ask.id,
                        refusal.cause
                    );
                    return None;
                }
            };
            // Nobody could go on after the last engine, so it is given all the time that is left.
            let is_last = self.sends + 1 >= self.route.max_attempts;
            let bound = if is_last {
                self.left()
            } else {
                self.left().min(SILENCE)
            };
            let sent = tokio::select! {
                sent = self.send(&found.upstream, last, bound) => sent,
                () = sender.closed() => return None,
            };
            match sent {
                Ok(mut run) if run.response.status().is_success() => {
                    run.guard.begin();
                    return Some(Events {
                        run,
                        splitter: EventSplitter::new(last),
                    });
                }
                Ok(mut run) => run.guard.set_outcome(Outcome::Failed),
                Err(failure) => {
                    log::info!("request: id={} resume failed: {failure:?}", self.ask.id);
                }
            }
        }
        None
    }

    fn log_stream(&self, end: &str, runs: u32, last: Option<u64>) {
        crate::telemetry::finished(&self.route, end);
        log::info!(
            "request: id={} route={} stream {end} runs={runs} last={last:?} ms={}",
            self.ask.id,
            self.route.name,
            eelgrasshill_ports::BootClock
                .now()
                .since(self.arrived)
                .as_millis()
        );
    }
}
