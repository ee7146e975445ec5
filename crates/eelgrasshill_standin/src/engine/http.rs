//! The HTTP routes of the stand-in engine.

use std::sync::Arc;

use actix_web::web::{self, Bytes, Json, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use eelgrasshill_domain::RequestId;
use eelgrasshill_ports::{EngineReport, GenerateRequest, Order, OrderAnswer};

use super::answer_stream::AnswerStream;
use super::{Engine, EngineCounts, RejectReason};
use crate::fault::Connection;
use crate::middleware::error_response;
use crate::recorded::RecordedCall;

pub(super) fn configure(engine: &Engine, config: &mut ServiceConfig) {
    config
        .app_data(web::Data::new(engine.clone()))
        .route("/generate", web::post().to(generate))
        .route("/report", web::get().to(report))
        .route("/orders", web::post().to(order))
        .route("/cancel/{id}", web::post().to(cancel))
        .route("/admin/counts", web::get().to(counts))
        .route("/admin/seen", web::get().to(recorded_calls));
}

async fn generate(
    engine: web::Data<Engine>,
    http_request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    engine.recorded.record(&http_request, &body);
    let generate_request: GenerateRequest = match serde_json::from_slice(&body) {
        Ok(generate_request) => generate_request,
        Err(error) => {
            return error_response(HttpResponse::BadRequest(), "malformed", &error.to_string());
        }
    };
    let chunks = match engine.accept(&generate_request) {
        Ok(chunks) => chunks,
        Err(reason) => return rejection(reason),
    };
    let answer_stream = AnswerStream {
        id: generate_request.id,
        connection: http_request.conn_data::<Arc<Connection>>().cloned(),
        chunks,
        ping_interval: engine
            .settings
            .divide_by_speed(engine.settings.ping_interval),
        chunks_sent: 0,
        engine: engine.get_ref().clone(),
    };
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(Box::pin(answer_stream.stream()))
}

fn rejection(reason: RejectReason) -> HttpResponse {
    let unavailable = HttpResponse::ServiceUnavailable;
    match reason {
        RejectReason::ModelNotResident => error_response(
            HttpResponse::NotFound(),
            "model-not-resident",
            "the model is not resident in this version",
        ),
        RejectReason::AdapterNotLoaded => error_response(
            HttpResponse::NotFound(),
            "adapter-not-resident",
            "the adapter is not loaded on the model",
        ),
        RejectReason::Draining => {
            error_response(unavailable(), "draining", "no new answers are taken")
        }
        RejectReason::QueueFull => {
            error_response(unavailable(), "queue-full", "too many requests wait")
        }
    }
}

async fn report(engine: web::Data<Engine>) -> Json<EngineReport> {
    Json(engine.report())
}

async fn order(
    engine: web::Data<Engine>,
    request: HttpRequest,
    body: Bytes,
) -> Result<Json<OrderAnswer>, actix_web::Error> {
    engine.recorded.record(&request, &body);
    let order: Order = serde_json::from_slice(&body).map_err(actix_web::error::ErrorBadRequest)?;
    Ok(Json(engine.take_order(&order)))
}

async fn cancel(engine: web::Data<Engine>, id: web::Path<RequestId>) -> Json<()> {
    engine.cancel(&id);
    Json(())
}

async fn counts(engine: web::Data<Engine>) -> Json<EngineCounts> {
    Json(engine.counts())
}

async fn recorded_calls(engine: web::Data<Engine>) -> Json<Vec<RecordedCall>> {
    Json(engine.recorded.list())
}
