//! Plain services, to which a call is passed on as it came.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use eelgrasshill_domain::RequestId;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::{CallError, HttpClientSettings};

/// The header that carries the request's id to an upstream.
const REQUEST_ID: &str = "x-request-id";

/// A call as it goes to a plain service: nothing of a caller's key is in it.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The request's id.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub path: String,
    /// The headers that are allowed through.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// Whether the call may be sent a second time.
    pub repeat: bool,
}

/// The answer of a plain service.
#[derive(Clone, Debug)]
pub struct PlainReply {
    /// The HTTP status.
    pub status: u16,
    /// The type of the body.
    pub content: Option<String>,
    /// The id of the request that the service says it answers.
    pub id: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Plain services, each met at its address.
#[expect(
    async_fn_in_trait,
    reason = "callers run on one thread and need no Send bound"
)]
pub trait Plain {
    /// Passes a call on and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`], which says whether the call may have run.
    async fn call(
        &self,
        address: SocketAddr,
        call: &PlainCall,
        bound: Duration,
    ) -> Result<PlainReply, CallError>;
}

/// Plain services over HTTP, each call on a connection of its own.
///
/// The client is `hyper`: `awc` takes an answer that was cut off for a whole
/// one and names a connection that ended without an answer a connect error.
/// With a connection for each call, whatever fails before it stands is
/// certainly not sent, and none can have gone silent while idle.
#[derive(Clone, Debug)]
pub struct HttpPlain {
    connect: Duration,
    body: usize,
}

impl HttpPlain {
    /// Makes an adapter with the client's bounds on connections and bodies.
    #[must_use]
    pub fn new(settings: &HttpClientSettings) -> Self {
        Self {
            connect: settings.connect,
            body: settings.body,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, CallError> {
        let not_sent = |cause: String| CallError::NotSent {
            address: address.to_string(),
            cause,
        };
        match tokio::time::timeout(self.connect, TcpStream::connect(address)).await {
            Ok(connected) => connected.map_err(|error| not_sent(error.to_string())),
            Err(elapsed) => Err(not_sent(elapsed.to_string())),
        }
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<PlainReply, CallError> {
        let lost = |error: &dyn std::error::Error| CallError::Lost {
            address: address.to_string(),
            cause: error.to_string(),
        };
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|error| lost(&error))?;
        let connection = AbortOnDrop(tokio::task::spawn(connection));
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| lost(&error))?;
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let content = header("content-type");
        let id = header(REQUEST_ID);
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), self.body)
            .collect()
            .await;
        let body = body.map_err(|error| lost(error.as_ref()))?.to_bytes();
        drop(connection);
        Ok(PlainReply {
            status,
            content,
            id,
            body,
        })
    }
}

/// Ends a connection's task when the call that uses it ends.
#[derive(Debug)]
struct AbortOnDrop<T>(JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn request_of(address: SocketAddr, call: &PlainCall) -> Result<Request<Full<Bytes>>, CallError> {
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(&call.path)
        .header("host", address.to_string())
        .header(REQUEST_ID, call.id.as_str());
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    request
        .body(Full::new(call.body.clone()))
        .map_err(|error| CallError::NotSent {
            address: address.to_string(),
            cause: error.to_string(),
        })
}

impl Plain for HttpPlain {
    async fn call(
        &self,
        address: SocketAddr,
        call: &PlainCall,
        bound: Duration,
    ) -> Result<PlainReply, CallError> {
        let request = request_of(address, call)?;
        let stream = self.connect(address).await?;
        let exchange = self.exchange(stream, address, request);
        let timeout = |_elapsed| CallError::Timeout {
            address: address.to_string(),
            bound,
        };
        tokio::time::timeout(bound, exchange)
            .await
            .map_err(timeout)?
    }
}
