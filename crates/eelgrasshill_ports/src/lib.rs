//! Traits for every external system, each with one HTTP adapter.
//!
//! The entry host depends only on the traits and the message types. Supporting a new protocol of
//! the log, the host list or an upstream therefore takes one new file here. The gateway does not
//! use the traits; its platform is described by the platform crate.

mod answer_memory;
mod bounded;
mod caller_body;
mod caller_server;
mod caller_stream;
mod chunk_turns;
mod client;
mod clock;
mod connection_limit;
mod engine;
mod engine_http;
mod error;
mod guarded_body;
mod host_list;
mod lock;
mod log_service;
mod memory_account;
mod peer_stream;
mod plain;
mod pool;
mod request_gate;
mod request_stage;
mod send_queue;
mod sliced_body;
mod socket_limits;

pub use answer_memory::{AnswerMemory, MemoryLease, MemoryUsedUp};
pub use bounded::AnswerBody;
pub use caller_body::{BodyError, BodyLimits, CallerBody, read_caller_body};
pub use caller_server::{CallerServerSettings, run_caller_server};
pub use caller_stream::{CallerStream, HeadLimits};
pub use client::{HttpClient, HttpClientSettings};
pub use clock::BootClock;
pub use connection_limit::{CloseCause, Connection, ConnectionLimit, ConnectionPhase};
pub use engine::{
    EngineClient, EngineReport, EngineStreamEvent, GenerateChunk, GenerateRequest, ModelVersion,
    Order, OrderAction, OrderAnswer, ResidentModel, Resume, Usage,
};
pub use engine_http::{AnswerEvents, HttpEngine};
pub use error::{AppendError, CallError, ReadError};
pub use guarded_body::guard_body;
pub use host_list::{HostList, HostRole, HostState, HttpHostList, ListedHost};
pub use lock::lock;
pub use log_service::{
    AppendBody, AppendReply, HttpLog, LogClient, NewRecord, Page, ReadQuery, StoredRecord,
};
pub use memory_account::{
    ConnectionMemory, MemoryAccount, MemoryCharge, MemoryFull, MemoryLimits, MemoryScope,
};
pub use peer_stream::{PeerStream, accept_peers};
pub use plain::{HttpPlain, PlainCall, PlainClient, PlainReply};
pub use pool::{
    CountedBody, HttpConnection, HttpPool, call_unpooled, read_counted_body, read_response_body,
};
pub use request_gate::{HeadRefusal, HeldBody, OpenGate, RequestGate};
pub use request_stage::BodyFraming;
pub use send_queue::{parse_unsent_peers, unsent_peers};
pub use socket_limits::{bound_buffers, descriptor_limit};
