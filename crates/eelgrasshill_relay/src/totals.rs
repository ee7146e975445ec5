//! Loads, spent tokens and demand of all hosts, summed along the tree.
//!
//! A parent adds up the totals of its children and sends each child the totals of everything
//! outside that child's subtree. The roots of the zones exchange the totals of their zones. Spent
//! tokens go up only: each host reports them to one other, with how much of them was acknowledged
//! before, so that the spending of a host that leaves its parent and returns is counted once.

use std::time::Duration;

use eelgrasshill_domain::{
    FastMap, FastSet, HostName, Incarnation, Moment, OrgName, record, rendezvous_weight,
};

use crate::{ModelKey, SpentTokens, UpstreamLoad};

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
        /// Whether the sender reports its spending to the receiver.
        #[serde(rename = "report")]
        pub is_report: bool,
        /// Spending that the sender reports, by organisation.
        pub spent: FastMap<OrgName, SpentTokens>,
        /// Tokens per second that these hosts' callers request, by organisation.
        pub asked: FastMap<OrgName, u64>,
        /// Levels of the sender's token buckets, by organisation.
        pub levels: FastMap<OrgName, i64>,
        /// Whether these levels agree with those of most hosts.
        #[serde(rename = "settled")]
        pub is_settled: bool,
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
    /// Returns whether these totals include more than half of the hosts.
    fn contains_most_of(&self, hosts: &FastSet<HostHash>) -> bool {
        let is_large_enough = self.hosts.len() * 2 > hosts.len();
        is_large_enough
            && hosts
                .iter()
                .filter(|host| self.hosts.contains(*host))
                .count()
                * 2
                > hosts.len()
    }

    fn add(&mut self, other: &Self) {
        self.hosts.extend(other.hosts.iter().copied());
        for (id, load) in &other.loads {
            self.loads.entry(id.clone()).or_default().add(load);
        }
        for (name, rate) in &other.asked {
            *self.asked.entry(name.clone()).or_default() += rate;
        }
    }
}

#[derive(Clone, Debug)]
struct PeerTotals {
    incarnation: Incarnation,
    totals: Totals,
    at: Moment,
    // The latest report. Roots also answer each other's calls, with totals that are no report.
    reported_at: Option<Moment>,
    spent: FastMap<OrgName, SpentTokens>,
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
    /// Stores totals and returns the newly reported tokens, by organisation.
    ///
    /// Tokens that another host acknowledged in the meantime are not counted again.
    pub fn receive(
        &mut self,
        role: PeerRole,
        sender: TotalsSender,
        totals: Totals,
        now: Moment,
    ) -> Vec<(OrgName, u64)> {
        let key = (role, sender.host);
        // Counters restart at zero with the source, so the old values are no base for it.
        let known = self
            .sources
            .remove(&key)
            .filter(|known| known.incarnation == sender.incarnation);
        let mut added = Vec::new();
        for (name, spent) in &totals.spent {
            let counted = known
                .as_ref()
                .and_then(|known| known.spent.get(name))
                .map_or(0, |before| before.total);
            let tokens = spent.total.saturating_sub(counted.max(spent.reported));
            if tokens > 0 {
                added.push((name.clone(), tokens));
            }
        }
        let (reported_at, spent) = if totals.is_report {
            (Some(now), totals.spent.clone())
        } else {
            known.map_or_else(Default::default, |known| (known.reported_at, known.spent))
        };
        let source = PeerTotals {
            incarnation: sender.incarnation,
            totals,
            at: now,
            reported_at,
            spent,
        };
        self.sources.insert(key, source);
        added
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
        for source in self.current(now, includes) {
            for (model_key, rate) in &source.totals.demand {
                *demand.entry(model_key.clone()).or_default() += rate;
            }
        }
    }

    /// Returns the included sources whose totals count now.
    ///
    /// A host that has left its parent is contained in the totals of two sources until those of the
    /// old parent, or of the host at the old parent, expire. The newer ones replace them.
    fn current(
        &self,
        now: Moment,
        includes: impl Fn(PeerRole, &HostName) -> bool,
    ) -> Vec<&PeerTotals> {
        let mut fresh: Vec<_> = self
            .sources
            .iter()
            .filter(|(_key, source)| now.since(source.at) < TOTALS_TTL)
            .collect();
        fresh.sort_unstable_by_key(|(_key, source)| std::cmp::Reverse(source.at));
        let is_replaced = |index: usize| {
            let hosts = &fresh[index].1.totals.hosts;
            let mut newer = fresh[..index].iter();
            newer.any(|(_key, source)| source.totals.contains_most_of(hosts))
        };
        fresh
            .iter()
            .enumerate()
            .filter(|(index, ((role, host), _source))| {
                includes(*role, host) && !is_replaced(*index)
            })
            .map(|(_index, (_key, source))| *source)
            .collect()
    }

    /// Returns the totals of everything outside one child's subtree, without demand.
    #[must_use]
    pub fn for_child(&self, own: Totals, child: &HostName, now: Moment) -> Totals {
        self.collect(own, now, |role, host| {
            role != PeerRole::Child || host != child
        })
    }

    /// Returns the hosts whose spending is reported to this host.
    #[must_use]
    pub fn reporting_hosts(&self, now: Moment) -> FastSet<HostHash> {
        let is_recent = |at: Moment| now.since(at) < TOTALS_TTL;
        let sources = self.sources.values();
        sources
            .filter(|source| source.reported_at.is_some_and(is_recent))
            .flat_map(|source| source.totals.hosts.iter().copied())
            .collect()
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
        for source in self.current(now, includes) {
            totals.add(&source.totals);
        }
        totals
    }
}
