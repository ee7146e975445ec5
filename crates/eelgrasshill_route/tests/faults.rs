//! Fault matrix: every fault at every step of one request.
//!
//! Each cell runs over two engines, or is marked impossible with a reason. Afterwards the caller
//! must have the whole answer once, and the dispatcher must hold nothing of the request.

#![expect(
    clippy::unwrap_used,
    reason = "a failed helper fails its test, and the numbers are small"
)]

use std::collections::BTreeSet;

use eelgrasshill_domain::{
    Class, HostName, ModelName, Moment, PoolName, Repeat, RequestId, ZoneName,
};
use eelgrasshill_route::{
    Attempt, Cancelled, ConnectionOutcome, Decision, DispatchSettings, Dispatcher, LeastLoaded,
    Presence, Requirement, ResidentModel, ResumableStream, ResumeAt, StreamAction, StreamEvent,
    Ticket, TicketId, Timeouts, Upstream, UpstreamReport, View,
};

const TOKENS: u64 = 6;
const TOKEN_GAP_MS: u64 = 39;
const TICKET: TicketId = TicketId(1);
const OTHER_TICKET: TicketId = TicketId(2);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    EngineDies,
    /// The connection stays open and sends nothing more.
    Silent,
    /// A token of an earlier connection arrives.
    Late,
    /// A token of another request arrives.
    OtherRequestsToken,
    /// The last token arrives again.
    Duplicated,
    /// The load reports do not show this request.
    ReportsLag,
    HostLeaving,
    CallerGone,
}

/// How far the request has come when the fault happens.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Step {
    Queued,
    Dispatched,
    FirstByte,
    MidStream,
    LastToken,
    Finished,
}

const STEPS: [Step; 6] = [
    Step::Queued,
    Step::Dispatched,
    Step::FirstByte,
    Step::MidStream,
    Step::LastToken,
    Step::Finished,
];

/// Expected outcome of a fault at a step.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cell {
    /// The answer is complete after this number of resumes, and ends on this engine.
    Whole { resumes: u32, engine: u8 },
    /// The request is dropped, since its caller has disconnected.
    Dropped,
    /// The fault cannot happen at the step, for this reason.
    Impossible(&'static str),
}

use Cell::{Dropped, Impossible, Whole};

/// Returns the cell of an answer that is complete after some resumes and ends on an engine.
const fn whole_after(resumes: u32, engine: u8) -> Cell {
    Whole { resumes, engine }
}

const NO_CONNECTION: Cell = Impossible("a queued request has no connection");
const NO_TOKEN: Cell = Impossible("no token has arrived that could be repeated");
const NO_EARLIER: Cell = Impossible("the first connection has no earlier one");

/// One row for each fault, one column for each step in the order of [`STEPS`].
const MATRIX: [(Fault, [Cell; 6]); 8] = [
    (
        Fault::EngineDies,
        // The first resume goes to the dead engine itself, the second to the other one.
        [
            whole_after(0, 1),
            whole_after(0, 1),
            whole_after(2, 1),
            whole_after(2, 1),
            whole_after(2, 1),
            whole_after(0, 0),
        ],
    ),
    (
        Fault::Silent,
        [
            whole_after(0, 0),
            whole_after(1, 0),
            whole_after(1, 0),
            whole_after(1, 0),
            whole_after(1, 0),
            whole_after(0, 0),
        ],
    ),
    (
        Fault::Late,
        [
            NO_CONNECTION,
            NO_EARLIER,
            whole_after(1, 0),
            whole_after(1, 0),
            whole_after(1, 0),
            whole_after(0, 0),
        ],
    ),
    (
        Fault::OtherRequestsToken,
        [
            NO_CONNECTION,
            whole_after(1, 0),
            whole_after(1, 0),
            whole_after(1, 0),
            whole_after(1, 0),
            whole_after(0, 0),
        ],
    ),
    (
        Fault::Duplicated,
        [
            NO_CONNECTION,
            NO_TOKEN,
            whole_after(0, 0),
            whole_after(0, 0),
            whole_after(0, 0),
            whole_after(0, 0),
        ],
    ),
    (Fault::ReportsLag, [whole_after(0, 0); 6]),
    (
        Fault::HostLeaving,
        [
            whole_after(0, 1),
            whole_after(0, 0),
            whole_after(0, 0),
            whole_after(0, 0),
            whole_after(0, 0),
            whole_after(0, 0),
        ],
    ),
    (
        Fault::CallerGone,
        [
            Dropped,
            Dropped,
            Dropped,
            Dropped,
            Dropped,
            whole_after(0, 0),
        ],
    ),
];

