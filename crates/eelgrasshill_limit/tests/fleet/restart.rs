//! A lender that restarts while a loan of its predecessor is still in flight.
//!
//! The old process grants a loan and ends before the reply arrives. If the new one lent at once,
//! the borrower could spend the old loan on top of it and exceed the burst.

use std::collections::BTreeMap;

use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, OrgName, Version, ZoneName};
use eelgrasshill_limit::{
    Admission, AllSafeguards, Amount, Effect, Holder, Limit, LimitSettings, Limiter, Process,
    RightsRecord, Safeguards, Share,
};

#[derive(Clone, Copy, Debug, Default)]
struct NoLoanWait;

impl Safeguards for NoLoanWait {
    const AWAIT_LOAN_END: bool = false;
}

const BURST: u64 = 1_000;

/// Rounds in which the hosts append and read: enough for limit, assignment and lease.
const RECORD_ROUNDS: usize = 4;

fn holder(host: u8, incarnation: u64) -> Holder {
    Holder {
        process: Process {
            host: HostName::new(&format!("entry-{host}")).unwrap(),
            incarnation: Incarnation(incarnation),
        },
        zone: ZoneName::new("toledo-yard").unwrap(),
        address: format!("10.0.0.{host}:7000").parse().unwrap(),
    }
}

fn start<S: Safeguards>(me: Holder, members: &[Holder], org: &OrgName, now: Moment) -> Limiter<S> {
    let settings = LimitSettings {
        zone_lenders: 1,
        ..LimitSettings::default()
    };
    let share = Share {
        milli_tokens_per_second: 1_000 * BURST,
        burst: Amount::from_tokens(BURST),
    };
    let version = Version(1);
    let mut limiter = Limiter::new(me, settings);
    limiter.configure(
        version,
        BTreeMap::from([(org.clone(), Limit { version, share })]),
        now,
    );
    limiter.set_members(members.iter().cloned());
    limiter
}

/// Appends the records that the hosts emit and lets all hosts read them, for some rounds.
fn exchange_records<S: Safeguards>(
    hosts: &mut [&mut Limiter<S>],
    log: &mut Vec<RightsRecord>,
    now: Moment,
) {
    for _round in 0..RECORD_ROUNDS {
        // The list of members may still show the old incarnation of a restarted host.
        let members: Vec<Holder> = (1..=2).map(|h| holder(h, 1)).collect();
        for host in hosts.iter_mut() {
            for effect in host.poll(now) {
                if let Effect::Append(record) = effect {
                    log.push(record);
                }
            }
        }
        for host in hosts.iter_mut() {
            for (offset, record) in log.iter().enumerate() {
                host.read(Offset(offset as u64), record, now);
            }
            host.set_members(members.clone());
        }
    }
}

/// Returns the tokens that both hosts admit in the same millisecond.
fn admitted_tokens<S: Safeguards>() -> u64 {
    let org = OrgName::new("lakeshore").unwrap();
    let members = [holder(1, 1), holder(2, 1)];
    let (mut log, now) = (Vec::new(), Moment(1_000));
    let mut first = start::<S>(holder(1, 1), &members, &org, now);
    let mut second = start::<S>(holder(2, 1), &members, &org, now);
    exchange_records(&mut [&mut first, &mut second], &mut log, now);
    let lender = first.ledger().account(&org).unwrap().allocations[0]
        .holder
        .clone();
    let (mut lender_host, mut borrower_host) = if lender == members[0] {
        (first, second)
    } else {
        (second, first)
    };

    assert!(
        matches!(borrower_host.admit(&org, BURST, now), Admission::Wait(_)),
        "the borrower must wait for a loan"
    );
    let effects = borrower_host.poll(now);
    let Some(Effect::Borrow { request, .. }) = effects.first() else {
        panic!("expected a request to the lender, got {effects:?}");
    };
    let reply = lender_host.lend(request, now).unwrap();
    drop(lender_host);

    let now = Moment(1_100);
    let mut successor = lender.clone();
    successor.process.incarnation = Incarnation(2);
    let mut lender_host = start::<S>(successor, &members, &org, now);
    // The borrower has not read the takeover when the reply of the old process arrives.
    exchange_records(&mut [&mut lender_host], &mut log, now);
    assert_eq!(
        lender_host.ledger().account(&org).unwrap().allocations[0]
            .holder
            .process
            .incarnation,
        Incarnation(2)
    );

    // The loan may still be spent, and the new lender's bucket has accrued half the burst by now.
    let now = Moment(1_950);
    let mut sum = 0;
    borrower_host.receive(&reply, now);
    for (host, cost) in [(&mut borrower_host, BURST), (&mut lender_host, BURST / 2)] {
        if matches!(host.admit(&org, cost, now), Admission::Admitted(_)) {
            sum += cost;
        }
    }
    sum
}

#[test]
fn a_restarted_lender_waits_for_the_loans_of_its_predecessor() {
    assert_eq!(
        admitted_tokens::<AllSafeguards>(),
        BURST,
        "expected exactly one burst with all safeguards"
    );
    let tokens = admitted_tokens::<NoLoanWait>();
    assert!(
        tokens > BURST,
        "without the wait, {tokens} tokens were admitted, expected more than {BURST}"
    );
}
