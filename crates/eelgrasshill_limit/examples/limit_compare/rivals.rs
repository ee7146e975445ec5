//! The other designs, each as simple as it can be and none worse than it must be.

use std::collections::VecDeque;

use crate::load::{Arrival, Case, Counter, END, FAULT, Outcome, PATIENCE, ZONES, limit};

/// There and back between two hosts in ms.
const ROUND_TRIP: u64 = 2;

/// Time from a coordinator's death to its successor's first lease in ms.
const ELECTION: u64 = 10_000;

/// Length of a coordinator's leases in ms.
const LEASE: u64 = 1_000;

/// Time between two rounds of gossip in ms.
const GOSSIP: u64 = 200;

/// Hosts that one host tells in a round.
const FANOUT: usize = 3;

/// Returns which arrivals are due at each step, in order.
fn run(arrivals: &[Arrival], mut step: impl FnMut(u64, &[usize])) {
    let mut next = 0;
    for now in 1..END + 2 * PATIENCE {
        let first = next;
        while arrivals.get(next).is_some_and(|a| a.at <= now) {
            next += 1;
        }
        let due: Vec<usize> = (first..next).collect();
        step(now, &due);
    }
}

/// Every host has an equal part of rate and burst.
pub fn equal_split(hosts: usize, arrivals: &[Arrival]) -> Outcome {
    let share = limit().part(hosts as u64);
    let mut counters: Vec<_> = (0..hosts).map(|_host| Counter::new(share)).collect();
    let mut outcome = Outcome::new(arrivals.len());
    let mut waiting: Vec<VecDeque<usize>> = vec![VecDeque::new(); hosts];
    run(arrivals, |now, due| {
        for &index in due {
            waiting[arrivals[index].host].push_back(index);
        }
        for (counter, queue) in counters.iter_mut().zip(&mut waiting) {
            serve(queue, arrivals, now, &mut outcome, |a| {
                counter.admit(a, now)
            });
        }
    });
    outcome
}

/// Admits waiting requests in order until one must wait.
fn serve(
    queue: &mut VecDeque<usize>,
    arrivals: &[Arrival],
    now: u64,
    outcome: &mut Outcome,
    mut admit: impl FnMut(&Arrival) -> bool,
) {
    while let Some(&index) = queue.front() {
        let arrival = &arrivals[index];
        if now <= arrival.at + PATIENCE {
            if !admit(arrival) {
                return;
            }
            outcome.admit(index, arrival.used, now);
        }
        queue.pop_front();
    }
}

/// Returns whether a host reaches the one counter, which stands in the first zone.
fn reaches(case: Case, host: usize, now: u64) -> bool {
    !case.is_dead(now) && !case.is_cut(host % ZONES, now)
}

/// One host counts for all; when it dies there is no other.
pub fn one_counter(case: Case, arrivals: &[Arrival]) -> Outcome {
    let mut counter = Counter::new(limit());
    let mut outcome = Outcome::new(arrivals.len());
    let mut waiting = VecDeque::new();
    run(arrivals, |now, due| {
        // The counter keeps what must wait, so each request takes two messages.
        outcome.messages += 2 * due.len() as u64;
        waiting.extend(due.iter().copied());
        let mut apart = VecDeque::new();
        while let Some(index) = waiting.pop_front() {
            let arrival = &arrivals[index];
            if now < arrival.at + ROUND_TRIP || !reaches(case, arrival.host, now) {
                apart.push_back(index);
                continue;
            }
            if counter.admit(arrival, now) {
                outcome.admit(index, arrival.used, now);
            } else {
                apart.push_back(index);
            }
        }
        waiting = apart;
        waiting.retain(|&index| now <= arrivals[index].at + PATIENCE);
    });
    outcome.busiest = outcome.messages / 2;
    outcome
}

/// A coordinator leases tokens for a second at a time, by each host's recent demand.
pub fn coordinator(case: Case, hosts: usize, arrivals: &[Arrival]) -> Outcome {
    let mut counter = Counter::new(limit());
    let mut outcome = Outcome::new(arrivals.len());
    let mut waiting: Vec<VecDeque<usize>> = vec![VecDeque::new(); hosts];
    let mut leased = vec![0u64; hosts];
    let mut demand = vec![0u64; hosts];
    let mut recent = vec![0u64; hosts];
    let mut refunds: Vec<(u64, usize, u64, u64)> = Vec::new();
    run(arrivals, |now, due| {
        for &index in due {
            waiting[arrivals[index].host].push_back(index);
            recent[arrivals[index].host] += arrivals[index].cost;
        }
        let elected = !case.is_dead(now) || now > FAULT + ELECTION;
        // Its own lease comes from the log, and ends without it.
        let confirmed = !case.is_log_out(now) || now < FAULT + ELECTION;
        for host in 0..hosts {
            let turn = (now + host as u64 * LEASE / hosts as u64).is_multiple_of(LEASE);
            let reached = !case.is_cut(host % ZONES, now) && elected && confirmed;
            if turn {
                demand[host] = u64::midpoint(demand[host], std::mem::take(&mut recent[host]));
                let unused = std::mem::take(&mut leased[host]);
                if reached {
                    counter.refund(unused, now - LEASE, now);
                    let queued: u64 = waiting[host].iter().map(|&i| arrivals[i].cost).sum();
                    leased[host] = counter.drain(demand[host] * 3 / 2 + queued, now);
                    outcome.messages += 2;
                }
            }
            serve(&mut waiting[host], arrivals, now, &mut outcome, |arrival| {
                if leased[host] < arrival.cost {
                    return false;
                }
                leased[host] -= arrival.cost;
                let unused = arrival.cost - arrival.used;
                refunds.push((now + arrival.runs, host, now, unused));
                true
            });
        }
        for (_due, _host, since, unused) in refunds.extract_if(.., |r| r.0 <= now) {
            counter.refund(unused, since.saturating_sub(LEASE), now);
        }
    });
    outcome.busiest = outcome.messages / 2;
    outcome
}

/// Every host counts what it has heard that all have used.
pub fn gossip(case: Case, hosts: usize, arrivals: &[Arrival]) -> Outcome {
    let mut counters: Vec<_> = (0..hosts).map(|_host| Counter::new(limit())).collect();
    let mut outcome = Outcome::new(arrivals.len());
    let mut news: VecDeque<(u64, usize, u64)> = VecDeque::new();
    // News reaches everybody after as many rounds as its spread takes.
    let rounds = u64::from(hosts.ilog(FANOUT)) + 1;
    run(arrivals, |now, due| {
        if now.is_multiple_of(GOSSIP) {
            outcome.messages += (hosts * FANOUT) as u64;
        }
        while let Some((at, from, used)) = news.front().copied().filter(|n| n.0 <= now) {
            news.pop_front();
            for (host, counter) in counters.iter_mut().enumerate() {
                let cut = |h: usize| case.is_cut(h % ZONES, at);
                let apart = host % ZONES != from % ZONES && (cut(host) || cut(from));
                if host != from && !apart {
                    counter.note(used, now);
                }
            }
        }
        for &index in due {
            let arrival = &arrivals[index];
            if counters[arrival.host].admit(arrival, now) {
                outcome.admit(index, arrival.used, now);
                news.push_back((now + rounds * GOSSIP, arrival.host, arrival.used));
            }
        }
    });
    outcome.busiest = outcome.messages / hosts as u64;
    outcome
}
