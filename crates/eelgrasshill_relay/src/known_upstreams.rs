//! The upstreams that may get requests.
//!
//! Built from the upstreams' registry entries and from the lease holder's updates on what engines
//! hold. A leaving upstream gets no more requests at once, whether its entry or one of its answers
//! says that it leaves. An entry that disappears while the
//! store is unstable may only have expired, so the upstream is used for a short time more; if it is
//! alive, its entry returns in that time. The upstreams of an evacuated zone get no requests either.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{
    AdapterName, FastMap, FastSet, HostName, ModelName, Moment, Offset, PoolName, ZoneName, record,
};

use crate::{HoldingsUpdate, LeavingNotice, LeavingNotices, SoftwareVersion};

/// How long an upstream is used after its entry lapsed.
///
/// Live upstreams register again within two seconds of the store's recovery. A leaving upstream
/// must get no more requests two seconds after the record that says so.
const LAPSED_TTL: Duration = Duration::from_millis(1_500);

/// How long an update overrides the engine's own entry: a heartbeat and its delays.
const UPDATE_TTL: Duration = Duration::from_secs(4);

/// How long an update is forwarded to other hosts: several rounds of the exchange.
const FORWARD_PERIOD: Duration = Duration::from_millis(1_500);

record! {
    /// Model that is loaded on an engine, with its adapters.
    pub struct ResidentModel {
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
        #[serde(rename = "born")]
        pub started_ms: u64,
        /// Version of its software; empty if it states none.
        pub software: SoftwareVersion,
        /// Models that are loaded and can serve requests.
        pub holdings: Vec<ResidentModel>,
        /// Models whose weights are cached in its main memory, for a fast load.
        pub memory: Vec<ModelName>,
        /// Models whose weights are cached on its disk.
        pub disk: Vec<ModelName>,
        /// Time for which it stays cold, as it says.
        #[serde(rename = "cold")]
        pub cold_remaining: Duration,
    }
}

impl Upstream {
    /// Returns the holding of a model, if it is loaded.
    #[must_use]
    pub fn holding(&self, model: &ModelName) -> Option<&ResidentModel> {
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
    // When the registry entry disappeared without the upstream leaving.
    lapsed: Option<Moment>,
}

#[derive(Clone, Debug)]
struct ReceivedUpdate {
    update: HoldingsUpdate,
    at: Moment,
    // Position among all updates that this host accepted.
    sequence: u64,
}

/// The known upstreams, with recent updates on what engines hold.
#[derive(Clone, Debug, Default)]
pub struct KnownUpstreams {
    entries: FastMap<HostName, Entry>,
    received: FastMap<HostName, ReceivedUpdate>,
    notices: LeavingNotices,
    evacuated: FastSet<ZoneName>,
    /// Updates and notices accepted since the start.
    update_count: u64,
}

impl KnownUpstreams {
    /// Adds or replaces an upstream's entry.
    ///
    /// A recent update for the same start of the upstream overrides the entry's holdings.
    pub fn insert(&mut self, mut upstream: Upstream, now: Moment) {
        let received = self.received.get(&upstream.id);
        let received = received.filter(|known| {
            known.update.started_ms == upstream.started_ms && now.since(known.at) < UPDATE_TTL
        });
        if let Some(received) = received {
            upstream.holdings.clone_from(&received.update.holdings);
        }
        let entry = Entry {
            upstream: Arc::new(upstream),
            lapsed: None,
        };
        self.entries.insert(entry.upstream.id.clone(), entry);
    }

    /// Notes that the offsets of all earlier records are void, since the store was restored.
    pub fn start_era(&mut self) {
        self.notices.start_era();
    }

    /// Adds an entry that a restored store shows, which may be older than the known one.
    ///
    /// An upstream that was leaving goes on leaving. An entry of an earlier start counts as a lapsed
    /// one of the known start.
    pub fn insert_restored(&mut self, upstream: Upstream, now: Moment) {
        if let Some(known) = self.get(&upstream.id).map(Arc::clone) {
            if known.started_ms > upstream.started_ms {
                self.remove(&upstream.id, true, now);
                return;
            }
            if known.started_ms == upstream.started_ms && known.leaving {
                let notice = LeavingNotice {
                    engine: upstream.id.clone(),
                    started_ms: upstream.started_ms,
                };
                self.note_leaving(notice, now);
            }
        }
        self.insert(upstream, now);
    }

