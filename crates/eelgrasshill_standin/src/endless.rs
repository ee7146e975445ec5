//! A server whose answers never end.
//!
//! It answers each request with a fixed start and then repeats the same bytes until the caller
//! closes the connection. A caller must not rely on the server to stop.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Size of the blocks in which the repeated bytes are written.
const BLOCK_BYTES: usize = 16 << 10;
/// Bytes after which a connection falls silent, so that a caller without a bound does not run
/// forever.
const MAX_SENT_BYTES: u64 = 512 << 20;
/// Time between checks in [`EndlessServer::wait_closed`].
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the buffer for requests; what a request says does not matter.
const REQUEST_BYTES: usize = 16 << 10;

/// The bytes that an [`EndlessServer`] sends.
#[derive(Clone, Copy, Debug)]
pub struct EndlessAnswer {
    /// Bytes that are sent once, after each request.
    pub start: &'static [u8],
    /// Bytes that are then repeated.
    pub unit: &'static [u8],
}

#[derive(Debug, Default)]
struct Counts {
    most_sent: AtomicU64,
    accepted: AtomicU64,
    closed_by_caller: AtomicU64,
    stopped: AtomicBool,
}

/// A running server whose answers never end; dropping it stops it.
#[derive(Debug)]
pub struct EndlessServer {
    address: SocketAddr,
    counts: Arc<Counts>,
}

impl EndlessServer {
    /// Starts a server on a loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no address can be bound.
    pub fn start(answer: EndlessAnswer) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let counts = Arc::new(Counts::default());
        let thread_counts = Arc::clone(&counts);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if thread_counts.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                thread_counts.accepted.fetch_add(1, Ordering::Relaxed);
                let counts = Arc::clone(&thread_counts);
                std::thread::spawn(move || serve(stream, answer, &counts));
            }
        });
        Ok(Self { address, counts })
    }

    /// Returns the address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the most bytes sent on one connection, with those that the system still buffers.
    #[must_use]
    pub fn most_sent(&self) -> u64 {
        self.counts.most_sent.load(Ordering::Relaxed)
    }

    /// Waits until callers have closed all connections; returns whether they did in time.
    #[must_use]
    pub fn wait_closed(&self, timeout: Duration) -> bool {
        let start = Instant::now();
        loop {
            let accepted = self.counts.accepted.load(Ordering::Relaxed);
            let closed = self.counts.closed_by_caller.load(Ordering::Relaxed);
            if accepted > 0 && accepted == closed {
                return true;
            }
            if start.elapsed() >= timeout {
                return false;
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
    }
}

impl Drop for EndlessServer {
    fn drop(&mut self) {
        self.counts.stopped.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections; if that fails, it has ended already.
        let _woken = TcpStream::connect(self.address);
    }
}

fn serve(mut stream: TcpStream, answer: EndlessAnswer, counts: &Counts) {
    let repetitions = (BLOCK_BYTES / answer.unit.len().max(1)).max(1);
    let block = answer.unit.repeat(repetitions);
    let mut request = [0; REQUEST_BYTES];
    if !matches!(stream.read(&mut request), Ok(read) if read > 0) {
        counts.closed_by_caller.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let mut next = answer.start;
    let mut sent = 0;
    while !counts.stopped.load(Ordering::Relaxed) && sent < MAX_SENT_BYTES {
        if stream.write_all(next).is_err() {
            counts.closed_by_caller.fetch_add(1, Ordering::Relaxed);
            return;
        }
        sent += u64::try_from(next.len()).unwrap_or(u64::MAX);
        counts.most_sent.fetch_max(sent, Ordering::Relaxed);
        next = &block;
    }
}
