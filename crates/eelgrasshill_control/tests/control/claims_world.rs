//! Several hosts that claim calls over one model log, with an oracle beside them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use eelgrasshill_control::{
    Answer, AppendError, Body, Call, CallDigest, CallKey, CallOutcome, Claim, ClaimBatch,
    ClaimBounds, ClaimFold, ClaimId, ClaimRecord, ClaimWriter, Delta, Heartbeat, Held, LogTime,
    Members, Process, Requester, RequesterEffect, RunEnd, Verdict, WriterEffect,
};
use eelgrasshill_domain::{AppendId, HostName, Incarnation, Moment, Offset, RequestId};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::log::{Fate, ModelLog};

pub(crate) const HOSTS: usize = 4;
const TICK: u64 = 20;

/// A mechanism that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    Nothing,
    ReadBack,
    Abort,
    GiveUp,
    LastCheck,
    Retention,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    SecondRun(CallKey),
    FalseNotRun(RequestId),
    WrongAnswer(RequestId),
    Unanswered(RequestId),
    Stuck(CallKey),
    Unsettled(usize),
    Parted(CallKey),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Claim,
    Append,
    ReadBack,
    Decide,
    Run,
    Record,
    Repeat,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Crash,
    Pause,
    Lost,
    Late,
    Repeated,
    Outage,
    Expiry,
    Cut,
}

#[derive(Clone, Debug)]
enum Msg {
    Begin(Call),
    Submit(ClaimRecord),
    Decided(ClaimId, Verdict),
    Recorded(ClaimId),
    Appended(AppendId, Result<Offset, AppendError>),
    Page(Option<(Offset, LogTime, Delta<ClaimBatch>, bool)>),
    Send(ClaimId, RequestId),
    Ran(ClaimId, RunEnd),
    Hello(Heartbeat),
}

#[derive(Clone, Debug)]
struct Envelope {
    to: usize,
    /// The process for which the message is meant; none for whoever runs there.
    only: Option<Incarnation>,
    msg: Msg,
}

struct Node {
    members: Members,
    requester: Requester,
    writer: ClaimWriter,
    is_up: bool,
    paused: u64,
    cut: u64,
}

pub(crate) struct World {
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    pub(crate) log: ModelLog<ClaimBatch>,
    pub(crate) violations: Vec<Violation>,
    pub(crate) answers: BTreeMap<RequestId, Option<Answer>>,
    pub(crate) runs: BTreeMap<CallKey, Vec<(u64, ClaimId)>>,
    pub(crate) is_faulty: bool,
    pub(crate) planned: Option<(Step, Fault)>,
    pub(crate) is_met: bool,
    retention: Duration,
    broken: Broken,
    nodes: Vec<Node>,
    queue: BTreeMap<(u64, u64), Envelope>,
    seq: u64,
    lost: BTreeSet<RequestId>,
    ran: BTreeSet<RequestId>,
    known: BTreeMap<ClaimId, (CallKey, RequestId)>,
    results: BTreeMap<CallKey, Vec<CallOutcome>>,
    keys: BTreeMap<RequestId, CallKey>,
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
        kind: "text/plain".to_owned(),
        body: Body::new(format!("{id:?}").as_bytes()),
    }
}

pub(crate) fn key(number: usize) -> CallKey {
    CallKey::new(None, &format!("key-{number}"))
}

impl Node {
    fn new(host: usize, incarnation: u64, bounds: &ClaimBounds) -> Self {
        let process = process(host, incarnation);
        let name = host_name(host);
        Self {
            members: Members::new(name.clone(), "zone-a".parse().unwrap(), process),
            requester: Requester::new(name, process, bounds.clone()),
            writer: ClaimWriter::new("claims-0".parse().unwrap(), process, bounds.clone()),
            is_up: true,
            paused: 0,
            cut: 0,
        }
    }
}

