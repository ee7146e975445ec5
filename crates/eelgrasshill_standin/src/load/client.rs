//! Sends chat requests to entry hosts or engines and checks the answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use eelgrasshill_domain::{AdapterName, ModelName, RequestId};
use eelgrasshill_ports::{
    CallError, EngineClient as _, EngineStreamEvent, GenerateRequest, HttpClient,
    HttpClientSettings, HttpEngine,
};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::json;

use super::outcome::{Ending, Outcome, TokenTimer};
use super::schedule::Arrival;
use super::settings::LoadSettings;
use crate::text::AnswerText;

/// The data of the event that marks the end of an answer.
const DONE_MARKER: &str = "[DONE]";
/// The answer gave no event or byte in time.
pub(super) const SILENT: &str = "silent";
/// The connection was closed before the end of the answer.
pub(super) const CUT: &str = "cut";
/// No connection was established, so that the request did not run.
pub(super) const CONNECT: &str = "connect";
/// An event is not valid JSON or has another form than expected.
const MALFORMED: &str = "malformed";
/// A name of the request or its model is invalid; nothing was sent.
const NAME: &str = "name";
/// A chunk belongs to another request.
const CROSSED: &str = "crossed";
/// A refusal has no error code in its body.
const UNTYPED: &str = "untyped";
/// Time after which an idle connection is closed; shorter than the servers' own
/// timeout, so that no request is sent on a connection that the server is closing.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Default, Deserialize)]
struct CompletionChunk {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<ErrorBody>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: ChoiceDelta,
}

#[derive(Debug, Default, Deserialize)]
struct ChoiceDelta {
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    code: String,
}

/// The HTTP clients of one sending thread.
#[derive(Clone)]
pub(super) struct LoadClient<'a> {
    pub(super) settings: &'a LoadSettings,
    pub(super) client: Client,
    engine_client: HttpEngine,
}

impl<'a> LoadClient<'a> {
    pub(super) fn new(settings: &'a LoadSettings) -> Self {
        let connector = Connector::new()
            .conn_keep_alive(KEEP_ALIVE_TIMEOUT)
            .limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .finish();
        let http_client = HttpClient::new(HttpClientSettings::default());
        Self {
            settings,
            client,
            engine_client: HttpEngine::new(http_client, settings.idle_timeout),
        }
    }

    /// Returns the address of a target; higher indices wrap around, for retries on other targets.
    pub(super) fn target_address(&self, index: usize) -> SocketAddr {
        self.settings.targets[index % self.settings.targets.len()]
    }

    /// Sends a chat request and returns how it ended and how long it took.
    pub(super) async fn send_chat(&self, arrival: &Arrival, due: Instant) -> Outcome {
        let send_delay = due.elapsed();
        let mut token_timer = TokenTimer::new(due, self.settings.stall_timeout);
        let mut text = String::new();
        let result = if self.settings.direct {
            self.chat_with_engine(arrival, &mut token_timer, &mut text)
                .await
        } else {
            self.chat_through_entry(arrival, &mut token_timer, &mut text)
                .await
        };
        let (times, stalled) = token_timer.finish();
        let ending = match result {
            Ok(()) => Ending::Complete {
                times,
                correct: text == self.expected_text(arrival),
            },
            Err(ending) => ending,
        };
        Outcome {
            ending,
            stalled,
            send_delay,
        }
    }

