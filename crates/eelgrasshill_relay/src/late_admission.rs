//! Which requests a leaving host still takes.
//!
//! The load balancer needs some seconds to notice that a host leaves, and callers keep using their
//! open connections. A request that is still at work when the host closes is lost, so later ones are
//! taken only if they must have ended by then.

use std::time::Duration;

/// Part of the grace time in which a leaving host takes all requests, in percent.
///
/// It covers the checks of the load balancer; most requests take far less than the rest.
const ADMISSION_PERCENT: u32 = 35;

/// Time that an answer takes back to the caller.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Returns whether a leaving host takes a request.
///
/// `elapsed` is the time since the host began to leave, `grace` the time after which it is killed,
/// `until_close` the time until it closes, and `time_limit` the longest time that the request can
/// take.
#[must_use]
pub fn is_admitted_late(
    elapsed: Duration,
    grace: Duration,
    until_close: Duration,
    time_limit: Duration,
) -> bool {
    elapsed <= grace * ADMISSION_PERCENT / 100
        || time_limit.saturating_add(ANSWER_TIME) <= until_close
}
