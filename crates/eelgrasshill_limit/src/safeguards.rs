//! The mechanisms that keep the bound, as constants that a proof can switch off.
//!
//! The product always uses [`AllSafeguards`]. Tests define other types to show that each mechanism is
//! needed: without it the same schedules admit too many tokens.

use std::fmt::Debug;

/// Which mechanisms are in force; every constant is true in the product.
pub trait Safeguards: Clone + Copy + Debug + Default {
    /// What is given back is bounded by the least headroom since the tokens were used.
    const LIMIT_REFUNDS: bool = true;
    /// A home's cap stays lowered while a borrower may still spend a loan.
    const HOLD_LOANS: bool = true;
    /// A repeated request gets the first reply again.
    const DEDUPLICATE: bool = true;
    /// A new holder of moved rights starts with an empty bucket.
    const START_EMPTY: bool = true;
    /// A borrower drops answers and loans that are older than its own deadline.
    const LOAN_DEADLINE: bool = true;
    /// Rights are reclaimed only after their lease has been watched to its end.
    const AWAIT_LEASE_END: bool = true;
    /// A home stops lending when its own lease ends.
    const STOP_AT_LEASE_END: bool = true;
    /// A restarted home waits until the loans of its predecessor have ended.
    const AWAIT_LOAN_END: bool = true;
    /// Homes that heard of a lowered limit make room for those that did not.
    const COMPENSATE_UNAWARE: bool = true;
    /// A giver lowers its own share before it appends the record.
    const SHRINK_FIRST: bool = true;
}

/// Every mechanism is in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllSafeguards;

impl Safeguards for AllSafeguards {}
