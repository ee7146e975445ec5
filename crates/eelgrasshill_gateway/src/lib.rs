//! The gateway: an entry host that relays requests as they came.
//!
//! Decisions are in `eelgrasshill_relay`; an adapter gives the translations ([`Wire`]) and the
//! store ([`Store`]).

mod convert;
mod desk;
mod fetch;
mod follow;
mod holder;
mod job;
mod need;
mod pack;
mod peers;
mod refusal;
mod register;
mod relay;
mod run;
mod server;
mod share;
mod state;
mod stream;
mod telemetry;
mod topics;
mod wire;

pub use run::{StartError, run};
pub use telemetry::start_log;
pub use wire::{
    Ask, AskError, CallerHeaders, DecodeError, EngineOrder, Reply, Sending, SmallCall, Store,
    StoreAddress, StoreError, Topic, TopicPage, Wire,
};
