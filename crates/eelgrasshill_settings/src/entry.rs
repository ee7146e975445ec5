//! The settings of an entry host: fields, allowed values and defaults.
//!
//! An entry host accepts callers' requests and forwards them to upstreams. The gateway of
//! [`GatewaySettings`](crate::GatewaySettings) is another program with settings of its own.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eelgrasshill_domain::{HostBudget, HostName, ZoneName};

use crate::Problems;
use crate::machine::{Machine, read_connections};
use crate::reader::{SectionReader, parse_list};
use crate::section::{read_file, read_sections, take_section, unknown_sections};

const ADDRESS_HINT: &str = "an IP number and a port, as in 127.0.0.1:8080";
const ZONES_HINT: &str = "the names of all zones between commas";
const SECTIONS_HINT: &str = "[host], [platform], [peers], [bounds] and [fleet]";

/// Memory of a machine whose settings do not say it, in MB, on which 4,096 connections fit.
const DEFAULT_MEMORY_MB: u64 = 1_536;

const DEFAULT_WORKER_THREADS: u64 = 2;
const DEFAULT_LOG_RETENTION_HOURS: u64 = 24;
const DEFAULT_RECEIVE_TIMEOUT_MS: u64 = 10_000;
const DEFAULT_READINESS_DELAY_MS: u64 = 5_000;
const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 120_000;
const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 20;
/// Connections where as many fit and the settings name no number.
const USUAL_CONNECTIONS: usize = 4_096;
const DEFAULT_MAX_QUEUED_REQUESTS: u64 = 1024;
const DEFAULT_MAX_ANSWER_TOKENS: u64 = 4096;
const DEFAULT_LOADS_PER_10S: u64 = 20;
const DEFAULT_MAX_PARALLEL_LOADS: u64 = 8;
const DEFAULT_MAX_PARALLEL_ADAPTERS: u64 = 60;
const DEFAULT_ADAPTER_MB: u64 = 64;

const SECONDS_PER_HOUR: u64 = 3600;

/// Limits and timeouts for callers' requests and for the shutdown of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryBounds {
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The maximum number of open connections.
    pub max_connections: usize,
    /// The maximum number of requests that wait for an upstream.
    pub max_queued_requests: usize,
    /// The timeout for receiving the head and body of a request.
    pub receive_timeout: Duration,
    /// The maximum number of tokens in an answer.
    pub max_answer_tokens: u64,
    /// How long the listener stays open after the host reports that it is not ready.
    ///
    /// The load balancer needs this time to notice.
    pub readiness_delay: Duration,
    /// The timeout for running requests to end at shutdown.
    pub drain_timeout: Duration,
}

/// Limits of the platform on loads by the whole fleet.
///
/// Each zone may use an equal part of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetLoadLimits {
    /// The maximum number of model loads in ten seconds.
    pub loads_per_10s: u64,
    /// The maximum number of concurrent model loads.
    pub max_parallel_loads: u64,
    /// The maximum number of concurrent adapter loads.
    pub max_parallel_adapters: u64,
    /// The memory used by one adapter in MB.
    pub adapter_mb: u64,
    /// All zones, which share the limits.
    pub zones: Vec<ZoneName>,
}

/// The validated settings of one entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// The name of the host.
    pub name: HostName,
    /// The zone that the host is located in.
    pub zone: ZoneName,
    /// The listening address for callers.
    pub caller_address: SocketAddr,
    /// The listening address for peers.
    pub peer_address: SocketAddr,
    /// The listening address for operators: metrics, status and traces.
    pub admin_address: SocketAddr,
    /// The number of threads that serve callers.
    pub worker_threads: usize,
    /// The memory of the machine, in MB.
    pub memory_mb: u64,
    /// The descriptors that the process may open, if the settings say it.
    pub descriptors: Option<u64>,
    /// The address of the log service.
    pub log_address: SocketAddr,
    /// The address of the host list service.
    pub host_list_address: SocketAddr,
    /// The retention period of the log.
    pub log_retention: Duration,
    /// Peers to contact while the log and the host list are unavailable.
    pub fallback_peers: Vec<SocketAddr>,
    /// Limits and timeouts for callers' requests and for the shutdown.
    pub bounds: EntryBounds,
    /// Limits of the platform on loads by the whole fleet.
    pub fleet_limits: FleetLoadLimits,
}

