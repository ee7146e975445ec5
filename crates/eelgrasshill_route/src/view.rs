//! This host's view of the upstreams, indexed by pool and model.
//!
//! A view is built once from reports, host list and cache events, and then only read, so that
//! traffic threads can share it.

use eelgrasshill_domain::{
    AdapterName, FastMap, FastSet, HostName, ModelName, Moment, PoolName, ZoneName, record,
    rendezvous_weight, scalar,
};

use crate::{PrefixHash, Requirement};

record! {
    /// A model loaded in an upstream's memory.
    pub struct ResidentModel {
        /// Name of the model.
        pub model: ModelName,
        /// Version of the model.
        pub version: String,
        /// Adapters loaded with the model.
        pub adapters: Vec<AdapterName>,
    }

    /// Load of an upstream as the upstream reported it.
    #[derive(Copy)]
    pub struct UpstreamReport {
        /// Number of requests in its batch.
        pub running: u32,
        /// Number of requests that wait for its batch.
        pub waiting: u32,
        /// Maximum number of requests in its batch.
        pub slots: u32,
        /// Time at which the report was made, by this host's clock.
        #[serde(rename = "taken")]
        pub taken_at: Moment,
    }

    /// An upstream as this entry host knows it.
    pub struct Upstream {
        /// Host name of the upstream.
        pub host: HostName,
        /// Pool that the upstream belongs to.
        pub pool: PoolName,
        /// Zone in which the upstream runs.
        pub zone: ZoneName,
        /// State of the upstream in the host list.
        pub presence: Presence,
        /// Version of its software; empty if it states none.
        pub software: String,
        /// Models loaded in its memory.
        pub residents: Vec<ResidentModel>,
        /// Latest load report, if any has arrived.
        pub report: Option<UpstreamReport>,
        /// Prompt prefixes listed in its cache events.
        #[serde(rename = "cached")]
        pub cached_prefixes: FastSet<PrefixHash>,
    }
}

scalar! {
    /// State of an upstream in the host list.
    pub enum Presence {
        /// It takes requests.
        Live,
        /// It was told to leave and gets no new requests.
        Leaving,
        /// It may be dead, and gets requests only when no other upstream takes them.
        Suspected,
    }
}

impl Upstream {
    /// Makes a live upstream without loaded models or a report.
    #[must_use]
    pub fn new(host: HostName, pool: PoolName, zone: ZoneName) -> Self {
        Self {
            host,
            pool,
            zone,
            presence: Presence::Live,
            software: String::new(),
            residents: Vec::new(),
            report: None,
            cached_prefixes: FastSet::default(),
        }
    }

    /// Adds a loaded model.
    #[must_use]
    pub fn with_resident(mut self, resident: ResidentModel) -> Self {
        self.residents.push(resident);
        self
    }

    /// Sets the version of its software.
    #[must_use]
    pub fn with_software(mut self, software: String) -> Self {
        self.software = software;
        self
    }

    /// Sets the latest load report.
    #[must_use]
    pub fn with_report(mut self, report: UpstreamReport) -> Self {
        self.report = Some(report);
        self
    }

    /// Sets the state in the host list.
    #[must_use]
    pub fn with_presence(mut self, presence: Presence) -> Self {
        self.presence = presence;
        self
    }

    /// Returns whether the upstream meets a requirement.
    pub(crate) fn holds(&self, requirement: &Requirement) -> bool {
        let Requirement::Model {
            model,
            adapter,
            version,
            software,
        } = requirement
        else {
            return true;
        };
        let holds_model = self.residents.iter().any(|resident| {
            resident.model == *model
                && version.as_ref().is_none_or(|v| resident.version == *v)
                && adapter
                    .as_ref()
                    .is_none_or(|a| resident.adapters.contains(a))
        });
        holds_model && software.as_ref().is_none_or(|s| self.software == *s)
    }
}

/// Upstreams that may meet some requirement, by position in the view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holders {
    pub(crate) own_zone: Vec<usize>,
    pub(crate) other_zones: Vec<usize>,
}

#[derive(Clone, Debug, Default)]
struct PoolIndex {
    all: Holders,
    models: FastMap<ModelName, Holders>,
}

/// Immutable snapshot of all upstreams, seen from one zone.
#[derive(Clone, Debug)]
pub struct View {
    upstreams: Vec<Upstream>,
    host_hashes: Vec<u64>,
    pools: FastMap<PoolName, PoolIndex>,
}

impl Holders {
    fn add(&mut self, position: usize, own_zone: bool) {
        if own_zone {
            self.own_zone.push(position);
        } else {
            self.other_zones.push(position);
        }
    }
}

impl View {
    /// Builds the view of an entry host in a zone.
    #[must_use]
    pub fn new(zone: &ZoneName, upstreams: Vec<Upstream>) -> Self {
        let mut pools = FastMap::<PoolName, PoolIndex>::default();
        for (position, upstream) in upstreams.iter().enumerate() {
            let own_zone = upstream.zone == *zone;
            let index = pools.entry(upstream.pool.clone()).or_default();
            index.all.add(position, own_zone);
            let models: FastSet<_> = upstream.residents.iter().map(|r| &r.model).collect();
            for model in models {
                let holders = index.models.entry(model.clone()).or_default();
                holders.add(position, own_zone);
            }
        }
        let host_hashes = upstreams
            .iter()
            .map(|upstream| rendezvous_weight(upstream.host.as_str(), ""))
            .collect();
        Self {
            upstreams,
            host_hashes,
            pools,
        }
    }

    /// Returns the upstreams in the order given to [`View::new`].
    #[must_use]
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Returns the upstreams at the given positions, each with its position.
    pub(crate) fn upstreams_at<'a>(
        &'a self,
        positions: &'a [usize],
    ) -> impl Iterator<Item = (usize, &'a Upstream)> {
        let upstreams = &self.upstreams;
        positions
            .iter()
            .filter_map(move |position| Some((*position, upstreams.get(*position)?)))
    }

    /// Returns the upstreams of a pool that may meet a requirement.
    ///
    /// Versions and adapters are not checked here; see [`Upstream::holds`].
    pub(crate) fn holders(&self, pool: &PoolName, requirement: &Requirement) -> Option<&Holders> {
        let index = self.pools.get(pool)?;
        match requirement {
            Requirement::Model { model, .. } => index.models.get(model),
            Requirement::Plain => Some(&index.all),
        }
    }

    /// Returns the rendezvous hash weight of a position for a prefix.
    ///
    /// It is the same on every entry host, so that all send a prefix to the same upstreams.
    pub(crate) fn affinity(&self, position: usize, prefix: PrefixHash) -> u64 {
        let host_hash = self.host_hashes.get(position).copied().unwrap_or_default();
        mix(host_hash ^ mix(prefix.0))
    }
}

/// Mixes the bits of a word with the finaliser of `SplitMix64`.
fn mix(mut word: u64) -> u64 {
    word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
