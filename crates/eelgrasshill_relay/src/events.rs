//! Splits a server-sent event stream into whole events.
//!
//! Only whole events are passed on. An engine may stop in the middle of an event, and the engine
//! that resumes the stream starts with a whole event after the last one that was passed on.

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes up to the next event with a higher id; more of them end the stream.
///
/// A faulty engine may send an event that does not end, or events without id, for ever.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Splits the bytes of one upstream response into events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last: Option<u64>,
    // Highest id so far, and the bytes since its event.
    highest: Option<u64>,
    idle_bytes: usize,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after event `last`.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            highest: last,
            ..Self::default()
        }
    }

    /// Appends bytes and returns the events that are now complete, unmodified.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.idle_bytes += bytes.len();
        // Earlier bytes have no event end, but their last one may be the first of it.
        let new = self.partial.len().saturating_sub(EVENT_END.len() - 1);
        self.partial.extend_from_slice(bytes);
        let end = self.partial[new..]
            .windows(EVENT_END.len())
            .rposition(|pair| pair == EVENT_END)?
            + EVENT_END.len();
        let whole = self.partial.split_to(new + end).freeze();
        self.last = last_id(&whole).or(self.last);
        if self.last > self.highest {
            self.highest = self.last;
            self.idle_bytes = self.partial.len();
        }
        Some(whole)
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of bytes of the event that is not complete.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the buffer holds part of an event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether more bytes than the maximum brought no event with a higher id.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.idle_bytes > MAX_EVENT_BYTES
    }
}

/// Returns whether whole events contain more than comments.
///
/// A stalled engine may keep sending comments, which its stream does not need.
#[must_use]
pub fn has_content(events: &[u8]) -> bool {
    events
        .split(|byte| *byte == b'\n')
        .any(|line| !matches!(line.first(), None | Some(b':')))
}

/// Returns the id of the last event in `whole` that has one.
fn last_id(whole: &[u8]) -> Option<u64> {
    let lines = whole.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
