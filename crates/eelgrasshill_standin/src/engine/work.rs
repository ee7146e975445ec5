//! The engine's background work: token steps, reports and loads.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::Client;
use eelgrasshill_domain::AdapterName;

use super::Engine;
use super::memory::Work;
use crate::sync::lock;

/// Wait before the store is asked again after a refusal or a lost answer.
const STORE_RETRY: Duration = Duration::from_millis(200);
/// Longest wait for the store to finish one load.
const STORE_BOUND: Duration = Duration::from_mins(2);
/// Time after which an idle engine looks for clients that left.
const IDLE: Duration = Duration::from_millis(200);

/// Steps the batch as long as the engine runs.
pub(super) async fn generate(engine: Engine) {
    loop {
        engine.faults.thaw("POST /generate").await;
        if let Some(pause) = engine.step() {
            tokio::time::sleep(pause).await;
            continue;
        }
        tokio::select! {
            () = engine.pushed.notified() => {}
            () = tokio::time::sleep(IDLE) => {}
        }
    }
}

/// Publishes reports as long as the engine runs.
pub(super) async fn publish(engine: Engine) {
    let lag = engine.settings.scaled(engine.settings.lag);
    loop {
        tokio::time::sleep(lag).await;
        engine.faults.thaw("GET /report").await;
        engine.publish();
    }
}

impl Engine {
    /// Gives each running answer a token; returns the time to the next step.
    fn step(&self) -> Option<Duration> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let left = state.batch.sweep();
        state.counts.cancelled += left;
        state.batch.admit(now, &self.settings);
        let super::State { batch, counts, .. } = &mut *state;
        batch.step(now, counts);
        state.release();
        if state.batch.is_empty() {
            return None;
        }
        let width = u32::try_from(state.batch.running.len()).unwrap_or(u32::MAX);
        let pause = self.settings.base + self.settings.each.saturating_mul(width);
        Some(self.settings.scaled(pause))
    }

    /// Carries out a load on the engine's thread.
    pub(super) fn begin(&self, work: Work) {
        let engine = self.clone();
        actix_web::rt::spawn(async move {
            match work {
                Work::Nothing => {}
                Work::Load { serial, model } => {
                    let path = format!("/loads/{model}");
                    engine.fetch(&path, engine.settings.load).await;
                    engine.complete(serial);
                }
                Work::Adapter { serial, adapter } => {
                    let path = format!("/adapters/{adapter}");
                    engine.fetch(&path, engine.settings.adapter).await;
                    engine.complete_adapter(serial, adapter);
                }
            }
        });
    }

    fn complete(&self, serial: u64) {
        let mut state = lock(&self.state);
        let loaded = state.memory.loaded(serial);
        state.counts.loads += u64::from(loaded);
        state.release();
    }

    fn complete_adapter(&self, serial: u64, adapter: AdapterName) {
        let mut state = lock(&self.state);
        let Some(slot) = state.memory.slot(serial) else {
            return;
        };
        if !slot.copy.adapters.contains(&adapter) {
            slot.copy.adapters.push(adapter);
            state.counts.adapters += 1;
        }
    }

    /// Waits until the store gave the weights, or for a fixed time without a store.
    async fn fetch(&self, path: &str, fixed: Duration) {
        let Some(store) = self.settings.store else {
            tokio::time::sleep(self.settings.scaled(fixed)).await;
            return;
        };
        while !ask(store, path).await {
            tokio::time::sleep(self.settings.scaled(STORE_RETRY)).await;
        }
    }
}

/// Asks the store for one load and returns whether it was done.
async fn ask(store: SocketAddr, path: &str) -> bool {
    let client = Client::builder().disable_timeout().finish();
    let sent = client.post(format!("http://{store}{path}")).send();
    match tokio::time::timeout(STORE_BOUND, sent).await {
        Ok(Ok(response)) => response.status().is_success(),
        Ok(Err(_)) | Err(_) => false,
    }
}
