//! The settings of a gateway, which forwards requests unchanged.
//!
//! Its upstreams run on the users' platform. The entry host of
//! [`EntrySettings`](crate::EntrySettings) is another program with settings of its own.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use derive_more::Debug;
use eelgrasshill_domain::{HostName, ZoneName};

use crate::Problems;
use crate::reader::SectionReader;
use crate::section::{read_file, read_sections, take_section, unknown_sections};

const ADDRESS_HINT: &str = "an IP number and a port, as in 127.0.0.1:8080";
const SECTIONS_HINT: &str = "[host], [store], [bounds], [retries] and [engines]";
const SECONDS_HINT: &str = "seconds from 1 to 3600, fractions allowed";

const DEFAULT_MAX_KEY_AGE_MS: u64 = 5_000;
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 20_000;
const DEFAULT_TERMINATION_GRACE: Duration = Duration::from_secs(8);
const DEFAULT_MAX_CONNECTIONS: u64 = 1_500;
const DEFAULT_RETRIES_PER_THOUSAND: u64 = 200;
const DEFAULT_EXTRA_RETRIES: u64 = 100;
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
const DEFAULT_HANDOVER_DELAY_MS: u64 = 3_000;
const DEFAULT_LOAD_WINDOW: Duration = Duration::from_secs(5);
const DEFAULT_PREFILL_TOKENS_PER_MS: u64 = 38;

/// The factor from processors to percent of one processor.
const PERCENT_PER_PROCESSOR: u32 = 100;

/// The maximum number of retries of the whole fleet.
///
/// It is a part of the requests of a window, and a fixed number more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[debug(
    "RetryBounds {{ ratio: {retries_per_thousand:?}, extra: {extra_retries:?}, window: {window:?} }}"
)]
pub struct RetryBounds {
    /// Retries per thousand requests.
    pub retries_per_thousand: u64,
    /// Retries allowed beyond that part in one window, over all hosts.
    pub extra_retries: u64,
    /// The window over which requests and retries are counted.
    pub window: Duration,
}

/// Limits on the orders that are sent to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[debug("OrderBounds {{ handover_delay: {handover_delay:?}, window: {load_window:?} }}")]
pub struct OrderBounds {
    /// Minimum time between the last order of one lease holder and the first of the next.
    pub handover_delay: Duration,
    /// The window over which loads from the weight store are counted.
    pub load_window: Duration,
}

/// The limits that a running gateway reloads when its settings change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[debug(
    "GatewayBounds {{ key: {max_key_age:?}, grace: {termination_grace:?}, retries: {retries:?}, prefill: {prefill_tokens_per_ms:?} }}"
)]
pub struct GatewayBounds {
    /// How long a key is accepted without confirmation that it is still valid.
    pub max_key_age: Duration,
    /// The time between SIGTERM and SIGKILL.
    pub termination_grace: Duration,
    /// The maximum number of retries of the whole fleet.
    pub retries: RetryBounds,
    /// Prompt tokens that an engine processes per millisecond.
    pub prefill_tokens_per_ms: u64,
}

