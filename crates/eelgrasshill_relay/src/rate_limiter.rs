//! Token buckets that limit each organisation's spending over all hosts.
//!
//! Every host keeps the whole bucket of each organisation. It debits what it spends itself and what
//! other hosts report to have spent, and refills it only by the share of hosts that it has reports
//! from, because unreachable hosts may be spending their share. The design handles an organisation
//! that sends several times its rate, spread unevenly over the hosts, while hosts start, stop and
//! lose contact with each other.

use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_domain::{FastMap, Moment, OrgName, scalar};

use crate::Organisation;

/// Part of the configured burst that is used.
///
/// Below 100, because parts of the fleet that have just lost contact may each spend a whole bucket.
const BURST_PERCENT: f64 = 65.0;

/// Part of the configured rate that is used.
///
/// Hosts learn late of each other's spending and refuse some requests that the rate allows. A rate
/// above 100 percent makes up for them; the platform tolerates 110 percent over its window.
const RATE_PERCENT: f64 = 107.0;

/// Bucket level, relative to the burst, below which hosts take only their share.
const SCARCE_PERCENT: f64 = 40.0;

/// Factor by which a host may exceed its recent share of a scarce bucket.
///
/// Spending moves among hosts, so the recent share is only an estimate.
const SHARE_FACTOR: f64 = 2.0;

/// Part of the burst in a new bucket.
///
/// With empty buckets, hosts that all start at once would refuse requests within the limit. What
/// the platform's window tolerates above the rate covers the initial tokens.
const INITIAL_FILL_RATIO: f64 = 0.4;

/// Weight of earlier rounds in the averages, which span about a second.
const ROUND_DECAY: f64 = 0.75;

/// Retry delay for callers if the computed time is not a valid duration.
const FALLBACK_RETRY_DELAY: Duration = Duration::from_secs(1);

scalar! {
    /// Counts of the hosts that share the limits.
    pub struct HostCounts {
        /// Hosts with a recent report, including this one.
        #[serde(rename = "heard")]
        pub reachable: u64,
        /// Registered hosts.
        pub registered: u64,
    }
}

impl HostCounts {
    /// Counts used until the other hosts are known: one of the largest planned fleet.
    pub const UNKNOWN: Self = Self {
        reachable: 1,
        registered: 400,
    };

    /// Returns the share of hosts with a recent report, from above 0 to 1.
    #[must_use]
    pub fn share(self) -> f64 {
        (tokens(self.reachable.max(1)) / tokens(self.registered.max(1))).min(1.0)
    }
}

/// Error for a request that exceeds its organisation's rate limit, with what decided it.
#[derive(Clone, Copy, Debug, PartialEq, Display, Error)]
#[display(
    "level={level:.0} rejected={rejected_cost:.0} beyond-share={is_beyond_share} hosts={}/{}",
    host_counts.reachable,
    host_counts.registered
)]
pub struct RateExceeded {
    /// Time until enough tokens are expected.
    pub retry_after: Duration,
    /// Tokens in the bucket; negative if it is overdrawn.
    pub level: f64,
    /// Tokens of rejected requests that are expected to be retried at this host.
    pub rejected_cost: f64,
    /// Whether the bucket had enough tokens, but not for this host.
    pub is_beyond_share: bool,
    /// Hosts over which the limit was shared.
    pub host_counts: HostCounts,
}

#[derive(Clone, Debug)]
struct Bucket {
    // The parts of the configured limits that are used, in tokens per second and tokens.
    rate: f64,
    burst: f64,
    // Tokens left at the moment `at`; negative if the bucket is overdrawn.
    level: f64,
    at: Moment,
    // Level at the start of the round, and tokens that this host spent since.
    round_level: f64,
    round_spent: f64,
    // Averages of tokens that this host and the others spend in a round.
    own_average: f64,
    others_average: f64,
    // Tokens of rejected requests that are expected to be retried.
    rejected_cost: f64,
}

/// The token buckets of all organisations at one host.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    buckets: FastMap<OrgName, Bucket>,
    spent: FastMap<OrgName, u64>,
    host_counts: HostCounts,
}

impl Default for RateLimiter {
    fn default() -> Self {
        Self {
            buckets: FastMap::default(),
            spent: FastMap::default(),
            host_counts: HostCounts::UNKNOWN,
        }
    }
}

