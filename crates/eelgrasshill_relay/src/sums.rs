//! Loads, spent tokens and demand of all hosts, summed along the tree.
//!
//! A parent adds up the sums of its children and sends each child the sum of everything outside
//! that child's subtree. The roots of the zones exchange the sums of their zones. Spent tokens are
//! counted per source as the increase between two messages, so that a host that changes its parent
//! or restarts is never counted twice.

use std::time::Duration;

use eelgrasshill_domain::{
    FastMap, FastSet, HostName, Incarnation, Moment, OrgName, record, rendezvous_weight,
};

use crate::{Asked, Load};

/// How long a sum counts without an update: a few rounds of the exchange.
const SUM_TTL: Duration = Duration::from_millis(900);

record! {
    /// Hash of a host name, which identifies the host in messages.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct HostHash(pub u32);

    /// Totals of one host or of a part of the tree.
    #[derive(Default)]
    pub struct Sum {
        /// The hosts that are included.
        pub hosts: FastSet<HostHash>,
        /// Load that these hosts put on each upstream.
        pub loads: FastMap<HostName, Load>,
        /// Tokens spent since the sender's start, by organisation.
        pub spent: FastMap<OrgName, u64>,
        /// Demand by model, in microseconds of engine time per second.
        #[serde(rename = "wanted")]
        pub demand: FastMap<Asked, u64>,
    }

    /// Sender of a sum.
    pub struct SumSender {
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

impl Sum {
    fn add(&mut self, other: &Self) {
        self.hosts.extend(other.hosts.iter().copied());
        for (id, load) in &other.loads {
            self.loads.entry(id.clone()).or_default().add(load);
        }
    }
}

#[derive(Clone, Debug)]
struct Source {
    incarnation: Incarnation,
    sum: Sum,
    at: Moment,
    // Tokens spent at the source since its first sum arrived.
    counted: FastMap<OrgName, u64>,
}

/// Position of a sum's sender relative to this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerRole {
    /// A host of the same zone that has this host as its parent.
    Child,
    /// The parent, whose sum covers everything outside this host's subtree.
    Parent,
    /// The root of another zone.
    ZoneRoot,
}

/// The latest sums that one host received.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    sources: FastMap<(PeerRole, HostName), Source>,
}

impl Sums {
    /// Stores a sum and returns the newly spent tokens, by organisation.
    ///
    /// The first sum of a source, and the first one after its restart, only set the base line.
    pub fn receive(
        &mut self,
        role: PeerRole,
        sender: SumSender,
        sum: Sum,
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
            for (name, count) in sum.spent.iter().filter(|_spent| is_same_process) {
                let before = known.sum.spent.get(name).copied().unwrap_or_default();
                let added = count.saturating_sub(before);
                if added > 0 {
                    *counted.entry(name.clone()).or_default() += added;
                    spent.push((name.clone(), added));
                }
            }
        }
        let source = Source {
            incarnation: sender.incarnation,
            sum,
            at: now,
            counted,
        };
        self.sources.insert(key, source);
        spent
    }

    /// Returns the sum of this host and its subtree, for its parent.
    #[must_use]
    pub fn for_parent(&self, own: Sum, now: Moment) -> Sum {
        let is_below = |role, _host: &HostName| role == PeerRole::Child;
        let mut sum = self.collect(own, now, is_below);
        self.add_demand(&mut sum.demand, now, is_below);
        sum
    }

    /// Adds the demand of all hosts outside one child's subtree.
    pub fn add_demand_except(
        &self,
        child: &HostName,
        demand: &mut FastMap<Asked, u64>,
        now: Moment,
    ) {
        self.add_demand(demand, now, |role, host| {
            role != PeerRole::Child || host != child
        });
    }

    /// Adds the demand of all other hosts.
    pub fn add_demand_elsewhere(&self, demand: &mut FastMap<Asked, u64>, now: Moment) {
        self.add_demand(demand, now, |_role, _host| true);
    }

    fn add_demand(
        &self,
        demand: &mut FastMap<Asked, u64>,
        now: Moment,
        includes: impl Fn(PeerRole, &HostName) -> bool,
    ) {
        for ((role, host), source) in &self.sources {
            if includes(*role, host) && now.since(source.at) < SUM_TTL {
                for (asked, rate) in &source.sum.demand {
                    *demand.entry(asked.clone()).or_default() += rate;
                }
            }
        }
    }

    /// Returns the sum of everything outside one child's subtree, without demand.
    #[must_use]
    pub fn for_child(&self, own: Sum, child: &HostName, now: Moment) -> Sum {
        self.collect(own, now, |role, host| {
            role != PeerRole::Child || host != child
        })
    }

    /// Returns the sum of all other hosts, without demand.
    #[must_use]
    pub fn elsewhere(&self, now: Moment) -> Sum {
        self.collect(Sum::default(), now, |_role, _host| true)
    }

    fn collect(
        &self,
        own: Sum,
        now: Moment,
        includes: impl Fn(PeerRole, &HostName) -> bool,
    ) -> Sum {
        let mut sum = own;
        for ((role, host), source) in &self.sources {
            if !includes(*role, host) {
                continue;
            }
            if now.since(source.at) < SUM_TTL {
                sum.add(&source.sum);
            }
            for (name, count) in &source.counted {
                *sum.spent.entry(name.clone()).or_default() += count;
            }
        }
        sum
    }
}
