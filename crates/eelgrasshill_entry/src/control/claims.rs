//! Claims idempotency keys in the log, as requester and as writer.
//!
//! A requester sends its record to a writer of the key's shard, which may be this
//! host. The writer appends batches to the shard's stream and replies with the verdict.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix::{ActorFutureExt, Addr, AsyncContext, Context, Handler, WrapFuture};
use eelgrasshill_control::{
    AppendError, CallAnswer, CallRequest, ClaimBatch, ClaimBounds, ClaimId, ClaimRecord,
    ClaimWriter, Delta, LogEntry, LogTime, Process, Requester, RequesterEffect, RunResult, Verdict,
    WRITERS_PER_ZONE, WriterEffect,
};
use eelgrasshill_domain::{AppendId, FastMap, Moment, Offset, RequestId, StreamName};
use eelgrasshill_peer::PeerClient;
use eelgrasshill_peer::generated as wire;
use eelgrasshill_ports::{self as platform, LogClient, NewRecord, Page};
use tokio::sync::{mpsc, oneshot};

use crate::control::exchange::open_peer_channel;
use crate::control::messages::{
    ClaimCommandReceived, ClaimSubmitted, ClaimsAppended, ClaimsPageRead, PendingSubmitReply,
    WriterReplied,
};
use crate::control::{Control, ServiceClients};
use crate::{BootClock, Shared};

/// Number of claim streams; the idempotency key selects one.
const SHARD_COUNT: u32 = 4;

/// Maximum number of appends per second by all writers of the fleet.
const MAX_APPENDS_PER_SECOND: u32 = 160;

/// Maximum time that a requester waits for a writer's reply.
///
/// Shorter than `ClaimBounds::resend_interval` (700 ms), after which the requester sends
/// the record to the next writer.
const WRITER_REPLY_TIMEOUT: Duration = Duration::from_millis(650);

/// Maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 1000;

/// The decision about a claim, sent to the traffic thread.
#[derive(Debug)]
pub enum ClaimDecision {
    /// The claim is acquired: send the call once if [`ClaimCommand::MaySend`] allows it.
    Run(ClaimId),
    /// The call must not be sent; this is its answer.
    Answer(CallAnswer),
}

/// A command from a traffic thread to the control thread.
#[derive(Debug)]
pub enum ClaimCommand {
    /// Claims the idempotency key of a call.
    Begin(CallRequest, oneshot::Sender<ClaimDecision>),
    /// Asks whether the claim still allows the call; sent right before its first byte.
    MaySend(ClaimId, oneshot::Sender<bool>),
    /// Reports the result of a call, which the control thread records in the log.
    Complete(ClaimId, RunResult),
}

/// A shard for which this host acts as writer.
#[derive(Debug)]
struct Shard {
    writer: ClaimWriter,
    /// The log time of the first record left in the stream, as last read; zero while
    /// none has expired.
    oldest: LogTime,
    /// The senders of the replies to requesters, by the claim that they wait for.
    waiters: FastMap<ClaimId, Vec<oneshot::Sender<wire::SubmitReply>>>,
}

/// The part of the control state that handles claims.
#[derive(Debug)]
pub(crate) struct Claims {
    requester: Requester,
    bounds: ClaimBounds,
    process: Process,
    shards: BTreeMap<u32, Shard>,
    /// Where to send the decision about each open request.
    decision_senders: FastMap<RequestId, oneshot::Sender<ClaimDecision>>,
}

impl Claims {
    pub(crate) fn new(shared: &Shared, process: Process) -> Self {
        let settings = &shared.settings;
        let zones = u32::try_from(settings.fleet_limits.zones.len()).unwrap_or(u32::MAX);
        let zone_writers = u32::try_from(WRITERS_PER_ZONE).unwrap_or(u32::MAX);
        let writer_count = SHARD_COUNT
            .saturating_mul(zone_writers)
            .saturating_mul(zones);
        let bounds = ClaimBounds::new(settings.log_retention)
            .with_rate(MAX_APPENDS_PER_SECOND, writer_count);
        let requester = Requester::new(settings.name.clone(), process, bounds.clone());
        Self {
            requester,
            bounds,
            process,
            shards: BTreeMap::new(),
            decision_senders: FastMap::default(),
        }
    }

    /// Returns whether all claims handled by this host are settled in the log.
    pub(crate) fn is_idle(&self) -> bool {
        self.requester.is_idle() && self.shards.values().all(|shard| shard.writer.is_idle())
    }

