//! From whom each host takes its news: a tree in each zone, its tops beside each other.
//!
//! The order of a zone's hosts is the same everywhere, and a parent always stands before its
//! children in it, so that whatever hosts suspect, no circle arises.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasshill_domain::{
    FastMap, HostName, Incarnation, Moment, ZoneName, record, rendezvous_weight,
};

/// Children of one host: their calls take a parent some percent of its processor share.
const CHILDREN: usize = 16;

/// How long a host that did not answer is passed over.
const SUSPICION: Duration = Duration::from_secs(2);

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

/// A host with its weight in the order of its zone, which is worked out once.
#[derive(Clone, Debug)]
struct Ranked {
    peer: Peer,
    weight: u64,
}

impl Ranked {
    fn new(peer: Peer) -> Self {
        let weight = rendezvous_weight(peer.host.as_str(), peer.zone.as_str());
        Self { peer, weight }
    }
}

/// The registered hosts, and which of them did not answer lately.
#[derive(Clone, Debug)]
pub struct Tree {
    me: Peer,
    peers: FastMap<HostName, Ranked>,
    suspects: FastMap<HostName, Moment>,
}

impl Tree {
    /// Makes a tree of one host.
    #[must_use]
    pub fn new(me: Peer) -> Self {
        let peers = FastMap::from_iter([(me.host.clone(), Ranked::new(me.clone()))]);
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
        let known = self.peers.get(&peer.host);
        if known.is_none_or(|known| known.peer.incarnation != peer.incarnation) {
            self.suspects.remove(&peer.host);
        }
        self.peers.insert(peer.host.clone(), Ranked::new(peer));
    }

    /// Takes a host out that is registered no more.
    pub fn remove(&mut self, host: &HostName) {
        if *host != self.me.host {
            self.peers.remove(host);
            self.suspects.remove(host);
        }
    }

    /// Notes that a host did not answer.
    pub fn suspect(&mut self, host: &HostName, now: Moment) {
        self.suspects.insert(host.clone(), now.after(SUSPICION));
    }

    /// Returns the registered hosts, this one included.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().map(|ranked| &ranked.peer)
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
        zones.sort_unstable();
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
        let mut found: Vec<_> = self.peers.values().filter(is_open).collect();
        found.sort_unstable_by(|a, b| {
            let by_weight = b.weight.cmp(&a.weight);
            by_weight.then_with(|| a.peer.host.cmp(&b.peer.host))
        });
        found
    }
}
