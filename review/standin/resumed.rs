//! A stream pauses, and the answer of the engine that takes it over is lost.
//!
//! Two engines hold the model. The first one to get a stream is preempted after some events, for
//! less than the two seconds that consumers wait, and goes on. The other one runs what it is asked
//! to resume, and its answer is lost. Broken if the first engine still works 400 ms after the second
//! one began.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::consumer::{self, End};
use crate::deployment::{Route, config};
use crate::engine::{Engine, EngineSetup};
use crate::gateway::Gateway;
use crate::net::{Request, is_closed, wait_open};
use crate::store::Store;
use crate::{Verdict, note, record};

/// Streams that are asked for, one after the other.
const STREAMS: usize = 6;
const EVENTS: u64 = 30;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Events before the pause.
const EVENTS_BEFORE_PAUSE: u64 = 5;
/// Pause of the preempted request; consumers wait for 2 s.
const PAUSE: Duration = Duration::from_millis(1_400);
/// Time in which a prompt is read.
const PROMPT_TIME: Duration = Duration::from_millis(40);
/// Bound of the rule.
const BOUND: Duration = Duration::from_millis(400);
/// Longest gap between events that consumers of this route accept: two seconds are more than four
/// times the objective (1.2 s) and as much as eight times the longest pause (250 ms).
const CONSUMER_GAP: Duration = Duration::from_secs(2);
/// `contact_ms`, and some time for the first orders.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// One run of a request at an engine.
#[derive(Clone, Debug)]
struct Run {
    engine: String,
    from: u64,
    began: Instant,
    ended: Option<Instant>,
}

type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

pub fn run(trouble: bool, folder: &Path) -> Verdict {
    let (store, store_address) = Store::start();
    let route = Route {
        path: "/chat/",
        kind: "streaming",
        service: "adstod",
        timeout_ms: 15_000,
        objective_ms: 300,
        max_attempts: 2,
        more: r#","resumable":true,"gap_aim_ms":250,"sticky":true"#,
    };
    store.put("keyed.op", "config", config(&[route], true).as_bytes());
    let runs = Runs::default();
    for id in ["i-1", "i-2"] {
        let runs = Arc::clone(&runs);
        let setup = EngineSetup {
            id,
            service: "adstod",
            zone: "sudvestur-a",
            models: Some(&["m1"]),
        };
        Engine::start(
            &setup,
            &store,
            Arc::new(
                move |engine: &Engine, request: &Request, stream: &mut TcpStream| {
                    answer(trouble, &runs, engine, request, stream)
                },
            ),
        );
    }
    let gateway = Gateway::start("front-1", "sudvestur-a", store_address, folder);
    if !gateway.wait_ready() {
        return Verdict::CannotRun;
    }
    std::thread::sleep(SETTLING_TIME);
    for number in 0..STREAMS {
        let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + number as u64);
        let more = format!(
            "eelgrasshill-model: m1\r\neelgrasshill-token-count: 600,150\r\n\
             eelgrasshill-prompt-prefix: 5c1e07a2:400,{number:08x}:200\r\ncontent-length: 2\r\n"
        );
        let mut request = consumer::head("POST", "/chat/2f", &id, 15_000, &more);
        request.push_str("hi");
        let seen = consumer::call(gateway.front, &id, request.as_bytes(), CONSUMER_GAP, None);
        if !trouble && seen.end != End::Complete {
            note!("consumer {id} was not served although nothing was lost");
            return Verdict::CannotRun;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    judge(&runs)
}

/// Runs a request, from the event after `Last-Event-Id` on.
fn answer(
    trouble: bool,
    runs: &Runs,
    engine: &Engine,
    request: &Request,
    stream: &mut TcpStream,
) -> bool {
    let id = request.header("eelgrasshill-request-id").to_owned();
    let resumes = !request.header("last-event-id").is_empty();
    let from = request.header("last-event-id").parse().unwrap_or(0);
    note!(
        "server {} gets request {id}, to go on after event {from}",
        engine.id
    );
    if !wait_open(stream, PROMPT_TIME) {
        return false;
    }
    let index = {
        let mut runs = runs.lock().expect("no holder panicked");
        let runs = runs.entry(id.clone()).or_default();
        runs.push(Run {
            engine: engine.id.clone(),
            from,
            began: Instant::now(),
            ended: None,
        });
        runs.len() - 1
    };
    note!(
        "server {} begins to run request {id} after event {from}",
        engine.id
    );
    let is_lost = trouble && resumes;
    let is_whole = write_events(engine, request, stream, from, !resumes, is_lost);
    note!(
        "server {} ends its run of request {id}: {}{}",
        engine.id,
        if is_whole {
            "all events made"
        } else {
            "its connection was closed"
        },
        if is_lost { ", its answer is lost" } else { "" }
    );
    if let Some(run) = runs.lock().expect("no holder panicked").get_mut(&id) {
        run[index].ended = Some(Instant::now());
    }
    is_whole && !is_lost
}

/// Makes the events; returns false if the caller closed the connection.
fn write_events(
    engine: &Engine,
    request: &Request,
    stream: &mut TcpStream,
    from: u64,
    pauses: bool,
    is_lost: bool,
) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}content-type: text/event-stream\r\n\
         eelgrasshill-weight-versions: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        engine.answer_headers(request)
    );
    if !is_lost && stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in from + 1..=EVENTS {
        if pauses && event == EVENTS_BEFORE_PAUSE + 1 {
            note!("server {} preempts the request for {PAUSE:?}", engine.id);
            if !wait_open(stream, PAUSE) {
                return false;
            }
            note!("server {} goes on with the request", engine.id);
        }
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if !is_lost && stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        if !wait_open(stream, EVENT_INTERVAL) {
            return false;
        }
    }
    if is_lost {
        return !is_closed(stream);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// TWICE: a request goes on at another engine while the one before still works on it 400 ms later.
fn judge(runs: &Runs) -> Verdict {
    let runs = runs.lock().expect("no holder panicked");
    let mut broken = 0;
    for (id, runs) in runs.iter() {
        for (index, next) in runs.iter().enumerate() {
            let before = runs[..index].iter().find(|before| {
                before.engine != next.engine
                    && before.ended.is_none_or(|ended| ended > next.began + BOUND)
            });
            if let Some(before) = before {
                broken += 1;
                let over = before.ended.map_or(f64::NAN, record::seconds);
                note!(
                    "TWICE: request {id} goes on at {} after event {} from {:.3} s on, and {} works \
                     on it until {over:.3} s",
                    next.engine,
                    next.from,
                    record::seconds(next.began),
                    before.engine
                );
            }
        }
    }
    note!("{broken} of {} requests broke TWICE", runs.len());
    if runs.len() < STREAMS {
        Verdict::CannotRun
    } else if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
