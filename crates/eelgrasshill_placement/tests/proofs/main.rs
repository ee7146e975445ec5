//! Proofs of placement under faults, against engines that keep their own account.

mod faults;
mod fleet;
mod matrix;
mod shares;
mod successor;
