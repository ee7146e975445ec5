//! Tests that plain calls hide the API key and that claimed calls run at most once.

#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

mod support;

use std::time::Duration;

use eelgrasshill_standin::{FaultSet, Mode, Standin};
use support::{Fleet, wait_for};

/// The share of answers that a fault affects, in thousandths: all of them.
const ALL_ANSWERS: u32 = 1000;

#[derive(Debug, PartialEq, Eq)]
struct Reply {
    status: u16,
    run: String,
    body: String,
}

/// Sends a call with the API key also in a cookie, which must not be forwarded.
async fn post(url: &str, key: &str, idempotency: Option<&str>, body: &str) -> Reply {
    let client = awc::Client::builder()
        .timeout(Duration::from_mins(1))
        .finish();
    let mut request = client
        .post(url)
        .insert_header(("authorization", format!("Bearer {key}")))
        .insert_header(("cookie", key));
    if let Some(idempotency) = idempotency {
        request = request.insert_header(("idempotency-key", idempotency));
    }
    let mut response = request.send_body(body.to_owned()).await.unwrap();
    let run = response.headers().get("eelgrasshill-run");
    let run = run
        .map(|value| value.to_str().unwrap().to_owned())
        .unwrap_or_default();
    let status = response.status().as_u16();
    let body = response.body().await.unwrap();
    Reply {
        status,
        run,
        body: String::from_utf8(body.to_vec()).unwrap(),
    }
}

/// Several hosts receive a call with the same idempotency key at the same time.
#[actix_web::test]
async fn calls_with_one_idempotency_key_run_once() {
    let mut fleet = Fleet::start(3);
    let key = fleet.issue_key("crew-1", "crew");
    let key = key.reveal();
    let urls: Vec<_> = (0..3).map(|host| fleet.url(host, "/bookings/7")).collect();
    let calls = urls
        .iter()
        .map(|url| post(url, key, Some("booking-7"), "pole 7"));
    let replies = futures_util::future::join_all(calls).await;
    for reply in &replies {
        assert_eq!(reply.status, 200, "{replies:?}");
        assert_eq!(
            reply.body, replies[0].body,
            "all callers should get the answer of the one run: {replies:?}"
        );
    }
    let again = post(&urls[2], key, Some("booking-7"), "pole 7").await;
    assert_eq!((again.status, &again.body), (200, &replies[0].body));
    let other = post(&urls[1], key, Some("booking-7"), "pole 8").await;
    assert_eq!(
        (other.status, other.run.as_str()),
        (409, "not-run"),
        "{other:?}"
    );
    assert_eq!(fleet.plain.handle.runs().runs_of_key("booking-7"), 1);

    let received_text = fleet.plain.handle.recorded_calls();
    assert!(
        received_text.any_contains("pole 7"),
        "the stand-in should have recorded the forwarded body"
    );
    assert!(
        !received_text.any_contains(key),
        "the API key was forwarded to the upstream"
    );
    fleet.stop();
}

/// The upstream runs the call but its answer is lost, and the caller retries.
#[actix_web::test]
async fn call_with_lost_answer_is_not_run_again() {
    let mut fleet = Fleet::start(2);
    let key = fleet.issue_key("crew-1", "crew");
    let key = key.reveal();
    let lose = FaultSet {
        lost_answers_permille: ALL_ANSWERS,
        ..FaultSet::default()
    };
    fleet.plain.handle.faults().set(lose);
    let url = fleet.url(0, "/bookings/1");
    let lost = post(&url, key, Some("lost-answer"), "x").await;
    assert_eq!(
        (lost.status, lost.run.as_str()),
        (502, "unknown"),
        "{lost:?}"
    );
    fleet.plain.handle.faults().clear();
    for host in 0..2 {
        let url = fleet.url(host, "/bookings/1");
        let again = post(&url, key, Some("lost-answer"), "x").await;
        assert_eq!(
            (again.status, again.run.as_str()),
            (409, "unknown"),
            "{again:?}"
        );
    }
    assert_eq!(fleet.plain.handle.runs().runs_of_key("lost-answer"), 1);
    fleet.stop();
}

