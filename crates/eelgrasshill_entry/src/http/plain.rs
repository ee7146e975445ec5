//! Forwards calls to plain services without the caller's API key.
//!
//! A call that must not be repeated and has an idempotency key runs at most once.

use std::sync::Arc;

use actix_web::http::StatusCode;
use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use eelgrasshill_control::{CallDigest, CallKey, RequestTarget};
use eelgrasshill_domain::{Moment, Repeat};
use eelgrasshill_ports::{CallerBody, HttpClient, HttpPlain, MemoryCharge, PlainCall, PlainReply};

use crate::http::api_key::{presented_key, refuse_key_in};
use crate::http::body::read_body;
use crate::idempotent_call::run_once;
use crate::plain_request::PlainRequest;
use crate::telemetry::{Labels, count_refusal};
use crate::{ApiError, BootClock, Code, RUN_HEADER, RunStatus, Shared};

/// Request header that identifies a call that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Request headers that are forwarded to the upstream.
const FORWARDED_HEADERS: [&str; 5] = [
    "accept",
    "accept-language",
    "content-type",
    "content-language",
    IDEMPOTENCY_KEY,
];

/// Handles every path that has no handler of its own.
pub(crate) async fn plain(
    shared: Data<Shared>,
    client: Data<HttpClient>,
    request: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    let shared = shared.into_inner();
    let arrived = BootClock.now();
    let Some(mut open_request) = shared.open_request(arrived) else {
        return Err(ApiError::not_run(Code::NotReady, "the host is leaving"));
    };
    let resolved = resolve(&shared, &client, &request, payload, arrived).await;
    let (plain_request, charge) = match resolved {
        Ok(resolved) => resolved,
        Err(error) => {
            count_refusal(error.code, None);
            return Err(error);
        }
    };
    open_request.hold_memory(charge);
    let organisation = plain_request.grant.organisation.clone();
    let labels = Labels::new(organisation.as_ref(), plain_request.grant.route.class);
    let id = plain_request.call.request_id.to_string();
    // The call continues if the caller disconnects, since it may run only once.
    let task = actix_web::rt::spawn(async move {
        let _open_request = open_request;
        match idempotent_call(&request, &plain_request) {
            Some(call) => run_once(&shared, &plain_request, call).await,
            None => plain_request.run(&shared).await,
        }
    });
    let result = task
        .await
        .unwrap_or_else(|error| Err(ApiError::may_have_run(Code::UpstreamFailed, error)));
    match result {
        Ok(reply) => {
            labels.record_whole_answer(BootClock.now().since(arrived));
            Ok(respond(id, reply))
        }
        Err(error) => {
            count_refusal(error.code, organisation.as_ref());
            Err(error)
        }
    }
}

async fn resolve(
    shared: &Arc<Shared>,
    client: &HttpClient,
    request: &HttpRequest,
    payload: Payload,
    arrived: Moment,
) -> Result<(PlainRequest<HttpPlain>, MemoryCharge), ApiError> {
    let key = presented_key(request);
    let grant = {
        let snapshot = shared.snapshot.load();
        if !snapshot.ready {
            return Err(ApiError::not_run(
                Code::NotReady,
                "no tables were received yet",
            ));
        }
        let age = shared.tables_age(arrived);
        snapshot
            .access
            .resolve(key.as_ref(), RequestTarget::Path(request.path()), age)?
    };
    let CallerBody {
        bytes: body,
        charge,
    } = read_body(shared, request, payload).await?;
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    refuse_key_in(key.as_ref(), path.as_bytes())?;
    refuse_key_in(key.as_ref(), &body)?;
    let headers: Vec<_> = FORWARDED_HEADERS
        .iter()
        .filter_map(|name| Some(((*name).to_owned(), header(request, name)?.to_owned())))
        .collect();
    for (_name, value) in &headers {
        refuse_key_in(key.as_ref(), value.as_bytes())?;
    }
    let call = PlainCall {
        request_id: shared.next_request_id(),
        method: request.method().clone(),
        path_and_query: path.to_owned(),
        headers,
        body,
        is_repeatable: grant.route.repeat == Repeat::Allowed,
    };
    let plain = HttpPlain::new(client.settings());
    let plain_request = PlainRequest {
        plain,
        grant,
        call,
        arrived,
    };
    Ok((plain_request, charge))
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Returns the call to claim, or `None` if the request needs no claim.
///
/// A claim is needed for a call that must not be repeated and has an idempotency key.
fn idempotent_call(
    request: &HttpRequest,
    plain_request: &PlainRequest<HttpPlain>,
) -> Option<eelgrasshill_control::CallRequest> {
    if plain_request.call.is_repeatable {
        return None;
    }
    let key = header(request, IDEMPOTENCY_KEY)?;
    let call = &plain_request.call;
    let parts = [
        call.method.as_str().as_bytes(),
        call.path_and_query.as_bytes(),
        &call.body,
    ];
    Some(eelgrasshill_control::CallRequest {
        request: call.request_id.clone(),
        key: CallKey::new(plain_request.grant.organisation.as_ref(), key),
        organisation: plain_request.grant.organisation.clone(),
        digest: CallDigest::new(&parts),
    })
}

fn respond(id: String, reply: PlainReply) -> HttpResponse {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    // The service states nothing about the run, but callers may read its status as a statement.
    if status.is_client_error() || status.is_server_error() {
        response.insert_header((RUN_HEADER, RunStatus::Unknown.to_string()));
    }
    if let Some(content) = reply.content_type {
        response.content_type(content);
    }
    response
        .insert_header(("x-request-id", id))
        .body(reply.body)
}
