//! Suspicion of upstreams from this host's own traffic.
//!
//! Connections that are open can go silent for good while new ones work, so silence alone only
//! puts a host on trial: it gets one request at a time over a new connection until that answers.
//! A failed connect, or silence on a connection opened during the trial, makes it suspected. A
//! suspicion lapses, longer each time, and then the host is on trial again.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment, scalar};

use crate::TicketId;

/// How long the first suspicion lasts.
const MIN_LAPSE: Duration = Duration::from_millis(500);

/// How long a suspicion lasts at most.
const MAX_LAPSE: Duration = Duration::from_secs(8);

/// How long an upstream's own word that it leaves holds.
const LEAVING_LAPSE: Duration = Duration::from_mins(1);

scalar! {
    /// What this host's traffic shows of an upstream.
    pub enum Observation {
        /// No connection could be opened.
        ConnectFailed,
        /// A connection brought no byte or ping within its bound.
        Silent {
            /// When the connection was opened.
            opened: Moment,
        },
        /// A connection brought a byte of an answer.
        Answered {
            /// When the connection was opened.
            opened: Moment,
        },
        /// The upstream itself said that it leaves.
        Leaving,
    }

    /// Whether an upstream may get a request.
    pub enum Standing {
        /// It may get requests.
        Open,
        /// It may get one request at a time over a new connection.
        Trial,
        /// It gets none for now.
        Suspected,
        /// It gets none any more.
        Leaving,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    Trial { since: Moment },
    Suspected { until: Moment },
}

#[derive(Clone, Debug, Default)]
struct Record {
    doubt: Option<Doubt>,
    faults: u32,
    probe: Option<TicketId>,
    leaving: Option<Moment>,
}

/// What this host suspects of each upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: FastMap<HostName, Record>,
}

impl Health {
    /// Starts without any suspicion.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what this host's traffic showed of an upstream.
    pub fn observe(&mut self, host: &HostName, seen: Observation, now: Moment) {
        let record = self.records.entry(host.clone()).or_default();
        match seen {
            Observation::ConnectFailed => record.suspect(now),
            Observation::Silent { opened } => record.silent(opened, now),
            Observation::Answered { opened } => record.answered(opened),
            Observation::Leaving => record.leaving = Some(now.after(LEAVING_LAPSE)),
        }
        if record.doubt.is_none() && record.leaving.is_none() {
            self.records.remove(host);
        }
    }

    /// Returns whether an upstream may get a request now.
    #[must_use]
    pub fn standing(&self, host: &HostName, now: Moment) -> Standing {
        let Some(record) = self.records.get(host) else {
            return Standing::Open;
        };
        if record.leaving.is_some_and(|until| now < until) {
            return Standing::Leaving;
        }
        match record.doubt {
            None => Standing::Open,
            Some(Doubt::Suspected { until }) if now < until => Standing::Suspected,
            Some(_) if record.probe.is_some() => Standing::Suspected,
            Some(_) => Standing::Trial,
        }
    }

    /// Returns when the next suspicion lapses.
    #[must_use]
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        let lapses = self.records.values().filter_map(|r| match r.doubt {
            Some(Doubt::Suspected { until }) => Some(until),
            Some(Doubt::Trial { .. }) | None => None,
        });
        lapses.filter(|until| *until > now).min()
    }

    pub(crate) fn probe(&mut self, host: &HostName, ticket: TicketId, now: Moment) {
        let Some(record) = self.records.get_mut(host) else {
            return;
        };
        if record.doubt.is_some() {
            record.probe = Some(ticket);
            record.doubt = Some(Doubt::Trial { since: now });
        }
    }

    pub(crate) fn release(&mut self, host: &HostName, ticket: TicketId) {
        if let Some(record) = self.records.get_mut(host)
            && record.probe == Some(ticket)
        {
            record.probe = None;
        }
    }
}

impl Record {
    fn suspect(&mut self, now: Moment) {
        // Requests that fail together tell no more than the first of them.
        if matches!(self.doubt, Some(Doubt::Suspected { until }) if now < until) {
            return;
        }
        let lapse = MIN_LAPSE.saturating_mul(1 << self.faults.min(8));
        self.faults += 1;
        self.probe = None;
        self.doubt = Some(Doubt::Suspected {
            until: now.after(lapse.min(MAX_LAPSE)),
        });
    }

    fn silent(&mut self, opened: Moment, now: Moment) {
        match self.doubt {
            None => self.doubt = Some(Doubt::Trial { since: now }),
            Some(Doubt::Trial { since }) if opened >= since => self.suspect(now),
            Some(Doubt::Trial { .. } | Doubt::Suspected { .. }) => {}
        }
    }

    fn answered(&mut self, opened: Moment) {
        // A connection from before the trial says nothing about new ones.
        if matches!(self.doubt, Some(Doubt::Trial { since }) if opened < since) {
            return;
        }
        self.doubt = None;
        self.faults = 0;
        self.probe = None;
    }
}
