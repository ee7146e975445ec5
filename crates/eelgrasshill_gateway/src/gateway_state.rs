//! The state behind a gateway's decisions, kept behind one lock.
//!
//! Its inputs are the records of the store's topics, the totals and updates of other hosts, and the
//! host's own requests. From them it chooses upstreams, limits organisations and retries, and
//! computes the totals that other hosts get.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eelgrasshill_domain::{
    DEFAULT_MAX_HEAD_BYTES, FastMap, FastSet, HostName, Moment, Offset, Version, ZoneName,
};
use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::{
    AdmissionLimits, AnswerTimes, Candidate, ColdBound, ColdEngines, ConfigInForce, CrashingParts,
    EnginePicker, EngineRests, EngineSpeeds, Era, EventIntervals, HostCounts, HostHash,
    KeyedRecord, KeyedTopic, KnownUpstreams, Miss, NewsLimit, NoUpstream, PartRefusal, Peer,
    PeerRole, Pick, PickerHost, ProbeTurn, ProbedParts, PromptPart, RateLimiter, ReceivedTotals,
    RetryBudget, RetrySettings, SelectionSettings, SmoothedDemand, Tables, Ticket, TopicChanges,
    Totals, TotalsSender, Tree, Upstream, UpstreamHealth, UpstreamLoads, UpstreamQuery,
    UpstreamSelector,
};
use eelgrasshill_settings::{ColdBounds, GatewayBounds, GatewaySettings};

use crate::codec::{PlatformCodec, Topic};
use crate::compression::RecordCompressor;
use crate::pick_socket::{HostQuery, PickProgress};

/// How long a store failure counts as recent; live upstreams have registered again by then.
const STORE_FAILURE_TTL: Duration = Duration::from_secs(3);

/// How long evacuations stay that a restored store does not have.
///
/// The operator writes them again by then. One that was removed before the restore, unknown to this
/// host, is never written again.
const RESTORED_EVACUATION_TTL: Duration = Duration::from_secs(10);

/// Age of its last renewal at which a lease holder is ignored: two renewals were missed.
const MAX_HOLDER_AGE: Duration = Duration::from_secs(3);

/// Minimum time between refreshes when totals of other hosts arrive.
///
/// Each round refreshes as well.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// How long a child's request for demand stays in force: some rounds of the exchange.
const DEMAND_REQUEST_TTL: Duration = Duration::from_secs(1);

/// Time from a query to the timeout for its reply, if this host is not busy.
const MAX_PICK_DELAY: Duration = Duration::from_millis(120);

/// The latest known holder of the lease for orders to engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderStatus {
    /// Host that holds the lease.
    pub host: HostName,
    /// Address for calls from other hosts.
    pub address: SocketAddr,
    /// Fencing token of the lease.
    pub fence: u64,
    /// When the holder sent its last acknowledged renewal.
    pub renewed_at: Moment,
    /// End of the lease's topic after that renewal.
    pub end: Offset,
    /// Whether the holder gives no more orders under this token.
    pub resigned: bool,
}

fn retry_settings(bounds: &GatewayBounds) -> RetrySettings {
    RetrySettings {
        retries_per_1000: bounds.retries.retries_per_thousand,
        fleet_retries: bounds.retries.extra_retries,
        window: bounds.retries.window,
    }
}

fn cold_bound(bound: ColdBounds) -> ColdBound {
    ColdBound {
        over_percent: bound.over_percent,
        slack: bound.slack,
    }
}

fn admission_limits(bounds: &GatewayBounds) -> AdmissionLimits {
    AdmissionLimits {
        late_queue: bounds.late_queue,
        has_shares: bounds.late_queue > 0,
    }
}

