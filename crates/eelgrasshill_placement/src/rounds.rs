//! Runs planning rounds and logs the resulting orders as intents.
//!
//! A round runs at a fixed interval, or earlier after a change. It waits until every engine that
//! checks fencing tokens has confirmed the holder's token or is silent, so that no load of an
//! earlier holder can start unnoticed.

use std::time::Duration;

use eelgrasshill_domain::{Fencing, Moment, Offset};

use crate::adapters::AdapterRound;
use crate::controller::Controller;
use crate::planner::LoadSlots;
use crate::view::{ViewInput, ZoneView};
use crate::{Effect, Intent, LeaseRecord, Order, OrderId, OrderStage, PlannedAction};

/// Shortest time between two planning rounds.
const MIN_PLANNING_INTERVAL: Duration = Duration::from_millis(200);

impl Controller {
    /// Returns whether a planning round is due.
    pub(crate) fn is_planning_due(&self, now: Moment) -> bool {
        let interval = if self.replan_soon {
            MIN_PLANNING_INTERVAL
        } else {
            self.settings.orders.planning_interval
        };
        self.last_planned_at
            .is_none_or(|at| now.since(at) >= interval)
    }

    /// Returns whether no load of an earlier holder can still start unnoticed.
    ///
    /// Every engine that checks fencing tokens must have confirmed the token. Outside a log outage
    /// it may be silent instead.
    fn all_sealed_or_silent(&self, fence: Offset, now: Moment) -> bool {
        let timings = &self.settings.orders;
        let mut unsealed = self
            .engine_states
            .unsealed(&self.tables, &self.settings.zone, fence);
        unsealed.all(|engine| {
            !self.is_log_outage(now) && self.engine_states.is_silent(engine, timings, now)
        })
    }

    /// Returns whether all engines that check fencing tokens still report.
    ///
    /// During a log outage a successor would be noticed only by its higher token in a report, so
    /// planning goes on only while all these engines report.
    fn all_checking_engines_report(&self, now: Moment) -> bool {
        let timings = &self.settings.orders;
        let mut engines = self.tables.hosts.iter().filter(|(name, host)| {
            host.zone == self.settings.zone
                && host.fencing == Fencing::Checked
                && self.tables.is_engine_pool(&host.pool)
                && !self.engine_states.is_leaving(name)
        });
        engines.all(|(name, _host)| !self.engine_states.is_silent(name, timings, now))
    }

    pub(crate) fn plan(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        if !self.is_planning_due(now) {
            return;
        }
        let is_outage = self.is_log_outage(now);
        if !self.all_sealed_or_silent(fence, now)
            || (is_outage && !self.all_checking_engines_report(now))
        {
            return;
        }
        self.last_planned_at = Some(now);
        self.replan_soon = false;
        let actions: Vec<_> = self.plan_actions(fence, now);
        let actions = actions
            .into_iter()
            .filter(|planned| self.may_order(&planned.engine, now));
        let actions: Vec<_> = actions.collect();
        self.record_intents(actions, fence, is_outage, now, effects);
    }

    fn plan_actions(&mut self, fence: Offset, now: Moment) -> Vec<PlannedAction> {
        let settings = &self.settings;
        let timings = &settings.orders;
        let load_slot_share = usize::try_from(self.share.load_slots).unwrap_or(0);
        let used_load_slots =
            self.engine_states
                .load_slots(&self.tables, &settings.zone, timings, now);
        let active_loads =
            self.engine_states
                .active_loads(&self.tables, &settings.zone, timings, now);
        let slots = LoadSlots {
            for_new_loads: load_slot_share.saturating_sub(used_load_slots),
            for_repeats: load_slot_share.saturating_sub(active_loads),
        };
        let loading_adapters = self
            .engine_states
            .adapters_loading(&self.tables, &settings.zone);
        let adapter_slots = usize::try_from(self.share.adapter_slots)
            .unwrap_or(0)
            .saturating_sub(loading_adapters);
        let mut view = ZoneView::new(ViewInput {
            zone: &settings.zone,
            tables: &self.tables,
            assignment: &self.assignment,
            engine_states: &self.engine_states,
            timings: &settings.orders,
            adapter_memory_mb: settings.adapter_memory_mb,
            fence,
            relies_on_other_zones: now.since(self.tables_changed_at)
                >= settings.orders.settle_delay,
            now,
        });
        let missed = self.misses.models();
        let mut actions = self
            .planner
            .round(&mut view, &self.demand, &missed, slots, now);
        let round = AdapterRound {
            requested: self.misses.adapters(),
            last_requested: &self.adapter_requests,
            adapter_slots,
            adapter_memory_mb: settings.adapter_memory_mb,
        };
        actions.extend(round.plan(&mut view));
        actions
    }

    fn record_intents(
        &mut self,
        actions: Vec<PlannedAction>,
        fence: Offset,
        is_outage: bool,
        now: Moment,
        effects: &mut Vec<Effect>,
    ) {
        if actions.is_empty() {
            return;
        }
        let mut intents = Vec::with_capacity(actions.len());
        for PlannedAction { engine, action } in actions {
            self.order_seq += 1;
            let id = OrderId {
                fence,
                seq: self.order_seq,
            };
            let order = Order { id, fence, action };
            // During a log outage the intent cannot be read back.
            let stage = if is_outage {
                OrderStage::Ready
            } else {
                OrderStage::Planned
            };
            self.engine_states
                .engine_state_mut(&engine)
                .add_order(order.clone(), stage);
            intents.push(Intent { engine, order });
        }
        if !is_outage {
            self.append(LeaseRecord::Intent { fence, intents }, now, effects);
        }
    }
}
