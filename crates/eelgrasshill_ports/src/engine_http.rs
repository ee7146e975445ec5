//! Engines over HTTP: answers as server-sent events, the rest as JSON.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use awc::ClientResponse;
use derive_more::Debug;
use eelgrasshill_domain::RequestId;
use eventsource_stream::{Event, EventStream, Eventsource};
use futures_util::Stream;

use crate::client::{read_body, status_error};
use crate::error::within;
use crate::{
    CallError, Engine, EngineReport, GenerateRequest, HttpClient, Order, OrderAnswer, StreamEvent,
};

/// The event type by which an engine shows that it is alive.
const PING: &str = "ping";

/// Engines over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: HttpClient,
    first: Duration,
}

impl HttpEngine {
    /// Makes an adapter; `first` bounds the wait for the answer's head.
    #[must_use]
    pub fn new(client: HttpClient, first: Duration) -> Self {
        Self { client, first }
    }
}

/// The events of one answer.
#[derive(Debug)]
pub struct ChunkStream {
    address: SocketAddr,
    #[debug(skip)]
    events: EventStream<Body>,
}

type Body = ClientResponse;

impl ChunkStream {
    fn convert(&self, event: &Event) -> Result<StreamEvent, CallError> {
        if event.event == PING {
            return Ok(StreamEvent::Ping);
        }
        serde_json::from_str(&event.data)
            .map(StreamEvent::Chunk)
            .map_err(|error| CallError::Malformed {
                address: self.address.to_string(),
                cause: error.to_string(),
            })
    }
}

impl Stream for ChunkStream {
    type Item = Result<StreamEvent, CallError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let event = ready!(Pin::new(&mut self.events).poll_next(cx));
        Poll::Ready(event.map(|event| match event {
            Ok(event) => self.convert(&event),
            Err(error) => Err(CallError::Lost {
                address: self.address.to_string(),
                cause: error.to_string(),
            }),
        }))
    }
}

impl Engine for HttpEngine {
    type Events = ChunkStream;

    async fn generate(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
    ) -> Result<ChunkStream, CallError> {
        let call = self
            .client
            .single()
            .post(format!("http://{address}/generate"));
        let response = within(address, self.first, async {
            let sent = call.send_json(request).await;
            sent.map_err(|error| CallError::from_send(&address.to_string(), self.first, &error))
        })
        .await?;
        let status = response.status();
        if !status.is_success() {
            let body = read_body(address, response, self.client.settings().body).await?;
            return Err(status_error(address, status.as_u16(), &body));
        }
        Ok(ChunkStream {
            address,
            events: response.eventsource(),
        })
    }

    async fn report(&self, address: SocketAddr) -> Result<EngineReport, CallError> {
        self.client.get(address, "/report", Duration::ZERO).await
    }

    async fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderAnswer, CallError> {
        self.client.post(address, "/orders", order).await
    }

    async fn cancel(&self, address: SocketAddr, id: &RequestId) -> Result<(), CallError> {
        self.client
            .post(address, &format!("/cancel/{id}"), &())
            .await
    }
}
