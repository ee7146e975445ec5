//! Detection of organisations that use more than their share of a pool.
//!
//! Fair turns alone are not enough: after a burst has filled all slots, another organisation's
//! request waits until one frees. So an organisation over its share has to leave some slots free
//! while others are active.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment};

use crate::queue::{OrgWeights, Payer};

/// Time for which an organisation counts as active after its last request.
const ACTIVE_WINDOW: Duration = Duration::from_secs(30);

/// Demand that is still normal, as a multiple of the organisation's share.
const MAX_DEMAND_SHARES: u64 = 2;

/// Random variation that is still normal, in standard deviations of the share.
const TOLERATED_DEVIATIONS: u64 = 2;

/// Number of running requests that never puts an organisation over its share.
const EXEMPT_REQUESTS: u64 = 2;

#[derive(Clone, Copy, Debug)]
struct PayerUsage {
    running: u64,
    last_offer: Moment,
}

/// Running requests of a heavy payer, compared with its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShareUse {
    /// It runs at most its share.
    Within,
    /// It runs more than its share.
    Over,
}

/// Running requests of each organisation in one class of a pool, through this host.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassUsage {
    payers: FastMap<Payer, PayerUsage>,
    total_running: u64,
}

impl ClassUsage {
    pub(crate) fn offer(&mut self, payer: &Payer, now: Moment) {
        let new_usage = PayerUsage {
            running: 0,
            last_offer: now,
        };
        self.payers
            .entry(payer.clone())
            .or_insert(new_usage)
            .last_offer = now;
        self.payers.retain(|_payer, usage| {
            usage.running > 0 || now.since(usage.last_offer) < ACTIVE_WINDOW
        });
    }

    pub(crate) fn start(&mut self, payer: &Payer) {
        if let Some(usage) = self.payers.get_mut(payer) {
            usage.running += 1;
            self.total_running += 1;
        }
    }

    pub(crate) fn finish(&mut self, payer: &Payer) {
        if let Some(usage) = self.payers.get_mut(payer)
            && usage.running > 0
        {
            usage.running -= 1;
            self.total_running -= 1;
        }
    }

    /// Returns the organisations whose demand is far above their share.
    ///
    /// Waiting requests count too: among the running ones alone, a chance peak looks like a burst.
    pub(crate) fn heavy_payers(
        &self,
        org_weights: OrgWeights<'_>,
        waiting: impl Fn(&Payer) -> usize,
    ) -> FastMap<Payer, ShareUse> {
        // While hardly anything runs, any demand would be far above a share of it.
        if self.total_running <= EXEMPT_REQUESTS {
            return FastMap::default();
        }
        let total_weight: u64 = self.payers.keys().map(|payer| org_weights.of(payer)).sum();
        let heavy_payers = self.payers.iter().filter_map(|(payer, usage)| {
            let weight = org_weights.of(payer);
            let scaled_share = self.total_running * weight;
            let scaled_demand = (usage.running + waiting(payer) as u64) * total_weight;
            let scaled_excess = scaled_demand.saturating_sub(scaled_share * MAX_DEMAND_SHARES);
            // The scaled values are numbers of requests times `total_weight`. The standard
            // deviation of a share is taken to be its square root.
            if weight == total_weight
                || scaled_excess * scaled_excess
                    <= TOLERATED_DEVIATIONS * TOLERATED_DEVIATIONS * scaled_share * total_weight
            {
                return None;
            }
            let over =
                usage.running > EXEMPT_REQUESTS && usage.running * total_weight > scaled_share;
            let share_use = if over {
                ShareUse::Over
            } else {
                ShareUse::Within
            };
            Some((payer.clone(), share_use))
        });
        heavy_payers.collect()
    }
}
