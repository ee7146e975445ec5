//! Decision logic for requests that are proxied unmodified.
//!
//! Upstream selection, rate limits, retries, the exchange of state between hosts, and model
//! placement on engines. The crate does no I/O: time, randomness and outside events are arguments.

mod demand;
mod events;
mod fleet;
mod health;
mod key_age;
mod keyed;
mod lease;
mod loads;
mod placement;
mod rate_limiter;
mod retries;
mod selection;
mod sums;
mod tables;
mod tree;

pub use demand::{Asked, Demand};
pub use events::EventSplitter;
pub use fleet::{Fleet, Holding, Upstream};
pub use health::{Outcome, UpstreamHealth};
pub use key_age::MaxKeyAge;
pub use keyed::{KeyedRecord, KeyedTopic};
pub use lease::{Lease, LeaseRecord, LeaseWrite};
pub use loads::{Load, Loads, RANKS};
pub use placement::{
    Action, Availability, EngineReport, EngineState, HoldingsUpdate, OrderEnd, Placer, Step,
};
pub use rate_limiter::{HostCounts, RateLimiter};
pub use retries::{RetryBudget, RetrySettings};
pub use selection::{Candidate, SelectionSettings, UpstreamQuery, UpstreamSelector};
pub use sums::{HostHash, PeerRole, Sum, SumSender, Sums};
pub use tables::{CallerBounds, EnginePool, Model, Organisation, Repeat, Route, Tables, Target};
pub use tree::{Capacity, Peer, Position, Tree};
