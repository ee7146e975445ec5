//! A home lends tokens of one organisation to borrowers on any host.
//!
//! Each borrower has a session that remembers the number and the reply of its last request, so a
//! repeated request gets the same grant and an overtaken one gets none; the memory is a few words
//! for each borrower. A request that comes after its session was dropped may be granted again:
//! that costs tokens and never creates any, since usage is taken only up to what the session lent.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment};

use crate::turns::Turns;
use crate::{
    Amount, BorrowReply, BorrowRequest, Bucket, LimitSettings, LoanUsage, Process, Safeguards,
    Share, Sound,
};

/// What a home remembers of one borrower.
#[derive(Clone, Debug)]
struct Session {
    reply: BorrowReply,
    credit: Amount,
    heard: Moment,
}

/// The right to accrue of one organisation on this host, and those who borrow from it.
#[derive(Clone, Debug)]
pub struct Home<S = Sound> {
    bucket: Bucket<S>,
    sessions: FastMap<Process, Session>,
    swept: Moment,
    turns: Turns,
}

impl<S: Safeguards> Home<S> {
    /// Makes a home of a bucket.
    #[must_use]
    pub fn new(bucket: Bucket<S>) -> Self {
        Self {
            bucket,
            sessions: FastMap::default(),
            swept: Moment::default(),
            turns: Turns::default(),
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
        self.sessions.capacity() * size_of::<(Process, Session)>()
    }

    /// Puts another share in force at once.
    pub fn set_share(&mut self, now: Moment, share: Share) {
        self.bucket.set_share(now, share);
    }

    /// Moves the end of the right to accrue.
    pub fn extend(&mut self, now: Moment, ends: Moment) {
        self.bucket.extend(now, ends);
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
    /// With `open` false the home takes reports and lends nothing.
    pub fn lend(
        &mut self,
        request: &BorrowRequest,
        open: bool,
        now: Moment,
        settings: &LimitSettings,
    ) -> Option<BorrowReply> {
        self.bucket.advance(now);
        self.sweep(now, settings);
        let mut credit = Amount::ZERO;
        if let Some(session) = self.sessions.get(&request.borrower) {
            let last = &session.reply;
            if S::DEDUPE && request.number <= last.number {
                return (request.number == last.number).then(|| last.clone());
            }
            credit = session.credit;
            if request.accepted < last.number {
                let (amount, until) = (last.amount.min(credit), last.until);
                // The borrower gave that reply up and drops it when it comes.
                credit -= amount;
                self.bucket.take_back(amount, until);
            }
        }
        for usage in &request.usage {
            self.settle(usage, &mut credit);
        }
        let reply = self.grant(request, open, now, settings);
        let session = Session {
            reply: reply.clone(),
            credit: credit + reply.amount,
            heard: now,
        };
        self.sessions.insert(request.borrower.clone(), session);
        Some(reply)
    }

    fn grant(
        &mut self,
        request: &BorrowRequest,
        open: bool,
        now: Moment,
        settings: &LimitSettings,
    ) -> BorrowReply {
        let until = now.after(settings.hold());
        let granted = if open {
            self.take_turn(request, now, until, settings)
        } else {
            Err(settings.loan)
        };
        let level = self.bucket.level() - self.turns.kept();
        BorrowReply {
            organisation: request.organisation.clone(),
            home: request.home.clone(),
            borrower: request.borrower.clone(),
            number: request.number,
            amount: granted.unwrap_or_default(),
            granted: now,
            until,
            level: if open { level } else { Amount::ZERO },
            retry: granted.err().unwrap_or_default(),
        }
    }

    /// Lends what is asked, or keeps a turn and returns the time until it likely comes.
    fn take_turn(
        &mut self,
        request: &BorrowRequest,
        now: Moment,
        until: Moment,
        settings: &LimitSettings,
    ) -> Result<Amount, Duration> {
        if request.most.is_zero() {
            return Ok(Amount::ZERO);
        }
        self.turns.expire(now);
        let needed = self.turns.ahead_of(&request.borrower) + request.least;
        let level = self.bucket.level();
        if level < needed {
            let share = self.bucket.share();
            let wait = (needed - level).time_at(share.rate);
            if wait > settings.turn || !request.queue {
                // A turn that comes too late would be kept for a request that is gone.
                self.turns.remove(&request.borrower);
                return Err(wait.min(settings.turn * 2));
            }
            let times = (wait, settings.turn / 2);
            self.turns
                .keep(&request.borrower, request.least, now, times);
            return Err(wait);
        }
        self.turns.remove(&request.borrower);
        let most = request.most.min(level - self.turns.kept());
        let most = most.max(request.least);
        Ok(self.bucket.lend(request.least, most, until))
    }

    fn settle(&mut self, usage: &LoanUsage, credit: &mut Amount) {
        let refund = usage.refund.min(*credit);
        *credit -= refund;
        self.bucket.refund(refund, usage.granted);
        let unspent = usage.unspent.min(*credit);
        *credit -= unspent;
        self.bucket.take_back(unspent, usage.until);
        self.bucket.mark_spent(usage.spent, usage.until);
    }

    fn sweep(&mut self, now: Moment, settings: &LimitSettings) {
        if now.since(self.swept) < settings.idle {
            return;
        }
        self.swept = now;
        self.sessions
            .retain(|_borrower, session| now.since(session.heard) < settings.idle);
    }
}
