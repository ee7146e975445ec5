//! The known state of all engines, in this zone and in the others.
//!
//! It decides which engines may be planned on, which still have to confirm the fencing token,
//! and how many of the store's load slots the zone uses. An engine that is no longer in the host
//! list (gone) keeps its state, because the list lags and the engine may return.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{FastSet, Fencing, Host, HostName, Moment, Offset, Tables, ZoneName};

use crate::view::{ViewInput, engine_is_sealed};
use crate::{EngineReport, EngineState, Intent, OrderId, OrderTimings};

/// The reports and open orders of every engine.
#[derive(Clone, Debug, Default)]
pub struct EngineStates {
    states: BTreeMap<HostName, EngineState>,
    /// Engines that are about to shut down.
    leaving: BTreeSet<HostName>,
    /// Engines that the host list no longer contains.
    gone: BTreeSet<HostName>,
    term_start: Moment,
}

impl EngineStates {
    /// Returns the state of one engine, if any is known.
    #[must_use]
    pub fn engine_state(&self, engine: &HostName) -> Option<&EngineState> {
        self.states.get(engine)
    }

    pub(crate) fn engine_state_mut(&mut self, engine: &HostName) -> &mut EngineState {
        self.states.entry(engine.clone()).or_default()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&HostName, &mut EngineState)> {
        self.states.iter_mut()
    }

    /// Returns the state of each engine that is not gone.
    pub(crate) fn present_states_mut(
        &mut self,
    ) -> impl Iterator<Item = (&HostName, &mut EngineState)> {
        let gone = &self.gone;
        self.states
            .iter_mut()
            .filter(|(name, _engine_state)| !gone.contains(*name))
    }

    /// Sets which engines are about to shut down and which are gone.
    pub fn set_members(&mut self, leaving: BTreeSet<HostName>, gone: BTreeSet<HostName>) {
        self.leaving = leaving;
        self.gone = gone;
    }

    /// Returns whether an engine is about to shut down or is gone.
    #[must_use]
    pub fn is_leaving(&self, engine: &HostName) -> bool {
        self.leaving.contains(engine) || self.gone.contains(engine)
    }

