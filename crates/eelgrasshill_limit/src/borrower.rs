//! Borrows tokens of one organisation and pays this host's reservations from them.
//!
//! A borrower asks the lenders of its own zone first, and others if those probably have too
//! little. If no single lender has enough, it borrows from several. A loan covers the present need
//! and a little more, in proportion to recent demand. At most one request to each lender is open.

mod request;

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, OrgName, ZoneName};

use crate::lender_session::{BorrowTerms, LenderSession};
use crate::loan::{Loan, LoanDraw, LoanId};
use crate::{
    Account, AllSafeguards, Amount, BorrowReply, BorrowRequest, LimitSettings, LoanUsage, Process,
    ReservationId, Safeguards,
};

/// The window over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Whether the borrowed and requested tokens cover a need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BorrowOutcome {
    /// The available tokens suffice.
    Sufficient,
    /// Lenders were asked and may lend enough.
    Requested,
    /// The lenders probably have too few tokens until this time has passed.
    Scarce(Duration),
    /// No lender can be asked now.
    Unreachable,
}

/// One host's loans, reservations and lenders of one organisation.
#[derive(Clone, Debug)]
pub struct Borrower<S = AllSafeguards> {
    organisation: OrgName,
    me: Process,
    zone: ZoneName,
    sessions: Vec<LenderSession>,
    /// The loans in the order of their deadlines.
    loans: Vec<Loan>,
    /// The loans that each open reservation was paid from.
    draws: FastMap<ReservationId, Vec<LoanDraw>>,
    last_loan: u64,
    /// Recently admitted tokens, which decay over the demand window.
    demand: Amount,
    /// When the demand was last decayed.
    decayed_at: Moment,
    safeguards: std::marker::PhantomData<S>,
}

impl<S: Safeguards> Borrower<S> {
    /// Creates a borrower without lenders.
    #[must_use]
    pub fn new(organisation: OrgName, me: Process, zone: ZoneName) -> Self {
        Self {
            organisation,
            me,
            zone,
            sessions: Vec::new(),
            loans: Vec::new(),
            draws: FastMap::default(),
            last_loan: 0,
            demand: Amount::ZERO,
            decayed_at: Moment::default(),
            safeguards: std::marker::PhantomData,
        }
    }

    /// Replaces the lenders by those of an account.
    ///
    /// This host comes first, then its own zone. The order of the others differs from host to host,
    /// which spreads the requests.
    pub fn set_lenders(&mut self, account: &Account, now: Moment) {
        self.sessions
            .retain(|session| account.share_of(&session.holder.process).is_some());
        for allocation in &account.allocations {
            let known = self
                .sessions
                .iter_mut()
                .find(|session| session.holder.process == allocation.holder.process);
            match known {
                Some(session) => session.set_share(allocation.share),
                None => self.sessions.push(LenderSession::new(
                    allocation.holder.clone(),
                    allocation.share,
                    now,
                )),
            }
        }
        let (me, zone) = (&self.me, &self.zone);
        self.sessions.sort_by_cached_key(|session| {
            let lender = &session.holder.process;
            let weight =
                eelgrasshill_domain::rendezvous_weight(lender.host.as_str(), me.host.as_str());
            (lender != me, session.holder.zone != *zone, weight)
        });
    }

    /// Returns the tokens of all loans that may still be spent.
    #[must_use]
    pub fn available(&self, now: Moment) -> Amount {
        let live = self.loans.iter().filter(|loan| self.is_live(loan, now));
        live.map(|loan| loan.remaining).sum()
    }

