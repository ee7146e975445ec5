//! Parts of prompts that requests declare and share.

use std::fmt;

use eelgrasshill_domain::{rendezvous_weight, scalar};

scalar! {
    /// Hash of the id of a part of a prompt; equal on all hosts.
    pub struct PromptPart(pub u64);
}

impl PromptPart {
    /// Computes the hash of a part's id.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self(rendezvous_weight(id, "part"))
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
