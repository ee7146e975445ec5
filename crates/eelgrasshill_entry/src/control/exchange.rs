//! Heartbeats and news between this host and those that it follows.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{ActorFutureExt, Addr, AsyncContext, Context, Handler, WrapFuture};
use eelgrasshill_control::{CatchUp, Heartbeat};
use eelgrasshill_domain::{HostName, Moment, Offset};
use eelgrasshill_peer::generated as wire;
use eelgrasshill_peer::{PeerClient, open_channel};
use tonic::transport::Channel;

use crate::BootClock;
use crate::control::messages::{Ask, Asked, Exchange, Exchanged, Heard, IsFollowed};
use crate::control::{Control, Outside};

/// How long a peer may wait for news.
const WAIT: Duration = Duration::from_secs(1);

/// Longest wait for a peer's answer beyond that.
const ANSWER: Duration = Duration::from_secs(1);

/// Shortest time between two exchanges with a peer.
const PACE: Duration = Duration::from_millis(500);

/// Largest message of a peer, in bytes.
pub(crate) const MESSAGE: usize = 64 << 20;

/// Opens a channel to a peer on its first use.
pub(crate) fn channel(address: SocketAddr, bound: Duration) -> Option<Channel> {
    open_channel(address, ANSWER, bound)
}

impl<O: Outside> Control<O> {
    /// Keeps exchanges with just these hosts.
    pub(crate) fn follow(&mut self, context: &mut Context<Self>, hosts: &[HostName]) {
        let gone: Vec<_> = self
            .follows
            .keys()
            .filter(|host| !hosts.contains(host))
            .cloned()
            .collect();
        for host in gone {
            if let Some(handle) = self.follows.remove(&host) {
                context.cancel_future(handle);
            }
        }
        for host in hosts {
            let Some(address) = self.members.get(host).map(|member| member.address) else {
                continue;
            };
            if !self.follows.contains_key(host) {
                let follow = follow_peer(context.address(), address, Some(host.clone()));
                let handle = context.spawn(follow.into_actor(self));
                self.follows.insert(host.clone(), handle);
            }
        }
    }

    /// Asks the peers of the settings until any tables are known.
    pub(crate) fn bootstrap(&mut self, context: &mut Context<Self>) {
        for address in self.shared.settings.peers.clone() {
            let follow = follow_peer(context.address(), address, None);
            context.spawn(follow.into_actor(self).map(|(), _control, _context| ()));
        }
    }

    fn heartbeat(&self, now: Moment) -> Heartbeat {
        self.members
            .heartbeat(self.fold.last(), self.shared.is_leaving(), now)
    }

    fn hear(&mut self, ctx: &mut Context<Self>, beat: &Heartbeat, now: Moment) {
        if let Some(stopped) = self.members.receive_heartbeat(beat, now) {
            log::info!(
                "members: an older process at {} has stopped",
                stopped.address
            );
            self.note_stopped(ctx, stopped, now);
        }
        self.note_process(beat);
    }

    fn catch_up(&mut self, ctx: &mut Context<Self>, reply: &wire::ExchangeReply, now: Moment) {
        let sent = if !reply.checkpoint.is_empty() {
            serde_json::from_slice(&reply.checkpoint).map(|c| CatchUp::Checkpoint(Box::new(c)))
        } else if !reply.delta.is_empty() {
            serde_json::from_slice(&reply.delta).map(CatchUp::Delta)
        } else {
            return;
        };
        let before = self.fold.last();
        match sent.map(|sent| self.fold.catch_up(&sent)) {
            Ok(Ok(_applied)) => {}
            Ok(Err(gap)) => log::warn!("config: a peer sent too little: {gap}"),
            Err(error) => log::warn!("config: a peer sent what cannot be read: {error}"),
        }
        if self.fold.last() != before {
            log::info!("config: {} came from a peer", self.fold.last());
            self.publish(ctx, now);
        }
    }
}