/// Without the log no claim can be acquired, so the call must not reach the upstream.
#[actix_web::test]
async fn log_outage_refuses_claimed_calls_as_not_run() {
    let mut fleet = Fleet::start(2);
    let key = fleet.issue_key("crew-1", "crew");
    let key = key.reveal();
    let url = fleet.url(0, "/yard/pole-2");
    let before_outage = post(&url, key, None, "").await;
    assert_eq!(
        before_outage.status, 200,
        "a call before the outage should get the host tokens: {before_outage:?}"
    );
    let unavailable = FaultSet::new(Mode::Unavailable);
    fleet.log.handle.faults().set(unavailable);
    let url = fleet.url(0, "/bookings/2");
    let refused = post(&url, key, Some("log-outage"), "x").await;
    assert_eq!(
        (refused.status, refused.run.as_str()),
        (503, "not-run"),
        "{refused:?}"
    );
    fleet.log.handle.faults().clear();
    wait_for("all claims are settled in the log", || {
        fleet.hosts[0].shared().are_claims_idle()
    });
    assert_eq!(fleet.plain.handle.runs().runs_of_key("log-outage"), 0);
    // The refused call did not run, so its key can still be used.
    let url = fleet.url(1, "/bookings/2");
    let booked = post(&url, key, Some("log-outage"), "x").await;
    assert_eq!(booked.status, 200, "{booked:?}");
    assert_eq!(fleet.plain.handle.runs().runs_of_key("log-outage"), 1);
    fleet.stop();
}

/// The log appends the claims but its replies are lost, so that writers must find
/// out what was recorded.
#[actix_web::test]
async fn lost_log_replies_do_not_run_a_call_twice() {
    let mut fleet = Fleet::start(3);
    let key = fleet.issue_key("crew-1", "crew");
    let key = key.reveal();
    let lose = FaultSet {
        lost_answers_permille: ALL_ANSWERS,
        ..FaultSet::default()
    };
    fleet
        .log
        .handle
        .faults()
        .set(lose.with_call_prefix("POST /streams/claims"));
    let urls: Vec<_> = (0..3).map(|host| fleet.url(host, "/bookings/3")).collect();
    let calls = urls
        .iter()
        .map(|url| post(url, key, Some("lost-log-reply"), "x"));
    let replies = futures_util::future::join_all(calls).await;
    fleet.log.handle.faults().clear();
    let runs = fleet.plain.handle.runs().runs_of_key("lost-log-reply");
    assert!(runs <= 1, "expected at most 1 run, got {runs}: {replies:?}");
    if replies.iter().all(|reply| reply.run == "not-run") {
        assert_eq!(runs, 0, "{replies:?}");
    }
    fleet.stop();
}

/// Guards against telling a caller that its call did not run, when its first attempt ran and no
/// upstream was left for the second.
#[actix_web::test]
async fn call_without_an_upstream_for_its_retry_is_not_reported_as_not_run() {
    let mut fleet = Fleet::start(1);
    let key = fleet.issue_key("crew-1", "crew");
    let lose = FaultSet {
        lost_answers_permille: ALL_ANSWERS,
        ..FaultSet::default()
    };
    fleet.plain.handle.faults().set(lose);
    let reply = post(&fleet.url(0, "/yard/pole-3"), key.reveal(), None, "").await;
    let runs = fleet.plain.handle.runs().total;
    assert!(runs > 0, "the call should have run: {reply:?}");
    assert_eq!(
        (reply.status, reply.run.as_str()),
        (502, "unknown"),
        "{reply:?}"
    );
    fleet.stop();
}

/// Guards against a failure of an upstream that callers take for the statement that nothing ran.
#[actix_web::test]
async fn failure_status_of_an_upstream_is_passed_on_as_unknown() {
    let mut fleet = Fleet::start(1);
    let key = fleet.issue_key("crew-1", "crew");
    let unavailable = FaultSet::new(Mode::Unavailable);
    fleet.plain.handle.faults().set(unavailable);
    for (path, idempotency) in [
        ("/yard/pole-4", None),
        ("/bookings/4", None),
        ("/bookings/4", Some("failed")),
        // The recorded answer of the claimed call.
        ("/bookings/4", Some("failed")),
    ] {
        let reply = post(&fleet.url(0, path), key.reveal(), idempotency, "").await;
        assert_eq!(
            (reply.status, reply.run.as_str()),
            (503, "unknown"),
            "{path} {idempotency:?}: {reply:?}"
        );
    }
    fleet.stop();
}
