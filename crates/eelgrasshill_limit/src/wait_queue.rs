//! The order in which borrowers get scarce tokens.
//!
//! A borrower that is refused is told when its waiter will likely come, and tokens are kept for it
//! until shortly after. Without turns, borrowers ask again and again, small requests always
//! overtake large ones, and hosts that ask less often get less.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrasshill_domain::Moment;

use crate::{Amount, Process};

#[derive(Clone, Debug)]
struct Waiter {
    borrower: Process,
    min_amount: Amount,
    reserved_until: Moment,
}

/// The borrowers that wait for tokens of one home, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    queue: VecDeque<Waiter>,
}

impl WaitQueue {
    /// Drops the turns that were not taken in time.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.queue.retain(|waiter| waiter.reserved_until > now);
    }

    /// Returns the tokens kept for those that come before a borrower.
    pub(crate) fn reserved_ahead(&self, borrower: &Process) -> Amount {
        self.queue
            .iter()
            .take_while(|waiter| waiter.borrower != *borrower)
            .map(|waiter| waiter.min_amount)
            .sum()
    }

    /// Returns the tokens kept for all that wait.
    pub(crate) fn reserved(&self) -> Amount {
        self.queue.iter().map(|waiter| waiter.min_amount).sum()
    }

    /// Ends a borrower's wait.
    pub(crate) fn remove(&mut self, borrower: &Process) {
        self.queue.retain(|waiter| waiter.borrower != *borrower);
    }

    /// Keeps tokens for a borrower until shortly after its turn; its place stays the same.
    pub(crate) fn enqueue(
        &mut self,
        borrower: &Process,
        min_amount: Amount,
        now: Moment,
        (wait, slack): (Duration, Duration),
    ) {
        let reserved_until = now.after(wait.saturating_add(slack));
        let known = self
            .queue
            .iter_mut()
            .find(|waiter| waiter.borrower == *borrower);
        if let Some(waiter) = known {
            waiter.min_amount = min_amount;
            waiter.reserved_until = reserved_until;
            return;
        }
        self.queue.push_back(Waiter {
            borrower: borrower.clone(),
            min_amount,
            reserved_until,
        });
    }
}
