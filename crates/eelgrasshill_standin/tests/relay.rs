//! The relay's faults, seen through real HTTP connections to a log or an engine behind it.

#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::time::{Duration, Instant};

use common::{
    WAIT_TIMEOUT, collect_answer, expected_text, generate_request, http_client, new_record,
    start_engine, stream_name, wait_until,
};
use eelgrasshill_ports::{AppendError, HttpLog, LogClient as _};
use eelgrasshill_standin::{
    Log, LogSettings, Relay, RelayFaults, RelayMode, RelaySettings, RunningServer, Standin as _,
};

/// Time-out of a call that is expected to get no answer.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

fn start_relayed_log() -> (RunningServer<Log>, RunningServer<Relay>) {
    let log = Log::new(LogSettings::default()).spawn_thread().unwrap();
    let relay = Relay::new(RelaySettings::new(log.address)).unwrap();
    (log, relay.spawn_thread().unwrap())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayedAppend {
    Done,
    NotSent,
    MaybeWritten,
}

async fn append(log: &HttpLog) -> RelayedAppend {
    match log.append(&stream_name("s"), vec![new_record("a")]).await {
        Ok(_offsets) => RelayedAppend::Done,
        Err(AppendError::NotWritten(_)) => RelayedAppend::NotSent,
        Err(AppendError::MaybeWritten(_)) => RelayedAppend::MaybeWritten,
    }
}

#[actix_web::test]
async fn each_relay_mode_gives_the_documented_result_and_ends_when_cleared() {
    struct Case {
        name: &'static str,
        faults: RelayFaults,
        result: RelayedAppend,
        appends_written: u64,
    }
    let case = |name, mode, delay_ms, result, appends_written| Case {
        name,
        faults: RelayFaults { mode, delay_ms },
        result,
        appends_written,
    };
    let cases = [
        case("passes", RelayMode::Pass, 0, RelayedAppend::Done, 1),
        case("cut", RelayMode::Cut, 0, RelayedAppend::NotSent, 0),
        case(
            "silent",
            RelayMode::Silent,
            0,
            RelayedAppend::MaybeWritten,
            0,
        ),
        case("delayed", RelayMode::Pass, 30, RelayedAppend::Done, 1),
        case(
            "too late",
            RelayMode::Pass,
            400,
            RelayedAppend::MaybeWritten,
            1,
        ),
    ];
    for case in cases {
        let (log, relay) = start_relayed_log();
        let url = format!("http://{}/admin/relay", relay.address);
        let sent = awc::Client::default().post(&url).send_json(&case.faults);
        assert!(sent.await.unwrap().status().is_success(), "{}", case.name);
        assert_eq!(relay.handle.get(), case.faults, "{}", case.name);
        let answer_timeout = if case.result == RelayedAppend::MaybeWritten {
            SHORT_TIMEOUT
        } else {
            WAIT_TIMEOUT
        };
        let relayed_log = HttpLog::new(http_client(answer_timeout), relay.handle.address());
        let start = Instant::now();
        let mut result = append(&relayed_log).await;
        // The listener closes a moment after the switch is set.
        while case.faults.mode == RelayMode::Cut && result != case.result {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "the cut relay still accepted connections after {WAIT_TIMEOUT:?}"
            );
            result = append(&relayed_log).await;
        }
        assert_eq!(result, case.result, "{}", case.name);
        // One delay for the request and one for the answer.
        let min_elapsed = Duration::from_millis(2 * case.faults.delay_ms).min(answer_timeout);
        assert!(
            start.elapsed() >= min_elapsed,
            "{}: answered after {:?}, expected at least {min_elapsed:?}",
            case.name,
            start.elapsed()
        );
        wait_until(
            &format!("{}: {} appends written", case.name, case.appends_written),
            || log.handle.counts().appends >= case.appends_written,
        )
        .await;
        relay.handle.clear();
        let cleared_log = HttpLog::new(http_client(WAIT_TIMEOUT), relay.handle.address());
        wait_until_appended(&cleared_log).await;
    }
}

async fn wait_until_appended(log: &HttpLog) {
    let start = Instant::now();
    while append(log).await != RelayedAppend::Done {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "no append succeeded within {WAIT_TIMEOUT:?} after all faults were cleared"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[actix_web::test]
async fn a_silenced_connection_stays_silent_while_new_ones_work() {
    let (log, relay) = start_relayed_log();
    let pooled = HttpLog::new(http_client(SHORT_TIMEOUT), relay.handle.address());
    assert_eq!(append(&pooled).await, RelayedAppend::Done);
    let url = format!("http://{}/admin/silence", relay.address);
    let sent = awc::Client::default().post(&url).send().await.unwrap();
    assert_eq!(sent.status(), 204);
    assert_eq!(
        append(&pooled).await,
        RelayedAppend::MaybeWritten,
        "the old connection must stay silent"
    );
    let fresh = HttpLog::new(http_client(WAIT_TIMEOUT), relay.handle.address());
    assert_eq!(append(&fresh).await, RelayedAppend::Done);
    assert_eq!(
        log.handle.counts().appends,
        2,
        "bytes of the silenced connection must not reach the log"
    );
}

#[actix_web::test]
async fn disconnecting_or_silencing_a_relayed_stream_breaks_it_but_keeps_its_prefix() {
    for cut in [true, false] {
        let engine = start_engine(common::engine_settings());
        let relay = Relay::new(RelaySettings::new(engine.address)).unwrap();
        let relay = relay.spawn_thread().unwrap();
        let call = generate_request("r-1", "q", 400);
        let max_silence = if cut { WAIT_TIMEOUT } else { SHORT_TIMEOUT };
        let answer = collect_answer(relay.handle.address(), &call, max_silence);
        let breaking = async {
            wait_until("the answer runs", || engine.handle.counts().tokens > 5).await;
            if cut {
                relay.handle.disconnect();
            } else {
                relay.handle.silence_connections();
            }
        };
        let (answer, ()) = futures_util::future::join(answer, breaking).await;
        let answer = answer.unwrap();
        assert_eq!(answer.finish, None, "cut: {cut}");
        assert_eq!(answer.silent, !cut, "cut: {cut}");
        let index = answer.chunks.len() as u64;
        assert_eq!(
            answer.text(),
            expected_text(&call).prefix(index),
            "cut: {cut}"
        );
    }
}

#[actix_web::test]
async fn delays_keep_the_order_of_bytes_and_do_not_add_up() {
    const DELAY_MS: u64 = 50;
    const TOKENS: u64 = 100;
    let engine = start_engine(common::engine_settings());
    let relay = Relay::new(RelaySettings::new(engine.address)).unwrap();
    let relay = relay.spawn_thread().unwrap();
    relay.handle.set(RelayFaults {
        mode: RelayMode::Pass,
        delay_ms: DELAY_MS,
    });
    let call = generate_request("r-1", "q", TOKENS);
    let start = Instant::now();
    let answer = collect_answer(relay.handle.address(), &call, WAIT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(answer.text(), expected_text(&call).prefix(TOKENS));
    let sum_of_delays = Duration::from_millis(DELAY_MS * TOKENS);
    assert!(
        start.elapsed() < sum_of_delays,
        "answer took {:?}, expected less than {sum_of_delays:?}, the sum of all tokens' delays",
        start.elapsed()
    );
}
