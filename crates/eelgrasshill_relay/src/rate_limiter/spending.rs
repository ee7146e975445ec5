//! What an organisation spent, and how much of it other hosts know.

use eelgrasshill_domain::scalar;

use super::tokens;

scalar! {
    /// Tokens that an organisation spent at a host and at those that report to it.
    pub struct SpentTokens {
        /// Tokens spent since the host's start.
        pub total: u64,
        /// Those of them that another host has acknowledged to have debited.
        pub reported: u64,
    }
}

/// Spending of one organisation at this host and at those that report to it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Spending {
    total: u64,
    reported: u64,
    // Tokens refunded after they were reported; they offset later spending.
    refunded: u64,
}

impl Spending {
    pub(super) fn add(&mut self, spent: u64) {
        let offset = spent.min(self.refunded);
        self.refunded -= offset;
        self.total += spent - offset;
    }

    pub(super) fn refund(&mut self, refunded: u64) {
        let unreported = refunded.min(self.total.saturating_sub(self.reported));
        self.total -= unreported;
        self.refunded += refunded - unreported;
    }

    pub(super) fn report(self) -> SpentTokens {
        SpentTokens {
            total: self.total,
            reported: self.reported,
        }
    }

    pub(super) fn confirm(&mut self, report: SpentTokens) {
        self.reported = self.reported.max(report.total);
    }

    /// Returns the tokens that other hosts have yet to debit; negative after refunds.
    pub(super) fn pending(self) -> f64 {
        tokens(self.total.saturating_sub(self.reported)) - tokens(self.refunded)
    }
}
