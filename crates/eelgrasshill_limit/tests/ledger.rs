//! Tests that a ledger accepts or rejects each record of given sequences as expected.
//!
//! Guards against hosts that disagree on who holds what: every record must be accepted or rejected
//! for one known reason, replaying an offset must change nothing, and a snapshot must restore the
//! same state.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

use eelgrasshill_domain::{HostName, Incarnation, Offset, OrgName, Version, ZoneName};
use eelgrasshill_limit::RightsRejection::{
    NoAccount, NotHeld, OldIncarnation, OldLimit, OverLimit, Renewed, Revision,
};
use eelgrasshill_limit::{
    Allocation, Amount, Holder, Ledger, Limit, RightsOutcome, RightsRecord, RightsRejection, Share,
};

fn org() -> OrgName {
    OrgName::new("lakeshore").unwrap()
}

fn holder(host: u8, incarnation: u64) -> Holder {
    Holder {
        process: eelgrasshill_limit::Process {
            host: HostName::new(&format!("entry-{host}")).unwrap(),
            incarnation: Incarnation(incarnation),
        },
        zone: ZoneName::new("erie-yard").unwrap(),
        address: format!("10.0.0.{host}:7000").parse().unwrap(),
    }
}

/// Micro-tokens in a unit, so that a unit of rate is a token per second.
const MICRO_TOKENS_PER_UNIT: u64 = 1_000;

/// Returns a share of so many tokens per second, with a burst of as many milli-tokens.
fn share(units: u64) -> Share {
    Share {
        milli_tokens_per_second: units * MICRO_TOKENS_PER_UNIT,
        burst: Amount(units * MICRO_TOKENS_PER_UNIT),
    }
}

fn allocation(host: u8, incarnation: u64, units: u64) -> Allocation {
    Allocation {
        holder: holder(host, incarnation),
        share: share(units),
    }
}

fn limit(version: u64, units: u64) -> RightsRecord {
    RightsRecord::Limit {
        organisation: org(),
        limit: Limit {
            version: Version(version),
            share: share(units),
        },
    }
}

fn assign(revision: u64, allocations: &[Allocation]) -> RightsRecord {
    RightsRecord::Assign {
        organisation: org(),
        revision: Offset(revision),
        allocations: allocations.to_vec(),
    }
}

fn renew(host: u8, config_version: u64) -> RightsRecord {
    RightsRecord::Renew {
        process: holder(host, 1).process,
        nonce: 1,
        config_version: Version(config_version),
    }
}

fn transfer(revision: u64, from: u8, allocation: Allocation) -> RightsRecord {
    RightsRecord::Transfer {
        organisation: org(),
        revision: Offset(revision),
        from: holder(from, 1).process,
        allocation,
    }
}

fn release(host: u8) -> RightsRecord {
    RightsRecord::Release {
        process: holder(host, 1).process,
    }
}

fn takeover(host: u8, incarnation: u64) -> RightsRecord {
    RightsRecord::Takeover {
        holder: holder(host, incarnation),
        nonce: 1,
        config_version: Version(1),
    }
}

fn reclaim(host: u8, last_renewal: Option<u64>) -> RightsRecord {
    RightsRecord::Reclaim {
        process: holder(host, 1).process,
        last_renewal: last_renewal.map(Offset),
    }
}

/// A sequence of records from offset 0 on, each with its rejection, if any.
///
/// The first argument of `assign` and `transfer` is the revision, which is the offset of the record
/// that last changed the account.
/// `held` lists host, incarnation and units of each share at the end.
struct Case {
    name: &'static str,
    records: Vec<(RightsRecord, Option<RightsRejection>)>,
    held: Vec<(u8, u64, u64)>,
}

