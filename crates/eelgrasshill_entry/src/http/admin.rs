//! What the balancer and operators read of a host.

use actix_web::HttpResponse;
use actix_web::web::{Data, Path};
use eelgrasshill_domain::RequestId;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::{ApiError, Code, Shared};

/// Answers `GET /ready` for the balancer.
pub(crate) async fn ready(shared: Data<Shared>) -> HttpResponse {
    if shared.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

/// Answers `GET /metrics`.
pub(crate) async fn metrics(handle: Data<Option<PrometheusHandle>>) -> HttpResponse {
    match handle.as_ref() {
        Some(handle) => HttpResponse::Ok()
            .content_type("text/plain")
            .body(handle.render()),
        None => HttpResponse::NotFound().finish(),
    }
}

/// Answers `GET /status`.
pub(crate) async fn status(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.status.load().as_ref())
}

/// Answers `GET /explain/{id}`.
pub(crate) async fn explain(
    shared: Data<Shared>,
    id: Path<String>,
) -> Result<HttpResponse, ApiError> {
    let id = RequestId::new(&id).map_err(|error| ApiError::not_run(Code::BadRequest, error))?;
    match shared.journal.find(&id) {
        Some(trace) => Ok(HttpResponse::Ok().json(trace)),
        None => Err(ApiError::not_run(
            Code::UnknownPath,
            "this host remembers no such request",
        )),
    }
}
