//! Settings and counts of the stand-in engine.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{AdapterName, Fencing, HostName, ModelName, record};

record! {
    /// A model in an engine's memory.
    pub struct ModelCopy {
        /// The model.
        pub model: ModelName,
        /// Its version.
        pub version: String,
        /// Memory that it takes, in MB.
        pub memory: u64,
        /// Adapters that are loaded on it.
        pub adapters: Vec<AdapterName>,
    }

    /// What an engine has counted, as an oracle for tests.
    #[derive(Copy, Default)]
    pub struct EngineCounts {
        /// Loads refused because memory would have been exceeded.
        pub overcommits: u64,
        /// Most memory ever in use, in MB.
        pub peak: u64,
        /// Models loaded since the start.
        pub loads: u64,
        /// Models unloaded since the start.
        pub unloads: u64,
        /// Adapters loaded since the start.
        pub adapters: u64,
        /// Orders refused because of an old fencing number.
        pub fenced: u64,
        /// Orders taken whose fencing number was below the highest seen.
        pub unfenced: u64,
        /// Orders ignored because their id had been processed.
        pub repeats: u64,
        /// Answers accepted.
        pub accepted: u64,
        /// Answers generated to their end.
        pub finished: u64,
        /// Answers cancelled, or left by their client.
        pub cancelled: u64,
        /// Requests refused because their model was not resident.
        pub misses: u64,
        /// Tokens generated.
        pub tokens: u64,
        /// Prompt tokens that were computed.
        pub computed: u64,
        /// Prompt tokens that the prefix cache held.
        pub cached: u64,
        /// Most answers generated at once.
        #[serde(rename = "widest")]
        pub max_running: u64,
    }
}

/// Settings of the stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The engine's host.
    pub host: HostName,
    /// Memory for models, in MB.
    pub memory: u64,
    /// Answers generated at once.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Whether old fencing numbers are refused.
    pub fencing: Fencing,
    /// Models that are resident at the start.
    pub resident: Vec<ModelCopy>,
    /// The weight store; without one, loads take a fixed time.
    pub store: Option<SocketAddr>,
    /// Time to load a model without a store.
    pub load: Duration,
    /// Time to load an adapter without a store.
    pub adapter: Duration,
    /// Time between two published reports.
    pub lag: Duration,
    /// Longest time between two events of a stream.
    pub ping: Duration,
    /// Time between tokens of a lone answer.
    pub base: Duration,
    /// Time between tokens added by each answer of the batch.
    pub each: Duration,
    /// Time to compute one prompt token.
    pub prefill: Duration,
    /// Prompt blocks that the prefix cache holds.
    pub blocks: usize,
    /// Longest answer before `max_tokens`; none generates all of `max_tokens`.
    pub natural_length: Option<u64>,
    /// How many times faster than these settings say everything runs.
    pub speed: u32,
}

impl EngineSettings {
    /// Makes settings with usual times for an engine without models.
    #[must_use]
    pub fn new(host: HostName) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            host,
            memory: 80_000,
            slots: 16,
            queue: 1024,
            fencing: Fencing::Checked,
            resident: Vec::new(),
            store: None,
            load: Duration::from_secs(2),
            adapter: Duration::from_millis(8),
            lag: Duration::from_millis(250),
            ping: Duration::from_millis(200),
            base: Duration::from_millis(18),
            each: Duration::from_micros(1500),
            prefill: Duration::from_micros(200),
            blocks: 20_000,
            natural_length: None,
            speed: 1,
        }
    }

    /// Adds a model that is resident at the start.
    #[must_use]
    pub fn with_model(mut self, copy: ModelCopy) -> Self {
        self.resident.push(copy);
        self
    }

    /// Makes everything run some times faster.
    #[must_use]
    pub fn with_speed(mut self, speed: u32) -> Self {
        self.speed = speed.max(1);
        self
    }

    /// Sets whether old fencing numbers are refused.
    #[must_use]
    pub fn with_fencing(mut self, fencing: Fencing) -> Self {
        self.fencing = fencing;
        self
    }

    /// Shortens a time by the speed.
    pub(crate) fn scaled(&self, span: Duration) -> Duration {
        span / self.speed.max(1)
    }
}
