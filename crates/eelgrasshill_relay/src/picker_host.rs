//! Which host picks the engines for all hosts.
//!
//! It is the strongest host, the first by a hash among equals, so that hosts agree without a call.
//! One that does not answer is left out for a while. If several do not, this host probably lost
//! contact with other zones, and asks in its own zone. Until a host has found a picker that answers,
//! it picks by itself, so a wrong choice costs only the quality of the picks.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment, ZoneName};

use crate::Tree;

/// Failures in a row after which a host is left out; a single message may be lost.
const MAX_FAILURES: u32 = 2;

/// How long a host that did not answer is left out.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Number of left out hosts from which on only the own zone is asked.
const MAX_AVOIDED: usize = 2;

/// The picker as one host sees it.
#[derive(Clone, Debug, Default)]
pub struct PickerHost {
    avoided: FastMap<HostName, Moment>,
    failures: u32,
}

impl PickerHost {
    /// Returns the host that picks; none if none of those that could answers.
    pub fn choose<'a>(
        &mut self,
        tree: &'a Tree,
        zone: &ZoneName,
        now: Moment,
    ) -> Option<&'a crate::Peer> {
        self.avoided.retain(|_host, until| now < *until);
        let only_zone = self.avoided.len() >= MAX_AVOIDED;
        tree.strongest(|peer| {
            !self.avoided.contains_key(&peer.host) && (!only_zone || peer.zone == *zone)
        })
    }

    /// Notes that the picker answered.
    pub fn note_answer(&mut self) {
        self.failures = 0;
    }

    /// Notes that the picker did not answer; returns whether it is left out from now on.
    pub fn note_failure(&mut self, host: &HostName, now: Moment) -> bool {
        self.failures += 1;
        let is_avoided = self.failures >= MAX_FAILURES;
        if is_avoided {
            self.avoid(host, now);
        }
        is_avoided
    }

    /// Leaves a host out for a while, since it said that it does not pick now.
    pub fn avoid(&mut self, host: &HostName, now: Moment) {
        self.failures = 0;
        self.avoided.insert(host.clone(), now.after(AVOID_TIME));
    }
}
