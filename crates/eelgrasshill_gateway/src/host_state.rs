//! What a gateway knows and decides at one moment.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, FastSet, HostName, Moment, Offset};
use eelgrasshill_relay::{
    Asked, Candidate, Demand, Fleet, HostCounts, HostHash, KeyedRecord, KeyedTopic, Loads, Peer,
    PeerRole, RateLimiter, RetryBudget, RetrySettings, SelectionSettings, Sum, SumSender, Sums,
    Tables, Tree, UpstreamHealth, UpstreamQuery, UpstreamSelector,
};
use eelgrasshill_settings::{GatewayBounds, GatewaySettings};

use crate::codec::{PlatformCodec, Topic};
use crate::compression::RecordCompressor;

/// How long the store's trouble is remembered: entries that lapsed are back by then.
const STORE_FAILURE_TTL: Duration = Duration::from_secs(3);

/// Age from which the last renewal of the orders' holder no longer counts: two were missed.
const MAX_HOLDER_AGE: Duration = Duration::from_secs(3);

/// Least time between two summations on messages of hosts below; a round brings another.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// How long a host below goes on needing to know what is wanted: some rounds of the news.
const DEMAND_REQUEST_TTL: Duration = Duration::from_secs(1);

/// Who gives orders to engines, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderStatus {
    /// The host.
    pub host: HostName,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// The fencing token.
    pub fence: u64,
    /// When it sent its last renewal that stands.
    pub renewed: Moment,
    /// Where the lease's topic ended after that.
    pub end: Offset,
    /// Whether it will give no more orders under this token.
    pub resigned: bool,
}

fn retry_settings(bounds: &GatewayBounds) -> RetrySettings {
    RetrySettings {
        ratio: bounds.retries.ratio,
        extra: bounds.retries.extra,
        window: bounds.retries.window,
    }
}

/// What is known and decided at one moment, behind one lock.
#[derive(Debug)]
pub struct HostState<C> {
    /// The operators' configuration as it was read.
    pub config: KeyedTopic,
    /// The upstreams' entries as they were read.
    pub upstreams: KeyedTopic,
    /// The entry hosts' entries as they were read.
    pub hosts: KeyedTopic,
    /// The configuration in force.
    pub tables: Option<Arc<Tables>>,
    /// The upstreams.
    pub fleet: Fleet,
    /// What runs on them.
    pub loads: Loads,
    /// How they did lately.
    pub health: UpstreamHealth,
    /// The budget of repeats.
    pub retries: RetryBudget,
    /// The organisations' limits.
    pub rate_limiter: RateLimiter,
    /// When the store was last in trouble.
    pub store_failure: Option<Moment>,
    /// From whom to take news.
    pub tree: Tree,
    /// What other hosts told.
    pub sums: Sums,
    /// What this host's callers ask for.
    pub demand: Demand,
    /// Who gives orders to engines.
    pub holder: Option<HolderStatus>,
    /// Models that the holder cannot bring before a moment.
    pub unavailable_until: FastMap<Asked, Moment>,
    /// When a host below last needed to know what is wanted elsewhere.
    pub demand_requested: Option<Moment>,
    compressor: RecordCompressor,
    refreshed_at: Moment,
    host_counts: HostCounts,
    selection: SelectionSettings,
    host_hash: HostHash,
    zone: eelgrasshill_domain::ZoneName,
    codec: PhantomData<C>,
}

impl<C: PlatformCodec> HostState<C> {
    /// Makes the desk of a host that knows nothing yet.
    #[must_use]
    pub fn new(settings: &GatewaySettings, self_peer: Peer) -> Self {
        let bounds = &settings.bounds;
        Self {
            config: KeyedTopic::default(),
            upstreams: KeyedTopic::default(),
            hosts: KeyedTopic::default(),
            tables: None,
            fleet: Fleet::default(),
            loads: Loads::default(),
            health: UpstreamHealth::default(),
            retries: RetryBudget::new(retry_settings(bounds), HostCounts::UNKNOWN.registered),
            rate_limiter: RateLimiter::default(),
            store_failure: None,
            tree: Tree::new(self_peer),
            sums: Sums::default(),
            demand: Demand::default(),
            holder: None,
            unavailable_until: FastMap::default(),
            demand_requested: None,
            compressor: RecordCompressor::default(),
            refreshed_at: Moment(0),
            host_counts: HostCounts::UNKNOWN,
            selection: SelectionSettings {
                prefill_rate: bounds.prefill,
                ..SelectionSettings::default()
            },
            host_hash: HostHash::new(&settings.name),
            zone: settings.zone.clone(),
            codec: PhantomData,
        }
    }

