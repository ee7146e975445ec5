//! What follows for a call from what a writer read in the log.

use std::sync::Arc;

use eelgrasshill_domain::Moment;

use super::{Answer, NotRun, Pending, Requester, RequesterEffect, Stage};
use crate::{CallKey, CallOutcome, ClaimId, ClaimRecord, Held, Process, Verdict};

impl Requester {
    /// Takes in what a writer read in the log; `is_stopped` knows proven ends.
    pub fn decide(
        &mut self,
        id: ClaimId,
        verdict: &Verdict,
        is_stopped: impl Fn(Process) -> bool,
        now: Moment,
    ) -> Vec<RequesterEffect> {
        let Some(open) = self.open.get_mut(&id) else {
            return self.abort_late(id, verdict, now);
        };
        if open.stage == Stage::Running {
            return Vec::new();
        }
        if now >= open.until {
            open.in_doubt = true;
            return self.give_up(id, now);
        }
        if matches!(verdict, Verdict::Lost { sure: false, .. }) {
            open.in_doubt = true;
        }
        match verdict {
            Verdict::Won => {
                open.stage = Stage::Running;
                open.until = now.after(self.bounds.start);
                let request = open.call.request.clone();
                vec![RequesterEffect::Run { claim: id, request }]
            }
            Verdict::Lost { same: false, .. } => self.close(id, Answer::Conflict, now),
            Verdict::Lost {
                winner, sure, held, ..
            } => match held {
                Held::Running if is_stopped(winner.process) => self.close(id, Answer::Unknown, now),
                Held::Running => {
                    self.wait(id, *winner, now);
                    Vec::new()
                }
                Held::Done(outcome) => {
                    let answer = match **outcome {
                        CallOutcome::Answered { .. } => Answer::Recorded(Arc::clone(outcome)),
                        CallOutcome::Unknown => Answer::Unknown,
                    };
                    self.close(id, answer, now)
                }
                Held::Expired if *sure => self.close(id, Answer::Expired, now),
                Held::Expired => self.close(id, Answer::Unknown, now),
            },
            Verdict::Freed => self.claim_again(id, now),
            Verdict::Refused => self.refused(id, now),
        }
    }

    /// Aborts a closed claim that came to hold by a repeated message.
    fn abort_late(&mut self, id: ClaimId, verdict: &Verdict, now: Moment) -> Vec<RequesterEffect> {
        let Some((_id, key)) = self.closed.iter().find(|closed| closed.0 == id).copied() else {
            return Vec::new();
        };
        if *verdict != Verdict::Won {
            return Vec::new();
        }
        vec![self.keep(ClaimRecord::Abort { id, key }, 0, now)]
    }

    fn wait(&mut self, id: ClaimId, winner: ClaimId, now: Moment) {
        let until = now.after(self.bounds.wait);
        if let Some(open) = self.open.get_mut(&id) {
            if open.stage == Stage::Claiming {
                open.until = until;
            }
            open.stage = Stage::Waiting(winner);
        }
    }

    fn claim_again(&mut self, id: ClaimId, now: Moment) -> Vec<RequesterEffect> {
        let Some(open) = self.open.remove(&id) else {
            return Vec::new();
        };
        let until = match open.stage {
            Stage::Waiting(_) => now.after(self.bounds.claim),
            Stage::Claiming | Stage::Running => open.until,
        };
        vec![self.claim(open.call, 0, until, now)]
    }

    /// Tries each writer of the own zone once, and then says that the log is out.
    ///
    /// Every try has a claim of its own, so that a refusal that comes twice is
    /// not taken for that of the next writer. Once a try went unanswered only
    /// time ends the call, since that claim may still win.
    fn refused(&mut self, id: ClaimId, now: Moment) -> Vec<RequesterEffect> {
        let Some(open) = self.open.get(&id) else {
            return Vec::new();
        };
        if open.in_doubt {
            return Vec::new();
        }
        let attempt = open.attempt + 1;
        if attempt >= crate::WRITERS {
            return self.give_up(id, now);
        }
        let Some(open) = self.open.remove(&id) else {
            return Vec::new();
        };
        self.keep_closed(id, open.call.key);
        vec![self.claim(open.call, attempt, open.until, now)]
    }

    pub(super) fn resend(&mut self, id: ClaimId, now: Moment) -> Option<RequesterEffect> {
        let open = self.open.get_mut(&id)?;
        open.attempt += 1;
        open.sent = now;
        let attempt = open.attempt;
        let call = open.call.clone();
        Some(RequesterEffect::Submit {
            attempt,
            record: self.record(id, &call),
        })
    }

    /// Ends a claim that has not run with the answer that its stage allows.
    pub(super) fn give_up(&mut self, id: ClaimId, now: Moment) -> Vec<RequesterEffect> {
        let Some(open) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        let answer = match open.stage {
            Stage::Claiming => Answer::NotRun(NotRun::LogOut),
            Stage::Waiting(_) => Answer::Unknown,
            Stage::Running => return Vec::new(),
        };
        self.close(id, answer, now)
    }

    /// Ends a claim that has not run, and aborts it if it may hold or land.
    pub(super) fn close(
        &mut self,
        id: ClaimId,
        answer: Answer,
        now: Moment,
    ) -> Vec<RequesterEffect> {
        let Some(open) = self.open.remove(&id) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        let key = open.call.key;
        if open.in_doubt {
            effects.push(self.keep(ClaimRecord::Abort { id, key }, open.attempt, now));
        } else {
            self.keep_closed(id, key);
        }
        let request = open.call.request;
        effects.push(RequesterEffect::Answer { request, answer });
        effects
    }

    fn keep_closed(&mut self, id: ClaimId, key: CallKey) {
        self.closed.push_back((id, key));
        if self.closed.len() > self.bounds.calls {
            self.closed.pop_front();
        }
    }

    pub(super) fn keep(
        &mut self,
        record: ClaimRecord,
        attempt: usize,
        now: Moment,
    ) -> RequesterEffect {
        let pending = Pending {
            record: record.clone(),
            sent: now,
            attempt,
        };
        self.pending.insert(record.id(), pending);
        RequesterEffect::Submit { attempt, record }
    }
}
