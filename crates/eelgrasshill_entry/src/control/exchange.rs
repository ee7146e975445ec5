//! Exchanges heartbeats, engine reports and configuration with followed peers.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{ActorFutureExt, Addr, AsyncContext, Context, Handler, WrapFuture};
use eelgrasshill_control::{CatchUp, Heartbeat};
use eelgrasshill_domain::{HostName, Moment, Offset};
use eelgrasshill_peer::generated as wire;
use eelgrasshill_peer::{PeerClient, open_channel};
use tonic::transport::Channel;

use crate::BootClock;
use crate::control::messages::{
    BuildExchangeRequest, BuiltExchangeRequest, Exchange, ExchangeReplyReceived, ExchangeResponse,
    IsFollowed,
};
use crate::control::{Control, ServiceClients};

/// Time that this host asks peers to hold a request until they have changes to report.
///
/// A peer grants at most its own `MAX_EXCHANGE_WAIT` (in `peer.rs`).
const REQUESTED_EXCHANGE_WAIT: Duration = Duration::from_secs(1);

/// Connect timeout, and time allowed for a reply beyond [`REQUESTED_EXCHANGE_WAIT`].
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum time between the starts of two exchanges with a peer.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum size of a message between peers.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Returns a channel that connects to the peer on first use.
///
/// Returns `None` if the address makes no valid URL.
pub(crate) fn open_peer_channel(address: SocketAddr, timeout: Duration) -> Option<Channel> {
    open_channel(address, PEER_TIMEOUT, timeout)
}

impl<C: ServiceClients> Control<C> {
    /// Starts and stops exchanges so that exactly these hosts are followed.
    pub(crate) fn follow_peers(&mut self, ctx: &mut Context<Self>, hosts: &[HostName]) {
        let unfollowed: Vec<_> = self
            .followed_peers
            .keys()
            .filter(|host| !hosts.contains(host))
            .cloned()
            .collect();
        for host in unfollowed {
            if let Some(handle) = self.followed_peers.remove(&host) {
                ctx.cancel_future(handle);
            }
        }
        for host in hosts {
            let Some(address) = self.members.get(host).map(|member| member.address) else {
                continue;
            };
            if !self.followed_peers.contains_key(host) {
                let follow = follow_peer(ctx.address(), address, Some(host.clone()));
                let handle = ctx.spawn(follow.into_actor(self));
                self.followed_peers.insert(host.clone(), handle);
            }
        }
    }

    /// Exchanges with the configured peers until this host has tables.
    pub(crate) fn bootstrap(&mut self, ctx: &mut Context<Self>) {
        for address in self.shared.settings.fallback_peers.clone() {
            let follow = follow_peer(ctx.address(), address, None);
            ctx.spawn(follow.into_actor(self).map(|(), _control, _ctx| ()));
        }
    }

    fn heartbeat(&self, now: Moment) -> Heartbeat {
        self.members
            .heartbeat(self.config.last(), self.shared.is_draining(), now)
    }

    fn handle_heartbeat(&mut self, ctx: &mut Context<Self>, heartbeat: &Heartbeat, now: Moment) {
        if let Some(stopped) = self.members.receive_heartbeat(heartbeat, now) {
            log::info!(
                "members: an earlier process at {} was replaced and has stopped",
                stopped.address
            );
            self.handle_stopped_process(ctx, stopped, now);
        }
        self.record_peer_holder(heartbeat);
    }

    /// Applies the configuration in a peer's reply, if it holds any.
    fn apply_catch_up(
        &mut self,
        ctx: &mut Context<Self>,
        reply: &wire::ExchangeReply,
        now: Moment,
    ) {
        let catch_up = if !reply.checkpoint.is_empty() {
            serde_json::from_slice(&reply.checkpoint)
                .map(|checkpoint| CatchUp::Checkpoint(Box::new(checkpoint)))
        } else if !reply.delta.is_empty() {
            serde_json::from_slice(&reply.delta).map(CatchUp::Delta)
        } else {
            return;
        };
        let before = self.config.last();
        match catch_up.map(|catch_up| self.config.catch_up(&catch_up)) {
            Ok(Ok(_applied)) => {}
            Ok(Err(gap)) => log::warn!("config: cannot apply a peer's update: {gap}"),
            Err(error) => log::warn!("config: cannot decode a peer's update: {error}"),
        }
        if self.config.last() != before {
            log::info!(
                "config: caught up to offset {} from a peer",
                self.config.last()
            );
            self.publish_tables(ctx, now);
        }
    }
}

