//! Settings of a zone's candidates; all hosts of the fleet share them but for host and zone.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, ZoneName};

use crate::{Budget, LeaseTimings};

/// Bounds on orders and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTimings {
    /// How long after a send without an answer the order is sent again.
    pub resend_interval: Duration,
    /// How long an order is repeated before it is given up.
    pub resend_window: Duration,
    /// How late after its last send an order may still arrive, with the longest load added.
    ///
    /// `Duration::MAX` stands for no bound: the room of such orders is then never used again on
    /// engines that ignore fencing numbers. Must be shorter than the log keeps records.
    pub max_lateness: Duration,
    /// How old a report may be before its engine counts as silent.
    pub report_timeout: Duration,
    /// How long new tables must stand before a copy may go because another zone has one.
    pub settle_delay: Duration,
    /// How often placement is planned.
    pub planning_interval: Duration,
}

impl Default for OrderTimings {
    fn default() -> Self {
        Self {
            resend_interval: Duration::from_secs(1),
            resend_window: Duration::from_secs(30),
            max_lateness: Duration::from_mins(15),
            report_timeout: Duration::from_secs(5),
            settle_delay: Duration::from_secs(15),
            planning_interval: Duration::from_secs(1),
        }
    }
}

/// How demand becomes copies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandSettings {
    /// Tokens a second that one copy serves well.
    pub copy_rate: f64,
    /// Time constant of the demand for which copies are added.
    pub rise_time: Duration,
    /// Time constant with which demand that is gone still protects its copies.
    pub fall_time: Duration,
    /// How many times a victim's value a new copy must have.
    pub eviction_factor: f64,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            copy_rate: 1000.0,
            rise_time: Duration::from_secs(5),
            fall_time: Duration::from_mins(2),
            eviction_factor: 2.0,
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
    pub lease: LeaseTimings,
    /// Spans of orders and reports.
    pub orders: OrderTimings,
    /// How demand becomes copies.
    pub demand: DemandSettings,
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
            lease: LeaseTimings::default(),
            orders: OrderTimings::default(),
            demand: DemandSettings::default(),
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
    pub fn with_orders(mut self, orders: OrderTimings) -> Self {
        self.orders = orders;
        self
    }

    /// Sets the spans of the lease.
    #[must_use]
    pub fn with_lease(mut self, lease: LeaseTimings) -> Self {
        self.lease = lease;
        self
    }

    /// Sets how demand becomes copies.
    #[must_use]
    pub fn with_demand(mut self, demand: DemandSettings) -> Self {
        self.demand = demand;
        self
    }
}
