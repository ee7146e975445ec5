//! Applies each event to the state of the controller.
//!
//! A fencing token above the host's own, in a report or in a refused order, proves that a
//! successor exists; the host then gives up its term without waiting for the log.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment, Offset, Tables};

use crate::controller::Controller;
use crate::{
    Assignment, Effect, EngineReport, Event, LeaseChange, LeaseEntry, LoadPacer, OrderId,
    OrderOutcome, OrderStage, Planner,
};

/// Largest error in a report's age, which is truncated to whole milliseconds.
const AGE_ROUNDING: Duration = Duration::from_millis(1);

impl Controller {
    pub(crate) fn apply(&mut self, event: Event, now: Moment, effects: &mut Vec<Effect>) {
        match event {
            Event::LeaseRead(entries) => self.apply_entries(&entries, now, effects),
            Event::ReadFailed => {
                self.log_failed = true;
                self.last_read_at = Some(now);
            }
            Event::AppendUnknown(_id) => self.log_failed = true,
            // The stream is read at once to confirm the record.
            Event::AppendDone(_id, _offset) => self.last_read_at = None,
            Event::Report {
                report,
                requested_at,
            } => self.apply_report(report, requested_at, now, effects),
            Event::Tables(tables) => self.apply_tables(tables, now),
            Event::Members {
                candidates,
                leaving,
                gone,
            } => {
                self.candidates = candidates;
                self.engine_states.set_members(leaving, gone);
            }
            Event::Demand(demands) => self.demand.update(&demands, now),
            Event::Miss {
                model,
                adapter,
                max_wait,
            } => {
                if let Some(adapter) = &adapter {
                    self.adapter_requests
                        .insert((model.clone(), adapter.clone()), now);
                }
                if self.misses.add(model, adapter, now.after(max_wait)) {
                    self.replan_soon = true;
                }
            }
            Event::Answer {
                engine,
                order,
                outcome,
            } => {
                self.apply_answer(&engine, order, outcome, now, effects);
            }
            Event::Tick => {}
            Event::Drain => self.drain(now, effects),
        }
    }

    fn apply_entries(&mut self, entries: &[LeaseEntry], now: Moment, effects: &mut Vec<Effect>) {
        self.log_failed = false;
        self.last_read_at = Some(now);
        for entry in entries {
            self.unconfirmed.remove(entry.id.as_str());
        }
        match self.lease.apply_entries(entries, now) {
            Some(LeaseChange::Acquired(fence)) => self.start_term(fence, now, effects),
            Some(LeaseChange::Lost) => self.end_term(effects),
            None => {}
        }
        self.mark_ready();
    }

    fn start_term(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        log::info!(
            "placement: acquired the lease of zone {} with fence {fence}",
            self.settings.zone
        );
        self.engine_states
            .start_term(self.lease.state().open_intents().values(), now);
        self.planner = Planner::new(self.settings.demand);
        self.load_pacer = LoadPacer::new(self.share.load_interval, now);
        self.unconfirmed.clear();
        self.seals_sent.clear();
        // Order ids contain the fencing token, so they stay unique.
        self.order_seq = 0;
        self.last_planned_at = None;
        effects.push(Effect::Acquired(fence));
    }

    pub(crate) fn end_term(&mut self, effects: &mut Vec<Effect>) {
        log::info!(
            "placement: no longer holds the lease of zone {}",
            self.settings.zone
        );
        self.unconfirmed.clear();
        effects.push(Effect::Lost);
    }

    fn apply_report(
        &mut self,
        report: EngineReport,
        requested_at: Moment,
        now: Moment,
        effects: &mut Vec<Effect>,
    ) {
        // The tables may no longer list an engine that was polled before.
        let Some(host) = self.tables.hosts.get(&report.host) else {
            return;
        };
        let in_zone = host.zone == self.settings.zone;
        let outdated_fence = self
            .lease
            .fence()
            .filter(|fence| in_zone && report.fence > *fence);
        if outdated_fence.is_some() && self.lease.step_down().is_some() {
            self.end_term(effects);
        }
        let age = Duration::from_millis(report.age_ms) + AGE_ROUNDING;
        let generated_after = Moment(
            requested_at
                .0
                .saturating_sub(u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        );
        let engine = report.host.clone();
        self.engine_states
            .engine_state_mut(&engine)
            .apply_report(report, generated_after, now);
    }

    fn apply_tables(&mut self, tables: Arc<Tables>, now: Moment) {
        let loading_zones: Vec<_> = self
            .settings
            .zones
            .iter()
            .filter(|zone| {
                self.settings
                    .budget
                    .share(zone, &self.settings.zones)
                    .load_slots
                    > 0
            })
            .cloned()
            .collect();
        self.assignment = Assignment::new(&tables, &loading_zones);
        self.tables = tables;
        self.tables_changed_at = now;
        self.replan_soon = true;
    }

    fn apply_answer(
        &mut self,
        engine: &HostName,
        order: OrderId,
        outcome: OrderOutcome,
        now: Moment,
        effects: &mut Vec<Effect>,
    ) {
        match outcome {
            OrderOutcome::Done => {
                let open_order = self.engine_states.engine_state_mut(engine).order_mut(order);
                if let Some(open_order) = open_order
                    && let OrderStage::Sent { last, .. } | OrderStage::Observed { last } =
                        open_order.stage
                {
                    open_order.stage = OrderStage::Answered { last, at: now };
                }
            }
            OrderOutcome::Failed => log::warn!(
                "placement: order {order} failed on {engine}; it is sent again for up to {:?}",
                self.settings.orders.resend_window
            ),
            OrderOutcome::Refused(highest) => {
                let is_outdated = self.lease.fence().is_some_and(|fence| fence < highest);
                if is_outdated && self.lease.step_down().is_some() {
                    self.end_term(effects);
                }
            }
        }
    }

    fn drain(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        if let Some(record) = self.lease.drain() {
            self.end_term(effects);
            self.append(record, now, effects);
        }
    }
}
