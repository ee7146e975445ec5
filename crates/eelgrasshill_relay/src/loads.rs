//! What runs and waits on each upstream: sent from here, and from elsewhere as peers tell.

use eelgrasshill_domain::{FastMap, HostName, record};

record! {
    /// Work on one upstream.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Requests that were sent and have not ended.
        pub running: u32,
        /// Prompt tokens of requests whose answer has not begun.
        pub unread: u64,
        /// Outcomes since the start that were the upstream's own failures.
        pub failed: u64,
        /// Outcomes since the start.
        pub ended: u64,
    }
}

impl Load {
    /// Adds another host's share.
    pub fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.unread += other.unread;
        self.failed += other.failed;
        self.ended += other.ended;
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
    pub fn start(&mut self, id: &HostName, tokens: u64) {
        let load = self.own.entry(id.clone()).or_default();
        load.running += 1;
        load.unread += tokens;
    }

    /// Notes that the answer of a request has begun.
    pub fn begin(&mut self, id: &HostName, tokens: u64) {
        if let Some(load) = self.own.get_mut(id) {
            load.unread = load.unread.saturating_sub(tokens);
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

    /// Forgets upstreams that are gone and have nothing running.
    pub fn retain(&mut self, is_known: impl Fn(&HostName) -> bool) {
        self.own
            .retain(|id, load| load.running > 0 || is_known(id));
    }
}
