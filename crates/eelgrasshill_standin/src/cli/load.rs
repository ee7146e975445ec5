//! Command-line flags of the load tool.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;

use crate::load::{
    Burst, LatencyObjective, LoadCaller, LoadError, LoadSettings, ModelShare, PlainLoad, run_load,
};

/// Sends an open-loop load and reports how it was answered.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub(super) struct LoadFlags {
    /// entry host, or engine with --direct; may be repeated
    #[argh(option)]
    target: Vec<SocketAddr>,
    /// send straight to engines
    #[argh(switch)]
    direct: bool,
    /// caller: ORGANISATION,KEY,SHARE,CLASS[,RATE,BURST]; may be repeated
    #[argh(option)]
    caller: Vec<LoadCaller>,
    /// model: MODEL[:ADAPTER][,SHARE]; may be repeated
    #[argh(option)]
    model: Vec<ModelShare>,
    /// burst: `org|model,NAME,FACTOR,FROM_S,UNTIL_S`; may be repeated
    #[argh(option)]
    burst: Vec<Burst>,
    /// seed of arrivals and contents
    #[argh(option, default = "1")]
    seed: u64,
    /// mean requests a second
    #[argh(option, default = "20.0")]
    rate: f64,
    /// maximum number of requests
    #[argh(option, default = "10_000")]
    count: usize,
    /// seconds over which requests arrive
    #[argh(option, default = "10")]
    seconds: u64,
    /// minimum words of a prompt
    #[argh(option, default = "8")]
    prompt_min: u64,
    /// maximum words of a prompt
    #[argh(option, default = "64")]
    prompt_max: u64,
    /// minimum tokens asked for
    #[argh(option, default = "8")]
    answer_min: u64,
    /// maximum tokens asked for
    #[argh(option, default = "64")]
    answer_max: u64,
    /// the engines' --natural value, which is needed to compute the expected texts
    #[argh(option, long = "natural")]
    max_natural_length: Option<u64>,
    /// latency objective: maximum milliseconds to the first token
    #[argh(option, default = "350")]
    first_ms: u64,
    /// latency objective: maximum mean milliseconds between tokens
    #[argh(option, default = "39")]
    mean_ms: u64,
    /// latency objective: maximum 95th percentile of the milliseconds between tokens
    #[argh(option, default = "39")]
    tail_ms: u64,
    /// milliseconds without a token after which an answer has stalled
    #[argh(option, long = "stall", default = "2000")]
    stall_ms: u64,
    /// seconds without an event after which an answer is abandoned
    #[argh(option, long = "patience", default = "30")]
    idle_timeout_seconds: u64,
    /// number of accelerators
    #[argh(option)]
    accelerators: Option<u32>,
    /// sending threads
    #[argh(option, default = "1")]
    threads: usize,
    /// path of plain calls with idempotency keys
    #[argh(option)]
    plain: Option<String>,
    /// share of requests that are plain calls, from 0 to 1
    #[argh(option, default = "0.2")]
    plain_share: f64,
    /// maximum times a plain call is sent until it is acknowledged
    #[argh(option, default = "3")]
    plain_tries: u32,
    /// plain stand-in whose counts are compared; may be repeated
    #[argh(option)]
    plain_check: Vec<SocketAddr>,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

impl LoadFlags {
    fn settings(self) -> LoadSettings {
        let plain = self.plain.map(|path| PlainLoad {
            path,
            share: self.plain_share,
            max_attempts: self.plain_tries,
            checked_services: self.plain_check,
        });
        LoadSettings {
            targets: self.target,
            direct: self.direct,
            seed: self.seed,
            requests_per_second: self.rate,
            max_requests: self.count,
            arrival_period: Duration::from_secs(self.seconds),
            callers: self.caller,
            models: self.model,
            bursts: self.burst,
            prompt_words: (self.prompt_min, self.prompt_max),
            answer_tokens: (self.answer_min, self.answer_max),
            max_natural_length: self.max_natural_length,
            objective: LatencyObjective {
                first_token: Duration::from_millis(self.first_ms),
                mean_gap: Duration::from_millis(self.mean_ms),
                p95_gap: Duration::from_millis(self.tail_ms),
            },
            stall_timeout: Duration::from_millis(self.stall_ms),
            idle_timeout: Duration::from_secs(self.idle_timeout_seconds),
            accelerators: self.accelerators,
            threads: self.threads,
            plain,
        }
    }

    /// Runs the load and prints its report.
    pub(super) fn run(self) -> Result<(), LoadError> {
        let json = self.json;
        let report = run_load(&self.settings())?;
        if json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            print!("{report}");
        }
        Ok(())
    }
}
