//! Decides from the folded stream whether a claim has won.

use std::sync::Arc;

use eelgrasshill_domain::record;

use super::{ClaimFold, Winner};
use crate::{CallKey, CallOutcome, Claim, ClaimId};

record! {
    /// The progress of the call of a winning claim.
    pub enum WinnerState {
        /// No outcome is recorded yet.
        Running,
        /// The outcome of the call is recorded.
        Done(Arc<CallOutcome>),
        /// The claim is older than the time for which answers are kept.
        Expired,
    }

    /// The state of a claim according to the log.
    pub enum Verdict {
        /// The claim is the winner; its process may run the call.
        Won,
        /// Another claim of the key is the winner.
        Lost {
            /// The id of the winning claim.
            winner: ClaimId,
            /// Whether the winning claim is for the same request.
            #[serde(rename = "same")]
            same_request: bool,
            /// Whether this host has seen every record of the key.
            ///
            /// Otherwise the claim that lost here may be the winner on other hosts.
            #[serde(rename = "sure")]
            full_history: bool,
            /// The progress of the winner's call.
            #[serde(rename = "held")]
            state: WinnerState,
        },
        /// The claim was discarded and the key has no winner; a new claim may win.
        Freed,
        /// The writer has not appended the claim and never will.
        Refused,
    }
}

impl ClaimFold {
    /// Returns the verdict on a claim; `None` if it could still win.
    #[must_use]
    pub fn verdict(&self, claim: &Claim) -> Option<Verdict> {
        let entry = self.live_entry(claim.key)?;
        let Some(winner) = &entry.winner else {
            return entry
                .discarded
                .contains(&claim.id)
                .then_some(Verdict::Freed);
        };
        if winner.id == claim.id && !entry.partial_history {
            return Some(Verdict::Won);
        }
        // With a partial history, another claim may have won before, and its outcome
        // is not known here.
        let state = if winner.id == claim.id {
            WinnerState::Expired
        } else {
            self.winner_state(winner)
        };
        Some(Verdict::Lost {
            winner: winner.id,
            same_request: winner.request == claim.request,
            full_history: !entry.partial_history,
            state,
        })
    }

    fn winner_state(&self, winner: &Winner) -> WinnerState {
        if winner.at.after(self.bounds.answer_retention) < self.now {
            return WinnerState::Expired;
        }
        winner
            .outcome
            .clone()
            .map_or(WinnerState::Running, WinnerState::Done)
    }

    /// Returns whether the outcome or the abort of a claim has been applied.
    #[must_use]
    pub fn is_settled(&self, id: ClaimId, key: CallKey) -> bool {
        self.live_entry(key).is_some_and(|entry| {
            let is_done = entry.winner.as_ref().is_some_and(|w| w.outcome.is_some());
            entry.discarded.contains(&id) || (entry.is_winner(id) && is_done)
        })
    }
}
