//! The HTTP server for callers, which bounds what each connection holds and how many there are.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::header::CONTENT_LENGTH;
use actix_http::{Extensions, HttpMessage, HttpService, Payload, Request, Response};
use actix_service::{
    IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt, apply_fn_factory, map_config,
};
use actix_web::dev::{AppConfig, Server};
use actix_web::rt::net::TcpStream;
use eelgrasshill_domain::{ACCEPT_BACKLOG, CLOSING_CONNECTIONS};

use crate::chunk_turns::ChunkTurns;
use crate::sliced_body::{SLICE_BYTES, SlicedBody};
use crate::{
    BodyFraming, CallerStream, Connection, ConnectionLimit, HeadLimits, MemoryAccount, RequestGate,
    bound_buffers,
};

/// Longest time for which a connection that the server closes waits for the caller.
///
/// The default of `actix_web::HttpServer`.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of the server for callers.
#[derive(Clone, Debug)]
pub struct CallerServerSettings {
    /// Number of worker threads.
    pub worker_threads: usize,
    /// Limit on the connections of all threads.
    pub connections: ConnectionLimit,
    /// Account to which heads are charged.
    pub memory: MemoryAccount,
    /// Maximum size of the headers of a request, which may change.
    pub max_head_bytes: Arc<AtomicUsize>,
    /// Longest time for the head of a connection's first request.
    pub head_timeout: Duration,
    /// Longest time between an answer and the end of the next request's head.
    pub keep_alive: Duration,
    /// Whether requests are served whose caller has closed its side of the connection.
    pub allows_half_closed: bool,
    /// Longest time for requests to end in a graceful stop, in seconds.
    pub shutdown_s: u64,
}

impl CallerServerSettings {
    fn head_limits(&self, connection: &Connection, peer: Option<SocketAddr>) -> HeadLimits {
        let address = peer.map(|peer| peer.ip());
        HeadLimits {
            max_bytes: Arc::clone(&self.max_head_bytes),
            charge: self.memory.charge(address, connection.memory(), 0),
        }
    }
}

/// Starts a server for callers on all listeners.
///
/// `on_connect` adds data to each connection, which its requests can read. They can also read the
/// [`Connection`], and the [`RequestGate`]. A request whose head is refused is replaced by one with a
/// [`HeadRefusal`](crate::HeadRefusal) in its extensions.
///
/// # Errors
///
/// Returns the system's error if a listener cannot be used.
pub fn run_caller_server<F, I, S, B, C>(
    settings: &CallerServerSettings,
    listeners: Vec<TcpListener>,
    app: F,
    on_connect: C,
) -> io::Result<Server>
where
    F: Fn() -> I + Send + Clone + 'static,
    I: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = AppConfig> + 'static,
    S::Error: Into<actix_web::Error> + 'static,
    S::InitError: fmt::Debug,
    S::Response: Into<Response<B>> + 'static,
    S::Service: 'static,
    <S::Service as Service<Request>>::Future: 'static,
    B: MessageBody + Unpin + 'static,
    C: Fn(&mut Extensions) + Send + Clone + 'static,
{
    let limit = &settings.connections;
    // A worker counts its own connections only. The limit closes connections before this is reached.
    let most_open = limit.max_connections() + CLOSING_CONNECTIONS;
    let mut builder = Server::build()
        .workers(settings.worker_threads)
        .backlog(ACCEPT_BACKLOG)
        .max_concurrent_connections(most_open)
        .shutdown_timeout(settings.shutdown_s)
        .disable_signals();
    for listener in listeners {
        bound_buffers(&listener)?;
        let address = listener.local_addr()?;
        let stop_signal = builder.graceful_shutdown_signal();
        let (settings, app, on_connect) = (settings.clone(), app.clone(), on_connect.clone());
        builder = builder.listen("callers", listener, move || {
            let stop_signal = stop_signal.clone();
            let on_connect = on_connect.clone();
            let app = app()
                .into_factory()
                .map_err(|error| error.into().error_response());
            // It names the host in links of the server to itself, of which there are none.
            let app = map_config(app, |()| AppConfig::default());
            let http = HttpService::build()
                .graceful_shutdown_signal(move || {
                    let stop_signal = stop_signal.clone();
                    async move { stop_signal.notified().await }
                })
                .keep_alive(settings.keep_alive)
                .client_request_timeout(settings.head_timeout)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .h1_allow_half_closed(settings.allows_half_closed)
                .h1_write_buffer_size(SLICE_BYTES)
                .local_addr(address)
                .on_connect_ext(move |stream: &CallerStream, data: &mut Extensions| {
                    data.insert(stream.gate().connection().clone());
                    data.insert(stream.gate());
                    on_connect(data);
                })
                .h1(apply_fn_factory(app, |mut request: Request, app| {
                    let gate = request.conn_data::<RequestGate>().cloned();
                    let framing = body_framing(&mut request);
                    let open = gate.as_ref().map(|gate| gate.open_request(framing));
                    if let Some(refusal) = gate.as_ref().and_then(RequestGate::head_refusal) {
                        request.extensions_mut().insert(refusal);
                    }
                    let answer = app.call(request);
                    async move {
                        let answer = answer.await;
                        drop(open);
                        if answer.is_err() {
                            gate.as_ref().inspect(|gate| gate.end_answer());
                        }
                        answer.map(|answer| {
                            let answer: Response<B> = answer.into();
                            answer.map_body(|_head, body| SlicedBody::new(body, gate))
                        })
                    }
                }));
            let (settings, turns) = (settings.clone(), ChunkTurns::default());
            apply_fn_factory(http, move |stream: TcpStream, http| {
                let peer_address = stream.peer_addr().ok();
                let admitted = settings.connections.admit().map(|connection| {
                    let heads = settings.head_limits(&connection, peer_address);
                    let half_closed = settings.allows_half_closed;
                    let stream = CallerStream::new(stream, connection.clone(), heads, half_closed)
                        .with_turns(turns.clone());
                    (http.call((stream, peer_address)), connection)
                });
                async move {
                    let Some((serving, connection)) = admitted else {
                        return Ok(());
                    };
                    serve_until_closed(serving, &connection).await
                }
            })
        })?;
    }
    Ok(builder.run())
}

/// Serves a connection until it ends or is closed for another one.
async fn serve_until_closed<E>(
    serving: impl Future<Output = Result<(), E>>,
    connection: &Connection,
) -> Result<(), E> {
    tokio::select! {
        ended = serving => ended,
        () = connection.closed() => Ok(()),
    }
}

/// Returns how the server finds the end of the request's body.
fn body_framing(request: &mut Request) -> BodyFraming {
    if matches!(request.payload(), Payload::None) {
        return BodyFraming::Length(0);
    }
    if request.chunked().unwrap_or(false) {
        return BodyFraming::Chunked;
    }
    let length = request.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.trim().parse().ok());
    length.map_or(BodyFraming::Unbounded, BodyFraming::Length)
}