/// Exchanges with a peer until it is no longer followed.
async fn follow_peer<O: Outside>(
    addr: Addr<Control<O>>,
    address: SocketAddr,
    host: Option<HostName>,
) {
    let mut kept = None;
    let mut cursor = None;
    loop {
        if let Some(host) = &host
            && !addr.send(IsFollowed(host.clone())).await.unwrap_or(false)
        {
            return;
        }
        let began = tokio::time::Instant::now();
        let asked = BootClock.now();
        let Ok(Asked(request)) = addr.send(Ask { wait: WAIT, cursor }).await else {
            return;
        };
        let bootstrapped =
            host.is_none() && request.heartbeat.as_ref().is_some_and(|b| b.offset > 0);
        if bootstrapped {
            return;
        }
        // A channel that failed may be silent for good, so that the next try opens a new one.
        let Some(open) = kept.take().or_else(|| channel(address, WAIT + ANSWER)) else {
            return;
        };
        let mut client = PeerClient::new(open.clone()).max_decoding_message_size(MESSAGE);
        match client.exchange(request).await {
            Ok(reply) => {
                kept = Some(open);
                let reply = reply.into_inner();
                cursor = reply.cursor;
                addr.do_send(Heard { reply, asked });
            }
            Err(error) => log::debug!("peer: {address}: {}", error.code()),
        }
        tokio::time::sleep_until(began + PACE).await;
    }
}

impl<O: Outside> Handler<Exchange> for Control<O> {
    type Result = Exchanged;

    fn handle(&mut self, msg: Exchange, ctx: &mut Self::Context) -> Exchanged {
        let now = BootClock.now();
        let seen = msg.beat.as_ref().map_or(Offset(0), |beat| beat.offset);
        if let Some(beat) = &msg.beat {
            self.hear(ctx, beat, now);
        }
        let zone = msg.beat.as_ref().map(|beat| beat.zone.clone());
        // A cursor of an earlier process at this address counts other changes.
        let cursor = msg
            .cursor
            .filter(|c| c.incarnation == self.shared.incarnation.0);
        let since = cursor.map_or(0, |cursor| cursor.change);
        let mut reply = wire::ExchangeReply {
            heartbeat: Some((&self.heartbeat(now)).into()),
            engines: self.engines.news(since, zone.as_ref(), now),
            cursor: Some(wire::Cursor {
                incarnation: self.shared.incarnation.0,
                change: self.engines.change(),
            }),
            ..wire::ExchangeReply::default()
        };
        if seen < self.fold.last() {
            let written = match self.fold.since(seen) {
                CatchUp::Delta(delta) => serde_json::to_vec(&delta).map(|json| reply.delta = json),
                CatchUp::Checkpoint(checkpoint) => {
                    serde_json::to_vec(&checkpoint).map(|json| reply.checkpoint = json)
                }
            };
            if let Err(error) = written {
                log::warn!("config: cannot be written for a peer: {error}");
            }
        }
        let news = !reply.engines.is_empty() || seen < self.fold.last();
        Exchanged { reply, news }
    }
}

impl<O: Outside> Handler<Ask> for Control<O> {
    type Result = Asked;

    fn handle(&mut self, Ask { wait, cursor }: Ask, _ctx: &mut Self::Context) -> Asked {
        let now = BootClock.now();
        Asked(wire::ExchangeRequest {
            heartbeat: Some((&self.heartbeat(now)).into()),
            wait: u64::try_from(wait.as_millis()).unwrap_or_default(),
            cursor,
        })
    }
}

impl<O: Outside> Handler<Heard> for Control<O> {
    type Result = ();

    fn handle(&mut self, Heard { reply, asked }: Heard, ctx: &mut Self::Context) {
        let now = BootClock.now();
        self.catch_up(ctx, &reply, now);
        for news in &reply.engines {
            self.note_news(ctx, news, asked, now);
        }
        match reply.heartbeat.map(Heartbeat::try_from) {
            Some(Ok(beat)) => self.hear(ctx, &beat, now),
            Some(Err(error)) => log::warn!("members: a peer's heartbeat: {error}"),
            None => {}
        }
        self.note_fresh();
    }
}

impl<O: Outside> Handler<IsFollowed> for Control<O> {
    type Result = bool;

    fn handle(&mut self, IsFollowed(host): IsFollowed, _ctx: &mut Self::Context) -> bool {
        self.follows.contains_key(&host)
    }
}
