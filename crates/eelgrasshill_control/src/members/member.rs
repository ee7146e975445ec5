//! The state of another host, and whether it counts as live and up to date.

use std::{net::SocketAddr, time::Duration};

use eelgrasshill_domain::{Moment, Offset, ZoneName};

/// The longest time without a heartbeat before a followed host becomes a suspect.
pub const MAX_SILENCE: Duration = Duration::from_secs(3);

/// The age up to which the tables of a host count as current.
pub const MAX_TABLES_AGE: Duration = Duration::from_secs(4);

/// The time after which a suspect becomes eligible again.
///
/// A host that is missing from the platform's list also counts as known for this
/// long after its last heartbeat.
pub(super) const SUSPICION_TIMEOUT: Duration = Duration::from_secs(15);

/// An entry host as another host sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The address at which the host listens for peers.
    pub address: SocketAddr,
    /// The offset of the last configuration record that the host has applied.
    pub offset: Offset,
    /// The last time at which its tables were known to be current.
    pub current_at: Option<Moment>,
    /// The arrival time of its last heartbeat.
    pub last_heartbeat: Option<Moment>,
    pub(super) leaving: bool,
    pub(super) listed: bool,
    pub(super) followed_since: Option<Moment>,
    pub(super) suspected_at: Option<Moment>,
}

impl Member {
    pub(super) fn new(zone: ZoneName, address: SocketAddr) -> Self {
        Self {
            zone,
            address,
            offset: Offset::default(),
            current_at: None,
            last_heartbeat: None,
            leaving: false,
            listed: false,
            followed_since: None,
            suspected_at: None,
        }
    }

    pub(super) fn has_heartbeat_within(&self, now: Moment, max_age: Duration) -> bool {
        self.last_heartbeat
            .is_some_and(|last_heartbeat| now.since(last_heartbeat) <= max_age)
    }

    /// Returns whether the host may be given tasks.
    pub(crate) fn is_live(&self, now: Moment) -> bool {
        let is_known = self.listed || self.has_heartbeat_within(now, SUSPICION_TIMEOUT);
        let is_suspect = self
            .suspected_at
            .is_some_and(|suspected_at| now.since(suspected_at) <= SUSPICION_TIMEOUT);
        is_known && !self.leaving && !is_suspect
    }

    /// Returns whether the tables of the host are up to date.
    pub(crate) fn is_current(&self, now: Moment) -> bool {
        self.current_at
            .is_some_and(|current_at| now.since(current_at) <= MAX_TABLES_AGE)
    }

    /// Returns whether the host was followed only recently and has not answered yet.
    pub(crate) fn is_awaited(&self, now: Moment) -> bool {
        let Some(followed_since) = self.followed_since else {
            return false;
        };
        now.since(followed_since) <= MAX_SILENCE
            && self
                .last_heartbeat
                .is_none_or(|last_heartbeat| last_heartbeat < followed_since)
    }

    /// Marks the host as a suspect if it was silent for too long.
    ///
    /// A suspect is no longer followed.
    pub(super) fn check_silence(&mut self, now: Moment) {
        let Some(followed_since) = self.followed_since else {
            return;
        };
        let silent_since = self
            .last_heartbeat
            .map_or(followed_since, |last_heartbeat| {
                last_heartbeat.max(followed_since)
            });
        if now.since(silent_since) > MAX_SILENCE {
            self.suspected_at = Some(now);
            self.followed_since = None;
        }
    }
}
