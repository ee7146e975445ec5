//! Computes how many tokens may be admitted, and checks every window against it.

use eelgrasshill_limit::{Safeguards, Share};

use super::{Instance, Simulation};

/// A window in which too many tokens were admitted, and by how many micro-tokens.
#[derive(Debug)]
#[expect(dead_code, reason = "read by the failure message only")]
pub struct Violation {
    pub seed: u64,
    pub from: u64,
    pub to: u64,
    pub excess: u64,
}

impl<S: Safeguards> Simulation<S> {
    /// Records the share that may be in use now.
    ///
    /// It is the larger of the recent limits and the shares of holders that do not know the newest
    /// limit.
    pub(super) fn record_allowed(&mut self) {
        let max_lag = 1_000 + 1_000 + 2_000 + 1_100 + 1_000;
        let current = self.limit_history.len() as u64;
        let mut allowed = Share::default();
        for (index, (_at, share)) in self.limit_history.iter().enumerate() {
            let ended = self
                .limit_history
                .get(index + 1)
                .map_or(u64::MAX, |(at, _)| *at);
            if ended.saturating_add(max_lag) > self.now {
                allowed = max(allowed, *share);
            }
        }
        let mut unaware = Share::default();
        if let Some(account) = self.reference_ledger.account(&self.org) {
            for allocation in &account.allocations {
                let process = &allocation.holder.process;
                let slot = self.slots.iter().find(|s| s.host == process.host).unwrap();
                let instance = slot
                    .instance
                    .as_ref()
                    .filter(|_n| slot.incarnation == process.incarnation.0);
                // Loans from before the new limit may still be spent for 1.1 s.
                let is_aware = |n: &Instance<S>| {
                    n.limits_read as u64 == current && n.heard_at + 1_100 < self.now
                };
                if !instance.is_some_and(is_aware) {
                    unaware = unaware.plus(allocation.share);
                }
            }
        }
        let allowed = max(allowed, unaware);
        self.allowed_shares.push((self.now, allowed));
        let rate = self.lent_rate();
        if self.first_overuse.is_none() && rate > allowed.milli_tokens_per_second {
            self.first_overuse = Some((self.now, rate));
        }
    }

    /// Returns the worst window that exceeds the bound, if any.
    ///
    /// It checks every window that starts and ends with an admission.
    pub(super) fn worst_violation(&self) -> Option<Violation> {
        let drift = u64::try_from(self.faults.max_drift_permille).unwrap();
        let mut worst = None;
        let mut max_excess = 0;
        // For each admission: time, used tokens, tokens accrued so far, and the burst at the time.
        let (mut accrued, mut last, mut index) = (0u64, 0, 0);
        let mut points = Vec::with_capacity(self.admissions.len());
        for (at, used) in &self.admissions {
            let mut burst = 0;
            while let Some((until, share)) = self.allowed_shares.get(index) {
                let to = (*until).min(*at);
                accrued += share.milli_tokens_per_second * (to - last);
                last = to;
                burst = burst.max(share.burst.0);
                if until >= at {
                    break;
                }
                index += 1;
            }
            points.push((*at, used * 1_000_000, accrued, burst));
        }
        for (first, (from, _used, before, _burst)) in points.iter().enumerate() {
            let (mut sum, mut burst) = (0, 0);
            for (to, used, accrued, now_burst) in &points[first..] {
                sum += used;
                burst = burst.max(*now_burst);
                let grown = accrued - before;
                let slack = if drift == 0 {
                    0
                } else {
                    grown * drift / 1000 + 4_000_000
                };
                let bound = burst + grown + slack;
                if sum > bound && sum - bound > max_excess {
                    max_excess = sum - bound;
                    worst = Some(Violation {
                        seed: self.seed,
                        from: *from,
                        to: *to,
                        excess: max_excess,
                    });
                }
            }
        }
        worst
    }

    /// Returns the rate of all active lenders relative to the limit's, in thousandths.
    pub fn lent_permille(&self) -> u64 {
        self.lent_rate() * 1_000 / self.limit_history.last().unwrap().1.milli_tokens_per_second
    }

    /// Returns the total rate of all active lenders.
    fn lent_rate(&self) -> u64 {
        let up = (0..self.slots.len()).filter(|&slot| self.is_running(slot));
        let rates = up.map(|slot| {
            let limiter = &self.slots[slot].instance.as_ref().unwrap().limiter;
            let lender = limiter.lender(&self.org);
            let open = limiter.is_lending(self.local_time(slot));
            lender
                .filter(|_home| open)
                .map_or(0, |lender| lender.bucket().share().milli_tokens_per_second)
        });
        rates.sum()
    }

    /// Returns the tokens admitted since a time relative to the rate, in thousandths.
    pub fn used_permille_since(&self, from: u64) -> u64 {
        let admissions = self.admissions.iter().filter(|(at, _used)| *at >= from);
        let sum: u64 = admissions.map(|(_at, used)| used).sum();
        let rate = self.limit_history.last().unwrap().1.milli_tokens_per_second;
        sum * 1_000_000_000 / (rate * (self.now - from)).max(1)
    }

    /// Returns whether all running hosts that read the whole log have the same ledger.
    pub fn ledgers_agree(&self) -> bool {
        let whole = self
            .slots
            .iter()
            .filter_map(|s| s.instance.as_ref())
            .filter(|n| n.records_read == self.log.len());
        whole
            .into_iter()
            .all(|n| *n.limiter.ledger() == self.reference_ledger)
            && self.restored_ledger() == self.reference_ledger
    }
}

fn max(a: Share, b: Share) -> Share {
    Share {
        milli_tokens_per_second: a.milli_tokens_per_second.max(b.milli_tokens_per_second),
        burst: a.burst.max(b.burst),
    }
}