/// Everything a gateway knows about configuration, upstreams and other hosts.
#[derive(Debug)]
pub struct GatewayState<C> {
    /// Records of the configuration topic.
    pub config: KeyedTopic,
    /// Records of the upstreams' entries.
    pub upstreams_topic: KeyedTopic,
    /// Records of the entry hosts' registrations.
    pub hosts: KeyedTopic,
    /// Configuration in force; none before the first was read.
    pub tables: Option<Arc<Tables>>,
    /// Version of the configuration in force, and when it was last known to be the newest.
    pub config_in_force: ConfigInForce,
    /// Maximum size of the headers of a request, from the configuration in force.
    pub max_head_bytes: Arc<AtomicUsize>,
    // Record of the configuration in force, with the era of its offset.
    config_record: Option<(KeyedRecord, Era)>,
    /// Latest known era of the store; none before one is known.
    pub store_era: Option<Era>,
    /// Upstreams decoded from their entries, with what engines hold.
    pub upstreams: KnownUpstreams,
    /// Requests in progress on each upstream, of this host and the others.
    pub loads: UpstreamLoads,
    /// Recent outcomes of requests on each upstream.
    pub health: UpstreamHealth,
    /// Upstreams that asked this host for rest.
    pub rests: EngineRests,
    /// Parts of prompts on which engines crash.
    pub crashing_parts: CrashingParts,
    /// Limit on the news of crashes that are sent to all hosts.
    pub crash_news: NewsLimit,
    /// Speeds of the upstreams, learned from their answers.
    pub speeds: EngineSpeeds,
    /// Prompts of all hosts, if this host picks their engines.
    picker: EnginePicker,
    picker_host: PickerHost,
    /// Times that answers hold a slot of an engine.
    pub answer_times: AnswerTimes,
    /// Intervals between the events of streams.
    pub event_intervals: EventIntervals,
    // The picker of the last log line.
    logged_picker: Option<HostName>,
    /// Budget of retries for each target pool.
    pub retries: RetryBudget,
    /// Token rate limits of the organisations.
    pub rate_limiter: RateLimiter,
    /// When a call to the store last failed.
    pub store_failure: Option<Moment>,
    /// Position of each host in its zone's tree.
    pub tree: Tree,
    /// Latest totals of other hosts.
    pub received_totals: ReceivedTotals,
    /// Work that this host's callers ask of each model.
    pub demand: SmoothedDemand,
    /// Holder of the lease for orders to engines.
    pub holder: Option<HolderStatus>,
    /// Models that, as the lease holder answered, no engine will hold before the given moment.
    pub unavailable_until: FastMap<Miss, Moment>,
    /// When a child last asked for the demand at other hosts.
    pub demand_requested: Option<Moment>,
    compressor: RecordCompressor,
    refreshed_at: Moment,
    host_counts: HostCounts,
    // Whether this host is the first root, to which all others report their spending.
    is_first_root: bool,
    // The counts of the last log line.
    logged_counts: HostCounts,
    // Evacuations that a restored store does not have, with the moments until which they stay.
    kept_evacuations: FastMap<ZoneName, Moment>,
    selection: SelectionSettings,
    host: HostName,
    host_hash: HostHash,
    zone: ZoneName,
    codec: PhantomData<C>,
}

impl<C: PlatformCodec> GatewayState<C> {
    /// Creates the state of a host that has read nothing yet.
    #[must_use]
    pub fn new(settings: &GatewaySettings, self_peer: Peer) -> Self {
        let bounds = &settings.bounds;
        Self {
            config: KeyedTopic::default(),
            upstreams_topic: KeyedTopic::default(),
            hosts: KeyedTopic::default(),
            tables: None,
            config_in_force: ConfigInForce::default(),
            max_head_bytes: Arc::new(AtomicUsize::new(DEFAULT_MAX_HEAD_BYTES)),
            config_record: None,
            store_era: None,
            upstreams: KnownUpstreams::default(),
            loads: UpstreamLoads::default(),
            health: UpstreamHealth::default(),
            rests: EngineRests::new(ColdEngines::new(
                settings.name.clone(),
                settings.cold.map(cold_bound),
                BootClock.now(),
            )),
            crashing_parts: CrashingParts::default(),
            crash_news: NewsLimit::default(),
            speeds: EngineSpeeds::new(bounds.prefill_tokens_per_ms),
            picker: EnginePicker::new(admission_limits(bounds)),
            picker_host: PickerHost::default(),
            answer_times: AnswerTimes::default(),
            event_intervals: EventIntervals::default(),
            logged_picker: None,
            retries: RetryBudget::new(retry_settings(bounds), HostCounts::UNKNOWN.registered),
            rate_limiter: RateLimiter::default(),
            store_failure: None,
            tree: Tree::new(self_peer),
            received_totals: ReceivedTotals::default(),
            demand: SmoothedDemand::default(),
            holder: None,
            unavailable_until: FastMap::default(),
            demand_requested: None,
            compressor: RecordCompressor::default(),
            refreshed_at: Moment(0),
            host_counts: HostCounts::UNKNOWN,
            is_first_root: false,
            logged_counts: HostCounts::UNKNOWN,
            kept_evacuations: FastMap::default(),
            selection: SelectionSettings::default(),
            host: settings.name.clone(),
            host_hash: HostHash::new(&settings.name),
            zone: settings.zone.clone(),
            codec: PhantomData,
        }
    }