impl EntrySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all mistakes in the file.
    pub fn read(path: &Path) -> Result<Self, Problems> {
        read_file(path, Self::parse)
    }

    /// Parses and validates settings; `file` is the name used in error messages.
    ///
    /// # Errors
    ///
    /// Returns all mistakes in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let mut problems = Vec::new();
        let mut sections = match read_sections(file, text) {
            Ok(sections) => sections,
            Err(problem) => {
                return Err(Problems {
                    problems: vec![problem],
                });
            }
        };
        let mut take = |name: &str| take_section(&mut sections, name);
        let host = read_host(SectionReader::new(file, take("host"), &mut problems));
        let platform = read_platform(SectionReader::new(file, take("platform"), &mut problems));
        let fallback_peers = read_peers(SectionReader::new(file, take("peers"), &mut problems));
        let budget = host.as_ref().map_or_else(
            || HostBudget::new(DEFAULT_MEMORY_MB, None),
            |host| host.machine.budget(),
        );
        let bounds = read_bounds(
            SectionReader::new(file, take("bounds"), &mut problems),
            budget,
        );
        let fleet_limits = read_fleet(SectionReader::new(file, take("fleet"), &mut problems));
        problems.extend(unknown_sections(file, sections, SECTIONS_HINT));
        match (host, platform, fleet_limits) {
            (Some(host), Some(platform), Some(fleet_limits)) if problems.is_empty() => Ok(Self {
                name: host.name,
                zone: host.zone,
                caller_address: host.caller_address,
                peer_address: host.peer_address,
                admin_address: host.admin_address,
                worker_threads: host.worker_threads,
                memory_mb: host.machine.memory_mb,
                descriptors: host.machine.descriptors,
                log_address: platform.log_address,
                host_list_address: platform.host_list_address,
                log_retention: platform.log_retention,
                fallback_peers,
                bounds,
                fleet_limits,
            }),
            _ => Err(Problems { problems }),
        }
    }

    /// Lowers the limit on connections to what a process with that many descriptors can serve.
    #[must_use]
    pub fn within_descriptors(mut self, descriptors: u64) -> Self {
        let allowed = self
            .descriptors
            .map_or(descriptors, |own| own.min(descriptors));
        self.descriptors = Some(allowed);
        let connections = self.budget().usual_connections(self.bounds.max_connections);
        self.bounds.max_connections = connections;
        self
    }

    /// Returns the budget of the host's machine.
    #[must_use]
    pub fn budget(&self) -> HostBudget {
        HostBudget::new(self.memory_mb, self.descriptors)
    }
}

struct HostSection {
    name: HostName,
    zone: ZoneName,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    worker_threads: usize,
    machine: Machine,
}

fn read_host(mut reader: SectionReader<'_>) -> Option<HostSection> {
    let name = reader.required("name", "a host name of a-z, 0-9 and `-`");
    let zone = reader.required("zone", "a zone name of a-z, 0-9 and `-`");
    let caller_address = reader.required("listen", ADDRESS_HINT);
    let peer_address = reader.required("peer", ADDRESS_HINT);
    let admin_address = reader.required("admin", ADDRESS_HINT);
    let worker_threads = reader.number(
        "threads",
        "a number from 1 to 64",
        1..=64,
        DEFAULT_WORKER_THREADS,
    );
    let machine = Machine::read(&mut reader, DEFAULT_MEMORY_MB);
    reader.report_unknown_fields();
    Some(HostSection {
        name: name?,
        zone: zone?,
        caller_address: caller_address?,
        peer_address: peer_address?,
        admin_address: admin_address?,
        worker_threads: to_usize(worker_threads),
        machine,
    })
}

