//! Tests that evacuated zones get no requests, and that hosts learn when an evacuation ends.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastSet, HostName, ModelName, Moment, Offset, PoolName, ZoneName};
use eelgrasshill_relay::{
    EngineRests, EngineSpeeds, KeyedRecord, KeyedTopic, KnownUpstreams, NoUpstream, ResidentModel,
    SelectionSettings, SoftwareVersion, TopicUpdate, Upstream, UpstreamHealth, UpstreamLoads,
    UpstreamQuery, UpstreamSelector,
};

const NOW: Moment = Moment(1_000);

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("the name is valid")
}

fn host(name: &str) -> HostName {
    HostName::new(name).expect("the name is valid")
}

fn held_model() -> ModelName {
    ModelName::new("m").expect("the name is valid")
}

fn upstream(id: &str, zone_name: &str) -> Upstream {
    Upstream {
        id: host(id),
        pool: PoolName::new("p").expect("the name is valid"),
        zone: zone(zone_name),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        slots: 48,
        leaving: false,
        started_ms: 1,
        holdings: vec![ResidentModel {
            model: held_model(),
            adapters: Vec::new(),
        }],
        memory: Vec::new(),
        disk: Vec::new(),
        cold_remaining: Duration::ZERO,
        software: SoftwareVersion::default(),
    }
}

/// What a host with these upstreams chooses, may use, excludes, and picks from.
struct Decisions {
    chosen: Result<HostName, NoUpstream>,
    usable: bool,
    excluded: FastSet<HostName>,
    picked: Vec<HostName>,
}

/// Returns the decisions on a request whose host knows `e-near` as a holder.
fn decide(upstreams: &KnownUpstreams) -> Decisions {
    let (pool, model, tried) = (
        PoolName::new("p").expect("the name is valid"),
        held_model(),
        FastSet::default(),
    );
    let selector = UpstreamSelector {
        upstreams,
        loads: &UpstreamLoads::default(),
        health: &UpstreamHealth::default(),
        rests: &EngineRests::default(),
        speeds: &EngineSpeeds::new(38),
        zone: &zone("near"),
        settings: &SelectionSettings::default(),
    };
    let query = UpstreamQuery {
        pool: &pool,
        model: Some(&model),
        adapter: None,
        rank: 0,
        tried: &tried,
        homes: None,
        software: None,
    };
    let near = host("e-near");
    let candidates = selector.pick_candidates(&query, &near, NOW);
    Decisions {
        chosen: selector
            .choose(&query, |_count| 0, NOW)
            .map(|candidate| candidate.upstream.id.clone()),
        usable: selector.usable(&query, &near, NOW).is_some(),
        excluded: selector.excluded(&query, NOW),
        picked: candidates
            .iter()
            .map(|candidate| candidate.upstream.id.clone())
            .collect(),
    }
}

/// Guards against requests, resumed streams and picks that go to an evacuated zone.
#[test]
fn no_request_goes_to_an_evacuated_zone() {
    let mut upstreams = KnownUpstreams::default();
    upstreams.insert(upstream("e-near", "near"), NOW);
    upstreams.insert(upstream("e-far", "far"), NOW);
    let (near, far) = (host("e-near"), host("e-far"));
    let before = decide(&upstreams);
    assert_eq!(before.chosen, Ok(near.clone()), "the same zone costs least");
    assert!(before.usable && before.excluded.is_empty());

    upstreams.set_evacuated(FastSet::from_iter([zone("near")]));
    let evacuated = decide(&upstreams);
    assert_eq!(evacuated.chosen, Ok(far.clone()));
    assert!(!evacuated.usable);
    assert!(
        evacuated.excluded.contains(&near),
        "a picker that does not know of the evacuation must leave the engine out"
    );
    assert_eq!(evacuated.picked, [far]);

    upstreams.set_evacuated(FastSet::from_iter([zone("near"), zone("far")]));
    let none_left = decide(&upstreams);
    assert_eq!(none_left.chosen, Err(NoUpstream::Evacuated));
    assert_eq!(none_left.picked, Vec::<HostName>::new());

    upstreams.set_evacuated(FastSet::default());
    assert_eq!(decide(&upstreams).chosen, Ok(near));
}

fn record(key: &str, offset: u64, value: &str) -> KeyedRecord {
    KeyedRecord {
        key: Arc::from(key),
        offset: Offset(offset),
        value: Arc::from(value.as_bytes()),
    }
}

/// Sends the records that a host lacks from one host to another, as the exchange does.
fn exchange(from: &KeyedTopic, to: &mut KeyedTopic) {
    let (era, known) = (to.era(), to.end());
    let mut records: Vec<_> = from.missing_after(era, known).cloned().collect();
    records.sort_by_key(|record| record.offset);
    to.apply(TopicUpdate {
        era: from.era(),
        records,
        end: from.end(),
        confirmed_at: from.confirmed_at(),
        is_whole: from.needs_whole(era, known),
    });
}

/// Guards against an evacuation that stays in force on a host forever, because its parent read the
/// newest records after the end of the evacuation and never had the removed key.
#[test]
fn a_removal_reaches_hosts_whose_parent_never_knew_the_key() {
    let evacuated = "zone-z";
    let mut child = KeyedTopic::default();
    let known = vec![record("config", 0, "1"), record(evacuated, 1, "{}")];
    child.replace(known, Offset(2), Moment(1));
    // The removal of offset 2 is no longer among the newest records.
    let mut parent = KeyedTopic::default();
    parent.replace(vec![record("config", 3, "2")], Offset(4), Moment(2));
    let mut grandchild = child.clone();
    exchange(&parent, &mut child);
    assert!(child.get(evacuated).is_none());
    assert_eq!(child.get("config"), parent.get("config"));
    exchange(&child, &mut grandchild);
    assert!(grandchild.get(evacuated).is_none());
    // A host that got its first records from a peer does not know earlier removals either.
    let (mut started, mut late) = (KeyedTopic::default(), KeyedTopic::default());
    late.replace(vec![record(evacuated, 1, "{}")], Offset(2), Moment(1));
    exchange(&parent, &mut started);
    exchange(&started, &mut late);
    assert!(late.get(evacuated).is_none());
    // A peer that is behind removes nothing that it cannot know yet.
    child.extend(vec![record(evacuated, 4, "{}")], Offset(5), None);
    exchange(&parent, &mut child);
    assert!(child.get(evacuated).is_some());
    assert!(
        !child.needs_whole(child.era(), Offset(4)),
        "all keys are sent once"
    );
}