/// Number of free slots on the first engine.
#[derive(Clone, Copy, PartialEq)]
enum Room {
    None,
    One,
    Many,
}

#[derive(Clone, Copy, PartialEq)]
enum End {
    Finished,
    Dropped,
}

/// One request on its way through the entry host, and the true state of the two engines.
struct Session {
    dispatcher: Dispatcher<LeastLoaded>,
    stream: Option<ResumableStream<u64>>,
    received: Vec<u64>,
    now: Moment,
    room: Room,
    taken_at: Moment,
    leaving: bool,
    dead: BTreeSet<u8>,
    /// Attempt whose connection has gone silent.
    silent: Option<Attempt>,
    resumes: u32,
    end: Option<End>,
    starts: u32,
}

fn engine(n: u8) -> HostName {
    HostName::new(&format!("engine-{n}")).unwrap()
}

fn engine_number(host: &HostName) -> u8 {
    host.as_str().trim_start_matches("engine-").parse().unwrap()
}

fn request_id() -> RequestId {
    RequestId::new("mine").unwrap()
}

fn ticket(id: TicketId) -> Ticket {
    let pool = PoolName::new("pool").unwrap();
    let requirement = Requirement::new(ModelName::new("model").unwrap());
    Ticket::new(
        id,
        Class::Interactive,
        pool,
        requirement,
        100,
        Moment(1_000_000),
    )
}

impl Session {
    fn new() -> Self {
        let settings = DispatchSettings {
            peers: 1,
            ..DispatchSettings::default()
        };
        let mut session = Self {
            dispatcher: Dispatcher::new(settings, LeastLoaded),
            stream: None,
            received: Vec::new(),
            now: Moment(1_000),
            room: Room::None,
            taken_at: Moment(999),
            leaving: false,
            dead: BTreeSet::new(),
            silent: None,
            resumes: 0,
            end: None,
            starts: 0,
        };
        session
            .dispatcher
            .offer(ticket(TICKET), session.now)
            .unwrap();
        session.poll();
        session
    }

    /// Builds the view: both engines have loaded the model, and the second one is busier.
    fn view(&self) -> View {
        let zone = ZoneName::new("zone").unwrap();
        let upstreams = [0_u8, 1].map(|n| {
            let presence = if self.leaving && n == 0 {
                Presence::Leaving
            } else {
                Presence::Live
            };
            let slots = match (n, self.room) {
                (0, Room::Many) => 8,
                (0, Room::None | Room::One) => 1,
                _ => 2,
            };
            let busy = match self.room {
                Room::None => slots,
                Room::One | Room::Many => u32::from(n),
            };
            Upstream::new(engine(n), PoolName::new("pool").unwrap(), zone.clone())
                .with_presence(presence)
                .with_resident(ResidentModel {
                    model: ModelName::new("model").unwrap(),
                    version: "1".to_owned(),
                    adapters: Vec::new(),
                })
                .with_report(UpstreamReport {
                    running: busy,
                    waiting: 0,
                    slots,
                    taken_at: self.taken_at,
                })
        });
        View::new(&zone, upstreams.into())
    }

    fn poll(&mut self) -> Vec<(TicketId, HostName)> {
        let mut started = Vec::new();
        for decision in self.dispatcher.poll(&self.view(), self.now) {
            let Decision::Start { ticket, host } = decision else {
                continue;
            };
            started.push((ticket.id, host.clone()));
            if ticket.id == TICKET {
                self.starts += 1;
                self.connect(host);
            }
        }
        started
    }

    fn connect(&mut self, host: HostName) {
        let timeouts = Timeouts::default();
        let now = self.now;
        let stream = self.stream.get_or_insert_with(|| {
            let timeouts = timeouts.of(Class::Interactive);
            ResumableStream::new(request_id(), Repeat::Allowed, timeouts, host.clone(), now)
        });
        stream.begin_attempt(host, now);
    }

    fn advance(&mut self, millis: u64) {
        self.now = Moment(self.now.0 + millis);
    }

    /// Sends the stream an event of its current attempt.
    fn send(&mut self, event: StreamEvent<u64>) {
        let attempt = self.stream.as_ref().unwrap().attempt();
        self.send_as(attempt, event);
    }

    fn send_as(&mut self, attempt: Attempt, event: StreamEvent<u64>) {
        let stream = self.stream.as_mut().unwrap();
        let Some(action) = stream.step(attempt, event, self.now) else {
            return;
        };
        match action {
            StreamAction::Forward { index, text } => {
                assert_eq!(index, self.received.len() as u64);
                self.received.push(text);
            }
            StreamAction::Resume { at, from, .. } => {
                assert_eq!(from, self.received.len() as u64);
                self.resumes += 1;
                self.resume(at);
            }
            StreamAction::Finish => {
                self.end = Some(End::Finished);
                assert!(self.dispatcher.finish(TICKET, self.now));
            }
            StreamAction::Cancel => self.end = Some(End::Dropped),
            StreamAction::Fail(failure) => panic!("the answer failed: {failure}"),
        }
    }

