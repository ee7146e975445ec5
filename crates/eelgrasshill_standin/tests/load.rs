//! The load tool: its schedule of arrivals, its counts and its checks of answers.

#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::web::{self, Bytes};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer};
use common::{engine_settings, model_copy, start_engine};
use eelgrasshill_domain::Class;
use eelgrasshill_standin::{
    AnswerText, Burst, FaultSet, LatencyObjective, LoadCaller, LoadError, LoadReport, LoadSettings,
    ModelShare, PlainLoad, PlainService, PlainSettings, Standin as _, Subject, prompt_tokens,
    run_load, schedule,
};
use futures_util::stream::{StreamExt, iter};
use serde_json::{Value, json};

/// Pause in a stalled answer; longer than the stall time-out of the test.
const STALL_PAUSE: Duration = Duration::from_millis(700);
/// Pause before each event of a slow answer; longer than the test's bound on the mean.
const SLOW_PAUSE: Duration = Duration::from_millis(260);

/// Imitates an entry host; the caller's key selects how the answer ends.
///
/// The keys are limited, crossed, withdrawn, cut, slow and stalled; others get a good answer.
async fn serve_chat(request: HttpRequest, body: web::Json<Value>) -> HttpResponse {
    let header = request.headers().get("authorization").unwrap();
    let key = header.to_str().unwrap().strip_prefix("Bearer ").unwrap();
    if key == "limited" {
        let error = json!({"error": {"code": "rate-limited", "message": "later"}});
        return HttpResponse::TooManyRequests().json(error);
    }
    let model = body["model"].as_str().unwrap();
    let count = body["max_tokens"].as_u64().unwrap();
    let input = if key == "crossed" {
        json!("other")
    } else {
        body["messages"].clone()
    };
    let text = AnswerText::new(model, None, &input);
    let mut chunks: Vec<Value> = (0..count)
        .map(|index| json!({"choices": [{"index": 0, "delta": {"content": text.token(index)}}]}))
        .collect();
    if key == "withdrawn" {
        chunks.push(json!({"error": {"code": "key-withdrawn", "message": "gone"}}));
    }
    let mut sse_events: Vec<String> = chunks
        .iter()
        .map(|chunk| format!("data: {chunk}\n\n"))
        .collect();
    if key != "cut" {
        sse_events.push("data: [DONE]\n\n".to_owned());
    }
    let slow = key == "slow";
    let stalled = key == "stalled";
    let stream = iter(sse_events.into_iter().enumerate()).then(move |(index, event)| async move {
        let pause = match index {
            1 if stalled => STALL_PAUSE,
            _ if slow => SLOW_PAUSE,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(pause).await;
        Ok::<_, std::io::Error>(Bytes::from(event))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(Box::pin(stream))
}

/// Imitates an entry host for plain calls.
///
/// The path selects how often the service runs the call and what the client is told.
async fn serve_plain(service: web::Data<SocketAddr>, request: HttpRequest) -> HttpResponse {
    let path = request.path();
    let runs = match path {
        "/lost" | "/refused" => 0,
        "/twice" => 2,
        _ => 1,
    };
    let key = request.headers().get("idempotency-key").unwrap();
    for _ in 0..runs {
        let call = awc::Client::default()
            .post(format!("http://{}{path}", service.get_ref()))
            .insert_header(("idempotency-key", key.to_str().unwrap()));
        call.send().await.unwrap();
    }
    match path {
        "/refused" | "/untrue" => HttpResponse::ServiceUnavailable()
            .insert_header(("eelgrasshill-run", "not-run"))
            .finish(),
        "/unknown" => HttpResponse::Conflict()
            .insert_header(("eelgrasshill-run", "unknown"))
            .finish(),
        _ => HttpResponse::Ok().finish(),
    }
}

fn start_entry(service: SocketAddr) -> SocketAddr {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(service))
            .route("/v1/chat/completions", web::post().to(serve_chat))
            .default_service(web::to(serve_plain))
    })
    .workers(1)
    .disable_signals()
    .bind("127.0.0.1:0")
    .unwrap();
    let address = server.addrs()[0];
    actix_web::rt::spawn(server.run());
    address
}

/// Runs a load on a blocking thread, outside the actix system of the test.
async fn run_on_blocking_thread(settings: LoadSettings) -> LoadReport {
    web::block(move || run_load(&settings))
        .await
        .unwrap()
        .unwrap()
}

/// Requests of a small load.
const REQUESTS: usize = 60;

