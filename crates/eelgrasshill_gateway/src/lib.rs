//! The gateway: an entry host that forwards requests to upstreams unmodified.
//!
//! This crate does the I/O: it serves callers and peers, follows the store and sends orders to
//! engines. The decisions are made in `eelgrasshill_relay`. The platform's own formats and its
//! store are supplied by the caller, as [`PlatformCodec`] and [`StoreClient`].

mod bound_stream;
mod codec;
mod compression;
mod convert;
mod crash_news;
mod exchange;
mod fetch;
mod follow;
mod gateway_state;
mod model_request;
mod open_requests;
mod orders;
mod peers;
mod pick_socket;
mod picked_request;
mod refusal;
mod register;
mod relay;
mod relayed;
mod run;
mod server;
mod shared;
mod software_versions;
mod stream;
mod telemetry;
mod timeout;
mod topics;
mod upstream_signals;

pub use codec::{
    AnswerHead, CallerHeaders, DecodeError, EngineOrder, EngineRequest, ForwardInfo, HeaderError,
    PlatformCodec, RequestMetadata, RunStatement, StoreAddress, StoreClient, StoreError, Topic,
    TopicPage,
};
pub use run::{HostSignals, StartError, run};
pub use telemetry::{install_metrics, start_log};
