//! Generates the same arrivals for every design and judges the outcome by a single bucket.

use std::ops::RangeInclusive;

use eelgrasshill_domain::Moment;
use eelgrasshill_limit::{AllSafeguards, Amount, Bucket, Share};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The number of zones.
pub const ZONES: usize = 3;

/// When arrivals start; the fleet starts up before.
pub const ARRIVALS_START_MS: u64 = 10_000;

/// When a fault starts.
pub const FAULT_START_MS: u64 = 20_000;

/// When a fault ends; a lender that fails stays down.
pub const FAULT_END_MS: u64 = 40_000;

/// When arrivals end.
pub const ARRIVALS_END_MS: u64 = 50_000;

/// The longest wait of a request.
pub const MAX_WAIT_MS: u64 = 500;

/// The rate of the limit.
pub const RATE_TOKENS_PER_SECOND: u64 = 20_000;

/// The burst of the limit.
pub const BURST_TOKENS: u64 = 60_000;

/// Demand outside of peaks.
const DEMAND_TOKENS_PER_SECOND: u64 = 12_500;

/// Cost of a request, the part of it that is used, and the time until that is known.
const COST_TOKENS: RangeInclusive<u64> = 20..=380;
const USED_PERCENT: RangeInclusive<u64> = 50..=100;
const DURATION_MS: RangeInclusive<u64> = 100..=3_000;

/// Mean use of a request: the mean of [`USED_PERCENT`] of the mean of [`COST_TOKENS`].
const MEAN_USED_TOKENS: u64 = 150;

/// Demand during a peak, relative to that outside.
const PEAK_FACTOR: u64 = 3;

/// Mean time between the starts of two peaks.
const MEAN_PEAK_INTERVAL_MS: i32 = 10_000;

/// Tenths of the requests that go to the hot host or zone, besides its equal part of the others.
const HOT_TENTHS: i32 = 8;

/// Duration of a peak.
const PEAK_MS: u64 = 1_000;

/// A request, its cost and its actual use.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: u64,
    pub host: usize,
    pub cost: u64,
    pub used: u64,
    /// Time from admission until the actual use is known.
    pub duration_ms: u64,
}

/// The distribution of demand, or a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    EvenLoad,
    HotHost,
    HotZone,
    DeadLender,
    PartitionedZone,
    LogOutage,
    OverRate,
}

impl Scenario {
    pub const ALL: [Self; 7] = [
        Self::EvenLoad,
        Self::HotHost,
        Self::HotZone,
        Self::DeadLender,
        Self::PartitionedZone,
        Self::LogOutage,
        Self::OverRate,
    ];

    pub const fn name(self) -> &'static str {
        match self {
            Self::EvenLoad => "even load",
            Self::HotHost => "one hot host",
            Self::HotZone => "one hot zone",
            Self::DeadLender => "a dead lender",
            Self::PartitionedZone => "a partitioned zone",
            Self::LogOutage => "log outage",
            Self::OverRate => "demand over the rate",
        }
    }

    /// Returns whether a zone is cut off from other zones and the log.
    pub fn is_partitioned(self, zone: usize, now: u64) -> bool {
        self == Self::PartitionedZone
            && zone == ZONES - 1
            && (FAULT_START_MS..FAULT_END_MS).contains(&now)
    }

    pub fn is_log_down(self, now: u64) -> bool {
        self == Self::LogOutage && (FAULT_START_MS..FAULT_END_MS).contains(&now)
    }

    pub fn is_lender_down(self, now: u64) -> bool {
        self == Self::DeadLender && now >= FAULT_START_MS
    }
}

/// Generates the arrivals of a scenario; the host that will fail gets none.
pub fn arrivals(scenario: Scenario, hosts: usize, failed_host: usize, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let (mut at, mut peak_end_ms) = (ARRIVALS_START_MS, 0);
    while at < ARRIVALS_END_MS {
        if rng.random_range(0..MEAN_PEAK_INTERVAL_MS) == 0 {
            peak_end_ms = at + PEAK_MS;
        }
        let demand_factor = if at < peak_end_ms { PEAK_FACTOR } else { 1 };
        let demand = DEMAND_TOKENS_PER_SECOND
            * demand_factor
            * if scenario == Scenario::OverRate { 2 } else { 1 };
        at += 1;
        if rng.random_range(0..MEAN_USED_TOKENS * 1_000) >= demand {
            continue;
        }
        let cost = rng.random_range(COST_TOKENS);
        arrivals.push(Arrival {
            at,
            host: pick_host(scenario, hosts, failed_host, &mut rng),
            cost,
            used: cost * rng.random_range(USED_PERCENT) / 100,
            duration_ms: rng.random_range(DURATION_MS),
        });
    }
    arrivals
}

