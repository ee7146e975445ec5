//! Loans in a borrower's hands and the reservations that are paid from them.
//!
//! A loan is spent only before its own deadline, counted from before it was asked for. What a
//! reservation did not use goes back into its loan while that lives and was not yet reported as
//! spent: the home still holds the whole loan against its cap. Later it goes back to the home,
//! which takes it within its headroom.

use eelgrasshill_domain::{Moment, scalar};

use crate::{Amount, BorrowReply, LoanUsage, Process};

scalar! {
    /// Names one loan within a borrower.
    pub(crate) struct LoanId(pub u64);
}

/// Tokens that one home lent.
#[derive(Clone, Debug)]
pub(crate) struct Loan {
    pub id: LoanId,
    pub lender: Process,
    pub granted_at: Moment,
    pub held_until: Moment,
    pub deadline: Moment,
    pub remaining: Amount,
    /// Tokens that are spent and not yet reported.
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

    /// Takes up to an amount for a reservation.
    pub(crate) fn spend(&mut self, amount: Amount) -> Amount {
        let taken = amount.min(self.remaining);
        self.remaining -= taken;
        self.unreported += taken;
        taken
    }

    /// Takes unused tokens back and returns those that the loan can no longer take.
    pub(crate) fn restore(&mut self, amount: Amount) -> Amount {
        let back = amount.min(self.unreported);
        self.unreported -= back;
        self.remaining += back;
        amount - back
    }

    /// Returns what to report of a loan, and forgets it; an ended loan gives back the rest.
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

/// A part of a reservation that was paid from one loan.
#[derive(Clone, Debug)]
pub(crate) struct LoanDraw {
    pub loan: LoanId,
    pub lender: Process,
    pub granted_at: Moment,
    pub amount: Amount,
}
