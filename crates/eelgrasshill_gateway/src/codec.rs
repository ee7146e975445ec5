//! What an adapter translates: requests, answers, configurations, entries and the store.
//!
//! The gateway decides and does the input and output; an adapter knows the names.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::header::HeaderMap as CallerMap;
use derive_more::{Display, Error};
use eelgrasshill_domain::{AdapterName, HostName, KeyText, ModelName, Moment, Offset, OrgName};
use eelgrasshill_ports::CallError;
use eelgrasshill_relay::{EngineReport, KeyedRecord, OrderEnd, Tables, Upstream};
use hyper::HeaderMap;

/// The headers of a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct CallerHeaders<'a>(pub &'a CallerMap);

impl<'a> CallerHeaders<'a> {
    /// Returns the value of a header that may stand once.
    ///
    /// # Errors
    ///
    /// Returns [`HeaderError::Repeated`] when it stands several times, or is no text.
    pub fn one(&self, name: &'static str) -> Result<Option<&'a str>, HeaderError> {
        let mut values = self.0.get_all(name);
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(HeaderError::Repeated { name });
        }
        value
            .to_str()
            .map(Some)
            .map_err(|_opaque| HeaderError::Malformed { name })
    }
}

/// Why a request's headers cannot be understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum HeaderError {
    /// A header stands several times.
    #[display("the header {name} stands more than once")]
    Repeated {
        /// The header.
        name: &'static str,
    },
    /// A header has a value that means nothing.
    #[display("the header {name} has a value that cannot be read")]
    Malformed {
        /// The header.
        name: &'static str,
    },
    /// A header that must be there is not.
    #[display("the header {name} is missing")]
    Missing {
        /// The header.
        name: &'static str,
    },
}

/// What a caller declares of its request.
#[derive(Clone, Debug)]
pub struct RequestMetadata {
    /// The request's id, as the caller chose it.
    pub id: String,
    /// How long the caller waits, from the request's arrival on.
    pub deadline: Option<Duration>,
    /// The key that was presented.
    pub key: Option<KeyText>,
    /// The model.
    pub model: Option<ModelName>,
    /// The adapter on top of the model.
    pub adapter: Option<AdapterName>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
    /// The last event that the caller has of an earlier attempt.
    pub last_event: Option<u64>,
}

/// What the system adds to a request that it sends on.
#[derive(Clone, Debug)]
pub struct ForwardInfo<'a> {
    /// The upstream that must be the one at the address.
    pub upstream: &'a HostName,
    /// The organisation whose key came with the request.
    pub organisation: Option<&'a OrgName>,
    /// Time that is left.
    pub time_left: Duration,
    /// The rank, if one applies; zero is the most urgent.
    pub rank: u8,
    /// The last event that was passed on, when a stream goes on.
    pub last_event: Option<u64>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// Whether the upstream vouches for it.
    pub signed: bool,
    /// Whether the request did not run and never will.
    pub not_run: bool,
    /// Whether another upstream is at the address, or the model is not there.
    pub misdirected: bool,
    /// How long the connection may stay idle; none where it must be closed.
    pub idle_timeout: Option<Duration>,
}

/// A record or an answer that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{what}: {cause}")]
pub struct DecodeError {
    /// What was read.
    pub what: String,
    /// Why it cannot be decoded.
    pub cause: String,
}

/// What an order asks an engine to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Whether to load or to unload.
    pub is_load: bool,
    /// The model.
    pub model: ModelName,
    /// The adapter, where only that is meant.
    pub adapter: Option<AdapterName>,
    /// The orders that the engine must have accepted before; it refuses otherwise.
    pub precondition: u64,
    /// The host that holds the lease.
    pub holder: HostName,
    /// The lease's fencing token.
    pub fence: u64,
}

/// A small call, as it goes over HTTP.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// The path.
    pub path: &'static str,
    /// Headers beside the usual ones.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