impl World {
    pub(crate) fn new(seed: u64, retention: Duration, broken: Broken) -> Self {
        let bounds = Self::bounds(retention);
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            log: ModelLog::new(),
            violations: Vec::new(),
            answers: BTreeMap::new(),
            runs: BTreeMap::new(),
            is_faulty: false,
            planned: None,
            is_met: false,
            retention,
            broken,
            nodes: (0..HOSTS).map(|host| Node::new(host, 1, &bounds)).collect(),
            queue: BTreeMap::new(),
            seq: 0,
            lost: BTreeSet::new(),
            ran: BTreeSet::new(),
            known: BTreeMap::new(),
            results: BTreeMap::new(),
            keys: BTreeMap::new(),
            bodies: BTreeMap::new(),
        }
    }

    pub(crate) fn bounds(retention: Duration) -> ClaimBounds {
        let mut bounds = ClaimBounds::new(retention);
        bounds.pace = Duration::from_millis(20);
        bounds
    }

    fn push(&mut self, delay: u64, to: usize, only: Option<Incarnation>, msg: Msg) {
        self.seq += 1;
        let envelope = Envelope { to, only, msg };
        self.queue.insert((self.now + delay, self.seq), envelope);
    }

    /// Sends between hosts, over links that lose, delay and repeat.
    fn send(&mut self, from: usize, to: usize, only: Option<Incarnation>, msg: Msg) {
        let is_cut = self.nodes[from].cut > self.now || self.nodes[to].cut > self.now;
        if from != to && (is_cut || (self.is_faulty && self.rng.random_bool(0.1))) {
            return;
        }
        let mut delay = self.rng.random_range(1..5);
        if self.is_faulty && self.rng.random_bool(0.05) {
            delay += self.rng.random_range(0..4000);
        }
        if self.is_faulty && self.rng.random_bool(0.05) {
            let again = delay + self.rng.random_range(0..6000);
            self.push(again, to, only, msg.clone());
        }
        self.push(delay, to, only, msg);
    }

    pub(crate) fn begin(&mut self, host: usize, request: &str, key: CallKey, body: u8) {
        let request = RequestId::new(request).unwrap();
        self.answers.insert(request.clone(), None);
        self.keys.insert(request.clone(), key);
        self.bodies.entry(key).or_default().insert(body);
        let digest = CallDigest::new(&[&[body]]);
        let call = Call {
            request,
            key,
            organisation: None,
            digest,
        };
        self.push(0, host, None, Msg::Begin(call));
    }

    pub(crate) fn crash(&mut self, host: usize) {
        let node = &mut self.nodes[host];
        node.is_up = false;
        node.paused = 0;
        // A caller whose host died has no answer, which is no false one.
        let process = node.members.process();
        let lost: Vec<_> = self
            .known
            .iter()
            .filter(|(id, _)| id.process == process)
            .map(|(_, (_, request))| request.clone())
            .collect();
        self.lost.extend(lost);
    }

    pub(crate) fn restart(&mut self, host: usize) {
        if self.nodes[host].is_up {
            return;
        }
        let incarnation = self.nodes[host].members.process().incarnation.0 + 1;
        self.nodes[host] = Node::new(host, incarnation, &Self::bounds(self.retention));
        let beat = self.nodes[host]
            .members
            .heartbeat(Offset(0), false, Moment(self.now));
        for to in (0..HOSTS).filter(|to| *to != host) {
            self.send(host, to, None, Msg::Hello(beat.clone()));
        }
    }

    pub(crate) fn pause(&mut self, host: usize, span: u64) {
        self.nodes[host].paused = self.now + span;
    }

    pub(crate) fn cut(&mut self, host: usize, span: u64) {
        self.nodes[host].cut = self.now + span;
    }

    pub(crate) fn has_run(&self, request: &str) -> bool {
        self.ran.iter().any(|ran| ran.as_str() == request)
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += TICK;
            let kept = match self.broken {
                Broken::Retention => self.retention / 8,
                _ => self.retention,
            };
            self.log.tick(self.now, kept);
            while let Some(envelope) = self.next_due() {
                self.deliver(envelope);
            }
            for host in 0..HOSTS {
                self.tick(host);
            }
        }
    }

    fn next_due(&mut self) -> Option<Envelope> {
        let (&(at, seq), _) = self.queue.first_key_value()?;
        (at <= self.now).then(|| self.queue.remove(&(at, seq)).unwrap())
    }

    fn tick(&mut self, host: usize) {
        let now = Moment(self.now);
        let node = &mut self.nodes[host];
        if !node.is_up || node.paused > self.now {
            return;
        }
        let asked = node.requester.tick(now);
        let written = node.writer.tick(now);
        self.asked(host, asked);
        self.written(host, written);
    }

    fn deliver(&mut self, envelope: Envelope) {
        let host = envelope.to;
        let node = &self.nodes[host];
        let incarnation = node.members.process().incarnation;
        if envelope.only.is_some_and(|only| only != incarnation) || !node.is_up {
            if let Msg::Begin(call) = envelope.msg {
                self.lost.insert(call.request);
            }
            return;
        }
        if node.paused > self.now {
            let delay = node.paused - self.now;
            self.push(delay, host, envelope.only, envelope.msg);
            return;
        }
        if let Some(fault) = self.fault_at(host, &envelope.msg) {
            self.inject(host, fault, envelope);
            return;
        }
        self.handle(host, envelope.msg);
    }

    /// Returns the planned fault when this message is its step.
    fn fault_at(&mut self, host: usize, msg: &Msg) -> Option<Fault> {
        let (step, fault) = self.planned?;
        let is_step = match (step, msg) {
            (Step::Claim, Msg::Submit(record)) => record.is_claim() && host == 0,
            (Step::Repeat, Msg::Submit(record)) => record.is_claim() && host == 1,
            (Step::ReadBack, Msg::Page(Some((_, _, page, _)))) => {
                host == 0 && !page.records.is_empty()
            }
            (Step::Append, Msg::Appended(..)) => host == 0,
            (Step::Decide, Msg::Decided(..)) | (Step::Run, Msg::Send(..)) => host == 3,
            (Step::Record, Msg::Submit(record)) => {
                host == 0 && matches!(record, ClaimRecord::Outcome { .. })
            }
            _ => false,
        };
        if !is_step {
            return None;
        }
        self.planned = None;
        self.is_met = true;
        Some(fault)
    }

    fn inject(&mut self, host: usize, fault: Fault, envelope: Envelope) {
        let Envelope { only, msg, .. } = envelope;
        match fault {
            Fault::Crash => self.crash(host),
            Fault::Pause => self.pause(host, 20_000),
            Fault::Lost => {
                if let Msg::Send(id, request) = &msg {
                    self.upstream(host, *id, request, RunEnd::Lost);
                } else if let Msg::Appended(id, _) = &msg {
                    let lost = Msg::Appended(id.clone(), Err(AppendError::Lost));
                    self.handle(host, lost);
                } else if matches!(msg, Msg::Page(_)) {
                    self.handle(host, Msg::Page(None));
                }
                return;
            }
            Fault::Late => return self.push(5000, host, only, msg),
            Fault::Repeated => {
                self.push(700, host, only, msg.clone());
                return self.handle(host, msg);
            }
            Fault::Outage => self.log.is_out = true,
            Fault::Expiry => self.pause(host, 3 * self.retention.as_millis() as u64 / 2),
            Fault::Cut => self.cut(host, 8000),
        }
        self.push(0, host, only, msg);
    }

    fn handle(&mut self, host: usize, msg: Msg) {
        let now = Moment(self.now);
        let node = &mut self.nodes[host];
        match msg {
            Msg::Begin(call) => {
                let effects = node.requester.begin(call.clone(), now);
                self.note_claim(&effects, &call);
                self.asked(host, effects);
            }
            Msg::Submit(record) => {
                let effects = node.writer.submit(record.clone(), now);
                let is_queued = !effects
                    .iter()
                    .any(|e| matches!(e, WriterEffect::Decided(..)));
                if self.broken == Broken::ReadBack && record.is_claim() && is_queued {
                    self.written(host, vec![WriterEffect::Decided(record.id(), Verdict::Won)]);
                }
                self.written(host, effects);
            }
            Msg::Decided(id, verdict) => {
                let members = &node.members;
                let stopped = |process| members.is_stopped(process);
                let effects = node.requester.decide(id, &verdict, stopped, now);
                if self.broken == Broken::GiveUp && verdict == Verdict::Won {
                    self.run_again(host, id);
                }
                self.asked(host, effects);
            }
            Msg::Recorded(id) => node.requester.recorded(id),
            Msg::Appended(id, answer) => {
                let effects = node.writer.answer(&id, answer, now);
                self.written(host, effects);
            }
            Msg::Page(Some((first, oldest, page, is_end))) => {
                let effects = node.writer.page(first, oldest, &page, is_end, now);
                self.written(host, effects);
            }
            Msg::Page(None) => node.writer.read_failed(now),
            Msg::Send(id, request) => self.first_byte(host, id, &request),
            Msg::Ran(id, end) => {
                let effects = node.requester.ran(id, end, now);
                self.asked(host, effects);
            }
            Msg::Hello(beat) => {
                if let Some(stopped) = node.members.hear(&beat, now) {
                    let effects = node.requester.stopped(stopped, now);
                    self.asked(host, effects);
                }
            }
        }
    }

    fn note_claim(&mut self, effects: &[RequesterEffect], call: &Call) {
        for effect in effects {
            if let RequesterEffect::Submit { record, .. } = effect {
                self.known
                    .insert(record.id(), (call.key, call.request.clone()));
            }
        }
    }

    fn run_again(&mut self, host: usize, id: ClaimId) {
        let Some((_key, request)) = self.known.get(&id).cloned() else {
            return;
        };
        if self
            .answers
            .get(&request)
            .is_some_and(|a| matches!(a, Some(Answer::NotRun(_))))
        {
            self.upstream(host, id, &request, RunEnd::Lost);
        }
    }

    fn first_byte(&mut self, host: usize, id: ClaimId, request: &RequestId) {
        let may_send = self.nodes[host].requester.may_send(id, Moment(self.now));
        let is_unreached = self.is_faulty && self.rng.random_bool(0.1);
        let end = if is_unreached || (!may_send && self.broken != Broken::LastCheck) {
            RunEnd::NotSent
        } else if self.is_faulty && self.rng.random_bool(0.15) {
            RunEnd::Lost
        } else {
            RunEnd::Answered(outcome_of(id))
        };
        self.upstream(host, id, request, end);
    }

    fn upstream(&mut self, host: usize, id: ClaimId, request: &RequestId, end: RunEnd) {
        if end != RunEnd::NotSent {
            self.count_run(id, request);
        }
        let delay = self.rng.random_range(5..1500);
        self.push(delay, host, Some(id.process.incarnation), Msg::Ran(id, end));
    }

    /// The oracle's view of a call that reaches an upstream.
    fn count_run(&mut self, id: ClaimId, request: &RequestId) {
        let bounds = Self::bounds(self.retention);
        let known = (bounds.keep.as_millis() - (bounds.claim + bounds.start).as_millis()) as u64;
        let (key, _request) = self.known[&id].clone();
        let runs = self.runs.entry(key).or_default();
        if runs.iter().any(|(at, _)| *at + known > self.now) {
            self.violations.push(Violation::SecondRun(key));
        }
        runs.push((self.now, id));
        self.results.entry(key).or_default().push(outcome_of(id));
        self.ran.insert(request.clone());
        if matches!(self.answers.get(request), Some(Some(Answer::NotRun(_)))) {
            self.violations
                .push(Violation::FalseNotRun(request.clone()));
        }
    }

    fn asked(&mut self, host: usize, effects: Vec<RequesterEffect>) {
        let incarnation = self.nodes[host].members.process().incarnation;
        for effect in effects {
            match effect {
                RequesterEffect::Submit { record, .. }
                    if self.broken == Broken::Abort
                        && matches!(record, ClaimRecord::Abort { .. }) =>
                {
                    self.push(0, host, Some(incarnation), Msg::Recorded(record.id()));
                }
                RequesterEffect::Submit { attempt, record } => {
                    self.adopt_request(&record);
                    let to = (host + attempt) % 3;
                    self.send(host, to, None, Msg::Submit(record));
                }
                RequesterEffect::Run { claim, request } => {
                    let delay = self.rng.random_range(1..60);
                    self.push(delay, host, Some(incarnation), Msg::Send(claim, request));
                }
                RequesterEffect::Answer { request, answer } => self.answered(request, answer),
            }
        }
    }

    /// A call that is claimed anew keeps its request; there is one open call a key and host.
    fn adopt_request(&mut self, record: &ClaimRecord) {
        if self.known.contains_key(&record.id()) {
            return;
        }
        let id = record.id();
        let open = self
            .known
            .iter()
            .rev()
            .find(|(other, (key, request))| {
                other.process == id.process
                    && *key == record.key()
                    && self.answers[request].is_none()
                    && !self.ran.contains(request)
            })
            .map(|(_, known)| known.clone());
        self.known.insert(id, open.unwrap());
    }

    fn answered(&mut self, request: RequestId, answer: Answer) {
        let is_wrong = match &answer {
            Answer::NotRun(_) => {
                if self.ran.contains(&request) {
                    self.violations
                        .push(Violation::FalseNotRun(request.clone()));
                }
                false
            }
            Answer::Recorded(outcome) => !self
                .results
                .values()
                .flatten()
                .any(|result| *result == **outcome),
            Answer::Conflict => self.bodies[&self.keys[&request]].len() < 2,
            Answer::Unknown | Answer::Expired => false,
        };
        if is_wrong {
            self.violations
                .push(Violation::WrongAnswer(request.clone()));
        }
        self.answers.insert(request, Some(answer));
    }

    fn written(&mut self, host: usize, effects: Vec<WriterEffect>) {
        let incarnation = self.nodes[host].members.process().incarnation;
        for effect in effects {
            match effect {
                WriterEffect::Append { id, batch, .. } => self.append(host, &id, &batch),
                WriterEffect::Read { from, .. } => {
                    let is_lost = self.is_faulty && self.rng.random_bool(0.05);
                    let oldest = self.now.saturating_sub(self.retention.as_millis() as u64);
                    let is_cut = self.nodes[host].cut > self.now;
                    let page = self
                        .log
                        .read(from, 8)
                        .filter(|_| !is_lost && !is_cut)
                        .map(|(first, page, is_end)| (first, LogTime(oldest), page, is_end));
                    let delay = self.rng.random_range(1..20);
                    self.push(delay, host, Some(incarnation), Msg::Page(page));
                }
                WriterEffect::Decided(id, verdict) => {
                    self.reply(host, id, Msg::Decided(id, verdict));
                }
                WriterEffect::Recorded(id) => self.reply(host, id, Msg::Recorded(id)),
            }
        }
    }

    fn append(&mut self, host: usize, id: &AppendId, batch: &Arc<ClaimBatch>) {
        let incarnation = self.nodes[host].members.process().incarnation;
        let fate = match self.rng.random_range(0..100) {
            _ if self.nodes[host].cut > self.now => Fate::NeverArrived,
            _ if !self.is_faulty => Fate::Kept,
            0..8 => Fate::AnswerLost,
            8..14 => Fate::NeverArrived,
            14..22 => Fate::Late(self.rng.random_range(0..8000)),
            22..28 => Fate::Twice(self.rng.random_range(0..8000)),
            _ => Fate::Kept,
        };
        let answer = self.log.append(id, (**batch).clone(), fate, self.now);
        let delay = self.rng.random_range(1..30);
        self.push(
            delay,
            host,
            Some(incarnation),
            Msg::Appended(id.clone(), answer),
        );
    }

    fn reply(&mut self, host: usize, id: ClaimId, msg: Msg) {
        let to = (0..HOSTS)
            .find(|to| process(*to, 1).address == id.process.address)
            .unwrap();
        self.send(host, to, Some(id.process.incarnation), msg);
    }

    /// Folds the whole log, and checks what must hold once all faults are over.
    pub(crate) fn check_end(&mut self) {
        let mut fold = ClaimFold::new(Self::bounds(self.retention));
        for stored in &self.log.all {
            fold.apply(stored);
        }
        for (host, node) in self.nodes.iter().enumerate() {
            if node.is_up && !(node.requester.is_idle() && node.writer.is_idle()) {
                self.violations.push(Violation::Unsettled(host));
            }
        }
        for (request, answer) in &self.answers {
            let is_open = answer.is_none() && !self.ran.contains(request);
            if is_open && !self.lost.contains(request) {
                self.violations.push(Violation::Unanswered(request.clone()));
            }
        }
        let keys: BTreeSet<_> = self.known.values().map(|(key, _)| *key).collect();
        for key in keys {
            self.check_key(&fold, key);
        }
    }

    fn check_key(&mut self, fold: &ClaimFold, key: CallKey) {
        let probe = Claim {
            id: ClaimId {
                process: process(99, 1),
                seq: 1,
            },
            key,
            organisation: None,
            request: CallDigest::new(&[&[0]]),
            host: host_name(99),
        };
        let verdict = fold.verdict(&probe);
        if let Some(Verdict::Lost {
            winner,
            held: Held::Running,
            ..
        }) = &verdict
        {
            let is_alive = self
                .nodes
                .iter()
                .any(|node| node.is_up && node.members.process() == winner.process);
            if is_alive {
                self.violations.push(Violation::Stuck(key));
            }
        }
        let writers = self.nodes.iter().take(3).filter(|node| node.is_up);
        let is_parted = writers
            .filter(|node| node.writer.fold().cursor() == fold.cursor())
            .any(|node| node.writer.fold().verdict(&probe) != verdict);
        if is_parted && self.log.first == 1 {
            self.violations.push(Violation::Parted(key));
        }
    }
}
