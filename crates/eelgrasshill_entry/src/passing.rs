//! One call on its way to a plain service, sent again only where that is safe.

use std::sync::Arc;

use eelgrasshill_control::Grant;
use eelgrasshill_domain::{HostName, Moment};
use eelgrasshill_ports::{CallError, Plain, PlainCall, PlainReply};
use eelgrasshill_route::{Call, Observation, Requirement, RetryBudget, Ticket};

use crate::quota::Reservation;
use crate::{ApiError, BootClock, Code, Place, Shared};

/// Tokens that a plain call costs.
const PLAIN_COST: u64 = 1;

/// A call of a plain service, resolved.
#[derive(Debug)]
pub(crate) struct Passing<P> {
    /// How plain services are reached.
    pub(crate) plain: P,
    /// The right to the route.
    pub(crate) grant: Grant,
    /// The call.
    pub(crate) call: PlainCall,
    /// When it arrived.
    pub(crate) arrived: Moment,
}

impl<P: Plain> Passing<P> {
    /// Reserves tokens, finds an upstream and sends the call.
    ///
    /// # Errors
    ///
    /// Returns [`ApiError`], which says whether the call may have run.
    pub(crate) async fn run(&self, shared: &Arc<Shared>) -> Result<PlainReply, ApiError> {
        let mut reservation = self.admit(shared).await?;
        shared.with_retries(RetryBudget::record_call);
        let mut avoid = Vec::new();
        loop {
            let (place, host) = self.place(shared, avoid.clone()).await?;
            let unsent = Call::new(self.grant.route.repeat);
            if let Some(reservation) = &mut reservation {
                reservation.spend(PLAIN_COST);
            }
            let error = match self.send(shared, place, &host).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            log::info!("plain: {} on {host} failed: {error}", self.call.id);
            let now = BootClock.now();
            let retry = shared.with_retries(|budget| {
                if error.is_unsent() {
                    unsent.reconnect(budget, now)
                } else {
                    unsent.send().retry(budget, now)
                }
            });
            if retry.is_err() {
                return Err(refusal(&error));
            }
            avoid.push(host);
        }
    }

    /// Reserves the call's tokens, where it is an organisation's.
    pub(crate) async fn admit(
        &self,
        shared: &Arc<Shared>,
    ) -> Result<Option<Reservation>, ApiError> {
        let class = shared.bounds.of(self.grant.route.class);
        let until = self.arrived.after(class.queue_wait);
        let Some(organisation) = &self.grant.organisation else {
            return Ok(None);
        };
        Ok(Some(
            shared.quota.admit(organisation, PLAIN_COST, until).await?,
        ))
    }

    /// Waits for an upstream.
    pub(crate) async fn place(
        &self,
        shared: &Arc<Shared>,
        avoid: Vec<HostName>,
    ) -> Result<(Place, HostName), ApiError> {
        let route = &self.grant.route;
        let until = self.arrived.after(shared.bounds.of(route.class).queue_wait);
        let id = shared.dispatch.next_id();
        let pool = route.pool.clone();
        let mut ticket = Ticket::new(id, route.class, pool, Requirement::Plain, PLAIN_COST, until)
            .with_avoid(avoid);
        ticket.organisation.clone_from(&self.grant.organisation);
        let mut place = shared.dispatch.offer(ticket, BootClock.now())?;
        let host = place.started().await?;
        Ok((place, host))
    }

    /// Sends the call once and reads the whole answer.
    pub(crate) async fn send(
        &self,
        shared: &Arc<Shared>,
        place: Place,
        host: &HostName,
    ) -> Result<PlainReply, CallError> {
        let _place = place;
        let Some(address) = shared.address_of(host) else {
            let address = host.to_string();
            return Err(CallError::NotSent {
                address,
                cause: "it left the tables".to_owned(),
            });
        };
        let bound = shared.bounds.of(self.grant.route.class).whole_answer;
        let opened = BootClock.now();
        let outcome = self.plain.call(address, &self.call, bound).await;
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
                    .observe(host, Observation::Answered { opened }, now);
                Ok(reply)
            }
            Ok(_crossed) => Err(CallError::Malformed {
                address: address.to_string(),
                cause: "it is the answer to another request".to_owned(),
            }),
            Err(error) => {
                let seen = match &error {
                    CallError::NotSent { .. } => Observation::ConnectFailed,
                    CallError::Timeout { .. }
                    | CallError::Lost { .. }
                    | CallError::Status { .. }
                    | CallError::Malformed { .. } => Observation::Silent { opened },
                };
                shared.dispatch.observe(host, seen, now);
                Err(error)
            }
        }
    }
}

/// Returns the refusal of a call that failed on its upstream.
pub(crate) fn refusal(error: &CallError) -> ApiError {
    let make = if error.is_unsent() {
        ApiError::not_run
    } else {
        ApiError::unknown
    };
    make(Code::UpstreamFailed, error)
}
