//! Times and sizes of the limiter.

use std::time::Duration;

use eelgrasshill_domain::record;

/// Rounding of two clocks to whole milliseconds.
const CLOCK_ROUNDING: Duration = Duration::from_millis(2);

/// Thousandths in one.
const PERMILLE: u32 = 1000;

record! {
    /// Times and sizes of the limiter; the same on all hosts.
    #[derive(Copy)]
    pub struct LimitSettings {
        /// How long a loan may be spent, counted by the borrower from before it asked.
        #[serde(rename = "loan")]
        pub loan_ttl: Duration,
        /// How long a borrower waits for a reply before it asks the same again.
        #[serde(rename = "retry")]
        pub retry_interval: Duration,
        /// How long a borrower waits for a reply before it asks other homes as well.
        #[serde(rename = "hedge")]
        pub hedge_delay: Duration,
        /// The longest wait for which a home keeps a borrower's turn.
        #[serde(rename = "turn")]
        pub max_wait: Duration,
        /// How long spent tokens go unreported when no other request carries the report.
        #[serde(rename = "report")]
        pub report_delay: Duration,
        /// The span of recent demand that a loan covers ahead.
        #[serde(rename = "ahead")]
        pub prefetch_span: Duration,
        /// How long a home may lend after it began to append a renewal.
        #[serde(rename = "lease")]
        pub lease_ttl: Duration,
        /// How often a home renews.
        #[serde(rename = "renew")]
        pub renew_interval: Duration,
        /// How recent the last contact with the log is when an edit is taken to be new.
        #[serde(rename = "contact")]
        pub max_staleness: Duration,
        /// How long after a lowered limit the other holders are taken to have heard of it.
        #[serde(rename = "grace")]
        pub propagation_delay: Duration,
        /// How long an append goes unanswered by the log before it is made again.
        #[serde(rename = "append")]
        pub append_timeout: Duration,
        /// How long a borrower of a home goes unheard before its session is dropped.
        #[serde(rename = "idle")]
        pub idle_timeout: Duration,
        /// The most by which two clocks' rates differ, in thousandths.
        #[serde(rename = "drift")]
        pub drift_permille: u32,
        /// Number of homes of an organisation in each zone.
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
    /// Returns a span by which another host's span of the same length has surely passed.
    fn with_clock_error(&self, span: Duration) -> Duration {
        span + span * self.drift_permille / PERMILLE + CLOCK_ROUNDING
    }

    /// Returns how long a home holds a loan against its cap.
    #[must_use]
    pub fn loan_hold(&self) -> Duration {
        self.with_clock_error(self.loan_ttl)
    }

    /// Returns how long a silent holder is watched before its rights are reclaimed.
    #[must_use]
    pub fn reclaim_delay(&self) -> Duration {
        self.with_clock_error(self.lease_ttl + self.loan_hold())
    }
}
