//! Tests callers' requests and error responses against entry hosts with stand-ins.

#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

mod support;

use eelgrasshill_domain::KeyText;
use eelgrasshill_standin::{AnswerText, FaultSet, Mode, Standin};
use serde_json::{Value, json};
use support::{Fleet, wait_for};

/// Sends a request and returns its status, `Eelgrasshill-Run` header and body.
///
/// A call to `/bookings/N` gets the idempotency key N.
async fn post_json(url: &str, key: Option<&str>, body: &Value) -> (u16, String, String) {
    let client = awc::Client::builder().disable_timeout().finish();
    let mut request = client.post(url);
    if let Some(key) = key {
        request = request.insert_header(("authorization", format!("Bearer {key}")));
    }
    if let Some((_host, booking)) = url.split_once("/bookings/") {
        request = request.insert_header(("idempotency-key", booking));
    }
    let mut response = request.send_json(body).await.unwrap();
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .map(|v| v.to_str().unwrap().to_owned())
            .unwrap_or_default()
    };
    let run = header("eelgrasshill-run");
    let status = response.status().as_u16();
    let body = response.body().await.unwrap();
    (status, run, String::from_utf8(body.to_vec()).unwrap())
}

/// Returns the joined text of a stream's events and the data of the last event.
fn stream_text(body: &str) -> (String, String) {
    let mut text = String::new();
    let mut last = String::new();
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        line.clone_into(&mut last);
        if let Ok(event) = serde_json::from_str::<Value>(line) {
            text += event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default();
        }
    }
    (text, last)
}

/// A request that is refused, with the expected status and code.
struct Case {
    name: &'static str,
    key: Option<String>,
    body: Value,
    status: u16,
    code: &'static str,
}

/// Every host must stream and return whole answers; a refused request gets a stable code
/// and is marked as not run.
#[actix_web::test]
async fn answers_are_complete_and_errors_have_codes() {
    let mut fleet = Fleet::start(3);
    let key = fleet.issue_key("crew-1", "crew");
    let key = Some(key.reveal());
    let messages = json!([{ "role": "user", "content": "Which pump failed last night?" }]);
    let expected = AnswerText::new("notes", None, &messages).prefix(20);

    for host in 0..3 {
        let url = fleet.url(host, "/v1/chat/completions");
        let body =
            json!({ "model": "notes", "messages": messages, "max_tokens": 20, "stream": true });
        let (status, _run, events) = post_json(&url, key, &body).await;
        assert_eq!(status, 200, "{events}");
        assert_eq!(
            stream_text(&events),
            (expected.clone(), "[DONE]".to_owned())
        );
        let body = json!({ "model": "notes", "messages": messages, "max_tokens": 20 });
        let (status, _run, completion) = post_json(&url, key, &body).await;
        assert_eq!(status, 200, "{completion}");
        let completion: Value = serde_json::from_str(&completion).unwrap();
        assert_eq!(completion["choices"][0]["message"]["content"], expected);
    }

    let valid_body = json!({ "model": "notes", "messages": messages, "max_tokens": 5 });
    let valid_key = key.map(str::to_owned);
    let cases = [
        Case {
            name: "no key",
            key: None,
            body: valid_body.clone(),
            status: 401,
            code: "unauthorized",
        },
        Case {
            name: "unknown key",
            key: Some("egh_crew-1_00".to_owned()),
            body: valid_body.clone(),
            status: 401,
            code: "unauthorized",
        },
        Case {
            name: "unknown model",
            key: valid_key.clone(),
            body: json!({ "model": "none", "messages": messages }),
            status: 404,
            code: "unknown-model",
        },
        Case {
            name: "no messages",
            key: valid_key.clone(),
            body: json!({ "model": "notes" }),
            status: 400,
            code: "bad-request",
        },
        Case {
            name: "max_tokens is zero",
            key: valid_key.clone(),
            body: json!({ "model": "notes", "messages": messages, "max_tokens": 0 }),
            status: 400,
            code: "bad-request",
        },
        Case {
            name: "key in the prompt",
            key: valid_key.clone(),
            body: json!({ "model": "notes", "messages": valid_key }),
            status: 400,
            code: "bad-request",
        },
        Case {
            name: "large body",
            key: valid_key.clone(),
            body: json!({ "model": "notes", "messages": "x".repeat(TOO_LARGE_BODY_BYTES) }),
            status: 413,
            code: "body-too-large",
        },
    ];
    let url = fleet.url(0, "/v1/chat/completions");
    for case in cases {
        let (status, run, body) = post_json(&url, case.key.as_deref(), &case.body).await;
        let body: Value = serde_json::from_str(&body).unwrap();
        let code = body["error"]["code"].as_str().unwrap();
        assert_eq!(
            (status, code, run.as_str()),
            (case.status, case.code, "not-run"),
            "{}",
            case.name
        );
    }
    fleet.stop();
}

