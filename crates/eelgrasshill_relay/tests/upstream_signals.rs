//! Tests what follows when an engine says that it is leaving or asks for rest.

use std::time::Duration;

use eelgrasshill_domain::{FastSet, HostName, ModelName, Moment, Offset, PoolName, ZoneName};
use eelgrasshill_relay::{
    EngineRests, EngineSpeeds, KnownUpstreams, LeavingNotice, NoUpstream, RequestOutcome,
    ResidentModel, SelectionSettings, SoftwareVersion, Upstream, UpstreamHealth, UpstreamLoads,
    UpstreamQuery, UpstreamSelector,
};

fn name(text: &str) -> HostName {
    HostName::new(text).expect("the name is valid")
}

fn upstream(id: &str, started_ms: u64) -> Upstream {
    Upstream {
        id: name(id),
        pool: PoolName::new("p").expect("the name is valid"),
        zone: ZoneName::new("z").expect("the name is valid"),
        address: ([127, 0, 0, 1], 80).into(),
        slots: 8,
        leaving: false,
        started_ms,
        holdings: vec![ResidentModel {
            model: ModelName::new("m").expect("the name is valid"),
            adapters: Vec::new(),
        }],
        memory: Vec::new(),
        disk: Vec::new(),
        cold_remaining: Duration::ZERO,
        software: SoftwareVersion::default(),
    }
}

fn notice(started_ms: u64) -> LeavingNotice {
    LeavingNotice {
        engine: name("a"),
        started_ms,
    }
}

/// What a host learns of the engine `a`, in order.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An answer of the start at that time says that the engine leaves.
    Notice { started_ms: u64 },
    /// Its entry, as a record with that offset.
    Entry {
        started_ms: u64,
        offset: u64,
        leaving: bool,
    },
    /// All records before that offset were read.
    Confirm { end: u64 },
    /// Its entry disappears while the store fails.
    Lapse,
}

/// An answer of the engine's current start that says it leaves.
const LEAVES: Step = Step::Notice { started_ms: 5 };

/// Returns a record that shows the engine's current start as ready.
const fn ready(offset: u64) -> Step {
    Step::Entry {
        started_ms: 5,
        offset,
        leaving: false,
    }
}

struct NoticeCase {
    name: &'static str,
    // Moment in milliseconds, and what happens then.
    steps: Vec<(u64, Step)>,
    available: bool,
}

/// Records that were written before the notice, or may have been.
fn old_record_cases() -> Vec<NoticeCase> {
    vec![
        NoticeCase {
            name: "no notice",
            steps: vec![],
            available: true,
        },
        NoticeCase {
            name: "a notice",
            steps: vec![(100, LEAVES)],
            available: false,
        },
        NoticeCase {
            name: "a heartbeat that was sent before it",
            steps: vec![(100, LEAVES), (150, ready(8))],
            available: false,
        },
        NoticeCase {
            name: "a heartbeat from before an outage of the store",
            steps: vec![
                (100, LEAVES),
                (9_000, ready(8)),
                (9_001, Step::Confirm { end: 9 }),
            ],
            available: false,
        },
        NoticeCase {
            name: "a heartbeat that the store accepted late",
            steps: vec![
                (100, LEAVES),
                (2_000, Step::Confirm { end: 8 }),
                (7_000, ready(8)),
            ],
            available: false,
        },
    ]
}

/// Records that were written after the notice, and other starts of the engine.
fn new_record_cases() -> Vec<NoticeCase> {
    vec![
        NoticeCase {
            name: "a newer record",
            steps: vec![
                (100, LEAVES),
                (9_000, Step::Confirm { end: 8 }),
                (9_500, ready(8)),
            ],
            available: true,
        },
        NoticeCase {
            name: "a newer record that says the same",
            steps: vec![
                (100, LEAVES),
                (9_000, Step::Confirm { end: 8 }),
                (
                    9_500,
                    Step::Entry {
                        started_ms: 5,
                        offset: 8,
                        leaving: true,
                    },
                ),
            ],
            available: false,
        },
        NoticeCase {
            name: "another answer that says so after the newer record was due",
            steps: vec![
                (100, LEAVES),
                (9_000, Step::Confirm { end: 8 }),
                (9_100, LEAVES),
                (9_500, ready(8)),
            ],
            available: false,
        },
        NoticeCase {
            name: "an entry that lapses and returns",
            steps: vec![(100, LEAVES), (200, Step::Lapse), (1_000, ready(9))],
            available: false,
        },
        NoticeCase {
            name: "a restart under the same id",
            steps: vec![
                (100, LEAVES),
                (
                    300,
                    Step::Entry {
                        started_ms: 6,
                        offset: 8,
                        leaving: false,
                    },
                ),
            ],
            available: true,
        },
        NoticeCase {
            name: "a late answer of the start before",
            steps: vec![(100, Step::Notice { started_ms: 4 }), (200, ready(8))],
            available: true,
        },
    ]
}

