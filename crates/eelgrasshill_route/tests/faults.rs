//! The fault matrix: every fault at every step of one request.
//!
//! Each cell is run over two engines or is named as impossible with the reason. Afterwards the
//! caller must have the whole answer once, and the dispatcher must hold nothing of it.

#![expect(
    clippy::unwrap_used,
    reason = "a failed helper fails its test, and the figures are small"
)]

use std::collections::BTreeSet;

use eelgrasshill_domain::{
    Class, HostName, ModelName, Moment, PoolName, Repeat, RequestId, ZoneName,
};
use eelgrasshill_route::{
    Attempt, Cancelled, Decision, DispatchSettings, Dispatcher, LeastLoaded, Observation, Presence,
    Report, Requirement, Resident, ResumableStream, ResumeAt, StreamAction, StreamEvent, Ticket,
    TicketId, Timeouts, Upstream, View,
};

const TOKENS: u64 = 6;
const ID: TicketId = TicketId(1);
const OTHER: TicketId = TicketId(2);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    EngineDies,
    Silent,
    Late,
    Crossed,
    Duplicated,
    ReportsLag,
    HostLeaving,
    CallerGone,
}

#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Step {
    Queued,
    Dispatched,
    FirstByte,
    MidStream,
    LastToken,
    Settled,
}

