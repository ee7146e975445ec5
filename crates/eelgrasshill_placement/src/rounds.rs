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
use crate::{Effect, Intent, LeaseRecord, Order, OrderId, PlannedAction, Stage};

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
        self.planned_at.is_none_or(|at| now.since(at) >= interval)
    }

    /// Returns whether no load of an earlier holder can still start unnoticed.
    fn is_sealed(&self, fence: Offset, now: Moment) -> bool {
        let timings = &self.settings.orders;
        let mut unsealed = self
            .fleet
            .unsealed(&self.tables, &self.settings.zone, fence);
        unsealed
            .all(|engine| !self.is_log_outage(now) && self.fleet.is_silent(engine, timings, now))
    }

    /// Returns whether all engines that check fencing tokens still report.
    ///
    /// While the log is unavailable, only then is it certain that no successor gives orders.
    fn is_undisputed(&self, now: Moment) -> bool {
        let timings = &self.settings.orders;
        let mut engines = self.tables.hosts.iter().filter(|(name, host)| {
            host.zone == self.settings.zone
                && host.fencing == Fencing::Checked
                && self.tables.is_engine_pool(&host.pool)
                && !self.fleet.is_leaving(name)
        });
        engines.all(|(name, _host)| !self.fleet.is_silent(name, timings, now))
    }

    pub(crate) fn plan(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        if !self.is_planning_due(now) {
            return;
        }
        let outage = self.is_log_outage(now);
        if !self.is_sealed(fence, now) || (outage && !self.is_undisputed(now)) {
            return;
        }
        self.planned_at = Some(now);
        self.replan_soon = false;
        let actions: Vec<_> = self.plan_actions(fence, now);
        let actions = actions
            .into_iter()
            .filter(|planned| self.may_order(&planned.engine, now));
        let actions: Vec<_> = actions.collect();
        self.record_intents(actions, fence, outage, now, effects);
    }

    fn plan_actions(&mut self, fence: Offset, now: Moment) -> Vec<PlannedAction> {
        let settings = &self.settings;
        let timings = &settings.orders;
        let slot_share = usize::try_from(self.share.slots).unwrap_or(0);
        let used_slots = self
            .fleet
            .load_slots(&self.tables, &settings.zone, timings, now);
        let active_loads = self
            .fleet
            .active_loads(&self.tables, &settings.zone, timings, now);
        let slots = LoadSlots {
            new: slot_share.saturating_sub(used_slots),
            repeated: slot_share.saturating_sub(active_loads),
        };
        let loading_adapters = self.fleet.adapters_loading(&self.tables, &settings.zone);
        let adapter_slots = usize::try_from(self.share.adapters)
            .unwrap_or(0)
            .saturating_sub(loading_adapters);
        let mut view = ZoneView::new(ViewInput {
            zone: &settings.zone,
            tables: &self.tables,
            assignment: &self.assignment,
            fleet: &self.fleet,
            timings: &settings.orders,
            adapter_memory: settings.adapter_memory,
            fence,
            settled: now.since(self.tables_since) >= settings.orders.settle_delay,
            now,
        });
        let missed = self.misses.models();
        let mut actions = self
            .planner
            .round(&mut view, &self.demand, &missed, slots, now);
        let round = AdapterRound {
            requested: self.misses.adapters(),
            last_requested: &self.adapter_requests,
            slots: adapter_slots,
            memory: settings.adapter_memory,
        };
        actions.extend(round.plan(&mut view));
        actions
    }

    fn record_intents(
        &mut self,
        actions: Vec<PlannedAction>,
        fence: Offset,
        outage: bool,
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
            let stage = if outage { Stage::Ready } else { Stage::Planned };
            self.fleet
                .engine_state_mut(&engine)
                .add_order(order.clone(), stage);
            intents.push(Intent { engine, order });
        }
        if !outage {
            self.append(LeaseRecord::Intent { fence, intents }, now, effects);
        }
    }
}
