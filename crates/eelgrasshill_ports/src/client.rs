//! The HTTP client that all adapters of one thread share.
//!
//! It limits the wait for every answer and its size, and detects truncated answers by their
//! declared length, since `awc` accepts them as complete.

use std::net::SocketAddr;
use std::time::Duration;

use actix_service::{Service as _, fn_service};
use actix_tls::connect::{ConnectInfo, Connector as TcpConnector};
use awc::http::Uri;
use awc::http::header::CONTENT_LENGTH;
use awc::{Client, ClientResponse, Connector};
use bytes::{Bytes, BytesMut};
use derive_more::Debug;
use futures_util::{Stream, StreamExt};
use serde::{Serialize, de::DeserializeOwned};

use crate::CallError;
use crate::bounded::BoundedStream;
use crate::error::{check_final_status, with_timeout};

/// The number of bytes of an error response that [`CallError::Status`] keeps.
const MAX_DETAIL_BYTES: usize = 200;

/// Bytes on the wire for each byte that an answer may have.
///
/// Besides its data, a body in chunks has their sizes.
const WIRE_BYTES_PER_BYTE: usize = 2;

/// Timeouts and size limits of an HTTP client.
#[derive(Clone, Copy, Debug)]
pub struct HttpClientSettings {
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// The timeout for a complete JSON answer.
    pub answer_timeout: Duration,
    /// How long an idle connection is kept open.
    pub idle_timeout: Duration,
    /// The maximum size of an answer body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for HttpClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            answer_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(5),
            max_body_bytes: 16 << 20,
        }
    }
}

/// A client with pooled connections and one that opens a connection per call.
#[derive(Clone, Debug)]
pub struct HttpClient {
    #[debug(skip)]
    pooled: Client,
    #[debug(skip)]
    unpooled: Client,
    settings: HttpClientSettings,
}

impl HttpClient {
    /// Creates both clients; they stay on the thread that created them.
    #[must_use]
    pub fn new(settings: HttpClientSettings) -> Self {
        let build = |idle_timeout: Duration| {
            let answer_bytes = settings.max_body_bytes.saturating_mul(WIRE_BYTES_PER_BYTE);
            let bounded = fn_service(move |target: ConnectInfo<Uri>| async move {
                let connected = TcpConnector::default().service().call(target).await?;
                let (stream, connection) = connected.replace_io(());
                let stream = BoundedStream::with_answer_bytes(stream, answer_bytes);
                Ok(connection.replace_io(stream).1)
            });
            let connector = Connector::new()
                .connector(bounded)
                .timeout(settings.connect_timeout)
                .conn_keep_alive(idle_timeout)
                // No limit on the number of connections.
                .limit(0);
            Client::builder()
                .connector(connector)
                .disable_timeout()
                .disable_redirects()
                .no_default_headers()
                .finish()
        };
        Self {
            pooled: build(settings.idle_timeout),
            unpooled: build(Duration::ZERO),
            settings,
        }
    }

    /// Returns the client that reuses idle connections.
    #[must_use]
    pub fn pooled(&self) -> &Client {
        &self.pooled
    }

    /// Returns the client that opens a new connection for every call.
    ///
    /// No call can then be lost on a connection that died while it was idle.
    #[must_use]
    pub fn unpooled(&self) -> &Client {
        &self.unpooled
    }

    /// Returns the timeouts and limits that the clients were created with.
    #[must_use]
    pub fn settings(&self) -> &HttpClientSettings {
        &self.settings
    }

    /// Gets a JSON document; `extra_wait` is added to the answer timeout.
    ///
    /// It is the time that the server itself may wait before it answers.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when no complete document arrived before the timeout.
    pub async fn get<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        extra_wait: Duration,
    ) -> Result<A, CallError> {
        let request = self.pooled.get(format!("http://{address}{path}"));
        let timeout = self.settings.answer_timeout + extra_wait;
        with_timeout(address, timeout, async {
            let response = request.send().await.map_err(|error| {
                CallError::from_send_error(&address.to_string(), timeout, &error)
            })?;
            self.read_json(address, response).await
        })
        .await
    }

    /// Posts a JSON document and parses the JSON answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when no complete answer arrived before the timeout.
    pub async fn post<B: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<A, CallError> {
        let request = self.pooled.post(format!("http://{address}{path}"));
        let timeout = self.settings.answer_timeout;
        with_timeout(address, timeout, async {
            let response = request.send_json(body).await.map_err(|error| {
                CallError::from_send_error(&address.to_string(), timeout, &error)
            })?;
            self.read_json(address, response).await
        })
        .await
    }

    async fn read_json<A, S>(
        &self,
        address: SocketAddr,
        response: ClientResponse<S>,
    ) -> Result<A, CallError>
    where
        A: DeserializeOwned,
        S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
    {
        let status = response.status();
        check_final_status(address, status.as_u16())?;
        let body = read_awc_body(address, response, self.settings.max_body_bytes).await?;
        if !status.is_success() {
            return Err(status_error(address, status.as_u16(), &body));
        }
        serde_json::from_slice(&body).map_err(|error| CallError::Malformed {
            address: address.to_string(),
            cause: error.to_string(),
        })
    }
}

/// Reads a complete body of at most `max_bytes` bytes.
pub(crate) async fn read_awc_body<S>(
    address: SocketAddr,
    mut body: ClientResponse<S>,
    max_bytes: usize,
) -> Result<Bytes, CallError>
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let declared_bytes = body.headers().get(CONTENT_LENGTH);
    let declared_bytes: Option<usize> =
        declared_bytes.and_then(|value| value.to_str().ok()?.parse().ok());
    let declared_bytes = declared_bytes.unwrap_or_default();
    let mut received = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(|error| CallError::Lost {
            address: address.to_string(),
            cause: error.to_string(),
        })?;
        if received.len() + chunk.len() > max_bytes {
            return Err(CallError::Malformed {
                address: address.to_string(),
                cause: format!("the answer is longer than {max_bytes} bytes"),
            });
        }
        received.extend_from_slice(&chunk);
    }
    // `awc` accepts a truncated body as complete.
    if received.len() < declared_bytes {
        return Err(CallError::Lost {
            address: address.to_string(),
            cause: format!(
                "the body ended after {} of {declared_bytes} bytes",
                received.len()
            ),
        });
    }
    Ok(received.freeze())
}

/// Returns the error for a response whose status is not a success.
pub(crate) fn status_error(address: SocketAddr, status: u16, body: &[u8]) -> CallError {
    let detail = body.get(..MAX_DETAIL_BYTES).unwrap_or(body);
    CallError::Status {
        address: address.to_string(),
        status,
        detail: String::from_utf8_lossy(detail).into_owned(),
    }
}
