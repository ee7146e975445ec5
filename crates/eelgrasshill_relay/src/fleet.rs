//! The upstreams that may get requests.
//!
//! Leaving upstreams get nothing more at once. An entry that is dropped while the store is in
//! trouble may only have lapsed: it is used on for a short while, in which it comes back if the
//! upstream lives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{
    AdapterName, FastMap, HostName, ModelName, Moment, PoolName, ZoneName, record,
};

use crate::Overlay;

/// How long a lapsed entry is used on; living upstreams are back within two seconds
/// of the store's return, and leaving ones must get nothing two seconds after their record.
const LAPSE: Duration = Duration::from_millis(1_500);

/// How long the holder's word goes before an engine's own entry: a heartbeat and its delays.
const TOLD: Duration = Duration::from_secs(4);

/// How long the holder's word is passed on: several rounds of the hosts' news.
const PASSED_ON: Duration = Duration::from_millis(1_500);

record! {
    /// A model that an engine holds, with its adapters.
    pub struct Holding {
        /// The model.
        pub model: ModelName,
        /// The adapters that are loaded.
        pub adapters: Vec<AdapterName>,
    }

    /// What an upstream says of itself.
    pub struct Upstream {
        /// Its id; each start mostly has a new one.
        pub id: HostName,
        /// The pool that it serves.
        pub pool: PoolName,
        /// Its zone.
        pub zone: ZoneName,
        /// Where it listens.
        pub address: SocketAddr,
        /// Requests that it works on at once.
        pub slots: u32,
        /// Whether it is leaving.
        pub leaving: bool,
        /// When it started, in milliseconds of its own clock since 1970.
        pub born: u64,
        /// The models that it holds.
        pub holdings: Vec<Holding>,
        /// Models whose weights lie in its memory, ready to be loaded quickly.
        pub memory: Vec<ModelName>,
        /// Models whose weights lie on its disk.
        pub disk: Vec<ModelName>,
    }
}

impl Upstream {
    /// Returns what the engine holds of a model.
    #[must_use]
    pub fn holding(&self, model: &ModelName) -> Option<&Holding> {
        self.holdings.iter().find(|held| held.model == *model)
    }

    /// Returns whether the engine holds a model and, where asked for, its adapter.
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

/// The upstreams that were heard of.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    entries: FastMap<HostName, Entry>,
    told: FastMap<HostName, Told>,
    /// How many words were taken since the start.
    words: u64,
}

impl Fleet {
    /// Takes what an upstream says of itself; newer word of the orders' holder goes first.
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

    /// Takes the word of the orders' holder on what an engine holds; returns whether it is news.
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

    /// Returns recent word of the orders' holder, to be passed on to those who know the first
    /// `known` words.
    pub fn told(&self, known: u64, now: Moment) -> impl Iterator<Item = &Overlay> {
        let is_news = move |t: &&Told| t.place > known && now.since(t.at) < PASSED_ON;
        self.told.values().filter(is_news).map(|told| &told.overlay)
    }

    /// Returns how many words were taken since the start.
    #[must_use]
    pub fn words(&self) -> u64 {
        self.words
    }

    /// Takes away an upstream whose entry was dropped.
    ///
    /// `unsteady` says that the store was in trouble lately, so that the entry may have lapsed.
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

    /// Drops lapsed entries that did not come back.
    pub fn expire(&mut self, now: Moment) {
        let entries = &self.entries;
        self.told
            .retain(|id, told| now.since(told.at) < TOLD || entries.contains_key(id));
        self.entries
            .retain(|_id, entry| entry.lapsed.is_none_or(|since| now.since(since) < LAPSE));
    }

    /// Returns an upstream, also one that is leaving.
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
