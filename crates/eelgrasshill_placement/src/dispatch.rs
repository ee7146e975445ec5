//! Issues the orders of the lease holder.
//!
//! While the lease is valid, the holder raises the fencing token of each engine, removes
//! finished orders, plans, and sends the orders whose intents are in the log.
//!
//! When the lease expires during a log outage, the holder continues with the engines that check
//! fencing tokens. It plans only if every such engine has confirmed its token and still reports,
//! and it sends orders without a logged intent.

use eelgrasshill_domain::{FastSet, Fencing, HostName, Moment, Offset};

use crate::controller::Controller;
use crate::misses::MissOutcome;
use crate::{Action, Effect, LeaseRecord, Order, OrderId, OrderStage};

impl Controller {
    /// Issues all orders that are due if this host holds the lease.
    pub(crate) fn issue_orders(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let Some(fence) = self.lease.fence() else {
            self.finish_misses(now, effects);
            return;
        };
        if self.lease.is_valid(now) || self.is_log_outage(now) {
            self.seal_engines(fence, now, effects);
            self.remove_finished_orders(fence, now, effects);
            self.plan(fence, now, effects);
            self.send_due_orders(fence, now, effects);
        }
        self.finish_misses(now, effects);
    }

    /// Returns whether this host's lease expired while the log is unavailable.
    ///
    /// The host then continues with engines that check fencing tokens: they reject its orders once
    /// they have seen the higher token of a successor.
    pub(crate) fn is_log_outage(&self, now: Moment) -> bool {
        self.log_failed && self.lease.fence().is_some() && !self.lease.is_valid(now)
    }

    /// Returns whether orders may be sent to an engine.
    ///
    /// After the lease has expired, this is the case only during a log outage and for engines that
    /// check fencing tokens.
    pub(crate) fn may_order(&self, engine: &HostName, now: Moment) -> bool {
        let checks_fence = self
            .tables
            .hosts
            .get(engine)
            .is_some_and(|host| host.fencing == Fencing::Checked);
        self.lease.is_valid(now) || (checks_fence && self.is_log_outage(now))
    }

    /// Sends the fencing token to each engine that has not confirmed it yet.
    fn seal_engines(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        let timings = &self.settings.orders;
        let unsealed: Vec<_> = self
            .engine_states
            .unsealed(&self.tables, &self.settings.zone, fence)
            .cloned()
            .collect();
        for engine in unsealed {
            let last_sent = self.seals_sent.get(&engine);
            if last_sent.is_some_and(|at| now.since(*at) < timings.resend_interval) {
                continue;
            }
            self.order_seq += 1;
            let id = OrderId {
                fence,
                seq: self.order_seq,
            };
            self.seals_sent.insert(engine.clone(), now);
            let order = Order {
                id,
                fence,
                action: Action::Seal,
            };
            effects.push(Effect::Send { engine, order });
        }
    }

    fn remove_finished_orders(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        if self.engine_states.remove_finished_orders(
            &self.tables,
            fence,
            &self.settings.orders,
            now,
        ) {
            // Memory or a load slot may have become free.
            self.replan_soon = true;
        }
        let due = self.is_planning_due(now);
        if due && !self.lease.state().open_intents().is_empty() {
            self.append_resolved(fence, now, effects);
        }
    }

    /// Logs which orders are finished, so that a successor can ignore them.
    fn append_resolved(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        let open_ids = self.engine_states.open_order_ids();
        let being_resolved = self
            .unconfirmed
            .values()
            .filter_map(|unconfirmed| match &unconfirmed.record {
                LeaseRecord::Resolved { orders, .. } => Some(orders),
                _ => None,
            });
        let being_resolved: FastSet<_> = being_resolved.flatten().collect();
        let open_in_log = self.lease.state().open_intents().keys();
        let orders = open_in_log
            .filter(|id| !open_ids.contains(*id) && !being_resolved.contains(*id))
            .copied();
        let orders: Vec<_> = orders.collect();
        if !orders.is_empty() {
            self.append(LeaseRecord::Resolved { fence, orders }, now, effects);
        }
    }

    /// Marks the orders as ready whose intents have been read back from the log.
    pub(crate) fn mark_ready(&mut self) {
        let open_intents = self.lease.state().open_intents();
        for (_engine, engine_state) in self.engine_states.iter_mut() {
            for open_order in engine_state.orders_mut() {
                if open_order.stage == OrderStage::Planned
                    && open_intents.contains_key(&open_order.order.id)
                {
                    open_order.stage = OrderStage::Ready;
                }
            }
        }
    }

    fn send_due_orders(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        let is_valid = self.lease.is_valid(now);
        let timings = self.settings.orders;
        for (engine, engine_state) in self.engine_states.present_states_mut() {
            let checks_fence = self
                .tables
                .hosts
                .get(engine)
                .is_some_and(|host| host.fencing == Fencing::Checked);
            if !is_valid && !checks_fence {
                continue;
            }
            for open_order in engine_state.orders_mut() {
                let stage = match open_order.stage {
                    // The intent can't be read back during a log outage. An engine that checks
                    // fencing tokens may get the order without it.
                    OrderStage::Planned if !is_valid => OrderStage::Ready,
                    stage => stage,
                };
                let first = match stage {
                    OrderStage::Ready
                        if open_order.order.action.is_load() && !self.load_pacer.try_start(now) =>
                    {
                        continue;
                    }
                    OrderStage::Ready => now,
                    OrderStage::Sent { first, last }
                        if now.since(last) >= timings.resend_interval
                            && now.since(first) < timings.resend_window =>
                    {
                        first
                    }
                    OrderStage::Planned
                    | OrderStage::Sent { .. }
                    | OrderStage::Observed { .. }
                    | OrderStage::Answered { .. }
                    | OrderStage::Inherited { .. } => continue,
                };
                open_order.stage = OrderStage::Sent { first, last: now };
                open_order.order.fence = fence;
                let order = open_order.order.clone();
                effects.push(Effect::Send {
                    engine: engine.clone(),
                    order,
                });
            }
        }
    }

    fn finish_misses(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let engine_states = &self.engine_states;
        let (tables, zone, timings) = (&self.tables, &self.settings.zone, &self.settings.orders);
        let finished = self.misses.take_finished(now, |model, adapter| {
            tables
                .hosts
                .iter()
                .filter(|(_name, host)| host.zone == *zone)
                .any(|(name, _host)| {
                    let report = engine_states
                        .engine_state(name)
                        .and_then(|engine_state| engine_state.fresh_report(now, timings));
                    report.is_some_and(|report| match adapter {
                        Some(adapter) => report.has_adapter(model, adapter),
                        None => report
                            .resident
                            .iter()
                            .any(|resident| resident.model == *model),
                    })
                })
        });
        for (model, adapter, outcome) in finished {
            effects.push(match outcome {
                MissOutcome::Met => Effect::MissMet { model, adapter },
                MissOutcome::Expired => Effect::MissExpired { model, adapter },
            });
        }
    }
}
