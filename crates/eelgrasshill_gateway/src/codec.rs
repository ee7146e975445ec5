//! The interface to a platform: the formats of its messages, and its store.
//!
//! The gateway makes the decisions and does the I/O. An implementation of [`PlatformCodec`] knows
//! the platform's header names and document formats, and one of [`StoreClient`] its store.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::header::HeaderMap as CallerMap;
use derive_more::{Display, Error};
use eelgrasshill_domain::{AdapterName, HostName, KeyText, ModelName, Moment, Offset, OrgName};
use eelgrasshill_ports::CallError;
use eelgrasshill_relay::{
    EngineReport, Era, KeyedRecord, OrderOutcome, PromptPart, Tables, Upstream,
};
use hyper::{HeaderMap, StatusCode};

/// Headers of a caller's request, read one at a time.
#[derive(Clone, Copy, Debug)]
pub struct CallerHeaders<'a>(pub &'a CallerMap);

impl<'a> CallerHeaders<'a> {
    /// Returns the value of a header that may occur at most once.
    ///
    /// # Errors
    ///
    /// Returns [`HeaderError::Repeated`] if it occurs several times, and [`HeaderError::Malformed`]
    /// if its value is not visible ASCII text.
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
            .map_err(|_error| HeaderError::Malformed { name })
    }
}

/// Reason why a request's headers cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum HeaderError {
    /// A header that may occur once occurs several times.
    #[display("the header {name} occurs more than once")]
    Repeated {
        /// Name of the header.
        name: &'static str,
    },
    /// A header's value cannot be parsed.
    #[display("the header {name} has a malformed value")]
    Malformed {
        /// Name of the header.
        name: &'static str,
    },
    /// A required header is missing.
    #[display("the header {name} is missing")]
    Missing {
        /// Name of the header.
        name: &'static str,
    },
}

/// What a caller declares about its request in headers.
#[derive(Clone, Debug)]
pub struct RequestMetadata {
    /// Id of the request, chosen by the caller.
    pub id: String,
    /// How long the caller waits for the answer, counted from the request's arrival.
    pub deadline: Option<Duration>,
    /// API key that the caller presented.
    pub key: Option<KeyText>,
    /// Model that the request needs.
    pub model: Option<ModelName>,
    /// Adapter that the request needs on top of the model.
    pub adapter: Option<AdapterName>,
    /// Number of tokens in the prompt; 0 if not declared.
    pub prompt_tokens: u64,
    /// Maximum number of tokens in the answer; 0 if not declared.
    pub output_tokens: u64,
    /// Parts of the prompt that other requests may share, in order.
    ///
    /// The last part belongs to the request itself and is left out.
    pub shared_parts: Vec<PromptPart>,
    /// What the request declares of its prompt, which each of its repeats declares as well.
    ///
    /// None if it declares no parts: then a repeat cannot be told from another request.
    pub declared_prompt: Option<String>,
    /// Id of the last event that the caller received in an earlier attempt.
    pub last_event: Option<u64>,
    /// Id of the caller's request that brought the first event of the stream it takes up.
    pub resumes: Option<String>,
}

/// What the gateway adds to the headers of a request that it forwards.
#[derive(Clone, Debug)]
pub struct ForwardInfo<'a> {
    /// Upstream that is expected at the address; any other must refuse.
    pub upstream: &'a HostName,
    /// Organisation whose key came with the request.
    pub organisation: Option<&'a OrgName>,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Rank of the request; zero is the most urgent.
    pub rank: u8,
    /// Id of the last event that was passed on, when a stream is resumed.
    pub last_event: Option<u64>,
}

/// What an upstream's answer states about whether it ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStatement {
    /// The upstream did not run the request and never will.
    ///
    /// Another upstream than the expected one does not, nor one without the model.
    NotRun,
    /// The answer must not be passed on, since callers would take it for more than it states.
    ///
    /// Either only its status says that the request did not run, or it contradicts itself.
    Unproven,
    /// The upstream may have run the request.
    MayHaveRun,
}

/// What the status and headers of an upstream's answer say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Id of the request that is answered.
    pub id: Option<String>,
    /// Whether the upstream signed the answer as its own.
    pub signed: bool,
    /// What the answer states about whether the request ran.
    pub run: RunStatement,
    /// Whether another upstream than the expected one, or one without the model, answers.
    pub misdirected: bool,
    /// Whether the upstream says that it is leaving.
    pub leaving: bool,
    /// Time for which a full upstream wants no requests from this host.
    pub rest: Option<Duration>,
    /// Time for which the upstream stays cold, as it says.
    pub cold: Option<Duration>,
    /// How long the connection may stay idle; none if it must be closed.
    pub idle_timeout: Option<Duration>,
}

/// Error for a record or an answer that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{what}: {cause}")]
pub struct DecodeError {
    /// Kind of document that was to be decoded.
    pub what: String,
    /// Reason why it cannot be decoded.
    pub cause: String,
}

/// Order to an engine to load or unload a model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Whether to load; unloads otherwise.
    pub is_load: bool,
    /// Model to load or unload, or the base of the adapter.
    pub model: ModelName,
    /// Adapter, if only that is loaded or unloaded.
    pub adapter: Option<AdapterName>,
    /// Number of orders that the engine must have accepted before, or else it refuses.
    pub precondition: u64,
    /// Host that holds the lease and gives the order.
    pub holder: HostName,
    /// Fencing token of the lease.
    pub fence: u64,
}

