//! The known state of one engine: its latest report and its open orders.
//!
//! It decides how much memory and how many load slots the engine occupies. The memory of an
//! order is reserved as soon as the order is planned. It is released only when a report shows the
//! result and was generated after the latest time at which the order could take effect.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{Fencing, ModelName, Moment, Offset};

use crate::order::{is_finished, latest_effect_time};
use crate::{Action, EngineReport, Intent, OpenOrder, Order, OrderId, OrderStage, OrderTimings};

/// The latest report of an engine and when it was generated.
#[derive(Clone, Debug)]
pub struct LatestReport {
    /// The report as the engine sent it.
    pub report: EngineReport,
    /// Earliest time at which the report can have been generated.
    pub generated_after: Moment,
    /// Time at which the report arrived.
    pub received_at: Moment,
}

/// The latest report and the open orders of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineState {
    latest: Option<LatestReport>,
    orders: BTreeMap<OrderId, OpenOrder>,
}

impl EngineState {
    /// Returns the latest report, if the engine has reported.
    #[must_use]
    pub fn latest_report(&self) -> Option<&LatestReport> {
        self.latest.as_ref()
    }

    /// Returns the open orders, which may still take effect.
    #[must_use]
    pub fn orders(&self) -> &BTreeMap<OrderId, OpenOrder> {
        &self.orders
    }

    pub(crate) fn orders_mut(&mut self) -> impl Iterator<Item = &mut OpenOrder> {
        self.orders.values_mut()
    }

    pub(crate) fn order_mut(&mut self, id: OrderId) -> Option<&mut OpenOrder> {
        self.orders.get_mut(&id)
    }

    /// Stores a report if it was certainly generated after the stored one.
    ///
    /// A report is generated between `generated_after` and `received_at`, so comparing two values
    /// of `generated_after` could let an older report replace a newer one.
    pub fn apply_report(
        &mut self,
        report: EngineReport,
        generated_after: Moment,
        received_at: Moment,
    ) {
        if self
            .latest
            .as_ref()
            .is_some_and(|latest| generated_after < latest.received_at)
        {
            return;
        }
        for open_order in self.orders.values_mut() {
            let observed = open_order
                .load()
                .is_some_and(|(model, version)| report.is_resident(model, version));
            if let OrderStage::Sent { last, .. } = open_order.stage
                && observed
            {
                open_order.stage = OrderStage::Observed { last };
            }
        }
        self.latest = Some(LatestReport {
            report,
            generated_after,
            received_at,
        });
    }

    /// Adds an open order.
    pub fn add_order(&mut self, order: Order, stage: OrderStage) {
        self.orders.insert(order.id, OpenOrder { order, stage });
    }

    /// Replaces all open orders by those that previous holders logged.
    pub fn start_term(&mut self, intents: &[&Intent], now: Moment) {
        self.orders.clear();
        for intent in intents {
            self.add_order(intent.order.clone(), OrderStage::Inherited { since: now });
        }
    }

    /// Returns the latest report unless it is older than the report timeout.
    #[must_use]
    pub fn fresh_report(&self, now: Moment, timings: &OrderTimings) -> Option<&EngineReport> {
        let latest = self.latest.as_ref()?;
        (now.since(latest.generated_after) <= timings.report_timeout).then_some(&latest.report)
    }

    /// Removes the finished orders and returns whether there were any.
    pub fn remove_finished_orders(
        &mut self,
        fencing: Fencing,
        fence: Offset,
        timings: &OrderTimings,
        now: Moment,
    ) -> bool {
        let count_before = self.orders.len();
        let Some(latest) = &self.latest else {
            return self.remove_expired_orders(timings, now);
        };
        self.orders
            .retain(|_id, open_order| !is_finished(open_order, latest, fencing, fence, timings));
        if now.since(latest.generated_after) > timings.report_timeout {
            self.remove_expired_orders(timings, now);
        }
        self.orders.len() < count_before
    }

    /// Removes the orders to a silent engine that are past the maximum lateness.
    ///
    /// If it removes any, it also drops the old report: the engine's state is then unknown until
    /// it reports again. Returns whether it removed any.
    fn remove_expired_orders(&mut self, timings: &OrderTimings, now: Moment) -> bool {
        let count_before = self.orders.len();
        self.orders.retain(|_id, open_order| {
            latest_effect_time(open_order, timings).is_none_or(|end| now < end)
        });
        let any_removed = self.orders.len() < count_before;
        if any_removed {
            self.latest = None;
        }
        any_removed
    }

