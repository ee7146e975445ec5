//! A graceful shutdown that cuts off no request.
//!
//! The balancer needs time to see that the host is not ready, and goes on sending until then.
//! So the host first only says that it is not ready, then takes no new connections, and ends
//! once its last request has ended or the bound has passed.

use std::time::Duration;

use eelgrasshill_domain::{Moment, record, scalar};

record! {
    /// How long each state of a drain may take.
    ///
    /// The bound has to be longer than the longest whole answer of any class, or it cuts some off.
    #[derive(Copy)]
    pub struct DrainSettings {
        /// Time for the balancer to see that the host is not ready.
        pub notice: Duration,
        /// Longest time from the begin of the drain to the exit.
        pub bound: Duration,
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(5),
            bound: Duration::from_mins(46),
        }
    }
}

scalar! {
    /// How far a drain has come.
    pub enum DrainState {
        /// The host serves and is ready.
        Ready,
        /// The host serves, and its balancer is told to stop sending.
        NotReady,
        /// The host takes no new connection and ends what it has.
        NoNewConnections,
        /// No request is left.
        Empty,
        /// The bound has passed with requests left.
        Overrun,
    }

    /// What happened to a host.
    pub enum DrainEvent {
        /// It was told to stop.
        Begin,
        /// A request arrived and is served.
        Opened,
        /// A request ended.
        Closed,
        /// Time passed.
        Tick,
    }

    /// What the host has to do.
    pub enum DrainAction {
        /// Answer the balancer's check with "not ready".
        ShowNotReady,
        /// Close the listening sockets and end idle connections.
        StopListening,
        /// Give back what is held and exit with status 0.
        Exit,
        /// Give back what is held and exit with an error.
        Abort,
    }

    /// What becomes of a request that arrives.
    pub enum Admission {
        /// It is served.
        Serve,
        /// It is served and its connection closed after the answer.
        ServeLast,
        /// It is refused as not run.
        Refuse,
    }
}

/// The state machine of one host's shutdown.
#[derive(Clone, Debug)]
pub struct Drain {
    settings: DrainSettings,
    state: DrainState,
    begun: Moment,
    open: usize,
}

impl Drain {
    /// Starts as a ready host without requests.
    #[must_use]
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            settings,
            state: DrainState::Ready,
            begun: Moment::default(),
            open: 0,
        }
    }

    /// Returns how far the drain has come.
    #[must_use]
    pub fn state(&self) -> DrainState {
        self.state
    }

    /// Returns what becomes of a request that arrives now.
    #[must_use]
    pub fn admission(&self) -> Admission {
        match self.state {
            DrainState::Ready => Admission::Serve,
            DrainState::NotReady | DrainState::NoNewConnections => Admission::ServeLast,
            DrainState::Empty | DrainState::Overrun => Admission::Refuse,
        }
    }

    /// Returns when the next state may begin without another event.
    #[must_use]
    pub fn next_wake(&self) -> Option<Moment> {
        match self.state {
            DrainState::NotReady => Some(self.begun.after(self.settings.notice)),
            DrainState::NoNewConnections => Some(self.begun.after(self.settings.bound)),
            DrainState::Ready | DrainState::Empty | DrainState::Overrun => None,
        }
    }

    /// Takes in an event and returns what to do.
    pub fn step(&mut self, event: DrainEvent, now: Moment) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        match event {
            DrainEvent::Begin if self.state == DrainState::Ready => {
                self.state = DrainState::NotReady;
                self.begun = now;
                actions.push(DrainAction::ShowNotReady);
            }
            DrainEvent::Begin | DrainEvent::Tick => {}
            DrainEvent::Opened => self.open += 1,
            DrainEvent::Closed => self.open = self.open.saturating_sub(1),
        }
        self.advance(now, &mut actions);
        actions
    }

    fn advance(&mut self, now: Moment, actions: &mut Vec<DrainAction>) {
        let passed = now.since(self.begun);
        if self.state == DrainState::NotReady && passed >= self.settings.notice {
            self.state = DrainState::NoNewConnections;
            actions.push(DrainAction::StopListening);
        }
        if self.state != DrainState::NoNewConnections {
            return;
        }
        if self.open == 0 {
            self.state = DrainState::Empty;
            actions.push(DrainAction::Exit);
        } else if passed >= self.settings.bound {
            self.state = DrainState::Overrun;
            actions.push(DrainAction::Abort);
        }
    }
}
