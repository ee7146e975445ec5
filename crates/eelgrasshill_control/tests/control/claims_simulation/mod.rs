//! Simulates hosts that claim calls over one log, observed by an oracle.

mod effects;
mod faults;
mod oracle;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use eelgrasshill_control::{
    AppendError, Body, CallAnswer, CallDigest, CallKey, CallOutcome, CallRequest, ClaimBatch,
    ClaimBounds, ClaimId, ClaimRecord, ClaimWriter, Delta, Heartbeat, LogTime, Members, Process,
    Requester, RequesterEffect, RunResult, Verdict, WriterEffect,
};
use eelgrasshill_domain::{AppendId, HostName, Incarnation, Moment, Offset, RequestId};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::log::SimulatedLog;

pub(crate) const HOSTS: usize = 4;

/// Hosts 0 to 2 are the writers of the only shard; host 3 only requests calls.
pub(crate) const WRITER_HOSTS: usize = 3;

const TICK_MS: u64 = 20;

/// How often a faulty link loses, delays or repeats a message.
const LOSS_PROBABILITY: f64 = 0.1;
const DELAY_PROBABILITY: f64 = 0.05;
const REPEAT_PROBABILITY: f64 = 0.05;

/// The limits of an additional delay, and of the time until a message is repeated.
const SLOW_DELAY_MS: u64 = 4000;
const REPEAT_DELAY_MS: u64 = 6000;

/// How often a call does not reach the upstream, or its result is lost, in a faulty run.
const NOT_SENT_PROBABILITY: f64 = 0.1;
const LOST_RESULT_PROBABILITY: f64 = 0.15;

pub(crate) use oracle::Violation;

/// The mechanism that a run disables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disabled {
    Nothing,
    /// Writers report a win as soon as a claim is queued.
    ReadBack,
    /// Aborts are confirmed but not appended.
    Abort,
    /// Hosts run a call that wins after they answered "not run".
    GiveUp,
    /// Hosts send a call without checking that it may still be sent.
    SendCheck,
    /// The log expires records after an eighth of the configured retention.
    Retention,
}

/// A step at which a fault can be planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Host 0 receives the claim as its writer.
    Claim,
    /// Host 0 gets the log's answer to an append.
    Append,
    /// Host 0 reads a page of the log with records.
    ReadBack,
    /// Host 3 learns the verdict on its claim.
    Decide,
    /// Host 3 sends the call.
    Run,
    /// Host 0 receives the outcome as its writer.
    Record,
    /// Host 1 receives a claim, as the writer of a repeat with the same key.
    Repeat,
}

/// A fault of the host that receives a message, or of the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Crash,
    Pause,
    Lost,
    Late,
    Repeated,
    /// The log is unavailable.
    Outage,
    /// The host is paused for one and a half times the retention.
    Expiry,
    /// The links of the host are cut for a while.
    Cut,
}

#[derive(Clone, Debug)]
enum Message {
    Begin(CallRequest),
    Submit(ClaimRecord),
    Decided(ClaimId, Verdict),
    Recorded(ClaimId),
    Appended(AppendId, Result<Offset, AppendError>),
    Page(Option<(Offset, LogTime, Delta<ClaimBatch>, bool)>),
    SendCall(ClaimId, RequestId),
    RunResult(ClaimId, RunResult),
    Heartbeat(Heartbeat),
}

#[derive(Clone, Debug)]
struct Envelope {
    to: usize,
    /// The process that may receive the message; `None` for any process of the host.
    recipient: Option<Incarnation>,
    message: Message,
}

struct SimulatedHost {
    members: Members,
    requester: Requester,
    writer: ClaimWriter,
    is_up: bool,
    paused_until_ms: u64,
    cut_until_ms: u64,
}

pub(crate) struct Simulation {
    pub(crate) rng: StdRng,
    pub(crate) now_ms: u64,
    pub(crate) log: SimulatedLog<ClaimBatch>,
    pub(crate) violations: Vec<Violation>,
    pub(crate) answers: BTreeMap<RequestId, Option<CallAnswer>>,
    /// Time in ms and claim of each run of a key's call.
    pub(crate) runs: BTreeMap<CallKey, Vec<(u64, ClaimId)>>,
    pub(crate) is_faulty: bool,
    pub(crate) planned_fault: Option<(Step, Fault)>,
    pub(crate) is_fault_injected: bool,
    retention: Duration,
    disabled: Disabled,
    simulated_hosts: Vec<SimulatedHost>,
    /// Messages by due time in ms and sequence number.
    pending_messages: BTreeMap<(u64, u64), Envelope>,
    seq: u64,
    /// Requests whose host was down or crashed, so that they get no answer.
    unanswerable_requests: BTreeSet<RequestId>,
    run_requests: BTreeSet<RequestId>,
    claims: BTreeMap<ClaimId, (CallKey, RequestId)>,
    /// The outcomes that upstreams returned for each key.
    upstream_outcomes: BTreeMap<CallKey, Vec<CallOutcome>>,
    request_keys: BTreeMap<RequestId, CallKey>,
    bodies: BTreeMap<CallKey, BTreeSet<u8>>,
}

