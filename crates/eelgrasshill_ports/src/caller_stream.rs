//! The stream of a caller's connection, which holds back requests that were sent ahead.
//!
//! The HTTP server decodes all requests in its read buffer of 128 KiB at once, and a decoded head
//! costs some KB. So the stream passes on one request at a time: a head, then its body, and the next
//! head only after the request was answered. What arrives meanwhile waits undecoded, a few KB here
//! and the rest in the system's receive buffer.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use actix_web::rt::net::TcpStream;
use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that are read while they may not be passed on yet, for each connection.
///
/// Without a full buffer the end of the connection is noticed while a request is open.
const READ_AHEAD_BYTES: usize = 4 << 10;

/// Bytes of the line end after the data of a chunk.
const CHUNK_END_BYTES: u64 = 2;

/// How the end of a request's body is found.
#[derive(Clone, Copy, Debug)]
pub enum BodyFraming {
    /// The body has that many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends with the connection.
    Unbounded,
}

/// Tells the stream of a connection about the request that the server serves.
#[derive(Clone, Debug)]
pub struct RequestGate(Rc<GateState>);

impl RequestGate {
    /// Lets the body of a request pass whose head was decoded.
    ///
    /// The next head does not pass before the result is dropped.
    #[must_use]
    pub fn open_request(&self, framing: BodyFraming) -> OpenGate {
        self.0.stage.set(match framing {
            BodyFraming::Length(length) => Stage::Sized(length),
            BodyFraming::Chunked => Stage::ChunkSize(0),
            BodyFraming::Unbounded => Stage::Unbounded,
        });
        self.0.has_request.set(true);
        self.0.wake();
        OpenGate(Rc::clone(&self.0))
    }
}

/// A request without an answer; the next head may pass when this is dropped.
#[derive(Debug)]
pub struct OpenGate(Rc<GateState>);

impl Drop for OpenGate {
    fn drop(&mut self) {
        self.0.has_request.set(false);
        self.0.wake();
    }
}

/// What the next byte of a connection belongs to.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// The head of a request.
    Head {
        /// Whether a byte of the head has passed that is not a line end.
        has_begun: bool,
        /// Whether the line has no byte yet, except for a carriage return.
        is_blank: bool,
    },
    /// The next body or head, once the server has decoded the head that has passed.
    Decoding,
    /// A body with that many bytes left.
    Sized(u64),
    /// The size of a chunk, with the value of its digits so far.
    ChunkSize(u64),
    /// The rest of the line after the size of a chunk.
    ChunkExtension(u64),
    /// The data of a chunk and its line end, with that many bytes left.
    ChunkData(u64),
    /// The lines after the last chunk.
    Trailer {
        /// Whether the line has no byte yet, except for a carriage return.
        is_blank: bool,
    },
    /// A body that ends with the connection.
    Unbounded,
}

impl Stage {
    const HEAD: Self = Self::Head {
        has_begun: false,
        is_blank: true,
    };

    /// Returns the stage after a byte.
    fn after(self, byte: u8) -> Self {
        match (self, byte) {
            (
                Self::Head {
                    has_begun: true,
                    is_blank: true,
                },
                b'\n',
            ) => Self::Decoding,
            (Self::Head { has_begun, .. }, b'\n') => Self::Head {
                has_begun,
                is_blank: true,
            },
            (Self::Trailer { is_blank: true }, b'\n') => Self::HEAD,
            (Self::Trailer { .. }, b'\n') => Self::Trailer { is_blank: true },
            (Self::Head { .. } | Self::Trailer { .. }, b'\r') | (Self::Decoding, _) => self,
            (Self::Head { .. }, _) => Self::Head {
                has_begun: true,
                is_blank: false,
            },
            (Self::Trailer { .. }, _) => Self::Trailer { is_blank: false },
            (Self::ChunkSize(0) | Self::ChunkExtension(0), b'\n') => {
                Self::Trailer { is_blank: true }
            }
            (Self::ChunkSize(size) | Self::ChunkExtension(size), b'\n') => {
                Self::ChunkData(size.saturating_add(CHUNK_END_BYTES))
            }
            // The server ends a connection with a size that is no number.
            (Self::ChunkSize(size), _) => match char::from(byte).to_digit(16) {
                Some(digit) => {
                    Self::ChunkSize(size.saturating_mul(16).saturating_add(digit.into()))
                }
                None => Self::ChunkExtension(size),
            },
            (Self::ChunkExtension(_) | Self::Unbounded, _) => self,
            (Self::Sized(_) | Self::ChunkData(_), _) => self.after_data(1),
        }
    }

    /// Returns the stage after bytes of a body's data, which are no more than are left.
    fn after_data(self, count: u64) -> Self {
        match self {
            Self::Sized(left) if left > count => Self::Sized(left - count),
            Self::Sized(_) => Self::HEAD,
            Self::ChunkData(left) if left > count => Self::ChunkData(left - count),
            Self::ChunkData(_) => Self::ChunkSize(0),
            other => other,
        }
    }

    /// Returns how many bytes of a body may pass without a look at them.
    fn data_left(self) -> u64 {
        match self {
            Self::Sized(left) | Self::ChunkData(left) => left,
            Self::Unbounded => u64::MAX,
            _ => 0,
        }
    }
}

