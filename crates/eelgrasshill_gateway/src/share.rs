//! News among hosts: each tells its parent what lies below it and takes what it has not seen.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment};
use eelgrasshill_peer::generated::gateway_client::GatewayClient;
use eelgrasshill_peer::{generated as message, open_channel};
use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::{Peer, PeerRole};
use tonic::transport::Channel;

use crate::convert::{
    read_holder, read_sum, read_teller, read_word, write_holder, write_sum, write_word,
};
use crate::desk::Desk;
use crate::fetch::{Fetching, fetch};
use crate::pack::MESSAGE;
use crate::state::Shared;
use crate::topics::{hear_topic, leave_out_large, topic_ends, write_topics};
use crate::wire::Wire;

/// Time between two rounds: some news are needed within half a second, over two rounds.
const ROUND: Duration = Duration::from_millis(250);

/// Longest wait for a peer's answer.
const ANSWER: Duration = Duration::from_millis(400);

/// What this host knows of one peer, from one exchange to the next.
struct Link {
    channel: Channel,
    /// The peer's start that the two numbers belong to; 0 before it answered.
    start: u64,
    /// How many of the peer's words this host knows.
    known: u64,
    /// How many of this host's words the peer knows.
    told: u64,
}

/// Takes news from the parent, or from the tops of other zones, until the host stops.
pub(crate) async fn share<W: Wire>(shared: Arc<Shared<W>>) {
    let mut links: FastMap<SocketAddr, Link> = FastMap::default();
    let fetching = Fetching::default();
    while !shared.is_stopped() {
        let began = BootClock.now();
        let position = shared.desk().tree.position(began);
        let peers: Vec<_> = position
            .parent
            .into_iter()
            .chain(position.zone_roots)
            .collect();
        let calls = peers.into_iter().filter_map(|peer| {
            let link = match links.remove(&peer.address) {
                Some(link) => link,
                None => Link {
                    channel: open_channel(peer.address, ANSWER, ANSWER)?,
                    start: 0,
                    known: 0,
                    told: 0,
                },
            };
            Some(exchange(Arc::clone(&shared), peer, link, fetching.clone()))
        });
        let calls: Vec<_> = calls.collect();
        // What is not in use any more is dropped, as is a channel that failed: it may be silent
        // for good.
        let kept = futures_util::future::join_all(calls).await;
        links = kept.into_iter().flatten().collect();
        let now = BootClock.now();
        shared.desk().begin_round(now);
        tokio::time::sleep(ROUND.saturating_sub(now.since(began))).await;
    }
}

/// Exchanges news with one peer; returns what is known of it unless that failed.
async fn exchange<W: Wire>(
    shared: Arc<Shared<W>>,
    peer: Peer,
    mut link: Link,
    fetching: Fetching,
) -> Option<(SocketAddr, Link)> {
    let asked = BootClock.now();
    let (request, words) = write_request(&shared, &link, asked);
    let mut client = GatewayClient::new(link.channel.clone()).max_decoding_message_size(MESSAGE);
    match tokio::time::timeout(ANSWER, client.share(request)).await {
        Ok(Ok(reply)) => {
            let reply = reply.into_inner();
            let start = reply.teller.as_ref().map_or(0, |teller| teller.incarnation);
            // A peer that started anew was not told what the one before it knew.
            link.told = if start == link.start { words } else { 0 };
            link.start = start;
            link.known = reply.words_told;
            let left_out = reply.topics.iter().any(|news| news.left_out);
            hear_reply(&shared, &peer, reply, asked);
            if left_out && let Some(guard) = fetching.begin() {
                actix_web::rt::spawn(fetch(shared, peer.address, guard));
            }
            Some((peer.address, link))
        }
        failed => {
            let cause = match failed {
                Ok(Err(status)) => status.code().to_string(),
                _ => "no answer in time".to_owned(),
            };
            log::info!("peers: host={} suspected: {cause}", peer.host);
            shared.desk().tree.suspect(&peer.host, BootClock.now());
            None
        }
    }
}

fn teller<W: Wire>(shared: &Shared<W>) -> message::Teller {
    message::Teller {
        host: shared.settings.name.to_string(),
        zone: shared.settings.zone.to_string(),
        incarnation: shared.incarnation.0,
    }
}

fn write_words<W: Wire>(desk: &Desk<W>, known: u64, now: Moment) -> Vec<message::EngineWord> {
    desk.fleet
        .recent_updates(known, now)
        .map(write_word)
        .collect()
}

