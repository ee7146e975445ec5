//! Settings of a zone's candidates; all hosts of the fleet share them but for host and zone.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, ZoneName};

use crate::{Budget, LeaseSpans};

/// Bounds on orders and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSpans {
    /// How long after a send without an answer the order is sent again.
    pub resend: Duration,
    /// How long an order is repeated before it is given up.
    pub window: Duration,
    /// How late after its last send an order may still arrive, with the longest load added.
    ///
    /// `Duration::MAX` stands for no bound: the room of such orders is then never used again on
    /// engines that ignore fencing numbers. Must be shorter than the log keeps records.
    pub lateness: Duration,
    /// How old a report may be before its engine counts as silent.
    pub silence: Duration,
    /// How long new tables must stand before a copy may go because another zone has one.
    pub settle: Duration,
    /// How often placement is planned.
    pub round: Duration,
}

impl Default for OrderSpans {
    fn default() -> Self {
        Self {
            resend: Duration::from_secs(1),
            window: Duration::from_secs(30),
            lateness: Duration::from_mins(15),
            silence: Duration::from_secs(5),
            settle: Duration::from_secs(15),
            round: Duration::from_secs(1),
        }
    }
}

/// How demand becomes copies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandSpans {
    /// Tokens a second that one copy serves well.
    pub copy_rate: f64,
    /// Time constant of the demand for which copies are added.
    pub rise: Duration,
    /// Time constant with which demand that is gone still protects its copies.
    pub fall: Duration,
    /// How many times a victim's value a new copy must have.
    pub factor: f64,
}

impl Default for DemandSpans {
    fn default() -> Self {
        Self {
            copy_rate: 1000.0,
            rise: Duration::from_secs(5),
            fall: Duration::from_mins(2),
            factor: 2.0,
        }
    }
}

/// Everything that a candidate is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This entry host.
    pub host: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// All zones of the fleet.
    pub zones: Vec<ZoneName>,
    /// This process's incarnation, which keeps its append ids apart from earlier ones.
    pub incarnation: Incarnation,
    /// Spans of the lease.
    pub lease: LeaseSpans,
    /// Spans of orders and reports.
    pub orders: OrderSpans,
    /// How demand becomes copies.
    pub demand: DemandSpans,
    /// What the store allows to the whole fleet.
    pub budget: Budget,
    /// Memory of one adapter in MB.
    pub adapter_memory: u64,
}

impl Settings {
    /// Makes settings with the usual spans and Lakeshore's budget.
    #[must_use]
    pub fn new(host: HostName, zone: ZoneName, zones: Vec<ZoneName>) -> Self {
        Self {
            host,
            zone,
            zones,
            incarnation: Incarnation(1),
            lease: LeaseSpans::default(),
            orders: OrderSpans::default(),
            demand: DemandSpans::default(),
            budget: Budget {
                rate: 2.0,
                slots: 8,
                adapters: 60,
            },
            adapter_memory: 64,
        }
    }

    /// Sets the incarnation.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the fleet's budget.
    #[must_use]
    pub fn with_budget(mut self, budget: Budget) -> Self {
        self.budget = budget;
        self
    }

    /// Sets the bounds on orders and reports.
    #[must_use]
    pub fn with_orders(mut self, orders: OrderSpans) -> Self {
        self.orders = orders;
        self
    }

    /// Sets the spans of the lease.
    #[must_use]
    pub fn with_lease(mut self, lease: LeaseSpans) -> Self {
        self.lease = lease;
        self
    }

    /// Sets how demand becomes copies.
    #[must_use]
    pub fn with_demand(mut self, demand: DemandSpans) -> Self {
        self.demand = demand;
        self
    }
}
