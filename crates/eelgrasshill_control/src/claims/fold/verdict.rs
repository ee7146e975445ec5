//! What a fold says of one claim.

use std::sync::Arc;

use eelgrasshill_domain::record;

use super::{ClaimFold, Winner};
use crate::{CallKey, CallOutcome, Claim, ClaimId};

record! {
    /// How far the call of a winning claim is.
    pub enum Held {
        /// No outcome is recorded yet.
        Running,
        /// The call came out like this.
        Done(Arc<CallOutcome>),
        /// The answer is no longer kept, or never came within the window.
        Expired,
    }

    /// What the log says of a claim.
    pub enum Verdict {
        /// The claim holds; its process may run the call.
        Won,
        /// Another claim of the key holds.
        Lost {
            /// The claim that holds.
            winner: ClaimId,
            /// Whether it is of the same request.
            same: bool,
            /// Whether the host knows the key from its beginning.
            ///
            /// Otherwise the claim that lost here may hold for other hosts.
            sure: bool,
            /// How far its call is.
            held: Held,
        },
        /// The claim is spent and none holds; a new claim may win.
        Freed,
        /// The writer has not appended the claim and will not.
        Refused,
    }
}

impl ClaimFold {
    /// Returns what the log says of a claim; none when a new one could still win.
    #[must_use]
    pub fn verdict(&self, claim: &Claim) -> Option<Verdict> {
        let entry = self.live(claim.key)?;
        let Some(winner) = &entry.winner else {
            return entry.spent.contains(&claim.id).then_some(Verdict::Freed);
        };
        if winner.id == claim.id && !entry.unsure {
            return Some(Verdict::Won);
        }
        let held = if winner.id == claim.id {
            Held::Expired
        } else {
            self.held(winner)
        };
        Some(Verdict::Lost {
            winner: winner.id,
            same: winner.request == claim.request,
            sure: !entry.unsure,
            held,
        })
    }

    fn held(&self, winner: &Winner) -> Held {
        if winner.at.after(self.bounds.window) < self.now {
            return Held::Expired;
        }
        winner.outcome.clone().map_or(Held::Running, Held::Done)
    }

    /// Returns whether the outcome or the abort of a claim was folded in.
    #[must_use]
    pub fn is_settled(&self, id: ClaimId, key: CallKey) -> bool {
        self.live(key).is_some_and(|entry| {
            let is_done = entry.winner.as_ref().is_some_and(|w| w.outcome.is_some());
            entry.spent.contains(&id) || (entry.holds(id) && is_done)
        })
    }
}
