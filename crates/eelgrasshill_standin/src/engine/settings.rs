//! The settings and the counts of the stand-in engine.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{AdapterName, Fencing, HostName, ModelName, record};

record! {
    /// A model in an engine's memory.
    pub struct ModelCopy {
        /// The model.
        pub model: ModelName,
        /// The model's version.
        pub version: String,
        /// The memory that the copy occupies, in MB.
        #[serde(rename = "memory")]
        pub memory_mb: u64,
        /// The adapters loaded on this copy.
        pub adapters: Vec<AdapterName>,
    }

    /// The engine's own counts, which tests compare with their clients' results.
    #[derive(Copy, Default)]
    pub struct EngineCounts {
        /// Loads refused for lack of memory.
        pub overcommits: u64,
        /// Highest memory use, in MB.
        #[serde(rename = "peak")]
        pub peak_mb: u64,
        /// Models loaded since the start.
        pub loads: u64,
        /// Models unloaded since the start.
        pub unloads: u64,
        /// Adapters loaded since the start.
        pub adapters: u64,
        /// Orders refused because of an old fencing token.
        pub fenced: u64,
        /// Orders with an old fencing token that were taken because fencing was ignored.
        pub unfenced: u64,
        /// Orders whose id had already been processed.
        pub repeats: u64,
        /// Requests accepted.
        pub accepted: u64,
        /// Answers generated to their end.
        pub finished: u64,
        /// Answers cancelled, or abandoned by a client that disconnected.
        pub cancelled: u64,
        /// Requests refused because their model or adapter was not loaded.
        pub misses: u64,
        /// Tokens generated.
        pub tokens: u64,
        /// Prompt tokens that the prefix cache did not hold.
        pub computed: u64,
        /// Prompt tokens that the prefix cache held.
        pub cached: u64,
        /// Highest number of answers generated at once.
        #[serde(rename = "widest")]
        pub max_running: u64,
    }
}

/// Settings of the stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The engine's host.
    pub host: HostName,
    /// Memory for models, in MB.
    pub memory_mb: u64,
    /// Maximum number of answers generated at once.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot.
    pub queue: usize,
    /// Whether orders with an old fencing token are refused.
    pub fencing: Fencing,
    /// Models that are resident at the start.
    pub resident: Vec<ModelCopy>,
    /// The weight store; without one, each load takes a fixed time.
    pub store: Option<SocketAddr>,
    /// Time to load a model without a store.
    pub model_load_time: Duration,
    /// Time to load an adapter without a store.
    pub adapter_load_time: Duration,
    /// Interval between published reports.
    pub report_interval: Duration,
    /// Time without a token after which a stream sends a ping.
    pub ping_interval: Duration,
    /// Base of the time between tokens, to which the part per running answer is added.
    pub base_interval: Duration,
    /// Time by which each running answer lengthens the time between tokens of all answers.
    pub interval_per_answer: Duration,
    /// Time to compute one prompt token.
    pub prefill_per_token: Duration,
    /// Capacity of the prefix cache in prompt blocks of 64 bytes.
    pub cache_blocks: usize,
    /// Maximum natural answer length in tokens; without one, answers reach `max_tokens`.
    pub max_natural_length: Option<u64>,
    /// Factor by which the times of tokens, prefill, loads, reports and pings are divided.
    pub speed: u32,
}

impl EngineSettings {
    /// Creates settings with default times and no models.
    ///
    /// The flags of the command line have the same defaults.
    #[must_use]
    pub fn new(host: HostName) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            host,
            memory_mb: 80_000,
            slots: 16,
            queue: 1024,
            fencing: Fencing::Checked,
            resident: Vec::new(),
            store: None,
            model_load_time: Duration::from_secs(2),
            adapter_load_time: Duration::from_millis(8),
            report_interval: Duration::from_millis(250),
            ping_interval: Duration::from_millis(200),
            base_interval: Duration::from_millis(18),
            interval_per_answer: Duration::from_micros(1500),
            prefill_per_token: Duration::from_micros(200),
            cache_blocks: 20_000,
            max_natural_length: None,
            speed: 1,
        }
    }

    /// Adds a model that is resident at the start.
    #[must_use]
    pub fn with_model(mut self, copy: ModelCopy) -> Self {
        self.resident.push(copy);
        self
    }

    /// Sets the factor by which the engine's times are divided, at least 1.
    #[must_use]
    pub fn with_speed(mut self, speed: u32) -> Self {
        self.speed = speed.max(1);
        self
    }

    /// Sets whether orders with an old fencing token are refused.
    #[must_use]
    pub fn with_fencing(mut self, fencing: Fencing) -> Self {
        self.fencing = fencing;
        self
    }

    /// Divides a time by the speed factor.
    pub(crate) fn divide_by_speed(&self, time: Duration) -> Duration {
        time / self.speed.max(1)
    }
}
