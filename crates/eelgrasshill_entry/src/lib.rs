//! The entry host: accepts callers' requests and forwards them to upstreams.
//!
//! Traffic threads authorise, rate-limit, queue and forward requests. One control
//! thread reads the log, exchanges state with other entry hosts and replaces the
//! snapshots that the traffic threads read.

mod answer;
mod control;
mod dispatch;
mod http;
mod journal;
mod once;
mod plain_request;
mod quota;
mod refusal;
mod run;
mod shared;
mod signal;
mod telemetry;

pub use control::{ClaimCommand, ClaimDecision};
pub use dispatch::{DispatchGuard, SharedDispatcher};
pub use eelgrasshill_ports::BootClock;
pub use journal::{Journal, Step, StepEvent, Trace};
pub use quota::{Quota, Reservation};
pub use refusal::{ApiError, Code, RUN_HEADER, Run};
pub use run::{EntryHost, StartError};
pub use shared::{OpenRequest, Shared, TablesSnapshot};
pub use signal::{wait_for_stop, wait_for_stop_async};
