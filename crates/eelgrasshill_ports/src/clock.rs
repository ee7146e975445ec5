//! The clock of one host.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eelgrasshill_domain::{Incarnation, Moment};
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that also counts while the host is suspended.
///
/// Leases and loans must end for a host that was asleep, so that a clock
/// which stands still meanwhile would not do.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine started.
    #[must_use]
    pub fn now(self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Moment(seconds * 1000 + nanos / 1_000_000)
    }

    /// Sleeps until a moment.
    pub async fn sleep_until(self, moment: Moment) {
        let left = moment.since(self.now());
        tokio::time::sleep(left.max(Duration::from_millis(1))).await;
    }

    /// Returns an incarnation that is higher than that of any earlier start.
    #[must_use]
    pub fn incarnation(self) -> Incarnation {
        Incarnation(self.unix_millis())
    }

    /// Returns the milliseconds since 1970.
    #[must_use]
    pub fn unix_millis(self) -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
