//! Decisions on requests that are relayed as they came.
//!
//! All of it is pure: time, randomness and what happened outside are arguments.

mod allowance;
mod choice;
mod events;
mod fleet;
mod freshness;
mod keyed;
mod loads;
mod retries;
mod standing;
mod tables;

pub use allowance::{Allowances, Quorum, Series};
pub use choice::{Candidate, ChoiceSettings, Picture, Wanted};
pub use events::EventCutter;
pub use fleet::{Fleet, Holding, Upstream};
pub use freshness::KeyBound;
pub use keyed::{Keyed, KeyedRecord};
pub use loads::{Load, Loads};
pub use retries::{RetrySettings, RetryShare};
pub use standing::{Outcome, Standings};
pub use tables::{
    CallerBounds, EnginePool, Model, Organisation, Repeat, Route, Tables, Target,
};
