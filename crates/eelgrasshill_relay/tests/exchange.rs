//! Tests of the tree along which hosts exchange messages, and of the contents of the messages.

use eelgrasshill_domain::{FastMap, HostName, Incarnation, ModelName, Moment, PoolName, ZoneName};
use eelgrasshill_relay::{
    Capacity, HoldingsUpdate, HostHash, KnownUpstreams, ModelKey, Peer, PeerRole, ReceivedTotals,
    Totals, TotalsSender, Tree,
};

const ZONES: usize = 4;

/// Number of groups of hosts in which a root is chosen.
const GROUPS: usize = 40;

/// Model that all hosts demand, besides one of their own.
const SHARED_MODEL: usize = 99;

fn host(number: usize) -> HostName {
    HostName::new(&format!("h{number}")).expect("the name is valid")
}

fn peer(number: usize, capacity: Option<u32>) -> Peer {
    Peer {
        host: host(number),
        zone: ZoneName::new(&format!("z{}", number % ZONES)).expect("the name is valid"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        incarnation: Incarnation(1),
        capacity: capacity.map(Capacity),
    }
}

/// Of 127 hosts, 8 have several times the capacity of the others.
///
/// A weak host with children would be overloaded by their calls.
#[test]
fn only_strong_hosts_have_children() {
    struct Case {
        name: &'static str,
        strong: Option<u32>,
        weak: Option<u32>,
    }
    let cases = [
        Case {
            name: "all hosts report their capacity",
            strong: Some(50),
            weak: Some(8),
        },
        Case {
            name: "weak hosts report no capacity",
            strong: Some(50),
            weak: None,
        },
    ];
    for case in cases {
        let is_strong = |number: usize| (40..48).contains(&number);
        let peers: Vec<_> = (0..127)
            .map(|number| {
                peer(
                    number,
                    if is_strong(number) {
                        case.strong
                    } else {
                        case.weak
                    },
                )
            })
            .collect();
        let mut children: FastMap<HostName, usize> = FastMap::default();
        for me in &peers {
            let mut tree = Tree::new(me.clone());
            for peer in &peers {
                tree.insert(peer.clone());
            }
            if let Some(parent) = tree.position(Moment(0)).parent {
                *children.entry(parent.host).or_default() += 1;
            }
        }
        for (parent, count) in children {
            let number = peers.iter().position(|peer| peer.host == parent);
            assert!(
                number.is_some_and(is_strong),
                "{}: {parent} has {count} children",
                case.name
            );
        }
    }
}

/// Guards against a busy host that suspects its parent and the roots of all zones at once.
#[test]
fn late_timeout_of_a_busy_host_suspects_no_peer() {
    struct Case {
        name: &'static str,
        failed_at: u64,
        is_suspected: bool,
    }
    let cases = [
        Case {
            name: "the connection was refused",
            failed_at: 10_010,
            is_suspected: true,
        },
        Case {
            name: "no answer before the timeout",
            failed_at: 10_405,
            is_suspected: true,
        },
        Case {
            name: "this host was busy for a second",
            failed_at: 11_000,
            is_suspected: false,
        },
    ];
    for case in cases {
        // Both are in zone z0.
        let mut tree = Tree::new(peer(ZONES, Some(8)));
        tree.insert(peer(0, Some(50)));
        let (due_at, failed_at) = (Moment(10_400), Moment(case.failed_at));
        let is_suspected = tree.note_failure(&host(0), due_at, failed_at);
        assert_eq!(is_suspected, case.is_suspected, "{}", case.name);
        let parent = tree.position(failed_at).parent;
        assert_eq!(parent.is_none(), case.is_suspected, "{}", case.name);
    }
}

#[test]
fn hosts_of_similar_capacity_share_the_root_role() {
    let mut roots = FastMap::<HostName, usize>::default();
    for group in 0..GROUPS {
        // Multiples of the number of zones are all in zone z0.
        let mut peers: Vec<_> = (0..8)
            .map(|number| peer(ZONES * (number + 8 * group), None))
            .collect();
        for (index, peer) in peers.iter_mut().enumerate() {
            // A difference of a fifth must not decide who carries the zone's traffic.
            peer.capacity = Some(Capacity(if index == 0 { 15 } else { 12 }));
        }
        let mut tree = Tree::new(peers[1].clone());
        for peer in &peers {
            tree.insert(peer.clone());
        }
        let parent = tree.position(Moment(0)).parent;
        let root = parent.map_or_else(|| peers[1].host.clone(), |parent| parent.host);
        // Roots are counted by their index in the group.
        let index = peers.iter().position(|peer| peer.host == root);
        *roots
            .entry(host(index.expect("the root is one of the peers")))
            .or_default() += 1;
    }
    assert!(
        roots.len() >= 4,
        "expected at least 4 of 8 hosts to be a root, got {roots:?}"
    );
}

fn model_key(model: usize) -> ModelKey {
    ModelKey {
        pool: PoolName::new("p").expect("the name is valid"),
        model: ModelName::new(&format!("m{model}")).expect("the name is valid"),
        adapter: None,
    }
}

fn host_totals(number: usize, rate: u64) -> (TotalsSender, Totals) {
    let sender = TotalsSender {
        host: host(number),
        incarnation: Incarnation(1),
    };
    let totals = Totals {
        hosts: [HostHash::new(&host(number))].into_iter().collect(),
        demand: [(model_key(number), rate), (model_key(SHARED_MODEL), rate)]
            .into_iter()
            .collect(),
        ..Totals::default()
    };
    (sender, totals)
}

#[test]
fn demand_is_sent_up_always_and_down_only_on_request() {
    let now = Moment(100);
    let mut received_totals = ReceivedTotals::default();
    for (role, number, rate) in [
        (PeerRole::Child, 1, 10),
        (PeerRole::Child, 2, 20),
        (PeerRole::Parent, 3, 40),
    ] {
        let (sender, totals) = host_totals(number, rate);
        received_totals.receive(role, sender, totals, now);
    }
    let up = received_totals.for_parent(Totals::default(), now);
    assert_eq!(
        up.demand[&model_key(SHARED_MODEL)],
        // 10 + 20
        30,
        "the parent gets the demand of the subtree"
    );
    let down = received_totals.for_child(Totals::default(), &host(1), now);
    assert!(
        down.demand.is_empty(),
        "children get no demand unless they ask for it"
    );
    assert_eq!(down.hosts.len(), 2, "all hosts outside the child's subtree");
    let mut demand = FastMap::from_iter([(model_key(SHARED_MODEL), 5)]);
    received_totals.add_demand_except(&host(1), &mut demand, now);
    assert_eq!(
        demand[&model_key(SHARED_MODEL)],
        // 5 + 20 + 40
        65,
        "a child that holds the lease gets all other demand"
    );
    assert!(
        !demand.contains_key(&model_key(1)),
        "the child's own demand is left out"
    );
    let mut demand = FastMap::default();
    received_totals.add_demand_elsewhere(&mut demand, now);
    assert_eq!(
        demand[&model_key(SHARED_MODEL)],
        // 10 + 20 + 40
        70,
        "the lease holder gets the demand of all hosts"
    );
    // Long after the last totals.
    let mut late = FastMap::default();
    received_totals.add_demand_elsewhere(&mut late, Moment(5_000));
    assert!(
        late.is_empty(),
        "demand of hosts that stopped sending expires"
    );
}

/// Guards against load and demand that count twice while a host changes its parent.
#[test]
fn hosts_that_changed_their_parent_count_once() {
    struct Case {
        name: &'static str,
        role: PeerRole,
        /// Senders of totals, the earlier first, with the hosts in them.
        senders: [(usize, &'static [usize]); 2],
        demand: u64,
    }
    let cases = [
        Case {
            name: "the new parent's totals replace those of the old one",
            role: PeerRole::Parent,
            senders: [(1, &[1, 2, 3, 4]), (2, &[1, 2, 3, 4])],
            demand: 10,
        },
        Case {
            name: "a child that left is contained in another child's totals",
            role: PeerRole::Child,
            senders: [(3, &[3]), (2, &[2, 3])],
            demand: 10,
        },
        Case {
            name: "a child that came is still contained in another child's totals",
            role: PeerRole::Child,
            senders: [(2, &[2, 3, 4]), (3, &[3])],
            demand: 20,
        },
        Case {
            name: "different children",
            role: PeerRole::Child,
            senders: [(2, &[2]), (3, &[3])],
            demand: 20,
        },
    ];
    for case in cases {
        let mut received_totals = ReceivedTotals::default();
        for ((sender, hosts), at) in case.senders.into_iter().zip([100, 200]) {
            let (sender, mut totals) = host_totals(sender, 10);
            totals.hosts = hosts.iter().map(|one| HostHash::new(&host(*one))).collect();
            received_totals.receive(case.role, sender, totals, Moment(at));
        }
        let mut demand = FastMap::default();
        received_totals.add_demand_elsewhere(&mut demand, Moment(300));
        assert_eq!(
            demand[&model_key(SHARED_MODEL)],
            case.demand,
            "{}",
            case.name
        );
    }
}

#[test]
fn holdings_updates_are_forwarded_once_to_each_peer() {
    let update = |engine: usize, number| HoldingsUpdate {
        engine: host(engine),
        started_ms: 1,
        fence: 1,
        revision: number,
        holdings: Vec::new(),
    };
    let mut upstreams = KnownUpstreams::default();
    assert!(upstreams.apply_update(update(1, 1), Moment(0)));
    assert!(upstreams.apply_update(update(2, 1), Moment(0)));
    let known = upstreams.update_count();
    let count =
        |upstreams: &KnownUpstreams, known, at| upstreams.recent_updates(known, Moment(at)).count();
    assert_eq!(count(&upstreams, 0, 10), 2, "a new peer gets all updates");
    assert_eq!(
        count(&upstreams, known, 10),
        0,
        "known updates are not sent again"
    );
    assert!(
        !upstreams.apply_update(update(2, 1), Moment(20)),
        "the revision is not new"
    );
    assert_eq!(upstreams.update_count(), known);
    assert!(upstreams.apply_update(update(1, 2), Moment(20)));
    let updates: Vec<_> = upstreams.recent_updates(known, Moment(30)).collect();
    assert_eq!(updates.len(), 1);
    assert_eq!((&updates[0].engine, updates[0].revision), (&host(1), 2));
    assert_eq!(
        count(&upstreams, 0, 5_000),
        0,
        "old updates are not forwarded"
    );
}
