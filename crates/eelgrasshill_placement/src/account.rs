//! One engine's account: its latest report and every order that may still take effect.
//!
//! The room of an order is taken from the moment it is planned. It is given back only when a
//! report, generated after the order can no longer take effect, says what became of it:
//!
//! - an engine that checks fencing numbers: a report that shows the holder's own number proves
//!   that no order of a predecessor can still arrive; an own order is over once it was answered
//!   and a report was generated after that answer, since the engine ignores an id already done;
//! - an engine that ignores them: an order may arrive, or arrive again, until the stated bound
//!   on lateness has passed since its last send, and is over with the first report after that.
//!   Until then no order of the opposite kind is made for the same model, so a late repeat of a
//!   load can't follow its unload, nor a late unload a new load. A new load of the same model
//!   and version shares the room and the store's slot of the old one.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{Fencing, ModelName, Moment, Offset};

use crate::{Action, EngineReport, Intent, Order, OrderId, OrderSpans};

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its intent is not yet known to be in the log.
    Intended,
    /// It may be sent.
    Ready,
    /// It was sent, and no answer has come.
    Sent {
        /// When it first left.
        first: Moment,
        /// When it last left.
        last: Moment,
    },
    /// The engine answered that it took effect.
    Answered {
        /// When it last left.
        last: Moment,
        /// When the answer came.
        at: Moment,
    },
    /// A predecessor may have sent it.
    Foreign {
        /// When this host took over.
        since: Moment,
    },
}

/// An order that may still take effect.
#[derive(Clone, Debug)]
pub struct OpenOrder {
    /// The order.
    pub order: Order,
    /// How far it has come.
    pub stage: Stage,
}

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

    /// Returns the loads that use or may come to use one of the store's slots.
    #[must_use]
    pub fn slots(&self) -> usize {
        let report = self.seen.as_ref().map(|seen| &seen.report);
        let running = report
            .into_iter()
            .flat_map(|r| &r.loading)
            .map(|m| (&m.model, m.version.as_str()));
        let mut keys: BTreeSet<_> = running.collect();
        keys.extend(self.unseen_loads());
        keys.len()
    }

    /// Returns the open loads whose model is not resident.
    pub(crate) fn unseen_loads(&self) -> impl Iterator<Item = (&ModelName, &str)> {
        self.orders
            .values()
            .filter_map(|open| match &open.order.action {
                Action::Load { model, version, .. } if !self.is_resident(model, version) => {
                    Some((model, version.as_str()))
                }
                _ => None,
            })
    }

    /// Returns the loads that run or are on their way, without those that came to nothing.
    pub(crate) fn running(&self) -> usize {
        let Some(seen) = &self.seen else {
            return self.slots();
        };
        let running = seen
            .report
            .loading
            .iter()
            .map(|m| (&m.model, m.version.as_str()));
        let mut keys: BTreeSet<_> = running.collect();
        let coming = self
            .orders
            .values()
            .filter(|open| !self.came_to_nothing(open));
        keys.extend(coming.filter_map(|open| match &open.order.action {
            Action::Load { model, version, .. } if !self.is_resident(model, version) => {
                Some((model, version.as_str()))
            }
            _ => None,
        }));
        keys.len()
    }

    /// Returns the store's slots that an engine which is gone may come to use on its return.
    ///
    /// Loads that ran ended with its process. An order that was sent to that process doesn't
    /// outlive it by more than the span for which orders are repeated.
    pub(crate) fn slots_after_return(&self, spans: &OrderSpans, now: Moment) -> usize {
        let loads = self
            .orders
            .values()
            .filter(|open| open.order.action.is_load());
        let waiting = loads.filter(|open| match open.stage {
            Stage::Intended | Stage::Ready => true,
            Stage::Sent { last, .. } => now.since(last) < spans.window,
            Stage::Foreign { since } => now.since(since) < spans.window,
            Stage::Answered { .. } => false,
        });
        waiting.count()
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

/// Returns the moment from which an order can't take effect for the first time any more.
fn horizon(open: &OpenOrder, spans: &OrderSpans) -> Option<Moment> {
    match open.stage {
        Stage::Intended | Stage::Ready => None,
        Stage::Sent { last, .. } | Stage::Answered { last, .. } => Some(last.after(spans.lateness)),
        Stage::Foreign { since } => Some(since.after(spans.lateness)),
    }
}

fn is_over(
    open: &OpenOrder,
    seen: &Seen,
    fencing: Fencing,
    fence: Offset,
    spans: &OrderSpans,
) -> bool {
    let late = horizon(open, spans).is_some_and(|end| seen.made >= end);
    match (fencing, open.stage) {
        (_, Stage::Intended | Stage::Ready) => false,
        (Fencing::Checked, Stage::Foreign { .. }) => late || seen.report.fence >= fence,
        (Fencing::Checked, Stage::Answered { at, .. }) => late || seen.made >= at,
        (Fencing::Checked, Stage::Sent { .. }) | (Fencing::Ignored, _) => late,
    }
}
