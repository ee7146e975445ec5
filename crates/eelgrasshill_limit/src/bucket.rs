//! The token bucket of one lender, with loans counted against its cap.
//!
//! With `level` the saved tokens and `held` the loans that may still be spent, the bucket keeps
//! `level + held <= burst` at all times. Tokens spent in a window come from that sum at its start or
//! accrue later, so no window admits more than `rate * t + burst`, however late a borrower spends.
//! The same holds for the sum over lenders, since their shares add up to the limit.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use eelgrasshill_domain::Moment;

use crate::headroom::HeadroomHistory;
use crate::{AllSafeguards, Amount, Safeguards, Share};

/// A token bucket whose tokens are lent to borrowers.
#[derive(Clone, Debug)]
pub struct Bucket<S = AllSafeguards> {
    share: Share,
    level: Amount,
    /// Lent tokens by the time at which they stop counting against the cap.
    holds: BTreeMap<Moment, Amount>,
    /// The sum of `holds`.
    held: Amount,
    headroom: HeadroomHistory,
    updated_at: Moment,
    accrual_end: Moment,
    safeguards: PhantomData<S>,
}

impl<S: Safeguards> Bucket<S> {
    /// Creates an empty bucket that accrues until `accrual_end`.
    #[must_use]
    pub fn new(share: Share, now: Moment, accrual_end: Moment) -> Self {
        let mut bucket = Self {
            share,
            level: Amount::ZERO,
            holds: BTreeMap::new(),
            held: Amount::ZERO,
            headroom: HeadroomHistory::default(),
            updated_at: now,
            accrual_end,
            safeguards: PhantomData,
        };
        bucket.record_headroom(now);
        bucket
    }

    /// Fills the bucket; safe only if nobody ever held the share.
    #[must_use]
    pub fn with_full_level(mut self) -> Self {
        self.level = self.cap();
        self.record_headroom(self.updated_at);
        self
    }

    /// Returns the tokens that can be lent.
    #[must_use]
    pub const fn level(&self) -> Amount {
        self.level
    }

    /// Returns the lent tokens that may still be spent.
    #[must_use]
    pub const fn held(&self) -> Amount {
        self.held
    }

    /// Returns the share that the bucket applies.
    #[must_use]
    pub const fn share(&self) -> Share {
        self.share
    }

    fn cap(&self) -> Amount {
        if S::HOLD_LOANS {
            self.share.burst - self.held
        } else {
            self.share.burst
        }
    }

    fn record_headroom(&mut self, at: Moment) {
        self.headroom.record(at, self.cap() - self.level);
    }

    /// Accrues tokens and ends expired loans up to `now`.
    pub fn advance(&mut self, now: Moment) {
        while let Some((&at, &amount)) = self.holds.first_key_value() {
            if at > now {
                break;
            }
            self.accrue(at);
            // Records the headroom that applied until the millisecond before the loan ended.
            self.record_headroom(Moment(at.0.saturating_sub(1)));
            self.holds.remove(&at);
            self.held -= amount;
            self.record_headroom(at);
        }
        self.accrue(now);
        self.record_headroom(self.updated_at);
    }

    fn accrue(&mut self, now: Moment) {
        let until = now.min(self.accrual_end);
        let millis = until.0.saturating_sub(self.updated_at.0);
        let uncapped = self.level + Amount::accrued(self.share.milli_tokens_per_second, millis);
        self.level = self.level.max(uncapped.min(self.cap()));
        self.updated_at = self.updated_at.max(now);
    }

    /// Changes the time until which the bucket accrues.
    ///
    /// Nothing accrues for a gap since the old end.
    pub fn set_accrual_end(&mut self, now: Moment, accrual_end: Moment) {
        self.advance(now);
        self.accrual_end = accrual_end;
    }

    /// Applies another share at once; a raised burst does not raise the level.
    pub fn set_share(&mut self, now: Moment, share: Share) {
        self.advance(now);
        self.share = share;
        self.level = self.level.min(self.cap());
        self.record_headroom(self.updated_at);
    }

    /// Lends up to `max_amount`, or nothing if the level is below `min_amount`.
    pub fn lend(&mut self, min_amount: Amount, max_amount: Amount, until: Moment) -> Amount {
        if self.level < min_amount {
            return Amount::ZERO;
        }
        let granted = self.level.min(max_amount);
        if granted.is_zero() {
            return granted;
        }
        self.level -= granted;
        self.hold(granted, until);
        granted
    }

    /// Lowers the cap by tokens that may still be spent until a given time.
    pub fn hold(&mut self, amount: Amount, until: Moment) {
        *self.holds.entry(until).or_default() += amount;
        self.held += amount;
        self.level = self.level.min(self.cap());
        self.record_headroom(self.updated_at);
    }

    /// Raises the cap again, since lent tokens were spent.
    pub fn mark_spent(&mut self, amount: Amount, until: Moment) {
        self.release_hold(amount, until);
        self.record_headroom(self.updated_at);
    }

    /// Takes back lent tokens that will never be spent.
    pub fn return_unspent(&mut self, amount: Amount, until: Moment) {
        let held = self.release_hold(amount, until);
        self.level = (self.level + held).min(self.cap());
        self.record_headroom(self.updated_at);
        self.refund(amount - held, until);
    }

    /// Refunds tokens that nobody has been able to spend since a given time.
    ///
    /// The least headroom since then bounds the refund.
    pub fn refund(&mut self, amount: Amount, since: Moment) {
        let headroom = if S::LIMIT_REFUNDS {
            self.headroom.min_since(since)
        } else {
            self.cap() - self.level
        };
        let refund = amount.min(headroom);
        if refund.is_zero() {
            return;
        }
        self.headroom.subtract(refund);
        self.level += refund;
    }

    fn release_hold(&mut self, amount: Amount, until: Moment) -> Amount {
        let Some(held) = self.holds.get_mut(&until) else {
            return Amount::ZERO;
        };
        let amount = amount.min(*held);
        *held -= amount;
        if held.is_zero() {
            self.holds.remove(&until);
        }
        self.held -= amount;
        amount
    }
}
