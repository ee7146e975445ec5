//! HTTP servers of one host: for callers, and for the load balancer and operators.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use actix_web::dev::Server;
use actix_web::web::{self, Data};
use actix_web::{App, HttpResponse, HttpServer};
use eelgrasshill_ports::{CallerServerSettings, ConnectionMemory, HttpPool, run_caller_server};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::codec::PlatformCodec;
use crate::model_request::ModelRequester;
use crate::relay::relay;
use crate::shared::Shared;

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 512;

/// Starts the server for callers, on a thread of its own.
pub(crate) fn serve_callers<C: PlatformCodec>(
    shared: &Arc<Shared<C>>,
    listener: TcpListener,
) -> io::Result<Server> {
    let data = Data::from(Arc::clone(shared));
    let settings = &shared.settings;
    let connections = Arc::clone(shared);
    let server_settings = CallerServerSettings {
        worker_threads: 1,
        backlog: ACCEPT_BACKLOG,
        max_connections: settings.max_connections,
        head_timeout: settings.head_timeout,
        keep_alive: settings.idle_timeout,
        // A caller that closed its connection no longer waits for an answer, so its request is
        // dropped.
        allows_half_closed: false,
        shutdown_s: settings.bounds.termination_grace.as_secs(),
    };
    let app = move || {
        App::new()
            .app_data(data.clone())
            .app_data(Data::new(HttpPool::new()))
            .app_data(Data::new(ModelRequester::default()))
            .default_service(web::to(relay::<C>))
    };
    run_caller_server(server_settings, listener, app, move |data| {
        data.insert(ConnectionMemory::default());
        data.insert(connections.open_connection());
    })
}

/// Starts the server for the load balancer's and operators' requests.
pub(crate) fn serve_admin<C: PlatformCodec>(
    shared: &Arc<Shared<C>>,
    listeners: [TcpListener; 2],
    metrics: Option<PrometheusHandle>,
) -> io::Result<Server> {
    let data = Data::from(Arc::clone(shared));
    let metrics = Data::new(metrics);
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(metrics.clone())
            .route("/ready", web::get().to(serve_readiness::<C>))
            .route("/metrics", web::get().to(serve_metrics))
    })
    .workers(1)
    .disable_signals();
    for listener in listeners {
        server = server.listen(listener)?;
    }
    Ok(server.run())
}

async fn serve_readiness<C: PlatformCodec>(shared: Data<Shared<C>>) -> HttpResponse {
    if shared.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn serve_metrics(metrics: Data<Option<PrometheusHandle>>) -> HttpResponse {
    match metrics.get_ref() {
        Some(handle) => HttpResponse::Ok().body(handle.render()),
        None => HttpResponse::NotFound().body("no recorder is installed\n"),
    }
}
