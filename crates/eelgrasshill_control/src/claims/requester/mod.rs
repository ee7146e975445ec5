//! The claims of one entry host, from a call's arrival to its recorded outcome.
//!
//! A call runs at most once because a claim leaves the stage of claiming only
//! one way: it runs, or it is given up and never runs. Before "not run" is said
//! of a claim that may stand in the log, an abort for it is on its way.

mod resend;
mod verdict;

use std::{collections::VecDeque, sync::Arc};

use derive_more::{Display, Error};
use eelgrasshill_domain::{FastMap, HostName, Moment, OrgName, RequestId, record};

use super::{CallDigest, CallKey, CallOutcome, Claim, ClaimBounds, ClaimId, ClaimRecord};
use crate::Process;

record! {
    /// A call with an idempotency key, as it arrived.
    pub struct Call {
        /// The id of the request.
        pub request: RequestId,
        /// The idempotency key within the organisation.
        pub key: CallKey,
        /// The organisation for which it runs.
        pub organisation: Option<OrgName>,
        /// The digest of method, path and body.
        pub digest: CallDigest,
    }

    /// Why a call was not run; it never will be under this request.
    #[derive(Copy, Display, Error)]
    pub enum NotRun {
        /// The host has too many calls open.
        #[display("too many calls are open")]
        Busy,
        /// The log cannot be reached, so no claim could be won.
        #[display("the claim could not be recorded in time")]
        #[serde(rename = "log-out")]
        LogUnavailable,
        /// No byte of the call was sent to an upstream.
        #[display("no upstream could be reached")]
        NotSent,
    }

    /// The answer to a call that this request does not run.
    pub enum Answer {
        /// The call ran before, and this is its outcome.
        Recorded(Arc<CallOutcome>),
        /// The call was not run.
        NotRun(NotRun),
        /// The call may have run, and its outcome is not known.
        Unknown,
        /// The key was used for another request.
        Conflict,
        /// The call was claimed so long ago that its outcome is no longer kept.
        Expired,
    }

    /// The result of an attempt to send a call to an upstream.
    pub enum RunResult {
        /// The upstream answered.
        Answered(CallOutcome),
        /// The upstream's answer was lost after a byte was sent.
        Lost,
        /// No byte was sent.
        NotSent,
    }
}

/// What the requester asks of its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequesterEffect {
    /// Send the record to a writer of the key's shard.
    Submit {
        /// Which writer of the list, counted from its start and round it.
        attempt: usize,
        /// The record.
        record: ClaimRecord,
    },
    /// Send the call to an upstream, once.
    Run {
        /// The claim that was won.
        claim: ClaimId,
        /// The request.
        request: RequestId,
    },
    /// Answer the caller.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Claiming,
    Waiting(ClaimId),
    Running,
}

#[derive(Clone, Debug)]
struct OpenCall {
    call: Call,
    stage: Stage,
    deadline: Moment,
    last_sent: Moment,
    attempt: usize,
    /// Whether the claim may get into the log without a verdict reaching this host.
    may_land: bool,
}

/// An outcome or abort that is not yet known to stand in the log.
#[derive(Clone, Debug)]
struct PendingRecord {
    record: ClaimRecord,
    last_sent: Moment,
    attempt: usize,
}

/// The state of all claims of one process.
#[derive(Clone, Debug)]
pub struct Requester {
    host: HostName,
    process: Process,
    bounds: ClaimBounds,
    seq: u64,
    open: FastMap<ClaimId, OpenCall>,
    pending: FastMap<ClaimId, PendingRecord>,
    /// Recently closed claims that, as far as is known, were not appended.
    closed_claims: VecDeque<(ClaimId, CallKey)>,
}

impl Requester {
    /// Makes the requester of a process that has no claims yet.
    #[must_use]
    pub fn new(host: HostName, process: Process, bounds: ClaimBounds) -> Self {
        Self {
            host,
            process,
            bounds,
            seq: 0,
            open: FastMap::default(),
            pending: FastMap::default(),
            closed_claims: VecDeque::new(),
        }
    }

    /// Returns whether no call is open and every outcome stands in the log.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.pending.is_empty()
    }

    /// Starts to claim a call.
    pub fn begin(&mut self, call: Call, now: Moment) -> Vec<RequesterEffect> {
        if self.open.len() + self.pending.len() >= self.bounds.open_calls {
            return vec![refuse(call.request, NotRun::Busy)];
        }
        let deadline = now.after(self.bounds.claim_timeout);
        vec![self.claim(call, 0, deadline, now)]
    }

    fn claim(
        &mut self,
        call: Call,
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
            stage: Stage::Claiming,
            deadline,
            last_sent: now,
            attempt,
            may_land: false,
        };
        self.open.insert(id, open);
        RequesterEffect::Submit { attempt, record }
    }

    fn record(&self, id: ClaimId, call: &Call) -> ClaimRecord {
        ClaimRecord::Claim(Claim {
            id,
            key: call.key,
            organisation: call.organisation.clone(),
            request: call.digest,
            host: self.host.clone(),
        })
    }

    /// Returns whether the first byte of a won call may still leave.
    ///
    /// Ask right before it leaves: after a long pause the log may have
    /// forgotten the claim. End the run as not sent when it may not.
    #[must_use]
    pub fn may_send(&self, id: ClaimId, now: Moment) -> bool {
        self.open
            .get(&id)
            .is_some_and(|open| open.stage == Stage::Running && now < open.deadline)
    }

    /// Processes the result of a call that was run.
    pub fn handle_run_result(
        &mut self,
        id: ClaimId,
        end: RunResult,
        now: Moment,
    ) -> Vec<RequesterEffect> {
        let Some(open) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        if open.stage != Stage::Running {
            return Vec::new();
        }
        // The claim has won, so it must be aborted if the call was not sent.
        open.may_land = true;
        let outcome = match end {
            RunResult::NotSent => return self.close(id, Answer::NotRun(NotRun::NotSent), now),
            RunResult::Answered(outcome) => outcome,
            RunResult::Lost => CallOutcome::Unknown,
        };
        let Some(open) = self.open.remove(&id) else {
            return Vec::new();
        };
        let answer = match &outcome {
            CallOutcome::Answered { .. } => None,
            CallOutcome::Unknown => Some(RequesterEffect::Answer {
                request: open.call.request,
                answer: Answer::Unknown,
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
            .open
            .iter()
            .filter(|(_id, open)| {
                matches!(open.stage, Stage::Waiting(winner)
                    if winner.process.address == process.address
                        && winner.process.incarnation <= process.incarnation)
            })
            .map(|(id, _open)| *id)
            .collect();
        ids.sort_unstable();
        ids.into_iter()
            .flat_map(|id| self.close(id, Answer::Unknown, now))
            .collect()
    }
}

fn refuse(request: RequestId, reason: NotRun) -> RequesterEffect {
    RequesterEffect::Answer {
        request,
        answer: Answer::NotRun(reason),
    }
}
