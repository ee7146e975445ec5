//! Tests that every client bounds an answer whose bytes never end.
//!
//! The timeouts are long, so that only a bound on bytes can end a call in time.

use std::time::{Duration, Instant};

use awc::http::Method;
use bytes::Bytes;
use eelgrasshill_domain::{Class, ModelName, Offset, RequestId, StreamName};
use eelgrasshill_peer::generated::gateway_client::GatewayClient;
use eelgrasshill_peer::{generated as message, open_channel};
use eelgrasshill_ports::{
    EngineClient as _, GenerateRequest, HttpClient, HttpClientSettings, HttpEngine, HttpLog,
    HttpPlain, HttpPool, LogClient as _, PlainCall, PlainClient as _, call_unpooled,
};
use eelgrasshill_standin::{EndlessAnswer, EndlessServer};
use futures_util::StreamExt as _;
use http_body_util::Full;
use hyper::Request;

/// Timeout of the calls, far above the time in which they must end.
const CALL_TIMEOUT: Duration = Duration::from_mins(1);
/// Time in which a call must end and its connection must be closed.
const MAX_TIME: Duration = Duration::from_secs(10);
/// Bytes that may be sent beyond a client's bound: what the system buffers on loopback.
const BUFFERED_BYTES: u64 = 12 << 20;
/// Bound on the bytes of a head.
const MAX_HEAD_BYTES: u64 = 512 << 10;
/// Bound on the bytes of a body that a client collects.
const MAX_BODY_BYTES: usize = 1 << 20;

struct Case {
    name: &'static str,
    answer: EndlessAnswer,
    /// Whether the head of the answer ends.
    has_head: bool,
}

const fn case(
    name: &'static str,
    start: &'static [u8],
    unit: &'static [u8],
    has_head: bool,
) -> Case {
    let answer = EndlessAnswer { start, unit };
    Case {
        name,
        answer,
        has_head,
    }
}

const CASES: [Case; 12] = [
    case("a status line", b"HTTP/1.1 200 ", b"x", false),
    case("no protocol at all", b"", b"\0\xff\x17", false),
    case("a header's name", b"HTTP/1.1 200 OK\r\n", b"x", false),
    case("a header's value", b"HTTP/1.1 200 OK\r\nx: ", b"y", false),
    case("headers", b"HTTP/1.1 200 OK\r\n", b"x: y\r\n", false),
    case(
        "informational answers",
        b"",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        false,
    ),
    case("empty lines", b"", b"\r\n", false),
    case(
        "a body without length",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"{",
        true,
    ),
    case(
        "chunks",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1\r\n{\r\n",
        true,
    ),
    case(
        "a chunk's size",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"0",
        true,
    ),
    case(
        "spaces after a chunk's size",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1",
        b" ",
        true,
    ),
    case(
        "trailers",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        b"x: y\r\n",
        true,
    ),
];

/// Runs a call of one client for each case and collects what is unbounded.
async fn check<F: Future<Output = bool>>(
    client: &str,
    call: impl Fn(std::net::SocketAddr) -> F,
) -> Vec<String> {
    let mut failures = Vec::new();
    for case in &CASES {
        let server = EndlessServer::start(case.answer).expect("a loopback address is free");
        let start = Instant::now();
        let called = tokio::time::timeout(MAX_TIME, call(server.address())).await;
        let elapsed = start.elapsed();
        // Tasks of this thread close the connection.
        let mut closed = false;
        while !closed && start.elapsed() < MAX_TIME {
            tokio::time::sleep(Duration::from_millis(5)).await;
            closed = server.wait_closed(Duration::ZERO);
        }
        let bound = if case.has_head {
            u64::try_from(MAX_BODY_BYTES).expect("a small bound") + MAX_HEAD_BYTES
        } else {
            MAX_HEAD_BYTES
        };
        let sent = server.most_sent();
        let context = format!("{client}, {}, after {sent} bytes in {elapsed:?}", case.name);
        match called {
            Err(_elapsed) => failures.push(format!("{context}: the call has not ended")),
            Ok(true) => failures.push(format!("{context}: the call succeeded")),
            Ok(false) if !closed => failures.push(format!("{context}: not closed")),
            Ok(false) if sent > bound + BUFFERED_BYTES => {
                failures.push(format!("{context}: more than {bound} bytes were read"));
            }
            Ok(false) => {}
        }
    }
    failures
}

fn settings() -> HttpClientSettings {
    HttpClientSettings {
        answer_timeout: CALL_TIMEOUT,
        max_body_bytes: MAX_BODY_BYTES,
        ..HttpClientSettings::default()
    }
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/report")
        .body(Full::new(Bytes::new()))
        .expect("the request is valid")
}

fn generate_request() -> GenerateRequest {
    GenerateRequest {
        id: RequestId::new("r-1").expect("the id is valid"),
        model: ModelName::new("m").expect("the name is valid"),
        version: "1".to_owned(),
        adapter: None,
        input: serde_json::Value::Null,
        max_tokens: 1,
        class: Class::Interactive,
        resume: None,
    }
}

fn report(failures: &[String]) {
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[actix_web::test]
async fn endless_answer_to_a_pooled_call_is_bounded() {
    let pool = HttpPool::new();
    let call = |address| {
        let pool = pool.clone();
        async move {
            let called = pool.call(address, request(), CALL_TIMEOUT, MAX_BODY_BYTES);
            called.await.is_ok()
        }
    };
    report(&check("pool", call).await);
}

#[actix_web::test]
async fn endless_answer_to_an_unpooled_call_is_bounded() {
    let call = |address| async move {
        let called = call_unpooled(address, request(), CALL_TIMEOUT, MAX_BODY_BYTES);
        called.await.is_ok()
    };
    report(&check("unpooled", call).await);
}

#[actix_web::test]
async fn endless_answer_of_the_log_is_bounded() {
    let call = |address| async move {
        let log = HttpLog::new(HttpClient::new(settings()), address);
        let stream = StreamName::new("config").expect("the name is valid");
        log.read(&stream, Offset(1), 10, Duration::ZERO)
            .await
            .is_ok()
    };
    report(&check("log", call).await);
}

#[actix_web::test]
async fn endless_answer_of_a_plain_service_is_bounded() {
    let call = |address| async move {
        let call = PlainCall {
            request_id: RequestId::new("r-1").expect("the id is valid"),
            method: Method::GET,
            path_and_query: "/look".to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            is_repeatable: true,
        };
        HttpPlain::new(&settings())
            .call(address, &call, CALL_TIMEOUT)
            .await
            .is_ok()
    };
    report(&check("plain service", call).await);
}

#[actix_web::test]
async fn endless_answer_of_an_engine_is_bounded() {
    let call = |address| async move {
        let engine = HttpEngine::new(HttpClient::new(settings()), CALL_TIMEOUT);
        let Ok(mut events) = engine.generate(address, &generate_request()).await else {
            return false;
        };
        while events.next().await.is_some_and(|event| event.is_ok()) {}
        // A stream that ends without its last chunk is cut, as its reader sees.
        false
    };
    report(&check("engine", call).await);
}

#[actix_web::test]
async fn endless_answer_of_a_peer_is_bounded() {
    let call = |address| async move {
        let channel = open_channel(address, CALL_TIMEOUT, Duration::from_millis(400))
            .expect("the address is valid");
        let mut client = GatewayClient::new(channel);
        client.share(message::ShareRequest::default()).await.is_ok()
    };
    report(&check("peer", call).await);
}
