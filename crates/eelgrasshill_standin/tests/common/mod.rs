//! Helpers shared by the tests of the stand-ins: clients, sample values and bounded waits.
#![expect(dead_code, reason = "each test file uses a part of these")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshill_domain::{
    AdapterName, AppendId, Class, HostName, ModelName, RequestId, StreamName,
};
use eelgrasshill_ports::{
    CallError, Engine as _, GenerateChunk, GenerateRequest, HttpClient, HttpClientSettings,
    HttpEngine, NewRecord, Order, OrderAction, OrderAnswer, Resume, StreamEvent, Usage,
};
use eelgrasshill_standin::{AnswerText, Engine, EngineSettings, ModelCopy, RunningServer, Standin};
use futures_util::StreamExt;
use serde_json::{Value, json};

/// Maximum wait for a condition; far longer than a busy machine needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a client that waits for an answer up to `answer`.
pub fn client(answer: Duration) -> HttpClient {
    HttpClient::new(HttpClientSettings {
        answer,
        ..HttpClientSettings::default()
    })
}

/// Returns an engine adapter with [`WAIT_TIMEOUT`] as its time-outs.
pub fn engine_client() -> HttpEngine {
    HttpEngine::new(client(WAIT_TIMEOUT), WAIT_TIMEOUT)
}

pub fn stream(name: &str) -> StreamName {
    StreamName::new(name).unwrap()
}

pub fn model(name: &str) -> ModelName {
    ModelName::new(name).unwrap()
}

pub fn record(id: &str) -> NewRecord {
    NewRecord {
        id: AppendId::new(id).unwrap(),
        body: json!({ "of": id }),
    }
}

pub fn model_copy(name: &str, memory: u64, adapters: &[&str]) -> ModelCopy {
    ModelCopy {
        model: model(name),
        version: "1".to_owned(),
        memory,
        adapters: adapters
            .iter()
            .map(|a| AdapterName::new(a).unwrap())
            .collect(),
    }
}

pub fn settings() -> EngineSettings {
    EngineSettings {
        memory: 100,
        lag: Duration::from_millis(20),
        load: Duration::from_millis(20),
        ..EngineSettings::new(HostName::new("engine-1").unwrap())
    }
    .with_model(model_copy("assist", 40, &["field"]))
    .with_speed(10)
}

pub fn start(settings: EngineSettings) -> RunningServer<Engine> {
    Engine::new(settings).spawn_thread().unwrap()
}

pub fn request(id: &str, input: &str, max: u64) -> GenerateRequest {
    GenerateRequest {
        id: RequestId::new(id).unwrap(),
        model: model("assist"),
        version: "1".to_owned(),
        adapter: None,
        input: Value::String(input.to_owned()),
        max_tokens: max,
        class: Class::Interactive,
        resume: None,
    }
}

pub fn resume(mut request: GenerateRequest, index: u64, text: &str) -> GenerateRequest {
    request.resume = Some(Resume {
        index,
        text: text.to_owned(),
    });
    request
}

pub fn expected_text(request: &GenerateRequest) -> AnswerText {
    let adapter = request.adapter.as_ref().map(AdapterName::as_str);
    AnswerText::new(request.model.as_str(), adapter, &request.input)
}

pub fn order(id: &str, fence: u64, action: OrderAction) -> Order {
    Order {
        id: AppendId::new(id).unwrap(),
        fence,
        action,
    }
}

pub fn load(name: &str, memory: u64) -> OrderAction {
    OrderAction::Load {
        model: model(name),
        version: "1".to_owned(),
        memory,
    }
}

pub async fn send_order(engine: &RunningServer<Engine>, order: &Order) -> OrderAnswer {
    engine_client().order(engine.address, order).await.unwrap()
}

/// The content of one answer's stream and how it ended.
#[derive(Debug, Default)]
pub struct Collected {
    pub chunks: Vec<GenerateChunk>,
    pub pings: usize,
    pub error: Option<CallError>,
    pub usage: Option<Usage>,
    pub finish: Option<String>,
    pub silent: bool,
}

impl Collected {
    pub fn text(&self) -> String {
        self.chunks.iter().map(|c| c.text.as_str()).collect()
    }
}

/// Reads an answer until it ends, fails or is silent for `max_silence`.
pub async fn collect_answer(
    address: SocketAddr,
    request: &GenerateRequest,
    max_silence: Duration,
) -> Result<Collected, CallError> {
    let mut events = engine_client().generate(address, request).await?;
    let mut all = Collected::default();
    loop {
        match tokio::time::timeout(max_silence, events.next()).await {
            Err(_elapsed) => {
                all.silent = true;
                return Ok(all);
            }
            Ok(None) => return Ok(all),
            Ok(Some(Err(error))) => {
                all.error = Some(error);
                return Ok(all);
            }
            Ok(Some(Ok(StreamEvent::Ping))) => all.pings += 1,
            Ok(Some(Ok(StreamEvent::Chunk(chunk)))) => {
                if let Some(finish) = &chunk.finish {
                    all.finish = Some(finish.clone());
                    all.usage = chunk.usage;
                } else {
                    all.chunks.push(chunk);
                }
            }
        }
    }
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "condition not met within {WAIT_TIMEOUT:?}: {condition}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