    /// Applies changed settings for retries, the prefill rate and late requests.
    pub fn set_bounds(&mut self, bounds: &GatewayBounds) {
        self.retries.set_settings(retry_settings(bounds));
        self.speeds.set_default(bounds.prefill_tokens_per_ms);
        self.picker.set_limits(admission_limits(bounds));
    }

    /// Returns the records of a topic; none for those that hosts do not follow.
    pub fn topic(&mut self, topic: Topic) -> Option<&mut KeyedTopic> {
        self.topic_and_compressor(topic)
            .map(|(keyed_topic, _compressor)| keyed_topic)
    }

    /// Returns the records of a topic, with the compressor for sending them.
    pub(crate) fn topic_and_compressor(
        &mut self,
        topic: Topic,
    ) -> Option<(&mut KeyedTopic, &mut RecordCompressor)> {
        let keyed_topic = match topic {
            Topic::Config => &mut self.config,
            Topic::Upstreams => &mut self.upstreams_topic,
            Topic::Hosts => &mut self.hosts,
            Topic::Lease | Topic::Software | Topic::StreamVersions => return None,
        };
        Some((keyed_topic, &mut self.compressor))
    }

    /// Returns the compressor for sending records.
    pub(crate) fn compressor(&mut self) -> &mut RecordCompressor {
        &mut self.compressor
    }

    /// Applies the changes of a topic.
    ///
    /// What a restored store no longer has may be written again. Until then the configuration and
    /// the hosts stay as they are, and the upstreams count as lapsed.
    pub fn apply(&mut self, topic: Topic, changes: &TopicChanges, now: Moment) {
        let records = &changes.records;
        if changes.is_new_era {
            self.store_failure = Some(now);
            log::info!(
                "store: topic={topic} is of a new era, {} keys are missing, {} records differ",
                changes.missing.len(),
                records.len()
            );
            match topic {
                Topic::Config => self.apply_restored_config(now),
                Topic::Upstreams => {
                    self.upstreams.start_era();
                    for id in changes
                        .missing
                        .iter()
                        .filter_map(|key| HostName::new(key).ok())
                    {
                        self.upstreams.remove(&id, true, now);
                    }
                }
                Topic::Hosts | Topic::Lease | Topic::Software | Topic::StreamVersions => {}
            }
        }
        // A restored configuration was compared above, also if its record did not change.
        let is_compared = |record: &&KeyedRecord| {
            changes.is_new_era && topic == Topic::Config && &*record.key == C::CONFIG_KEY
        };
        for record in records.iter().filter(|record| !is_compared(record)) {
            match topic {
                Topic::Config => self.apply_config(record, now),
                Topic::Upstreams => self.apply_upstream(record, changes.is_new_era, now),
                Topic::Hosts => self.apply_host(record),
                Topic::Lease | Topic::Software | Topic::StreamVersions => {}
            }
        }
        if topic == Topic::Config {
            self.config_in_force.confirm(self.config.confirmed_at());
            if changes.is_new_era || !records.is_empty() {
                self.keep_evacuations(&changes.missing, now);
                self.update_evacuations(now);
            }
        }
        if topic == Topic::Upstreams
            && let Some(confirmed_at) = self.upstreams_topic.confirmed_at()
        {
            let end = self.upstreams_topic.end();
            self.upstreams.confirm_registry(end, confirmed_at);
        }
        if topic == Topic::Hosts && !records.is_empty() {
            let keys = self.hosts.iter().map(|record| HostName::new(&record.key));
            let mut hosts: Vec<_> = keys.filter_map(Result::ok).collect();
            hosts.sort();
            self.rests.cold.set_hosts(hosts, now);
        }
        // The first read gives the host counts even if no other host is registered.
        if topic == Topic::Hosts && (!records.is_empty() || self.host_counts == HostCounts::UNKNOWN)
        {
            self.refresh_totals(now);
        }
    }