fn process(host: usize, incarnation: u64) -> Process {
    Process {
        address: format!("10.0.0.{host}:7000").parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn host_name(host: usize) -> HostName {
    HostName::new(&format!("entry-{host}")).unwrap()
}

fn outcome_of(id: ClaimId) -> CallOutcome {
    CallOutcome::Answered {
        status: 201,
        media_type: "text/plain".to_owned(),
        body: Body::new(format!("{id:?}").as_bytes()),
    }
}

pub(crate) fn key(number: usize) -> CallKey {
    CallKey::new(None, &format!("key-{number}"))
}

impl SimulatedHost {
    fn new(host: usize, incarnation: u64, bounds: &ClaimBounds) -> Self {
        let process = process(host, incarnation);
        let name = host_name(host);
        Self {
            members: Members::new(name.clone(), "zone-a".parse().unwrap(), process),
            requester: Requester::new(name, process, bounds.clone()),
            writer: ClaimWriter::new("claims-0".parse().unwrap(), process, bounds.clone()),
            is_up: true,
            paused_until_ms: 0,
            cut_until_ms: 0,
        }
    }
}

impl Simulation {
    pub(crate) fn new(seed: u64, retention: Duration, disabled: Disabled) -> Self {
        let bounds = Self::bounds(retention);
        Self {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            log: SimulatedLog::new(),
            violations: Vec::new(),
            answers: BTreeMap::new(),
            runs: BTreeMap::new(),
            is_faulty: false,
            planned_fault: None,
            is_fault_injected: false,
            retention,
            disabled,
            simulated_hosts: (0..HOSTS)
                .map(|host| SimulatedHost::new(host, 1, &bounds))
                .collect(),
            pending_messages: BTreeMap::new(),
            seq: 0,
            unanswerable_requests: BTreeSet::new(),
            run_requests: BTreeSet::new(),
            claims: BTreeMap::new(),
            upstream_outcomes: BTreeMap::new(),
            request_keys: BTreeMap::new(),
            bodies: BTreeMap::new(),
        }
    }

    pub(crate) fn bounds(retention: Duration) -> ClaimBounds {
        let mut bounds = ClaimBounds::new(retention);
        bounds.append_interval = Duration::from_millis(20);
        bounds
    }

    fn enqueue(&mut self, delay: u64, to: usize, recipient: Option<Incarnation>, message: Message) {
        self.seq += 1;
        let envelope = Envelope {
            to,
            recipient,
            message,
        };
        self.pending_messages
            .insert((self.now_ms + delay, self.seq), envelope);
    }

    /// Sends a message over a link that may lose, delay or repeat it.
    fn send(&mut self, from: usize, to: usize, recipient: Option<Incarnation>, message: Message) {
        let is_cut = self.simulated_hosts[from].cut_until_ms > self.now_ms
            || self.simulated_hosts[to].cut_until_ms > self.now_ms;
        if from != to && (is_cut || (self.is_faulty && self.rng.random_bool(LOSS_PROBABILITY))) {
            return;
        }
        let mut delay = self.rng.random_range(1..5);
        if self.is_faulty && self.rng.random_bool(DELAY_PROBABILITY) {
            delay += self.rng.random_range(0..SLOW_DELAY_MS);
        }
        if self.is_faulty && self.rng.random_bool(REPEAT_PROBABILITY) {
            let again = delay + self.rng.random_range(0..REPEAT_DELAY_MS);
            self.enqueue(again, to, recipient, message.clone());
        }
        self.enqueue(delay, to, recipient, message);
    }

    pub(crate) fn begin(&mut self, host: usize, request: &str, key: CallKey, body: u8) {
        let request = RequestId::new(request).unwrap();
        self.answers.insert(request.clone(), None);
        self.request_keys.insert(request.clone(), key);
        self.bodies.entry(key).or_default().insert(body);
        let digest = CallDigest::new(&[&[body]]);
        let call = CallRequest {
            request,
            key,
            organisation: None,
            digest,
        };
        self.enqueue(0, host, None, Message::Begin(call));
    }

    pub(crate) fn has_run(&self, request: &str) -> bool {
        self.run_requests.iter().any(|id| id.as_str() == request)
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            let retention = match self.disabled {
                Disabled::Retention => self.retention / 8,
                _ => self.retention,
            };
            self.log.tick(self.now_ms, retention);
            while let Some(envelope) = self.next_due() {
                self.deliver(envelope);
            }
            for host in 0..HOSTS {
                self.tick(host);
            }
        }
    }

    fn next_due(&mut self) -> Option<Envelope> {
        let (&(at, seq), _) = self.pending_messages.first_key_value()?;
        (at <= self.now_ms).then(|| self.pending_messages.remove(&(at, seq)).unwrap())
    }

    fn tick(&mut self, host: usize) {
        let now = Moment(self.now_ms);
        let simulated_host = &mut self.simulated_hosts[host];
        if !simulated_host.is_up || simulated_host.paused_until_ms > self.now_ms {
            return;
        }
        let requester_effects = simulated_host.requester.tick(now);
        let writer_effects = simulated_host.writer.tick(now);
        self.run_requester_effects(host, requester_effects);
        self.run_writer_effects(host, writer_effects);
    }

    fn deliver(&mut self, envelope: Envelope) {
        let host = envelope.to;
        let simulated_host = &self.simulated_hosts[host];
        let incarnation = simulated_host.members.process().incarnation;
        if envelope
            .recipient
            .is_some_and(|recipient| recipient != incarnation)
            || !simulated_host.is_up
        {
            if let Message::Begin(call) = envelope.message {
                self.unanswerable_requests.insert(call.request);
            }
            return;
        }
        if simulated_host.paused_until_ms > self.now_ms {
            let delay = simulated_host.paused_until_ms - self.now_ms;
            self.enqueue(delay, host, envelope.recipient, envelope.message);
            return;
        }
        if let Some(fault) = self.take_planned_fault(host, &envelope.message) {
            self.inject(host, fault, envelope);
            return;
        }
        self.handle(host, envelope.message);
    }

    fn handle(&mut self, host: usize, message: Message) {
        let now = Moment(self.now_ms);
        let simulated_host = &mut self.simulated_hosts[host];
        match message {
            Message::Begin(call) => {
                let effects = simulated_host.requester.begin(call.clone(), now);
                self.record_claims(&effects, &call);
                self.run_requester_effects(host, effects);
            }
            Message::Submit(record) => {
                let effects = simulated_host.writer.submit(record.clone(), now);
                // A record without an immediate verdict is queued. Without the read-back, its claim wins
                // now.
                let is_queued = !effects
                    .iter()
                    .any(|e| matches!(e, WriterEffect::Decided(..)));
                if self.disabled == Disabled::ReadBack && record.is_claim() && is_queued {
                    self.run_writer_effects(
                        host,
                        vec![WriterEffect::Decided(record.id(), Verdict::Won)],
                    );
                }
                self.run_writer_effects(host, effects);
            }
            Message::Decided(id, verdict) => {
                let members = &simulated_host.members;
                let stopped = |process| members.is_stopped(process);
                let effects = simulated_host
                    .requester
                    .handle_verdict(id, &verdict, stopped, now);
                if self.disabled == Disabled::GiveUp && verdict == Verdict::Won {
                    self.run_after_giving_up(host, id);
                }
                self.run_requester_effects(host, effects);
            }
            Message::Recorded(id) => simulated_host.requester.mark_recorded(id),
            Message::Appended(id, answer) => {
                let effects = simulated_host.writer.handle_answer(&id, answer, now);
                self.run_writer_effects(host, effects);
            }
            Message::Page(Some((first, oldest, page, is_end))) => {
                let effects = simulated_host
                    .writer
                    .handle_page(first, oldest, &page, is_end, now);
                self.run_writer_effects(host, effects);
            }
            Message::Page(None) => simulated_host.writer.read_failed(now),
            Message::SendCall(id, request) => self.send_call(host, id, &request),
            Message::RunResult(id, end) => {
                let effects = simulated_host.requester.handle_run_result(id, end, now);
                self.run_requester_effects(host, effects);
            }
            Message::Heartbeat(heartbeat) => {
                if let Some(stopped) = simulated_host.members.receive_heartbeat(&heartbeat, now) {
                    let effects = simulated_host
                        .requester
                        .handle_stopped_process(stopped, now);
                    self.run_requester_effects(host, effects);
                }
            }
        }
    }

    fn record_claims(&mut self, effects: &[RequesterEffect], call: &CallRequest) {
        for effect in effects {
            if let RequesterEffect::Submit { record, .. } = effect {
                self.claims
                    .insert(record.id(), (call.key, call.request.clone()));
            }
        }
    }

    fn run_after_giving_up(&mut self, host: usize, id: ClaimId) {
        let Some((_key, request)) = self.claims.get(&id).cloned() else {
            return;
        };
        if self
            .answers
            .get(&request)
            .is_some_and(|answer| matches!(answer, Some(CallAnswer::NotRun(_))))
        {
            self.run_upstream(host, id, &request, RunResult::Lost);
        }
    }

    fn send_call(&mut self, host: usize, id: ClaimId, request: &RequestId) {
        let may_send = self.simulated_hosts[host]
            .requester
            .may_send(id, Moment(self.now_ms));
        let is_unreached = self.is_faulty && self.rng.random_bool(NOT_SENT_PROBABILITY);
        let end = if is_unreached || (!may_send && self.disabled != Disabled::SendCheck) {
            RunResult::NotSent
        } else if self.is_faulty && self.rng.random_bool(LOST_RESULT_PROBABILITY) {
            RunResult::Lost
        } else {
            RunResult::Answered(outcome_of(id))
        };
        self.run_upstream(host, id, request, end);
    }

    /// Runs the call on an upstream unless it was not sent, and returns the result later.
    fn run_upstream(&mut self, host: usize, id: ClaimId, request: &RequestId, end: RunResult) {
        if end != RunResult::NotSent {
            self.record_run(id, request);
        }
        let delay = self.rng.random_range(5..1500);
        self.enqueue(
            delay,
            host,
            Some(id.process.incarnation),
            Message::RunResult(id, end),
        );
    }
}
