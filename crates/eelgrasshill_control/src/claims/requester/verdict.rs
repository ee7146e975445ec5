//! Decides how a call continues after a writer has reported a verdict on its claim.

use std::sync::Arc;

use eelgrasshill_domain::Moment;

use super::{CallAnswer, CallStage, NotRunReason, PendingRecord, Requester, RequesterEffect};
use crate::{CallKey, CallOutcome, ClaimId, ClaimRecord, Process, Verdict, WinnerState};

impl Requester {
    /// Processes the verdict of a writer on a claim.
    ///
    /// `is_stopped` returns whether a process is known to have stopped.
    pub fn handle_verdict(
        &mut self,
        id: ClaimId,
        verdict: &Verdict,
        is_stopped: impl Fn(Process) -> bool,
        now: Moment,
    ) -> Vec<RequesterEffect> {
        let Some(open) = self.open_calls.get_mut(&id) else {
            return self.abort_closed(id, verdict, now);
        };
        if open.stage == CallStage::Running {
            return Vec::new();
        }
        if now >= open.deadline {
            open.may_be_logged = true;
            return self.give_up(id, now);
        }
        if matches!(
            verdict,
            Verdict::Lost {
                full_history: false,
                ..
            }
        ) {
            open.may_be_logged = true;
        }
        match verdict {
            Verdict::Won => {
                open.stage = CallStage::Running;
                open.deadline = now.after(self.bounds.start_timeout);
                let request = open.call.request.clone();
                vec![RequesterEffect::Run { claim: id, request }]
            }
            Verdict::Lost {
                same_request: false,
                ..
            } => self.close(id, CallAnswer::Conflict, now),
            Verdict::Lost {
                winner,
                full_history,
                state,
                ..
            } => match state {
                WinnerState::Running if is_stopped(winner.process) => {
                    self.close(id, CallAnswer::Unknown, now)
                }
                WinnerState::Running => {
                    self.wait_for_winner(id, *winner, now);
                    Vec::new()
                }
                WinnerState::Done(outcome) => {
                    let answer = match **outcome {
                        CallOutcome::Answered { .. } => CallAnswer::Recorded(Arc::clone(outcome)),
                        CallOutcome::Unknown => CallAnswer::Unknown,
                    };
                    self.close(id, answer, now)
                }
                WinnerState::Expired if *full_history => self.close(id, CallAnswer::Expired, now),
                WinnerState::Expired => self.close(id, CallAnswer::Unknown, now),
            },
            Verdict::Freed => self.claim_again(id, now),
            Verdict::Refused => self.retry_refused(id, now),
        }
    }

    /// Aborts a closed claim that won after all because a message was repeated.
    fn abort_closed(
        &mut self,
        id: ClaimId,
        verdict: &Verdict,
        now: Moment,
    ) -> Vec<RequesterEffect> {
        let Some((_id, key)) = self
            .closed_claims
            .iter()
            .find(|closed| closed.0 == id)
            .copied()
        else {
            return Vec::new();
        };
        if *verdict != Verdict::Won {
            return Vec::new();
        }
        vec![self.submit_pending(ClaimRecord::Abort { id, key }, 0, now)]
    }

    /// Waits for the outcome of another claim that has won.
    fn wait_for_winner(&mut self, id: ClaimId, winner: ClaimId, now: Moment) {
        let deadline = now.after(self.bounds.wait_timeout);
        if let Some(open) = self.open_calls.get_mut(&id) {
            if open.stage == CallStage::Claiming {
                open.deadline = deadline;
            }
            open.stage = CallStage::Waiting(winner);
        }
    }

    /// Replaces a discarded claim by a new one.
    fn claim_again(&mut self, id: ClaimId, now: Moment) -> Vec<RequesterEffect> {
        let Some(open) = self.open_calls.remove(&id) else {
            return Vec::new();
        };
        let deadline = match open.stage {
            CallStage::Waiting(_) => now.after(self.bounds.claim_timeout),
            CallStage::Claiming | CallStage::Running => open.deadline,
        };
        vec![self.claim(open.call, 0, deadline, now)]
    }

    /// Tries each writer of the own zone once before the log counts as unavailable.
    ///
    /// Each attempt uses a new claim, so that a repeated refusal is not mistaken
    /// for that of the next writer. If an attempt remained unanswered, its
    /// claim may still win; the call then ends only at its deadline.
    fn retry_refused(&mut self, id: ClaimId, now: Moment) -> Vec<RequesterEffect> {
        let Some(open) = self.open_calls.get(&id) else {
            return Vec::new();
        };
        if open.may_be_logged {
            return Vec::new();
        }
        let attempt = open.attempt + 1;
        if attempt >= crate::WRITERS_PER_ZONE {
            return self.give_up(id, now);
        }
        let Some(open) = self.open_calls.remove(&id) else {
            return Vec::new();
        };
        self.remember_closed(id, open.call.key);
        vec![self.claim(open.call, attempt, open.deadline, now)]
    }

    /// Submits the claim to the next writer.
    pub(super) fn resend(&mut self, id: ClaimId, now: Moment) -> Option<RequesterEffect> {
        let open = self.open_calls.get_mut(&id)?;
        open.attempt += 1;
        open.last_sent = now;
        let attempt = open.attempt;
        let call = open.call.clone();
        Some(RequesterEffect::Submit {
            attempt,
            record: self.record(id, &call),
        })
    }

    /// Ends a call that was not run, with the answer that its stage allows.
    pub(super) fn give_up(&mut self, id: ClaimId, now: Moment) -> Vec<RequesterEffect> {
        let Some(open) = self.open_calls.get_mut(&id) else {
            return Vec::new();
        };
        let answer = match open.stage {
            CallStage::Claiming => CallAnswer::NotRun(NotRunReason::LogUnavailable),
            CallStage::Waiting(_) => CallAnswer::Unknown,
            CallStage::Running => return Vec::new(),
        };
        self.close(id, answer, now)
    }

    /// Answers a call that was not run, and aborts its claim if it may win.
    pub(super) fn close(
        &mut self,
        id: ClaimId,
        answer: CallAnswer,
        now: Moment,
    ) -> Vec<RequesterEffect> {
        let Some(open) = self.open_calls.remove(&id) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        let key = open.call.key;
        if open.may_be_logged {
            effects.push(self.submit_pending(ClaimRecord::Abort { id, key }, open.attempt, now));
        } else {
            self.remember_closed(id, key);
        }
        let request = open.call.request;
        effects.push(RequesterEffect::Answer { request, answer });
        effects
    }

    fn remember_closed(&mut self, id: ClaimId, key: CallKey) {
        self.closed_claims.push_back((id, key));
        if self.closed_claims.len() > self.bounds.open_calls {
            self.closed_claims.pop_front();
        }
    }

    /// Submits an outcome or abort, which is resent until it is in the log.
    pub(super) fn submit_pending(
        &mut self,
        record: ClaimRecord,
        attempt: usize,
        now: Moment,
    ) -> RequesterEffect {
        let pending = PendingRecord {
            record: record.clone(),
            last_sent: now,
            attempt,
        };
        self.pending.insert(record.id(), pending);
        RequesterEffect::Submit { attempt, record }
    }
}
