//! Tests that a streamed answer reaches its caller complete, in order and without repeated tokens.
//!
//! Each token of the simulated engines depends on all tokens before it, so an answer spliced
//! together wrongly is detected. A script of random bytes decides which faults happen. The test
//! must also detect when one check of the state machine is bypassed.

#![expect(
    clippy::unwrap_used,
    reason = "a failed helper fails its test, and the numbers are small"
)]

use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment, Repeat, RequestId};
use eelgrasshill_route::{
    Attempt, ClassTimeouts, ResumableStream, ResumeAt, ResumeSettings, StreamAction, StreamEvent,
    StreamFailure,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const TOKENS: u64 = 12;
const SEEDS: u64 = 3_000;
const TOKEN_GAP_MS: u64 = 39;
const MAX_CONSECUTIVE_RESUMES: u32 = 6;
/// Seeds of which more must break a rule if a check is bypassed.
const MIN_FAILED_SEEDS: usize = 100;
const TIMEOUTS: ClassTimeouts = ClassTimeouts {
    queue_wait: Duration::from_secs(1),
    whole_answer: Duration::from_mins(10),
    idle: Duration::from_secs(2),
};

/// Check of the state machine that the test bypasses.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bypass {
    Nothing,
    /// Late events carry the number of the current attempt.
    AttemptNumber,
    /// Another request's tokens carry this request's id.
    RequestIds,
    /// Every token carries the index that is expected next.
    TokenIndex,
}

/// Property of the answer that was broken.
#[derive(Debug, PartialEq)]
enum Violation {
    /// A token with this index arrived out of order.
    OutOfOrder(u64),
    /// No engine makes the token of this index from the tokens before it.
    WrongToken(u64),
    /// The answer ended with this number of tokens.
    Incomplete(usize),
    NeverEnds,
    NeedlessFailure(StreamFailure),
}

type Token = u64;

