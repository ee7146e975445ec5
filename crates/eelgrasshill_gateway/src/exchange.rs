//! Exchanges state with other hosts in rounds.
//!
//! In each round a host calls its parent or, as a root, the roots of the other zones. It sends the
//! totals of its subtree and gets the totals of the other hosts. Both sides also send the lease
//! holder and new updates on what engines hold. The answer contains the records that the caller
//! lacks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, OrgName};
use eelgrasshill_peer::generated::gateway_client::GatewayClient;
use eelgrasshill_peer::{generated as message, open_channel};
use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::{Era, Peer, PeerRole, SpentTokens};
use tonic::transport::Channel;

use crate::codec::PlatformCodec;
use crate::compression::MAX_MESSAGE_BYTES;
use crate::convert::{
    decode_accusation, decode_holder, decode_holdings_update, decode_notice, decode_sender,
    decode_totals, encode_accusation, encode_holder, encode_holdings_update, encode_notice,
    encode_totals,
};
use crate::fetch::{FetchSlot, fetch};
use crate::gateway_state::GatewayState;
use crate::shared::Shared;
use crate::telemetry;
use crate::topics::{apply_topic_update, encode_topics, omit_large_records, topic_ends};

/// Time between rounds. Some changes must reach all hosts within half a second, over two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between rounds, which news that must not wait can start early.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time between rounds of a host that has no records yet.
const START_ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Duration from which a round is logged as late: the others' view of this host becomes stale.
const LATE_ROUND: Duration = Duration::from_millis(600);

/// State of the exchange with one peer, kept between rounds.
struct PeerLink {
    channel: Channel,
    /// Incarnation of the peer to which the two counts belong; 0 before its first answer.
    incarnation: u64,
    /// Number of the peer's holdings updates that this host has received.
    updates_received: u64,
    /// Number of this host's holdings updates that the peer has received.
    updates_acked: u64,
    /// Number of the peer's accusations of parts that this host has received.
    accusations_received: u64,
    /// Number of this host's accusations of parts that the peer has received.
    accusations_acked: u64,
}

/// How many of its changes a host has sent, with a request that is under way.
#[derive(Clone, Copy, Debug, Default)]
struct SentCounts {
    updates: u64,
    accusations: u64,
}

/// Spending that a host reports, by organisation.
type Report = FastMap<OrgName, SpentTokens>;

/// Exchanges state with the parent or the roots of other zones, until the host stops.
pub(crate) async fn exchange_with_peers<C: PlatformCodec>(shared: Arc<Shared<C>>) {
    let mut links: FastMap<SocketAddr, PeerLink> = FastMap::default();
    let fetch_slot = FetchSlot::default();
    let mut parent = None;
    let mut last_start = BootClock.now();
    while !shared.is_stopped() {
        let round_start = BootClock.now();
        let elapsed = round_start.since(last_start);
        if elapsed >= LATE_ROUND {
            telemetry::count_late_round();
            log::info!(
                "peers: round started {} ms after the last",
                elapsed.as_millis()
            );
        }
        last_start = round_start;
        let position = shared.state().tree.position(round_start);
        let new_parent = position.parent.as_ref().map(|peer| peer.host.clone());
        if parent.as_ref() != Some(&new_parent) {
            log::info!(
                "peers: parent={} reads-store={}",
                new_parent.as_ref().map_or("-", |host| host.as_str()),
                position.reads_store
            );
            parent = Some(new_parent);
        }
        let reports_to = position.reports_to().map(|peer| peer.host.clone());
        shared.state().set_first_root(reports_to.is_none());
        let peers: Vec<_> = position
            .parent
            .into_iter()
            .chain(position.zone_roots)
            .collect();
        let calls = peers.into_iter().filter_map(|peer| {
            let link = match links.remove(&peer.address) {
                Some(link) => link,
                None => PeerLink {
                    channel: open_channel(peer.address, PEER_TIMEOUT, PEER_TIMEOUT)?,
                    incarnation: 0,
                    updates_received: 0,
                    updates_acked: 0,
                    accusations_received: 0,
                    accusations_acked: 0,
                },
            };
            let reports = reports_to.as_ref() == Some(&peer.host);
            Some(exchange_once(
                Arc::clone(&shared),
                peer,
                reports,
                link,
                fetch_slot.clone(),
            ))
        });
        let calls: Vec<_> = calls.collect();
        // Links to hosts that are no longer called are dropped. So are links whose call failed,
        // since their channel may never work again.
        let working_links = futures_util::future::join_all(calls).await;
        links = working_links.into_iter().flatten().collect();
        let now = BootClock.now();
        let interval = {
            let mut state = shared.state();
            state.finish_round(now);
            if state.has_records() {
                ROUND_INTERVAL
            } else {
                START_ROUND_INTERVAL
            }
        };
        let pause = interval.saturating_sub(now.since(round_start));
        if tokio::time::timeout(pause, shared.exchange_wakeup.notified())
            .await
            .is_ok()
        {
            let elapsed = BootClock.now().since(round_start);
            tokio::time::sleep(MIN_ROUND_INTERVAL.saturating_sub(elapsed)).await;
        }
    }
}

