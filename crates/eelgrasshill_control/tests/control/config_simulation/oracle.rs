//! Checks the configuration of the hosts against a fold over all records.

use eelgrasshill_control::LogTime;
use eelgrasshill_domain::{AppendId, EditOutcome, Offset};

use super::{Disabled, HOSTS, MAX_LAG_MS, Operator, Simulation, ZONES, zone_of};

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// The state of a host differs from the reference at the same offset.
    Diverged(usize, Offset),
    /// A host returned to an older offset.
    Reverted(usize),
    /// A connected host lacks a record that is older than [`MAX_LAG_MS`].
    ///
    /// The host and the time in ms.
    Lagging(usize, u64),
    /// An operator was told an outcome that differs from the reference.
    FalseOutcome(AppendId),
}

impl Simulation {
    /// Applies new log entries to the reference state.
    pub(super) fn update_reference(&mut self) {
        while self.reference.last() < self.log.last() {
            let stored = &self.log.entries[self.reference.last().0 as usize];
            self.reference.apply(stored);
            self.reference_digests.push(self.reference.digest());
            self.reference_states.push(self.reference.clone());
        }
    }

    pub(super) fn check(&mut self, host: usize) {
        self.check_state(host);
        self.check_max_lag(host);
    }

    fn check_state(&mut self, host: usize) {
        let simulated_host = &mut self.simulated_hosts[host];
        let last = simulated_host.fold.last();
        if last < simulated_host.last_offset {
            self.violations.push(Violation::Reverted(host));
        }
        if last == simulated_host.last_offset {
            return;
        }
        simulated_host.last_offset = last;
        let reference = &self.reference_states[last.0 as usize];
        let is_same = simulated_host.fold.tables() == reference.tables()
            && simulated_host.fold.keys() == reference.keys()
            && simulated_host.fold.withdrawn().eq(reference.withdrawn());
        // The digest is compared only if no mechanism is disabled.
        let is_digest_equal = match self.disabled {
            Disabled::Nothing => {
                simulated_host.fold.digest() == self.reference_digests[last.0 as usize]
            }
            _ => true,
        };
        if !(is_same && is_digest_equal) {
            self.violations.push(Violation::Diverged(host, last));
        }
    }

    /// Checks that a connected host has applied all records older than [`MAX_LAG_MS`].
    fn check_max_lag(&mut self, host: usize) {
        // A host can get new records if its own zone reaches the log, or if a linked zone does and has
        // a host that could get records for MAX_LAG_MS.
        let can_get_records = (0..ZONES).any(|other| {
            let is_linked = other == zone_of(host)
                || (self.zone_cut_until_ms[zone_of(host)] <= self.now_ms
                    && self.zone_cut_until_ms[other] <= self.now_ms);
            let has_reader = (0..HOSTS).any(|peer| {
                zone_of(peer) == other
                    && self.simulated_hosts[peer].reachable_since_ms + MAX_LAG_MS <= self.now_ms
            });
            is_linked
                && self.log_cut_until_ms[other] <= self.now_ms
                && (other == zone_of(host) || has_reader)
        });
        if !self.is_awake(host) || self.log.is_unavailable || !can_get_records {
            self.simulated_hosts[host].reachable_since_ms = self.now_ms;
            return;
        }
        if self.simulated_hosts[host].reachable_since_ms + MAX_LAG_MS > self.now_ms {
            return;
        }
        if let Some(next) = self
            .log
            .entries
            .get(self.simulated_hosts[host].fold.last().0 as usize)
        {
            self.max_lag_ms = self.max_lag_ms.max(self.now_ms - next.at.0);
        }
        let old = LogTime(self.now_ms - MAX_LAG_MS);
        let due = self.log.entries.partition_point(|stored| stored.at <= old) as u64;
        if self.simulated_hosts[host].fold.last().0 < due {
            self.violations.push(Violation::Lagging(host, self.now_ms));
        }
    }

    /// Checks the outcome that an operator was told against the reference.
    pub(super) fn check_outcome(&mut self, operator: &Operator, outcome: &EditOutcome) {
        self.outcomes += 1;
        let is_accepted = |outcome: &EditOutcome| matches!(outcome, EditOutcome::Accepted(_));
        let in_force = operator
            .append_ids
            .iter()
            .filter_map(|id| self.reference.outcome(id))
            .any(is_accepted);
        if in_force != is_accepted(outcome) {
            let id = operator.append_ids[0].clone();
            self.violations.push(Violation::FalseOutcome(id));
        }
    }

    /// Checks that every running host has applied the newest record.
    pub(crate) fn check_end(&mut self) {
        for host in 0..HOSTS {
            if self.simulated_hosts[host].is_up
                && self.simulated_hosts[host].fold.last() < self.log.last()
            {
                self.violations.push(Violation::Lagging(host, self.now_ms));
            }
        }
    }
}
