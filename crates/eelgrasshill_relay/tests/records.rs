//! Tests of records, registry entries, event streams, upstream selection and retry budgets.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{
    FastMap, FastSet, HostName, Incarnation, ModelName, Moment, Offset, PoolName, ZoneName,
};
use eelgrasshill_relay::{
    EngineRests, EngineSpeeds, EventSplitter, HoldingsUpdate, KeyedRecord, KeyedTopic,
    KnownUpstreams, MaxKeyAge, Peer, RANKS, RequestOutcome, ResidentModel, RetryBudget,
    RetrySettings, SelectionSettings, SoftwareVersion, Tree, Upstream, UpstreamHealth,
    UpstreamLoad, UpstreamLoads, UpstreamQuery, UpstreamSelector,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Ranks of requests.
const URGENT: u8 = 0;
const LEAST_URGENT: u8 = 2;

fn name(text: &str) -> HostName {
    HostName::new(text).expect("the name is valid")
}

fn record(key: &str, offset: u64, value: &str) -> KeyedRecord {
    KeyedRecord {
        key: Arc::from(key),
        offset: Offset(offset),
        value: Arc::from(value.as_bytes()),
    }
}

fn upstream(id: &str, models: &[&str]) -> Upstream {
    let holdings = models.iter().map(|model| ResidentModel {
        model: ModelName::new(model).expect("the name is valid"),
        adapters: Vec::new(),
    });
    Upstream {
        id: name(id),
        pool: PoolName::new("p").expect("the name is valid"),
        zone: ZoneName::new("z").expect("the name is valid"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        slots: 48,
        leaving: false,
        started_ms: 1,
        holdings: holdings.collect(),
        memory: Vec::new(),
        disk: Vec::new(),
        cold_remaining: Duration::ZERO,
        software: SoftwareVersion::default(),
    }
}

#[test]
fn newest_record_wins_from_any_source() {
    let mut keyed = KeyedTopic::default();
    keyed.extend(
        vec![record("a", 0, "1"), record("b", 1, "1")],
        Offset(2),
        Some(Moment(10)),
    );
    // A peer that is behind brings no changes, and does not confirm the records.
    let changes = keyed.extend(vec![record("a", 0, "0")], Offset(1), Some(Moment(50)));
    assert!(changes.is_empty());
    assert_eq!(keyed.confirmed_at(), Some(Moment(10)));
    // A new record with the known value changes only the end offset and the time of confirmation.
    let changes = keyed.extend(vec![record("a", 2, "1")], Offset(3), Some(Moment(60)));
    assert!(changes.is_empty());
    assert_eq!(
        (keyed.end(), keyed.confirmed_at()),
        (Offset(3), Some(Moment(60)))
    );
    // An older value cannot return from a peer that kept it longer.
    keyed.extend(
        vec![record("a", 3, "2"), record("a", 4, "1")],
        Offset(5),
        None,
    );
    assert!(
        keyed
            .extend(vec![record("a", 3, "2")], Offset(5), None)
            .is_empty()
    );
    assert_eq!(&*keyed.get("a").expect("the key is set").value, b"1");
}

#[test]
fn keys_missing_from_a_full_read_are_removed() {
    let mut keyed = KeyedTopic::default();
    keyed.extend(
        vec![record("a", 0, "1"), record("b", 1, "1")],
        Offset(2),
        None,
    );
    let changes = keyed.replace(
        vec![record("b", 1, "1"), record("c", 7, "1")],
        Offset(8),
        Moment(5),
    );
    let removed: Vec<_> = changes
        .iter()
        .filter(|change| change.is_removal())
        .map(|change| &*change.key)
        .collect();
    assert_eq!(removed, ["a"]);
    assert!(keyed.get("a").is_none() && keyed.get("c").is_some());
    assert_eq!(
        keyed.since(Offset(2)).count(),
        2,
        "the removal is forwarded to peers"
    );
}

#[test]
fn lapsed_upstreams_are_used_for_a_while_but_leaving_ones_are_not() {
    let cases = [
        (
            false,
            false,
            0,
            false,
            "a removed entry takes effect at once",
        ),
        (
            true,
            false,
            1_000,
            true,
            "the entry may have lapsed while the store was unstable",
        ),
        (
            true,
            false,
            1_600,
            false,
            "the time to use a lapsed entry is over",
        ),
        (true, true, 0, false, "a leaving upstream gets no requests"),
    ];
    // A lapsed entry is used for 1.5 s.
    for (store_unstable, leaving, after_ms, is_available, why) in cases {
        let mut upstreams = KnownUpstreams::default();
        let entry = Upstream {
            leaving,
            ..upstream("u", &["m"])
        };
        upstreams.insert(entry, Moment(1_000));
        upstreams.remove(&name("u"), store_unstable, Moment(1_000));
        assert_eq!(
            upstreams.available(Moment(1_000 + after_ms)).count() == 1,
            is_available,
            "{why}"
        );
    }
}

#[test]
fn holdings_updates_override_older_entries() {
    let model = ModelName::new("new").expect("the name is valid");
    let update = |fence, revision, started_ms| HoldingsUpdate {
        engine: name("u"),
        started_ms,
        fence,
        revision,
        holdings: upstream("u", &["new"]).holdings,
    };
    let mut upstreams = KnownUpstreams::default();
    upstreams.insert(upstream("u", &["old"]), Moment(0));
    assert!(upstreams.apply_update(update(2, 5, 1), Moment(100)));
    upstreams.insert(upstream("u", &["old"]), Moment(500));
    assert!(
        upstreams
            .get(&name("u"))
            .expect("the upstream is known")
            .holds(&model, None),
        "the update overrides the older entry"
    );
    assert!(
        !upstreams.apply_update(update(2, 4, 1), Moment(600)),
        "an older revision is ignored"
    );
    assert!(
        !upstreams.apply_update(update(1, 9, 1), Moment(600)),
        "an earlier holder's update is ignored"
    );
    upstreams.insert(upstream("u", &["old"]), Moment(5_000));
    assert!(
        !upstreams
            .get(&name("u"))
            .expect("the upstream is known")
            .holds(&model, None),
        "the update no longer overrides an entry from 5 s on"
    );
    let restarted = Upstream {
        started_ms: 2,
        ..upstream("u", &[])
    };
    upstreams.insert(restarted, Moment(600));
    assert!(
        !upstreams
            .get(&name("u"))
            .expect("the upstream is known")
            .holds(&model, None),
        "a restarted engine holds nothing"
    );
}

#[test]
fn only_complete_events_are_passed_on() {
    struct Case {
        chunks: &'static [&'static str],
        passed: &'static str,
        last_event_id: Option<u64>,
        partial: bool,
    }
    let cases = [
        Case {
            chunks: &["id: 1\nda", "ta: a\n\n"],
            passed: "id: 1\ndata: a\n\n",
            last_event_id: Some(1),
            partial: false,
        },
        Case {
            chunks: &["id: 1\ndata: a\n\nid: 2\n"],
            passed: "id: 1\ndata: a\n\n",
            last_event_id: Some(1),
            partial: true,
        },
        Case {
            chunks: &["id: 8\ndata: a\n\nid: 9\ndata: b\n\n"],
            passed: "id: 8\ndata: a\n\nid: 9\ndata: b\n\n",
            last_event_id: Some(9),
            partial: false,
        },
        Case {
            chunks: &["version: 2\nid:3\ndata: id: 7\n\n"],
            passed: "version: 2\nid:3\ndata: id: 7\n\n",
            last_event_id: Some(3),
            partial: false,
        },
        Case {
            chunks: &["data: a\n"],
            passed: "",
            last_event_id: Some(4),
            partial: true,
        },
    ];
    for case in cases {
        // 4 is the id of the last event before this connection.
        let mut splitter = EventSplitter::new(Some(4));
        let passed: Vec<u8> = case
            .chunks
            .iter()
            .filter_map(|chunk| splitter.push(chunk.as_bytes()))
            .flatten()
            .collect();
        assert_eq!(String::from_utf8_lossy(&passed), case.passed);
        assert_eq!(
            (splitter.last(), splitter.has_partial()),
            (case.last_event_id, case.partial),
            "{:?}",
            case.chunks
        );
    }
}

/// Guards against streams of an engine whose bytes never end.
#[test]
fn bytes_without_a_further_event_are_bounded() {
    struct Case {
        name: &'static str,
        unit: &'static str,
    }
    let cases = [
        Case {
            name: "an event that does not end",
            unit: "data: x\n",
        },
        Case {
            name: "empty events",
            unit: "\n\n",
        },
        Case {
            name: "comments",
            unit: ": x\n\n",
        },
        Case {
            name: "the same event",
            unit: "id: 5\ndata: x\n\n",
        },
    ];
    // Bytes in one part, and parts of more than a megabyte in all.
    let (part_bytes, parts) = (16 << 10, 80);
    for case in cases {
        let mut splitter = EventSplitter::new(Some(4));
        let part = case.unit.repeat(part_bytes / case.unit.len());
        let is_overlong = (0..parts).any(|_part| {
            splitter.push(part.as_bytes());
            splitter.is_overlong()
        });
        assert!(is_overlong, "{}", case.name);
    }
    let mut splitter = EventSplitter::new(None);
    for number in 0..100_000 {
        let event = format!("id: {number}\ndata: a token of a long answer\n\n");
        assert!(splitter.push(event.as_bytes()).is_some());
        assert!(!splitter.is_overlong(), "event {number} of a long answer");
    }
}

#[test]
fn selection_avoids_failing_upstreams_and_counts_prompts_by_rank() {
    let pool = PoolName::new("p").expect("the name is valid");
    let zone = ZoneName::new("z").expect("the name is valid");
    let model = ModelName::new("m").expect("the name is valid");
    let mut upstreams = KnownUpstreams::default();
    for id in ["a", "b"] {
        upstreams.insert(upstream(id, &["m"]), Moment(0));
    }
    let settings = SelectionSettings::default();
    let choose =
        |loads: &UpstreamLoads, health: &UpstreamHealth, rank, tried: &FastSet<HostName>| {
            let selector = UpstreamSelector {
                upstreams: &upstreams,
                loads,
                health,
                rests: &EngineRests::default(),
                speeds: &EngineSpeeds::new(38),
                zone: &zone,
                settings: &settings,
            };
            let query = UpstreamQuery {
                pool: &pool,
                model: Some(&model),
                adapter: None,
                rank,
                tried,
                homes: None,
                software: None,
            };
            let first_candidate = |_count| 0;
            selector.choose(&query, first_candidate, Moment(1_000))
        };
    let not_tried = FastSet::default();
    let (mut loads, mut health) = (UpstreamLoads::default(), UpstreamHealth::default());
    // At 38 prompt tokens per ms, these take 1000 ms and 100 ms. Prompts of the least urgent rank do
    // not delay an urgent request.
    loads.record_start(&name("a"), LEAST_URGENT, 38_000);
    loads.record_start(&name("b"), URGENT, 3_800);
    let urgent = choose(&loads, &health, URGENT, &not_tried).expect("both are available");
    assert_eq!(
        (urgent.upstream.id.as_str(), urgent.wait.as_millis()),
        ("a", 0)
    );
    let last = choose(&loads, &health, LEAST_URGENT, &not_tried).expect("both are available");
    assert_eq!(
        (last.upstream.id.as_str(), last.wait.as_millis()),
        ("b", 100)
    );
    // An upstream is avoided if this host, or two other hosts, could not reach it.
    health.record_outcome(&name("a"), RequestOutcome::Unreachable, Moment(990));
    assert_eq!(
        choose(&loads, &health, URGENT, &not_tried)
            .expect("b is available")
            .upstream
            .id,
        name("b")
    );
    let suspected = UpstreamLoad {
        running: 0,
        queued_tokens: [0; RANKS],
        unreachable_hosts: 2,
    };
    let mut reported = UpstreamLoads::default();
    reported.set_elsewhere(FastMap::from_iter([(name("b"), suspected)]));
    let found =
        choose(&reported, &UpstreamHealth::default(), URGENT, &not_tried).expect("a is available");
    assert_eq!(found.upstream.id, name("a"));
    // An avoided upstream is used if no other is left.
    let tried = FastSet::from_iter([name("b")]);
    assert_eq!(
        choose(&loads, &health, URGENT, &tried)
            .expect("a is the only one left")
            .upstream
            .id,
        name("a")
    );
}

#[test]
fn retries_of_all_hosts_stay_within_the_shared_budget() {
    let settings = RetrySettings {
        retries_per_1000: 200,
        fleet_retries: 116,
        window: Duration::from_secs(10),
    };
    let pool = PoolName::new("p").expect("the name is valid");
    let mut hosts: Vec<_> = (0..15)
        .map(|_host| RetryBudget::new(settings, 15))
        .collect();
    let (mut requests, mut retries) = (0_u64, 0_u64);
    for now_ms in (0..10_000).step_by(5) {
        let index = usize::try_from(now_ms / 5).expect("the clock is small") % hosts.len();
        hosts[index].note_request(&pool, Moment(now_ms));
        requests += 1;
        while hosts[index].take(&pool, Moment(now_ms)) {
            retries += 1;
        }
    }
    // 200 of 1000 requests, and 116 further retries.
    assert!(
        retries <= requests / 5 + 116,
        "expected at most {} retries of {requests} requests, got {retries}",
        requests / 5 + 116
    );
    assert!(
        retries * 2 >= requests / 5 + 116,
        "{retries} retries of {requests} requests use less than half of the budget"
    );
}

#[test]
fn keys_are_accepted_only_by_a_recent_configuration() {
    let max_age = MaxKeyAge(Duration::from_secs(5));
    // Of the 5 s, 0.4 s are reserved for the way to the upstream.
    let cases = [
        (None, 0, false),
        (Some(Moment(1_000)), 1_000, true),
        (Some(Moment(1_000)), 5_500, true),
        (Some(Moment(1_000)), 5_600, false),
    ];
    for (confirmed_at, now, allowed) in cases {
        assert_eq!(
            max_age.allows(confirmed_at, Moment(now)),
            allowed,
            "confirmed at {confirmed_at:?}, checked at {now}"
        );
    }
}

#[test]
fn tree_has_no_cycle_whichever_hosts_are_suspected() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let peers: Vec<_> = (0..60)
            .map(|number| Peer {
                host: name(&format!("h{number}")),
                zone: ZoneName::new(&format!("z{}", number % 3)).expect("the name is valid"),
                address: "127.0.0.1:1".parse().expect("the address is valid"),
                incarnation: Incarnation(1),
                capacity: None,
            })
            .collect();
        let mut parents = FastMap::default();
        let mut store_readers = 0;
        for me in &peers {
            let mut tree = Tree::new(me.clone());
            for peer in &peers {
                tree.insert(peer.clone());
            }
            if seed > 0 {
                for peer in &peers {
                    if random.random_range(0..4) == 0 {
                        tree.suspect(&peer.host, Moment(0));
                    }
                }
            }
            let position = tree.position(Moment(10));
            store_readers += usize::from(position.reads_store);
            parents.insert(me.host.clone(), position.parent.map(|parent| parent.host));
        }
        for peer in &peers {
            let mut ancestor = peer.host.clone();
            for _step in 0..peers.len() {
                match &parents[&ancestor] {
                    Some(parent) => ancestor = parent.clone(),
                    None => break,
                }
            }
            assert!(
                parents[&ancestor].is_none(),
                "seed {seed}: {} is part of a cycle or below one",
                peer.host
            );
        }
        // With seed 0 no host is suspected, so exactly one host reads the store.
        assert!(
            seed > 0 || store_readers == 1,
            "{store_readers} hosts read the store, expected one"
        );
    }
}
