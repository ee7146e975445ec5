//! The queue of borrowers that wait for scarce tokens of one lender.
//!
//! A refused borrower is told its expected wait, and tokens are reserved for it until shortly
//! after that. Without the queue, borrowers would poll, small requests would always overtake large
//! ones, and hosts that ask less often would get less.

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

/// The borrowers that wait for tokens of one lender, first come, first served.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    queue: VecDeque<Waiter>,
}

impl WaitQueue {
    /// Drops the borrowers that did not ask again in time.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.queue.retain(|waiter| waiter.reserved_until > now);
    }

    /// Returns the tokens reserved for those ahead of a borrower.
    pub(crate) fn reserved_ahead(&self, borrower: &Process) -> Amount {
        self.queue
            .iter()
            .take_while(|waiter| waiter.borrower != *borrower)
            .map(|waiter| waiter.min_amount)
            .sum()
    }

    /// Returns the tokens reserved for all waiting borrowers.
    pub(crate) fn reserved(&self) -> Amount {
        self.queue.iter().map(|waiter| waiter.min_amount).sum()
    }

    /// Removes a borrower from the queue.
    pub(crate) fn remove(&mut self, borrower: &Process) {
        self.queue.retain(|waiter| waiter.borrower != *borrower);
    }

    /// Reserves tokens for a borrower until `wait` and `slack` have passed.
    ///
    /// A borrower that is already queued keeps its place.
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
