//! Every fault switch, on real connections and settable while the server runs.

#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::time::{Duration, Instant};

use common::{BOUND, client, collect, engines, record, request, start, stream, text, until};
use eelgrasshill_domain::{Fencing, Offset};
use eelgrasshill_ports::{
    AppendError, CallError, Engine as _, HttpLog, Log as _, OrderAction, OrderAnswer,
};
use eelgrasshill_standin::{FaultSet, Faults, Log, LogSettings, Mode, Running, Standin};

/// How long a call is given when it shall not be answered.
const SHORT: Duration = Duration::from_millis(150);

/// How an append ends under a fault, and whether it took effect.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Done,
    Refused,
    Closed,
    Silent,
}

async fn append(log: &Running<Log>, id: &str, bound: Duration) -> End {
    let service = HttpLog::new(client(bound), log.address);
    match service.append(&stream("s"), vec![record(id)]).await {
        Ok(_offsets) => End::Done,
        Err(AppendError::Unknown(CallError::Status { status: 503, .. })) => End::Refused,
        Err(AppendError::Unknown(CallError::Timeout { .. })) => End::Silent,
        Err(AppendError::Unknown(CallError::Lost { .. })) => End::Closed,
        Err(error) => panic!("{error}"),
    }
}

#[actix_web::test]
async fn each_fault_ends_a_call_in_its_way_and_with_its_effect() {
    struct Case {
        name: &'static str,
        set: FaultSet,
        end: End,
        effect: usize,
        /// Whether the next call is answered with the switch still set.
        passes: bool,
    }
    let case = |name, set, end, effect, passes| Case {
        name,
        set,
        end,
        effect,
        passes,
    };
    let base = FaultSet::default;
    let elsewhere = |mode| FaultSet::new(mode).with_only("GET /streams");
    let lose = FaultSet { lose: 1, ..base() };
    let elsewhere_lost = FaultSet {
        lose: 1,
        lose_share: 1000,
        ..elsewhere(Mode::Normal)
    };
    let quiet = FaultSet {
        lose: 1,
        lose_silent: true,
        ..base()
    };
    let share = FaultSet {
        lose_share: 1000,
        ..base()
    };
    let cases = [
        case("none", base(), End::Done, 1, true),
        case(
            "503",
            FaultSet::new(Mode::Unavailable),
            End::Refused,
            0,
            false,
        ),
        case("silent", FaultSet::new(Mode::Silent), End::Silent, 0, false),
        case("frozen", FaultSet::new(Mode::Frozen), End::Silent, 0, false),
        case("closed", FaultSet::new(Mode::Closed), End::Closed, 0, false),
        case("lost once", lose, End::Closed, 1, true),
        case("lost in silence", quiet, End::Silent, 1, true),
        case("a share lost", share, End::Closed, 1, false),
        case(
            "silent elsewhere",
            elsewhere(Mode::Silent),
            End::Done,
            1,
            true,
        ),
        case(
            "503 elsewhere",
            elsewhere(Mode::Unavailable),
            End::Done,
            1,
            true,
        ),
        case(
            "frozen elsewhere",
            elsewhere(Mode::Frozen),
            End::Done,
            1,
            true,
        ),
        case("lost elsewhere", elsewhere_lost, End::Done, 1, true),
    ];
    for case in cases {
        let log = Log::new(LogSettings::default()).spawn_thread().unwrap();
        let url = format!("http://{}/admin/faults", log.address);
        let sent = awc::Client::default().post(&url).send_json(&case.set);
        assert!(sent.await.unwrap().status().is_success(), "{}", case.name);
        assert_eq!(log.handle.faults().get(), case.set, "{}", case.name);
        let bound = if case.end == End::Silent {
            SHORT
        } else {
            BOUND
        };
        assert_eq!(append(&log, "a", bound).await, case.end, "{}", case.name);
        let held = log.handle.records(&stream("s")).len();
        assert_eq!(held, case.effect, "{}", case.name);
        let bound = if case.passes { BOUND } else { SHORT };
        let next = append(&log, "b", bound).await == End::Done;
        assert_eq!(next, case.passes, "{}", case.name);
        log.handle.faults().clear();
        assert_eq!(append(&log, "c", BOUND).await, End::Done, "{}", case.name);
    }
}

#[actix_web::test]
async fn a_share_of_answers_is_lost_and_all_take_effect() {
    let log = Log::new(LogSettings::default()).start().unwrap();
    log.handle.faults().set(FaultSet {
        lose_share: 500,
        ..FaultSet::default()
    });
    let mut lost = 0;
    for number in 0..60 {
        lost += usize::from(append(&log, &format!("a-{number}"), BOUND).await == End::Closed);
    }
    assert!((10..50).contains(&lost), "{lost} of 60");
    assert_eq!(log.handle.records(&stream("s")).len(), 60);
}

#[actix_web::test]
async fn a_delay_comes_before_the_effect() {
    let log = Log::new(LogSettings::default()).spawn_thread().unwrap();
    let delay = 120;
    log.handle.faults().set(FaultSet {
        delay,
        ..FaultSet::default()
    });
    let begun = Instant::now();
    let appended = append(&log, "a", BOUND);
    let look = async {
        tokio::time::sleep(Duration::from_millis(delay / 4)).await;
        let held = log.handle.records(&stream("s")).len();
        assert!(held == 0 || begun.elapsed() >= Duration::from_millis(delay));
    };
    let (end, ()) = futures_util::future::join(appended, look).await;
    assert_eq!(end, End::Done);
    assert!(begun.elapsed() >= Duration::from_millis(delay));
}

