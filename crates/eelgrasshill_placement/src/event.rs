//! What a holder is told and what it wants done.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{AdapterName, AppendId, HostName, ModelName, Moment, Offset, Tables};

use crate::{EngineReport, LeaseEntry, LeaseRecord, ModelDemand, Order, OrderId, OrderOutcome};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The lease stream was read on from the wanted offset; there may be no new records.
    LeaseRead(Vec<LeaseEntry>),
    /// Reading the lease stream failed.
    ReadFailed,
    /// An append is in the log at this offset.
    AppendDone(AppendId, Offset),
    /// An append was refused or its answer is lost.
    AppendUnknown(AppendId),
    /// An engine of any zone reported.
    Report {
        /// The report.
        report: EngineReport,
        /// The moment just before the report was asked for.
        requested_at: Moment,
    },
    /// New tables are in force.
    Tables(Arc<Tables>),
    /// The host list changed.
    Members {
        /// Entry hosts of the zone that may hold the lease.
        candidates: Vec<HostName>,
        /// Engines that are leaving.
        leaving: BTreeSet<HostName>,
        /// Engines that are gone.
        gone: BTreeSet<HostName>,
    },
    /// Demand in the zone, as its entry hosts report it.
    Demand(Vec<ModelDemand>),
    /// A request waits for a model or an adapter that is not resident.
    Miss {
        /// The model.
        model: ModelName,
        /// The adapter, if one was named.
        adapter: Option<AdapterName>,
        /// How long the request's class lets it wait.
        max_wait: Duration,
    },
    /// An engine answered an order.
    Answer {
        /// The engine.
        engine: HostName,
        /// The order.
        order: OrderId,
        /// The answer.
        outcome: OrderOutcome,
    },
    /// Time passed; due about every 100 ms.
    Tick,
    /// This host is shutting down.
    Drain,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append a record to the zone's lease stream.
    Append {
        /// The append's id, the same on every repeat.
        id: AppendId,
        /// The record.
        record: LeaseRecord,
    },
    /// Read the lease stream on from this offset.
    Read(Offset),
    /// Send an order to an engine.
    Send {
        /// The engine.
        engine: HostName,
        /// The order.
        order: Order,
    },
    /// This host became the holder with this fencing number.
    LeaseAcquired(Offset),
    /// This host is no longer the holder.
    LeaseLost,
    /// What was missed is resident now.
    MissMet {
        /// The model.
        model: ModelName,
        /// The adapter, if one was named.
        adapter: Option<AdapterName>,
    },
    /// What was missed did not become resident within the bound.
    MissExpired {
        /// The model.
        model: ModelName,
        /// The adapter, if one was named.
        adapter: Option<AdapterName>,
    },
}
