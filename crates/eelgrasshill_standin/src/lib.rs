//! Stand-ins for external systems, and a load tool, for development only.
//!
//! There are stand-ins for the platform's services (log, host list and weight
//! store) and for the upstreams (model engine and plain HTTP service), and a
//! relay that imitates network faults.
//!
//! Each stand-in serves the HTTP protocol that the adapters of the ports crate
//! expect. It counts what happened, so that a test can compare what clients were
//! told with what the server did. Its fault switches can be set while it runs.

mod cli;
mod crowd;
mod endless;
mod engine;
mod fault;
mod hosts;
mod load;
mod log;
mod middleware;
mod plain;
mod recorded;
mod relay;
mod server;
mod store;
mod sync;
mod text;

pub use cli::{Arguments, FlagError, RunError, run};
pub use crowd::{CrowdCaller, CrowdRequests, ProcessUse};
pub use endless::{EndlessAnswer, EndlessServer};
pub use engine::{Engine, EngineCounts, EngineSettings, ModelCopy};
pub use fault::{Connection, FaultSet, Faults, Mode};
pub use hosts::{Hosts, HostsSettings};
pub use load::{
    Arrival, Burst, LatencyObjective, LoadCaller, LoadError, LoadReport, LoadRow, LoadSettings,
    ModelShare, PlainLoad, PlainReport, Quantiles, Subject, TokenLimit, WorstServed, run_load,
    schedule,
};
pub use log::{Log, LogCounts, LogSettings};
pub use plain::{PlainEcho, PlainService, PlainSettings, RunCount, RunCounts};
pub use recorded::{RecordedCall, RecordedCalls};
pub use relay::{Relay, RelayFaults, RelayMode, RelaySettings};
pub use server::{RunningServer, Standin, StartError};
pub use store::{StoreCounts, StoreSettings, WeightLoadCounts, WeightStore};
pub use text::{AnswerText, prompt_tokens};
