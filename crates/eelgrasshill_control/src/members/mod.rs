//! Tracks the entry hosts from the platform's host list and from heartbeats.
//!
//! The platform's list lags behind, so heartbeats add hosts that are not listed
//! yet. A host without heartbeats is only a suspect. A process counts as stopped
//! only when a newer process runs at its address or when it announced its stop.

mod member;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use eelgrasshill_domain::{
    FastMap, HostName, Incarnation, Moment, Offset, ZoneName, record, scalar,
};

use member::SUSPICION_TIMEOUT;
pub use member::{MAX_SILENCE, MAX_TABLES_AGE, Member};

scalar! {
    /// One run of a process, distinguished from earlier runs at the same address.
    pub struct Process {
        /// The address at which the process listens for peers.
        pub address: SocketAddr,
        /// A number that increases with each start at the address.
        pub incarnation: Incarnation,
    }
}

record! {
    /// An entry of the platform's host list.
    pub struct ListedHost {
        /// The host name.
        pub host: HostName,
        /// The availability zone of the host.
        pub zone: ZoneName,
        /// The address at which the host listens for peers.
        pub address: SocketAddr,
        /// Whether the host is shutting down and must get no new tasks.
        pub leaving: bool,
    }

    /// The status that a host exchanges with the hosts it follows.
    pub struct Heartbeat {
        /// The host name.
        pub host: HostName,
        /// The availability zone of the host.
        pub zone: ZoneName,
        /// The sending process.
        pub process: Process,
        /// The offset of the last configuration record that the host has applied.
        pub offset: Offset,
        /// The time since the tables of the host were known to be current.
        #[serde(rename = "age")]
        pub tables_age: Duration,
        /// Whether the host is shutting down and must get no new tasks.
        pub leaving: bool,
    }
}

/// The entry hosts that one host knows, including itself.
#[derive(Clone, Debug)]
pub struct Members {
    host: HostName,
    process: Process,
    hosts: BTreeMap<HostName, Member>,
    newest_incarnations: FastMap<SocketAddr, Incarnation>,
    stopped_incarnations: FastMap<SocketAddr, Incarnation>,
    last_read: Option<Moment>,
}

impl Members {
    /// Creates a member list that contains only the host itself.
    #[must_use]
    pub fn new(host: HostName, zone: ZoneName, process: Process) -> Self {
        let mut me = Member::new(zone, process.address);
        me.listed = true;
        Self {
            hosts: BTreeMap::from([(host.clone(), me)]),
            newest_incarnations: FastMap::from_iter([(process.address, process.incarnation)]),
            stopped_incarnations: FastMap::default(),
            last_read: None,
            host,
            process,
        }
    }

    /// Returns the name of this host.
    #[must_use]
    pub fn host(&self) -> &HostName {
        &self.host
    }

    /// Returns the process that runs on this host.
    #[must_use]
    pub fn process(&self) -> Process {
        self.process
    }

