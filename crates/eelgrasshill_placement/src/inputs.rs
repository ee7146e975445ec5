//! What each event changes in a holder.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment, Offset, Tables};

use crate::holder::Holder;
use crate::{
    Assignment, Change, Effect, EngineReport, Entry, Event, OrderId, Outcome, Pace, Planner, Stage,
};

/// What a report's age may be cut short by when it is given in whole milliseconds.
const AGE_ROUNDING: Duration = Duration::from_millis(1);

impl Holder {
    pub(crate) fn take(&mut self, event: Event, now: Moment, effects: &mut Vec<Effect>) {
        match event {
            Event::LeaseRead(entries) => self.take_entries(&entries, now, effects),
            Event::ReadFailed => {
                self.log_failed = true;
                self.read_at = Some(now);
            }
            Event::AppendUnknown(_id) => self.log_failed = true,
            Event::AppendDone(_id, _offset) => self.read_at = None,
            Event::Report { report, asked } => self.take_report(report, asked, now, effects),
            Event::Tables(tables) => self.take_tables(tables, now),
            Event::Members {
                candidates,
                leaving,
                gone,
            } => {
                self.candidates = candidates;
                self.ledger.set_members(leaving, gone);
            }
            Event::Demand(demands) => self.demand.report(&demands, now),
            Event::Miss {
                model,
                adapter,
                bound,
            } => {
                if let Some(adapter) = &adapter {
                    self.adapters_used
                        .insert((model.clone(), adapter.clone()), now);
                }
                if self.misses.add(model, adapter, now.after(bound)) {
                    self.hurry = true;
                }
            }
            Event::Answer {
                engine,
                order,
                outcome,
            } => {
                self.take_answer(&engine, order, outcome, now, effects);
            }
            Event::Tick => {}
            Event::Drain => self.drain(now, effects),
        }
    }

    fn take_entries(&mut self, entries: &[Entry], now: Moment, effects: &mut Vec<Effect>) {
        self.log_failed = false;
        self.read_at = Some(now);
        for entry in entries {
            self.unread.remove(entry.id.as_str());
        }
        match self.lease.read(entries, now) {
            Some(Change::Became(fence)) => self.take_over(fence, now, effects),
            Some(Change::Lost) => self.stop(effects),
            None => {}
        }
        self.ready_orders();
    }

    fn take_over(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        log::info!(
            "placement: became holder of zone {} with fence {fence}",
            self.settings.zone
        );
        self.ledger
            .take_over(self.lease.fold().open().values(), now);
        self.planner = Planner::new(self.settings.demand);
        self.pace = Pace::new(self.share.interval, now);
        self.unread.clear();
        self.seals.clear();
        self.order_seq = 0;
        self.round_at = None;
        effects.push(Effect::Became(fence));
    }

    pub(crate) fn stop(&mut self, effects: &mut Vec<Effect>) {
        log::info!("placement: no longer holder of zone {}", self.settings.zone);
        self.unread.clear();
        effects.push(Effect::Lost);
    }

    fn take_report(
        &mut self,
        report: EngineReport,
        asked: Moment,
        now: Moment,
        effects: &mut Vec<Effect>,
    ) {
        let Some(host) = self.tables.hosts.get(&report.host) else {
            return;
        };
        let own = host.zone == self.settings.zone;
        let fence = self
            .lease
            .fence()
            .filter(|fence| own && report.fence > *fence);
        if fence.is_some() && self.lease.step_down().is_some() {
            self.stop(effects);
        }
        let age = Duration::from_millis(report.at) + AGE_ROUNDING;
        let made = Moment(
            asked
                .0
                .saturating_sub(u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        );
        let engine = report.host.clone();
        self.ledger.account_mut(&engine).report(report, made, now);
    }

    fn take_tables(&mut self, tables: Arc<Tables>, now: Moment) {
        let loading: Vec<_> = self
            .settings
            .zones
            .iter()
            .filter(|zone| self.settings.budget.share(zone, &self.settings.zones).slots > 0)
            .cloned()
            .collect();
        self.assignment = Assignment::new(&tables, &loading);
        self.tables = tables;
        self.tables_at = now;
        self.hurry = true;
    }

    fn take_answer(
        &mut self,
        engine: &HostName,
        order: OrderId,
        outcome: Outcome,
        now: Moment,
        effects: &mut Vec<Effect>,
    ) {
        match outcome {
            Outcome::Done => {
                let open = self.ledger.account_mut(engine).order_mut(order);
                if let Some(open) = open
                    && let Stage::Sent { last, .. } | Stage::Shown { last } = open.stage
                {
                    open.stage = Stage::Answered { last, at: now };
                }
            }
            Outcome::Failed => log::warn!("placement: engine {engine} failed order {order}"),
            Outcome::Refused(number) => {
                let old = self.lease.fence().is_some_and(|fence| fence < number);
                if old && self.lease.step_down().is_some() {
                    self.stop(effects);
                }
            }
        }
    }

    fn drain(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        if let Some(record) = self.lease.drain() {
            self.stop(effects);
            self.append(record, now, effects);
        }
    }
}