/// Length of a request body above the default limit.
const TOO_LARGE_BODY_BYTES: usize = 2 << 20;

/// Maximum length of a request body that the snapshot shows in full.
const MAX_SNAPSHOT_BODY_BYTES: usize = 1000;

/// Replaces request IDs, which differ between runs.
fn without_ids(body: &str) -> String {
    let mut text = String::new();
    for (number, part) in body.split("entry-0-").enumerate() {
        let after_id = if number == 0 {
            part
        } else {
            part.trim_start_matches(|c: char| c.is_ascii_hexdigit() || c == '-')
        };
        if number > 0 {
            text += "REQUEST";
        }
        text += after_id;
    }
    text
}

struct SessionStep {
    name: &'static str,
    key: Option<&'static str>,
    path: &'static str,
    body: Value,
}

impl SessionStep {
    /// Sends the request and returns it with its response in the snapshot's format.
    async fn run(&self, url: &str, crew: &KeyText, home: &KeyText) -> String {
        let key = self
            .key
            .map(|name| if name == "crew" { crew } else { home });
        let key = key.map(KeyText::reveal);
        let (status, run, body) = post_json(&format!("{url}{}", self.path), key, &self.body).await;
        let key_owner = self
            .key
            .map_or(String::new(), |name| format!(" (key of {name})"));
        let mut sent = self.body.to_string();
        if sent.len() > MAX_SNAPSHOT_BODY_BYTES {
            sent = format!("({} bytes)", sent.len());
        }
        let mut text = format!(
            "# {}\nPOST {}{key_owner}\n{sent}\n-> {status}",
            self.name, self.path
        );
        if !run.is_empty() {
            text += &format!(", Eelgrasshill-Run: {run}");
        }
        text + &format!("\n{}\n\n", without_ids(body.trim_end()))
    }
}

