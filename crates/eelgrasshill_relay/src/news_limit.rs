//! How often a host may tell all others of a crash at once.
//!
//! The load pattern is an outage of many engines, at which each host loses many requests. Their news
//! would cost the square of the number of hosts.

use std::time::Duration;

use eelgrasshill_domain::Moment;

/// Time for which news are counted together.
const WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of news in a window.
const MAX_NEWS: u32 = 4;

/// Counter of the news of one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewsLimit {
    window: Option<Moment>,
    count: u32,
}

impl NewsLimit {
    /// Decides whether news may be sent, and counts them.
    pub fn admit(&mut self, now: Moment) -> bool {
        if self.window.is_none_or(|start| now.since(start) >= WINDOW) {
            self.window = Some(now);
            self.count = 0;
        }
        self.count += 1;
        self.count <= MAX_NEWS
    }
}
