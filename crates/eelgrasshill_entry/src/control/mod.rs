//! The control thread of an entry host.
//!
//! It folds the log, exchanges state with peers, polls the engines and replaces the
//! snapshots that the traffic threads read.

mod actor;
mod claims;
mod clients;
mod convert;
mod engines;
mod exchange;
mod limit_effects;
mod log_reader;
pub(crate) mod messages;
mod peer;
mod placement;
mod polling;
mod retention;
mod status;
mod view;

pub(crate) use actor::Control;
pub(crate) use claims::forward_claims;
pub use claims::{ClaimCommand, ClaimDecision};
pub(crate) use clients::{HttpServiceClients, ServiceClients};
pub(crate) use limit_effects::run_limit_effects;
pub(crate) use log_reader::read_log_stream;
pub(crate) use peer::serve_peers;
