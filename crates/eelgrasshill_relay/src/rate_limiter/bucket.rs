//! The token bucket of one organisation at one host.
//!
//! Each host takes the part of the rate that corresponds to its part of the requested tokens of all
//! hosts, its allowance. While tokens are left in the bucket, it may go beyond that by a few times
//! its part of them. Hosts that hear late of each other's spending would otherwise race for the
//! tokens, and one whose copy of the bucket is overdrawn would get none while others take all.

use std::ops::RangeInclusive;
use std::time::Duration;

use eelgrasshill_domain::Moment;

use super::tokens;
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

/// Factor by which a host may take more than its part of the tokens that are left.
///
/// Requests move among hosts, so the part is only an estimate.
const PART_FACTOR: f64 = 3.0;

/// Part of the burst in a new bucket.
///
/// With empty buckets, hosts that all start at once would refuse requests within the limit. What
/// the platform's window tolerates above the rate covers the initial tokens.
const INITIAL_FILL_RATIO: f64 = 0.4;

/// Change of the allowances, relative to the rate, when the level changes by a whole burst.
const ALLOWANCE_GAIN: f64 = 0.5;

/// Minimum and maximum of that change.
///
/// Hosts of an overdrawn bucket pay it off with half of the rate, and admit requests with the rest.
const ALLOWANCE_CHANGES: RangeInclusive<f64> = -0.5..=0.1;

/// Time over which an unused allowance accumulates.
const ALLOWANCE_SPAN: Duration = Duration::from_millis(500);

/// Time constant of the average of requested tokens.
const ASKED_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// What a host knows of the hosts that share the limits.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetView {
    /// Share of the registered hosts that are within reach.
    pub(super) share: f64,
    /// Hosts within reach, including this one.
    pub(super) reachable: f64,
    /// Whether the requested tokens of the hosts within reach are known.
    pub(super) knows_asked: bool,
    /// Whether the other hosts report their spending to this host.
    pub(super) is_first_root: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Bucket {
    // The parts of the configured limits that are used, in tokens per second and tokens.
    rate: f64,
    burst: f64,
    // Tokens left at the moment `at`; negative if the bucket is overdrawn.
    level: f64,
    at: Moment,
    // Tokens that the level assumes other hosts to have spent since a level was adopted, and that
    // they have not reported to this host.
    assumed: f64,
    // Tokens that this host may take without the credit; negative after it took more.
    allowance: f64,
    // Tokens per second that are requested at this host, admitted or not, and those at the last
    // refresh and at other hosts. The last two are about equally old.
    asked: f64,
    asked_before: f64,
    asked_elsewhere: f64,
    // Tokens of rejected requests that are expected to be retried here.
    rejected_cost: f64,
}

