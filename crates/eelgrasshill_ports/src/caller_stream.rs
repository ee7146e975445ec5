//! The stream of a caller's connection, which bounds what the HTTP server reads at once.
//!
//! The server reads up to 128 KiB at once, decodes all requests in them, and queues each chunk of a
//! body by itself. So the stream passes on one request at a time: a head once it is complete, then
//! its body in parts of a few KB and a few chunks, and the next head only after the request was
//! answered. What arrives meanwhile waits undecoded, a few KB here and the rest in the system's
//! receive buffer.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use actix_web::rt::net::TcpStream;
use bytes::{Buf, BytesMut};
use derive_more::Debug;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::chunk_turns::{ChunkTurns, Ticket};
use crate::request_gate::GateState;
use crate::request_stage::Stage;
use crate::socket_limits::{Direction, grow_buffer};
use crate::{Connection, ConnectionPhase, HeadRefusal, MemoryCharge, RequestGate};

/// Bytes that are read while they may not be passed on yet, for each connection.
///
/// Without a full buffer the end of the connection is noticed while a request is open.
const READ_AHEAD_BYTES: usize = 4 << 10;

/// Bytes that the server gets before it must decode them.
const PASS_BYTES: usize = 8 << 10;

/// Chunks of a body that the server gets before it must decode them.
///
/// Each takes an entry of its queue, which does not shrink while the body is open.
const PASS_CHUNKS: usize = 64;

/// Chunks of a body after which the connection takes turns with others that send as many.
const CHUNKS_WITHOUT_TURNS: usize = 512;

/// Bytes of a head that are not charged.
const UNCHARGED_HEAD_BYTES: usize = 4 << 10;

/// Factor from the bytes of a head to the memory that it takes once decoded.
const DECODED_HEAD_FACTOR: usize = 2;

/// Maximum size of a request line, which does not count toward the size of the headers.
const MAX_REQUEST_LINE_BYTES: usize = 8 << 10;

/// Request that the server gets in place of one whose head is refused.
const REFUSED_HEAD: &[u8] = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";

/// Limits of the heads of one connection.
#[derive(Debug)]
pub struct HeadLimits {
    /// Maximum size of the headers of a request, which may change.
    pub max_bytes: Arc<AtomicUsize>,
    /// Charge for the head of the current request.
    pub charge: MemoryCharge,
}

/// What a look at the bytes of a head that is not complete yet finds.
enum HeadScan {
    Complete,
    Incomplete,
    Refused(HeadRefusal),
}

/// The stream of a caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    gate: Rc<GateState>,
    heads: HeadLimits,
    // Charges for buffers of the system that have grown, kept until the connection ends.
    receive_charge: Option<MemoryCharge>,
    send_charge: Option<MemoryCharge>,
    turns: ChunkTurns,
    // The place among others that send many chunks, while the connection waits for its turn.
    ticket: Option<Ticket>,
    // Bytes that may not be passed on yet.
    ahead: BytesMut,
    // Bytes of `ahead` that belong to the head and were looked at, and those of its first line.
    scanned: usize,
    request_line: usize,
    // Bytes and chunks that may still pass before the server must decode them.
    bytes_left: usize,
    chunks_left: usize,
    has_ended: bool,
    // A head was refused, so what follows it is thrown away.
    has_refused: bool,
    // Whether requests are served whose caller has closed its side of the connection.
    allows_half_closed: bool,
}

