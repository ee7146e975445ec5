//! The state of a connection that its stream and the service of its requests share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};

use crate::request_stage::{BodyFraming, Stage};
use crate::socket_limits::Direction;
use crate::{Connection, ConnectionPhase};

/// Why a request is refused before its head is complete.
///
/// The service finds it in the extensions of the request that takes the place of the refused one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadRefusal {
    /// The headers, or the request line, are longer than allowed.
    TooLarge,
    /// The host's memory for requests is used up.
    MemoryFull,
}

/// Tells the stream of a connection about the request that the server serves.
#[derive(Clone, Debug)]
pub struct RequestGate(pub(crate) Rc<GateState>);

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
        self.0.is_answered.set(false);
        self.0.chunks.set(0);
        self.0.connection.set_phase(match framing {
            BodyFraming::Length(0) => ConnectionPhase::Serving,
            _ => ConnectionPhase::Receiving,
        });
        self.0.wake();
        OpenGate(Rc::clone(&self.0))
    }

    /// Returns why the request whose head was decoded last stands for a refused one, if it does.
    #[must_use]
    pub fn head_refusal(&self) -> Option<HeadRefusal> {
        self.0.head_refusal.get()
    }

    /// Returns the connection.
    #[must_use]
    pub fn connection(&self) -> &Connection {
        &self.0.connection
    }

    /// Holds back the rest of the body until the result is dropped.
    #[must_use]
    pub fn hold_body(&self) -> HeldBody {
        self.0.is_body_held.set(true);
        HeldBody(Rc::clone(&self.0))
    }

    /// Returns whether the caller was seen to have closed or reset the connection.
    #[must_use]
    pub fn has_caller_left(&self) -> bool {
        self.0.has_caller_left.get()
    }

    /// Lets the system's buffer grow for a large body or answer, if memory is left for that.
    pub(crate) fn grow_buffer(&self, direction: Direction) {
        match direction {
            Direction::Receive => &self.0.wants_receive_buffer,
            Direction::Send => &self.0.wants_send_buffer,
        }
        .set(true);
    }

    /// Notes that the server has the whole answer.
    pub(crate) fn end_answer(&self) {
        self.0.is_answered.set(true);
        self.0
            .connection
            .change_phase(ConnectionPhase::Serving, ConnectionPhase::Flushing);
    }
}

/// A body whose rest is held back; it passes when this is dropped.
#[derive(Debug)]
pub struct HeldBody(Rc<GateState>);

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.0.is_body_held.set(false);
        self.0.wake();
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

#[derive(Debug)]
pub(crate) struct GateState {
    pub(crate) connection: Connection,
    pub(crate) stage: Cell<Stage>,
    pub(crate) has_request: Cell<bool>,
    // The server has the whole answer of the last request.
    pub(crate) is_answered: Cell<bool>,
    pub(crate) is_body_held: Cell<bool>,
    // The caller has closed or reset the connection.
    pub(crate) has_caller_left: Cell<bool>,
    // A large body or answer has begun, whose buffer has not grown.
    pub(crate) wants_receive_buffer: Cell<bool>,
    pub(crate) wants_send_buffer: Cell<bool>,
    pub(crate) head_refusal: Cell<Option<HeadRefusal>>,
    // Chunks of the current body that have passed.
    pub(crate) chunks: Cell<usize>,
    // The system takes no more bytes of answers.
    pub(crate) is_write_blocked: Cell<bool>,
    // The server's task, if it waits for bytes that are held back.
    pub(crate) waiting: RefCell<Option<Waker>>,
}

impl GateState {
    pub(crate) fn new(connection: Connection) -> Self {
        Self {
            connection,
            stage: Cell::new(Stage::HEAD),
            has_request: Cell::new(false),
            is_answered: Cell::new(true),
            is_body_held: Cell::new(false),
            has_caller_left: Cell::new(false),
            wants_receive_buffer: Cell::new(false),
            wants_send_buffer: Cell::new(false),
            head_refusal: Cell::new(None),
            chunks: Cell::new(0),
            is_write_blocked: Cell::new(false),
            waiting: RefCell::new(None),
        }
    }

    pub(crate) fn wake(&self) {
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    pub(crate) fn wait(&self, cx: &Context<'_>) {
        self.waiting.replace(Some(cx.waker().clone()));
    }

    pub(crate) fn stage(&self) -> Stage {
        // A body without bytes has ended already.
        if matches!(self.stage.get(), Stage::Sized(0)) {
            self.stage.set(Stage::HEAD);
        }
        self.stage.get()
    }

    /// Sets the stage after bytes of a request have passed.
    pub(crate) fn note_passed(&self, stage: Stage, count: usize) {
        let before = self.stage.replace(stage);
        self.connection.note_received(count);
        let has_ended =
            matches!(stage, Stage::Head { .. }) && !matches!(before, Stage::Head { .. });
        if has_ended {
            self.connection.set_phase(if self.is_answered.get() {
                ConnectionPhase::Idle
            } else {
                ConnectionPhase::Serving
            });
        }
    }

    /// Returns how many of the next bytes of a body may pass, and counts them as passed.
    ///
    /// A head passes only once it is complete. `chunks_left` is how many chunks may begin.
    pub(crate) fn pass(&self, bytes: &[u8], chunks_left: &mut usize) -> usize {
        let mut stage = self.stage();
        let mut passed = 0;
        while let Some(byte) = bytes.get(passed) {
            let is_held = match stage {
                Stage::Head { .. } | Stage::Decoding => true,
                Stage::CompleteHead(_) => false,
                Stage::ChunkSize(_) => self.is_body_held.get() || *chunks_left == 0,
                _ => self.is_body_held.get(),
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
                if matches!(stage, Stage::ChunkData(_)) {
                    *chunks_left -= 1;
                    self.chunks.set(self.chunks.get() + 1);
                }
            }
        }
        if passed > 0 {
            self.note_passed(stage, passed);
        }
        passed
    }
}
