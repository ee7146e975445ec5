//! What hosts tell each other of loads, spending and demand, added up along a tree.
//!
//! Hosts of a zone form a tree; a parent adds up what its children send and tells each of them
//! the sum of everything elsewhere. The tops of the zones exchange their zones' sums. Spending is
//! counted from each source by differences, so that a host that changes its parent or starts
//! anew is never counted twice.

use std::time::Duration;

use eelgrasshill_domain::{
    FastMap, FastSet, HostName, Incarnation, Moment, OrgName, record, rendezvous_weight,
};

use crate::{Asked, Load};

/// How long a sum counts without news: some rounds of the exchange.
const STALE: Duration = Duration::from_millis(900);

record! {
    /// A host's short mark in messages.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct HostMark(pub u32);

    /// What one host or a part of the tree has to tell.
    #[derive(Default)]
    pub struct Sum {
        /// The hosts that are in it.
        pub hosts: FastSet<HostMark>,
        /// What runs on each upstream.
        pub loads: FastMap<HostName, Load>,
        /// Tokens spent since the teller's start, by organisation.
        pub spent: FastMap<OrgName, u64>,
        /// Microseconds of engine time a second that are asked for.
        pub wanted: FastMap<Asked, u64>,
    }

    /// Who tells a sum.
    pub struct Teller {
        /// The host.
        pub host: HostName,
        /// The number of its start.
        pub incarnation: Incarnation,
    }
}

impl HostMark {
    /// Returns the mark of a host.
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
    // Tokens spent at the source since it was first heard of.
    counted: FastMap<OrgName, u64>,
}

/// Where a sum comes from, seen from one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Side {
    /// A host of the zone that takes its news from this one.
    Below,
    /// The parent, which tells of everything elsewhere.
    Above,
    /// The top of another zone.
    Beside,
}

/// The sums that one host has heard.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    sources: FastMap<(Side, HostName), Source>,
}

impl Sums {
    /// Takes a sum; returns what was newly spent there, by organisation.
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
            // A new start of the source counts from zero: its first word only says where.
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

    /// Returns the sum of this host's own part and all that lies below it, for its parent.
    #[must_use]
    pub fn upward(&self, own: Sum, now: Moment) -> Sum {
        let is_below = |side, _host: &HostName| side == Side::Below;
        let mut sum = self.collect(own, now, is_below);
        self.add_wanted(&mut sum.wanted, now, is_below);
        sum
    }

    /// Adds what is wanted everywhere but in one child's part.
    pub fn add_wanted_but(&self, child: &HostName, wanted: &mut FastMap<Asked, u64>, now: Moment) {
        self.add_wanted(wanted, now, |side, host| {
            side != Side::Below || host != child
        });
    }

    /// Adds what is wanted at all other hosts.
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

    /// Returns the sum of everything but one child's part and what is wanted, for that child.
    #[must_use]
    pub fn downward(&self, own: Sum, child: &HostName, now: Moment) -> Sum {
        self.collect(own, now, |side, host| side != Side::Below || host != child)
    }

    /// Returns the sum of everything but this host's own part and what is wanted.
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