    /// Returns a shard, whose state is created on first use.
    fn shard(&mut self, shard_number: u32) -> Option<&mut Shard> {
        if !self.shards.contains_key(&shard_number) {
            let stream = StreamName::new(&format!("claims-{shard_number}")).ok()?;
            let writer = ClaimWriter::new(stream, self.process, self.bounds.clone());
            let oldest = LogTime::default();
            let shard = Shard {
                writer,
                oldest,
                waiters: FastMap::default(),
            };
            self.shards.insert(shard_number, shard);
        }
        self.shards.get_mut(&shard_number)
    }
}

impl<C: ServiceClients> Control<C> {
    /// Resends unanswered records and expires those past their time limit.
    pub(crate) fn tick_claims(&mut self, ctx: &mut Context<Self>, now: Moment) {
        let effects = self.claims.requester.tick(now);
        self.run_requester_effects(ctx, effects, now);
        self.shared.set_claims_idle(self.claims.is_idle());
        let shard_numbers: Vec<u32> = self.claims.shards.keys().copied().collect();
        for shard_number in shard_numbers {
            let Some(shard) = self.claims.shards.get_mut(&shard_number) else {
                continue;
            };
            shard.waiters.retain(|_id, waiters| {
                waiters.retain(|waiter| !waiter.is_closed());
                !waiters.is_empty()
            });
            let effects = shard.writer.tick(now);
            self.run_writer_effects(ctx, shard_number, effects);
        }
    }

    /// Decides the calls that wait for a process that has stopped.
    pub(crate) fn handle_stopped_process(
        &mut self,
        ctx: &mut Context<Self>,
        stopped: Process,
        now: Moment,
    ) {
        let effects = self.claims.requester.handle_stopped_process(stopped, now);
        self.run_requester_effects(ctx, effects, now);
    }

    /// Sends records to writers and decisions to the tasks of requests.
    fn run_requester_effects(
        &mut self,
        ctx: &mut Context<Self>,
        effects: Vec<RequesterEffect>,
        now: Moment,
    ) {
        for effect in effects {
            match effect {
                RequesterEffect::Submit { attempt, record } => {
                    self.submit(ctx, attempt, record, now);
                }
                RequesterEffect::Run { claim, request } => {
                    let sent = self.send_decision(&request, ClaimDecision::Run(claim));
                    if !sent {
                        let effects =
                            self.claims
                                .requester
                                .handle_run_result(claim, RunResult::NotSent, now);
                        self.run_requester_effects(ctx, effects, now);
                    }
                }
                RequesterEffect::Answer { request, answer } => {
                    // The request may have been cancelled.
                    let _sent = self.send_decision(&request, ClaimDecision::Answer(answer));
                }
            }
        }
    }

    /// Sends a decision to the request's task; returns false if the task is gone.
    fn send_decision(&mut self, request: &RequestId, decision: ClaimDecision) -> bool {
        let sender = self.claims.decision_senders.remove(request);
        sender.is_some_and(|sender| sender.send(decision).is_ok())
    }

    /// Sends a record to one of its shard's writers, which may be this host.
    fn submit(
        &mut self,
        ctx: &mut Context<Self>,
        attempt: usize,
        record: ClaimRecord,
        now: Moment,
    ) {
        let shard_number = record.key().shard(SHARD_COUNT);
        let writers = self.members.writers(shard_number, now);
        let id = record.id();
        // Each further attempt goes to the next writer; `max` avoids a division by zero.
        let chosen = writers.get(attempt % writers.len().max(1));
        // This host writes the record itself if it is the chosen writer, if the shard has no
        // writer, or if the writer's address is unknown.
        let remote_address = chosen
            .filter(|host| *host != self.members.host())
            .and_then(|host| self.members.get(host))
            .map(|member| member.address);
        let Some(address) = remote_address else {
            let (sender, receiver) = oneshot::channel();
            self.write_record(ctx, shard_number, record, sender, now);
            let addr = ctx.address();
            let wait = async move {
                if let Ok(Ok(reply)) = tokio::time::timeout(WRITER_REPLY_TIMEOUT, receiver).await {
                    addr.do_send(WriterReplied { id, reply });
                }
            };
            ctx.spawn(wait.into_actor(self).map(|(), _control, _ctx| ()));
            return;
        };
        let Ok(json) = serde_json::to_vec(&record) else {
            return;
        };
        let addr = ctx.address();
        let send = async move {
            let Some(channel) = open_peer_channel(address, WRITER_REPLY_TIMEOUT) else {
                return;
            };
            let request = wire::SubmitRequest {
                shard: shard_number,
                record: json,
            };
            match PeerClient::new(channel).submit(request).await {
                Ok(reply) => addr.do_send(WriterReplied {
                    id,
                    reply: reply.into_inner(),
                }),
                Err(error) => log::debug!(
                    "claims: submitting a record to {address} failed: {}",
                    error.code()
                ),
            }
        };
        ctx.spawn(send.into_actor(self).map(|(), _control, _ctx| ()));
    }

