//! Amounts and shares of tokens in integers, so that accrual is exact.
//!
//! One token is a million micro-tokens. A rate in micro-tokens per millisecond, which is the same
//! number as milli-tokens per second, times a span in milliseconds is then a whole amount, and
//! shares of a small rate lose less than a thousandth of a token per second each.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::time::Duration;

use eelgrasshill_domain::{Organisation, record, scalar};

/// Micro-tokens in one token.
const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;

/// Micro-tokens per millisecond in one token per second.
const MILLI_TOKENS_PER_TOKEN: u64 = 1_000;

scalar! {
    /// A number of micro-tokens; sums and differences saturate.
    #[derive(Default)]
    pub struct Amount(pub u64);
}

impl Amount {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// Returns the amount of whole tokens.
    #[must_use]
    pub const fn from_tokens(tokens: u64) -> Self {
        Self(tokens.saturating_mul(MICRO_TOKENS_PER_TOKEN))
    }

    /// Returns the whole tokens of the amount, rounded down.
    #[must_use]
    pub const fn tokens(self) -> u64 {
        self.0 / MICRO_TOKENS_PER_TOKEN
    }

    /// Returns whether there are no tokens.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Returns what accrues in a span of milliseconds at a rate in micro-tokens per millisecond.
    #[must_use]
    pub const fn accrued(rate: u64, millis: u64) -> Self {
        Self(rate.saturating_mul(millis))
    }

    /// Returns the time in which the amount accrues at `rate`, rounded up.
    #[must_use]
    pub fn accrual_time(self, rate: u64) -> Duration {
        if rate == 0 {
            return Duration::MAX;
        }
        Duration::from_millis(self.0.div_ceil(rate))
    }
}

impl Add for Amount {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Amount {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, rhs: Self) {
        *self = *self - rhs;
    }
}

impl Sum for Amount {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, Add::add)
    }
}

record! {
    /// A part of an organisation's rate and burst.
    #[derive(Copy, Default)]
    pub struct Share {
        /// Micro-tokens that accrue in a millisecond.
        pub rate: u64,
        /// Most tokens that may be saved up or on loan.
        pub burst: Amount,
    }
}

impl From<&Organisation> for Share {
    fn from(row: &Organisation) -> Self {
        Self {
            rate: row.rate.saturating_mul(MILLI_TOKENS_PER_TOKEN),
            burst: Amount::from_tokens(row.burst),
        }
    }
}

impl Share {
    /// Returns whether rate and burst are both zero.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.rate == 0 && self.burst.is_zero()
    }

    /// Returns whether neither rate nor burst goes beyond the limit's.
    #[must_use]
    pub fn fits(self, limit: Self) -> bool {
        self.rate <= limit.rate && self.burst <= limit.burst
    }

    /// Returns rate and burst less those of another share.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            burst: self.burst - other.burst,
        }
    }

    /// Returns rate and burst added to those of another share.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            burst: self.burst + other.burst,
        }
    }

    /// Returns one of `parts` equal parts, rounded down.
    #[must_use]
    pub fn part(self, parts: u64) -> Self {
        let parts = parts.max(1);
        Self {
            rate: self.rate / parts,
            burst: Amount(self.burst.0 / parts),
        }
    }

    /// Returns this share's part of `loss`, in proportion to its part of `whole`, rounded up.
    #[must_use]
    pub fn proportional_part(self, loss: Self, whole: Self) -> Self {
        Self {
            rate: proportion(self.rate, loss.rate, whole.rate),
            burst: Amount(proportion(self.burst.0, loss.burst.0, whole.burst.0)),
        }
    }
}

/// Returns `part * loss / whole` rounded up, at most `part`.
fn proportion(part: u64, loss: u64, whole: u64) -> u64 {
    if whole == 0 {
        return part;
    }
    let product = u128::from(part) * u128::from(loss);
    let proportional_part = product.div_ceil(u128::from(whole));
    u64::try_from(proportional_part).map_or(part, |p| p.min(part))
}
