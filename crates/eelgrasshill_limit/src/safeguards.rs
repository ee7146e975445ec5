//! Switches for the mechanisms that keep the bound, so that tests can turn each off.
//!
//! The product always uses [`AllSafeguards`]. Tests define other types to show that each mechanism
//! is needed: without it, the same schedules admit too many tokens.

use std::fmt::Debug;

/// Selects the mechanisms that are on; the product uses the defaults, all true.
pub trait Safeguards: Clone + Copy + Debug + Default {
    /// Bounds a refund by the least headroom since its tokens were used.
    const LIMIT_REFUNDS: bool = true;
    /// Lowers a lender's cap while a borrower may still spend a loan.
    const HOLD_LOANS: bool = true;
    /// Answers a repeated request with the first reply.
    const DEDUPLICATE: bool = true;
    /// Starts the bucket of a moved share empty.
    const START_EMPTY: bool = true;
    /// Makes a borrower drop replies and loans after its own deadline.
    const LOAN_DEADLINE: bool = true;
    /// Reclaims shares only once their lease has expired.
    const AWAIT_LEASE_END: bool = true;
    /// Stops lending when the own lease expires.
    const STOP_AT_LEASE_END: bool = true;
    /// Makes a restarted lender wait until the loans of its predecessor have ended.
    const AWAIT_LOAN_END: bool = true;
    /// Makes holders that know of a lowered limit compensate for those that do not.
    const COMPENSATE_UNAWARE: bool = true;
    /// Reduces the own share before its transfer is appended.
    const SHRINK_FIRST: bool = true;
}

/// Keeps every mechanism on, as the product does.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllSafeguards;

impl Safeguards for AllSafeguards {}
