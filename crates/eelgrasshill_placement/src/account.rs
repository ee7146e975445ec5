//! One engine's account: its latest report and every order that may still take effect.
//!
//! The room of an order is taken from the moment it is planned, and given back only when a
//! report, generated after the order can no longer take effect, says what became of it.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{Fencing, ModelName, Moment, Offset};

use crate::order::{horizon, is_over};
use crate::{Action, EngineReport, Intent, OpenOrder, Order, OrderId, OrderSpans, Stage};

/// The latest report of an engine and when it can have been generated at the earliest.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The report.
    pub report: EngineReport,
    /// The earliest moment of its generation.
    pub made: Moment,
    /// When it arrived.
    pub received: Moment,
}

/// One engine as the holder knows it.
#[derive(Clone, Debug, Default)]
pub struct Account {
    seen: Option<Seen>,
    orders: BTreeMap<OrderId, OpenOrder>,
}

impl Account {
    /// Returns the latest report.
    #[must_use]
    pub fn seen(&self) -> Option<&Seen> {
        self.seen.as_ref()
    }

    /// Returns the orders that may still take effect.
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

    /// Takes in a report that was surely generated after the one that is known.
    ///
    /// The true moment of generation lies between `made` and `received`, so comparing two
    /// values of `made` would let an older report replace a newer one.
    pub fn report(&mut self, report: EngineReport, made: Moment, received: Moment) {
        if self.seen.as_ref().is_some_and(|seen| made < seen.received) {
            return;
        }
        for open in self.orders.values_mut() {
            let shown = open
                .load()
                .is_some_and(|(model, version)| report.is_resident(model, version));
            if let Stage::Sent { last, .. } = open.stage
                && shown
            {
                open.stage = Stage::Shown { last };
            }
        }
        self.seen = Some(Seen {
            report,
            made,
            received,
        });
    }

    /// Takes in an order of this holder.
    pub fn open(&mut self, order: Order, stage: Stage) {
        self.orders.insert(order.id, OpenOrder { order, stage });
    }

    /// Forgets own orders and takes in a predecessor's.
    pub fn take_over(&mut self, intents: &[&Intent], now: Moment) {
        self.orders.clear();
        for intent in intents {
            self.open(intent.order.clone(), Stage::Foreign { since: now });
        }
    }

    /// Returns the latest report when it is young enough.
    #[must_use]
    pub fn fresh(&self, now: Moment, spans: &OrderSpans) -> Option<&EngineReport> {
        let seen = self.seen.as_ref()?;
        (now.since(seen.made) <= spans.silence).then_some(&seen.report)
    }

    /// Closes the orders that can take effect no more; returns whether there were any.
    pub fn close(
        &mut self,
        fencing: Fencing,
        fence: Offset,
        spans: &OrderSpans,
        now: Moment,
    ) -> bool {
        let before = self.orders.len();
        let Some(seen) = &self.seen else {
            return self.close_silent(spans, now);
        };
        self.orders
            .retain(|_id, open| !is_over(open, seen, fencing, fence, spans));
        if now.since(seen.made) > spans.silence {
            self.close_silent(spans, now);
        }
        self.orders.len() < before
    }

    /// Closes orders to an engine that is silent, once they are past the bound on lateness.
    ///
    /// The old report is dropped, so the engine counts as unknown until it reports again.
    fn close_silent(&mut self, spans: &OrderSpans, now: Moment) -> bool {
        let before = self.orders.len();
        self.orders
            .retain(|_id, open| horizon(open, spans).is_none_or(|end| now < end));
        let closed = self.orders.len() < before;
        if closed {
            self.seen = None;
        }
        closed
    }

    /// Returns the memory in MB that is or may come into use.
    #[must_use]
    pub fn charge(&self, adapter_memory: u64) -> u64 {
        let Some(seen) = &self.seen else {
            return u64::MAX;
        };
        let mut loads = BTreeMap::new();
        let mut adapters = BTreeSet::new();
        for open in self.orders.values() {
            match &open.order.action {
                Action::Load {
                    model,
                    version,
                    memory,
                } if !seen.report.holds(model, version) => {
                    let room = loads.entry((model, version)).or_insert(0_u64);
                    *room = (*room).max(*memory);
                }
                Action::LoadAdapter { model, adapter }
                    if !seen.report.has_adapter(model, adapter) =>
                {
                    adapters.insert((model, adapter));
                }
                _ => {}
            }
        }
        let adapters = u64::try_from(adapters.len()).unwrap_or(u64::MAX);
        seen.report.used + loads.values().sum::<u64>() + adapters.saturating_mul(adapter_memory)
    }