/// Exchanges with a peer until it is no longer followed or, without a name, until
/// this host has tables.
async fn follow_peer<C: ServiceClients>(
    addr: Addr<Control<C>>,
    address: SocketAddr,
    host: Option<HostName>,
) {
    let mut cached_channel = None;
    let mut cursor = None;
    loop {
        if let Some(host) = &host
            && !addr.send(IsFollowed(host.clone())).await.unwrap_or(false)
        {
            return;
        }
        let began = tokio::time::Instant::now();
        let requested_at = BootClock.now();
        let Ok(BuiltExchangeRequest(request)) = addr
            .send(BuildExchangeRequest {
                max_wait: REQUESTED_EXCHANGE_WAIT,
                cursor,
            })
            .await
        else {
            return;
        };
        // Offset 0 means that this host has no tables yet.
        let bootstrapped = host.is_none()
            && request
                .heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.offset > 0);
        if bootstrapped {
            return;
        }
        // A failed channel may never recover, so the next attempt opens a new one.
        let Some(channel) = cached_channel
            .take()
            .or_else(|| open_peer_channel(address, REQUESTED_EXCHANGE_WAIT + PEER_TIMEOUT))
        else {
            // The address makes no valid URL.
            return;
        };
        let mut client =
            PeerClient::new(channel.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES);
        match client.exchange(request).await {
            Ok(reply) => {
                cached_channel = Some(channel);
                let reply = reply.into_inner();
                cursor = reply.cursor;
                addr.do_send(ExchangeReplyReceived {
                    reply,
                    requested_at,
                });
            }
            Err(error) => log::debug!("peer: exchange with {address} failed: {}", error.code()),
        }
        tokio::time::sleep_until(began + MIN_EXCHANGE_INTERVAL).await;
    }
}

impl<C: ServiceClients> Handler<Exchange> for Control<C> {
    type Result = ExchangeResponse;

    fn handle(&mut self, msg: Exchange, ctx: &mut Self::Context) -> ExchangeResponse {
        let now = BootClock.now();
        let peer_offset = msg
            .heartbeat
            .as_ref()
            .map_or(Offset(0), |heartbeat| heartbeat.offset);
        if let Some(heartbeat) = &msg.heartbeat {
            self.handle_heartbeat(ctx, heartbeat, now);
        }
        let peer_zone = msg
            .heartbeat
            .as_ref()
            .map(|heartbeat| heartbeat.zone.clone());
        // A cursor of another incarnation refers to other change numbers.
        let cursor = msg
            .cursor
            .filter(|cursor| cursor.incarnation == self.shared.incarnation.0);
        let acknowledged_change = cursor.map_or(0, |cursor| cursor.change);
        let mut reply = wire::ExchangeReply {
            heartbeat: Some((&self.heartbeat(now)).into()),
            engines: self
                .engines
                .changes_since(acknowledged_change, peer_zone.as_ref(), now),
            cursor: Some(wire::Cursor {
                incarnation: self.shared.incarnation.0,
                change: self.engines.last_change(),
            }),
            ..wire::ExchangeReply::default()
        };
        if peer_offset < self.config.last() {
            let encoded = match self.config.since(peer_offset) {
                CatchUp::Delta(delta) => serde_json::to_vec(&delta).map(|json| reply.delta = json),
                CatchUp::Checkpoint(checkpoint) => {
                    serde_json::to_vec(&checkpoint).map(|json| reply.checkpoint = json)
                }
            };
            if let Err(error) = encoded {
                log::warn!("config: cannot encode an update for a peer: {error}");
            }
        }
        let has_changes = !reply.engines.is_empty() || peer_offset < self.config.last();
        ExchangeResponse { reply, has_changes }
    }
}

impl<C: ServiceClients> Handler<BuildExchangeRequest> for Control<C> {
    type Result = BuiltExchangeRequest;

    fn handle(
        &mut self,
        BuildExchangeRequest { max_wait, cursor }: BuildExchangeRequest,
        _ctx: &mut Self::Context,
    ) -> BuiltExchangeRequest {
        let now = BootClock.now();
        BuiltExchangeRequest(wire::ExchangeRequest {
            heartbeat: Some((&self.heartbeat(now)).into()),
            wait: u64::try_from(max_wait.as_millis()).unwrap_or_default(),
            cursor,
        })
    }
}

impl<C: ServiceClients> Handler<ExchangeReplyReceived> for Control<C> {
    type Result = ();

    fn handle(
        &mut self,
        ExchangeReplyReceived {
            reply,
            requested_at,
        }: ExchangeReplyReceived,
        ctx: &mut Self::Context,
    ) {
        let now = BootClock.now();
        self.apply_catch_up(ctx, &reply, now);
        for update in &reply.engines {
            self.record_peer_report(ctx, update, requested_at, now);
        }
        match reply.heartbeat.map(Heartbeat::try_from) {
            Some(Ok(heartbeat)) => self.handle_heartbeat(ctx, &heartbeat, now),
            Some(Err(error)) => log::warn!("members: cannot decode a peer's heartbeat: {error}"),
            None => {}
        }
        self.update_tables_age();
    }
}

impl<C: ServiceClients> Handler<IsFollowed> for Control<C> {
    type Result = bool;

    fn handle(&mut self, IsFollowed(host): IsFollowed, _ctx: &mut Self::Context) -> bool {
        self.followed_peers.contains_key(&host)
    }
}