    /// Passes a record to this host's writer; `waiter` receives the reply.
    fn write_record(
        &mut self,
        ctx: &mut Context<Self>,
        shard_number: u32,
        record: ClaimRecord,
        waiter: oneshot::Sender<wire::SubmitReply>,
        now: Moment,
    ) {
        let id = record.id();
        let Some(shard) = self.claims.shard(shard_number) else {
            return;
        };
        let waiters = shard.waiters.entry(id).or_default();
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(waiter);
        let effects = shard.writer.submit(record, now);
        self.run_writer_effects(ctx, shard_number, effects);
    }

    /// Appends, reads and answers requesters for this host's writer of a shard.
    fn run_writer_effects(
        &mut self,
        ctx: &mut Context<Self>,
        shard_number: u32,
        effects: Vec<WriterEffect>,
    ) {
        for effect in effects {
            match effect {
                WriterEffect::Append { stream, id, batch } => {
                    self.append_batch(ctx, shard_number, stream, id, &batch);
                }
                WriterEffect::Read { stream, from } => {
                    self.read_claims(ctx, shard_number, stream, from);
                }
                WriterEffect::Decided(id, verdict) => {
                    let Ok(verdict) = serde_json::to_vec(&verdict) else {
                        continue;
                    };
                    let reply = wire::SubmitReply {
                        verdict,
                        recorded: false,
                    };
                    self.answer_waiters(shard_number, id, &reply);
                }
                WriterEffect::Recorded(id) => {
                    let reply = wire::SubmitReply {
                        verdict: Vec::new(),
                        recorded: true,
                    };
                    self.answer_waiters(shard_number, id, &reply);
                }
            }
        }
    }

    /// Sends a writer's reply to all requesters that wait for it.
    fn answer_waiters(&mut self, shard_number: u32, id: ClaimId, reply: &wire::SubmitReply) {
        let Some(shard) = self.claims.shards.get_mut(&shard_number) else {
            return;
        };
        for waiter in shard.waiters.remove(&id).unwrap_or_default() {
            // The requester may have stopped waiting; it sends its record again.
            let _gone = waiter.send(reply.clone());
        }
    }

    /// Appends a batch to a claims stream and reports the result to its writer.
    fn append_batch(
        &mut self,
        ctx: &mut Context<Self>,
        shard_number: u32,
        stream: StreamName,
        id: AppendId,
        batch: &ClaimBatch,
    ) {
        let Ok(body) = serde_json::to_value(batch) else {
            return;
        };
        let clients = Rc::clone(&self.clients);
        let addr = ctx.address();
        let append = async move {
            let new = NewRecord {
                id: id.clone(),
                body,
            };
            let result = match clients.log().append(&stream, vec![new]).await {
                // The log returns one offset for each appended record.
                Ok(offsets) => Ok(offsets.first().copied().unwrap_or_default()),
                Err(platform::AppendError::NotWritten(_)) => Err(AppendError::NotWritten),
                Err(platform::AppendError::MaybeWritten(error)) => {
                    log::warn!(
                        "claims: it is unknown whether append {id} is in stream {stream}: {error}"
                    );
                    Err(AppendError::Unknown)
                }
            };
            addr.do_send(ClaimsAppended {
                shard_number,
                id,
                result,
            });
        };
        ctx.spawn(append.into_actor(self).map(|(), _control, _ctx| ()));
    }

    /// Reads a page of a claims stream for its writer.
    fn read_claims(
        &mut self,
        ctx: &mut Context<Self>,
        shard_number: u32,
        stream: StreamName,
        from: Offset,
    ) {
        let clients = Rc::clone(&self.clients);
        let addr = ctx.address();
        let read = async move {
            let page = clients
                .log()
                .read(&stream, from, MAX_PAGE_RECORDS, Duration::ZERO)
                .await;
            // After a failed read the writer reads again.
            addr.do_send(ClaimsPageRead {
                shard_number,
                page: page.ok(),
            });
        };
        ctx.spawn(read.into_actor(self).map(|(), _control, _ctx| ()));
    }

    /// Passes a page of a claims stream to the shard's writer.
    fn fold_claims(&mut self, ctx: &mut Context<Self>, shard_number: u32, page: Page, now: Moment) {
        let Some(shard) = self.claims.shards.get_mut(&shard_number) else {
            return;
        };
        let is_end = page.reaches_end();
        // A stream that starts after offset 1 has lost records. Its first record, if the page
        // holds it, is the oldest one left.
        let oldest = page
            .records
            .first()
            .filter(|record| record.offset == page.first);
        if let Some(record) = oldest.filter(|_record| page.first > Offset(1)) {
            shard.oldest = LogTime(record.accepted_at_ms);
        }
        let from = page
            .records
            .first()
            .map_or(page.end, |record| record.offset);
        // The last offset that the page covers; without records, the one before its end.
        let to = Offset(
            page.records
                .last()
                .map_or(page.end.0, |last| last.offset.0 + 1)
                - 1,
        );
        let records = page
            .records
            .into_iter()
            .filter_map(parse_claim_entry)
            .collect();
        let delta = Delta { from, to, records };
        let effects = shard
            .writer
            .handle_page(page.first, shard.oldest, &delta, is_end, now);
        self.run_writer_effects(ctx, shard_number, effects);
    }
}

