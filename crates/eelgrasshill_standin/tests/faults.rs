//! Every fault switch, set while the server runs and checked on real connections.

#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::time::{Duration, Instant};

use common::{
    WAIT_TIMEOUT, client, collect_answer, engine_client, expected_text, record, request, start,
    stream, wait_until,
};
use eelgrasshill_domain::{Fencing, Offset};
use eelgrasshill_ports::{
    AppendError, CallError, Engine as _, HttpLog, Log as _, OrderAction, OrderAnswer,
};
use eelgrasshill_standin::{FaultSet, Faults, Log, LogSettings, Mode, RunningServer, Standin};

/// Time-out of a call that is expected to get no answer.
const SHORT_TIMEOUT: Duration = Duration::from_millis(150);

/// The result of an append, as its client sees it.
#[derive(Debug, PartialEq, Eq)]
enum AppendResult {
    Done,
    Refused,
    Closed,
    Silent,
}

async fn append(log: &RunningServer<Log>, id: &str, bound: Duration) -> AppendResult {
    let service = HttpLog::new(client(bound), log.address);
    match service.append(&stream("s"), vec![record(id)]).await {
        Ok(_offsets) => AppendResult::Done,
        Err(AppendError::Unknown(CallError::Status { status: 503, .. })) => AppendResult::Refused,
        Err(AppendError::Unknown(CallError::Timeout { .. })) => AppendResult::Silent,
        Err(AppendError::Unknown(CallError::Lost { .. })) => AppendResult::Closed,
        Err(error) => panic!("{error}"),
    }
}

#[actix_web::test]
async fn each_fault_has_its_own_result_and_effect() {
    struct Case {
        name: &'static str,
        set: FaultSet,
        end: AppendResult,
        effect: usize,
        /// Whether the next call succeeds while the faults are still set.
        next_succeeds: bool,
    }
    let case = |name, set, end, effect, next_succeeds| Case {
        name,
        set,
        end,
        effect,
        next_succeeds,
    };
    let base = FaultSet::default;
    let elsewhere = |mode| FaultSet::new(mode).with_call_prefix("GET /streams");
    let lost_answers = FaultSet {
        lost_answers: 1,
        ..base()
    };
    let elsewhere_lost = FaultSet {
        lost_answers: 1,
        lost_answers_permille: 1000,
        ..elsewhere(Mode::Normal)
    };
    let lose_silently = FaultSet {
        lost_answers: 1,
        keep_lost_open: true,
        ..base()
    };
    let share = FaultSet {
        lost_answers_permille: 1000,
        ..base()
    };
    let cases = [
        case("none", base(), AppendResult::Done, 1, true),
        case(
            "503",
            FaultSet::new(Mode::Unavailable),
            AppendResult::Refused,
            0,
            false,
        ),
        case(
            "silent",
            FaultSet::new(Mode::Silent),
            AppendResult::Silent,
            0,
            false,
        ),
        case(
            "frozen",
            FaultSet::new(Mode::Frozen),
            AppendResult::Silent,
            0,
            false,
        ),
        case(
            "closed",
            FaultSet::new(Mode::Closed),
            AppendResult::Closed,
            0,
            false,
        ),
        case("lost once", lost_answers, AppendResult::Closed, 1, true),
        case(
            "lost in silence",
            lose_silently,
            AppendResult::Silent,
            1,
            true,
        ),
        case("a share lost", share, AppendResult::Closed, 1, false),
        case(
            "silent elsewhere",
            elsewhere(Mode::Silent),
            AppendResult::Done,
            1,
            true,
        ),
        case(
            "503 elsewhere",
            elsewhere(Mode::Unavailable),
            AppendResult::Done,
            1,
            true,
        ),
        case(
            "frozen elsewhere",
            elsewhere(Mode::Frozen),
            AppendResult::Done,
            1,
            true,
        ),
        case(
            "lost elsewhere",
            elsewhere_lost,
            AppendResult::Done,
            1,
            true,
        ),
    ];
    for case in cases {
        let log = Log::new(LogSettings::default()).spawn_thread().unwrap();
        let url = format!("http://{}/admin/faults", log.address);
        let sent = awc::Client::default().post(&url).send_json(&case.set);
        assert!(sent.await.unwrap().status().is_success(), "{}", case.name);
        assert_eq!(log.handle.faults().get(), case.set, "{}", case.name);
        let bound = if case.end == AppendResult::Silent {
            SHORT_TIMEOUT
        } else {
            WAIT_TIMEOUT
        };
        assert_eq!(append(&log, "a", bound).await, case.end, "{}", case.name);
        let held = log.handle.records(&stream("s")).len();
        assert_eq!(held, case.effect, "{}", case.name);
        let bound = if case.next_succeeds {
            WAIT_TIMEOUT
        } else {
            SHORT_TIMEOUT
        };
        let next = append(&log, "b", bound).await == AppendResult::Done;
        assert_eq!(next, case.next_succeeds, "{}", case.name);
        log.handle.faults().clear();
        assert_eq!(
            append(&log, "c", WAIT_TIMEOUT).await,
            AppendResult::Done,
            "{}",
            case.name
        );
    }
}

