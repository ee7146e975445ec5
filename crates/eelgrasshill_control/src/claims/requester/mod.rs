//! Decides for the calls of one entry host whether they are run, and by whom.
//!
//! A call runs at most once because each claim ends in exactly one way: it wins
//! and the call is run, or the host gives it up and never runs the call. Before
//! the host reports "not run" for a claim that may be in the log, it submits an
//! abort for that claim.

mod resend;
mod verdict;

use std::{collections::VecDeque, sync::Arc};

use derive_more::{Display, Error};
use eelgrasshill_domain::{FastMap, HostName, Moment, OrgName, RequestId, record};

use super::{CallDigest, CallKey, CallOutcome, Claim, ClaimBounds, ClaimId, ClaimRecord};
use crate::Process;

record! {
    /// A call with an idempotency key, as received from the caller.
    pub struct CallRequest {
        /// The id of the request with which the call arrived.
        pub request: RequestId,
        /// The idempotency key within the organisation.
        pub key: CallKey,
        /// The organisation for which the call runs.
        pub organisation: Option<OrgName>,
        /// The digest of the method, path and body.
        pub digest: CallDigest,
    }

    /// The reason why a call was not run and never will be for this request.
    #[derive(Copy, Display, Error)]
    pub enum NotRunReason {
        /// The host has too many open calls.
        #[display("too many calls are open")]
        Busy,
        /// The log was not available, so the claim could not win in time.
        #[display("the claim could not be recorded in time")]
        #[serde(rename = "log-out")]
        LogUnavailable,
        /// No byte of the call was sent to an upstream.
        #[display("no upstream could be reached")]
        NotSent,
    }

    /// The answer to a request whose call is not run, or whose outcome is unknown.
    pub enum CallAnswer {
        /// The call ran earlier, and its outcome was recorded.
        Recorded(Arc<CallOutcome>),
        /// The call was not run.
        NotRun(NotRunReason),
        /// The call may have run, but its outcome is not known.
        Unknown,
        /// The idempotency key was used for a different request.
        Conflict,
        /// The call was claimed so long ago that its outcome is no longer kept.
        Expired,
    }

    /// The result of an attempt to send a call to an upstream.
    pub enum RunResult {
        /// The upstream answered.
        Answered(CallOutcome),
        /// At least one byte was sent, but no answer was received.
        Lost,
        /// No byte was sent.
        NotSent,
    }
}