    #[expect(
        clippy::unused_self,
        reason = "the safeguards are the type's parameter"
    )]
    fn is_live(&self, loan: &Loan, now: Moment) -> bool {
        !S::LOAN_DEADLINE || now < loan.deadline
    }

    /// Pays for a reservation; returns whether the available tokens sufficed.
    pub fn spend(&mut self, id: ReservationId, cost: Amount, now: Moment) -> bool {
        if self.available(now) < cost {
            return false;
        }
        let mut draws = Vec::with_capacity(1);
        let mut unpaid = cost;
        for loan in &mut self.loans {
            if S::LOAN_DEADLINE && now >= loan.deadline {
                continue;
            }
            let amount = loan.spend(unpaid);
            if amount.is_zero() {
                continue;
            }
            unpaid -= amount;
            draws.push(LoanDraw {
                loan: loan.id,
                lender: loan.lender.clone(),
                granted_at: loan.granted_at,
                amount,
            });
        }
        self.draws.insert(id, draws);
        self.decay_demand(now);
        self.demand += cost;
        true
    }

    /// Ends a reservation and returns its unused tokens; false if it is unknown.
    pub fn settle(
        &mut self,
        id: ReservationId,
        used: Amount,
        now: Moment,
        settings: &LimitSettings,
    ) -> bool {
        let Some(draws) = self.draws.remove(&id) else {
            return false;
        };
        let cost: Amount = draws.iter().map(|draw| draw.amount).sum();
        let mut unused = cost - used;
        for draw in draws.into_iter().rev() {
            let back = draw.amount.min(unused);
            unused -= back;
            self.return_unused(&draw, back, now, settings);
        }
        true
    }

    fn return_unused(
        &mut self,
        draw: &LoanDraw,
        back: Amount,
        now: Moment,
        settings: &LimitSettings,
    ) {
        let loan = self.loans.iter_mut().find(|loan| loan.id == draw.loan);
        let refund = loan.map_or(back, |loan| loan.restore(back));
        if refund.is_zero() {
            return;
        }
        let usage = LoanUsage {
            granted_at: draw.granted_at,
            held_until: draw.granted_at,
            spent: Amount::ZERO,
            unspent: Amount::ZERO,
            refund,
        };
        if let Some(session) = self.session(&draw.lender) {
            session.queue_report(usage, now.after(settings.report_delay));
        }
    }

    fn session(&mut self, lender: &Process) -> Option<&mut LenderSession> {
        self.sessions
            .iter_mut()
            .find(|session| session.holder.process == *lender)
    }

    /// Handles a reply; returns whether it brought tokens that can be spent.
    pub fn receive(&mut self, reply: &BorrowReply, now: Moment, settings: &LimitSettings) -> bool {
        let Some(session) = self.session(&reply.lender) else {
            return false;
        };
        let Some(answered) = session.accept(reply, now) else {
            return false;
        };
        if answered.partial_refused {
            self.return_unspent_loans(now);
        }
        if reply.amount.is_zero() {
            return false;
        }
        self.last_loan += 1;
        let deadline = if S::LOAN_DEADLINE {
            answered.asked_at.after(settings.loan_ttl)
        } else {
            now.after(settings.loan_ttl)
        };
        let loan = Loan::new(LoanId(self.last_loan), reply, deadline);
        let index = self
            .loans
            .partition_point(|other| other.deadline <= loan.deadline);
        self.loans.insert(index, loan);
        now < deadline
    }

    /// Queues the return of all remaining tokens, so that other borrowers can use them.
    ///
    /// Called when one of several lenders refused: the loans of the others alone do not suffice.
    fn return_unspent_loans(&mut self, now: Moment) {
        let sessions = &mut self.sessions;
        for loan in &mut self.loans {
            let unspent = std::mem::take(&mut loan.remaining);
            let session = sessions
                .iter_mut()
                .find(|session| session.holder.process == loan.lender);
            let Some(session) = session.filter(|_session| !unspent.is_zero()) else {
                continue;
            };
            let usage = LoanUsage {
                granted_at: loan.granted_at,
                held_until: loan.held_until,
                spent: Amount::ZERO,
                unspent,
                refund: Amount::ZERO,
            };
            session.queue_report(usage, now);
        }
    }

    /// Adds the repeated requests and the reports that are due to `out`.
    pub(crate) fn poll(
        &mut self,
        now: Moment,
        settings: &LimitSettings,
        out: &mut Vec<BorrowRequest>,
    ) {
        self.schedule_reports(now, settings);
        for index in 0..self.sessions.len() {
            if let Some(request) = self.sessions[index].retry_request(now, settings) {
                out.push(request);
            }
            if self.sessions[index].is_report_due(now) {
                self.ask_lender(index, BorrowTerms::default(), now, settings, out);
            }
        }
        // Keeps an ended loan only while it has tokens to return or usage to report, and its
        // lender is still known.
        let sessions = &self.sessions;
        self.loans.retain(|loan| {
            let must_report = !loan.remaining.is_zero() || !loan.unreported.is_zero();
            let is_known = || {
                sessions
                    .iter()
                    .any(|session| session.holder.process == loan.lender)
            };
            now < loan.deadline || (must_report && is_known())
        });
    }

    fn schedule_reports(&mut self, now: Moment, settings: &LimitSettings) {
        for loan in &self.loans {
            let ended = now >= loan.deadline;
            if loan.unreported.is_zero() && (!ended || loan.remaining.is_zero()) {
                continue;
            }
            let due = now.after(settings.report_delay);
            let session = self
                .sessions
                .iter_mut()
                .find(|session| session.holder.process == loan.lender);
            if let Some(session) = session {
                session.schedule_report(due);
            }
        }
    }

    fn decay_demand(&mut self, now: Moment) {
        let passed = now.since(self.decayed_at).min(DEMAND_WINDOW);
        self.decayed_at = self.decayed_at.max(now);
        let lost = u128::from(self.demand.0) * passed.as_millis() / DEMAND_WINDOW.as_millis();
        self.demand -= Amount(u64::try_from(lost).unwrap_or(u64::MAX));
    }

    /// Returns when to poll the borrower next.
    pub(crate) fn next_wake(&self, settings: &LimitSettings) -> Option<Moment> {
        let sessions = self
            .sessions
            .iter()
            .filter_map(|session| session.next_wake(settings));
        let loans = self.loans.iter().map(|loan| loan.deadline);
        sessions.chain(loans).min()
    }
}
