//! Tests the times at which rejected callers return.

use std::time::Duration;

use eelgrasshill_domain::{ModelName, Moment, PoolName};
use eelgrasshill_relay::{PromptPart, RequestIdentity, Reservations, ReturnQuery, ReturningCaller};

const INTERVAL: Duration = Duration::from_millis(40);
const REMAINING: Duration = Duration::from_secs(12);

fn key() -> (PoolName, ModelName) {
    let pool = PoolName::new("p").expect("the name is valid");
    (pool, ModelName::new("m").expect("the name is valid"))
}

fn reserve(reservations: &mut Reservations, identity: u64, now: Moment) -> Option<Duration> {
    let query = ReturnQuery {
        identity: RequestIdentity(identity),
        arrived_at: now,
        delay: Duration::from_secs(1),
        interval: INTERVAL,
        remaining: REMAINING,
    };
    reservations.reserve(key(), &query, now)
}

/// Guards against callers that were rejected in the same second and return in the same second.
#[test]
fn a_thousand_rejected_callers_return_one_after_another() {
    let mut reservations = Reservations::default();
    let mut last = Moment(0);
    let mut told = 0;
    for number in 0..1_000 {
        let now = Moment(10_000 + number);
        let Some(after) = reserve(&mut reservations, number, now) else {
            continue;
        };
        told += 1;
        assert!(
            after <= REMAINING / 3,
            "caller {number} returns after {after:?}"
        );
        let return_at = now.after(after);
        assert!(
            return_at.since(last) >= INTERVAL,
            "caller {number} returns at {return_at:?}, the one before at {last:?}"
        );
        last = return_at;
    }
    assert!(
        told >= 75,
        "only {told} callers are told a time within 3 s at 25 a second"
    );
}

/// Guards against a reservation that another caller with an equal request uses up.
#[test]
fn a_reservation_is_for_one_caller_at_its_time() {
    let mut reservations = Reservations::default();
    let now = Moment(10_000);
    let after = reserve(&mut reservations, 7, now).expect("a place becomes free");
    let identity = RequestIdentity(7);
    assert_eq!(
        reservations.take(identity, Moment(10_500)),
        None,
        "before its time"
    );
    assert_eq!(
        reservations.take(RequestIdentity(8), now.after(after)),
        None,
        "another request"
    );
    let known = ReturningCaller {
        first_arrival: now,
        has_place: true,
    };
    assert_eq!(
        reservations.take(identity, now.after(after)),
        Some(known),
        "at its time"
    );
    assert_eq!(
        reservations.take(identity, now.after(after)),
        None,
        "a second time"
    );
}

/// Guards against a caller without a place that counts as new when it returns.
#[test]
fn a_caller_that_was_told_no_time_is_known_by_its_first_arrival() {
    let mut reservations = Reservations::default();
    let now = Moment(10_000);
    let query = ReturnQuery {
        identity: RequestIdentity(7),
        arrived_at: now,
        delay: Duration::from_secs(5),
        interval: INTERVAL,
        remaining: REMAINING,
    };
    assert_eq!(reservations.reserve(key(), &query, now), None);
    let known = ReturningCaller {
        first_arrival: now,
        has_place: false,
    };
    assert_eq!(
        reservations.take(RequestIdentity(7), Moment(10_400)),
        Some(known)
    );
}

/// Guards against a picker whose memory grows with the callers that it rejects.
#[test]
fn reservations_are_bounded_in_number_and_age() {
    let mut reservations = Reservations::default();
    for number in 0..100_000 {
        let _told = reserve(&mut reservations, number, Moment(10_000));
    }
    let count = reservations.count();
    assert!((1..=4_096).contains(&count), "{count} reservations");
    reservations.expire(Moment(17_000));
    assert_eq!(reservations.count(), 0, "reservations that are kept");
}

/// Guards against requests of two organisations that are taken for one.
#[test]
fn an_identity_tells_organisations_apart() {
    let whole = PromptPart::whole(&[b"body"]);
    let identity = |name| RequestIdentity::new(whole, name);
    assert_eq!(identity(Some("a")), identity(Some("a")));
    assert_ne!(identity(Some("a")), identity(Some("b")));
    assert_ne!(identity(Some("a")), identity(None));
}
