//! The log, the host list and the plain service, called through the platform's adapters.
#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::time::{Duration, Instant};

use awc::http::Method;
use bytes::Bytes;
use common::{WAIT_TIMEOUT, http_client, new_record, stream_name};
use eelgrasshill_domain::{HostName, Offset, RequestId, ZoneName};
use eelgrasshill_ports::{
    AppendError, CallError, HostList as _, HostRole, HostState, HttpHostList, HttpLog, HttpPlain,
    ListedHost, LogClient as _, PlainCall, PlainClient as _,
};
use eelgrasshill_standin::{
    FaultSet, Hosts, HostsSettings, Log, LogSettings, Mode, PlainEcho, PlainService, PlainSettings,
    Standin as _,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Guards against lost, reordered or renumbered records of streams that are written in turn.
#[actix_web::test]
async fn appends_get_offsets_and_are_read_in_order() {
    const SEED: u64 = 3;
    const APPENDS: usize = 60;
    const PAGE_RECORDS: usize = 7;
    let running = Log::new(LogSettings::default()).start().unwrap();
    let log = HttpLog::new(http_client(WAIT_TIMEOUT), running.address);
    let mut rng = StdRng::seed_from_u64(SEED);
    let names = [stream_name("tables"), stream_name("claims")];
    let mut appended_ids: [Vec<String>; 2] = [Vec::new(), Vec::new()];
    for number in 0..APPENDS {
        let index = rng.random_range(0..2);
        let ids: Vec<String> = (0..rng.random_range(1..4))
            .map(|part| format!("a-{number}-{part}"))
            .collect();
        let records = ids.iter().map(|id| new_record(id)).collect();
        let offsets = log.append(&names[index], records).await.unwrap();
        let start = appended_ids[index].len() as u64 + 1;
        let expected: Vec<_> = (start..start + ids.len() as u64).map(Offset).collect();
        assert_eq!(offsets, expected);
        appended_ids[index].extend(ids);
    }
    for (name, appended_ids) in names.iter().zip(&appended_ids) {
        let from = rng.random_range(0..appended_ids.len());
        let page = log
            .read(name, Offset(from as u64 + 1), PAGE_RECORDS, Duration::ZERO)
            .await
            .unwrap();
        let ids: Vec<_> = page
            .records
            .iter()
            .map(|record| record.id.to_string())
            .collect();
        assert_eq!(
            ids,
            appended_ids[from..]
                .iter()
                .take(PAGE_RECORDS)
                .cloned()
                .collect::<Vec<_>>()
        );
        assert_eq!(
            (page.first, page.end),
            (Offset(1), Offset(appended_ids.len() as u64 + 1))
        );
    }
}

#[actix_web::test]
async fn a_long_poll_ends_on_an_append_a_timeout_or_an_outage() {
    #[derive(Debug)]
    enum PollEnd {
        Append,
        Timeout,
        Outage,
    }
    for poll_end in [PollEnd::Append, PollEnd::Timeout, PollEnd::Outage] {
        let running = Log::new(LogSettings::default()).spawn_thread().unwrap();
        let log = HttpLog::new(http_client(WAIT_TIMEOUT), running.address);
        let name = stream_name("tables");
        let wait = match poll_end {
            PollEnd::Timeout => Duration::from_millis(60),
            PollEnd::Append | PollEnd::Outage => WAIT_TIMEOUT,
        };
        let start = Instant::now();
        let read = log.read(&name, Offset(1), 10, wait);
        let event = async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            match poll_end {
                PollEnd::Append => drop(running.handle.append(&name, vec![new_record("a")])),
                PollEnd::Timeout => {}
                PollEnd::Outage => running
                    .handle
                    .faults()
                    .set(FaultSet::new(Mode::Unavailable)),
            }
        };
        let (page, ()) = futures_util::future::join(read, event).await;
        let ended_early = start.elapsed() < wait;
        assert_eq!(
            ended_early,
            !matches!(poll_end, PollEnd::Timeout),
            "a poll of {wait:?}, to be ended by {poll_end:?}"
        );
        match poll_end {
            PollEnd::Append => assert_eq!(page.unwrap().records.len(), 1),
            PollEnd::Timeout => assert_eq!(page.unwrap().end, Offset(1)),
            PollEnd::Outage => {
                let error = page.unwrap_err().0;
                assert!(
                    matches!(error, CallError::Status { status: 503, .. }),
                    "{error}"
                );
            }
        }
    }
}

