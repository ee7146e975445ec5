//! What a request declares that other requests, or its own repeats, have in common with it.

use std::fmt;

use eelgrasshill_domain::{fields_hash, rendezvous_weight, scalar};

/// Lowest bit of the hash, set for a whole request and clear for a part of a prompt.
const WHOLE_BIT: u64 = 1;

scalar! {
    /// Hash of a part of a prompt, or of a whole request; equal on all hosts.
    pub struct PromptPart(pub u64);
}

impl PromptPart {
    /// Computes the hash of a part's id.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self(rendezvous_weight(id, "part") & !WHOLE_BIT)
    }

    /// Computes the hash of all that a repeat of a request has in common with it.
    ///
    /// Fields are told apart by their order and their length.
    #[must_use]
    pub fn whole(fields: &[&[u8]]) -> Self {
        Self(fields_hash(fields) | WHOLE_BIT)
    }

    /// Returns whether this stands for a whole request.
    #[must_use]
    pub fn is_whole(self) -> bool {
        self.0 & WHOLE_BIT != 0
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.is_whole() { "whole:" } else { "" };
        write!(f, "{kind}{:016x}", self.0)
    }
}
