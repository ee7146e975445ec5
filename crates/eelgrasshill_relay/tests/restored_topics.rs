//! Tests that hosts agree on the records of a restored store, and that nothing in force regresses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{HostName, Moment, Offset, PoolName, Version, ZoneName};
use eelgrasshill_relay::{
    ConfigInForce, Era, KeyedRecord, KeyedTopic, KnownUpstreams, SoftwareVersion, TopicUpdate,
    Upstream,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 500;
const STEPS: usize = 400;
const HOSTS: usize = 4;
const KEYS: [&str; 4] = ["a", "b", "c", "d"];

/// Keyed topic of a store; the index of a record is its offset.
struct Store {
    era: u64,
    log: Vec<(&'static str, String)>,
}

impl Store {
    fn update(&self, from: u64, is_whole: bool, now: u64) -> TopicUpdate {
        let mut newest = BTreeMap::new();
        let start = if is_whole {
            0
        } else {
            usize::try_from(from).expect("offsets are small")
        };
        for (offset, (key, value)) in self.log.iter().enumerate().skip(start) {
            newest.insert(*key, (offset, value));
        }
        let mut records: Vec<_> = newest
            .into_iter()
            // A read of all keys does not show those that were removed.
            .filter(|(_key, (_offset, value))| !is_whole || !value.is_empty())
            .map(|(key, (offset, value))| KeyedRecord {
                key: Arc::from(key),
                offset: Offset(u64::try_from(offset).expect("offsets are small")),
                value: Arc::from(value.as_bytes()),
            })
            .collect();
        records.sort_by_key(|record| record.offset);
        TopicUpdate {
            era: Era(self.era),
            records,
            end: Offset(u64::try_from(self.log.len()).expect("offsets are small")),
            confirmed_at: Some(Moment(now)),
            is_whole,
        }
    }

    /// Answers a host's read as the store does; none if its offset is beyond the end.
    fn read(&self, host: &KeyedTopic, knows_era: bool, now: u64) -> Option<TopicUpdate> {
        let is_whole = host.confirmed_at().is_none() || knows_era;
        let from = host.end().0;
        let is_beyond = from > u64::try_from(self.log.len()).expect("offsets are small");
        (is_whole || !is_beyond).then(|| self.update(from, is_whole, now))
    }

    fn values(&self) -> BTreeMap<&'static str, &str> {
        let mut newest = BTreeMap::new();
        for (key, value) in &self.log {
            newest.insert(*key, value.as_str());
        }
        newest.retain(|_key, value| !value.is_empty());
        newest
    }
}

/// Returns what a peer tells a host that stated its era and end.
fn tell(peer: &KeyedTopic, (era, end): (Era, Offset)) -> TopicUpdate {
    let mut records: Vec<_> = peer.missing_after(era, end).cloned().collect();
    records.sort_by_key(|record| record.offset);
    TopicUpdate {
        era: peer.era(),
        records,
        end: peer.end(),
        confirmed_at: peer.confirmed_at(),
        is_whole: peer.needs_whole(era, end),
    }
}

fn values(topic: &KeyedTopic) -> BTreeMap<String, String> {
    let text = |record: &KeyedRecord| String::from_utf8_lossy(&record.value).into_owned();
    topic
        .iter()
        .map(|record| (record.key.to_string(), text(record)))
        .collect()
}

/// Guards against offsets that are compared across eras, and answers of two eras that cross.
///
/// Hosts read from the store and from each other, with answers that arrive late and out of order.
#[test]
fn hosts_agree_with_a_restored_store() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut store = Store {
            era: 1,
            log: Vec::new(),
        };
        let mut hosts: Vec<_> = (0..HOSTS).map(|_host| KeyedTopic::default()).collect();
        let mut late: Vec<(usize, TopicUpdate)> = Vec::new();
        for step in 0..STEPS {
            let now = u64::try_from(step).expect("steps are few");
            match random.random_range(0..20) {
                0..7 => {
                    let key = KEYS[random.random_range(0..KEYS.len())];
                    let is_removal = random.random_range(0..5) == 0;
                    let value = if is_removal {
                        String::new()
                    } else {
                        now.to_string()
                    };
                    store.log.push((key, value));
                }
                7 if step % 5 == 0 => {
                    let lost = random.random_range(0..=store.log.len().min(12));
                    store.log.truncate(store.log.len() - lost);
                    store.era += 1;
                }
                _ => {}
            }
            let host = random.random_range(0..HOSTS);
            let update = if random.random_range(0..2) == 0 {
                let knows_era = random.random_range(0..4) == 0;
                store.read(&hosts[host], knows_era, now)
            } else {
                let peer = random.random_range(0..HOSTS);
                let stated = (hosts[host].era(), hosts[host].end());
                Some(tell(&hosts[peer], stated))
            };
            if let Some(update) = update {
                late.push((host, update));
            }
            if random.random_range(0..3) > 0 && !late.is_empty() {
                let (to, update) = late.swap_remove(random.random_range(0..late.len()));
                let before = hosts[to].era();
                hosts[to].apply(update);
                assert!(hosts[to].era() >= before, "seed {seed}: the era fell");
            }
        }
        // The first host reads the store, and the others get its records.
        let now = u64::try_from(STEPS).expect("steps are few");
        let update = store.update(0, true, now);
        hosts[0].apply(update);
        for host in 1..HOSTS {
            let stated = (hosts[host].era(), hosts[host].end());
            let update = tell(&hosts[0], stated);
            hosts[host].apply(update);
        }
        for (number, host) in hosts.iter().enumerate() {
            let found = values(host);
            let expected: BTreeMap<_, _> = store
                .values()
                .into_iter()
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
                .collect();
            assert_eq!(found, expected, "seed {seed}, host {number}");
        }
    }
}

