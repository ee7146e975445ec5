//! The HTTP adapter for engines.
//!
//! Generated answers arrive as server-sent events; all other messages are JSON.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use awc::ClientResponse;
use derive_more::Debug;
use eelgrasshill_domain::RequestId;
use eventsource_stream::{Event, EventStream, Eventsource};
use futures_util::Stream;

use crate::client::{read_awc_body, status_error};
use crate::error::with_timeout;
use crate::{
    CallError, EngineClient, EngineReport, EngineStreamEvent, GenerateRequest, HttpClient, Order,
    OrderAnswer,
};

/// The event type of a keep-alive.
const PING_EVENT: &str = "ping";

/// An HTTP adapter for engines.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: HttpClient,
    head_timeout: Duration,
}

impl HttpEngine {
    /// Creates an adapter; `head_timeout` limits the wait for the head of a response.
    #[must_use]
    pub fn new(client: HttpClient, head_timeout: Duration) -> Self {
        Self {
            client,
            head_timeout,
        }
    }
}

/// The event stream of one answer over HTTP.
#[derive(Debug)]
pub struct AnswerEvents {
    address: SocketAddr,
    #[debug(skip)]
    events: EventStream<ClientResponse>,
}

impl AnswerEvents {
    fn parse_event(&self, event: &Event) -> Result<EngineStreamEvent, CallError> {
        if event.event == PING_EVENT {
            return Ok(EngineStreamEvent::Ping);
        }
        serde_json::from_str(&event.data)
            .map(EngineStreamEvent::Chunk)
            .map_err(|error| CallError::Malformed {
                address: self.address.to_string(),
                cause: error.to_string(),
            })
    }
}

impl Stream for AnswerEvents {
    type Item = Result<EngineStreamEvent, CallError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let event = ready!(Pin::new(&mut self.events).poll_next(cx));
        Poll::Ready(event.map(|event| match event {
            Ok(event) => self.parse_event(&event),
            Err(error) => Err(CallError::Lost {
                address: self.address.to_string(),
                cause: error.to_string(),
            }),
        }))
    }
}

impl EngineClient for HttpEngine {
    type Events = AnswerEvents;

    async fn generate(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
    ) -> Result<AnswerEvents, CallError> {
        let call = self
            .client
            .unpooled()
            .post(format!("http://{address}/generate"));
        let response = with_timeout(address, self.head_timeout, async {
            let sent = call.send_json(request).await;
            sent.map_err(|error| {
                CallError::from_send_error(&address.to_string(), self.head_timeout, &error)
            })
        })
        .await?;
        let status = response.status();
        if !status.is_success() {
            let body =
                read_awc_body(address, response, self.client.settings().max_body_bytes).await?;
            return Err(status_error(address, status.as_u16(), &body));
        }
        Ok(AnswerEvents {
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
