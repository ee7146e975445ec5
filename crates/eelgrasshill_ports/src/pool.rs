//! HTTP/1 connections to upstreams, pooled per thread, each of which carries one request at a time.
//!
//! From the error of the transport this module decides whether a request certainly was not sent
//! or may have run. It uses `hyper`, since `awc` accepts a truncated answer as complete and
//! reports a connection that ended without an answer as a connect error.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::Debug;
use eelgrasshill_domain::{FastMap, Moment};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::bounded::{AnswerBody, BoundedStream, ByteBudget};
use crate::error::{check_final_status, with_timeout};
use crate::{BootClock, CallError, MemoryLease};

/// How long [`HttpPool::call`] keeps an idle connection; servers close theirs after 10 s.
const IDLE_TTL: Duration = Duration::from_secs(5);

/// Maximum size of a head, and of the read buffer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of bytes of a body between two parts of its data.
///
/// It is several times the read buffer, since data is read ahead.
const MAX_BYTES_BEFORE_DATA: usize = 256 << 10;

/// Maximum number of bytes until the body is read, with all informational answers and read ahead.
const MAX_BYTES_BEFORE_BODY: usize = MAX_HEAD_BYTES + MAX_BYTES_BEFORE_DATA;

/// Size from which on a body is kept in several blocks.
const BLOCK_BYTES: usize = 64 << 10;

/// Aborts the task that drives a connection when the connection is dropped.
#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection, closed when dropped.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddr,
    #[debug(skip)]
    sender: SendRequest<Full<Bytes>>,
    budget: ByteBudget,
    driver: AbortOnDrop,
    // Number of requests that were sent on it.
    sent_requests: u64,
}

impl HttpConnection {
    /// Opens a connection; after an error here no request was sent.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] when no connection was established before the timeout.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, CallError> {
        Self::open_with(address, timeout, false).await
    }

    /// Opens a connection.
    ///
    /// With `reset_on_drop`, dropping it sends a TCP reset, so that data which is undelivered by
    /// then is discarded instead of retransmitted.
    async fn open_with(
        address: SocketAddr,
        timeout: Duration,
        reset_on_drop: bool,
    ) -> Result<Self, CallError> {
        let not_sent = |cause: String| CallError::NotSent {
            address: address.to_string(),
            cause,
        };
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(connected) => connected.map_err(|error| not_sent(error.to_string()))?,
            Err(_elapsed) => {
                return Err(not_sent(format!(
                    "not connected within {} ms",
                    timeout.as_millis()
                )));
            }
        };
        stream
            .set_nodelay(true)
            .map_err(|error| not_sent(error.to_string()))?;
        if reset_on_drop {
            stream
                .set_zero_linger()
                .map_err(|error| not_sent(error.to_string()))?;
        }
        // Sends nothing yet, so it needs no timeout.
        let budget = ByteBudget::new(MAX_BYTES_BEFORE_BODY);
        let stream = BoundedStream::new(stream, budget.clone());
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        let driver = tokio::task::spawn(async move {
            // The request on the connection fails with the same error and reports it.
            if let Err(error) = connection.await {
                log::debug!("http: the connection to {address} ended: {error}");
            }
        });
        Ok(Self {
            address,
            sender,
            budget,
            driver: AbortOnDrop(driver),
            sent_requests: 0,
        })
    }

    /// Returns whether no more than one request was sent, so that an answer belongs to that one.
    #[must_use]
    pub fn has_sent_one(&self) -> bool {
        self.sent_requests <= 1
    }

    /// Closes the connection and waits until that is done.
    ///
    /// After a drop, the runtime closes it some time later.
    pub async fn close(mut self) {
        self.driver.0.abort();
        // The driver fails with the cancellation, or has ended before.
        let _ended = (&mut self.driver.0).await;
    }

    /// Sends a request and returns the response, whose body is still unread.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Lost`] when the connection ended first, and [`CallError::Malformed`] for an
    /// answer whose status is not that of a final answer; the request may have run.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<AnswerBody>, CallError> {
        self.budget.allow(MAX_BYTES_BEFORE_BODY);
        self.sent_requests += 1;
        let address = self.address;
        let lost = move |error: hyper::Error| CallError::Lost {
            address: address.to_string(),
            cause: error.to_string(),
        };
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                check_final_status(address, response.status().as_u16())?;
                Ok(response
                    .map(|body| AnswerBody::new(body, self.budget.clone(), MAX_BYTES_BEFORE_DATA)))
            }
            Err(mut error) => match error.take_message() {
                Some(_request) => Err(CallError::NotSent {
                    address: address.to_string(),
                    cause: "the connection had ended".to_owned(),
                }),
                None => Err(lost(error.into_error())),
            },
        }
    }

    /// Sends a request and reads the whole response of at most `max_bytes` bytes.
    async fn send_and_read(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = read_response_body(self.address, body, max_bytes).await?;
        Ok(Response::from_parts(head, body))
    }
}