/// Guards against requests to an engine that leaves although its entry shows it as ready.
///
/// Heartbeats from before the notice arrive after it, also seconds later if the store was down.
#[test]
fn a_notice_lasts_until_a_restart_or_a_newer_entry() {
    for case in old_record_cases().into_iter().chain(new_record_cases()) {
        let mut known = KnownUpstreams::default();
        known.insert(upstream("a", 5), Moment(0));
        known.confirm_registry(Offset(8), Moment(50));
        let mut now = Moment(50);
        for (at, step) in case.steps {
            now = Moment(at);
            match step {
                Step::Notice { started_ms } => {
                    known.note_leaving(notice(started_ms), now);
                }
                Step::Entry {
                    started_ms,
                    offset,
                    leaving,
                } => {
                    let entry = Upstream {
                        leaving,
                        ..upstream("a", started_ms)
                    };
                    known.check_notice(&entry, Offset(offset));
                    known.insert(entry, now);
                }
                Step::Confirm { end } => known.confirm_registry(Offset(end), now),
                Step::Lapse => known.remove(&name("a"), true, now),
            }
            known.expire(now);
        }
        assert_eq!(
            known.available(now).count() == 1,
            case.available,
            "{}: whether the engine gets requests",
            case.name
        );
    }
}

/// Guards against notices that are sent to the same peer twice or for ever.
#[test]
fn a_notice_is_forwarded_once_for_a_short_time() {
    let mut known = KnownUpstreams::default();
    known.insert(upstream("a", 5), Moment(0));
    let before = known.update_count();
    assert!(known.note_leaving(notice(5), Moment(100)), "a new notice");
    assert!(
        !known.note_leaving(notice(5), Moment(200)),
        "the same again"
    );
    assert!(
        !known.note_leaving(notice(4), Moment(300)),
        "an older start"
    );
    let count = |known_count, at| known.recent_notices(known_count, Moment(at)).count();
    assert_eq!(count(before, 400), 1, "for a peer that does not know it");
    assert_eq!(count(known.update_count(), 400), 0, "for a peer that does");
    assert_eq!(count(before, 2_000), 0, "after several rounds");
}

/// An hour in milliseconds, the longest rest.
const HOUR: u64 = 3_600_000;

/// Guards against requests to an engine that rests, and against a rest that does not end.
#[test]
fn an_engine_rests_as_long_as_it_asked() {
    struct Case {
        // What the engine asked for, and when, in milliseconds.
        asked: &'static [(u64, u64)],
        draw: f64,
        started_ms: u64,
        at: u64,
        // Rest that is left, in milliseconds.
        remaining: Option<u64>,
    }
    let case = |asked, draw, at, remaining| Case {
        asked,
        draw,
        started_ms: 5,
        at,
        remaining,
    };
    let cases = [
        case(&[], 0.0, 100, None),
        case(&[(100, 1_000)], 0.0, 100, Some(1_000)),
        case(&[(100, 1_000)], 0.0, 1_099, Some(1)),
        case(&[(100, 1_000)], 0.0, 1_100, None),
        // Up to a quarter is added, at most half a second.
        case(&[(100, 1_000)], 1.0, 1_100, Some(250)),
        case(&[(100, 60_000)], 1.0, 60_100, Some(500)),
        // A shorter one does not shorten an earlier one.
        case(&[(100, 2_000), (200, 100)], 0.0, 300, Some(1_800)),
        case(&[(100, 100), (200, 2_000)], 0.0, 300, Some(1_900)),
        // Absurd times are granted up to an hour.
        case(&[(0, u64::MAX)], 0.0, HOUR - 1, Some(1)),
        case(&[(0, u64::MAX)], 0.0, HOUR, None),
        // A restarted engine has not asked.
        Case {
            started_ms: 6,
            ..case(&[(100, 1_000)], 0.0, 200, None)
        },
    ];
    for case in cases {
        let mut rests = EngineRests::default();
        for (at, asked) in case.asked {
            let asked = Duration::from_millis(*asked);
            rests.note(&upstream("a", 5), asked, case.draw, Moment(*at));
            rests.expire(Moment(*at));
        }
        let remaining = rests.remaining(&upstream("a", case.started_ms), Moment(case.at));
        assert_eq!(
            remaining,
            case.remaining.map(Duration::from_millis),
            "{:?} asked, draw {}, at {}",
            case.asked,
            case.draw,
            case.at
        );
    }
}