/// The translations between the platform's words and the project's.
pub trait PlatformCodec: Clone + std::fmt::Debug + Send + Sync + 'static {
    /// Reads what a caller declares.
    ///
    /// # Errors
    ///
    /// Returns [`HeaderError`] when a header is missing, ambiguous or unreadable.
    fn parse_request(headers: CallerHeaders<'_>) -> Result<RequestMetadata, HeaderError>;

    /// Returns the headers that an upstream gets.
    fn forwarded_headers(headers: CallerHeaders<'_>, forward: &ForwardInfo<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn parse_answer_head(status: u16, headers: &HeaderMap) -> AnswerHead;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] when it is not one.
    fn tables(value: &[u8]) -> Result<Tables, DecodeError>;

    /// Decodes an upstream's entry.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] when the entry names no upstream to use.
    fn upstream(id: &str, value: &[u8]) -> Result<Upstream, DecodeError>;

    /// Returns the call that gives an order.
    fn order(order: &EngineOrder, engine: &HostName) -> EngineRequest;

    /// Returns what the status of an order's answer means.
    fn order_end(status: u16) -> OrderEnd;

    /// The path of an engine's report.
    const REPORT_PATH: &'static str;

    /// Decodes an engine's report; adapters on their way count as held.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] when it is not one.
    fn report(value: &[u8]) -> Result<EngineReport, DecodeError>;

    /// The key of the configuration in its topic.
    const CONFIG_KEY: &'static str;
}

/// The topics of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum Topic {
    /// The operators' configuration.
    #[display("config")]
    Config,
    /// The entries of the upstreams.
    #[display("upstreams")]
    Upstreams,
    /// The entry hosts, each under its name.
    #[display("hosts")]
    Hosts,
    /// Who may give orders to engines.
    #[display("lease")]
    Lease,
}

/// A part of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopicPage {
    /// The records in order; keys are empty where the topic has none.
    pub records: Vec<KeyedRecord>,
    /// The offset after the last record of the topic.
    pub end: Offset,
}

/// Why a topic could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The records at the offset expired.
    #[display("the records at the offset expired")]
    Expired,
    /// The call failed; a write may have been done unless it is said to be unsent or refused.
    #[display("{_0}")]
    Failed(#[error(source)] CallError),
    /// The store refused and did nothing.
    #[display("the store refused with status {_0}")]
    #[error(ignore)]
    Refused(u16),
    /// The topic does not end where the write expected.
    #[display("the topic ends at {end}")]
    Conflict {
        /// Where it ends.
        end: Offset,
    },
}

/// The platform's store.
#[expect(
    async_fn_in_trait,
    reason = "callers run on one thread and need no Send bound"
)]
pub trait Store: Clone + 'static {
    /// Reads a topic from an offset on, waiting up to `wait` for a record.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when nothing was read within the bound.
    async fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> Result<TopicPage, StoreError>;

    /// Reads the newest record of each key.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when not all were read within the bound.
    async fn newest(&self, topic: Topic) -> Result<TopicPage, StoreError>;

    /// Appends a record and returns its offset; `at` is where the topic must end.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`], which says whether the record may have been written.
    async fn append(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        at: Option<Offset>,
    ) -> Result<Offset, StoreError>;
}

/// Where the store listens and when its answers count as late.
#[derive(Clone, Copy, Debug)]
pub struct StoreAddress {
    /// The address.
    pub address: SocketAddr,
    /// Longest wait for an answer beyond the asked wait.
    pub answer: Duration,
}

/// Returns the moment at which a page was current: a read that waited its whole time without a
/// record was answered after that time.
#[must_use]
pub fn page_current_at(page: &TopicPage, sent_at: Moment, wait: Duration, now: Moment) -> Moment {
    if page.records.is_empty() && now.since(sent_at) >= wait {
        sent_at.after(wait)
    } else {
        sent_at
    }
}
