//! HTTP middleware that applies the fault switches, and the admin paths that set them.
//!
//! Each request is checked before its handler runs, and each response before
//! it is sent. Admin paths are exempt, so that a test can always end a fault.

use std::sync::Arc;

use actix_web::body::{BoxBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::web::{self, Json, ServiceConfig};
use actix_web::{Error, HttpResponse};

use crate::fault::{Connection, FaultSet, Faults, RequestAction, ResponseAction};

/// Prefix of the admin paths, to which no fault applies.
const ADMIN_PREFIX: &str = "/admin/";

/// Builds an error response with a code and a message.
pub(crate) fn error_response(
    mut answer: actix_web::HttpResponseBuilder,
    code: &str,
    message: &str,
) -> HttpResponse {
    answer.json(serde_json::json!({"error": {"code": code, "message": message}}))
}

/// Returns the `METHOD /path` by which fault switches select a call.
pub(crate) fn call_label(method: &actix_web::http::Method, path: &str) -> String {
    format!("{method} {path}")
}

/// Serves a request, applying the active faults to it and to its response.
pub(crate) async fn apply_faults<B: MessageBody + 'static>(
    faults: Faults,
    request: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    if request.path().starts_with(ADMIN_PREFIX) {
        return Ok(next.call(request).await?.map_into_boxed_body());
    }
    let connection = request.conn_data::<Arc<Connection>>().cloned();
    let label = call_label(request.method(), request.path());
    match faults.check_request(connection.as_ref(), &label).await {
        RequestAction::Serve => {}
        RequestAction::Refuse => {
            let answer = error_response(
                HttpResponse::ServiceUnavailable(),
                "outage",
                "out of service",
            );
            return Ok(request.into_response(answer));
        }
        RequestAction::Close => {
            return Ok(request.into_response(close_connection(connection.as_ref())));
        }
    }
    let response = next.call(request).await?.map_into_boxed_body();
    match faults.check_response(connection.as_ref(), &label).await {
        ResponseAction::Send => Ok(response),
        ResponseAction::Close => Ok(response.into_response(close_connection(connection.as_ref()))),
        ResponseAction::DropSilently => std::future::pending().await,
    }
}

/// Closes a connection and returns a response that only the framework needs: nobody gets it.
fn close_connection(connection: Option<&Arc<Connection>>) -> HttpResponse {
    if let Some(connection) = connection {
        connection.close();
    }
    HttpResponse::InternalServerError().finish()
}

/// Adds the admin paths that read and set the fault switches.
pub(crate) fn configure(faults: &Faults, config: &mut ServiceConfig) {
    config
        .app_data(web::Data::new(faults.clone()))
        .route("/admin/faults", web::get().to(get_faults))
        .route("/admin/faults", web::post().to(set_faults))
        .route("/admin/mute", web::post().to(silence_connections))
        .route("/admin/cut", web::post().to(close_connections));
}

async fn get_faults(faults: web::Data<Faults>) -> Json<FaultSet> {
    Json(faults.get())
}

async fn set_faults(faults: web::Data<Faults>, new_faults: Json<FaultSet>) -> Json<FaultSet> {
    faults.set(new_faults.into_inner());
    Json(faults.get())
}

async fn silence_connections(faults: web::Data<Faults>) -> HttpResponse {
    faults.silence_connections();
    HttpResponse::NoContent().finish()
}

async fn close_connections(faults: web::Data<Faults>) -> HttpResponse {
    faults.close_connections();
    HttpResponse::NoContent().finish()
}
