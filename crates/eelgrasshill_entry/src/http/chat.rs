//! Answers of models, whole or streamed, in the usual shapes.

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

use crate::answer::{Answer, AnswerRequest, Part};
use crate::http::body::read_body;
use crate::http::presented::{presented_key, refuse_key_in};
use crate::measure::count_refusal;
use crate::{ApiError, BootClock, Code, Shared};

/// Tokens of an answer whose request names no limit.
const DEFAULT_ANSWER: u64 = 512;

/// Bytes of a prompt that are taken to be one token.
const TOKEN_BYTES: usize = 4;

/// Bytes of a prompt's start that choose its engine.
const PREFIX_BYTES: usize = 256;

/// Tokens that may wait for a slow caller.
const PARTS: usize = 64;

/// The media type of server-sent events.
const EVENTS: &str = "text/event-stream";

#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    messages: Option<Value>,
    prompt: Option<Value>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// The shape of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Answers `POST /v1/chat/completions`.
pub(crate) async fn chat(
    shared: Data<Shared>,
    client: Data<HttpClient>,
    request: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    complete(shared.into_inner(), &client, &request, payload, Shape::Chat).await
}

/// Answers `POST /v1/completions`.
pub(crate) async fn text(
    shared: Data<Shared>,
    client: Data<HttpClient>,
    request: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, ApiError> {
    complete(shared.into_inner(), &client, &request, payload, Shape::Text).await
}

async fn complete(
    shared: Arc<Shared>,
    client: &HttpClient,
    request: &HttpRequest,
    payload: Payload,
    shape: Shape,
) -> Result<HttpResponse, ApiError> {
    let arrived = BootClock.now();
    let Some(open) = shared.open(arrived) else {
        return Err(ApiError::not_run(Code::NotReady, "the host is leaving"));
    };
    let bounds = shared.settings.bounds;
    let body = read_body(payload, bounds.body, bounds.arrival).await?;
    let body: Body = serde_json::from_slice(&body)
        .map_err(|error| ApiError::not_run(Code::BadRequest, error))?;
    let wanted = resolve(&shared, request, body, shape, arrived).inspect_err(|error| {
        count_refusal(error.code, None);
    })?;
    let engine = HttpEngine::new(
        client.clone(),
        shared.bounds.of(wanted.answer.grant.route.class).idle,
    );
    let id = wanted.answer.generate.id.clone();
    let model = wanted.model;
    let (answer, host) = Answer::begin(Arc::clone(&shared), engine, wanted.answer).await?;
    let (sender, parts) = mpsc::channel(PARTS);
    actix_web::rt::spawn(async move {
        answer.run(host, sender).await;
        drop(open);
    });
    let form = Form { id, model, shape };
    if wanted.stream {
        Ok(streamed(form, parts))
    } else {
        whole(form, parts).await
    }
}

struct Wanted {
    answer: AnswerRequest,
    model: String,
    stream: bool,
}

fn resolve(
    shared: &Shared,
    request: &HttpRequest,
    body: Body,
    shape: Shape,
    arrived: eelgrasshill_domain::Moment,
) -> Result<Wanted, ApiError> {
    let picture = shared.picture.load();
    if !picture.ready {
        return Err(ApiError::not_run(
            Code::NotReady,
            "no tables were received yet",
        ));
    }
    let key = presented_key(request);
    let age = shared.tables_age(arrived);
    let grant = picture
        .access
        .resolve(key.as_ref(), RequestTarget::Model(&body.model), age)?;
    let input = match shape {
        Shape::Chat => body.messages,
        Shape::Text => body.prompt,
    };
    let Some(input) = input else {
        let field = if shape == Shape::Chat {
            "messages"
        } else {
            "prompt"
        };
        return Err(ApiError::not_run(
            Code::BadRequest,
            format!("`{field}` is missing"),
        ));
    };
    let prompt = input.to_string();
    refuse_key_in(key.as_ref(), prompt.as_bytes())?;
    let most = shared.settings.bounds.answer;
    let max_tokens = body
        .max_completion_tokens
        .or(body.max_tokens)
        .unwrap_or(DEFAULT_ANSWER.min(most));
    if max_tokens == 0 || max_tokens > most {
        let message = format!("`max_tokens` must be from 1 to {most}");
        return Err(ApiError::not_run(Code::BadRequest, message));
    }
    let Some(model) = grant.model.clone() else {
        return Err(ApiError::not_run(
            Code::UnknownModel,
            "the route holds no model",
        ));
    };
    let version = picture
        .tables
        .models
        .get(&model)
        .map(|row| row.version.clone());
    let generate = GenerateRequest {
        id: shared.next_request(),
        model: model.clone(),
        version: version.unwrap_or_default(),
        adapter: grant.adapter.clone(),
        input,
        max_tokens,
        class: grant.route.class,
        resume: None,
    };
    let answer = AnswerRequest {
        prefix: prefix_of(&model, &prompt),
        prompt: prompt.len().div_ceil(TOKEN_BYTES) as u64,
        grant,
        model,
        generate,
        arrived,
    };
    Ok(Wanted {
        answer,
        model: body.model,
        stream: body.stream,
    })
}

fn prefix_of(model: &ModelName, prompt: &str) -> PrefixHash {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(model.as_str().as_bytes());
    let start = prompt
        .as_bytes()
        .get(..PREFIX_BYTES)
        .unwrap_or(prompt.as_bytes());
    hasher.write(start);
    PrefixHash(hasher.finish())
}

/// What every part of one answer's shape repeats.
#[derive(Clone, Debug)]
struct Form {
    id: RequestId,
    model: String,
    shape: Shape,
}

impl Form {
    fn chunk(&self, text: Option<&str>, reason: Option<&str>) -> Value {
        let (object, choice) = match self.shape {
            Shape::Chat => {
                let delta = text.map_or_else(|| json!({}), |text| json!({ "content": text }));
                let choice = json!({ "index": 0, "delta": delta, "finish_reason": reason });
                ("chat.completion.chunk", choice)
            }
            Shape::Text => {
                let text = text.unwrap_or_default();
                let choice = json!({ "index": 0, "text": text, "finish_reason": reason });
                ("text_completion", choice)
            }
        };
        json!({ "id": self.id, "object": object, "model": self.model, "choices": [choice] })
    }

    fn whole(&self, text: &str, reason: &str, usage: Usage) -> Value {
        let (object, choice) = match self.shape {
            Shape::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                let choice = json!({ "index": 0, "message": message, "finish_reason": reason });
                ("chat.completion", choice)
            }
            Shape::Text => {
                let choice = json!({ "index": 0, "text": text, "finish_reason": reason });
                ("text_completion", choice)
            }
        };
        json!({
            "id": self.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": usage_of(usage),
        })
    }
}

