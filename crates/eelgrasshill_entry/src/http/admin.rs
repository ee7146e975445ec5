//! Readiness, metrics, status and request traces over HTTP.

use actix_web::HttpResponse;
use actix_web::web::{Data, Path};
use eelgrasshill_domain::RequestId;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::{ApiError, Code, Shared};

/// Handles `GET /ready`, the load balancer's readiness check.
pub(crate) async fn ready(shared: Data<Shared>) -> HttpResponse {
    if shared.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

/// Handles `GET /metrics`.
pub(crate) async fn metrics(handle: Data<Option<PrometheusHandle>>) -> HttpResponse {
    match handle.as_ref() {
        Some(handle) => HttpResponse::Ok()
            .content_type("text/plain")
            .body(handle.render()),
        None => HttpResponse::NotFound().finish(),
    }
}

/// Handles `GET /status`.
pub(crate) async fn status(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.status.load().as_ref())
}

/// Handles `GET /explain/{id}`, the trace of a recent request.
pub(crate) async fn explain(
    shared: Data<Shared>,
    id: Path<String>,
) -> Result<HttpResponse, ApiError> {
    let id = RequestId::new(&id).map_err(|error| ApiError::not_run(Code::BadRequest, error))?;
    match shared.traces.find(&id) {
        Some(trace) => Ok(HttpResponse::Ok().json(trace)),
        None => Err(ApiError::not_run(
            Code::UnknownPath,
            "this host remembers no such request",
        )),
    }
}
