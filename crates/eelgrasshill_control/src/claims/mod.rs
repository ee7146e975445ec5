//! Claims of calls that must run at most once.
//!
//! A call with an idempotency key is claimed in the log. The first claim in log
//! order wins, and its host sends the call only after the win was read back.

mod bounds;
mod fold;
mod record;
mod requester;
mod writer;

pub use bounds::ClaimBounds;
pub use fold::{ClaimFold, Verdict, WinnerState};
pub use record::{
    Body, CallDigest, CallKey, CallOutcome, Claim, ClaimBatch, ClaimId, ClaimRecord, HexError,
    MAX_BODY_BYTES,
};
pub use requester::{Answer, Call, NotRun, Requester, RequesterEffect, RunResult};
pub use writer::{ClaimWriter, WriterEffect};
