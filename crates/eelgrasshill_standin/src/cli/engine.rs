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
    #[argh(option, default = "80_000")]
    memory: u64,
    /// answers generated at once
    #[argh(option, default = "16")]
    slots: u32,
    /// requests that may wait
    #[argh(option, default = "1024")]
    queue: usize,
    /// whether old fencing numbers are refused: checked or ignored
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
    #[argh(option, default = "250")]
    lag_ms: u64,
    /// milliseconds between two events of a stream at most
    #[argh(option, default = "200")]
    ping_ms: u64,
    /// microseconds between tokens of a lone answer
    #[argh(option, default = "18_000")]
    base_us: u64,
    /// microseconds between tokens added by each answer of the batch
    #[argh(option, default = "1500")]
    each_us: u64,
    /// microseconds to compute a token of the prompt
    #[argh(option, default = "200")]
    prefill_us: u64,
    /// prompt blocks of 16 tokens that the prefix cache holds
    #[argh(option, default = "20_000")]
    blocks: usize,
    /// longest answer in tokens; without it all tokens asked for
    #[argh(option)]
    natural: Option<u64>,
    /// how many times faster everything runs
    #[argh(option, default = "1")]
    speed: u32,
}

impl EngineFlags {
    pub(super) fn settings(self) -> EngineSettings {
        EngineSettings {
            listen: self.listen,
            memory: self.memory,
            slots: self.slots,
            queue: self.queue,
            fencing: self.fencing,
            resident: self.model,
            store: self.store,
            load: Duration::from_millis(self.load_ms),
            adapter: Duration::from_millis(self.adapter_ms),
            lag: Duration::from_millis(self.lag_ms),
            ping_interval: Duration::from_millis(self.ping_ms),
            base_interval: Duration::from_micros(self.base_us),
            interval_per_answer: Duration::from_micros(self.each_us),
            prefill: Duration::from_micros(self.prefill_us),
            blocks: self.blocks,
            natural_length: self.natural,
            ..EngineSettings::new(self.host)
        }
        .with_speed(self.speed)
    }
}
