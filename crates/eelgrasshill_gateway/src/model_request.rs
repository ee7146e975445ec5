//! Asks the lease holder for a model or adapter that no engine holds.
//!
//! The holder plans the load and answers when an engine will hold the model. If this host holds
//! the lease, its own planner answers. An answer that none will hold it soon is cached briefly.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment};
use eelgrasshill_peer::generated::gateway_client::GatewayClient;
use eelgrasshill_peer::{generated as message, open_channel};
use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::{Availability, HoldingsUpdate, Miss};
use tonic::transport::Channel;

use crate::codec::PlatformCodec;
use crate::convert::encode_model_key;
use crate::exchange::apply_holdings_updates;
use crate::shared::Shared;

/// Timeout for the holder's answer, several round trips between zones.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(250);

/// Retry time for callers if the holder is unknown or does not answer.
///
/// Another host can take over the lease within this time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum time for which an answer that no engine will hold a model soon is cached.
const MAX_UNAVAILABLE_TTL: Duration = Duration::from_millis(500);

/// Client for model requests, with one thread's channels to lease holders.
#[derive(Clone, Debug, Default)]
pub struct ModelRequester {
    channels: Rc<RefCell<FastMap<SocketAddr, Channel>>>,
}

/// Requests a model from this host's own planner; returns none if it does not hold the lease.
///
/// Also returns the update on what the chosen engine holds.
pub(crate) fn request_as_holder<C: PlatformCodec>(
    shared: &Shared<C>,
    miss: &Miss,
    now: Moment,
) -> Option<(Availability, Option<HoldingsUpdate>)> {
    let mut order_state = shared.order_state();
    let fence = order_state.lease.fence(now)?;
    let availability = order_state.planner.resolve_miss(miss, now);
    let update = match &availability {
        Availability::Ready { engine, .. } => order_state.planner.holdings_update(fence, engine),
        Availability::Later { .. } => None,
    };
    shared.order_wakeup.notify_one();
    Some((availability, update))
}

impl ModelRequester {
    /// Returns when and where a model or adapter that no engine holds will be available.
    pub(crate) async fn request<C: PlatformCodec>(
        &self,
        shared: &Arc<Shared<C>>,
        miss: &Miss,
    ) -> Availability {
        let now = BootClock.now();
        let holder = {
            let mut state = shared.state();
            state.unavailable_until.retain(|_miss, until| now < *until);
            if let Some(until) = state.unavailable_until.get(miss) {
                let after = until.since(now);
                return Availability::Later { after };
            }
            state.holder(now).cloned()
        };
        if let Some((availability, update)) = request_as_holder(shared, miss, now) {
            if let Some(update) = update {
                shared.state().upstreams.apply_update(update, now);
            }
            return availability;
        }
        let Some(holder) = holder.filter(|holder| holder.host != shared.settings.name) else {
            return Availability::Later {
                after: DEFAULT_RETRY_AFTER,
            };
        };
        let availability = self.call(shared, holder.address, miss).await;
        if let Availability::Later { after } = &availability {
            let until = BootClock.now().after((*after).min(MAX_UNAVAILABLE_TTL));
            shared.state().unavailable_until.insert(miss.clone(), until);
        }
        availability
    }

    async fn call<C: PlatformCodec>(
        &self,
        shared: &Shared<C>,
        address: SocketAddr,
        miss: &Miss,
    ) -> Availability {
        let unavailable = Availability::Later {
            after: DEFAULT_RETRY_AFTER,
        };
        let cached = self.channels.borrow().get(&address).cloned();
        let Some(channel) =
            cached.or_else(|| open_channel(address, HOLDER_TIMEOUT, HOLDER_TIMEOUT))
        else {
            return unavailable;
        };
        let request = message::NeedRequest {
            asked: Some(encode_model_key(&miss.key)),
            software: miss.software.as_ref().map(ToString::to_string),
        };
        let mut client = GatewayClient::new(channel.clone());
        let answered = tokio::time::timeout(HOLDER_TIMEOUT, client.need(request)).await;
        let Ok(Ok(reply)) = answered else {
            log::info!(
                "orders: a model request to the lease holder at {address} failed \
                 or took longer than {HOLDER_TIMEOUT:?}"
            );
            self.channels.borrow_mut().remove(&address);
            return unavailable;
        };
        self.channels.borrow_mut().insert(address, channel);
        let reply = reply.into_inner();
        if !reply.holds {
            return unavailable;
        }
        apply_holdings_updates(&mut shared.state(), &reply.words, BootClock.now());
        let after = Duration::from_millis(reply.after);
        match HostName::new(&reply.engine) {
            Ok(engine) => Availability::Ready { engine, after },
            // An empty name means that no engine will hold it within an acceptable time.
            Err(_empty_name) => Availability::Later { after },
        }
    }
}
