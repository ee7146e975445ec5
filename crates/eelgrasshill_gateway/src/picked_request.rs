//! Asks the picker for the engine of a prompt, and waits or refuses as it decides.
//!
//! The picker is one host for all, so that prompts of different hosts do not collide at an engine.
//! Without its answer, this host chooses by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::HostName;
use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::{
    Candidate, OrganisationHash, Pick, PromptQuery, RequestIdentity, RequestOutcome, Ticket,
    Upstream, UpstreamQuery, caller_patience,
};

use crate::codec::PlatformCodec;
use crate::pick_socket::{HostQuery, PickAnswer, PickProgress, answer_query};
use crate::refusal::{Refusal, RefusalCause};
use crate::relayed::{MIN_RETRY_AFTER, RelayedRequest};
use crate::shared::Shared;
use crate::telemetry;

/// Shortest retry time of a request that the picker rejects; it knows when a place becomes free.
const MIN_REJECT_RETRY: Duration = Duration::from_millis(100);

/// How often late work that waits asks again without an answer before its host sends it.
///
/// Two queries without an answer lead to the next picker. If all that wait were sent at the first
/// one, they would fill the engines at once.
const MAX_SILENT_QUERIES: u32 = 4;

/// Longest pause before late work asks again after a query without an answer; a random part of it
/// passes.
const SILENT_PAUSE: Duration = Duration::from_millis(250);

/// Guard that tells the picker when the request's answer starts and when it ends.
#[derive(Debug)]
pub struct PickGuard<C: PlatformCodec> {
    shared: Arc<Shared<C>>,
    host: HostName,
    // Address of the picker; none if it is this host.
    picker: Option<SocketAddr>,
    ticket: Ticket,
    outcome: Option<RequestOutcome>,
}

impl<C: PlatformCodec> PickGuard<C> {
    /// Tells the picker that the answer started, `elapsed` after the request was sent.
    pub(crate) fn note_answer(&self, elapsed: Duration) {
        self.note(PickProgress::Answering { elapsed });
    }

    /// Sets the outcome that the picker learns when the request ends.
    pub(crate) fn set_outcome(&mut self, outcome: RequestOutcome) {
        // This host records the outcomes of its own requests anyway.
        if self.picker.is_some() {
            self.outcome = Some(outcome);
        }
    }

    fn note(&self, progress: PickProgress) {
        match self.picker {
            None => self
                .shared
                .state()
                .note_pick(self.ticket, progress, BootClock.now()),
            Some(picker) => {
                if let Some(picks) = self.shared.picks() {
                    picks.note(picker, self.ticket, progress);
                }
            }
        }
    }
}

impl<C: PlatformCodec> Drop for PickGuard<C> {
    fn drop(&mut self) {
        let outcome = self.outcome;
        self.note(PickProgress::Ended { outcome });
    }
}

/// The engine for an attempt, with the guard of its place if the picker chose it.
pub(crate) struct Picked<C: PlatformCodec> {
    pub(crate) candidate: Candidate,
    pub(crate) guard: Option<PickGuard<C>>,
}

impl<C: PlatformCodec> RelayedRequest<C> {
    /// Returns the engine for the next attempt, after a wait if all are full of prompts.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no engine can start the request in time, or may go on with its stream.
    pub(crate) async fn pick(&mut self) -> Result<Picked<C>, Refusal> {
        self.limit_software().await?;
        let ticket = Ticket(rand::random());
        let mut guard = None;
        let mut has_waited = false;
        let mut silent_queries = 0;
        loop {
            let candidate = self.select()?;
            let Some(query) = self.host_query(ticket, &candidate.upstream.id) else {
                return Ok(Picked {
                    candidate: self.check_wait(candidate)?,
                    guard: None,
                });
            };
            let Some((answer, new_guard)) = ask(&self.shared, &query, guard.take()).await else {
                silent_queries += 1;
                let is_late = has_waited && query.prompt.is_late();
                if is_late && silent_queries < MAX_SILENT_QUERIES && !self.time_left().is_zero() {
                    tokio::time::sleep(SILENT_PAUSE.mul_f64(rand::random())).await;
                    continue;
                }
                return Ok(Picked {
                    candidate: self.check_wait(candidate)?,
                    guard: None,
                });
            };
            match answer {
                Some(Pick::Send { engine, wait }) => {
                    if let Some(upstream) = self.usable(&engine) {
                        telemetry::count_pick("sent");
                        if query.prompt.is_late() {
                            telemetry::count_pick("late");
                            log::info!(
                                "request: id={} picker={} elapsed={:?} objective={:?} \
                                 patience={:?}: starts late at {engine}",
                                self.metadata.id,
                                new_guard.host,
                                query.prompt.elapsed,
                                query.prompt.objective,
                                query.prompt.patience
                            );
                        }
                        return Ok(Picked {
                            candidate: Candidate::picked(upstream, wait),
                            guard: Some(new_guard),
                        });
                    }
                    telemetry::count_pick("unusable");
                    return Ok(Picked {
                        candidate: self.check_wait(candidate)?,
                        guard: None,
                    });
                }
                Some(Pick::Wait { after }) => {
                    telemetry::count_pick("waited");
                    if !has_waited {
                        log::info!(
                            "request: id={} picker={} elapsed={:?} objective={:?} patience={:?} \
                             waits {after:?} for room at an engine",
                            self.metadata.id,
                            new_guard.host,
                            query.prompt.elapsed,
                            query.prompt.objective,
                            query.prompt.patience
                        );
                        has_waited = true;
                    }
                    guard = Some(new_guard);
                    tokio::time::sleep(after.min(self.time_left())).await;
                }
                Some(Pick::Reject { after }) => {
                    telemetry::count_pick("rejected");
                    return Err(self.reject(&query, &new_guard.host, Some(after)));
                }
                Some(Pick::Decline) => {
                    telemetry::count_pick("declined");
                    return Err(self.reject(&query, &new_guard.host, None));
                }
                None => {
                    telemetry::count_pick("none");
                    return Ok(Picked {
                        candidate: self.check_wait(candidate)?,
                        guard: None,
                    });
                }
            }
            if self.time_left().is_zero() {
                return Err(Refusal::new(RefusalCause::Overloaded).with_retry(MIN_RETRY_AFTER));
            }
        }
    }

