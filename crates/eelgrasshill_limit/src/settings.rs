//! Times and sizes of the limiter.

use std::time::Duration;

use eelgrasshill_domain::record;

/// Rounding of two clocks to whole milliseconds.
const CLOCK_GRAIN: Duration = Duration::from_millis(2);

/// Thousandths in one.
const PER_MILLE: u32 = 1000;

record! {
    /// Times and sizes of the limiter; the same on all hosts.
    #[derive(Copy)]
    pub struct LimitSettings {
        /// How long a loan may be spent, counted by the borrower from before it asked.
        pub loan: Duration,
        /// How long a borrower waits for a reply before it asks the same again.
        pub retry: Duration,
        /// How long a borrower waits for a reply before it asks other homes as well.
        pub hedge: Duration,
        /// The longest wait for which a home keeps a borrower's turn.
        pub turn: Duration,
        /// How long spent tokens go unreported when no other request carries the report.
        pub report: Duration,
        /// The span of recent demand that a loan covers ahead.
        pub ahead: Duration,
        /// How long a home may lend after it began to append a renewal.
        pub lease: Duration,
        /// How often a home renews.
        pub renew: Duration,
        /// How recent the last contact with the log is when an edit is taken to be new.
        pub contact: Duration,
        /// How long after a lowered limit the other holders are taken to have heard of it.
        pub grace: Duration,
        /// How long an append goes unanswered by the log before it is made again.
        pub append: Duration,
        /// How long a borrower of a home goes unheard before its session is dropped.
        pub idle: Duration,
        /// The most by which two clocks' rates differ, in thousandths.
        pub drift: u32,
        /// Number of homes of an organisation in each zone.
        pub homes: usize,
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            loan: Duration::from_secs(1),
            retry: Duration::from_millis(200),
            hedge: Duration::from_millis(20),
            turn: Duration::from_millis(100),
            report: Duration::from_millis(100),
            ahead: Duration::from_millis(100),
            lease: Duration::from_mins(30),
            renew: Duration::from_mins(5),
            contact: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            append: Duration::from_secs(2),
            idle: Duration::from_mins(10),
            drift: 10,
            homes: 2,
        }
    }
}

impl LimitSettings {
    /// Returns a span by which another host's span of the same length has surely passed.
    fn surely(&self, span: Duration) -> Duration {
        span + span * self.drift / PER_MILLE + CLOCK_GRAIN
    }

    /// Returns how long a home holds a loan against its cap.
    #[must_use]
    pub fn hold(&self) -> Duration {
        self.surely(self.loan)
    }

    /// Returns how long a silent holder is watched before its rights are reclaimed.
    #[must_use]
    pub fn reclaim(&self) -> Duration {
        self.surely(self.lease + self.hold())
    }
}
