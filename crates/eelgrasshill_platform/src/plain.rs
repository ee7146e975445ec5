//! Plain services, to which a call is passed on as it came.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use eelgrasshill_domain::RequestId;

use crate::client::read_body;
use crate::{CallError, HttpClient};

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

/// Plain services over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlain {
    client: HttpClient,
}

impl HttpPlain {
    /// Makes an adapter.
    #[must_use]
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: &PlainCall,
        bound: Duration,
    ) -> Result<PlainReply, CallError> {
        let client = if call.repeat {
            self.client.pooled()
        } else {
            self.client.single()
        };
        let url = format!("http://{address}{}", call.path);
        let mut request = client.request(call.method.clone(), url);
        for (name, value) in &call.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        request = request.insert_header((REQUEST_ID, call.id.as_str()));
        let response = request
            .send_body(call.body.clone())
            .await
            .map_err(|error| CallError::from_send(&address.to_string(), bound, &error))?;
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let content = header("content-type");
        let id = header(REQUEST_ID);
        let status = response.status().as_u16();
        let body = read_body(address, response, self.client.settings().body).await?;
        Ok(PlainReply {
            status,
            content,
            id,
            body,
        })
    }
}

impl Plain for HttpPlain {
    async fn call(
        &self,
        address: SocketAddr,
        call: &PlainCall,
        bound: Duration,
    ) -> Result<PlainReply, CallError> {
        let exchange = self.exchange(address, call, bound);
        let timeout = |_elapsed| CallError::Timeout {
            address: address.to_string(),
            bound,
        };
        tokio::time::timeout(bound, exchange)
            .await
            .map_err(timeout)?
    }
}
