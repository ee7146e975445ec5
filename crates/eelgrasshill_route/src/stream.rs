//! Events and actions of one streamed answer.
//!
//! They stand apart from the state machine, since the entry host speaks in them too.

use derive_more::{Display, Error};
use eelgrasshill_domain::{HostName, RequestId, record, scalar};

scalar! {
    /// The number of a connection of one answer, from zero.
    #[derive(Default)]
    pub struct Attempt(pub u32);

    /// Why a streamed answer could not be finished.
    #[derive(Display, Error)]
    pub enum StreamFailure {
        /// The time for the whole answer has passed.
        #[display("the time for the whole answer has passed")]
        Deadline,
        /// Too many connections failed in a row or in total.
        #[display("the answer failed on too many connections")]
        ResumesSpent,
        /// The call may not be repeated.
        #[display("the answer broke off and its call may not be repeated")]
        NotRepeatable,
    }

    /// Why a connection was left.
    #[derive(Display)]
    pub enum LeaveCause {
        /// It was closed or could not be opened.
        #[display("failed")]
        Failed,
        /// No byte or ping came within the bound.
        #[display("silent")]
        Silent,
        /// It carried another request's answer.
        #[display("crossed")]
        Crossed,
        /// A token was left out.
        #[display("gap")]
        Gap,
        /// The end came before or after the tokens that it counts.
        #[display("wrong total")]
        Total,
    }
}

record! {
    /// How often an answer may be resumed.
    #[derive(Copy)]
    pub struct ResumeSettings {
        /// Most resumes in a row without a new token.
        pub barren: u32,
        /// Most resumes of one answer.
        pub total: u32,
    }
}

impl Default for ResumeSettings {
    fn default() -> Self {
        Self {
            barren: 4,
            total: 16,
        }
    }
}

/// What happened to a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent<T> {
    /// The connection is open and the request has been sent over it.
    Opened,
    /// A token came.
    Chunk {
        /// The id that the token carries.
        request: RequestId,
        /// The token's index in the whole answer.
        index: u64,
        /// The token's text.
        text: T,
    },
    /// The upstream showed that the connection works.
    Ping,
    /// The upstream says that the answer is whole.
    Done {
        /// The id that the end carries.
        request: RequestId,
        /// Number of tokens of the whole answer.
        total: u64,
    },
    /// The connection failed or could not be opened.
    Failed,
    /// The upstream said that it leaves.
    Leaving,
    /// The caller closed its connection.
    CallerGone,
    /// Time passed.
    Tick,
}

/// Where an answer is resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumeAt {
    /// On the same upstream, over a new connection, by `resume_from`.
    Same(HostName),
    /// On another one, which gets the prompt and [`Resumption::tokens`](crate::Resumption::tokens).
    Other {
        /// Upstreams that failed it before.
        avoid: Vec<HostName>,
    },
}

/// What the entry host has to do for a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamAction<T> {
    /// Send a token to the caller.
    Forward {
        /// The token's index.
        index: u64,
        /// The token's text.
        text: T,
    },
    /// Close the connection, open the next attempt and call [`Resumption::begin`](crate::Resumption::begin).
    Resume {
        /// Why the connection was left.
        cause: LeaveCause,
        /// The number of the next attempt.
        attempt: Attempt,
        /// The index of the first token that is wanted.
        from: u64,
        /// Where to open it.
        at: ResumeAt,
    },
    /// Tell the caller that the answer is whole.
    Finish,
    /// Close the connection and tell the caller that the answer stays incomplete.
    Fail(StreamFailure),
    /// Close the connection and cancel the answer; nobody waits for it.
    Cancel,
}
