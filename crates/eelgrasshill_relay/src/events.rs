//! Splits a server-sent event stream into whole events.
//!
//! Only whole events are passed on. An engine may stop in the middle of an event, and the engine
//! that resumes the stream starts with a whole event after the last one that was passed on.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event; a longer one ends the stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Splits the bytes of one upstream response into events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after event `last`.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last,
        }
    }

    /// Appends bytes and returns the events that are now complete, unmodified.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = self
            .partial
            .windows(EVENT_END.len())
            .rposition(|pair| pair == EVENT_END)?
            + EVENT_END.len();
        let whole = self.partial.split_to(end).freeze();
        self.last = last_id(&whole).or(self.last);
        Some(whole)
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the buffer holds part of an event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether the partial event exceeds the maximum size.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }
}

/// Returns the id of the last event in `whole` that has one.
fn last_id(whole: &[u8]) -> Option<u64> {
    let lines = whole.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
