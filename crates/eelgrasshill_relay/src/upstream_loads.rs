//! Running requests and queued prompt tokens of each upstream.
//!
//! Adds up this host's own requests and the loads that other hosts report.

use eelgrasshill_domain::{FastMap, HostName, record};

/// Number of distinct ranks; less urgent ones count as the last of them.
pub const RANKS: usize = 3;

/// Other hosts that must fail to reach an upstream before it is suspected.
///
/// A single one may be cut off itself.
const MIN_UNREACHABLE_HOSTS: u32 = 2;

record! {
    /// Load of one upstream.
    #[derive(Copy, Default)]
    pub struct UpstreamLoad {
        /// Requests that were sent and have not finished.
        pub running: u32,
        /// Prompt tokens of requests whose answer has not started, by rank.
        #[serde(rename = "unread")]
        pub queued_tokens: [u64; RANKS],
        /// Hosts that recently failed to reach it.
        #[serde(rename = "unreached")]
        pub unreachable_hosts: u32,
    }
}

/// Returns the index of a rank among the distinct ones.
#[must_use]
pub fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

impl UpstreamLoad {
    /// Adds the load that another host reports.
    pub fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.unreachable_hosts += other.unreachable_hosts;
        for (mine, theirs) in self.queued_tokens.iter_mut().zip(other.queued_tokens) {
            *mine += theirs;
        }
    }

    /// Returns the prompt tokens that an engine processes before a request of a rank.
    #[must_use]
    pub fn tokens_ahead(&self, rank: u8) -> u64 {
        self.queued_tokens[..=rank_index(rank)].iter().sum()
    }
}

/// The loads of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLoads {
    own: FastMap<HostName, UpstreamLoad>,
    elsewhere: FastMap<HostName, UpstreamLoad>,
}

impl UpstreamLoads {
    /// Notes that a request was sent.
    pub fn record_start(&mut self, id: &HostName, rank: u8, tokens: u64) {
        let load = self.own.entry(id.clone()).or_default();
        load.running += 1;
        load.queued_tokens[rank_index(rank)] += tokens;
    }

    /// Notes that the answer of a request has started.
    pub fn record_answer_start(&mut self, id: &HostName, rank: u8, tokens: u64) {
        if let Some(load) = self.own.get_mut(id) {
            let queued_tokens = &mut load.queued_tokens[rank_index(rank)];
            *queued_tokens = queued_tokens.saturating_sub(tokens);
        }
    }

    /// Notes that a request has finished.
    ///
    /// Each request needs a call of [`Self::record_answer_start`] before, even if its answer never
    /// started.
    pub fn record_end(&mut self, id: &HostName) {
        if let Some(load) = self.own.get_mut(id) {
            load.running = load.running.saturating_sub(1);
        }
    }

    /// Replaces the loads that other hosts report.
    pub fn set_elsewhere(&mut self, loads: FastMap<HostName, UpstreamLoad>) {
        self.elsewhere = loads;
    }

    /// Returns an upstream's load over all hosts.
    #[must_use]
    pub fn total(&self, id: &HostName) -> UpstreamLoad {
        let mut total = self.own.get(id).copied().unwrap_or_default();
        total.add(&self.elsewhere.get(id).copied().unwrap_or_default());
        total
    }

    /// Returns the loads from this host's requests.
    pub fn own(&self) -> impl Iterator<Item = (&HostName, &UpstreamLoad)> {
        self.own.iter()
    }

    /// Returns whether several other hosts recently failed to reach an upstream.
    #[must_use]
    pub fn is_suspected(&self, id: &HostName) -> bool {
        self.elsewhere
            .get(id)
            .is_some_and(|load| load.unreachable_hosts >= MIN_UNREACHABLE_HOSTS)
    }

    /// Removes unknown upstreams that have no running requests.
    pub fn retain(&mut self, is_known: impl Fn(&HostName) -> bool) {
        self.own.retain(|id, load| load.running > 0 || is_known(id));
    }
}