    /// Applies an update of the lease holder; returns whether it was new.
    pub fn apply_update(&mut self, update: HoldingsUpdate, now: Moment) -> bool {
        let known = self.received.get(&update.engine);
        let newer = known.is_none_or(|known| {
            (known.update.fence, known.update.revision) < (update.fence, update.revision)
        });
        if !newer {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(&update.engine)
            && entry.upstream.started_ms == update.started_ms
            && entry.upstream.holdings != update.holdings
        {
            let mut upstream = Upstream::clone(&entry.upstream);
            upstream.holdings.clone_from(&update.holdings);
            entry.upstream = Arc::new(upstream);
        }
        self.update_count += 1;
        let received = ReceivedUpdate {
            sequence: self.update_count,
            at: now,
            update,
        };
        self.received
            .insert(received.update.engine.clone(), received);
        true
    }

    /// Returns the recent updates after the first `known_count` ones, to be forwarded.
    pub fn recent_updates(
        &self,
        known_count: u64,
        now: Moment,
    ) -> impl Iterator<Item = &HoldingsUpdate> {
        let is_new = move |received: &&ReceivedUpdate| {
            received.sequence > known_count && now.since(received.at) < FORWARD_PERIOD
        };
        self.received
            .values()
            .filter(is_new)
            .map(|received| &received.update)
    }

    /// Stores the notice that an engine is leaving; returns whether it was new.
    pub fn note_leaving(&mut self, notice: LeavingNotice, now: Moment) -> bool {
        let is_new = self.notices.note(notice, self.update_count + 1, now);
        if is_new {
            self.update_count += 1;
        }
        is_new
    }

    /// Ends the notice that an engine is leaving, if its entry disproves it.
    ///
    /// Returns whether it did. `offset` is that of the entry's record.
    pub fn check_notice(&mut self, upstream: &Upstream, offset: Offset) -> bool {
        self.notices.apply_entry(upstream, offset)
    }

    /// Notes that all records of the registry before `end` were read by the given moment.
    pub fn confirm_registry(&mut self, end: Offset, confirmed_at: Moment) {
        self.notices.confirm(end, confirmed_at);
    }

    /// Returns the recent notices after the first `known_count` updates, to be forwarded.
    pub fn recent_notices(
        &self,
        known_count: u64,
        now: Moment,
    ) -> impl Iterator<Item = &LeavingNotice> {
        self.notices.recent(known_count, now)
    }

    /// Returns the number of updates and notices accepted since the start.
    #[must_use]
    pub fn update_count(&self) -> u64 {
        self.update_count
    }

    /// Removes an upstream whose entry is gone.
    ///
    /// If `store_unstable`, the entry may only have lapsed, and the upstream is kept for a while.
    pub fn remove(&mut self, id: &HostName, store_unstable: bool, now: Moment) {
        match self.entries.get_mut(id) {
            Some(entry) if store_unstable && !entry.upstream.leaving => {
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
        self.received
            .retain(|id, received| now.since(received.at) < UPDATE_TTL || entries.contains_key(id));
        self.entries.retain(|_id, entry| {
            entry
                .lapsed
                .is_none_or(|since| now.since(since) < LAPSED_TTL)
        });
        let entries = &self.entries;
        self.notices.expire(|id| entries.contains_key(id), now);
    }

    /// Sets the zones that are evacuated.
    pub fn set_evacuated(&mut self, zones: FastSet<ZoneName>) {
        self.evacuated = zones;
    }

    /// Returns the zones that are evacuated.
    #[must_use]
    pub fn evacuated_zones(&self) -> &FastSet<ZoneName> {
        &self.evacuated
    }

    /// Returns whether an upstream is in an evacuated zone.
    #[must_use]
    pub fn is_evacuated(&self, upstream: &Upstream) -> bool {
        self.evacuated.contains(&upstream.zone)
    }

    /// Returns an upstream, even one that is leaving.
    #[must_use]
    pub fn get(&self, id: &HostName) -> Option<&Arc<Upstream>> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// Returns the upstreams whose entries are known, also of those that are leaving.
    pub fn registered(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|entry| &entry.upstream)
    }

    /// Returns the upstreams that may get requests.
    pub fn available(&self, now: Moment) -> impl Iterator<Item = &Arc<Upstream>> {
        self.present(now)
            .filter(|upstream| !self.is_evacuated(upstream))
    }

    /// Returns the upstreams that would get requests if their zones were not evacuated.
    pub fn evacuated(&self, now: Moment) -> impl Iterator<Item = &Arc<Upstream>> {
        let any = !self.evacuated.is_empty();
        let present = any.then(|| self.present(now)).into_iter().flatten();
        present.filter(|upstream| self.is_evacuated(upstream))
    }

    /// Returns the upstreams that are not leaving, in any zone.
    fn present(&self, now: Moment) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries
            .values()
            .filter(move |entry| {
                entry
                    .lapsed
                    .is_none_or(|since| now.since(since) < LAPSED_TTL)
            })
            .map(|entry| &entry.upstream)
            .filter(|upstream| !upstream.leaving && !self.notices.is_leaving(upstream))
    }

    /// Returns how many requests an upstream of a pool processes at once, if any is known.
    #[must_use]
    pub fn slots(&self, pool: &PoolName) -> Option<u32> {
        let mut upstreams = self.entries.values().map(|entry| &entry.upstream);
        let found = upstreams.find(|upstream| upstream.pool == *pool)?;
        Some(found.slots)
    }

    /// Returns whether no upstream is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