impl Bucket {
    /// Creates a bucket without limits, whose first request is admitted.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            level: 0.0,
            at: now,
            assumed: 0.0,
            allowance: 1.0,
            asked: 0.0,
            asked_before: 0.0,
            asked_elsewhere: 0.0,
            rejected_cost: 0.0,
        }
    }

    pub(super) fn set_limits(&mut self, limits: &Organisation) {
        self.rate = tokens(limits.rate) * RATE_PERCENT / 100.0;
        self.burst = tokens(limits.burst) * BURST_PERCENT / 100.0;
        self.level = self.level.min(self.burst);
    }

    pub(super) fn fill_initially(&mut self, view: FleetView) {
        self.level = self.burst * INITIAL_FILL_RATIO * view.share;
    }

    /// Starts to use new totals of the other hosts.
    pub(super) fn refresh(&mut self, asked_elsewhere: f64) {
        self.asked_elsewhere = asked_elsewhere;
        self.asked_before = self.asked;
    }

    /// Returns the tokens per second that are requested at this host, admitted or not.
    pub(super) fn asked(&self) -> f64 {
        self.asked
    }

    pub(super) fn level(&self) -> f64 {
        self.level
    }

    pub(super) fn rejected_cost(&self) -> f64 {
        self.rejected_cost
    }

    /// Scales what is left when the share of hosts within reach changes.
    ///
    /// Unreachable hosts keep their part of the bucket, and bring back what is left of it when they
    /// return.
    pub(super) fn rescale(&mut self, before: FleetView, after: FleetView, now: Moment) {
        self.advance(before, now);
        if self.level > 0.0 {
            let scaled = self.level * after.share / before.share;
            self.level = scaled.min(self.burst * after.share);
        }
    }

    /// Takes the tokens of a request.
    ///
    /// # Errors
    ///
    /// Returns the seconds until the request can be admitted, if it cannot be now.
    pub(super) fn take(&mut self, cost: f64, view: FleetView, now: Moment) -> Result<(), f64> {
        self.advance(view, now);
        self.asked += cost / ASKED_TIME_CONSTANT.as_secs_f64();
        if self.allowance + self.credit(view) <= 0.0 {
            let allowed = self.allowed_rate(view).max(1.0);
            // Requests that were rejected before are expected to be retried first.
            let wait = (cost + self.rejected_cost - self.allowance) / allowed;
            self.rejected_cost += cost;
            return Err(wait);
        }
        self.debit(cost);
        self.allowance -= cost;
        Ok(())
    }

    /// Returns the tokens of the bucket that this host may take beyond its allowance.
    fn credit(&self, view: FleetView) -> f64 {
        let part = self.part(view).max(1.0 / view.reachable);
        self.level.max(0.0) * (part * PART_FACTOR).min(1.0)
    }

    /// Returns this host's part of the requested tokens.
    fn part(&self, view: FleetView) -> f64 {
        let asked = self.asked_before + self.asked_elsewhere;
        if view.knows_asked && asked > 0.0 {
            self.asked_before / asked
        } else {
            1.0 / view.reachable
        }
    }

    /// Returns the tokens per second that other hosts are assumed to spend until their next report.
    ///
    /// The level of the first root already contains these reports when it is adopted.
    fn unseen_rate(&self, view: FleetView) -> f64 {
        if view.is_first_root || !view.knows_asked {
            return 0.0;
        }
        let others = 1.0 - self.part(view);
        self.asked_elsewhere.min(self.rate * view.share * others)
    }

    /// Returns the tokens per second by which the allowance rises.
    fn allowed_rate(&self, view: FleetView) -> f64 {
        let part = self.part(view);
        let change = ALLOWANCE_GAIN * self.level / (self.burst * view.share).max(1.0);
        let change = change.clamp(*ALLOWANCE_CHANGES.start(), *ALLOWANCE_CHANGES.end());
        self.rate * view.share * part * (1.0 + change)
    }

    pub(super) fn debit(&mut self, cost: f64) {
        self.level -= cost;
    }

    /// Debits tokens that another host reports.
    pub(super) fn debit_reported(&mut self, spent: f64) {
        let expected = spent.min(self.assumed);
        self.assumed -= expected;
        self.level -= spent - expected;
    }

    pub(super) fn refund(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.burst);
        self.allowance += cost;
    }

    pub(super) fn adopt(&mut self, level: f64, view: FleetView) {
        self.level = level.min(self.burst * view.share);
        self.assumed = 0.0;
    }

    /// Applies the time that has passed.
    pub(super) fn advance(&mut self, view: FleetView, now: Moment) {
        let span = now.since(self.at).as_secs_f64();
        self.at = now;
        let allowed = self.allowed_rate(view);
        let max_allowance = allowed * ALLOWANCE_SPAN.as_secs_f64();
        self.allowance = (self.allowance + allowed * span).min(max_allowance.max(1.0));
        self.rejected_cost = (self.rejected_cost - allowed * span).max(0.0);
        let assumed = self.unseen_rate(view) * span;
        self.assumed += assumed;
        let level = self.level + self.rate * view.share * span - assumed;
        self.level = level.min(self.burst * view.share);
        self.asked *= (-span / ASKED_TIME_CONSTANT.as_secs_f64()).exp();
    }
}
