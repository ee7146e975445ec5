//! Tests that requests which were sent ahead reach the HTTP server one at a time, and unchanged.

#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use actix_web::web::{self, Bytes};
use actix_web::{App, HttpRequest, HttpResponse};
use eelgrasshill_ports::{
    BodyFraming, CallerServerSettings, CallerStream, ConnectionLimit, HeadLimits, HeadRefusal,
    MemoryAccount, MemoryLimits, RequestGate, run_caller_server,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time without a further byte after which the stream holds back what follows.
const HOLD_TIME: Duration = Duration::from_millis(100);

/// Maximum time for the answers of a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size of the headers of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;

fn settings() -> CallerServerSettings {
    CallerServerSettings {
        worker_threads: 1,
        connections: ConnectionLimit::new("test", 16),
        memory: MemoryAccount::new(MemoryLimits::of_machine(64)),
        max_head_bytes: Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)),
        head_timeout: Duration::from_secs(5),
        keep_alive: Duration::from_secs(5),
        allows_half_closed: true,
        shutdown_s: 1,
    }
}

/// Returns both ends of a connection: the caller's, and the server's in a stream with its gate.
async fn connect(allows_half_closed: bool) -> (TcpStream, CallerStream, RequestGate) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (accepted, _from) = listener.accept().await.unwrap();
    let settings = settings();
    let connection = settings.connections.admit().unwrap();
    let heads = HeadLimits {
        max_bytes: settings.max_head_bytes,
        charge: settings.memory.charge(None, connection.memory(), 0),
    };
    let stream = CallerStream::new(accepted, connection, heads, allows_half_closed);
    let gate = stream.gate();
    (caller, stream, gate)
}

/// Reads what the stream passes on until it holds back the rest.
async fn read_passed(stream: &mut CallerStream) -> String {
    let mut passed = Vec::new();
    while let Ok(read) = tokio::time::timeout(HOLD_TIME, stream.read_buf(&mut passed)).await {
        if read.unwrap() == 0 {
            passed.extend(b"<end>");
            break;
        }
    }
    String::from_utf8(passed).unwrap()
}

/// Guards against requests that are decoded long before their turn.
#[actix_web::test]
async fn the_next_head_waits_for_the_answer() {
    let (mut caller, mut stream, gate) = connect(true).await;
    let heads = ["\r\nGET /1 HTTP/1.1\r\na: b\r\n\r\n", "GET /2 HTTP/1.1\n\n"];
    caller.write_all(heads.concat().as_bytes()).await.unwrap();
    assert_eq!(read_passed(&mut stream).await, heads[0]);
    let open = gate.open_request(BodyFraming::Length(0));
    assert_eq!(read_passed(&mut stream).await, "", "before the answer");
    drop(open);
    assert_eq!(read_passed(&mut stream).await, heads[1]);
}

/// Guards against heads that take memory without a bound, and against a refusal of those allowed.
#[actix_web::test]
async fn a_head_that_is_too_large_is_replaced() {
    let line = |length| format!("GET /{} HTTP/1.1\r\n", "x".repeat(length));
    let headers = |length| format!("a: {}\r\n\r\n", "x".repeat(length));
    let cases = [
        (line(8_000), headers(16_000), None),
        (line(9_000), headers(1), Some(HeadRefusal::TooLarge)),
        (line(1), headers(17_000), Some(HeadRefusal::TooLarge)),
        (line(1), "x".repeat(200_000), Some(HeadRefusal::TooLarge)),
    ];
    for (line, headers, refusal) in cases {
        let (mut caller, mut stream, gate) = connect(true).await;
        let sent = format!("{line}{headers}");
        let head = sent.clone();
        let sender = actix_web::rt::spawn(async move {
            caller.write_all(sent.as_bytes()).await.unwrap();
            caller
        });
        let passed = read_passed(&mut stream).await;
        let _caller = sender.await.unwrap();
        assert_eq!(gate.head_refusal(), refusal, "{} bytes", head.len());
        let expected = match refusal {
            Some(_refusal) => "GET / HTTP/1.1\r\nconnection: close\r\n\r\n",
            None => &head,
        };
        assert_eq!(passed, expected);
        drop(gate.open_request(BodyFraming::Length(0)));
        assert_eq!(read_passed(&mut stream).await, "", "after {refusal:?}");
    }
}

