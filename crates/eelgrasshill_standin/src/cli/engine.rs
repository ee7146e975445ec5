//! Command-line flags of the stand-in engine.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use eelgrasshill_domain::{Fencing, HostName};

use super::flag::parse_fencing;
use crate::engine::{EngineSettings, ModelCopy};

/// Serves a model engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub(super) struct EngineFlags {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// name of the engine's host
    #[argh(option)]
    host: HostName,
    /// model at the start: NAME,VERSION,MB[,ADAPTER+ADAPTER]; may be repeated
    #[argh(option)]
    model: Vec<ModelCopy>,
    /// memory for models in MB
    #[argh(option, long = "memory", default = "80_000")]
    memory_mb: u64,
    /// answers generated at once
    #[argh(option, default = "16")]
    slots: u32,
    /// requests that may wait
    #[argh(option, default = "1024")]
    queue: usize,
    /// whether old fencing tokens are refused: checked or ignored
    #[argh(option, from_str_fn(parse_fencing), default = "Fencing::Checked")]
    fencing: Fencing,
    /// address of the weight store; without it loads take a fixed time
    #[argh(option)]
    store: Option<SocketAddr>,
    /// milliseconds of a model's load without a store
    #[argh(option, default = "2000")]
    load_ms: u64,
    /// milliseconds of an adapter's load without a store
    #[argh(option, default = "8")]
    adapter_ms: u64,
    /// milliseconds between two published reports
    #[argh(option, long = "lag-ms", default = "250")]
    report_interval_ms: u64,
    /// maximum milliseconds between two events of a stream
    #[argh(option, default = "200")]
    ping_ms: u64,
    /// base of the microseconds between tokens; each running answer adds --each-us
    #[argh(option, default = "18_000")]
    base_us: u64,
    /// microseconds by which each running answer lengthens the time between tokens
    #[argh(option, long = "each-us", default = "1500")]
    per_answer_us: u64,
    /// microseconds to compute a token of the prompt
    #[argh(option, default = "200")]
    prefill_us: u64,
    /// prompt blocks of 64 bytes (16 tokens) that the prefix cache holds
    #[argh(option, long = "blocks", default = "20_000")]
    cache_blocks: usize,
    /// maximum length in tokens at which answers end by themselves; without it every
    /// answer reaches the number of tokens asked for
    #[argh(option, long = "natural")]
    max_natural_length: Option<u64>,
    /// how many times faster everything runs
    #[argh(option, default = "1")]
    speed: u32,
}

impl EngineFlags {
    pub(super) fn settings(self) -> EngineSettings {
        EngineSettings {
            listen: self.listen,
            memory_mb: self.memory_mb,
            slots: self.slots,
            queue: self.queue,
            fencing: self.fencing,
            resident: self.model,
            store: self.store,
            model_load_time: Duration::from_millis(self.load_ms),
            adapter_load_time: Duration::from_millis(self.adapter_ms),
            report_interval: Duration::from_millis(self.report_interval_ms),
            ping_interval: Duration::from_millis(self.ping_ms),
            base_interval: Duration::from_micros(self.base_us),
            interval_per_answer: Duration::from_micros(self.per_answer_us),
            prefill_per_token: Duration::from_micros(self.prefill_us),
            cache_blocks: self.cache_blocks,
            max_natural_length: self.max_natural_length,
            ..EngineSettings::new(self.host)
        }
        .with_speed(self.speed)
    }
}
