//! HTTP servers of one host: one for callers, one for operators.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::guard::{self, GuardContext};
use actix_web::web::{self, Data};
use actix_web::{App, Scope};
use eelgrasshill_domain::{ADMIN_CONNECTIONS, DEFAULT_MAX_HEAD_BYTES};
use eelgrasshill_ports::{
    CallerServerSettings, ConnectionLimit, HeadRefusal, HttpClient, HttpClientSettings,
    run_caller_server,
};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::Shared;
use crate::http::body::refuse_head;
use crate::http::{admin, chat, models, plain};

/// Number of worker threads of the operators' server.
const ADMIN_THREADS: usize = 1;

/// Longest time between an answer and the end of the next request's head.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Starts the HTTP server for callers.
pub(crate) fn serve_callers(shared: &Arc<Shared>, listener: TcpListener) -> io::Result<Server> {
    let shared_data = Data::from(Arc::clone(shared));
    let settings = server_settings(shared, shared.connections.clone());
    let app = move || {
        App::new()
            .app_data(shared_data.clone())
            .app_data(Data::new(HttpClient::new(HttpClientSettings::default())))
            .service(refused_heads())
            .route("/ready", web::get().to(admin::ready))
            .route("/v1/models", web::get().to(models::models))
            .route(
                "/v1/chat/completions",
                web::post().to(chat::chat_completion),
            )
            .route("/v1/completions", web::post().to(chat::text_completion))
            .default_service(web::to(plain::plain))
    };
    run_caller_server(&settings, vec![listener], app, |_data| {})
}

/// Starts the HTTP server for operators.
pub(crate) fn serve_admin(
    shared: &Arc<Shared>,
    listener: TcpListener,
    metrics: Option<PrometheusHandle>,
) -> io::Result<Server> {
    let shared_data = Data::from(Arc::clone(shared));
    let metrics = Data::new(metrics);
    let connections = ConnectionLimit::new("admin", ADMIN_CONNECTIONS);
    let settings = CallerServerSettings {
        worker_threads: ADMIN_THREADS,
        ..server_settings(shared, connections)
    };
    let app = move || {
        App::new()
            .app_data(shared_data.clone())
            .app_data(metrics.clone())
            .service(refused_heads())
            .route("/ready", web::get().to(admin::ready))
            .route("/metrics", web::get().to(admin::metrics))
            .route("/status", web::get().to(admin::status))
            .route("/explain/{id}", web::get().to(admin::explain))
    };
    run_caller_server(&settings, vec![listener], app, |_data| {})
}

fn server_settings(shared: &Shared, connections: ConnectionLimit) -> CallerServerSettings {
    let bounds = shared.settings.bounds;
    CallerServerSettings {
        worker_threads: shared.settings.worker_threads,
        connections,
        memory: shared.memory.clone(),
        max_head_bytes: Arc::new(AtomicUsize::new(DEFAULT_MAX_HEAD_BYTES)),
        head_timeout: bounds.receive_timeout,
        keep_alive: KEEP_ALIVE,
        allows_half_closed: true,
        shutdown_s: bounds.drain_timeout.as_secs(),
    }
}

/// Returns the service for requests that take the place of those with a refused head.
fn refused_heads() -> Scope {
    let is_refused = |context: &GuardContext<'_>| context.req_data().get::<HeadRefusal>().is_some();
    web::scope("")
        .guard(guard::fn_guard(is_refused))
        .default_service(web::to(refuse_head))
}