    /// Returns the refusal of a request that the picker rejects.
    ///
    /// `after` is the time after which an engine could start it; none if no retry is worth it.
    fn reject(&self, query: &HostQuery, picker: &HostName, after: Option<Duration>) -> Refusal {
        log::info!(
            "request: id={} picker={picker} elapsed={:?} objective={:?} patience={:?}: \
             engines are full of prompts for {after:?} too long",
            self.metadata.id,
            query.prompt.elapsed,
            query.prompt.objective,
            query.prompt.patience
        );
        let refusal = Refusal::new(RefusalCause::Overloaded);
        after.map_or(refusal, |after| {
            refusal.with_retry(after.max(MIN_REJECT_RETRY))
        })
    }

    /// Returns what the picker must know; none if the request has no prompt.
    fn host_query(&self, ticket: Ticket, holder: &HostName) -> Option<HostQuery> {
        let model = self.metadata.model.as_ref()?;
        if !self.route.repeat.is_stream() {
            return None;
        }
        let now = BootClock.now();
        let state = self.shared.state();
        let query = self.upstream_query();
        Some(HostQuery {
            prompt: PromptQuery {
                ticket,
                pool: self.target_pool.clone(),
                model: model.clone(),
                rank: self.rank(),
                tokens: self.metadata.prompt_tokens,
                objective: self.route.objective,
                elapsed: now.since(self.arrived_at),
                max_interruption: self
                    .route
                    .max_pause
                    .unwrap_or(self.route.objective)
                    .saturating_sub(state.event_intervals.usual(&self.target_pool)),
                remaining: self.time_left(),
                patience: if self.shared.bounds().late_queue > 0 {
                    caller_patience(self.route.objective, self.route.max_pause)
                } else {
                    Duration::ZERO
                },
                identity: self.identity(),
                organisation: self
                    .organisation
                    .as_ref()
                    .map(|row| OrganisationHash::new(row.name.as_str())),
                output_tokens: self.metadata.output_tokens,
            },
            adapter: self.metadata.adapter.clone(),
            software: self.software.version.clone(),
            zone: self.shared.settings.zone.clone(),
            excluded: state.excluded(&query, now),
            holder: holder.clone(),
        })
    }

    /// Returns what this request has in common with its retry.
    fn identity(&self) -> Option<RequestIdentity> {
        if self.shared.bounds().late_queue == 0 {
            return None;
        }
        let whole = self.suspects.iter().find(|part| part.is_whole())?;
        let organisation = self.organisation.as_ref().map(|row| row.name.as_str());
        Some(RequestIdentity::new(*whole, organisation))
    }

    pub(crate) fn upstream_query(&self) -> UpstreamQuery<'_> {
        UpstreamQuery {
            pool: &self.target_pool,
            model: self.metadata.model.as_ref(),
            adapter: self.metadata.adapter.as_ref(),
            rank: self.rank(),
            tried: &self.tried,
            homes: self.homes(),
            software: self.software.version.as_ref(),
        }
    }

    /// Returns a picked engine if this host may send the request to it.
    fn usable(&self, engine: &HostName) -> Option<Arc<Upstream>> {
        let now = BootClock.now();
        let state = self.shared.state();
        state.usable(&self.upstream_query(), engine, now)
    }
}

/// Asks the picker; returns none if no picker answers.
///
/// `earlier` is the guard of the place that was kept by an earlier answer.
async fn ask<C: PlatformCodec>(
    shared: &Arc<Shared<C>>,
    query: &HostQuery,
    earlier: Option<PickGuard<C>>,
) -> Option<(Option<Pick>, PickGuard<C>)> {
    let now = BootClock.now();
    let picker = shared.state().picker_host(now)?;
    let is_self = picker.host == shared.settings.name;
    let address = (!is_self).then_some(picker.address);
    let guard = match earlier {
        Some(guard) if guard.picker == address => guard,
        // Another picker kept the place, which the earlier guard releases.
        Some(_) | None => PickGuard {
            shared: Arc::clone(shared),
            host: picker.host.clone(),
            picker: address,
            ticket: query.prompt.ticket,
            outcome: None,
        },
    };
    let answer = match address {
        None => Some(answer_query(shared, query)),
        Some(address) => shared.picks()?.ask(address, query).await,
    };
    match answer {
        Some(PickAnswer::Decided(pick)) => {
            shared.state().note_picker_answer();
            Some((pick, guard))
        }
        Some(PickAnswer::Away) => {
            telemetry::count_pick("away");
            shared.state().avoid_picker(&picker.host, BootClock.now());
            None
        }
        None => {
            telemetry::count_pick("unanswered");
            shared
                .state()
                .note_picker_failure(&picker.host, now, BootClock.now());
            None
        }
    }
}
