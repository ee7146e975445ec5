//! Claims for calls that must run at most once.
//!
//! Before a call with an idempotency key runs, its host appends a claim to the
//! log. The first claim of the key in log order wins. The host sends the call
//! only after it was read back from the log that its claim won.

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
pub use requester::{CallAnswer, CallRequest, NotRunReason, Requester, RequesterEffect, RunResult};
pub use writer::{ClaimWriter, WriterEffect};
