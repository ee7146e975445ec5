//! Passes a stream's events on as they arrive, and resumes it on another engine if it breaks off.
//!
//! A stream is resumed after the last complete event that was passed on, if its route allows it, an
//! attempt is left and the retry budget permits. Otherwise the caller's connection is cut without
//! the last chunk, so that a broken stream does not look complete. A silent upstream keeps its
//! stream until another one may work on it, and is then given up.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpResponse;
use bytes::Bytes;
use derive_more::{Display, Error};
use eelgrasshill_domain::Moment;
use eelgrasshill_ports::{BootClock, CallError, MemoryLease};
use eelgrasshill_relay::{
    EventSplitter, LaterAttempt, REFUSAL_WINDOW, Repeat, RequestOutcome, SilencePolicy, has_content,
};
use http_body_util::BodyExt;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::sync::{Notify, mpsc};
use tokio_stream::wrappers::ReceiverStream;

use crate::codec::PlatformCodec;
use crate::refusal::RefusalCause;
use crate::relayed::{
    IncomingAnswer, RelayedRequest, SILENCE_CHECK_INTERVAL, SendFailure, start_response,
};
use crate::telemetry;
use crate::timeout::{READ_TIME, timeout_after_read};

/// Timeout of an attempt to resume a stream while another attempt is left.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a caller may take to read the end of a stream that is cut.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which the server writes the events that it has taken from the channel.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of intervals between events that are kept of a stream.
const MAX_INTERVALS: usize = 64;

/// Maximum number of chunks that wait for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 8;

/// Error of a stream that could not be finished.
///
/// It makes the server end the caller's connection without the last chunk.
#[derive(Debug, Display, Error)]
#[display("the stream broke off")]
pub struct BrokenStream;

type BodySender = mpsc::Sender<Result<Bytes, BrokenStream>>;

/// How one upstream's part of a stream ended.
enum StreamEnd {
    /// The upstream ended the stream after its last event.
    Complete,
    /// The caller closed its connection.
    Deserted,
    /// The upstream fell silent, and another one may take the stream.
    Silent,
    /// The upstream broke off, or no time is left.
    Broken,
}

/// Why the caller's connection ends before its stream does.
#[derive(Clone, Copy, Debug, Display)]
enum CutCause {
    /// The caller has left.
    #[display("deserted")]
    Deserted,
    /// The upstream broke off, and the route allows no resumption.
    #[display("not-resumable")]
    NotResumable,
    /// No attempt, no time or no retry budget is left.
    #[display("no-attempt")]
    NoAttempt,
    /// No other upstream can take the stream, for this reason.
    #[display("{_0}")]
    NoUpstream(RefusalCause),
}

/// Waits until the events that were passed on have reached the caller.
///
/// An error of the body drops everything that the server has not written yet.
async fn flush_events(sender: &BodySender) {
    let waiting = async {
        while sender.capacity() < MAX_QUEUED_CHUNKS && !sender.is_closed() {
            tokio::time::sleep(WRITE_INTERVAL).await;
        }
        tokio::time::sleep(WRITE_INTERVAL).await;
    };
    if tokio::time::timeout(FLUSH_TIMEOUT, waiting).await.is_err() {
        log::info!(
            "request: a caller did not read its stream within {FLUSH_TIMEOUT:?}, \
             the rest is dropped"
        );
    }
}

/// Result of reading the next events of an upstream's answer.
enum ReadOutcome {
    Events(Bytes),
    End,
    Broken(CallError),
}

/// Reader of the complete events of one upstream's answer.
struct EventReader<C: PlatformCodec> {
    incoming: IncomingAnswer<C>,
    splitter: EventSplitter,
    // Complete events, while the memory of the next one is charged.
    whole: Option<Bytes>,
    // Memory of the event that is not complete.
    memory: MemoryLease,
    // When the stream last made progress.
    progress_at: Moment,
    // When the upstream was last found to be silent, since then.
    silent_at: Option<Moment>,
    // Times between the first events.
    intervals: Vec<Duration>,
    longest_pause: Duration,
    has_started: bool,
    // Whether only the end of the connection ends the stream.
    is_unframed: bool,
    // Whether the stream made progress after its first event.
    goes_on: bool,
    started_at: Moment,
}

