//! Every fault switch, set while the server runs and checked on real connections.

#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::time::{Duration, Instant};

use common::{
    WAIT_TIMEOUT, collect_answer, engine_client, expected_text, generate_request, http_client,
    new_record, start_engine, stream_name, wait_until,
};
use eelgrasshill_domain::{Fencing, Offset};
use eelgrasshill_ports::{
    AppendError, CallError, EngineClient as _, HttpLog, LogClient as _, OrderAction, OrderAnswer,
};
use eelgrasshill_standin::{FaultSet, Faults, Log, LogSettings, Mode, RunningServer, Standin};

/// Time-out of a call that is expected to get no answer.
const SHORT_TIMEOUT: Duration = Duration::from_millis(150);

/// The result of an append, as its client sees it.
#[derive(Debug, PartialEq, Eq)]
enum AppendOutcome {
    Done,
    Refused,
    Closed,
    Silent,
}

async fn append(log: &RunningServer<Log>, id: &str, answer_timeout: Duration) -> AppendOutcome {
    let service = HttpLog::new(http_client(answer_timeout), log.address);
    match service
        .append(&stream_name("s"), vec![new_record(id)])
        .await
    {
        Ok(_offsets) => AppendOutcome::Done,
        Err(AppendError::MaybeWritten(CallError::Status { status: 503, .. })) => {
            AppendOutcome::Refused
        }
        Err(AppendError::MaybeWritten(CallError::Timeout { .. })) => AppendOutcome::Silent,
        Err(AppendError::MaybeWritten(CallError::Lost { .. })) => AppendOutcome::Closed,
        Err(error) => panic!("append {id}: unexpected error {error}"),
    }
}

#[actix_web::test]
async fn each_fault_gives_the_documented_result_and_ends_when_cleared() {
    struct Case {
        name: &'static str,
        faults: FaultSet,
        result: AppendOutcome,
        records_written: usize,
        /// Whether the next call succeeds while the faults are still set.
        next_succeeds: bool,
    }
    let case = |name, faults, result, records_written, next_succeeds| Case {
        name,
        faults,
        result,
        records_written,
        next_succeeds,
    };
    let no_fault = FaultSet::default;
    let on_reads_only = |mode| FaultSet::new(mode).with_call_prefix("GET /streams");
    let lost_once = FaultSet {
        lost_answers: 1,
        ..no_fault()
    };
    let lost_on_reads_only = FaultSet {
        lost_answers: 1,
        lost_answers_permille: 1000,
        ..on_reads_only(Mode::Normal)
    };
    let lose_silently = FaultSet {
        lost_answers: 1,
        keep_lost_open: true,
        ..no_fault()
    };
    let all_lost_by_share = FaultSet {
        lost_answers_permille: 1000,
        ..no_fault()
    };
    let cases = [
        case("none", no_fault(), AppendOutcome::Done, 1, true),
        case(
            "503",
            FaultSet::new(Mode::Unavailable),
            AppendOutcome::Refused,
            0,
            false,
        ),
        case(
            "silent",
            FaultSet::new(Mode::Silent),
            AppendOutcome::Silent,
            0,
            false,
        ),
        case(
            "frozen",
            FaultSet::new(Mode::Frozen),
            AppendOutcome::Silent,
            0,
            false,
        ),
        case(
            "closed",
            FaultSet::new(Mode::Closed),
            AppendOutcome::Closed,
            0,
            false,
        ),
        case("lost once", lost_once, AppendOutcome::Closed, 1, true),
        case(
            "lost in silence",
            lose_silently,
            AppendOutcome::Silent,
            1,
            true,
        ),
        case(
            "a share lost",
            all_lost_by_share,
            AppendOutcome::Closed,
            1,
            false,
        ),
        case(
            "silent elsewhere",
            on_reads_only(Mode::Silent),
            AppendOutcome::Done,
            1,
            true,
        ),
        case(
            "503 elsewhere",
            on_reads_only(Mode::Unavailable),
            AppendOutcome::Done,
            1,
            true,
        ),
        case(
            "frozen elsewhere",
            on_reads_only(Mode::Frozen),
            AppendOutcome::Done,
            1,
            true,
        ),
        case(
            "lost elsewhere",
            lost_on_reads_only,
            AppendOutcome::Done,
            1,
            true,
        ),
    ];
    for case in cases {
        let log = Log::new(LogSettings::default()).spawn_thread().unwrap();
        let url = format!("http://{}/admin/faults", log.address);
        let sent = awc::Client::default().post(&url).send_json(&case.faults);
        assert!(sent.await.unwrap().status().is_success(), "{}", case.name);
        assert_eq!(log.handle.faults().get(), case.faults, "{}", case.name);
        let answer_timeout = if case.result == AppendOutcome::Silent {
            SHORT_TIMEOUT
        } else {
            WAIT_TIMEOUT
        };
        assert_eq!(
            append(&log, "a", answer_timeout).await,
            case.result,
            "{}",
            case.name
        );
        let records = log.handle.records(&stream_name("s")).len();
        assert_eq!(records, case.records_written, "{}", case.name);
        let answer_timeout = if case.next_succeeds {
            WAIT_TIMEOUT
        } else {
            SHORT_TIMEOUT
        };
        let next = append(&log, "b", answer_timeout).await == AppendOutcome::Done;
        assert_eq!(next, case.next_succeeds, "{}", case.name);
        log.handle.faults().clear();
        assert_eq!(
            append(&log, "c", WAIT_TIMEOUT).await,
            AppendOutcome::Done,
            "{}",
            case.name
        );
    }
}

