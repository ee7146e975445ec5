//! A borrower's loans and the reservations that are paid from them.
//!
//! A loan may be spent only before the borrower's own deadline, which counts from before the
//! request was sent. Unused tokens of a reservation go back into its loan if the loan still exists
//! and has not reported them as spent: the lender still counts the whole loan against its cap.
//! After that, they are refunded to the lender, which accepts them as far as its headroom allows.

use eelgrasshill_domain::{Moment, scalar};

use crate::{Amount, BorrowReply, LoanUsage, Process};

scalar! {
    /// Identifies a loan within a borrower.
    pub(crate) struct LoanId(pub u64);
}

/// Tokens borrowed from one lender by one request.
#[derive(Clone, Debug)]
pub(crate) struct Loan {
    pub id: LoanId,
    pub lender: Process,
    pub granted_at: Moment,
    pub held_until: Moment,
    pub deadline: Moment,
    pub remaining: Amount,
    /// Spent tokens that the lender has not been told of yet.
    pub unreported: Amount,
}

impl Loan {
    pub(crate) fn new(id: LoanId, reply: &BorrowReply, deadline: Moment) -> Self {
        Self {
            id,
            lender: reply.lender.clone(),
            granted_at: reply.granted_at,
            held_until: reply.held_until,
            deadline,
            remaining: reply.amount,
            unreported: Amount::ZERO,
        }
    }

    /// Takes up to `amount` from the loan and returns what was taken.
    pub(crate) fn spend(&mut self, amount: Amount) -> Amount {
        let taken = amount.min(self.remaining);
        self.remaining -= taken;
        self.unreported += taken;
        taken
    }

    /// Puts unused tokens back; returns those that were already reported as spent.
    pub(crate) fn restore(&mut self, amount: Amount) -> Amount {
        let restored = amount.min(self.unreported);
        self.unreported -= restored;
        self.remaining += restored;
        amount - restored
    }

    /// Takes the usage to report to the lender, if any.
    ///
    /// A loan that has ended also returns its remaining tokens.
    pub(crate) fn take_usage(&mut self, ended: bool) -> Option<LoanUsage> {
        let spent = std::mem::take(&mut self.unreported);
        let unspent = if ended {
            std::mem::take(&mut self.remaining)
        } else {
            Amount::ZERO
        };
        if spent.is_zero() && unspent.is_zero() {
            return None;
        }
        Some(LoanUsage {
            granted_at: self.granted_at,
            held_until: self.held_until,
            spent,
            unspent,
            refund: Amount::ZERO,
        })
    }
}

/// The part of a reservation that was paid from one loan.
#[derive(Clone, Debug)]
pub(crate) struct LoanDraw {
    pub loan: LoanId,
    pub lender: Process,
    pub granted_at: Moment,
    pub amount: Amount,
}
