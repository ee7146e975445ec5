//! Connections to upstreams, each carrying one request at a time.
//!
//! The client is `hyper`: `awc` takes an answer that was cut off for a whole one and names a
//! connection that ended without an answer a connect error.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Debug;
use eelgrasshill_domain::{FastMap, Moment};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::error::within;
use crate::{BootClock, CallError};

/// Ends a connection's task when the call that uses it ends.
#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub struct Exchange {
    address: SocketAddr,
    #[debug(skip)]
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDrop,
}

impl Exchange {
    /// Connects; whatever fails here is certainly not sent.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] when no connection stood within the bound.
    pub async fn open(address: SocketAddr, bound: Duration) -> Result<Self, CallError> {
        Self::open_with(address, bound, false).await
    }

    /// Connects; with `resets`, what was not delivered when it is dropped never will be.
    async fn open_with(
        address: SocketAddr,
        bound: Duration,
        resets: bool,
    ) -> Result<Self, CallError> {
        let not_sent = |cause: String| CallError::NotSent {
            address: address.to_string(),
            cause,
        };
        let stream = match tokio::time::timeout(bound, TcpStream::connect(address)).await {
            Ok(connected) => connected.map_err(|error| not_sent(error.to_string()))?,
            Err(elapsed) => return Err(not_sent(elapsed.to_string())),
        };
        stream
            .set_nodelay(true)
            .map_err(|error| not_sent(error.to_string()))?;
        if resets {
            stream
                .set_zero_linger()
                .map_err(|error| not_sent(error.to_string()))?;
        }
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        let driver = tokio::task::spawn(async move {
            // The request on the connection meets the same error and reports it.
            if let Err(error) = connection.await {
                log::debug!("http: the connection to {address} ended: {error}");
            }
        });
        Ok(Self {
            address,
            sender,
            _driver: AbortOnDrop(driver),
        })
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Lost`] when the connection ended first; the request may have run.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        let address = self.address;
        let lost = move |error: hyper::Error| CallError::Lost {
            address: address.to_string(),
            cause: error.to_string(),
        };
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_request) => Err(CallError::NotSent {
                    address: address.to_string(),
                    cause: "the connection had ended".to_owned(),
                }),
                None => Err(lost(error.into_error())),
            },
        }
    }

    /// Sends a request and reads the whole answer.
    async fn send_small(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let response = self.send(request).await?;
        let status = response.status();
        let body = read_whole(self.address, response.into_body(), limit).await?;
        Ok((status, body))
    }
}

struct Idle {
    exchange: Exchange,
    until: Moment,
}

/// The connections of one thread.
#[derive(Clone, Debug, Default)]
pub struct HttpPool {
    #[debug(skip)]
    idle: Rc<RefCell<FastMap<SocketAddr, Vec<Idle>>>>,
}

impl HttpPool {
    /// Makes a pool without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] when no connection stood within the bound.
    pub async fn take(&self, address: SocketAddr, bound: Duration) -> Result<Exchange, CallError> {
        match self.idle(address) {
            Some(exchange) => Ok(exchange),
            None => Exchange::open(address, bound).await,
        }
    }

    fn idle(&self, address: SocketAddr) -> Option<Exchange> {
        let now = BootClock.now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(Idle { exchange, until }) = kept.pop() {
            if now < until && exchange.sender.is_ready() {
                return Some(exchange);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole, for at most `span`.
    pub fn keep(&self, exchange: Exchange, span: Duration) {
        let now = BootClock.now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(exchange.address).or_default();
        kept.retain(|idle| now < idle.until);
        kept.push(Idle {
            exchange,
            until: now.after(span),
        });
    }

    /// Sends a small request and reads the whole answer within a bound.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`], which says whether the request may have run.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        bound: Duration,
        limit: usize,
    ) -> Result<(StatusCode, Bytes), CallError> {
        within(address, bound, async {
            let mut exchange = self.take(address, bound).await?;
            let answer = exchange.send_small(request, limit).await?;
            self.keep(exchange, KEEP);
            Ok(answer)
        })
        .await
    }
}

/// Sends a small request on a connection of its own, and reads the whole answer within a bound.
///
/// What did not arrive within the bound does not arrive later: a connection that is open already
/// may lead into a cut, and the system would repeat what was sent on it for seconds.
///
/// # Errors
///
/// Returns [`CallError`], which says whether the request may have run.
pub async fn call_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    bound: Duration,
    limit: usize,
) -> Result<(StatusCode, Bytes), CallError> {
    within(address, bound, async {
        let mut exchange = Exchange::open_with(address, bound, true).await?;
        exchange.send_small(request, limit).await
    })
    .await
}

/// How long a connection of small calls is kept; servers close theirs after ten seconds.
const KEEP: Duration = Duration::from_secs(5);

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`CallError::Lost`] when it was cut off or is longer.
pub async fn read_whole(
    address: SocketAddr,
    body: Incoming,
    limit: usize,
) -> Result<Bytes, CallError> {
    let whole = Limited::new(body, limit).collect().await;
    let whole = whole.map_err(|error| CallError::Lost {
        address: address.to_string(),
        cause: error.to_string(),
    })?;
    Ok(whole.to_bytes())
}
