//! The relay's faults, seen through real HTTP connections to a log or an engine behind it.

#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::time::{Duration, Instant};

use common::{
    WAIT_TIMEOUT, client, collect_answer, expected_text, record, request, start, stream, wait_until,
};
use eelgrasshill_ports::{AppendError, HttpLog, Log as _};
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
enum AppendResult {
    Done,
    NotSent,
    Unknown,
}

async fn append(log: &HttpLog) -> AppendResult {
    match log.append(&stream("s"), vec![record("a")]).await {
        Ok(_offsets) => AppendResult::Done,
        Err(AppendError::NotWritten(_)) => AppendResult::NotSent,
        Err(AppendError::Unknown(_)) => AppendResult::Unknown,
    }
}

#[actix_web::test]
async fn a_relay_is_cut_silenced_delayed_and_healed() {
    struct Case {
        name: &'static str,
        set: RelayFaults,
        end: AppendResult,
        writes: u64,
    }
    let case = |name, mode, delay_ms, end, writes| Case {
        name,
        set: RelayFaults { mode, delay_ms },
        end,
        writes,
    };
    let cases = [
        case("passes", RelayMode::Pass, 0, AppendResult::Done, 1),
        case("cut", RelayMode::Cut, 0, AppendResult::NotSent, 0),
        case("silent", RelayMode::Silent, 0, AppendResult::Unknown, 0),
        case("delayed", RelayMode::Pass, 30, AppendResult::Done, 1),
        case("too late", RelayMode::Pass, 400, AppendResult::Unknown, 1),
    ];
    for case in cases {
        let (log, relay) = start_relayed_log();
        let url = format!("http://{}/admin/relay", relay.address);
        let sent = awc::Client::default().post(&url).send_json(&case.set);
        assert!(sent.await.unwrap().status().is_success(), "{}", case.name);
        assert_eq!(relay.handle.get(), case.set, "{}", case.name);
        let bound = if case.end == AppendResult::Unknown {
            SHORT_TIMEOUT
        } else {
            WAIT_TIMEOUT
        };
        let relayed_log = HttpLog::new(client(bound), relay.handle.address());
        let start = Instant::now();
        let mut end = append(&relayed_log).await;
        while case.set.mode == RelayMode::Cut && end != case.end {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "the cut relay still accepted connections after {WAIT_TIMEOUT:?}"
            );
            end = append(&relayed_log).await;
        }
        assert_eq!(end, case.end, "{}", case.name);
        let min_elapsed = Duration::from_millis(2 * case.set.delay_ms).min(bound);
        assert!(start.elapsed() >= min_elapsed, "{}", case.name);
        wait_until(case.name, || log.handle.counts().appends >= case.writes).await;
        relay.handle.clear();
        let healed = HttpLog::new(client(WAIT_TIMEOUT), relay.handle.address());
        wait_until_appended(&healed).await;
    }
}

async fn wait_until_appended(log: &HttpLog) {
    let start = Instant::now();
    while append(log).await != AppendResult::Done {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "no append succeeded within {WAIT_TIMEOUT:?} after healing"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[actix_web::test]
async fn a_silenced_connection_stays_silent_while_new_ones_work() {
    let (log, relay) = start_relayed_log();
    let pooled = HttpLog::new(client(SHORT_TIMEOUT), relay.handle.address());
    assert_eq!(append(&pooled).await, AppendResult::Done);
    let url = format!("http://{}/admin/silence", relay.address);
    let sent = awc::Client::default().post(&url).send().await.unwrap();
    assert_eq!(sent.status(), 204);
    assert_eq!(
        append(&pooled).await,
        AppendResult::Unknown,
        "the pooled connection must stay silent"
    );
    let fresh = HttpLog::new(client(WAIT_TIMEOUT), relay.handle.address());
    assert_eq!(append(&fresh).await, AppendResult::Done);
    assert_eq!(
        log.handle.counts().appends,
        2,
        "bytes of the silenced connection must not reach the log"
    );
}

#[actix_web::test]
async fn a_cut_or_silent_relay_breaks_a_stream() {
    for cut in [true, false] {
        let engine = start(common::settings());
        let relay = Relay::new(RelaySettings::new(engine.address)).unwrap();
        let relay = relay.spawn_thread().unwrap();
        let call = request("r-1", "q", 400);
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
        assert_eq!(answer.finish, None);
        assert_eq!(answer.silent, !cut);
        let index = answer.chunks.len() as u64;
        assert_eq!(answer.text(), expected_text(&call).prefix(index));
    }
}

#[actix_web::test]
async fn delays_keep_the_order_of_bytes_and_do_not_add_up() {
    let engine = start(common::settings());
    let relay = Relay::new(RelaySettings::new(engine.address)).unwrap();
    let relay = relay.spawn_thread().unwrap();
    relay.handle.set(RelayFaults {
        mode: RelayMode::Pass,
        delay_ms: 50,
    });
    let call = request("r-1", "q", 100);
    let start = Instant::now();
    let answer = collect_answer(relay.handle.address(), &call, WAIT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(answer.text(), expected_text(&call).prefix(100));
    let sum_of_delays = Duration::from_millis(50) * 100;
    assert!(
        start.elapsed() < sum_of_delays,
        "the delays of single tokens added up"
    );
}
