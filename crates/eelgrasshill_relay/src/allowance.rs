//! Limits of organisations over all hosts, from what the hosts tell each other they spent.
//!
//! Load pattern: one organisation sends several times its rate, spread unevenly over the hosts,
//! while hosts come, go and lose sight of each other. Every host keeps the whole bucket, debits
//! what it spends and what it hears that others spent, and fills it only by the share of hosts
//! that it hears of: those that it cannot hear may be spending their share.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, OrgName, scalar};

use crate::Organisation;

/// Part of the burst that is used, in percent. Parts of the fleet that have just lost sight of
/// each other may each spend what is in the bucket.
const BURST_USED: f64 = 65.0;

/// Part of the rate that is used, in percent. The platform allows a tenth more over its window;
/// hosts that learn late of each other's spending refuse some requests that the rate allows, and
/// let others through in their place.
const RATE_USED: f64 = 107.0;

/// Part of the bucket, in percent of the burst, below which hosts take only their share of it.
const SCARCE: f64 = 40.0;

/// How much more than its recent share of the spending a host may take of what is left, since
/// spending moves among hosts.
const SHARE_FACTOR: f64 = 2.0;

/// Part of the burst that a host begins with: hosts that all start at once would otherwise refuse
/// what their callers are owed, and what the window allows beyond the rate covers it.
const FIRST_FILL: f64 = 0.4;

/// Weight of earlier rounds in the averages: they span a second or so.
const ROUND_WEIGHT: f64 = 0.75;

/// Advice where the time until tokens are there is not known.
const RETRY: Duration = Duration::from_secs(1);

scalar! {
    /// The hosts that share the limits, and how many of them were heard of lately.
    pub struct Quorum {
        /// Hosts heard of lately, this one included.
        pub heard: u64,
        /// Hosts that are registered.
        pub registered: u64,
    }
}

impl Quorum {
    /// What holds until the other hosts are known: the largest fleet that is planned for.
    pub const UNSEEN: Self = Self {
        heard: 1,
        registered: 400,
    };

    /// Returns the share of the hosts that was heard of, from just above 0 to 1.
    #[must_use]
    pub fn share(self) -> f64 {
        (tokens(self.heard.max(1)) / tokens(self.registered.max(1))).min(1.0)
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Moment,
    // Since the last news: what was there, and what this host spent.
    round_level: f64,
    round_spent: f64,
    // Averages of what this host and others spend in a round.
    own: f64,
    others: f64,
    // Tokens of requests that this host sent away and that have not had their turn since.
    sent_away: f64,
}

/// The buckets of all organisations at one host.
#[derive(Clone, Debug)]
pub struct Allowances {
    buckets: FastMap<OrgName, Bucket>,
    spent: FastMap<OrgName, u64>,
    quorum: Quorum,
}

impl Default for Allowances {
    fn default() -> Self {
        Self {
            buckets: FastMap::default(),
            spent: FastMap::default(),
            quorum: Quorum::UNSEEN,
        }
    }
}

impl Allowances {
    /// Takes the limits of a configuration; a lowered limit binds at once.
    ///
    /// New buckets hold little: what was spent before this host's start is not known.
    pub fn configure<'a>(&mut self, rows: impl Iterator<Item = &'a Organisation>, now: Moment) {
        let mut buckets = FastMap::default();
        for row in rows.filter(|row| row.rate > 0) {
            let known = self.buckets.remove(&row.name);
            let is_new = known.is_none();
            let mut bucket = known.unwrap_or(Bucket {
                rate: 0.0,
                burst: 0.0,
                level: 0.0,
                at: now,
                round_level: 0.0,
                round_spent: 0.0,
                own: 0.0,
                others: 0.0,
                sent_away: 0.0,
            });
            bucket.fill(self.quorum.share(), now);
            bucket.rate = tokens(row.rate) * RATE_USED / 100.0;
            bucket.burst = tokens(row.burst) * BURST_USED / 100.0;
            if is_new {
                bucket.level = bucket.burst * FIRST_FILL * self.quorum.share();
            }
            bucket.level = bucket.level.min(bucket.burst);
            buckets.insert(row.name.clone(), bucket);
        }
        self.buckets = buckets;
    }