/// Guards against records that are taken for removed because a restore lost them.
#[test]
fn keys_that_a_restore_lost_are_named_as_missing() {
    let record = |key: &str, offset, value: &str| KeyedRecord {
        key: Arc::from(key),
        offset: Offset(offset),
        value: Arc::from(value.as_bytes()),
    };
    let update = |era, records, end| TopicUpdate {
        era: Era(era),
        records,
        end: Offset(end),
        confirmed_at: Some(Moment(1)),
        is_whole: true,
    };
    let mut topic = KeyedTopic::default();
    let first = topic.apply(update(2, vec![record("a", 0, "1"), record("b", 1, "1")], 2));
    assert!(!first.is_new_era, "the first read follows no restore");
    let changes = topic.apply(update(3, vec![record("a", 0, "0")], 1));
    assert!(changes.is_new_era);
    assert_eq!(changes.records, [record("a", 0, "0")]);
    assert_eq!(changes.missing, [Arc::from("b")]);
    let late = topic.apply(update(2, vec![record("b", 5, "2")], 6));
    assert_eq!((late.records, topic.end()), (Vec::new(), Offset(1)));
}

/// Guards against a restored configuration that brings withdrawn keys back.
#[test]
fn the_configuration_in_force_never_falls() {
    #[derive(Clone, Copy, Debug)]
    enum Step {
        Shown(u64, u64),
        Missing(u64),
        Adopted(u64, u64),
    }
    use Step::{Adopted, Missing, Shown};
    // Steps after version 5 in era 1, with the version in force and whether it is confirmed.
    let cases: [(&str, &[Step], u64, bool); 9] = [
        ("a newer one", &[Shown(6, 1)], 6, true),
        ("an older one in the same era", &[Shown(4, 1)], 4, true),
        ("a restored older one", &[Shown(4, 2)], 5, false),
        ("a restored same one", &[Shown(5, 2)], 5, true),
        ("none after a restore", &[Missing(2)], 5, false),
        ("none in the same era", &[Missing(1)], 5, true),
        (
            "written again",
            &[Missing(2), Shown(4, 2), Shown(5, 2)],
            5,
            true,
        ),
        (
            "two restores",
            &[Shown(4, 2), Shown(3, 3), Shown(4, 3)],
            5,
            false,
        ),
        (
            "from a peer",
            &[Shown(4, 2), Adopted(6, 2), Shown(5, 2)],
            6,
            false,
        ),
    ];
    for (name, steps, expected, is_confirmed) in cases {
        let mut config = ConfigInForce::default();
        assert!(config.offer(Version(5), Era(1)));
        let mut in_force = 5;
        for step in steps {
            match *step {
                Shown(version, era) if config.offer(Version(version), Era(era)) => {
                    in_force = version;
                }
                Adopted(version, era) if config.adopt(Version(version), Era(era)) => {
                    in_force = version;
                }
                Missing(era) => config.note_missing(Era(era)),
                Shown(..) | Adopted(..) => {}
            }
        }
        config.confirm(Some(Moment(9)));
        assert_eq!(in_force, expected, "{name}");
        assert_eq!(config.confirmed_at().is_some(), is_confirmed, "{name}");
    }
}

/// Guards against requests to a leaving engine whose older entry a restore brought back.
#[test]
fn an_older_entry_of_a_restored_store_revives_no_upstream() {
    let name = |text| HostName::new(text).expect("the name is valid");
    let entry = |started_ms, leaving| Upstream {
        id: name("e"),
        pool: PoolName::new("p").expect("the name is valid"),
        zone: ZoneName::new("z").expect("the name is valid"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        slots: 1,
        leaving,
        started_ms,
        holdings: Vec::new(),
        memory: Vec::new(),
        disk: Vec::new(),
        cold_remaining: Duration::ZERO,
        software: SoftwareVersion::default(),
    };
    // The known entry, the restored one, and whether requests go to the upstream after 0 s and 2 s.
    let cases = [
        ("unchanged", entry(1, false), entry(1, false), true, true),
        ("leaving", entry(1, true), entry(1, false), false, false),
        ("restarted", entry(2, false), entry(1, false), true, false),
        ("newer start", entry(1, true), entry(2, false), true, true),
    ];
    for (case, known, restored, at_once, later) in cases {
        let mut upstreams = KnownUpstreams::default();
        upstreams.insert(known, Moment(0));
        upstreams.start_era();
        upstreams.insert_restored(restored, Moment(1_000));
        for (now, expected) in [(1_000, at_once), (3_000, later)] {
            let is_available = upstreams.available(Moment(now)).count() == 1;
            assert_eq!(is_available, expected, "{case} at {now} ms");
        }
    }
}
