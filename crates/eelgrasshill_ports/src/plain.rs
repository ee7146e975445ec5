//! Plain HTTP services, to which calls are forwarded unchanged.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use eelgrasshill_domain::RequestId;
use http_body_util::Full;
use hyper::Request;

use crate::error::with_timeout;
use crate::{CallError, HttpClientSettings, HttpConnection, read_response_body};

/// The header that carries the request id to an upstream.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// A call to a plain service, without the API key of the caller.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The request id, sent along in `x-request-id`.
    pub request_id: RequestId,
    /// The HTTP method.
    pub method: Method,
    /// The path and query of the URL.
    pub path_and_query: String,
    /// The headers of the caller that are forwarded.
    pub headers: Vec<(String, String)>,
    /// The request body.
    pub body: Bytes,
    /// Whether the call may be sent again after a failure.
    pub is_repeatable: bool,
}

/// The response of a plain service.
#[derive(Clone, Debug)]
pub struct PlainReply {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The request id that the service returned in `x-request-id`.
    pub request_id: Option<String>,
    /// The complete response body.
    pub body: Bytes,
}

/// A client of plain services, each identified by its address.
#[expect(
    async_fn_in_trait,
    reason = "callers run on one thread and need no Send bound"
)]
pub trait PlainClient {
    /// Forwards a call and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`], which says whether the call may have run.
    async fn call(
        &self,
        address: SocketAddr,
        call: &PlainCall,
        timeout: Duration,
    ) -> Result<PlainReply, CallError>;
}

/// An HTTP adapter for plain services that opens a connection per call.
///
/// A call that fails before its connection is established was certainly not sent, and no call can
/// be lost on a connection that died while it was idle.
#[derive(Clone, Debug)]
pub struct HttpPlain {
    connect_timeout: Duration,
    max_body_bytes: usize,
}

impl HttpPlain {
    /// Creates an adapter with the connect timeout and body limit of the settings.
    #[must_use]
    pub fn new(settings: &HttpClientSettings) -> Self {
        Self {
            connect_timeout: settings.connect_timeout,
            max_body_bytes: settings.max_body_bytes,
        }
    }

    async fn send(
        &self,
        mut connection: HttpConnection,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<PlainReply, CallError> {
        let response = connection.send(request).await?;
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let content_type = header("content-type");
        let request_id = header(REQUEST_ID_HEADER);
        let status = response.status().as_u16();
        let body = read_response_body(address, response.into_body(), self.max_body_bytes).await?;
        Ok(PlainReply {
            status,
            content_type,
            request_id,
            body,
        })
    }
}

fn build_request(address: SocketAddr, call: &PlainCall) -> Result<Request<Full<Bytes>>, CallError> {
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(&call.path_and_query)
        .header("host", address.to_string())
        .header(REQUEST_ID_HEADER, call.request_id.as_str());
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

impl PlainClient for HttpPlain {
    async fn call(
        &self,
        address: SocketAddr,
        call: &PlainCall,
        timeout: Duration,
    ) -> Result<PlainReply, CallError> {
        let request = build_request(address, call)?;
        let connection = HttpConnection::open(address, self.connect_timeout).await?;
        let response = self.send(connection, address, request);
        with_timeout(address, timeout, response).await
    }
}
