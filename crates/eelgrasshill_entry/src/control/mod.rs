//! The control thread: folds the log, hears the peers and replaces the pictures
//! that the traffic threads read.

mod actor;
mod claims;
mod engines;
mod exchange;
mod follow;
mod lend;
pub(crate) mod messages;
mod peer;
mod place;
mod retain;
mod survey;

pub(crate) use actor::{Control, Outside};
pub(crate) use claims::forward_claims;
pub use claims::{ClaimCommand, ClaimTurn};
pub(crate) use follow::follow_log;
pub(crate) use lend::carry_out;
pub(crate) use peer::serve_peers;