    /// Puts other bounds in force.
    pub fn set_bounds(&mut self, bounds: &GatewayBounds) {
        self.retries.set_settings(retry_settings(bounds));
        self.selection.prefill_rate = bounds.prefill;
    }

    /// Returns the records of a keyed topic.
    pub fn topic(&mut self, topic: Topic) -> Option<&mut KeyedTopic> {
        self.topic_and_compressor(topic)
            .map(|(keyed_topic, _compressor)| keyed_topic)
    }

    /// Returns the records of a keyed topic, and the packer for those that are sent.
    pub(crate) fn topic_and_compressor(
        &mut self,
        topic: Topic,
    ) -> Option<(&mut KeyedTopic, &mut RecordCompressor)> {
        let keyed_topic = match topic {
            Topic::Config => &mut self.config,
            Topic::Upstreams => &mut self.upstreams,
            Topic::Hosts => &mut self.hosts,
            Topic::Lease => return None,
        };
        Some((keyed_topic, &mut self.compressor))
    }

    /// Acts on records that are news.
    pub fn apply(&mut self, topic: Topic, records: &[KeyedRecord], now: Moment) {
        for record in records {
            match topic {
                Topic::Config => self.apply_config(record, now),
                Topic::Upstreams => self.apply_upstream(record, now),
                Topic::Hosts => self.apply_host(record),
                Topic::Lease => {}
            }
        }
        // The first look shows who else there is, also where that is nobody.
        if topic == Topic::Hosts && (!records.is_empty() || self.host_counts == HostCounts::UNKNOWN)
        {
            self.refresh_totals(now);
        }
    }

    fn apply_config(&mut self, record: &KeyedRecord, now: Moment) {
        if &*record.key != C::CONFIG_KEY || record.is_removal() {
            return;
        }
        match C::tables(&record.value) {
            Ok(tables) => {
                log::info!(
                    "config: version={} offset={} in force",
                    tables.version(),
                    record.offset
                );
                let rows = tables.organisations().map(|row| &**row);
                self.rate_limiter.configure(rows, now);
                self.tables = Some(Arc::new(tables));
            }
            Err(error) => log::error!("config: offset={} skipped: {error}", record.offset),
        }
    }

    fn apply_upstream(&mut self, record: &KeyedRecord, now: Moment) {
        let Ok(id) = HostName::new(&record.key) else {
            log::warn!(
                "upstreams: offset={} skipped: its key is no name",
                record.offset
            );
            return;
        };
        if record.is_removal() {
            let store_unstable = self.is_store_unstable(now);
            log::info!("upstreams: id={id} entry dropped, store in trouble={store_unstable}");
            self.fleet.remove(&id, store_unstable, now);
            return;
        }
        match C::upstream(&record.key, &record.value) {
            Ok(upstream) => {
                let before = self.fleet.get(&id);
                if before.is_none_or(|b| {
                    b.leaving != upstream.leaving || b.started_ms != upstream.started_ms
                }) {
                    log::info!(
                        "upstreams: id={id} pool={} address={} leaving={}",
                        upstream.pool,
                        upstream.address,
                        upstream.leaving
                    );
                }
                self.fleet.insert(upstream, now);
            }
            Err(error) => log::warn!("upstreams: offset={} skipped: {error}", record.offset),
        }
    }

    fn apply_host(&mut self, record: &KeyedRecord) {
        let Ok(host) = HostName::new(&record.key) else {
            log::warn!(
                "hosts: offset={} skipped: its key is no name",
                record.offset
            );
            return;
        };
        if record.is_removal() {
            log::info!("hosts: host={host} is registered no more");
            self.tree.remove(&host);
            return;
        }
        match serde_json::from_slice::<Peer>(&record.value) {
            Ok(peer) if peer.host == host => {
                log::info!("hosts: host={host} address={} registered", peer.address);
                self.tree.insert(peer);
            }
            Ok(_other) => log::warn!("hosts: host={host} skipped: it names another host"),
            Err(error) => log::warn!("hosts: host={host} skipped: {error}"),
        }
    }

    /// Returns the sum of this host and all below it, for its parent or the other tops.
    pub(crate) fn sum_for_parent(&mut self, now: Moment) -> Sum {
        let mut own = self.own_sum(now);
        own.demand = self.demand.rates(now);
        self.sums.for_parent(own, now)
    }

