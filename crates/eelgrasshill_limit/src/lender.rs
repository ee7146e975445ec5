//! Lends tokens of one organisation to borrowers on any host.
//!
//! Each borrower has a session that remembers the number and the reply of its last request. A
//! repeated request thus gets the same grant and an overtaken one gets none, at the cost of a few
//! words of memory for each borrower. A request that arrives after its session was dropped may be
//! granted again. That wastes tokens but never creates any, since usage counts only up to what the
//! session lent.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment};

use crate::wait_queue::WaitQueue;
use crate::{
    AllSafeguards, Amount, BorrowReply, BorrowRequest, Bucket, LimitSettings, LoanUsage, Process,
    Safeguards, Share,
};

/// Longest wait returned with a refusal, as a multiple of [`LimitSettings::max_wait`].
const REFUSAL_WAIT_FACTOR: u32 = 2;

/// Divides [`LimitSettings::max_wait`] into the time that a reservation outlasts its expected wait.
const RESERVATION_SLACK_DIVISOR: u32 = 2;

/// The state that a lender keeps of one borrower.
#[derive(Clone, Debug)]
struct BorrowerSession {
    reply: BorrowReply,
    /// Lent tokens that were not returned or refunded yet.
    outstanding: Amount,
    last_request: Moment,
}

/// This host's bucket of one organisation, with the sessions of its borrowers.
#[derive(Clone, Debug)]
pub struct Lender<S = AllSafeguards> {
    bucket: Bucket<S>,
    sessions: FastMap<Process, BorrowerSession>,
    last_sweep: Moment,
    waiters: WaitQueue,
}

impl<S: Safeguards> Lender<S> {
    /// Creates a lender that lends from a bucket.
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

    /// Returns the memory of all sessions in bytes, without the names.
    #[must_use]
    pub fn state_bytes(&self) -> usize {
        self.sessions.capacity() * size_of::<(Process, BorrowerSession)>()
    }

    /// Applies another share at once.
    pub fn set_share(&mut self, now: Moment, share: Share) {
        self.bucket.set_share(now, share);
    }

    /// Changes the time until which the bucket accrues.
    pub fn set_accrual_end(&mut self, now: Moment, accrual_end: Moment) {
        self.bucket.set_accrual_end(now, accrual_end);
    }

    /// Lowers the cap by tokens that an older process may have lent.
    pub fn hold(&mut self, amount: Amount, until: Moment) {
        self.bucket.hold(amount, until);
    }

    /// Accrues tokens up to `now`.
    pub fn advance(&mut self, now: Moment) {
        self.bucket.advance(now);
    }

    /// Answers a request, or returns none if a later one was already answered.
    ///
    /// If `may_lend` is false, the lender processes reports and lends nothing.
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
                // The borrower gave up waiting for that reply and drops it if it still arrives.
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

    /// Lends the requested tokens, or returns the expected wait.
    ///
    /// A short wait is queued if the request asks for it.
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
            let wait = (needed - level).accrual_time(share.milli_tokens_per_second);
            if wait > settings.max_wait || !request.queue {
                // After a longer wait the request has probably been abandoned.
                self.waiters.remove(&request.borrower);
                return Err(wait.min(settings.max_wait * REFUSAL_WAIT_FACTOR));
            }
            let times = (wait, settings.max_wait / RESERVATION_SLACK_DIVISOR);
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
