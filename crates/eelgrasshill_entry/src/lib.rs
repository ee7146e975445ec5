//! The entry host: traffic threads, one control thread, metrics and drain.

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