fn small_load(targets: Vec<SocketAddr>, callers: Vec<LoadCaller>) -> LoadSettings {
    LoadSettings {
        requests_per_second: 400.0,
        max_requests: REQUESTS,
        answer_tokens: (3, 5),
        callers,
        threads: 2,
        objective: LatencyObjective {
            first_token: Duration::from_secs(20),
            mean_gap: Duration::from_secs(20),
            p95_gap: Duration::from_secs(20),
        },
        stall_timeout: Duration::from_secs(20),
        ..LoadSettings::new(
            targets,
            LoadCaller::new("x", "x"),
            ModelShare::new("assist"),
        )
    }
}

#[actix_web::test]
async fn each_kind_of_answer_is_counted_in_its_own_column() {
    struct Case {
        key: &'static str,
        /// Whether all or no answers count as completed, attained, refused, broken, wrong, stalled.
        all: [bool; 6],
    }
    let case = |key, all| Case { key, all };
    let cases = [
        case("good", [true, true, false, false, false, false]),
        case("limited", [false, false, true, false, false, false]),
        case("cut", [false, false, false, true, false, false]),
        case("withdrawn", [false, false, false, true, false, false]),
        case("crossed", [true, false, false, false, true, false]),
        case("stalled", [true, false, false, false, false, true]),
        case("slow", [true, false, false, false, false, false]),
    ];
    let target = start_entry(SocketAddr::from(([127, 0, 0, 1], 9)));
    let callers = cases
        .iter()
        .map(|case| LoadCaller::new(case.key, case.key))
        .collect();
    let mut load = small_load(vec![target], callers);
    load.objective.mean_gap = Duration::from_millis(200);
    load.stall_timeout = Duration::from_millis(600);
    load.accelerators = Some(2);
    let report = run_on_blocking_thread(load).await;
    assert_eq!(report.total.requests, 60);
    for case in &cases {
        let row = report
            .rows
            .iter()
            .find(|row| row.organisation == case.key)
            .unwrap();
        let [completed, attained, refused, broken, wrong, stalled] =
            case.all.map(|all| if all { row.requests } else { 0 });
        let exact = [
            row.completed,
            row.refused,
            row.wrongful,
            row.broken,
            row.wrong,
        ];
        assert_eq!(
            exact,
            [completed, refused, refused, broken, wrong],
            "{row:?}"
        );
        // A busy machine may let other answers stall and miss the objective too.
        assert!(
            row.stalled >= stalled,
            "expected at least {stalled} stalled: {row:?}"
        );
        assert!(
            row.attained <= attained,
            "expected at most {attained} attained: {row:?}"
        );
        assert_eq!(row.served, row.attained, "{row:?}");
    }
    let row = |name: &str| {
        report
            .rows
            .iter()
            .find(|row| row.organisation == name)
            .unwrap()
    };
    assert_eq!(report.refusals["429 rate-limited"], row("limited").requests);
    assert_eq!(report.breaks["cut"], row("cut").requests);
    assert_eq!(report.breaks["key-withdrawn"], row("withdrawn").requests);
    let slow_median_ms = row("slow").gap.median;
    assert!(
        slow_median_ms >= 259.0,
        "the median gap of slow answers is {slow_median_ms} ms, expected at least 259"
    );
    assert!(row("good").attained > 0, "{:?}", row("good"));
    let worst = report.worst.as_ref().unwrap();
    assert!(
        worst.attainment <= 0.0 && worst.organisation != "good",
        "expected an organisation without attained answers, got {worst:?}"
    );
    assert!(
        report.attained_per_second_and_accelerator.is_some(),
        "{report}"
    );
    assert!(
        report.to_string().contains("refused 429 rate-limited"),
        "the report lacks the refusals: {report}"
    );
    let written = serde_json::to_string(&report).unwrap();
    let read: LoadReport = serde_json::from_str(&written).unwrap();
    assert_eq!(read.total.requests, 60);
}

