//! Runs the limiter's effects: borrow requests to other hosts and appends to the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{AppendId, FastMap, StreamName};
use eelgrasshill_limit::{BorrowReply, BorrowRequest, Effect, RightsRecord};
use eelgrasshill_peer::PeerClient;
use eelgrasshill_ports::{LogClient, NewRecord};
use tokio::sync::mpsc;
use tonic::transport::Channel;

use crate::control::exchange::open_peer_channel;
use crate::{BootClock, Shared};

/// Maximum time to wait for a lender's reply; the limiter drops later ones.
const BORROW_TIMEOUT: Duration = Duration::from_secs(1);

/// Log stream of the rights to accrue tokens; the same as `LogStream::Rights` displays.
const RIGHTS_STREAM: &str = "rights";

/// Runs effects until the limiter is dropped.
pub(crate) async fn run_limit_effects<L: LogClient + Clone + 'static>(
    shared: Arc<Shared>,
    log: L,
    mut effects: mpsc::Receiver<Effect>,
) {
    let (failed_sender, mut failed_addresses) = mpsc::unbounded_channel();
    let mut channels: FastMap<SocketAddr, Channel> = FastMap::default();
    let mut append_count = 0_u64;
    while let Some(effect) = effects.recv().await {
        while let Ok(address) = failed_addresses.try_recv() {
            channels.remove(&address);
        }
        match effect {
            Effect::Borrow { lender, request } => {
                // Opening does not connect, so a channel that is not needed costs little.
                let Some(channel) = open_peer_channel(lender.address, BORROW_TIMEOUT) else {
                    continue;
                };
                let channel = channels.entry(lender.address).or_insert(channel).clone();
                let shared = Arc::clone(&shared);
                let failed_sender = failed_sender.clone();
                tokio::task::spawn_local(async move {
                    if !borrow(&shared, channel, &request).await {
                        // The channel may never recover, so the next request opens a new one. This
                        // send fails only when `run_limit_effects` has ended.
                        let _ended = failed_sender.send(lender.address);
                    }
                });
            }
            Effect::Append(record) => {
                append_count += 1;
                let log = log.clone();
                let id = format!(
                    "rights-{}-{:x}-{append_count:x}",
                    shared.settings.name, shared.incarnation.0
                );
                tokio::task::spawn_local(async move { append(&log, &id, &record).await });
            }
            // `Quota::dispatch_effect` handles this effect itself.
            Effect::Ready(_) => {}
        }
    }
}

/// Sends a borrow request; returns false if the lender did not reply.
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
    // A reply that cannot be decoded is dropped, as if it were lost.
    if let Ok(reply) = BorrowReply::try_from(reply) {
        let now = BootClock.now();
        shared
            .quota
            .with_limiter(now, |limiter| limiter.receive(&reply, now));
    }
    true
}

async fn append<L: LogClient>(log: &L, id_text: &str, record: &RightsRecord) {
    let (Ok(stream), Ok(id), Ok(body)) = (
        StreamName::new(RIGHTS_STREAM),
        AppendId::new(id_text),
        serde_json::to_value(record),
    ) else {
        log::error!("rights: cannot encode a record for the log");
        return;
    };
    // The limiter repeats the request if it is still needed after reading the log.
    if let Err(error) = log.append(&stream, vec![NewRecord { id, body }]).await {
        log::warn!("rights: append {id_text}: {error}");
    }
}
