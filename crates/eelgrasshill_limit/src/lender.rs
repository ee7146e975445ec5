//! A home lends tokens of one organisation to borrowers on any host.
//!
//! Each borrower has a session that remembers the number and the reply of its last request, so a
//! repeated request gets the same grant and an overtaken one gets none; the memory is a few words
//! for each borrower. A request that comes after its session was dropped may be granted again:
//! that costs tokens and never creates any, since usage is taken only up to what the session lent.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment};

use crate::wait_queue::WaitQueue;
use crate::{
    AllSafeguards, Amount, BorrowReply, BorrowRequest, Bucket, LimitSettings, LoanUsage, Process,
    Safeguards, Share,
};

/// What a home remembers of one borrower.
#[derive(Clone, Debug)]
struct BorrowerSession {
    reply: BorrowReply,
    outstanding: Amount,
    last_request: Moment,
}

/// The right to accrue of one organisation on this host, and those who borrow from it.
#[derive(Clone, Debug)]
pub struct Lender<S = AllSafeguards> {
    bucket: Bucket<S>,
    sessions: FastMap<Process, BorrowerSession>,
    last_sweep: Moment,
    waiters: WaitQueue,
}

impl<S: Safeguards> Lender<S> {
    /// Makes a home of a bucket.
    #[must_use]
    pub fn new(bucket: Bucket<S>) -> Self {
        Self {
            bucket,
            sessions: FastMap::default(),
            last_sweep: Moment::default(),
            waiters: WaitQueue::default(),
        }
    }

    /// Returns the bucket as of the last event.
    #[must_use]
    pub const fn bucket(&self) -> &Bucket<S> {
        &self.bucket
    }

    /// Returns the bytes that the sessions of all borrowers take, names not counted.
    #[must_use]
    pub fn state_bytes(&self) -> usize {
        self.sessions.capacity() * size_of::<(Process, BorrowerSession)>()
    }

    /// Puts another share in force at once.
    pub fn set_share(&mut self, now: Moment, share: Share) {
        self.bucket.set_share(now, share);
    }

    /// Moves the end of the right to accrue.
    pub fn set_accrual_end(&mut self, now: Moment, accrual_end: Moment) {
        self.bucket.set_accrual_end(now, accrual_end);
    }

    /// Holds tokens that an older process may have lent out.
    pub fn hold(&mut self, amount: Amount, until: Moment) {
        self.bucket.hold(amount, until);
    }

    /// Accrues up to `now`.
    pub fn advance(&mut self, now: Moment) {
        self.bucket.advance(now);
    }

    /// Answers a request; none when a later request of the borrower came first.
    ///
    /// With `may_lend` false the home takes reports and lends nothing.
    pub fn lend(
        &mut self,
        request: &BorrowRequest,
        may_lend: bool,
        now: Moment,
        settings: &LimitSettings,
    ) -> Option<BorrowReply> {
        self.bucket.advance(now);
        self.sweep(now, settings);
        let mut outstanding = Amount::ZERO;
        if let Some(session) = self.sessions.get(&request.borrower) {
            let last = &session.reply;
            if S::DEDUPLICATE && request.number <= last.number {
                return (request.number == last.number).then(|| last.clone());
            }
            outstanding = session.outstanding;
            if request.last_accepted < last.number {
                let (amount, until) = (last.amount.min(outstanding), last.held_until);
                // The borrower gave that reply up and drops it when it comes.
                outstanding -= amount;
                self.bucket.return_unspent(amount, until);
            }
        }
        for usage in &request.usage {
            self.settle(usage, &mut outstanding);
        }
        let reply = self.grant(request, may_lend, now, settings);
        let session = BorrowerSession {
            reply: reply.clone(),
            outstanding: outstanding + reply.amount,
            last_request: now,
        };
        self.sessions.insert(request.borrower.clone(), session);
        Some(reply)
    }

    fn grant(
        &mut self,
        request: &BorrowRequest,
        may_lend: bool,
        now: Moment,
        settings: &LimitSettings,
    ) -> BorrowReply {
        let until = now.after(settings.loan_hold());
        let granted = if may_lend {
            self.grant_or_queue(request, now, until, settings)
        } else {
            Err(settings.loan_ttl)
        };
        let level = self.bucket.level() - self.waiters.reserved();
        BorrowReply {
            organisation: request.organisation.clone(),
            lender: request.lender.clone(),
            borrower: request.borrower.clone(),
            number: request.number,
            amount: granted.unwrap_or_default(),
            granted_at: now,
            held_until: until,
            level: if may_lend { level } else { Amount::ZERO },
            retry_after: granted.err().unwrap_or_default(),
        }
    }

    /// Lends what is asked, or keeps a turn and returns the time until it likely comes.
    fn grant_or_queue(
        &mut self,
        request: &BorrowRequest,
        now: Moment,
        until: Moment,
        settings: &LimitSettings,
    ) -> Result<Amount, Duration> {
        if request.max_amount.is_zero() {
            return Ok(Amount::ZERO);
        }
        self.waiters.expire(now);
        let needed = self.waiters.reserved_ahead(&request.borrower) + request.min_amount;
        let level = self.bucket.level();
        if level < needed {
            let share = self.bucket.share();
            let wait = (needed - level).accrual_time(share.rate);
            if wait > settings.max_wait || !request.queue {
                // A turn that comes too late would be kept for a request that is gone.
                self.waiters.remove(&request.borrower);
                return Err(wait.min(settings.max_wait * 2));
            }
            let times = (wait, settings.max_wait / 2);
            self.waiters
                .enqueue(&request.borrower, request.min_amount, now, times);
            return Err(wait);
        }
        self.waiters.remove(&request.borrower);
        let max_amount = request.max_amount.min(level - self.waiters.reserved());
        let max_amount = max_amount.max(request.min_amount);
        Ok(self.bucket.lend(request.min_amount, max_amount, until))
    }

    fn settle(&mut self, usage: &LoanUsage, outstanding: &mut Amount) {
        let refund = usage.refund.min(*outstanding);
        *outstanding -= refund;
        self.bucket.refund(refund, usage.granted_at);
        let unspent = usage.unspent.min(*outstanding);
        *outstanding -= unspent;
        self.bucket.return_unspent(unspent, usage.held_until);
        self.bucket.mark_spent(usage.spent, usage.held_until);
    }

    fn sweep(&mut self, now: Moment, settings: &LimitSettings) {
        if now.since(self.last_sweep) < settings.idle_timeout {
            return;
        }
        self.last_sweep = now;
        self.sessions
            .retain(|_borrower, session| now.since(session.last_request) < settings.idle_timeout);
    }
}
