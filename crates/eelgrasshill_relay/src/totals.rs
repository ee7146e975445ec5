//! Loads, spent tokens and demand of all hosts, summed along the tree.
//!
//! A parent adds up the totals of its children and sends each child the totals of everything
//! outside that child's subtree. The roots of the zones exchange the totals of their zones. Spent
//! tokens are counted per source as the increase between two messages, so that a host that changes
//! its parent or restarts is never counted twice.

use std::time::Duration;

use eelgrasshill_domain::{
    FastMap, FastSet, HostName, Incarnation, Moment, OrgName, record, rendezvous_weight,
};

use crate::{ModelKey, UpstreamLoad};

/// How long totals count without an update: a few rounds of the exchange.
const TOTALS_TTL: Duration = Duration::from_millis(900);

record! {
    /// Hash of a host name, which identifies the host in messages.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct HostHash(pub u32);

    /// Totals of one host or of a part of the tree.
    #[derive(Default)]
    pub struct Totals {
        /// The hosts that are included.
        pub hosts: FastSet<HostHash>,
        /// Load that these hosts put on each upstream.
        pub loads: FastMap<HostName, UpstreamLoad>,
        /// Tokens spent since the sender's start, by organisation.
        pub spent: FastMap<OrgName, u64>,
        /// Demand by model, in microseconds of engine time per second.
        #[serde(rename = "wanted")]
        pub demand: FastMap<ModelKey, u64>,
    }

    /// Sender of totals.
    pub struct TotalsSender {
        /// Name of the sending host.
        pub host: HostName,
        /// Start number of the sending process.
        pub incarnation: Incarnation,
    }
}

impl HostHash {
    /// Computes the hash of a host name.
    #[must_use]
    pub fn new(host: &HostName) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "the lower half of the hash is enough"
        )]
        let hash = rendezvous_weight(host.as_str(), "mark") as u32;
        Self(hash)
    }
}

impl Totals {
    fn add(&mut self, other: &Self) {
        self.hosts.extend(other.hosts.iter().copied());
        for (id, load) in &other.loads {
            self.loads.entry(id.clone()).or_default().add(load);
        }
    }
}

#[derive(Clone, Debug)]
struct PeerTotals {
    incarnation: Incarnation,
    totals: Totals,
    at: Moment,
    // Tokens spent at the source since its first totals arrived.
    counted: FastMap<OrgName, u64>,
}

/// Position of the totals' sender relative to this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerRole {
    /// A host of the same zone that has this host as its parent.
    Child,
    /// The parent, whose totals cover everything outside this host's subtree.
    Parent,
    /// The root of another zone.
    ZoneRoot,
}

/// The latest totals that one host received.
#[derive(Clone, Debug, Default)]
pub struct ReceivedTotals {
    sources: FastMap<(PeerRole, HostName), PeerTotals>,
}

impl ReceivedTotals {
    /// Stores totals and returns the newly spent tokens, by organisation.
    ///
    /// The first totals of a source, and the first ones after its restart, only set the base line.
    pub fn receive(
        &mut self,
        role: PeerRole,
        sender: TotalsSender,
        totals: Totals,
        now: Moment,
    ) -> Vec<(OrgName, u64)> {
        let key = (role, sender.host);
        let mut spent = Vec::new();
        let known = self.sources.remove(&key);
        let mut counted = FastMap::default();
        if let Some(known) = known {
            counted = known.counted;
            // Counters restart at zero with the source, so the old values are no base for it.
            let is_same_process = known.incarnation == sender.incarnation;
            for (name, count) in totals.spent.iter().filter(|_spent| is_same_process) {
                let before = known.totals.spent.get(name).copied().unwrap_or_default();
                let added = count.saturating_sub(before);
                if added > 0 {
                    *counted.entry(name.clone()).or_default() += added;
                    spent.push((name.clone(), added));
                }
            }
        }
        let source = PeerTotals {
            incarnation: sender.incarnation,
            totals,
            at: now,
            counted,
        };
        self.sources.insert(key, source);
        spent
    }

    /// Returns the totals of this host and its subtree, for its parent.
    #[must_use]
    pub fn for_parent(&self, own: Totals, now: Moment) -> Totals {
        let is_below = |role, _host: &HostName| role == PeerRole::Child;
        let mut totals = self.collect(own, now, is_below);
        self.add_demand(&mut totals.demand, now, is_below);
        totals
    }

    /// Adds the demand of all hosts outside one child's subtree.
    pub fn add_demand_except(
        &self,
        child: &HostName,
        demand: &mut FastMap<ModelKey, u64>,
        now: Moment,
    ) {
        self.add_demand(demand, now, |role, host| {
            role != PeerRole::Child || host != child
        });
    }

    /// Adds the demand of all other hosts.
    pub fn add_demand_elsewhere(&self, demand: &mut FastMap<ModelKey, u64>, now: Moment) {
        self.add_demand(demand, now, |_role, _host| true);
    }

    fn add_demand(
        &self,
        demand: &mut FastMap<ModelKey, u64>,
        now: Moment,
        includes: impl Fn(PeerRole, &HostName) -> bool,
    ) {
        for ((role, host), source) in &self.sources {
            if includes(*role, host) && now.since(source.at) < TOTALS_TTL {
                for (model_key, rate) in &source.totals.demand {
                    *demand.entry(model_key.clone()).or_default() += rate;
                }
            }
        }
    }

    /// Returns the totals of everything outside one child's subtree, without demand.
    #[must_use]
    pub fn for_child(&self, own: Totals, child: &HostName, now: Moment) -> Totals {
        self.collect(own, now, |role, host| {
            role != PeerRole::Child || host != child
        })
    }

    /// Returns the totals of all other hosts, without demand.
    #[must_use]
    pub fn elsewhere(&self, now: Moment) -> Totals {
        self.collect(Totals::default(), now, |_role, _host| true)
    }

    fn collect(
        &self,
        own: Totals,
        now: Moment,
        includes: impl Fn(PeerRole, &HostName) -> bool,
    ) -> Totals {
        let mut totals = own;
        for ((role, host), source) in &self.sources {
            if !includes(*role, host) {
                continue;
            }
            if now.since(source.at) < TOTALS_TTL {
                totals.add(&source.totals);
            }
            for (name, count) in &source.counted {
                *totals.spent.entry(name.clone()).or_default() += count;
            }
        }
        totals
    }
}
