//! Computes how many tokens may be admitted, and checks every window against it.

use eelgrasshill_limit::{Safeguards, Share};

use super::{Instance, Simulation};

/// A window in which too many tokens were admitted, and by how many micro-tokens.
#[derive(Debug)]
#[expect(dead_code, reason = "read by the failure message only")]
pub struct Violation {
    pub seed: u64,
    pub from_ms: u64,
    pub to_ms: u64,
    pub excess_micro_tokens: u64,
}

/// How long loans from before a new limit may still be spent, once their lender read it.
const OLD_LOAN_MS: u64 = 1_100;

/// How long an old limit may still be in use after a new one was set.
///
/// It covers `max_staleness` (1 s), `propagation_delay` (2 s), old loans, and the delays of the
/// simulation.
const MAX_LIMIT_LAG_MS: u64 = 1_000 + 1_000 + 2_000 + OLD_LOAN_MS + 1_000;

/// What a clock that drifts may add to any window: 4 tokens, besides the drift itself.
const DRIFT_SLACK_MICRO_TOKENS: u64 = 4_000_000;

/// Micro-tokens in a token.
const MICRO_TOKENS: u64 = 1_000_000;

impl<S: Safeguards> Simulation<S> {
    /// Records the share that may be in use now.
    ///
    /// It is the largest of the recent limits or, if that is larger, the sum of the shares whose
    /// holders do not know the newest limit. Rate and burst are compared separately.
    pub(super) fn record_allowed(&mut self) {
        let current = self.limit_history.len() as u64;
        let mut allowed = Share::default();
        for (index, (_at, share)) in self.limit_history.iter().enumerate() {
            let ended = self
                .limit_history
                .get(index + 1)
                .map_or(u64::MAX, |(at, _)| *at);
            if ended.saturating_add(MAX_LIMIT_LAG_MS) > self.now {
                allowed = larger_rate_and_burst(allowed, *share);
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
                    .filter(|_instance| slot.incarnation == process.incarnation.0);
                // Loans from before the new limit may still be spent for a while.
                let is_aware = |instance: &Instance<S>| {
                    instance.limits_read as u64 == current
                        && instance.limit_read_at + OLD_LOAN_MS < self.now
                };
                if !instance.is_some_and(is_aware) {
                    unaware = unaware.plus(allocation.share);
                }
            }
        }
        let allowed = larger_rate_and_burst(allowed, unaware);
        self.allowed_shares.push((self.now, allowed));
        let rate = self.active_rate();
        if self.first_overuse.is_none() && rate > allowed.milli_tokens_per_second {
            self.first_overuse = Some((self.now, rate));
        }
    }

    /// Returns the worst window that exceeds the bound, if any.
    ///
    /// It checks every window that starts and ends with an admission.
    pub(super) fn worst_violation(&self) -> Option<Violation> {
        let drift = u64::try_from(self.config.max_drift_permille).unwrap();
        let mut worst = None;
        let mut max_excess = 0;
        // For each admission: time, used tokens, tokens accrued so far, and the burst at the time.
        let (mut accrued, mut accrued_until, mut allowed_index) = (0u64, 0, 0);
        let mut points = Vec::with_capacity(self.admissions.len());
        for (at, used) in &self.admissions {
            let mut burst = 0;
            while let Some((until, share)) = self.allowed_shares.get(allowed_index) {
                let to = (*until).min(*at);
                accrued += share.milli_tokens_per_second * (to - accrued_until);
                accrued_until = to;
                burst = burst.max(share.burst.0);
                if until >= at {
                    break;
                }
                allowed_index += 1;
            }
            points.push((*at, used * MICRO_TOKENS, accrued, burst));
        }
        for (first, (from, _used, accrued_before, _burst)) in points.iter().enumerate() {
            let (mut sum, mut burst) = (0, 0);
            for (to, used, accrued, now_burst) in &points[first..] {
                sum += used;
                burst = burst.max(*now_burst);
                let accrued_inside = accrued - accrued_before;
                let slack = if drift == 0 {
                    0
                } else {
                    accrued_inside * drift / 1000 + DRIFT_SLACK_MICRO_TOKENS
                };
                let bound = burst + accrued_inside + slack;
                if sum > bound && sum - bound > max_excess {
                    max_excess = sum - bound;
                    worst = Some(Violation {
                        seed: self.seed,
                        from_ms: *from,
                        to_ms: *to,
                        excess_micro_tokens: max_excess,
                    });
                }
            }
        }
        worst
    }

    /// Returns the rate of all active lenders relative to the limit's, in thousandths.
    pub fn active_rate_permille(&self) -> u64 {
        self.active_rate() * 1_000 / self.limit_history.last().unwrap().1.milli_tokens_per_second
    }

    /// Returns the total rate of all active lenders.
    fn active_rate(&self) -> u64 {
        let running_slots = (0..self.slots.len()).filter(|&slot| self.is_running(slot));
        let rates = running_slots.map(|slot| {
            let limiter = &self.slots[slot].instance.as_ref().unwrap().limiter;
            let lender = limiter.lender(&self.org);
            let is_lending = limiter.is_lending(self.local_time(slot));
            lender
                .filter(|_lender| is_lending)
                .map_or(0, |lender| lender.bucket().share().milli_tokens_per_second)
        });
        rates.sum()
    }

    /// Returns the tokens admitted since a time relative to what the rate allows, in thousandths.
    pub fn used_permille_since(&self, from: u64) -> u64 {
        let admissions = self.admissions.iter().filter(|(at, _used)| *at >= from);
        let sum: u64 = admissions.map(|(_at, used)| used).sum();
        let rate = self.limit_history.last().unwrap().1.milli_tokens_per_second;
        sum * MICRO_TOKENS * 1_000 / (rate * (self.now - from)).max(1)
    }

    /// Returns whether all running hosts that read the whole log have the same ledger.
    pub fn ledgers_agree(&self) -> bool {
        let caught_up = self
            .slots
            .iter()
            .filter_map(|s| s.instance.as_ref())
            .filter(|instance| instance.records_read == self.log.len());
        caught_up
            .into_iter()
            .all(|instance| *instance.limiter.ledger() == self.reference_ledger)
            && self.restored_ledger() == self.reference_ledger
    }
}

/// Returns the larger rate and the larger burst of two shares.
fn larger_rate_and_burst(a: Share, b: Share) -> Share {
    Share {
        milli_tokens_per_second: a.milli_tokens_per_second.max(b.milli_tokens_per_second),
        burst: a.burst.max(b.burst),
    }
}