fn token(host: &HostName, before: &[Token]) -> Token {
    let seed = host.as_str().bytes().map(u64::from).sum::<u64>();
    before.iter().fold(seed, |hash, t| {
        (hash.rotate_left(7) ^ t ^ 0x5bd1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    })
}

/// The engine's side of one connection.
#[derive(Clone, Debug)]
struct EngineConnection {
    attempt: Attempt,
    host: HostName,
    tokens: Vec<Token>,
    next_token: u64,
}

impl EngineConnection {
    fn chunk(&mut self, request: &RequestId) -> StreamEvent<Token> {
        let index = self.next_token;
        while self.tokens.len() as u64 <= index {
            self.tokens.push(token(&self.host, &self.tokens));
        }
        self.next_token += 1;
        StreamEvent::Chunk {
            request: request.clone(),
            index,
            text: self.tokens[usize::try_from(index).unwrap()],
        }
    }

    fn event(&mut self, request: &RequestId) -> StreamEvent<Token> {
        if self.next_token < TOKENS {
            return self.chunk(request);
        }
        StreamEvent::Done {
            request: request.clone(),
            total: TOKENS,
        }
    }
}

struct Simulation {
    bypass: Bypass,
    request: RequestId,
    stream: ResumableStream<Token>,
    connections: Vec<EngineConnection>,
    received: Vec<Token>,
    now: Moment,
    resumes: u32,
    outcome: Option<Result<(), StreamFailure>>,
}

fn host(n: u8) -> HostName {
    HostName::new(&format!("engine-{n}")).unwrap()
}

impl Simulation {
    fn new(bypass: Bypass) -> Self {
        let request = RequestId::new("mine").unwrap();
        let now = Moment(0);
        let stream =
            ResumableStream::new(request.clone(), Repeat::Allowed, &TIMEOUTS, host(0), now)
                .with_settings(ResumeSettings {
                    max_consecutive: MAX_CONSECUTIVE_RESUMES,
                    max_total: 24,
                });
        let first = EngineConnection {
            attempt: Attempt(0),
            host: host(0),
            tokens: Vec::new(),
            next_token: 0,
        };
        Self {
            bypass,
            request,
            stream,
            connections: vec![first],
            received: Vec::new(),
            now,
            resumes: 0,
            outcome: None,
        }
    }

    fn current_connection(&mut self) -> &mut EngineConnection {
        self.connections.last_mut().unwrap()
    }

    fn send(&mut self, attempt: Attempt, mut event: StreamEvent<Token>) -> Result<(), Violation> {
        if let StreamEvent::Chunk { request, index, .. } = &mut event {
            if self.bypass == Bypass::RequestIds {
                *request = self.request.clone();
            }
            if self.bypass == Bypass::TokenIndex {
                *index = self.stream.tokens().len() as u64;
            }
        }
        let attempt = match self.bypass {
            Bypass::AttemptNumber => self.stream.attempt(),
            Bypass::Nothing | Bypass::RequestIds | Bypass::TokenIndex => attempt,
        };
        let Some(action) = self.stream.step(attempt, event, self.now) else {
            return Ok(());
        };
        match action {
            StreamAction::Forward { index, text } => self.receive(index, text),
            StreamAction::Resume {
                attempt, from, at, ..
            } => {
                self.resume(attempt, from, at);
                Ok(())
            }
            StreamAction::Finish => {
                self.outcome = Some(Ok(()));
                Ok(())
            }
            StreamAction::Fail(failure) => {
                self.outcome = Some(Err(failure));
                Ok(())
            }
            StreamAction::Cancel => Ok(()),
        }
    }

    fn receive(&mut self, index: u64, text: Token) -> Result<(), Violation> {
        if index != self.received.len() as u64 {
            return Err(Violation::OutOfOrder(index));
        }
        // Some engine must have made this token from exactly the tokens that the caller has.
        if !(0..3).any(|n| token(&host(n), &self.received) == text) {
            return Err(Violation::WrongToken(index));
        }
        self.received.push(text);
        Ok(())
    }

    fn resume(&mut self, attempt: Attempt, from: u64, at: ResumeAt) {
        self.resumes += 1;
        let (host, tokens) = match at {
            ResumeAt::Same(host) => {
                let tokens = self.current_connection().tokens.clone();
                (host, tokens)
            }
            ResumeAt::Other { avoid } => {
                let free = (0..3).map(host).find(|h| !avoid.contains(h));
                (
                    free.unwrap_or_else(|| host(0)),
                    self.stream.tokens().to_vec(),
                )
            }
        };
        self.stream.begin_attempt(host.clone(), self.now);
        self.connections.push(EngineConnection {
            attempt,
            host,
            tokens,
            next_token: from,
        });
    }

    /// Sends the fault, or else the next event, that a byte of the script stands for.
    fn step(&mut self, byte: u8) -> Result<(), Violation> {
        let attempt = self.current_connection().attempt;
        let request = self.request.clone();
        let other = RequestId::new("other").unwrap();
        match byte % 24 {
            0 => self.send(attempt, StreamEvent::Failed),
            // The connection is silent for too long.
            1 => {
                self.now = self.now.after(TIMEOUTS.idle);
                self.send(attempt, StreamEvent::Tick)
            }
            // An event is lost.
            2 => {
                let lost = self.current_connection().event(&request);
                drop(lost);
                Ok(())
            }
            // The last event is repeated.
            3 => {
                let last = self.current_connection().next_token.saturating_sub(1);
                self.current_connection().next_token = last;
                let event = self.current_connection().event(&request);
                self.send(attempt, event)
            }
            // A token of another request arrives.
            4 => {
                let other_requests_token = StreamEvent::Chunk {
                    request: other,
                    index: self.received.len() as u64,
                    text: 7,
                };
                self.send(attempt, other_requests_token)
            }
            5 | 6 => self.deliver_late(usize::from(byte / 24)),
            7 => self.send(attempt, StreamEvent::Leaving),
            // The end arrives before the last token.
            8 => {
                let total = self.received.len() as u64 + 1;
                self.send(attempt, StreamEvent::Done { request, total })
            }
            // The end of another request arrives.
            9 => {
                let done = StreamEvent::Done {
                    request: other,
                    total: self.received.len() as u64,
                };
                self.send(attempt, done)
            }
            10 => self.send(attempt, StreamEvent::Ping),
            11 => {
                self.send(attempt, StreamEvent::Leaving)?;
                self.send(attempt, StreamEvent::Failed)
            }
            _ => {
                let event = self.current_connection().event(&request);
                self.send(attempt, event)
            }
        }
    }

    /// Delivers the remaining events of a connection, up to the token that is expected next.
    fn deliver_late(&mut self, position: usize) -> Result<(), Violation> {
        let position = position % self.connections.len();
        let request = self.request.clone();
        loop {
            let expected = self.received.len() as u64;
            let connection = &mut self.connections[position];
            let attempt = connection.attempt;
            let event = connection.event(&request);
            let at_end = connection.next_token > expected || connection.next_token == TOKENS;
            self.send(attempt, event)?;
            if at_end || self.outcome.is_some() {
                return Ok(());
            }
        }
    }

    fn run(mut self, script: &[u8]) -> Result<Self, Violation> {
        for byte in script {
            if self.outcome.is_some() {
                break;
            }
            self.now = Moment(self.now.0 + TOKEN_GAP_MS);
            self.step(*byte)?;
        }
        // Without further faults the answer has to end.
        for _ in 0..200 {
            if self.outcome.is_some() {
                break;
            }
            let attempt = self.current_connection().attempt;
            let request = self.request.clone();
            let event = self.current_connection().event(&request);
            self.send(attempt, event)?;
        }
        self.check()
    }

    fn check(self) -> Result<Self, Violation> {
        match self.outcome {
            None => Err(Violation::NeverEnds),
            Some(Ok(())) if self.received.len() as u64 != TOKENS => {
                Err(Violation::Incomplete(self.received.len()))
            }
            Some(Err(StreamFailure::ResumesExhausted))
                if self.resumes >= MAX_CONSECUTIVE_RESUMES =>
            {
                Ok(self)
            }
            Some(Err(failure)) => Err(Violation::NeedlessFailure(failure)),
            Some(Ok(())) => Ok(self),
        }
    }
}

fn script(seed: u64) -> Vec<u8> {
    let mut random = StdRng::seed_from_u64(seed);
    let len = random.random_range(8..60);
    (0..len).map(|_| random.random()).collect()
}

#[test]
fn answer_is_complete_under_faults() {
    let mut resumed = 0;
    for seed in 0..SEEDS {
        match Simulation::new(Bypass::Nothing).run(&script(seed)) {
            Ok(ended) => resumed += u64::from(ended.resumes > 0 && ended.outcome == Some(Ok(()))),
            Err(violation) => panic!("seed {seed}: {violation:?}"),
        }
    }
    assert!(
        resumed > SEEDS / 4,
        "only {resumed} of {SEEDS} answers were complete after a resume, expected more than a quarter"
    );
}

#[test]
fn answer_is_complete_under_generated_faults() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<u8>>()
        .for_each(|script| {
            let outcome = Simulation::new(Bypass::Nothing).run(script);
            assert!(outcome.is_ok(), "{:?}", outcome.err());
        });
}

