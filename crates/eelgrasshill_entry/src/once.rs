//! Runs a call with an idempotency key at most once over all hosts.
//!
//! The claim is won in the log before the first byte leaves, and its outcome
//! is recorded there, whatever becomes of the caller.

use std::sync::Arc;

use bytes::Bytes;
use eelgrasshill_control::{Answer, Body, Call, CallOutcome, ClaimId, NotRun, RunResult};
use eelgrasshill_ports::{CallError, Plain, PlainReply};
use tokio::sync::{mpsc, oneshot};

use crate::passing::{Passing, refusal};
use crate::{ApiError, ClaimCommand, ClaimTurn, Code, Shared};

/// A won claim whose end must be told, even when the task that holds it is dropped.
#[derive(Debug)]
struct Won {
    id: ClaimId,
    commands: mpsc::Sender<ClaimCommand>,
    end: Option<RunResult>,
}

impl Drop for Won {
    fn drop(&mut self) {
        let end = self.end.take().unwrap_or(RunResult::NotSent);
        if self
            .commands
            .try_send(ClaimCommand::Ran(self.id, end))
            .is_err()
        {
            log::error!("claims: the end of claim {:?} could not be told", self.id);
        }
    }
}

/// Claims a call, runs it if it may run, and answers as the log says.
///
/// # Errors
///
/// Returns [`ApiError`], which says whether the call may have run.
pub(crate) async fn run_once<P: Plain>(
    shared: &Arc<Shared>,
    passing: &Passing<P>,
    call: Call,
) -> Result<PlainReply, ApiError> {
    let mut reservation = passing.admit(shared).await?;
    let (sender, turn) = oneshot::channel();
    let begun = shared.claims.send(ClaimCommand::Begin(call, sender)).await;
    let turn = match begun {
        Ok(()) => turn.await,
        Err(_gone) => return Err(unavailable("the host is leaving")),
    };
    let id = match turn {
        Ok(ClaimTurn::Run(id)) => id,
        Ok(ClaimTurn::Answer(answer)) => return reply_of(answer),
        Err(_gone) => {
            return Err(ApiError::unknown(
                Code::OutcomeUnknown,
                "the host is leaving",
            ));
        }
    };
    let mut won = Won {
        id,
        commands: shared.claims.clone(),
        end: None,
    };
    let (place, host) = passing.place(shared, Vec::new()).await?;
    if !may_send(shared, id).await {
        return Err(unavailable("the claim is too old to be run"));
    }
    if let Some(reservation) = &mut reservation {
        reservation.spend(1);
    }
    // From here on a dropped task must not say that nothing was sent.
    won.end = Some(RunResult::Lost);
    let outcome = passing.send(shared, place, &host).await;
    won.end = Some(end_of(&outcome));
    outcome.map_err(|error| refusal(&error))
}

async fn may_send(shared: &Arc<Shared>, id: ClaimId) -> bool {
    let (sender, answer) = oneshot::channel();
    let asked = shared.claims.send(ClaimCommand::MaySend(id, sender)).await;
    asked.is_ok() && answer.await.unwrap_or(false)
}

fn end_of(outcome: &Result<PlainReply, CallError>) -> RunResult {
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

/// Returns what the caller of a call that another request ran is told.
fn reply_of(answer: Answer) -> Result<PlainReply, ApiError> {
    match answer {
        Answer::Recorded(outcome) => recorded(&outcome),
        Answer::NotRun(reason @ (NotRun::Busy | NotRun::LogUnavailable)) => {
            Err(unavailable(&reason.to_string()))
        }
        Answer::NotRun(reason @ NotRun::NotSent) => {
            Err(ApiError::not_run(Code::UpstreamFailed, reason))
        }
        Answer::Unknown => Err(ApiError::unknown(
            Code::OutcomeUnknown,
            "a call with this key may have run, and its outcome is not known",
        )),
        Answer::Conflict => Err(ApiError::not_run(
            Code::IdempotencyConflict,
            "the key was used with another request; use a new key",
        )),
        Answer::Expired => Err(ApiError::unknown(
            Code::OutcomeUnknown,
            "a call with this key ran, and its answer is no longer kept",
        )),
    }
}

fn recorded(outcome: &CallOutcome) -> Result<PlainReply, ApiError> {
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
