//! Plans the records that move limits and shares towards their target.
//!
//! An organisation has a few lenders in each zone, whatever the number of hosts. A holder that is
//! still a member stays a lender, so shares move only when members join or leave. Rendezvous
//! hashing selects one host to plan. Two hosts that plan at once do no harm, since the ledger
//! accepts one of their records and rejects the other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshill_domain::{Moment, Offset, OrgName, Version, rendezvous_order, rendezvous_weight};

use crate::{
    Account, Allocation, Holder, Ledger, Limit, LimitSettings, Process, RightsRecord, Safeguards,
    Share,
};

/// The rendezvous subject by which the planning host is selected.
const PLANNER_SUBJECT: &str = "rights";

/// How long a new holder may take until its first renewal.
const FIRST_RENEWAL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a holder that never renewed is excluded from assignments.
const EXCLUSION_TTL: Duration = Duration::from_mins(1);

/// A share moves only if it is off by more than its target divided by this number.
const TOLERANCE_DIVISOR: u64 = 4;

/// The live hosts and their renewals, as one host knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharePlanner {
    pub members: BTreeSet<Holder>,
    /// The last renewal of each holder, and when this host first saw it.
    observed_renewals: BTreeMap<Process, (Option<Offset>, Moment)>,
    /// The end of each exclusion from assignments.
    excluded: BTreeMap<Process, Moment>,
}

impl SharePlanner {
    /// Records when the last renewal of each holder was first seen.
    pub(crate) fn track_renewals(&mut self, ledger: &Ledger, now: Moment) {
        self.observed_renewals
            .retain(|process, _seen| ledger.lease(process).is_some());
        for lease in ledger.leases() {
            let process = &lease.holder.process;
            let known = self.observed_renewals.get(process);
            if known.is_none_or(|(last_renewal, _at)| *last_renewal != lease.last_renewal) {
                self.observed_renewals
                    .insert(process.clone(), (lease.last_renewal, now));
            }
        }
    }

    fn is_planner(&self, me: &Holder) -> bool {
        let hosts = self
            .members
            .iter()
            .map(|member| member.process.host.as_str());
        rendezvous_order(hosts, PLANNER_SUBJECT).first() == Some(&me.process.host.as_str())
    }

    /// Returns the records that this host should append now.
    pub(crate) fn plan<S: Safeguards>(
        &mut self,
        me: &Holder,
        ledger: &Ledger,
        (config_version, limits): (Version, &BTreeMap<OrgName, Limit>),
        now: Moment,
        settings: &LimitSettings,
    ) -> Vec<RightsRecord> {
        if !self.is_planner(me) {
            return Vec::new();
        }
        let mut records = plan_limits(ledger, config_version, limits);
        self.plan_reclaims::<S>(ledger, now, settings, &mut records);
        for (organisation, account) in ledger.accounts() {
            let allocations = self.plan_assignments(organisation, account, now, settings);
            if allocations.is_empty() {
                continue;
            }
            records.push(RightsRecord::Assign {
                organisation: organisation.clone(),
                revision: account.revision,
                allocations,
            });
        }
        records
    }

    fn plan_reclaims<S: Safeguards>(
        &mut self,
        ledger: &Ledger,
        now: Moment,
        settings: &LimitSettings,
        records: &mut Vec<RightsRecord>,
    ) {
        for (process, (last_renewal, since)) in &self.observed_renewals {
            let is_member = self.members.iter().any(|member| member.process == *process);
            let wait = match last_renewal {
                None => FIRST_RENEWAL_TIMEOUT,
                Some(_last_renewal) if !S::AWAIT_LEASE_END => Duration::ZERO,
                Some(_last_renewal) => settings.reclaim_delay(),
            };
            let is_silent = last_renewal.is_none() || !is_member;
            if !is_silent || now.since(*since) < wait || ledger.lease(process).is_none() {
                continue;
            }
            if last_renewal.is_none() {
                self.excluded
                    .insert(process.clone(), now.after(EXCLUSION_TTL));
            }
            records.push(RightsRecord::Reclaim {
                process: process.clone(),
                last_renewal: *last_renewal,
            });
        }
    }

