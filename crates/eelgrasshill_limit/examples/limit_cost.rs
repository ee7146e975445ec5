//! Prints state size and time per operation of ledger, lender and borrower as CSV.

use std::collections::BTreeMap;
use std::error::Error;
use std::hint::black_box;
use std::time::Instant;

use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, OrgName, Version, ZoneName};
use eelgrasshill_limit::{
    Admission, AllSafeguards, Amount, BorrowRequest, Effect, Holder, Limit, LimitSettings, Limiter,
    Process, RightsRecord, Share,
};

/// Numbers of hosts to measure.
const HOST_COUNTS: [usize; 4] = [20, 100, 200, 400];

/// Numbers of organisations to measure.
const ORGANISATION_COUNTS: [usize; 3] = [5, 20, 50];

/// Number of operations that are timed together.
const OPERATIONS: u64 = 20_000;

/// Operations in one ms of simulated time.
const OPERATIONS_PER_MS: u64 = 100;

/// Rounds in which the hosts append and read: enough for limits, assignments and leases.
const RECORD_ROUNDS: u64 = 4;

/// Simulated time between two rounds.
const ROUND_MS: u64 = 3_000;

fn holder(number: usize) -> Result<Holder, Box<dyn Error>> {
    Ok(Holder {
        process: Process {
            host: HostName::new(&format!("entry-{number}"))?,
            incarnation: Incarnation(1),
        },
        zone: ZoneName::new(["sudvestur-a", "sudvestur-b", "sudvestur-c"][number % 3])?,
        address: format!("10.0.{}.{}:7000", number / 250, number % 250).parse()?,
    })
}

/// Returns the mean time of an operation in nanoseconds.
fn nanos_per_operation(mut operation: impl FnMut(u64)) -> u128 {
    let start = Instant::now();
    (0..OPERATIONS).for_each(&mut operation);
    start.elapsed().as_nanos() / u128::from(OPERATIONS)
}

/// Exchanges the records of all hosts until shares are assigned and leases are valid.
fn exchange_records(limiters: &mut [Limiter<AllSafeguards>], log: &mut Vec<RightsRecord>) {
    for round in 0..RECORD_ROUNDS {
        let now = Moment(1_000 + round * ROUND_MS);
        let first = log.len();
        for limiter in limiters.iter_mut() {
            for effect in limiter.poll(now) {
                if let Effect::Append(record) = effect {
                    log.push(record);
                }
            }
        }
        for limiter in limiters.iter_mut() {
            for (offset, record) in log.iter().enumerate().skip(first) {
                limiter.read(Offset(offset as u64), record, now);
            }
        }
    }
}

fn borrow_request(org: &OrgName, lender: &Process, from: &Holder, number: u64) -> BorrowRequest {
    // With an incarnation that no host has, the lender opens a new session, and request numbers
    // begin at 1.
    let mut borrower = from.process.clone();
    borrower.incarnation = Incarnation(2);
    BorrowRequest {
        organisation: org.clone(),
        lender: lender.clone(),
        borrower,
        number,
        last_accepted: number - 1,
        min_amount: Amount::ZERO,
        max_amount: Amount::from_tokens(1),
        queue: false,
        usage: Vec::new(),
    }
}

fn measure(hosts: usize, organisations: usize) -> Result<(), Box<dyn Error>> {
    let holders = (0..hosts).map(holder).collect::<Result<Vec<_>, _>>()?;
    let names = (0..organisations)
        .map(|number| OrgName::new(&format!("organisation-{number}")))
        .collect::<Result<Vec<_>, _>>()?;
    let share = Share {
        milli_tokens_per_second: 100_000_000,
        burst: Amount::from_tokens(1_000_000),
    };
    let version = Version(1);
    let limits: BTreeMap<_, _> = names
        .iter()
        .map(|org| (org.clone(), Limit { version, share }))
        .collect();
    let mut limiters: Vec<_> = holders
        .iter()
        .map(|me| {
            let mut limiter = Limiter::<AllSafeguards>::new(me.clone(), LimitSettings::default());
            limiter.configure(version, limits.clone(), Moment(0));
            limiter.set_members(holders.iter().cloned());
            limiter
        })
        .collect();
    let mut log = Vec::new();
    exchange_records(&mut limiters, &mut log);

    // Without an account there is nothing to measure, and no line is printed.
    let Some(account) = limiters[0].ledger().account(&names[0]) else {
        return Ok(());
    };
    let lender = account.allocations[0].holder.clone();
    let lender_index = holders.iter().position(|h| *h == lender).unwrap_or(0);
    let ledger_json_bytes = serde_json::to_string(&limiters[0].ledger().snapshot())?.len();

    // After the last round of records, with all leases valid.
    let now = Moment(20_000);
    let lend_ns = nanos_per_operation(|round| {
        let from = &holders[usize::try_from(round).unwrap_or(0) % hosts];
        let request = borrow_request(&names[0], &lender.process, from, round / hosts as u64 + 1);
        black_box(limiters[lender_index].lend(&request, Moment(now.0 + round / OPERATIONS_PER_MS)));
    });
    let lender_bytes = limiters[lender_index]
        .lender(&names[0])
        .map_or(0, |lender| size_of_val(lender) + lender.state_bytes());

    let later = Moment(now.0 + 2_000);
    let mut admitted = 0;
    let admit_settle_poll_ns = nanos_per_operation(|round| {
        let org = &names[usize::try_from(round).unwrap_or(0) % organisations];
        let at = Moment(later.0 + round / OPERATIONS_PER_MS);
        if let Admission::Admitted(id) = limiters[lender_index].admit(org, 1, at) {
            limiters[lender_index].settle(id, 1, at);
            admitted += 1;
        }
        black_box(limiters[lender_index].poll(at));
    });
    let poll_ns = nanos_per_operation(|round| {
        black_box(limiters[lender_index].poll(Moment(later.0 + 10_000 + round)));
    });
    let read_ns = nanos_per_operation(|round| {
        let record = &log[usize::try_from(round).unwrap_or(0) % log.len()];
        let offset = Offset(log.len() as u64 + round);
        black_box(limiters[0].read(offset, record, later));
    });
    println!(
        "{hosts},{organisations},{},{ledger_json_bytes},{lender_bytes},{lend_ns},{admit_settle_poll_ns},{poll_ns},{read_ns},{admitted}",
        log.len()
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    println!(
        "hosts,organisations,records,ledger_json_bytes,lender_bytes,lend_ns,admit_settle_poll_ns,poll_ns,read_ns,admitted"
    );
    for hosts in HOST_COUNTS {
        for organisations in ORGANISATION_COUNTS {
            measure(hosts, organisations)?;
        }
    }
    Ok(())
}
