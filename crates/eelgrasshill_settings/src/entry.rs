//! The settings of an entry host: fields, allowed values and defaults.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eelgrasshill_domain::{HostName, ZoneName};

use crate::Problems;
use crate::reader::{Reader, parse_list};
use crate::section::{read_file, read_sections, take_section, unknown_sections};

const ADDRESS_HINT: &str = "an IP number and a port, as in 127.0.0.1:8080";
const ZONES_HINT: &str = "the names of all zones between commas";
const SECTIONS_HINT: &str = "[host], [platform], [peers], [bounds] and [fleet]";

/// Limits on the resources that callers may use on an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The maximum size of a request body in bytes.
    pub body: usize,
    /// The maximum number of open connections.
    pub connections: usize,
    /// The maximum number of requests that wait for an upstream.
    pub queue: usize,
    /// The timeout for receiving the head and body of a request.
    pub arrival: Duration,
    /// The maximum number of tokens in an answer.
    pub answer: u64,
    /// The time between leaving the load balancer and closing the listener.
    pub leave: Duration,
    /// The timeout for running requests to end at shutdown.
    pub drain: Duration,
}

/// Platform limits on loads by the whole fleet, divided equally among the zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetShares {
    /// The maximum number of model loads in ten seconds.
    pub loads: u64,
    /// The maximum number of concurrent model loads.
    pub parallel: u64,
    /// The maximum number of concurrent adapter loads.
    pub adapters: u64,
    /// The memory used by one adapter in MB.
    pub adapter: u64,
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
    pub listen: SocketAddr,
    /// The listening address for peers.
    pub peer: SocketAddr,
    /// The listening address for operators: metrics, status and traces.
    pub admin: SocketAddr,
    /// The number of threads that serve callers.
    pub threads: usize,
    /// The address of the log service.
    pub log: SocketAddr,
    /// The address of the host list service.
    pub hosts: SocketAddr,
    /// The retention period of the log.
    pub retention: Duration,
    /// Peers to contact while the log and the host list are unavailable.
    pub peers: Vec<SocketAddr>,
    /// Limits on the resources that callers may use.
    pub bounds: Bounds,
    /// Platform limits on loads by the whole fleet.
    pub fleet: FleetShares,
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
                    list: vec![problem],
                });
            }
        };
        let mut take = |name: &str| take_section(&mut sections, name);
        let host = read_host(Reader::new(file, take("host"), &mut problems));
        let platform = read_platform(Reader::new(file, take("platform"), &mut problems));
        let peers = read_peers(Reader::new(file, take("peers"), &mut problems));
        let bounds = read_bounds(Reader::new(file, take("bounds"), &mut problems));
        let fleet = read_fleet(Reader::new(file, take("fleet"), &mut problems));
        problems.extend(unknown_sections(file, sections, SECTIONS_HINT));
        match (host, platform, fleet) {
            (Some(host), Some(platform), Some(fleet)) if problems.is_empty() => Ok(Self {
                name: host.name,
                zone: host.zone,
                listen: host.listen,
                peer: host.peer,
                admin: host.admin,
                threads: host.threads,
                log: platform.log,
                hosts: platform.hosts,
                retention: platform.retention,
                peers,
                bounds,
                fleet,
            }),
            _ => Err(Problems { list: problems }),
        }
    }
}

struct HostSection {
    name: HostName,
    zone: ZoneName,
    listen: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
    threads: usize,
}

fn read_host(mut reader: Reader<'_>) -> Option<HostSection> {
    let name = reader.required("name", "a host name of a-z, 0-9 and `-`");
    let zone = reader.required("zone", "a zone name of a-z, 0-9 and `-`");
    let listen = reader.required("listen", ADDRESS_HINT);
    let peer = reader.required("peer", ADDRESS_HINT);
    let admin = reader.required("admin", ADDRESS_HINT);
    let threads = reader.number("threads", "a number from 1 to 64", 1..=64, 2);
    reader.finish();
    Some(HostSection {
        name: name?,
        zone: zone?,
        listen: listen?,
        peer: peer?,
        admin: admin?,
        threads: to_usize(threads),
    })
}

struct PlatformSection {
    log: SocketAddr,
    hosts: SocketAddr,
    retention: Duration,
}

fn read_platform(mut reader: Reader<'_>) -> Option<PlatformSection> {
    const HOURS_HINT: &str = "hours from 1 to 8760";
    let log = reader.required("log", ADDRESS_HINT);
    let hosts = reader.required("hosts", ADDRESS_HINT);
    let hours = reader.number("retention-hours", HOURS_HINT, 1..=8760, 24);
    reader.finish();
    Some(PlatformSection {
        log: log?,
        hosts: hosts?,
        retention: Duration::from_secs(hours * 3600),
    })
}

fn read_peers(mut reader: Reader<'_>) -> Vec<SocketAddr> {
    let peers = reader.list(
        "addresses",
        "addresses between commas, each an IP number and a port",
    );
    reader.finish();
    peers
}

fn read_bounds(mut reader: Reader<'_>) -> Bounds {
    const MILLIS_HINT: &str = "milliseconds from 100 to 3600000";
    let mut millis = |field: &str, default: u64| {
        Duration::from_millis(reader.number(field, MILLIS_HINT, 100..=3_600_000, default))
    };
    let arrival = millis("arrival-ms", 10_000);
    let leave = millis("leave-ms", 5_000);
    let drain = millis("drain-ms", 120_000);
    let body = reader.number(
        "body-bytes",
        "bytes from 1024 to 67108864",
        1024..=67_108_864,
        1 << 20,
    );
    let connections = reader.number(
        "connections",
        "a number from 1 to 100000",
        1..=100_000,
        4096,
    );
    let queue = reader.number("queue", "a number from 1 to 100000", 1..=100_000, 1024);
    let answer = reader.number(
        "answer-tokens",
        "a number from 1 to 1000000",
        1..=1_000_000,
        4096,
    );
    reader.finish();
    Bounds {
        body: to_usize(body),
        connections: to_usize(connections),
        queue: to_usize(queue),
        arrival,
        answer,
        leave,
        drain,
    }
}

fn read_fleet(mut reader: Reader<'_>) -> Option<FleetShares> {
    let count_hint = "a number from 1 to 10000";
    let loads = reader.number("loads-per-10s", count_hint, 1..=10_000, 20);
    let parallel = reader.number("loads-at-once", count_hint, 1..=10_000, 8);
    let adapters = reader.number("adapters-at-once", count_hint, 1..=10_000, 60);
    let adapter = reader.number("adapter-mb", "MB from 0 to 100000", 0..=100_000, 64);
    let zones = reader.required_with("zones", ZONES_HINT, parse_zones);
    reader.finish();
    Some(FleetShares {
        loads,
        parallel,
        adapters,
        adapter,
        zones: zones?,
    })
}

fn parse_zones(text: &str) -> Option<Vec<ZoneName>> {
    parse_list(text).filter(|zones| !zones.is_empty())
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
