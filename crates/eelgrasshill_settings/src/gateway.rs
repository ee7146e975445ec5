//! The settings of a gateway, which forwards requests unchanged.
//!
//! Its upstreams run on the users' platform. The entry host of
//! [`EntrySettings`](crate::EntrySettings) is another program with settings of its own.
//!
//! The platform fills most values in, so numbers may have fractions, and a value above the highest
//! useful one is replaced by that. An empty value counts as missing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use derive_more::Debug;
use eelgrasshill_domain::{HostBudget, HostName, ZoneName};

use crate::machine::{Machine, read_connections, to_integer};
use crate::reader::SectionReader;
use crate::section::{Section, read_file, read_sections, take_section, unknown_sections};
use crate::{Problem, Problems};

const ADDRESS_HINT: &str = "an IP number and a port, as in 127.0.0.1:8080";
const SECTIONS_HINT: &str = "[host], [store], [bounds], [retries], [engines] and [regions]";
const SECONDS_HINT: &str = "seconds above 0, fractions allowed";
const GRACE_HINT: &str = "seconds from 0, fractions allowed";
const MILLIS_HINT: &str = "milliseconds from 100, fractions allowed";
const TURN_HINT: &str = "milliseconds from 0, fractions allowed";
const RATIO_HINT: &str = "a number from 0, fractions allowed";
const EXTRA_HINT: &str = "a number from 0";
const QUEUE_HINT: &str = "a number from 0 to 10000";
const PREFILL_HINT: &str = "a number from 1 to 100000";
const PROCESSOR_HINT: &str = "processors above 0, fractions allowed";
const LINK_HINT: &str = "Mbit/s from 1, fractions allowed";

/// Longest time of a setting, in seconds; a longer one has the same effect.
const MAX_SECONDS: f64 = 3_600.0;

/// Shortest time above zero that a setting can name, in seconds.
const MIN_SECONDS: f64 = 0.001;

/// Shortest time of a bound on connections and keys, in milliseconds.
const MIN_BOUND_MS: f64 = 100.0;

/// Most retries in a window beyond the part of the requests.
const MAX_EXTRA_RETRIES: f64 = 1_000_000.0;

/// Most retries for each request.
const MAX_RETRY_RATIO: f64 = 1_000.0;

/// Largest processor share, in processors.
const MAX_PROCESSORS: f64 = 1_024.0;

/// Smallest processor share above zero, in processors.
const MIN_PROCESSORS: f64 = 0.000_1;

/// Highest link rate, in Mbit/s.
const MAX_LINK_MBPS: f64 = 1_000_000.0;

/// Memory of a machine whose settings do not say it, in MB: the middle of usual hosts.
const DEFAULT_MEMORY_MB: u64 = 256;

const DEFAULT_MAX_KEY_AGE_MS: u64 = 5_000;
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 5_000;
/// The default of `idle-ms`. A request that crosses the close of its connection is lost, so callers
/// should be the ones that close idle connections.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;
const DEFAULT_LEAVING_DELAY_MS: u64 = 2_000;

/// The default of `config-ms`, the shortest delay that platforms ask for.
const DEFAULT_CONFIG_DELAY_MS: u64 = 2_000;

/// The default of `evacuate-ms`.
const DEFAULT_EVACUATION_DELAY_MS: u64 = 5_000;
const DEFAULT_TERMINATION_GRACE: Duration = Duration::from_secs(8);

/// Connections where as many fit and the settings name no number.
const USUAL_CONNECTIONS: usize = 1_500;
const DEFAULT_RETRIES_PER_THOUSAND: u64 = 200;
const DEFAULT_EXTRA_RETRIES: u64 = 100;
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
const DEFAULT_HANDOVER_DELAY: Duration = Duration::from_secs(3);
const DEFAULT_LOAD_WINDOW: Duration = Duration::from_secs(5);
const DEFAULT_PREFILL_TOKENS_PER_MS: u64 = 38;

/// Without the setting, requests that would start too late are rejected.
const DEFAULT_LATE_QUEUE: u64 = 0;

/// The factor from processors to percent of one processor.
const PERCENT_PER_PROCESSOR: f64 = 100.0;

const MILLIS_PER_SECOND: f64 = 1_000.0;

const PERCENT: f64 = 100.0;

const PER_THOUSAND: f64 = 1_000.0;

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

/// Bound on the requests to a cold engine within a second, relative to the pool's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdBounds {
    /// Factor in percent.
    pub over_percent: u64,
    /// Requests beyond that.
    pub slack: u64,
}

