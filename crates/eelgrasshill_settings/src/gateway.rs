//! The settings of a gateway, an entry host that forwards requests unchanged.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eelgrasshill_domain::{HostName, ZoneName};

use crate::Problems;
use crate::reader::Reader;
use crate::section::{read_file, read_sections, take_section, unknown_sections};

const ADDRESS_HINT: &str = "an IP number and a port, as in 127.0.0.1:8080";
const SECTIONS_HINT: &str = "[host], [store], [bounds], [retries] and [engines]";

/// The retry budget of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBounds {
    /// Retries per thousand requests.
    pub ratio: u64,
    /// Retries allowed beyond the ratio in one window, over all hosts.
    pub extra: u64,
    /// The window over which requests and retries are counted.
    pub window: Duration,
}

/// Limits on the orders that are sent to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderBounds {
    /// Minimum time between the last order of one lease holder and the first of the next.
    pub handover_delay: Duration,
    /// The window over which loads from the weight store are counted.
    pub window: Duration,
}

/// The limits that a running gateway reloads when its settings change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayBounds {
    /// How long a key is accepted without confirmation that it is still valid.
    pub key: Duration,
    /// The time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// The retry budget of the fleet.
    pub retries: RetryBounds,
    /// Prompt tokens that an engine processes per millisecond.
    pub prefill: u64,
}

/// The validated settings of one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// The name of the host.
    pub name: HostName,
    /// The zone that the host is located in.
    pub zone: ZoneName,
    /// The listening address for callers.
    pub listen: SocketAddr,
    /// The listening address for readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// The listening address for peers.
    pub peer: SocketAddr,
    /// The listening address for metrics.
    pub metrics: SocketAddr,
    /// The relative capacity of the host.
    ///
    /// It is the lower of its processor share in percent of one processor and its link rate in
    /// Mbit/s.
    pub capacity: u32,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The limits that are reloaded at run time.
    pub bounds: GatewayBounds,
    /// The timeout for receiving the head of a request.
    pub arrival: Duration,
    /// The idle timeout of caller connections.
    pub idle: Duration,
    /// The maximum number of open caller connections.
    pub connections: usize,
    /// Limits on orders to engines.
    pub orders: OrderBounds,
}

impl GatewaySettings {
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
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut sections = read_sections(file, text).map_err(|problem| Problems {
            list: vec![problem],
        })?;
        let mut take = |name: &str| take_section(&mut sections, name);
        let host = read_host(Reader::new(file, take("host"), &mut problems));
        let mut store = Reader::new(file, take("store"), &mut problems);
        let address = store.required("address", ADDRESS_HINT);
        store.finish();
        let bounds = read_bounds(Reader::new(file, take("bounds"), &mut problems));
        let retries = read_retries(Reader::new(file, take("retries"), &mut problems));
        let (orders, prefill) = read_orders(Reader::new(file, take("engines"), &mut problems));
        problems.extend(unknown_sections(file, sections, SECTIONS_HINT));
        match (host, address) {
            (Some(host), Some(store)) if problems.is_empty() => Ok(Self {
                name: host.name,
                zone: host.zone,
                listen: host.listen,
                ready: host.ready,
                peer: host.peer,
                metrics: host.metrics,
                capacity: host.capacity,
                store,
                bounds: GatewayBounds {
                    key: bounds.key,
                    grace: bounds.grace,
                    retries,
                    prefill,
                },
                arrival: bounds.arrival,
                idle: bounds.idle,
                connections: bounds.connections,
                orders,
            }),
            _ => Err(Problems { list: problems }),
        }
    }
}

struct HostSection {
    name: HostName,
    zone: ZoneName,
    listen: SocketAddr,
    ready: SocketAddr,
    peer: SocketAddr,
    metrics: SocketAddr,
    capacity: u32,
}

/// The default of both parts of the capacity: one processor in percent, or a link of 100 Mbit/s.
const DEFAULT_CAPACITY: u32 = 100;

