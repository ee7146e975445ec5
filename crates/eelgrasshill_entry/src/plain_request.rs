//! Forwards one call to a plain service and retries it where that is safe.
//!
//! A plain service is an HTTP service that is not a model engine.
//!
//! A call is retried when nothing was sent, or when its route allows repeats,
//! and only within the host's retry budget.

use std::sync::Arc;

use eelgrasshill_control::Grant;
use eelgrasshill_domain::{HostName, Moment};
use eelgrasshill_ports::{CallError, PlainCall, PlainClient, PlainReply};
use eelgrasshill_route::{Call, ConnectionOutcome, Requirement, RetryBudget, Ticket};

use crate::quota::Reservation;
use crate::{ApiError, BootClock, Code, DispatchGuard, Shared};

/// Rate limit cost of a plain call, in tokens.
pub(crate) const PLAIN_CALL_TOKENS: u64 = 1;

/// A call to a plain service whose route has been resolved.
#[derive(Debug)]
pub(crate) struct PlainRequest<P> {
    /// The client of plain services.
    pub(crate) plain: P,
    /// The authorisation for the route.
    pub(crate) grant: Grant,
    /// The call to forward.
    pub(crate) call: PlainCall,
    /// When the request arrived.
    pub(crate) arrived: Moment,
}

impl<P: PlainClient> PlainRequest<P> {
    /// Reserves tokens, waits for an upstream and sends the call.
    ///
    /// # Errors
    ///
    /// Returns [`ApiError`], which says whether the call may have run.
    pub(crate) async fn run(&self, shared: &Arc<Shared>) -> Result<PlainReply, ApiError> {
        let mut reservation = self.admit(shared).await?;
        shared.with_retry_budget(RetryBudget::record_call);
        let mut failed_hosts = Vec::new();
        let mut may_have_run = false;
        // What the last attempt says does not hold for the call if an earlier one may have run.
        let refuse = |error: ApiError, may_have_run| {
            if may_have_run {
                error.after_run()
            } else {
                error
            }
        };
        loop {
            let (guard, host) = self
                .wait_for_upstream(shared, failed_hosts.clone())
                .await
                .map_err(|error| refuse(error, may_have_run))?;
            // The type of the call shows whether bytes were sent, which decides whether a
            // retry is safe.
            let unsent_call = Call::new(self.grant.route.repeat);
            if let Some(reservation) = &mut reservation {
                reservation.spend(PLAIN_CALL_TOKENS);
            }
            let error = match self.send(shared, guard, &host).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            log::info!(
                "plain: request {} to upstream {host} failed: {error}",
                self.call.request_id
            );
            let now = BootClock.now();
            let retry = shared.with_retry_budget(|budget| {
                if error.is_unsent() {
                    unsent_call.reconnect(budget, now)
                } else {
                    unsent_call.send().retry(budget, now)
                }
            });
            may_have_run |= !error.is_unsent();
            if retry.is_err() {
                return Err(refuse(upstream_error(&error), may_have_run));
            }
            failed_hosts.push(host);
        }
    }

    /// Reserves the call's tokens; open routes need none.
    pub(crate) async fn admit(
        &self,
        shared: &Arc<Shared>,
    ) -> Result<Option<Reservation>, ApiError> {
        let timeouts = shared.timeouts.of(self.grant.route.class);
        let deadline = self.arrived.after(timeouts.queue_wait);
        let Some(organisation) = &self.grant.organisation else {
            return Ok(None);
        };
        Ok(Some(
            shared
                .quota
                .admit(organisation, PLAIN_CALL_TOKENS, deadline)
                .await?,
        ))
    }

    /// Queues the call until an upstream is free.
    pub(crate) async fn wait_for_upstream(
        &self,
        shared: &Arc<Shared>,
        failed_hosts: Vec<HostName>,
    ) -> Result<(DispatchGuard, HostName), ApiError> {
        let route = &self.grant.route;
        let deadline = self
            .arrived
            .after(shared.timeouts.of(route.class).queue_wait);
        let id = shared.dispatcher.next_id();
        let pool = route.pool.clone();
        let mut ticket = Ticket::new(
            id,
            route.class,
            pool,
            Requirement::Plain,
            PLAIN_CALL_TOKENS,
            deadline,
        )
        .with_avoid(failed_hosts);
        ticket.organisation.clone_from(&self.grant.organisation);
        let mut guard = shared.dispatcher.enqueue(ticket, BootClock.now())?;
        let host = guard.wait_started().await?;
        Ok((guard, host))
    }

    /// Sends the call once and reads the whole reply.
    pub(crate) async fn send(
        &self,
        shared: &Arc<Shared>,
        guard: DispatchGuard,
        host: &HostName,
    ) -> Result<PlainReply, CallError> {
        let _guard = guard;
        let Some(address) = shared.address_of(host) else {
            let address = host.to_string();
            return Err(CallError::NotSent {
                address,
                cause: "it left the tables".to_owned(),
            });
        };
        let timeout = shared.timeouts.of(self.grant.route.class).whole_answer;
        let sent_at = BootClock.now();
        let outcome = self.plain.call(address, &self.call, timeout).await;
        let now = BootClock.now();
        match outcome {
            Ok(reply)
                if reply
                    .request_id
                    .as_deref()
                    .is_none_or(|id| id == self.call.request_id.as_str()) =>
            {
                shared.dispatcher.observe(
                    host,
                    ConnectionOutcome::Answered { opened: sent_at },
                    now,
                );
                Ok(reply)
            }
            // The upstream's health is not recorded from an answer to another request.
            Ok(_mismatched) => Err(CallError::Malformed {
                address: address.to_string(),
                cause: "it is the answer to another request".to_owned(),
            }),
            Err(error) => {
                let connection_outcome = match &error {
                    CallError::NotSent { .. } => ConnectionOutcome::ConnectFailed,
                    CallError::Timeout { .. }
                    | CallError::Lost { .. }
                    | CallError::Status { .. }
                    | CallError::Malformed { .. } => ConnectionOutcome::Silent { opened: sent_at },
                };
                shared.dispatcher.observe(host, connection_outcome, now);
                Err(error)
            }
        }
    }
}

/// Converts an upstream failure to the caller's error.
pub(crate) fn upstream_error(error: &CallError) -> ApiError {
    let new_error = if error.is_unsent() {
        ApiError::not_run
    } else {
        ApiError::may_have_run
    };
    new_error(Code::UpstreamFailed, error)
}
