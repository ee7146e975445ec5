//! Chat and text completions, as one JSON document or a stream of events.
//!
//! Validates the request, resolves its route and estimates its cost in tokens.

use std::convert::Infallible;
use std::hash::Hasher;
use std::sync::Arc;

use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;
use eelgrasshill_control::RequestTarget;
use eelgrasshill_domain::{ModelName, RequestId};
use eelgrasshill_ports::{GenerateRequest, HttpClient, HttpEngine, Usage};
use eelgrasshill_route::PrefixHash;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::answer::{Answer, AnswerPart, AnswerRequest};
use crate::http::api_key::{presented_key, refuse_key_in};
use crate::http::body::read_body;
use crate::telemetry::count_refusal;
use crate::{ApiError, BootClock, Code, Shared};

/// Default token limit of an answer.
const DEFAULT_MAX_TOKENS: u64 = 512;

/// Bytes per token assumed in estimates of a prompt's length.
const BYTES_PER_TOKEN: usize = 4;

/// Number of leading bytes of the prompt's JSON hashed to choose an engine with a warm cache.
const PREFIX_BYTES: usize = 256;

/// Maximum number of parts buffered for a slow caller.
const MAX_PENDING_PARTS: usize = 64;

/// The media type of server-sent events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    messages: Option<Value>,
    prompt: Option<Value>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// The completion API that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Handles `POST /v1/chat/completions`.
pub(crate) async fn chat_completion(
    shared: Data<Shared>,
    client: Data<HttpClient>,
    request: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    complete(
        shared.into_inner(),
        &client,
        &request,
        payload,
        CompletionKind::Chat,
    )
    .await
}

/// Handles `POST /v1/completions`.
pub(crate) async fn text_completion(
    shared: Data<Shared>,
    client: Data<HttpClient>,
    request: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    complete(
        shared.into_inner(),
        &client,
        &request,
        payload,
        CompletionKind::Text,
    )
    .await
}

async fn complete(
    shared: Arc<Shared>,
    client: &HttpClient,
    request: &HttpRequest,
    payload: Payload,
    kind: CompletionKind,
) -> Result<HttpResponse, ApiError> {
    let arrived = BootClock.now();
    let Some(mut open_request) = shared.open_request(arrived) else {
        return Err(ApiError::not_run(Code::NotReady, "the host is leaving"));
    };
    let body = read_body(&shared, request, payload).await?;
    open_request.hold_memory(body.charge);
    let body: CompletionBody = serde_json::from_slice(&body.bytes)
        .map_err(|error| ApiError::not_run(Code::BadRequest, error))?;
    let resolved = resolve(&shared, request, body, kind, arrived).inspect_err(|error| {
        count_refusal(error.code, None);
    })?;
    let engine = HttpEngine::new(
        client.clone(),
        shared.timeouts.of(resolved.answer.grant.route.class).idle,
    );
    let id = resolved.answer.generate.id.clone();
    let model = resolved.model;
    let (answer, host) = Answer::begin(Arc::clone(&shared), engine, resolved.answer).await?;
    let (sender, parts) = mpsc::channel(MAX_PENDING_PARTS);
    actix_web::rt::spawn(async move {
        answer.run(host, sender).await;
        drop(open_request);
    });
    let template = ResponseTemplate { id, model, kind };
    if resolved.stream {
        Ok(stream_response(template, parts))
    } else {
        full_response(template, parts).await
    }
}

struct ResolvedRequest {
    answer: AnswerRequest,
    model: String,
    stream: bool,
}