fn usage_of(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.completion,
        "total_tokens": usage.prompt + usage.completion,
    })
}

fn event(data: &Value) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

fn streamed(form: Form, parts: mpsc::Receiver<Part>) -> HttpResponse {
    let id = form.id.to_string();
    let events = ReceiverStream::new(parts).map(move |part| {
        let bytes = match part {
            Part::Token(text) => event(&form.chunk(Some(&text), None)),
            Part::Finished { reason, usage } => {
                let mut last = form.chunk(None, Some(&reason));
                last["usage"] = usage_of(usage);
                Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n"))
            }
            Part::Failed(error) => event(&error.body()),
        };
        Ok::<_, Infallible>(bytes)
    });
    HttpResponse::Ok()
        .content_type(EVENTS)
        .insert_header(("x-request-id", id))
        .streaming(events)
}

async fn whole(form: Form, mut parts: mpsc::Receiver<Part>) -> Result<HttpResponse, ApiError> {
    let mut text = String::new();
    while let Some(part) = parts.recv().await {
        match part {
            Part::Token(token) => text.push_str(&token),
            Part::Finished { reason, usage } => {
                let body = form.whole(&text, &reason, usage);
                let id = form.id.to_string();
                return Ok(HttpResponse::Ok()
                    .insert_header(("x-request-id", id))
                    .json(body));
            }
            Part::Failed(error) => return Err(error),
        }
    }
    Err(ApiError::unknown(
        Code::UpstreamFailed,
        "the answer was broken off",
    ))
}