#[actix_web::test]
async fn retention_advances_the_first_offset() {
    const APPENDS: u64 = 10;
    /// The offset of the next record; offsets start at 1.
    const END_OFFSET: u64 = APPENDS + 1;
    struct Case {
        name: &'static str,
        max_records: usize,
        max_age: Duration,
        expire_before: u64,
        first_offset: u64,
    }
    let day = Duration::from_hours(24);
    let case = |name, max_records, max_age, expire_before, first_offset| Case {
        name,
        max_records,
        max_age,
        expire_before,
        first_offset,
    };
    let cases = [
        case("all kept", 100, day, 0, 1),
        case("by count", 4, day, 0, 7),
        case("by age", 100, Duration::from_millis(1), 0, END_OFFSET),
        case("by expire_before", 100, day, 5, 5),
    ];
    for case in cases {
        let settings = LogSettings {
            max_records: case.max_records,
            max_age: case.max_age,
            ..LogSettings::default()
        };
        let running = Log::new(settings).start().unwrap();
        let log = HttpLog::new(http_client(WAIT_TIMEOUT), running.address);
        let name = stream_name("tables");
        for number in 0..APPENDS {
            log.append(&name, vec![new_record(&format!("a-{number}"))])
                .await
                .unwrap();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        running
            .handle
            .expire_before(&name, Offset(case.expire_before));
        let page = log
            .read(&name, Offset(1), 100, Duration::ZERO)
            .await
            .unwrap();
        assert_eq!(
            (page.first.0, page.end.0),
            (case.first_offset, END_OFFSET),
            "{}",
            case.name
        );
        let first_read = page
            .records
            .first()
            .map_or(END_OFFSET, |record| record.offset.0);
        assert_eq!(first_read, case.first_offset, "{}", case.name);
        let next = log.append(&name, vec![new_record("b")]).await.unwrap();
        assert_eq!(next, [Offset(END_OFFSET)], "{}", case.name);
    }
}

#[actix_web::test]
async fn appends_beyond_the_rate_are_refused_and_take_no_effect() {
    const RATE: u32 = 8;
    const BURST: f64 = 2.0;
    const APPENDS: u32 = 40;
    let settings = LogSettings {
        appends_per_second: RATE,
        ..LogSettings::default()
    };
    let running = Log::new(settings).start().unwrap();
    let log = HttpLog::new(http_client(WAIT_TIMEOUT), running.address);
    let name = stream_name("claims");
    let start = Instant::now();
    let mut taken: u32 = 0;
    let mut refused = 0;
    for number in 0..APPENDS {
        match log
            .append(&name, vec![new_record(&format!("a-{number}"))])
            .await
        {
            Ok(_offsets) => taken += 1,
            Err(AppendError::MaybeWritten(CallError::Status { status: 429, .. })) => refused += 1,
            Err(error) => panic!("append {number}: expected success or status 429, got {error}"),
        }
    }
    assert!(
        refused > 0,
        "all {APPENDS} appends were accepted within {:?}, expected refusals",
        start.elapsed()
    );
    let counts = running.handle.counts();
    assert_eq!((counts.appends, counts.capped), (taken.into(), refused));
    assert_eq!(running.handle.records(&name).len(), taken as usize);
    // The bucket holds the appends of a quarter of a second.
    let allowed = BURST + f64::from(RATE) * start.elapsed().as_secs_f64();
    assert!(
        f64::from(taken) <= allowed + 1.0,
        "{taken} appends were accepted, the rate allows {allowed}"
    );
}

fn host(name: &str, state: HostState) -> ListedHost {
    ListedHost {
        host: HostName::new(name).unwrap(),
        zone: ZoneName::new("duluth-yard").unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        role: HostRole::Entry,
        state,
    }
}

#[actix_web::test]
async fn an_edit_of_the_host_list_is_visible_after_the_lag() {
    let lag = Duration::from_millis(150);
    let settings = HostsSettings {
        lag,
        hosts: vec![host("e-1", HostState::Live)],
        ..HostsSettings::default()
    };
    let running = Hosts::new(settings).spawn_thread().unwrap();
    let list = HttpHostList::new(http_client(WAIT_TIMEOUT), running.address);
    let initial = list.hosts().await.unwrap();
    let edits = [
        vec![
            host("e-1", HostState::Leaving),
            host("e-2", HostState::Live),
        ],
        vec![host("e-2", HostState::Live)],
    ];
    let url = format!("http://{}/admin/hosts", running.address);
    for edit in edits {
        let start = Instant::now();
        let answer = awc::Client::new()
            .post(&url)
            .send_json(&edit)
            .await
            .unwrap();
        assert_eq!(answer.status(), 204);
        let mut shown = list.hosts().await.unwrap();
        while shown != edit {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "edit not visible within {WAIT_TIMEOUT:?}: expected {edit:?}, got {shown:?}"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
            shown = list.hosts().await.unwrap();
        }
        assert!(
            start.elapsed() >= lag,
            "an edit was visible after {:?}, expected at least {lag:?}",
            start.elapsed()
        );
        assert_ne!(shown, initial);
    }
}

/// The body of each plain call.
const BODY: &[u8] = b"{\"pole\":7}";

fn call(id: &str, path: &str, key: Option<&str>) -> PlainCall {
    let headers = key.map(|key| ("idempotency-key".to_owned(), key.to_owned()));
    PlainCall {
        request_id: RequestId::new(id).unwrap(),
        method: Method::POST,
        path_and_query: path.to_owned(),
        headers: headers.into_iter().collect(),
        body: Bytes::from_static(BODY),
        is_repeatable: false,
    }
}

#[actix_web::test]
async fn runs_are_counted_by_path_and_by_key_or_request_id() {
    let running = PlainService::new(PlainSettings::default()).start().unwrap();
    let plain = HttpPlain::new(http_client(WAIT_TIMEOUT).settings());
    let calls = [
        (call("r-1", "/reserve?yard=3", Some("k-1")), 1),
        (call("r-2", "/reserve", Some("k-1")), 2),
        (call("r-2", "/reserve", Some("k-2")), 1),
        (call("r-2", "/reserve", None), 3),
        (call("r-2", "/tags", Some("k-1")), 1),
    ];
    for (call, expected_count) in &calls {
        let reply = plain
            .call(running.address, call, WAIT_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(reply.request_id.as_deref(), Some(call.request_id.as_str()));
        let echo: PlainEcho = serde_json::from_slice(&reply.body).unwrap();
        assert_eq!(
            (echo.count, echo.body_bytes),
            (*expected_count, BODY.len()),
            "{echo:?}"
        );
    }
    let runs = running.handle.runs();
    assert_eq!((runs.total, runs.max_key_runs()), (5, 2));
    assert_eq!(
        (runs.runs_of_key("k-1"), runs.runs_of_request("r-2")),
        (3, 4)
    );
    let recorded_calls = running.handle.recorded_calls();
    for (text, expected) in [
        ("yard=3", true),
        ("pole", true),
        ("k-2", true),
        ("secret", false),
    ] {
        assert_eq!(
            recorded_calls.any_contains(text),
            expected,
            "recorded calls contain {text}"
        );
    }
}

#[actix_web::test]
async fn crossed_answers_are_swapped_between_two_calls() {
    let running = PlainService::new(PlainSettings::default()).start().unwrap();
    let plain = HttpPlain::new(http_client(WAIT_TIMEOUT).settings());
    running.handle.faults().set(FaultSet {
        swapped_answers: 2,
        ..FaultSet::default()
    });
    let calls = [call("r-1", "/x", None), call("r-2", "/x", None)];
    let replies = calls
        .iter()
        .map(|call| plain.call(running.address, call, WAIT_TIMEOUT));
    let replies = futures_util::future::join_all(replies).await;
    let ids: Vec<_> = replies
        .into_iter()
        .map(|reply| reply.unwrap().request_id.unwrap())
        .collect();
    assert_eq!(ids, ["r-2", "r-1"]);
    let reply = plain
        .call(running.address, &calls[0], WAIT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(
        reply.request_id.as_deref(),
        Some("r-1"),
        "only the two crossed answers may be swapped"
    );
}