/// Guards the texts and codes that callers get: a changed response changes the snapshot.
#[actix_web::test]
async fn session_matches_snapshot() {
    let mut fleet = Fleet::start(1);
    let crew = fleet.issue_key("crew-1", "crew");
    let home = fleet.issue_key("home-1", "home");
    let url = fleet.url(0, "");
    let completion_body = |model: &str, stream: bool| json!({ "model": model, "messages": "Is the north pump dry?", "max_tokens": 4, "stream": stream });
    let steps = [
        SessionStep {
            name: "a streamed answer",
            key: Some("crew"),
            path: "/v1/chat/completions",
            body: completion_body("notes", true),
        },
        SessionStep {
            name: "a whole answer",
            key: Some("crew"),
            path: "/v1/chat/completions",
            body: completion_body("notes", false),
        },
        SessionStep {
            name: "a completion",
            key: Some("crew"),
            path: "/v1/completions",
            body: json!({ "model": "notes", "prompt": "Dry?", "max_tokens": 2 }),
        },
        SessionStep {
            name: "an open route",
            key: None,
            path: "/v1/chat/completions",
            body: completion_body("tags", false),
        },
        SessionStep {
            name: "no key",
            key: None,
            path: "/v1/chat/completions",
            body: completion_body("notes", false),
        },
        SessionStep {
            name: "a forbidden model",
            key: Some("home"),
            path: "/v1/chat/completions",
            body: completion_body("urgent", false),
        },
        SessionStep {
            name: "an unknown model",
            key: Some("crew"),
            path: "/v1/chat/completions",
            body: completion_body("none", false),
        },
        SessionStep {
            name: "an unknown path",
            key: Some("crew"),
            path: "/none",
            body: Value::Null,
        },
        SessionStep {
            name: "a path that could mean another",
            key: Some("crew"),
            path: "/yard/../bookings",
            body: Value::Null,
        },
        SessionStep {
            name: "a request above the burst",
            key: Some("home"),
            path: "/v1/chat/completions",
            body: json!({ "model": "notes", "messages": "x", "max_tokens": 300 }),
        },
        SessionStep {
            name: "a plain call",
            key: Some("crew"),
            path: "/yard/pole-7",
            body: json!("where?"),
        },
        SessionStep {
            name: "a body that is too large",
            key: Some("crew"),
            path: "/v1/chat/completions",
            body: json!("x".repeat(TOO_LARGE_BODY_BYTES)),
        },
        SessionStep {
            name: "a booking, with its number as idempotency key",
            key: Some("crew"),
            path: "/bookings/7",
            body: json!("pole 7"),
        },
        SessionStep {
            name: "the booking again",
            key: Some("crew"),
            path: "/bookings/7",
            body: json!("pole 7"),
        },
        SessionStep {
            name: "another booking under the same key",
            key: Some("crew"),
            path: "/bookings/7",
            body: json!("pole 9"),
        },
    ];
    let mut session = String::new();
    for step in steps {
        session += &step.run(&url, &crew, &home).await;
    }
    // During a log outage a call that must not be repeated is refused and does not run.
    fleet
        .log
        .handle
        .faults()
        .set(FaultSet::new(Mode::Unavailable));
    let outage = SessionStep {
        name: "a booking while the log is out",
        key: Some("crew"),
        path: "/bookings/8",
        body: json!("pole 8"),
    };
    session += &outage.run(&url, &crew, &home).await;
    fleet.log.handle.faults().clear();
    assert_eq!(fleet.plain.handle.runs().runs_of_key("7"), 1);
    assert_eq!(fleet.plain.handle.runs().runs_of_key("8"), 0);
    insta::assert_snapshot!("session", session);
    fleet.stop();
}

/// A key is withdrawn while one of its answers is being streamed.
#[actix_web::test]
async fn withdrawing_a_key_ends_its_streams() {
    let mut fleet = Fleet::start(1);
    let key = fleet.issue_key("crew-1", "crew");
    let url = fleet.url(0, "/v1/chat/completions");
    let body =
        json!({ "model": "notes", "messages": "a long story", "max_tokens": 4000, "stream": true });
    let key_text = key.reveal().to_owned();
    let open = actix_web::rt::spawn(async move { post_json(&url, Some(&key_text), &body).await });
    let running = || fleet.hosts[0].shared().dispatcher.running() == 1;
    for _attempt in 0..500 {
        if running() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    assert!(
        running(),
        "expected one running request on the host within 5 s"
    );
    fleet.withdraw_key("crew-1");
    let (_status, _run, events) = open.await.unwrap();
    let (_text, last) = stream_text(&events);
    assert!(last.contains("key-withdrawn"), "{last}");
    let url = fleet.url(0, "/v1/chat/completions");
    let body = json!({ "model": "notes", "messages": "again", "max_tokens": 4 });
    let (status, _run, body) = post_json(&url, Some(key.reveal()), &body).await;
    assert_eq!(status, 401, "{body}");
    assert!(body.contains("key-withdrawn"), "{body}");
    wait_for("the upstream slot is free", || {
        fleet.hosts[0].shared().dispatcher.running() == 0
    });
    fleet.stop();
}
