//! Calls of plain services, passed on as they came but for the key.

use std::sync::Arc;

use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use eelgrasshill_control::{Ask, Grant};
use eelgrasshill_domain::{Moment, Repeat};
use eelgrasshill_platform::{HttpClient, HttpPlain, Plain, PlainCall, PlainReply};
use eelgrasshill_route::{Call, Observation, Ticket, Work};

use crate::http::body::read_body;
use crate::http::presented::{presented_key, refuse_key_in};
use crate::measure::{Labels, count_refusal};
use crate::{ApiError, BootClock, Code, Shared};

/// The headers of a caller that an upstream may see.
const ALLOWED: [&str; 5] = [
    "accept",
    "accept-language",
    "content-type",
    "content-language",
    "idempotency-key",
];

/// Tokens that a plain call costs.
const PLAIN_COST: u64 = 1;

/// Answers every path that is not the system's own.
pub(crate) async fn plain(
    shared: Data<Shared>,
    client: Data<HttpClient>,
    request: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    let shared = shared.into_inner();
    let arrived = BootClock.now();
    let Some(_open) = shared.open(arrived) else {
        return Err(ApiError::not_run(Code::NotReady, "the host is leaving"));
    };
    let result = pass_on(&shared, &client, &request, payload, arrived).await;
    result.inspect_err(|error| count_refusal(error.code, None))
}

async fn pass_on(
    shared: &Arc<Shared>,
    client: &HttpClient,
    request: &HttpRequest,
    payload: Payload,
    arrived: Moment,
) -> Result<HttpResponse, ApiError> {
    let key = presented_key(request);
    let grant = {
        let picture = shared.picture.load();
        let age = shared.tables_age(arrived);
        picture
            .access
            .resolve(key.as_ref(), Ask::Path(request.path()), age)?
    };
    let bounds = shared.settings.bounds;
    let body = read_body(payload, bounds.body, bounds.arrival).await?;
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    refuse_key_in(key.as_ref(), path.as_bytes())?;
    refuse_key_in(key.as_ref(), &body)?;
    let headers = ALLOWED
        .iter()
        .filter_map(|name| {
            let value = request.headers().get(*name)?.to_str().ok()?;
            Some(((*name).to_owned(), value.to_owned()))
        })
        .collect();
    let call = PlainCall {
        id: shared.next_request(),
        method: request.method().clone(),
        path: path.to_owned(),
        headers,
        body,
        repeat: grant.route.repeat == Repeat::Allowed,
    };
    let labels = Labels::new(grant.organisation.as_ref(), grant.route.class);
    let reply = run(shared, client, &grant, &call, arrived).await?;
    labels.whole_answer(BootClock.now().since(arrived));
    Ok(respond(&call, reply))
}

/// Finds an upstream and sends the call, again if it may be repeated.
async fn run(
    shared: &Arc<Shared>,
    client: &HttpClient,
    grant: &Grant,
    call: &PlainCall,
    arrived: Moment,
) -> Result<PlainReply, ApiError> {
    let class = shared.bounds.of(grant.route.class);
    let until = arrived.after(class.queue_wait);
    let mut reservation = match &grant.organisation {
        Some(organisation) => Some(shared.quota.admit(organisation, PLAIN_COST, until).await?),
        None => None,
    };
    let mut avoid = Vec::new();
    let mut state = None;
    let plain = HttpPlain::new(client.clone());
    loop {
        let id = shared.dispatch.next_id();
        let pool = grant.route.pool.clone();
        let mut ticket = Ticket::new(id, grant.route.class, pool, Work::Plain, PLAIN_COST, until)
            .with_avoid(avoid.clone());
        ticket.organisation.clone_from(&grant.organisation);
        let mut place = shared.dispatch.offer(ticket, BootClock.now())?;
        let host = place.started().await?;
        let Some(address) = shared.address_of(&host) else {
            return Err(ApiError::not_run(
                Code::NoUpstream,
                "the upstream left the tables",
            ));
        };
        if let Some(reservation) = &mut reservation {
            reservation.spend(PLAIN_COST);
        }
        let sent = state
            .take()
            .unwrap_or_else(|| Call::new(grant.route.repeat))
            .send();
        let opened = BootClock.now();
        let outcome = plain.call(address, call, class.whole_answer).await;
        let now = BootClock.now();
        let error = match outcome {
            Ok(reply) if reply.id.as_deref().is_none_or(|id| id == call.id.as_str()) => {
                shared
                    .dispatch
                    .observe(&host, Observation::Answered { opened }, now);
                let _ran = sent.answer();
                return Ok(reply);
            }
            Ok(_crossed) => ApiError::unknown(
                Code::UpstreamFailed,
                "the upstream answered another request",
            ),
            Err(error) => {
                shared
                    .dispatch
                    .observe(&host, Observation::ConnectFailed, now);
                let unsent = error.is_unsent();
                let refusal = if unsent {
                    ApiError::not_run
                } else {
                    ApiError::unknown
                };
                refusal(Code::UpstreamFailed, error)
            }
        };
        log::info!("plain: {} on {host} failed: {}", call.id, error.message);
        let may_retry = shared
            .with_retries(|budget| sent.retry(budget, now))
            .is_ok();
        if !may_retry {
            return Err(error);
        }
        avoid.push(host);
        state = Some(Call::new(grant.route.repeat));
    }
}

fn respond(call: &PlainCall, reply: PlainReply) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(reply.status);
    let mut response =
        HttpResponse::build(status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY));
    if let Some(content) = reply.content {
        response.content_type(content);
    }
    response.insert_header(("x-request-id", call.id.to_string()));
    response.body(reply.body)
}