impl<C: PlatformCodec> EventReader<C> {
    fn new(incoming: IncomingAnswer<C>, last_event: Option<u64>, memory: MemoryLease) -> Self {
        let headers = incoming.response.headers();
        let is_unframed =
            !headers.contains_key(TRANSFER_ENCODING) && !headers.contains_key(CONTENT_LENGTH);
        Self {
            incoming,
            is_unframed,
            memory,
            splitter: EventSplitter::new(last_event),
            whole: None,
            progress_at: BootClock.now(),
            silent_at: None,
            intervals: Vec::new(),
            longest_pause: Duration::ZERO,
            has_started: false,
            goes_on: false,
            started_at: BootClock.now(),
        }
    }

    /// Closes the connection, after which the upstream does not go on with the stream.
    async fn give_up(self) {
        let IncomingAnswer {
            connection,
            mut guard,
            ..
        } = self.incoming;
        guard.set_outcome(RequestOutcome::Failed);
        connection.close().await;
    }

    fn record_progress(&mut self, now: Moment) {
        let interval = now.since(self.progress_at);
        self.progress_at = now;
        let was_silent = self.silent_at.take().is_some();
        // The time until the first event says nothing about the steps of the stream.
        if !std::mem::replace(&mut self.has_started, true) {
            return;
        }
        self.goes_on = true;
        self.longest_pause = self.longest_pause.max(interval);
        if !was_silent && self.intervals.len() < MAX_INTERVALS {
            self.intervals.push(interval);
        }
    }

    /// Returns for how long the stream has made no progress.
    fn silence(&self) -> Duration {
        BootClock.now().since(self.progress_at)
    }

    /// Returns the time until the upstream counts as silent, again if it did before.
    fn time_until_silent(&self, limit: Duration) -> Duration {
        match self.silent_at {
            // A caller that read nothing may have kept this host from reading.
            None => limit.saturating_sub(self.silence()).max(READ_TIME),
            Some(at) => SILENCE_CHECK_INTERVAL.saturating_sub(BootClock.now().since(at)),
        }
    }

    async fn next(&mut self, bound: Duration) -> ReadOutcome {
        let address = self.incoming.upstream.address;
        let lost = |cause: String| {
            ReadOutcome::Broken(CallError::Lost {
                address: address.to_string(),
                cause,
            })
        };
        let malformed = |cause: String| {
            ReadOutcome::Broken(CallError::Malformed {
                address: address.to_string(),
                cause,
            })
        };
        let read = async {
            if let Some(whole) = self.whole.take() {
                return ReadOutcome::Events(whole);
            }
            loop {
                match self.incoming.response.body_mut().frame().await {
                    None if self.splitter.has_partial() => return lost("event cut off".to_owned()),
                    // No engine ends a stream that it has not begun.
                    None if self.is_unframed && !self.has_started => {
                        return lost("closed before the first event".to_owned());
                    }
                    None => return ReadOutcome::End,
                    Some(Err(error)) => return lost(error.to_string()),
                    Some(Ok(frame)) => {
                        let Ok(bytes) = frame.into_data() else {
                            continue;
                        };
                        self.whole = self.splitter.push(&bytes);
                        if self.splitter.is_overlong() {
                            return malformed("too many bytes without a further event".to_owned());
                        }
                        let partial = self.splitter.partial_bytes();
                        if let Err(error) = self.memory.resize_charged(partial).await {
                            return malformed(error.to_string());
                        }
                        if let Some(whole) = self.whole.take() {
                            if has_content(&whole) {
                                self.record_progress(BootClock.now());
                            }
                            return ReadOutcome::Events(whole);
                        }
                    }
                }
            }
        };
        timeout_after_read(bound, read)
            .await
            .unwrap_or(ReadOutcome::Broken(CallError::Timeout {
                address: address.to_string(),
                timeout: bound,
            }))
    }
}

