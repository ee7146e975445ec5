//! Keeps traces of recent requests for the endpoint `GET /explain/{id}`.

use std::collections::VecDeque;
use std::sync::Mutex;

use eelgrasshill_domain::{Class, HostName, OrgName, RequestId, RouteName, record};

use eelgrasshill_ports::lock;

/// Number of traces kept; the oldest is dropped first.
const MAX_TRACES: usize = 4096;

record! {
    /// One step of a request's processing.
    pub struct TraceStep {
        /// Milliseconds from the arrival of the request to this step.
        #[serde(rename = "at")]
        pub at_ms: u64,
        /// What happened.
        pub event: StepEvent,
    }

    /// An event in the processing of a request.
    pub enum StepEvent {
        /// Tokens were reserved from the organisation's rate limit.
        Admitted {
            /// The number of reserved tokens.
            cost: u64,
        },
        /// An upstream was chosen.
        Started {
            /// The upstream.
            host: HostName,
        },
        /// The connection failed and the answer was resumed.
        Resumed {
            /// Why the connection was given up.
            cause: String,
            /// The index of the first missing token.
            from: u64,
        },
        /// The idempotency key of a call was claimed. No host records this event yet.
        Claimed,
        /// The whole answer was generated.
        Finished {
            /// The number of generated tokens.
            tokens: u64,
        },
        /// The request was refused or failed.
        Refused {
            /// The stable error code.
            code: String,
        },
        /// The caller closed the connection.
        CallerGone,
    }

    /// The recorded processing steps of one request.
    pub struct Trace {
        /// The request ID.
        pub id: RequestId,
        /// The route that the request matched.
        pub route: RouteName,
        /// The caller's organisation; `None` on open routes.
        pub organisation: Option<OrgName>,
        /// The priority class of the route.
        pub class: Class,
        /// The steps in the order in which they happened.
        pub steps: Vec<TraceStep>,
    }
}

/// The traces of a host's latest requests.
#[derive(Debug, Default)]
pub struct RecentTraces {
    traces: Mutex<VecDeque<Trace>>,
}

impl RecentTraces {
    /// Stores the trace of an ended request and drops the oldest when full.
    pub fn store(&self, trace: Trace) {
        let mut traces = lock(&self.traces);
        if traces.len() >= MAX_TRACES {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// Returns the trace of a request, if it is still stored.
    #[must_use]
    pub fn find(&self, id: &RequestId) -> Option<Trace> {
        lock(&self.traces)
            .iter()
            .rev()
            .find(|trace| trace.id == *id)
            .cloned()
    }
}
