//! Health of the upstreams, judged from this host's own traffic.
//!
//! Open connections can go silent for good while new ones work. Silence alone therefore only
//! starts probing: the upstream gets one request at a time, over a new connection, until one
//! answers. A failed connect, or silence on a connection opened during the probing, makes the
//! upstream suspected. A suspicion ends after a while, longer each time, and probing starts again.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment, scalar};

use crate::TicketId;

/// Duration of the first suspicion; each further one doubles it.
const MIN_SUSPICION: Duration = Duration::from_millis(500);

/// Longest duration of a suspicion.
const MAX_SUSPICION: Duration = Duration::from_secs(8);

/// Maximum exponent of the doubling, which keeps the shift from overflowing.
///
/// The longest duration is reached before it.
const MAX_SUSPICION_DOUBLINGS: u32 = 8;

/// Time for which an upstream counts as leaving after it said so.
const LEAVING_TTL: Duration = Duration::from_mins(1);

scalar! {
    /// Outcome of one connection to an upstream.
    pub enum ConnectionOutcome {
        /// The connection could not be opened.
        ConnectFailed,
        /// The connection brought no byte or ping within its timeout.
        Silent {
            /// Time at which the connection was opened.
            opened: Moment,
        },
        /// The connection brought a byte of an answer.
        Answered {
            /// Time at which the connection was opened.
            opened: Moment,
        },
        /// The upstream said that it is leaving.
        Leaving,
    }

    /// Whether an upstream may get a request.
    pub enum HealthState {
        /// It may get any number of requests.
        #[serde(rename = "open")]
        Healthy,
        /// It may get one request at a time, over a new connection.
        #[serde(rename = "trial")]
        Probing,
        /// It gets no requests for now.
        Suspected,
        /// It gets no more requests.
        Leaving,
    }
}

/// Doubt about an upstream: it is probed, or gets no requests until a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Suspicion {
    Probing { since: Moment },
    Suspected { until: Moment },
}

#[derive(Clone, Debug, Default)]
struct HostHealth {
    suspicion: Option<Suspicion>,
    failures: u32,
    probe: Option<TicketId>,
    leaving_until: Option<Moment>,
}

/// Health of each upstream as this host has seen it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    hosts: FastMap<HostName, HostHealth>,
}

impl Health {
    /// Makes a record in which every upstream is healthy.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the outcome of a connection to an upstream.
    pub fn observe(&mut self, host: &HostName, outcome: ConnectionOutcome, now: Moment) {
        let health = self.hosts.entry(host.clone()).or_default();
        match outcome {
            ConnectionOutcome::ConnectFailed => health.suspect(now),
            ConnectionOutcome::Silent { opened } => health.record_silence(opened, now),
            ConnectionOutcome::Answered { opened } => health.record_answer(opened),
            ConnectionOutcome::Leaving => health.leaving_until = Some(now.after(LEAVING_TTL)),
        }
        if health.suspicion.is_none() && health.leaving_until.is_none() {
            self.hosts.remove(host);
        }
    }

    /// Returns whether an upstream may get a request now.
    #[must_use]
    pub fn state(&self, host: &HostName, now: Moment) -> HealthState {
        let Some(health) = self.hosts.get(host) else {
            return HealthState::Healthy;
        };
        if health.leaving_until.is_some_and(|until| now < until) {
            return HealthState::Leaving;
        }
        match health.suspicion {
            None => HealthState::Healthy,
            Some(Suspicion::Suspected { until }) if now < until => HealthState::Suspected,
            Some(_) if health.probe.is_some() => HealthState::Suspected,
            Some(_) => HealthState::Probing,
        }
    }

    /// Returns when the next suspicion ends.
    #[must_use]
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        let expiries = self
            .hosts
            .values()
            .filter_map(|health| match health.suspicion {
                Some(Suspicion::Suspected { until }) => Some(until),
                Some(Suspicion::Probing { .. }) | None => None,
            });
        expiries.filter(|until| *until > now).min()
    }

    pub(crate) fn start_probe(&mut self, host: &HostName, ticket: TicketId, now: Moment) {
        let Some(health) = self.hosts.get_mut(host) else {
            return;
        };
        if health.suspicion.is_some() {
            health.probe = Some(ticket);
            health.suspicion = Some(Suspicion::Probing { since: now });
        }
    }

    pub(crate) fn end_probe(&mut self, host: &HostName, ticket: TicketId) {
        if let Some(health) = self.hosts.get_mut(host)
            && health.probe == Some(ticket)
        {
            health.probe = None;
        }
    }
}

impl HostHealth {
    fn suspect(&mut self, now: Moment) {
        // Requests that fail together count as one failure.
        if matches!(self.suspicion, Some(Suspicion::Suspected { until }) if now < until) {
            return;
        }
        let duration =
            MIN_SUSPICION.saturating_mul(1 << self.failures.min(MAX_SUSPICION_DOUBLINGS));
        self.failures += 1;
        self.probe = None;
        self.suspicion = Some(Suspicion::Suspected {
            until: now.after(duration.min(MAX_SUSPICION)),
        });
    }

    fn record_silence(&mut self, opened: Moment, now: Moment) {
        match self.suspicion {
            None => self.suspicion = Some(Suspicion::Probing { since: now }),
            Some(Suspicion::Probing { since }) if opened >= since => self.suspect(now),
            Some(Suspicion::Probing { .. } | Suspicion::Suspected { .. }) => {}
        }
    }

    fn record_answer(&mut self, opened: Moment) {
        // A connection opened before the probing says nothing about new ones.
        if matches!(self.suspicion, Some(Suspicion::Probing { since }) if opened < since) {
            return;
        }
        self.suspicion = None;
        self.failures = 0;
        self.probe = None;
    }
}
