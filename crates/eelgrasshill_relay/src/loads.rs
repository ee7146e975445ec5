//! What runs and waits on each upstream: sent from here, and from elsewhere as peers tell.

use eelgrasshill_domain::{FastMap, HostName, record};

/// Ranks that are told apart; less urgent ones count with the last of them.
pub const RANKS: usize = 3;

/// Hosts that must have failed to reach an upstream before others avoid it: one may be cut off
/// itself.
const DOUBTERS: u32 = 2;

record! {
    /// Work on one upstream.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Requests that were sent and have not ended.
        pub running: u32,
        /// Prompt tokens of requests whose answer has not begun, by rank.
        pub unread: [u64; RANKS],
        /// Hosts that lately could not reach it.
        pub unreached: u32,
    }
}

/// Returns the place of a rank among those that are told apart.
#[must_use]
pub fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

impl Load {
    /// Adds another host's share.
    pub fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.unreached += other.unreached;
        for (mine, theirs) in self.unread.iter_mut().zip(other.unread) {
            *mine += theirs;
        }
    }

    /// Returns the prompt tokens that an engine reads before those of a request of a rank.
    #[must_use]
    pub fn ahead(&self, rank: u8) -> u64 {
        self.unread[..=rank_index(rank)].iter().sum()
    }
}

/// The loads of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    own: FastMap<HostName, Load>,
    elsewhere: FastMap<HostName, Load>,
}

impl Loads {
    /// Notes that a request is sent.
    pub fn start(&mut self, id: &HostName, rank: u8, tokens: u64) {
        let load = self.own.entry(id.clone()).or_default();
        load.running += 1;
        load.unread[rank_index(rank)] += tokens;
    }

    /// Notes that the answer of a request has begun.
    pub fn begin(&mut self, id: &HostName, rank: u8, tokens: u64) {
        if let Some(load) = self.own.get_mut(id) {
            let unread = &mut load.unread[rank_index(rank)];
            *unread = unread.saturating_sub(tokens);
        }
    }

    /// Notes that a request has ended; its answer must have begun or [`Self::begin`] is due.
    pub fn end(&mut self, id: &HostName) {
        if let Some(load) = self.own.get_mut(id) {
            load.running = load.running.saturating_sub(1);
        }
    }

    /// Takes what other hosts have on the upstreams, in place of what was known.
    pub fn set_elsewhere(&mut self, loads: FastMap<HostName, Load>) {
        self.elsewhere = loads;
    }

    /// Returns an upstream's load over all hosts.
    #[must_use]
    pub fn total(&self, id: &HostName) -> Load {
        let mut total = self.own.get(id).copied().unwrap_or_default();
        total.add(&self.elsewhere.get(id).copied().unwrap_or_default());
        total
    }

    /// Returns this host's own loads.
    pub fn own(&self) -> impl Iterator<Item = (&HostName, &Load)> {
        self.own.iter()
    }

    /// Returns whether several other hosts lately could not reach an upstream.
    #[must_use]
    pub fn is_doubted(&self, id: &HostName) -> bool {
        self.elsewhere
            .get(id)
            .is_some_and(|load| load.unreached >= DOUBTERS)
    }

    /// Forgets upstreams that are gone and have nothing running.
    pub fn retain(&mut self, is_known: impl Fn(&HostName) -> bool) {
        self.own.retain(|id, load| load.running > 0 || is_known(id));
    }
}
