//! Token amounts and shares as integers, so that accrual is exact.
//!
//! One token is a million micro-tokens. A rate in micro-tokens per millisecond equals the same
//! number of milli-tokens per second, so rate times milliseconds is always a whole amount. Rounding
//! a share costs less than a thousandth of a token per second.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::time::Duration;

use eelgrasshill_domain::{Organisation, record, scalar};

/// Micro-tokens in one token.
const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;

/// Converts tokens per second to the unit of [`Share::milli_tokens_per_second`].
const MILLI_TOKENS_PER_TOKEN: u64 = 1_000;

scalar! {
    /// An amount of micro-tokens with saturating arithmetic.
    #[derive(Default)]
    pub struct Amount(pub u64);
}

impl Amount {
    /// An amount of zero tokens.
    pub const ZERO: Self = Self(0);

    /// Converts a number of whole tokens to an amount.
    #[must_use]
    pub const fn from_tokens(tokens: u64) -> Self {
        Self(tokens.saturating_mul(MICRO_TOKENS_PER_TOKEN))
    }

    /// Returns the number of whole tokens, rounded down.
    #[must_use]
    pub const fn tokens(self) -> u64 {
        self.0 / MICRO_TOKENS_PER_TOKEN
    }

    /// Returns whether the amount is zero.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Returns the amount that accrues in `millis` at `rate` micro-tokens per millisecond.
    #[must_use]
    pub const fn accrued(rate: u64, millis: u64) -> Self {
        Self(rate.saturating_mul(millis))
    }

    /// Returns how long the amount takes to accrue at `rate`, rounded up.
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
    /// A rate and a burst: a whole limit, or one lender's part of it.
    #[derive(Copy, Default)]
    pub struct Share {
        /// The accrual rate, which is also the number of micro-tokens per millisecond.
        #[serde(rename = "rate")]
        pub milli_tokens_per_second: u64,
        /// The most tokens that may be saved up or lent at once.
        pub burst: Amount,
    }
}

impl From<&Organisation> for Share {
    fn from(row: &Organisation) -> Self {
        Self {
            milli_tokens_per_second: row.rate.saturating_mul(MILLI_TOKENS_PER_TOKEN),
            burst: Amount::from_tokens(row.burst),
        }
    }
}

impl Share {
    /// Returns whether rate and burst are both zero.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.milli_tokens_per_second == 0 && self.burst.is_zero()
    }

    /// Returns whether both rate and burst are within those of `limit`.
    #[must_use]
    pub fn fits(self, limit: Self) -> bool {
        self.milli_tokens_per_second <= limit.milli_tokens_per_second && self.burst <= limit.burst
    }

    /// Subtracts the rate and burst of another share, down to zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            milli_tokens_per_second: self
                .milli_tokens_per_second
                .saturating_sub(other.milli_tokens_per_second),
            burst: self.burst - other.burst,
        }
    }

    /// Adds the rate and burst of another share.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            milli_tokens_per_second: self
                .milli_tokens_per_second
                .saturating_add(other.milli_tokens_per_second),
            burst: self.burst + other.burst,
        }
    }

    /// Divides the share into `parts` equal parts, rounded down, and returns one.
    #[must_use]
    pub fn part(self, parts: u64) -> Self {
        let parts = parts.max(1);
        Self {
            milli_tokens_per_second: self.milli_tokens_per_second / parts,
            burst: Amount(self.burst.0 / parts),
        }
    }

    /// Returns the part of `loss` that falls on this share of `whole`.
    ///
    /// It is proportional to this share and rounded up.
    #[must_use]
    pub fn proportional_part(self, loss: Self, whole: Self) -> Self {
        Self {
            milli_tokens_per_second: proportion(
                self.milli_tokens_per_second,
                loss.milli_tokens_per_second,
                whole.milli_tokens_per_second,
            ),
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