/// Waits until the upstream of a request that was sent can no longer refuse it in time.
async fn refusal_window(sent: &Notify) {
    sent.notified().await;
    tokio::time::sleep(REFUSAL_WINDOW).await;
}

/// Returns what an attempt's end says of whether its upstream works on the request.
fn later_attempt<T>(answer: &Result<T, SendFailure>) -> LaterAttempt {
    match answer {
        Err(SendFailure::Unsent | SendFailure::Quarantined(_)) => LaterAttempt::NotSent,
        Err(SendFailure::NotRun) => LaterAttempt::Refused,
        Err(
            SendFailure::Lost(_)
            | SendFailure::Failed
            | SendFailure::Unproven(_)
            | SendFailure::Unwritten,
        )
        | Ok(_) => LaterAttempt::MayHaveRun,
    }
}

/// Gives up the silent upstream of a stream, if it is still kept.
async fn give_up_earlier<C: PlatformCodec>(
    earlier: &mut Option<EventReader<C>>,
    id: &str,
    later: LaterAttempt,
) {
    let Some(events) = earlier.take() else {
        return;
    };
    telemetry::count_handover("given-up");
    log::info!(
        "request: id={id} upstream={} event={:?} silent={} is given up, later={later:?}",
        events.incoming.upstream.id,
        events.splitter.last(),
        events.silence().as_millis()
    );
    events.give_up().await;
}

impl<C: PlatformCodec> RelayedRequest<C> {
    /// Answers with the stream of an upstream that answered with success.
    ///
    /// # Errors
    ///
    /// Returns the request for another attempt if the stream broke off before its first event.
    pub async fn stream(
        mut self,
        incoming: IncomingAnswer<C>,
        first_bound: Duration,
    ) -> Result<HttpResponse, (Self, SendFailure)> {
        let mut response = start_response(incoming.response.status(), incoming.response.headers());
        let mut events = EventReader::new(incoming, self.metadata.last_event, self.lease_answer());
        let mut bound = first_bound;
        let first = loop {
            let next = events.next(bound.min(self.answer_time())).await;
            let is_timeout = matches!(next, ReadOutcome::Broken(CallError::Timeout { .. }));
            if !is_timeout || self.may_give_up() {
                break next;
            }
            bound = SILENCE_CHECK_INTERVAL;
        };
        let first = match first {
            ReadOutcome::Events(bytes) => bytes,
            ReadOutcome::End => Bytes::new(),
            ReadOutcome::Broken(error) => {
                events
                    .incoming
                    .guard
                    .set_outcome(RequestOutcome::Unreachable);
                events.incoming.connection.close().await;
                return Err((self, SendFailure::Lost(error)));
            }
        };
        let upstream = Arc::clone(&events.incoming.upstream);
        if !self.bind(&upstream).await {
            events.incoming.connection.close().await;
            return Err((self, SendFailure::Unwritten));
        }
        events
            .incoming
            .guard
            .record_first_event(self.metadata.model.as_ref());
        let now = BootClock.now();
        telemetry::record_first_event(&self.route, now.since(self.arrived_at));
        let leaving = self.shared.leaving().is_some();
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        if sender.try_send(Ok(first)).is_err() {
            log::error!(
                "request: id={} first event lost, the new channel is full",
                self.metadata.id
            );
        }
        actix_web::rt::spawn(async move {
            self.forward_stream(events, &sender).await;
        });
        if leaving {
            response.force_close();
        }
        Ok(response.streaming(ReceiverStream::new(receiver)))
    }

