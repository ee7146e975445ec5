//! Sends chat requests to entry hosts or engines and checks the answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use eelgrasshill_domain::{AdapterName, ModelName, RequestId};
use eelgrasshill_ports::{
    CallError, Engine as _, GenerateRequest, HttpClient, HttpClientSettings, HttpEngine,
    StreamEvent,
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
/// Time after which an idle connection is closed; shorter than the servers' own
/// timeout, so that a request never meets a connection that the server is closing.
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
pub(super) struct Sender<'a> {
    pub(super) settings: &'a LoadSettings,
    pub(super) client: Client,
    engines: HttpEngine,
}

impl<'a> Sender<'a> {
    pub(super) fn new(settings: &'a LoadSettings) -> Self {
        let connector = Connector::new()
            .conn_keep_alive(KEEP_ALIVE_TIMEOUT)
            .limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .finish();
        let engines = HttpClient::new(HttpClientSettings::default());
        Self {
            settings,
            client,
            engines: HttpEngine::new(engines, settings.idle_timeout),
        }
    }

    pub(super) fn target(&self, number: usize) -> SocketAddr {
        self.settings.targets[number % self.settings.targets.len()]
    }

    /// Sends a chat request and returns how it ended and how long it took.
    pub(super) async fn chat(&self, arrival: &Arrival, due: Instant) -> Outcome {
        let send_delay = due.elapsed();
        let mut timer = TokenTimer::new(due, self.settings.stall_timeout);
        let mut text = String::new();
        let result = if self.settings.direct {
            self.chat_with_engine(arrival, &mut timer, &mut text).await
        } else {
            self.chat_through_entry(arrival, &mut timer, &mut text)
                .await
        };
        let (timing, stalled) = timer.finish();
        let ending = match result {
            Ok(()) => Ending::Complete {
                timing,
                correct: text == self.expected(arrival),
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
        let name = self.settings.models[arrival.model].name.as_str();
        match name.split_once(':') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (name, None),
        }
    }

    fn expected(&self, arrival: &Arrival) -> String {
        let (model, adapter) = self.model_and_adapter(arrival);
        let text = AnswerText::new(model, adapter, &arrival.messages);
        let natural_length = self
            .settings
            .natural_length
            .map(|max_length| text.length(max_length));
        text.prefix(natural_length.unwrap_or(u64::MAX).min(arrival.tokens))
    }

    async fn chat_through_entry(
        &self,
        arrival: &Arrival,
        timer: &mut TokenTimer,
        text: &mut String,
    ) -> Result<(), Ending> {
        let url = format!("http://{}/v1/chat/completions", self.target(arrival.target));
        let body = json!({
            "model": self.settings.models[arrival.model].name,
            "messages": arrival.messages,
            "max_tokens": arrival.tokens,
            "stream": true,
        });
        let request = self
            .client
            .post(url)
            .bearer_auth(&self.settings.callers[arrival.caller].key)
            .send_json(&body);
        let mut response = tokio::time::timeout(self.settings.idle_timeout, request)
            .await
            .map_err(|_elapsed| broken("silent"))?
            .map_err(|error| broken(transport_code(&error)))?;
        if !response.status().is_success() {
            let status = response.status().as_u16();
            let body = response.body().await.unwrap_or_default();
            return Err(refused(status, &body));
        }
        let mut events = response.eventsource();
        loop {
            let event = tokio::time::timeout(self.settings.idle_timeout, events.next())
                .await
                .map_err(|_elapsed| broken("silent"))?
                .ok_or_else(|| broken("cut"))?
                .map_err(|_error| broken("cut"))?;
            if event.data == DONE_MARKER {
                return Ok(());
            }
            let event: CompletionChunk =
                serde_json::from_str(&event.data).map_err(|_error| broken("malformed"))?;
            if let Some(error) = event.error {
                return Err(broken(&error.code));
            }
            let parts = event.choices.into_iter().filter_map(|c| c.delta.content);
            for part in parts.filter(|part| !part.is_empty()) {
                timer.record_token();
                text.push_str(&part);
            }
        }
    }

    async fn chat_with_engine(
        &self,
        arrival: &Arrival,
        timer: &mut TokenTimer,
        text: &mut String,
    ) -> Result<(), Ending> {
        let request = self
            .generate_request(arrival)
            .ok_or_else(|| broken("name"))?;
        let address = self.target(arrival.target);
        let mut events = self
            .engines
            .generate(address, &request)
            .await
            .map_err(ending_of)?;
        loop {
            let event = tokio::time::timeout(self.settings.idle_timeout, events.next())
                .await
                .map_err(|_elapsed| broken("silent"))?
                .ok_or_else(|| broken("cut"))?
                .map_err(ending_of)?;
            match event {
                StreamEvent::Ping => {}
                StreamEvent::Chunk(chunk) if chunk.id != request.id => {
                    return Err(broken("crossed"));
                }
                StreamEvent::Chunk(chunk) if chunk.finish.is_some() => return Ok(()),
                StreamEvent::Chunk(chunk) => {
                    timer.record_token();
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
            max_tokens: arrival.tokens,
            class: self.settings.callers[arrival.caller].class,
            resume: None,
        })
    }
}

pub(super) fn broken(code: &str) -> Ending {
    Ending::Broken {
        code: code.to_owned(),
    }
}

/// Builds the ending of a refused request from the error code in its body.
pub(super) fn refused(status: u16, body: &[u8]) -> Ending {
    let event: CompletionChunk = serde_json::from_slice(body).unwrap_or_default();
    let code = event.error.map_or_else(|| "untyped".to_owned(), |p| p.code);
    Ending::Refused { status, code }
}

fn ending_of(error: CallError) -> Ending {
    match error {
        CallError::Status { status, detail, .. } => refused(status, detail.as_bytes()),
        CallError::NotSent { .. } => broken("connect"),
        CallError::Lost { .. } => broken("cut"),
        CallError::Timeout { .. } => broken("silent"),
        CallError::Malformed { .. } => broken("malformed"),
    }
}

pub(super) fn transport_code(error: &SendRequestError) -> &'static str {
    match error {
        // The HTTP client reports a connection closed before an answer as a connect error.
        SendRequestError::Connect(ConnectError::Disconnected) => "cut",
        SendRequestError::Connect(_) => "connect",
        _ => "cut",
    }
}