    /// Returns the sum of all but a child's part, for that child.
    pub(crate) fn sum_for_child(
        &mut self,
        child: &HostName,
        include_demand: bool,
        now: Moment,
    ) -> Sum {
        let own = self.own_sum(now);
        let mut sum = self.sums.for_child(own, child, now);
        if include_demand {
            sum.demand = self.demand.rates(now);
            self.sums.add_demand_except(child, &mut sum.demand, now);
        }
        sum
    }

    /// Returns this host's own part of the sums, but for what its callers want.
    fn own_sum(&mut self, now: Moment) -> Sum {
        let spent = self.rate_limiter.spent();
        let mut loads: FastMap<_, _> = self
            .loads
            .own()
            .map(|(id, load)| (id.clone(), *load))
            .collect();
        for id in self.health.ejected(now) {
            loads.entry(id.clone()).or_default().unreached = 1;
        }
        Sum {
            hosts: FastSet::from_iter([self.host_hash]),
            loads,
            spent: spent.map(|(name, tokens)| (name.clone(), tokens)).collect(),
            demand: FastMap::default(),
        }
    }

    /// Takes a sum that another host told.
    pub fn receive(&mut self, role: PeerRole, sender: SumSender, sum: Sum, now: Moment) {
        for (name, tokens) in self.sums.receive(role, sender, sum, now) {
            self.rate_limiter.debit(&name, tokens, now);
        }
        if now.since(self.refreshed_at) >= MIN_REFRESH_INTERVAL {
            self.refresh_totals(now);
        }
    }

    /// Begins a round of news, in which each host takes its part of what is scarce.
    pub fn begin_round(&mut self, now: Moment) {
        self.refresh_totals(now);
        self.rate_limiter.begin_round(now);
    }

    /// Acts on what all other hosts told.
    pub fn refresh_totals(&mut self, now: Moment) {
        self.refreshed_at = now;
        let elsewhere = self.sums.elsewhere(now);
        let reachable = elsewhere
            .hosts
            .iter()
            .filter(|host_hash| **host_hash != self.host_hash);
        let host_counts = if self.hosts.fresh().is_some() {
            HostCounts {
                reachable: 1 + u64::try_from(reachable.count()).unwrap_or(u64::MAX),
                registered: u64::try_from(self.tree.peers().count()).unwrap_or(u64::MAX),
            }
        } else {
            HostCounts::UNKNOWN
        };
        self.host_counts = host_counts;
        self.loads.set_elsewhere(elsewhere.loads);
        self.rate_limiter.set_host_counts(host_counts, now);
        self.retries.set_hosts(host_counts.registered);
    }

    /// Returns whether a host below needs to know what is wanted elsewhere.
    #[must_use]
    pub fn is_demand_requested(&self, now: Moment) -> bool {
        self.demand_requested
            .is_some_and(|at| now.since(at) < DEMAND_REQUEST_TTL)
    }

    /// Takes word of who gives orders to engines.
    pub fn update_holder(&mut self, status: HolderStatus) {
        let rank = |status: &HolderStatus| (status.fence, status.end, status.resigned);
        let known = self.holder.as_ref();
        if known.is_none_or(|known| rank(known) < rank(&status)) {
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

    /// Returns who gives orders to engines, unless that is too long ago.
    #[must_use]
    pub fn holder(&self, now: Moment) -> Option<&HolderStatus> {
        let holder = self.holder.as_ref();
        holder.filter(|holder| !holder.resigned && now.since(holder.renewed) < MAX_HOLDER_AGE)
    }

    /// Returns whether the store was in trouble lately, so that entries may have lapsed.
    #[must_use]
    pub fn is_store_unstable(&self, now: Moment) -> bool {
        self.store_failure
            .is_some_and(|at| now.since(at) < STORE_FAILURE_TTL)
    }

    /// Returns the upstream for a request.
    pub fn choose(&self, query: &UpstreamQuery<'_>, now: Moment) -> Option<Candidate> {
        let selector = UpstreamSelector {
            fleet: &self.fleet,
            loads: &self.loads,
            health: &self.health,
            zone: &self.zone,
            settings: &self.selection,
        };
        selector.choose(query, |count| rand::random_range(0..count), now)
    }

    /// Forgets what is kept of upstreams that are gone.
    pub fn remove_expired(&mut self, now: Moment) {
        self.fleet.expire(now);
        let fleet = &self.fleet;
        self.loads.retain(|id| fleet.get(id).is_some());
        self.health.retain(|id| fleet.get(id).is_some());
    }
}
