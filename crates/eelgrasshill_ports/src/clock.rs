//! The clocks of a host: monotonic time for timers, Unix time for incarnations.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eelgrasshill_domain::{Incarnation, Moment};
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that also counts while the host is suspended.
///
/// Leases and loans must also expire while the host is suspended, so a clock that stops meanwhile
/// cannot be used.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine booted.
    #[must_use]
    pub fn now(self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Moment(seconds * 1000 + nanos / 1_000_000)
    }

    /// Sleeps until the given moment, or for 1 ms if it has passed or is nearer than that.
    pub async fn sleep_until(self, moment: Moment) {
        let remaining = moment.since(self.now());
        tokio::time::sleep(remaining.max(Duration::from_millis(1))).await;
    }

    /// Returns the incarnation for a process that starts now.
    ///
    /// It is the Unix time in milliseconds, so it is higher than that of any earlier start.
    #[must_use]
    pub fn incarnation(self) -> Incarnation {
        Incarnation(self.unix_millis())
    }

    /// Returns the Unix time in milliseconds.
    #[must_use]
    pub fn unix_millis(self) -> u64 {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}
