//! The entry host: accepts callers' requests and forwards them to upstreams.
//!
//! Traffic threads authorise, rate-limit, queue and forward requests. One control
//! thread reads the log, exchanges state with other entry hosts and replaces the
//! snapshots that the traffic threads read.

mod answer;
mod api_error;
mod control;
mod dispatch;
mod http;
mod idempotent_call;
mod plain_request;
mod quota;
mod run;
mod shared;
mod signal;
mod telemetry;
mod traces;

pub use api_error::{ApiError, Code, RUN_HEADER, RunStatus};
pub use control::{ClaimCommand, ClaimDecision};
pub use dispatch::{DispatchGuard, SharedDispatcher};
pub use eelgrasshill_ports::BootClock;
pub use quota::{Quota, Reservation};
pub use run::{EntryHost, StartError};
pub use shared::{OpenRequest, Shared, TablesSnapshot};
pub use signal::{wait_for_stop, wait_for_stop_async};
pub use telemetry::run_metrics_upkeep;
pub use traces::{RecentTraces, StepEvent, Trace, TraceStep};
