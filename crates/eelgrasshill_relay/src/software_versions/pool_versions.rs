//! Versions that one pool has and recently had, and its base version.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, Moment};
use serde::{Deserialize, Serialize};

use super::SoftwareVersion;
use crate::Era;

/// Time from the appearance of a version beside another one until it is used for new streams.
///
/// By then all hosts whose upstreams' records are as recent as that know of it.
pub(super) const ACTIVATION_DELAY: Duration = Duration::from_millis(1_500);

/// Base version of a pool, with the era of the store in which it was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseVersion {
    /// The version.
    pub version: SoftwareVersion,
    /// Era of the store; a later one may lack records of streams that this one had.
    pub era: Era,
}

/// A version of which a pool has an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PresentVersion {
    /// The version.
    pub version: SoftwareVersion,
    /// Earliest start of its upstreams, in milliseconds since 1970.
    pub started_ms: u64,
    /// Whether one of its upstreams takes new requests.
    pub takes_requests: bool,
}

/// Whether a new stream may begin at a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRule {
    /// It may, and it is found again without a record.
    Unwritten,
    /// It may, and its record must be in the log before its first event is passed on.
    Written,
    /// Not all hosts may know of the version yet.
    NotYet,
}

#[derive(Clone, Debug)]
pub(super) struct Presence {
    // Moment from which the version is used, and from which a read of the base version counts for
    // it. None if the host has known it from its first view on, or if it was alone.
    ready_at: Option<Moment>,
    last_seen: Moment,
    // When it was last present in a recent view.
    confirmed_at: Moment,
    pub(super) is_present: bool,
    pub(super) takes_requests: bool,
    pub(super) started_ms: u64,
}

impl Presence {
    fn is_ready(&self, now: Moment) -> bool {
        self.ready_at.is_none_or(|ready_at| ready_at <= now)
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct PoolVersions {
    // Those that were present within the horizon.
    pub(super) versions: FastMap<SoftwareVersion, Presence>,
    pub(super) base: Option<SoftwareVersion>,
    // Era in which the base was written.
    pub(super) base_era: Era,
    // When the latest read of the base was sent; none if it must be read again.
    pub(super) base_read_at: Option<Moment>,
    pub(super) followed_since: Option<Moment>,
    // The version that the pool had when it last had a single one, or its last known base.
    pub(super) preferred: Option<SoftwareVersion>,
}

impl PoolVersions {
    /// Notes the versions that are present in a view of the upstreams, which may be an old one.
    pub(super) fn note_present(
        &mut self,
        present: &[PresentVersion],
        is_recent_view: bool,
        horizon: Duration,
        now: Moment,
    ) {
        self.versions
            .retain(|_version, presence| now.since(presence.last_seen) <= horizon);
        // All versions of a view after none are new, so that none is delayed for another one.
        let ready_at = if self.versions.is_empty() {
            self.base.is_some().then_some(now)
        } else {
            Some(now.after(ACTIVATION_DELAY))
        };
        for presence in self.versions.values_mut() {
            presence.is_present = false;
            presence.takes_requests = false;
        }
        for row in present {
            let presence = self
                .versions
                .entry(row.version.clone())
                .or_insert(Presence {
                    ready_at,
                    last_seen: now,
                    confirmed_at: now,
                    is_present: true,
                    takes_requests: false,
                    started_ms: 0,
                });
            if is_recent_view {
                // Other hosts may have missed it for the horizon and changed the base.
                if now.since(presence.confirmed_at) > horizon / 2 && presence.is_ready(now) {
                    presence.ready_at = Some(now);
                }
                presence.confirmed_at = now;
            }
            presence.last_seen = now;
            presence.is_present = true;
            presence.takes_requests = row.takes_requests;
            presence.started_ms = row.started_ms;
        }
        if let Some(only) = self.only_version() {
            self.preferred = Some(only.clone());
        }
    }

    /// Returns the version that was present within the horizon, if it was the only one.
    pub(super) fn only_version(&self) -> Option<&SoftwareVersion> {
        let mut versions = self.versions.keys();
        versions.next().filter(|_version| versions.next().is_none())
    }

    /// Returns the base, if it was read since this version may be used.
    fn base_for(&self, presence: &Presence) -> Option<&SoftwareVersion> {
        let base = self.base.as_ref()?;
        // After a restore of the store, the base from before it holds until it is read again.
        let is_read = presence
            .ready_at
            .is_none_or(|ready_at| self.base_read_at.is_some_and(|sent_at| ready_at <= sent_at));
        is_read.then_some(base)
    }

    pub(super) fn start(&self, version: &SoftwareVersion, now: Moment) -> StartRule {
        let Some(presence) = self.versions.get(version) else {
            return StartRule::NotYet;
        };
        match self.base_for(presence) {
            _ if !presence.is_ready(now) => StartRule::NotYet,
            Some(base) if base == version => StartRule::Unwritten,
            Some(_) => StartRule::Written,
            None if self.versions.len() > 1 => StartRule::NotYet,
            // The known base may not be that of the store any more; a record is right in any case.
            None if self.base.is_some() => StartRule::Written,
            None => StartRule::Unwritten,
        }
    }

    /// Returns the present version whose upstreams started first.
    pub(super) fn oldest(&self) -> Option<&SoftwareVersion> {
        let present = self.versions.iter().filter(|(_, known)| known.is_present);
        let oldest = present.min_by_key(|(version, known)| (known.started_ms, *version));
        oldest.map(|(version, _presence)| version)
    }

    pub(super) fn wants_read(&self, now: Moment) -> bool {
        let Some(sent_at) = self.base_read_at else {
            return !self.versions.is_empty();
        };
        let mut ready = self.versions.values().filter_map(|known| known.ready_at);
        ready.any(|ready_at| ready_at <= now && sent_at < ready_at)
    }
}

/// Returns whether a view of the upstreams is so recent that no version is used that it lacks.
pub(super) fn is_recent(view_confirmed_at: Option<Moment>, now: Moment) -> bool {
    view_confirmed_at.is_some_and(|at| now.since(at) < ACTIVATION_DELAY)
}