    fn apply_config(&mut self, record: &KeyedRecord, now: Moment) {
        if &*record.key != C::CONFIG_KEY || record.is_removal() {
            return;
        }
        match C::decode_tables(&record.value) {
            Ok(tables) => {
                let era = self.config.era();
                if self.config_in_force.offer(tables.version(), era) {
                    self.put_in_force(tables, record, now);
                } else {
                    log::info!(
                        "config: version={} offset={} era={era} of a restored store changes \
                         nothing, in-force-is-newer={}",
                        tables.version(),
                        record.offset,
                        self.config_in_force.is_behind()
                    );
                }
            }
            Err(error) => log::error!("config: offset={} skipped: {error}", record.offset),
        }
    }

    fn put_in_force(&mut self, tables: Tables, record: &KeyedRecord, now: Moment) {
        log::info!(
            "config: version={} offset={} in force",
            tables.version(),
            record.offset
        );
        let rows = tables.organisations().map(|row| &**row);
        self.rate_limiter.configure(rows, now);
        self.answer_times.retain(|route| tables.has_route(route));
        self.rests.cold.set_rules(tables.cold_rules().clone());
        let head_bytes = tables.bounds().head_bytes;
        self.max_head_bytes.store(head_bytes, Ordering::Relaxed);
        self.tables = Some(Arc::new(tables));
        self.config_record = Some((record.clone(), self.config.era()));
        let evacuated = self.upstreams.evacuated(now);
        let upstreams = self.upstreams.available(now).chain(evacuated);
        let upstreams: Vec<_> = upstreams.cloned().collect();
        for upstream in upstreams {
            self.note_cold_entry(&upstream, now);
        }
    }

    /// Compares the configuration in force with the one that a restored store shows.
    fn apply_restored_config(&mut self, now: Moment) {
        match self.config.get(C::CONFIG_KEY).cloned() {
            Some(record) => self.apply_config(&record, now),
            None => self.config_in_force.note_missing(self.config.era()),
        }
    }

    /// Puts a configuration in force that another host kept, if its version is higher.
    pub(crate) fn adopt_config(&mut self, record: &KeyedRecord, now: Moment) {
        match C::decode_tables(&record.value) {
            Ok(tables) => {
                if self
                    .config_in_force
                    .adopt(tables.version(), self.config.era())
                {
                    log::info!(
                        "config: version={} adopted from a peer, the restored store lacks it",
                        tables.version()
                    );
                    self.put_in_force(tables, record, now);
                }
            }
            Err(error) => log::error!("config: kept configuration of a peer skipped: {error}"),
        }
    }

    /// Returns the configuration in force with the era of its offset, for a host that lacks it.
    ///
    /// That is one with a lower version, while the restored store shows an older one too.
    pub(crate) fn kept_config(
        &self,
        topic: Topic,
        known_version: Version,
    ) -> Option<(KeyedRecord, Era)> {
        let is_newer = self
            .tables
            .as_ref()
            .is_some_and(|tables| tables.version() > known_version);
        (topic == Topic::Config && self.config_in_force.is_behind() && is_newer)
            .then(|| self.config_record.clone())
            .flatten()
    }

    /// Keeps the evacuations in force that a restored store does not have, for some time.
    fn keep_evacuations(&mut self, missing: &[Arc<str>], now: Moment) {
        let zones = missing.iter().filter_map(|key| C::evacuated_zone(key));
        for zone in zones.filter_map(|zone| ZoneName::new(zone).ok()) {
            let until = now.after(RESTORED_EVACUATION_TTL);
            self.kept_evacuations.insert(zone, until);
        }
    }