    /// Returns the lenders that an account should have, with their shares.
    fn targets(
        &self,
        organisation: &OrgName,
        account: &Account,
        now: Moment,
        settings: &LimitSettings,
    ) -> Vec<Allocation> {
        let mut zones: BTreeMap<_, Vec<&Holder>> = BTreeMap::new();
        for member in &self.members {
            let excluded = self.excluded.get(&member.process);
            if excluded.is_none_or(|until| *until <= now) {
                zones.entry(&member.zone).or_default().push(member);
            }
        }
        let zone_share = account.limit.share.part(zones.len() as u64);
        let mut targets = Vec::new();
        for mut members in zones.into_values() {
            members.sort_by_cached_key(|member| {
                let held = account.share_of(&member.process).is_some();
                let host = member.process.host.as_str();
                let weight = rendezvous_weight(host, organisation.as_str());
                (!held, std::cmp::Reverse(weight))
            });
            members.truncate(settings.zone_lenders);
            let share = zone_share.part(members.len() as u64);
            targets.extend(members.into_iter().map(|holder| Allocation {
                holder: holder.clone(),
                share,
            }));
        }
        targets
    }

    /// Returns the shares to assign: what lenders lack and the limit still has free.
    fn plan_assignments(
        &self,
        organisation: &OrgName,
        account: &Account,
        now: Moment,
        settings: &LimitSettings,
    ) -> Vec<Allocation> {
        let mut free = account.limit.share.minus(account.assigned());
        let mut allocations = Vec::new();
        for target in self.targets(organisation, account, now, settings) {
            let held = account.share_of(&target.holder.process).unwrap_or_default();
            let shortfall = min_share(target.share.minus(held), free);
            if !exceeds_tolerance(shortfall, target.share) {
                continue;
            }
            free = free.minus(shortfall);
            allocations.push(Allocation {
                holder: target.holder,
                share: shortfall,
            });
        }
        allocations
    }

    /// Returns a part of an own share that another lender should have instead.
    pub(crate) fn surplus(
        &self,
        me: &Holder,
        ledger: &Ledger,
        now: Moment,
        settings: &LimitSettings,
    ) -> Option<(OrgName, Allocation)> {
        ledger.accounts().find_map(|(organisation, account)| {
            let held = account.share_of(&me.process)?;
            if !account.assigned().fits(account.limit.share) {
                return None;
            }
            let targets = self.targets(organisation, account, now, settings);
            let own = targets.iter().find(|target| target.holder == *me)?.share;
            let surplus = held.minus(own);
            let allocation = targets.into_iter().find_map(|target| {
                let has = account.share_of(&target.holder.process).unwrap_or_default();
                let share = min_share(target.share.minus(has), surplus);
                exceeds_tolerance(share, own).then_some(Allocation { share, ..target })
            })?;
            Some((organisation.clone(), allocation))
        })
    }
}

fn plan_limits(
    ledger: &Ledger,
    config_version: Version,
    limits: &BTreeMap<OrgName, Limit>,
) -> Vec<RightsRecord> {
    let current = |organisation: &OrgName| {
        let account = ledger.account(organisation);
        account.map(|a| a.limit.version).unwrap_or_default()
    };
    let changed = limits
        .iter()
        .filter(|(organisation, limit)| limit.version > current(organisation))
        .map(|(organisation, limit)| (organisation, *limit));
    let removed = ledger
        .accounts()
        .filter(|(organisation, account)| {
            let is_removed = !limits.contains_key(*organisation) && !account.limit.share.is_empty();
            is_removed && config_version > account.limit.version
        })
        .map(|(organisation, _account)| {
            let limit = Limit {
                version: config_version,
                share: Share::default(),
            };
            (organisation, limit)
        });
    changed
        .chain(removed)
        .map(|(organisation, limit)| RightsRecord::Limit {
            organisation: organisation.clone(),
            limit,
        })
        .collect()
}

fn min_share(a: Share, b: Share) -> Share {
    Share {
        milli_tokens_per_second: a.milli_tokens_per_second.min(b.milli_tokens_per_second),
        burst: a.burst.min(b.burst),
    }
}

fn exceeds_tolerance(moved: Share, whole: Share) -> bool {
    moved.milli_tokens_per_second > whole.milli_tokens_per_second / TOLERANCE_DIVISOR
        || moved.burst.0 > whole.burst.0 / TOLERANCE_DIVISOR
}