    /// Sets which share of the hosts is heard of.
    pub fn set_quorum(&mut self, quorum: Quorum, now: Moment) {
        let (before, after) = (self.quorum.share(), quorum.share());
        for bucket in self.buckets.values_mut() {
            bucket.fill(before, now);
            if bucket.level > 0.0 {
                // A part of the fleet that is lost from sight holds its part of the bucket, and
                // brings what is left of it when it is back.
                bucket.level = (bucket.level * after / before).min(bucket.burst * after);
            }
        }
        self.quorum = quorum;
    }

    /// Takes tokens of an organisation.
    ///
    /// # Errors
    ///
    /// Returns the time after which enough tokens will be there.
    pub fn take(&mut self, name: &OrgName, cost: u64, now: Moment) -> Result<(), Duration> {
        let share = self.quorum.share();
        let heard = tokens(self.quorum.heard.max(1));
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.fill(share, now);
            let cost = tokens(cost);
            // A request that costs more than the bucket holds runs on credit from a full one.
            let needed = cost.min(bucket.burst * share);
            if bucket.level < needed || bucket.is_beyond_share(needed, heard) {
                let rate = bucket.rate * share;
                // Those that were sent away before come back before this one.
                let before = bucket.sent_away * heard;
                bucket.sent_away += cost;
                let wait = ((needed - bucket.level).max(needed) + before) / rate.max(1.0);
                return Err(Duration::try_from_secs_f64(wait).unwrap_or(RETRY));
            }
            bucket.level -= cost;
            bucket.round_spent += cost;
        }
        *self.spent.entry(name.clone()).or_default() += cost;
        Ok(())
    }

    /// Gives back tokens of a request that did not run.
    ///
    /// Peers that already heard of the cost keep it, which only makes them cautious.
    pub fn refund(&mut self, name: &OrgName, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(name) {
            let cost = tokens(cost);
            bucket.level = (bucket.level + cost).min(bucket.burst);
        }
    }

    /// Takes tokens of a request that is sent once more after it may have run.
    ///
    /// It was let in before, so it is not refused; what it costs is missing for later ones.
    pub fn charge(&mut self, name: &OrgName, cost: u64, now: Moment) {
        let share = self.quorum.share();
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.fill(share, now);
            bucket.level -= tokens(cost);
            bucket.round_spent += tokens(cost);
        }
        *self.spent.entry(name.clone()).or_default() += cost;
    }

    /// Returns tokens spent here since the start, by organisation.
    pub fn spent(&self) -> impl Iterator<Item = (&OrgName, u64)> {
        self.spent.iter().map(|(name, spent)| (name, *spent))
    }

    /// Takes off what was spent elsewhere.
    pub fn debit(&mut self, name: &OrgName, spent: u64, now: Moment) {
        let share = self.quorum.share();
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.fill(share, now);
            let spent = tokens(spent);
            bucket.level -= spent;
            bucket.others += spent;
        }
    }

    /// Begins a new round: everything that others told is taken off.
    pub fn begin_round(&mut self, now: Moment) {
        let share = self.quorum.share();
        let heard = tokens(self.quorum.heard.max(1));
        for bucket in self.buckets.values_mut() {
            let span = now.since(bucket.at).as_secs_f64();
            let turn = bucket.rate * share * span / heard;
            bucket.sent_away = (bucket.sent_away - turn).max(0.0);
            bucket.fill(share, now);
            bucket.begin_round();
        }
    }
}

impl Bucket {
    /// Returns whether a request would take more of a scarce bucket than this host's part in the
    /// round; the first request of a round always may.
    fn is_beyond_share(&self, cost: f64, heard: f64) -> bool {
        if self.level > self.burst * SCARCE / 100.0 || self.round_spent == 0.0 {
            return false;
        }
        let recent = self.own / (self.own + self.others).max(1.0);
        let part = (recent.max(1.0 / heard) * SHARE_FACTOR).min(1.0);
        self.round_spent + cost > self.round_level.max(0.0) * part
    }

    fn begin_round(&mut self) {
        self.own = (self.own + self.round_spent) * ROUND_WEIGHT;
        self.others *= ROUND_WEIGHT;
        self.round_level = self.level;
        self.round_spent = 0.0;
    }

    fn fill(&mut self, share: f64, now: Moment) {
        let span = now.since(self.at).as_secs_f64();
        self.level = (self.level + self.rate * share * span).min(self.burst * share);
        self.at = now;
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn tokens(count: u64) -> f64 {
    count as f64
}
