//! Routes, pools, organisations and keys, indexed for proxied requests.
//!
//! A configuration is decoded once into [`Tables`] and replaced as a whole.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{
    FastMap, KeyDigest, KeyText, ModelName, OrgName, PoolName, RouteName, Version, record,
};

use crate::ColdRule;

record! {
    /// Which of a route's requests may be repeated.
    #[derive(Copy)]
    pub enum Repeat {
        /// A request may run more than once.
        Idempotent,
        /// A request runs at most once.
        Once,
        /// A stream runs at most once.
        Stream,
        /// A stream may resume at another upstream after its last whole event.
        ResumableStream,
    }

    /// Pool that serves a share of a route's requests.
    pub struct WeightedPool {
        /// Name of the pool.
        pub pool: PoolName,
        /// Weight relative to the route's other pools.
        pub weight: u32,
    }

    /// Rule that sends matching requests to pools.
    pub struct Route {
        /// Name of the route.
        pub name: RouteName,
        /// Virtual host that requests must name.
        pub host: String,
        /// Prefix that paths must have, with a slash at both ends.
        pub prefix: String,
        /// Pools that serve the route; never empty.
        pub targets: Vec<WeightedPool>,
        /// Whether requests may be sent more than once.
        pub repeat: Repeat,
        /// Longest time until the answer is complete.
        pub timeout: Duration,
        /// Latency objective of an answer, or of a stream's first event.
        pub objective: Duration,
        /// Longest pause between a stream's events that is still on time, if the route has one.
        #[serde(rename = "pause")]
        pub max_pause: Option<Duration>,
        /// Priority of the requests; zero is the most urgent.
        pub rank: u8,
        /// Maximum number of upstreams that one request may be sent to.
        #[serde(rename = "attempts")]
        pub max_attempts: u32,
        /// Whether requests are accepted without a key.
        #[serde(rename = "open")]
        pub anonymous: bool,
        /// Regions whose upstreams may serve the requests; any if empty.
        #[serde(rename = "regions")]
        pub allowed_regions: Vec<String>,
    }

    /// Model that a pool offers.
    pub struct Model {
        /// Name of the model.
        pub name: ModelName,
        /// Size of the weights, in MB.
        #[serde(rename = "memory")]
        pub weights_mb: u64,
        /// Size of one adapter, in MB.
        #[serde(rename = "adapter")]
        pub adapter_mb: u64,
        /// Duration of a load from the weight store.
        #[serde(rename = "cold")]
        pub cold_load: Duration,
        /// Duration of a load from the engine's main memory.
        #[serde(rename = "warm")]
        pub warm_load: Duration,
        /// Duration of a load from the engine's disk.
        #[serde(rename = "disk")]
        pub disk_load: Duration,
    }

    /// Models and capacity of a pool of engines.
    pub struct EnginePool {
        /// Models that the pool offers.
        pub models: Vec<Model>,
        /// Memory of one engine for weights and adapters, in MB.
        #[serde(rename = "memory")]
        pub memory_mb: u64,
        /// Maximum number of adapters on one engine.
        #[serde(rename = "adapters")]
        pub max_adapters: u32,
        /// Loads per thousand seconds that the weight store allows, over all engines.
        #[serde(rename = "loads")]
        pub loads_per_1000_s: u64,
    }

    /// Organisation with its token limit over all hosts.
    pub struct Organisation {
        /// Name of the organisation.
        pub name: OrgName,
        /// Priority of its requests, which overrides the route's.
        pub rank: Option<u8>,
        /// Tokens per second; zero means no limit.
        pub rate: u64,
        /// Tokens that may be spent at once on top of the rate.
        pub burst: u64,
        /// Cost in tokens of a request that declares none.
        #[serde(rename = "plain")]
        pub default_cost: u64,
        /// Regions whose upstreams may serve its requests; any if empty.
        #[serde(rename = "regions")]
        pub allowed_regions: Vec<String>,
    }

    /// Limits on callers' connections and requests.
    #[derive(Copy)]
    pub struct CallerBounds {
        /// Maximum size of the headers of a request.
        #[serde(rename = "head")]
        pub head_bytes: usize,
        /// Maximum size of a request body.
        #[serde(rename = "body")]
        pub body_bytes: usize,
        /// Longest time that a connection may stay idle.
        #[serde(rename = "idle")]
        pub idle_timeout: Duration,
    }
}