    /// Sets the evacuated zones from the records of the configuration's topic.
    fn update_evacuations(&mut self, now: Moment) {
        let before = self.upstreams.evacuated_zones().clone();
        self.kept_evacuations.retain(|_zone, until| now < *until);
        let mut zones: FastSet<_> = self.kept_evacuations.keys().cloned().collect();
        for record in self.config.iter() {
            let Some(zone) = C::evacuated_zone(&record.key) else {
                continue;
            };
            match ZoneName::new(zone) {
                Ok(zone) => {
                    if !before.contains(&zone) {
                        log::info!("evacuation: zone={zone} in force offset={}", record.offset);
                    }
                    zones.insert(zone);
                }
                Err(_error) => log::warn!(
                    "evacuation: offset={} skipped: its key {:?} names no valid zone",
                    record.offset,
                    record.key
                ),
            }
        }
        for zone in before.difference(&zones) {
            let end = self.config.end();
            log::info!("evacuation: zone={zone} ended, by the records before offset {end}");
        }
        self.upstreams.set_evacuated(zones);
    }

    /// Returns how many zones are evacuated, and how many requests of this host run there still.
    fn evacuation_counts(&self) -> (usize, u32) {
        let running = self.loads.own().filter(|(id, _load)| {
            let upstream = self.upstreams.get(id);
            upstream.is_some_and(|upstream| self.upstreams.is_evacuated(upstream))
        });
        let running = running.map(|(_id, load)| load.running).sum();
        (self.upstreams.evacuated_zones().len(), running)
    }

    fn apply_upstream(&mut self, record: &KeyedRecord, is_restored: bool, now: Moment) {
        let Ok(id) = HostName::new(&record.key) else {
            log::warn!(
                "upstreams: offset={} skipped: its key {:?} is not a valid upstream id",
                record.offset,
                record.key
            );
            return;
        };
        if record.is_removal() {
            let store_unstable = self.is_store_unstable(now);
            log::info!("upstreams: id={id} entry dropped, store in trouble={store_unstable}");
            self.upstreams.remove(&id, store_unstable, now);
            return;
        }
        match C::decode_upstream(&record.key, &record.value) {
            Ok(upstream) => {
                let known = self.upstreams.get(&id);
                if known.is_none_or(|known| {
                    known.leaving != upstream.leaving || known.started_ms != upstream.started_ms
                }) {
                    log::info!(
                        "upstreams: id={id} pool={} address={} leaving={}",
                        upstream.pool,
                        upstream.address,
                        upstream.leaving
                    );
                }
                if self.upstreams.check_notice(&upstream, record.offset) {
                    log::info!(
                        "upstreams: id={id} offset={} is not leaving, despite an earlier answer",
                        record.offset
                    );
                }
                self.note_cold_entry(&upstream, now);
                if is_restored {
                    self.upstreams.insert_restored(upstream, now);
                } else {
                    self.upstreams.insert(upstream, now);
                }
            }
            Err(error) => {
                // The newest entry of an upstream counts, and this one names none.
                log::warn!(
                    "upstreams: id={id} offset={} is not used: {error}",
                    record.offset
                );
                self.upstreams.remove(&id, false, now);
            }
        }
    }

    /// Notes what an upstream's entry says of its cold time.
    fn note_cold_entry(&mut self, upstream: &Upstream, now: Moment) {
        let cold = &mut self.rests.cold;
        if cold.note_entry(upstream, BootClock.unix_millis(), now) {
            log::info!(
                "upstreams: id={} started={} is cold, by its entry for {} ms",
                upstream.id,
                upstream.started_ms,
                upstream.cold_remaining.as_millis()
            );
        }
    }

    fn apply_host(&mut self, record: &KeyedRecord) {
        let Ok(host) = HostName::new(&record.key) else {
            log::warn!(
                "hosts: offset={} skipped: its key {:?} is not a valid host name",
                record.offset,
                record.key
            );
            return;
        };
        if record.is_removal() {
            log::info!("hosts: host={host} unregistered");
            self.tree.remove(&host);
            return;
        }
        match serde_json::from_slice::<Peer>(&record.value) {
            Ok(peer) if peer.host == host => {
                log::info!("hosts: host={host} address={} registered", peer.address);
                self.tree.insert(peer);
            }
            Ok(other) => log::warn!(
                "hosts: host={host} skipped: its value names another host, {}",
                other.host
            ),
            Err(error) => log::warn!("hosts: host={host} malformed, skipped: {error}"),
        }
    }

