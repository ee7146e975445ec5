//! A stand-in for a plain HTTP service, which counts how often each call ran.
//!
//! A plain service is an upstream that is not a model engine. Calls are told apart by
//! request id and by idempotency key, so that tests can find calls that ran twice, or
//! that ran although the client was told that they had not.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::web::{self, Bytes, Json, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use eelgrasshill_domain::record;
use tokio::sync::oneshot;

use crate::fault::Faults;
use crate::recorded::{RecordedCall, RecordedCalls};
use crate::server::Standin;
use crate::sync::lock;

/// Header with the id of the request.
const REQUEST_ID: &str = "x-request-id";
/// Header with the caller's idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum time that a crossed answer waits for a second one to swap with.
const SWAP_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of the plain service.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The service name in the answers.
    pub name: String,
    /// Time from the effect of a call to its answer.
    pub answer_delay: Duration,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "plain".to_owned(),
            answer_delay: Duration::ZERO,
        }
    }
}

record! {
    /// The JSON body of an answer.
    pub struct PlainEcho {
        /// The name of the service.
        pub service: String,
        /// The request's id.
        pub id: Option<String>,
        /// The caller's idempotency key.
        pub key: Option<String>,
        /// Runs on this path with this key; with this id if there is no key; 1 without either.
        pub count: u64,
        /// The method and the path.
        #[serde(rename = "call")]
        pub method_and_path: String,
        /// Size of the request body in bytes.
        #[serde(rename = "bytes")]
        pub body_bytes: usize,
    }

    /// How often calls with one id or key ran on one path.
    pub struct RunCount {
        /// The path.
        pub path: String,
        /// The request id or the idempotency key.
        #[serde(rename = "id")]
        pub id_or_key: String,
        /// The number of runs.
        pub count: u64,
    }

    /// How often each call ran, by the service's own count.
    #[derive(Default)]
    pub struct RunCounts {
        /// Total number of runs.
        pub total: u64,
        /// Runs by request id.
        pub requests: Vec<RunCount>,
        /// Runs by idempotency key.
        pub keys: Vec<RunCount>,
    }
}

impl RunCounts {
    /// Returns the total runs of an idempotency key on all paths.
    #[must_use]
    pub fn runs_of_key(&self, key: &str) -> u64 {
        let runs_of_key = self.keys.iter().filter(|run| run.id_or_key == key);
        runs_of_key.map(|run| run.count).sum()
    }

    /// Returns the total runs of a request id on all paths.
    #[must_use]
    pub fn runs_of_request(&self, id: &str) -> u64 {
        let of_id = self.requests.iter().filter(|run| run.id_or_key == id);
        of_id.map(|run| run.count).sum()
    }

    /// Returns the highest number of runs of any key on any path.
    #[must_use]
    pub fn max_key_runs(&self) -> u64 {
        self.keys.iter().map(|run| run.count).max().unwrap_or(0)
    }
}

type RunTable = BTreeMap<(String, String), u64>;

#[derive(Debug, Default)]
struct State {
    total: u64,
    requests: RunTable,
    keys: RunTable,
    waiting_swap: Option<(PlainAnswer, oneshot::Sender<PlainAnswer>)>,
}

#[derive(Clone, Debug)]
struct PlainAnswer {
    id: Option<String>,
    echo: PlainEcho,
}

/// A stand-in for a plain HTTP service.
#[derive(Clone, Debug)]
pub struct PlainService {
    settings: Arc<PlainSettings>,
    state: Arc<Mutex<State>>,
    recorded: RecordedCalls,
    faults: Faults,
}

impl PlainService {
    /// Creates a service with all counts at zero.
    #[must_use]
    pub fn new(settings: PlainSettings) -> Self {
        Self {
            settings: Arc::new(settings),
            state: Arc::default(),
            recorded: RecordedCalls::default(),
            faults: Faults::new(),
        }
    }