#[actix_web::test]
async fn a_share_of_answers_is_lost_but_all_calls_take_effect() {
    let log = Log::new(LogSettings::default()).start().unwrap();
    log.handle.faults().set(FaultSet {
        lost_answers_permille: 500,
        ..FaultSet::default()
    });
    let mut lost = 0;
    for number in 0..60 {
        lost += usize::from(
            append(&log, &format!("a-{number}"), WAIT_TIMEOUT).await == AppendResult::Closed,
        );
    }
    assert!(
        (10..50).contains(&lost),
        "{lost} of 60 answers were lost, expected 10 to 49"
    );
    assert_eq!(log.handle.records(&stream("s")).len(), 60);
}

#[actix_web::test]
async fn a_delay_comes_before_the_effect() {
    let log = Log::new(LogSettings::default()).spawn_thread().unwrap();
    let delay_ms = 120;
    log.handle.faults().set(FaultSet {
        delay_ms,
        ..FaultSet::default()
    });
    let start_time = Instant::now();
    let appended = append(&log, "a", WAIT_TIMEOUT);
    let check = async {
        tokio::time::sleep(Duration::from_millis(delay_ms / 4)).await;
        let held = log.handle.records(&stream("s")).len();
        assert!(held == 0 || start_time.elapsed() >= Duration::from_millis(delay_ms));
    };
    let (end, ()) = futures_util::future::join(appended, check).await;
    assert_eq!(end, AppendResult::Done);
    assert!(start_time.elapsed() >= Duration::from_millis(delay_ms));
}