/// Exchanges state with one peer; returns the link unless the call failed.
///
/// With `reports`, this host reports its spending to the peer and adopts the peer's bucket levels.
async fn exchange_once<C: PlatformCodec>(
    shared: Arc<Shared<C>>,
    peer: Peer,
    reports: bool,
    mut link: PeerLink,
    fetch_slot: FetchSlot,
) -> Option<(SocketAddr, PeerLink)> {
    let requested_at = BootClock.now();
    let report = reports.then(|| shared.state().rate_limiter.report());
    let (request, sent) = build_request(&shared, &link, report.as_ref(), requested_at);
    let mut client =
        GatewayClient::new(link.channel.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES);
    match tokio::time::timeout(PEER_TIMEOUT, client.share(request)).await {
        Ok(Ok(reply)) => {
            let reply = reply.into_inner();
            let incarnation = reply.teller.as_ref().map_or(0, |teller| teller.incarnation);
            // A peer that restarted has lost what it had received.
            let acked = if incarnation == link.incarnation {
                sent
            } else {
                SentCounts::default()
            };
            link.updates_acked = acked.updates;
            link.accusations_acked = acked.accusations;
            link.incarnation = incarnation;
            link.updates_received = reply.words_told;
            link.accusations_received = reply.accusations_told;
            let has_omitted = reply.topics.iter().any(|update| update.left_out);
            apply_reply(&shared, &peer, reply, report.as_ref(), requested_at);
            if has_omitted && let Some(guard) = fetch_slot.try_acquire() {
                actix_web::rt::spawn(fetch(shared, peer.address, guard));
            }
            Some((peer.address, link))
        }
        failed => {
            let cause = match failed {
                Ok(Err(status)) => status.code().to_string(),
                _ => "no answer before the timeout".to_owned(),
            };
            let now = BootClock.now();
            let due_at = requested_at.after(PEER_TIMEOUT);
            if shared.state().tree.note_failure(&peer.host, due_at, now) {
                telemetry::count_suspected_peer();
                log::info!("peers: host={} suspected: {cause}", peer.host);
            } else {
                log::info!(
                    "peers: host={} not suspected, this host was busy for {} ms: {cause}",
                    peer.host,
                    now.since(requested_at).as_millis()
                );
            }
            None
        }
    }
}

fn own_sender<C: PlatformCodec>(shared: &Shared<C>) -> message::Teller {
    message::Teller {
        host: shared.settings.name.to_string(),
        zone: shared.settings.zone.to_string(),
        incarnation: shared.incarnation.0,
        store_era: shared.store_era().0,
    }
}

/// Learns the era of the store that another host knows.
///
/// One without an era, or with an earlier version of the protocol, states 0.
fn learn_era_of<C: PlatformCodec>(shared: &Shared<C>, sender: Option<&message::Teller>) {
    if let Some(sender) = sender.filter(|sender| sender.store_era > 0) {
        shared.learn_era(Era(sender.store_era), &sender.host);
    }
}

fn encode_holdings_updates<C: PlatformCodec>(
    state: &GatewayState<C>,
    received_count: u64,
    now: Moment,
) -> Vec<message::EngineWord> {
    state
        .upstreams
        .recent_updates(received_count, now)
        .map(encode_holdings_update)
        .collect()
}

