//! Cuts a stream into whole events and knows where it can go on.
//!
//! Only whole events are passed on: an engine may stop in the middle of one, and what another
//! engine sends next starts with a whole event again.

use bytes::{Bytes, BytesMut};

/// Longest event that is kept, in bytes; a longer one ends the stream.
const EVENT_BYTES: usize = 1 << 20;

/// Splits the bytes of one run into events.
#[derive(Clone, Debug, Default)]
pub struct EventCutter {
    rest: BytesMut,
    last: Option<u64>,
}

impl EventCutter {
    /// Makes a cutter for a stream of which events up to `last` were passed on.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            rest: BytesMut::new(),
            last,
        }
    }

    /// Takes bytes and returns the whole events among them, as they came.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.rest.extend_from_slice(bytes);
        let end = self.rest.windows(2).rposition(|pair| pair == b"\n\n")? + 2;
        let whole = self.rest.split_to(end).freeze();
        self.last = last_id(&whole).or(self.last);
        Some(whole)
    }

    /// Returns the id of the last whole event.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether bytes of a torn event are left.
    #[must_use]
    pub fn is_torn(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Returns whether an event is longer than is kept.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.rest.len() > EVENT_BYTES
    }
}

/// Returns the id of the last event in `whole` that has one.
fn last_id(whole: &[u8]) -> Option<u64> {
    let lines = whole.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
