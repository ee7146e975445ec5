//! The token bucket of one home, with loans counted against its cap.
//!
//! With `level` the saved tokens and `held` the loans that may still be spent, the bucket keeps
//! `level + held <= burst` at every moment. Tokens spent in a window that starts at some moment
//! come from that sum or accrue later, so no window admits more than `rate * t + burst`, however
//! late a borrower spends. Sums over homes follow, since their shares add up to the limit.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use eelgrasshill_domain::Moment;

use crate::envelope::Envelope;
use crate::{Amount, Safeguards, Share, Sound};

/// A token bucket that lends.
#[derive(Clone, Debug)]
pub struct Bucket<S = Sound> {
    share: Share,
    level: Amount,
    holds: BTreeMap<Moment, Amount>,
    held: Amount,
    envelope: Envelope,
    clock: Moment,
    ends: Moment,
    safeguards: PhantomData<S>,
}

impl<S: Safeguards> Bucket<S> {
    /// Makes an empty bucket whose right to accrue ends at `ends`.
    #[must_use]
    pub fn new(share: Share, now: Moment, ends: Moment) -> Self {
        let mut bucket = Self {
            share,
            level: Amount::ZERO,
            holds: BTreeMap::new(),
            held: Amount::ZERO,
            envelope: Envelope::default(),
            clock: now,
            ends,
            safeguards: PhantomData,
        };
        bucket.note(now);
        bucket
    }

    /// Fills the bucket; safe only where the share was never held by anybody.
    #[must_use]
    pub fn with_full_level(mut self) -> Self {
        self.level = self.cap();
        self.note(self.clock);
        self
    }

    /// Returns the tokens that can be lent.
    #[must_use]
    pub const fn level(&self) -> Amount {
        self.level
    }

    /// Returns the loans that may still be spent.
    #[must_use]
    pub const fn held(&self) -> Amount {
        self.held
    }

    /// Returns the share in force.
    #[must_use]
    pub const fn share(&self) -> Share {
        self.share
    }

    fn cap(&self) -> Amount {
        if S::HOLD {
            self.share.burst - self.held
        } else {
            self.share.burst
        }
    }

    fn note(&mut self, at: Moment) {
        self.envelope.note(at, self.cap() - self.level);
    }

    /// Accrues tokens and ends loans up to `now`.
    pub fn advance(&mut self, now: Moment) {
        while let Some((&at, &amount)) = self.holds.first_key_value() {
            if at > now {
                break;
            }
            self.accrue(at);
            // The headroom before a loan ends belongs to the moment before it.
            self.note(Moment(at.0.saturating_sub(1)));
            self.holds.remove(&at);
            self.held -= amount;
            self.note(at);
        }
        self.accrue(now);
        self.note(self.clock);
    }

    fn accrue(&mut self, now: Moment) {
        let until = now.min(self.ends);
        let millis = until.0.saturating_sub(self.clock.0);
        let full = self.level + Amount::accrued(self.share.rate, millis);
        self.level = self.level.max(full.min(self.cap()));
        self.clock = self.clock.max(now);
    }

    /// Moves the end of the right to accrue; a gap since the old end accrues nothing.
    pub fn extend(&mut self, now: Moment, ends: Moment) {
        self.advance(now);
        self.ends = ends;
    }

    /// Puts another share in force at once; a raised burst does not raise the level.
    pub fn set_share(&mut self, now: Moment, share: Share) {
        self.advance(now);
        self.share = share;
        self.level = self.level.min(self.cap());
        self.note(self.clock);
    }

    /// Lends up to `most`, nothing when there is less than `least`.
    pub fn lend(&mut self, least: Amount, most: Amount, until: Moment) -> Amount {
        if self.level < least {
            return Amount::ZERO;
        }
        let granted = self.level.min(most);
        if granted.is_zero() {
            return granted;
        }
        self.level -= granted;
        self.hold(granted, until);
        granted
    }

    /// Lowers the cap by tokens that somebody may still spend until a moment.
    pub fn hold(&mut self, amount: Amount, until: Moment) {
        *self.holds.entry(until).or_default() += amount;
        self.held += amount;
        self.level = self.level.min(self.cap());
        self.note(self.clock);
    }

    /// Raises the cap again by lent tokens that were spent.
    pub fn mark_spent(&mut self, amount: Amount, until: Moment) {
        self.unhold(amount, until);
        self.note(self.clock);
    }

    /// Takes back lent tokens that were not spent and never will be.
    pub fn take_back(&mut self, amount: Amount, until: Moment) {
        let held = self.unhold(amount, until);
        self.level = (self.level + held).min(self.cap());
        self.note(self.clock);
        self.refund(amount - held, until);
    }

    /// Gives back tokens that are in nobody's hands since a moment, within the headroom.
    pub fn refund(&mut self, amount: Amount, since: Moment) {
        let headroom = if S::ENVELOPE {
            self.envelope.least(since)
        } else {
            self.cap() - self.level
        };
        let refund = amount.min(headroom);
        if refund.is_zero() {
            return;
        }
        self.envelope.consume(refund);
        self.level += refund;
    }

    fn unhold(&mut self, amount: Amount, until: Moment) -> Amount {
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
