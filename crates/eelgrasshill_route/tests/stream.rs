//! A streamed answer reaches its caller whole, in order and without a repeated token.
//!
//! Each engine continues from the tokens that it was given, so an answer is sound when every
//! token follows from those before it. A script of random bytes decides what goes wrong.

#![expect(
    clippy::unwrap_used,
    reason = "a failed helper fails its test, and the figures are small"
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
const TIMEOUTS: ClassTimeouts = ClassTimeouts {
    queue_wait: Duration::from_secs(1),
    whole_answer: Duration::from_mins(10),
    idle: Duration::from_secs(2),
};

/// Which check the stream is robbed of.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Switch {
    Sound,
    /// Late events pass as those of the present attempt.
    NoAttempt,
    /// Another request's tokens carry this request's id.
    NoRequest,
    /// Every token carries the index that is wanted.
    NoIndex,
}

#[derive(Debug, PartialEq)]
enum Violation {
    QueueOrder(u64),
    Broken(u64),
    Short(usize),
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

/// One engine's side of a connection.
#[derive(Clone, Debug)]
struct Source {
    attempt: Attempt,
    host: HostName,
    tokens: Vec<Token>,
    next: u64,
}

impl Source {
    fn chunk(&mut self, request: &RequestId) -> StreamEvent<Token> {
        let index = self.next;
        while self.tokens.len() as u64 <= index {
            self.tokens.push(token(&self.host, &self.tokens));
        }
        self.next += 1;
        StreamEvent::Chunk {
            request: request.clone(),
            index,
            text: self.tokens[usize::try_from(index).unwrap()],
        }
    }

    fn event(&mut self, request: &RequestId) -> StreamEvent<Token> {
        if self.next < TOKENS {
            return self.chunk(request);
        }
        StreamEvent::Done {
            request: request.clone(),
            total: TOKENS,
        }
    }
}

struct Trial {
    switch: Switch,
    request: RequestId,
    stream: ResumableStream<Token>,
    sources: Vec<Source>,
    received: Vec<Token>,
    now: Moment,
    resumes: u32,
    outcome: Option<Result<(), StreamFailure>>,
}

fn host(n: u8) -> HostName {
    HostName::new(&format!("engine-{n}")).unwrap()
}

impl Trial {
    fn new(switch: Switch) -> Self {
        let request = RequestId::new("mine").unwrap();
        let now = Moment(0);
        let stream =
            ResumableStream::new(request.clone(), Repeat::Allowed, &TIMEOUTS, host(0), now)
                .with_settings(ResumeSettings {
                    max_consecutive: 6,
                    max_total: 24,
                });
        let first = Source {
            attempt: Attempt(0),
            host: host(0),
            tokens: Vec::new(),
            next: 0,
        };
        Self {
            switch,
            request,
            stream,
            sources: vec![first],
            received: Vec::new(),
            now,
            resumes: 0,
            outcome: None,
        }
    }

    fn present(&mut self) -> &mut Source {
        self.sources.last_mut().unwrap()
    }

    fn send(&mut self, attempt: Attempt, mut event: StreamEvent<Token>) -> Result<(), Violation> {
        if let StreamEvent::Chunk { request, index, .. } = &mut event {
            if self.switch == Switch::NoRequest {
                *request = self.request.clone();
            }
            if self.switch == Switch::NoIndex {
                *index = self.stream.tokens().len() as u64;
            }
        }
        let attempt = match self.switch {
            Switch::NoAttempt => self.stream.attempt(),
            Switch::Sound | Switch::NoRequest | Switch::NoIndex => attempt,
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
            return Err(Violation::QueueOrder(index));
        }
        // Some engine must have made this token from exactly what the caller has.
        if !(0..3).any(|n| token(&host(n), &self.received) == text) {
            return Err(Violation::Broken(index));
        }
        self.received.push(text);
        Ok(())
    }

