//! What time brings: calls that took too long and records without an answer.

use std::time::Duration;

use eelgrasshill_domain::Moment;

use super::{Requester, RequesterEffect, Stage};
use crate::ClaimId;

/// How much rarer than at first an unanswered record is sent in the end.
const MAX_FACTOR: u32 = 8;

impl Requester {
    /// Gives up what took too long and sends unanswered records again.
    pub fn tick(&mut self, now: Moment) -> Vec<RequesterEffect> {
        let mut effects = Vec::new();
        let mut ids: Vec<_> = self.open.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            effects.extend(self.tick_open(id, now));
        }
        effects.extend(self.tick_pending(now));
        effects
    }

    fn tick_open(&mut self, id: ClaimId, now: Moment) -> Vec<RequesterEffect> {
        let Some(open) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        if open.stage == Stage::Running {
            return Vec::new();
        }
        if now >= open.until {
            open.in_doubt = true;
            return self.give_up(id, now);
        }
        if now.since(open.sent) < self.bounds.resend {
            return Vec::new();
        }
        open.in_doubt = true;
        self.resend(id, now).into_iter().collect()
    }

    fn tick_pending(&mut self, now: Moment) -> Vec<RequesterEffect> {
        let resend = self.bounds.resend;
        let mut due: Vec<_> = self
            .pending
            .values_mut()
            .filter(|pending| now.since(pending.sent) >= pause(resend, pending.attempt))
            .map(|pending| {
                pending.sent = now;
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

/// Waits longer after each attempt, so that a long outage costs few messages.
fn pause(resend: Duration, attempt: usize) -> Duration {
    let factor = u32::try_from(attempt + 1).unwrap_or(MAX_FACTOR);
    resend * factor.min(MAX_FACTOR)
}
