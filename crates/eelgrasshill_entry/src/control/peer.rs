//! The gRPC server for other entry hosts.

use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use eelgrasshill_control::Heartbeat;
use eelgrasshill_limit::BorrowRequest;
use eelgrasshill_peer::generated as wire;
use eelgrasshill_peer::{Peer, PeerServer};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

use crate::control::exchange::MAX_MESSAGE_BYTES;
use crate::control::messages::{
    ClaimSubmitted, DemandReceived, Exchange, ExchangeResponse, PendingSubmitReply,
};
use crate::control::{Control, ServiceClients};
use crate::{BootClock, Shared};

/// Maximum time that a peer's request may wait for changes.
const MAX_EXCHANGE_WAIT: Duration = Duration::from_secs(5);

struct PeerService<O: ServiceClients> {
    addr: Addr<Control<O>>,
    shared: Arc<Shared>,
    changed: Arc<Notify>,
}

/// Serves requests of peers until the listener closes.
///
/// # Errors
///
/// Returns the error of the transport.
pub(crate) async fn serve_peers<O: ServiceClients>(
    listener: TcpListener,
    addr: Addr<Control<O>>,
    shared: Arc<Shared>,
    changed: Arc<Notify>,
) -> Result<(), tonic::transport::Error> {
    let service = PeerService {
        addr,
        shared,
        changed,
    };
    let server = PeerServer::new(service).max_encoding_message_size(MAX_MESSAGE_BYTES);
    Server::builder()
        .add_service(server)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
}

impl<O: ServiceClients> PeerService<O> {
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
impl<O: ServiceClients> Peer for PeerService<O> {
    async fn exchange(
        &self,
        request: Request<wire::ExchangeRequest>,
    ) -> Result<Response<wire::ExchangeReply>, Status> {
        let request = request.into_inner();
        let changed = self.changed.notified();
        let first = self.exchange_once(&request).await?;
        let wait = Duration::from_millis(request.wait).min(MAX_EXCHANGE_WAIT);
        if first.has_changes || wait.is_zero() {
            return Ok(Response::new(first.reply));
        }
        // Without changes the reply still has to carry a heartbeat.
        let _elapsed = tokio::time::timeout(wait, changed).await;
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
            .with(now, |limiter| limiter.lend(&request, now));
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