fn read_host(mut reader: Reader<'_>) -> Option<HostSection> {
    const PROCESSOR_HINT: &str = "processors, from 0.01 to 1024, fractions allowed";
    const LINK_HINT: &str = "Mbit/s from 1 to 1000000, fractions allowed";
    let name = reader.required("name", "a host name of a-z, 0-9 and `-`");
    let zone = reader.required("zone", "a zone name of a-z, 0-9 and `-`");
    let listen = reader.required("listen", ADDRESS_HINT);
    let ready = reader.required("ready", ADDRESS_HINT);
    let peer = reader.required("peer", ADDRESS_HINT);
    let metrics = reader.required("metrics", ADDRESS_HINT);
    let processor = reader.optional_with("processor-share", PROCESSOR_HINT, parse_percent);
    let link = reader.optional_with("link-mbps", LINK_HINT, parse_megabits);
    reader.finish();
    Some(HostSection {
        name: name?,
        zone: zone?,
        listen: listen?,
        ready: ready?,
        peer: peer?,
        metrics: metrics?,
        capacity: processor
            .unwrap_or(DEFAULT_CAPACITY)
            .min(link.unwrap_or(DEFAULT_CAPACITY)),
    })
}

struct BoundsSection {
    key: Duration,
    grace: Duration,
    arrival: Duration,
    idle: Duration,
    connections: usize,
}

fn read_bounds(mut reader: Reader<'_>) -> BoundsSection {
    const MILLIS_HINT: &str = "milliseconds from 100 to 3600000";
    const SECONDS_HINT: &str = "seconds from 1 to 3600, fractions allowed";
    let mut millis = |field: &str, default: u64| {
        Duration::from_millis(reader.number(field, MILLIS_HINT, 100..=3_600_000, default))
    };
    let key = millis("key-ms", 5_000);
    let arrival = millis("arrival-ms", 5_000);
    let idle = millis("idle-ms", 20_000);
    let grace = reader.optional_with("grace-s", SECONDS_HINT, parse_seconds);
    let connections = reader.number(
        "connections",
        "a number from 1 to 100000",
        1..=100_000,
        1_500,
    );
    reader.finish();
    BoundsSection {
        key,
        grace: grace.unwrap_or(Duration::from_secs(8)),
        arrival,
        idle,
        connections: usize::try_from(connections).unwrap_or(usize::MAX),
    }
}

fn read_retries(mut reader: Reader<'_>) -> RetryBounds {
    const RATIO_HINT: &str = "a fraction from 0 to 1";
    const SECONDS_HINT: &str = "seconds from 1 to 3600, fractions allowed";
    let ratio = reader.optional_with("ratio", RATIO_HINT, parse_permille);
    let window = reader.optional_with("window-s", SECONDS_HINT, parse_seconds);
    let extra = reader.number("extra", "a number from 0 to 1000000", 0..=1_000_000, 100);
    reader.finish();
    RetryBounds {
        ratio: ratio.unwrap_or(200),
        extra,
        window: window.unwrap_or(Duration::from_secs(10)),
    }
}

/// Reads the limits on orders and the prefill rate of an engine.
fn read_orders(mut reader: Reader<'_>) -> (OrderBounds, u64) {
    const SECONDS_HINT: &str = "seconds from 1 to 3600, fractions allowed";
    let handover_delay = reader.number(
        "turn-ms",
        "milliseconds from 100 to 600000",
        100..=600_000,
        3_000,
    );
    let window = reader.optional_with("load-window-s", SECONDS_HINT, parse_seconds);
    let prefill = reader.number(
        "prefill-tokens-per-ms",
        "a number from 1 to 100000",
        1..=100_000,
        38,
    );
    reader.finish();
    let orders = OrderBounds {
        handover_delay: Duration::from_millis(handover_delay),
        window: window.unwrap_or(Duration::from_secs(5)),
    };
    (orders, prefill)
}

fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    (1.0..=3_600.0)
        .contains(&seconds)
        .then(|| Duration::from_secs_f64(seconds))
}

/// Parses a number of processors into percent of one processor.
fn parse_percent(text: &str) -> Option<u32> {
    let share: f64 = text.parse().ok()?;
    (0.01..=1_024.0)
        .contains(&share)
        .then(|| round_to_u32(share * f64::from(DEFAULT_CAPACITY)))
}

fn parse_megabits(text: &str) -> Option<u32> {
    let rate: f64 = text.parse().ok()?;
    (1.0..=1_000_000.0)
        .contains(&rate)
        .then(|| round_to_u32(rate))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "callers check that the number is positive and far below 2^32"
)]
fn round_to_u32(number: f64) -> u32 {
    number.round() as u32
}

/// Parses a fraction from 0 to 1 into thousandths.
fn parse_permille(text: &str) -> Option<u64> {
    let fraction: f64 = text.parse().ok()?;
    if !(0.0..=1.0).contains(&fraction) {
        return None;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the fraction lies between 0 and 1"
    )]
    let permille = (fraction * 1_000.0).round() as u64;
    Some(permille)
}
