//! Events and actions of one streamed answer.
//!
//! They are apart from the state machine because the entry host uses them too.

use derive_more::{Display, Error};
use eelgrasshill_domain::{HostName, RequestId, record, scalar};

scalar! {
    /// Number of a connection of one answer, counted from zero.
    #[derive(Default)]
    pub struct Attempt(pub u32);

    /// Why a streamed answer stays incomplete.
    #[derive(Display, Error)]
    pub enum StreamFailure {
        /// The answer was not complete by its deadline.
        #[display("the time for the whole answer has passed")]
        Deadline,
        /// Too many connections failed, in a row or in total.
        #[display("the answer failed on too many connections")]
        #[serde(rename = "resumes-spent")]
        ResumesExhausted,
        /// The answer was interrupted and its call is not idempotent.
        #[display("the answer broke off and its call may not be repeated")]
        NotRepeatable,
    }

    /// Why this host closed a connection before the answer was complete.
    #[derive(Display)]
    pub enum DisconnectCause {
        /// The connection was closed or could not be opened.
        #[display("failed")]
        Failed,
        /// No byte or ping came within the idle timeout.
        #[display("silent")]
        Silent,
        /// The connection carried another request's answer.
        #[display("crossed")]
        #[serde(rename = "crossed")]
        WrongRequest,
        /// A token was missing.
        #[display("gap")]
        Gap,
        /// The number of tokens differs from the total given at the end.
        #[display("wrong total")]
        #[serde(rename = "total")]
        WrongTotal,
    }
}

record! {
    /// Limits on the resumes of one answer.
    #[derive(Copy)]
    pub struct ResumeSettings {
        /// Maximum number of resumes in a row without a new token.
        #[serde(rename = "barren")]
        pub max_consecutive: u32,
        /// Maximum number of resumes of one answer.
        #[serde(rename = "total")]
        pub max_total: u32,
    }
}

impl Default for ResumeSettings {
    fn default() -> Self {
        Self {
            max_consecutive: 4,
            max_total: 16,
        }
    }
}

/// Event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent<T> {
    /// The connection was opened and the request sent over it.
    Opened,
    /// A token arrived.
    Chunk {
        /// Request id that came with the token.
        request: RequestId,
        /// Index of the token in the whole answer.
        index: u64,
        /// Text of the token.
        text: T,
    },
    /// A keep-alive from the upstream arrived.
    Ping,
    /// The upstream said that the answer is complete.
    Done {
        /// Request id that came with the end of the answer.
        request: RequestId,
        /// Number of tokens in the whole answer.
        total: u64,
    },
    /// The connection failed or could not be opened.
    Failed,
    /// The upstream said that it is leaving.
    Leaving,
    /// The caller closed its connection.
    CallerGone,
    /// The time given by [`ResumableStream::next_wake`](crate::ResumableStream::next_wake) was reached.
    Tick,
}

/// Where an answer is resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumeAt {
    /// On the same upstream over a new connection, from the first missing token.
    Same(HostName),
    /// On another upstream, which gets the prompt and [`ResumableStream::tokens`](crate::ResumableStream::tokens).
    Other {
        /// Upstreams on which the answer failed before.
        avoid: Vec<HostName>,
    },
}

/// Instruction to the entry host for a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamAction<T> {
    /// Send a token to the caller.
    Forward {
        /// Index of the token in the whole answer.
        index: u64,
        /// Text of the token.
        text: T,
    },
    /// Close the connection, open the next one and call [`ResumableStream::begin_attempt`](crate::ResumableStream::begin_attempt).
    Resume {
        /// Why the connection has to be closed.
        cause: DisconnectCause,
        /// Number of the next attempt.
        attempt: Attempt,
        /// Index of the first token still missing.
        from: u64,
        /// Upstream on which to open the next connection.
        at: ResumeAt,
    },
    /// Tell the caller that the answer is complete.
    Finish,
    /// Close the connection and tell the caller that the answer stays incomplete.
    Fail(StreamFailure),
    /// Close the connection and cancel the answer, whose caller has disconnected.
    Cancel,
}
