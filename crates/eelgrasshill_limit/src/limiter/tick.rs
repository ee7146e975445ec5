//! What the limiter appends now and then: renewals, gifts, the release and planned records.

use eelgrasshill_domain::{Moment, Version};

use super::Limiter;
use crate::rights::Pledge;
use crate::{Effect, Home, RightsRecord, Safeguards};

impl<S: Safeguards> Limiter<S> {
    pub(super) fn tick(&mut self, now: Moment) {
        self.refresh(now);
        if self.rights.draining {
            self.release(now);
        }
        let through = self.in_force();
        let due = self.rights.due(&self.ledger, through, now, &self.settings);
        self.outbox.extend(due.map(Effect::Append));
        self.give(now);
        let tables = (self.through, &self.limits);
        let me = &self.rights.me;
        let records = self
            .planner
            .plan::<S>(me, &self.ledger, tables, now, &self.settings);
        self.outbox.extend(records.into_iter().map(Effect::Append));
    }

    /// Returns the configuration that is in force here, with loans of before it ended.
    fn in_force(&self) -> Version {
        let fits = |home: &Home<S>| home.bucket().held() <= home.bucket().share().burst;
        if self.homes.values().all(fits) {
            self.through
        } else {
            self.ledger.in_force(&self.rights.me.process)
        }
    }

    fn release(&mut self, now: Moment) {
        for home in self.homes.values_mut() {
            home.advance(now);
        }
        let lent = self
            .homes
            .values()
            .any(|home| !home.bucket().held().is_zero());
        if lent || self.is_drained() {
            return;
        }
        let process = self.rights.me.process.clone();
        self.outbox
            .push(Effect::Append(RightsRecord::Release { process }));
    }

    /// Pledges a surplus, and gives it once the loans fit into what remains.
    fn give(&mut self, now: Moment) {
        if self.rights.pledge.is_none() && !self.rights.draining {
            let surplus = self
                .planner
                .surplus(&self.rights.me, &self.ledger, now, &self.settings);
            self.rights.pledge = surplus.map(|(organisation, stake)| Pledge {
                organisation,
                stake,
                revision: None,
            });
            self.refresh(now);
        }
        let Some(pledge) = &mut self.rights.pledge else {
            return;
        };
        let Some(account) = self.ledger.account(&pledge.organisation) else {
            return;
        };
        let bucket = self.homes.get(&pledge.organisation).map(Home::bucket);
        let fits = bucket.is_none_or(|bucket| bucket.held() <= bucket.share().burst);
        if S::STOP_FIRST && !fits {
            return;
        }
        let revision = *pledge.revision.get_or_insert(account.revision);
        self.outbox.push(Effect::Append(RightsRecord::Give {
            organisation: pledge.organisation.clone(),
            revision,
            giver: self.rights.me.process.clone(),
            stake: pledge.stake.clone(),
        }));
    }
}