    fn model_and_adapter(&self, arrival: &Arrival) -> (&str, Option<&str>) {
        let name = self.settings.models[arrival.model_index].name.as_str();
        match name.split_once(':') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (name, None),
        }
    }

    fn expected_text(&self, arrival: &Arrival) -> String {
        let (model, adapter) = self.model_and_adapter(arrival);
        let text = AnswerText::new(model, adapter, &arrival.messages);
        let natural_length = self
            .settings
            .max_natural_length
            .map(|max_length| text.natural_length(max_length));
        text.prefix(
            natural_length
                .unwrap_or(u64::MAX)
                .min(arrival.max_answer_tokens),
        )
    }

    async fn chat_through_entry(
        &self,
        arrival: &Arrival,
        token_timer: &mut TokenTimer,
        text: &mut String,
    ) -> Result<(), Ending> {
        let url = format!(
            "http://{}/v1/chat/completions",
            self.target_address(arrival.target_index)
        );
        let body = json!({
            "model": self.settings.models[arrival.model_index].name,
            "messages": arrival.messages,
            "max_tokens": arrival.max_answer_tokens,
            "stream": true,
        });
        let request = self
            .client
            .post(url)
            .bearer_auth(&self.settings.callers[arrival.caller_index].key)
            .send_json(&body);
        let mut response = tokio::time::timeout(self.settings.idle_timeout, request)
            .await
            .map_err(|_elapsed| broken_ending(SILENT))?
            .map_err(|error| broken_ending(transport_code(&error)))?;
        if !response.status().is_success() {
            let status = response.status().as_u16();
            let body = response.body().await.unwrap_or_default();
            return Err(refused_ending(status, &body));
        }
        let mut sse_events = response.eventsource();
        loop {
            let sse_event = tokio::time::timeout(self.settings.idle_timeout, sse_events.next())
                .await
                .map_err(|_elapsed| broken_ending(SILENT))?
                .ok_or_else(|| broken_ending(CUT))?
                .map_err(|_error| broken_ending(CUT))?;
            if sse_event.data == DONE_MARKER {
                return Ok(());
            }
            let chunk: CompletionChunk =
                serde_json::from_str(&sse_event.data).map_err(|_error| broken_ending(MALFORMED))?;
            if let Some(error) = chunk.error {
                return Err(broken_ending(&error.code));
            }
            let texts = chunk
                .choices
                .into_iter()
                .filter_map(|choice| choice.delta.content);
            for part in texts.filter(|part| !part.is_empty()) {
                token_timer.record_token();
                text.push_str(&part);
            }
        }
    }

    async fn chat_with_engine(
        &self,
        arrival: &Arrival,
        token_timer: &mut TokenTimer,
        text: &mut String,
    ) -> Result<(), Ending> {
        let request = self
            .generate_request(arrival)
            .ok_or_else(|| broken_ending(NAME))?;
        let address = self.target_address(arrival.target_index);
        let mut events = self
            .engine_client
            .generate(address, &request)
            .await
            .map_err(call_error_ending)?;
        loop {
            let event = tokio::time::timeout(self.settings.idle_timeout, events.next())
                .await
                .map_err(|_elapsed| broken_ending(SILENT))?
                .ok_or_else(|| broken_ending(CUT))?
                .map_err(call_error_ending)?;
            match event {
                EngineStreamEvent::Ping => {}
                EngineStreamEvent::Chunk(chunk) if chunk.id != request.id => {
                    return Err(broken_ending(CROSSED));
                }
                EngineStreamEvent::Chunk(chunk) if chunk.finish_reason.is_some() => return Ok(()),
                EngineStreamEvent::Chunk(chunk) => {
                    token_timer.record_token();
                    text.push_str(&chunk.text);
                }
            }
        }
    }

    fn generate_request(&self, arrival: &Arrival) -> Option<GenerateRequest> {
        let (model, adapter) = self.model_and_adapter(arrival);
        let id = format!("load-{}-{}", self.settings.seed, arrival.number);
        Some(GenerateRequest {
            id: RequestId::new(&id).ok()?,
            model: ModelName::new(model).ok()?,
            version: String::new(),
            adapter: adapter.map(AdapterName::new).transpose().ok()?,
            input: arrival.messages.clone(),
            max_tokens: arrival.max_answer_tokens,
            class: self.settings.callers[arrival.caller_index].class,
            resume: None,
        })
    }
}

pub(super) fn broken_ending(code: &str) -> Ending {
    Ending::Broken {
        code: code.to_owned(),
    }
}

/// Builds the ending of a refused request from the error code in its body.
pub(super) fn refused_ending(status: u16, body: &[u8]) -> Ending {
    let chunk: CompletionChunk = serde_json::from_slice(body).unwrap_or_default();
    let code = chunk
        .error
        .map_or_else(|| UNTYPED.to_owned(), |error| error.code);
    Ending::Refused { status, code }
}

fn call_error_ending(error: CallError) -> Ending {
    match error {
        CallError::Status { status, detail, .. } => refused_ending(status, detail.as_bytes()),
        CallError::NotSent { .. } => broken_ending(CONNECT),
        CallError::Lost { .. } => broken_ending(CUT),
        CallError::Timeout { .. } => broken_ending(SILENT),
        CallError::Malformed { .. } => broken_ending(MALFORMED),
    }
}

pub(super) fn transport_code(error: &SendRequestError) -> &'static str {
    match error {
        // The HTTP client reports a connection closed before an answer as a connect error.
        // It had been established, so that the request may have run.
        SendRequestError::Connect(ConnectError::Disconnected) => CUT,
        SendRequestError::Connect(_) => CONNECT,
        _ => CUT,
    }
}
