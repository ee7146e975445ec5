//! Exhaustive test of one bucket: each short sequence of operations keeps the bound.
//!
//! Tokens spent in any window must stay within `rate * t + burst`. Without the refund limit or the
//! loan hold, some sequences exceed it: a refund lands in a window that began with a full bucket,
//! or a late loan is spent on top of a bucket that has refilled.

use std::sync::atomic::{AtomicU64, Ordering};

use eelgrasshill_domain::Moment;
use eelgrasshill_limit::{AllSafeguards, Amount, Bucket, Safeguards, Share};

#[derive(Clone, Copy, Debug, Default)]
struct NoRefundLimit;

impl Safeguards for NoRefundLimit {
    const LIMIT_REFUNDS: bool = false;
}

#[derive(Clone, Copy, Debug, Default)]
struct NoLoanHold;

impl Safeguards for NoLoanHold {
    const HOLD_LOANS: bool = false;
}

/// Number of operations in a sequence.
const SEQUENCE_LENGTH: usize = 8;

/// Number of different operations, which `exceeds_bound` lists.
const OPERATION_COUNT: u8 = 6;

/// How long a loan may be spent, in ms.
const LOAN_MS: u64 = 4;

/// The amount of one spend: a milli-token, which accrues in 1 ms.
const UNIT: Amount = Amount(1_000);

const SHARE: Share = Share {
    milli_tokens_per_second: 1_000,
    burst: Amount(2_000),
};

struct Loan {
    granted_at: u64,
    remaining: u64,
}

/// Runs a sequence and returns whether a window exceeds the bound.
fn exceeds_bound<S: Safeguards>(ops: &[u8]) -> bool {
    let mut now = 0;
    let mut bucket = Bucket::<S>::new(SHARE, Moment(now), Moment(u64::MAX)).with_full_level();
    let mut loans: Vec<Loan> = Vec::new();
    // The time of each spent unit, and the loan that paid for it.
    let mut spends: Vec<(u64, usize)> = Vec::new();
    for op in ops {
        match op {
            // Waits 1 ms or 3 ms.
            0 => now += 1,
            1 => now += 3,
            // Lends up to a full burst.
            2 => {
                let (least, most) = (UNIT, Amount(2_000));
                let amount = bucket.lend(least, most, Moment(now + LOAN_MS));
                let remaining = amount.0 / UNIT.0;
                let loan = Loan {
                    granted_at: now,
                    remaining,
                };
                loans.extend((remaining > 0).then_some(loan));
            }
            3 => spend_oldest_valid_loan(&mut loans, &mut spends, &mut bucket, now),
            4 => return_expired(&mut loans, &mut bucket, now),
            _ => refund_first(&loans, &mut spends, &mut bucket),
        }
        bucket.advance(Moment(now));
    }
    spends.iter().any(|(from, _loan)| {
        spends.iter().any(|(to, _loan)| {
            let inside = spends
                .iter()
                .filter(|(at, _loan)| (*from..=*to).contains(at));
            let bound = SHARE.burst.0 + SHARE.milli_tokens_per_second * to.saturating_sub(*from);
            to >= from && inside.count() as u64 * UNIT.0 > bound
        })
    })
}

/// Spends the oldest valid loan and reports it as spent.
fn spend_oldest_valid_loan<S: Safeguards>(
    loans: &mut [Loan],
    spends: &mut Vec<(u64, usize)>,
    bucket: &mut Bucket<S>,
    now: u64,
) {
    let is_valid = |loan: &&mut Loan| loan.remaining > 0 && now < loan.granted_at + LOAN_MS;
    let Some(index) = loans.iter_mut().position(|loan| is_valid(&loan)) else {
        return;
    };
    let remaining = std::mem::take(&mut loans[index].remaining);
    let until = Moment(loans[index].granted_at + LOAN_MS);
    bucket.mark_spent(Amount(remaining * UNIT.0), until);
    spends.extend((0..remaining).map(|_unit| (now, index)));
}

/// Returns the unspent amount of the oldest expired loan to the bucket.
fn return_expired<S: Safeguards>(loans: &mut [Loan], bucket: &mut Bucket<S>, now: u64) {
    let is_expired = |loan: &&mut Loan| loan.remaining > 0 && now >= loan.granted_at + LOAN_MS;
    if let Some(loan) = loans.iter_mut().find(is_expired) {
        let remaining = std::mem::take(&mut loan.remaining);
        bucket.return_unspent(
            Amount(remaining * UNIT.0),
            Moment(loan.granted_at + LOAN_MS),
        );
    }
}

/// Refunds the first spent unit, which was reported as spent and turns out unused.
fn refund_first<S: Safeguards>(
    loans: &[Loan],
    spends: &mut Vec<(u64, usize)>,
    bucket: &mut Bucket<S>,
) {
    if spends.is_empty() {
        return;
    }
    let (_at, index) = spends.remove(0);
    bucket.refund(UNIT, Moment(loans[index].granted_at));
}

/// Runs every sequence and counts those that exceed the bound.
fn count_violations<S: Safeguards>(violations: &AtomicU64) {
    let op = || 0..OPERATION_COUNT;
    bolero::check!()
        .exhaustive()
        .with_generator((op(), op(), op(), op(), op(), op(), op(), op()))
        .for_each(|&(a, b, c, d, e, f, g, h)| {
            let ops: [u8; SEQUENCE_LENGTH] = [a, b, c, d, e, f, g, h];
            if exceeds_bound::<S>(&ops) {
                violations.fetch_add(1, Ordering::Relaxed);
            }
        });
}

#[test]
fn only_all_safeguards_keep_the_bound() {
    let violations = [const { AtomicU64::new(0) }; 3];
    count_violations::<AllSafeguards>(&violations[0]);
    count_violations::<NoRefundLimit>(&violations[1]);
    count_violations::<NoLoanHold>(&violations[2]);
    let [all_safeguards, no_refund_limit, no_loan_hold] = violations.map(AtomicU64::into_inner);
    println!(
        "over the bound: all safeguards {all_safeguards}, no refund limit {no_refund_limit}, no loan hold {no_loan_hold}"
    );
    assert_eq!(
        all_safeguards, 0,
        "{all_safeguards} sequences exceed the bound with all safeguards, expected none"
    );
    assert!(
        no_refund_limit > 0 && no_loan_hold > 0,
        "expected sequences over the bound without each safeguard, got {no_refund_limit} without the refund limit and {no_loan_hold} without the loan hold"
    );
}

#[test]
fn a_clock_that_steps_back_accrues_no_time_twice() {
    let mut bucket = Bucket::<AllSafeguards>::new(SHARE, Moment(10), Moment(u64::MAX));
    for now in [12, 11, 12, 10, 12] {
        bucket.advance(Moment(now));
    }
    // This is also the burst, so the level can't show more than 2 ms of accrual.
    assert_eq!(
        bucket.level(),
        Amount(2_000),
        "expected the accrual of 2 ms, from 10 to 12"
    );
}