/// The validated settings of one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
#[debug(
    "GatewaySettings {{ name: {name:?}, zone: {zone:?}, listen: {caller_address:?}, ready: {ready_address:?}, peer: {peer_address:?}, metrics: {metrics_address:?}, capacity: {capacity:?}, store: {store_address:?}, bounds: {bounds:?}, arrival: {head_timeout:?}, idle: {idle_timeout:?}, connections: {max_connections:?}, orders: {orders:?} }}"
)]
pub struct GatewaySettings {
    /// The name of the host.
    pub name: HostName,
    /// The zone that the host is located in.
    pub zone: ZoneName,
    /// The listening address for callers.
    pub caller_address: SocketAddr,
    /// The listening address for readiness checks of the load balancer.
    pub ready_address: SocketAddr,
    /// The listening address for peers.
    pub peer_address: SocketAddr,
    /// The listening address for metrics.
    pub metrics_address: SocketAddr,
    /// The relative capacity of the host.
    ///
    /// It is the lower of its processor share in percent of one processor and its link rate in
    /// Mbit/s, so 1 % of a processor counts as much as 1 Mbit/s.
    pub capacity: u32,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The limits that are reloaded at run time.
    pub bounds: GatewayBounds,
    /// The timeout for receiving the head of a request.
    pub head_timeout: Duration,
    /// The idle timeout of caller connections.
    pub idle_timeout: Duration,
    /// The maximum number of open caller connections.
    pub max_connections: usize,
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
            problems: vec![problem],
        })?;
        let mut take = |name: &str| take_section(&mut sections, name);
        let host = read_host(SectionReader::new(file, take("host"), &mut problems));
        let mut store_reader = SectionReader::new(file, take("store"), &mut problems);
        let store_address = store_reader.required("address", ADDRESS_HINT);
        store_reader.report_unknown_fields();
        let bounds = read_bounds(SectionReader::new(file, take("bounds"), &mut problems));
        let retries = read_retries(SectionReader::new(file, take("retries"), &mut problems));
        let (orders, prefill_tokens_per_ms) =
            read_engines(SectionReader::new(file, take("engines"), &mut problems));
        problems.extend(unknown_sections(file, sections, SECTIONS_HINT));
        match (host, store_address) {
            (Some(host), Some(store_address)) if problems.is_empty() => Ok(Self {
                name: host.name,
                zone: host.zone,
                caller_address: host.caller_address,
                ready_address: host.ready_address,
                peer_address: host.peer_address,
                metrics_address: host.metrics_address,
                capacity: host.capacity,
                store_address,
                bounds: GatewayBounds {
                    max_key_age: bounds.max_key_age,
                    termination_grace: bounds.termination_grace,
                    retries,
                    prefill_tokens_per_ms,
                },
                head_timeout: bounds.head_timeout,
                idle_timeout: bounds.idle_timeout,
                max_connections: bounds.max_connections,
                orders,
            }),
            _ => Err(Problems { problems }),
        }
    }
}

struct HostSection {
    name: HostName,
    zone: ZoneName,
    caller_address: SocketAddr,
    ready_address: SocketAddr,
    peer_address: SocketAddr,
    metrics_address: SocketAddr,
    capacity: u32,
}

/// The default of both parts of the capacity: one processor in percent, or a link of 100 Mbit/s.
const DEFAULT_CAPACITY: u32 = 100;

fn read_host(mut reader: SectionReader<'_>) -> Option<HostSection> {
    const PROCESSOR_HINT: &str = "processors, from 0.01 to 1024, fractions allowed";
    const LINK_HINT: &str = "Mbit/s from 1 to 1000000, fractions allowed";
    let name = reader.required("name", "a host name of a-z, 0-9 and `-`");
    let zone = reader.required("zone", "a zone name of a-z, 0-9 and `-`");
    let caller_address = reader.required("listen", ADDRESS_HINT);
    let ready_address = reader.required("ready", ADDRESS_HINT);
    let peer_address = reader.required("peer", ADDRESS_HINT);
    let metrics_address = reader.required("metrics", ADDRESS_HINT);
    let processor_percent = reader.optional_with(
        "processor-share",
        PROCESSOR_HINT,
        parse_processors_as_percent,
    );
    let link_mbps = reader.optional_with("link-mbps", LINK_HINT, parse_megabits);
    reader.report_unknown_fields();
    Some(HostSection {
        name: name?,
        zone: zone?,
        caller_address: caller_address?,
        ready_address: ready_address?,
        peer_address: peer_address?,
        metrics_address: metrics_address?,
        capacity: processor_percent
            .unwrap_or(DEFAULT_CAPACITY)
            .min(link_mbps.unwrap_or(DEFAULT_CAPACITY)),
    })
}