impl CallerStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(
        stream: TcpStream,
        connection: Connection,
        heads: HeadLimits,
        allows_half_closed: bool,
    ) -> Self {
        Self {
            stream,
            gate: Rc::new(GateState::new(connection)),
            heads,
            receive_charge: None,
            send_charge: None,
            turns: ChunkTurns::default(),
            ticket: None,
            ahead: BytesMut::new(),
            scanned: 0,
            request_line: 0,
            bytes_left: PASS_BYTES,
            chunks_left: PASS_CHUNKS,
            has_ended: false,
            has_refused: false,
            allows_half_closed,
        }
    }

    /// Shares turns with other connections that send many chunks.
    #[must_use]
    pub(crate) fn with_turns(mut self, turns: ChunkTurns) -> Self {
        self.turns = turns;
        self
    }

    /// Returns the gate to which the server reports requests.
    #[must_use]
    pub fn gate(&self) -> RequestGate {
        RequestGate(Rc::clone(&self.gate))
    }

    /// Returns whether the next head may not pass yet.
    fn is_head_held(&self) -> bool {
        self.gate.has_request.get() || self.gate.is_write_blocked.get()
    }

    /// Looks at the bytes of a head that have arrived.
    fn scan_head(&mut self) -> HeadScan {
        let mut stage = self.gate.stage.get();
        if self.scanned == 0 {
            self.request_line = 0;
            if !self.ahead.is_empty() {
                self.gate
                    .connection
                    .change_phase(ConnectionPhase::Idle, ConnectionPhase::Receiving);
            }
        }
        while let Some(byte) = self.ahead.get(self.scanned) {
            stage = stage.after(*byte);
            self.scanned += 1;
            let has_begun = matches!(
                stage,
                Stage::Head {
                    has_begun: true,
                    ..
                }
            );
            if self.request_line == 0 && has_begun && *byte == b'\n' {
                self.request_line = self.scanned;
            }
            if matches!(stage, Stage::Decoding) {
                break;
            }
        }
        self.gate.stage.set(stage);
        let (line, headers) = match self.request_line {
            0 => (self.scanned, 0),
            line => (line, self.scanned - line),
        };
        if line > MAX_REQUEST_LINE_BYTES || headers > self.heads.max_bytes.load(Ordering::Relaxed) {
            return HeadScan::Refused(HeadRefusal::TooLarge);
        }
        let charged = self.scanned.saturating_sub(UNCHARGED_HEAD_BYTES) * DECODED_HEAD_FACTOR;
        if let Err(error) = self.heads.charge.resize(charged) {
            log::info!("request: id=- head refused, {error}");
            return HeadScan::Refused(HeadRefusal::MemoryFull);
        }
        if !matches!(stage, Stage::Decoding) {
            return HeadScan::Incomplete;
        }
        self.complete_head(self.scanned);
        HeadScan::Complete
    }

    /// Lets that many bytes pass as a complete head.
    fn complete_head(&mut self, bytes: usize) {
        self.gate.stage.set(Stage::CompleteHead(bytes as u64));
        self.scanned = 0;
    }

    /// Puts another request in the place of one that is refused, and drops what has arrived of it.
    fn refuse_head(&mut self, refusal: HeadRefusal) {
        self.has_refused = true;
        self.gate.head_refusal.set(Some(refusal));
        self.ahead = BytesMut::from(REFUSED_HEAD);
        self.complete_head(REFUSED_HEAD.len());
    }

    /// Passes on bytes that were held back, and returns whether there were any.
    fn pass_ahead(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let room = self
            .ahead
            .len()
            .min(buffer.remaining())
            .min(self.bytes_left);
        let passed = self.gate.pass(&self.ahead[..room], &mut self.chunks_left);
        buffer.put_slice(&self.ahead[..passed]);
        self.bytes_left -= passed;
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
        if self.gate.wants_receive_buffer.take() && self.receive_charge.is_none() {
            let mut charge = self.heads.charge.sibling();
            let has_grown = grow_buffer(&self.stream, Direction::Receive, &mut charge);
            self.receive_charge = has_grown.then_some(charge);
        }
        let limit = limit.min(self.bytes_left);
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
        if count > 0 {
            self.bytes_left -= count;
            let stage = self.gate.stage.get().after_data(count as u64);
            self.gate.note_passed(stage, count);
        }
        polled
    }

    /// Reads bytes that may not pass yet, up to `limit` bytes in all.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>, limit: usize) -> Poll<io::Result<()>> {
        let mut storage = [MaybeUninit::uninit(); READ_AHEAD_BYTES];
        let room = limit.saturating_sub(self.ahead.len()).min(storage.len());
        let mut read = ReadBuf::uninit(&mut storage[..room]);
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut read);
        if matches!(polled, Poll::Ready(Err(_))) {
            self.gate.has_caller_left.set(true);
        }
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.has_ended = read.filled().is_empty();
            self.gate.has_caller_left.set(self.has_ended);
            self.ahead.extend_from_slice(read.filled());
        }
        polled
    }

    /// Throws away what arrives behind a refused head.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.bytes_left > 0 {
            self.ahead.clear();
            match self.poll_read_ahead(cx, READ_AHEAD_BYTES) {
                Poll::Ready(Ok(())) if self.has_ended => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(())) => {
                    self.bytes_left = self.bytes_left.saturating_sub(self.ahead.len());
                }
                other => return other,
            }
        }
        self.ahead.clear();
        self.start_pass(cx);
        Poll::Pending
    }

    /// Returns whether the server must decode what has passed before more may pass.
    fn is_pass_over(&self) -> bool {
        let is_chunked = matches!(
            self.gate.stage.get(),
            Stage::ChunkSize(_) | Stage::ChunkExtension(_) | Stage::ChunkData(_)
        );
        self.bytes_left == 0 || (is_chunked && self.chunks_left == 0)
    }

    /// Lets further bytes pass when the server polls again, which it does at once or at its turn.
    fn start_pass(&mut self, cx: &Context<'_>) {
        self.bytes_left = PASS_BYTES;
        self.chunks_left = PASS_CHUNKS;
        if self.gate.chunks.get() > CHUNKS_WITHOUT_TURNS {
            self.ticket = Some(self.turns.wait(cx.waker().clone()));
        } else {
            cx.waker().wake_by_ref();
        }
    }

    /// Returns whether the connection still waits for its turn.
    fn waits_for_turn(&mut self) -> bool {
        if self.ticket.as_ref().is_some_and(Ticket::is_called) {
            self.ticket = None;
        }
        self.ticket.is_some()
    }

    /// Records whether the system takes bytes of answers.
    fn note_written<T>(&self, polled: Poll<T>) -> Poll<T> {
        let was_blocked = self.gate.is_write_blocked.replace(polled.is_pending());
        if was_blocked && polled.is_ready() {
            self.gate.wake();
        }
        if was_blocked != polled.is_pending() {
            self.gate.connection.set_blocked(polled.is_pending());
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
            if buf.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            if this.waits_for_turn() {
                return Poll::Pending;
            }
            if this.is_pass_over() {
                this.start_pass(cx);
                return Poll::Pending;
            }
            let mut read_limit = READ_AHEAD_BYTES;
            let is_head = matches!(this.gate.stage(), Stage::Head { .. });
            if is_head && !this.is_head_held() && !this.has_refused {
                match this.scan_head() {
                    HeadScan::Complete => {}
                    HeadScan::Refused(refusal) => this.refuse_head(refusal),
                    HeadScan::Incomplete => read_limit = usize::MAX,
                }
            }
            if this.pass_ahead(buf) {
                return Poll::Ready(Ok(()));
            }
            if this.is_pass_over() {
                continue;
            }
            if this.has_refused && this.ahead.is_empty() {
                return this.poll_discard(cx);
            }
            if this.ahead.is_empty() {
                if this.has_ended {
                    return Poll::Ready(Ok(()));
                }
                let limit = usize::try_from(this.gate.stage().data_left()).unwrap_or(usize::MAX);
                if limit > 0 && !this.gate.is_body_held.get() {
                    return this.poll_read_data(cx, buf, limit);
                }
            }
            // Nothing completes a head whose caller has closed its side.
            if this.has_ended && read_limit == usize::MAX {
                return Poll::Ready(Ok(()));
            }
            if this.has_ended || this.ahead.len() >= read_limit {
                this.gate.wait(cx);
                return Poll::Pending;
            }
            match this.poll_read_ahead(cx, read_limit) {
                Poll::Ready(Ok(())) if this.has_ended && !this.allows_half_closed => {
                    return Poll::Ready(Ok(()));
                }
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    // Otherwise nothing waits for the gate, only for the caller.
                    if !this.ahead.is_empty() || this.gate.is_body_held.get() {
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
        if this.gate.wants_send_buffer.take() && this.send_charge.is_none() {
            let mut charge = this.heads.charge.sibling();
            let has_grown = grow_buffer(&this.stream, Direction::Send, &mut charge);
            this.send_charge = has_grown.then_some(charge);
        }
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.note_written(polled)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // The server flushes once the system has taken all that it has written.
        this.gate
            .connection
            .change_phase(ConnectionPhase::Flushing, ConnectionPhase::Idle);
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
