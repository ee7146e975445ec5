//! Shares of organisations in what engines process.
//!
//! While requests wait, an organisation that recently used more than twice the mean of those that are
//! active starts later, by a part of the objective. Nothing is held back from it while no other
//! organisation waits, and its requests pass those that arrive an objective later, so that none is
//! starved.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment, fields_hash, scalar};

/// Time in which past use loses its weight, by a factor of e.
const USE_TIME: Duration = Duration::from_secs(5);

/// Use below which an organisation is not active, in tokens.
const MIN_USE: f64 = 1.0;

/// Multiple of the mean use up to which an organisation is not delayed.
///
/// Organisations whose load is the same differ by chance, and each change of the order by latest
/// starts makes some requests late.
const ALLOWED_SHARE: f64 = 2.0;

/// Organisations that are counted at most.
///
/// Each pick adds up the use of all.
const MAX_ORGANISATIONS: usize = 1_024;

scalar! {
    /// Hash of an organisation's name; equal on all hosts.
    pub struct OrganisationHash(pub u64);
}

impl OrganisationHash {
    /// Computes the hash of a name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        // Zero stands for an unknown organisation in queries.
        Self(fields_hash(&[name.as_bytes()]).max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    tokens: f64,
    at: Moment,
}

impl Usage {
    fn tokens(self, now: Moment) -> f64 {
        self.tokens * (-now.since(self.at).as_secs_f64() / USE_TIME.as_secs_f64()).exp()
    }
}

/// Recent use of each organisation.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    usages: FastMap<OrganisationHash, Usage>,
}

impl FairShares {
    /// Records tokens that an organisation was given.
    pub fn record(&mut self, organisation: OrganisationHash, tokens: u64, now: Moment) {
        let is_new = !self.usages.contains_key(&organisation);
        if is_new && self.usages.len() >= MAX_ORGANISATIONS {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "a request has few tokens")]
        let tokens = tokens as f64;
        let usage = self.usages.entry(organisation).or_insert(Usage {
            tokens: 0.0,
            at: now,
        });
        *usage = Usage {
            tokens: usage.tokens(now) + tokens,
            at: now,
        };
    }

    /// Returns by how much later a request starts, which is less than its objective.
    #[must_use]
    pub fn delay(
        &self,
        organisation: OrganisationHash,
        objective: Duration,
        now: Moment,
    ) -> Duration {
        let Some(own) = self.usages.get(&organisation) else {
            return Duration::ZERO;
        };
        let own = own.tokens(now);
        if own < MIN_USE {
            return Duration::ZERO;
        }
        let active = self.usages.values().map(|usage| usage.tokens(now));
        let (count, sum) = active
            .filter(|tokens| *tokens >= MIN_USE)
            .fold((0.0, 0.0), |(count, sum), tokens| {
                (count + 1.0, sum + tokens)
            });
        let allowed = sum / count * ALLOWED_SHARE;
        if own <= allowed {
            return Duration::ZERO;
        }
        objective.mul_f64(1.0 - allowed / own)
    }

    /// Returns how many organisations are counted.
    #[must_use]
    pub fn count(&self) -> usize {
        self.usages.len()
    }

    /// Removes organisations that are not active.
    pub fn expire(&mut self, now: Moment) {
        self.usages
            .retain(|_organisation, usage| usage.tokens(now) >= MIN_USE);
    }
}