fn encode_notices<C: PlatformCodec>(
    state: &GatewayState<C>,
    received_count: u64,
    now: Moment,
) -> Vec<message::LeavingEngine> {
    state
        .upstreams
        .recent_notices(received_count, now)
        .map(encode_notice)
        .collect()
}

/// Applies notices of other hosts that engines are leaving.
fn apply_notices<C: PlatformCodec>(
    state: &mut GatewayState<C>,
    notices: &[message::LeavingEngine],
    now: Moment,
) {
    for notice in notices {
        match decode_notice(notice) {
            Ok(notice) => {
                let engine = notice.engine.clone();
                if state.upstreams.note_leaving(notice, now) {
                    log::info!("upstreams: id={engine} leaves, as another host heard from it");
                }
            }
            Err(error) => log::warn!(
                "peers: malformed leaving notice skipped, engine={:?}: {error}",
                notice.engine
            ),
        }
    }
}

/// Encodes the accusations of parts after the first ones, with the number of those known then.
fn encode_accusations<C: PlatformCodec>(
    state: &GatewayState<C>,
    received_count: u64,
    now: Moment,
) -> (Vec<message::PartAccusation>, u64) {
    let (accusations, told_count) = state.crashing_parts.changes(received_count);
    let encoded = accusations
        .iter()
        .map(|accusation| encode_accusation(accusation, now))
        .collect();
    (encoded, told_count)
}

/// Applies what another host says of parts that crash engines; returns whether any is new.
pub(crate) fn apply_accusations<C: PlatformCodec>(
    state: &mut GatewayState<C>,
    accusations: &[message::PartAccusation],
    requested_at: Moment,
    now: Moment,
) -> bool {
    let mut is_news = false;
    for accusation in accusations {
        let accusation = decode_accusation(accusation, requested_at);
        if state.crashing_parts.apply(accusation, now) {
            telemetry::count_accusation("peer");
            is_news = true;
        }
    }
    is_news
}

/// Builds a request; also returns how many changes a peer that gets it has received.
fn build_request<C: PlatformCodec>(
    shared: &Shared<C>,
    link: &PeerLink,
    report: Option<&Report>,
    now: Moment,
) -> (message::ShareRequest, SentCounts) {
    let teller = Some(own_sender(shared));
    let mut state = shared.state();
    let mut sum = state.totals_for_parent(now);
    sum.is_report = report.is_some();
    sum.spent = report.cloned().unwrap_or_default();
    let topics = topic_ends(&mut state);
    let holder = state.holder(now);
    let is_holder = holder.is_some_and(|holder| holder.host == shared.settings.name);
    let (accusations, told_count) = encode_accusations(&state, link.accusations_acked, now);
    let request = message::ShareRequest {
        teller,
        sum: Some(encode_totals(&sum)),
        topics,
        holder: holder.map(|status| encode_holder(status, now)),
        words: encode_holdings_updates(&state, link.updates_acked, now),
        words_known: link.updates_received,
        known_start: link.incarnation,
        needs_wanted: is_holder || state.is_demand_requested(now),
        leaving: encode_notices(&state, link.updates_acked, now),
        accusations,
        accusations_known: link.accusations_received,
    };
    let sent = SentCounts {
        updates: state.upstreams.update_count(),
        accusations: told_count,
    };
    (request, sent)
}

fn apply_reply<C: PlatformCodec>(
    shared: &Shared<C>,
    peer: &Peer,
    reply: message::ShareReply,
    report: Option<&Report>,
    requested_at: Moment,
) {
    let now = BootClock.now();
    let role = if peer.zone == shared.settings.zone {
        PeerRole::Parent
    } else {
        PeerRole::ZoneRoot
    };
    learn_era_of(shared, reply.teller.as_ref());
    let mut state = shared.state();
    if let Some(report) = report {
        state.rate_limiter.confirm_report(report);
    }
    apply_totals(
        &mut state,
        role,
        reply.teller.as_ref(),
        reply.sum.as_ref(),
        report.is_some(),
        now,
    );
    for update in reply.topics.into_iter().filter(|update| !update.left_out) {
        apply_topic_update(&mut state, update, requested_at, now);
    }
    apply_notices(&mut state, &reply.leaving, now);
    if apply_accusations(&mut state, &reply.accusations, requested_at, now) {
        shared.exchange_wakeup.notify_one();
    }
    apply_order_status(
        &mut state,
        reply.holder.as_ref(),
        &reply.words,
        requested_at,
        now,
    );
}

