//! Tests at which engines an answer goes on, and that the earlier run of it has ended before.

#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrasshill_domain::{ConfigRecord, Edit, HostName, RowChange, RowKey, Version};
use eelgrasshill_ports::EngineReport;
use serde_json::{Value, json};
use support::Fleet;
use support::caller::{Reply, chat};

/// Time after the start of a later run in which the earlier one must have ended.
const BOUND: Duration = Duration::from_millis(400);

/// Number of tokens before the first engine falls silent.
const TOKENS_BEFORE_SILENCE: u64 = 3;

const TOKENS: u64 = 10;

/// One run of the answer.
#[derive(Clone, Copy, Debug)]
struct Run {
    engine: usize,
    started_at: Instant,
    ended_at: Option<Instant>,
}

type Runs = Arc<Mutex<Vec<Run>>>;

/// Reads a request; returns its path and body, or none where the connection has ended.
fn read_request(stream: &mut TcpStream) -> Option<(String, Value)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(": ")?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.parse::<usize>().unwrap())
            });
            if body.len() >= length.unwrap_or(0) {
                let path = head.split(' ').nth(1)?.to_owned();
                return Some((path, serde_json::from_str(body).unwrap_or_default()));
            }
        }
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => bytes.extend_from_slice(&buffer[..read]),
            _ => return None,
        }
    }
}

/// Streams the answer's tokens up to `end`, and its last event if that is all of them.
fn write_tokens(stream: &mut TcpStream, request: &Value, end: u64) {
    let from = request["resume"]["index"].as_u64();
    let mut events = String::new();
    for index in from.unwrap_or(0)..end {
        let chunk = json!({"id": request["id"], "index": index, "text": format!("t{index} "),
            "finish": null, "usage": null});
        events += &format!("data: {chunk}\n\n");
    }
    if end == TOKENS {
        let chunk = json!({"id": request["id"], "index": end, "text": "", "finish": "stop",
            "usage": null});
        events += &format!("data: {chunk}\n\n");
    }
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let last_chunk = if end == TOKENS { "0\r\n\r\n" } else { "" };
    let answer = format!("{head}\r\n{:x}\r\n{events}\r\n{last_chunk}", events.len());
    stream.write_all(answer.as_bytes()).unwrap();
}

/// Serves one connection of an engine.
///
/// The first engine that gets the answer sends some tokens and falls silent. Further runs on the same
/// engine send nothing. Another engine sends the rest.
///
/// After its first run, it reports as if it had restarted with the software `restarted`, if not empty.
fn serve(
    mut stream: TcpStream,
    engine: usize,
    mut report: EngineReport,
    restarted: &str,
    runs: &Runs,
) {
    while let Some((path, request)) = read_request(&mut stream) {
        if path == "/report" {
            let has_run = runs.lock().unwrap().iter().any(|run| run.engine == engine);
            if has_run && !restarted.is_empty() {
                restarted.clone_into(&mut report.software);
                report.report_number += 1;
            }
            let report = serde_json::to_string(&report).unwrap();
            let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
            let answer = format!("{head}content-length: {}\r\n\r\n{report}", report.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if path != "/generate" {
            // Orders and cancellations are not answered.
            return;
        }
        let (number, first_engine) = {
            let mut runs = runs.lock().unwrap();
            runs.push(Run {
                engine,
                started_at: Instant::now(),
                ended_at: None,
            });
            (runs.len() - 1, runs[0].engine)
        };
        let is_silent = engine == first_engine;
        if number == 0 {
            write_tokens(&mut stream, &request, TOKENS_BEFORE_SILENCE);
        } else if !is_silent {
            write_tokens(&mut stream, &request, TOKENS);
        }
        if is_silent {
            // Ends when the connection is closed or reset.
            let _ended = stream.read(&mut [0; 64]);
        }
        runs.lock().unwrap()[number].ended_at = Some(Instant::now());
        return;
    }
}

fn start_engine(
    engine: usize,
    report: EngineReport,
    restarted: &'static str,
    runs: &Runs,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::clone(runs);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (report, runs) = (report.clone(), Arc::clone(&runs));
            std::thread::spawn(move || serve(stream, engine, report, restarted, &runs));
        }
    });
    address
}

/// Sends a request to three engines of the given software versions; returns the answer and its runs.
///
/// Each engine restarts with the software `restarted` after its first run, unless that is empty.
async fn run_answer(software: [&str; 3], restarted: &'static str) -> (Reply, Vec<Run>) {
    let mut fleet = Fleet::start(0);
    let runs = Runs::default();
    let mut changes = Vec::new();
    for (number, engine) in fleet.engines.iter().enumerate() {
        let mut report = engine.handle.report();
        software[number].clone_into(&mut report.software);
        let address = start_engine(number, report, restarted, &runs);
        let name: HostName = format!("engine-{number}").parse().unwrap();
        fleet.tables.hosts.get_mut(&name).unwrap().address = address;
        let key = RowKey::Host(name);
        changes.push(RowChange {
            // The tables are the first record of the log.
            base: Version(1),
            row: fleet.tables.get(&key),
            key,
        });
    }
    fleet.append(ConfigRecord::Edit(Edit {
        author: "test".to_owned(),
        changes,
    }));
    fleet.add_host("zone-a");
    fleet.list_hosts();
    fleet.wait_ready();
    let key = fleet.issue_key("crew-1", "crew");
    let reply = chat(&fleet.url(0, ""), Some(key.reveal()), "notes", "x", TOKENS).await;
    std::thread::sleep(BOUND);
    let runs = runs.lock().unwrap().clone();
    (reply, runs)
}

/// Guards against an engine that is kept at work on an answer which goes on over another connection.
#[actix_web::test]
async fn an_earlier_run_ends_before_a_later_one_goes_on() {
    let (reply, runs) = run_answer([""; 3], "").await;
    let expected: String = (0..TOKENS).map(|index| format!("t{index} ")).collect();
    assert!(reply.is_complete(), "{reply:?}: {runs:?}");
    assert_eq!(reply.text(), expected, "{runs:?}");
    assert!(
        runs.iter().any(|run| run.engine != runs[0].engine),
        "the answer did not go on at another engine: {runs:?}"
    );
    for pair in runs.windows(2) {
        let after = pair[0]
            .ended_at
            .map(|ended_at| ended_at.saturating_duration_since(pair[1].started_at));
        assert!(after.is_some_and(|after| after <= BOUND), "{runs:?}");
    }
}

/// Guards against an answer that goes on at an engine of another software version.
#[actix_web::test]
async fn an_answer_goes_on_only_at_its_software_version() {
    let cases = [
        (["1", "2", "3"], ""),
        (["1", "1", "2"], ""),
        (["1", "1", "2"], "2"),
    ];
    for (software, restarted) in cases {
        let (reply, runs) = run_answer(software, restarted).await;
        let first = runs[0].engine;
        let has_other = |engine: usize| {
            software[engine] != software[first] || engine == first && !restarted.is_empty()
        };
        let goes_on = (0..software.len()).any(|engine| engine != first && !has_other(engine));
        assert!(
            !runs[1..].iter().any(|run| has_other(run.engine)) && reply.is_complete() == goes_on,
            "{software:?}, restarted {restarted:?}: {reply:?}: {runs:?}"
        );
    }
}
