//! The settings of a gateway: an entry host that relays requests as they came.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eelgrasshill_domain::{HostName, ZoneName};

use crate::Problems;
use crate::reader::Reader;
use crate::section::{read_file, read_sections, take_section, unknown_sections};

const ADDRESS: &str = "an IP number and a port, as in 127.0.0.1:8080";
const SECTIONS: &str = "[host], [store], [bounds], [retries] and [engines]";

/// The fleet's bound on requests that are sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBounds {
    /// Repeats for each thousand requests.
    pub ratio: u64,
    /// Repeats beyond the ratio in a window, over all hosts.
    pub extra: u64,
    /// The window.
    pub window: Duration,
}

/// What must hold when engines get orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderBounds {
    /// Shortest time between the last order of one holder and the first of another.
    pub turn: Duration,
    /// Window over which loads from the weight store are counted.
    pub window: Duration,
}

/// The bounds that a running gateway takes over when its settings change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayBounds {
    /// Longest time for which a key is accepted without word that it still stands.
    pub key: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// The budget of repeats.
    pub retries: RetryBounds,
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill: u64,
}

/// The settings of one gateway, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// The host's name.
    pub name: HostName,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready: SocketAddr,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Where operators read metrics.
    pub metrics: SocketAddr,
    /// The lesser of the host's processor share in percent and its link in Mbit/s.
    pub capacity: u32,
    /// Where the platform's store listens.
    pub store: SocketAddr,
    /// What applies as soon as it changes.
    pub bounds: GatewayBounds,
    /// Longest time for a request's head to arrive.
    pub arrival: Duration,
    /// Longest time that a caller's connection may stay idle.
    pub idle: Duration,
    /// Most open connections of callers.
    pub connections: usize,
    /// Bounds on orders to engines.
    pub orders: OrderBounds,
}

impl GatewaySettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns every mistake in it.
    pub fn read(path: &Path) -> Result<Self, Problems> {
        read_file(path, Self::parse)
    }

    /// Checks the text of a file of that name.
    ///
    /// # Errors
    ///
    /// Returns every mistake in it.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let mut problems = Vec::new();
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut sections = read_sections(file, text).map_err(|problem| Problems {
            list: vec![problem],
        })?;
        let mut take = |name: &str| take_section(&mut sections, name);
        let host = read_host(Reader::new(file, take("host"), &mut problems));
        let mut store = Reader::new(file, take("store"), &mut problems);
        let address = store.required("address", ADDRESS);
        store.finish();
        let bounds = read_bounds(Reader::new(file, take("bounds"), &mut problems));
        let retries = read_retries(Reader::new(file, take("retries"), &mut problems));
        let (orders, prefill) = read_orders(Reader::new(file, take("engines"), &mut problems));
        problems.extend(unknown_sections(file, sections, SECTIONS));
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

/// One processor, in percent; also a link of which that much is used, in Mbit/s.
const PERCENT: u32 = 100;

fn read_host(mut reader: Reader<'_>) -> Option<HostSection> {
    const PROCESSOR: &str = "processors, from 0.01 to 1024, fractions allowed";
    const LINK: &str = "Mbit/s from 1 to 1000000, fractions allowed";
    let name = reader.required("name", "a host name of a-z, 0-9 and `-`");
    let zone = reader.required("zone", "a zone name of a-z, 0-9 and `-`");
    let listen = reader.required("listen", ADDRESS);
    let ready = reader.required("ready", ADDRESS);
    let peer = reader.required("peer", ADDRESS);
    let metrics = reader.required("metrics", ADDRESS);
    let processor = reader.optional_with("processor-share", PROCESSOR, parse_percent);
    let link = reader.optional_with("link-mbps", LINK, parse_megabits);
    reader.finish();
    Some(HostSection {
        name: name?,
        zone: zone?,
        listen: listen?,
        ready: ready?,
        peer: peer?,
        metrics: metrics?,
        capacity: processor.unwrap_or(PERCENT).min(link.unwrap_or(PERCENT)),
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
    const MILLIS: &str = "milliseconds from 100 to 3600000";
    const SECONDS: &str = "seconds from 1 to 3600, fractions allowed";
    let mut millis = |field: &str, default: u64| {
        Duration::from_millis(reader.number(field, MILLIS, 100..=3_600_000, default))
    };
    let key = millis("key-ms", 5_000);
    let arrival = millis("arrival-ms", 5_000);
    let idle = millis("idle-ms", 20_000);
    let grace = reader.optional_with("grace-s", SECONDS, parse_seconds);
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
    const RATIO: &str = "a fraction from 0 to 1";
    const SECONDS: &str = "seconds from 1 to 3600, fractions allowed";
    let ratio = reader.optional_with("ratio", RATIO, parse_mille);
    let window = reader.optional_with("window-s", SECONDS, parse_seconds);
    let extra = reader.number("extra", "a number from 0 to 1000000", 0..=1_000_000, 100);
    reader.finish();
    RetryBounds {
        ratio: ratio.unwrap_or(200),
        extra,
        window: window.unwrap_or(Duration::from_secs(10)),
    }
}

/// Reads the bounds on orders, and how fast an engine reads prompts.
fn read_orders(mut reader: Reader<'_>) -> (OrderBounds, u64) {
    const SECONDS: &str = "seconds from 1 to 3600, fractions allowed";
    let turn = reader.number(
        "turn-ms",
        "milliseconds from 100 to 600000",
        100..=600_000,
        3_000,
    );
    let window = reader.optional_with("load-window-s", SECONDS, parse_seconds);
    let prefill = reader.number(
        "prefill-tokens-per-ms",
        "a number from 1 to 100000",
        1..=100_000,
        38,
    );
    reader.finish();
    let orders = OrderBounds {
        turn: Duration::from_millis(turn),
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

/// Reads a number of processors as percent of one.
fn parse_percent(text: &str) -> Option<u32> {
    let share: f64 = text.parse().ok()?;
    (0.01..=1_024.0)
        .contains(&share)
        .then(|| whole(share * f64::from(PERCENT)))
}

fn parse_megabits(text: &str) -> Option<u32> {
    let rate: f64 = text.parse().ok()?;
    (1.0..=1_000_000.0).contains(&rate).then(|| whole(rate))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "callers check that the number is positive and far below 2^32"
)]
fn whole(number: f64) -> u32 {
    number.round() as u32
}

/// Reads a fraction as thousandths.
fn parse_mille(text: &str) -> Option<u64> {
    let fraction: f64 = text.parse().ok()?;
    if !(0.0..=1.0).contains(&fraction) {
        return None;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the fraction lies between 0 and 1"
    )]
    let mille = (fraction * 1_000.0).round() as u64;
    Some(mille)
}