struct IdleConnection {
    connection: HttpConnection,
    expires_at: Moment,
}

/// The idle connections of one thread, by address.
#[derive(Clone, Debug, Default)]
pub struct HttpPool {
    #[debug(skip)]
    idle: Rc<RefCell<FastMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl HttpPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] when no connection was established before the timeout.
    pub async fn take(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<HttpConnection, CallError> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => HttpConnection::open(address, timeout).await,
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpConnection> {
        let now = BootClock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(IdleConnection {
            connection,
            expires_at,
        }) = connections.pop()
        {
            if now < expires_at && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse for at most `ttl`.
    ///
    /// The response on it must have been read completely.
    pub fn put_back(&self, connection: HttpConnection, ttl: Duration) {
        let now = BootClock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        connections.retain(|connection| now < connection.expires_at);
        connections.push(IdleConnection {
            connection,
            expires_at: now.after(ttl),
        });
    }

    /// Sends a request on a pooled connection and reads the whole response within a timeout.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`], which says whether the request may have run.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, CallError> {
        with_timeout(address, timeout, async {
            let mut connection = self.take(address, timeout).await?;
            let answer = connection.send_and_read(request, max_bytes).await?;
            self.put_back(connection, IDLE_TTL);
            Ok(answer)
        })
        .await
    }
}

/// Sends a request on a new connection and reads the whole response within a timeout.
///
/// A request that did not arrive within the timeout does not arrive later. On a pooled connection
/// it could: if the network is partitioned, the kernel retransmits the data for seconds.
///
/// # Errors
///
/// Returns [`CallError`], which says whether the request may have run.
pub async fn call_unpooled(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, CallError> {
    with_timeout(address, timeout, async {
        let mut connection = HttpConnection::open_with(address, timeout, true).await?;
        connection.send_and_read(request, max_bytes).await
    })
    .await
}

/// Reads a complete body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns [`CallError::Lost`] when the body was truncated or is longer than that.
pub async fn read_response_body(
    address: SocketAddr,
    body: AnswerBody,
    max_bytes: usize,
) -> Result<Bytes, CallError> {
    let collected = Limited::new(body, max_bytes).collect().await;
    let collected = collected.map_err(|error| CallError::Lost {
        address: address.to_string(),
        cause: error.to_string(),
    })?;
    Ok(collected.to_bytes())
}

/// Complete body of an answer, in blocks, with its counted memory.
#[derive(Debug)]
pub struct CountedBody {
    /// The blocks, in order.
    pub blocks: Vec<Bytes>,
    /// Number of bytes of all blocks.
    pub length: usize,
    /// Memory of the blocks, to be kept as long as they are.
    pub lease: MemoryLease,
}

/// Reads a complete body of at most `max_bytes` bytes, whose memory is counted.
///
/// # Errors
///
/// Returns [`CallError::Lost`] when the body was truncated, and [`CallError::Malformed`] when it is
/// longer than that or too little memory is left.
pub async fn read_counted_body(
    address: SocketAddr,
    mut body: AnswerBody,
    max_bytes: usize,
    mut lease: MemoryLease,
) -> Result<CountedBody, CallError> {
    let malformed = |cause: String| CallError::Malformed {
        address: address.to_string(),
        cause,
    };
    let mut blocks = Vec::new();
    let mut block = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallError::Lost {
            address: address.to_string(),
            cause: error.to_string(),
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length > max_bytes {
            return Err(malformed(format!("a body of more than {max_bytes} bytes")));
        }
        lease
            .resize_charged(length)
            .await
            .map_err(|error| malformed(error.to_string()))?;
        // A large body is not copied again while it grows.
        if !block.is_empty() && block.len() + data.len() > BLOCK_BYTES {
            blocks.push(block.split().freeze());
        }
        block.extend_from_slice(&data);
    }
    blocks.push(block.freeze());
    Ok(CountedBody {
        blocks,
        length,
        lease,
    })
}
