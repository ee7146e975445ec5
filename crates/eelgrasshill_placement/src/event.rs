//! The inputs and outputs of a [`Controller`](crate::Controller).

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{AdapterName, AppendId, HostName, ModelName, Moment, Offset, Tables};

use crate::{EngineReport, LeaseEntry, LeaseRecord, ModelDemand, Order, OrderId, OrderOutcome};

/// An input to the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// The lease stream was read from the requested offset; the list may be empty.
    LeaseRead(Vec<LeaseEntry>),
    /// Reading the lease stream failed.
    ReadFailed,
    /// An append was written to the log at this offset.
    AppendDone(AppendId, Offset),
    /// The log refused an append or did not answer; the record may have been written.
    AppendUnknown(AppendId),
    /// An engine of any zone answered a poll with its report.
    Report {
        /// The engine's report.
        report: EngineReport,
        /// The time just before the poll was sent.
        requested_at: Moment,
    },
    /// A new version of the tables is in force.
    Tables(Arc<Tables>),
    /// The platform's list of running hosts changed.
    Members {
        /// Entry hosts of the zone that may claim the lease.
        candidates: Vec<HostName>,
        /// Engines that are about to shut down.
        leaving: BTreeSet<HostName>,
        /// Engines that the host list no longer contains.
        gone: BTreeSet<HostName>,
    },
    /// The zone's demand, summed over its entry hosts.
    Demand(Vec<ModelDemand>),
    /// A request is waiting for a model or an adapter that is not resident.
    Miss {
        /// The requested model.
        model: ModelName,
        /// The requested adapter, if any.
        adapter: Option<AdapterName>,
        /// Longest time that the request's class allows it to wait.
        max_wait: Duration,
    },
    /// An engine answered an order.
    Answer {
        /// The engine that answered.
        engine: HostName,
        /// The id of the order.
        order: OrderId,
        /// The result of the order.
        outcome: OrderOutcome,
    },
    /// Time has passed; expected about every 100 ms.
    Tick,
    /// This host is shutting down.
    Drain,
}

/// An action that the caller has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Appends a record to the zone's lease stream.
    Append {
        /// The id of the append, unchanged when it is repeated.
        id: AppendId,
        /// The record to append.
        record: LeaseRecord,
    },
    /// Reads the lease stream from this offset.
    Read(Offset),
    /// Sends an order to an engine.
    Send {
        /// The engine that executes the order.
        engine: HostName,
        /// The order to send.
        order: Order,
    },
    /// Reports that this host acquired the lease with this fencing token.
    Acquired(Offset),
    /// Reports that this host no longer holds the lease.
    Lost,
    /// Reports that a missed model or adapter is now resident.
    MissMet {
        /// The requested model.
        model: ModelName,
        /// The requested adapter, if any.
        adapter: Option<AdapterName>,
    },
    /// Reports that a missed model or adapter was not loaded in time.
    MissExpired {
        /// The requested model.
        model: ModelName,
        /// The requested adapter, if any.
        adapter: Option<AdapterName>,
    },
}
