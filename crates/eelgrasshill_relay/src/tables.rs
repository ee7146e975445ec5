//! The two tables and the keys as relayed traffic uses them.
//!
//! A configuration is decoded once into [`Tables`] and replaced as a whole.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{
    FastMap, KeyDigest, KeyText, ModelName, OrgName, PoolName, RouteName, Version, record,
};

record! {
    /// What may be repeated of a route's requests.
    #[derive(Copy)]
    pub enum Repeat {
        /// A request may run more than once.
        Idempotent,
        /// A request runs at most once.
        Once,
        /// A stream runs at most once.
        Stream,
        /// A stream may go on elsewhere after its last whole event.
        ResumableStream,
    }

    /// A pool that serves a share of a route.
    pub struct Target {
        /// The pool.
        pub pool: PoolName,
        /// Its weight among the route's pools.
        pub weight: u32,
    }

    /// Which requests reach which pools, and how they are treated.
    pub struct Route {
        /// The route's name.
        pub name: RouteName,
        /// The virtual host of its requests.
        pub host: String,
        /// The start of its paths, with a slash at both ends.
        pub prefix: String,
        /// The pools; never empty.
        pub targets: Vec<Target>,
        /// What may be repeated.
        pub repeat: Repeat,
        /// Longest time until the final answer.
        pub timeout: Duration,
        /// Time within which an answer, or a stream's first event, is on time.
        pub objective: Duration,
        /// The rank; zero is the most urgent.
        pub rank: u8,
        /// Most upstreams that one request may be sent to.
        pub attempts: u32,
        /// Whether requests need no key.
        pub open: bool,
    }

    /// A model of a pool.
    pub struct Model {
        /// The model's name.
        pub name: ModelName,
        /// Size of its weights, in MB.
        pub memory: u64,
        /// Size of one adapter, in MB.
        pub adapter: u64,
        /// Time of a load from the weight store.
        pub cold: Duration,
        /// Time of a load from the engine's own memory.
        pub warm: Duration,
        /// Time of a load from the engine's own disk.
        pub disk: Duration,
    }

    /// What the engines of a pool can hold.
    pub struct EnginePool {
        /// The models of the pool.
        pub models: Vec<Model>,
        /// Memory of one engine for weights and adapters, in MB.
        pub memory: u64,
        /// Most adapters on one engine.
        pub adapters: u32,
        /// Loads that the weight store allows over all engines in a thousand seconds.
        pub loads: u64,
    }

    /// An organisation with its limit over all hosts.
    pub struct Organisation {
        /// The organisation's name.
        pub name: OrgName,
        /// Its rank, which goes before the route's.
        pub rank: Option<u8>,
        /// Tokens a second; zero means no limit.
        pub rate: u64,
        /// Tokens that may be spent at once beyond the rate.
        pub burst: u64,
        /// Tokens of a request that declares none.
        pub plain: u64,
    }

    /// Bounds on what a caller may send.
    #[derive(Copy)]
    pub struct CallerBounds {
        /// Most bytes of a body.
        pub body: usize,
        /// Longest time that a connection may stay idle.
        pub idle: Duration,
    }
}

/// Everything that a configuration says, indexed for lookups.
#[derive(Clone, Debug)]
pub struct Tables {
    version: Version,
    routes: FastMap<String, Vec<Arc<Route>>>,
    pools: FastMap<PoolName, Option<Arc<EnginePool>>>,
    organisations: FastMap<OrgName, Arc<Organisation>>,
    keys: FastMap<KeyDigest, Arc<Organisation>>,
    bounds: CallerBounds,
}

impl Tables {
    /// Makes tables without rows.
    #[must_use]
    pub fn new(version: Version, bounds: CallerBounds) -> Self {
        Self {
            version,
            routes: FastMap::default(),
            pools: FastMap::default(),
            organisations: FastMap::default(),
            keys: FastMap::default(),
            bounds,
        }
    }

    /// Adds a pool; `engines` is given where its upstreams hold models.
    #[must_use]
    pub fn with_pool(mut self, name: PoolName, engines: Option<EnginePool>) -> Self {
        self.pools.insert(name, engines.map(Arc::new));
        self
    }

    /// Adds a route.
    #[must_use]
    pub fn with_route(mut self, route: Route) -> Self {
        let rows = self.routes.entry(route.host.clone()).or_default();
        let longer = rows.partition_point(|row| row.prefix.len() >= route.prefix.len());
        rows.insert(longer, Arc::new(route));
        self
    }

    /// Adds an organisation with the texts of its keys, of which only digests are kept.
    #[must_use]
    pub fn with_organisation(mut self, row: Organisation, keys: &[KeyText]) -> Self {
        let row = Arc::new(row);
        for key in keys {
            self.keys.insert(key.digest(), Arc::clone(&row));
        }
        self.organisations.insert(row.name.clone(), row);
        self
    }

    /// Returns the configuration's version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the bounds on callers.
    #[must_use]
    pub fn bounds(&self) -> CallerBounds {
        self.bounds
    }

    /// Returns the route of a path: the longest prefix among those of the host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let rows = self.routes.get(host)?;
        rows.iter().find(|row| path.starts_with(&row.prefix))
    }

    /// Returns whether requests of closed routes need a key.
    #[must_use]
    pub fn has_keys(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Returns the organisation that holds a key.
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
    /// Returns the pool of a request, `draw` being uniform from 0 up to 1.
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
    /// Returns a model of the pool.
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

    /// Returns whether a request that may have run may be sent once more.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}
