//! Tests that requests with home regions stay in them.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrasshill_domain::OrgName;
use eelgrasshill_domain::{FastSet, HostName, ModelName, Moment, PoolName, RouteName, ZoneName};
use eelgrasshill_relay::{
    EngineRests, EngineSpeeds, HomeRegions, KnownUpstreams, NoUpstream, Organisation, Repeat,
    ResidentModel, Route, SelectionSettings, SoftwareVersion, Upstream, UpstreamHealth,
    UpstreamLoads, UpstreamQuery, UpstreamSelector,
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

fn regions(names: &[&str]) -> Vec<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}

fn route(allowed: &[&str]) -> Route {
    Route {
        name: RouteName::new("r").expect("the name is valid"),
        host: String::new(),
        prefix: String::new(),
        targets: Vec::new(),
        repeat: Repeat::Idempotent,
        timeout: Duration::ZERO,
        objective: Duration::ZERO,
        max_pause: None,
        rank: 0,
        max_attempts: 1,
        anonymous: false,
        allowed_regions: regions(allowed),
    }
}

fn organisation(allowed: &[&str]) -> Organisation {
    Organisation {
        name: OrgName::new("o").expect("the name is valid"),
        rank: None,
        rate: 0,
        burst: 0,
        default_cost: 1,
        allowed_regions: regions(allowed),
    }
}

/// Guards against requests and picks that go to an engine outside of the home regions.
#[test]
fn requests_stay_in_the_home_regions_of_route_and_organisation() {
    // Engine `e-a` is in zone `a`, and so on; the region of zone `c` is unknown.
    let zones = BTreeMap::from([
        (zone("a"), "north".to_owned()),
        (zone("b"), "south".to_owned()),
    ]);
    let cases: [(&[&str], &[&str], &[&str]); 7] = [
        (&[], &[], &["e-a", "e-b", "e-c"]),
        (&["north"], &[], &["e-a"]),
        (&[], &["south"], &["e-b"]),
        (&["north", "south"], &["south"], &["e-b"]),
        (&["north", "south"], &[], &["e-a", "e-b"]),
        (&["north"], &["south"], &[]),
        (&["east"], &[], &[]),
    ];
    let mut upstreams = KnownUpstreams::default();
    let ids = ["e-a", "e-b", "e-c"];
    for id in ids {
        upstreams.insert(upstream(id, &id[2..]), NOW);
    }
    let pool = PoolName::new("p").expect("the name is valid");
    let (model, tried, own_zone) = (held_model(), FastSet::default(), zone("c"));
    let selector = UpstreamSelector {
        upstreams: &upstreams,
        loads: &UpstreamLoads::default(),
        health: &UpstreamHealth::default(),
        rests: &EngineRests::default(),
        speeds: &EngineSpeeds::new(38),
        zone: &own_zone,
        settings: &SelectionSettings::default(),
    };
    for (of_route, of_organisation, allowed) in cases {
        let case = format!("{of_route:?} {of_organisation:?}");
        let (route, organisation) = (route(of_route), organisation(of_organisation));
        let query = UpstreamQuery {
            pool: &pool,
            model: Some(&model),
            adapter: None,
            rank: 0,
            tried: &tried,
            homes: HomeRegions::new(&route, Some(&organisation), &zones),
            software: None,
        };
        let excluded = selector.excluded(&query, NOW);
        for id in ids {
            let is_allowed = allowed.contains(&id);
            let usable = selector.usable(&query, &host(id), NOW);
            assert_eq!(usable.is_some(), is_allowed, "{case}: usable {id}");
            assert_eq!(
                !excluded.contains(&host(id)),
                is_allowed,
                "{case}: excluded {id}"
            );
            let picked = selector.pick_candidates(&query, &host(id), NOW);
            let mut picked: Vec<_> = picked.iter().map(|one| one.upstream.id.as_str()).collect();
            picked.sort_unstable();
            assert_eq!(picked, allowed, "{case}: holder {id}");
        }
        match selector.choose(&query, |_count| 0, NOW) {
            Ok(found) => assert!(allowed.contains(&found.upstream.id.as_str()), "{case}"),
            Err(none) => {
                assert_eq!(none, NoUpstream::NotHeld, "{case}");
                assert!(allowed.is_empty(), "{case}");
            }
        }
    }
}
