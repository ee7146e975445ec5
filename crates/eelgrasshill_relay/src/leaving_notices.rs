//! Engines that said in an answer that they are leaving.
//!
//! An engine may say so before its registry entry does, or without its entry ever saying so, and
//! requests sent after that are at risk. A notice therefore takes precedence over the entry. It
//! ends when the engine restarts, or when its entry shows it ready in a record that was written
//! long enough after the notice.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment, Offset, record};

use crate::Upstream;

/// Longest time after which a write of an engine to the store can still take effect.
///
/// A record that shows the engine ready may have been sent before the engine decided to leave.
const LATE_WRITE_TTL: Duration = Duration::from_secs(8);

/// How long a notice is kept after the engine's entry is gone, since the entry may return.
const NOTICE_TTL: Duration = Duration::from_mins(1);

/// How long a notice is forwarded to other hosts: several rounds of the exchange.
const FORWARD_PERIOD: Duration = Duration::from_millis(1_500);

record! {
    /// Notice that one start of an engine is leaving.
    pub struct LeavingNotice {
        /// Id of the engine.
        pub engine: HostName,
        /// Start time of the engine, as in its registration.
        #[serde(rename = "born")]
        pub started_ms: u64,
    }
}

#[derive(Clone, Debug)]
struct ReceivedNotice {
    notice: LeavingNotice,
    first_at: Moment,
    last_at: Moment,
    // Position among all updates that this host accepted.
    sequence: u64,
    // Offset from which on the records of the registry were written after the notice.
    newer_from: Option<Offset>,
}

/// The engines that are known to leave from their own answers.
#[derive(Clone, Debug, Default)]
pub struct LeavingNotices {
    received: FastMap<HostName, ReceivedNotice>,
}

impl LeavingNotices {
    /// Stores a notice and returns whether it is new.
    pub fn note(&mut self, notice: LeavingNotice, sequence: u64, now: Moment) -> bool {
        if let Some(known) = self.received.get_mut(&notice.engine) {
            if known.notice.started_ms > notice.started_ms {
                return false;
            }
            if known.notice == notice {
                known.last_at = now;
                known.newer_from = None;
                return false;
            }
        }
        let received = ReceivedNotice {
            first_at: now,
            last_at: now,
            sequence,
            newer_from: None,
            notice,
        };
        self.received
            .insert(received.notice.engine.clone(), received);
        true
    }

    /// Returns whether this start of an upstream said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, upstream: &Upstream) -> bool {
        self.received
            .get(&upstream.id)
            .is_some_and(|known| known.notice.started_ms == upstream.started_ms)
    }

    /// Applies an entry of the registry and returns whether it ends a notice.
    pub fn apply_entry(&mut self, upstream: &Upstream, offset: Offset) -> bool {
        let Some(known) = self.received.get(&upstream.id) else {
            return false;
        };
        let restarted = upstream.started_ms > known.notice.started_ms;
        let is_newer = known.newer_from.is_some_and(|from| offset >= from);
        let ends = restarted || (is_newer && !upstream.leaving);
        if ends {
            self.received.remove(&upstream.id);
        }
        ends
    }

    /// Notes that all records of the registry before `end` were read by the given moment.
    pub fn confirm(&mut self, end: Offset, confirmed_at: Moment) {
        for known in self.received.values_mut() {
            if known.newer_from.is_none() && confirmed_at.since(known.last_at) >= LATE_WRITE_TTL {
                known.newer_from = Some(end);
            }
        }
    }

    /// Notes that the offsets of all earlier records are void, since the store was restored.
    pub fn start_era(&mut self) {
        for known in self.received.values_mut() {
            known.newer_from = None;
        }
    }

    /// Returns the recent notices after the first `known_count` updates, to be forwarded.
    pub fn recent(&self, known_count: u64, now: Moment) -> impl Iterator<Item = &LeavingNotice> {
        let is_new = move |known: &&ReceivedNotice| {
            known.sequence > known_count && now.since(known.first_at) < FORWARD_PERIOD
        };
        self.received
            .values()
            .filter(is_new)
            .map(|known| &known.notice)
    }

    /// Removes old notices of engines without an entry.
    pub fn expire(&mut self, is_known: impl Fn(&HostName) -> bool, now: Moment) {
        self.received
            .retain(|id, known| is_known(id) || now.since(known.last_at) < NOTICE_TTL);
    }
}