#[test]
fn a_bypassed_check_breaks_the_answer() {
    for bypass in [
        Bypass::AttemptNumber,
        Bypass::RequestIds,
        Bypass::TokenIndex,
    ] {
        let failed_seeds = (0..SEEDS)
            .filter(|seed| Simulation::new(bypass).run(&script(*seed)).is_err())
            .count();
        println!("bypassed {bypass:?}: {failed_seeds} of {SEEDS} seeds broke a rule");
        assert!(
            failed_seeds > MIN_FAILED_SEEDS,
            "bypassed {bypass:?}: only {failed_seeds} seeds broke a rule, expected more than {MIN_FAILED_SEEDS}"
        );
    }
}

struct Case {
    name: &'static str,
    repeat: Repeat,
    events: Vec<(u64, StreamEvent<Token>)>,
    last: StreamAction<Token>,
}

#[test]
fn each_way_to_end_gives_the_expected_last_action() {
    let other_requests_token = StreamEvent::Chunk {
        request: RequestId::new("other").unwrap(),
        index: 0,
        text: 1,
    };
    let cases = [
        Case {
            name: "deadline",
            repeat: Repeat::Allowed,
            events: vec![(600_000, StreamEvent::Ping)],
            last: StreamAction::Fail(StreamFailure::Deadline),
        },
        Case {
            name: "not repeatable",
            repeat: Repeat::Never,
            events: vec![(1, StreamEvent::Failed)],
            last: StreamAction::Fail(StreamFailure::NotRepeatable),
        },
        Case {
            name: "answer of another request on a call that is not repeatable",
            repeat: Repeat::Never,
            events: vec![(1, other_requests_token)],
            last: StreamAction::Fail(StreamFailure::NotRepeatable),
        },
        // The default allows four resumes in a row, so the fifth failure ends the answer.
        Case {
            name: "too many resumes",
            repeat: Repeat::Allowed,
            events: (1..=5).map(|at| (at, StreamEvent::Failed)).collect(),
            last: StreamAction::Fail(StreamFailure::ResumesExhausted),
        },
        Case {
            name: "caller disconnected",
            repeat: Repeat::Allowed,
            events: vec![(1, StreamEvent::Opened), (2, StreamEvent::CallerGone)],
            last: StreamAction::Cancel,
        },
    ];
    for case in cases {
        let request = RequestId::new("mine").unwrap();
        let mut stream = ResumableStream::new(request, case.repeat, &TIMEOUTS, host(0), Moment(0));
        let mut last = None;
        for (at, event) in case.events {
            let attempt = stream.attempt();
            last = stream.step(attempt, event, Moment(at));
        }
        assert_eq!(last, Some(case.last), "{}", case.name);
        assert!(stream.is_ended(), "{}", case.name);
        let after = stream.step(stream.attempt(), StreamEvent::Failed, Moment(9));
        assert_eq!(
            after, None,
            "{}: no action is expected after the end",
            case.name
        );
    }
}

