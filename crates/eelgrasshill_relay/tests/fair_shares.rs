//! Tests the shares of organisations.

use std::time::Duration;

use eelgrasshill_domain::Moment;
use eelgrasshill_relay::{FairShares, OrganisationHash};

const OBJECTIVE: Duration = Duration::from_secs(1);
const NOW: Moment = Moment(10_000);

fn used(tokens: &[u64]) -> FairShares {
    let mut shares = FairShares::default();
    for (number, tokens) in (1..).zip(tokens) {
        shares.record(OrganisationHash(number), *tokens, NOW);
    }
    shares
}

/// Guards against organisations that are put back without having used more than others.
#[test]
fn only_use_far_above_the_mean_delays() {
    let shares = used(&[700, 100, 100, 100]);
    let delay = |number| shares.delay(OrganisationHash(number), OBJECTIVE, NOW);
    assert!(delay(1) > Duration::ZERO, "the one above twice the mean");
    assert_eq!(delay(2), Duration::ZERO, "one below the mean");
    let similar = used(&[150, 100, 100, 100]);
    let by_chance = similar.delay(OrganisationHash(1), OBJECTIVE, NOW);
    assert_eq!(by_chance, Duration::ZERO, "one that differs by chance");
    assert_eq!(delay(9), Duration::ZERO, "one that used nothing");
    let alone = used(&[700]);
    assert_eq!(
        alone.delay(OrganisationHash(1), OBJECTIVE, NOW),
        Duration::ZERO,
        "one that is alone may use the shares of all"
    );
}

/// Guards against an organisation whose requests never start, and one that is delayed for good.
#[test]
fn a_delay_is_bounded_and_ends() {
    let shares = used(&[1_000_000_000, 10, 10, 10]);
    let delay = |now| shares.delay(OrganisationHash(1), OBJECTIVE, now);
    assert!(delay(NOW) < OBJECTIVE, "a delay of {:?}", delay(NOW));
    let idle = delay(Moment(1_000_000));
    assert_eq!(idle, Duration::ZERO, "when no organisation is active");
    let mut shares = used(&[700, 100]);
    shares.expire(Moment(100_000));
    let later = shares.delay(OrganisationHash(1), OBJECTIVE, Moment(100_000));
    assert_eq!(later, Duration::ZERO, "after a minute and a half");
}

/// Guards against a memory that grows with names that come once.
#[test]
fn the_number_of_organisations_is_bounded() {
    let mut shares = FairShares::default();
    for number in 1..=10_000 {
        shares.record(OrganisationHash(number), 1_000, NOW);
    }
    assert!(shares.count() <= 1_024, "{} organisations", shares.count());
    shares.expire(Moment(100_000));
    assert_eq!(shares.count(), 0, "organisations that are not active");
}