    /// Returns the number of loads that use or may come to use one of the store's slots.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.loads(|_open| true)
    }

    /// Returns the loads that run or are on their way, without those that came to nothing.
    pub(crate) fn running(&self) -> usize {
        self.loads(|open| !self.came_to_nothing(open))
    }

    /// Returns the slots of an engine that the host list calls gone.
    ///
    /// The list lags, so the engine may be back, and an order may reach it on its return.
    pub(crate) fn slots_if_gone(&self, spans: &OrderSpans, now: Moment) -> usize {
        if self.fresh(now, spans).is_some() {
            return self.slots();
        }
        let loads = self.orders.values().filter(|open| open.load().is_some());
        loads.filter(|open| open.outlives(spans, now)).count()
    }

    fn loads(&self, counts: impl Fn(&OpenOrder) -> bool) -> usize {
        let reports = self.seen.iter().flat_map(|seen| &seen.report.loading);
        let mut keys: BTreeSet<_> = reports.map(|m| (&m.model, m.version.as_str())).collect();
        let open = self.orders.values().filter(|open| counts(open));
        let open = open.filter_map(OpenOrder::load);
        keys.extend(open.filter(|(model, version)| !self.is_resident(model, version)));
        keys.len()
    }

    /// Removes orders that were never sent.
    pub(crate) fn cancel_unsent(&mut self) -> bool {
        let before = self.orders.len();
        self.orders
            .retain(|_id, open| !matches!(open.stage, Stage::Intended | Stage::Ready));
        self.orders.len() < before
    }

    /// Returns the number of adapters that are or may come in flight.
    #[must_use]
    pub fn adapters_flying(&self) -> usize {
        let flying = self
            .orders
            .values()
            .filter(|open| match &open.order.action {
                Action::LoadAdapter { model, adapter } => {
                    let seen = self.seen.as_ref();
                    !seen.is_some_and(|seen| seen.report.has_adapter(model, adapter))
                }
                _ => false,
            });
        flying.count()
    }

    fn is_resident(&self, model: &ModelName, version: &str) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|seen| seen.report.is_resident(model, version))
    }

    /// Returns whether a load was answered but a later report shows nothing of it.
    pub(crate) fn came_to_nothing(&self, open: &OpenOrder) -> bool {
        let Action::Load { model, version, .. } = &open.order.action else {
            return false;
        };
        let Some(seen) = &self.seen else {
            return false;
        };
        match open.stage {
            Stage::Answered { at, .. } => seen.made >= at && !seen.report.holds(model, version),
            Stage::Foreign { since } => seen.made >= since && !seen.report.holds(model, version),
            Stage::Shown { .. } => !seen.report.holds(model, version),
            Stage::Intended | Stage::Ready | Stage::Sent { .. } => false,
        }
    }

    /// Returns whether another open load of the same model and version is on its way.
    pub(crate) fn is_repeated(&self, open: &OpenOrder) -> bool {
        self.orders
            .values()
            .any(|other| other.order.action == open.order.action && !self.came_to_nothing(other))
    }

    /// Returns whether an open order may still change the model's residency here.
    #[must_use]
    pub fn is_moving(&self, model: &ModelName) -> bool {
        self.orders.values().any(|open| match &open.order.action {
            Action::Load { model: name, .. } | Action::Unload { model: name } => name == model,
            Action::LoadAdapter { .. } | Action::UnloadAdapter { .. } | Action::Seal => false,
        })
    }

    /// Returns whether an open unload may still remove the model here.
    #[must_use]
    pub fn is_leaving(&self, model: &ModelName) -> bool {
        let unload = |open: &OpenOrder| matches!(&open.order.action, Action::Unload { model: name } if name == model);
        self.orders.values().any(unload)
    }
}
