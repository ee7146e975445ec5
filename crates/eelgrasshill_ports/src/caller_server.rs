//! The HTTP server for callers, which decodes one request of a connection at a time.

use std::fmt;
use std::io;
use std::net::TcpListener;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::header::CONTENT_LENGTH;
use actix_http::{Extensions, HttpMessage, HttpService, Payload, Request, Response};
use actix_service::{
    IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt, apply_fn_factory, fn_service,
    map_config,
};
use actix_web::dev::{AppConfig, Server};
use actix_web::rt::net::TcpStream;

use crate::{BodyFraming, CallerStream, RequestGate};

/// Longest time for which a connection that the server closes waits for the caller.
///
/// The default of `actix_web::HttpServer`.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of the server for callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerServerSettings {
    /// Number of worker threads.
    pub worker_threads: usize,
    /// Maximum number of connections that wait to be accepted.
    pub backlog: u32,
    /// Maximum number of connections of each thread.
    pub max_connections: usize,
    /// Longest time for the head of a connection's first request.
    pub head_timeout: Duration,
    /// Longest time between an answer and the next request of a connection.
    pub keep_alive: Duration,
    /// Whether requests are served whose caller has closed its side of the connection.
    pub allows_half_closed: bool,
    /// Longest time for requests to end in a graceful stop, in seconds.
    pub shutdown_s: u64,
}

/// Starts the server for callers.
///
/// `on_connect` adds data to each connection, which its requests can read.
///
/// # Errors
///
/// Returns the system's error if the listener cannot be used.
pub fn run_caller_server<F, I, S, B, C>(
    settings: CallerServerSettings,
    listener: TcpListener,
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
    B: MessageBody + 'static,
    C: Fn(&mut Extensions) + Send + Clone + 'static,
{
    let address = listener.local_addr()?;
    let builder = Server::build()
        .workers(settings.worker_threads)
        .backlog(settings.backlog)
        .max_concurrent_connections(settings.max_connections)
        .shutdown_timeout(settings.shutdown_s)
        .disable_signals();
    let stop_signal = builder.graceful_shutdown_signal();
    let server = builder.listen("callers", listener, move || {
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
            .local_addr(address)
            .on_connect_ext(move |stream: &CallerStream, data: &mut Extensions| {
                data.insert(stream.gate());
                on_connect(data);
            })
            .h1(apply_fn_factory(app, |mut request: Request, app| {
                let framing = body_framing(&mut request);
                let gate = request.conn_data::<RequestGate>();
                let open = gate.map(|gate| gate.open_request(framing));
                let answer = app.call(request);
                async move {
                    let answer = answer.await;
                    drop(open);
                    answer
                }
            }));
        fn_service(move |stream: TcpStream| async move {
            let peer_address = stream.peer_addr().ok();
            let stream = CallerStream::new(stream, settings.allows_half_closed);
            Ok((stream, peer_address))
        })
        .and_then(http)
    })?;
    Ok(server.run())
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
