//! Whether a key may still be used by what is known of the configuration.
//!
//! A withdrawn key must stop within a bound on every host, cut off or not. A request with a key
//! is sent only while the configuration was known to be current recently enough; the check runs
//! at the send, not only at arrival.

use std::time::Duration;

use eelgrasshill_domain::{Moment, scalar};

/// Time from the check to the request's arrival at the upstream, at most.
const TRANSIT: Duration = Duration::from_millis(400);

scalar! {
    /// The bound on the age of a configuration by which keys are accepted.
    pub struct KeyBound(pub Duration);
}

impl KeyBound {
    /// Returns whether keys may be accepted by a configuration known to be current at `fresh`.
    #[must_use]
    pub fn allows(self, fresh: Option<Moment>, now: Moment) -> bool {
        fresh.is_some_and(|fresh| now.since(fresh) + TRANSIT < self.0)
    }
}
