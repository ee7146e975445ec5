//! Runs the limiter's effects: borrow requests to other hosts and appends to the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{AppendId, FastMap, StreamName};
use eelgrasshill_limit::{BorrowReply, BorrowRequest, Effect, RightsRecord};
use eelgrasshill_peer::PeerClient;
use eelgrasshill_ports::{Log, NewRecord};
use tokio::sync::mpsc;
use tonic::transport::Channel;

use crate::control::exchange::open_peer_channel;
use crate::{BootClock, Shared};

/// Maximum time to wait for a lender's reply; the limiter drops later ones.
const BORROW_TIMEOUT: Duration = Duration::from_secs(1);

/// Log stream of the rights to accrue tokens.
const RIGHTS_STREAM: &str = "rights";

/// Runs effects until the limiter is dropped.
pub(crate) async fn run_limit_effects<L: Log + Clone + 'static>(
    shared: Arc<Shared>,
    log: L,
    mut effects: mpsc::Receiver<Effect>,
) {
    let (failed, mut failures) = mpsc::unbounded_channel();
    let mut channels: FastMap<SocketAddr, Channel> = FastMap::default();
    let mut appends = 0_u64;
    while let Some(effect) = effects.recv().await {
        while let Ok(address) = failures.try_recv() {
            channels.remove(&address);
        }
        match effect {
            Effect::Borrow { lender, request } => {
                let Some(channel) = open_peer_channel(lender.address, BORROW_TIMEOUT) else {
                    continue;
                };
                let channel = channels.entry(lender.address).or_insert(channel).clone();
                let shared = Arc::clone(&shared);
                let failed = failed.clone();
                tokio::task::spawn_local(async move {
                    if !borrow(&shared, channel, &request).await {
                        // The channel may never recover, so it is reopened. Sending fails only at shutdown.
                        let _ended = failed.send(lender.address);
                    }
                });
            }
            Effect::Append(record) => {
                appends += 1;
                let log = log.clone();
                let id = format!(
                    "rights-{}-{:x}-{appends:x}",
                    shared.settings.name, shared.incarnation.0
                );
                tokio::task::spawn_local(async move { append(&log, &id, &record).await });
            }
            Effect::Ready(_) => {}
        }
    }
}

async fn borrow(shared: &Shared, channel: Channel, request: &BorrowRequest) -> bool {
    let mut client = PeerClient::new(channel);
    let reply = match client
        .borrow(eelgrasshill_peer::generated::BorrowRequest::from(request))
        .await
    {
        Ok(reply) => reply.into_inner(),
        Err(error) => {
            log::debug!(
                "quota: borrowing from {} failed: {}",
                request.lender.host,
                error.code()
            );
            return false;
        }
    };
    if let Ok(reply) = BorrowReply::try_from(reply) {
        let now = BootClock.now();
        shared
            .quota
            .with(now, |limiter| limiter.receive(&reply, now));
    }
    true
}

async fn append<L: Log>(log: &L, id: &str, record: &RightsRecord) {
    let (Ok(stream), Ok(id), Ok(body)) = (
        StreamName::new(RIGHTS_STREAM),
        AppendId::new(id),
        serde_json::to_value(record),
    ) else {
        log::error!("rights: cannot encode a record for the log");
        return;
    };
    // The limiter repeats the request if it is still needed after reading the log.
    if let Err(error) = log.append(&stream, vec![NewRecord { id, body }]).await {
        log::warn!("rights: {error}");
    }
}