#[actix_web::test]
async fn a_share_of_answers_is_lost_but_all_calls_take_effect() {
    const CALLS: usize = 60;
    const HALF_PERMILLE: u32 = 500;
    /// The draws are seeded, so that the result is repeatable.
    const EXPECTED_LOST: std::ops::Range<usize> = 10..50;
    let log = Log::new(LogSettings::default()).start().unwrap();
    log.handle.faults().set(FaultSet {
        lost_answers_permille: HALF_PERMILLE,
        ..FaultSet::default()
    });
    let mut lost = 0;
    for number in 0..CALLS {
        lost += usize::from(
            append(&log, &format!("a-{number}"), WAIT_TIMEOUT).await == AppendOutcome::Closed,
        );
    }
    assert!(
        EXPECTED_LOST.contains(&lost),
        "{lost} of {CALLS} answers were lost, expected {EXPECTED_LOST:?}"
    );
    assert_eq!(log.handle.records(&stream_name("s")).len(), CALLS);
}

#[actix_web::test]
async fn a_delayed_call_takes_effect_only_after_its_delay() {
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
        let records = log.handle.records(&stream_name("s")).len();
        assert!(
            records == 0 || start_time.elapsed() >= Duration::from_millis(delay_ms),
            "{records} records after {:?}, expected none before {delay_ms} ms",
            start_time.elapsed()
        );
    };
    let (result, ()) = futures_util::future::join(appended, check).await;
    assert_eq!(result, AppendOutcome::Done);
    assert!(start_time.elapsed() >= Duration::from_millis(delay_ms));
}

