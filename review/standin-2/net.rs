//! A small HTTP/1.1 server and client on blocking sockets, for the stand-ins of the review.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, OnceLock};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A request or an answer, with header names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target of a request, version and status of an answer.
    pub start: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_path, query) = self.target().split_once('?')?;
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Wire {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

fn end() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ignored = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    pub fn set_timeout(&self, timeout: Duration) {
        let timeout = timeout.max(Duration::from_millis(1));
        let _ignored = self.stream.set_read_timeout(Some(timeout));
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut block = [0; 16 << 10];
        let count = self.stream.read(&mut block)?;
        self.ahead.extend_from_slice(&block[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.ahead.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=at).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(end());
            }
        }
    }

    fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if self.fill()? == 0 {
                return Err(end());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    /// Reads the start line and the headers.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                let value = value.trim().to_owned();
                message.headers.insert(name.to_lowercase(), value);
            }
        }
    }

    /// Reads one chunk of a body in chunks; empty at the end.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or("").trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_error| end())?;
        let data = self.exact(size)?;
        self.line()?;
        Ok(data)
    }

    /// Reads a whole message; a body has a length, or chunks, or none.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding") == "chunked" {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend(chunk);
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = self.exact(length)?;
        }
        Ok(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends an answer with a length.
    pub fn answer(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = format!(
            "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        self.send(&bytes)
    }
}

/// Serves connections, each on a thread of its own, until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(Wire) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || handler(Wire::new(stream)));
        }
    });
}

/// Returns a free address on loopback, below the ports that the system gives to connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    static FIRST: OnceLock<u32> = OnceLock::new();
    let clock = SystemTime::now().duration_since(UNIX_EPOCH);
    let first = *FIRST.get_or_init(|| clock.map_or(0, |time| time.subsec_micros()) ^ std::process::id());
    loop {
        let number = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = 20_000 + (first + number) % 11_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
