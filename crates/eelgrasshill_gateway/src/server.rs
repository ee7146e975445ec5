//! HTTP servers of one host: for callers, and for the load balancer and operators.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::web::{self, Data};
use actix_web::{App, HttpResponse};
use eelgrasshill_domain::ADMIN_CONNECTIONS;
use eelgrasshill_ports::{CallerServerSettings, ConnectionLimit, HttpPool, run_caller_server};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::codec::PlatformCodec;
use crate::model_request::ModelRequester;
use crate::relay::relay;
use crate::shared::Shared;

/// Longest time for the head of a request of the load balancer or an operator.
const ADMIN_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the headers of such a request.
const ADMIN_HEAD_BYTES: usize = 8 << 10;

/// Starts the server for callers, on a thread of its own.
pub(crate) fn serve_callers<C: PlatformCodec>(
    shared: &Arc<Shared<C>>,
    listener: TcpListener,
) -> io::Result<Server> {
    let data = Data::from(Arc::clone(shared));
    let settings = &shared.settings;
    let server_settings = CallerServerSettings {
        worker_threads: 1,
        connections: shared.connections.clone(),
        memory: shared.memory.clone(),
        max_head_bytes: Arc::clone(&shared.state().max_head_bytes),
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
    run_caller_server(&server_settings, vec![listener], app, |_data| {})
}

/// Starts the server for the load balancer's and operators' requests.
///
/// Its connections count by themselves, so that callers do not keep out the readiness check.
pub(crate) fn serve_admin<C: PlatformCodec>(
    shared: &Arc<Shared<C>>,
    listeners: [TcpListener; 2],
    metrics: Option<PrometheusHandle>,
) -> io::Result<Server> {
    let data = Data::from(Arc::clone(shared));
    let metrics = Data::new(metrics);
    let server_settings = CallerServerSettings {
        worker_threads: 1,
        connections: ConnectionLimit::new("admin", ADMIN_CONNECTIONS),
        memory: shared.memory.clone(),
        max_head_bytes: Arc::new(AtomicUsize::new(ADMIN_HEAD_BYTES)),
        head_timeout: ADMIN_HEAD_TIMEOUT,
        keep_alive: ADMIN_HEAD_TIMEOUT,
        allows_half_closed: true,
        shutdown_s: shared.settings.bounds.termination_grace.as_secs(),
    };
    let app = move || {
        App::new()
            .app_data(data.clone())
            .app_data(metrics.clone())
            .route("/ready", web::get().to(serve_readiness::<C>))
            .route("/metrics", web::get().to(serve_metrics))
    };
    run_caller_server(&server_settings, listeners.into(), app, |_data| {})
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
