//! Drives the claims of non-idempotent calls: as their requester and as a writer.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix::{ActorFutureExt, Addr, AsyncContext, Context, Handler, WrapFuture};
use eelgrasshill_control::{
    Answer, AppendError, Call, ClaimBatch, ClaimBounds, ClaimId, ClaimRecord, ClaimWriter, Delta,
    LogEntry, LogTime, Process, Requester, RequesterEffect, RunResult, Verdict, WRITERS_PER_ZONE,
    WriterEffect,
};
use eelgrasshill_domain::{AppendId, FastMap, Moment, Offset, RequestId, StreamName};
use eelgrasshill_peer::PeerClient;
use eelgrasshill_peer::generated as wire;
use eelgrasshill_ports::{self as platform, Log, NewRecord, Page};
use tokio::sync::{mpsc, oneshot};

use crate::control::exchange::channel;
use crate::control::messages::{
    ClaimsRead, ClaimsWritten, Command, Decided, Submitted, SubmittedReply,
};
use crate::control::{Control, Outside};
use crate::{BootClock, Shared};

/// Streams over which the claims are spread by their keys.
const SHARDS: u32 = 4;

/// Appends a second that the claims of the whole fleet may take.
const APPENDS: u32 = 160;

/// Longest wait of a requester for a writer's reply.
const REPLY: Duration = Duration::from_millis(650);

/// Most records of one read.
const PAGE: usize = 1000;

/// What a caller's thread is told of its claim.
#[derive(Debug)]
pub enum ClaimTurn {
    /// Send the call once, if [`ClaimCommand::MaySend`] still allows it.
    Run(ClaimId),
    /// Do not send it; this is the answer.
    Answer(Answer),
}

/// What a caller's thread asks of the control thread.
#[derive(Debug)]
pub enum ClaimCommand {
    /// Claim a call.
    Begin(Call, oneshot::Sender<ClaimTurn>),
    /// Ask right before the first byte leaves.
    MaySend(ClaimId, oneshot::Sender<bool>),
    /// The call ended.
    Ran(ClaimId, RunResult),
}

/// One shard that this host writes.
#[derive(Debug)]
struct Shard {
    writer: ClaimWriter,
    /// A time after which the log still holds every record.
    oldest: LogTime,
    waiters: FastMap<ClaimId, Vec<oneshot::Sender<wire::SubmitReply>>>,
}

/// The claims' part of a host's control state.
#[derive(Debug)]
pub(crate) struct Claims {
    requester: Requester,
    bounds: ClaimBounds,
    process: Process,
    shards: BTreeMap<u32, Shard>,
    callers: FastMap<RequestId, oneshot::Sender<ClaimTurn>>,
}

impl Claims {
    pub(crate) fn new(shared: &Shared, process: Process) -> Self {
        let settings = &shared.settings;
        let zones = u32::try_from(settings.fleet.zones.len()).unwrap_or(u32::MAX);
        let writers = u32::try_from(WRITERS_PER_ZONE).unwrap_or(u32::MAX);
        let all = SHARDS.saturating_mul(writers).saturating_mul(zones);
        let bounds = ClaimBounds::new(settings.retention).with_rate(APPENDS, all);
        let requester = Requester::new(settings.name.clone(), process, bounds.clone());
        Self {
            requester,
            bounds,
            process,
            shards: BTreeMap::new(),
            callers: FastMap::default(),
        }
    }

    /// Returns whether every claim of this host is settled in the log.
    pub(crate) fn is_idle(&self) -> bool {
        self.requester.is_idle() && self.shards.values().all(|shard| shard.writer.is_idle())
    }

    fn shard(&mut self, number: u32) -> Option<&mut Shard> {
        if !self.shards.contains_key(&number) {
            let stream = StreamName::new(&format!("claims-{number}")).ok()?;
            let writer = ClaimWriter::new(stream, self.process, self.bounds.clone());
            let oldest = LogTime::default();
            let shard = Shard {
                writer,
                oldest,
                waiters: FastMap::default(),
            };
            self.shards.insert(number, shard);
        }
        self.shards.get_mut(&number)
    }
}

