//! Lists the models that a caller's key gives access to.

use actix_web::web::Data;
use actix_web::{HttpRequest, HttpResponse};
use eelgrasshill_control::RequestTarget;
use serde_json::json;

use crate::http::api_key::presented_key;
use crate::{ApiError, BootClock, Shared};

/// Handles `GET /v1/models`.
pub(crate) async fn models(
    shared: Data<Shared>,
    request: HttpRequest,
) -> Result<HttpResponse, ApiError> {
    let snapshot = shared.snapshot.load();
    let key = presented_key(&request);
    let age = shared.tables_age(BootClock.now());
    let mut model_ids = Vec::new();
    // An invalid key is refused for every model, so any of the refusals will do.
    let mut last_refusal = None;
    for (name, model) in &snapshot.tables.models {
        match snapshot
            .access
            .resolve(key.as_ref(), RequestTarget::Model(name.as_str()), age)
        {
            Ok(_grant) => {
                model_ids.push(name.to_string());
                model_ids.extend(
                    model
                        .adapters
                        .iter()
                        .map(|adapter| format!("{name}:{adapter}")),
                );
            }
            Err(error) => last_refusal = Some(error),
        }
    }
    if let (true, Some(last_refusal @ eelgrasshill_control::AccessRefusal::Unauthorized(_))) =
        (model_ids.is_empty(), last_refusal)
    {
        return Err(last_refusal.into());
    }
    let data: Vec<_> = model_ids
        .iter()
        .map(|id| json!({ "id": id, "object": "model" }))
        .collect();
    Ok(HttpResponse::Ok().json(json!({ "object": "list", "data": data })))
}