    /// Returns whether the host has the records of all topics that it follows.
    pub(crate) fn has_records(&self) -> bool {
        let topics = [&self.config, &self.upstreams_topic, &self.hosts];
        topics.iter().all(|topic| topic.confirmed_at().is_some())
    }

    /// Returns the totals of this host's subtree, for its parent or the roots of other zones.
    pub(crate) fn totals_for_parent(&mut self, now: Moment) -> Totals {
        let mut own = self.own_totals(now);
        own.demand = self.demand.rates(now);
        self.received_totals.for_parent(own, now)
    }

    /// Returns the totals of all hosts outside a child's subtree, for that child.
    pub(crate) fn totals_for_child(
        &mut self,
        child: &HostName,
        include_demand: bool,
        now: Moment,
    ) -> Totals {
        let own = self.own_totals(now);
        let mut totals = self.received_totals.for_child(own, child, now);
        if include_demand {
            totals.demand = self.demand.rates(now);
            self.received_totals
                .add_demand_except(child, &mut totals.demand, now);
        }
        totals
    }

    /// Returns this host's own part of the totals, without demand and spending.
    fn own_totals(&mut self, now: Moment) -> Totals {
        let mut loads: FastMap<_, _> = self
            .loads
            .own()
            .map(|(id, load)| (id.clone(), *load))
            .collect();
        for id in self.health.ejected(now) {
            loads.entry(id.clone()).or_default().unreachable_hosts = 1;
        }
        Totals {
            hosts: FastSet::from_iter([self.host_hash]),
            loads,
            is_report: false,
            spent: FastMap::default(),
            asked: self.rate_limiter.asked(now),
            levels: self.rate_limiter.levels(now),
            is_settled: self.rate_limiter.is_settled(),
            demand: FastMap::default(),
        }
    }

    /// Stores another host's totals and debits the tokens that it reports.
    ///
    /// A host whose levels do not agree with those of most hosts adopts theirs.
    pub fn receive(&mut self, role: PeerRole, sender: TotalsSender, totals: Totals, now: Moment) {
        if totals.is_settled && !self.rate_limiter.is_settled() {
            self.rate_limiter.adopt(&totals.levels, now);
        }
        for (name, tokens) in self.received_totals.receive(role, sender, totals, now) {
            self.rate_limiter.debit(&name, tokens, now);
        }
        if now.since(self.refreshed_at) >= MIN_REFRESH_INTERVAL {
            self.refresh_totals(now);
        }
    }

    /// Sets whether this host is the first root, to which all others report their spending.
    pub(crate) fn set_first_root(&mut self, is_first_root: bool) {
        self.is_first_root = is_first_root;
        self.rate_limiter.set_first_root(is_first_root);
    }

    /// Recomputes the totals once in a round of the exchange, and logs changed host counts.
    ///
    /// Also removes what has expired, since most hosts do not read the store themselves.
    pub fn finish_round(&mut self, now: Moment) {
        let before = self.logged_counts;
        self.remove_expired(now);
        if !self.kept_evacuations.is_empty() {
            self.update_evacuations(now);
        }
        crate::telemetry::set_engine_speeds(&self.speeds);
        crate::telemetry::set_reserved_returns(self.picker.reserved_count());
        crate::telemetry::set_delayed_requests(self.picker.delayed_count());
        crate::telemetry::set_picked_requests(self.picker.counts(), self.picker.late_count());
        crate::telemetry::set_suspect_parts(self.crashing_parts.suspect_count());
        crate::telemetry::set_cold_engines(self.rests.cold.counts());
        crate::telemetry::set_evacuations(self.evacuation_counts());
        self.refresh_totals(now);
        if before != self.host_counts {
            log::info!(
                "peers: reachable={} registered={}, before {} of {}",
                self.host_counts.reachable,
                self.host_counts.registered,
                before.reachable,
                before.registered
            );
            self.logged_counts = self.host_counts;
        }
    }

