//! Which organisations run more than their share of a pool.
//!
//! Fair turns alone leave an organisation's next request waiting until a slot frees, since a
//! burst has filled them all. So an organisation over its share must leave some slots free as
//! long as others are about.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment};

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

/// What an organisation runs that asks for far more than its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flood {
    /// It runs no more than its share.
    Within,
    /// It runs more than its share.
    Over,
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

    /// Returns the organisations that ask for far more than their share.
    ///
    /// Waiting requests count too, since by running ones alone chance looks like a burst.
    pub(crate) fn floods(
        &self,
        shares: Shares<'_>,
        waiting: impl Fn(&Payer) -> usize,
    ) -> FastMap<Payer, Flood> {
        // While next to nothing runs, every demand would be far more than its share of it.
        if self.total <= FREE_REQUESTS {
            return FastMap::default();
        }
        let weights: u64 = self.uses.keys().map(|payer| shares.of(payer)).sum();
        let floods = self.uses.iter().filter_map(|(payer, used)| {
            let weight = shares.of(payer);
            let fair = self.total * weight;
            let demand = (used.running + waiting(payer) as u64) * weights;
            let excess = demand.saturating_sub(fair * DEMAND_SLACK);
            // The share is `fair / weights` requests, and chance varies it by its square root.
            if weight == weights || excess * excess <= CHANCE * CHANCE * fair * weights {
                return None;
            }
            let over = used.running > FREE_REQUESTS && used.running * weights > fair;
            let flood = if over { Flood::Over } else { Flood::Within };
            Some((payer.clone(), flood))
        });
        floods.collect()
    }
}
