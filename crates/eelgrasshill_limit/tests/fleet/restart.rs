//! A home that restarts while its predecessor's loan is still on its way.

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
        rate: 1_000 * BURST,
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

/// Appends what the hosts ask for and lets them read it, twice.
fn pump<S: Safeguards>(hosts: &mut [&mut Limiter<S>], log: &mut Vec<RightsRecord>, now: Moment) {
    for _round in 0..4 {
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

/// Returns the tokens that two hosts admit in the same millisecond.
fn admitted<S: Safeguards>() -> u64 {
    let org = OrgName::new("lakeshore").unwrap();
    let members = [holder(1, 1), holder(2, 1)];
    let (mut log, now) = (Vec::new(), Moment(1_000));
    let mut one = start::<S>(holder(1, 1), &members, &org, now);
    let mut two = start::<S>(holder(2, 1), &members, &org, now);
    pump(&mut [&mut one, &mut two], &mut log, now);
    let lender = one.ledger().account(&org).unwrap().allocations[0]
        .holder
        .clone();
    let (mut lender_host, mut borrower_host) = if lender == members[0] {
        (one, two)
    } else {
        (two, one)
    };

    assert!(matches!(
        borrower_host.admit(&org, BURST, now),
        Admission::Wait(_)
    ));
    let effects = borrower_host.poll(now);
    let Some(Effect::Borrow { request, .. }) = effects.first() else {
        panic!("the borrower_host asks the home, not {effects:?}");
    };
    let reply = lender_host.lend(request, now).unwrap();
    drop(lender_host);

    let now = Moment(1_100);
    let mut heir = lender.clone();
    heir.process.incarnation = Incarnation(2);
    let mut lender_host = start::<S>(heir, &members, &org, now);
    // The borrower_host has not read of the new incarnation when the old one's reply comes.
    pump(&mut [&mut lender_host], &mut log, now);
    assert_eq!(
        lender_host.ledger().account(&org).unwrap().allocations[0]
            .holder
            .process
            .incarnation,
        Incarnation(2)
    );

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
fn a_restarted_home_waits_for_its_predecessors_loans() {
    assert_eq!(admitted::<AllSafeguards>(), BURST);
    assert!(admitted::<NoLoanWait>() > BURST);
}
