//! Tests placement under faults, against fake engines that track their own memory.

mod faults;
mod fleet;
mod matrix;
mod shares;
mod successor;
