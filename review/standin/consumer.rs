//! Consumers: one request a connection, with the headers that the pages name.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::net::{AnswerHead, connect_as_over_link, read_answer_head};
use crate::note;

/// Key of the only tenant.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// How an answer ended for its consumer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With its last byte.
    Complete,
    /// The connection was closed in the middle of it.
    Cut,
    /// The connection was closed before it.
    NoAnswer,
    /// The consumer left.
    Left,
}

/// Answer as its consumer saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub status: u16,
    pub end: End,
}

/// Returns the head of a request.
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\neelgrasshill-request-id: {id}\r\n\
         eelgrasshill-request-deadline: {deadline_ms}\r\nauthorization: Bearer {KEY}\r\n{more}\r\n"
    )
}

/// Sends a request and reads its answer, at most at the given rate and with pauses up to `patience`.
pub fn call(
    front: SocketAddr,
    id: &str,
    request: &[u8],
    patience: Duration,
    bytes_per_s: Option<u64>,
) -> Seen {
    let seen = |status, end, bytes| {
        note!("consumer {id}: status={status} end={end:?} bytes={bytes}");
        Seen { status, end }
    };
    let connected = match bytes_per_s {
        Some(_link) => connect_as_over_link(front),
        None => TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok(),
    };
    let Some(mut stream) = connected else {
        return seen(0, End::NoAnswer, 0);
    };
    let _unchanged = stream.set_nodelay(true);
    let _unchanged = stream.set_read_timeout(Some(patience));
    note!("consumer {id}: sends {} bytes to {front}", request.len());
    if stream.write_all(request).is_err() {
        return seen(0, End::NoAnswer, 0);
    }
    let mut bytes = Vec::new();
    let Some(head) = read_answer_head(&mut stream, &mut bytes) else {
        return seen(0, End::NoAnswer, 0);
    };
    let (end, count) = read_body(&mut stream, &head, bytes, bytes_per_s);
    seen(head.status, end, count)
}

/// Reads a body with a length or in chunks.
fn read_body(
    stream: &mut TcpStream,
    head: &AnswerHead,
    mut bytes: Vec<u8>,
    bytes_per_s: Option<u64>,
) -> (End, usize) {
    let length = head.headers.get("content-length");
    let length: Option<usize> = length.and_then(|text| text.parse().ok());
    let start = Instant::now();
    let mut part = vec![0; 16 << 10];
    loop {
        let is_whole = match length {
            Some(length) => bytes.len() >= length,
            None => bytes.ends_with(b"0\r\n\r\n"),
        };
        if is_whole {
            return (End::Complete, bytes.len());
        }
        if let Some(rate) = bytes_per_s {
            let due = Duration::from_micros(bytes.len() as u64 * 1_000_000 / rate);
            std::thread::sleep(due.saturating_sub(start.elapsed()));
        }
        match stream.read(&mut part) {
            Ok(0) => return (End::Cut, bytes.len()),
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                return (End::Left, bytes.len());
            }
            Err(_reset) => return (End::Cut, bytes.len()),
        }
    }
}