fn resolve(
    shared: &Shared,
    request: &HttpRequest,
    body: CompletionBody,
    kind: CompletionKind,
    arrived: eelgrasshill_domain::Moment,
) -> Result<ResolvedRequest, ApiError> {
    let snapshot = shared.snapshot.load();
    if !snapshot.ready {
        return Err(ApiError::not_run(
            Code::NotReady,
            "no tables were received yet",
        ));
    }
    let key = presented_key(request);
    let age = shared.tables_age(arrived);
    let grant = snapshot
        .access
        .resolve(key.as_ref(), RequestTarget::Model(&body.model), age)?;
    let input = match kind {
        CompletionKind::Chat => body.messages,
        CompletionKind::Text => body.prompt,
    };
    let Some(input) = input else {
        let field = if kind == CompletionKind::Chat {
            "messages"
        } else {
            "prompt"
        };
        return Err(ApiError::not_run(
            Code::BadRequest,
            format!("`{field}` is missing"),
        ));
    };
    let prompt_json = input.to_string();
    refuse_key_in(key.as_ref(), prompt_json.as_bytes())?;
    let max_answer_tokens = shared.settings.bounds.max_answer_tokens;
    let max_tokens = body
        .max_completion_tokens
        .or(body.max_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS.min(max_answer_tokens));
    if max_tokens == 0 || max_tokens > max_answer_tokens {
        let message = format!("`max_tokens` must be from 1 to {max_answer_tokens}");
        return Err(ApiError::not_run(Code::BadRequest, message));
    }
    let Some(model) = grant.model.clone() else {
        return Err(ApiError::not_run(
            Code::UnknownModel,
            "the route holds no model",
        ));
    };
    let version = snapshot
        .tables
        .models
        .get(&model)
        .map(|row| row.version.clone());
    let generate = GenerateRequest {
        id: shared.next_request_id(),
        model: model.clone(),
        version: version.unwrap_or_default(),
        adapter: grant.adapter.clone(),
        input,
        max_tokens,
        class: grant.route.class,
        resume: None,
    };
    let answer = AnswerRequest {
        prefix_hash: prefix_hash(&model, &prompt_json),
        prompt_tokens: prompt_json.len().div_ceil(BYTES_PER_TOKEN) as u64,
        grant,
        model,
        generate,
        arrived,
    };
    Ok(ResolvedRequest {
        answer,
        model: body.model,
        stream: body.stream,
    })
}

/// Hashes the model and the start of a prompt.
///
/// Hosts need not compute the same hash: a different one only costs cache hits.
fn prefix_hash(model: &ModelName, prompt_json: &str) -> PrefixHash {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(model.as_str().as_bytes());
    let start = prompt_json
        .as_bytes()
        .get(..PREFIX_BYTES)
        .unwrap_or(prompt_json.as_bytes());
    hasher.write(start);
    PrefixHash(hasher.finish())
}

/// The fields that all JSON documents of one answer repeat.
#[derive(Clone, Debug)]
struct ResponseTemplate {
    id: RequestId,
    model: String,
    kind: CompletionKind,
}

impl ResponseTemplate {
    fn chunk(&self, text: Option<&str>, reason: Option<&str>) -> Value {
        let (object, choice) = match self.kind {
            CompletionKind::Chat => {
                let delta = text.map_or_else(|| json!({}), |text| json!({ "content": text }));
                let choice = json!({ "index": 0, "delta": delta, "finish_reason": reason });
                ("chat.completion.chunk", choice)
            }
            CompletionKind::Text => {
                let text = text.unwrap_or_default();
                let choice = json!({ "index": 0, "text": text, "finish_reason": reason });
                ("text_completion", choice)
            }
        };
        json!({ "id": self.id, "object": object, "model": self.model, "choices": [choice] })
    }

    fn completion(&self, text: &str, reason: &str, usage: Usage) -> Value {
        let (object, choice) = match self.kind {
            CompletionKind::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                let choice = json!({ "index": 0, "message": message, "finish_reason": reason });
                ("chat.completion", choice)
            }
            CompletionKind::Text => {
                let choice = json!({ "index": 0, "text": text, "finish_reason": reason });
                ("text_completion", choice)
            }
        };
        json!({
            "id": self.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": usage_json(usage),
        })
    }
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    })
}

fn sse_event(data: &Value) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

fn stream_response(template: ResponseTemplate, parts: mpsc::Receiver<AnswerPart>) -> HttpResponse {
    let id = template.id.to_string();
    let events = ReceiverStream::new(parts).map(move |part| {
        let bytes = match part {
            AnswerPart::Token(text) => sse_event(&template.chunk(Some(&text), None)),
            AnswerPart::Finished { reason, usage } => {
                let mut last = template.chunk(None, Some(&reason));
                last["usage"] = usage_json(usage);
                Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n"))
            }
            AnswerPart::Failed(error) => sse_event(&error.body()),
        };
        Ok::<_, Infallible>(bytes)
    });
    HttpResponse::Ok()
        .content_type(EVENT_STREAM_TYPE)
        .insert_header(("x-request-id", id))
        .streaming(events)
}

async fn full_response(
    template: ResponseTemplate,
    mut parts: mpsc::Receiver<AnswerPart>,
) -> Result<HttpResponse, ApiError> {
    let mut text = String::new();
    while let Some(part) = parts.recv().await {
        match part {
            AnswerPart::Token(token) => text.push_str(&token),
            AnswerPart::Finished { reason, usage } => {
                let body = template.completion(&text, &reason, usage);
                let id = template.id.to_string();
                return Ok(HttpResponse::Ok()
                    .insert_header(("x-request-id", id))
                    .json(body));
            }
            AnswerPart::Failed(error) => return Err(error),
        }
    }
    Err(ApiError::may_have_run(
        Code::UpstreamFailed,
        "the answer was broken off",
    ))
}