/// Guards against hosts that all return to an engine in the same moment.
///
/// The load is a burst that fills an engine for 295 hosts at once.
#[test]
fn hosts_return_to_a_rested_engine_spread_out() {
    const HOSTS: u32 = 295;
    let engine = upstream("a", 5);
    let returns: Vec<_> = (0..HOSTS)
        .map(|host| {
            let mut rests = EngineRests::default();
            let draw = f64::from(host) / f64::from(HOSTS);
            rests
                .note(&engine, Duration::from_secs(1), draw, Moment(0))
                .as_millis()
        })
        .collect();
    let most = (0..1_500_u128)
        .map(|start| {
            let window = start..start + 50;
            returns.iter().filter(|at| window.contains(at)).count()
        })
        .max();
    assert!(
        most.is_some_and(|most| most <= 80),
        "of {HOSTS} hosts, {most:?} return within 50 ms"
    );
    assert!(
        returns.iter().all(|at| *at >= 1_000),
        "a host returns too early"
    );
}

/// Guards against refusals that give no time, or a wrong one, when all engines rest.
#[test]
fn selection_names_the_first_end_of_a_rest_when_all_rest() {
    struct Case {
        name: &'static str,
        // Engines that rest, with the time in milliseconds.
        resting: &'static [(&'static str, u64)],
        tried: &'static [&'static str],
        expected: Result<&'static str, NoUpstream>,
    }
    let resting_for = |millis| NoUpstream::Resting {
        remaining: Duration::from_millis(millis),
    };
    let cases = [
        Case {
            name: "one rests",
            resting: &[("a", 900)],
            tried: &[],
            expected: Ok("b"),
        },
        Case {
            name: "both rest",
            resting: &[("a", 900), ("b", 400)],
            tried: &[],
            expected: Err(resting_for(400)),
        },
        Case {
            name: "one rests, the other was tried",
            resting: &[("a", 900)],
            tried: &["b"],
            expected: Err(resting_for(900)),
        },
        Case {
            name: "both were tried",
            resting: &[("a", 900)],
            tried: &["a", "b"],
            expected: Err(NoUpstream::NotHeld),
        },
    ];
    let zone = ZoneName::new("z").expect("the name is valid");
    let pool = PoolName::new("p").expect("the name is valid");
    let model = ModelName::new("m").expect("the name is valid");
    let mut known = KnownUpstreams::default();
    for id in ["a", "b"] {
        known.insert(upstream(id, 5), Moment(0));
    }
    let mut health = UpstreamHealth::default();
    // An ejected engine is used if no other is left; a resting one is not.
    health.record_outcome(&name("b"), RequestOutcome::Unreachable, Moment(99));
    for case in cases {
        let mut rests = EngineRests::default();
        for (id, millis) in case.resting {
            rests.note(
                &upstream(id, 5),
                Duration::from_millis(*millis),
                0.0,
                Moment(100),
            );
        }
        let tried: FastSet<_> = case.tried.iter().map(|id| name(id)).collect();
        let selector = UpstreamSelector {
            upstreams: &known,
            loads: &UpstreamLoads::default(),
            health: &health,
            rests: &rests,
            speeds: &EngineSpeeds::new(38),
            zone: &zone,
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
        let chosen = selector.choose(&query, |_count| 0, Moment(100));
        let chosen = chosen.map(|candidate| candidate.upstream.id.clone());
        assert_eq!(chosen, case.expected.map(name), "{}", case.name);
    }
}
