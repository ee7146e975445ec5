//! The HTTP adapter for engines.
//!
//! Generated answers arrive as server-sent events; all other messages are JSON.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use awc::ClientResponse;
use awc::error::PayloadError;
use bytes::{Bytes, BytesMut};
use derive_more::{Debug, Display, Error, From};
use eelgrasshill_domain::RequestId;
use eventsource_stream::{Event, EventStream, Eventsource};
use futures_util::Stream;

use crate::client::{read_awc_body, status_error};
use crate::error::{check_final_status, with_timeout};
use crate::{
    CallError, EngineClient, EngineReport, EngineStreamEvent, GenerateRequest, HttpClient, Order,
    OrderAnswer,
};

/// The event type of a keep-alive.
const PING_EVENT: &str = "ping";

/// The maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

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
    events: EventStream<WholeLines<ClientResponse>>,
}

/// The reason why the lines of an event stream cannot be read.
#[derive(Debug, Display, Error, From)]
enum LineError {
    /// The connection failed.
    #[display("{_0}")]
    Payload(#[error(source)] PayloadError),
    /// An event does not end.
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    #[from(skip)]
    Overlong,
}

/// Passes a stream of bytes on in whole lines.
///
/// The event parser starts again at the last event's first byte whenever bytes arrive.
struct WholeLines<S> {
    inner: S,
    partial: BytesMut,
    // Bytes since the last empty line, which ends an event.
    event_bytes: usize,
}

impl<S> WholeLines<S> {
    fn new(inner: S) -> Self {
        Self {
            inner,
            partial: BytesMut::new(),
            event_bytes: 0,
        }
    }

    /// Appends bytes and returns the lines that are now complete.
    fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let known = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let end = bytes.iter().rposition(|byte| *byte == b'\n');
        let lines = end.map(|end| self.partial.split_to(known + end + 1).freeze());
        let is_empty = |line: &[u8]| line.is_empty() || line == b"\r";
        let has_event_end = lines.as_ref().is_some_and(|lines| {
            // What follows the last line break is no line.
            let whole = &lines[..lines.len() - 1];
            whole.split(|byte| *byte == b'\n').any(is_empty)
        });
        self.event_bytes = if has_event_end {
            self.partial.len()
        } else {
            self.event_bytes + bytes.len()
        };
        lines
    }
}

impl<S> Stream for WholeLines<S>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    type Item = Result<Bytes, LineError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            match ready!(Pin::new(&mut self.inner).poll_next(cx)) {
                Some(Ok(bytes)) => {
                    let lines = self.push(&bytes);
                    if self.event_bytes > MAX_EVENT_BYTES {
                        return Poll::Ready(Some(Err(LineError::Overlong)));
                    }
                    if let Some(lines) = lines {
                        return Poll::Ready(Some(Ok(lines)));
                    }
                }
                Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
                None if self.partial.is_empty() => return Poll::Ready(None),
                None => return Poll::Ready(Some(Ok(self.partial.split().freeze()))),
            }
        }
    }
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
        check_final_status(address, status.as_u16())?;
        if !status.is_success() {
            let body =
                read_awc_body(address, response, self.client.settings().max_body_bytes).await?;
            return Err(status_error(address, status.as_u16(), &body));
        }
        Ok(AnswerEvents {
            address,
            events: WholeLines::new(response).eventsource(),
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
