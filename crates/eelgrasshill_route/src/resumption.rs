//! One streamed answer over as many connections as it takes.
//!
//! Each connection is an [`Attempt`] of its own and gives tokens with their index and the id of
//! their request. What does not carry on from the last forwarded token never reaches the caller:
//! a repeated token is dropped, and a gap or another request's token ends the connection. The
//! answer is then resumed on the same upstream, or on another one that gets the prompt and the
//! tokens so far; late events of an earlier attempt are ignored, since two engines may go on
//! from the same prefix in different ways.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment, Repeat, RequestId};

use crate::ClassBounds;
use crate::stream::{
    Attempt, LeaveCause, ResumeAt, ResumeSettings, StreamAction, StreamEvent, StreamFailure,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    Ended,
}

/// The state machine of one streamed answer.
#[derive(Clone, Debug)]
pub struct Resumption<T> {
    request: RequestId,
    repeat: Repeat,
    settings: ResumeSettings,
    silence: Duration,
    deadline: Moment,
    heard: Moment,
    attempt: Attempt,
    host: HostName,
    avoid: Vec<HostName>,
    leaving: bool,
    barren: u32,
    resumes: u32,
    tokens: Vec<T>,
    phase: Phase,
}

impl<T: Clone> Resumption<T> {
    /// Starts the first attempt of an answer on an upstream.
    #[must_use]
    pub fn new(
        request: RequestId,
        repeat: Repeat,
        bounds: &ClassBounds,
        host: HostName,
        now: Moment,
    ) -> Self {
        Self {
            request,
            repeat,
            settings: ResumeSettings::default(),
            silence: bounds.silence,
            deadline: now.after(bounds.whole_answer),
            heard: now,
            attempt: Attempt::default(),
            host,
            avoid: Vec::new(),
            leaving: false,
            barren: 0,
            resumes: 0,
            tokens: Vec::new(),
            phase: Phase::Running,
        }
    }

    /// Sets how often the answer may be resumed.
    #[must_use]
    pub fn with_settings(mut self, settings: ResumeSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets when the caller must have the whole answer.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Moment) -> Self {
        self.deadline = deadline;
        self
    }

    /// Returns the tokens that the caller has, for replay on another upstream.
    #[must_use]
    pub fn tokens(&self) -> &[T] {
        &self.tokens
    }

    /// Returns the number of the present attempt.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the upstream of the present attempt.
    #[must_use]
    pub fn host(&self) -> &HostName {
        &self.host
    }

    /// Returns whether the answer ended, whole or not.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns when [`StreamEvent::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Moment> {
        let silent = self.heard.after(self.silence);
        (!self.is_ended()).then(|| silent.min(self.deadline))
    }

    /// Notes the upstream that the present attempt is opened on.
    pub fn begin(&mut self, host: HostName, now: Moment) {
        self.leaving = false;
        self.host = host;
        self.heard = now;
    }

    /// Takes in an event of an attempt and returns what to do.
    pub fn step(
        &mut self,
        attempt: Attempt,
        event: StreamEvent<T>,
        now: Moment,
    ) -> Option<StreamAction<T>> {
        if self.is_ended() {
            return None;
        }
        match event {
            StreamEvent::CallerGone => return Some(self.end(StreamAction::Cancel)),
            StreamEvent::Tick => return self.tick(now),
            _ if now >= self.deadline => return self.tick(now),
            _ if attempt != self.attempt => return None,
            StreamEvent::Opened | StreamEvent::Ping => self.heard = now,
            StreamEvent::Leaving => self.leaving = true,
            StreamEvent::Failed => return Some(self.leave(LeaveCause::Failed, now)),
            StreamEvent::Chunk {
                request,
                index,
                text,
            } => return self.chunk(&request, index, text, now),
            StreamEvent::Done { request, total } => return Some(self.done(&request, total, now)),
        }
        None
    }

    fn next(&self) -> u64 {
        self.tokens.len() as u64
    }

    fn chunk(
        &mut self,
        request: &RequestId,
        index: u64,
        text: T,
        now: Moment,
    ) -> Option<StreamAction<T>> {
        if *request != self.request {
            return Some(self.leave(LeaveCause::Crossed, now));
        }
        self.heard = now;
        if index > self.next() {
            return Some(self.leave(LeaveCause::Gap, now));
        }
        if index < self.next() {
            return None;
        }
        self.barren = 0;
        self.tokens.push(text.clone());
        Some(StreamAction::Forward { index, text })
    }

    fn done(&mut self, request: &RequestId, total: u64, now: Moment) -> StreamAction<T> {
        if *request != self.request {
            return self.leave(LeaveCause::Crossed, now);
        }
        if total != self.next() {
            return self.leave(LeaveCause::Total, now);
        }
        self.end(StreamAction::Finish)
    }

    fn tick(&mut self, now: Moment) -> Option<StreamAction<T>> {
        if now >= self.deadline {
            return Some(self.end(StreamAction::Fail(StreamFailure::Deadline)));
        }
        if now.since(self.heard) >= self.silence {
            return Some(self.leave(LeaveCause::Silent, now));
        }
        None
    }

    fn leave(&mut self, cause: LeaveCause, now: Moment) -> StreamAction<T> {
        if self.repeat == Repeat::Never {
            return self.end(StreamAction::Fail(StreamFailure::NotRepeatable));
        }
        if self.barren >= self.settings.barren || self.resumes >= self.settings.total {
            return self.end(StreamAction::Fail(StreamFailure::ResumesSpent));
        }
        let at = self.resume_at();
        self.barren += 1;
        self.resumes += 1;
        self.attempt.0 += 1;
        self.heard = now;
        StreamAction::Resume {
            cause,
            attempt: self.attempt,
            from: self.next(),
            at,
        }
    }

    /// Returns the same upstream for a first failure, and another after a barren attempt.
    fn resume_at(&mut self) -> ResumeAt {
        if self.barren == 0 && !self.leaving {
            return ResumeAt::Same(self.host.clone());
        }
        if !self.avoid.contains(&self.host) {
            self.avoid.push(self.host.clone());
        }
        ResumeAt::Other {
            avoid: self.avoid.clone(),
        }
    }

    fn end(&mut self, action: StreamAction<T>) -> StreamAction<T> {
        self.phase = Phase::Ended;
        action
    }
}
