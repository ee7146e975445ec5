//! Token buckets that limit each organisation's spending over all hosts.
//!
//! Every host keeps a copy of the whole bucket of each organisation. It debits what it spends itself
//! and reports that along the tree to the first root, which debits everything. In return each host
//! adopts the level of the host that it reports to, less what it has not reported yet. Copies thus
//! agree within a few rounds of the exchange, whatever a host missed while it was busy, cut off or
//! between two parents.
//!
//! A bucket is refilled only by the share of hosts within reach, because the others may be spending
//! their share. Hosts that were in the smaller part of a divided fleet, or have just started, adopt
//! the levels of the larger part. The design handles an organisation that sends several times its
//! rate, spread unevenly over the hosts, while hosts start, stop and lose contact with each other.

mod bucket;
mod spending;

use std::time::Duration;

use derive_more::{Display, Error};
use eelgrasshill_domain::{FastMap, Moment, OrgName, scalar};

use crate::Organisation;
use bucket::{Bucket, FleetView};
use spending::Spending;
pub use spending::SpentTokens;

/// Time after which a host uses what it knows itself, as no other host knew better.
const JOIN_TIME: Duration = Duration::from_secs(1);

/// Maximum retry delay for callers. Callers that would have to wait longer give up before.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

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

    fn is_majority(self) -> bool {
        self.reachable * 2 > self.registered
    }
}

/// Error for a request that exceeds its organisation's rate limit, with what decided it.
#[derive(Clone, Copy, Debug, PartialEq, Display, Error)]
#[display(
    "level={level:.0} asked={asked:.0}/s rejected={rejected_cost:.0} hosts={}/{}",
    host_counts.reachable,
    host_counts.registered
)]
pub struct RateExceeded {
    /// Time until the request can be admitted.
    pub retry_after: Duration,
    /// Tokens in the bucket; negative if it is overdrawn.
    pub level: f64,
    /// Tokens per second that are requested at this host.
    pub asked: f64,
    /// Tokens of rejected requests that are expected to be retried at this host.
    pub rejected_cost: f64,
    /// Hosts over which the limit was shared.
    pub host_counts: HostCounts,
}

/// Whether a host's bucket levels are those of most hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// At most half of the hosts are within reach since then.
    Minority(Moment),
    /// Most hosts are within reach since then, but no levels of theirs were adopted.
    Joining(Moment),
    /// The levels agree with those of most hosts.
    Settled,
}

impl Standing {
    /// Returns whether the requests of the hosts within reach are known by now.
    fn knows_asked(self, now: Moment) -> bool {
        match self {
            Self::Minority(since) | Self::Joining(since) => now.since(since) >= JOIN_TIME,
            Self::Settled => true,
        }
    }
}

/// The token buckets of all organisations at one host.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    buckets: FastMap<OrgName, Bucket>,
    spending: FastMap<OrgName, Spending>,
    host_counts: HostCounts,
    standing: Standing,
    is_first_root: bool,
}

impl Default for RateLimiter {
    fn default() -> Self {
        Self {
            buckets: FastMap::default(),
            spending: FastMap::default(),
            host_counts: HostCounts::UNKNOWN,
            standing: Standing::Minority(Moment(0)),
            is_first_root: false,
        }
    }
}

impl RateLimiter {
    fn view(&self, now: Moment) -> FleetView {
        FleetView {
            share: self.host_counts.share(),
            reachable: tokens(self.host_counts.reachable.max(1)),
            knows_asked: self.standing.knows_asked(now),
            is_first_root: self.is_first_root,
        }
    }

