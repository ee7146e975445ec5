//! Stand-ins for the platform and the upstreams, and a load tool, for development only.
//!
//! Each one is a fake at an interface: it speaks the protocol that the
//! platform crate's adapter expects, keeps the counts that a test needs as an
//! oracle, and has fault switches that can be set while it runs.

mod cli;
mod engine;
mod fault;
mod gate;
mod hosts;
mod load;
mod log;
mod plain;
mod relay;
mod seen;
mod server;
mod store;
mod sync;
mod text;

pub use cli::{Arguments, FlagError, RunError, run};
pub use engine::{Engine, EngineCounts, EngineSettings, ModelCopy};
pub use fault::{FaultSet, Faults, Link, Mode};
pub use hosts::{Hosts, HostsSettings};
pub use load::{
    Arrival, Burst, Caller, Goal, Limit, LoadError, LoadReport, LoadRow, LoadSettings, ModelShare,
    PlainLoad, PlainReport, Quantiles, Subject, WorstServed, run_load, schedule,
};
pub use log::{Log, LogCounts, LogSettings};
pub use plain::{Plain, PlainEcho, PlainSettings, RunCount, RunCounts};
pub use relay::{Relay, RelayMode, RelaySet, RelaySettings};
pub use seen::{SeenCall, SeenCalls};
pub use server::{Running, Standin, StartError};
pub use store::{LaneCounts, Store, StoreCounts, StoreSettings};
pub use text::{AnswerText, prompt_tokens};