fn pick_host(scenario: Scenario, hosts: usize, failed_host: usize, rng: &mut StdRng) -> usize {
    // Host `n` is in zone `n % ZONES`, so the multiples of ZONES are in the hot zone.
    loop {
        let host = rng.random_range(0..hosts);
        let host = match scenario {
            Scenario::HotHost if rng.random_range(0..10) < HOT_TENTHS => 0,
            Scenario::HotZone if rng.random_range(0..10) < HOT_TENTHS => host / ZONES * ZONES,
            _ => host,
        };
        if host != failed_host {
            return host;
        }
    }
}

/// Returns the limit of the organisation.
pub fn limit() -> Share {
    Share {
        milli_tokens_per_second: RATE_TOKENS_PER_SECOND * 1_000,
        burst: Amount::from_tokens(BURST_TOKENS),
    }
}

/// A bucket with reservations, for the reference and some of the designs.
#[derive(Debug)]
pub struct ReservingBucket {
    bucket: Bucket<AllSafeguards>,
    /// Settling time, time of admission and unused tokens of each open reservation.
    reservations: Vec<(u64, u64, u64)>,
}

impl ReservingBucket {
    pub fn new(share: Share) -> Self {
        let bucket = Bucket::new(share, Moment(0), Moment(u64::MAX)).with_full_level();
        let reservations = Vec::new();
        Self {
            bucket,
            reservations,
        }
    }

    pub fn admit(&mut self, arrival: &Arrival, now: u64) -> bool {
        self.settle(now);
        let cost = Amount::from_tokens(arrival.cost);
        if !self.take(cost) {
            return false;
        }
        let unused = arrival.cost - arrival.used;
        self.reservations
            .push((now + arrival.duration_ms, now, unused));
        true
    }

    fn take(&mut self, cost: Amount) -> bool {
        let until = Moment(u64::MAX - 1);
        let lent = self.bucket.lend(cost, cost, until);
        self.bucket.mark_spent(lent, until);
        !lent.is_zero()
    }

    /// Takes the tokens there are, up to a maximum, and returns how many.
    pub fn take_up_to(&mut self, max_tokens: u64, now: u64) -> u64 {
        self.bucket.advance(Moment(now));
        let amount = max_tokens.min(self.bucket.level().tokens());
        if self.take(Amount::from_tokens(amount)) {
            amount
        } else {
            0
        }
    }

    /// Takes tokens that were already spent elsewhere, down to an empty bucket.
    pub fn take_used(&mut self, used: u64, now: u64) {
        self.take_up_to(used, now);
    }

    /// Refunds tokens that were taken at a given time.
    pub fn refund(&mut self, amount: u64, taken_at: u64, now: u64) {
        self.bucket.advance(Moment(now));
        self.bucket
            .refund(Amount::from_tokens(amount), Moment(taken_at));
    }

    fn settle(&mut self, now: u64) {
        self.bucket.advance(Moment(now));
        let due: Vec<_> = self
            .reservations
            .extract_if(.., |reservation| reservation.0 <= now)
            .collect();
        for (_due, admitted_at, unused) in due {
            self.refund(unused, admitted_at, now);
        }
    }
}

/// The admissions and messages of a design.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Time and used tokens of each admission.
    pub spends: Vec<(u64, u64)>,
    /// Whether each arrival was admitted.
    pub admitted: Vec<bool>,
    /// The number of messages.
    pub messages: u64,
    /// The requests that the busiest lender or counter receives; for gossip, the updates that each
    /// host sends.
    pub busiest_host_requests: u64,
}

impl Outcome {
    pub fn new(arrivals: usize) -> Self {
        Self {
            admitted: vec![false; arrivals],
            ..Self::default()
        }
    }

    pub fn admit(&mut self, index: usize, used: u64, now: u64) {
        self.admitted[index] = true;
        self.spends.push((now, used));
    }

    /// Returns the largest ratio of admitted tokens to the bound, in thousandths.
    pub fn worst_permille(&self) -> u64 {
        let mut worst = 0;
        for (first, (from, _used)) in self.spends.iter().enumerate() {
            let mut sum = 0;
            for (to, used) in &self.spends[first..] {
                sum += used;
                let bound_milli_tokens =
                    BURST_TOKENS * 1_000 + RATE_TOKENS_PER_SECOND * (to - from);
                worst = worst.max(sum * 1_000_000 / bound_milli_tokens);
            }
        }
        worst
    }

    /// Counts the requests that the reference admits: those that the design refused, and all.
    pub fn wrongly_refused(&self, arrivals: &[Arrival]) -> (usize, usize) {
        let mut reference = ReservingBucket::new(limit());
        let reference_admits: Vec<bool> =
            arrivals.iter().map(|a| reference.admit(a, a.at)).collect();
        let pairs = || reference_admits.iter().zip(&self.admitted);
        let refused = pairs().filter(|(expected, admitted)| **expected && !**admitted);
        (
            refused.count(),
            pairs().filter(|(expected, _)| **expected).count(),
        )
    }
}
