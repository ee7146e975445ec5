//! Fetches large records from a peer.
//!
//! Rounds of the state exchange omit large records, since the rest of a reply must not wait for
//! them. A host that lacks some fetches them in a separate call, one call at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use eelgrasshill_peer::generated::gateway_client::GatewayClient;
use eelgrasshill_peer::{generated as message, open_channel};
use eelgrasshill_ports::BootClock;

use crate::codec::PlatformCodec;
use crate::compression::MAX_MESSAGE_BYTES;
use crate::shared::Shared;
use crate::topics::{apply_topic_update, encode_topics, topic_ends};

/// Timeout for large records, ten times what the largest configuration takes on a slow link.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Slot that allows one fetch at a time on this host.
#[derive(Clone, Debug, Default)]
pub(crate) struct FetchSlot(Arc<AtomicBool>);

/// Guard that frees the slot when it is dropped.
#[derive(Debug)]
pub(crate) struct FetchGuard(Arc<AtomicBool>);

impl FetchSlot {
    /// Takes the slot; returns none while another fetch is in progress.
    pub(crate) fn try_acquire(&self) -> Option<FetchGuard> {
        let was_taken = self.0.swap(true, Ordering::AcqRel);
        (!was_taken).then(|| FetchGuard(Arc::clone(&self.0)))
    }
}

impl Drop for FetchGuard {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// Fetches all records that this host does not have.
///
/// If the call fails, a later round starts the fetch again.
pub(crate) async fn fetch<C: PlatformCodec>(
    shared: Arc<Shared<C>>,
    address: SocketAddr,
    guard: FetchGuard,
) {
    let Some(channel) = open_channel(address, FETCH_TIMEOUT, FETCH_TIMEOUT) else {
        return;
    };
    let requested_at = BootClock.now();
    let request = message::FetchRequest {
        topics: topic_ends(&mut shared.state()),
    };
    let mut client = GatewayClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    match client.fetch(request).await {
        Ok(reply) => {
            let now = BootClock.now();
            let mut state = shared.state();
            for update in reply.into_inner().topics {
                apply_topic_update(&mut state, update, requested_at, now);
            }
        }
        Err(status) => {
            log::info!(
                "peers: address={address} fetch of large records failed, status: {}",
                status.code()
            );
        }
    }
    drop(guard);
}

/// Answers a fetch with all records after the requested offsets.
pub(crate) fn answer_fetch<C: PlatformCodec>(
    shared: &Shared<C>,
    request: &message::FetchRequest,
) -> message::FetchReply {
    let now = BootClock.now();
    message::FetchReply {
        topics: encode_topics(&mut shared.state(), &request.topics, now),
    }
}
