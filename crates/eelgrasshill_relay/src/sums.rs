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
const STALE: Duration = Duration::from_millis(900);

record! {
    /// Hash of a host name, which identifies the host in messages.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct HostMark(pub u32);

    /// Totals of one host or of a part of the tree.
    #[derive(Default)]
    pub struct Sum {
        /// The hosts that are included.
        pub hosts: FastSet<HostMark>,
        /// Load that these hosts put on each upstream.
        pub loads: FastMap<HostName, Load>,
        /// Tokens spent since the sender's start, by organisation.
        pub spent: FastMap<OrgName, u64>,
        /// Demand by model, in microseconds of engine time per second.
        pub wanted: FastMap<Asked, u64>,
    }

    /// Sender of a sum.
    pub struct Teller {
        /// Name of the sending host.
        pub host: HostName,
        /// Start number of the sending process.
        pub incarnation: Incarnation,
    }
}

impl HostMark {
    /// Computes the hash of a host name.
    #[must_use]
    pub fn new(host: &HostName) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a mark is a part of the hash"
        )]
        let mark = rendezvous_weight(host.as_str(), "mark") as u32;
        Self(mark)
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
pub enum Side {
    /// A host of the same zone that has this host as its parent.
    Below,
    /// The parent, whose sum covers everything outside this host's subtree.
    Above,
    /// The root of another zone.
    Beside,
}

/// The latest sums that one host received.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    sources: FastMap<(Side, HostName), Source>,
}

impl Sums {
    /// Stores a sum and returns the newly spent tokens, by organisation.
    ///
    /// The first sum of a source, and the first one after its restart, only set the base line.
    pub fn hear(
        &mut self,
        side: Side,
        teller: Teller,
        sum: Sum,
        now: Moment,
    ) -> Vec<(OrgName, u64)> {
        let key = (side, teller.host);
        let mut spent = Vec::new();
        let known = self.sources.remove(&key);
        let mut counted = FastMap::default();
        if let Some(known) = known {
            counted = known.counted;
            // Counters restart at zero with the source, so the old values are no base for it.
            let same = known.incarnation == teller.incarnation;
            for (name, count) in sum.spent.iter().filter(|_spent| same) {
                let before = known.sum.spent.get(name).copied().unwrap_or_default();
                let added = count.saturating_sub(before);
                if added > 0 {
                    *counted.entry(name.clone()).or_default() += added;
                    spent.push((name.clone(), added));
                }
            }
        }
        let source = Source {
            incarnation: teller.incarnation,
            sum,
            at: now,
            counted,
        };
        self.sources.insert(key, source);
        spent
    }

    /// Returns the sum of this host and its subtree, for its parent.
    #[must_use]
    pub fn upward(&self, own: Sum, now: Moment) -> Sum {
        let is_below = |side, _host: &HostName| side == Side::Below;
        let mut sum = self.collect(own, now, is_below);
        self.add_wanted(&mut sum.wanted, now, is_below);
        sum
    }

    /// Adds the demand of all hosts outside one child's subtree.
    pub fn add_wanted_but(&self, child: &HostName, wanted: &mut FastMap<Asked, u64>, now: Moment) {
        self.add_wanted(wanted, now, |side, host| {
            side != Side::Below || host != child
        });
    }

    /// Adds the demand of all other hosts.
    pub fn add_wanted_elsewhere(&self, wanted: &mut FastMap<Asked, u64>, now: Moment) {
        self.add_wanted(wanted, now, |_side, _host| true);
    }

    fn add_wanted(
        &self,
        wanted: &mut FastMap<Asked, u64>,
        now: Moment,
        takes: impl Fn(Side, &HostName) -> bool,
    ) {
        for ((side, host), source) in &self.sources {
            if takes(*side, host) && now.since(source.at) < STALE {
                for (asked, rate) in &source.sum.wanted {
                    *wanted.entry(asked.clone()).or_default() += rate;
                }
            }
        }
    }

    /// Returns the sum of everything outside one child's subtree, without demand.
    #[must_use]
    pub fn downward(&self, own: Sum, child: &HostName, now: Moment) -> Sum {
        self.collect(own, now, |side, host| side != Side::Below || host != child)
    }

    /// Returns the sum of all other hosts, without demand.
    #[must_use]
    pub fn elsewhere(&self, now: Moment) -> Sum {
        self.collect(Sum::default(), now, |_side, _host| true)
    }

    fn collect(&self, own: Sum, now: Moment, takes: impl Fn(Side, &HostName) -> bool) -> Sum {
        let mut sum = own;
        for ((side, host), source) in &self.sources {
            if !takes(*side, host) {
                continue;
            }
            if now.since(source.at) < STALE {
                sum.add(&source.sum);
            }
            for (name, count) in &source.counted {
                *sum.spent.entry(name.clone()).or_default() += count;
            }
        }
        sum
    }
}