fn apply_totals<C: PlatformCodec>(
    state: &mut GatewayState<C>,
    role: PeerRole,
    sender: Option<&message::Teller>,
    sum: Option<&message::Sum>,
    adopts_levels: bool,
    now: Moment,
) {
    let (Some(sender), Some(sum)) = (sender, sum) else {
        return;
    };
    match (decode_sender(sender), decode_totals(sum)) {
        (Ok(sender), Ok(sum)) => {
            if adopts_levels {
                state.rate_limiter.adopt(&sum.levels, now);
            }
            state.receive(role, sender, sum, now);
        }
        (Err(error), _) | (_, Err(error)) => log::warn!(
            "peers: malformed totals skipped, from host={:?}: {error}",
            sender.host
        ),
    }
}

fn apply_order_status<C: PlatformCodec>(
    state: &mut GatewayState<C>,
    holder: Option<&message::OrderHolder>,
    updates: &[message::EngineWord],
    requested_at: Moment,
    now: Moment,
) {
    if let Some(status) = holder.and_then(|holder| decode_holder(holder, requested_at)) {
        state.update_holder(status);
    }
    apply_holdings_updates(state, updates, now);
}

/// Applies the lease holder's updates on what engines hold.
pub(crate) fn apply_holdings_updates<C: PlatformCodec>(
    state: &mut GatewayState<C>,
    updates: &[message::EngineWord],
    now: Moment,
) {
    for update in updates {
        match decode_holdings_update(update) {
            Ok(update) => {
                state.upstreams.apply_update(update, now);
            }
            Err(error) => log::warn!(
                "peers: malformed holdings update skipped, engine={:?}: {error}",
                update.engine
            ),
        }
    }
}

/// Answers an exchange that a child or the root of another zone started.
pub(crate) fn answer_exchange<C: PlatformCodec>(
    shared: &Shared<C>,
    request: &message::ShareRequest,
) -> message::ShareReply {
    let now = BootClock.now();
    learn_era_of(shared, request.teller.as_ref());
    let teller = Some(own_sender(shared));
    let mut state = shared.state();
    let is_child = request
        .teller
        .as_ref()
        .is_some_and(|teller| teller.zone == shared.settings.zone.as_str());
    let role = if is_child {
        PeerRole::Child
    } else {
        PeerRole::ZoneRoot
    };
    apply_totals(
        &mut state,
        role,
        request.teller.as_ref(),
        request.sum.as_ref(),
        false,
        now,
    );
    apply_notices(&mut state, &request.leaving, now);
    if apply_accusations(&mut state, &request.accusations, now, now) {
        shared.exchange_wakeup.notify_one();
    }
    apply_order_status(
        &mut state,
        request.holder.as_ref(),
        &request.words,
        now,
        now,
    );
    let sender = request
        .teller
        .as_ref()
        .and_then(|teller| decode_sender(teller).ok());
    let sum = match sender {
        Some(sender) if is_child => {
            if request.needs_wanted {
                state.demand_requested = Some(now);
            }
            state.totals_for_child(&sender.host, request.needs_wanted, now)
        }
        Some(_) | None => state.totals_for_parent(now),
    };
    let (received_count, accusation_count) = if request.known_start == shared.incarnation.0 {
        (request.words_known, request.accusations_known)
    } else {
        (0, 0)
    };
    let (accusations, accusations_told) = encode_accusations(&state, accusation_count, now);
    let mut topics = encode_topics(&mut state, &request.topics, now);
    for update in &mut topics {
        omit_large_records(update);
    }
    message::ShareReply {
        teller,
        sum: Some(encode_totals(&sum)),
        topics,
        holder: state.holder(now).map(|status| encode_holder(status, now)),
        words: encode_holdings_updates(&state, received_count, now),
        leaving: encode_notices(&state, received_count, now),
        accusations,
        accusations_told,
        words_told: state.upstreams.update_count(),
    }
}
