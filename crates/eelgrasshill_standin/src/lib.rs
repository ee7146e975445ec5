//! Stand-ins for the platform and the upstreams, and a load tool, for development only.
//!
//! Each one is a fake at an interface: it speaks the protocol that the
//! platform crate's adapter expects, keeps the counts that a test needs as an
//! oracle, and has fault switches that can be set while it runs.

mod engine;
mod fault;
mod gate;
mod hosts;
mod log;
mod plain;
mod seen;
mod server;
mod sync;
mod text;

pub use engine::{Engine, EngineCounts, EngineSettings, ModelCopy};
pub use fault::{FaultSet, Faults, Link, Mode};
pub use hosts::{Hosts, HostsSettings};
pub use log::{Log, LogCounts, LogSettings};
pub use plain::{Plain, PlainEcho, PlainSettings, RunCount, RunCounts};
pub use seen::{SeenCall, SeenCalls};
pub use server::{Running, Standin, StartError};
pub use text::{AnswerText, prompt_tokens};