/// Returns a request, and how many of this host's words the peer knows with it.
fn write_request<W: Wire>(
    shared: &Shared<W>,
    link: &Link,
    now: Moment,
) -> (message::ShareRequest, u64) {
    let mut desk = shared.desk();
    let sum = desk.sum_upward(now);
    let topics = topic_ends(&mut desk);
    let holder = desk.holder(now);
    let holds = holder.is_some_and(|holder| holder.host == shared.settings.name);
    let request = message::ShareRequest {
        teller: Some(teller(shared)),
        sum: Some(write_sum(&sum)),
        topics,
        holder: holder.map(|news| write_holder(news, now)),
        words: write_words(&desk, link.told, now),
        words_known: link.known,
        known_start: link.start,
        needs_wanted: holds || desk.is_needed_below(now),
    };
    (request, desk.fleet.update_count())
}

fn hear_reply<W: Wire>(shared: &Shared<W>, peer: &Peer, reply: message::ShareReply, asked: Moment) {
    let now = BootClock.now();
    let side = if peer.zone == shared.settings.zone {
        PeerRole::Parent
    } else {
        PeerRole::ZoneRoot
    };
    let mut desk = shared.desk();
    hear_sum(
        &mut desk,
        side,
        reply.teller.as_ref(),
        reply.sum.as_ref(),
        now,
    );
    for news in reply.topics.into_iter().filter(|news| !news.left_out) {
        hear_topic(&mut desk, news, asked, now);
    }
    hear_orders(&mut desk, reply.holder.as_ref(), &reply.words, asked, now);
}

fn hear_sum<W: Wire>(
    desk: &mut Desk<W>,
    side: PeerRole,
    teller: Option<&message::Teller>,
    sum: Option<&message::Sum>,
    now: Moment,
) {
    let (Some(teller), Some(sum)) = (teller, sum) else {
        return;
    };
    match (read_teller(teller), read_sum(sum)) {
        (Ok(teller), Ok(sum)) => desk.receive(side, teller, sum, now),
        (Err(error), _) | (_, Err(error)) => log::warn!("peers: a sum is skipped: {error}"),
    }
}

fn hear_orders<W: Wire>(
    desk: &mut Desk<W>,
    holder: Option<&message::OrderHolder>,
    words: &[message::EngineWord],
    asked: Moment,
    now: Moment,
) {
    if let Some(news) = holder.and_then(|holder| read_holder(holder, asked)) {
        desk.hear_holder(news);
    }
    hear_words(desk, words, now);
}

/// Takes the holder's word on engines.
pub(crate) fn hear_words<W: Wire>(desk: &mut Desk<W>, words: &[message::EngineWord], now: Moment) {
    for word in words {
        match read_word(word) {
            Ok(overlay) => {
                desk.fleet.apply_update(overlay, now);
            }
            Err(error) => log::warn!("peers: word of an engine is skipped: {error}"),
        }
    }
}

/// Answers a host that tells what lies below it.
pub(crate) fn answer<W: Wire>(
    shared: &Shared<W>,
    request: &message::ShareRequest,
) -> message::ShareReply {
    let now = BootClock.now();
    let mut desk = shared.desk();
    let is_child = request
        .teller
        .as_ref()
        .is_some_and(|teller| teller.zone == shared.settings.zone.as_str());
    let side = if is_child {
        PeerRole::Child
    } else {
        PeerRole::ZoneRoot
    };
    hear_sum(
        &mut desk,
        side,
        request.teller.as_ref(),
        request.sum.as_ref(),
        now,
    );
    hear_orders(&mut desk, request.holder.as_ref(), &request.words, now, now);
    let told = request
        .teller
        .as_ref()
        .and_then(|teller| read_teller(teller).ok());
    let sum = match told {
        Some(teller) if is_child => {
            if request.needs_wanted {
                desk.needed = Some(now);
            }
            desk.sum_for_child(&teller.host, request.needs_wanted, now)
        }
        Some(_) | None => desk.sum_upward(now),
    };
    let known = if request.known_start == shared.incarnation.0 {
        request.words_known
    } else {
        0
    };
    let mut topics = write_topics(&mut desk, &request.topics, now);
    for news in &mut topics {
        leave_out_large(news);
    }
    message::ShareReply {
        teller: Some(teller(shared)),
        sum: Some(write_sum(&sum)),
        topics,
        holder: desk.holder(now).map(|news| write_holder(news, now)),
        words: write_words(&desk, known, now),
        words_told: desk.fleet.update_count(),
    }
}