    /// Returns the memory, in MB, that is used or may still become used.
    #[must_use]
    pub fn used_or_reserved_mb(&self, adapter_memory_mb: u64) -> u64 {
        let Some(latest) = &self.latest else {
            // Without a report no memory is known to be free.
            return u64::MAX;
        };
        let mut load_memory_mb = BTreeMap::new();
        let mut adapters = BTreeSet::new();
        for open_order in self.orders.values() {
            match &open_order.order.action {
                Action::Load {
                    model,
                    version,
                    memory,
                } if !latest.report.holds(model, version) => {
                    let model_memory_mb = load_memory_mb.entry((model, version)).or_insert(0_u64);
                    *model_memory_mb = (*model_memory_mb).max(*memory);
                }
                Action::LoadAdapter { model, adapter }
                    if !latest.report.has_adapter(model, adapter) =>
                {
                    adapters.insert((model, adapter));
                }
                _ => {}
            }
        }
        let adapter_count = u64::try_from(adapters.len()).unwrap_or(u64::MAX);
        latest.report.used_mb
            + load_memory_mb.values().sum::<u64>()
            + adapter_count.saturating_mul(adapter_memory_mb)
    }

    /// Returns the number of load slots that are used or may still become used.
    #[must_use]
    pub fn load_slots(&self) -> usize {
        self.count_loads(|_open| true)
    }

    /// Returns the number of loads that run or may still start, without missing loads.
    pub(crate) fn active_loads(&self) -> usize {
        self.count_loads(|open_order| !self.load_is_missing(open_order))
    }

    /// Returns the number of load slots if the engine is no longer in the host list.
    ///
    /// The list lags, so the engine may be running again, and an order may reach its new process.
    pub(crate) fn load_slots_if_gone(&self, timings: &OrderTimings, now: Moment) -> usize {
        if self.fresh_report(now, timings).is_some() {
            return self.load_slots();
        }
        let loads = self
            .orders
            .values()
            .filter(|open_order| open_order.load().is_some());
        loads
            .filter(|open_order| open_order.may_reach_restarted(timings, now))
            .count()
    }

    fn count_loads(&self, is_counted: impl Fn(&OpenOrder) -> bool) -> usize {
        let reports = self.latest.iter().flat_map(|latest| &latest.report.loading);
        let mut keys: BTreeSet<_> = reports
            .map(|load| (&load.model, load.version.as_str()))
            .collect();
        let open_orders = self
            .orders
            .values()
            .filter(|open_order| is_counted(open_order));
        let ordered_loads = open_orders.filter_map(OpenOrder::load);
        keys.extend(ordered_loads.filter(|(model, version)| !self.is_resident(model, version)));
        keys.len()
    }

    /// Removes the orders that were never sent and returns whether there were any.
    pub(crate) fn remove_unsent(&mut self) -> bool {
        let count_before = self.orders.len();
        self.orders.retain(|_id, open_order| {
            !matches!(open_order.stage, OrderStage::Planned | OrderStage::Ready)
        });
        self.orders.len() < count_before
    }

    /// Returns the number of adapters that are being loaded or may still be.
    #[must_use]
    pub fn adapters_loading(&self) -> usize {
        let loading = self
            .orders
            .values()
            .filter(|open_order| match &open_order.order.action {
                Action::LoadAdapter { model, adapter } => {
                    let latest = self.latest.as_ref();
                    !latest.is_some_and(|latest| latest.report.has_adapter(model, adapter))
                }
                _ => false,
            });
        loading.count()
    }

    fn is_resident(&self, model: &ModelName, version: &str) -> bool {
        self.latest
            .as_ref()
            .is_some_and(|latest| latest.report.is_resident(model, version))
    }

    /// Returns whether the latest report lacks the copy of an earlier load.
    ///
    /// The load was answered before the report was generated, or an earlier report showed the
    /// copy, or an earlier holder logged the load and the report was generated in this term. The
    /// load may still start when the order is delivered late.
    pub(crate) fn load_is_missing(&self, open_order: &OpenOrder) -> bool {
        let Action::Load { model, version, .. } = &open_order.order.action else {
            return false;
        };
        let Some(latest) = &self.latest else {
            return false;
        };
        match open_order.stage {
            OrderStage::Answered { at, .. } => {
                latest.generated_after >= at && !latest.report.holds(model, version)
            }
            OrderStage::Inherited { since } => {
                latest.generated_after >= since && !latest.report.holds(model, version)
            }
            OrderStage::Observed { .. } => !latest.report.holds(model, version),
            OrderStage::Planned | OrderStage::Ready | OrderStage::Sent { .. } => false,
        }
    }

    /// Returns whether an open order for the same load is not missing.
    pub(crate) fn has_active_duplicate(&self, open_order: &OpenOrder) -> bool {
        self.orders.values().any(|other| {
            other.order.action == open_order.order.action && !self.load_is_missing(other)
        })
    }

    /// Returns whether an open order may still load or unload the model.
    #[must_use]
    pub fn is_changing(&self, model: &ModelName) -> bool {
        self.orders
            .values()
            .any(|open_order| match &open_order.order.action {
                Action::Load { model: name, .. } | Action::Unload { model: name } => name == model,
                Action::LoadAdapter { .. } | Action::UnloadAdapter { .. } | Action::Seal => false,
            })
    }

    /// Returns whether an open order may still unload the model.
    #[must_use]
    pub fn is_unloading(&self, model: &ModelName) -> bool {
        let unload = |open_order: &OpenOrder| matches!(&open_order.order.action, Action::Unload { model: name } if name == model);
        self.orders.values().any(unload)
    }
}