    /// Returns the number of runs by request id and by idempotency key.
    #[must_use]
    pub fn runs(&self) -> RunCounts {
        let list = |counts: &RunTable| {
            let run = |((path, id), count): (&(String, String), &u64)| RunCount {
                path: path.clone(),
                id_or_key: id.clone(),
                count: *count,
            };
            counts.iter().map(run).collect()
        };
        let state = lock(&self.state);
        RunCounts {
            total: state.total,
            requests: list(&state.requests),
            keys: list(&state.keys),
        }
    }

    /// Returns the most recent requests that the service received.
    #[must_use]
    pub fn recorded_calls(&self) -> &RecordedCalls {
        &self.recorded
    }

    fn run(&self, request: &HttpRequest, body: &Bytes) -> PlainAnswer {
        let header = |name: &str| {
            let value = request.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let id = header(REQUEST_ID);
        let key = header(IDEMPOTENCY_KEY);
        let path = request.path().to_owned();
        let mut state = lock(&self.state);
        state.total += 1;
        let by_id = id
            .as_ref()
            .map(|id| increment(&mut state.requests, &path, id));
        let by_key = key
            .as_ref()
            .map(|key| increment(&mut state.keys, &path, key));
        let echo = PlainEcho {
            service: self.settings.name.clone(),
            id: id.clone(),
            key,
            count: by_key.or(by_id).unwrap_or(1),
            method_and_path: format!("{} {path}", request.method()),
            body_bytes: body.len(),
        };
        PlainAnswer { id, echo }
    }

    /// Swaps an answer with the next crossed call's, or returns it after a timeout.
    async fn swap_with_next(&self, answer: PlainAnswer) -> PlainAnswer {
        let own = answer.clone();
        let receiver = match self.try_swap(answer) {
            Ok(other) => return other,
            Err(receiver) => receiver,
        };
        if let Ok(Ok(other)) = tokio::time::timeout(SWAP_TIMEOUT, receiver).await {
            return other;
        }
        // No other crossed call came; the next one must not swap with this answer.
        lock(&self.state).waiting_swap = None;
        own
    }

    /// Swaps with a waiting answer, or returns a receiver for the next one as the error.
    fn try_swap(&self, answer: PlainAnswer) -> Result<PlainAnswer, oneshot::Receiver<PlainAnswer>> {
        let mut state = lock(&self.state);
        let answer = match state.waiting_swap.take() {
            None => answer,
            Some((other, partner_sender)) => match partner_sender.send(answer) {
                Ok(()) => return Ok(other),
                Err(answer) => answer,
            },
        };
        let (sender, receiver) = oneshot::channel();
        state.waiting_swap = Some((answer, sender));
        Err(receiver)
    }
}

fn increment(counts: &mut RunTable, path: &str, id: &str) -> u64 {
    let count = counts.entry((path.to_owned(), id.to_owned())).or_default();
    *count += 1;
    *count
}

impl Standin for PlainService {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn listen(&self) -> SocketAddr {
        self.settings.listen
    }

    fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(web::Data::new(self.clone()))
            .route("/admin/runs", web::get().to(runs))
            .route("/admin/seen", web::get().to(recorded_calls))
            .default_service(web::to(serve_call));
    }
}

async fn serve_call(
    plain: web::Data<PlainService>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    plain.recorded.record(&request, &body);
    let mut answer = plain.run(&request, &body);
    if !plain.settings.answer_delay.is_zero() {
        tokio::time::sleep(plain.settings.answer_delay).await;
    }
    if plain.faults.take_pending_swap() {
        answer = plain.swap_with_next(answer).await;
    }
    let mut response = HttpResponse::Ok();
    if let Some(id) = &answer.id {
        response.insert_header((REQUEST_ID, id.as_str()));
    }
    response.json(&answer.echo)
}

async fn runs(plain: web::Data<PlainService>) -> Json<RunCounts> {
    Json(plain.runs())
}

async fn recorded_calls(plain: web::Data<PlainService>) -> Json<Vec<RecordedCall>> {
    Json(plain.recorded.list())
}