struct PlatformSection {
    log_address: SocketAddr,
    host_list_address: SocketAddr,
    log_retention: Duration,
}

fn read_platform(mut reader: SectionReader<'_>) -> Option<PlatformSection> {
    const HOURS_HINT: &str = "hours from 1 to 8760";
    let log_address = reader.required("log", ADDRESS_HINT);
    let host_list_address = reader.required("hosts", ADDRESS_HINT);
    let retention_hours = reader.number(
        "retention-hours",
        HOURS_HINT,
        1..=8760,
        DEFAULT_LOG_RETENTION_HOURS,
    );
    reader.report_unknown_fields();
    Some(PlatformSection {
        log_address: log_address?,
        host_list_address: host_list_address?,
        log_retention: Duration::from_secs(retention_hours * SECONDS_PER_HOUR),
    })
}

fn read_peers(mut reader: SectionReader<'_>) -> Vec<SocketAddr> {
    let peers = reader.list(
        "addresses",
        "addresses between commas, each an IP number and a port",
    );
    reader.report_unknown_fields();
    peers
}

fn read_bounds(mut reader: SectionReader<'_>, budget: HostBudget) -> EntryBounds {
    const MILLIS_HINT: &str = "milliseconds from 100 to 3600000";
    let mut millis = |field: &str, default: u64| {
        Duration::from_millis(reader.number(field, MILLIS_HINT, 100..=3_600_000, default))
    };
    let receive_timeout = millis("arrival-ms", DEFAULT_RECEIVE_TIMEOUT_MS);
    let readiness_delay = millis("leave-ms", DEFAULT_READINESS_DELAY_MS);
    let drain_timeout = millis("drain-ms", DEFAULT_DRAIN_TIMEOUT_MS);
    let max_body_bytes = reader.number(
        "body-bytes",
        "bytes from 1024 to 67108864",
        1024..=67_108_864,
        DEFAULT_MAX_BODY_BYTES,
    );
    let max_connections = read_connections(&mut reader, budget, USUAL_CONNECTIONS);
    let max_queued_requests = reader.number(
        "queue",
        "a number from 1 to 100000",
        1..=100_000,
        DEFAULT_MAX_QUEUED_REQUESTS,
    );
    let max_answer_tokens = reader.number(
        "answer-tokens",
        "a number from 1 to 1000000",
        1..=1_000_000,
        DEFAULT_MAX_ANSWER_TOKENS,
    );
    reader.report_unknown_fields();
    EntryBounds {
        max_body_bytes: to_usize(max_body_bytes),
        max_connections,
        max_queued_requests: to_usize(max_queued_requests),
        receive_timeout,
        max_answer_tokens,
        readiness_delay,
        drain_timeout,
    }
}

fn read_fleet(mut reader: SectionReader<'_>) -> Option<FleetLoadLimits> {
    let count_hint = "a number from 1 to 10000";
    let loads_per_10s = reader.number(
        "loads-per-10s",
        count_hint,
        1..=10_000,
        DEFAULT_LOADS_PER_10S,
    );
    let max_parallel_loads = reader.number(
        "loads-at-once",
        count_hint,
        1..=10_000,
        DEFAULT_MAX_PARALLEL_LOADS,
    );
    let max_parallel_adapters = reader.number(
        "adapters-at-once",
        count_hint,
        1..=10_000,
        DEFAULT_MAX_PARALLEL_ADAPTERS,
    );
    let adapter_mb = reader.number(
        "adapter-mb",
        "MB from 0 to 100000",
        0..=100_000,
        DEFAULT_ADAPTER_MB,
    );
    let zones = reader.required_with("zones", ZONES_HINT, parse_zones);
    reader.report_unknown_fields();
    Some(FleetLoadLimits {
        loads_per_10s,
        max_parallel_loads,
        max_parallel_adapters,
        adapter_mb,
        zones: zones?,
    })
}

fn parse_zones(text: &str) -> Option<Vec<ZoneName>> {
    parse_list(text).filter(|zones| !zones.is_empty())
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
