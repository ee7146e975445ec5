//! Which upstreams could take a request now.

use eelgrasshill_domain::{FastMap, HostName, Moment};
use std::time::Duration;

use crate::health::{Health, Standing};
use crate::ledger::Ledger;
use crate::policy::Candidate;
use crate::view::{Presence, Upstream, View};
use crate::{Ticket, TicketId};

/// Slots assumed of an upstream that has not reported.
const DEFAULT_SLOTS: u32 = 8;

/// Unused ledgers kept before those of hosts that left are dropped.
const SPARE_LEDGERS: usize = 64;

/// What a request may use of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    /// Percent of the slots that may be taken, above 100 to queue on the upstream.
    pub(crate) fill: u32,
    /// Entry hosts that share the upstreams, this one included.
    pub(crate) peers: u32,
    /// Set for aged work, which goes ahead of other classes.
    pub(crate) aged: Option<AgedPace>,
}

impl Allowance {
    /// Returns the allowance with a percentage of the slots left free.
    pub(crate) fn without(self, reserve: u32) -> Self {
        let fill = self.fill.saturating_sub(reserve);
        Self { fill, ..self }
    }
}

/// How often aged work may go ahead on one host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgedPace {
    /// Other starts that must lie between two of aged work.
    pub(crate) gap: u32,
    /// Time after which the next one may start without other starts.
    pub(crate) rest: Duration,
}

/// Whether some upstream can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Search {
    /// At least one candidate was found.
    Found,
    /// Upstreams hold the work, and none has room.
    Full,
    /// No upstream holds the work.
    Missing,
}

/// This host's own account of every upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    ledgers: FastMap<HostName, Ledger>,
    pub(crate) health: Health,
}

impl Fleet {
    /// Collects the candidates for a ticket, own zone first.
    ///
    /// Upstreams that the ticket avoids or the host list suspects come in only when no other
    /// takes requests, since they may work again and a model must stay reachable.
    pub(crate) fn search(
        &self,
        view: &View,
        ticket: &Ticket,
        allowance: Allowance,
        now: Moment,
        found: &mut Vec<Candidate>,
    ) -> Search {
        found.clear();
        let Some(holders) = view.holders(&ticket.pool, &ticket.work) else {
            return Search::Missing;
        };
        let mut result = Search::Missing;
        for shunned in [false, true] {
            let mut open = false;
            for group in [&holders.own, &holders.other] {
                for (position, upstream) in view.at(group) {
                    if upstream.presence == Presence::Leaving || !upstream.holds(&ticket.work) {
                        continue;
                    }
                    result = Search::Full;
                    if is_shunned(upstream, ticket) != shunned || !self.is_open(upstream, now) {
                        continue;
                    }
                    open = true;
                    found.extend(self.candidate(view, position, upstream, ticket, allowance, now));
                }
                if !found.is_empty() {
                    return Search::Found;
                }
            }
            if open {
                return Search::Full;
            }
        }
        result
    }

    fn is_open(&self, upstream: &Upstream, now: Moment) -> bool {
        match self.health.standing(&upstream.host, now) {
            Standing::Open | Standing::Trial => true,
            Standing::Suspected | Standing::Leaving => false,
        }
    }

    pub(crate) fn start(&mut self, upstream: &Upstream, ticket: TicketId, aged: bool, now: Moment) {
        let ledger = self.ledgers.entry(upstream.host.clone()).or_default();
        if let Some(report) = &upstream.report {
            ledger.forget(report.taken);
        }
        ledger.start(aged, now);
        self.health.probe(&upstream.host, ticket, now);
    }

    pub(crate) fn finish(&mut self, host: &HostName, ticket: TicketId, now: Moment) {
        if let Some(ledger) = self.ledgers.get_mut(host) {
            ledger.finish(now);
        }
        self.health.release(host, ticket);
    }

    /// Drops the ledgers of hosts that left, once there are many.
    pub(crate) fn prune(&mut self, view: &View) {
        if self.ledgers.len() > view.upstreams().len() + SPARE_LEDGERS {
            self.ledgers.retain(|_host, ledger| !ledger.is_idle());
        }
    }

    fn candidate(
        &self,
        view: &View,
        position: usize,
        upstream: &Upstream,
        ticket: &Ticket,
        allowance: Allowance,
        now: Moment,
    ) -> Option<Candidate> {
        let ledger = self.ledgers.get(&upstream.host);
        if let (Some(ledger), Some(pace)) = (ledger, allowance.aged)
            && !ledger.has_rested(pace.gap, pace.rest, now)
        {
            return None;
        }
        let report = upstream.report.as_ref();
        let load = ledger
            .unwrap_or(&Ledger::default())
            .load(report, allowance.peers, now);
        let slots = report.map_or(DEFAULT_SLOTS, |r| r.slots);
        let usable = u64::from(slots) * u64::from(allowance.fill) / 100;
        let usable = usable.max(u64::from(slots.min(1)));
        (u64::from(load) < usable).then(|| Candidate {
            position,
            load,
            slots,
            affinity: view.affinity(position, ticket.prefix),
            cached: upstream.cached.contains(&ticket.prefix),
        })
    }
}

fn is_shunned(upstream: &Upstream, ticket: &Ticket) -> bool {
    upstream.presence == Presence::Suspected || ticket.avoid.contains(&upstream.host)
}