/// Forwards commands of the traffic threads until the actor stops.
pub(crate) async fn forward_claims<C: ServiceClients>(
    addr: Addr<Control<C>>,
    mut commands: mpsc::Receiver<ClaimCommand>,
) {
    while let Some(command) = commands.recv().await {
        if addr.send(ClaimCommandReceived(command)).await.is_err() {
            return;
        }
    }
}

fn parse_claim_entry(record: platform::StoredRecord) -> Option<LogEntry<ClaimBatch>> {
    let body = serde_json::from_value(record.body)
        .inspect_err(|error| {
            log::warn!(
                "claims: skipping the undecodable record at offset {}: {error}",
                record.offset
            );
        })
        .ok()?;
    Some(LogEntry {
        offset: record.offset,
        at: LogTime(record.accepted_at_ms),
        id: record.id,
        record: body,
    })
}

impl<C: ServiceClients> Handler<ClaimCommandReceived> for Control<C> {
    type Result = ();

    fn handle(
        &mut self,
        ClaimCommandReceived(command): ClaimCommandReceived,
        ctx: &mut Self::Context,
    ) {
        let now = BootClock.now();
        let effects = match command {
            ClaimCommand::Begin(call, sender) => {
                self.claims
                    .decision_senders
                    .insert(call.request.clone(), sender);
                self.claims.requester.begin(call, now)
            }
            ClaimCommand::MaySend(id, sender) => {
                // If the request was cancelled, no task receives this and the call is not sent.
                let _gone = sender.send(self.claims.requester.may_send(id, now));
                Vec::new()
            }
            ClaimCommand::Complete(id, result) => {
                self.claims.requester.handle_run_result(id, result, now)
            }
        };
        self.run_requester_effects(ctx, effects, now);
    }
}

impl<C: ServiceClients> Handler<ClaimSubmitted> for Control<C> {
    type Result = PendingSubmitReply;

    fn handle(&mut self, msg: ClaimSubmitted, ctx: &mut Self::Context) -> PendingSubmitReply {
        let (sender, receiver) = oneshot::channel();
        match serde_json::from_slice::<ClaimRecord>(&msg.0.record) {
            Ok(record) => self.write_record(ctx, msg.0.shard, record, sender, BootClock.now()),
            Err(error) => log::warn!("claims: cannot decode a peer's record: {error}"),
        }
        PendingSubmitReply(receiver)
    }
}

impl<C: ServiceClients> Handler<WriterReplied> for Control<C> {
    type Result = ();

    fn handle(&mut self, WriterReplied { id, reply }: WriterReplied, ctx: &mut Self::Context) {
        let now = BootClock.now();
        if reply.recorded {
            self.claims.requester.mark_recorded(id);
            return;
        }
        let Ok(verdict) = serde_json::from_slice::<Verdict>(&reply.verdict) else {
            // Counts as no reply, so that the record is sent again.
            return;
        };
        let members = &self.members;
        let is_stopped = |process| members.is_stopped(process);
        let effects = self
            .claims
            .requester
            .handle_verdict(id, &verdict, is_stopped, now);
        self.run_requester_effects(ctx, effects, now);
    }
}

impl<C: ServiceClients> Handler<ClaimsAppended> for Control<C> {
    type Result = ();

    fn handle(&mut self, msg: ClaimsAppended, ctx: &mut Self::Context) {
        let now = BootClock.now();
        let Some(shard) = self.claims.shards.get_mut(&msg.shard_number) else {
            return;
        };
        let effects = shard.writer.handle_answer(&msg.id, msg.result, now);
        self.run_writer_effects(ctx, msg.shard_number, effects);
    }
}

impl<C: ServiceClients> Handler<ClaimsPageRead> for Control<C> {
    type Result = ();

    fn handle(&mut self, msg: ClaimsPageRead, ctx: &mut Self::Context) {
        let now = BootClock.now();
        match msg.page {
            Some(page) => self.fold_claims(ctx, msg.shard_number, page, now),
            None => {
                if let Some(shard) = self.claims.shards.get_mut(&msg.shard_number) {
                    shard.writer.read_failed(now);
                }
            }
        }
    }
}
