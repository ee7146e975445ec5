//! What a load consists of and how its answers are judged.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::Class;

/// Tokens that an organisation may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenLimit {
    /// Tokens that accrue in a second.
    pub rate: u64,
    /// Most tokens that may be saved up.
    pub burst: u64,
}

/// One organisation's part of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// The organisation.
    pub org: String,
    /// Its key.
    pub key: String,
    /// Its share of all requests, relative to the other callers.
    pub share: f64,
    /// The class that its requests are expected to have.
    pub class: Class,
    /// Its rate and burst; without one every refusal counts as wrongful.
    pub limit: Option<TokenLimit>,
}

impl Caller {
    /// Makes an interactive caller with a share of one.
    #[must_use]
    pub fn new(org: &str, key: &str) -> Self {
        Self {
            org: org.to_owned(),
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

    /// Sets the class.
    #[must_use]
    pub fn with_class(mut self, class: Class) -> Self {
        self.class = class;
        self
    }

    /// Sets the rate in tokens a second and the burst in tokens.
    #[must_use]
    pub fn with_limit(mut self, rate: u64, burst: u64) -> Self {
        self.limit = Some(TokenLimit { rate, burst });
        self
    }
}

/// One model's part of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelShare {
    /// The model, or `model:adapter`.
    pub name: String,
    /// Its share of all requests, relative to the other models.
    pub share: f64,
}

impl ModelShare {
    /// Makes a model with a share of one.
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

/// Whose demand a burst multiplies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// An organisation sends more, beside the others' requests.
    Organisation(String),
    /// A model is asked for more often, instead of other models.
    Model(String),
}

/// Demand that is multiplied for a while.
#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    /// Whose demand.
    pub subject: Subject,
    /// By how much.
    pub factor: f64,
    /// When it begins, counted from the start.
    pub from: Duration,
    /// When it ends, counted from the start.
    pub until: Duration,
}

/// The bounds within which an answer counts as attained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Goal {
    /// Longest wait for the first token.
    pub first: Duration,
    /// Longest mean time between tokens.
    pub mean: Duration,
    /// Longest time between tokens for 95 in 100 tokens.
    pub tail: Duration,
}

impl Default for Goal {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(350),
            mean: Duration::from_millis(39),
            tail: Duration::from_millis(39),
        }
    }
}

/// Plain calls with idempotency keys beside the chat.
#[derive(Clone, Debug)]
pub struct PlainLoad {
    /// The path that is called.
    pub path: String,
    /// Share of all requests that are plain calls, from 0 to 1.
    pub share: f64,
    /// How often a call is sent until it is acknowledged.
    pub tries: u32,
    /// Plain stand-ins whose counts are compared at the end.
    pub check: Vec<SocketAddr>,
}

/// A load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Entry hosts, or engines if the load is direct.
    pub targets: Vec<SocketAddr>,
    /// Whether the requests go straight to engines.
    pub direct: bool,
    /// The seed of arrivals and contents.
    pub seed: u64,
    /// Mean requests a second, without bursts.
    pub rate: f64,
    /// Most requests.
    pub count: usize,
    /// Time over which requests arrive.
    pub span: Duration,
    /// The organisations.
    pub callers: Vec<Caller>,
    /// The models.
    pub models: Vec<ModelShare>,
    /// The bursts.
    pub bursts: Vec<Burst>,
    /// Fewest and most words of a prompt, beside a prefix shared by caller and model.
    pub prompt: (u64, u64),
    /// Fewest and most tokens asked for.
    pub answer: (u64, u64),
    /// The engines' own longest answer, if they end answers by themselves.
    pub natural_length: Option<u64>,
    /// The bounds of attainment.
    pub goal: Goal,
    /// Time without a token after which an answer counts as stalled.
    pub stall: Duration,
    /// Time without any byte after which an answer is given up.
    pub idle_timeout: Duration,
    /// Number of accelerators, for attainment per accelerator.
    pub accelerators: Option<u32>,
    /// Threads that send.
    pub threads: usize,
    /// Plain calls.
    pub plain: Option<PlainLoad>,
}

impl LoadSettings {
    /// Makes a small load of one organisation on one model.
    #[must_use]
    pub fn new(targets: Vec<SocketAddr>, caller: Caller, model: ModelShare) -> Self {
        Self {
            targets,
            direct: false,
            seed: 1,
            rate: 20.0,
            count: 10_000,
            span: Duration::from_secs(10),
            callers: vec![caller],
            models: vec![model],
            bursts: Vec::new(),
            prompt: (8, 64),
            answer: (8, 64),
            natural_length: None,
            goal: Goal::default(),
            stall: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(30),
            accelerators: None,
            threads: 1,
            plain: None,
        }
    }
}
