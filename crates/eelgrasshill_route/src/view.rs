//! What this host knows of the upstreams, indexed by what they hold.

use eelgrasshill_domain::{
    AdapterName, FastMap, FastSet, HostName, ModelName, Moment, PoolName, ZoneName, record,
    rendezvous_weight, scalar,
};

use crate::{PrefixHash, Work};

record! {
    /// A model in an upstream's memory.
    pub struct Resident {
        /// The model.
        pub model: ModelName,
        /// Its version.
        pub version: String,
        /// The adapters loaded beside it.
        pub adapters: Vec<AdapterName>,
    }

    /// An upstream's own account of its load.
    #[derive(Copy)]
    pub struct Report {
        /// Requests in its batch.
        pub running: u32,
        /// Requests that wait for its batch.
        pub waiting: u32,
        /// Most requests in its batch.
        pub slots: u32,
        /// When it was taken, by this host's clock.
        pub taken: Moment,
    }

    /// One upstream host as this entry host knows it.
    pub struct Upstream {
        /// Its name.
        pub host: HostName,
        /// Its pool.
        pub pool: PoolName,
        /// Its zone.
        pub zone: ZoneName,
        /// Whether it may get new work.
        pub presence: Presence,
        /// The models in its memory.
        pub residents: Vec<Resident>,
        /// Its last report, if one came.
        pub report: Option<Report>,
        /// Prefixes that its cache events named.
        pub cached: FastSet<PrefixHash>,
    }
}

scalar! {
    /// What the host list says of an upstream.
    pub enum Presence {
        /// It takes work.
        Live,
        /// It was told to leave and gets no new work.
        Leaving,
        /// It is suspected to be dead and gets work only when no other takes it.
        Suspected,
    }
}

impl Upstream {
    /// Makes a live upstream that holds nothing and has not reported.
    #[must_use]
    pub fn new(host: HostName, pool: PoolName, zone: ZoneName) -> Self {
        Self {
            host,
            pool,
            zone,
            presence: Presence::Live,
            residents: Vec::new(),
            report: None,
            cached: FastSet::default(),
        }
    }

    /// Adds a resident model.
    #[must_use]
    pub fn with_resident(mut self, resident: Resident) -> Self {
        self.residents.push(resident);
        self
    }

    /// Sets the last report.
    #[must_use]
    pub fn with_report(mut self, report: Report) -> Self {
        self.report = Some(report);
        self
    }

    /// Sets what the host list says of it.
    #[must_use]
    pub fn with_presence(mut self, presence: Presence) -> Self {
        self.presence = presence;
        self
    }

    pub(crate) fn holds(&self, work: &Work) -> bool {
        let Work::Model {
            model,
            adapter,
            version,
        } = work
        else {
            return true;
        };
        self.residents.iter().any(|resident| {
            resident.model == *model
                && version.as_ref().is_none_or(|v| resident.version == *v)
                && adapter
                    .as_ref()
                    .is_none_or(|a| resident.adapters.contains(a))
        })
    }
}

/// Upstreams that may serve some work, by position in the view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holders {
    pub(crate) own: Vec<usize>,
    pub(crate) other: Vec<usize>,
}

#[derive(Clone, Debug, Default)]
struct PoolIndex {
    all: Holders,
    models: FastMap<ModelName, Holders>,
}

/// An immutable snapshot of all upstreams.
#[derive(Clone, Debug)]
pub struct View {
    upstreams: Vec<Upstream>,
    seeds: Vec<u64>,
    pools: FastMap<PoolName, PoolIndex>,
}

impl Holders {
    fn add(&mut self, position: usize, own: bool) {
        if own {
            self.own.push(position);
        } else {
            self.other.push(position);
        }
    }
}

impl View {
    /// Indexes the upstreams for a host of a zone.
    #[must_use]
    pub fn new(zone: &ZoneName, upstreams: Vec<Upstream>) -> Self {
        let mut pools = FastMap::<PoolName, PoolIndex>::default();
        for (position, upstream) in upstreams.iter().enumerate() {
            let own = upstream.zone == *zone;
            let index = pools.entry(upstream.pool.clone()).or_default();
            index.all.add(position, own);
            let models: FastSet<_> = upstream.residents.iter().map(|r| &r.model).collect();
            for model in models {
                let holders = index.models.entry(model.clone()).or_default();
                holders.add(position, own);
            }
        }
        let seeds = upstreams
            .iter()
            .map(|upstream| rendezvous_weight(upstream.host.as_str(), ""))
            .collect();
        Self {
            upstreams,
            seeds,
            pools,
        }
    }

    /// Returns the upstreams in the order in which they were given.
    #[must_use]
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Returns the upstreams at some positions.
    pub(crate) fn at<'a>(
        &'a self,
        positions: &'a [usize],
    ) -> impl Iterator<Item = (usize, &'a Upstream)> {
        let upstreams = &self.upstreams;
        positions
            .iter()
            .filter_map(move |position| Some((*position, upstreams.get(*position)?)))
    }

    pub(crate) fn holders(&self, pool: &PoolName, work: &Work) -> Option<&Holders> {
        let index = self.pools.get(pool)?;
        match work {
            Work::Model { model, .. } => index.models.get(model),
            Work::Plain => Some(&index.all),
        }
    }

    /// Returns a position's rendezvous weight for a prefix, the same on every entry host.
    pub(crate) fn affinity(&self, position: usize, prefix: PrefixHash) -> u64 {
        let seed = self.seeds.get(position).copied().unwrap_or_default();
        mix(seed ^ mix(prefix.0))
    }
}

/// The finishing step of `SplitMix64`, which spreads every bit over the whole word.
fn mix(mut word: u64) -> u64 {
    word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
