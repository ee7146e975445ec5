//! Tests which host is asked to pick engines.

use std::time::Duration;

use eelgrasshill_domain::{HostName, Incarnation, Moment, ZoneName};
use eelgrasshill_relay::{Capacity, Peer, PickerHost, Tree};

/// Hosts of each of the three zones.
const HOSTS_PER_ZONE: usize = 6;

/// Time after which a host that did not answer is asked again.
const AVOID_TIME: Duration = Duration::from_secs(2);

fn zone(number: usize) -> ZoneName {
    ZoneName::new(&format!("z{number}")).expect("the name is valid")
}

fn peer(zone_number: usize, number: usize) -> Peer {
    Peer {
        host: HostName::new(&format!("h{zone_number}-{number}")).expect("the name is valid"),
        zone: zone(zone_number),
        address: ([127, 0, 0, 1], 80).into(),
        incarnation: Incarnation(1),
        // Two strong hosts in each zone.
        capacity: Some(Capacity(if number < 2 { 50 } else { 12 })),
    }
}

fn peers() -> Vec<Peer> {
    let zones = 0..3;
    zones
        .flat_map(|zone_number| (0..HOSTS_PER_ZONE).map(move |number| peer(zone_number, number)))
        .collect()
}

fn tree_of(me: &Peer) -> Tree {
    let mut tree = Tree::new(me.clone());
    for peer in peers() {
        tree.insert(peer);
    }
    tree
}

#[test]
fn all_hosts_ask_the_same_strong_host() {
    let mut found: Vec<Peer> = peers()
        .iter()
        .map(|me| {
            let tree = tree_of(me);
            let mut picker_host = PickerHost::default();
            let picker = picker_host.choose(&tree, &me.zone, Moment(1_000));
            picker.expect("there are hosts").clone()
        })
        .collect();
    found.dedup();
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].capacity, Some(Capacity(50)), "{found:?}");
}

/// What a host learns of the picker that it asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Answer,
    Failure,
    Away,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Whether the first picker is still asked.
    is_kept: bool,
    /// Whether the next one is in the own zone.
    is_near: bool,
}

const CASES: [Case; 5] = [
    Case {
        name: "a single message may be lost",
        steps: &[Step::Failure],
        is_kept: true,
        is_near: false,
    },
    Case {
        name: "lost messages with answers between them",
        steps: &[Step::Failure, Step::Answer, Step::Failure],
        is_kept: true,
        is_near: false,
    },
    Case {
        name: "two lost messages in a row",
        steps: &[Step::Failure, Step::Failure],
        is_kept: false,
        is_near: false,
    },
    Case {
        name: "a picker that is leaving",
        steps: &[Step::Away],
        is_kept: false,
        is_near: false,
    },
    Case {
        name: "two pickers do not answer, as in a zone that is cut off",
        steps: &[Step::Failure, Step::Failure, Step::Failure, Step::Failure],
        is_kept: false,
        is_near: true,
    },
];

#[test]
fn pickers_that_do_not_answer_are_left_out_for_a_while() {
    // The zone without the first picker.
    let all = peers();
    let mut picker_host = PickerHost::default();
    let first_tree = tree_of(&all[0]);
    let first = picker_host.choose(&first_tree, &all[0].zone, Moment(1_000));
    let first = first.expect("there are hosts").clone();
    let me = all.iter().rfind(|peer| peer.zone != first.zone);
    let me = me.expect("there are three zones");
    let tree = tree_of(me);
    for case in &CASES {
        let mut picker_host = PickerHost::default();
        let now = Moment(1_000);
        for step in case.steps {
            let asked = picker_host.choose(&tree, &me.zone, now);
            let asked = asked.expect("there are hosts").host.clone();
            match step {
                Step::Answer => picker_host.note_answer(),
                Step::Failure => {
                    picker_host.note_failure(&asked, now);
                }
                Step::Away => picker_host.avoid(&asked, now),
            }
        }
        let next = picker_host.choose(&tree, &me.zone, now);
        let next = next.expect("there are hosts");
        assert_eq!(next.host == first.host, case.is_kept, "{}", case.name);
        if case.is_near {
            assert_eq!(next.zone, me.zone, "{}", case.name);
        }
        let later = picker_host.choose(&tree, &me.zone, now.after(AVOID_TIME));
        let later = later.expect("there are hosts");
        assert_eq!(later.host, first.host, "{}: after a while", case.name);
    }
}

#[test]
fn a_host_that_finds_no_picker_chooses_by_itself() {
    let me = peer(0, 0);
    let tree = Tree::new(me.clone());
    let mut picker_host = PickerHost::default();
    picker_host.avoid(&me.host, Moment(1_000));
    assert_eq!(picker_host.choose(&tree, &me.zone, Moment(1_000)), None);
}
