//! Runs a call with an idempotency key at most once across all hosts.
//!
//! The host claims the key in the log before it sends the first byte and records
//! the outcome there, also when the caller has disconnected.

use std::sync::Arc;

use bytes::Bytes;
use eelgrasshill_control::{
    Body, CallAnswer, CallOutcome, CallRequest, ClaimId, NotRunReason, RunResult,
};
use eelgrasshill_ports::{CallError, Plain, PlainReply};
use tokio::sync::{mpsc, oneshot};

use crate::plain_request::{PlainRequest, upstream_error};
use crate::{ApiError, ClaimCommand, ClaimDecision, Code, Shared};

/// An acquired claim that reports its result when dropped.
///
/// Reporting on drop covers tasks that are cancelled before the call ends.
#[derive(Debug)]
struct AcquiredClaim {
    id: ClaimId,
    commands: mpsc::Sender<ClaimCommand>,
    result: Option<RunResult>,
}

impl Drop for AcquiredClaim {
    fn drop(&mut self) {
        let result = self.result.take().unwrap_or(RunResult::NotSent);
        if self
            .commands
            .try_send(ClaimCommand::Complete(self.id, result))
            .is_err()
        {
            log::error!("claims: the end of claim {:?} could not be told", self.id);
        }
    }
}

/// Claims a call and either runs it or returns the recorded outcome.
///
/// # Errors
///
/// Returns [`ApiError`], which says whether the call may have run.
pub(crate) async fn run_once<P: Plain>(
    shared: &Arc<Shared>,
    request: &PlainRequest<P>,
    call: CallRequest,
) -> Result<PlainReply, ApiError> {
    let mut reservation = request.admit(shared).await?;
    let (sender, decision) = oneshot::channel();
    let sent = shared.claims.send(ClaimCommand::Begin(call, sender)).await;
    let decision = match sent {
        Ok(()) => decision.await,
        Err(_gone) => return Err(unavailable("the host is leaving")),
    };
    let id = match decision {
        Ok(ClaimDecision::Run(id)) => id,
        Ok(ClaimDecision::Answer(answer)) => return reply_from_answer(answer),
        Err(_gone) => {
            return Err(ApiError::unknown(
                Code::OutcomeUnknown,
                "the host is leaving",
            ));
        }
    };
    let mut claim = AcquiredClaim {
        id,
        commands: shared.claims.clone(),
        result: None,
    };
    let (guard, host) = request.wait_for_upstream(shared, Vec::new()).await?;
    if !may_send(shared, id).await {
        return Err(unavailable("the claim is too old to be run"));
    }
    if let Some(reservation) = &mut reservation {
        reservation.spend(1);
    }
    // From here on a cancelled task must not report that nothing was sent.
    claim.result = Some(RunResult::Lost);
    let outcome = request.send(shared, guard, &host).await;
    claim.result = Some(run_result(&outcome));
    outcome.map_err(|error| upstream_error(&error))
}

async fn may_send(shared: &Arc<Shared>, id: ClaimId) -> bool {
    let (sender, answer) = oneshot::channel();
    let sent = shared.claims.send(ClaimCommand::MaySend(id, sender)).await;
    sent.is_ok() && answer.await.unwrap_or(false)
}

fn run_result(outcome: &Result<PlainReply, CallError>) -> RunResult {
    match outcome {
        Ok(reply) => RunResult::Answered(CallOutcome::Answered {
            status: reply.status,
            media_type: reply.content.clone().unwrap_or_default(),
            body: Body::new(&reply.body),
        }),
        Err(error) if error.is_unsent() => RunResult::NotSent,
        Err(_lost) => RunResult::Lost,
    }
}

fn unavailable(message: &str) -> ApiError {
    ApiError::not_run(Code::ClaimUnavailable, message)
}

/// Converts the outcome of a call that another request ran to a reply.
fn reply_from_answer(answer: CallAnswer) -> Result<PlainReply, ApiError> {
    match answer {
        CallAnswer::Recorded(outcome) => reply_from_outcome(&outcome),
        CallAnswer::NotRun(reason @ (NotRunReason::Busy | NotRunReason::LogUnavailable)) => {
            Err(unavailable(&reason.to_string()))
        }
        CallAnswer::NotRun(reason @ NotRunReason::NotSent) => {
            Err(ApiError::not_run(Code::UpstreamFailed, reason))
        }
        CallAnswer::Unknown => Err(ApiError::unknown(
            Code::OutcomeUnknown,
            "a call with this key may have run, and its outcome is not known",
        )),
        CallAnswer::Conflict => Err(ApiError::not_run(
            Code::IdempotencyConflict,
            "the key was used with another request; use a new key",
        )),
        CallAnswer::Expired => Err(ApiError::unknown(
            Code::OutcomeUnknown,
            "a call with this key ran, and its answer is no longer kept",
        )),
    }
}

fn reply_from_outcome(outcome: &CallOutcome) -> Result<PlainReply, ApiError> {
    match outcome {
        CallOutcome::Answered {
            status,
            media_type,
            body: Body::Text(text),
        } => Ok(PlainReply {
            status: *status,
            content: Some(media_type.clone()).filter(|media_type| !media_type.is_empty()),
            id: None,
            body: Bytes::from(text.clone()),
        }),
        CallOutcome::Answered {
            status,
            body: Body::Omitted { .. },
            ..
        } => {
            let message =
                format!("the call ran with status {status}; its answer was too long to keep");
            Err(ApiError::unknown(Code::OutcomeUnknown, message))
        }
        CallOutcome::Unknown => Err(ApiError::unknown(
            Code::OutcomeUnknown,
            "a call with this key may have run, and its outcome is not known",
        )),
    }
}
