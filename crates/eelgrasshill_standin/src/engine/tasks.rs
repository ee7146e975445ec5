//! The engine's background tasks: token generation, report publishing and loads.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::Client;
use eelgrasshill_domain::AdapterName;

use super::Engine;
use super::answer_stream::GENERATE_LABEL;
use super::memory::LoadTask;
use crate::sync::lock;

/// The call label whose faults apply to the publishing of reports.
const REPORT_LABEL: &str = "GET /report";
/// Delay before a load that the store refused or did not answer is retried.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time to wait for the store to complete one load.
const STORE_TIMEOUT: Duration = Duration::from_mins(2);
/// Interval at which an idle engine checks for disconnected clients.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Generates tokens as long as the engine runs.
pub(super) async fn generate(engine: Engine) {
    loop {
        engine.faults.wait_while_frozen(GENERATE_LABEL).await;
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
    let report_interval = engine
        .settings
        .divide_by_speed(engine.settings.report_interval);
    loop {
        tokio::time::sleep(report_interval).await;
        engine.faults.wait_while_frozen(REPORT_LABEL).await;
        engine.publish();
    }
}

impl Engine {
    /// Generates one token per running answer; returns the delay to the next step.
    fn step(&self) -> Option<Duration> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let disconnected = state.batch.remove_disconnected();
        state.counts.cancelled += disconnected;
        state.batch.admit(now, &self.settings);
        let super::State { batch, counts, .. } = &mut *state;
        batch.generate_tokens(now, counts);
        state.free_unloaded();
        if state.batch.is_empty() {
            return None;
        }
        let running_answers = u32::try_from(state.batch.running.len()).unwrap_or(u32::MAX);
        let token_interval = self.settings.base_interval
            + self
                .settings
                .interval_per_answer
                .saturating_mul(running_answers);
        Some(self.settings.divide_by_speed(token_interval))
    }

    /// Starts a load as a task on the engine's thread.
    pub(super) fn spawn_load(&self, load_task: LoadTask) {
        let engine = self.clone();
        actix_web::rt::spawn(async move {
            match load_task {
                LoadTask::Nothing => {}
                LoadTask::Model { serial, model } => {
                    let path = format!("/loads/{model}");
                    engine
                        .fetch_weights(&path, engine.settings.model_load_time)
                        .await;
                    engine.finish_load(serial);
                }
                LoadTask::Adapter { serial, adapter } => {
                    let path = format!("/adapters/{adapter}");
                    engine
                        .fetch_weights(&path, engine.settings.adapter_load_time)
                        .await;
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

    /// Loads weights from the store, retrying until it succeeds; waits a fixed time without one.
    async fn fetch_weights(&self, path: &str, time_without_store: Duration) {
        let Some(store) = self.settings.store else {
            tokio::time::sleep(self.settings.divide_by_speed(time_without_store)).await;
            return;
        };
        while !request_load(store, path).await {
            tokio::time::sleep(self.settings.divide_by_speed(STORE_RETRY_INTERVAL)).await;
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