    /// Returns the state of a host, if the host is known.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&Member> {
        self.hosts.get(host)
    }

    /// Returns the live hosts, sorted by name.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = (&HostName, &Member)> {
        self.hosts
            .iter()
            .filter(move |(host, member)| **host == self.host || member.is_live(now))
    }

    /// Returns the live hosts of a zone, sorted by name.
    pub fn in_zone<'a>(
        &'a self,
        zone: &'a ZoneName,
        now: Moment,
    ) -> impl Iterator<Item = (&'a HostName, &'a Member)> {
        self.live(now)
            .filter(move |(_host, member)| member.zone == *zone)
    }

    /// Replaces the previous host list of the platform.
    ///
    /// Hosts that are neither listed nor heard from recently are dropped.
    pub fn update_list(&mut self, listed_hosts: &[ListedHost], now: Moment) {
        for member in self.hosts.values_mut() {
            member.listed = false;
        }
        for listed_host in listed_hosts {
            let member = self
                .hosts
                .entry(listed_host.host.clone())
                .or_insert_with(|| Member::new(listed_host.zone.clone(), listed_host.address));
            member.listed = true;
            member.leaving = listed_host.leaving;
            if member.address != listed_host.address {
                *member = Member {
                    listed: true,
                    leaving: listed_host.leaving,
                    ..Member::new(listed_host.zone.clone(), listed_host.address)
                };
            }
        }
        let me = self.host.clone();
        self.hosts.retain(|host, member| {
            *host == me || member.listed || member.has_heartbeat_within(now, SUSPICION_TIMEOUT)
        });
    }

    /// Processes a heartbeat and returns the process that it proves stopped, if any.
    ///
    /// A heartbeat of an older process than the newest known one is ignored.
    pub fn receive_heartbeat(&mut self, heartbeat: &Heartbeat, now: Moment) -> Option<Process> {
        let address = heartbeat.process.address;
        let known = self.newest_incarnations.get(&address).copied();
        if known.is_some_and(|newest| heartbeat.process.incarnation < newest) {
            return None;
        }
        self.newest_incarnations
            .insert(address, heartbeat.process.incarnation);
        if heartbeat.host != self.host {
            self.update_member(heartbeat, now);
        }
        let older = known.filter(|older| *older < heartbeat.process.incarnation)?;
        Some(Process {
            address,
            incarnation: older,
        })
    }

    fn update_member(&mut self, heartbeat: &Heartbeat, now: Moment) {
        let address = heartbeat.process.address;
        let member = self
            .hosts
            .entry(heartbeat.host.clone())
            .or_insert_with(|| Member::new(heartbeat.zone.clone(), address));
        member.zone.clone_from(&heartbeat.zone);
        member.address = address;
        member.offset = heartbeat.offset;
        member.last_heartbeat = Some(now);
        member.suspected_at = None;
        member.leaving |= heartbeat.leaving;
        let age = u64::try_from(heartbeat.tables_age.as_millis()).unwrap_or(u64::MAX);
        member.current_at = now.0.checked_sub(age).map(Moment);
    }

    /// Records that a process announced its stop after finishing its work.
    pub fn mark_stopped(&mut self, process: Process) {
        let stopped = self
            .stopped_incarnations
            .entry(process.address)
            .or_default();
        *stopped = process.incarnation.max(*stopped);
    }

    /// Returns whether a process is known to have stopped.
    #[must_use]
    pub fn is_stopped(&self, process: Process) -> bool {
        let is_replaced = self
            .newest_incarnations
            .get(&process.address)
            .is_some_and(|newest| *newest > process.incarnation);
        let has_announced_stop = self
            .stopped_incarnations
            .get(&process.address)
            .is_some_and(|stopped| *stopped >= process.incarnation);
        is_replaced || has_announced_stop
    }

    /// Records that this host has read the log to its end.
    pub fn record_log_read(&mut self, now: Moment) {
        self.last_read = Some(now);
    }

    /// Returns the last time at which the tables at `offset` were known to be current.
    ///
    /// Returns `None` until a new host has read the log or heard from a peer; such
    /// a host is not ready.
    #[must_use]
    pub fn current_at(&self, offset: Offset) -> Option<Moment> {
        self.hosts
            .values()
            .filter(|member| member.offset <= offset)
            .filter_map(|member| member.current_at)
            .chain(self.last_read)
            .max()
    }

    /// Creates the heartbeat of this host.
    #[must_use]
    pub fn heartbeat(&self, offset: Offset, leaving: bool, now: Moment) -> Heartbeat {
        let tables_age = self
            .current_at(offset)
            .map_or(Duration::MAX, |current_at| now.since(current_at));
        Heartbeat {
            host: self.host.clone(),
            zone: self.zone().clone(),
            process: self.process,
            offset,
            tables_age,
            leaving,
        }
    }

    /// Returns the availability zone of this host.
    #[must_use]
    pub fn zone(&self) -> &ZoneName {
        &self.hosts[&self.host].zone
    }

    /// Marks followed hosts as suspects if they were silent for too long.
    pub(crate) fn check_silence(&mut self, now: Moment) {
        for member in self.hosts.values_mut() {
            member.check_silence(now);
        }
    }

    /// Sets the start time of newly followed hosts and clears it for all others.
    pub(crate) fn set_followed(&mut self, hosts: &[HostName], now: Moment) {
        for (host, member) in &mut self.hosts {
            if hosts.contains(host) {
                member.followed_since.get_or_insert(now);
            } else {
                member.followed_since = None;
            }
        }
    }
}