impl<O: Outside> Control<O> {
    /// Repeats what went unanswered and gives up what took too long.
    pub(crate) fn tick_claims(&mut self, ctx: &mut Context<Self>, now: Moment) {
        let effects = self.claims.requester.tick(now);
        self.request(ctx, effects, now);
        self.shared.set_claims_idle(self.claims.is_idle());
        let numbers: Vec<u32> = self.claims.shards.keys().copied().collect();
        for number in numbers {
            let Some(shard) = self.claims.shards.get_mut(&number) else {
                continue;
            };
            shard.waiters.retain(|_id, waiters| {
                waiters.retain(|waiter| !waiter.is_closed());
                !waiters.is_empty()
            });
            let effects = shard.writer.tick(now);
            self.write(ctx, number, effects);
        }
    }

    /// Answers the calls that wait for a process that has stopped.
    pub(crate) fn note_stopped(&mut self, ctx: &mut Context<Self>, stopped: Process, now: Moment) {
        let effects = self.claims.requester.handle_stopped_process(stopped, now);
        self.request(ctx, effects, now);
    }

    fn request(&mut self, ctx: &mut Context<Self>, effects: Vec<RequesterEffect>, now: Moment) {
        for effect in effects {
            match effect {
                RequesterEffect::Submit { attempt, record } => {
                    self.submit(ctx, attempt, record, now);
                }
                RequesterEffect::Run { claim, request } => {
                    let told = self.turn(&request, ClaimTurn::Run(claim));
                    if !told {
                        let effects =
                            self.claims
                                .requester
                                .handle_run_result(claim, RunResult::NotSent, now);
                        self.request(ctx, effects, now);
                    }
                }
                RequesterEffect::Answer { request, answer } => {
                    // A caller that is gone needs no answer.
                    let _told = self.turn(&request, ClaimTurn::Answer(answer));
                }
            }
        }
    }

    fn turn(&mut self, request: &RequestId, turn: ClaimTurn) -> bool {
        let caller = self.claims.callers.remove(request);
        caller.is_some_and(|caller| caller.send(turn).is_ok())
    }