const STEPS: [Step; 6] = [
    Step::Queued,
    Step::Dispatched,
    Step::FirstByte,
    Step::MidStream,
    Step::LastToken,
    Step::Settled,
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Cell {
    /// The answer is whole after so many resumes, and ends on this engine.
    Whole {
        resumes: u32,
        on: u8,
    },
    /// The request is dropped.
    Dropped,
    Impossible(&'static str),
}

use Cell::{Dropped, Impossible, Whole};

const fn whole(resumes: u32, on: u8) -> Cell {
    Whole { resumes, on }
}

const NO_CONNECTION: Cell = Impossible("a queued request has no connection");
const NO_TOKEN: Cell = Impossible("no token has come that could come again");
const NO_EARLIER: Cell = Impossible("there is no earlier connection before the first");

/// One row for each fault, one column for each step.
const MATRIX: [(Fault, [Cell; 6]); 8] = [
    (
        Fault::EngineDies,
        // A dead engine costs one resume on itself before the other one is asked.
        [
            whole(0, 1),
            whole(0, 1),
            whole(2, 1),
            whole(2, 1),
            whole(2, 1),
            whole(0, 0),
        ],
    ),
    (
        Fault::Silent,
        [
            whole(0, 0),
            whole(1, 0),
            whole(1, 0),
            whole(1, 0),
            whole(1, 0),
            whole(0, 0),
        ],
    ),
    (
        Fault::Late,
        [
            NO_CONNECTION,
            NO_EARLIER,
            whole(1, 0),
            whole(1, 0),
            whole(1, 0),
            whole(0, 0),
        ],
    ),
    (
        Fault::Crossed,
        [
            NO_CONNECTION,
            whole(1, 0),
            whole(1, 0),
            whole(1, 0),
            whole(1, 0),
            whole(0, 0),
        ],
    ),
    (
        Fault::Duplicated,
        [
            NO_CONNECTION,
            NO_TOKEN,
            whole(0, 0),
            whole(0, 0),
            whole(0, 0),
            whole(0, 0),
        ],
    ),
    (Fault::ReportsLag, [whole(0, 0); 6]),
    (
        Fault::HostLeaving,
        [
            whole(0, 1),
            whole(0, 0),
            whole(0, 0),
            whole(0, 0),
            whole(0, 0),
            whole(0, 0),
        ],
    ),
    (
        Fault::CallerGone,
        [Dropped, Dropped, Dropped, Dropped, Dropped, whole(0, 0)],
    ),
];

/// How many slots the first engine has free.
#[derive(Clone, Copy, PartialEq)]
enum Room {
    None,
    One,
    Many,
}

#[derive(Clone, Copy, PartialEq)]
enum End {
    Settled,
    Dropped,
}

/// What is true of the two engines, and what the entry host knows.
struct Session {
    dispatcher: Dispatcher<LeastLoaded>,
    stream: Option<ResumableStream<u64>>,
    received: Vec<u64>,
    now: Moment,
    room: Room,
    taken_at: Moment,
    leaving: bool,
    dead: BTreeSet<u8>,
    /// The attempt whose connection went silent.
    mute: Option<Attempt>,
    resumes: u32,
    end: Option<End>,
    starts: u32,
}

fn engine(n: u8) -> HostName {
    HostName::new(&format!("engine-{n}")).unwrap()
}

fn number(host: &HostName) -> u8 {
    host.as_str().trim_start_matches("engine-").parse().unwrap()
}

fn mine() -> RequestId {
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
            mute: None,
            resumes: 0,
            end: None,
            starts: 0,
        };
        session.dispatcher.offer(ticket(ID), session.now).unwrap();
        session.poll();
        session
    }

    /// Both engines hold the model and have one slot; the second one is a little busier.
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
                .with_resident(Resident {
                    model: ModelName::new("model").unwrap(),
                    version: "1".to_owned(),
                    adapters: Vec::new(),
                })
                .with_report(Report {
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
            if ticket.id == ID {
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
            ResumableStream::new(mine(), Repeat::Allowed, timeouts, host.clone(), now)
        });
        stream.begin_attempt(host, now);
    }

    fn pass(&mut self, millis: u64) {
        self.now = Moment(self.now.0 + millis);
    }

    /// Gives the stream an event of its present attempt.
    fn step(&mut self, event: StreamEvent<u64>) {
        let attempt = self.stream.as_ref().unwrap().attempt();
        self.step_of(attempt, event);
    }

    fn step_of(&mut self, attempt: Attempt, event: StreamEvent<u64>) {
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
                self.end = Some(End::Settled);
                assert!(self.dispatcher.finish(ID, self.now));
            }
            StreamAction::Cancel => self.end = Some(End::Dropped),
            StreamAction::Fail(failure) => panic!("the answer failed: {failure}"),
        }
    }

    fn resume(&mut self, at: ResumeAt) {
        match at {
            ResumeAt::Same(host) if self.dead.contains(&number(&host)) => {
                self.dispatcher
                    .observe(&host, Observation::ConnectFailed, self.now);
                self.step(StreamEvent::Failed);
            }
            ResumeAt::Same(host) => self.connect(host),
            ResumeAt::Other { avoid } => {
                assert!(self.dispatcher.finish(ID, self.now));
                let again = ticket(ID).with_avoid(avoid);
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
            self.step(Self::chunk(next, mine()));
        } else {
            self.step(StreamEvent::Done {
                request: mine(),
                total: TOKENS,
            });
        }
    }

    fn reach(&mut self, step: Step) {
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
            Step::Settled => TOKENS + 1,
        };
        for _ in 0..tokens {
            self.pass(39);
            self.deliver();
        }
    }

    /// Lets the fault happen; with `blind` nobody tells the entry host.
    fn strike(&mut self, fault: Fault, step: Step, blind: bool) {
        let streams = step > Step::Queued;
        match fault {
            Fault::EngineDies => {
                self.dead.insert(0);
                if !blind {
                    self.die(step);
                }
            }
            Fault::Silent if streams => self.mute = Some(self.stream.as_ref().unwrap().attempt()),
            Fault::Silent => {
                // The connection of some other request is the one that goes silent.
                let opened = Moment(10);
                let seen = Observation::Silent { opened };
                self.dispatcher.observe(&engine(0), seen, self.now);
            }
            Fault::Late => {
                self.step(StreamEvent::Failed);
                let next = self.received.len() as u64;
                let before = self.received.clone();
                self.step_of(Attempt(0), Self::chunk(next, mine()));
                assert_eq!(self.received, before, "a late token was forwarded");
            }
            Fault::Crossed => {
                let before = self.received.clone();
                let next = self.received.len() as u64;
                self.step(Self::chunk(next, RequestId::new("other").unwrap()));
                assert_eq!(self.received, before, "a crossed token was forwarded");
            }
            Fault::Duplicated => {
                let before = self.received.clone();
                self.step(Self::chunk(before.len() as u64 - 1, mine()));
                assert_eq!(self.received, before, "a token was forwarded twice");
            }
            Fault::ReportsLag => self.lag(step),
            Fault::HostLeaving => self.leave(step, blind),
            Fault::CallerGone => self.abandon(step),
        }
    }

    fn die(&mut self, step: Step) {
        match step {
            Step::Queued => {
                let seen = Observation::ConnectFailed;
                self.dispatcher.observe(&engine(0), seen, self.now);
            }
            Step::Dispatched => {
                // Nothing has left, so the ticket goes back to the queue as it was.
                let seen = Observation::ConnectFailed;
                self.dispatcher.observe(&engine(0), seen, self.now);
                assert!(self.dispatcher.finish(ID, self.now));
                let again = ticket(ID).with_avoid(vec![engine(0)]);
                self.dispatcher.offer(again, self.now).unwrap();
                self.poll();
            }
            Step::FirstByte | Step::MidStream | Step::LastToken | Step::Settled => {
                self.step(StreamEvent::Failed);
            }
        }
    }

    /// Old reports keep coming: the one slot of the first engine is taken just as long as it is.
    fn lag(&mut self, step: Step) {
        if step == Step::Queued {
            self.room = Room::One;
            self.poll();
        }
        self.dispatcher.offer(ticket(OTHER), self.now).unwrap();
        let started = self.poll();
        let expected = u8::from(step != Step::Settled);
        assert_eq!(started, [(OTHER, engine(expected))]);
        assert!(self.dispatcher.finish(OTHER, self.now));
    }

    fn leave(&mut self, step: Step, blind: bool) {
        self.leaving = !blind;
        if step > Step::Queued && step < Step::Settled {
            self.step(StreamEvent::Leaving);
        }
        if step == Step::Queued {
            return;
        }
        self.room = Room::Many;
        self.dispatcher.offer(ticket(OTHER), self.now).unwrap();
        assert_eq!(self.poll(), [(OTHER, engine(1))], "a leaving host got work");
        assert!(self.dispatcher.finish(OTHER, self.now));
    }

    fn abandon(&mut self, step: Step) {
        if step > Step::Queued {
            self.step(StreamEvent::CallerGone);
        }
        let was = self.dispatcher.cancel(ID, self.now);
        let expected = match step {
            Step::Queued => Cancelled::Waiting,
            Step::Settled => Cancelled::Unknown,
            Step::Dispatched | Step::FirstByte | Step::MidStream | Step::LastToken => {
                Cancelled::Running(engine(0))
            }
        };
        assert_eq!(was, expected);
        self.end.get_or_insert(End::Dropped);
    }

    /// Lets the request go on without further faults; a `blind` host watches no silence.
    fn complete(&mut self, blind: bool) {
        for _ in 0..60 {
            if self.end.is_some() {
                return;
            }
            self.pass(100);
            let Some(stream) = &self.stream else {
                self.room = Room::One;
                self.poll();
                continue;
            };
            let dead = self.dead.contains(&number(stream.host()));
            let quiet = dead || self.mute == Some(stream.attempt());
            if quiet && !blind {
                self.step(StreamEvent::Tick);
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
        assert!(self.end.is_some(), "the answer never ended");
        assert_eq!(self.received, expected);
        Whole {
            resumes: self.resumes,
            on: number(self.stream.as_ref().unwrap().host()),
        }
    }
}

fn run(fault: Fault, step: Step, blind: bool) -> Cell {
    let mut session = Session::new();
    session.reach(step);
    session.strike(fault, step, blind);
    session.complete(blind);
    let cell = session.cell();
    assert_eq!(
        session.dispatcher.running(),
        0,
        "the dispatcher still holds something"
    );
    assert!(session.starts <= 2);
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
    assert_eq!((ran, impossible), (43, 5));
}

#[test]
fn cells_are_red_when_nobody_tells() {
    for fault in [Fault::EngineDies, Fault::Silent, Fault::HostLeaving] {
        let cells = MATRIX.iter().find(|(f, _cells)| *f == fault).unwrap().1;
        let red = STEPS.into_iter().zip(cells).filter(|(step, cell)| {
            let verdict = std::panic::catch_unwind(|| run(fault, *step, true));
            verdict.ok() != Some(*cell)
        });
        let red = red.count();
        println!("{fault:?}: {red} of 6 cells red");
        assert!(red >= 4, "{fault:?}: only {red} cells red");
    }
}
