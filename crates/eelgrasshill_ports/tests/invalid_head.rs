//! Tests that an answer whose status line is invalid is a broken answer in each client.

#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use eelgrasshill_domain::{Class, ModelName, RequestId};
use eelgrasshill_ports::{
    CallError, EngineClient as _, GenerateRequest, HttpClient, HttpClientSettings, HttpEngine,
    HttpPlain, HttpPool, PlainCall, PlainClient as _, call_unpooled,
};
use http_body_util::Full;

const TIMEOUT: Duration = Duration::from_secs(10);
const MAX_BYTES: usize = 1 << 20;

/// Status lines that are valid, as a check of the test itself.
const VALID: [&str; 4] = [
    "HTTP/1.1 200 OK",
    "HTTP/1.0 200 OK",
    "HTTP/1.1 200 ",
    "HTTP/1.1 299 Any reason",
];

/// An invalid status line, by what is wrong with it.
struct Case {
    fault: &'static str,
    line: &'static str,
}

const fn case(fault: &'static str, line: &'static str) -> Case {
    Case { fault, line }
}

const INVALID: [Case; 45] = [
    case("status", "HTTP/1.1 000 X"),
    case("status", "HTTP/1.1 001 X"),
    case("status", "HTTP/1.1 099 X"),
    case("status", "HTTP/1.1 600 X"),
    case("status", "HTTP/1.1 700 X"),
    case("status", "HTTP/1.1 999 X"),
    case("status", "HTTP/1.1 600 "),
    case("status", "HTTP/1.0 600 X"),
    case("number of digits", "HTTP/1.1 2 OK"),
    case("number of digits", "HTTP/1.1 20 OK"),
    case("number of digits", "HTTP/1.1 2000 OK"),
    case("number of digits", "HTTP/1.1 0200 OK"),
    case("letters", "HTTP/1.1 abc OK"),
    case("letters", "HTTP/1.1 2OO OK"),
    case("letters", "HTTP/1.1 0x2 OK"),
    case("letters", "HTTP/1.1 200OK"),
    case("letters", "HTTP/1.1 \u{ff12}\u{ff10}\u{ff10} OK"),
    case("no status", "HTTP/1.1"),
    case("no status", "HTTP/1.1 "),
    case("no status", "HTTP/1.1 OK"),
    case("no status", "HTTP/1.1  OK"),
    case("sign", "HTTP/1.1 +20 OK"),
    case("sign", "HTTP/1.1 -20 OK"),
    case("sign", "HTTP/1.1 +200 OK"),
    case("sign", "HTTP/1.1 -200 OK"),
    case("spaces", "HTTP/1.1  200 OK"),
    case("spaces", "HTTP/1.1 2 0 OK"),
    case("spaces", "HTTP/1.1 20  OK"),
    case("spaces", "HTTP/1.1\t200 OK"),
    case("spaces", "HTTP/1.1 200\tOK"),
    case("spaces", " HTTP/1.1 200 OK"),
    case("version", "HTTP/2.0 200 OK"),
    case("version", "HTTP/2 200 OK"),
    case("version", "HTTP/0.9 200 OK"),
    case("version", "HTTP/1.2 200 OK"),
    case("version", "HTTP/1.10 200 OK"),
    case("version", "HTTP/1 200 OK"),
    case("version", "http/1.1 200 OK"),
    case("version", "HTTPS/1.1 200 OK"),
    case("version", "ICY 200 OK"),
    case("version", "200 OK"),
    case("reason", "HTTP/1.1 200 O\0K"),
    case("reason", "HTTP/1.1 200 O\x1bK"),
    case("reason", "HTTP/1.1 200 O\x7fK"),
    case("reason", "HTTP/1.1 200 O\rK"),
];

/// Framed body of each answer.
const REST: &str = "x-request-id: r-1\r\ncontent-length: 2\r\n\r\n{}";

/// Reads a request that arrives at once.
fn read_request(stream: &mut TcpStream) {
    let read = stream.read(&mut [0; 4096]).unwrap();
    assert!(read > 0, "the server received no request");
}

