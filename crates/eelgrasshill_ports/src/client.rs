//! The HTTP client that all adapters of one thread share.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::header::CONTENT_LENGTH;
use awc::{Client, ClientResponse, Connector};
use bytes::{Bytes, BytesMut};
use derive_more::Debug;
use futures_util::{Stream, StreamExt};
use serde::{Serialize, de::DeserializeOwned};

use crate::CallError;
use crate::error::within;

/// Most bytes of an error answer that are kept for the logs.
const DETAIL_BYTES: usize = 200;

/// Bounds on connections and answers of one thread's client.
#[derive(Clone, Copy, Debug)]
pub struct HttpClientSettings {
    /// Longest wait for a connection.
    pub connect: Duration,
    /// Longest wait for a whole small answer.
    pub answer: Duration,
    /// Longest time that an idle connection is kept.
    pub keep: Duration,
    /// Largest answer that is read whole, in bytes.
    pub body: usize,
}

impl Default for HttpClientSettings {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            answer: Duration::from_secs(3),
            keep: Duration::from_secs(5),
            body: 16 << 20,
        }
    }
}

/// A pooling client and one that opens a connection for every call.
#[derive(Clone, Debug)]
pub struct HttpClient {
    #[debug(skip)]
    pooled: Client,
    #[debug(skip)]
    single: Client,
    settings: HttpClientSettings,
}

impl HttpClient {
    /// Makes the clients; they stay on the thread that made them.
    #[must_use]
    pub fn new(settings: HttpClientSettings) -> Self {
        let build = |keep: Duration| {
            let connector = Connector::new()
                .timeout(settings.connect)
                .conn_keep_alive(keep)
                .limit(0);
            Client::builder()
                .connector(connector)
                .disable_timeout()
                .disable_redirects()
                .no_default_headers()
                .finish()
        };
        Self {
            pooled: build(settings.keep),
            single: build(Duration::ZERO),
            settings,
        }
    }

    /// Returns the client that keeps idle connections.
    #[must_use]
    pub fn pooled(&self) -> &Client {
        &self.pooled
    }

    /// Returns the client whose every call opens a connection of its own.
    ///
    /// A connection that went silent while idle can then lose no call.
    #[must_use]
    pub fn single(&self) -> &Client {
        &self.single
    }

    /// Returns the bounds.
    #[must_use]
    pub fn settings(&self) -> &HttpClientSettings {
        &self.settings
    }

    /// Reads a small JSON document.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when no whole document came within the bound.
    pub async fn get<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        extra: Duration,
    ) -> Result<A, CallError> {
        let request = self.pooled.get(format!("http://{address}{path}"));
        let bound = self.settings.answer + extra;
        within(address, bound, async {
            let response = request
                .send()
                .await
                .map_err(|error| CallError::from_send(&address.to_string(), bound, &error))?;
            self.document(address, response).await
        })
        .await
    }

    /// Posts a small JSON document and reads the answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when no whole answer came within the bound.
    pub async fn post<B: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<A, CallError> {
        let request = self.pooled.post(format!("http://{address}{path}"));
        let bound = self.settings.answer;
        within(address, bound, async {
            let response = request
                .send_json(body)
                .await
                .map_err(|error| CallError::from_send(&address.to_string(), bound, &error))?;
            self.document(address, response).await
        })
        .await
    }

    async fn document<A, S>(
        &self,
        address: SocketAddr,
        response: ClientResponse<S>,
    ) -> Result<A, CallError>
    where
        A: DeserializeOwned,
        S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
    {
        let status = response.status();
        let body = read_body(address, response, self.settings.body).await?;
        if !status.is_success() {
            return Err(status_error(address, status.as_u16(), &body));
        }
        serde_json::from_slice(&body).map_err(|error| CallError::Malformed {
            address: address.to_string(),
            cause: error.to_string(),
        })
    }
}

/// Reads a whole body of at most `limit` bytes.
pub(crate) async fn read_body<S>(
    address: SocketAddr,
    mut body: ClientResponse<S>,
    limit: usize,
) -> Result<Bytes, CallError>
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let promised = body.headers().get(CONTENT_LENGTH);
    let promised: Option<usize> = promised.and_then(|value| value.to_str().ok()?.parse().ok());
    let promised = promised.unwrap_or_default();
    let mut whole = BytesMut::new();
    while let Some(part) = body.next().await {
        let part = part.map_err(|error| CallError::Lost {
            address: address.to_string(),
            cause: error.to_string(),
        })?;
        if whole.len() + part.len() > limit {
            return Err(CallError::Malformed {
                address: address.to_string(),
                cause: format!("the answer is longer than {limit} bytes"),
            });
        }
        whole.extend_from_slice(&part);
    }
    // The client takes a body that was cut off for a whole one.
    if whole.len() < promised {
        return Err(CallError::Lost {
            address: address.to_string(),
            cause: format!("{} of {promised} bytes came", whole.len()),
        });
    }
    Ok(whole.freeze())
}

/// Makes the error of an answer whose status is not a success.
pub(crate) fn status_error(address: SocketAddr, status: u16, body: &[u8]) -> CallError {
    let start = body.get(..DETAIL_BYTES).unwrap_or(body);
    CallError::Status {
        address: address.to_string(),
        status,
        detail: String::from_utf8_lossy(start).into_owned(),
    }
}