/// Guards against a head that passes since it is taken for a part of the body before it.
#[actix_web::test]
async fn a_body_passes_up_to_its_end() {
    let chunked = "3;x=y\r\n\r\n\r\r\n01\r\n0\r\n0\r\nt: 1\r\n\r\n";
    let cases = [
        (BodyFraming::Length(6), "\r\n\r\n\r\n"),
        (BodyFraming::Chunked, chunked),
        (BodyFraming::Chunked, "0\r\n\r\n"),
    ];
    for (framing, body) in cases {
        for is_split in [false, true] {
            let (mut caller, mut stream, gate) = connect(true).await;
            let head = "POST / HTTP/1.1\r\n\r\n";
            let sent = format!("{head}{body}{head}");
            if is_split {
                caller.set_nodelay(true).unwrap();
                caller.write_all(head.as_bytes()).await.unwrap();
            } else {
                caller.write_all(sent.as_bytes()).await.unwrap();
            }
            assert_eq!(read_passed(&mut stream).await, head);
            let open = gate.open_request(framing);
            let mut passed = String::new();
            if is_split {
                for byte in &sent.as_bytes()[head.len()..] {
                    caller.write_all(&[*byte]).await.unwrap();
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    let read = stream.read_u8();
                    if let Ok(read) = tokio::time::timeout(Duration::from_millis(5), read).await {
                        passed.push(char::from(read.unwrap()));
                    }
                }
            }
            passed.push_str(&read_passed(&mut stream).await);
            assert_eq!(passed, body, "{framing:?}, split: {is_split}");
            drop(open);
            let next = read_passed(&mut stream).await;
            assert_eq!(next, head, "after {framing:?}, split: {is_split}");
        }
    }
}

/// Guards against requests that run on for a caller that is gone, as it has sent requests ahead.
#[actix_web::test]
async fn the_end_of_a_connection_is_noticed_behind_requests_ahead() {
    for (allows_half_closed, expected) in [(false, "<end>"), (true, "")] {
        let (mut caller, mut stream, gate) = connect(allows_half_closed).await;
        let head = "GET /1 HTTP/1.1\r\n\r\n";
        caller.write_all(head.repeat(2).as_bytes()).await.unwrap();
        assert_eq!(read_passed(&mut stream).await, head);
        let _open = gate.open_request(BodyFraming::Length(0));
        drop(caller);
        let passed = read_passed(&mut stream).await;
        assert_eq!(passed, expected, "half closed: {allows_half_closed}");
    }
}

/// Answers with the path, the length of the body, and whether the request has its caller's address.
async fn echo(request: HttpRequest, body: Bytes) -> HttpResponse {
    let connection = request.conn_data::<u32>();
    let address = request.peer_addr().map(|address| address.ip().to_string());
    let text = format!(
        "{} {} {connection:?} {address:?}\n",
        request.path(),
        body.len()
    );
    HttpResponse::Ok().body(text)
}

/// Guards against lost, changed and reordered requests, and against a connection that hangs.
#[actix_web::test]
async fn all_requests_ahead_are_answered_in_order() {
    const ROUNDS: usize = 300;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let app = || App::new().default_service(web::to(echo));
    let server = run_caller_server(&settings(), vec![listener], app, |data| {
        data.insert(7_u32);
    })
    .unwrap();
    let handle = server.handle();
    actix_web::rt::spawn(server);
    let mut sent = String::new();
    let mut expected = Vec::new();
    for round in 0..ROUNDS {
        let large = "x\r\n\r\n".repeat(round * 20);
        let tiny = "1\r\n\n\r\n".repeat(round);
        sent.push_str("GET /plain HTTP/1.1\r\nhost: h\r\n\r\n");
        let length = large.len();
        sent.push_str(&format!(
            "POST /sized HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n{large}"
        ));
        sent.push_str(&format!(
            "POST /tiny HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n{tiny}0\r\n\r\n"
        ));
        expected.extend([
            "/plain 0".to_owned(),
            format!("/sized {length}"),
            format!("/tiny {round}"),
        ]);
    }
    sent.push_str("GET /last HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    expected.push("/last 0".to_owned());
    let answers = actix_web::rt::task::spawn_blocking(move || {
        let mut caller = std::net::TcpStream::connect(address).unwrap();
        caller.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        let mut writer = caller.try_clone().unwrap();
        let writing = std::thread::spawn(move || writer.write_all(sent.as_bytes()).unwrap());
        let mut answers = String::new();
        caller.read_to_string(&mut answers).unwrap();
        writing.join().unwrap();
        answers
    });
    let answers = answers.await.unwrap();
    let lines: Vec<&str> = answers
        .lines()
        .filter(|line| line.starts_with('/'))
        .collect();
    let expected: Vec<String> = expected
        .iter()
        .map(|line| format!("{line} Some(7) Some(\"127.0.0.1\")"))
        .collect();
    assert_eq!(lines, expected);
    handle.stop(true).await;
}
