//! Brings large records from a peer, beside the rounds of news, which must not wait for them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use eelgrasshill_peer::generated::gateway_client::GatewayClient;
use eelgrasshill_peer::{generated as message, open_channel};
use eelgrasshill_ports::BootClock;

use crate::pack::MESSAGE;
use crate::state::Shared;
use crate::topics::{hear_topic, topic_ends, write_topics};
use crate::wire::Wire;

/// Longest wait for large records: ten times what the largest configuration takes on a slow link.
const ANSWER: Duration = Duration::from_secs(2);

/// Whether large records are being fetched; one host fetches from one peer at a time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fetching(Arc<AtomicBool>);

/// Lets others fetch once it is dropped.
#[derive(Debug)]
pub(crate) struct FetchGuard(Arc<AtomicBool>);

impl Fetching {
    /// Begins a fetch; none while another is under way.
    pub(crate) fn begin(&self) -> Option<FetchGuard> {
        let was = self.0.swap(true, Ordering::AcqRel);
        (!was).then(|| FetchGuard(Arc::clone(&self.0)))
    }
}

impl Drop for FetchGuard {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// Fetches all records that are news; what fails is asked for again in a later round.
pub(crate) async fn fetch<W: Wire>(shared: Arc<Shared<W>>, address: SocketAddr, guard: FetchGuard) {
    let Some(open) = open_channel(address, ANSWER, ANSWER) else {
        return;
    };
    let asked = BootClock.now();
    let request = message::FetchRequest {
        topics: topic_ends(&mut shared.desk()),
    };
    let mut client = GatewayClient::new(open).max_decoding_message_size(MESSAGE);
    match client.fetch(request).await {
        Ok(reply) => {
            let now = BootClock.now();
            let mut desk = shared.desk();
            for news in reply.into_inner().topics {
                hear_topic(&mut desk, news, asked, now);
            }
        }
        Err(status) => {
            log::info!(
                "peers: address={address} large records not fetched: {}",
                status.code()
            );
        }
    }
    drop(guard);
}

/// Answers a host that fetches large records.
pub(crate) fn answer_fetch<W: Wire>(
    shared: &Shared<W>,
    request: &message::FetchRequest,
) -> message::FetchReply {
    let now = BootClock.now();
    message::FetchReply {
        topics: write_topics(&mut shared.desk(), &request.topics, now),
    }
}
