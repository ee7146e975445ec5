//! Times and sizes of the limiter, and the delays that allow for clock error.

use std::time::Duration;

use eelgrasshill_domain::record;

/// The error from rounding two clocks to whole milliseconds.
const CLOCK_ROUNDING: Duration = Duration::from_millis(2);

/// The divisor for values in thousandths.
const PERMILLE: u32 = 1000;

record! {
    /// The settings of the limiter, which must be the same on all hosts.
    #[derive(Copy)]
    pub struct LimitSettings {
        /// How long a loan may be spent.
        ///
        /// The borrower counts it from before it sent the request.
        #[serde(rename = "loan")]
        pub loan_ttl: Duration,
        /// How long a borrower waits for a reply before it repeats the request.
        #[serde(rename = "retry")]
        pub retry_interval: Duration,
        /// How long a borrower waits for a reply before it also asks other lenders.
        #[serde(rename = "hedge")]
        pub hedge_delay: Duration,
        /// The longest expected wait for which a lender queues a borrower.
        #[serde(rename = "turn")]
        pub max_wait: Duration,
        /// How long a usage report waits for another request to carry it.
        #[serde(rename = "report")]
        pub report_delay: Duration,
        /// How much recent demand a loan covers in advance, as a span of time.
        #[serde(rename = "ahead")]
        pub prefetch_span: Duration,
        /// How long a lender may lend after it began to append a renewal.
        #[serde(rename = "lease")]
        pub lease_ttl: Duration,
        /// How often a lender renews its lease.
        #[serde(rename = "renew")]
        pub renew_interval: Duration,
        /// The longest time since the log was last read to its end.
        ///
        /// Within it, a changed limit counts as new for every holder.
        #[serde(rename = "contact")]
        pub max_staleness: Duration,
        /// How long after a new limit all reachable holders are assumed to apply it.
        #[serde(rename = "grace")]
        pub propagation_delay: Duration,
        /// How long to wait for the log before an append is repeated.
        #[serde(rename = "append")]
        pub append_timeout: Duration,
        /// How long a borrower may be silent before its lender drops the session.
        #[serde(rename = "idle")]
        pub idle_timeout: Duration,
        /// The largest difference in rate between two clocks, in thousandths.
        #[serde(rename = "drift")]
        pub drift_permille: u32,
        /// The number of lenders of an organisation in each zone.
        #[serde(rename = "homes")]
        pub zone_lenders: usize,
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            loan_ttl: Duration::from_secs(1),
            retry_interval: Duration::from_millis(200),
            hedge_delay: Duration::from_millis(20),
            max_wait: Duration::from_millis(100),
            report_delay: Duration::from_millis(100),
            prefetch_span: Duration::from_millis(100),
            lease_ttl: Duration::from_mins(30),
            renew_interval: Duration::from_mins(5),
            max_staleness: Duration::from_secs(2),
            propagation_delay: Duration::from_secs(8),
            append_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_mins(10),
            drift_permille: 10,
            zone_lenders: 2,
        }
    }
}

impl LimitSettings {
    /// Lengthens a span so that `span` has passed on any other host's clock too.
    fn with_clock_error(&self, span: Duration) -> Duration {
        span + span * self.drift_permille / PERMILLE + CLOCK_ROUNDING
    }

    /// Returns how long a lender counts a loan against its cap.
    #[must_use]
    pub fn loan_hold(&self) -> Duration {
        self.with_clock_error(self.loan_ttl)
    }

    /// Returns how long a holder must be silent before its shares are reclaimed.
    #[must_use]
    pub fn reclaim_delay(&self) -> Duration {
        self.with_clock_error(self.lease_ttl + self.loan_hold())
    }
}