    /// Recomputes the totals over all hosts from the latest ones received.
    pub fn refresh_totals(&mut self, now: Moment) {
        self.refreshed_at = now;
        let elsewhere = self.received_totals.elsewhere(now);
        // Hosts that report to another one take from a bucket that this host does not keep.
        let sharing_hosts = if self.is_first_root {
            &self.received_totals.reporting_hosts(now)
        } else {
            &elsewhere.hosts
        };
        let reachable = sharing_hosts
            .iter()
            .filter(|host_hash| **host_hash != self.host_hash);
        let host_counts = if self.hosts.confirmed_at().is_some() {
            HostCounts {
                reachable: 1 + u64::try_from(reachable.count()).unwrap_or(u64::MAX),
                registered: u64::try_from(self.tree.peers().count()).unwrap_or(u64::MAX),
            }
        } else {
            HostCounts::UNKNOWN
        };
        self.host_counts = host_counts;
        self.rate_limiter.set_host_counts(host_counts, now);
        self.rate_limiter.set_asked_elsewhere(&elsewhere.asked, now);
        self.loads.set_elsewhere(elsewhere.loads);
        self.retries.set_hosts(host_counts.registered);
    }

    /// Returns whether a child recently asked for the demand at other hosts.
    #[must_use]
    pub fn is_demand_requested(&self, now: Moment) -> bool {
        self.demand_requested
            .is_some_and(|at| now.since(at) < DEMAND_REQUEST_TTL)
    }

    /// Updates the lease holder, if the given status is newer than the known one.
    pub fn update_holder(&mut self, status: HolderStatus) {
        let recency = |status: &HolderStatus| (status.fence, status.end, status.resigned);
        let known = self.holder.as_ref();
        if known.is_none_or(|known| recency(known) < recency(&status)) {
            if known.is_none_or(|known| {
                (known.fence, known.resigned) != (status.fence, status.resigned)
            }) {
                log::info!(
                    "orders: holder={} fence={} resigned={}",
                    status.host,
                    status.fence,
                    status.resigned
                );
            }
            self.holder = Some(status);
        }
    }

    /// Returns the lease holder, unless it resigned or its last renewal is too old.
    #[must_use]
    pub fn holder(&self, now: Moment) -> Option<&HolderStatus> {
        let holder = self.holder.as_ref();
        holder.filter(|holder| !holder.resigned && now.since(holder.renewed_at) < MAX_HOLDER_AGE)
    }

    /// Returns whether the store failed recently, so that entries may have lapsed.
    #[must_use]
    pub fn is_store_unstable(&self, now: Moment) -> bool {
        self.store_failure
            .is_some_and(|at| now.since(at) < STORE_FAILURE_TTL)
    }

    /// Chooses an upstream for a request.
    ///
    /// # Errors
    ///
    /// Returns [`NoUpstream`] if no upstream can serve it.
    pub fn choose(&self, query: &UpstreamQuery<'_>, now: Moment) -> Result<Candidate, NoUpstream> {
        let selector = self.selector(&self.zone, &self.rests);
        selector.choose(query, |count| rand::random_range(0..count), now)
    }

