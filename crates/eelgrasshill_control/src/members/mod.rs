//! Who the entry hosts are, from the platform's lagging list and from heartbeats.
//!
//! Silence only makes a host a suspect. That a process stopped is taken as
//! proven when a newer one answers at its address, or when it said so itself.

mod member;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use eelgrasshill_domain::{
    FastMap, HostName, Incarnation, Moment, Offset, ZoneName, record, scalar,
};

use member::SUSPICION;
pub use member::{MAX_AGE, MAX_SILENCE, Member};

scalar! {
    /// One run of a process, told apart from earlier ones at its address.
    pub struct Process {
        /// Where it listens for peers.
        pub address: SocketAddr,
        /// The number that rises with each start at the address.
        pub incarnation: Incarnation,
    }
}

record! {
    /// A line of the platform's list of hosts.
    pub struct Listed {
        /// The host's name.
        pub host: HostName,
        /// Its zone.
        pub zone: ZoneName,
        /// Where it listens for peers.
        pub address: SocketAddr,
        /// Whether it is about to go.
        pub leaving: bool,
    }

    /// What a host tells those that it follows, and they tell it back.
    pub struct Heartbeat {
        /// The host's name.
        pub host: HostName,
        /// Its zone.
        pub zone: ZoneName,
        /// The sending process.
        pub process: Process,
        /// The offset of its last folded configuration record.
        pub offset: Offset,
        /// Time since its tables were known to be current.
        pub age: Duration,
        /// Whether it is about to go.
        pub leaving: bool,
    }
}

/// The entry hosts as one of them knows them.
#[derive(Clone, Debug)]
pub struct Members {
    host: HostName,
    process: Process,
    all: BTreeMap<HostName, Member>,
    newest: FastMap<SocketAddr, Incarnation>,
    ended: FastMap<SocketAddr, Incarnation>,
    read: Option<Moment>,
}

impl Members {
    /// Starts with the host itself as the only member.
    #[must_use]
    pub fn new(host: HostName, zone: ZoneName, process: Process) -> Self {
        let mut me = Member::new(zone, process.address);
        me.listed = true;
        Self {
            all: BTreeMap::from([(host.clone(), me)]),
            newest: FastMap::from_iter([(process.address, process.incarnation)]),
            ended: FastMap::default(),
            read: None,
            host,
            process,
        }
    }

    /// Returns the host's own name.
    #[must_use]
    pub fn host(&self) -> &HostName {
        &self.host
    }

    /// Returns the host's own process.
    #[must_use]
    pub fn process(&self) -> Process {
        self.process
    }

    /// Returns what is known of a host.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&Member> {
        self.all.get(host)
    }

    /// Returns the live hosts, in order of their names.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = (&HostName, &Member)> {
        self.all
            .iter()
            .filter(move |(host, member)| **host == self.host || member.is_live(now))
    }

    /// Returns the live hosts of a zone, in order of their names.
    pub fn in_zone<'a>(
        &'a self,
        zone: &'a ZoneName,
        now: Moment,
    ) -> impl Iterator<Item = (&'a HostName, &'a Member)> {
        self.live(now)
            .filter(move |(_host, member)| member.zone == *zone)
    }

    /// Takes in the platform's list, which replaces the one before.
    pub fn list(&mut self, lines: &[Listed], now: Moment) {
        for member in self.all.values_mut() {
            member.listed = false;
        }
        for line in lines {
            let member = self
                .all
                .entry(line.host.clone())
                .or_insert_with(|| Member::new(line.zone.clone(), line.address));
            member.listed = true;
            member.leaving = line.leaving;
            if member.address != line.address {
                *member = Member {
                    listed: true,
                    leaving: line.leaving,
                    ..Member::new(line.zone.clone(), line.address)
                };
            }
        }
        let me = self.host.clone();
        self.all
            .retain(|host, member| *host == me || member.listed || member.is_heard(now, SUSPICION));
    }

    /// Takes in a heartbeat; returns the process that it proves to have stopped.
    pub fn hear(&mut self, beat: &Heartbeat, now: Moment) -> Option<Process> {
        let address = beat.process.address;
        let known = self.newest.get(&address).copied();
        if known.is_some_and(|newest| beat.process.incarnation < newest) {
            return None;
        }
        self.newest.insert(address, beat.process.incarnation);
        if beat.host != self.host {
            self.note_beat(beat, now);
        }
        let older = known.filter(|older| *older < beat.process.incarnation)?;
        Some(Process {
            address,
            incarnation: older,
        })
    }

    fn note_beat(&mut self, beat: &Heartbeat, now: Moment) {
        let address = beat.process.address;
        let member = self
            .all
            .entry(beat.host.clone())
            .or_insert_with(|| Member::new(beat.zone.clone(), address));
        member.zone.clone_from(&beat.zone);
        member.address = address;
        member.offset = beat.offset;
        member.heard = Some(now);
        member.suspect = None;
        member.leaving |= beat.leaving;
        let age = u64::try_from(beat.age.as_millis()).unwrap_or(u64::MAX);
        member.fresh = now.0.checked_sub(age).map(Moment);
    }

    /// Notes that a process said it has nothing left to do and will stop.
    pub fn release(&mut self, process: Process) {
        let ended = self.ended.entry(process.address).or_default();
        *ended = process.incarnation.max(*ended);
    }

    /// Returns whether a process is proven to have stopped.
    #[must_use]
    pub fn is_stopped(&self, process: Process) -> bool {
        let is_replaced = self
            .newest
            .get(&process.address)
            .is_some_and(|newest| *newest > process.incarnation);
        let is_released = self
            .ended
            .get(&process.address)
            .is_some_and(|ended| *ended >= process.incarnation);
        is_replaced || is_released
    }

    /// Notes that the host itself has read the log to its end.
    pub fn note_read(&mut self, now: Moment) {
        self.read = Some(now);
    }

    /// Returns when the tables folded up to `offset` were last known to be current.
    ///
    /// There is no such time while a new host has heard from neither the log nor
    /// a peer; such a host is not ready.
    #[must_use]
    pub fn fresh(&self, offset: Offset) -> Option<Moment> {
        self.all
            .values()
            .filter(|member| member.offset <= offset)
            .filter_map(|member| member.fresh)
            .chain(self.read)
            .max()
    }

    /// Makes the heartbeat of the host itself.
    #[must_use]
    pub fn heartbeat(&self, offset: Offset, leaving: bool, now: Moment) -> Heartbeat {
        let age = self
            .fresh(offset)
            .map_or(Duration::MAX, |fresh| now.since(fresh));
        Heartbeat {
            host: self.host.clone(),
            zone: self.zone().clone(),
            process: self.process,
            offset,
            age,
            leaving,
        }
    }

    /// Returns the zone of the host itself.
    #[must_use]
    pub fn zone(&self) -> &ZoneName {
        &self.all[&self.host].zone
    }

    /// Makes suspects of followed hosts that were silent for too long.
    pub(crate) fn check_silence(&mut self, now: Moment) {
        for member in self.all.values_mut() {
            member.check_silence(now);
        }
    }

    /// Notes since when hosts are followed, and forgets those that no longer are.
    pub(crate) fn note_followed(&mut self, hosts: &[HostName], now: Moment) {
        for (host, member) in &mut self.all {
            if hosts.contains(host) {
                member.followed.get_or_insert(now);
            } else {
                member.followed = None;
            }
        }
    }
}