#[actix_web::test]
async fn a_frozen_server_goes_on_where_it_stood() {
    let engine = start(common::settings());
    let call = request("r-1", "q", 60);
    let answer = collect(engine.address, &call, BOUND);
    let freeze = async {
        until("the answer runs", || engine.handle.counts().tokens > 3).await;
        engine.handle.faults().set(FaultSet::new(Mode::Frozen));
        tokio::time::sleep(SHORT).await;
        let before = engine.handle.counts().tokens;
        tokio::time::sleep(SHORT).await;
        let after = engine.handle.counts().tokens;
        engine.handle.faults().clear();
        after - before
    };
    let (answer, moved) = futures_util::future::join(answer, freeze).await;
    assert_eq!(moved, 0, "tokens came while frozen");
    assert_eq!(answer.unwrap().text(), text(&call).prefix(60));
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Break {
    Stop,
    Stall,
    Silence,
    Mute,
    Cut,
}

impl Break {
    fn closes(self) -> bool {
        matches!(self, Self::Stop | Self::Cut)
    }

    /// Sets the switch that works from the start of a stream.
    fn prepare(self, faults: &Faults) {
        let after = |armed: bool| armed.then_some(5);
        faults.set(FaultSet {
            stop_after: after(self == Self::Stop),
            stall_after: after(self == Self::Stall),
            ..FaultSet::default()
        });
    }

    /// Breaks a stream that runs.
    fn strike(self, faults: &Faults) {
        match self {
            Self::Stop | Self::Stall => {}
            Self::Silence => faults.set(FaultSet::new(Mode::Silent)),
            Self::Mute => faults.mute(),
            Self::Cut => faults.cut(),
        }
    }
}

async fn break_and_resume(fault: Break) {
    let engine = start(common::settings());
    let faults = engine.handle.faults();
    fault.prepare(faults);
    let call = request("r-1", "q", 400);
    let quiet = if fault.closes() { BOUND } else { SHORT };
    let answer = collect(engine.address, &call, quiet);
    let breaking = async {
        until("the answer runs", || engine.handle.counts().tokens > 5).await;
        fault.strike(faults);
    };
    let (answer, ()) = futures_util::future::join(answer, breaking).await;
    let answer = answer.unwrap();
    assert_eq!(answer.silent, !fault.closes(), "{fault:?}: {answer:?}");
    assert_eq!(answer.finish, None, "{fault:?}");
    if matches!(fault, Break::Stop | Break::Stall) {
        assert_eq!(answer.chunks.len(), 5);
    }
    if !matches!(fault, Break::Mute | Break::Cut) {
        faults.clear();
    }
    let index = answer.chunks.len() as u64;
    let again = common::resume(call.clone(), index, &answer.text());
    let rest = collect(engine.address, &again, BOUND).await.unwrap();
    let whole = answer.text() + &rest.text();
    assert_eq!(whole, text(&call).prefix(400), "{fault:?}");
}

#[actix_web::test]
async fn a_broken_stream_resumes_on_a_new_connection() {
    let faults = [
        Break::Stop,
        Break::Stall,
        Break::Silence,
        Break::Mute,
        Break::Cut,
    ];
    futures_util::future::join_all(faults.map(break_and_resume)).await;
}

#[actix_web::test]
async fn a_crossed_chunk_carries_another_requests_id() {
    struct Case {
        others: usize,
        cross: u32,
    }
    for case in [
        Case {
            others: 0,
            cross: 1,
        },
        Case {
            others: 1,
            cross: 2,
        },
    ] {
        let engine = start(common::settings());
        engine.handle.faults().set(FaultSet {
            cross: case.cross,
            ..FaultSet::default()
        });
        let calls: Vec<_> = (0..=case.others)
            .map(|number| request(&format!("r-{number}"), &format!("q {number}"), 30))
            .collect();
        let answers = calls
            .iter()
            .map(|call| collect(engine.address, call, BOUND));
        let answers = futures_util::future::join_all(answers).await;
        let foreign: u32 = calls
            .iter()
            .zip(answers)
            .map(|(call, answer)| {
                let chunks = answer.unwrap().chunks;
                let foreign = chunks.iter().filter(|chunk| chunk.id != call.id);
                u32::try_from(foreign.count()).unwrap()
            })
            .sum();
        assert_eq!(foreign, case.cross);
        assert_eq!(engine.handle.faults().get().cross, 0);
    }
}

#[actix_web::test]
async fn an_order_whose_answer_is_lost_took_effect_once() {
    let engine = start(common::settings());
    engine.handle.faults().set(FaultSet {
        lose: 1,
        fencing: Some(Fencing::Checked),
        ..FaultSet::default().with_only("POST /orders")
    });
    let order = common::order("a", 3, common::load("tags", 30));
    let lost = engines().order(engine.address, &order).await;
    assert!(matches!(lost, Err(CallError::Lost { .. })), "{lost:?}");
    let again = engines().order(engine.address, &order).await;
    assert_eq!(again, Ok(OrderAnswer::Taken));
    let old = common::order("b", 2, OrderAction::Seal);
    let fenced = engines().order(engine.address, &old).await;
    assert_eq!(fenced, Ok(OrderAnswer::Fenced { highest: 3 }));
    let counts = engine.handle.counts();
    assert_eq!((counts.peak, counts.repeats, counts.fenced), (70, 1, 1));
}

#[actix_web::test]
async fn a_stopped_stand_in_refuses_connections() {
    let log = Log::new(LogSettings::default()).spawn_thread().unwrap();
    let address = log.address;
    assert_eq!(append(&log, "a", BOUND).await, End::Done);
    drop(log);
    let service = HttpLog::new(client(BOUND), address);
    let read = service
        .read(&stream("s"), Offset(1), 1, Duration::ZERO)
        .await;
    let error = read.unwrap_err().0;
    assert!(matches!(error, CallError::NotSent { .. }), "{error}");
}
