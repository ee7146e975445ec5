//! A stand-in for a model engine, without a model.
//!
//! It imitates what the gateway depends on: batching, in which each running answer
//! slows all others down, the prefix cache, model memory, fenced orders, and reports
//! that lag behind the state. Answer texts are computed from the request.

mod answer_stream;
mod batch;
mod cache;
mod http;
mod memory;
mod settings;
mod tasks;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use actix_web::web::ServiceConfig;
use eelgrasshill_domain::{AdapterName, RequestId};
use eelgrasshill_ports::{
    EngineReport, GenerateChunk, GenerateRequest, Order, OrderAnswer, ResidentModel, Usage,
};
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

pub use settings::{EngineCounts, EngineSettings, ModelCopy};

use crate::fault::Faults;
use crate::recorded::RecordedCalls;
use crate::server::Standin;
use crate::sync::lock;
use crate::text::AnswerText;
use batch::{Batch, EngineAnswer};
use cache::PrefixCache;
use memory::{CopyPhase, LoadTask, Memory};

/// Why an engine rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RejectReason {
    ModelNotResident,
    AdapterNotLoaded,
    Draining,
    QueueFull,
}

#[derive(Debug)]
struct State {
    memory: Memory,
    batch: Batch,
    cache: PrefixCache,
    counts: EngineCounts,
    published: EngineReport,
    published_at: Instant,
}

/// A stand-in for a model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: Arc<EngineSettings>,
    state: Arc<Mutex<State>>,
    request_added: Arc<Notify>,
    recorded: RecordedCalls,
    faults: Faults,
}

impl Engine {
    /// Creates an engine in which the models of the settings are resident.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        let memory = Memory::new(settings.memory_mb, &settings.resident);
        let counts = EngineCounts {
            peak_mb: memory.used_mb(),
            ..EngineCounts::default()
        };
        let published = EngineReport {
            host: settings.host.clone(),
            report_number: 0,
            fence: 0,
            resident: Vec::new(),
            loading: Vec::new(),
            unloading: Vec::new(),
            used_mb: 0,
            memory_mb: settings.memory_mb,
            slots: settings.slots,
            recent_orders: Vec::new(),
            age_ms: 0,
            software: String::new(),
        };
        let state = State {
            memory,
            batch: Batch::default(),
            cache: PrefixCache::new(settings.cache_blocks),
            counts,
            published,
            published_at: Instant::now(),
        };
        let engine = Self {
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
            request_added: Arc::new(Notify::new()),
            recorded: RecordedCalls::default(),
            faults: Faults::new(),
        };
        engine.publish();
        engine
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        lock(&self.state).counts
    }

    /// Returns the most recent requests that the engine received.
    #[must_use]
    pub fn recorded_calls(&self) -> &RecordedCalls {
        &self.recorded
    }

    /// Returns the last published report, with its current age.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        let state = lock(&self.state);
        let age = state.published_at.elapsed().as_millis();
        EngineReport {
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            ..state.published.clone()
        }
    }

    /// Publishes a report of the current state.
    pub fn publish(&self) {
        let mut state = lock(&self.state);
        let report = state.build_report(&self.settings);
        state.published = report;
        state.published_at = Instant::now();
    }

    fn take_order(&self, order: &Order) -> OrderAnswer {
        let (answer, load_task) = self.apply_order(order);
        if load_task != LoadTask::Nothing {
            self.spawn_load(load_task);
        }
        answer
    }

    fn apply_order(&self, order: &Order) -> (OrderAnswer, LoadTask) {
        let fencing = self.faults.get().fencing.unwrap_or(self.settings.fencing);
        let mut state = lock(&self.state);
        let State { memory, counts, .. } = &mut *state;
        let result = memory.take_order(order, fencing, counts);
        state.free_unloaded();
        result
    }

    /// Queues a request and returns the receiver of its answer's chunks.
    fn accept(
        &self,
        request: &GenerateRequest,
    ) -> Result<UnboundedReceiver<GenerateChunk>, RejectReason> {
        if self.faults.get().draining {
            return Err(RejectReason::Draining);
        }
        let mut state = lock(&self.state);
        let copy_serial = state.find_copy_serial(request)?;
        if state.batch.waiting.len() >= self.settings.queue {
            return Err(RejectReason::QueueFull);
        }
        let (prompt, cached) = state.cache.insert_prompt(request);
        state.counts.accepted += 1;
        state.counts.cached += cached;
        state.counts.computed += prompt - cached;
        let adapter = request.adapter.as_ref().map(AdapterName::as_str);
        let text = AnswerText::new(request.model.as_str(), adapter, &request.input);
        let natural_end = self
            .settings
            .max_natural_length
            .map(|max_length| text.natural_length(max_length));
        let ends_naturally = natural_end.is_some_and(|length| length < request.max_tokens);
        let end_index = natural_end.unwrap_or(u64::MAX).min(request.max_tokens);
        let (chunk_sender, receiver) = unbounded_channel();
        state.batch.push(EngineAnswer {
            id: request.id.clone(),
            class: request.class,
            copy_serial,
            text,
            next_index: request
                .resume
                .as_ref()
                .map_or(0, |resume| resume.next_index),
            end_index,
            finish_reason: if ends_naturally { "stop" } else { "length" },
            usage: Usage {
                prompt_tokens: prompt,
                cached_tokens: cached,
                completion_tokens: 0,
            },
            prefilled_at: Instant::now(),
            chunk_sender,
        });
        self.request_added.notify_one();
        Ok(receiver)
    }

    fn cancel(&self, id: &RequestId) {
        let mut state = lock(&self.state);
        let before = state.batch.running.len() + state.batch.waiting.len();
        state.batch.cancel(id);
        let after = state.batch.running.len() + state.batch.waiting.len();
        state.counts.cancelled += (before - after) as u64;
        state.free_unloaded();
    }

    /// Returns the next chunk of another running request.
    ///
    /// If no other request runs, returns the given chunk with an id that no request has.
    fn crossed_chunk(&self, id: &RequestId, own: GenerateChunk) -> GenerateChunk {
        let state = lock(&self.state);
        let other = state.batch.running.iter().find(|answer| answer.id != *id);
        if let Some(other) = other {
            return other.next_chunk();
        }
        let id = RequestId::new("crossed-answer").unwrap_or(own.id);
        GenerateChunk { id, ..own }
    }
}

