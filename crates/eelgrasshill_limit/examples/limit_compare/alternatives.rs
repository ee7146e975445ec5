//! Alternative designs, each as simple as it can be without faults that the design does not force.
//!
//! All times are in ms of simulated time.

use std::collections::VecDeque;

use crate::load::{
    ARRIVALS_END_MS, Arrival, FAULT_START_MS, MAX_WAIT_MS, Outcome, ReservingBucket, Scenario,
    ZONES, limit,
};

/// The round-trip time between two hosts.
const ROUND_TRIP_MS: u64 = 2;

/// Time from a coordinator's failure to its successor's first token lease.
const FAILOVER_MS: u64 = 10_000;

/// How long a coordinator acts after its last renewal in the log.
const COORDINATOR_LEASE_MS: u64 = 10_000;

/// A host leases 3/2 of its smoothed demand, and what its waiting requests cost.
const LEASE_DEMAND_NUMERATOR: u64 = 3;
const LEASE_DEMAND_DENOMINATOR: u64 = 2;

/// How long a host may use the tokens that the coordinator leases to it.
const TOKEN_LEASE_MS: u64 = 1_000;

/// Time between two rounds of gossip.
const GOSSIP_INTERVAL_MS: u64 = 200;

/// Number of hosts that each host contacts in a round.
const GOSSIP_FANOUT: usize = 3;

/// Calls `step` for each ms with the arrivals that are due, in order.
fn run(arrivals: &[Arrival], mut step: impl FnMut(u64, &[usize])) {
    let mut next = 0;
    for now in 1..ARRIVALS_END_MS + 2 * MAX_WAIT_MS {
        let first = next;
        while arrivals.get(next).is_some_and(|a| a.at <= now) {
            next += 1;
        }
        let due: Vec<usize> = (first..next).collect();
        step(now, &due);
    }
}

/// Gives every host an equal part of rate and burst.
pub fn equal_split(hosts: usize, arrivals: &[Arrival]) -> Outcome {
    let share = limit().part(hosts as u64);
    let mut counters: Vec<_> = (0..hosts)
        .map(|_host| ReservingBucket::new(share))
        .collect();
    let mut outcome = Outcome::new(arrivals.len());
    let mut waiting: Vec<VecDeque<usize>> = vec![VecDeque::new(); hosts];
    run(arrivals, |now, due| {
        for &index in due {
            waiting[arrivals[index].host].push_back(index);
        }
        for (counter, queue) in counters.iter_mut().zip(&mut waiting) {
            admit_waiting(queue, arrivals, now, &mut outcome, |a| {
                counter.admit(a, now)
            });
        }
    });
    outcome
}

/// Admits waiting requests in order until one must wait.
fn admit_waiting(
    queue: &mut VecDeque<usize>,
    arrivals: &[Arrival],
    now: u64,
    outcome: &mut Outcome,
    mut admit: impl FnMut(&Arrival) -> bool,
) {
    while let Some(&index) = queue.front() {
        let arrival = &arrivals[index];
        if now <= arrival.at + MAX_WAIT_MS {
            if !admit(arrival) {
                return;
            }
            outcome.admit(index, arrival.used, now);
        }
        queue.pop_front();
    }
}

/// Returns whether a host can reach the single counter, which is in the first zone.
fn can_reach_counter(scenario: Scenario, host: usize, now: u64) -> bool {
    !scenario.is_lender_down(now) && !scenario.is_partitioned(host % ZONES, now)
}

/// Lets one host count for all, without a replacement when it fails.
pub fn one_counter(scenario: Scenario, arrivals: &[Arrival]) -> Outcome {
    let mut counter = ReservingBucket::new(limit());
    let mut outcome = Outcome::new(arrivals.len());
    let mut waiting = VecDeque::new();
    run(arrivals, |now, due| {
        // The counter queues requests that must wait, so each takes two messages.
        outcome.messages += 2 * due.len() as u64;
        waiting.extend(due.iter().copied());
        let mut still_waiting = VecDeque::new();
        while let Some(index) = waiting.pop_front() {
            let arrival = &arrivals[index];
            if now < arrival.at + ROUND_TRIP_MS || !can_reach_counter(scenario, arrival.host, now) {
                still_waiting.push_back(index);
                continue;
            }
            if counter.admit(arrival, now) {
                outcome.admit(index, arrival.used, now);
            } else {
                still_waiting.push_back(index);
            }
        }
        waiting = still_waiting;
        waiting.retain(|&index| now <= arrivals[index].at + MAX_WAIT_MS);
    });
    outcome.busiest_host_requests = outcome.messages / 2;
    outcome
}

