//! The tree along which hosts exchange state.
//!
//! Each zone has one tree, and the roots of all zones exchange state with each other. A host's
//! position follows from the registered hosts and from those that did not answer lately. Every
//! host sorts a zone's hosts in the same order, and a parent always precedes its children in that
//! order, so no cycle can form even when hosts disagree on who is suspected.
//!
//! Most hosts have a tenth of a processor and a slow link; a few have several times that. The
//! order puts the strong hosts first, so that they carry the zone's traffic.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{
    FastMap, HostName, Incarnation, Moment, ZoneName, record, rendezvous_weight, scalar,
};

/// Maximum children of a host. Their calls cost the parent a few percent of its processor share.
const MAX_CHILDREN: usize = 16;

/// How long a host that did not answer is left out of the tree.
const SUSPICION_TTL: Duration = Duration::from_secs(2);

/// Delay of a timeout from which it says nothing about the peer.
///
/// This host was then too busy to read an answer.
const MAX_TIMEOUT_DELAY: Duration = Duration::from_millis(150);

/// Subject of the hash that orders hosts over all zones.
const FLEET_SUBJECT: &str = "picker";

scalar! {
    /// Capacity of a host.
    ///
    /// The smaller of its processor share in percent and its link speed in Mbit/s.
    pub struct Capacity(pub u32);
}

impl Capacity {
    /// Returns the capacity class; capacities of one class differ by less than double.
    fn class(self) -> u32 {
        self.0.checked_ilog2().unwrap_or_default()
    }
}

record! {
    /// Registration of an entry host.
    pub struct Peer {
        /// Name of the host.
        pub host: HostName,
        /// Availability zone of the host.
        pub zone: ZoneName,
        /// Address for calls from other hosts.
        pub address: SocketAddr,
        /// Start number of the process; changes with each restart.
        pub incarnation: Incarnation,
        /// Capacity as the host reports it; none if it reports nothing.
        pub capacity: Option<Capacity>,
    }

    /// Hosts from which one host takes state.
    pub struct TreePosition {
        /// The parent; none for the root of the zone.
        pub parent: Option<Peer>,
        /// Roots of the other zones; empty if this host is no root.
        #[serde(rename = "beside")]
        pub zone_roots: Vec<Peer>,
        /// Whether this host is the first root, which reads the store for the others.
        #[serde(rename = "first")]
        pub reads_store: bool,
        /// Number of steps to the root of the zone; 0 for the root.
        pub level: u32,
        /// Whether other hosts take state from this one.
        #[serde(rename = "serves")]
        pub serves_peers: bool,
    }
}

impl TreePosition {
    /// Returns the host to which this one reports its spending; none for the first root.
    #[must_use]
    pub fn reports_to(&self) -> Option<&Peer> {
        if self.reads_store {
            return None;
        }
        let first_root = || self.zone_roots.iter().min_by_key(|peer| &peer.zone);
        self.parent.as_ref().or_else(first_root)
    }
}

/// A host with its sort key within the zone, which is computed once.
#[derive(Clone, Debug)]
struct RankedPeer {
    peer: Peer,
    /// Sort key: the inverted capacity class, then a hash that spreads equal hosts.
    rank: (u32, u64),
    /// The same over all zones, with another hash, since roots have work of their own.
    fleet_rank: (u32, u64),
}

impl RankedPeer {
    fn new(peer: Peer) -> Self {
        let class = peer.capacity.map_or(0, Capacity::class);
        let weight = rendezvous_weight(peer.host.as_str(), peer.zone.as_str());
        let fleet_weight = rendezvous_weight(peer.host.as_str(), FLEET_SUBJECT);
        Self {
            peer,
            rank: (u32::MAX - class, u64::MAX - weight),
            fleet_rank: (u32::MAX - class, u64::MAX - fleet_weight),
        }
    }

    fn key(&self) -> (&ZoneName, (u32, u64), &HostName) {
        (&self.peer.zone, self.rank, &self.peer.host)
    }
}

/// The registered hosts, with those that are suspected to be down.
#[derive(Clone, Debug)]
pub struct Tree {
    me: Peer,
    /// Sorted by zone, then by rank.
    peers: Vec<RankedPeer>,
    suspects: FastMap<HostName, Moment>,
}