/// The limits that a running gateway reloads when its settings change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[debug(
    "GatewayBounds {{ key: {max_key_age:?}, grace: {termination_grace:?}, drain: {leaving_delay:?}, config: {config_delay:?}, retries: {retries:?}, prefill: {prefill_tokens_per_ms:?}, late-queue: {late_queue:?} }}"
)]
pub struct GatewayBounds {
    /// How long a key is accepted without confirmation that it is still valid.
    pub max_key_age: Duration,
    /// The time between SIGTERM and SIGKILL.
    pub termination_grace: Duration,
    /// How long requests may go to an upstream after its entry said that it is leaving.
    pub leaving_delay: Duration,
    /// How long after it was accepted a configuration must be in force on every host.
    pub config_delay: Duration,
    /// How long after it was accepted an evacuation must be in force on every host.
    pub evacuation_delay: Duration,
    /// The maximum number of retries of the whole fleet.
    pub retries: RetryBounds,
    /// Prompt tokens that an engine processes per millisecond.
    pub prefill_tokens_per_ms: u64,
    /// Requests that may wait for one engine although they can only be answered late.
    pub late_queue: u32,
}

/// The validated settings of one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
#[debug(
    "GatewaySettings {{ name: {name:?}, zone: {zone:?}, listen: {caller_address:?}, ready: {ready_address:?}, peer: {peer_address:?}, metrics: {metrics_address:?}, capacity: {capacity:?}, memory: {memory_mb:?}, descriptors: {descriptors:?}, first-start: {is_first_start:?}, store: {store_address:?}, bounds: {bounds:?}, arrival: {head_timeout:?}, idle: {idle_timeout:?}, connections: {max_connections:?}, orders: {orders:?} }}"
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
    /// The memory of the machine, in MB.
    pub memory_mb: u64,
    /// The descriptors that the process may open, if the settings say it.
    pub descriptors: Option<u64>,
    /// Whether all hosts start for the first time, before any caller comes.
    pub is_first_start: bool,
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
    /// Bound on the requests to a cold engine, if the deployment has one.
    pub cold: Option<ColdBounds>,
    /// The region of each zone, as far as the settings say it.
    pub regions: BTreeMap<ZoneName, String>,
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

    /// Reads the settings file of a host that is to run.
    ///
    /// Also returns the mistakes for which the defaults are used.
    ///
    /// # Errors
    ///
    /// Returns all mistakes in the file if a field without a default cannot be used.
    pub fn read_usable(path: &Path) -> Result<(Self, Problems), Problems> {
        read_file(path, Self::parse_usable)
    }

    /// Parses and validates settings; `file` is the name used in error messages.
    ///
    /// # Errors
    ///
    /// Returns all mistakes in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let (settings, problems) = Self::parse_usable(file, text)?;
        if problems.problems.is_empty() {
            Ok(settings)
        } else {
            Err(problems)
        }
    }

    /// Parses settings, and uses the defaults for fields that have one and cannot be used.
    ///
    /// Also returns the mistakes for which the defaults are used.
    ///
    /// # Errors
    ///
    /// Returns all mistakes in the file if a field without a default cannot be used.
    pub fn parse_usable(file: &str, text: &str) -> Result<(Self, Problems), Problems> {
        let mut problems = Vec::new();
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let text = without_template_lines(file, text, &mut problems);
        let mut sections = read_sections(file, &text).map_err(|problem| Problems {
            problems: vec![problem],
        })?;
        let mut take = |name: &str| take_section(&mut sections, name).without_empty_fields();
        let host = read_host(SectionReader::new(file, take("host"), &mut problems));
        let mut store_reader = SectionReader::new(file, take("store"), &mut problems);
        let store_address = store_reader.required("address", ADDRESS_HINT);
        store_reader.report_unknown_fields();
        let budget = host.as_ref().map_or_else(
            || HostBudget::new(DEFAULT_MEMORY_MB, None),
            |host| host.machine.budget(),
        );
        let bounds = read_bounds(
            SectionReader::new(file, take("bounds"), &mut problems),
            budget,
        );
        let retries = read_retries(SectionReader::new(file, take("retries"), &mut problems));
        let (orders, cold, prefill_tokens_per_ms, late_queue) =
            read_engines(SectionReader::new(file, take("engines"), &mut problems));
        let regions = read_regions(file, take("regions"), &mut problems);
        problems.extend(unknown_sections(file, sections, SECTIONS_HINT));
        let problems = Problems { problems };
        let (Some(host), Some(store_address)) = (host, store_address) else {
            return Err(problems);
        };
        let settings = Self {
            name: host.name,
            zone: host.zone,
            caller_address: host.caller_address,
            ready_address: host.ready_address,
            peer_address: host.peer_address,
            metrics_address: host.metrics_address,
            capacity: host.capacity,
            memory_mb: host.machine.memory_mb,
            descriptors: host.machine.descriptors,
            is_first_start: host.is_first_start,
            store_address,
            bounds: GatewayBounds {
                max_key_age: bounds.max_key_age,
                termination_grace: bounds.termination_grace,
                leaving_delay: bounds.leaving_delay,
                config_delay: bounds.config_delay,
                evacuation_delay: bounds.evacuation_delay,
                retries,
                prefill_tokens_per_ms,
                late_queue,
            },
            head_timeout: bounds.head_timeout,
            idle_timeout: bounds.idle_timeout,
            max_connections: bounds.max_connections,
            orders,
            cold,
            regions,
        };
        Ok((settings, problems))
    }

    /// Lowers the limit on connections to what a process with that many descriptors can serve.
    ///
    /// The settings may name none, or more than the system allows the process.
    #[must_use]
    pub fn within_descriptors(mut self, descriptors: u64) -> Self {
        let allowed = self
            .descriptors
            .map_or(descriptors, |own| own.min(descriptors));
        self.descriptors = Some(allowed);
        self.max_connections = self.budget().usual_connections(self.max_connections);
        self
    }

    /// Returns the budget of the host's machine.
    #[must_use]
    pub fn budget(&self) -> HostBudget {
        HostBudget::new(self.memory_mb, self.descriptors)
    }
}

