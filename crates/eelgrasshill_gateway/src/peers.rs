//! Serves the calls of other gateways.
//!
//! There are three: exchanges of totals and updates, fetches of large records, and model requests
//! to the lease holder.

use std::net::TcpListener;
use std::sync::Arc;

use eelgrasshill_peer::generated as message;
use eelgrasshill_peer::generated::gateway_server::{Gateway, GatewayServer};
use eelgrasshill_ports::{BootClock, ConnectionLimit, accept_peers};
use tonic::transport::Server;
use tonic::{Request, Response, Status};

use crate::codec::PlatformCodec;
use crate::compression::MAX_MESSAGE_BYTES;
use crate::convert::{decode_model_key, encode_holdings_update, millis};
use crate::exchange::answer_exchange;
use crate::fetch::answer_fetch;
use crate::model_request::request_as_holder;
use crate::shared::Shared;
use eelgrasshill_relay::{Availability, Miss, SoftwareVersion};

struct PeerService<C: PlatformCodec> {
    shared: Arc<Shared<C>>,
}

/// Serves calls of other gateways until the host stops.
pub(crate) async fn serve_peers<C: PlatformCodec>(shared: Arc<Shared<C>>, listener: TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("peers: the listener cannot be used: {error}");
            return;
        }
    };
    let limit = ConnectionLimit::new("peers", shared.settings.budget().peer_connections());
    let service = GatewayServer::new(PeerService { shared })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let served = Server::builder()
        .add_service(service)
        .serve_with_incoming(accept_peers(listener, limit))
        .await;
    if let Err(error) = served {
        log::error!("peers: the server ended: {error}");
    }
}

#[tonic::async_trait]
impl<C: PlatformCodec> Gateway for PeerService<C> {
    async fn share(
        &self,
        request: Request<message::ShareRequest>,
    ) -> Result<Response<message::ShareReply>, Status> {
        Ok(Response::new(answer_exchange(
            &self.shared,
            request.get_ref(),
        )))
    }

    async fn fetch(
        &self,
        request: Request<message::FetchRequest>,
    ) -> Result<Response<message::FetchReply>, Status> {
        let reply = answer_fetch(&self.shared, request.get_ref());
        Ok(Response::new(reply))
    }

    async fn need(
        &self,
        request: Request<message::NeedRequest>,
    ) -> Result<Response<message::NeedReply>, Status> {
        let asked = request.get_ref().asked.as_ref();
        let model_key = asked.ok_or_else(|| Status::invalid_argument("no model is named"))?;
        let key =
            decode_model_key(model_key).map_err(|e| Status::invalid_argument(e.to_string()))?;
        let software = request.get_ref().software.as_deref();
        let software = software.map(SoftwareVersion::new).transpose();
        let software = software.map_err(|e| Status::invalid_argument(e.to_string()))?;
        let miss = Miss { key, software };
        let Some((availability, update)) = request_as_holder(&self.shared, &miss, BootClock.now())
        else {
            return Ok(Response::new(message::NeedReply::default()));
        };
        let (engine, after) = match availability {
            Availability::Ready { engine, after } => (engine.to_string(), after),
            Availability::Later { after } => (String::new(), after),
        };
        Ok(Response::new(message::NeedReply {
            engine,
            after: millis(after),
            words: update.iter().map(encode_holdings_update).collect(),
            holds: true,
        }))
    }
}