    /// Sends a record to a writer of its shard, which may be this host.
    fn submit(
        &mut self,
        ctx: &mut Context<Self>,
        attempt: usize,
        record: ClaimRecord,
        now: Moment,
    ) {
        let number = record.key().shard(SHARDS);
        let writers = self.members.writers(number, now);
        let id = record.id();
        let chosen = writers.get(attempt % writers.len().max(1));
        let remote = chosen
            .filter(|host| *host != self.members.host())
            .and_then(|host| self.members.get(host))
            .map(|member| member.address);
        let Some(address) = remote else {
            let (sender, receiver) = oneshot::channel();
            self.write_record(ctx, number, record, sender, now);
            let addr = ctx.address();
            let wait = async move {
                if let Ok(Ok(reply)) = tokio::time::timeout(REPLY, receiver).await {
                    addr.do_send(Decided { id, reply });
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
            let Some(open) = channel(address, REPLY) else {
                return;
            };
            let request = wire::SubmitRequest {
                shard: number,
                record: json,
            };
            match PeerClient::new(open).submit(request).await {
                Ok(reply) => addr.do_send(Decided {
                    id,
                    reply: reply.into_inner(),
                }),
                Err(error) => log::debug!("claims: {address}: {}", error.code()),
            }
        };
        ctx.spawn(send.into_actor(self).map(|(), _control, _ctx| ()));
    }

    fn write_record(
        &mut self,
        ctx: &mut Context<Self>,
        number: u32,
        record: ClaimRecord,
        waiter: oneshot::Sender<wire::SubmitReply>,
        now: Moment,
    ) {
        let id = record.id();
        let Some(shard) = self.claims.shard(number) else {
            return;
        };
        let waiters = shard.waiters.entry(id).or_default();
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(waiter);
        let effects = shard.writer.submit(record, now);
        self.write(ctx, number, effects);
    }

    fn write(&mut self, ctx: &mut Context<Self>, number: u32, effects: Vec<WriterEffect>) {
        for effect in effects {
            match effect {
                WriterEffect::Append { stream, id, batch } => {
                    self.append_batch(ctx, number, stream, id, &batch);
                }
                WriterEffect::Read { stream, from } => self.read_claims(ctx, number, stream, from),
                WriterEffect::Decided(id, verdict) => {
                    let Ok(verdict) = serde_json::to_vec(&verdict) else {
                        continue;
                    };
                    let reply = wire::SubmitReply {
                        verdict,
                        recorded: false,
                    };
                    self.answer_waiters(number, id, &reply);
                }
                WriterEffect::Recorded(id) => {
                    let reply = wire::SubmitReply {
                        verdict: Vec::new(),
                        recorded: true,
                    };
                    self.answer_waiters(number, id, &reply);
                }
            }
        }
    }

    fn answer_waiters(&mut self, number: u32, id: ClaimId, reply: &wire::SubmitReply) {
        let Some(shard) = self.claims.shards.get_mut(&number) else {
            return;
        };
        for waiter in shard.waiters.remove(&id).unwrap_or_default() {
            // A requester that gave up waiting asks again.
            let _gone = waiter.send(reply.clone());
        }
    }

    fn append_batch(
        &mut self,
        ctx: &mut Context<Self>,
        shard: u32,
        stream: StreamName,
        id: AppendId,
        batch: &ClaimBatch,
    ) {
        let Ok(body) = serde_json::to_value(batch) else {
            return;
        };
        let outside = Rc::clone(&self.outside);
        let addr = ctx.address();
        let append = async move {
            let new = NewRecord {
                id: id.clone(),
                body,
            };
            let answer = match outside.log().append(&stream, vec![new]).await {
                Ok(offsets) => Ok(offsets.first().copied().unwrap_or_default()),
                Err(platform::AppendError::NotWritten(_)) => Err(AppendError::Refused),
                Err(platform::AppendError::Unknown(error)) => {
                    log::warn!("claims: {error}");
                    Err(AppendError::Lost)
                }
            };
            addr.do_send(ClaimsWritten { shard, id, answer });
        };
        ctx.spawn(append.into_actor(self).map(|(), _control, _ctx| ()));
    }

    fn read_claims(
        &mut self,
        ctx: &mut Context<Self>,
        shard: u32,
        stream: StreamName,
        from: Offset,
    ) {
        let outside = Rc::clone(&self.outside);
        let addr = ctx.address();
        let read = async move {
            let page = outside
                .log()
                .read(&stream, from, PAGE, Duration::ZERO)
                .await;
            addr.do_send(ClaimsRead {
                shard,
                page: page.ok(),
            });
        };
        ctx.spawn(read.into_actor(self).map(|(), _control, _ctx| ()));
    }

    fn fold_claims(&mut self, ctx: &mut Context<Self>, number: u32, page: Page, now: Moment) {
        let Some(shard) = self.claims.shards.get_mut(&number) else {
            return;
        };
        let is_end = page.is_end();
        let oldest = page
            .records
            .first()
            .filter(|record| record.offset == page.first);
        if let Some(record) = oldest.filter(|_record| page.first > Offset(1)) {
            shard.oldest = LogTime(record.time);
        }
        let from = page
            .records
            .first()
            .map_or(page.end, |record| record.offset);
        let to = Offset(
            page.records
                .last()
                .map_or(page.end.0, |last| last.offset.0 + 1)
                - 1,
        );
        let records = page.records.into_iter().filter_map(stored).collect();
        let delta = Delta { from, to, records };
        let effects = shard
            .writer
            .handle_page(page.first, shard.oldest, &delta, is_end, now);
        self.write(ctx, number, effects);
    }
}

/// Passes the commands of traffic threads on until the actor is gone.
pub(crate) async fn forward_claims<O: Outside>(
    addr: Addr<Control<O>>,
    mut commands: mpsc::Receiver<ClaimCommand>,
) {
    while let Some(command) = commands.recv().await {
        if addr.send(Command(command)).await.is_err() {
            return;
        }
    }
}

fn stored(record: platform::StoredRecord) -> Option<LogEntry<ClaimBatch>> {
    let body = serde_json::from_value(record.body)
        .inspect_err(|error| log::warn!("claims: {} is skipped: {error}", record.offset))
        .ok()?;
    Some(LogEntry {
        offset: record.offset,
        at: LogTime(record.time),
        id: record.id,
        record: body,
    })
}

impl<O: Outside> Handler<Command> for Control<O> {
    type Result = ();

    fn handle(&mut self, Command(command): Command, ctx: &mut Self::Context) {
        let now = BootClock.now();
        let effects = match command {
            ClaimCommand::Begin(call, caller) => {
                self.claims.callers.insert(call.request.clone(), caller);
                self.claims.requester.begin(call, now)
            }
            ClaimCommand::MaySend(id, sender) => {
                // A caller that is gone sends nothing.
                let _gone = sender.send(self.claims.requester.may_send(id, now));
                Vec::new()
            }
            ClaimCommand::Ran(id, end) => self.claims.requester.handle_run_result(id, end, now),
        };
        self.request(ctx, effects, now);
    }
}

impl<O: Outside> Handler<Submitted> for Control<O> {
    type Result = SubmittedReply;

    fn handle(&mut self, msg: Submitted, ctx: &mut Self::Context) -> SubmittedReply {
        let (sender, receiver) = oneshot::channel();
        match serde_json::from_slice::<ClaimRecord>(&msg.0.record) {
            Ok(record) => self.write_record(ctx, msg.0.shard, record, sender, BootClock.now()),
            Err(error) => log::warn!("claims: a peer sent what cannot be read: {error}"),
        }
        SubmittedReply(receiver)
    }
}

impl<O: Outside> Handler<Decided> for Control<O> {
    type Result = ();

    fn handle(&mut self, Decided { id, reply }: Decided, ctx: &mut Self::Context) {
        let now = BootClock.now();
        if reply.recorded {
            self.claims.requester.mark_recorded(id);
            return;
        }
        let Ok(verdict) = serde_json::from_slice::<Verdict>(&reply.verdict) else {
            return;
        };
        let members = &self.members;
        let is_stopped = |process| members.is_stopped(process);
        let effects = self
            .claims
            .requester
            .handle_verdict(id, &verdict, is_stopped, now);
        self.request(ctx, effects, now);
    }
}

impl<O: Outside> Handler<ClaimsWritten> for Control<O> {
    type Result = ();

    fn handle(&mut self, msg: ClaimsWritten, ctx: &mut Self::Context) {
        let now = BootClock.now();
        let Some(shard) = self.claims.shards.get_mut(&msg.shard) else {
            return;
        };
        let effects = shard.writer.handle_answer(&msg.id, msg.answer, now);
        self.write(ctx, msg.shard, effects);
    }
}

impl<O: Outside> Handler<ClaimsRead> for Control<O> {
    type Result = ();

    fn handle(&mut self, msg: ClaimsRead, ctx: &mut Self::Context) {
        let now = BootClock.now();
        match msg.page {
            Some(page) => self.fold_claims(ctx, msg.shard, page, now),
            None => {
                if let Some(shard) = self.claims.shards.get_mut(&msg.shard) {
                    shard.writer.read_failed(now);
                }
            }
        }
    }
}