    fn resume(&mut self, at: ResumeAt) {
        match at {
            ResumeAt::Same(host) if self.dead.contains(&engine_number(&host)) => {
                self.dispatcher
                    .observe(&host, ConnectionOutcome::ConnectFailed, self.now);
                self.send(StreamEvent::Failed);
            }
            ResumeAt::Same(host) => self.connect(host),
            ResumeAt::Other { avoid } => {
                assert!(self.dispatcher.finish(TICKET, self.now));
                let again = ticket(TICKET).with_avoid(avoid);
                self.dispatcher.offer(again, self.now).unwrap();
                self.poll();
            }
        }
    }

    fn chunk(index: u64, request: RequestId) -> StreamEvent<u64> {
        StreamEvent::Chunk {
            request,
            index,
            text: 100 + index,
        }
    }

    fn deliver(&mut self) {
        let next = self.received.len() as u64;
        if next < TOKENS {
            self.send(Self::chunk(next, request_id()));
        } else {
            self.send(StreamEvent::Done {
                request: request_id(),
                total: TOKENS,
            });
        }
    }

    /// Lets the request come to a step without faults.
    fn advance_to(&mut self, step: Step) {
        if step == Step::Queued {
            return;
        }
        self.room = Room::One;
        self.poll();
        let tokens = match step {
            Step::Queued | Step::Dispatched => return,
            Step::FirstByte => 1,
            Step::MidStream => TOKENS / 2,
            Step::LastToken => TOKENS,
            Step::Finished => TOKENS + 1,
        };
        for _ in 0..tokens {
            self.advance(TOKEN_GAP_MS);
            self.deliver();
        }
    }

    /// Lets the fault happen.
    fn inject(&mut self, fault: Fault, step: Step, unreported: bool) {
        let sent = step > Step::Queued;
        match fault {
            Fault::EngineDies => {
                self.dead.insert(0);
                if !unreported {
                    self.fail_engine(step);
                }
            }
            Fault::Silent if sent => self.silent = Some(self.stream.as_ref().unwrap().attempt()),
            Fault::Silent => {
                // Another request's connection goes silent, since this one has none yet.
                let opened = Moment(10);
                let outcome = ConnectionOutcome::Silent { opened };
                self.dispatcher.observe(&engine(0), outcome, self.now);
            }
            Fault::Late => {
                self.send(StreamEvent::Failed);
                let next = self.received.len() as u64;
                let before = self.received.clone();
                self.send_as(Attempt(0), Self::chunk(next, request_id()));
                assert_eq!(self.received, before, "a late token was forwarded");
            }
            Fault::OtherRequestsToken => {
                let before = self.received.clone();
                let next = self.received.len() as u64;
                self.send(Self::chunk(next, RequestId::new("other").unwrap()));
                assert_eq!(
                    self.received, before,
                    "another request's token was forwarded"
                );
            }
            Fault::Duplicated => {
                let before = self.received.clone();
                self.send(Self::chunk(before.len() as u64 - 1, request_id()));
                assert_eq!(self.received, before, "a token was forwarded twice");
            }
            Fault::ReportsLag => self.delay_reports(step),
            Fault::HostLeaving => self.leave_host(step, unreported),
            Fault::CallerGone => self.disconnect_caller(step),
        }
    }

    fn fail_engine(&mut self, step: Step) {
        match step {
            Step::Queued => {
                let outcome = ConnectionOutcome::ConnectFailed;
                self.dispatcher.observe(&engine(0), outcome, self.now);
            }
            Step::Dispatched => {
                // Nothing was sent, so the request is queued again.
                let outcome = ConnectionOutcome::ConnectFailed;
                self.dispatcher.observe(&engine(0), outcome, self.now);
                assert!(self.dispatcher.finish(TICKET, self.now));
                let again = ticket(TICKET).with_avoid(vec![engine(0)]);
                self.dispatcher.offer(again, self.now).unwrap();
                self.poll();
            }
            Step::FirstByte | Step::MidStream | Step::LastToken | Step::Finished => {
                self.send(StreamEvent::Failed);
            }
        }
    }

