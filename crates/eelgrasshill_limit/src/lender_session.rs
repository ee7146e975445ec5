//! The state that a borrower keeps of one lender.
//!
//! It holds the open request, usage reports that were not sent yet, and an estimate of the lender's
//! level.

use std::time::Duration;

use eelgrasshill_domain::{Moment, OrgName};

use crate::{Amount, BorrowReply, BorrowRequest, Holder, LimitSettings, LoanUsage, Process, Share};

/// Longest time for which a lender that does not answer is avoided.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Factor by which the time grows with each request that a lender does not answer.
const BACKOFF_FACTOR: u32 = 2;

/// A request without a reply.
#[derive(Clone, Debug)]
struct Pending {
    request: BorrowRequest,
    asked_at: Moment,
    sent_at: Moment,
}

/// Most unsent reports. A further one replaces the oldest, and the tokens that the oldest
/// would have returned are lost.
const MAX_REPORTS: usize = 128;

/// The amounts to ask of a lender; by default a request only carries reports.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BorrowTerms {
    pub min_amount: Amount,
    pub max_amount: Amount,
    pub queue: bool,
}

/// A request that was answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnsweredRequest {
    /// When the request was first sent.
    pub asked_at: Moment,
    /// Whether it asked for only a part of the need and was refused.
    pub partial_refused: bool,
}

/// A borrower's state of one lender.
#[derive(Clone, Debug)]
pub(crate) struct LenderSession {
    pub holder: Holder,
    share: Share,
    pending: Option<Pending>,
    last_number: u64,
    last_accepted: u64,
    /// The level in the last reply; the burst before the first one.
    reported_level: Amount,
    level_at: Moment,
    /// When the lender is expected to lend, and how much; set only after a refusal.
    expected_grant: Option<(Moment, Amount)>,
    reports: Vec<LoanUsage>,
    report_due: Option<Moment>,
    avoid_until: Moment,
    backoff: Duration,
}

impl LenderSession {
    pub(crate) fn new(holder: Holder, share: Share, now: Moment) -> Self {
        Self {
            holder,
            share,
            pending: None,
            last_number: 0,
            last_accepted: 0,
            reported_level: share.burst,
            level_at: now,
            expected_grant: None,
            reports: Vec::new(),
            report_due: None,
            avoid_until: Moment::default(),
            backoff: Duration::ZERO,
        }
    }

    pub(crate) fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    pub(crate) const fn rate(&self) -> u64 {
        self.share.milli_tokens_per_second
    }

    /// Returns whether the lender can be asked now.
    pub(crate) fn is_idle(&self, now: Moment) -> bool {
        self.pending.is_none() && now >= self.avoid_until
    }

    /// Returns the least amount that an open request may still bring within the hedge delay.
    pub(crate) fn pending_amount(&self, now: Moment, settings: &LimitSettings) -> Amount {
        self.pending
            .as_ref()
            .filter(|pending| now.since(pending.asked_at) < settings.hedge_delay)
            .map_or(Amount::ZERO, |pending| pending.request.min_amount)
    }

    /// Estimates the tokens that the lender has.
    pub(crate) fn estimated_level(&self, now: Moment) -> Amount {
        let millis = now.0.saturating_sub(self.level_at.0);
        let level =
            self.reported_level + Amount::accrued(self.share.milli_tokens_per_second, millis);
        let level = level.min(self.share.burst);
        match self.expected_grant {
            Some((at, _amount)) if now < at => Amount::ZERO,
            Some((_at, amount)) => level.max(amount),
            None => level,
        }
    }

    /// Returns the expected time until the lender can lend, if it refused.
    pub(crate) fn expected_wait(&self, now: Moment) -> Option<Duration> {
        let (at, _amount) = self.expected_grant?;
        (at > now).then(|| at.since(now))
    }

    pub(crate) fn queue_report(&mut self, usage: LoanUsage, due: Moment) {
        if self.reports.len() >= MAX_REPORTS {
            self.reports.remove(0);
        }
        self.reports.push(usage);
        self.schedule_report(due);
    }

    pub(crate) fn schedule_report(&mut self, due: Moment) {
        self.report_due = Some(self.report_due.map_or(due, |earlier| earlier.min(due)));
    }

    /// Returns whether a report is due in a request of its own.
    pub(crate) fn is_report_due(&self, now: Moment) -> bool {
        self.pending.is_none()
            && now >= self.avoid_until
            && self.report_due.is_some_and(|due| due <= now)
    }

    /// Creates the next request, which carries every unsent report.
    pub(crate) fn new_request(
        &mut self,
        organisation: &OrgName,
        borrower: &Process,
        terms: BorrowTerms,
        now: Moment,
    ) -> BorrowRequest {
        self.last_number += 1;
        self.report_due = None;
        let request = BorrowRequest {
            organisation: organisation.clone(),
            lender: self.holder.process.clone(),
            borrower: borrower.clone(),
            number: self.last_number,
            last_accepted: self.last_accepted,
            min_amount: terms.min_amount,
            max_amount: terms.max_amount,
            queue: terms.queue,
            usage: std::mem::take(&mut self.reports),
        };
        self.pending = Some(Pending {
            request: request.clone(),
            asked_at: now,
            sent_at: now,
        });
        request
    }

    /// Returns the open request if it must be sent again now.
    pub(crate) fn retry_request(
        &mut self,
        now: Moment,
        settings: &LimitSettings,
    ) -> Option<BorrowRequest> {
        let pending = self.pending.as_mut()?;
        if now.since(pending.asked_at) >= settings.loan_ttl {
            self.give_up(now, settings);
            return None;
        }
        if now.since(pending.sent_at) < settings.retry_interval {
            return None;
        }
        pending.sent_at = now;
        Some(pending.request.clone())
    }

    /// Gives up on the open request and avoids the lender for a while.
    ///
    /// Its reports are not repeated, since they may have arrived.
    fn give_up(&mut self, now: Moment, settings: &LimitSettings) {
        self.pending = None;
        self.backoff = (self.backoff * BACKOFF_FACTOR).clamp(settings.loan_ttl, MAX_BACKOFF);
        self.avoid_until = now.after(self.backoff);
    }

    /// Handles the reply to the open request; returns none for any other reply.
    pub(crate) fn accept(&mut self, reply: &BorrowReply, now: Moment) -> Option<AnsweredRequest> {
        let pending = self.pending.as_ref()?;
        if pending.request.number != reply.number {
            return None;
        }
        let wants_tokens = !pending.request.max_amount.is_zero();
        let answered = AnsweredRequest {
            asked_at: pending.asked_at,
            partial_refused: reply.amount.is_zero() && wants_tokens && !pending.request.queue,
        };
        let refused = reply.amount.is_zero() && pending.request.queue;
        if refused {
            self.expected_grant = Some((now.after(reply.retry_after), pending.request.min_amount));
        } else if !reply.amount.is_zero() {
            self.expected_grant = None;
        }
        self.pending = None;
        self.last_accepted = reply.number;
        self.reported_level = reply.level;
        self.level_at = now;
        self.backoff = Duration::ZERO;
        Some(answered)
    }

    /// Returns when to poll the session next.
    pub(crate) fn next_wake(&self, settings: &LimitSettings) -> Option<Moment> {
        let retry = self.pending.as_ref().map(|pending| {
            pending
                .sent_at
                .after(settings.retry_interval)
                .min(pending.asked_at.after(settings.loan_ttl))
        });
        let due = self.report_due.map(|due| due.max(self.avoid_until));
        retry.or(due)
    }
}