/// Removes and reports the lines on which the platform's template was not filled in.
///
/// A tag without a value would make the whole file unreadable.
fn without_template_lines(file: &str, text: &str, problems: &mut Vec<Problem>) -> String {
    let mut section = String::new();
    let mut kept = String::new();
    for line in text.lines() {
        let trimmed = line.trim();
        if trimmed.starts_with("{{") {
            problems.push(Problem::UnknownField {
                file: file.to_owned(),
                section: section.clone(),
                field: trimmed.to_owned(),
            });
            continue;
        }
        if let Some(name) = trimmed.strip_prefix('[') {
            name.trim_end_matches(']').clone_into(&mut section);
        }
        kept.push_str(line);
        kept.push('\n');
    }
    kept
}

/// Reads the region of each zone; a line whose key is no zone name is reported and left out.
fn read_regions(
    file: &str,
    section: Section,
    problems: &mut Vec<Problem>,
) -> BTreeMap<ZoneName, String> {
    let mut regions = BTreeMap::new();
    for (field, value) in section.fields {
        if let Ok(zone) = ZoneName::new(&field) {
            regions.insert(zone, value.trim().to_owned());
        } else {
            problems.push(Problem::UnknownField {
                file: file.to_owned(),
                section: section.name.clone(),
                field,
            });
        }
    }
    regions
}

struct HostSection {
    name: HostName,
    zone: ZoneName,
    caller_address: SocketAddr,
    ready_address: SocketAddr,
    peer_address: SocketAddr,
    metrics_address: SocketAddr,
    capacity: u32,
    machine: Machine,
    is_first_start: bool,
}

/// The default of both parts of the capacity: one processor in percent, or a link of 100 Mbit/s.
const DEFAULT_CAPACITY: u32 = 100;

/// Capacity of the weakest host.
const MIN_CAPACITY: u32 = 1;

fn read_host(mut reader: SectionReader<'_>) -> Option<HostSection> {
    let name = reader.required("name", "a host name of a-z, 0-9 and `-`");
    let zone = reader.required("zone", "a zone name of a-z, 0-9 and `-`");
    let caller_address = reader.required("listen", ADDRESS_HINT);
    let ready_address = reader.required("ready", ADDRESS_HINT);
    let peer_address = reader.required("peer", ADDRESS_HINT);
    let metrics_address = reader.required("metrics", ADDRESS_HINT);
    let processors = reader.quantity(
        "processor-share",
        PROCESSOR_HINT,
        MIN_PROCESSORS..=MAX_PROCESSORS,
    );
    let link_mbps = reader.quantity("link-mbps", LINK_HINT, 1.0..=MAX_LINK_MBPS);
    let machine = Machine::read(&mut reader, DEFAULT_MEMORY_MB);
    let is_first_start = reader.optional("first-start", "true or false");
    reader.report_unknown_fields();
    let default = f64::from(DEFAULT_CAPACITY);
    let processor_percent = processors.map_or(default, |share| share * PERCENT_PER_PROCESSOR);
    let capacity = processor_percent.min(link_mbps.unwrap_or(default));
    Some(HostSection {
        name: name?,
        zone: zone?,
        caller_address: caller_address?,
        ready_address: ready_address?,
        peer_address: peer_address?,
        metrics_address: metrics_address?,
        capacity: u32::try_from(to_integer(capacity.round()))
            .unwrap_or(u32::MAX)
            .max(MIN_CAPACITY),
        machine,
        is_first_start: is_first_start.unwrap_or(false),
    })
}

