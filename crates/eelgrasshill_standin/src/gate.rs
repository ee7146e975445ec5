//! The middleware that applies the fault switches, and their admin paths.

use std::sync::Arc;

use actix_web::body::{BoxBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::web::{self, Json, ServiceConfig};
use actix_web::{Error, HttpResponse};

use crate::fault::{Entry, Exit, FaultSet, Faults, Link};

/// Paths below this one are for tests and suffer no fault.
const ADMIN: &str = "/admin/";

/// Makes an answer that carries a typed error.
pub(crate) fn refusal(
    mut answer: actix_web::HttpResponseBuilder,
    code: &str,
    message: &str,
) -> HttpResponse {
    answer.json(serde_json::json!({"error": {"code": code, "message": message}}))
}

/// Names a call by its method and path, as the switches select it.
pub(crate) fn label(method: &actix_web::http::Method, path: &str) -> String {
    format!("{method} {path}")
}

/// Lets a call and its answer pass, or applies the faults in force to them.
pub(crate) async fn gate<B: MessageBody + 'static>(
    faults: Faults,
    request: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    if request.path().starts_with(ADMIN) {
        return Ok(next.call(request).await?.map_into_boxed_body());
    }
    let link = request.conn_data::<Arc<Link>>().cloned();
    let label = label(request.method(), request.path());
    match faults.enter(link.as_ref(), &label).await {
        Entry::Serve => {}
        Entry::Refuse => {
            let answer = refusal(
                HttpResponse::ServiceUnavailable(),
                "outage",
                "out of service",
            );
            return Ok(request.into_response(answer));
        }
        Entry::Close => return Ok(request.into_response(close(link.as_ref()))),
    }
    let response = next.call(request).await?.map_into_boxed_body();
    match faults.leave(link.as_ref(), &label).await {
        Exit::Send => Ok(response),
        Exit::Close => Ok(response.into_response(close(link.as_ref()))),
        Exit::Hold => std::future::pending().await,
    }
}

fn close(link: Option<&Arc<Link>>) -> HttpResponse {
    if let Some(link) = link {
        link.close();
    }
    HttpResponse::InternalServerError().finish()
}

/// Adds the paths by which tests set the switches.
pub(crate) fn configure(faults: &Faults, config: &mut ServiceConfig) {
    config
        .app_data(web::Data::new(faults.clone()))
        .route("/admin/faults", web::get().to(read))
        .route("/admin/faults", web::post().to(write))
        .route("/admin/mute", web::post().to(mute))
        .route("/admin/cut", web::post().to(cut));
}

async fn read(faults: web::Data<Faults>) -> Json<FaultSet> {
    Json(faults.get())
}

async fn write(faults: web::Data<Faults>, set: Json<FaultSet>) -> Json<FaultSet> {
    faults.set(set.into_inner());
    Json(faults.get())
}

async fn mute(faults: web::Data<Faults>) -> HttpResponse {
    faults.mute();
    HttpResponse::NoContent().finish()
}

async fn cut(faults: web::Data<Faults>) -> HttpResponse {
    faults.cut();
    HttpResponse::NoContent().finish()
}
