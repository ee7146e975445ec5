//! From whom each host takes its news: a tree in each zone, its tops beside each other.
//!
//! The order of a zone's hosts is the same everywhere, and a parent always stands before its
//! children in it, so that whatever hosts suspect, no circle arises. Load pattern: most hosts have
//! a tenth of a processor and a slow link, a few have several times that; the news of a zone pass
//! through those.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{
    FastMap, HostName, Incarnation, Moment, ZoneName, record, rendezvous_weight, scalar,
};

/// Children of one host: their calls take a parent some percent of its processor share.
const CHILDREN: usize = 16;

/// How long a host that did not answer is passed over.
const SUSPICION: Duration = Duration::from_secs(2);

scalar! {
    /// What a host can carry: the lesser of its processor share in percent and its link in Mbit/s.
    pub struct Capacity(pub u32);
}

impl Capacity {
    /// Returns the class within which hosts count as equal: those of up to twice as much.
    fn class(self) -> u32 {
        self.0.checked_ilog2().unwrap_or_default()
    }
}

record! {
    /// An entry host as it registers itself.
    pub struct Peer {
        /// The host.
        pub host: HostName,
        /// Its zone.
        pub zone: ZoneName,
        /// Where its peers reach it.
        pub address: SocketAddr,
        /// The number of its start.
        pub incarnation: Incarnation,
        /// What it can carry, as it tells itself.
        pub capacity: Option<Capacity>,
    }

    /// From whom one host takes its news.
    pub struct Position {
        /// The parent; none at the top of the zone.
        pub parent: Option<Peer>,
        /// The tops of the other zones, for a host at the top of its own.
        pub beside: Vec<Peer>,
        /// Whether this host is the first of the tops, from which the others take the store's news.
        pub first: bool,
    }
}

/// A host with its place in the order of its zone, which is worked out once.
#[derive(Clone, Debug)]
struct Ranked {
    peer: Peer,
    /// Lower ones stand before: the class of capacity, then a weight that spreads equals.
    place: (u32, u64),
}

impl Ranked {
    fn new(peer: Peer) -> Self {
        let class = peer.capacity.map_or(0, Capacity::class);
        let weight = rendezvous_weight(peer.host.as_str(), peer.zone.as_str());
        Self {
            peer,
            place: (u32::MAX - class, u64::MAX - weight),
        }
    }

    fn key(&self) -> (&ZoneName, (u32, u64), &HostName) {
        (&self.peer.zone, self.place, &self.peer.host)
    }
}

/// The registered hosts, and which of them did not answer lately.
#[derive(Clone, Debug)]
pub struct Tree {
    me: Peer,
    /// Zone by zone, each zone's hosts in their order.
    peers: Vec<Ranked>,
    suspects: FastMap<HostName, Moment>,
}

impl Tree {
    /// Makes a tree of one host.
    #[must_use]
    pub fn new(me: Peer) -> Self {
        let peers = vec![Ranked::new(me.clone())];
        Self {
            me,
            peers,
            suspects: FastMap::default(),
        }
    }

    /// Takes a host's registration; one that started anew is trusted again.
    pub fn insert(&mut self, peer: Peer) {
        if peer.host == self.me.host {
            return;
        }
        let known = self.take(&peer.host);
        if known.is_none_or(|known| known.peer.incarnation != peer.incarnation) {
            self.suspects.remove(&peer.host);
        }
        let ranked = Ranked::new(peer);
        let at = self
            .peers
            .partition_point(|other| other.key() < ranked.key());
        self.peers.insert(at, ranked);
    }

    fn take(&mut self, host: &HostName) -> Option<Ranked> {
        let at = self.peers.iter().position(|r| r.peer.host == *host)?;
        Some(self.peers.remove(at))
    }

    /// Takes a host out that is registered no more.
    pub fn remove(&mut self, host: &HostName) {
        if *host != self.me.host {
            self.take(host);
            self.suspects.remove(host);
        }
    }

    /// Notes that a host did not answer.
    pub fn suspect(&mut self, host: &HostName, now: Moment) {
        self.suspects.insert(host.clone(), now.after(SUSPICION));
    }

    /// Returns the registered hosts, this one included.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().map(|ranked| &ranked.peer)
    }

    /// Returns from whom to take news.
    pub fn position(&mut self, now: Moment) -> Position {
        self.suspects.retain(|_host, until| now < *until);
        let own = self.ranked(&self.me.zone);
        let rank = own
            .iter()
            .position(|ranked| ranked.peer.host == self.me.host);
        let parent = match rank {
            None | Some(0) => None,
            Some(rank) => Some(own[(rank - 1) / CHILDREN].peer.clone()),
        };
        let beside = if parent.is_none() {
            self.other_tops()
        } else {
            Vec::new()
        };
        let first = parent.is_none() && beside.iter().all(|peer| self.me.zone < peer.zone);
        Position {
            parent,
            beside,
            first,
        }
    }

    fn other_tops(&self) -> Vec<Peer> {
        let mut zones: Vec<_> = self.peers().map(|peer| &peer.zone).collect();
        zones.dedup();
        zones
            .into_iter()
            .filter(|zone| **zone != self.me.zone)
            .filter_map(|zone| self.ranked(zone).first().map(|ranked| ranked.peer.clone()))
            .collect()
    }

    /// Returns a zone's hosts that are not suspected, first the top.
    fn ranked(&self, zone: &ZoneName) -> Vec<&Ranked> {
        let is_open = |ranked: &&Ranked| {
            ranked.peer.zone == *zone && !self.suspects.contains_key(&ranked.peer.host)
        };
        self.peers.iter().filter(is_open).collect()
    }
}