impl RateLimiter {
    /// Applies the limits of a configuration; a lowered limit takes effect at once.
    ///
    /// New buckets start partly filled, because earlier spending is unknown.
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
                own_average: 0.0,
                others_average: 0.0,
                rejected_cost: 0.0,
            });
            bucket.fill(self.host_counts.share(), now);
            bucket.rate = tokens(row.rate) * RATE_PERCENT / 100.0;
            bucket.burst = tokens(row.burst) * BURST_PERCENT / 100.0;
            if is_new {
                bucket.level = bucket.burst * INITIAL_FILL_RATIO * self.host_counts.share();
            }
            bucket.level = bucket.level.min(bucket.burst);
            buckets.insert(row.name.clone(), bucket);
        }
        self.buckets = buckets;
    }

    /// Updates the host counts and scales the buckets accordingly.
    pub fn set_host_counts(&mut self, host_counts: HostCounts, now: Moment) {
        let (before, after) = (self.host_counts.share(), host_counts.share());
        for bucket in self.buckets.values_mut() {
            bucket.fill(before, now);
            if bucket.level > 0.0 {
                // Unreachable hosts keep their part of the bucket, and bring back what is left of
                // it when they return.
                bucket.level = (bucket.level * after / before).min(bucket.burst * after);
            }
        }
        self.host_counts = host_counts;
    }

    /// Takes the tokens of a request from its organisation's bucket.
    ///
    /// # Errors
    ///
    /// Returns [`RateExceeded`] if there are too few tokens now.
    pub fn take(&mut self, name: &OrgName, cost: u64, now: Moment) -> Result<(), RateExceeded> {
        let share = self.host_counts.share();
        let reachable = tokens(self.host_counts.reachable.max(1));
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.fill(share, now);
            let cost = tokens(cost);
            // A request that costs more than the burst needs only a full bucket, and overdraws it.
            let needed = cost.min(bucket.burst * share);
            if bucket.level < needed || bucket.is_beyond_share(needed, reachable) {
                let rate = bucket.rate * share;
                // Requests that were rejected before are expected to be retried first.
                let pending = bucket.rejected_cost * reachable;
                bucket.rejected_cost += cost;
                let wait = ((needed - bucket.level).max(needed) + pending) / rate.max(1.0);
                return Err(RateExceeded {
                    retry_after: Duration::try_from_secs_f64(wait).unwrap_or(FALLBACK_RETRY_DELAY),
                    level: bucket.level,
                    rejected_cost: bucket.rejected_cost,
                    is_beyond_share: bucket.level >= needed,
                    host_counts: self.host_counts,
                });
            }
            bucket.level -= cost;
            bucket.round_spent += cost;
        }
        *self.spent.entry(name.clone()).or_default() += cost;
        Ok(())
    }

    /// Refunds the tokens of a request that did not run.
    ///
    /// Other hosts may have debited the cost already; that only makes them stricter.
    pub fn refund(&mut self, name: &OrgName, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(name) {
            let cost = tokens(cost);
            bucket.level = (bucket.level + cost).min(bucket.burst);
        }
    }

    /// Charges a retry of a request that may have run.
    ///
    /// The request was admitted before, so the retry is not refused. Later requests find fewer
    /// tokens.
    pub fn charge(&mut self, name: &OrgName, cost: u64, now: Moment) {
        let share = self.host_counts.share();
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.fill(share, now);
            bucket.level -= tokens(cost);
            bucket.round_spent += tokens(cost);
        }
        *self.spent.entry(name.clone()).or_default() += cost;
    }

    /// Returns the tokens spent at this host since its start, by organisation.
    pub fn spent(&self) -> impl Iterator<Item = (&OrgName, u64)> {
        self.spent.iter().map(|(name, spent)| (name, *spent))
    }

    /// Debits tokens that were spent at another host.
    pub fn debit(&mut self, name: &OrgName, spent: u64, now: Moment) {
        let share = self.host_counts.share();
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.fill(share, now);
            let spent = tokens(spent);
            bucket.level -= spent;
            bucket.others_average += spent;
        }
    }

    /// Starts a new round, after all reports of the last one were debited.
    pub fn begin_round(&mut self, now: Moment) {
        let share = self.host_counts.share();
        let reachable = tokens(self.host_counts.reachable.max(1));
        for bucket in self.buckets.values_mut() {
            let span = now.since(bucket.at).as_secs_f64();
            let retried = bucket.rate * share * span / reachable;
            bucket.rejected_cost = (bucket.rejected_cost - retried).max(0.0);
            bucket.fill(share, now);
            bucket.begin_round();
        }
    }
}

impl Bucket {
    /// Returns whether a request exceeds this host's share of a scarce bucket.
    ///
    /// The first request of a round never does.
    fn is_beyond_share(&self, cost: f64, reachable: f64) -> bool {
        if self.level > self.burst * SCARCE_PERCENT / 100.0 || self.round_spent == 0.0 {
            return false;
        }
        let recent = self.own_average / (self.own_average + self.others_average).max(1.0);
        let part = (recent.max(1.0 / reachable) * SHARE_FACTOR).min(1.0);
        self.round_spent + cost > self.round_level.max(0.0) * part
    }

    fn begin_round(&mut self) {
        self.own_average = (self.own_average + self.round_spent) * ROUND_DECAY;
        self.others_average *= ROUND_DECAY;
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
