//! State machine of one streamed answer, received over as many connections as needed.
//!
//! Each connection is an [`Attempt`] and brings tokens with their index and their request's id. A
//! token reaches the caller only if it follows the last one forwarded: a repeated token is
//! dropped, and a gap or another request's token ends the connection. The answer is then resumed
//! on the same upstream, or on another one that gets the prompt and the tokens so far. Late events
//! of an earlier attempt are ignored, since two engines may continue the same prefix differently.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment, Repeat, RequestId};

use crate::ClassTimeouts;
use crate::stream::{
    Attempt, DisconnectCause, ResumeAt, ResumeSettings, StreamAction, StreamEvent, StreamFailure,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamPhase {
    Running,
    Ended,
}

/// A streamed answer that is resumed when its connection fails.
#[derive(Clone, Debug)]
pub struct ResumableStream<T> {
    request: RequestId,
    repeat: Repeat,
    settings: ResumeSettings,
    idle_timeout: Duration,
    deadline: Moment,
    /// When the current attempt's upstream counts as silent.
    idle_at: Moment,
    attempt: Attempt,
    host: HostName,
    avoid: Vec<HostName>,
    leaving: bool,
    /// Resumes since the last new token.
    consecutive: u32,
    resumes: u32,
    tokens: Vec<T>,
    phase: StreamPhase,
}

impl<T: Clone> ResumableStream<T> {
    /// Makes the state of an answer whose first attempt goes to `host`.
    #[must_use]
    pub fn new(
        request: RequestId,
        repeat: Repeat,
        timeouts: &ClassTimeouts,
        host: HostName,
        now: Moment,
    ) -> Self {
        Self {
            request,
            repeat,
            settings: ResumeSettings::default(),
            idle_timeout: timeouts.idle,
            deadline: now.after(timeouts.whole_answer),
            idle_at: now.after(timeouts.idle),
            attempt: Attempt::default(),
            host,
            avoid: Vec::new(),
            leaving: false,
            consecutive: 0,
            resumes: 0,
            tokens: Vec::new(),
            phase: StreamPhase::Running,
        }
    }

    /// Sets how often the answer may be resumed.
    #[must_use]
    pub fn with_settings(mut self, settings: ResumeSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets the time by which the caller must have the whole answer.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Moment) -> Self {
        self.deadline = deadline;
        self
    }

    /// Returns the tokens forwarded so far, for replay on another upstream.
    #[must_use]
    pub fn tokens(&self) -> &[T] {
        &self.tokens
    }

    /// Returns the number of the current attempt.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the upstream of the current attempt.
    #[must_use]
    pub fn host(&self) -> &HostName {
        &self.host
    }

    /// Returns whether the answer has ended, complete or not.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.phase == StreamPhase::Ended
    }

    /// Returns when [`StreamEvent::Tick`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Moment> {
        (!self.is_ended()).then(|| self.idle_at.min(self.deadline))
    }

    /// Moves the end of the idle timeout to `until`, if it is due before.
    ///
    /// For a time in which the connection was not read: the upstream was not silent then. The next
    /// event starts the idle timeout again.
    pub fn extend_idle(&mut self, until: Moment) {
        self.idle_at = self.idle_at.max(until);
    }

    /// Begins the current attempt on an upstream.
    pub fn begin_attempt(&mut self, host: HostName, now: Moment) {
        self.leaving = false;
        self.host = host;
        self.restart_idle(now);
    }

    /// Applies an event of an attempt and returns the action it requires, if any.
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
            StreamEvent::Opened | StreamEvent::Ping => self.restart_idle(now),
            StreamEvent::Leaving => self.leaving = true,
            StreamEvent::Failed => return Some(self.disconnect(DisconnectCause::Failed, now)),
            StreamEvent::Chunk {
                request,
                index,
                text,
            } => return self.chunk(&request, index, text, now),
            StreamEvent::Done { request, total } => return Some(self.done(&request, total, now)),
        }
        None
    }

    fn restart_idle(&mut self, now: Moment) {
        self.idle_at = now.after(self.idle_timeout);
    }

    fn next_index(&self) -> u64 {
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
            return Some(self.disconnect(DisconnectCause::WrongRequest, now));
        }
        self.restart_idle(now);
        if index > self.next_index() {
            return Some(self.disconnect(DisconnectCause::Gap, now));
        }
        if index < self.next_index() {
            return None;
        }
        self.consecutive = 0;
        self.tokens.push(text.clone());
        Some(StreamAction::Forward { index, text })
    }

    fn done(&mut self, request: &RequestId, total: u64, now: Moment) -> StreamAction<T> {
        if *request != self.request {
            return self.disconnect(DisconnectCause::WrongRequest, now);
        }
        if total != self.next_index() {
            return self.disconnect(DisconnectCause::WrongTotal, now);
        }
        self.end(StreamAction::Finish)
    }

    fn tick(&mut self, now: Moment) -> Option<StreamAction<T>> {
        if now >= self.deadline {
            return Some(self.end(StreamAction::Fail(StreamFailure::Deadline)));
        }
        if now >= self.idle_at {
            return Some(self.disconnect(DisconnectCause::Silent, now));
        }
        None
    }

    fn disconnect(&mut self, cause: DisconnectCause, now: Moment) -> StreamAction<T> {
        if self.repeat == Repeat::Never {
            return self.end(StreamAction::Fail(StreamFailure::NotRepeatable));
        }
        if self.consecutive >= self.settings.max_consecutive
            || self.resumes >= self.settings.max_total
        {
            return self.end(StreamAction::Fail(StreamFailure::ResumesExhausted));
        }
        let at = self.resume_at();
        self.consecutive += 1;
        self.resumes += 1;
        self.attempt.0 += 1;
        self.restart_idle(now);
        StreamAction::Resume {
            cause,
            attempt: self.attempt,
            from: self.next_index(),
            at,
        }
    }

    /// Chooses the same upstream for a first resume, and another after an attempt without tokens.
    ///
    /// An upstream that is leaving is not chosen again.
    fn resume_at(&mut self) -> ResumeAt {
        if self.consecutive == 0 && !self.leaving {
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
        self.phase = StreamPhase::Ended;
        action
    }
}
