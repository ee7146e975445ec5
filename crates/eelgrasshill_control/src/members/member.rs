//! What one host knows of another, and whether it counts as live.

use std::{net::SocketAddr, time::Duration};

use eelgrasshill_domain::{Moment, Offset, ZoneName};

/// Longest silence of a followed host before it is a suspect.
pub const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Oldest news from the log that still counts as current.
pub const MAX_AGE: Duration = Duration::from_secs(4);

/// How long a suspect is passed over before it is tried again.
pub(super) const SUSPICION: Duration = Duration::from_secs(15);

/// What is known of one entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its zone.
    pub zone: ZoneName,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// The offset of its last folded configuration record.
    pub offset: Offset,
    /// When its tables were last known to be current.
    pub fresh: Option<Moment>,
    /// When a heartbeat of it last came.
    pub heard: Option<Moment>,
    pub(super) leaving: bool,
    pub(super) listed: bool,
    pub(super) followed: Option<Moment>,
    pub(super) suspect: Option<Moment>,
}

impl Member {
    pub(super) fn new(zone: ZoneName, address: SocketAddr) -> Self {
        Self {
            zone,
            address,
            offset: Offset::default(),
            fresh: None,
            heard: None,
            leaving: false,
            listed: false,
            followed: None,
            suspect: None,
        }
    }

    pub(super) fn is_heard(&self, now: Moment, bound: Duration) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) <= bound)
    }

    /// Returns whether the host takes part in the spread of work.
    pub(crate) fn is_live(&self, now: Moment) -> bool {
        let is_known = self.listed || self.is_heard(now, SUSPICION);
        let is_suspect = self
            .suspect
            .is_some_and(|since| now.since(since) <= SUSPICION);
        is_known && !self.leaving && !is_suspect
    }

    /// Returns whether its news from the log is recent.
    pub(crate) fn is_fresh(&self, now: Moment) -> bool {
        self.fresh.is_some_and(|fresh| now.since(fresh) <= MAX_AGE)
    }

    /// Returns whether a first answer may still come.
    pub(crate) fn is_awaited(&self, now: Moment) -> bool {
        let Some(followed) = self.followed else {
            return false;
        };
        now.since(followed) <= MAX_SILENCE && self.heard.is_none_or(|heard| heard < followed)
    }

    pub(super) fn check_silence(&mut self, now: Moment) {
        let Some(followed) = self.followed else {
            return;
        };
        let since = self.heard.map_or(followed, |heard| heard.max(followed));
        if now.since(since) > MAX_SILENCE {
            self.suspect = Some(now);
            self.followed = None;
        }
    }
}
