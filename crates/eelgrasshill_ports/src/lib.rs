//! Traits for every outside system, each with one adapter that speaks HTTP.
//!
//! A new protocol of the platform or of an upstream costs one file here:
//! the rest of the system knows only the traits and the records.

mod client;
mod clock;
mod engine;
mod engine_http;
mod error;
mod host_list;
mod lock;
mod log_service;
mod plain;
mod pool;

pub use client::{HttpClient, HttpClientSettings};
pub use clock::BootClock;
pub use engine::{
    Engine, EngineReport, GenerateChunk, GenerateRequest, Loading, Order, OrderAction, OrderAnswer,
    Resident, Resume, StreamEvent, Usage,
};
pub use engine_http::{ChunkStream, HttpEngine};
pub use error::{AppendError, CallError, ReadError};
pub use host_list::{HostList, HostRole, HostState, HttpHostList, ListedHost};
pub use lock::lock;
pub use log_service::{
    AppendBody, AppendReply, HttpLog, Log, NewRecord, Page, ReadQuery, StoredRecord,
};
pub use plain::{HttpPlain, Plain, PlainCall, PlainReply};
pub use pool::{Exchange, HttpPool, call_once, read_whole};
