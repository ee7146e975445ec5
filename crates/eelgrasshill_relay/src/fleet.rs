//! The upstreams that may get requests.
//!
//! Built from the upstreams' registry entries and from the order holder's updates on what engines
//! hold. A leaving upstream gets no more requests at once. An entry that disappears while the store
//! is unstable may only have expired, so the upstream is used for a short time more; if it is alive,
//! its entry returns in that time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{
    AdapterName, FastMap, HostName, ModelName, Moment, PoolName, ZoneName, record,
};

use crate::Overlay;

/// How long an upstream is used after its entry lapsed.
///
/// Live upstreams register again within two seconds of the store's recovery, and leaving ones must
/// get nothing two seconds after their record.
const LAPSE: Duration = Duration::from_millis(1_500);

/// How long an update overrides the engine's own entry: a heartbeat and its delays.
const TOLD: Duration = Duration::from_secs(4);

/// How long an update is forwarded to other hosts: several rounds of the exchange.
const PASSED_ON: Duration = Duration::from_millis(1_500);

record! {
    /// Model that is loaded on an engine, with its adapters.
    pub struct Holding {
        /// Name of the model.
        pub model: ModelName,
        /// Adapters of the model that are loaded.
        pub adapters: Vec<AdapterName>,
    }

    /// Registration of an upstream.
    pub struct Upstream {
        /// Id of the process; a restart usually brings a new one.
        pub id: HostName,
        /// Pool that it serves.
        pub pool: PoolName,
        /// Availability zone.
        pub zone: ZoneName,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// Requests that it processes concurrently.
        pub slots: u32,
        /// Whether it is shutting down and takes no new requests.
        pub leaving: bool,
        /// Start time by its own clock, in milliseconds since 1970.
        pub born: u64,
        /// Models that are loaded and can serve requests.
        pub holdings: Vec<Holding>,
        /// Models whose weights are cached in its main memory, for a fast load.
        pub memory: Vec<ModelName>,
        /// Models whose weights are cached on its disk.
        pub disk: Vec<ModelName>,
    }
}

impl Upstream {
    /// Returns the holding of a model, if it is loaded.
    #[must_use]
    pub fn holding(&self, model: &ModelName) -> Option<&Holding> {
        self.holdings.iter().find(|held| held.model == *model)
    }

    /// Returns whether a model and, if given, its adapter are loaded.
    #[must_use]
    pub fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.holding(model)
            .is_some_and(|held| adapter.is_none_or(|adapter| held.adapters.contains(adapter)))
    }
}

#[derive(Clone, Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    lapsed: Option<Moment>,
}

#[derive(Clone, Debug)]
struct Told {
    overlay: Overlay,
    at: Moment,
    place: u64,
}

/// The known upstreams, with recent updates on what engines hold.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    entries: FastMap<HostName, Entry>,
    told: FastMap<HostName, Told>,
    /// Updates accepted since the start.
    words: u64,
}

impl Fleet {
    /// Adds or replaces an upstream's entry.
    ///
    /// A recent update for the same start of the upstream overrides the entry's holdings.
    pub fn insert(&mut self, mut upstream: Upstream, now: Moment) {
        let told = self.told.get(&upstream.id);
        let told = told.filter(|t| t.overlay.born == upstream.born && now.since(t.at) < TOLD);
        if let Some(told) = told {
            upstream.holdings.clone_from(&told.overlay.holdings);
        }
        let entry = Entry {
            upstream: Arc::new(upstream),
            lapsed: None,
        };
        self.entries.insert(entry.upstream.id.clone(), entry);
    }

    /// Applies an update of the order holder; returns whether it was newer than the last one.
    pub fn tell(&mut self, overlay: Overlay, now: Moment) -> bool {
        let known = self.told.get(&overlay.engine);
        let newer = known.is_none_or(|known| {
            (known.overlay.fence, known.overlay.number) < (overlay.fence, overlay.number)
        });
        if !newer {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(&overlay.engine)
            && entry.upstream.born == overlay.born
            && entry.upstream.holdings != overlay.holdings
        {
            let mut upstream = Upstream::clone(&entry.upstream);
            upstream.holdings.clone_from(&overlay.holdings);
            entry.upstream = Arc::new(upstream);
        }
        self.words += 1;
        let told = Told {
            place: self.words,
            at: now,
            overlay,
        };
        self.told.insert(told.overlay.engine.clone(), told);
        true
    }

    /// Returns the updates to forward to a host that has the first `known` of them.
    pub fn told(&self, known: u64, now: Moment) -> impl Iterator<Item = &Overlay> {
        let is_news = move |t: &&Told| t.place > known && now.since(t.at) < PASSED_ON;
        self.told.values().filter(is_news).map(|told| &told.overlay)
    }

    /// Returns the number of updates accepted since the start.
    #[must_use]
    pub fn words(&self) -> u64 {
        self.words
    }

    /// Removes an upstream whose entry is gone.
    ///
    /// If `store_unstable`, the entry may only have lapsed, and the upstream is kept for a while.
    pub fn remove(&mut self, id: &HostName, unsteady: bool, now: Moment) {
        match self.entries.get_mut(id) {
            Some(entry) if unsteady && !entry.upstream.leaving => {
                entry.lapsed.get_or_insert(now);
            }
            Some(_) | None => {
                self.entries.remove(id);
            }
        }
    }

    /// Removes lapsed entries that did not return, and expired updates.
    pub fn expire(&mut self, now: Moment) {
        let entries = &self.entries;
        self.told
            .retain(|id, told| now.since(told.at) < TOLD || entries.contains_key(id));
        self.entries
            .retain(|_id, entry| entry.lapsed.is_none_or(|since| now.since(since) < LAPSE));
    }

    /// Returns an upstream, even one that is leaving.
    #[must_use]
    pub fn get(&self, id: &HostName) -> Option<&Arc<Upstream>> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// Returns the upstreams that may get requests.
    pub fn open(&self, now: Moment) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries
            .values()
            .filter(move |entry| entry.lapsed.is_none_or(|since| now.since(since) < LAPSE))
            .map(|entry| &entry.upstream)
            .filter(|upstream| !upstream.leaving)
    }

    /// Returns whether no upstream is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
