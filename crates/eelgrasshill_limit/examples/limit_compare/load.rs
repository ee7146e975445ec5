//! The same arrivals for every design, and the single bucket that judges them.

use eelgrasshill_domain::Moment;
use eelgrasshill_limit::{AllSafeguards, Amount, Bucket, Share};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Zones of the fleet.
pub const ZONES: usize = 3;

/// When arrivals begin in ms; before it the fleet starts.
pub const START: u64 = 10_000;

/// When a fault begins in ms.
pub const FAULT: u64 = 20_000;

/// When a fault ends in ms.
pub const HEALED: u64 = 40_000;

/// When arrivals end in ms.
pub const END: u64 = 50_000;

/// How long a request may wait in ms.
pub const PATIENCE: u64 = 500;

/// Tokens that accrue in a second.
pub const RATE: u64 = 20_000;

/// Most tokens saved up.
pub const BURST: u64 = 60_000;

/// Demand outside of peaks in tokens per second.
const DEMAND: u64 = 12_500;

/// Mean tokens that a request uses, three quarters of its cost.
const MEAN_USED: u64 = 150;

/// Demand during a peak, in multiples of that outside.
const PEAK: u64 = 3;

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: u64,
    pub host: usize,
    pub cost: u64,
    pub used: u64,
    /// When its true cost is known in ms after its admission.
    pub runs: u64,
}

/// Where demand falls and what fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    Even,
    HotHost,
    HotZone,
    DeadHome,
    CutZone,
    LogOut,
    OverRate,
}

impl Case {
    pub const ALL: [Self; 7] = [
        Self::Even,
        Self::HotHost,
        Self::HotZone,
        Self::DeadHome,
        Self::CutZone,
        Self::LogOut,
        Self::OverRate,
    ];

    pub const fn name(self) -> &'static str {
        match self {
            Self::Even => "even load",
            Self::HotHost => "one hot host",
            Self::HotZone => "one hot zone",
            Self::DeadHome => "a dead home",
            Self::CutZone => "a cut zone",
            Self::LogOut => "log out",
            Self::OverRate => "demand over the rate",
        }
    }

    /// Returns whether two zones cannot reach each other, or a zone the log.
    pub fn is_cut(self, zone: usize, now: u64) -> bool {
        self == Self::CutZone && zone == ZONES - 1 && (FAULT..HEALED).contains(&now)
    }

    pub fn is_log_out(self, now: u64) -> bool {
        self == Self::LogOut && (FAULT..HEALED).contains(&now)
    }

    pub fn is_dead(self, now: u64) -> bool {
        self == Self::DeadHome && now >= FAULT
    }
}

/// Makes the arrivals of a case; the host that will die gets none.
pub fn arrivals(case: Case, hosts: usize, dead: usize, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut list = Vec::new();
    let (mut at, mut peak) = (START, 0);
    while at < END {
        if rng.random_range(0..10_000) == 0 {
            peak = at + 1_000;
        }
        let times = if at < peak { PEAK } else { 1 };
        let demand = DEMAND * times * if case == Case::OverRate { 2 } else { 1 };
        at += 1;
        if rng.random_range(0..MEAN_USED * 1_000) >= demand {
            continue;
        }
        let cost = rng.random_range(20..=380);
        list.push(Arrival {
            at,
            host: pick(case, hosts, dead, &mut rng),
            cost,
            used: cost * rng.random_range(50..=100) / 100,
            runs: rng.random_range(100..=3_000),
        });
    }
    list
}

fn pick(case: Case, hosts: usize, dead: usize, rng: &mut StdRng) -> usize {
    loop {
        let host = rng.random_range(0..hosts);
        let host = match case {
            Case::HotHost if rng.random_range(0..10) < 8 => 0,
            Case::HotZone if rng.random_range(0..10) < 8 => host / ZONES * ZONES,
            _ => host,
        };
        if host != dead {
            return host;
        }
    }
}

/// Returns the limit of the organisation.
pub fn limit() -> Share {
    Share {
        rate: RATE * 1_000,
        burst: Amount::from_tokens(BURST),
    }
}

/// A bucket with reservations: the judge, and the counter of some designs.
#[derive(Debug)]
pub struct Counter {
    bucket: Bucket<AllSafeguards>,
    open: Vec<(u64, u64, u64)>,
}

impl Counter {
    pub fn new(share: Share) -> Self {
        let bucket = Bucket::new(share, Moment(0), Moment(u64::MAX)).with_full_level();
        let open = Vec::new();
        Self { bucket, open }
    }

    pub fn admit(&mut self, arrival: &Arrival, now: u64) -> bool {
        self.settle(now);
        let cost = Amount::from_tokens(arrival.cost);
        if !self.take(cost) {
            return false;
        }
        let unused = arrival.cost - arrival.used;
        self.open.push((now + arrival.runs, now, unused));
        true
    }

    fn take(&mut self, cost: Amount) -> bool {
        let until = Moment(u64::MAX - 1);
        let lent = self.bucket.lend(cost, cost, until);
        self.bucket.mark_spent(lent, until);
        !lent.is_zero()
    }

    /// Takes what there is, at most an amount.
    pub fn drain(&mut self, most: u64, now: u64) -> u64 {
        self.bucket.advance(Moment(now));
        let amount = most.min(self.bucket.level().tokens());
        if self.take(Amount::from_tokens(amount)) {
            amount
        } else {
            0
        }
    }

    /// Takes tokens that somebody else has spent already, down to an empty bucket.
    pub fn note(&mut self, used: u64, now: u64) {
        self.drain(used, now);
    }

    /// Gives back tokens that were taken at a moment.
    pub fn refund(&mut self, amount: u64, since: u64, now: u64) {
        self.bucket.advance(Moment(now));
        self.bucket
            .refund(Amount::from_tokens(amount), Moment(since));
    }

    fn settle(&mut self, now: u64) {
        self.bucket.advance(Moment(now));
        let due: Vec<_> = self.open.extract_if(.., |open| open.0 <= now).collect();
        for (_due, since, unused) in due {
            self.refund(unused, since, now);
        }
    }
}

/// What a design did with the arrivals.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The moment and the tokens of each admission.
    pub spends: Vec<(u64, u64)>,
    /// Whether each arrival was admitted.
    pub admitted: Vec<bool>,
    /// Messages in all.
    pub messages: u64,
    /// Messages of the busiest home or counter.
    pub busiest: u64,
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

    /// Returns the most tokens of any window over its bound, in thousandths.
    pub fn worst_mille(&self) -> u64 {
        let mut worst = 0;
        for (first, (from, _used)) in self.spends.iter().enumerate() {
            let mut sum = 0;
            for (to, used) in &self.spends[first..] {
                sum += used;
                let bound = BURST * 1_000 + RATE * (to - from);
                worst = worst.max(sum * 1_000_000 / bound);
            }
        }
        worst
    }

    /// Returns the requests that were refused and that the judge admits, and all of those.
    pub fn wrongful(&self, arrivals: &[Arrival]) -> (usize, usize) {
        let mut judge = Counter::new(limit());
        let within: Vec<bool> = arrivals.iter().map(|a| judge.admit(a, a.at)).collect();
        let pairs = || within.iter().zip(&self.admitted);
        let refused = pairs().filter(|(within, admitted)| **within && !**admitted);
        (
            refused.count(),
            pairs().filter(|(within, _)| **within).count(),
        )
    }
}
