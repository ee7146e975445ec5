//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Request that a stand-in received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// Values by lower-case name.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_path, query) = self.target.split_once('?')?;
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads a request; none where the connection ends first.
pub fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut bytes = Vec::new();
    let end = read_head(stream, &mut bytes)?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let mut request = Request {
        method: first.next()?.to_owned(),
        target: first.next()?.to_owned(),
        headers: parse_headers(lines),
        body: bytes.split_off(end),
    };
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    while request.body.len() < length {
        read_some(stream, &mut request.body)?;
    }
    Some(request)
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> BTreeMap<String, String> {
    lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect()
}

/// Reads up to the blank line after a head, and returns where that ends.
fn read_head(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            return Some(at + 4);
        }
        read_some(stream, bytes)?;
    }
}

fn read_some(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16 << 10];
    match stream.read(&mut part) {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            bytes.extend_from_slice(&part[..count]);
            Some(())
        }
    }
}

/// Head of an answer that a consumer received.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
}

/// Reads the head of an answer; the bytes after it stay in `bytes`.
pub fn read_answer_head(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<AnswerHead> {
    let end = read_head(stream, bytes)?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    bytes.drain(..end);
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    Some(AnswerHead {
        status,
        headers: parse_headers(lines),
    })
}

/// Reads a whole answer with a length, within the read timeout of the stream.
pub fn read_answer(stream: &mut TcpStream) -> Option<(AnswerHead, Vec<u8>)> {
    let mut body = Vec::new();
    let head = read_answer_head(stream, &mut body)?;
    let length: usize = head.headers.get("content-length")?.parse().ok()?;
    while body.len() < length {
        read_some(stream, &mut body)?;
    }
    Some((head, body))
}

/// Writes an answer; returns whether the peer is still there.
pub fn reply(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).is_ok() && stream.write_all(body).is_ok()
}

/// Returns whether the peer has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _unchanged = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _unchanged = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Waits, and returns early with false if the peer closes the connection.
pub fn wait_open(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        if is_closed(stream) {
            return false;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        std::thread::sleep(left.min(Duration::from_millis(5)));
    }
}

/// Returns a loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
    listener.local_addr().expect("a bound listener has one")
}

/// Size of a segment on an Ethernet link; on loopback it would be 64 KB.
const SEGMENT_BYTES: i32 = 1_460;
/// Receive buffer of a consumer on a slow link.
const SMALL_BUFFER_BYTES: i32 = 64 << 10;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const Address, length: u32) -> i32;
}

/// Connects with the buffers and segments of a network link instead of those of loopback.
pub fn connect_as_over_link(to: SocketAddr) -> Option<TcpStream> {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(to) = to else { return None };
    let address = Address {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        ip: to.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the pointers are valid for the calls, and the descriptor is owned by the stream.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        let set = setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4)
            | setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &SMALL_BUFFER_BYTES, 4);
        let connected = connect(fd, &address, size_of::<Address>() as u32);
        (set == 0 && connected == 0).then_some(stream)
    }
}
