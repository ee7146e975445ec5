//! A borrower spends loans of one organisation's homes on one host.
//!
//! It asks its own zone's homes first and others when those likely have too little; where no home
//! alone has enough, it gathers from several. A loan covers what is wanted now and a little more by
//! recent demand. At most one request is open with each home.

mod supply;

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, OrgName, ZoneName};

use crate::link::{Link, Wish};
use crate::loan::{Loan, LoanId, Part};
use crate::{
    Account, Amount, BorrowReply, BorrowRequest, LimitSettings, LoanUsage, Process, ReservationId,
    Safeguards, Sound,
};

/// Span over which demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(1);

/// Whether the tokens at hand or on the way suffice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Supply {
    /// Enough tokens are at hand.
    Enough,
    /// A home was asked and may bring enough.
    Asked,
    /// The homes that can be asked likely have too little before this time has passed.
    Scarce(Duration),
    /// No home can be asked now.
    Unreachable,
}

/// One host's loans, reservations and dealings with the homes of one organisation.
#[derive(Clone, Debug)]
pub struct Borrower<S = Sound> {
    organisation: OrgName,
    me: Process,
    zone: ZoneName,
    links: Vec<Link>,
    loans: Vec<Loan>,
    parts: FastMap<ReservationId, Vec<Part>>,
    last_loan: u64,
    /// Tokens admitted recently, fading over the demand span.
    demand: Amount,
    faded: Moment,
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
            links: Vec::new(),
            loans: Vec::new(),
            parts: FastMap::default(),
            last_loan: 0,
            demand: Amount::ZERO,
            faded: Moment::default(),
            safeguards: std::marker::PhantomData,
        }
    }

    /// Takes the homes of an account, own zone first, in an order that differs among hosts.
    pub fn set_homes(&mut self, account: &Account, now: Moment) {
        self.links
            .retain(|link| account.share_of(&link.holder.process).is_some());
        for stake in &account.stakes {
            let known = self
                .links
                .iter_mut()
                .find(|link| link.holder.process == stake.holder.process);
            match known {
                Some(link) => link.set_share(stake.share),
                None => self
                    .links
                    .push(Link::new(stake.holder.clone(), stake.share, now)),
            }
        }
        let (me, zone) = (&self.me, &self.zone);
        self.links.sort_by_cached_key(|link| {
            let home = &link.holder.process;
            let weight =
                eelgrasshill_domain::rendezvous_weight(home.host.as_str(), me.host.as_str());
            (home != me, link.holder.zone != *zone, weight)
        });
    }

    /// Returns the tokens that can be spent now.
    #[must_use]
    pub fn available(&self, now: Moment) -> Amount {
        let live = self.loans.iter().filter(|loan| self.is_live(loan, now));
        live.map(|loan| loan.left).sum()
    }

    #[expect(
        clippy::unused_self,
        reason = "the safeguards are the type's parameter"
    )]
    fn is_live(&self, loan: &Loan, now: Moment) -> bool {
        !S::DEADLINE || now < loan.deadline
    }

    /// Pays a reservation, if the tokens at hand suffice.
    pub fn spend(&mut self, id: ReservationId, cost: Amount, now: Moment) -> bool {
        if self.available(now) < cost {
            return false;
        }
        let mut parts = Vec::with_capacity(1);
        let mut open = cost;
        for loan in &mut self.loans {
            if S::DEADLINE && now >= loan.deadline {
                continue;
            }
            let amount = loan.spend(open);
            if amount.is_zero() {
                continue;
            }
            open -= amount;
            parts.push(Part {
                loan: loan.id,
                home: loan.home.clone(),
                granted: loan.granted,
                amount,
            });
        }
        self.parts.insert(id, parts);
        self.fade(now);
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
        let Some(parts) = self.parts.remove(&id) else {
            return false;
        };
        let cost: Amount = parts.iter().map(|part| part.amount).sum();
        let mut unused = cost - used;
        for part in parts.into_iter().rev() {
            let back = part.amount.min(unused);
            unused -= back;
            self.give_back(&part, back, now, settings);
        }
        true
    }

    fn give_back(&mut self, part: &Part, back: Amount, now: Moment, settings: &LimitSettings) {
        let loan = self.loans.iter_mut().find(|loan| loan.id == part.loan);
        let refund = loan.map_or(back, |loan| loan.restore(back));
        if refund.is_zero() {
            return;
        }
        let usage = LoanUsage {
            granted: part.granted,
            until: part.granted,
            spent: Amount::ZERO,
            unspent: Amount::ZERO,
            refund,
        };
        if let Some(link) = self.link(&part.home) {
            link.add_report(usage, now.after(settings.report));
        }
    }

    fn link(&mut self, home: &Process) -> Option<&mut Link> {
        self.links
            .iter_mut()
            .find(|link| link.holder.process == *home)
    }

    /// Takes a reply; true when it brought tokens that can be spent.
    pub fn receive(&mut self, reply: &BorrowReply, now: Moment, settings: &LimitSettings) -> bool {
        let Some(link) = self.link(&reply.home) else {
            return false;
        };
        let Some(asked) = link.accept(reply, now) else {
            return false;
        };
        if asked.part_refused {
            self.return_parts(now);
        }
        if reply.amount.is_zero() {
            return false;
        }
        self.last_loan += 1;
        let deadline = if S::DEADLINE {
            asked.at.after(settings.loan)
        } else {
            now.after(settings.loan)
        };
        let loan = Loan::new(LoanId(self.last_loan), reply, deadline);
        let at = self.loans.partition_point(|l| l.deadline <= loan.deadline);
        self.loans.insert(at, loan);
        now < deadline
    }

    /// Gives the parts that were gathered back at once, so that others can use them.
    fn return_parts(&mut self, now: Moment) {
        let links = &mut self.links;
        for loan in &mut self.loans {
            let unspent = std::mem::take(&mut loan.left);
            let link = links
                .iter_mut()
                .find(|link| link.holder.process == loan.home);
            let Some(link) = link.filter(|_link| !unspent.is_zero()) else {
                continue;
            };
            let usage = LoanUsage {
                granted: loan.granted,
                until: loan.until,
                spent: Amount::ZERO,
                unspent,
                refund: Amount::ZERO,
            };
            link.add_report(usage, now);
        }
    }

    /// Sends what is due: repeated requests and reports.
    pub(crate) fn poll(
        &mut self,
        now: Moment,
        settings: &LimitSettings,
        out: &mut Vec<BorrowRequest>,
    ) {
        self.mark_reports(now, settings);
        for index in 0..self.links.len() {
            if let Some(request) = self.links[index].resend(now, settings) {
                out.push(request);
            }
            if self.links[index].is_due(now) {
                self.ask(index, Wish::default(), now, settings, out);
            }
        }
        // Ended loans stay only while there is something to report and a home to report to.
        let links = &self.links;
        self.loans.retain(|loan| {
            let open = !loan.left.is_zero() || !loan.spent.is_zero();
            let known = || links.iter().any(|l| l.holder.process == loan.home);
            now < loan.deadline || (open && known())
        });
    }

    fn mark_reports(&mut self, now: Moment, settings: &LimitSettings) {
        for loan in &self.loans {
            let ended = now >= loan.deadline;
            if loan.spent.is_zero() && (!ended || loan.left.is_zero()) {
                continue;
            }
            let due = now.after(settings.report);
            let link = self
                .links
                .iter_mut()
                .find(|link| link.holder.process == loan.home);
            if let Some(link) = link {
                link.mark_due(due);
            }
        }
    }

    fn fade(&mut self, now: Moment) {
        let passed = now.since(self.faded).min(DEMAND_SPAN);
        self.faded = self.faded.max(now);
        let lost = u128::from(self.demand.0) * passed.as_millis() / DEMAND_SPAN.as_millis();
        self.demand -= Amount(u64::try_from(lost).unwrap_or(u64::MAX));
    }

    /// Returns when the borrower next needs a poll.
    pub(crate) fn next_wake(&self, settings: &LimitSettings) -> Option<Moment> {
        let links = self.links.iter().filter_map(|l| l.next_wake(settings));
        let loans = self.loans.iter().map(|loan| loan.deadline);
        links.chain(loans).min()
    }
}
