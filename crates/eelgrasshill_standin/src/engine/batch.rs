//! Continuous batching of the stand-in engine.
//!
//! Decides which requests run, by class and then by arrival, as far as there are
//! free slots. Each step generates one token for every running answer.

use std::collections::BTreeMap;
use std::time::Instant;

use eelgrasshill_domain::{Class, RequestId};
use eelgrasshill_ports::{GenerateChunk, Usage};
use tokio::sync::mpsc::UnboundedSender;

use super::settings::{EngineCounts, EngineSettings};
use crate::text::AnswerText;

/// An answer that is running or waiting for a slot.
#[derive(Clone, Debug)]
pub(super) struct EngineAnswer {
    pub(super) id: RequestId,
    pub(super) class: Class,
    /// Serial number of the model copy that generates it.
    pub(super) copy_serial: u64,
    pub(super) text: AnswerText,
    /// Index of the next token to generate.
    pub(super) next_index: u64,
    /// Index of the token at which the answer ends.
    pub(super) end_index: u64,
    pub(super) finish_reason: &'static str,
    pub(super) usage: Usage,
    /// Time from which tokens are generated.
    pub(super) prefilled_at: Instant,
    pub(super) chunk_sender: UnboundedSender<GenerateChunk>,
}

impl EngineAnswer {
    pub(super) fn next_chunk(&self) -> GenerateChunk {
        GenerateChunk {
            id: self.id.clone(),
            index: self.next_index,
            text: self.text.token(self.next_index),
            finish_reason: None,
            usage: None,
        }
    }

    fn final_chunk(&self) -> GenerateChunk {
        GenerateChunk {
            id: self.id.clone(),
            index: self.end_index,
            text: String::new(),
            finish_reason: Some(self.finish_reason.to_owned()),
            usage: Some(Usage {
                completion_tokens: self.end_index,
                ..self.usage
            }),
        }
    }

    fn send(&self, chunk: GenerateChunk) {
        if self.chunk_sender.send(chunk).is_err() {
            log::debug!("standin engine: client of request {} disconnected", self.id);
        }
    }
}

/// The running and waiting answers of an engine.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) running: Vec<EngineAnswer>,
    pub(super) waiting: BTreeMap<(Class, u64), EngineAnswer>,
    last_arrival_number: u64,
}

impl Batch {
    pub(super) fn push(&mut self, answer: EngineAnswer) {
        self.last_arrival_number += 1;
        self.waiting
            .insert((answer.class, self.last_arrival_number), answer);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the numbers of running and of waiting answers of a model copy.
    pub(super) fn count_answers(&self, copy_serial: u64) -> (u32, u32) {
        let running = self
            .running
            .iter()
            .filter(|answer| answer.copy_serial == copy_serial);
        let waiting = self
            .waiting
            .values()
            .filter(|answer| answer.copy_serial == copy_serial);
        let to_u32 = |number| u32::try_from(number).unwrap_or(u32::MAX);
        (to_u32(running.count()), to_u32(waiting.count()))
    }

    pub(super) fn cancel(&mut self, id: &RequestId) {
        self.running.retain(|answer| answer.id != *id);
        self.waiting.retain(|_key, answer| answer.id != *id);
    }

    /// Removes answers whose client has disconnected and returns their number.
    pub(super) fn remove_disconnected(&mut self) -> u64 {
        let before = self.running.len() + self.waiting.len();
        self.running
            .retain(|answer| !answer.chunk_sender.is_closed());
        self.waiting
            .retain(|_key, answer| !answer.chunk_sender.is_closed());
        (before - self.running.len() - self.waiting.len()) as u64
    }

    /// Fills free slots with waiting answers, by class and then by arrival.
    pub(super) fn admit(&mut self, now: Instant, settings: &EngineSettings) {
        while self.running.len() < settings.slots as usize {
            let Some((_key, mut answer)) = self.waiting.pop_first() else {
                return;
            };
            let uncached = answer
                .usage
                .prompt_tokens
                .saturating_sub(answer.usage.cached_tokens);
            let uncached_tokens = u32::try_from(uncached).unwrap_or(u32::MAX);
            answer.prefilled_at = now
                + settings
                    .divide_by_speed(settings.prefill_per_token.saturating_mul(uncached_tokens));
            self.running.push(answer);
        }
    }

    /// Sends the next token of each prefilled answer, and removes and counts complete answers.
    pub(super) fn generate_tokens(&mut self, now: Instant, counts: &mut EngineCounts) {
        for answer in &mut self.running {
            if answer.prefilled_at > now || answer.next_index >= answer.end_index {
                continue;
            }
            answer.send(answer.next_chunk());
            answer.next_index += 1;
            counts.tokens += 1;
        }
        counts.max_running = counts.max_running.max(self.running.len() as u64);
        let before = self.running.len();
        self.running.retain(|answer| {
            let complete = answer.prefilled_at <= now && answer.next_index >= answer.end_index;
            if complete {
                answer.send(answer.final_chunk());
            }
            !complete
        });
        counts.finished += (before - self.running.len()) as u64;
    }
}
