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

/// Streams without a pause, asked for first.
const PLAIN_STREAMS: u64 = 8;
/// Streams with a pause, asked for one after the other.
const STREAMS: u64 = 8;
/// Id of the first of them.
const FIRST_ID: u64 = 0x9c41_d07b_e2a3_0000;
/// Engine that loses answers: one of two, as the site allows a share of 0.6.
const LOSING_ENGINE: &str = "i-2";
/// Percentage of its runs whose answers it loses at most, as the site allows.
const LOST_PERCENT: usize = 40;
/// Time for which answers are lost, as the site allows.
const LOST_TIME: Duration = Duration::from_millis(5_500);
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
    is_lost: bool,
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
    for number in 0..PLAIN_STREAMS + STREAMS {
        let id = match number.checked_sub(PLAIN_STREAMS) {
            Some(paused) => FIRST_ID + paused,
            None => number + 1,
        };
        let id = format!("{id:016x}");
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
        std::thread::sleep(Duration::from_millis(200));
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
    let mut all = runs.lock().expect("no holder panicked");
    let own: Vec<_> = all
        .values()
        .flatten()
        .filter(|run| run.engine == engine.id)
        .collect();
    let lost = own.iter().filter(|run| run.is_lost).count();
    let may_lose = (lost + 1) * 100 <= (own.len() + 1) * LOST_PERCENT;
    let first_lost = all.values().flatten().find(|run| run.is_lost);
    let is_over = first_lost.is_some_and(|run| run.began.elapsed() > LOST_TIME);
    let is_lost = trouble && resumes && engine.id == LOSING_ENGINE && may_lose && !is_over;
    let of_request = all.entry(id.clone()).or_default();
    of_request.push(Run {
        engine: engine.id.clone(),
        from,
        began: Instant::now(),
        ended: None,
        is_lost,
    });
    let index = of_request.len() - 1;
    drop(all);
    note!(
        "server {} begins to run request {id} after event {from}",
        engine.id
    );
    let pauses = !resumes && u64::from_str_radix(&id, 16).is_ok_and(|id| id >= FIRST_ID);
    let is_whole = write_events(engine, request, stream, from, pauses, is_lost);
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
    let lost = runs.values().flatten().filter(|run| run.is_lost).count();
    let at_engine = runs
        .values()
        .flatten()
        .filter(|run| run.engine == LOSING_ENGINE);
    note!(
        "{LOSING_ENGINE} lost the answers of {lost} of its {} runs",
        at_engine.count()
    );
    if runs.len() < (PLAIN_STREAMS + STREAMS) as usize {
        Verdict::CannotRun
    } else if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