    /// Passes events on until the stream is complete, the caller left or it cannot be resumed.
    async fn forward_stream(&mut self, mut events: EventReader<C>, sender: &BodySender) {
        let mut runs = 1_u32;
        loop {
            let ended = self.forward_events(&mut events, sender).await;
            let last = events.splitter.last();
            let pause = events.longest_pause;
            let mut earlier = match ended {
                StreamEnd::Complete => {
                    events.incoming.guard.set_outcome(RequestOutcome::Success);
                    self.learn(&events, runs);
                    let IncomingAnswer {
                        connection,
                        answer_head,
                        ..
                    } = events.incoming;
                    self.keep_connection(connection, &answer_head);
                    self.log_stream("complete", runs, last, pause);
                    return;
                }
                StreamEnd::Deserted => {
                    self.log_stream("deserted", runs, last, pause);
                    return;
                }
                StreamEnd::Silent => Some(events),
                StreamEnd::Broken => {
                    events.give_up().await;
                    None
                }
            };
            let was_silent = earlier.is_some();
            let cause = match self.resume(last, sender, &mut earlier).await {
                Ok(next) => {
                    events = next;
                    runs += 1;
                    continue;
                }
                Err(cause) => cause,
            };
            if let Some(mut kept) = earlier {
                kept.silent_at = Some(BootClock.now());
                telemetry::count_handover("kept");
                log::info!(
                    "request: id={} upstream={} event={last:?} keeps the stream, \
                     no other took it: {cause}",
                    self.metadata.id,
                    kept.incoming.upstream.id
                );
                events = kept;
                continue;
            }
            if sender.is_closed() {
                self.log_stream("deserted", runs, last, pause);
            } else {
                telemetry::count_cut_stream(was_silent);
                log::info!(
                    "request: id={} sends={} stream cut, cause={cause} silent={was_silent}",
                    self.metadata.id,
                    self.sends
                );
                self.log_stream("broken", runs, last, pause);
            }
            flush_events(sender).await;
            // This fails only if the caller has left.
            let _deserted = sender.send(Err(BrokenStream)).await;
            return;
        }
    }

    async fn forward_events(
        &mut self,
        events: &mut EventReader<C>,
        sender: &BodySender,
    ) -> StreamEnd {
        loop {
            let limit = match self.route.repeat {
                Repeat::ResumableStream => events.time_until_silent(self.silence_policy().limit()),
                Repeat::Idempotent | Repeat::Once | Repeat::Stream => self.time_left(),
            };
            let next = tokio::select! {
                next = events.next(limit.min(self.time_left())) => next,
                () = sender.closed() => return StreamEnd::Deserted,
            };
            match next {
                ReadOutcome::Events(bytes) => {
                    if events.goes_on {
                        self.note_answered();
                    }
                    if sender.send(Ok(bytes)).await.is_err() {
                        return StreamEnd::Deserted;
                    }
                }
                ReadOutcome::End => {
                    self.note_answered();
                    return StreamEnd::Complete;
                }
                // A silent engine keeps the stream as long as no other could resume it.
                ReadOutcome::Broken(CallError::Timeout { .. })
                    if !self.time_left().is_zero() && !self.can_resume(events.silence()) =>
                {
                    events.silent_at = Some(BootClock.now());
                }
                ReadOutcome::Broken(error) => {
                    log::info!(
                        "request: id={} upstream={} event={:?} stream broke off: {error}",
                        self.metadata.id,
                        events.incoming.upstream.id,
                        events.splitter.last()
                    );
                    self.note_lost(&events.incoming.upstream, &error);
                    let is_silent = matches!(error, CallError::Timeout { .. });
                    return if is_silent && !self.time_left().is_zero() {
                        StreamEnd::Silent
                    } else {
                        StreamEnd::Broken
                    };
                }
            }
        }
    }

    fn silence_policy(&self) -> SilencePolicy {
        SilencePolicy::new(self.route.objective, self.route.max_pause)
    }

    /// Returns whether another engine could resume the stream at once, and send an event in time.
    fn can_resume(&self, silence: Duration) -> bool {
        let time = self
            .silence_policy()
            .time_to_go_on(silence, self.time_left());
        self.next_candidate(time)
            .is_some_and(|candidate| candidate.has_free_slot())
    }