    fn resume(&mut self, attempt: Attempt, from: u64, at: ResumeAt) {
        self.resumes += 1;
        let (host, tokens) = match at {
            ResumeAt::Same(host) => {
                let tokens = self.present().tokens.clone();
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
        self.sources.push(Source {
            attempt,
            host,
            tokens,
            next: from,
        });
    }

    fn fault(&mut self, byte: u8) -> Result<(), Violation> {
        let attempt = self.present().attempt;
        let request = self.request.clone();
        let other = RequestId::new("other").unwrap();
        match byte % 24 {
            0 => self.send(attempt, StreamEvent::Failed),
            1 => {
                self.now = self.now.after(TIMEOUTS.idle);
                self.send(attempt, StreamEvent::Tick)
            }
            2 => {
                let lost = self.present().event(&request);
                drop(lost);
                Ok(())
            }
            3 => {
                let again = self.present().next.saturating_sub(1);
                self.present().next = again;
                let event = self.present().event(&request);
                self.send(attempt, event)
            }
            4 => {
                let crossed = StreamEvent::Chunk {
                    request: other,
                    index: self.received.len() as u64,
                    text: 7,
                };
                self.send(attempt, crossed)
            }
            5 | 6 => self.late(usize::from(byte / 24)),
            7 => self.send(attempt, StreamEvent::Leaving),
            8 => {
                let total = self.received.len() as u64 + 1;
                self.send(attempt, StreamEvent::Done { request, total })
            }
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
                let event = self.present().event(&request);
                self.send(attempt, event)
            }
        }
    }

    /// Delivers what an earlier connection still holds, up to the token that is wanted.
    fn late(&mut self, position: usize) -> Result<(), Violation> {
        let position = position % self.sources.len();
        let request = self.request.clone();
        loop {
            let wanted = self.received.len() as u64;
            let late = &mut self.sources[position];
            let attempt = late.attempt;
            let event = late.event(&request);
            let at_end = late.next > wanted || late.next == TOKENS;
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
            self.now = Moment(self.now.0 + 39);
            self.fault(*byte)?;
        }
        // From here on nothing fails any more, so the answer has to end.
        for _ in 0..200 {
            if self.outcome.is_some() {
                break;
            }
            let attempt = self.present().attempt;
            let request = self.request.clone();
            let event = self.present().event(&request);
            self.send(attempt, event)?;
        }
        self.check()
    }

    fn check(self) -> Result<Self, Violation> {
        match self.outcome {
            None => Err(Violation::NeverEnds),
            Some(Ok(())) if self.received.len() as u64 != TOKENS => {
                Err(Violation::Short(self.received.len()))
            }
            Some(Err(StreamFailure::ResumesExhausted)) if self.resumes >= 6 => Ok(self),
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
fn stream_is_whole_under_faults() {
    let mut resumed = 0;
    for seed in 0..SEEDS {
        match Trial::new(Switch::Sound).run(&script(seed)) {
            Ok(trial) => resumed += u64::from(trial.resumes > 0 && trial.outcome == Some(Ok(()))),
            Err(violation) => panic!("seed {seed}: {violation:?}"),
        }
    }
    assert!(resumed > SEEDS / 4, "only {resumed} answers were resumed");
}

#[test]
fn stream_is_whole_under_generated_faults() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<Vec<u8>>()
        .for_each(|script| {
            let verdict = Trial::new(Switch::Sound).run(script);
            assert!(verdict.is_ok(), "{:?}", verdict.err());
        });
}

#[test]
fn each_check_is_needed() {
    for switch in [Switch::NoAttempt, Switch::NoRequest, Switch::NoIndex] {
        let red = (0..SEEDS)
            .filter(|seed| Trial::new(switch).run(&script(*seed)).is_err())
            .count();
        println!("{switch:?}: {red} of {SEEDS} seeds red");
        assert!(red > 100, "{switch:?} was red on {red} seeds only");
    }
}

struct Case {
    name: &'static str,
    repeat: Repeat,
    events: Vec<(u64, StreamEvent<Token>)>,
    last: StreamAction<Token>,
}

#[test]
fn ends_are_typed() {
    let crossed = StreamEvent::Chunk {
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
            name: "crossed answer of a call that is not repeatable",
            repeat: Repeat::Never,
            events: vec![(1, crossed)],
            last: StreamAction::Fail(StreamFailure::NotRepeatable),
        },
        Case {
            name: "resumes spent",
            repeat: Repeat::Allowed,
            events: (1..=5).map(|at| (at, StreamEvent::Failed)).collect(),
            last: StreamAction::Fail(StreamFailure::ResumesExhausted),
        },
        Case {
            name: "caller gone",
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
        assert_eq!(after, None, "{} acts after its end", case.name);
    }
}
