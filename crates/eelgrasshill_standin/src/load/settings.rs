//! The settings of a load: what is sent and how the answers are judged.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::Class;

/// Rate and burst of an organisation's limit on model tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenLimit {
    /// Refill rate in tokens per second.
    pub tokens_per_second: u64,
    /// Capacity in tokens.
    pub burst_tokens: u64,
}

/// An organisation that sends requests of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadCaller {
    /// The name of the organisation.
    pub organisation: String,
    /// The API key that its requests carry.
    pub key: String,
    /// Its share of all requests, relative to the other callers.
    pub share: f64,
    /// The class that its requests are expected to have.
    pub class: Class,
    /// Its token limit.
    ///
    /// Without one, all its requests count as within the limit and all its refusals as wrongful.
    pub limit: Option<TokenLimit>,
}

impl LoadCaller {
    /// Creates an interactive caller with a share of 1 and no limit.
    #[must_use]
    pub fn new(organisation: &str, key: &str) -> Self {
        Self {
            organisation: organisation.to_owned(),
            key: key.to_owned(),
            share: 1.0,
            class: Class::Interactive,
            limit: None,
        }
    }

    /// Sets the share of all requests.
    #[must_use]
    pub fn with_share(mut self, share: f64) -> Self {
        self.share = share;
        self
    }

    /// Sets the expected class of the requests.
    #[must_use]
    pub fn with_class(mut self, class: Class) -> Self {
        self.class = class;
        self
    }

    /// Sets the rate in tokens per second and the burst in tokens.
    #[must_use]
    pub fn with_limit(mut self, tokens_per_second: u64, burst_tokens: u64) -> Self {
        self.limit = Some(TokenLimit {
            tokens_per_second,
            burst_tokens,
        });
        self
    }
}

/// A model and its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelShare {
    /// The model, or `model:adapter`.
    pub name: String,
    /// Its share of all requests, relative to the other models.
    pub share: f64,
}

impl ModelShare {
    /// Creates a model with a share of 1.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            share: 1.0,
        }
    }

    /// Sets the share of all requests.
    #[must_use]
    pub fn with_share(mut self, share: f64) -> Self {
        self.share = share;
        self
    }
}

/// The organisation or model to which a burst applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// An organisation that sends more, on top of all other requests.
    Organisation(String),
    /// A model that is requested more often, in place of other models.
    Model(String),
}

/// A period in which one organisation sends more or one model is requested more often.
#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    /// Whose demand is multiplied.
    pub subject: Subject,
    /// The factor by which it is multiplied.
    pub factor: f64,
    /// Its start, measured from the start of the load.
    pub from: Duration,
    /// Its end, measured from the start of the load.
    pub until: Duration,
}

/// The latency objective that an answer must meet to count as attained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyObjective {
    /// Maximum time to the first token.
    pub first_token: Duration,
    /// Maximum mean time between tokens.
    pub mean_gap: Duration,
    /// Maximum 95th percentile of the times between tokens.
    pub p95_gap: Duration,
}

impl Default for LatencyObjective {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(350),
            mean_gap: Duration::from_millis(39),
            p95_gap: Duration::from_millis(39),
        }
    }
}

/// The plain calls of a load, sent with idempotency keys.
#[derive(Clone, Debug)]
pub struct PlainLoad {
    /// The path to call.
    pub path: String,
    /// Share of all requests that are plain calls, from 0 to 1.
    pub share: f64,
    /// Maximum number of attempts of a call.
    pub max_attempts: u32,
    /// Plain stand-ins whose counts are checked at the end.
    pub checked_services: Vec<SocketAddr>,
}

/// The settings of a load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Addresses of the entry hosts, or of engines if `direct` is set.
    pub targets: Vec<SocketAddr>,
    /// Whether requests go directly to engines.
    pub direct: bool,
    /// Seed of the arrivals and their contents.
    pub seed: u64,
    /// Mean requests per second outside bursts.
    pub requests_per_second: f64,
    /// Maximum number of requests.
    pub max_requests: usize,
    /// Period over which requests arrive.
    pub arrival_period: Duration,
    /// The organisations that send requests.
    pub callers: Vec<LoadCaller>,
    /// The models that are requested.
    pub models: Vec<ModelShare>,
    /// Periods of higher demand.
    pub bursts: Vec<Burst>,
    /// Minimum and maximum words of a prompt, without its shared prefix.
    ///
    /// All prompts of one caller and model start with the same 48 words.
    pub prompt_words: (u64, u64),
    /// Minimum and maximum of the requested answer length in tokens.
    pub answer_tokens: (u64, u64),
    /// The engines' maximum natural answer length in tokens, if they have one.
    pub max_natural_length: Option<u64>,
    /// The latency objective that an answer must meet to count as attained.
    pub objective: LatencyObjective,
    /// Time without a token after which an answer counts as stalled.
    ///
    /// For the first token it is measured from the due time of the request.
    pub stall_timeout: Duration,
    /// Maximum time without an event before an answer is abandoned.
    pub idle_timeout: Duration,
    /// Number of accelerators, for the attained answers per second and accelerator.
    pub accelerators: Option<u32>,
    /// Number of sending threads.
    pub threads: usize,
    /// Plain calls among the requests, if any.
    pub plain: Option<PlainLoad>,
}

impl LoadSettings {
    /// Creates a small load of one organisation on one model.
    ///
    /// The flags of the command line have the same defaults.
    #[must_use]
    pub fn new(targets: Vec<SocketAddr>, caller: LoadCaller, model: ModelShare) -> Self {
        Self {
            targets,
            direct: false,
            seed: 1,
            requests_per_second: 20.0,
            max_requests: 10_000,
            arrival_period: Duration::from_secs(10),
            callers: vec![caller],
            models: vec![model],
            bursts: Vec::new(),
            prompt_words: (8, 64),
            answer_tokens: (8, 64),
            max_natural_length: None,
            objective: LatencyObjective::default(),
            stall_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(30),
            accelerators: None,
            threads: 1,
            plain: None,
        }
    }
}