/// An action that the host has to take for the requester.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequesterEffect {
    /// Send the record to a writer of the key's shard.
    Submit {
        /// The index of the writer in the shard's writer list, modulo its length.
        attempt: usize,
        /// The record to append.
        record: ClaimRecord,
    },
    /// Send the call to an upstream, at most once.
    Run {
        /// The id of the winning claim.
        claim: ClaimId,
        /// The id of the request to run.
        request: RequestId,
    },
    /// Answer the caller.
    Answer {
        /// The id of the request to answer.
        request: RequestId,
        /// The answer for the caller.
        answer: CallAnswer,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallStage {
    Claiming,
    Waiting(ClaimId),
    Running,
}

#[derive(Clone, Debug)]
struct OpenCall {
    call: CallRequest,
    stage: CallStage,
    deadline: Moment,
    last_sent: Moment,
    attempt: usize,
    /// Whether the claim may get into the log without a verdict reaching this host.
    may_be_logged: bool,
}

/// An outcome or abort that is not yet known to be in the log.
#[derive(Clone, Debug)]
struct PendingRecord {
    record: ClaimRecord,
    last_sent: Moment,
    attempt: usize,
}

/// The open calls of one process and its outcomes that are still to be recorded.
#[derive(Clone, Debug)]
pub struct Requester {
    host: HostName,
    process: Process,
    bounds: ClaimBounds,
    seq: u64,
    open_calls: FastMap<ClaimId, OpenCall>,
    pending: FastMap<ClaimId, PendingRecord>,
    /// Recently closed claims that, as far as is known, were not appended.
    closed_claims: VecDeque<(ClaimId, CallKey)>,
}

impl Requester {
    /// Creates the requester of a process that has no claims yet.
    #[must_use]
    pub fn new(host: HostName, process: Process, bounds: ClaimBounds) -> Self {
        Self {
            host,
            process,
            bounds,
            seq: 0,
            open_calls: FastMap::default(),
            pending: FastMap::default(),
            closed_claims: VecDeque::new(),
        }
    }

    /// Returns whether no call is open and every outcome is in the log.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open_calls.is_empty() && self.pending.is_empty()
    }

    /// Starts to claim a call, or refuses it if too many calls are open.
    pub fn begin(&mut self, call: CallRequest, now: Moment) -> Vec<RequesterEffect> {
        if self.open_calls.len() + self.pending.len() >= self.bounds.open_calls {
            return vec![refuse(call.request, NotRunReason::Busy)];
        }
        let deadline = now.after(self.bounds.claim_timeout);
        vec![self.claim(call, 0, deadline, now)]
    }

    fn claim(
        &mut self,
        call: CallRequest,
        attempt: usize,
        deadline: Moment,
        now: Moment,
    ) -> RequesterEffect {
        self.seq += 1;
        let id = ClaimId {
            process: self.process,
            seq: self.seq,
        };
        let record = self.record(id, &call);
        let open = OpenCall {
            call,
            stage: CallStage::Claiming,
            deadline,
            last_sent: now,
            attempt,
            may_be_logged: false,
        };
        self.open_calls.insert(id, open);
        RequesterEffect::Submit { attempt, record }
    }

    fn record(&self, id: ClaimId, call: &CallRequest) -> ClaimRecord {
        ClaimRecord::Claim(Claim {
            id,
            key: call.key,
            organisation: call.organisation.clone(),
            request: call.digest,
            host: self.host.clone(),
        })
    }

    /// Returns whether the first byte of a call may still be sent.
    ///
    /// The caller checks this immediately before sending: after a long pause the
    /// hosts may have forgotten the claim, so that another one could win. If the
    /// byte must not be sent, the caller reports [`RunResult::NotSent`].
    #[must_use]
    pub fn may_send(&self, id: ClaimId, now: Moment) -> bool {
        self.open_calls
            .get(&id)
            .is_some_and(|open| open.stage == CallStage::Running && now < open.deadline)
    }

    /// Processes the result of a call that was run.
    pub fn handle_run_result(
        &mut self,
        id: ClaimId,
        result: RunResult,
        now: Moment,
    ) -> Vec<RequesterEffect> {
        let Some(open) = self.open_calls.get_mut(&id) else {
            return Vec::new();
        };
        if open.stage != CallStage::Running {
            return Vec::new();
        }
        // The claim has won, so it must be aborted if the call was not sent.
        open.may_be_logged = true;
        let outcome = match result {
            RunResult::NotSent => {
                return self.close(id, CallAnswer::NotRun(NotRunReason::NotSent), now);
            }
            RunResult::Answered(outcome) => outcome,
            RunResult::Lost => CallOutcome::Unknown,
        };
        let Some(open) = self.open_calls.remove(&id) else {
            return Vec::new();
        };
        let answer = match &outcome {
            CallOutcome::Answered { .. } => None,
            CallOutcome::Unknown => Some(RequesterEffect::Answer {
                request: open.call.request,
                answer: CallAnswer::Unknown,
            }),
        };
        let key = open.call.key;
        let record = ClaimRecord::Outcome { id, key, outcome };
        let mut effects = vec![self.submit_pending(record, open.attempt, now)];
        effects.extend(answer);
        effects
    }

    /// Records that the outcome or abort of a claim is in the log.
    pub fn mark_recorded(&mut self, id: ClaimId) {
        self.pending.remove(&id);
    }

    /// Answers the calls that wait for a process that is known to have stopped.
    pub fn handle_stopped_process(
        &mut self,
        process: Process,
        now: Moment,
    ) -> Vec<RequesterEffect> {
        let mut ids: Vec<_> = self
            .open_calls
            .iter()
            .filter(|(_id, open)| {
                matches!(open.stage, CallStage::Waiting(winner)
                    if winner.process.address == process.address
                        && winner.process.incarnation <= process.incarnation)
            })
            .map(|(id, _open)| *id)
            .collect();
        ids.sort_unstable();
        ids.into_iter()
            .flat_map(|id| self.close(id, CallAnswer::Unknown, now))
            .collect()
    }
}

fn refuse(request: RequestId, reason: NotRunReason) -> RequesterEffect {
    RequesterEffect::Answer {
        request,
        answer: CallAnswer::NotRun(reason),
    }
}
