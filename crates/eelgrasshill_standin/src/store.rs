//! A stand-in for the weight store, from which engines load models and adapters.
//!
//! Starts of model loads are rate-limited, and concurrent loads share a limited
//! bandwidth. It counts running and refused loads, so that tests can check that engines
//! keep to the limits.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::HttpResponse;
use actix_web::web::{self, Json, ServiceConfig};
use eelgrasshill_domain::record;

use crate::fault::Faults;
use crate::middleware::error_response;
use crate::server::Standin;
use crate::sync::lock;

/// Window over which requested model loads are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Interval at which a load updates its progress and its share of the bandwidth.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(2);

/// Settings of the weight store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Model loads that may start per second; more are refused.
    pub model_loads_per_second: f64,
    /// Number of concurrent model loads that run at full speed.
    pub full_speed_model_loads: u32,
    /// Number of concurrent adapter loads that run at full speed.
    pub full_speed_adapter_loads: u32,
    /// Duration of a model load at full speed.
    pub model_load_time: Duration,
    /// Duration of an adapter load at full speed.
    pub adapter_load_time: Duration,
    /// Factor by which all times are shortened.
    pub speed: u32,
}

/// The flags of the command line have the same defaults.
impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            model_loads_per_second: 2.0,
            full_speed_model_loads: 8,
            full_speed_adapter_loads: 60,
            model_load_time: Duration::from_secs(2),
            adapter_load_time: Duration::from_millis(8),
            speed: 1,
        }
    }
}

record! {
    /// Counts of the loads of one kind.
    #[derive(Copy, Default)]
    pub struct WeightLoadCounts {
        /// Completed loads.
        pub done: u64,
        /// Loads in progress.
        pub running: u64,
        /// Highest number of concurrent loads.
        #[serde(rename = "widest")]
        pub max_running: u64,
        /// Loads whose client disconnected before the end.
        #[serde(rename = "left")]
        pub abandoned: u64,
    }

    /// The store's own counts, which tests check against its limits.
    #[derive(Copy, Default)]
    pub struct StoreCounts {
        /// Loads of models.
        pub models: WeightLoadCounts,
        /// Loads of adapters.
        pub adapters: WeightLoadCounts,
        /// Highest number of model loads requested within one second, refused ones included.
        ///
        /// The window is one second divided by the speed.
        #[serde(rename = "busiest")]
        pub max_requests: u64,
        /// Model loads refused because they exceeded the rate.
        pub refused: u64,
    }
}

#[derive(Debug)]
struct State {
    counts: StoreCounts,
    bucket_level: f64,
    refilled_at: Instant,
    requested_at: VecDeque<Instant>,
}

/// A stand-in for the weight store.
#[derive(Clone, Debug)]
pub struct WeightStore {
    settings: Arc<StoreSettings>,
    state: Arc<Mutex<State>>,
    faults: Faults,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WeightKind {
    Model,
    Adapter,
}

/// A load in progress; dropping it early counts it as abandoned.
#[derive(Debug)]
struct ActiveLoad {
    store: WeightStore,
    kind: WeightKind,
    done: bool,
}

impl WeightStore {
    /// Creates a store with all counts at zero.
    #[must_use]
    pub fn new(settings: StoreSettings) -> Self {
        let state = State {
            counts: StoreCounts::default(),
            bucket_level: settings.model_loads_per_second.max(1.0),
            refilled_at: Instant::now(),
            requested_at: VecDeque::new(),
        };
        Self {
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
            faults: Faults::new(),
        }
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        lock(&self.state).counts
    }

