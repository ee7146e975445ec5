//! A borrower spends loans of one organisation's homes on one host.
//!
//! It asks its own zone's homes first and others when those likely have too little; where no home
//! alone has enough, it gathers from several. A loan covers what is wanted now and a little more by
//! recent demand. At most one request is open with each home.

mod request;

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, OrgName, ZoneName};

use crate::lender_session::{BorrowTerms, LenderSession};
use crate::loan::{Loan, LoanDraw, LoanId};
use crate::{
    Account, AllSafeguards, Amount, BorrowReply, BorrowRequest, LimitSettings, LoanUsage, Process,
    ReservationId, Safeguards,
};

/// Span over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Whether the tokens at hand or on the way suffice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BorrowOutcome {
    /// Enough tokens are at hand.
    Sufficient,
    /// A home was asked and may bring enough.
    Requested,
    /// The homes that can be asked likely have too little before this time has passed.
    Scarce(Duration),
    /// No home can be asked now.
    Unreachable,
}

/// One host's loans, reservations and dealings with the homes of one organisation.
#[derive(Clone, Debug)]
pub struct Borrower<S = AllSafeguards> {
    organisation: OrgName,
    me: Process,
    zone: ZoneName,
    sessions: Vec<LenderSession>,
    loans: Vec<Loan>,
    draws: FastMap<ReservationId, Vec<LoanDraw>>,
    last_loan: u64,
    /// Tokens admitted recently, fading over the demand span.
    demand: Amount,
    decayed_at: Moment,
    safeguards: std::marker::PhantomData<S>,
}

impl<S: Safeguards> Borrower<S> {
    /// Makes a borrower that knows no homes yet.
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

    /// Takes the homes of an account, own zone first, in an order that differs among hosts.
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

    /// Returns the tokens that can be spent now.
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

    /// Pays a reservation, if the tokens at hand suffice.
    pub fn spend(&mut self, id: ReservationId, cost: Amount, now: Moment) -> bool {
        if self.available(now) < cost {
            return false;
        }
        let mut draws = Vec::with_capacity(1);
        let mut open = cost;
        for loan in &mut self.loans {
            if S::LOAN_DEADLINE && now >= loan.deadline {
                continue;
            }
            let amount = loan.spend(open);
            if amount.is_zero() {
                continue;
            }
            open -= amount;
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

    /// Ends a reservation and gives back what it did not use; false when it is unknown.
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

    /// Takes a reply; true when it brought tokens that can be spent.
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
            answered.at.after(settings.loan_ttl)
        } else {
            now.after(settings.loan_ttl)
        };
        let loan = Loan::new(LoanId(self.last_loan), reply, deadline);
        let at = self.loans.partition_point(|l| l.deadline <= loan.deadline);
        self.loans.insert(at, loan);
        now < deadline
    }

    /// Gives the parts that were gathered back at once, so that others can use them.
    fn return_unspent_loans(&mut self, now: Moment) {
        let sessions = &mut self.sessions;
        for loan in &mut self.loans {
            let unspent = std::mem::take(&mut loan.remaining);
            let session = sessions
                .iter_mut()
                .find(|session| session.holder.process == loan.lender);
            let Some(session) = session.filter(|_link| !unspent.is_zero()) else {
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

    /// Sends what is due: repeated requests and reports.
    pub(crate) fn poll(
        &mut self,
        now: Moment,
        settings: &LimitSettings,
        out: &mut Vec<BorrowRequest>,
    ) {
        self.schedule_reports(now, settings);
        for index in 0..self.sessions.len() {
            if let Some(request) = self.sessions[index].take_resend(now, settings) {
                out.push(request);
            }
            if self.sessions[index].is_report_due(now) {
                self.ask_lender(index, BorrowTerms::default(), now, settings, out);
            }
        }
        // Ended loans stay only while there is something to report and a home to report to.
        let sessions = &self.sessions;
        self.loans.retain(|loan| {
            let open = !loan.remaining.is_zero() || !loan.unreported.is_zero();
            let known = || sessions.iter().any(|l| l.holder.process == loan.lender);
            now < loan.deadline || (open && known())
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

    /// Returns when the borrower next needs a poll.
    pub(crate) fn next_wake(&self, settings: &LimitSettings) -> Option<Moment> {
        let sessions = self.sessions.iter().filter_map(|l| l.next_wake(settings));
        let loans = self.loans.iter().map(|loan| loan.deadline);
        sessions.chain(loans).min()
    }
}
