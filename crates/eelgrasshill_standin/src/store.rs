//! The rate-limited weight store, which counts how hard it was driven.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::HttpResponse;
use actix_web::web::{self, Json, ServiceConfig};
use eelgrasshill_domain::record;

use crate::fault::Faults;
use crate::gate::refusal;
use crate::server::Standin;
use crate::sync::lock;

/// The window over which loads are counted for the rate.
const WINDOW: Duration = Duration::from_secs(1);
/// Time between two looks at how many loads share the store.
const TICK: Duration = Duration::from_millis(2);

/// Settings of the weight store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Model loads that may begin in a second; more are refused.
    pub rate: f64,
    /// Model loads at once that run at full speed.
    pub parallel: u32,
    /// Adapter loads at once that run at full speed.
    pub adapters: u32,
    /// Time of a model's load at full speed.
    pub load: Duration,
    /// Time of an adapter's load at full speed.
    pub adapter: Duration,
    /// How many times faster than these settings say everything runs.
    pub speed: u32,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            rate: 2.0,
            parallel: 8,
            adapters: 60,
            load: Duration::from_secs(2),
            adapter: Duration::from_millis(8),
            speed: 1,
        }
    }
}

record! {
    /// How hard one kind of load drove the store.
    #[derive(Copy, Default)]
    pub struct LaneCounts {
        /// Loads that ended.
        pub done: u64,
        /// Loads that run now.
        pub running: u64,
        /// Most loads that ran at once.
        pub widest: u64,
        /// Loads whose client left before the end.
        pub left: u64,
    }

    /// What the store has counted, as an oracle for tests.
    #[derive(Copy, Default)]
    pub struct StoreCounts {
        /// Loads of models.
        pub models: LaneCounts,
        /// Loads of adapters.
        pub adapters: LaneCounts,
        /// Most loads of models asked for within a second of the settings' time.
        pub busiest: u64,
        /// Loads of models refused because too many began.
        pub refused: u64,
    }
}

#[derive(Debug)]
struct State {
    counts: StoreCounts,
    level: f64,
    filled: Instant,
    asked: VecDeque<Instant>,
}

/// The weight store.
#[derive(Clone, Debug)]
pub struct Store {
    settings: Arc<StoreSettings>,
    state: Arc<Mutex<State>>,
    faults: Faults,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lane {
    Models,
    Adapters,
}

/// A load that runs; dropping it before its end means that its client left.
#[derive(Debug)]
struct Loading {
    store: Store,
    lane: Lane,
    done: bool,
}

impl Store {
    /// Makes a store that has loaded nothing.
    #[must_use]
    pub fn new(settings: StoreSettings) -> Self {
        let state = State {
            counts: StoreCounts::default(),
            level: settings.rate.max(1.0),
            filled: Instant::now(),
            asked: VecDeque::new(),
        };
        Self {
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
            faults: Faults::new(),
        }
    }

    /// Returns what was counted so far.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        lock(&self.state).counts
    }

    fn admit(&self) -> bool {
        let rate = self.settings.rate * f64::from(self.settings.speed);
        let window = WINDOW / self.settings.speed;
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.asked.push_back(now);
        while state
            .asked
            .front()
            .is_some_and(|asked| *asked + window < now)
        {
            state.asked.pop_front();
        }
        state.counts.busiest = state.counts.busiest.max(state.asked.len() as u64);
        let grown = now.duration_since(state.filled).as_secs_f64() * rate;
        state.filled = now;
        state.level = (state.level + grown).min(self.settings.rate.max(1.0));
        if state.level < 1.0 {
            state.counts.refused += 1;
            return false;
        }
        state.level -= 1.0;
        true
    }

    /// Runs a load, slower in proportion to the loads beyond those at full speed.
    async fn load(&self, lane: Lane) -> Duration {
        let (span, limit) = match lane {
            Lane::Models => (self.settings.load, self.settings.parallel),
            Lane::Adapters => (self.settings.adapter, self.settings.adapters),
        };
        let mut left = span / self.settings.speed;
        let begun = Instant::now();
        let mut seen = begun;
        let mut loading = Loading::new(self, lane);
        while !left.is_zero() {
            tokio::time::sleep(left.min(TICK)).await;
            let now = Instant::now();
            let running = u32::try_from(loading.running()).unwrap_or(u32::MAX);
            let share = f64::from(limit.min(running)) / f64::from(running.max(1));
            left = left.saturating_sub(now.duration_since(seen).mul_f64(share));
            seen = now;
        }
        loading.done = true;
        begun.elapsed()
    }
}

impl StoreCounts {
    fn lane(&mut self, lane: Lane) -> &mut LaneCounts {
        match lane {
            Lane::Models => &mut self.models,
            Lane::Adapters => &mut self.adapters,
        }
    }
}

impl Loading {
    fn new(store: &Store, lane: Lane) -> Self {
        let mut state = lock(&store.state);
        let counts = state.counts.lane(lane);
        counts.running += 1;
        counts.widest = counts.widest.max(counts.running);
        Self {
            store: store.clone(),
            lane,
            done: false,
        }
    }

    fn running(&self) -> u64 {
        lock(&self.store.state).counts.lane(self.lane).running
    }
}

impl Drop for Loading {
    fn drop(&mut self) {
        let mut state = lock(&self.store.state);
        let counts = state.counts.lane(self.lane);
        counts.running -= 1;
        if self.done {
            counts.done += 1;
        } else {
            counts.left += 1;
        }
    }
}

impl Standin for Store {
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

async fn load_model(store: web::Data<Store>) -> HttpResponse {
    if !store.admit() {
        return refusal(
            HttpResponse::TooManyRequests(),
            "too-many-loads",
            "the store begins no more loads in this second",
        );
    }
    reply(store.load(Lane::Models).await)
}

async fn load_adapter(store: web::Data<Store>) -> HttpResponse {
    reply(store.load(Lane::Adapters).await)
}

fn reply(span: Duration) -> HttpResponse {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    HttpResponse::Ok().json(serde_json::json!({ "millis": millis }))
}

async fn counts(store: web::Data<Store>) -> Json<StoreCounts> {
    Json(store.counts())
}