    /// Offers another ticket while the reports stay old.
    ///
    /// It must go to the second engine exactly as long as this request holds the first one's slot.
    fn delay_reports(&mut self, step: Step) {
        if step == Step::Queued {
            self.room = Room::One;
            self.poll();
        }
        self.dispatcher
            .offer(ticket(OTHER_TICKET), self.now)
            .unwrap();
        let started = self.poll();
        let expected = u8::from(step != Step::Finished);
        assert_eq!(started, [(OTHER_TICKET, engine(expected))]);
        assert!(self.dispatcher.finish(OTHER_TICKET, self.now));
    }

    fn leave_host(&mut self, step: Step, unreported: bool) {
        self.leaving = !unreported;
        if step > Step::Queued && step < Step::Finished {
            self.send(StreamEvent::Leaving);
        }
        if step == Step::Queued {
            return;
        }
        self.room = Room::Many;
        self.dispatcher
            .offer(ticket(OTHER_TICKET), self.now)
            .unwrap();
        assert_eq!(
            self.poll(),
            [(OTHER_TICKET, engine(1))],
            "a request was started on a host that is leaving"
        );
        assert!(self.dispatcher.finish(OTHER_TICKET, self.now));
    }

    fn disconnect_caller(&mut self, step: Step) {
        if step > Step::Queued {
            self.send(StreamEvent::CallerGone);
        }
        let cancelled = self.dispatcher.cancel(TICKET, self.now);
        let expected = match step {
            Step::Queued => Cancelled::Waiting,
            Step::Finished => Cancelled::Unknown,
            Step::Dispatched | Step::FirstByte | Step::MidStream | Step::LastToken => {
                Cancelled::Running(engine(0))
            }
        };
        assert_eq!(
            cancelled, expected,
            "result of the cancellation at {step:?}"
        );
        self.end.get_or_insert(End::Dropped);
    }

    /// Lets the request go on without further faults.
    fn complete(&mut self, unreported: bool) {
        for _ in 0..60 {
            if self.end.is_some() {
                return;
            }
            self.advance(100);
            let Some(stream) = &self.stream else {
                self.room = Room::One;
                self.poll();
                continue;
            };
            let dead = self.dead.contains(&engine_number(stream.host()));
            let quiet = dead || self.silent == Some(stream.attempt());
            if quiet && !unreported {
                self.send(StreamEvent::Tick);
            } else if !quiet {
                self.deliver();
            }
        }
    }

    fn cell(&self) -> Cell {
        if self.end == Some(End::Dropped) {
            return Dropped;
        }
        let expected: Vec<_> = (100..100 + TOKENS).collect();
        assert!(self.end.is_some(), "the answer did not end");
        assert_eq!(
            self.received, expected,
            "the caller must have each token once"
        );
        Whole {
            resumes: self.resumes,
            engine: engine_number(self.stream.as_ref().unwrap().host()),
        }
    }
}

/// Runs a request with a fault at a step, and returns its outcome.
///
/// If `unreported`, the entry host learns neither of failed connects, nor from the host list that a
/// host is leaving, nor of idle timeouts.
fn run(fault: Fault, step: Step, unreported: bool) -> Cell {
    let mut session = Session::new();
    session.advance_to(step);
    session.inject(fault, step, unreported);
    session.complete(unreported);
    let cell = session.cell();
    assert_eq!(
        session.dispatcher.running(),
        0,
        "the dispatcher still counts a ticket as running"
    );
    assert!(
        session.starts <= 2,
        "the request was started {} times, expected at most 2",
        session.starts
    );
    cell
}

#[test]
fn every_fault_at_every_step() {
    let (mut ran, mut impossible) = (0, 0);
    for (fault, cells) in MATRIX {
        for (step, cell) in STEPS.into_iter().zip(cells) {
            if let Impossible(reason) = cell {
                assert!(!reason.is_empty());
                impossible += 1;
                continue;
            }
            assert_eq!(run(fault, step, false), cell, "{fault:?} at {step:?}");
            ran += 1;
        }
    }
    println!("{ran} cells run, {impossible} impossible");
    // Eight faults at six steps.
    assert_eq!((ran, impossible), (43, 5));
}

#[test]
fn cells_fail_when_faults_go_unreported() {
    for fault in [Fault::EngineDies, Fault::Silent, Fault::HostLeaving] {
        let cells = MATRIX.iter().find(|(f, _cells)| *f == fault).unwrap().1;
        let failed_cells = STEPS.into_iter().zip(cells).filter(|(step, cell)| {
            let outcome = std::panic::catch_unwind(|| run(fault, *step, true));
            outcome.ok() != Some(*cell)
        });
        let failed_cells = failed_cells.count();
        println!("unreported {fault:?}: {failed_cells} of 6 cells differ");
        assert!(
            failed_cells >= 4,
            "unreported {fault:?}: only {failed_cells} cells differ, expected at least 4"
        );
    }
}