fn cases() -> Vec<Case> {
    let assign_both_hosts = || assign(0, &[allocation(1, 1, 6), allocation(2, 1, 4)]);
    let revision = |offset| Revision {
        current: Offset(offset),
    };
    vec![
        Case {
            name: "an assignment never goes beyond the limit",
            records: vec![
                (assign(0, &[allocation(1, 1, 1)]), Some(NoAccount)),
                (limit(1, 10), None),
                (assign(1, &[allocation(1, 1, 11)]), Some(OverLimit)),
                (assign(1, &[allocation(1, 1, 6)]), None),
                (assign(1, &[allocation(2, 1, 4)]), Some(revision(3))),
                (assign(3, &[allocation(2, 1, 5)]), Some(OverLimit)),
            ],
            held: vec![(1, 1, 6)],
        },
        Case {
            name: "limits change by version, and shares shrink once all holders apply the limit",
            records: vec![
                (limit(1, 10), None),
                (assign_both_hosts(), None),
                (limit(1, 20), Some(OldLimit)),
                (limit(2, 5), None),
                (renew(1, 2), None),
                (transfer(3, 1, allocation(2, 1, 1)), Some(OverLimit)),
                (renew(2, 2), None),
            ],
            held: vec![(1, 1, 3), (2, 1, 2)],
        },
        Case {
            name: "a repeated transfer applies once",
            records: vec![
                (limit(1, 10), None),
                (assign_both_hosts(), None),
                (transfer(1, 1, allocation(2, 1, 7)), Some(NotHeld)),
                (transfer(1, 1, allocation(2, 1, 2)), None),
                (transfer(1, 1, allocation(2, 1, 2)), Some(revision(3))),
            ],
            held: vec![(1, 1, 4), (2, 1, 6)],
        },
        Case {
            name: "only a newer incarnation at the address takes over",
            records: vec![
                (limit(1, 10), None),
                (assign_both_hosts(), None),
                (takeover(3, 2), Some(NotHeld)),
                (takeover(1, 2), None),
                (takeover(1, 2), Some(NotHeld)),
                (renew(1, 1), Some(NotHeld)),
                (assign(3, &[allocation(1, 1, 0)]), Some(OldIncarnation)),
            ],
            held: vec![(1, 2, 6), (2, 1, 4)],
        },
        Case {
            name: "a reclaim names the last renewal",
            records: vec![
                (limit(1, 10), None),
                (assign_both_hosts(), None),
                (renew(1, 1), None),
                (reclaim(1, None), Some(Renewed)),
                (renew(1, 1), None),
                (reclaim(1, Some(2)), Some(Renewed)),
                (reclaim(1, Some(4)), None),
                (renew(1, 1), Some(NotHeld)),
                (reclaim(2, None), None),
                (release(2), Some(NotHeld)),
            ],
            held: vec![],
        },
        Case {
            name: "a release frees everything once",
            records: vec![
                (limit(1, 10), None),
                (assign_both_hosts(), None),
                (release(1), None),
                (release(1), Some(NotHeld)),
                (assign(2, &[allocation(2, 1, 6)]), None),
            ],
            held: vec![(2, 1, 10)],
        },
    ]
}

#[test]
fn each_record_has_the_expected_outcome() {
    for case in cases() {
        let mut ledger = Ledger::default();
        for (offset, (record, rejection)) in case.records.iter().enumerate() {
            let outcome = ledger.apply(Offset(offset as u64), record);
            let expected = rejection.map_or(RightsOutcome::Accepted, RightsOutcome::Rejected);
            assert_eq!(outcome, expected, "{}: record {offset}", case.name);
            let again = ledger.apply(Offset(offset as u64), record);
            let old = RightsOutcome::Rejected(RightsRejection::OldOffset);
            assert_eq!(again, old, "{}: record {offset} repeated", case.name);
        }
        let account = ledger.account(&org()).unwrap();
        let expected: Vec<Allocation> = case
            .held
            .iter()
            .map(|&(h, i, u)| allocation(h, i, u))
            .collect();
        assert_eq!(account.allocations, expected, "{}", case.name);
        let restored = ledger.snapshot().and_then(Ledger::restore);
        assert_eq!(restored.as_ref(), Some(&ledger), "{}", case.name);
    }
}
