//! From which homes a borrower asks how much.

use eelgrasshill_domain::Moment;

use super::{Borrower, DEMAND_SPAN, Supply};
use crate::link::{Link, Wish};
use crate::{Amount, BorrowRequest, LimitSettings, Safeguards};

impl<S: Safeguards> Borrower<S> {
    /// Asks homes for what is wanted beyond the tokens at hand and on the way.
    pub(crate) fn request(
        &mut self,
        want: Amount,
        now: Moment,
        settings: &LimitSettings,
        out: &mut Vec<BorrowRequest>,
    ) -> Supply {
        let have = self.available(now);
        if have >= want {
            return Supply::Enough;
        }
        let coming: Amount = self.links.iter().map(|l| l.expected(now, settings)).sum();
        let need = want - have - coming;
        if need.is_zero() {
            return Supply::Asked;
        }
        if let Some(link) = self.single(need, now) {
            let most = need + self.ahead(now, settings);
            let wish = Wish {
                least: need,
                most,
                queue: true,
            };
            self.ask(link, wish, now, settings, out);
            return Supply::Asked;
        }
        self.gather(need, now, settings, out)
    }

    fn single(&self, need: Amount, now: Moment) -> Option<usize> {
        self.links
            .iter()
            .position(|link| link.is_idle(now) && link.likely_level(now) >= need)
    }

    fn gather(
        &mut self,
        need: Amount,
        now: Moment,
        settings: &LimitSettings,
        out: &mut Vec<BorrowRequest>,
    ) -> Supply {
        let idle: Vec<usize> = (0..self.links.len())
            .filter(|&i| self.links[i].is_idle(now))
            .collect();
        let total: Amount = idle.iter().map(|&i| self.links[i].likely_level(now)).sum();
        if idle.is_empty() {
            return Supply::Unreachable;
        }
        if total < need {
            let rate = self.links.iter().map(Link::rate).sum();
            let turn = self.links.iter().filter_map(|link| link.wait(now)).min();
            return Supply::Scarce(turn.unwrap_or_else(|| (need - total).time_at(rate)));
        }
        let mut open = need;
        for index in idle {
            let part = self.links[index].likely_level(now).min(open);
            if part.is_zero() {
                continue;
            }
            open -= part;
            // A turn for a part is of no use while the other parts are missing.
            let wish = Wish {
                least: part,
                most: part,
                queue: false,
            };
            self.ask(index, wish, now, settings, out);
        }
        Supply::Asked
    }

    pub(super) fn ask(
        &mut self,
        index: usize,
        wish: Wish,
        now: Moment,
        settings: &LimitSettings,
        out: &mut Vec<BorrowRequest>,
    ) {
        self.collect_reports(index, now, settings);
        let link = &mut self.links[index];
        out.push(link.ask(&self.organisation, &self.me, wish, now));
    }

    /// Moves the reports of one home's loans to its link and drops ended loans.
    fn collect_reports(&mut self, index: usize, now: Moment, settings: &LimitSettings) {
        let link = &mut self.links[index];
        let home = link.holder.process.clone();
        let due = now.after(settings.report);
        for loan in self.loans.iter_mut().filter(|loan| loan.home == home) {
            if let Some(usage) = loan.report(now >= loan.deadline) {
                link.add_report(usage, due);
            }
        }
        self.loans
            .retain(|loan| loan.home != home || now < loan.deadline);
    }

    /// Returns what to borrow beyond the present need, by recent demand.
    fn ahead(&mut self, now: Moment, settings: &LimitSettings) -> Amount {
        self.fade(now);
        let ahead = u128::from(self.demand.0) * settings.ahead.as_millis();
        let amount = ahead / DEMAND_SPAN.as_millis();
        Amount(u64::try_from(amount).unwrap_or(u64::MAX))
    }
}
