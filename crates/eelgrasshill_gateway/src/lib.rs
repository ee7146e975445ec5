//! The gateway: an entry host that relays requests as they came.
//!
//! Decisions are in `eelgrasshill_relay`; an adapter gives the translations ([`PlatformCodec`]) and the
//! store ([`Store`]).

mod codec;
mod compression;
mod convert;
mod fetch;
mod follow;
mod host_state;
mod model_request;
mod orders;
mod peers;
mod refusal;
mod register;
mod relay;
mod relayed;
mod run;
mod server;
mod share;
mod shared;
mod stream;
mod telemetry;
mod topics;

pub use codec::{
    AnswerHead, CallerHeaders, DecodeError, EngineOrder, EngineRequest, ForwardInfo, HeaderError,
    PlatformCodec, RequestMetadata, Store, StoreAddress, StoreError, Topic, TopicPage,
};
pub use run::{StartError, run};
pub use telemetry::start_log;
