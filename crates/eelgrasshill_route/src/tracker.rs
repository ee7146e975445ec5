//! Search for upstreams that can take a request now.
//!
//! The inputs are the view, this host's load estimate and the health of each upstream. Upstreams in
//! this host's zone come first.

use eelgrasshill_domain::{FastMap, HostName, Moment};
use std::time::Duration;

use crate::health::{Health, HealthState};
use crate::host_load::HostLoad;
use crate::policy::Candidate;
use crate::view::{Presence, Upstream, View};
use crate::{Ticket, TicketId};

/// Number of slots assumed for an upstream that has not reported.
const DEFAULT_SLOTS: u32 = 8;

/// Number of load estimates beyond the view's upstreams that triggers a cleanup.
const MAX_EXTRA_LOADS: usize = 64;

/// Part of an upstream's slots that a request may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    /// Percentage of the slots that may be taken.
    ///
    /// Above 100, requests queue on the upstream.
    pub(crate) fill_percent: u32,
    /// Number of entry hosts that share the upstreams, including this one.
    pub(crate) peers: u32,
    /// Limit on the starts of aged requests; set only for these.
    pub(crate) aged: Option<AgedLimit>,
}

impl Allowance {
    /// Returns the allowance with a percentage of the slots reserved for others.
    pub(crate) fn with_reserve(self, reserve_percent: u32) -> Self {
        let fill_percent = self.fill_percent.saturating_sub(reserve_percent);
        Self {
            fill_percent,
            ..self
        }
    }
}

/// How often aged requests may start on one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgedLimit {
    /// Other starts required between two starts of aged requests.
    pub(crate) min_starts: u32,
    /// Time after which the next one may start without these.
    pub(crate) min_interval: Duration,
}

/// Whether some upstream can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Search {
    /// At least one candidate was found.
    Found,
    /// Some upstreams meet the requirement, but none has room.
    Full,
    /// No upstream meets the requirement.
    Missing,
}

/// Load and health of every upstream as this host estimates them.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamTracker {
    host_loads: FastMap<HostName, HostLoad>,
    pub(crate) health: Health,
}

impl UpstreamTracker {
    /// Collects the candidates for a ticket, from this host's zone if there are any.
    ///
    /// Upstreams that the ticket avoids or the host list suspects are a last resort: they are
    /// used only when no other takes requests, so that the model stays reachable.
    pub(crate) fn search(
        &self,
        view: &View,
        ticket: &Ticket,
        allowance: Allowance,
        now: Moment,
        candidates: &mut Vec<Candidate>,
    ) -> Search {
        candidates.clear();
        let Some(holders) = view.holders(&ticket.pool, &ticket.requirement) else {
            return Search::Missing;
        };
        let mut result = Search::Missing;
        for last_resort in [false, true] {
            let mut any_usable = false;
            for group in [&holders.own_zone, &holders.other_zones] {
                for (position, upstream) in view.upstreams_at(group) {
                    if upstream.presence == Presence::Leaving
                        || !upstream.holds(&ticket.requirement)
                    {
                        continue;
                    }
                    result = Search::Full;
                    if is_last_resort(upstream, ticket) != last_resort
                        || !self.is_usable(upstream, now)
                    {
                        continue;
                    }
                    any_usable = true;
                    candidates
                        .extend(self.candidate(view, position, upstream, ticket, allowance, now));
                }
                if !candidates.is_empty() {
                    return Search::Found;
                }
            }
            if any_usable {
                return Search::Full;
            }
        }
        result
    }

    fn is_usable(&self, upstream: &Upstream, now: Moment) -> bool {
        match self.health.state(&upstream.host, now) {
            HealthState::Healthy | HealthState::Probing => true,
            HealthState::Suspected | HealthState::Leaving => false,
        }
    }

    pub(crate) fn start(&mut self, upstream: &Upstream, ticket: TicketId, aged: bool, now: Moment) {
        let host_load = self.host_loads.entry(upstream.host.clone()).or_default();
        if let Some(report) = &upstream.report {
            host_load.discard_covered(report.taken_at);
        }
        host_load.start(aged, now);
        self.health.start_probe(&upstream.host, ticket, now);
    }

    pub(crate) fn finish(&mut self, host: &HostName, ticket: TicketId, now: Moment) {
        if let Some(host_load) = self.host_loads.get_mut(host) {
            host_load.finish(now);
        }
        self.health.end_probe(host, ticket);
    }

    /// Drops the idle load estimates once there are many more than upstreams.
    pub(crate) fn prune(&mut self, view: &View) {
        if self.host_loads.len() > view.upstreams().len() + MAX_EXTRA_LOADS {
            self.host_loads
                .retain(|_host, host_load| !host_load.is_idle());
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
        let host_load = self.host_loads.get(&upstream.host);
        if let (Some(host_load), Some(limit)) = (host_load, allowance.aged)
            && !host_load.may_start_aged(limit.min_starts, limit.min_interval, now)
        {
            return None;
        }
        let report = upstream.report.as_ref();
        let load = host_load
            .unwrap_or(&HostLoad::default())
            .load(report, allowance.peers, now);
        let slots = report.map_or(DEFAULT_SLOTS, |r| r.slots);
        let usable_slots = u64::from(slots) * u64::from(allowance.fill_percent) / 100;
        // One slot stays usable at any percentage, unless the upstream has none.
        let usable_slots = usable_slots.max(u64::from(slots.min(1)));
        (u64::from(load) < usable_slots).then(|| Candidate {
            position,
            load,
            slots,
            affinity: view.affinity(position, ticket.prefix),
            cached: upstream.cached_prefixes.contains(&ticket.prefix),
        })
    }
}

fn is_last_resort(upstream: &Upstream, ticket: &Ticket) -> bool {
    upstream.presence == Presence::Suspected || ticket.avoid.contains(&upstream.host)
}
