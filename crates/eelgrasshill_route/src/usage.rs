//! Which organisations run more than their share of a pool.
//!
//! Fair turns alone leave an organisation's next request waiting until a slot frees, since a
//! burst has filled them all. So an organisation over its share must leave some slots free as
//! long as others are about.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, FastSet, Moment};

use crate::queue::{Payer, Shares};

/// How long an organisation counts as being about after its last request.
const ACTIVE_SPAN: Duration = Duration::from_secs(30);

/// Times its share that an organisation may ask for.
const DEMAND_SLACK: u64 = 2;

/// Standard deviations of its share that pass as chance.
const CHANCE: u64 = 2;

/// Running requests that any organisation may have without being over its share.
const FREE_REQUESTS: u64 = 2;

#[derive(Clone, Copy, Debug)]
struct Use {
    running: u64,
    offered: Moment,
}

/// What each organisation runs in one pool, through this host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Usage {
    uses: FastMap<Payer, Use>,
    total: u64,
}

impl Usage {
    pub(crate) fn offer(&mut self, payer: &Payer, now: Moment) {
        let fresh = Use {
            running: 0,
            offered: now,
        };
        self.uses.entry(payer.clone()).or_insert(fresh).offered = now;
        self.uses
            .retain(|_payer, used| used.running > 0 || now.since(used.offered) < ACTIVE_SPAN);
    }

    pub(crate) fn start(&mut self, payer: &Payer) {
        if let Some(used) = self.uses.get_mut(payer) {
            used.running += 1;
            self.total += 1;
        }
    }

    pub(crate) fn finish(&mut self, payer: &Payer) {
        if let Some(used) = self.uses.get_mut(payer)
            && used.running > 0
        {
            used.running -= 1;
            self.total -= 1;
        }
    }

    /// Returns the organisations that run more than their share and ask for far more.
    ///
    /// Waiting requests count too, since by running ones alone chance looks like a burst.
    pub(crate) fn over(
        &self,
        shares: Shares<'_>,
        waiting: impl Fn(&Payer) -> usize,
    ) -> FastSet<Payer> {
        let weights: u64 = self.uses.keys().map(|payer| shares.of(payer)).sum();
        let over = self.uses.iter().filter(|(payer, used)| {
            let weight = shares.of(payer);
            let fair = self.total * weight;
            let demand = (used.running + waiting(payer) as u64) * weights;
            let excess = demand.saturating_sub(fair * DEMAND_SLACK);
            // The share is `fair / weights` requests, and chance varies it by its square root.
            weight < weights
                && used.running > FREE_REQUESTS
                && used.running * weights > fair
                && excess * excess > CHANCE * CHANCE * fair * weights
        });
        over.map(|(payer, _used)| payer.clone()).collect()
    }
}