struct BoundsSection {
    max_key_age: Duration,
    termination_grace: Duration,
    leaving_delay: Duration,
    config_delay: Duration,
    evacuation_delay: Duration,
    head_timeout: Duration,
    idle_timeout: Duration,
    max_connections: usize,
}

fn read_bounds(mut reader: SectionReader<'_>, budget: HostBudget) -> BoundsSection {
    let mut millis = |field: &str, default_ms: u64| {
        let max_ms = MAX_SECONDS * MILLIS_PER_SECOND;
        reader
            .quantity(field, MILLIS_HINT, MIN_BOUND_MS..=max_ms)
            .map_or(Duration::from_millis(default_ms), from_millis)
    };
    let max_key_age = millis("key-ms", DEFAULT_MAX_KEY_AGE_MS);
    let head_timeout = millis("arrival-ms", DEFAULT_HEAD_TIMEOUT_MS);
    let idle_timeout = millis("idle-ms", DEFAULT_IDLE_TIMEOUT_MS);
    let leaving_delay = millis("drain-ms", DEFAULT_LEAVING_DELAY_MS);
    let config_delay = millis("config-ms", DEFAULT_CONFIG_DELAY_MS);
    let evacuation_delay = millis("evacuate-ms", DEFAULT_EVACUATION_DELAY_MS);
    let termination_grace = reader.quantity("grace-s", GRACE_HINT, 0.0..=MAX_SECONDS);
    let max_connections = read_connections(&mut reader, budget, USUAL_CONNECTIONS);
    reader.report_unknown_fields();
    BoundsSection {
        max_key_age,
        termination_grace: termination_grace
            .map_or(DEFAULT_TERMINATION_GRACE, Duration::from_secs_f64),
        leaving_delay,
        config_delay,
        evacuation_delay,
        head_timeout,
        idle_timeout,
        max_connections,
    }
}

fn read_retries(mut reader: SectionReader<'_>) -> RetryBounds {
    let ratio = reader.quantity("ratio", RATIO_HINT, 0.0..=MAX_RETRY_RATIO);
    let window = reader.quantity("window-s", SECONDS_HINT, MIN_SECONDS..=MAX_SECONDS);
    let extra = reader.quantity("extra", EXTRA_HINT, 0.0..=MAX_EXTRA_RETRIES);
    reader.report_unknown_fields();
    RetryBounds {
        retries_per_thousand: ratio.map_or(DEFAULT_RETRIES_PER_THOUSAND, |ratio| {
            to_integer((ratio * PER_THOUSAND).round())
        }),
        // Rounded down, since part of a retry cannot be made.
        extra_retries: extra.map_or(DEFAULT_EXTRA_RETRIES, to_integer),
        window: window.map_or(DEFAULT_RETRY_WINDOW, Duration::from_secs_f64),
    }
}

/// Reads the limits on orders and cold engines, the prefill rate of an engine and its queue of late
/// requests.
fn read_engines(mut reader: SectionReader<'_>) -> (OrderBounds, Option<ColdBounds>, u64, u32) {
    let max_ms = MAX_SECONDS * MILLIS_PER_SECOND;
    let handover_delay = reader.quantity("turn-ms", TURN_HINT, 0.0..=max_ms);
    let load_window = reader.quantity("load-window-s", SECONDS_HINT, MIN_SECONDS..=MAX_SECONDS);
    let prefill_tokens_per_ms = reader.number(
        "prefill-tokens-per-ms",
        PREFILL_HINT,
        1..=100_000,
        DEFAULT_PREFILL_TOKENS_PER_MS,
    );
    let cold_over = reader.quantity("cold-over", RATIO_HINT, 0.0..=MAX_RETRY_RATIO);
    let cold_slack = reader.quantity("cold-slack", RATIO_HINT, 0.0..=MAX_EXTRA_RETRIES);
    let late_queue = reader.number("late-queue", QUEUE_HINT, 0..=10_000, DEFAULT_LATE_QUEUE);
    reader.report_unknown_fields();
    let orders = OrderBounds {
        handover_delay: handover_delay.map_or(DEFAULT_HANDOVER_DELAY, from_millis),
        load_window: load_window.map_or(DEFAULT_LOAD_WINDOW, Duration::from_secs_f64),
    };
    let cold = cold_over.map(|over| ColdBounds {
        over_percent: to_integer(over * PERCENT),
        slack: to_integer(cold_slack.unwrap_or_default()),
    });
    let late_queue = u32::try_from(late_queue).unwrap_or(u32::MAX);
    (orders, cold, prefill_tokens_per_ms, late_queue)
}

/// Converts milliseconds of at most `MAX_SECONDS`.
fn from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / MILLIS_PER_SECOND)
}
