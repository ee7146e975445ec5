//! Settings of placement.
//!
//! All hosts of the fleet use the same values, except for the host, zone and incarnation.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, ZoneName};

use crate::{Budget, LeaseTimings};

/// Memory of one adapter unless it is configured, in MB.
const DEFAULT_ADAPTER_MB: u64 = 64;

/// Time limits of orders, reports and planning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTimings {
    /// Time after which an unanswered order is sent again.
    pub resend_interval: Duration,
    /// Time after the first send during which an order is repeated.
    pub resend_window: Duration,
    /// Longest time between an order's last send and its effect, including the longest load.
    ///
    /// `Duration::MAX` means that no limit is known; the memory of such orders is then never
    /// reused on engines that ignore fencing tokens. A finite value must be shorter than the
    /// log's retention.
    pub max_lateness: Duration,
    /// Age of the latest report at which an engine counts as silent.
    pub report_timeout: Duration,
    /// Time after a change of the tables during which copies in other zones do not count.
    ///
    /// Those zones may not have the new tables yet.
    pub settle_delay: Duration,
    /// Interval between two planning rounds if nothing calls for an earlier one.
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

/// Parameters that turn demand into copies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandSettings {
    /// Tokens per second that one copy can serve.
    pub copy_tokens_per_second: f64,
    /// Time constant of the fast average, which decides whether to add copies.
    pub fast_time_constant: Duration,
    /// Time constant of the slow average, which keeps copies after demand has fallen.
    pub slow_time_constant: Duration,
    /// Factor by which a new copy's demand must exceed that of the evicted copies.
    pub eviction_factor: f64,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            copy_tokens_per_second: 1000.0,
            fast_time_constant: Duration::from_secs(5),
            slow_time_constant: Duration::from_mins(2),
            eviction_factor: 2.0,
        }
    }
}

/// The settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this entry host.
    pub host: HostName,
    /// The zone of this host.
    pub zone: ZoneName,
    /// The names of all zones of the fleet.
    pub zones: Vec<ZoneName>,
    /// Incarnation of this process, which makes its append ids unique.
    pub incarnation: Incarnation,
    /// Time limits of the lease.
    pub lease: LeaseTimings,
    /// Time limits of orders, reports and planning.
    pub orders: OrderTimings,
    /// Parameters that turn demand into copies.
    pub demand: DemandSettings,
    /// The limits of the weight store for the whole fleet.
    pub budget: Budget,
    /// Memory of one adapter, in MB.
    pub adapter_memory_mb: u64,
}

impl Settings {
    /// Creates settings with default limits and with incarnation 1.
    ///
    /// The default budget is 2 model loads per second, 8 model loads in parallel and 60 adapter
    /// loads in parallel.
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
                loads_per_second: 2.0,
                load_slots: 8,
                adapter_slots: 60,
            },
            adapter_memory_mb: DEFAULT_ADAPTER_MB,
        }
    }

    /// Sets the incarnation of this process.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the limits of the weight store for the whole fleet.
    #[must_use]
    pub fn with_budget(mut self, budget: Budget) -> Self {
        self.budget = budget;
        self
    }

    /// Sets the time limits of orders, reports and planning.
    #[must_use]
    pub fn with_orders(mut self, orders: OrderTimings) -> Self {
        self.orders = orders;
        self
    }

    /// Sets the time limits of the lease.
    #[must_use]
    pub fn with_lease(mut self, lease: LeaseTimings) -> Self {
        self.lease = lease;
        self
    }

    /// Sets the parameters that turn demand into copies.
    #[must_use]
    pub fn with_demand(mut self, demand: DemandSettings) -> Self {
        self.demand = demand;
        self
    }
}
