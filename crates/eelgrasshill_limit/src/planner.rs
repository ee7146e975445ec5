//! Who should hold how much: the records that move limits and shares towards the target.
//!
//! An organisation has a few homes in each zone, whatever the number of hosts. A holder that is
//! still a member stays a home, so that shares move only when members come and go. One host plans
//! at a time, the first by rendezvous; two that plan at once do no harm, since the ledger takes
//! one of their records and rejects the other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrasshill_domain::{Moment, Offset, OrgName, Version, rendezvous_order, rendezvous_weight};

use crate::{
    Account, Holder, Ledger, Limit, LimitSettings, Process, RightsRecord, Safeguards, Share, Stake,
};

/// The subject by which the planning host is chosen.
const PLANNER: &str = "rights";

/// How long a new holder may take to its first renewal.
const FIRST_RENEWAL: Duration = Duration::from_secs(10);

/// How long a host that never renewed is given no share.
const AVOID: Duration = Duration::from_mins(1);

/// A share moves only when it is off its target by more than one part of this many.
const TOLERANCE: u64 = 4;

/// What one host knows of the others, for planning.
#[derive(Clone, Debug, Default)]
pub(crate) struct Planner {
    pub members: BTreeSet<Holder>,
    watched: BTreeMap<Process, (Option<Offset>, Moment)>,
    avoided: BTreeMap<Process, Moment>,
}

impl Planner {
    /// Notes when each holder's last renewal was first seen.
    pub(crate) fn watch(&mut self, ledger: &Ledger, now: Moment) {
        self.watched
            .retain(|process, _seen| ledger.tenure(process).is_some());
        for tenure in ledger.tenures() {
            let process = &tenure.holder.process;
            let known = self.watched.get(process);
            if known.is_none_or(|(renewed, _at)| *renewed != tenure.renewed) {
                self.watched.insert(process.clone(), (tenure.renewed, now));
            }
        }
    }

    fn is_planner(&self, me: &Holder) -> bool {
        let hosts = self.members.iter().map(|m| m.process.host.as_str());
        rendezvous_order(hosts, PLANNER).first() == Some(&me.process.host.as_str())
    }

    /// Returns the records that this host should append now.
    pub(crate) fn plan<S: Safeguards>(
        &mut self,
        me: &Holder,
        ledger: &Ledger,
        (through, limits): (Version, &BTreeMap<OrgName, Limit>),
        now: Moment,
        settings: &LimitSettings,
    ) -> Vec<RightsRecord> {
        if !self.is_planner(me) {
            return Vec::new();
        }
        let mut records = plan_limits(ledger, through, limits);
        self.plan_reclaims::<S>(ledger, now, settings, &mut records);
        for (organisation, account) in ledger.accounts() {
            let stakes = self.missing(organisation, account, now, settings);
            if stakes.is_empty() {
                continue;
            }
            records.push(RightsRecord::Assign {
                organisation: organisation.clone(),
                revision: account.revision,
                stakes,
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
        for (process, (renewed, since)) in &self.watched {
            let member = self.members.iter().any(|m| m.process == *process);
            let wait = match renewed {
                None => FIRST_RENEWAL,
                Some(_renewed) if !S::LEASE_WAIT => Duration::ZERO,
                Some(_renewed) => settings.reclaim(),
            };
            let silent = renewed.is_none() || !member;
            if !silent || now.since(*since) < wait || ledger.tenure(process).is_none() {
                continue;
            }
            if renewed.is_none() {
                self.avoided.insert(process.clone(), now.after(AVOID));
            }
            records.push(RightsRecord::Reclaim {
                process: process.clone(),
                renewed: *renewed,
            });
        }
    }

    /// Returns the homes that an account should have, with their shares.
    fn targets(
        &self,
        organisation: &OrgName,
        account: &Account,
        now: Moment,
        settings: &LimitSettings,
    ) -> Vec<Stake> {
        let mut zones: BTreeMap<_, Vec<&Holder>> = BTreeMap::new();
        for member in &self.members {
            let avoided = self.avoided.get(&member.process);
            if avoided.is_none_or(|until| *until <= now) {
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
            members.truncate(settings.homes);
            let share = zone_share.part(members.len() as u64);
            targets.extend(members.into_iter().map(|holder| Stake {
                holder: holder.clone(),
                share,
            }));
        }
        targets
    }

    /// Returns what the homes lack and the limit still has.
    fn missing(
        &self,
        organisation: &OrgName,
        account: &Account,
        now: Moment,
        settings: &LimitSettings,
    ) -> Vec<Stake> {
        let mut free = account.limit.share.minus(account.assigned());
        let mut stakes = Vec::new();
        for target in self.targets(organisation, account, now, settings) {
            let held = account.share_of(&target.holder.process).unwrap_or_default();
            let lack = least(target.share.minus(held), free);
            if !is_worth(lack, target.share) {
                continue;
            }
            free = free.minus(lack);
            stakes.push(Stake {
                holder: target.holder,
                share: lack,
            });
        }
        stakes
    }

    /// Returns a part of an own share that another home should have instead.
    pub(crate) fn surplus(
        &self,
        me: &Holder,
        ledger: &Ledger,
        now: Moment,
        settings: &LimitSettings,
    ) -> Option<(OrgName, Stake)> {
        ledger.accounts().find_map(|(organisation, account)| {
            let held = account.share_of(&me.process)?;
            if !account.assigned().fits(account.limit.share) {
                return None;
            }
            let targets = self.targets(organisation, account, now, settings);
            let own = targets.iter().find(|target| target.holder == *me)?.share;
            let surplus = held.minus(own);
            let stake = targets.into_iter().find_map(|target| {
                let has = account.share_of(&target.holder.process).unwrap_or_default();
                let share = least(target.share.minus(has), surplus);
                is_worth(share, own).then_some(Stake { share, ..target })
            })?;
            Some((organisation.clone(), stake))
        })
    }
}

fn plan_limits(
    ledger: &Ledger,
    through: Version,
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
            let gone = !limits.contains_key(*organisation) && !account.limit.share.is_empty();
            gone && through > account.limit.version
        })
        .map(|(organisation, _account)| {
            let limit = Limit {
                version: through,
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

fn least(a: Share, b: Share) -> Share {
    Share {
        rate: a.rate.min(b.rate),
        burst: a.burst.min(b.burst),
    }
}

fn is_worth(moved: Share, whole: Share) -> bool {
    moved.rate > whole.rate / TOLERANCE || moved.burst.0 > whole.burst.0 / TOLERANCE
}
