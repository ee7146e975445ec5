//! Carries out the effects of requesters and writers.

use std::sync::Arc;

use eelgrasshill_control::{
    ClaimBatch, ClaimId, ClaimRecord, LogTime, RequesterEffect, WriterEffect,
};
use eelgrasshill_domain::AppendId;
use rand::RngExt;

use super::{Disabled, HOSTS, Message, Simulation, WRITER_HOSTS, process};
use crate::log::Delivery;

impl Simulation {
    pub(super) fn run_requester_effects(&mut self, host: usize, effects: Vec<RequesterEffect>) {
        let incarnation = self.simulated_hosts[host].members.process().incarnation;
        for effect in effects {
            match effect {
                RequesterEffect::Submit { record, .. }
                    if self.disabled == Disabled::Abort
                        && matches!(record, ClaimRecord::Abort { .. }) =>
                {
                    self.enqueue(0, host, Some(incarnation), Message::Recorded(record.id()));
                }
                RequesterEffect::Submit { attempt, record } => {
                    self.adopt_request(&record);
                    let to = (host + attempt) % WRITER_HOSTS;
                    self.send(host, to, None, Message::Submit(record));
                }
                RequesterEffect::Run { claim, request } => {
                    let delay = self.rng.random_range(1..60);
                    self.enqueue(
                        delay,
                        host,
                        Some(incarnation),
                        Message::SendCall(claim, request),
                    );
                }
                RequesterEffect::Answer { request, answer } => self.check_answer(request, answer),
            }
        }
    }

    /// Assigns a new claim to the open request of the same key and process.
    ///
    /// There is at most one such request that is neither answered nor run.
    fn adopt_request(&mut self, record: &ClaimRecord) {
        if self.claims.contains_key(&record.id()) {
            return;
        }
        let id = record.id();
        let open = self
            .claims
            .iter()
            .rev()
            .find(|(other, (key, request))| {
                other.process == id.process
                    && *key == record.key()
                    && self.answers[request].is_none()
                    && !self.run_requests.contains(request)
            })
            .map(|(_, claim)| claim.clone());
        self.claims.insert(id, open.unwrap());
    }

    pub(super) fn run_writer_effects(&mut self, host: usize, effects: Vec<WriterEffect>) {
        let incarnation = self.simulated_hosts[host].members.process().incarnation;
        for effect in effects {
            match effect {
                WriterEffect::Append { id, batch, .. } => self.append(host, &id, &batch),
                WriterEffect::Read { from, .. } => {
                    let is_lost = self.is_faulty && self.rng.random_bool(0.05);
                    let oldest = self
                        .now_ms
                        .saturating_sub(self.retention.as_millis() as u64);
                    let is_cut = self.simulated_hosts[host].cut_until_ms > self.now_ms;
                    let page = self
                        .log
                        .read(from, 8)
                        .filter(|_| !is_lost && !is_cut)
                        .map(|(first, page, is_end)| (first, LogTime(oldest), page, is_end));
                    let delay = self.rng.random_range(1..20);
                    self.enqueue(delay, host, Some(incarnation), Message::Page(page));
                }
                WriterEffect::Decided(id, verdict) => {
                    self.reply(host, id, Message::Decided(id, verdict));
                }
                WriterEffect::Recorded(id) => self.reply(host, id, Message::Recorded(id)),
            }
        }
    }

    fn append(&mut self, host: usize, id: &AppendId, batch: &Arc<ClaimBatch>) {
        let incarnation = self.simulated_hosts[host].members.process().incarnation;
        let delivery = match self.rng.random_range(0..100) {
            _ if self.simulated_hosts[host].cut_until_ms > self.now_ms => Delivery::NeverArrived,
            _ if !self.is_faulty => Delivery::Normal,
            0..8 => Delivery::AnswerLost,
            8..14 => Delivery::NeverArrived,
            14..22 => Delivery::Late(self.rng.random_range(0..8000)),
            22..28 => Delivery::Twice(self.rng.random_range(0..8000)),
            _ => Delivery::Normal,
        };
        let answer = self
            .log
            .append(id, (**batch).clone(), delivery, self.now_ms);
        let delay = self.rng.random_range(1..30);
        self.enqueue(
            delay,
            host,
            Some(incarnation),
            Message::Appended(id.clone(), answer),
        );
    }

    fn reply(&mut self, host: usize, id: ClaimId, message: Message) {
        let to = (0..HOSTS)
            .find(|to| process(*to, 1).address == id.process.address)
            .unwrap();
        self.send(host, to, Some(id.process.incarnation), message);
    }
}