struct BoundsSection {
    max_key_age: Duration,
    termination_grace: Duration,
    head_timeout: Duration,
    idle_timeout: Duration,
    max_connections: usize,
}

fn read_bounds(mut reader: SectionReader<'_>) -> BoundsSection {
    const MILLIS_HINT: &str = "milliseconds from 100 to 3600000";
    let mut millis = |field: &str, default: u64| {
        Duration::from_millis(reader.number(field, MILLIS_HINT, 100..=3_600_000, default))
    };
    let max_key_age = millis("key-ms", DEFAULT_MAX_KEY_AGE_MS);
    let head_timeout = millis("arrival-ms", DEFAULT_HEAD_TIMEOUT_MS);
    let idle_timeout = millis("idle-ms", DEFAULT_IDLE_TIMEOUT_MS);
    let termination_grace = reader.optional_with("grace-s", SECONDS_HINT, parse_seconds);
    let max_connections = reader.number(
        "connections",
        "a number from 1 to 100000",
        1..=100_000,
        DEFAULT_MAX_CONNECTIONS,
    );
    reader.report_unknown_fields();
    BoundsSection {
        max_key_age,
        termination_grace: termination_grace.unwrap_or(DEFAULT_TERMINATION_GRACE),
        head_timeout,
        idle_timeout,
        max_connections: usize::try_from(max_connections).unwrap_or(usize::MAX),
    }
}

fn read_retries(mut reader: SectionReader<'_>) -> RetryBounds {
    const RATIO_HINT: &str = "a fraction from 0 to 1";
    let retries_per_thousand =
        reader.optional_with("ratio", RATIO_HINT, parse_fraction_as_permille);
    let window = reader.optional_with("window-s", SECONDS_HINT, parse_seconds);
    let extra_retries = reader.number(
        "extra",
        "a number from 0 to 1000000",
        0..=1_000_000,
        DEFAULT_EXTRA_RETRIES,
    );
    reader.report_unknown_fields();
    RetryBounds {
        retries_per_thousand: retries_per_thousand.unwrap_or(DEFAULT_RETRIES_PER_THOUSAND),
        extra_retries,
        window: window.unwrap_or(DEFAULT_RETRY_WINDOW),
    }
}

/// Reads the limits on orders and the prefill rate of an engine.
fn read_engines(mut reader: SectionReader<'_>) -> (OrderBounds, u64) {
    let handover_delay_ms = reader.number(
        "turn-ms",
        "milliseconds from 100 to 600000",
        100..=600_000,
        DEFAULT_HANDOVER_DELAY_MS,
    );
    let load_window = reader.optional_with("load-window-s", SECONDS_HINT, parse_seconds);
    let prefill_tokens_per_ms = reader.number(
        "prefill-tokens-per-ms",
        "a number from 1 to 100000",
        1..=100_000,
        DEFAULT_PREFILL_TOKENS_PER_MS,
    );
    reader.report_unknown_fields();
    let orders = OrderBounds {
        handover_delay: Duration::from_millis(handover_delay_ms),
        load_window: load_window.unwrap_or(DEFAULT_LOAD_WINDOW),
    };
    (orders, prefill_tokens_per_ms)
}

/// Parses seconds in the range of `SECONDS_HINT`.
fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    (1.0..=3_600.0)
        .contains(&seconds)
        .then(|| Duration::from_secs_f64(seconds))
}

/// Parses a number of processors into percent of one processor.
fn parse_processors_as_percent(text: &str) -> Option<u32> {
    let processors: f64 = text.parse().ok()?;
    (0.01..=1_024.0)
        .contains(&processors)
        .then(|| round_to_u32(processors * f64::from(PERCENT_PER_PROCESSOR)))
}

/// Parses a rate in Mbit/s, rounded to a whole number.
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
fn parse_fraction_as_permille(text: &str) -> Option<u64> {
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