/// Serves one connection: valid answers first, then one with the given status line.
fn serve(valid: usize, line: &'static str) -> (SocketAddr, std::thread::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _from) = listener.accept().unwrap();
        for _answer in 0..valid {
            read_request(&mut stream);
            let answer = format!("HTTP/1.1 200 OK\r\n{REST}");
            stream.write_all(answer.as_bytes()).unwrap();
        }
        read_request(&mut stream);
        let answer = format!("{line}\r\n{REST}");
        stream.write_all(answer.as_bytes()).unwrap();
    });
    (address, server)
}

fn plain_call() -> PlainCall {
    PlainCall {
        request_id: RequestId::new("r-1").unwrap(),
        method: Method::POST,
        path_and_query: "/reserve".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        is_repeatable: false,
    }
}

fn generate_request() -> GenerateRequest {
    GenerateRequest {
        id: RequestId::new("r-1").unwrap(),
        model: ModelName::new("m").unwrap(),
        version: String::new(),
        adapter: None,
        input: serde_json::Value::Null,
        max_tokens: 1,
        class: Class::Interactive,
        resume: None,
    }
}

fn request() -> hyper::Request<Full<Bytes>> {
    hyper::Request::post("/order")
        .body(Full::default())
        .unwrap()
}

/// Calls a server in each way that there is; returns the error, or what was taken for an answer.
///
/// Orders to engines go through `unpooled`, requests for their reports through `pooled`.
async fn call(client: &str, valid: usize, address: SocketAddr) -> Result<String, CallError> {
    let settings = HttpClientSettings {
        answer_timeout: TIMEOUT,
        ..HttpClientSettings::default()
    };
    match client {
        "plain" => {
            let plain = HttpPlain::new(&settings);
            let reply = plain.call(address, &plain_call(), TIMEOUT).await?;
            Ok(format!("{reply:?}"))
        }
        "unpooled" => {
            let reply = call_unpooled(address, request(), TIMEOUT, MAX_BYTES).await?;
            Ok(format!("{reply:?}"))
        }
        "pooled" => {
            let pool = HttpPool::new();
            for _answer in 0..valid {
                pool.call(address, request(), TIMEOUT, MAX_BYTES).await?;
            }
            let reply = pool.call(address, request(), TIMEOUT, MAX_BYTES).await?;
            Ok(format!("{reply:?}"))
        }
        "json" => {
            let http = HttpClient::new(settings);
            for _answer in 0..valid {
                http.get::<serde_json::Value>(address, "/report", Duration::ZERO)
                    .await?;
            }
            let reply: serde_json::Value = http.get(address, "/report", Duration::ZERO).await?;
            Ok(reply.to_string())
        }
        "engine" => {
            let engine = HttpEngine::new(HttpClient::new(settings), TIMEOUT);
            engine.generate(address, &generate_request()).await?;
            Ok("events".to_owned())
        }
        other => unreachable!("no client {other}"),
    }
}

/// Each client, with the number of valid answers that its connection carries before.
const CLIENTS: [(&str, usize); 7] = [
    ("plain", 0),
    ("unpooled", 0),
    ("pooled", 0),
    ("pooled", 2),
    ("json", 0),
    ("json", 2),
    ("engine", 0),
];

/// Guards against passing on an answer with a status that does not exist, or whose status line
/// another program would read otherwise.
#[actix_web::test]
async fn an_answer_with_an_invalid_status_line_is_broken() {
    let mut accepted = Vec::new();
    for (client, valid) in CLIENTS {
        for Case { fault, line } in &INVALID {
            let (address, server) = serve(valid, line);
            let reply = call(client, valid, address).await;
            let is_broken = matches!(
                reply,
                Err(CallError::Lost { .. } | CallError::Malformed { .. })
            );
            if !is_broken {
                accepted.push(format!(
                    "{client} after {valid}: {fault} {line:?}: {reply:?}"
                ));
            }
            server.join().unwrap();
        }
    }
    assert!(accepted.is_empty(), "{}", accepted.join("\n"));
}

/// Guards against a check that breaks sound answers as well.
#[actix_web::test]
async fn an_answer_with_a_valid_status_line_is_accepted() {
    for (client, valid) in CLIENTS {
        for line in VALID {
            let (address, server) = serve(valid, line);
            let reply = call(client, valid, address).await;
            assert!(reply.is_ok(), "{client} after {valid}: {line:?}: {reply:?}");
            server.join().unwrap();
        }
    }
}