#[actix_web::test]
async fn a_direct_load_agrees_with_the_counts_of_the_engines() {
    let engines: Vec<_> = (0..2)
        .map(|_| start_engine(engine_settings().with_model(model_copy("tags", 20, &[]))))
        .collect();
    let targets = engines.iter().map(|engine| engine.address).collect();
    let models = ["assist", "assist:field", "tags"]
        .map(ModelShare::new)
        .to_vec();
    let classes = [Class::Urgent, Class::Interactive, Class::Batch];
    let callers = classes
        .map(|class| LoadCaller::new("lakeshore", "k").with_class(class))
        .to_vec();
    let mut load = small_load(targets, callers);
    load.direct = true;
    load.models = models;
    let report = run_on_blocking_thread(load.clone()).await;
    assert_eq!(report.rows.len(), 3);
    assert_eq!(
        (report.total.completed, report.total.wrong),
        (60, 0),
        "{report}"
    );
    assert_eq!(report.total.attained, 60);
    let finished: u64 = engines
        .iter()
        .map(|engine| engine.handle.counts().finished)
        .sum();
    assert_eq!(finished, 60);
    for engine in &engines {
        engine.handle.faults().set(FaultSet {
            swapped_answers: 1,
            ..FaultSet::default()
        });
    }
    let report = run_on_blocking_thread(load.clone()).await;
    assert_eq!(report.breaks.get("crossed"), Some(&2), "{report}");
    load.models = vec![ModelShare::new("absent")];
    let report = run_on_blocking_thread(load).await;
    assert_eq!(report.refusals["404 model-not-resident"], 60, "{report}");
}

#[actix_web::test]
async fn plain_calls_are_compared_with_the_services_counts() {
    const CALLS: u64 = 8;
    struct Case {
        path: &'static str,
        /// Whether all or no calls count as acknowledged, refused, unknown, twice, lost, untrue.
        all: [bool; 6],
    }
    let case = |path, all| Case { path, all };
    let cases = [
        case(
            "/no-deduplication",
            [true, false, false, true, false, false],
        ),
        case("/twice", [true, false, false, true, false, false]),
        case("/lost", [true, false, false, false, true, false]),
        case("/refused", [false, true, false, false, false, false]),
        case("/untrue", [false, true, false, true, false, true]),
        case("/unknown", [false, false, true, true, false, false]),
    ];
    for case in cases {
        let service = PlainService::new(PlainSettings::default())
            .spawn_thread()
            .unwrap();
        let target = start_entry(service.address);
        let mut load = small_load(vec![target], vec![LoadCaller::new("kjallaravakt", "k")]);
        load.max_requests = usize::try_from(CALLS).unwrap();
        load.plain = Some(PlainLoad {
            path: case.path.to_owned(),
            share: 1.0,
            max_attempts: 2,
            checked_services: vec![service.address],
        });
        let report = run_on_blocking_thread(load).await;
        let plain = report.plain.unwrap();
        let counts = [
            plain.acknowledged,
            plain.refused,
            plain.unknown,
            plain.twice,
            plain.lost,
            plain.untrue,
        ];
        assert!(
            plain.checked && plain.calls == CALLS,
            "{}: {plain:?}",
            case.path
        );
        let expected_counts = case.all.map(|all| if all { CALLS } else { 0 });
        if case.path == "/no-deduplication" {
            // One call in four is sent again, and this entry host runs repeats too.
            assert_eq!(counts, [CALLS, 0, 0, 2, 0, 0], "{}", case.path);
            assert_eq!(plain.sent, 10);
        } else {
            assert_eq!(counts, expected_counts, "{}", case.path);
        }
    }
}

#[actix_web::test]
async fn a_plain_call_whose_answer_is_lost_has_an_unknown_outcome() {
    for (max_attempts, expected_twice) in [(1, 0), (2, 6)] {
        let service = PlainService::new(PlainSettings::default())
            .spawn_thread()
            .unwrap();
        service.handle.faults().set(FaultSet {
            lost_answers_permille: 1000,
            ..FaultSet::default()
        });
        let callers = vec![LoadCaller::new("kjallaravakt", "k")];
        let mut load = small_load(vec![service.address], callers);
        load.max_requests = 6;
        load.plain = Some(PlainLoad {
            path: "/callout".to_owned(),
            share: 1.0,
            max_attempts,
            checked_services: vec![service.address],
        });
        let plain = run_on_blocking_thread(load).await.plain.unwrap();
        assert_eq!((plain.unknown, plain.refused, plain.untrue), (6, 0, 0));
        assert_eq!(
            plain.twice, expected_twice,
            "a service that does not deduplicate must run each try"
        );
    }
}