/// Content of a configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct Tables {
    version: Version,
    routes: FastMap<String, Vec<Arc<Route>>>,
    pools: FastMap<PoolName, Option<Arc<EnginePool>>>,
    cold_rules: FastMap<PoolName, ColdRule>,
    organisations: FastMap<OrgName, Arc<Organisation>>,
    keys: FastMap<KeyDigest, Arc<Organisation>>,
    bounds: CallerBounds,
}

impl Tables {
    /// Creates tables without rows.
    #[must_use]
    pub fn new(version: Version, bounds: CallerBounds) -> Self {
        Self {
            version,
            routes: FastMap::default(),
            pools: FastMap::default(),
            cold_rules: FastMap::default(),
            organisations: FastMap::default(),
            keys: FastMap::default(),
            bounds,
        }
    }

    /// Adds a pool; `engines` is given if its upstreams are engines.
    #[must_use]
    pub fn with_pool(mut self, name: PoolName, engines: Option<EnginePool>) -> Self {
        self.pools.insert(name, engines.map(Arc::new));
        self
    }

    /// Sets how cold upstreams of a pool are treated.
    #[must_use]
    pub fn with_cold_rule(mut self, pool: PoolName, rule: ColdRule) -> Self {
        self.cold_rules.insert(pool, rule);
        self
    }

    /// Adds a route; longer prefixes are matched first.
    #[must_use]
    pub fn with_route(mut self, route: Route) -> Self {
        let rows = self.routes.entry(route.host.clone()).or_default();
        let index = rows.partition_point(|row| row.prefix.len() >= route.prefix.len());
        rows.insert(index, Arc::new(route));
        self
    }

    /// Adds an organisation with its keys, of which only digests are kept.
    #[must_use]
    pub fn with_organisation(mut self, row: Organisation, keys: &[KeyText]) -> Self {
        let row = Arc::new(row);
        for key in keys {
            self.keys.insert(key.digest(), Arc::clone(&row));
        }
        self.organisations.insert(row.name.clone(), row);
        self
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns how cold upstreams are treated, for the pools that have a rule.
    #[must_use]
    pub fn cold_rules(&self) -> &FastMap<PoolName, ColdRule> {
        &self.cold_rules
    }

    /// Returns the limits on callers.
    #[must_use]
    pub fn bounds(&self) -> CallerBounds {
        self.bounds
    }

    /// Returns the host's route with the longest prefix of the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let rows = self.routes.get(host)?;
        rows.iter().find(|row| path.starts_with(&row.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns whether a route of that name is configured.
    #[must_use]
    pub fn has_route(&self, name: &RouteName) -> bool {
        let mut routes = self.routes.values().flatten();
        routes.any(|route| route.name == *name)
    }

    /// Returns whether routes that are not anonymous require a key.
    #[must_use]
    pub fn has_keys(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Returns the organisation that a key belongs to.
    #[must_use]
    pub fn holder(&self, key: &KeyText) -> Option<&Arc<Organisation>> {
        self.keys.get(&key.digest())
    }

    /// Returns all organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.values()
    }

    /// Returns the pools whose upstreams are engines.
    pub fn engine_pools(&self) -> impl Iterator<Item = (&PoolName, &Arc<EnginePool>)> {
        let pools = self.pools.iter();
        pools.filter_map(|(name, engines)| Some((name, engines.as_ref()?)))
    }
}

impl Route {
    /// Returns the pool for a request.
    ///
    /// `draw` is a uniform random number from 0 up to, but not including, 1.
    #[must_use]
    pub fn target(&self, draw: f64) -> Option<&PoolName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut point = draw * f64::from(total);
        for target in &self.targets {
            point -= f64::from(target.weight);
            if point < 0.0 {
                return Some(&target.pool);
            }
        }
        self.targets.first().map(|target| &target.pool)
    }
}

impl EnginePool {
    /// Returns a model of the pool by its name.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }
}

impl Repeat {
    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request may be sent again although it may have run.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}