#[actix_web::test]
async fn a_frozen_server_resumes_where_it_stopped() {
    let engine = start(common::settings());
    let call = request("r-1", "q", 60);
    let answer = collect_answer(engine.address, &call, WAIT_TIMEOUT);
    let freeze = async {
        wait_until("the answer runs", || engine.handle.counts().tokens > 3).await;
        engine.handle.faults().set(FaultSet::new(Mode::Frozen));
        tokio::time::sleep(SHORT_TIMEOUT).await;
        let before = engine.handle.counts().tokens;
        tokio::time::sleep(SHORT_TIMEOUT).await;
        let after = engine.handle.counts().tokens;
        engine.handle.faults().clear();
        after - before
    };
    let (answer, tokens_while_frozen) = futures_util::future::join(answer, freeze).await;
    assert_eq!(
        tokens_while_frozen, 0,
        "tokens were generated while the engine was frozen"
    );
    assert_eq!(answer.unwrap().text(), expected_text(&call).prefix(60));
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamFault {
    Stop,
    Stall,
    Silence,
    Mute,
    Cut,
}

impl StreamFault {
    fn closes(self) -> bool {
        matches!(self, Self::Stop | Self::Cut)
    }

    /// Sets the faults that must be in place before the stream starts.
    fn prepare(self, faults: &Faults) {
        let after = |armed: bool| armed.then_some(5);
        faults.set(FaultSet {
            stop_after_tokens: after(self == Self::Stop),
            stall_after_tokens: after(self == Self::Stall),
            ..FaultSet::default()
        });
    }

    /// Applies the faults that break a running stream.
    fn apply(self, faults: &Faults) {
        match self {
            Self::Stop | Self::Stall => {}
            Self::Silence => faults.set(FaultSet::new(Mode::Silent)),
            Self::Mute => faults.silence_connections(),
            Self::Cut => faults.close_connections(),
        }
    }
}

async fn break_and_resume(fault: StreamFault) {
    let engine = start(common::settings());
    let faults = engine.handle.faults();
    fault.prepare(faults);
    let call = request("r-1", "q", 400);
    let max_silence = if fault.closes() {
        WAIT_TIMEOUT
    } else {
        SHORT_TIMEOUT
    };
    let answer = collect_answer(engine.address, &call, max_silence);
    let breaking = async {
        wait_until("the answer runs", || engine.handle.counts().tokens > 5).await;
        fault.apply(faults);
    };
    let (answer, ()) = futures_util::future::join(answer, breaking).await;
    let answer = answer.unwrap();
    assert_eq!(answer.silent, !fault.closes(), "{fault:?}: {answer:?}");
    assert_eq!(answer.finish, None, "{fault:?}");
    if matches!(fault, StreamFault::Stop | StreamFault::Stall) {
        assert_eq!(answer.chunks.len(), 5);
    }
    if !matches!(fault, StreamFault::Mute | StreamFault::Cut) {
        faults.clear();
    }
    let index = answer.chunks.len() as u64;
    let again = common::resume(call.clone(), index, &answer.text());
    let rest = collect_answer(engine.address, &again, WAIT_TIMEOUT)
        .await
        .unwrap();
    let whole = answer.text() + &rest.text();
    assert_eq!(whole, expected_text(&call).prefix(400), "{fault:?}");
}

#[actix_web::test]
async fn a_broken_stream_resumes_on_a_new_connection() {
    let faults = [
        StreamFault::Stop,
        StreamFault::Stall,
        StreamFault::Silence,
        StreamFault::Mute,
        StreamFault::Cut,
    ];
    futures_util::future::join_all(faults.map(break_and_resume)).await;
}

#[actix_web::test]
async fn a_crossed_chunk_carries_another_requests_id() {
    struct Case {
        others: usize,
        swapped_answers: u32,
    }
    for case in [
        Case {
            others: 0,
            swapped_answers: 1,
        },
        Case {
            others: 1,
            swapped_answers: 2,
        },
    ] {
        let engine = start(common::settings());
        engine.handle.faults().set(FaultSet {
            swapped_answers: case.swapped_answers,
            ..FaultSet::default()
        });
        let calls: Vec<_> = (0..=case.others)
            .map(|number| request(&format!("r-{number}"), &format!("q {number}"), 30))
            .collect();
        let answers = calls
            .iter()
            .map(|call| collect_answer(engine.address, call, WAIT_TIMEOUT));
        let answers = futures_util::future::join_all(answers).await;
        let crossed: u32 = calls
            .iter()
            .zip(answers)
            .map(|(call, answer)| {
                let chunks = answer.unwrap().chunks;
                let crossed = chunks.iter().filter(|chunk| chunk.id != call.id);
                u32::try_from(crossed.count()).unwrap()
            })
            .sum();
        assert_eq!(crossed, case.swapped_answers);
        assert_eq!(engine.handle.faults().get().swapped_answers, 0);
    }
}

#[actix_web::test]
async fn an_order_whose_answer_is_lost_took_effect_once() {
    let engine = start(common::settings());
    engine.handle.faults().set(FaultSet {
        lost_answers: 1,
        fencing: Some(Fencing::Checked),
        ..FaultSet::default().with_call_prefix("POST /orders")
    });
    let order = common::order("a", 3, common::load("tags", 30));
    let lost = engine_client().order(engine.address, &order).await;
    assert!(matches!(lost, Err(CallError::Lost { .. })), "{lost:?}");
    let again = engine_client().order(engine.address, &order).await;
    assert_eq!(again, Ok(OrderAnswer::Taken));
    let old = common::order("b", 2, OrderAction::Seal);
    let fenced = engine_client().order(engine.address, &old).await;
    assert_eq!(fenced, Ok(OrderAnswer::Fenced { highest: 3 }));
    let counts = engine.handle.counts();
    assert_eq!((counts.peak, counts.repeats, counts.fenced), (70, 1, 1));
}

#[actix_web::test]
async fn a_stopped_stand_in_refuses_connections() {
    let log = Log::new(LogSettings::default()).spawn_thread().unwrap();
    let address = log.address;
    assert_eq!(append(&log, "a", WAIT_TIMEOUT).await, AppendResult::Done);
    drop(log);
    let service = HttpLog::new(client(WAIT_TIMEOUT), address);
    let read = service
        .read(&stream("s"), Offset(1), 1, Duration::ZERO)
        .await;
    let error = read.unwrap_err().0;
    assert!(matches!(error, CallError::NotSent { .. }), "{error}");
}
