//! Tests of the bound over several hosts, with a log and a network that fail.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

mod faults;
mod matrix;
mod restart;
mod simulation;
mod windows;