impl State {
    /// Returns the serial number of a resident copy that can serve a request.
    ///
    /// Counts a miss if there is none.
    fn find_copy_serial(&mut self, request: &GenerateRequest) -> Result<u64, RejectReason> {
        let found = self.memory.resident(&request.model, &request.version);
        let Some(entry) = found else {
            self.counts.misses += 1;
            let unloading = self.memory.is_unloading(&request.model);
            return Err(if unloading {
                RejectReason::Draining
            } else {
                RejectReason::ModelNotResident
            });
        };
        let is_loaded = |name| entry.copy.adapters.contains(name);
        // A request without an adapter needs none to be loaded.
        if !request.adapter.as_ref().is_none_or(is_loaded) {
            self.counts.misses += 1;
            return Err(RejectReason::AdapterNotLoaded);
        }
        Ok(entry.serial)
    }

    /// Removes the copies being unloaded that no answer uses any more.
    fn free_unloaded(&mut self) {
        let batch = &self.batch;
        let before = self.memory.entries.len();
        self.memory.entries.retain(|entry| {
            entry.phase != CopyPhase::Unloading || batch.count_answers(entry.serial) != (0, 0)
        });
        self.counts.unloads += (before - self.memory.entries.len()) as u64;
    }

    fn build_report(&self, settings: &EngineSettings) -> EngineReport {
        let of_phase = |phase| {
            let entries = self.memory.entries.iter();
            entries.filter(move |entry| entry.phase == phase)
        };
        let resident = of_phase(CopyPhase::Resident).map(|entry| {
            let (running, waiting) = self.batch.count_answers(entry.serial);
            ResidentModel {
                model: entry.copy.model.clone(),
                version: entry.copy.version.clone(),
                adapters: entry.copy.adapters.clone(),
                running,
                waiting,
            }
        });
        let orders = self.memory.orders.iter();
        EngineReport {
            host: settings.host.clone(),
            report_number: self.published.report_number + 1,
            fence: self.memory.fence,
            resident: resident.collect(),
            loading: of_phase(CopyPhase::Loading)
                .map(memory::MemoryEntry::to_model_version)
                .collect(),
            unloading: of_phase(CopyPhase::Unloading)
                .map(memory::MemoryEntry::to_model_version)
                .collect(),
            used_mb: self.memory.used_mb(),
            memory_mb: settings.memory_mb,
            slots: settings.slots,
            recent_orders: orders.map(|(id, _answer)| id.clone()).collect(),
            age_ms: 0,
            software: String::new(),
        }
    }
}

impl Standin for Engine {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn listen(&self) -> SocketAddr {
        self.settings.listen
    }

    fn configure(&self, config: &mut ServiceConfig) {
        http::configure(self, config);
    }

    fn spawn_tasks(&self) {
        actix_web::rt::spawn(tasks::generate(self.clone()));
        actix_web::rt::spawn(tasks::publish(self.clone()));
    }
}