impl Tree {
    /// Creates a tree that contains only this host.
    #[must_use]
    pub fn new(me: Peer) -> Self {
        let peers = vec![RankedPeer::new(me.clone())];
        Self {
            me,
            peers,
            suspects: FastMap::default(),
        }
    }

    /// Adds or updates a host; a restarted host is no longer suspected.
    pub fn insert(&mut self, peer: Peer) {
        if peer.host == self.me.host {
            return;
        }
        let known = self.take(&peer.host);
        if known.is_none_or(|known| known.peer.incarnation != peer.incarnation) {
            self.suspects.remove(&peer.host);
        }
        let ranked = RankedPeer::new(peer);
        let at = self
            .peers
            .partition_point(|other| other.key() < ranked.key());
        self.peers.insert(at, ranked);
    }

    fn take(&mut self, host: &HostName) -> Option<RankedPeer> {
        let at = self.peers.iter().position(|r| r.peer.host == *host)?;
        Some(self.peers.remove(at))
    }

    /// Removes a host whose registration is gone.
    pub fn remove(&mut self, host: &HostName) {
        if *host != self.me.host {
            self.take(host);
            self.suspects.remove(host);
        }
    }

    /// Marks a host that did not answer as suspected.
    pub fn suspect(&mut self, host: &HostName, now: Moment) {
        self.suspects.insert(host.clone(), now.after(SUSPICION_TTL));
    }

    /// Suspects a host whose answer was due at the given moment, and returns whether it does.
    ///
    /// It does not if this host noticed the failure long after that.
    pub fn note_failure(&mut self, host: &HostName, due_at: Moment, now: Moment) -> bool {
        let is_own_delay = now.since(due_at) > MAX_TIMEOUT_DELAY;
        if !is_own_delay {
            self.suspect(host, now);
        }
        !is_own_delay
    }

    /// Returns the registered hosts, including this one.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().map(|ranked| &ranked.peer)
    }

    /// Returns the strongest of the registered hosts that are allowed, this one included.
    pub fn strongest(&self, is_allowed: impl Fn(&Peer) -> bool) -> Option<&Peer> {
        let allowed = self.peers.iter().filter(|ranked| is_allowed(&ranked.peer));
        let strongest = allowed.min_by_key(|ranked| (ranked.fleet_rank, &ranked.peer.host));
        strongest.map(|ranked| &ranked.peer)
    }

    /// Returns this host's position in the tree.
    pub fn position(&mut self, now: Moment) -> TreePosition {
        self.suspects.retain(|_host, until| now < *until);
        let zone_hosts = self.ranked(&self.me.zone);
        let rank = zone_hosts
            .iter()
            .position(|ranked| ranked.peer.host == self.me.host);
        let parent = match rank {
            None | Some(0) => None,
            Some(rank) => Some(zone_hosts[parent_of(rank)].peer.clone()),
        };
        let serves_peers =
            rank.is_none_or(|rank| rank == 0 || rank * MAX_CHILDREN + 1 < zone_hosts.len());
        let zone_roots = if parent.is_none() {
            self.other_roots()
        } else {
            Vec::new()
        };
        let reads_store =
            parent.is_none() && zone_roots.iter().all(|peer| self.me.zone < peer.zone);
        TreePosition {
            parent,
            zone_roots,
            reads_store,
            level: rank.map_or(0, level_of),
            serves_peers,
        }
    }

    fn other_roots(&self) -> Vec<Peer> {
        let mut zones: Vec<_> = self.peers().map(|peer| &peer.zone).collect();
        zones.dedup();
        zones
            .into_iter()
            .filter(|zone| **zone != self.me.zone)
            .filter_map(|zone| self.ranked(zone).first().map(|ranked| ranked.peer.clone()))
            .collect()
    }

    /// Returns a zone's hosts that are not suspected, the root first.
    fn ranked(&self, zone: &ZoneName) -> Vec<&RankedPeer> {
        let is_unsuspected = |ranked: &&RankedPeer| {
            ranked.peer.zone == *zone && !self.suspects.contains_key(&ranked.peer.host)
        };
        self.peers.iter().filter(is_unsuspected).collect()
    }
}

/// Returns the rank of the parent of a host that is no root.
fn parent_of(rank: usize) -> usize {
    (rank - 1) / MAX_CHILDREN
}

/// Returns the number of steps from a rank to the root.
fn level_of(rank: usize) -> u32 {
    if rank == 0 {
        0
    } else {
        1 + level_of(parent_of(rank))
    }
}