#[derive(Debug)]
struct GateState {
    stage: Cell<Stage>,
    has_request: Cell<bool>,
    // The system takes no more bytes of answers.
    is_write_blocked: Cell<bool>,
    // The server's task, if it waits for bytes that are held back.
    waiting: RefCell<Option<Waker>>,
}

impl GateState {
    fn wake(&self) {
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    fn wait(&self, cx: &Context<'_>) {
        self.waiting.replace(Some(cx.waker().clone()));
    }

    fn stage(&self) -> Stage {
        // A body without bytes has ended already.
        if matches!(self.stage.get(), Stage::Sized(0)) {
            self.stage.set(Stage::HEAD);
        }
        self.stage.get()
    }

    /// Returns how many of the next bytes may pass, and counts them as passed.
    fn pass(&self, bytes: &[u8]) -> usize {
        let mut stage = self.stage();
        let mut passed = 0;
        while let Some(byte) = bytes.get(passed) {
            let is_held = match stage {
                Stage::Head { .. } => self.has_request.get() || self.is_write_blocked.get(),
                Stage::Decoding => true,
                _ => false,
            };
            if is_held {
                break;
            }
            let data_left = usize::try_from(stage.data_left()).unwrap_or(usize::MAX);
            if data_left > 0 {
                let count = data_left.min(bytes.len() - passed);
                stage = stage.after_data(count as u64);
                passed += count;
            } else {
                stage = stage.after(*byte);
                passed += 1;
            }
        }
        self.stage.set(stage);
        passed
    }
}

/// The stream of a caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    gate: Rc<GateState>,
    // Bytes that may not be passed on yet.
    ahead: BytesMut,
    has_ended: bool,
    // Whether requests are served whose caller has closed its side of the connection.
    allows_half_closed: bool,
}

impl CallerStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream, allows_half_closed: bool) -> Self {
        let gate = GateState {
            stage: Cell::new(Stage::HEAD),
            has_request: Cell::new(false),
            is_write_blocked: Cell::new(false),
            waiting: RefCell::new(None),
        };
        Self {
            stream,
            gate: Rc::new(gate),
            ahead: BytesMut::new(),
            has_ended: false,
            allows_half_closed,
        }
    }

    /// Returns the gate to which the server reports requests.
    #[must_use]
    pub fn gate(&self) -> RequestGate {
        RequestGate(Rc::clone(&self.gate))
    }

    /// Passes on bytes that were held back, and returns whether there were any.
    fn pass_ahead(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let room = self.ahead.len().min(buffer.remaining());
        let passed = self.gate.pass(&self.ahead[..room]);
        buffer.put_slice(&self.ahead[..passed]);
        self.ahead.advance(passed);
        if self.ahead.is_empty() {
            self.ahead = BytesMut::new();
        }
        passed > 0
    }

    /// Reads the data of a body, of which no more than `limit` bytes are left.
    fn poll_read_data(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let stream = Pin::new(&mut self.stream);
        let polled = if limit >= buffer.remaining() {
            stream.poll_read(cx, buffer)
        } else {
            let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(limit));
            let polled = stream.poll_read(cx, &mut limited);
            let count = limited.filled().len();
            buffer.advance(count);
            polled
        };
        let count = buffer.filled().len() - before;
        let stage = self.gate.stage.get().after_data(count as u64);
        if count > 0 {
            self.gate.stage.set(stage);
        }
        polled
    }

    /// Records whether the system takes bytes of answers.
    fn note_written<T>(&self, polled: Poll<T>) -> Poll<T> {
        let was_blocked = self.gate.is_write_blocked.replace(polled.is_pending());
        if was_blocked && polled.is_ready() {
            self.gate.wake();
        }
        polled
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            if buf.remaining() == 0 || this.pass_ahead(buf) {
                return Poll::Ready(Ok(()));
            }
            if this.ahead.is_empty() {
                if this.has_ended {
                    return Poll::Ready(Ok(()));
                }
                let limit = usize::try_from(this.gate.stage().data_left()).unwrap_or(usize::MAX);
                if limit > 0 {
                    return this.poll_read_data(cx, buf, limit);
                }
            }
            if this.has_ended || this.ahead.len() >= READ_AHEAD_BYTES {
                this.gate.wait(cx);
                return Poll::Pending;
            }
            let mut storage = [MaybeUninit::uninit(); READ_AHEAD_BYTES];
            let mut read = ReadBuf::uninit(&mut storage[this.ahead.len()..]);
            match Pin::new(&mut this.stream).poll_read(cx, &mut read) {
                Poll::Ready(Ok(())) if read.filled().is_empty() => {
                    this.has_ended = true;
                    if !this.allows_half_closed {
                        return Poll::Ready(Ok(()));
                    }
                }
                Poll::Ready(Ok(())) => this.ahead.extend_from_slice(read.filled()),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    // Otherwise nothing waits for the gate, only for the caller.
                    if !this.ahead.is_empty() {
                        this.gate.wait(cx);
                    }
                    return Poll::Pending;
                }
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.note_written(polled)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
