//! What a borrower knows of one home: the open request, unsent reports and the likely level.

use std::time::Duration;

use eelgrasshill_domain::{Moment, OrgName};

use crate::{Amount, BorrowReply, BorrowRequest, Holder, LimitSettings, LoanUsage, Process, Share};

/// Longest time for which a home that does not answer is passed over.
const MAX_PENALTY: Duration = Duration::from_secs(8);

/// A request without a reply.
#[derive(Clone, Debug)]
struct Pending {
    request: BorrowRequest,
    asked: Moment,
    sent: Moment,
}

/// Most unsent reports; older ones are dropped, which costs their tokens.
const MAX_REPORTS: usize = 128;

/// What to ask of a home besides reporting to it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Wish {
    pub least: Amount,
    pub most: Amount,
    pub queue: bool,
}

/// An answered request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    /// When it was first sent.
    pub at: Moment,
    /// Whether it asked for a part of what was needed and got nothing.
    pub part_refused: bool,
}

/// One borrower's dealings with one home.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub holder: Holder,
    share: Share,
    pending: Option<Pending>,
    number: u64,
    accepted: u64,
    level: Amount,
    seen: Moment,
    /// When the home will likely lend, and how much, after it refused.
    turn: Option<(Moment, Amount)>,
    reports: Vec<LoanUsage>,
    due: Option<Moment>,
    shunned: Moment,
    penalty: Duration,
}

impl Link {
    pub(crate) fn new(holder: Holder, share: Share, now: Moment) -> Self {
        Self {
            holder,
            share,
            pending: None,
            number: 0,
            accepted: 0,
            level: share.burst,
            seen: now,
            turn: None,
            reports: Vec::new(),
            due: None,
            shunned: Moment::default(),
            penalty: Duration::ZERO,
        }
    }

    pub(crate) fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    pub(crate) const fn rate(&self) -> u64 {
        self.share.rate
    }

    /// Returns whether the home can be asked now.
    pub(crate) fn is_idle(&self, now: Moment) -> bool {
        self.pending.is_none() && now >= self.shunned
    }

    /// Returns the least amount that an open request may still bring soon.
    pub(crate) fn expected(&self, now: Moment, settings: &LimitSettings) -> Amount {
        self.pending
            .as_ref()
            .filter(|pending| now.since(pending.asked) < settings.hedge)
            .map_or(Amount::ZERO, |pending| pending.request.least)
    }

    /// Returns the tokens that the home likely has.
    pub(crate) fn likely_level(&self, now: Moment) -> Amount {
        let millis = now.0.saturating_sub(self.seen.0);
        let level = self.level + Amount::accrued(self.share.rate, millis);
        let level = level.min(self.share.burst);
        match self.turn {
            Some((at, _kept)) if now < at => Amount::ZERO,
            Some((_at, kept)) => level.max(kept),
            None => level,
        }
    }

    /// Returns the time until the home will likely lend, if it refused.
    pub(crate) fn wait(&self, now: Moment) -> Option<Duration> {
        let (at, _kept) = self.turn?;
        (at > now).then(|| at.since(now))
    }

    pub(crate) fn add_report(&mut self, usage: LoanUsage, due: Moment) {
        if self.reports.len() >= MAX_REPORTS {
            self.reports.remove(0);
        }
        self.reports.push(usage);
        self.mark_due(due);
    }

    pub(crate) fn mark_due(&mut self, due: Moment) {
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
    }

    /// Returns whether a report should go without waiting for a loan to be asked for.
    pub(crate) fn is_due(&self, now: Moment) -> bool {
        self.pending.is_none() && now >= self.shunned && self.due.is_some_and(|due| due <= now)
    }

    /// Makes the next request, which carries every unsent report.
    pub(crate) fn ask(
        &mut self,
        organisation: &OrgName,
        borrower: &Process,
        wish: Wish,
        now: Moment,
    ) -> BorrowRequest {
        self.number += 1;
        self.due = None;
        let request = BorrowRequest {
            organisation: organisation.clone(),
            home: self.holder.process.clone(),
            borrower: borrower.clone(),
            number: self.number,
            accepted: self.accepted,
            least: wish.least,
            most: wish.most,
            queue: wish.queue,
            usage: std::mem::take(&mut self.reports),
        };
        self.pending = Some(Pending {
            request: request.clone(),
            asked: now,
            sent: now,
        });
        request
    }

    /// Returns the open request when it should be sent again.
    pub(crate) fn resend(
        &mut self,
        now: Moment,
        settings: &LimitSettings,
    ) -> Option<BorrowRequest> {
        let pending = self.pending.as_mut()?;
        if now.since(pending.asked) >= settings.loan {
            self.give_up(now, settings);
            return None;
        }
        if now.since(pending.sent) < settings.retry {
            return None;
        }
        pending.sent = now;
        Some(pending.request.clone())
    }

    /// Gives the open request up: its reports may or may not have come and are not repeated.
    fn give_up(&mut self, now: Moment, settings: &LimitSettings) {
        self.pending = None;
        self.penalty = (self.penalty * 2).clamp(settings.loan, MAX_PENALTY);
        self.shunned = now.after(self.penalty);
    }

    /// Takes the reply to the open request and returns what that was; none for any other.
    pub(crate) fn accept(&mut self, reply: &BorrowReply, now: Moment) -> Option<Asked> {
        let pending = self.pending.as_ref()?;
        if pending.request.number != reply.number {
            return None;
        }
        let wished = !pending.request.most.is_zero();
        let asked = Asked {
            at: pending.asked,
            part_refused: reply.amount.is_zero() && wished && !pending.request.queue,
        };
        let refused = reply.amount.is_zero() && pending.request.queue;
        if refused {
            self.turn = Some((now.after(reply.retry), pending.request.least));
        } else if !reply.amount.is_zero() {
            self.turn = None;
        }
        self.pending = None;
        self.accepted = reply.number;
        self.level = reply.level;
        self.seen = now;
        self.penalty = Duration::ZERO;
        Some(asked)
    }

    /// Returns when the link next needs a poll.
    pub(crate) fn next_wake(&self, settings: &LimitSettings) -> Option<Moment> {
        let retry = self.pending.as_ref().map(|p| {
            p.sent
                .after(settings.retry)
                .min(p.asked.after(settings.loan))
        });
        let due = self.due.map(|due| due.max(self.shunned));
        retry.or(due)
    }
}
