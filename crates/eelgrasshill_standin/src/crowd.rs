//! Callers that do not behave, and the memory of the process that serves them.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes of a body in large chunks, which lacks its last chunk and its end.
const LARGE_BODY_BYTES: usize = 4 << 20;

/// Size of a large chunk.
const LARGE_CHUNK: usize = 64 << 10;

/// Chunks of one byte that a caller sends.
const TINY_CHUNKS: usize = 60_000;

/// Bytes of a head that does not end.
const LONG_HEAD_BYTES: usize = 120_000;

/// What a caller of a crowd sends before it stops.
#[derive(Clone, Copy, Debug)]
pub enum CrowdCaller {
    /// A body in large chunks, all but the last chunk and the end.
    LargeChunks,
    /// A body in chunks of one byte, without the end.
    TinyChunks,
    /// A body in chunks of one byte, for as long as the server reads it.
    EndlessChunks,
    /// A body of two bytes without its end.
    OpenBody,
    /// A head without its end.
    OpenHead,
    /// That many requests without a body; it reads no answer.
    Pipelined(usize),
    /// Nothing.
    Silent,
}

/// What the requests of a crowd have in common.
#[derive(Clone, Copy, Debug)]
pub struct CrowdRequests {
    /// Path of all requests.
    pub path: &'static str,
    /// Header lines of all requests, each with its line end.
    pub headers: &'static str,
    /// Returns the header line with a request's id, or nothing.
    pub id_header: fn(&str) -> String,
}

impl CrowdCaller {
    /// Sends what the caller sends and keeps the connection until the server closes it.
    ///
    /// `sent` counts the bytes that the system has taken from all callers.
    pub async fn run(
        self,
        address: SocketAddr,
        requests: CrowdRequests,
        number: usize,
        sent: Arc<AtomicU64>,
    ) {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            return;
        };
        let parts = self.parts(requests, number);
        let mut next = 0;
        while let Some(part) = parts.get(next) {
            let mut rest = part.as_slice();
            while !rest.is_empty() {
                match stream.write(rest).await {
                    Ok(count) => {
                        sent.fetch_add(count as u64, Ordering::Relaxed);
                        rest = &rest[count..];
                    }
                    Err(_closed) => return,
                }
            }
            // The first part is the head.
            if !matches!(self, Self::EndlessChunks) || next == 0 {
                next += 1;
            }
        }
        if matches!(self, Self::Pipelined(_)) {
            std::future::pending::<()>().await;
        }
        let mut answer = Vec::new();
        let _closed = stream.read_to_end(&mut answer).await;
    }

    fn parts(self, requests: CrowdRequests, number: usize) -> Vec<Vec<u8>> {
        let path = requests.path;
        let common = format!("host: h.example\r\n{}", requests.headers);
        let id = (requests.id_header)(&format!("body-{number}"));
        let head =
            format!("POST {path} HTTP/1.1\r\n{id}{common}transfer-encoding: chunked\r\n\r\n");
        let head = head.into_bytes();
        match self {
            Self::LargeChunks => {
                let mut chunk = format!("{LARGE_CHUNK:x}\r\n").into_bytes();
                chunk.resize(chunk.len() + LARGE_CHUNK, b'x');
                chunk.extend(b"\r\n");
                let mut parts = vec![head];
                parts.resize(LARGE_BODY_BYTES / LARGE_CHUNK, chunk);
                parts
            }
            Self::TinyChunks | Self::EndlessChunks => {
                vec![head, b"1\r\nx\r\n".repeat(TINY_CHUNKS)]
            }
            Self::OpenBody => vec![head, b"1\r\nx\r\n1\r\nx\r\n".to_vec()],
            Self::OpenHead => {
                let mut head = format!("GET {path} HTTP/1.1\r\n{common}x-filler: ").into_bytes();
                head.resize(LONG_HEAD_BYTES, b'x');
                vec![head]
            }
            Self::Pipelined(count) => {
                let requests = (0..count).map(|request| {
                    let id = (requests.id_header)(&format!("ahead-{number}-{request}"));
                    format!("GET {path} HTTP/1.1\r\n{id}{common}\r\n")
                });
                vec![requests.collect::<String>().into_bytes()]
            }
            Self::Silent => Vec::new(),
        }
    }
}

/// What a process and the system hold for its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUse {
    /// Resident memory, in kB.
    pub resident_kb: u64,
    /// Highest resident memory so far, in kB.
    pub highest_kb: u64,
    /// Bytes that were received on the ports and not read, in kB.
    pub unread_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl ProcessUse {
    /// Reads the use of a process that listens on the ports.
    ///
    /// # Errors
    ///
    /// Returns the system's error, also if the process has ended.
    pub fn read(process: u32, ports: &[u16]) -> io::Result<Self> {
        let folder = PathBuf::from(format!("/proc/{process}"));
        let status = std::fs::read_to_string(folder.join("status"))?;
        let field = |name: &str| {
            let line = status
                .lines()
                .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
            line.and_then(|line| line.split_whitespace().next()?.parse().ok())
                .ok_or_else(|| io::Error::other(format!("the status has no {name}")))
        };
        let table = std::fs::read_to_string("/proc/net/tcp")?;
        let unread = table.lines().skip(1).filter_map(|line| {
            let mut fields = line.split_whitespace();
            let (_ip, port) = fields.nth(1)?.split_once(':')?;
            let (_unsent, unread) = fields.nth(2)?.split_once(':')?;
            let port = u16::from_str_radix(port, 16).ok()?;
            let unread = u64::from_str_radix(unread, 16).ok()?;
            ports.contains(&port).then_some(unread)
        });
        Ok(Self {
            resident_kb: field("VmRSS")?,
            highest_kb: field("VmHWM")?,
            unread_kb: unread.sum::<u64>() >> 10,
            descriptors: std::fs::read_dir(folder.join("fd"))?.count(),
        })
    }

    /// Returns the memory that counts toward that of the machine, in kB.
    #[must_use]
    pub fn held_kb(&self) -> u64 {
        self.highest_kb.max(self.resident_kb + self.unread_kb)
    }
}
