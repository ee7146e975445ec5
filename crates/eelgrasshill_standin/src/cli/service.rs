//! Command-line flags of the platform's stand-ins, the plain service and the relay.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;

use super::flag::HostFlag;
use crate::hosts::HostsSettings;
use crate::log::LogSettings;
use crate::plain::PlainSettings;
use crate::relay::RelaySettings;
use crate::store::StoreSettings;

/// Serves an append-only log.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "log")]
pub(super) struct LogFlags {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// maximum records kept in a stream
    #[argh(option, default = "1_000_000")]
    records: usize,
    /// maximum age of a record in seconds
    #[argh(option, default = "86_400")]
    age_s: u64,
    /// maximum appends per second over all streams
    #[argh(option, default = "400")]
    rate: u32,
}

impl LogFlags {
    pub(super) fn settings(self) -> LogSettings {
        LogSettings {
            listen: self.listen,
            max_records: self.records,
            max_age: Duration::from_secs(self.age_s),
            appends_per_second: self.rate,
            ..LogSettings::default()
        }
    }
}

/// Serves a lagging host list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hosts")]
pub(super) struct HostsFlags {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// milliseconds until an edit is visible
    #[argh(option, default = "1000")]
    lag_ms: u64,
    /// host at the start: NAME,ZONE,IP:PORT,entry|upstream[,live|leaving]; may be repeated
    #[argh(option)]
    host: Vec<HostFlag>,
}

impl HostsFlags {
    pub(super) fn settings(self) -> HostsSettings {
        HostsSettings {
            listen: self.listen,
            lag: Duration::from_millis(self.lag_ms),
            hosts: self.host.into_iter().map(|host| host.0).collect(),
        }
    }
}

/// Serves a rate-limited weight store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "store")]
pub(super) struct StoreFlags {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// model loads that may begin in a second
    #[argh(option, default = "2.0")]
    rate: f64,
    /// concurrent model loads that run at full speed; more share the bandwidth
    #[argh(option, default = "8")]
    parallel: u32,
    /// concurrent adapter loads that run at full speed; more share the bandwidth
    #[argh(option, default = "60")]
    adapters: u32,
    /// milliseconds of a model's load at full speed
    #[argh(option, default = "2000")]
    load_ms: u64,
    /// milliseconds of an adapter's load at full speed
    #[argh(option, default = "8")]
    adapter_ms: u64,
    /// how many times faster everything runs
    #[argh(option, default = "1")]
    speed: u32,
}

impl StoreFlags {
    pub(super) fn settings(self) -> StoreSettings {
        StoreSettings {
            listen: self.listen,
            model_loads_per_second: self.rate,
            full_speed_model_loads: self.parallel,
            full_speed_adapter_loads: self.adapters,
            model_load_time: Duration::from_millis(self.load_ms),
            adapter_load_time: Duration::from_millis(self.adapter_ms),
            speed: self.speed.max(1),
        }
    }
}

/// Serves a plain service that counts its runs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plain")]
pub(super) struct PlainFlags {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// name that the answers give
    #[argh(option, default = "String::from(\"plain\")")]
    name: String,
    /// milliseconds that a call takes
    #[argh(option, default = "0")]
    work_ms: u64,
}

impl PlainFlags {
    pub(super) fn settings(self) -> PlainSettings {
        PlainSettings {
            listen: self.listen,
            name: self.name,
            answer_delay: Duration::from_millis(self.work_ms),
        }
    }
}

/// Relays TCP connections, which can be cut, silenced and delayed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "relay")]
pub(super) struct RelayFlags {
    /// address where clients connect
    #[argh(option)]
    link: SocketAddr,
    /// address where their connections lead
    #[argh(option)]
    target: SocketAddr,
    /// address of the admin paths
    #[argh(option)]
    listen: SocketAddr,
}

impl RelayFlags {
    pub(super) fn settings(self) -> RelaySettings {
        RelaySettings {
            link: self.link,
            target: self.target,
            listen: self.listen,
        }
    }
}
