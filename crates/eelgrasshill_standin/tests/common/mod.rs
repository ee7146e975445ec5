//! Helpers shared by the tests of the stand-ins: clients, sample values and bounded waits.
#![expect(dead_code, reason = "each test file uses a part of these")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshill_domain::{
    AdapterName, AppendId, Class, HostName, ModelName, RequestId, StreamName,
};
use eelgrasshill_ports::{
    CallError, EngineClient as _, EngineStreamEvent, GenerateChunk, GenerateRequest, HttpClient,
    HttpClientSettings, HttpEngine, NewRecord, Order, OrderAction, OrderAnswer, Resume, Usage,
};
use eelgrasshill_standin::{AnswerText, Engine, EngineSettings, ModelCopy, RunningServer, Standin};
use futures_util::StreamExt;
use serde_json::{Value, json};

/// Maximum wait for a condition; far longer than a busy machine needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns an HTTP client with an answer time-out.
pub fn http_client(answer: Duration) -> HttpClient {
    HttpClient::new(HttpClientSettings {
        answer_timeout: answer,
        ..HttpClientSettings::default()
    })
}

/// Returns an engine client with [`WAIT_TIMEOUT`] as its time-outs.
pub fn engine_client() -> HttpEngine {
    HttpEngine::new(http_client(WAIT_TIMEOUT), WAIT_TIMEOUT)
}

pub fn stream_name(name: &str) -> StreamName {
    StreamName::new(name).unwrap()
}

pub fn model_name(name: &str) -> ModelName {
    ModelName::new(name).unwrap()
}

pub fn new_record(id: &str) -> NewRecord {
    NewRecord {
        id: AppendId::new(id).unwrap(),
        body: json!({ "record": id }),
    }
}

/// Memory of the engine of [`engine_settings`], in MB.
pub const ENGINE_MEMORY_MB: u64 = 100;
/// Memory of its model `assist`, in MB.
pub const ASSIST_MB: u64 = 40;

pub fn model_copy(name: &str, memory_mb: u64, adapters: &[&str]) -> ModelCopy {
    ModelCopy {
        model: model_name(name),
        version: "1".to_owned(),
        memory_mb,
        adapters: adapters
            .iter()
            .map(|name| AdapterName::new(name).unwrap())
            .collect(),
    }
}

pub fn engine_settings() -> EngineSettings {
    EngineSettings {
        memory_mb: ENGINE_MEMORY_MB,
        report_interval: Duration::from_millis(20),
        model_load_time: Duration::from_millis(20),
        ..EngineSettings::new(HostName::new("engine-1").unwrap())
    }
    .with_model(model_copy("assist", ASSIST_MB, &["field"]))
    .with_speed(10)
}

pub fn start_engine(settings: EngineSettings) -> RunningServer<Engine> {
    Engine::new(settings).spawn_thread().unwrap()
}

pub fn generate_request(id: &str, input: &str, max: u64) -> GenerateRequest {
    GenerateRequest {
        id: RequestId::new(id).unwrap(),
        model: model_name("assist"),
        version: "1".to_owned(),
        adapter: None,
        input: Value::String(input.to_owned()),
        max_tokens: max,
        class: Class::Interactive,
        resume: None,
    }
}

pub fn with_resume(mut request: GenerateRequest, index: u64, text: &str) -> GenerateRequest {
    request.resume = Some(Resume {
        next_index: index,
        text: text.to_owned(),
    });
    request
}

pub fn expected_text(request: &GenerateRequest) -> AnswerText {
    let adapter = request.adapter.as_ref().map(AdapterName::as_str);
    AnswerText::new(request.model.as_str(), adapter, &request.input)
}

pub fn new_order(id: &str, fence: u64, action: OrderAction) -> Order {
    Order {
        id: AppendId::new(id).unwrap(),
        fence,
        action,
    }
}

pub fn load_action(name: &str, memory: u64) -> OrderAction {
    OrderAction::Load {
        model: model_name(name),
        version: "1".to_owned(),
        memory_mb: memory,
    }
}

pub async fn send_order(engine: &RunningServer<Engine>, order: &Order) -> OrderAnswer {
    engine_client().order(engine.address, order).await.unwrap()
}

/// The content of one answer's stream and how it ended.
#[derive(Debug, Default)]
pub struct CollectedAnswer {
    pub chunks: Vec<GenerateChunk>,
    pub pings: usize,
    pub error: Option<CallError>,
    pub usage: Option<Usage>,
    pub finish: Option<String>,
    /// Whether the stream stayed open but no event came in time.
    pub silent: bool,
}

impl CollectedAnswer {
    pub fn text(&self) -> String {
        self.chunks
            .iter()
            .map(|chunk| chunk.text.as_str())
            .collect()
    }
}

/// Reads an answer until it ends, fails or is silent for `max_silence`.
pub async fn collect_answer(
    address: SocketAddr,
    request: &GenerateRequest,
    max_silence: Duration,
) -> Result<CollectedAnswer, CallError> {
    let mut events = engine_client().generate(address, request).await?;
    let mut answer = CollectedAnswer::default();
    loop {
        match tokio::time::timeout(max_silence, events.next()).await {
            Err(_elapsed) => {
                answer.silent = true;
                return Ok(answer);
            }
            Ok(None) => return Ok(answer),
            Ok(Some(Err(error))) => {
                answer.error = Some(error);
                return Ok(answer);
            }
            Ok(Some(Ok(EngineStreamEvent::Ping))) => answer.pings += 1,
            Ok(Some(Ok(EngineStreamEvent::Chunk(chunk)))) => {
                if let Some(finish_reason) = &chunk.finish_reason {
                    answer.finish = Some(finish_reason.clone());
                    answer.usage = chunk.usage;
                } else {
                    answer.chunks.push(chunk);
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
