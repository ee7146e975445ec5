//! The gRPC server for other entry hosts.

use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use eelgrasshill_control::Heartbeat;
use eelgrasshill_limit::BorrowRequest;
use eelgrasshill_peer::generated as wire;
use eelgrasshill_peer::{Peer, PeerServer};
use eelgrasshill_ports::{ConnectionLimit, accept_peers};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

use crate::control::exchange::MAX_MESSAGE_BYTES;
use crate::control::messages::{
    ClaimSubmitted, DemandReceived, Exchange, ExchangeResponse, PendingSubmitReply,
};
use crate::control::{Control, ServiceClients};
use crate::{BootClock, Shared};

/// Maximum time for which this host holds a peer's request until it has changes.
///
/// Hosts ask for `REQUESTED_EXCHANGE_WAIT` (in `exchange.rs`).
const MAX_EXCHANGE_WAIT: Duration = Duration::from_secs(5);

struct PeerService<C: ServiceClients> {
    addr: Addr<Control<C>>,
    shared: Arc<Shared>,
    state_changed: Arc<Notify>,
}

/// Serves requests of peers until the listener closes.
///
/// # Errors
///
/// Returns the error of the transport.
pub(crate) async fn serve_peers<C: ServiceClients>(
    listener: TcpListener,
    addr: Addr<Control<C>>,
    shared: Arc<Shared>,
    state_changed: Arc<Notify>,
) -> Result<(), tonic::transport::Error> {
    let limit = ConnectionLimit::new("peers", shared.settings.budget().peer_connections());
    let service = PeerService {
        addr,
        shared,
        state_changed,
    };
    let server = PeerServer::new(service).max_encoding_message_size(MAX_MESSAGE_BYTES);
    Server::builder()
        .add_service(server)
        .serve_with_incoming(accept_peers(listener, limit))
        .await
}

impl<C: ServiceClients> PeerService<C> {
    async fn exchange_once(
        &self,
        request: &wire::ExchangeRequest,
    ) -> Result<ExchangeResponse, Status> {
        let heartbeat = request
            .heartbeat
            .clone()
            .map(Heartbeat::try_from)
            .transpose();
        let heartbeat = heartbeat.map_err(|error| Status::invalid_argument(error.to_string()))?;
        let exchange = Exchange {
            heartbeat,
            cursor: request.cursor,
        };
        self.addr
            .send(exchange)
            .await
            .map_err(|error| Status::unavailable(error.to_string()))
    }
}

#[tonic::async_trait]
impl<C: ServiceClients> Peer for PeerService<C> {
    async fn exchange(
        &self,
        request: Request<wire::ExchangeRequest>,
    ) -> Result<Response<wire::ExchangeReply>, Status> {
        let request = request.into_inner();
        // Created first, so that a change during the first exchange is not missed.
        let state_changed = self.state_changed.notified();
        let first = self.exchange_once(&request).await?;
        let wait = Duration::from_millis(request.wait).min(MAX_EXCHANGE_WAIT);
        if first.has_changes || wait.is_zero() {
            return Ok(Response::new(first.reply));
        }
        // Waits for a change. Without one, the reply still carries the heartbeat.
        let _elapsed = tokio::time::timeout(wait, state_changed).await;
        let second = self.exchange_once(&request).await?;
        Ok(Response::new(second.reply))
    }

    async fn borrow(
        &self,
        request: Request<wire::BorrowRequest>,
    ) -> Result<Response<wire::BorrowReply>, Status> {
        let request = BorrowRequest::try_from(request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let now = BootClock.now();
        let reply = self
            .shared
            .quota
            .with_limiter(now, |limiter| limiter.lend(&request, now));
        // An empty reply means that nothing is lent.
        Ok(Response::new(
            reply.as_ref().map(Into::into).unwrap_or_default(),
        ))
    }

    async fn demand(
        &self,
        request: Request<wire::DemandRequest>,
    ) -> Result<Response<wire::DemandReply>, Status> {
        self.addr.do_send(DemandReceived(request.into_inner()));
        Ok(Response::new(wire::DemandReply::default()))
    }

    async fn submit(
        &self,
        request: Request<wire::SubmitRequest>,
    ) -> Result<Response<wire::SubmitReply>, Status> {
        let submitted = self.addr.send(ClaimSubmitted(request.into_inner())).await;
        let PendingSubmitReply(reply) =
            submitted.map_err(|error| Status::unavailable(error.to_string()))?;
        reply
            .await
            .map(Response::new)
            .map_err(|error| Status::unavailable(error.to_string()))
    }
}
