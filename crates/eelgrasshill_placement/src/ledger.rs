//! The accounts of all engines, of this zone and of the others.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{FastSet, Fencing, Host, HostName, Moment, Offset, Tables, ZoneName};

use crate::view::{Source, is_sealed};
use crate::{Account, EngineReport, Intent, OrderId, OrderSpans};

/// What is known of every engine.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<HostName, Account>,
    leaving: BTreeSet<HostName>,
    gone: BTreeSet<HostName>,
    since: Moment,
}

impl Ledger {
    /// Returns an engine's account.
    #[must_use]
    pub fn account(&self, engine: &HostName) -> Option<&Account> {
        self.accounts.get(engine)
    }

    pub(crate) fn account_mut(&mut self, engine: &HostName) -> &mut Account {
        self.accounts.entry(engine.clone()).or_default()
    }

    pub(crate) fn accounts_mut(&mut self) -> impl Iterator<Item = (&HostName, &mut Account)> {
        self.accounts.iter_mut()
    }

    /// Returns the accounts of the engines that are not gone.
    pub(crate) fn present_mut(&mut self) -> impl Iterator<Item = (&HostName, &mut Account)> {
        let gone = &self.gone;
        self.accounts
            .iter_mut()
            .filter(|(name, _account)| !gone.contains(*name))
    }

    /// Takes in which engines leave and which are gone.
    pub fn set_members(&mut self, leaving: BTreeSet<HostName>, gone: BTreeSet<HostName>) {
        self.leaving = leaving;
        self.gone = gone;
    }

    /// Returns whether an engine leaves or is gone.
    #[must_use]
    pub fn is_leaving(&self, engine: &HostName) -> bool {
        self.leaving.contains(engine) || self.gone.contains(engine)
    }

    /// Starts a term: own orders are forgotten, a predecessor's are taken in.
    pub fn take_over<'a>(&mut self, open: impl IntoIterator<Item = &'a Intent>, now: Moment) {
        let mut intents: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for intent in open {
            intents.entry(&intent.engine).or_default().push(intent);
            self.accounts.entry(intent.engine.clone()).or_default();
        }
        for (engine, account) in &mut self.accounts {
            let intents = intents.get(engine).map_or(&[][..], Vec::as_slice);
            account.take_over(intents, now);
        }
        self.since = now;
    }

    /// Returns an engine's report if it may be planned on.
    pub(crate) fn usable(
        &self,
        engine: &HostName,
        host: &Host,
        source: &Source<'_>,
    ) -> Option<&EngineReport> {
        if self.is_leaving(engine) {
            return None;
        }
        let account = self.accounts.get(engine)?;
        let report = account.fresh(source.now, source.spans)?;
        let made = account.seen().map(|seen| seen.made)?;
        let known = made >= self.since && is_sealed(host.fencing, report, source.fence);
        known.then_some(report)
    }

    /// Returns the engines of a zone that must still show this fencing number.
    pub fn unsealed<'a>(
        &'a self,
        tables: &'a Tables,
        zone: &'a ZoneName,
        fence: Offset,
    ) -> impl Iterator<Item = &'a HostName> {
        let checked = tables.hosts.iter().filter(move |(name, host)| {
            host.zone == *zone && host.fencing == Fencing::Checked && !self.gone.contains(*name)
        });
        let open = checked.filter(move |(name, _host)| {
            let seen = self.accounts.get(*name).and_then(Account::seen);
            seen.is_none_or(|seen| seen.report.fence < fence)
        });
        open.filter(move |(name, _host)| tables.is_engine_pool(&tables.hosts[*name].pool))
            .map(|(name, _host)| name)
    }

    /// Returns whether an engine has said nothing for the bound on silence.
    #[must_use]
    pub fn is_silent(&self, engine: &HostName, spans: &OrderSpans, now: Moment) -> bool {
        let made = self
            .accounts
            .get(engine)
            .and_then(Account::seen)
            .map(|seen| seen.made);
        let heard = made.map_or(self.since, |made| made.max(self.since));
        now.since(heard) > spans.silence
    }

    /// Returns the store's slots that the zone's engines use or may come to use.
    #[must_use]
    pub fn slots(
        &self,
        tables: &Tables,
        zone: &ZoneName,
        spans: &OrderSpans,
        now: Moment,
    ) -> usize {
        let returning = |account: &Account| account.slots_if_gone(spans, now);
        self.sum(tables, zone, returning, Account::slots)
    }

    /// Returns the loads that run or are on their way, without those that came to nothing.
    pub(crate) fn running(
        &self,
        tables: &Tables,
        zone: &ZoneName,
        spans: &OrderSpans,
        now: Moment,
    ) -> usize {
        let returning = |account: &Account| account.slots_if_gone(spans, now);
        self.sum(tables, zone, returning, Account::running)
    }

    /// Returns the adapters that are or may come in flight in the zone.
    #[must_use]
    pub fn adapters_flying(&self, tables: &Tables, zone: &ZoneName) -> usize {
        self.sum(tables, zone, |_gone| 0, Account::adapters_flying)
    }

    fn sum(
        &self,
        tables: &Tables,
        zone: &ZoneName,
        gone: impl Fn(&Account) -> usize,
        present: impl Fn(&Account) -> usize,
    ) -> usize {
        let counts = self.in_zone(tables, zone).map(|(name, account)| {
            if self.gone.contains(name) {
                gone(account)
            } else {
                present(account)
            }
        });
        counts.sum()
    }

    fn in_zone<'a>(
        &'a self,
        tables: &'a Tables,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (&'a HostName, &'a Account)> {
        let is_here =
            move |name: &HostName| tables.hosts.get(name).is_none_or(|host| host.zone == *zone);
        self.accounts
            .iter()
            .filter(move |(name, _account)| is_here(name))
    }

    /// Returns the ids of all orders that may still take effect.
    pub(crate) fn open_ids(&self) -> FastSet<OrderId> {
        let orders = self
            .accounts
            .values()
            .flat_map(|account| account.orders().keys());
        orders.copied().collect()
    }

    /// Closes the orders that can take effect no more; returns whether there were any.
    pub fn close(
        &mut self,
        tables: &Tables,
        fence: Offset,
        spans: &OrderSpans,
        now: Moment,
    ) -> bool {
        let mut closed = false;
        for (engine, account) in &mut self.accounts {
            if account.orders().is_empty() {
                continue;
            }
            if self.gone.contains(engine) {
                closed |= account.cancel_unsent();
            }
            // An engine that is not in the tables gets the stricter rule.
            let fencing = tables
                .hosts
                .get(engine)
                .map_or(Fencing::Ignored, |host| host.fencing);
            closed |= account.close(fencing, fence, spans, now);
        }
        closed
    }
}
