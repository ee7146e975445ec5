//! Tests that lost and truncated answers are reported as lost.
//!
//! Reporting them as not sent would allow a second execution; accepting them as complete would
//! deliver partial data.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use awc::http::Method;
use eelgrasshill_domain::{Offset, RequestId, StreamName};
use eelgrasshill_ports::{
    CallError, HttpClient, HttpClientSettings, HttpLog, HttpPlain, LogClient as _, PlainCall,
    PlainClient as _, ReadError, call_unpooled,
};

#[actix_web::test]
async fn truncated_plain_answer_is_reported_as_lost() {
    let cases = [
        ("no byte", ""),
        ("part of the head", "HTTP/1.1 200 OK\r\ncontent-le"),
        (
            "part of a body of known length",
            "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"a\":1}",
        ),
        (
            "chunks without an end",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n",
        ),
    ];
    for (name, answer) in cases {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = std::thread::spawn(move || {
            let (mut stream, _from) = listener.accept().unwrap();
            let read = stream.read(&mut [0; 4096]).unwrap();
            assert!(read > 0, "{name}: the server received no request");
            stream.write_all(answer.as_bytes()).unwrap();
        });
        let call = PlainCall {
            request_id: RequestId::new("r-1").unwrap(),
            method: Method::POST,
            path_and_query: "/reserve".to_owned(),
            headers: Vec::new(),
            body: bytes::Bytes::new(),
            is_repeatable: false,
        };
        let timeout = Duration::from_secs(20);
        let settings = HttpClientSettings {
            answer_timeout: timeout,
            ..HttpClientSettings::default()
        };
        let reply = HttpPlain::new(&settings)
            .call(address, &call, timeout)
            .await;
        assert!(
            matches!(reply, Err(CallError::Lost { .. })),
            "{name}: expected CallError::Lost, got {reply:?}"
        );
        server.join().unwrap();
    }
}

#[actix_web::test]
async fn truncated_log_page_is_reported_as_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _from) = listener.accept().unwrap();
        let read = stream.read(&mut [0; 4096]).unwrap();
        assert!(read > 0, "the server received no request");
        // The part that is sent is a valid JSON document by itself, so only the declared length
        // shows that it is truncated.
        let response =
            "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"first\":1,\"end\":1,\"records\":[]}";
        stream.write_all(response.as_bytes()).unwrap();
    });
    let log = HttpLog::new(HttpClient::new(HttpClientSettings::default()), address);
    let stream = StreamName::new("config").unwrap();
    let page = log.read(&stream, Offset(1), 10, Duration::ZERO).await;
    assert!(
        matches!(page, Err(ReadError(CallError::Lost { .. }))),
        "expected CallError::Lost, got {page:?}"
    );
    server.join().unwrap();
}

/// Guards against orders that arrive after the caller gave up on them.
///
/// In a fault-injection run (grown/kjallari scale-2), an order was sent on an open connection
/// during a network partition. It arrived 6 s later, after an order of the next lease holder.
#[actix_web::test]
async fn request_without_pool_is_discarded_after_its_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let mut read_errors = Vec::new();
        for _call in 0..2 {
            let (mut stream, _from) = listener.accept().unwrap();
            // Sends no answer and records how the connection ends.
            let read_error = loop {
                match stream.read(&mut [0; 4096]) {
                    Ok(0) => break None,
                    Ok(_more) => {}
                    Err(error) => break Some(error.kind()),
                }
            };
            read_errors.push(read_error);
        }
        read_errors
    });
    for _call in 0..2 {
        let body = http_body_util::Full::new(bytes::Bytes::from_static(b"order"));
        let request = hyper::Request::post("/order").body(body).unwrap();
        let (timeout, max_bytes) = (Duration::from_millis(100), 1_000);
        let reply = call_unpooled(address, request, timeout, max_bytes).await;
        assert!(
            matches!(reply, Err(CallError::Timeout { .. })),
            "expected CallError::Timeout, got {reply:?}"
        );
    }
    // Tasks of this thread close the connections, so the thread must not block meanwhile.
    while !server.is_finished() {
        actix_web::rt::time::sleep(Duration::from_millis(5)).await;
    }
    let reset = Some(std::io::ErrorKind::ConnectionReset);
    assert_eq!(
        server.join().unwrap(),
        [reset, reset],
        "each connection must be reset; after an orderly close data may still arrive late"
    );
}

/// Guards against passing on the switch to another protocol, which no caller asked for, as an answer.
#[actix_web::test]
async fn answer_that_is_not_final_is_malformed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _from) = listener.accept().unwrap();
        let read = stream.read(&mut [0; 4096]).unwrap();
        assert!(read > 0, "the server received no request");
        let head = "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
    });
    let body = http_body_util::Full::new(bytes::Bytes::from_static(b"order"));
    let request = hyper::Request::post("/order").body(body).unwrap();
    let reply = call_unpooled(address, request, Duration::from_secs(20), 1_000).await;
    assert!(
        matches!(reply, Err(CallError::Malformed { .. })),
        "expected CallError::Malformed, got {reply:?}"
    );
    server.join().unwrap();
}
