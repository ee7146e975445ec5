//! Tests which hosts read the log, follow peers and write claims.

use std::{collections::BTreeSet, time::Duration};

use eelgrasshill_control::{
    Heartbeat, ListedHost, MAX_SILENCE, MAX_TABLES_AGE, Members, Process, READERS_PER_ZONE,
    WRITERS_PER_ZONE,
};
use eelgrasshill_domain::{HostName, Incarnation, Moment, Offset, ZoneName};

const SHARDS: u32 = 16;

fn host_name(host: usize) -> HostName {
    HostName::new(&format!("entry-{host}")).unwrap()
}

fn zone(number: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{}", number % 3)).unwrap()
}

fn process(host: usize, incarnation: u64) -> Process {
    Process {
        address: format!("10.0.{}.{}:7000", host / 200, host % 200)
            .parse()
            .unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn listed_host(host: usize, leaving: bool) -> ListedHost {
    ListedHost {
        host: host_name(host),
        zone: zone(host),
        address: process(host, 1).address,
        leaving,
    }
}

fn heartbeat(host: usize, incarnation: u64, age: Duration) -> Heartbeat {
    Heartbeat {
        host: host_name(host),
        zone: zone(host),
        process: process(host, incarnation),
        offset: Offset(1),
        tables_age: age,
        leaving: false,
    }
}

fn members(hosts: usize, without: Option<usize>) -> Members {
    let mut members = Members::new(host_name(0), zone(0), process(0, 1));
    let listed_hosts: Vec<_> = (0..hosts)
        .filter(|host| Some(*host) != without)
        .map(|host| listed_host(host, false))
        .collect();
    members.update_list(&listed_hosts, Moment(0));
    members
}

/// Returns every pair of a task and a host to which it is assigned.
fn assignments(members: &Members) -> BTreeSet<(String, HostName)> {
    let now = Moment(0);
    let mut all = BTreeSet::new();
    for number in 0..3 {
        let task = format!("read {number}");
        let readers = members.readers(&zone(number), now);
        assert_eq!(readers.len(), READERS_PER_ZONE);
        all.extend(readers.into_iter().map(|host| (task.clone(), host)));
    }
    for shard in 0..SHARDS {
        let writers = members.writers(shard, now);
        assert_eq!(writers.len(), 3 * WRITERS_PER_ZONE);
        all.extend(
            writers
                .into_iter()
                .map(|host| (format!("write {shard}"), host)),
        );
    }
    all
}

/// Guards against assignments that move between hosts that stay.
///
/// When a host goes, only its own assignments may move.
#[test]
fn removing_a_host_moves_only_its_assignments() {
    for hosts in [20, 400] {
        let before = assignments(&members(hosts, None));
        let mut moved = Vec::new();
        for gone in 1..hosts {
            let after = assignments(&members(hosts, Some(gone)));
            let had = before
                .iter()
                .filter(|(_, host)| *host == host_name(gone))
                .count();
            assert_eq!(
                before.difference(&after).count(),
                had,
                "host {gone} of {hosts}"
            );
            moved.push(had);
        }
        let total = before.len();
        let mean = moved.iter().sum::<usize>() * 100 / moved.len();
        let most = moved.iter().max().unwrap();
        println!("{hosts} hosts: of {total} assignments {mean}/100 move, at most {most}");
        assert!(
            most * 10 <= total,
            "expected at most a tenth of {total} assignments on one host, got {most}"
        );
    }
}

#[test]
fn number_of_followed_hosts_is_bounded() {
    for hosts in [20, 100, 400] {
        let mut followers = vec![0; hosts];
        for me in 0..hosts {
            let mut members = Members::new(host_name(me), zone(me), process(me, 1));
            let listed_hosts: Vec<_> = (0..hosts).map(|host| listed_host(host, false)).collect();
            members.update_list(&listed_hosts, Moment(0));
            let plan = members.plan(Moment(0));
            assert!(
                plan.follows.len() <= READERS_PER_ZONE + 1,
                "expected at most {} followed hosts, got {plan:?}",
                READERS_PER_ZONE + 1
            );
            for followed in plan.follows {
                let host = (0..hosts)
                    .find(|host| host_name(*host) == followed)
                    .unwrap();
                followers[host] += 1;
            }
        }
        let followed = followers.iter().filter(|count| **count > 0).count();
        assert!(
            followed <= 3 * READERS_PER_ZONE,
            "expected at most {} hosts to be followed, got {followed}",
            3 * READERS_PER_ZONE
        );
    }
}

/// Returns whether a host is no reader even after two sets of readers left.
fn is_low_ranked(members: &Members) -> bool {
    let mut members_left = Members::new(members.host().clone(), zone(0), members.process());
    let mut listed_hosts: Vec<_> = (0..60).map(|host| listed_host(host, false)).collect();
    for _ in 0..2 {
        members_left.update_list(&listed_hosts, Moment(0));
        let readers = members_left.readers(&zone(0), Moment(0));
        for listed_host in &mut listed_hosts {
            listed_host.leaving |= readers.contains(&listed_host.host);
        }
    }
    members_left.update_list(&listed_hosts, Moment(0));
    !members_left
        .readers(&zone(0), Moment(0))
        .contains(members.host())
}

/// Guards against a host whose tables grow old because the readers that it follows do.
///
/// The readers are silent, or their tables are too old.
#[test]
fn a_host_without_current_readers_reads_the_log() {
    let silence = MAX_SILENCE.as_millis() as u64;
    let listed_hosts: Vec<_> = (0..60).map(|host| listed_host(host, false)).collect();
    // A host that would replace neither the first nor the second set of readers.
    let (mut members, first) = (100..200)
        .map(|me| {
            let mut members = Members::new(host_name(me), zone(0), process(me, 1));
            members.update_list(&listed_hosts, Moment(0));
            let plan = members.plan(Moment(0));
            (members, plan)
        })
        .find(|(members, plan)| !plan.reads_log && is_low_ranked(members))
        .unwrap();
    let number = |host: &HostName| host.as_str()[6..].parse::<usize>().unwrap();
    // One up-to-date reader is enough, and the silent ones are replaced.
    let current_reader = number(&first.follows[0]);
    for now in (0..=silence * 2).step_by(500) {
        members.receive_heartbeat(&heartbeat(current_reader, 1, Duration::ZERO), Moment(now));
        assert!(
            !members.plan(Moment(now)).reads_log,
            "the host reads the log at {now} ms although one reader is current"
        );
    }
    let later = members.plan(Moment(silence * 2));
    assert!(
        later.follows.contains(&host_name(current_reader)) && later.follows != first.follows,
        "expected the current reader to stay and the silent ones to be replaced, got {:?}",
        later.follows
    );
    // Readers whose tables are too old do not count as up to date.
    let mut now = silence * 2;
    while now < silence * 8 {
        now += 500;
        for host in members.plan(Moment(now)).follows {
            let age = MAX_TABLES_AGE + Duration::from_millis(1);
            members.receive_heartbeat(&heartbeat(number(&host), 1, age), Moment(now));
        }
    }
    let last = members.plan(Moment(now));
    assert!(
        last.reads_log,
        "does not read the log although the tables of all readers are too old"
    );
    let zones: BTreeSet<_> = last.follows.iter().map(|host| number(host) % 3).collect();
    assert_eq!(zones.len(), 3, "does not follow a host in each zone");
}

struct Case {
    name: &'static str,
    incarnations: &'static [u64],
    queried: u64,
    expect: bool,
}

#[test]
fn a_process_counts_as_stopped_only_if_replaced_or_reported() {
    let cases = [
        Case {
            name: "no heartbeat",
            incarnations: &[],
            queried: 1,
            expect: false,
        },
        Case {
            name: "same process",
            incarnations: &[1],
            queried: 1,
            expect: false,
        },
        Case {
            name: "newer process after the queried one",
            incarnations: &[1, 2],
            queried: 1,
            expect: true,
        },
        Case {
            name: "newer process only",
            incarnations: &[2],
            queried: 1,
            expect: true,
        },
        Case {
            name: "late heartbeat of an older process",
            incarnations: &[2, 1],
            queried: 2,
            expect: false,
        },
        Case {
            name: "late heartbeat of a stopped process",
            incarnations: &[2, 1],
            queried: 1,
            expect: true,
        },
        Case {
            name: "older process only",
            incarnations: &[1],
            queried: 2,
            expect: false,
        },
    ];
    for case in cases {
        let mut members = members(20, None);
        for incarnation in case.incarnations {
            members.receive_heartbeat(&heartbeat(7, *incarnation, Duration::ZERO), Moment(0));
        }
        let later = Moment(3_600_000);
        members.plan(later);
        members.update_list(&[], later);
        assert_eq!(
            members.is_stopped(process(7, case.queried)),
            case.expect,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_new_incarnation_reports_the_stop_of_the_old_process() {
    let mut members = members(20, None);
    let stopped = [1, 1, 2].map(|incarnation| {
        members.receive_heartbeat(&heartbeat(7, incarnation, Duration::ZERO), Moment(0))
    });
    assert_eq!(stopped, [None, None, Some(process(7, 1))]);
    members.mark_stopped(process(8, 3));
    assert!(members.is_stopped(process(8, 3)) && !members.is_stopped(process(8, 4)));
}

#[test]
fn a_leaving_host_gets_no_tasks() {
    let mut members = members(20, None);
    let now = Moment(0);
    let leaver = members.writers(0, now)[0].clone();
    let listed_hosts: Vec<_> = (0..20)
        .map(|host| listed_host(host, host_name(host) == leaver))
        .collect();
    members.update_list(&listed_hosts, now);
    assert!(!members.writers(0, now).contains(&leaver) || leaver == host_name(0));
    assert!(
        members.get(&leaver).is_some(),
        "a leaving host must stay known"
    );
}
