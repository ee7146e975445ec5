//! Proofs of the decisions of one host, each against an oracle.
#![expect(clippy::unwrap_used, reason = "a test stops at the first surprise")]
#![expect(
    clippy::cast_possible_truncation,
    reason = "model times and offsets are small"
)]

mod access;
mod builders;
mod claims;
mod claims_fold;
mod claims_matrix;
mod claims_simulation;
mod config;
mod config_matrix;
mod config_simulation;
mod log;
mod members;
mod verdicts;
