//! The latest requests of one host, for `explain`.

use std::collections::VecDeque;
use std::sync::Mutex;

use eelgrasshill_domain::{Class, HostName, OrgName, RequestId, RouteName, record};

use eelgrasshill_ports::lock;

/// Requests that are remembered.
const MAX_TRACES: usize = 4096;

record! {
    /// One step of a request, with the time since its arrival in milliseconds.
    pub struct Step {
        /// Milliseconds from the arrival of the request to this step.
        #[serde(rename = "at")]
        pub at_ms: u64,
        /// What happened.
        pub event: StepEvent,
    }

    /// What happened to a request.
    pub enum StepEvent {
        /// Tokens were reserved.
        Admitted {
            /// The number of tokens.
            cost: u64,
        },
        /// An upstream was chosen.
        Started {
            /// The upstream.
            host: HostName,
        },
        /// A connection was left and the answer resumed.
        Resumed {
            /// Why.
            cause: String,
            /// The first token that was still wanted.
            from: u64,
        },
        /// The call's idempotency key was claimed.
        Claimed,
        /// The caller got the whole answer.
        Finished {
            /// Tokens generated.
            tokens: u64,
        },
        /// The request was refused or failed.
        Refused {
            /// The stable code.
            code: String,
        },
        /// The caller went away.
        CallerGone,
    }

    /// Where a request went and why.
    pub struct Trace {
        /// The request.
        pub id: RequestId,
        /// The route.
        pub route: RouteName,
        /// The organisation; none on open routes.
        pub organisation: Option<OrgName>,
        /// The class.
        pub class: Class,
        /// What happened, in order.
        pub steps: Vec<Step>,
    }
}

/// The latest requests of one host.
#[derive(Debug, Default)]
pub struct Journal {
    traces: Mutex<VecDeque<Trace>>,
}

impl Journal {
    /// Keeps the trace of a request that has ended.
    pub fn keep(&self, trace: Trace) {
        let mut traces = lock(&self.traces);
        if traces.len() >= MAX_TRACES {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// Returns the trace of a request, if it is remembered.
    #[must_use]
    pub fn find(&self, id: &RequestId) -> Option<Trace> {
        lock(&self.traces)
            .iter()
            .rev()
            .find(|trace| trace.id == *id)
            .cloned()
    }
}