    /// Starts a term: replaces all open orders by those of the log.
    pub fn start_term<'a>(
        &mut self,
        open_intents: impl IntoIterator<Item = &'a Intent>,
        now: Moment,
    ) {
        let mut intents: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for intent in open_intents {
            intents.entry(&intent.engine).or_default().push(intent);
            self.states.entry(intent.engine.clone()).or_default();
        }
        for (engine, engine_state) in &mut self.states {
            let intents = intents.get(engine).map_or(&[][..], Vec::as_slice);
            engine_state.start_term(intents, now);
        }
        self.term_start = now;
    }

    /// Returns an engine's report if the engine may be planned on.
    pub(crate) fn usable_report(
        &self,
        engine: &HostName,
        host: &Host,
        input: &ViewInput<'_>,
    ) -> Option<&EngineReport> {
        if self.is_leaving(engine) {
            return None;
        }
        let engine_state = self.states.get(engine)?;
        let report = engine_state.fresh_report(input.now, input.timings)?;
        let generated_after = engine_state
            .latest_report()
            .map(|latest| latest.generated_after)?;
        let is_current = generated_after >= self.term_start
            && engine_is_sealed(host.fencing, report, input.fence);
        is_current.then_some(report)
    }

    /// Returns the zone's engines that have not confirmed this fencing token yet.
    pub fn unsealed<'a>(
        &'a self,
        tables: &'a Tables,
        zone: &'a ZoneName,
        fence: Offset,
    ) -> impl Iterator<Item = &'a HostName> {
        let checking_engines = tables.hosts.iter().filter(move |(name, host)| {
            host.zone == *zone && host.fencing == Fencing::Checked && !self.gone.contains(*name)
        });
        let unconfirmed = checking_engines.filter(move |(name, _host)| {
            let latest = self.states.get(*name).and_then(EngineState::latest_report);
            latest.is_none_or(|latest| latest.report.fence < fence)
        });
        unconfirmed
            .filter(move |(name, _host)| tables.is_engine_pool(&tables.hosts[*name].pool))
            .map(|(name, _host)| name)
    }

    /// Returns whether an engine has not reported within the report timeout.
    #[must_use]
    pub fn is_silent(&self, engine: &HostName, timings: &OrderTimings, now: Moment) -> bool {
        let generated_after = self
            .states
            .get(engine)
            .and_then(EngineState::latest_report)
            .map(|latest| latest.generated_after);
        let silent_since = generated_after.map_or(self.term_start, |generated_after| {
            generated_after.max(self.term_start)
        });
        now.since(silent_since) > timings.report_timeout
    }

    /// Returns the number of load slots that the zone uses or may still use.
    ///
    /// Counted are the loads that engines report and the ordered loads that may still start.
    #[must_use]
    pub fn load_slots(
        &self,
        tables: &Tables,
        zone: &ZoneName,
        timings: &OrderTimings,
        now: Moment,
    ) -> usize {
        let slots_if_gone =
            |engine_state: &EngineState| engine_state.load_slots_if_gone(timings, now);
        self.sum(tables, zone, slots_if_gone, EngineState::load_slots)
    }

    /// Returns the number of loads that run or may still start, without missing loads.
    ///
    /// [`EngineState::load_is_missing`] says which loads are missing.
    pub(crate) fn active_loads(
        &self,
        tables: &Tables,
        zone: &ZoneName,
        timings: &OrderTimings,
        now: Moment,
    ) -> usize {
        let slots_if_gone =
            |engine_state: &EngineState| engine_state.load_slots_if_gone(timings, now);
        self.sum(tables, zone, slots_if_gone, EngineState::active_loads)
    }

    /// Returns the number of adapters that the zone is loading or may still load.
    #[must_use]
    pub fn adapters_loading(&self, tables: &Tables, zone: &ZoneName) -> usize {
        self.sum(tables, zone, |_gone| 0, EngineState::adapters_loading)
    }

    fn sum(
        &self,
        tables: &Tables,
        zone: &ZoneName,
        count_if_gone: impl Fn(&EngineState) -> usize,
        count_if_present: impl Fn(&EngineState) -> usize,
    ) -> usize {
        let counts = self.in_zone(tables, zone).map(|(name, engine_state)| {
            if self.gone.contains(name) {
                count_if_gone(engine_state)
            } else {
                count_if_present(engine_state)
            }
        });
        counts.sum()
    }

    fn in_zone<'a>(
        &'a self,
        tables: &'a Tables,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (&'a HostName, &'a EngineState)> {
        // An engine that is not in the tables counts for every zone, which is the stricter rule.
        let is_in_zone =
            move |name: &HostName| tables.hosts.get(name).is_none_or(|host| host.zone == *zone);
        self.states
            .iter()
            .filter(move |(name, _engine_state)| is_in_zone(name))
    }

    /// Returns the ids of all orders that may still take effect.
    pub(crate) fn open_order_ids(&self) -> FastSet<OrderId> {
        let orders = self
            .states
            .values()
            .flat_map(|engine_state| engine_state.orders().keys());
        orders.copied().collect()
    }

    /// Removes the finished orders and returns whether there were any.
    pub fn remove_finished_orders(
        &mut self,
        tables: &Tables,
        fence: Offset,
        timings: &OrderTimings,
        now: Moment,
    ) -> bool {
        let mut any_removed = false;
        for (engine, engine_state) in &mut self.states {
            if engine_state.orders().is_empty() {
                continue;
            }
            if self.gone.contains(engine) {
                any_removed |= engine_state.remove_unsent();
            }
            // An engine that is not in the tables is treated as if it ignored fencing tokens,
            // which is the stricter rule.
            let fencing = tables
                .hosts
                .get(engine)
                .map_or(Fencing::Ignored, |host| host.fencing);
            any_removed |= engine_state.remove_finished_orders(fencing, fence, timings, now);
        }
        any_removed
    }
}