/// HTTP request to an engine, for an order or a report.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Path on the engine.
    pub path: &'static str,
    /// Headers in addition to `host` and those of the HTTP client.
    pub headers: HeaderMap,
    /// Body, empty if the request has none.
    pub body: Vec<u8>,
}

/// Translation between the platform's formats and the types of this project.
pub trait PlatformCodec: Clone + std::fmt::Debug + Send + Sync + 'static {
    /// Parses what a caller declares in its request's headers.
    ///
    /// # Errors
    ///
    /// Returns [`HeaderError`] if a header is missing, repeated or malformed.
    fn parse_request(headers: CallerHeaders<'_>) -> Result<RequestMetadata, HeaderError>;

    /// Returns the headers of the request to the upstream.
    fn forwarded_headers(headers: CallerHeaders<'_>, forward: &ForwardInfo<'_>) -> HeaderMap;

    /// Parses the status and headers of an upstream's answer.
    fn parse_answer_head(status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Decodes a configuration from the value of its record.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the value is not a valid configuration.
    fn decode_tables(value: &[u8]) -> Result<Tables, DecodeError>;

    /// Decodes an upstream's entry from its record's key and value.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the entry describes no usable upstream.
    fn decode_upstream(id: &str, value: &[u8]) -> Result<Upstream, DecodeError>;

    /// Encodes an order as an HTTP request to the engine.
    fn encode_order(order: &EngineOrder, engine: &HostName) -> EngineRequest;

    /// Interprets the HTTP status of an engine's answer to an order.
    fn decode_order_outcome(status: u16) -> OrderOutcome;

    /// Path at which an engine serves its report.
    const REPORT_PATH: &'static str;

    /// Decodes an engine's report. Adapters that are being loaded count as held.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the value is not a valid report.
    fn decode_report(value: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Key of the configuration's record in its topic.
    const CONFIG_KEY: &'static str;

    /// Returns the zone that a record of the configuration's topic evacuates, by its key.
    ///
    /// None if the record is not that of an evacuation.
    fn evacuated_zone(key: &str) -> Option<&str>;
}

/// Topics of the store that a gateway uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum Topic {
    /// Configuration and evacuations published by the operators.
    #[display("config")]
    Config,
    /// Entries of the upstreams, each under its id.
    #[display("upstreams")]
    Upstreams,
    /// Registrations of the entry hosts, each under its name.
    #[display("hosts")]
    Hosts,
    /// Lease for giving orders to engines.
    #[display("lease")]
    Lease,
    /// Base version of the software of each pool, under its name.
    #[display("software")]
    Software,
    /// Software versions of streams; its records have no keys.
    #[display("stream-versions")]
    StreamVersions,
}

/// Records read from a topic, with the topic's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopicPage {
    /// Era of all offsets of the page.
    pub era: Era,
    /// Records in order of their offsets; their keys are empty in a topic without keys.
    pub records: Vec<KeyedRecord>,
    /// Offset after the last record of the page, or of the topic if no more follow.
    pub end: Offset,
    /// Whether the topic has more records after those of the page.
    pub has_more: bool,
}

/// Reason why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The records from the requested offset on have expired.
    #[display("the records from the requested offset on have expired")]
    Expired {
        /// First offset that the topic has, if the store states it.
        first: Option<Offset>,
    },
    /// The answer is of an earlier era than another one before; a write may be lost.
    #[display("the answer is of era {_0}, which has ended")]
    #[error(ignore)]
    EarlierEra(Era),
    /// The call failed. A write may have taken effect unless the error says it was not sent.
    #[display("{_0}")]
    Failed(#[error(source)] CallError),
    /// The store refused the call, with this HTTP status, and changed nothing.
    #[display("the store refused the call with status {_0}")]
    #[error(ignore)]
    Refused(u16),
    /// A conditional write found another end of the topic than expected.
    #[display("the topic ends at offset {end}, not where the write expected")]
    Conflict {
        /// Actual end of the topic.
        end: Offset,
    },
}

/// Client of the platform's store.
#[expect(
    async_fn_in_trait,
    reason = "callers run on one thread and need no Send bound"
)]
pub trait StoreClient: Clone + 'static {
    /// Reads a topic from an offset on, waiting up to `wait` for a new record.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the read failed or timed out.
    async fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> Result<TopicPage, StoreError>;

    /// Reads the newest record of each key of a topic.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if not all of them were read before the timeout.
    async fn newest(&self, topic: Topic) -> Result<TopicPage, StoreError>;

    /// Returns the latest era of all answers; none before the first one.
    fn era(&self) -> Option<Era>;

    /// Appends a record and returns the era and its offset.
    ///
    /// With `at`, the write succeeds only if the topic ends there.
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
    ) -> Result<(Era, Offset), StoreError>;
}

/// Address of the store, with the timeout for its answers.
#[derive(Clone, Copy, Debug)]
pub struct StoreAddress {
    /// Address that the store listens on.
    pub address: SocketAddr,
    /// Timeout for an answer, in addition to the wait that a read asks for.
    pub answer_timeout: Duration,
}

/// Returns a moment at which a page was current.
///
/// That is when the read was sent. A read that found no record during its whole wait was answered
/// only after that wait, so the page was still current then.
#[must_use]
pub fn page_current_at(page: &TopicPage, sent_at: Moment, wait: Duration, now: Moment) -> Moment {
    if page.records.is_empty() && now.since(sent_at) >= wait {
        sent_at.after(wait)
    } else {
        sent_at
    }
}
