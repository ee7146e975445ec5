//! When an order is over: from then on it can't take effect, and reports show what it did.
//!
//! - an engine that checks fencing numbers: a report that shows the holder's own number proves
//!   that no order of a predecessor can still arrive; an own order is over once it was answered
//!   and a report was generated after that answer, since the engine ignores an id already done;
//! - an engine that ignores them: an order may arrive, or arrive again, until the stated bound
//!   on lateness has passed since its last send, and is over with the first report after that.
//!   Until then no order of the opposite kind is made for the same model, so a late repeat of a
//!   load can't follow its unload, nor a late unload a new load. A new load of the same model
//!   and version shares the room and the store's slot of the old one.

use eelgrasshill_domain::{Fencing, ModelName, Moment, Offset};

use crate::{Action, LatestReport, Order, OrderTimings};

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its intent is not yet known to be in the log.
    Planned,
    /// It may be sent.
    Ready,
    /// It was sent, and no answer has come.
    Sent {
        /// When it first left.
        first: Moment,
        /// When it last left.
        last: Moment,
    },
    /// A report showed its model resident though no answer came; it is not sent again.
    ///
    /// A repeat could start the load anew on an engine that restarted unnoticed.
    Observed {
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
    Inherited {
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

impl OpenOrder {
    /// Returns the model and version that the order loads.
    pub(crate) fn load(&self) -> Option<(&ModelName, &str)> {
        match &self.order.action {
            Action::Load { model, version, .. } => Some((model, version)),
            _ => None,
        }
    }

    /// Returns whether the order may still come to an engine that returns after its end.
    ///
    /// An order that was sent to a process doesn't outlive it by more than the span for which
    /// orders are repeated.
    pub(crate) fn may_reach_restarted(&self, timings: &OrderTimings, now: Moment) -> bool {
        match self.stage {
            Stage::Planned | Stage::Ready => true,
            Stage::Sent { last, .. } | Stage::Observed { last } | Stage::Answered { last, .. } => {
                now.since(last) < timings.resend_window
            }
            Stage::Inherited { since } => now.since(since) < timings.resend_window,
        }
    }
}

/// Returns the moment from which an order can't take effect for the first time any more.
pub(crate) fn latest_effect(open: &OpenOrder, timings: &OrderTimings) -> Option<Moment> {
    match open.stage {
        Stage::Planned | Stage::Ready => None,
        Stage::Sent { last, .. } | Stage::Observed { last } | Stage::Answered { last, .. } => {
            Some(last.after(timings.max_lateness))
        }
        Stage::Inherited { since } => Some(since.after(timings.max_lateness)),
    }
}

/// Returns whether an order can take effect no more and the latest report shows what it did.
pub(crate) fn is_finished(
    open: &OpenOrder,
    latest: &LatestReport,
    fencing: Fencing,
    fence: Offset,
    timings: &OrderTimings,
) -> bool {
    let late = latest_effect(open, timings).is_some_and(|end| latest.generated_after >= end);
    match (fencing, open.stage) {
        (_, Stage::Planned | Stage::Ready) => false,
        (Fencing::Checked, Stage::Inherited { .. }) => late || latest.report.fence >= fence,
        (Fencing::Checked, Stage::Answered { at, .. }) => late || latest.generated_after >= at,
        (Fencing::Checked, Stage::Sent { .. } | Stage::Observed { .. }) | (Fencing::Ignored, _) => {
            late
        }
    }
}
