//! HTTP servers of one host: one for callers, one for operators.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use actix_web::dev::Server;
use actix_web::web::{self, Data};
use actix_web::{App, HttpServer};
use eelgrasshill_ports::{HttpClient, HttpClientSettings};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::Shared;
use crate::http::{admin, chat, models, plain};

/// Number of worker threads of the operators' server.
const ADMIN_THREADS: usize = 1;

/// Starts the HTTP server for callers.
pub(crate) fn serve_callers(shared: &Arc<Shared>, listener: TcpListener) -> io::Result<Server> {
    let shared_data = Data::from(Arc::clone(shared));
    let settings = &shared.settings;
    let bounds = settings.bounds;
    let connections_per_thread = bounds.max_connections.div_ceil(settings.worker_threads);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(shared_data.clone())
            .app_data(Data::new(HttpClient::new(HttpClientSettings::default())))
            .route("/ready", web::get().to(admin::ready))
            .route("/v1/models", web::get().to(models::models))
            .route(
                "/v1/chat/completions",
                web::post().to(chat::chat_completion),
            )
            .route("/v1/completions", web::post().to(chat::text_completion))
            .default_service(web::to(plain::plain))
    })
    .workers(settings.worker_threads)
    .max_connections(connections_per_thread)
    .client_request_timeout(bounds.receive_timeout)
    .shutdown_timeout(bounds.drain_timeout.as_secs())
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

/// Starts the HTTP server for operators.
pub(crate) fn serve_admin(
    shared: &Arc<Shared>,
    listener: TcpListener,
    metrics: Option<PrometheusHandle>,
) -> io::Result<Server> {
    let shared_data = Data::from(Arc::clone(shared));
    let metrics = Data::new(metrics);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(shared_data.clone())
            .app_data(metrics.clone())
            .route("/ready", web::get().to(admin::ready))
            .route("/metrics", web::get().to(admin::metrics))
            .route("/status", web::get().to(admin::status))
            .route("/explain/{id}", web::get().to(admin::explain))
    })
    .workers(ADMIN_THREADS)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}
