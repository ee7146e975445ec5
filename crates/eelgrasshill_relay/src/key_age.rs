//! The age limit of the configuration by which API keys are accepted.
//!
//! A withdrawn key must stop working within a fixed time on every host, including hosts that are
//! cut off from the store. So a request with a key is sent only while the configuration was
//! confirmed recently enough. The check runs when the request is sent, not only when it arrives.

use std::time::Duration;

use eelgrasshill_domain::{Moment, scalar};

/// Longest time from the check until the request reaches the upstream.
const MAX_TRANSIT: Duration = Duration::from_millis(400);

scalar! {
    /// Maximum age of a configuration by which keys are accepted.
    pub struct MaxKeyAge(pub Duration);
}

impl MaxKeyAge {
    /// Returns whether a configuration last confirmed at `confirmed_at` may still accept keys.
    #[must_use]
    pub fn allows(self, confirmed_at: Option<Moment>, now: Moment) -> bool {
        confirmed_at.is_some_and(|confirmed_at| now.since(confirmed_at) + MAX_TRANSIT < self.0)
    }
}
