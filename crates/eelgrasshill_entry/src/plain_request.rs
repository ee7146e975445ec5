//! Forwards one call to a plain service and retries it where that is safe.
//!
//! A call is retried when nothing was sent, or when its route allows repeats,
//! and only within the host's retry budget.

use std::sync::Arc;

use eelgrasshill_control::Grant;
use eelgrasshill_domain::{HostName, Moment};
use eelgrasshill_ports::{CallError, Plain, PlainCall, PlainReply};
use eelgrasshill_route::{Call, ConnectionOutcome, Requirement, RetryBudget, Ticket};

use crate::quota::Reservation;
use crate::{ApiError, BootClock, Code, DispatchGuard, Shared};

/// Rate limit cost of a plain call, in tokens.
const PLAIN_CALL_TOKENS: u64 = 1;

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

impl<P: Plain> PlainRequest<P> {
    /// Reserves tokens, waits for an upstream and sends the call.
    ///
    /// # Errors
    ///
    /// Returns [`ApiError`], which says whether the call may have run.
    pub(crate) async fn run(&self, shared: &Arc<Shared>) -> Result<PlainReply, ApiError> {
        let mut reservation = self.admit(shared).await?;
        shared.with_retries(RetryBudget::record_call);
        let mut avoid = Vec::new();
        loop {
            let (guard, host) = self.wait_for_upstream(shared, avoid.clone()).await?;
            let unsent_call = Call::new(self.grant.route.repeat);
            if let Some(reservation) = &mut reservation {
                reservation.spend(PLAIN_CALL_TOKENS);
            }
            let error = match self.send(shared, guard, &host).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            log::info!("plain: {} on {host} failed: {error}", self.call.id);
            let now = BootClock.now();
            let retry = shared.with_retries(|budget| {
                if error.is_unsent() {
                    unsent_call.reconnect(budget, now)
                } else {
                    unsent_call.send().retry(budget, now)
                }
            });
            if retry.is_err() {
                return Err(upstream_error(&error));
            }
            avoid.push(host);
        }
    }

    /// Reserves the call's tokens; open routes need none.
    pub(crate) async fn admit(
        &self,
        shared: &Arc<Shared>,
    ) -> Result<Option<Reservation>, ApiError> {
        let timeouts = shared.timeouts.of(self.grant.route.class);
        let until = self.arrived.after(timeouts.queue_wait);
        let Some(organisation) = &self.grant.organisation else {
            return Ok(None);
        };
        Ok(Some(
            shared
                .quota
                .admit(organisation, PLAIN_CALL_TOKENS, until)
                .await?,
        ))
    }

    /// Queues the call until an upstream is free.
    pub(crate) async fn wait_for_upstream(
        &self,
        shared: &Arc<Shared>,
        avoid: Vec<HostName>,
    ) -> Result<(DispatchGuard, HostName), ApiError> {
        let route = &self.grant.route;
        let until = self
            .arrived
            .after(shared.timeouts.of(route.class).queue_wait);
        let id = shared.dispatch.next_id();
        let pool = route.pool.clone();
        let mut ticket = Ticket::new(
            id,
            route.class,
            pool,
            Requirement::Plain,
            PLAIN_CALL_TOKENS,
            until,
        )
        .with_avoid(avoid);
        ticket.organisation.clone_from(&self.grant.organisation);
        let mut guard = shared.dispatch.offer(ticket, BootClock.now())?;
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
        let opened = BootClock.now();
        let outcome = self.plain.call(address, &self.call, timeout).await;
        let now = BootClock.now();
        match outcome {
            Ok(reply)
                if reply
                    .id
                    .as_deref()
                    .is_none_or(|id| id == self.call.id.as_str()) =>
            {
                shared
                    .dispatch
                    .observe(host, ConnectionOutcome::Answered { opened }, now);
                Ok(reply)
            }
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
                    | CallError::Malformed { .. } => ConnectionOutcome::Silent { opened },
                };
                shared.dispatch.observe(host, connection_outcome, now);
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
        ApiError::unknown
    };
    new_error(Code::UpstreamFailed, error)
}
