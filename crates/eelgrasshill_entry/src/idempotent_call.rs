//! Runs a call with an idempotency key at most once across all hosts.
//!
//! The host claims the key in the log before it sends the first byte and records
//! the outcome there, also when the caller has disconnected.

use std::sync::Arc;

use bytes::Bytes;
use eelgrasshill_control::{
    Body, CallAnswer, CallOutcome, CallRequest, ClaimId, NotRunReason, RunResult,
};
use eelgrasshill_ports::{CallError, PlainClient, PlainReply};
use tokio::sync::{mpsc, oneshot};

use crate::plain_request::{PLAIN_CALL_TOKENS, PlainRequest, upstream_error};
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
            log::error!(
                "claims: cannot report the result of claim {:?}: the control thread's queue is full or closed",
                self.id
            );
        }
    }
}

/// Claims a call and either runs it or returns the recorded outcome.
///
/// # Errors
///
/// Returns [`ApiError`], which says whether the call may have run.
pub(crate) async fn run_once<P: PlainClient>(
    shared: &Arc<Shared>,
    request: &PlainRequest<P>,
    call: CallRequest,
) -> Result<PlainReply, ApiError> {
    let mut reservation = request.admit(shared).await?;
    let (sender, decision) = oneshot::channel();
    let sent = shared
        .claim_commands
        .send(ClaimCommand::Begin(call, sender))
        .await;
    let decision = match sent {
        Ok(()) => decision.await,
        Err(_gone) => return Err(unavailable("the host is leaving")),
    };
    let id = match decision {
        Ok(ClaimDecision::Run(id)) => id,
        Ok(ClaimDecision::Answer(answer)) => return reply_from_answer(answer),
        Err(_gone) => {
            return Err(ApiError::may_have_run(
                Code::OutcomeUnknown,
                "the host is leaving",
            ));
        }
    };
    let mut claim = AcquiredClaim {
        id,
        commands: shared.claim_commands.clone(),
        result: None,
    };
    let (guard, host) = request.wait_for_upstream(shared, Vec::new()).await?;
    if !may_send(shared, id).await {
        return Err(unavailable("the claim is too old to be run"));
    }
    if let Some(reservation) = &mut reservation {
        reservation.spend(PLAIN_CALL_TOKENS);
    }
    // From here on a cancelled task must not report that nothing was sent.
    claim.result = Some(RunResult::Lost);
    let outcome = request.send(shared, guard, &host).await;
    claim.result = Some(run_result(&outcome));
    outcome.map_err(|error| upstream_error(&error))
}

/// Asks the control thread whether the claim is still recent enough to send the call.
async fn may_send(shared: &Arc<Shared>, id: ClaimId) -> bool {
    let (sender, answer) = oneshot::channel();
    let sent = shared
        .claim_commands
        .send(ClaimCommand::MaySend(id, sender))
        .await;
    sent.is_ok() && answer.await.unwrap_or(false)
}

/// Converts the outcome of a call to the result that the log records.
fn run_result(outcome: &Result<PlainReply, CallError>) -> RunResult {
    match outcome {
        Ok(reply) => RunResult::Answered(CallOutcome::Answered {
            status: reply.status,
            media_type: reply.content_type.clone().unwrap_or_default(),
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
        CallAnswer::Unknown => Err(ApiError::may_have_run(
            Code::OutcomeUnknown,
            "a call with this key may have run, and its outcome is not known",
        )),
        CallAnswer::Conflict => Err(ApiError::not_run(
            Code::IdempotencyConflict,
            "the key was used with another request; use a new key",
        )),
        CallAnswer::Expired => Err(ApiError::may_have_run(
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
            content_type: Some(media_type.clone()).filter(|media_type| !media_type.is_empty()),
            request_id: None,
            body: Bytes::from(text.clone()),
        }),
        CallOutcome::Answered {
            status,
            body: Body::Omitted { .. },
            ..
        } => {
            let message =
                format!("the call ran with status {status}; its answer was too long to keep");
            Err(ApiError::may_have_run(Code::OutcomeUnknown, message))
        }
        CallOutcome::Unknown => Err(ApiError::may_have_run(
            Code::OutcomeUnknown,
            "a call with this key may have run, and its outcome is not known",
        )),
    }
}