    /// Resumes the stream after the last event that was passed on, if that is allowed.
    ///
    /// `earlier` is the silent upstream that has the stream, if any. It is given up once another one
    /// may work on the stream.
    ///
    /// # Errors
    ///
    /// Returns why no other upstream took the stream.
    async fn resume(
        &mut self,
        last: Option<u64>,
        sender: &BodySender,
        earlier: &mut Option<EventReader<C>>,
    ) -> Result<EventReader<C>, CutCause> {
        if self.route.repeat != Repeat::ResumableStream {
            return Err(CutCause::NotResumable);
        }
        while self.may_repeat() && !sender.is_closed() {
            let candidate = match self.choose() {
                // It may refuse the stream when the silent upstream has been given up.
                Ok(candidate) if earlier.is_some() && !candidate.has_free_slot() => {
                    return Err(CutCause::NoUpstream(RefusalCause::Overloaded));
                }
                Ok(candidate) => candidate,
                Err(refusal) => {
                    log::info!(
                        "request: id={} cannot go on: {}",
                        self.metadata.id,
                        refusal.cause
                    );
                    return Err(CutCause::NoUpstream(refusal.cause));
                }
            };
            // No other engine can follow the last attempt, so that gets all the time left.
            let is_last = self.sends + 1 >= self.route.max_attempts;
            let bound = if is_last {
                self.time_left()
            } else {
                self.time_left().min(RESUME_TIMEOUT)
            };
            let id = self.metadata.id.clone();
            let sent = Notify::new();
            let answer = {
                let upstream = &candidate.upstream;
                let mut sending = pin!(self.send_noting(upstream, last, bound, None, &sent));
                loop {
                    tokio::select! {
                        answer = &mut sending => break answer,
                        () = sender.closed() => return Err(CutCause::Deserted),
                        () = refusal_window(&sent), if earlier.is_some() => {
                            let later = LaterAttempt::Unanswered(REFUSAL_WINDOW);
                            give_up_earlier(earlier, &id, later).await;
                        }
                    }
                }
            };
            let later = later_attempt(&answer);
            if !later.keeps_earlier() {
                give_up_earlier(earlier, &id, later).await;
            }
            match answer {
                Ok(mut incoming) if incoming.response.status().is_success() => {
                    incoming.guard.record_answer_start();
                    let memory = self.lease_answer();
                    return Ok(EventReader::new(incoming, last, memory));
                }
                Ok(mut incoming) => incoming.guard.set_outcome(RequestOutcome::Failed),
                Err(failure) => {
                    log::info!(
                        "request: id={} resume failed: {failure:?}",
                        self.metadata.id
                    );
                    match &failure {
                        SendFailure::Quarantined(_) => {
                            return Err(CutCause::NoUpstream(RefusalCause::QuarantinedPart));
                        }
                        SendFailure::Lost(error) => self.note_lost(&candidate.upstream, error),
                        SendFailure::Unsent
                        | SendFailure::NotRun
                        | SendFailure::Failed
                        | SendFailure::Unwritten
                        | SendFailure::Unproven(_) => {}
                    }
                }
            }
        }
        Err(CutCause::NoAttempt)
    }

    /// Learns from a complete stream how long an event and the whole answer take.
    fn learn(&self, events: &EventReader<C>, runs: u32) {
        let mut state = self.shared.state();
        for interval in &events.intervals {
            state.event_intervals.record(&self.target_pool, *interval);
        }
        // A resumed stream holds its last slot for a part of the answer only.
        if runs == 1 {
            let time = BootClock.now().since(events.started_at);
            state
                .answer_times
                .record(&self.target_pool, &self.route.name, time);
        }
    }

    fn log_stream(&self, end: &str, runs: u32, last: Option<u64>, pause: Duration) {
        telemetry::count_stream_end(&self.route, end);
        log::info!(
            "request: id={} route={} stream {end} runs={runs} last={last:?} pause={} ms={}",
            self.metadata.id,
            self.route.name,
            pause.as_millis(),
            BootClock.now().since(self.arrived_at).as_millis()
        );
    }
}
