//! Plain services, to which a call is passed on as it came.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use eelgrasshill_domain::RequestId;
use http_body_util::Full;
use hyper::Request;

use crate::error::within;
use crate::{CallError, Exchange, HttpClientSettings, read_whole};

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

    async fn exchange(
        &self,
        mut exchange: Exchange,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<PlainReply, CallError> {
        let response = exchange.send(request).await?;
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let content = header("content-type");
        let id = header(REQUEST_ID);
        let status = response.status().as_u16();
        let body = read_whole(address, response.into_body(), self.body).await?;
        Ok(PlainReply {
            status,
            content,
            id,
            body,
        })
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
        let exchange = Exchange::open(address, self.connect).await?;
        let exchange = self.exchange(exchange, address, request);
        within(address, bound, exchange).await
    }
}
