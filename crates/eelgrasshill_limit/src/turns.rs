//! The order in which borrowers get scarce tokens.
//!
//! A borrower that is refused is told when its turn will likely come, and tokens are kept for it
//! until shortly after. Without turns, borrowers ask again and again, small requests always
//! overtake large ones, and hosts that ask less often get less.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrasshill_domain::Moment;

use crate::{Amount, Process};

#[derive(Clone, Debug)]
struct Turn {
    borrower: Process,
    least: Amount,
    until: Moment,
}

/// The borrowers that wait for tokens of one home, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Turns {
    queue: VecDeque<Turn>,
}

impl Turns {
    /// Drops the turns that were not taken in time.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.queue.retain(|turn| turn.until > now);
    }

    /// Returns the tokens kept for those that come before a borrower.
    pub(crate) fn ahead_of(&self, borrower: &Process) -> Amount {
        self.queue
            .iter()
            .take_while(|turn| turn.borrower != *borrower)
            .map(|turn| turn.least)
            .sum()
    }

    /// Returns the tokens kept for all that wait.
    pub(crate) fn kept(&self) -> Amount {
        self.queue.iter().map(|turn| turn.least).sum()
    }

    /// Ends a borrower's wait.
    pub(crate) fn remove(&mut self, borrower: &Process) {
        self.queue.retain(|turn| turn.borrower != *borrower);
    }

    /// Keeps tokens for a borrower until shortly after its turn; its place stays the same.
    pub(crate) fn keep(
        &mut self,
        borrower: &Process,
        least: Amount,
        now: Moment,
        (wait, slack): (Duration, Duration),
    ) {
        let until = now.after(wait.saturating_add(slack));
        let known = self
            .queue
            .iter_mut()
            .find(|turn| turn.borrower == *borrower);
        if let Some(turn) = known {
            turn.least = least;
            turn.until = until;
            return;
        }
        self.queue.push_back(Turn {
            borrower: borrower.clone(),
            least,
            until,
        });
    }
}
