//! State machine for a graceful shutdown that cuts off no request.
//!
//! The load balancer keeps sending requests until it sees that the host is not ready. So the host
//! first only reports that it is not ready, then takes no new connections, and exits once its last
//! request has ended or the timeout has passed.

use std::time::Duration;

use eelgrasshill_domain::{Moment, record, scalar};

record! {
    /// Durations of the phases of a drain.
    ///
    /// A `timeout` shorter than the longest whole answer of any class cuts off answers.
    #[derive(Copy)]
    pub struct DrainSettings {
        /// Time from reporting "not ready" to closing the listening sockets.
        ///
        /// The load balancer has to notice the change within it.
        #[serde(rename = "notice")]
        pub readiness_delay: Duration,
        /// Longest time from the start of the drain to the exit.
        #[serde(rename = "bound")]
        pub timeout: Duration,
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            readiness_delay: Duration::from_secs(5),
            timeout: Duration::from_mins(46),
        }
    }
}

scalar! {
    /// Phase of a host's drain.
    pub enum DrainState {
        /// The host serves and is ready.
        Ready,
        /// The host serves, and tells its load balancer to stop sending.
        NotReady,
        /// The host takes no new connections and finishes its open requests.
        NoNewConnections,
        /// All requests have ended.
        #[serde(rename = "empty")]
        Drained,
        /// The timeout has passed with requests still open.
        #[serde(rename = "overrun")]
        TimedOut,
    }

    /// Event that can move a drain forward.
    pub enum DrainEvent {
        /// The host was told to shut down.
        Begin,
        /// The host began to serve a request.
        #[serde(rename = "opened")]
        RequestStarted,
        /// A request that was served has ended.
        #[serde(rename = "closed")]
        RequestEnded,
        /// The time given by [`Drain::next_wake`] was reached.
        Tick,
    }

    /// Instruction to the host that drains.
    pub enum DrainAction {
        /// Answer the load balancer's readiness check with "not ready".
        ShowNotReady,
        /// Close the listening sockets and the idle connections.
        StopListening,
        /// Release leases and other held resources, and exit with status 0.
        Exit,
        /// Release leases and other held resources, and exit with an error.
        Abort,
    }

    /// Whether an arriving request is served.
    pub enum DrainDecision {
        /// The request is served and its connection kept open.
        Serve,
        /// The request is served and its connection closed after the answer.
        #[serde(rename = "serve-last")]
        ServeAndClose,
        /// The request is refused as not run.
        Refuse,
    }
}

/// State machine of one host's graceful shutdown.
#[derive(Clone, Debug)]
pub struct Drain {
    settings: DrainSettings,
    state: DrainState,
    started_at: Moment,
    open_requests: usize,
}

impl Drain {
    /// Makes the state machine of a ready host without open requests.
    #[must_use]
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            settings,
            state: DrainState::Ready,
            started_at: Moment::default(),
            open_requests: 0,
        }
    }

    /// Returns the current phase of the drain.
    #[must_use]
    pub fn state(&self) -> DrainState {
        self.state
    }

    /// Returns whether a request that arrives now is served.
    #[must_use]
    pub fn decision(&self) -> DrainDecision {
        match self.state {
            DrainState::Ready => DrainDecision::Serve,
            DrainState::NotReady | DrainState::NoNewConnections => DrainDecision::ServeAndClose,
            DrainState::Drained | DrainState::TimedOut => DrainDecision::Refuse,
        }
    }

    /// Returns when [`DrainEvent::Tick`] is due, if any time-out is pending.
    #[must_use]
    pub fn next_wake(&self) -> Option<Moment> {
        match self.state {
            DrainState::NotReady => Some(self.started_at.after(self.settings.readiness_delay)),
            DrainState::NoNewConnections => Some(self.started_at.after(self.settings.timeout)),
            DrainState::Ready | DrainState::Drained | DrainState::TimedOut => None,
        }
    }

    /// Applies an event and returns what the host has to do, in order.
    pub fn step(&mut self, event: DrainEvent, now: Moment) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        match event {
            DrainEvent::Begin if self.state == DrainState::Ready => {
                self.state = DrainState::NotReady;
                self.started_at = now;
                actions.push(DrainAction::ShowNotReady);
            }
            DrainEvent::Begin | DrainEvent::Tick => {}
            DrainEvent::RequestStarted => self.open_requests += 1,
            DrainEvent::RequestEnded => self.open_requests = self.open_requests.saturating_sub(1),
        }
        self.advance(now, &mut actions);
        actions
    }

    fn advance(&mut self, now: Moment, actions: &mut Vec<DrainAction>) {
        let elapsed = now.since(self.started_at);
        if self.state == DrainState::NotReady && elapsed >= self.settings.readiness_delay {
            self.state = DrainState::NoNewConnections;
            actions.push(DrainAction::StopListening);
        }
        if self.state != DrainState::NoNewConnections {
            return;
        }
        if self.open_requests == 0 {
            self.state = DrainState::Drained;
            actions.push(DrainAction::Exit);
        } else if elapsed >= self.settings.timeout {
            self.state = DrainState::TimedOut;
            actions.push(DrainAction::Abort);
        }
    }
}
