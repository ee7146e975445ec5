//! The relay's faults, met through real HTTP connections to a log behind it.

#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::time::{Duration, Instant};

use common::{BOUND, client, collect, record, request, start, stream, text, until};
use eelgrasshill_ports::{AppendError, HttpLog, Log as _};
use eelgrasshill_standin::{
    Log, LogSettings, Relay, RelayMode, RelaySet, RelaySettings, Running, Standin as _,
};

/// How long a call is given when it shall not be answered.
const SHORT: Duration = Duration::from_millis(200);

fn relayed() -> (Running<Log>, Running<Relay>) {
    let log = Log::new(LogSettings::default()).spawn_thread().unwrap();
    let relay = Relay::new(RelaySettings::new(log.address)).unwrap();
    (log, relay.spawn_thread().unwrap())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Done,
    NotSent,
    Unknown,
}

async fn append(log: &HttpLog) -> End {
    match log.append(&stream("s"), vec![record("a")]).await {
        Ok(_offsets) => End::Done,
        Err(AppendError::NotWritten(_)) => End::NotSent,
        Err(AppendError::Unknown(_)) => End::Unknown,
    }
}

#[actix_web::test]
async fn a_link_is_cut_silenced_delayed_and_healed() {
    struct Case {
        name: &'static str,
        set: RelaySet,
        end: End,
        writes: u64,
    }
    let case = |name, mode, delay, end, writes| Case {
        name,
        set: RelaySet { mode, delay },
        end,
        writes,
    };
    let cases = [
        case("passes", RelayMode::Pass, 0, End::Done, 1),
        case("cut", RelayMode::Cut, 0, End::NotSent, 0),
        case("silent", RelayMode::Silent, 0, End::Unknown, 0),
        case("delayed", RelayMode::Pass, 30, End::Done, 1),
        case("too late", RelayMode::Pass, 400, End::Unknown, 1),
    ];
    for case in cases {
        let (log, relay) = relayed();
        let url = format!("http://{}/admin/relay", relay.address);
        let sent = awc::Client::default().post(&url).send_json(&case.set);
        assert!(sent.await.unwrap().status().is_success(), "{}", case.name);
        assert_eq!(relay.handle.get(), case.set, "{}", case.name);
        let bound = if case.end == End::Unknown {
            SHORT
        } else {
            BOUND
        };
        let through = HttpLog::new(client(bound), relay.handle.address());
        let begun = Instant::now();
        let mut end = append(&through).await;
        while case.set.mode == RelayMode::Cut && end != case.end {
            assert!(begun.elapsed() < BOUND, "the listener never closed");
            end = append(&through).await;
        }
        assert_eq!(end, case.end, "{}", case.name);
        let least = Duration::from_millis(2 * case.set.delay).min(bound);
        assert!(begun.elapsed() >= least, "{}", case.name);
        until(case.name, || log.handle.counts().appends >= case.writes).await;
        relay.handle.heal();
        let healed = HttpLog::new(client(BOUND), relay.handle.address());
        until_done(&healed).await;
    }
}

async fn until_done(log: &HttpLog) {
    let begun = Instant::now();
    while append(log).await != End::Done {
        assert!(begun.elapsed() < BOUND, "the link never healed");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[actix_web::test]
async fn a_silenced_connection_stays_so_while_new_ones_work() {
    let (log, relay) = relayed();
    let pooled = HttpLog::new(client(SHORT), relay.handle.address());
    assert_eq!(append(&pooled).await, End::Done);
    let url = format!("http://{}/admin/silence", relay.address);
    let sent = awc::Client::default().post(&url).send().await.unwrap();
    assert_eq!(sent.status(), 204);
    assert_eq!(
        append(&pooled).await,
        End::Unknown,
        "the pooled connection is silent"
    );
    let fresh = HttpLog::new(client(BOUND), relay.handle.address());
    assert_eq!(append(&fresh).await, End::Done);
    assert_eq!(
        log.handle.counts().appends,
        2,
        "the silent one swallowed its bytes"
    );
}

#[actix_web::test]
async fn a_cut_or_silent_link_breaks_a_stream_as_a_client_sees_it() {
    for cut in [true, false] {
        let engine = start(common::settings());
        let relay = Relay::new(RelaySettings::new(engine.address)).unwrap();
        let relay = relay.spawn_thread().unwrap();
        let call = request("r-1", "q", 400);
        let quiet = if cut { BOUND } else { SHORT };
        let answer = collect(relay.handle.address(), &call, quiet);
        let breaking = async {
            until("the answer runs", || engine.handle.counts().tokens > 5).await;
            if cut {
                relay.handle.cut();
            } else {
                relay.handle.mute();
            }
        };
        let (answer, ()) = futures_util::future::join(answer, breaking).await;
        let answer = answer.unwrap();
        assert_eq!(answer.finish, None);
        assert_eq!(answer.silent, !cut);
        let index = answer.chunks.len() as u64;
        assert_eq!(answer.text(), text(&call).prefix(index));
    }
}

#[actix_web::test]
async fn delayed_bytes_keep_their_order_and_pace() {
    let engine = start(common::settings());
    let relay = Relay::new(RelaySettings::new(engine.address)).unwrap();
    let relay = relay.spawn_thread().unwrap();
    relay.handle.set(RelaySet {
        mode: RelayMode::Pass,
        delay: 50,
    });
    let call = request("r-1", "q", 100);
    let begun = Instant::now();
    let answer = collect(relay.handle.address(), &call, BOUND).await.unwrap();
    assert_eq!(answer.text(), text(&call).prefix(100));
    let one_by_one = Duration::from_millis(50) * 100;
    assert!(begun.elapsed() < one_by_one, "delays may not add up");
}
