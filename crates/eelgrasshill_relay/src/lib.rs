//! Decision logic for requests that are proxied unmodified.
//!
//! Upstream selection, rate limits, retries, the exchange of state between hosts, and model
//! placement on engines. The crate does no I/O: time, randomness and outside events are arguments.

mod allowance;
mod choice;
mod demand;
mod events;
mod fleet;
mod freshness;
mod keyed;
mod lease;
mod loads;
mod placement;
mod retries;
mod standing;
mod sums;
mod tables;
mod tree;

pub use allowance::{Allowances, Quorum};
pub use choice::{Candidate, ChoiceSettings, Picture, Wanted};
pub use demand::{Asked, Demand};
pub use events::EventCutter;
pub use fleet::{Fleet, Holding, Upstream};
pub use freshness::KeyBound;
pub use keyed::{Keyed, KeyedRecord};
pub use lease::{Lease, LeaseRecord, LeaseWrite};
pub use loads::{Load, Loads, RANKS};
pub use placement::{Action, Book, OrderEnd, Overlay, Placer, Prospect, Seen, Step};
pub use retries::{RetrySettings, RetryShare};
pub use standing::{Outcome, Standings};
pub use sums::{HostMark, Side, Sum, Sums, Teller};
pub use tables::{CallerBounds, EnginePool, Model, Organisation, Repeat, Route, Tables, Target};
pub use tree::{Capacity, Peer, Position, Tree};