/// Guards against a resume because of a time in which the connection was not read.
#[test]
fn an_extension_delays_the_idle_timeout_but_not_the_deadline() {
    let request = RequestId::new("mine").unwrap();
    let mut stream: ResumableStream<Token> =
        ResumableStream::new(request, Repeat::Allowed, &TIMEOUTS, host(0), Moment(0));
    let attempt = stream.attempt();
    stream.extend_idle(Moment(1_000));
    assert_eq!(stream.next_wake(), Some(Moment(2_000)));
    stream.extend_idle(Moment(3_000));
    assert_eq!(stream.next_wake(), Some(Moment(3_000)));
    assert_eq!(stream.step(attempt, StreamEvent::Tick, Moment(2_999)), None);
    // The next event ends the extension.
    stream.extend_idle(Moment(9_000));
    stream.step(attempt, StreamEvent::Ping, Moment(3_000));
    assert_eq!(stream.next_wake(), Some(Moment(5_000)));
    let silent = stream.step(attempt, StreamEvent::Tick, Moment(5_000));
    assert!(
        matches!(silent, Some(StreamAction::Resume { .. })),
        "{silent:?}"
    );
    stream.extend_idle(Moment(700_000));
    assert_eq!(stream.next_wake(), Some(Moment(600_000)));
}