    fn selector<'a>(&'a self, zone: &'a ZoneName, rests: &'a EngineRests) -> UpstreamSelector<'a> {
        UpstreamSelector {
            upstreams: &self.upstreams,
            loads: &self.loads,
            health: &self.health,
            rests,
            speeds: &self.speeds,
            zone,
            settings: &self.selection,
        }
    }

    /// Picks the engine for a request of any host; returns none if this host knows none.
    pub(crate) fn pick(&mut self, query: &HostQuery, now: Moment) -> Option<Pick> {
        let upstream_query = UpstreamQuery {
            pool: &query.prompt.pool,
            model: Some(&query.prompt.model),
            adapter: query.adapter.as_ref(),
            rank: query.prompt.rank,
            tried: &query.excluded,
            // The host excludes the engines outside of the home regions.
            homes: None,
            software: query.software.as_ref(),
        };
        // Engines rest for the hosts that they asked, and those exclude them.
        let no_rests = EngineRests::default();
        let selector = self.selector(&query.zone, &no_rests);
        let candidates = selector.pick_candidates(&upstream_query, &query.holder, now);
        let draw = |count| rand::random_range(0..count);
        self.picker
            .pick(&query.prompt, &candidates, &self.speeds, draw, now)
    }

    /// Applies a note on a request that this host picked an engine for.
    ///
    /// A failure at another host counts like one at this host.
    pub(crate) fn note_pick(&mut self, ticket: Ticket, progress: PickProgress, now: Moment) {
        match progress {
            PickProgress::Answering { elapsed } => {
                self.picker
                    .note_answer(ticket, elapsed, now, &mut self.speeds);
            }
            PickProgress::Ended { outcome } => {
                let engine = self.picker.note_end(ticket, now);
                if let (Some(engine), Some(outcome)) = (engine, outcome) {
                    self.health.record_outcome(&engine, outcome, now);
                }
            }
        }
    }

    /// Returns the upstreams that hold a request's model and that this host does not use for it.
    pub(crate) fn excluded(&self, query: &UpstreamQuery<'_>, now: Moment) -> FastSet<HostName> {
        self.selector(&self.zone, &self.rests).excluded(query, now)
    }

    /// Returns an upstream if this host may send the request to it.
    pub(crate) fn usable(
        &self,
        query: &UpstreamQuery<'_>,
        id: &HostName,
        now: Moment,
    ) -> Option<Arc<Upstream>> {
        self.selector(&self.zone, &self.rests)
            .usable(query, id, now)
    }

    /// Decides whether a request with these parts may be sent now.
    ///
    /// # Errors
    ///
    /// Returns [`PartRefusal`] if a part is quarantined and this host may not probe it now.
    pub(crate) fn check_parts(
        &mut self,
        parts: &[PromptPart],
        now: Moment,
    ) -> Result<(), PartRefusal> {
        let (host, hosts) = (&self.host, || self.tree.peers().map(|peer| &peer.host));
        let turn = |part| ProbeTurn::new(part, host, hosts());
        self.crashing_parts.check(parts, turn, now)
    }

    /// Decides the same for a request that is about to be sent, and notes its probes.
    ///
    /// # Errors
    ///
    /// Returns [`PartRefusal`] if a part is quarantined and this host may not probe it now.
    pub(crate) fn admit_parts(
        &mut self,
        parts: &[PromptPart],
        now: Moment,
    ) -> Result<ProbedParts, PartRefusal> {
        let (host, hosts) = (&self.host, || self.tree.peers().map(|peer| &peer.host));
        let turn = |part| ProbeTurn::new(part, host, hosts());
        self.crashing_parts.admit(parts, turn, now)
    }

    /// Returns the host that picks engines; none if none of those that could answers.
    pub(crate) fn picker_host(&mut self, now: Moment) -> Option<Peer> {
        self.hosts.confirmed_at()?;
        let picker = self.picker_host.choose(&self.tree, &self.zone, now)?;
        if self.logged_picker.as_ref() != Some(&picker.host) {
            log::info!(
                "picks: picker={} before={}",
                picker.host,
                self.logged_picker
                    .as_ref()
                    .map_or("-", |host| host.as_str())
            );
            self.logged_picker = Some(picker.host.clone());
        }
        Some(picker.clone())
    }

    /// Notes that the picker answered.
    pub(crate) fn note_picker_answer(&mut self) {
        self.picker_host.note_answer();
    }

    /// Leaves a picker out for a while, as it said that it does not pick.
    pub(crate) fn avoid_picker(&mut self, host: &HostName, now: Moment) {
        log::info!("picks: picker={host} does not pick now");
        self.picker_host.avoid(host, now);
    }

    /// Notes that the picker did not answer a query of the given moment.
    pub(crate) fn note_picker_failure(&mut self, host: &HostName, asked_at: Moment, now: Moment) {
        // Otherwise this host was too busy to read an answer.
        let is_picker_late = now.since(asked_at) < MAX_PICK_DELAY;
        if is_picker_late && self.picker_host.note_failure(host, now) {
            log::info!("picks: picker={host} did not answer and is left out");
        }
    }

    /// Removes the loads and outcomes of upstreams that no longer exist.
    fn remove_expired(&mut self, now: Moment) {
        self.upstreams.expire(now);
        self.rests.expire(now);
        let upstreams = &self.upstreams;
        self.rests
            .cold
            .expire(|id| upstreams.get(id).is_some(), now);
        self.crashing_parts.expire(now);
        let upstreams = &self.upstreams;
        self.loads.retain(|id| upstreams.get(id).is_some());
        self.health.retain(|id| upstreams.get(id).is_some());
        self.speeds.retain(|id| upstreams.get(id).is_some());
        self.picker.expire(|id| upstreams.get(id).is_some(), now);
    }
}
