//! Deterministic answer texts, so that a client can check what it received.
//!
//! The text depends only on the model, the adapter and the input. A client
//! that recomputes it notices tokens that are missing, repeated or crossed, that is,
//! taken from the answer to another request.

use serde_json::Value;

/// Prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;

const WORDS: [&str; 64] = [
    "pump", "pole", "yard", "level", "crew", "visit", "stock", "route", "check", "valve", "note",
    "north", "south", "east", "west", "water", "meter", "order", "first", "second", "third",
    "hour", "day", "week", "ready", "clear", "open", "shut", "high", "low", "near", "far", "new",
    "old", "ribbon", "garland", "town", "lake", "shore", "sump", "cellar", "stair", "gate", "wall",
    "lamp", "cable", "hose", "drain", "filter", "motor", "switch", "sensor", "report", "plan",
    "list", "tag", "crate", "truck", "van", "call", "reply", "done", "next", "again",
];

/// The text that an engine generates for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerText {
    seed: u64,
}

impl AnswerText {
    /// Derives the text from a model, an adapter and the caller's input.
    #[must_use]
    pub fn new(model: &str, adapter: Option<&str>, input: &Value) -> Self {
        let mut hash = Fnv::default();
        hash.write(model.as_bytes());
        hash.write(&[0]);
        hash.write(adapter.unwrap_or_default().as_bytes());
        hash.write(&[0]);
        hash.write(input.to_string().as_bytes());
        Self { seed: hash.0 }
    }

    /// Returns the token at an index, with a trailing space.
    #[must_use]
    pub fn token(&self, index: u64) -> String {
        let word_index = mix(self.seed.wrapping_add(index)) % WORDS.len() as u64;
        // The remainder is below WORDS.len(), so the conversion cannot fail.
        let word = usize::try_from(word_index).map_or("", |word_index| WORDS[word_index]);
        format!("{word} ")
    }

    /// Returns the first `token_count` tokens as one string.
    #[must_use]
    pub fn prefix(&self, token_count: u64) -> String {
        (0..token_count).map(|index| self.token(index)).collect()
    }

    /// Returns the length at which the answer ends by itself, from 1 to `max_length` tokens.
    #[must_use]
    pub fn natural_length(&self, max_length: u64) -> u64 {
        1 + mix(!self.seed) % max_length.max(1)
    }
}

/// Returns the number of tokens of a prompt or a list of messages.
#[must_use]
pub fn prompt_tokens(input: &Value) -> u64 {
    input.to_string().len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// The 64-bit offset basis of FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The 64-bit prime of FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// An FNV-1a hasher, whose results are the same on all versions and machines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fnv(pub(crate) u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(FNV_OFFSET_BASIS)
    }
}

impl Fnv {
    pub(crate) fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// Mixes the bits of a number as `SplitMix64` does; the constants are that generator's.
fn mix(number: u64) -> u64 {
    let mut z = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
