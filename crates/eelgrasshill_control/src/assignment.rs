//! Assigns tasks to hosts: reading the log, appending claims, following peers.
//!
//! Each zone has a few readers and a few claim writers per shard, so there is
//! no full mesh of connections. Hosts are chosen by rendezvous hashing over the
//! live members: hosts with the same member list make the same choice, and one
//! host that joins or leaves changes few assignments.

use std::{cmp::Reverse, collections::BTreeSet};

use eelgrasshill_domain::{HostName, Moment, ZoneName, rendezvous_weight};

use crate::{Member, Members};

/// The number of hosts per zone that read the log and the host list.
pub const READERS_PER_ZONE: usize = 3;

/// The number of hosts per zone that append the claims of one shard.
pub const WRITERS_PER_ZONE: usize = 2;

/// The sources from which a host currently gets updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadPlan {
    /// Whether the host reads the log and the host list itself.
    pub reads_log: bool,
    /// The hosts from which it streams updates and to which it sends heartbeats.
    pub follows: Vec<HostName>,
}

impl Members {
    /// Returns the hosts of a zone that read the log, in order of preference.
    #[must_use]
    pub fn readers(&self, zone: &ZoneName, now: Moment) -> Vec<HostName> {
        let task = format!("readers {zone}");
        select_hosts(self.in_zone(zone, now), &task, READERS_PER_ZONE)
    }

    /// Returns the hosts that append a shard's claims, starting with the own zone.
    #[must_use]
    pub fn writers(&self, shard: u32, now: Moment) -> Vec<HostName> {
        let task = format!("claims-{shard}");
        let own = self.zone();
        let mut writers = select_hosts(self.in_zone(own, now), &task, WRITERS_PER_ZONE);
        for zone in self.zones(now).into_iter().filter(|zone| *zone != own) {
            writers.extend(select_hosts(
                self.in_zone(zone, now),
                &task,
                WRITERS_PER_ZONE,
            ));
        }
        writers
    }

    /// Returns this host's rank for a task; zero is the first choice.
    #[must_use]
    pub fn rank(&self, task: &str, now: Moment) -> usize {
        let own = (
            Reverse(rendezvous_weight(self.host().as_str(), task)),
            self.host(),
        );
        self.live(now)
            .map(|(host, _member)| (Reverse(rendezvous_weight(host.as_str(), task)), host))
            .filter(|other| *other < own)
            .count()
    }

    /// Decides which hosts to follow and whether to read the log.
    ///
    /// Every host follows the readers of its zone. A host that is not a reader
    /// reads the log itself when none of them is up to date. A host that reads
    /// the log also follows one reader in each other zone, so that it still gets
    /// updates when its own zone cannot reach the platform.
    pub fn plan(&mut self, now: Moment) -> ReadPlan {
        self.check_silence(now);
        let own = self.zone().clone();
        let readers = self.readers(&own, now);
        let is_reader = readers.contains(self.host());
        let mut follows: Vec<_> = readers
            .into_iter()
            .filter(|reader| reader != self.host())
            .collect();
        let reads_log = is_reader || !self.has_current_source(&follows, now);
        if reads_log {
            let others: Vec<_> = self
                .zones(now)
                .into_iter()
                .filter(|zone| **zone != own)
                .filter_map(|zone| self.readers(zone, now).into_iter().next())
                .collect();
            follows.extend(others);
        }
        self.set_followed(&follows, now);
        ReadPlan { reads_log, follows }
    }

    /// Returns whether a followed host is up to date, or may be but has not answered yet.
    fn has_current_source(&self, follows: &[HostName], now: Moment) -> bool {
        let followed: Vec<_> = follows.iter().filter_map(|host| self.get(host)).collect();
        let is_pending =
            |member: &&Member| member.is_awaited(now) || member.last_heartbeat.is_none();
        followed.iter().any(|member| member.is_current(now)) || followed.iter().any(is_pending)
    }

    fn zones(&self, now: Moment) -> BTreeSet<&ZoneName> {
        self.live(now).map(|(_host, member)| &member.zone).collect()
    }
}

/// Returns the `count` hosts with the highest rendezvous weight.
fn select_hosts<'a>(
    members: impl Iterator<Item = (&'a HostName, &'a Member)>,
    task: &str,
    count: usize,
) -> Vec<HostName> {
    let mut weighted: Vec<_> = members
        .map(|(host, _member)| (Reverse(rendezvous_weight(host.as_str(), task)), host))
        .collect();
    weighted.sort_unstable();
    weighted
        .into_iter()
        .take(count)
        .map(|(_weight, host)| host.clone())
        .collect()
}
