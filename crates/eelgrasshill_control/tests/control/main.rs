//! Tests of the decisions of one host, with simulated hosts, logs and faults.
#![expect(
    clippy::unwrap_used,
    reason = "a test fails at the first unexpected value"
)]
#![expect(
    clippy::cast_possible_truncation,
    reason = "simulated times and offsets are small"
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
