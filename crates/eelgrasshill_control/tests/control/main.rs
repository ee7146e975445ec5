//! Proofs of the decisions of one host, each against an oracle.
#![expect(clippy::unwrap_used, reason = "a test stops at the first surprise")]

mod access;
mod make;
