//! Decides which lenders to ask for how many tokens.
//!
//! The decision depends on the need beyond loans and open requests, and on the estimated level of
//! each lender that can be asked. The first lender in the order of preference that has enough is
//! asked alone. If none has, several are asked for a part each.

use eelgrasshill_domain::Moment;

use super::{BorrowOutcome, Borrower, DEMAND_WINDOW};
use crate::lender_session::{BorrowTerms, LenderSession};
use crate::{Amount, BorrowRequest, LimitSettings, Safeguards};

impl<S: Safeguards> Borrower<S> {
    /// Asks lenders for what is needed beyond available and requested tokens.
    pub(crate) fn request(
        &mut self,
        want: Amount,
        now: Moment,
        settings: &LimitSettings,
        out: &mut Vec<BorrowRequest>,
    ) -> BorrowOutcome {
        let have = self.available(now);
        if have >= want {
            return BorrowOutcome::Sufficient;
        }
        let requested: Amount = self
            .sessions
            .iter()
            .map(|session| session.pending_amount(now, settings))
            .sum();
        let need = want - have - requested;
        if need.is_zero() {
            return BorrowOutcome::Requested;
        }
        if let Some(index) = self.find_lender(need, now) {
            let max_amount = need + self.prefetch_amount(now, settings);
            let terms = BorrowTerms {
                min_amount: need,
                max_amount,
                queue: true,
            };
            self.ask_lender(index, terms, now, settings, out);
            return BorrowOutcome::Requested;
        }
        self.borrow_from_several(need, now, settings, out)
    }

    fn find_lender(&self, need: Amount, now: Moment) -> Option<usize> {
        self.sessions
            .iter()
            .position(|session| session.is_idle(now) && session.estimated_level(now) >= need)
    }

    fn borrow_from_several(
        &mut self,
        need: Amount,
        now: Moment,
        settings: &LimitSettings,
        out: &mut Vec<BorrowRequest>,
    ) -> BorrowOutcome {
        let idle: Vec<usize> = (0..self.sessions.len())
            .filter(|&i| self.sessions[i].is_idle(now))
            .collect();
        let total: Amount = idle
            .iter()
            .map(|&i| self.sessions[i].estimated_level(now))
            .sum();
        if idle.is_empty() {
            return BorrowOutcome::Unreachable;
        }
        if total < need {
            let rate = self.sessions.iter().map(LenderSession::rate).sum();
            let wait = self
                .sessions
                .iter()
                .filter_map(|session| session.expected_wait(now))
                .min();
            return BorrowOutcome::Scarce(
                wait.unwrap_or_else(|| (need - total).accrual_time(rate)),
            );
        }
        let mut uncovered = need;
        for index in idle {
            let part = self.sessions[index].estimated_level(now).min(uncovered);
            if part.is_zero() {
                continue;
            }
            uncovered -= part;
            // Queueing for one part is useless while the other parts are missing.
            let terms = BorrowTerms {
                min_amount: part,
                max_amount: part,
                queue: false,
            };
            self.ask_lender(index, terms, now, settings, out);
        }
        BorrowOutcome::Requested
    }

    pub(super) fn ask_lender(
        &mut self,
        index: usize,
        terms: BorrowTerms,
        now: Moment,
        settings: &LimitSettings,
        out: &mut Vec<BorrowRequest>,
    ) {
        self.collect_reports(index, now, settings);
        let session = &mut self.sessions[index];
        out.push(session.new_request(&self.organisation, &self.me, terms, now));
    }

    /// Moves the usage of one lender's loans to its session and drops ended loans.
    fn collect_reports(&mut self, index: usize, now: Moment, settings: &LimitSettings) {
        let session = &mut self.sessions[index];
        let lender = session.holder.process.clone();
        let due = now.after(settings.report_delay);
        for loan in self.loans.iter_mut().filter(|loan| loan.lender == lender) {
            if let Some(usage) = loan.take_usage(now >= loan.deadline) {
                session.queue_report(usage, due);
            }
        }
        self.loans
            .retain(|loan| loan.lender != lender || now < loan.deadline);
    }

    /// Returns what to borrow beyond the present need, based on recent demand.
    fn prefetch_amount(&mut self, now: Moment, settings: &LimitSettings) -> Amount {
        self.decay_demand(now);
        let weighted_demand = u128::from(self.demand.0) * settings.prefetch_span.as_millis();
        let amount = weighted_demand / DEMAND_WINDOW.as_millis();
        Amount(u64::try_from(amount).unwrap_or(u64::MAX))
    }
}
