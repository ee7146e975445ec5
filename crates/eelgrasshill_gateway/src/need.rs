//! Asks the holder of the orders' lease for a model or adapter that no engine holds.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment};
use eelgrasshill_peer::generated::gateway_client::GatewayClient;
use eelgrasshill_peer::{generated as message, open_channel};
use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::{Asked, Availability, HoldingsUpdate};
use tonic::transport::Channel;

use crate::convert::write_asked;
use crate::share::hear_words;
use crate::state::Shared;
use crate::wire::Wire;

/// Longest wait for the holder's answer: several round trips between zones.
const ANSWER: Duration = Duration::from_millis(250);

/// Advice where the holder is not known or does not answer: time for another one to take over.
const RETRY: Duration = Duration::from_secs(2);

/// How long the holder's word that nothing is on its way is believed, at most.
const BELIEF: Duration = Duration::from_millis(500);

/// Channels of one thread to holders.
#[derive(Clone, Debug, Default)]
pub struct Needs {
    channels: Rc<RefCell<FastMap<SocketAddr, Channel>>>,
}

/// Answers a need as the holder; none where this host does not hold the lease.
pub(crate) fn need_here<W: Wire>(
    shared: &Shared<W>,
    asked: &Asked,
    now: Moment,
) -> Option<(Availability, Vec<HoldingsUpdate>)> {
    let mut hold = shared.hold();
    let fence = hold.lease.fence(now)?;
    let prospect = hold.placer.need(asked, now);
    let engine: Option<HostName> = match &prospect {
        Availability::Ready { engine, .. } => Some(engine.clone()),
        Availability::Later { .. } => None,
    };
    let words = hold.placer.holdings_updates(fence);
    let words = words
        .filter(|word| Some(&word.engine) == engine.as_ref())
        .collect();
    shared.wake.notify_one();
    Some((prospect, words))
}

impl Needs {
    /// Returns what becomes of requests for a model or adapter that no engine holds.
    pub(crate) async fn ask<W: Wire>(
        &self,
        shared: &Arc<Shared<W>>,
        asked: &Asked,
    ) -> Availability {
        let now = BootClock.now();
        let holder = {
            let mut desk = shared.desk();
            desk.later.retain(|_asked, until| now < *until);
            if let Some(until) = desk.later.get(asked) {
                let after = until.since(now);
                return Availability::Later { after };
            }
            desk.holder(now).cloned()
        };
        if let Some((prospect, words)) = need_here(shared, asked, now) {
            let mut desk = shared.desk();
            for word in words {
                desk.fleet.apply_update(word, now);
            }
            return prospect;
        }
        let Some(holder) = holder.filter(|holder| holder.host != shared.settings.name) else {
            return Availability::Later { after: RETRY };
        };
        let prospect = self.call(shared, holder.address, asked).await;
        if let Availability::Later { after } = &prospect {
            let until = BootClock.now().after((*after).min(BELIEF));
            shared.desk().later.insert(asked.clone(), until);
        }
        prospect
    }

    async fn call<W: Wire>(
        &self,
        shared: &Shared<W>,
        address: SocketAddr,
        asked: &Asked,
    ) -> Availability {
        let later = Availability::Later { after: RETRY };
        let kept = self.channels.borrow().get(&address).cloned();
        let Some(open) = kept.or_else(|| open_channel(address, ANSWER, ANSWER)) else {
            return later;
        };
        let request = message::NeedRequest {
            asked: Some(write_asked(asked)),
        };
        let mut client = GatewayClient::new(open.clone());
        let answered = tokio::time::timeout(ANSWER, client.need(request)).await;
        let Ok(Ok(reply)) = answered else {
            log::info!("orders: the holder at {address} did not answer");
            self.channels.borrow_mut().remove(&address);
            return later;
        };
        self.channels.borrow_mut().insert(address, open);
        let reply = reply.into_inner();
        if !reply.holds {
            return later;
        }
        hear_words(&mut shared.desk(), &reply.words, BootClock.now());
        let after = Duration::from_millis(reply.after);
        match HostName::new(&reply.engine) {
            Ok(engine) => Availability::Ready { engine, after },
            // An empty name says that nothing is on its way.
            Err(_none) => Availability::Later { after },
        }
    }
}