/// Lets a coordinator lease tokens for a second, based on each host's recent demand.
pub fn coordinator(scenario: Scenario, hosts: usize, arrivals: &[Arrival]) -> Outcome {
    let mut counter = ReservingBucket::new(limit());
    let mut outcome = Outcome::new(arrivals.len());
    let mut waiting: Vec<VecDeque<usize>> = vec![VecDeque::new(); hosts];
    let mut leased = vec![0u64; hosts];
    let mut smoothed_demand = vec![0u64; hosts];
    let mut demand_since_lease = vec![0u64; hosts];
    // Due time, host, time of taking and unused tokens of each refund.
    let mut refunds: Vec<(u64, usize, u64, u64)> = Vec::new();
    run(arrivals, |now, due| {
        for &index in due {
            waiting[arrivals[index].host].push_back(index);
            demand_since_lease[arrivals[index].host] += arrivals[index].cost;
        }
        let has_coordinator = !scenario.is_lender_down(now) || now > FAULT_START_MS + FAILOVER_MS;
        // The coordinator renews its own lease in the log, so it expires in a log outage.
        let has_valid_lease =
            !scenario.is_log_down(now) || now < FAULT_START_MS + COORDINATOR_LEASE_MS;
        for host in 0..hosts {
            let is_renewal =
                (now + host as u64 * TOKEN_LEASE_MS / hosts as u64).is_multiple_of(TOKEN_LEASE_MS);
            let can_reach_coordinator =
                !scenario.is_partitioned(host % ZONES, now) && has_coordinator && has_valid_lease;
            if is_renewal {
                smoothed_demand[host] = u64::midpoint(
                    smoothed_demand[host],
                    std::mem::take(&mut demand_since_lease[host]),
                );
                let unused = std::mem::take(&mut leased[host]);
                if can_reach_coordinator {
                    counter.refund(unused, now - TOKEN_LEASE_MS, now);
                    let queued: u64 = waiting[host].iter().map(|&i| arrivals[i].cost).sum();
                    leased[host] = counter.take_up_to(
                        smoothed_demand[host] * LEASE_DEMAND_NUMERATOR / LEASE_DEMAND_DENOMINATOR
                            + queued,
                        now,
                    );
                    outcome.messages += 2;
                }
            }
            admit_waiting(&mut waiting[host], arrivals, now, &mut outcome, |arrival| {
                if leased[host] < arrival.cost {
                    return false;
                }
                leased[host] -= arrival.cost;
                let unused = arrival.cost - arrival.used;
                refunds.push((now + arrival.duration_ms, host, now, unused));
                true
            });
        }
        for (_due, _host, taken_at, unused) in refunds.extract_if(.., |refund| refund.0 <= now) {
            counter.refund(unused, taken_at.saturating_sub(TOKEN_LEASE_MS), now);
        }
    });
    outcome.busiest_host_requests = outcome.messages / 2;
    outcome
}

/// Lets every host count the reported use of all hosts.
pub fn gossip(scenario: Scenario, hosts: usize, arrivals: &[Arrival]) -> Outcome {
    let mut counters: Vec<_> = (0..hosts)
        .map(|_host| ReservingBucket::new(limit()))
        .collect();
    let mut outcome = Outcome::new(arrivals.len());
    // Arrival time, host and used tokens of each update.
    let mut updates: VecDeque<(u64, usize, u64)> = VecDeque::new();
    // An update reaches all hosts after logarithmically many rounds.
    let rounds = u64::from(hosts.ilog(GOSSIP_FANOUT)) + 1;
    run(arrivals, |now, due| {
        if now.is_multiple_of(GOSSIP_INTERVAL_MS) {
            outcome.messages += (hosts * GOSSIP_FANOUT) as u64;
        }
        while let Some((at, from, used)) = updates.front().copied().filter(|update| update.0 <= now)
        {
            updates.pop_front();
            for (host, counter) in counters.iter_mut().enumerate() {
                let cut = |h: usize| scenario.is_partitioned(h % ZONES, at);
                let is_cut_off = host % ZONES != from % ZONES && (cut(host) || cut(from));
                if host != from && !is_cut_off {
                    counter.take_used(used, now);
                }
            }
        }
        for &index in due {
            let arrival = &arrivals[index];
            // A request that is not admitted at once is refused: a host can't tell when others free
            // tokens.
            if counters[arrival.host].admit(arrival, now) {
                outcome.admit(index, arrival.used, now);
                updates.push_back((
                    now + rounds * GOSSIP_INTERVAL_MS,
                    arrival.host,
                    arrival.used,
                ));
            }
        }
    });
    outcome.busiest_host_requests = outcome.messages / hosts as u64;
    outcome
}