    fn admit(&self) -> bool {
        let loads_per_second =
            self.settings.model_loads_per_second * f64::from(self.settings.speed);
        let request_window = RATE_WINDOW / self.settings.speed;
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.requested_at.push_back(now);
        while state
            .requested_at
            .front()
            .is_some_and(|requested_at| *requested_at + request_window < now)
        {
            state.requested_at.pop_front();
        }
        state.counts.max_requests = state
            .counts
            .max_requests
            .max(state.requested_at.len() as u64);
        let refill = now.duration_since(state.refilled_at).as_secs_f64() * loads_per_second;
        state.refilled_at = now;
        // The bucket holds one second's loads, and at least one.
        state.bucket_level =
            (state.bucket_level + refill).min(self.settings.model_loads_per_second.max(1.0));
        if state.bucket_level < 1.0 {
            state.counts.refused += 1;
            return false;
        }
        state.bucket_level -= 1.0;
        true
    }

    /// Runs a load and returns its duration; excess concurrent loads slow all down.
    async fn load(&self, kind: WeightKind) -> Duration {
        let (full_speed_time, full_speed_loads) = match kind {
            WeightKind::Model => (
                self.settings.model_load_time,
                self.settings.full_speed_model_loads,
            ),
            WeightKind::Adapter => (
                self.settings.adapter_load_time,
                self.settings.full_speed_adapter_loads,
            ),
        };
        let mut remaining = full_speed_time / self.settings.speed;
        let start = Instant::now();
        let mut updated_at = start;
        let mut active = ActiveLoad::new(self, kind);
        while !remaining.is_zero() {
            tokio::time::sleep(remaining.min(PROGRESS_INTERVAL)).await;
            let now = Instant::now();
            let running = u32::try_from(active.running()).unwrap_or(u32::MAX);
            let speed_share = f64::from(full_speed_loads.min(running)) / f64::from(running.max(1));
            remaining =
                remaining.saturating_sub(now.duration_since(updated_at).mul_f64(speed_share));
            updated_at = now;
        }
        active.done = true;
        start.elapsed()
    }
}

impl StoreCounts {
    fn counts_of(&mut self, kind: WeightKind) -> &mut WeightLoadCounts {
        match kind {
            WeightKind::Model => &mut self.models,
            WeightKind::Adapter => &mut self.adapters,
        }
    }
}

impl ActiveLoad {
    fn new(store: &WeightStore, kind: WeightKind) -> Self {
        let mut state = lock(&store.state);
        let counts = state.counts.counts_of(kind);
        counts.running += 1;
        counts.max_running = counts.max_running.max(counts.running);
        Self {
            store: store.clone(),
            kind,
            done: false,
        }
    }

    fn running(&self) -> u64 {
        lock(&self.store.state).counts.counts_of(self.kind).running
    }
}

impl Drop for ActiveLoad {
    fn drop(&mut self) {
        let mut state = lock(&self.store.state);
        let counts = state.counts.counts_of(self.kind);
        counts.running -= 1;
        if self.done {
            counts.done += 1;
        } else {
            counts.abandoned += 1;
        }
    }
}

impl Standin for WeightStore {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn listen(&self) -> SocketAddr {
        self.settings.listen
    }

    fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(web::Data::new(self.clone()))
            .route("/loads/{model}", web::post().to(load_model))
            .route("/adapters/{adapter}", web::post().to(load_adapter))
            .route("/admin/counts", web::get().to(counts));
    }
}

async fn load_model(store: web::Data<WeightStore>) -> HttpResponse {
    if !store.admit() {
        return error_response(
            HttpResponse::TooManyRequests(),
            "too-many-loads",
            "the store begins no more loads in this second",
        );
    }
    reply(store.load(WeightKind::Model).await)
}

async fn load_adapter(store: web::Data<WeightStore>) -> HttpResponse {
    reply(store.load(WeightKind::Adapter).await)
}

fn reply(load_time: Duration) -> HttpResponse {
    let millis = u64::try_from(load_time.as_millis()).unwrap_or(u64::MAX);
    HttpResponse::Ok().json(serde_json::json!({ "millis": millis }))
}

async fn counts(store: web::Data<WeightStore>) -> Json<StoreCounts> {
    Json(store.counts())
}