    /// Applies the limits of a configuration; a lowered limit takes effect at once.
    ///
    /// New buckets start partly filled, because earlier spending is unknown.
    pub fn configure<'a>(&mut self, rows: impl Iterator<Item = &'a Organisation>, now: Moment) {
        let view = self.view(now);
        let mut buckets = FastMap::default();
        for row in rows.filter(|row| row.rate > 0) {
            let known = self.buckets.remove(&row.name);
            let is_new = known.is_none();
            let mut bucket = known.unwrap_or_else(|| Bucket::new(now));
            bucket.advance(view, now);
            bucket.set_limits(row);
            if is_new {
                bucket.fill_initially(view);
            }
            buckets.insert(row.name.clone(), bucket);
        }
        self.buckets = buckets;
    }

    /// Updates the host counts and scales the buckets accordingly.
    pub fn set_host_counts(&mut self, host_counts: HostCounts, now: Moment) {
        let before = self.view(now);
        self.host_counts = host_counts;
        let is_majority = host_counts.is_majority();
        match self.standing {
            Standing::Minority(_) if is_majority => self.standing = Standing::Joining(now),
            Standing::Joining(_) | Standing::Settled if !is_majority => {
                self.standing = Standing::Minority(now);
            }
            Standing::Joining(since) if now.since(since) >= JOIN_TIME => {
                self.standing = Standing::Settled;
            }
            Standing::Minority(_) | Standing::Joining(_) | Standing::Settled => {}
        }
        let after = self.view(now);
        for bucket in self.buckets.values_mut() {
            bucket.rescale(before, after, now);
        }
    }

    /// Sets how many tokens per second are requested at other hosts, by organisation.
    pub fn set_asked_elsewhere(&mut self, asked: &FastMap<OrgName, u64>, now: Moment) {
        let view = self.view(now);
        for (name, bucket) in &mut self.buckets {
            bucket.advance(view, now);
            let elsewhere = asked.get(name).map_or(0.0, |rate| tokens(*rate));
            bucket.refresh(elsewhere);
        }
    }

    /// Returns how many tokens per second are requested at this host, by organisation.
    pub fn asked(&mut self, now: Moment) -> FastMap<OrgName, u64> {
        let view = self.view(now);
        let buckets = self.buckets.iter_mut();
        let asked = buckets.map(|(name, bucket)| {
            bucket.advance(view, now);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "rates are positive and far below 2^52"
            )]
            let rate = bucket.asked() as u64;
            (name.clone(), rate)
        });
        asked.filter(|(_name, rate)| *rate > 0).collect()
    }

    /// Takes the tokens of a request from its organisation's bucket.
    ///
    /// # Errors
    ///
    /// Returns [`RateExceeded`] if the request cannot be admitted now.
    pub fn take(&mut self, name: &OrgName, cost: u64, now: Moment) -> Result<(), RateExceeded> {
        let view = self.view(now);
        if let Some(bucket) = self.buckets.get_mut(name)
            && let Err(seconds) = bucket.take(tokens(cost), view, now)
        {
            let retry_after = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_DELAY);
            return Err(RateExceeded {
                retry_after: retry_after.min(MAX_RETRY_DELAY),
                level: bucket.level(),
                asked: bucket.asked(),
                rejected_cost: bucket.rejected_cost(),
                host_counts: self.host_counts,
            });
        }
        self.spending.entry(name.clone()).or_default().add(cost);
        Ok(())
    }

    /// Refunds the tokens of a request that did not run.
    pub fn refund(&mut self, name: &OrgName, cost: u64) {
        self.spending.entry(name.clone()).or_default().refund(cost);
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.refund(tokens(cost));
        }
    }

    /// Charges a retry of a request that may have run.
    ///
    /// The request was admitted before, so the retry is not refused. Later requests find fewer
    /// tokens.
    pub fn charge(&mut self, name: &OrgName, cost: u64, now: Moment) {
        self.spending.entry(name.clone()).or_default().add(cost);
        let view = self.view(now);
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.advance(view, now);
            bucket.debit(tokens(cost));
        }
    }

    /// Debits tokens that another host reports.
    pub fn debit(&mut self, name: &OrgName, spent: u64, now: Moment) {
        self.spending.entry(name.clone()).or_default().add(spent);
        let view = self.view(now);
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.advance(view, now);
            bucket.debit_reported(tokens(spent));
        }
    }

    /// Returns the spending to report, by organisation.
    #[must_use]
    pub fn report(&self) -> FastMap<OrgName, SpentTokens> {
        let spending = self.spending.iter();
        spending
            .map(|(name, spending)| (name.clone(), spending.report()))
            .collect()
    }

    /// Sets whether this host is the first root, which reports its spending to none.
    ///
    /// It keeps the buckets for all hosts that report to it. What it spent itself is not debited
    /// elsewhere later: parts of the fleet that cannot reach each other spend their own share.
    pub fn set_first_root(&mut self, is_first_root: bool) {
        self.is_first_root = is_first_root;
        if is_first_root {
            let report = self.report();
            self.confirm_report(&report);
        }
    }

    /// Notes that another host has debited the spending of a report.
    pub fn confirm_report(&mut self, report: &FastMap<OrgName, SpentTokens>) {
        for (name, spent) in report {
            self.spending
                .entry(name.clone())
                .or_default()
                .confirm(*spent);
        }
    }

    /// Returns the level of each bucket, scaled to that of all registered hosts.
    pub fn levels(&mut self, now: Moment) -> FastMap<OrgName, i64> {
        let view = self.view(now);
        let buckets = self.buckets.iter_mut();
        buckets
            .map(|(name, bucket)| {
                bucket.advance(view, now);
                let level = bucket.level();
                let scale = if level > 0.0 { view.share } else { 1.0 };
                #[expect(
                    clippy::cast_possible_truncation,
                    reason = "levels are far below 2^52 and need no fractions"
                )]
                let level = (level / scale) as i64;
                (name.clone(), level)
            })
            .collect()
    }

    /// Returns whether the levels agree with those of most hosts, so that others may adopt them.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.standing == Standing::Settled
    }

    /// Replaces the levels by those of another host, less what this host has not reported yet.
    pub fn adopt(&mut self, levels: &FastMap<OrgName, i64>, now: Moment) {
        let view = self.view(now);
        for (name, level) in levels {
            let Some(bucket) = self.buckets.get_mut(name) else {
                continue;
            };
            let pending = self.spending.get(name).map_or(0.0, |one| one.pending());
            #[expect(clippy::cast_precision_loss, reason = "levels are far below 2^52")]
            let level = *level as f64;
            let scaled = if level > 0.0 {
                level * view.share
            } else {
                level
            };
            bucket.advance(view, now);
            bucket.adopt(scaled - pending, view);
        }
        if matches!(self.standing, Standing::Joining(_)) {
            self.standing = Standing::Settled;
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn tokens(count: u64) -> f64 {
    count as f64
}