#[test]
fn arrivals_follow_the_seed_the_rate_and_the_bursts() {
    /// Allowed deviation of a count, in standard deviations of a Poisson distribution.
    const MAX_DEVIATIONS: f64 = 5.0;
    let seconds = Duration::from_secs;
    let target = SocketAddr::from(([127, 0, 0, 1], 9));
    for seed in 0..8 {
        let load = LoadSettings {
            seed,
            requests_per_second: 100.0,
            max_requests: 100_000,
            arrival_period: seconds(40),
            callers: vec![
                LoadCaller::new("a", "k").with_share(3.0),
                LoadCaller::new("b", "k").with_limit(200, 2000),
            ],
            models: vec![ModelShare::new("m").with_share(9.0), ModelShare::new("n")],
            bursts: vec![
                Burst {
                    subject: Subject::Organisation("b".to_owned()),
                    factor: 5.0,
                    from: seconds(10),
                    until: seconds(20),
                },
                Burst {
                    subject: Subject::Model("n".to_owned()),
                    factor: 10.0,
                    from: seconds(20),
                    until: seconds(30),
                },
            ],
            ..LoadSettings::new(
                vec![target],
                LoadCaller::new("a", "k"),
                ModelShare::new("m"),
            )
        };
        let arrivals = schedule(&load);
        assert_eq!(
            arrivals,
            schedule(&load),
            "the same seed must give the same arrivals"
        );
        assert!(arrivals.is_sorted_by_key(|arrival| arrival.due));
        let count_arrivals =
            |from_s, until_s, caller_index: Option<usize>, model_index: Option<usize>| {
                let during = arrivals.iter().filter(|arrival| {
                    arrival.due >= seconds(from_s)
                        && arrival.due < seconds(until_s)
                        && caller_index.is_none_or(|index| arrival.caller_index == index)
                        && model_index.is_none_or(|index| arrival.model_index == index)
                });
                u32::try_from(during.count()).map(f64::from).unwrap()
            };
        // Caller 1 has a quarter of the shares, and five times its rate from 10 to 20 s. Model 1
        // has a tenth of the requests, and 10 of 19 from 20 to 30 s.
        let expected = [
            (count_arrivals(0, 10, None, None), 1000.0),
            (count_arrivals(0, 10, Some(1), None), 250.0),
            (count_arrivals(10, 20, Some(0), None), 750.0),
            (count_arrivals(10, 20, Some(1), None), 1250.0),
            (count_arrivals(0, 20, None, Some(1)), 300.0),
            (count_arrivals(20, 30, None, Some(1)), 1000.0 * 10.0 / 19.0),
            (count_arrivals(20, 40, None, None), 2000.0),
        ];
        for (count, mean) in expected {
            let spread = MAX_DEVIATIONS * f64::sqrt(mean);
            assert!(
                (count - mean).abs() < spread,
                "seed {seed}: {count} arrivals, expected {mean} within {spread}"
            );
        }
        assert_within_limit(&load);
    }
}

/// The index of the caller with a token limit.
const LIMITED_CALLER: usize = 1;

/// Checks every window between two requests within the limit against the rate and burst.
fn assert_within_limit(load: &LoadSettings) {
    let limit = load.callers[LIMITED_CALLER].limit.unwrap();
    let within: Vec<_> = schedule(load)
        .into_iter()
        .filter(|arrival| arrival.caller_index == LIMITED_CALLER && arrival.within_limit)
        .map(|arrival| {
            (
                arrival.due,
                prompt_tokens(&arrival.messages) + arrival.max_answer_tokens,
            )
        })
        .collect();
    assert!(!within.is_empty());
    for (from, (start, _cost)) in within.iter().enumerate() {
        let mut used_tokens = 0;
        for (at, cost) in &within[from..] {
            used_tokens += cost;
            let millis = u64::try_from(at.saturating_sub(*start).as_millis()).unwrap();
            // Rounded up to whole milliseconds and tokens.
            let allowed = limit.burst_tokens + limit.tokens_per_second * (millis + 1) / 1000 + 1;
            assert!(
                used_tokens <= allowed,
                "{used_tokens} tokens used, {allowed} allowed"
            );
        }
    }
}

#[test]
fn an_invalid_load_is_refused_with_its_reason() {
    let target = SocketAddr::from(([127, 0, 0, 1], 9));
    let valid = || {
        LoadSettings::new(
            vec![target],
            LoadCaller::new("a", "k"),
            ModelShare::new("m"),
        )
    };
    let mut inverted_range = valid();
    inverted_range.answer_tokens = (5, 4);
    let mut no_models = valid();
    no_models.models.clear();
    let result = run_load(&inverted_range);
    assert!(
        matches!(result, Err(LoadError::InvertedRange)),
        "{result:?}"
    );
    let result = run_load(&no_models);
    assert!(
        matches!(result, Err(LoadError::NothingToSend)),
        "{result:?}"
    );
}
