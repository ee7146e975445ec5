//! Ends calls whose deadline has passed and resends unanswered records.

use std::time::Duration;

use eelgrasshill_domain::Moment;

use super::{CallStage, Requester, RequesterEffect};
use crate::ClaimId;

/// The highest factor by which the resend interval grows.
const MAX_RESEND_FACTOR: u32 = 8;

impl Requester {
    /// Ends calls whose deadline has passed and resends unanswered records.
    pub fn tick(&mut self, now: Moment) -> Vec<RequesterEffect> {
        let mut effects = Vec::new();
        let mut ids: Vec<_> = self.open_calls.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            effects.extend(self.tick_call(id, now));
        }
        effects.extend(self.tick_pending(now));
        effects
    }

    fn tick_call(&mut self, id: ClaimId, now: Moment) -> Vec<RequesterEffect> {
        let Some(open) = self.open_calls.get_mut(&id) else {
            return Vec::new();
        };
        if open.stage == CallStage::Running {
            return Vec::new();
        }
        if now >= open.deadline {
            open.may_be_logged = true;
            return self.give_up(id, now);
        }
        if now.since(open.last_sent) < self.bounds.resend_interval {
            return Vec::new();
        }
        open.may_be_logged = true;
        self.resend(id, now).into_iter().collect()
    }

    fn tick_pending(&mut self, now: Moment) -> Vec<RequesterEffect> {
        let resend_interval = self.bounds.resend_interval;
        let mut due: Vec<_> = self
            .pending
            .values_mut()
            .filter(|pending| {
                now.since(pending.last_sent) >= retry_interval(resend_interval, pending.attempt)
            })
            .map(|pending| {
                pending.last_sent = now;
                pending.attempt += 1;
                RequesterEffect::Submit {
                    attempt: pending.attempt,
                    record: pending.record.clone(),
                }
            })
            .collect();
        due.sort_by_key(|effect| match effect {
            RequesterEffect::Submit { record, .. } => Some(record.id()),
            RequesterEffect::Run { .. } | RequesterEffect::Answer { .. } => None,
        });
        due
    }
}

/// Returns the delay before the next attempt.
///
/// It grows with each attempt, so that a long outage causes few messages.
fn retry_interval(resend_interval: Duration, attempt: usize) -> Duration {
    let factor = u32::try_from(attempt + 1).unwrap_or(MAX_RESEND_FACTOR);
    resend_interval * factor.min(MAX_RESEND_FACTOR)
}
