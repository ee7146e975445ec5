//! Decides when an order is finished.
//!
//! A finished order can't take effect any more, and a report shows its result.
//!
//! - Engines that check fencing tokens: a report with the holder's own token proves that no
//!   order of a predecessor can still be executed. An own order is finished once it was
//!   answered and a report was generated after the answer, because the engine ignores an order
//!   id that it has already executed.
//! - Engines that ignore fencing tokens: an order may arrive, also repeatedly, until the
//!   configured maximum lateness has passed since it was last sent. It is finished with the
//!   first report after that. Until then the holder orders no unload of a model whose load is
//!   open, and no load of a model whose unload is open: a late repeat of the first order would
//!   undo the second. A new load of the same model and version counts together with the old
//!   one as a single load, for memory and for load slots.

use eelgrasshill_domain::{Fencing, ModelName, Moment, Offset};

use crate::{Action, LatestReport, Order, OrderTimings};

/// The progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStage {
    /// The order's intent has not been read back from the log yet.
    Planned,
    /// The order may be sent.
    Ready,
    /// The order was sent and has not been answered.
    Sent {
        /// Time of the first send.
        first: Moment,
        /// Time of the last send.
        last: Moment,
    },
    /// A report shows the loaded model although no answer arrived.
    ///
    /// The order is not sent again, because a repeat could start the load a second time on an
    /// engine that has restarted unnoticed.
    Observed {
        /// Time of the last send.
        last: Moment,
    },
    /// The engine answered that the order took effect.
    Answered {
        /// Time of the last send.
        last: Moment,
        /// Time at which the answer arrived.
        at: Moment,
    },
    /// A previous lease holder may have sent the order.
    Inherited {
        /// Time at which this host acquired the lease.
        since: Moment,
    },
}

/// An order that may still take effect.
#[derive(Clone, Debug)]
pub struct OpenOrder {
    /// The order as it is sent to the engine.
    pub order: Order,
    /// The progress of the order.
    pub stage: OrderStage,
}

impl OpenOrder {
    /// Returns the model and version that the order loads.
    pub(crate) fn load(&self) -> Option<(&ModelName, &str)> {
        match &self.order.action {
            Action::Load { model, version, .. } => Some((model, version)),
            _ => None,
        }
    }

    /// Returns whether the order may still reach a restarted engine.
    ///
    /// An order is repeated only for the resend window, so it reaches no process of the engine
    /// that starts later than that window after the last send.
    pub(crate) fn may_reach_restarted(&self, timings: &OrderTimings, now: Moment) -> bool {
        match self.stage {
            OrderStage::Planned | OrderStage::Ready => true,
            OrderStage::Sent { last, .. }
            | OrderStage::Observed { last }
            | OrderStage::Answered { last, .. } => now.since(last) < timings.resend_window,
            OrderStage::Inherited { since } => now.since(since) < timings.resend_window,
        }
    }
}

/// Returns the latest time at which an order can take effect, or none if it was not sent.
pub(crate) fn latest_effect_time(open_order: &OpenOrder, timings: &OrderTimings) -> Option<Moment> {
    match open_order.stage {
        OrderStage::Planned | OrderStage::Ready => None,
        OrderStage::Sent { last, .. }
        | OrderStage::Observed { last }
        | OrderStage::Answered { last, .. } => Some(last.after(timings.max_lateness)),
        OrderStage::Inherited { since } => Some(since.after(timings.max_lateness)),
    }
}

/// Returns whether an order is finished and the latest report shows its result.
pub(crate) fn is_finished(
    open_order: &OpenOrder,
    latest: &LatestReport,
    fencing: Fencing,
    fence: Offset,
    timings: &OrderTimings,
) -> bool {
    let has_expired =
        latest_effect_time(open_order, timings).is_some_and(|end| latest.generated_after >= end);
    match (fencing, open_order.stage) {
        (_, OrderStage::Planned | OrderStage::Ready) => false,
        (Fencing::Checked, OrderStage::Inherited { .. }) => {
            has_expired || latest.report.fence >= fence
        }
        (Fencing::Checked, OrderStage::Answered { at, .. }) => {
            has_expired || latest.generated_after >= at
        }
        (Fencing::Checked, OrderStage::Sent { .. } | OrderStage::Observed { .. })
        | (Fencing::Ignored, _) => has_expired,
    }
}
