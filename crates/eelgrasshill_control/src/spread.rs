//! How news and claims spread: few readers and writers in each zone, no mesh.
//!
//! All choices are by rendezvous hash, so that hosts that know the same members
//! choose alike, and one host that comes or goes moves few choices.

use std::{cmp::Reverse, collections::BTreeSet};

use eelgrasshill_domain::{HostName, Moment, ZoneName, rendezvous_weight};

use crate::{Member, Members};

/// Hosts in each zone that read the log and the host list.
pub const READERS: usize = 3;

/// Hosts in each zone that append the claims of one shard.
pub const WRITERS: usize = 2;

/// What a host does now to hear of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Whether it reads the log and the host list itself.
    pub reads: bool,
    /// The hosts to which it keeps streams and sends heartbeats.
    pub follows: Vec<HostName>,
}

impl Members {
    /// Returns the hosts of a zone that read the log, the first choice first.
    #[must_use]
    pub fn readers(&self, zone: &ZoneName, now: Moment) -> Vec<HostName> {
        let subject = format!("readers {zone}");
        first(self.in_zone(zone, now), &subject, READERS)
    }

    /// Returns the hosts that append a shard's claims, those of the own zone first.
    #[must_use]
    pub fn writers(&self, shard: u32, now: Moment) -> Vec<HostName> {
        let subject = format!("claims-{shard}");
        let own = self.zone();
        let mut writers = first(self.in_zone(own, now), &subject, WRITERS);
        for zone in self.zones(now).into_iter().filter(|zone| *zone != own) {
            writers.extend(first(self.in_zone(zone, now), &subject, WRITERS));
        }
        writers
    }

    /// Returns the host's place in the order for a task, zero for the first choice.
    #[must_use]
    pub fn rank(&self, subject: &str, now: Moment) -> usize {
        let own = (
            Reverse(rendezvous_weight(self.host().as_str(), subject)),
            self.host(),
        );
        self.live(now)
            .map(|(host, _member)| (Reverse(rendezvous_weight(host.as_str(), subject)), host))
            .filter(|other| *other < own)
            .count()
    }

    /// Decides whom to follow and whether to read the log.
    ///
    /// A host that is no reader follows the readers of its zone. It reads for
    /// itself when none of them has recent news. Who reads also follows one
    /// reader in each other zone, so that news comes in when only the platform
    /// cannot be reached.
    pub fn plan(&mut self, now: Moment) -> Plan {
        self.check_silence(now);
        let own = self.zone().clone();
        let readers = self.readers(&own, now);
        let is_reader = readers.contains(self.host());
        let mut follows: Vec<_> = readers
            .into_iter()
            .filter(|reader| reader != self.host())
            .collect();
        let reads = is_reader || !self.is_served(&follows, now);
        if reads {
            let others: Vec<_> = self
                .zones(now)
                .into_iter()
                .filter(|zone| **zone != own)
                .filter_map(|zone| self.readers(zone, now).into_iter().next())
                .collect();
            follows.extend(others);
        }
        self.note_followed(&follows, now);
        Plan { reads, follows }
    }

    fn is_served(&self, follows: &[HostName], now: Moment) -> bool {
        let followed: Vec<_> = follows.iter().filter_map(|host| self.get(host)).collect();
        let is_new = |member: &&Member| member.is_awaited(now) || member.heard.is_none();
        followed.iter().any(|member| member.is_fresh(now)) || followed.iter().any(is_new)
    }

    fn zones(&self, now: Moment) -> BTreeSet<&ZoneName> {
        self.live(now).map(|(_host, member)| &member.zone).collect()
    }
}

fn first<'a>(
    members: impl Iterator<Item = (&'a HostName, &'a Member)>,
    subject: &str,
    count: usize,
) -> Vec<HostName> {
    let mut weighted: Vec<_> = members
        .map(|(host, _member)| (Reverse(rendezvous_weight(host.as_str(), subject)), host))
        .collect();
    weighted.sort_unstable();
    weighted
        .into_iter()
        .take(count)
        .map(|(_weight, host)| host.clone())
        .collect()
}