#[actix_web::test]
async fn a_frozen_server_resumes_where_it_stopped() {
    let engine = start_engine(common::engine_settings());
    let call = generate_request("r-1", "q", 60);
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

/// Chunks after which a stream is broken off or goes silent.
const CHUNKS_BEFORE_FAULT: u64 = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamFault {
    /// The engine breaks the stream off after [`CHUNKS_BEFORE_FAULT`] chunks.
    Stop,
    /// The stream goes silent for good after [`CHUNKS_BEFORE_FAULT`] chunks.
    Stall,
    /// [`Mode::Silent`] is set.
    SilentMode,
    /// [`Faults::silence_connections`] is called.
    SilenceConnections,
    /// [`Faults::close_connections`] is called.
    CloseConnections,
}

impl StreamFault {
    fn closes(self) -> bool {
        matches!(self, Self::Stop | Self::CloseConnections)
    }

    /// Sets the faults that must be in place before the stream starts.
    fn prepare(self, faults: &Faults) {
        let chunks_if = |enabled: bool| enabled.then_some(CHUNKS_BEFORE_FAULT);
        faults.set(FaultSet {
            stop_after_tokens: chunks_if(self == Self::Stop),
            stall_after_tokens: chunks_if(self == Self::Stall),
            ..FaultSet::default()
        });
    }

    /// Applies the faults that break a running stream.
    fn apply(self, faults: &Faults) {
        match self {
            Self::Stop | Self::Stall => {}
            Self::SilentMode => faults.set(FaultSet::new(Mode::Silent)),
            Self::SilenceConnections => faults.silence_connections(),
            Self::CloseConnections => faults.close_connections(),
        }
    }
}

async fn break_and_resume(fault: StreamFault) {
    let engine = start_engine(common::engine_settings());
    let faults = engine.handle.faults();
    fault.prepare(faults);
    let call = generate_request("r-1", "q", 400);
    let max_silence = if fault.closes() {
        WAIT_TIMEOUT
    } else {
        SHORT_TIMEOUT
    };
    let answer = collect_answer(engine.address, &call, max_silence);
    let breaking = async {
        wait_until("the answer runs", || {
            engine.handle.counts().tokens > CHUNKS_BEFORE_FAULT
        })
        .await;
        fault.apply(faults);
    };
    let (answer, ()) = futures_util::future::join(answer, breaking).await;
    let answer = answer.unwrap();
    assert_eq!(answer.silent, !fault.closes(), "{fault:?}: {answer:?}");
    assert_eq!(answer.finish, None, "{fault:?}");
    if matches!(fault, StreamFault::Stop | StreamFault::Stall) {
        assert_eq!(answer.chunks.len() as u64, CHUNKS_BEFORE_FAULT, "{fault:?}");
    }
    // Silencing and closing connections do not affect new ones, so nothing has to be cleared.
    if !matches!(
        fault,
        StreamFault::SilenceConnections | StreamFault::CloseConnections
    ) {
        faults.clear();
    }
    let index = answer.chunks.len() as u64;
    let resumed_request = common::with_resume(call.clone(), index, &answer.text());
    let resumed_answer = collect_answer(engine.address, &resumed_request, WAIT_TIMEOUT)
        .await
        .unwrap();
    let whole_text = answer.text() + &resumed_answer.text();
    assert_eq!(whole_text, expected_text(&call).prefix(400), "{fault:?}");
}

#[actix_web::test]
async fn a_broken_stream_resumes_on_a_new_connection() {
    let faults = [
        StreamFault::Stop,
        StreamFault::Stall,
        StreamFault::SilentMode,
        StreamFault::SilenceConnections,
        StreamFault::CloseConnections,
    ];
    futures_util::future::join_all(faults.map(break_and_resume)).await;
}

#[actix_web::test]
async fn a_crossed_chunk_carries_another_requests_id() {
    struct Case {
        other_requests: usize,
        swapped_answers: u32,
    }
    for case in [
        Case {
            other_requests: 0,
            swapped_answers: 1,
        },
        Case {
            other_requests: 1,
            swapped_answers: 2,
        },
    ] {
        let engine = start_engine(common::engine_settings());
        engine.handle.faults().set(FaultSet {
            swapped_answers: case.swapped_answers,
            ..FaultSet::default()
        });
        let calls: Vec<_> = (0..=case.other_requests)
            .map(|number| generate_request(&format!("r-{number}"), &format!("q {number}"), 30))
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
        assert_eq!(
            crossed, case.swapped_answers,
            "{} other requests",
            case.other_requests
        );
        assert_eq!(engine.handle.faults().get().swapped_answers, 0);
    }
}

#[actix_web::test]
async fn an_order_repeated_after_a_lost_answer_takes_effect_once() {
    let engine = start_engine(common::engine_settings());
    engine.handle.faults().set(FaultSet {
        lost_answers: 1,
        fencing: Some(Fencing::Checked),
        ..FaultSet::default().with_call_prefix("POST /orders")
    });
    let order = common::new_order("a", 3, common::load_action("tags", 30));
    let lost = engine_client().order(engine.address, &order).await;
    assert!(matches!(lost, Err(CallError::Lost { .. })), "{lost:?}");
    let repeated = engine_client().order(engine.address, &order).await;
    assert_eq!(repeated, Ok(OrderAnswer::Accepted));
    // The lost order raised the fence, so that an older fencing token is refused.
    let old = common::new_order("b", 2, OrderAction::RaiseFence);
    let fenced = engine_client().order(engine.address, &old).await;
    assert_eq!(fenced, Ok(OrderAnswer::Fenced { highest_fence: 3 }));
    let counts = engine.handle.counts();
    assert_eq!((counts.peak_mb, counts.repeats, counts.fenced), (70, 1, 1));
}

#[actix_web::test]
async fn a_stopped_stand_in_refuses_connections() {
    let log = Log::new(LogSettings::default()).spawn_thread().unwrap();
    let address = log.address;
    assert_eq!(append(&log, "a", WAIT_TIMEOUT).await, AppendOutcome::Done);
    drop(log);
    let service = HttpLog::new(http_client(WAIT_TIMEOUT), address);
    let read = service
        .read(&stream_name("s"), Offset(1), 1, Duration::ZERO)
        .await;
    let error = read.unwrap_err().0;
    assert!(matches!(error, CallError::NotSent { .. }), "{error}");
}
