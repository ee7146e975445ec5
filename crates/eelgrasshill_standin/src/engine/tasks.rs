//! The engine's background tasks: token generation, report publishing and loads.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::Client;
use eelgrasshill_domain::AdapterName;

use super::Engine;
use super::memory::LoadTask;
use crate::sync::lock;

/// Delay before a load that the store refused or did not answer is retried.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time to wait for the store to complete one load.
const STORE_TIMEOUT: Duration = Duration::from_mins(2);
/// Interval at which an idle engine checks for disconnected clients.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Generates tokens as long as the engine runs.
pub(super) async fn generate(engine: Engine) {
    loop {
        engine.faults.wait_while_frozen("POST /generate").await;
        if let Some(pause) = engine.step() {
            tokio::time::sleep(pause).await;
            continue;
        }
        tokio::select! {
            () = engine.request_added.notified() => {}
            () = tokio::time::sleep(IDLE_POLL_INTERVAL) => {}
        }
    }
}

/// Publishes reports as long as the engine runs.
pub(super) async fn publish(engine: Engine) {
    let lag = engine.settings.scaled(engine.settings.lag);
    loop {
        tokio::time::sleep(lag).await;
        engine.faults.wait_while_frozen("GET /report").await;
        engine.publish();
    }
}

impl Engine {
    /// Generates one token per running answer; returns the delay to the next step.
    fn step(&self) -> Option<Duration> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let left = state.batch.remove_disconnected();
        state.counts.cancelled += left;
        state.batch.admit(now, &self.settings);
        let super::State { batch, counts, .. } = &mut *state;
        batch.step(now, counts);
        state.free_unloaded();
        if state.batch.is_empty() {
            return None;
        }
        let width = u32::try_from(state.batch.running.len()).unwrap_or(u32::MAX);
        let pause =
            self.settings.base_interval + self.settings.interval_per_answer.saturating_mul(width);
        Some(self.settings.scaled(pause))
    }

    /// Starts a load as a task on the engine's thread.
    pub(super) fn spawn_load(&self, work: LoadTask) {
        let engine = self.clone();
        actix_web::rt::spawn(async move {
            match work {
                LoadTask::Nothing => {}
                LoadTask::Load { serial, model } => {
                    let path = format!("/loads/{model}");
                    engine.fetch_weights(&path, engine.settings.load).await;
                    engine.finish_load(serial);
                }
                LoadTask::Adapter { serial, adapter } => {
                    let path = format!("/adapters/{adapter}");
                    engine.fetch_weights(&path, engine.settings.adapter).await;
                    engine.finish_adapter_load(serial, adapter);
                }
            }
        });
    }

    fn finish_load(&self, serial: u64) {
        let mut state = lock(&self.state);
        let loaded = state.memory.mark_resident(serial);
        state.counts.loads += u64::from(loaded);
        state.free_unloaded();
    }

    fn finish_adapter_load(&self, serial: u64, adapter: AdapterName) {
        let mut state = lock(&self.state);
        let Some(entry) = state.memory.entry(serial) else {
            return;
        };
        if !entry.copy.adapters.contains(&adapter) {
            entry.copy.adapters.push(adapter);
            state.counts.adapters += 1;
        }
    }

    /// Loads weights from the store, or waits a fixed time without a store.
    async fn fetch_weights(&self, path: &str, fixed: Duration) {
        let Some(store) = self.settings.store else {
            tokio::time::sleep(self.settings.scaled(fixed)).await;
            return;
        };
        while !request_load(store, path).await {
            tokio::time::sleep(self.settings.scaled(STORE_RETRY_INTERVAL)).await;
        }
    }
}

/// Requests one load from the store and returns whether it succeeded.
async fn request_load(store: SocketAddr, path: &str) -> bool {
    let client = Client::builder().disable_timeout().finish();
    let sent = client.post(format!("http://{store}{path}")).send();
    match tokio::time::timeout(STORE_TIMEOUT, sent).await {
        Ok(Ok(response)) => response.status().is_success(),
        Ok(Err(_)) | Err(_) => false,
    }
}
