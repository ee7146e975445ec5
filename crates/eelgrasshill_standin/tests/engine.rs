//! The stand-in engine's protocol, used through the platform's adapter.
#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::time::Duration;

use common::{
    WAIT_TIMEOUT, collect_answer, engine_client, expected_text, load, model_copy, order, request,
    resume, send_order, start,
};
use eelgrasshill_domain::{AdapterName, Class, Fencing};
use eelgrasshill_ports::{CallError, Engine as _, Order, OrderAction, OrderAnswer};
use eelgrasshill_standin::Standin as _;

#[actix_web::test]
async fn an_answer_is_complete_and_matches_its_request() {
    struct Case {
        name: &'static str,
        adapter: Option<&'static str>,
        max: u64,
        from: u64,
        natural_length: Option<u64>,
        finish: &'static str,
    }
    let case = |name, adapter, max, from, natural_length, finish| Case {
        name,
        adapter,
        max,
        from,
        natural_length,
        finish,
    };
    let cases = [
        case("plain", None, 7, 0, None, "length"),
        case("adapter", Some("field"), 5, 0, None, "length"),
        case("resumed", None, 9, 4, None, "length"),
        case("resumed at its end", None, 3, 3, None, "length"),
        case("ends by itself", None, 1000, 0, Some(1), "stop"),
    ];
    for case in cases {
        let mut settings = common::settings();
        settings.natural_length = case.natural_length;
        let engine = start(settings);
        let mut call = request("r-1", "how high is the water?", case.max);
        call.adapter = case.adapter.map(|name| AdapterName::new(name).unwrap());
        let expected = expected_text(&call);
        if case.from > 0 {
            call = resume(call, case.from, &expected.prefix(case.from));
        }
        let answer = collect_answer(engine.address, &call, WAIT_TIMEOUT)
            .await
            .unwrap();
        let length = case
            .natural_length
            .map_or(case.max, |max_length| expected.length(max_length));
        let whole = expected.prefix(case.from) + &answer.text();
        assert_eq!(whole, expected.prefix(length), "{}", case.name);
        assert_eq!(answer.finish.as_deref(), Some(case.finish), "{}", case.name);
        assert_eq!(
            answer.usage.unwrap().completion_tokens,
            length,
            "{}",
            case.name
        );
        let indices: Vec<u64> = answer.chunks.iter().map(|c| c.index).collect();
        assert_eq!(indices, (case.from..length).collect::<Vec<_>>());
        assert!(answer.chunks.iter().all(|c| c.id == call.id));
    }
    let other = expected_text(&request("r-1", "another question", 0));
    let own = expected_text(&request("r-1", "how high is the water?", 0));
    assert_ne!(
        other.prefix(8),
        own.prefix(8),
        "two inputs must have different texts"
    );
}

#[actix_web::test]
async fn requests_are_refused_with_an_error_code() {
    struct Case {
        model: &'static str,
        version: &'static str,
        adapter: Option<&'static str>,
        draining: bool,
        status: u16,
        code: &'static str,
    }
    let case = |model, version, adapter, draining, status, code| Case {
        model,
        version,
        adapter,
        draining,
        status,
        code,
    };
    let cases = [
        case("other", "1", None, false, 404, "model-not-resident"),
        case("assist", "2", None, false, 404, "model-not-resident"),
        case("assist", "1", Some("x"), false, 404, "adapter-not-resident"),
        case("assist", "1", None, true, 503, "draining"),
    ];
    let engine = start(common::settings());
    for case in cases {
        let mut set = engine.handle.faults().get();
        set.draining = case.draining;
        engine.handle.faults().set(set);
        let mut call = request("r-1", "q", 3);
        call.model = common::model(case.model);
        call.version = case.version.to_owned();
        call.adapter = case.adapter.map(|name| AdapterName::new(name).unwrap());
        let error = engine_client()
            .generate(engine.address, &call)
            .await
            .unwrap_err();
        let CallError::Status { status, detail, .. } = error else {
            panic!("{}: {error}", case.code);
        };
        assert_eq!(status, case.status, "{}", case.code);
        assert!(detail.contains(case.code), "{detail}");
    }
}

#[actix_web::test]
async fn a_batch_and_its_queue_are_bounded() {
    let mut settings = common::settings();
    settings.slots = 2;
    settings.queue = 6;
    let engine = start(settings);
    let mut open = Vec::new();
    for number in 0..20 {
        let call = request(&format!("r-{number}"), "q", 1_000_000);
        match engine_client().generate(engine.address, &call).await {
            Ok(events) => open.push(events),
            Err(CallError::Status { status: 503, .. }) => {}
            Err(error) => panic!("{error}"),
        }
    }
    assert!(
        (6..=8).contains(&open.len()),
        "{} answers open, expected 6 to 8",
        open.len()
    );
    common::wait_until("two answers run", || {
        engine.handle.counts().max_running == 2
    })
    .await;
    let tokens = engine.handle.counts().tokens;
    common::wait_until("twenty more tokens are generated", || {
        engine.handle.counts().tokens > tokens + 20
    })
    .await;
    assert_eq!(engine.handle.counts().max_running, 2);
}

#[actix_web::test]
async fn an_urgent_request_overtakes_waiting_batch_requests() {
    let mut settings = common::settings();
    settings.slots = 1;
    let engine = start(settings);
    let accepted = |count| engine.handle.counts().accepted == count;
    let endless = |id: &str, class| {
        let mut call = request(id, id, 1_000_000);
        call.class = class;
        call
    };
    let first = endless("first", Class::Interactive);
    let batch = [endless("b-1", Class::Batch), endless("b-2", Class::Batch)];
    let adapter = engine_client();
    let _first = adapter.generate(engine.address, &first).await.unwrap();
    common::wait_until("the first runs", || engine.handle.counts().tokens > 0).await;
    let _one = adapter.generate(engine.address, &batch[0]).await.unwrap();
    let _two = adapter.generate(engine.address, &batch[1]).await.unwrap();
    let mut urgent = request("u-1", "urgent", 5);
    urgent.class = Class::Urgent;
    let answer = collect_answer(engine.address, &urgent, WAIT_TIMEOUT);
    let free_slot = async {
        common::wait_until("all four are accepted", || accepted(4)).await;
        adapter.cancel(engine.address, &first.id).await.unwrap();
    };
    let both = futures_util::future::join(answer, free_slot);
    let (answer, ()) = tokio::time::timeout(WAIT_TIMEOUT, both).await.unwrap();
    assert_eq!(answer.unwrap().text(), expected_text(&urgent).prefix(5));
}

#[actix_web::test]
async fn a_cached_prefix_is_counted_and_the_oldest_evicted() {
    let mut settings = common::settings();
    settings.blocks = 8;
    let engine = start(settings);
    let prompts = ["a".repeat(400), "b".repeat(400)];
    let mut cached = Vec::new();
    for prompt in [&prompts[0], &prompts[0], &prompts[1], &prompts[0]] {
        let call = request("r-1", prompt, 1);
        let answer = collect_answer(engine.address, &call, WAIT_TIMEOUT)
            .await
            .unwrap();
        let usage = answer.usage.unwrap();
        assert!(usage.cached_tokens <= usage.prompt_tokens);
        cached.push(usage.cached_tokens);
    }
    assert_eq!(cached[0], 0);
    assert!(
        cached[1] > 90,
        "a repeated prompt must be cached: {cached:?}"
    );
    assert_eq!(
        &cached[2..],
        [0, 0],
        "a second prompt must evict the first: six blocks each, capacity eight"
    );
}

#[actix_web::test]
async fn a_disconnect_or_a_cancellation_frees_the_slot() {
    let engine = start(common::settings());
    let events = engine_client()
        .generate(engine.address, &request("r-1", "q", 1_000_000))
        .await
        .unwrap();
    common::wait_until("the answer runs", || engine.handle.counts().tokens > 0).await;
    drop(events);
    common::wait_until("the disconnect is noticed", || {
        engine.handle.counts().cancelled == 1
    })
    .await;
    let call = request("r-2", "q", 1_000_000);
    let answer = collect_answer(engine.address, &call, WAIT_TIMEOUT);
    let cancel = async {
        common::wait_until("the second answer is accepted", || {
            engine.handle.counts().accepted == 2
        })
        .await;
        engine_client()
            .cancel(engine.address, &call.id)
            .await
            .unwrap();
    };
    let (answer, ()) = futures_util::future::join(answer, cancel).await;
    assert_eq!(
        answer.unwrap().finish,
        None,
        "a cancelled answer must end without a finish reason"
    );
    assert_eq!(engine.handle.counts().cancelled, 2);
}

#[actix_web::test]
async fn pings_are_sent_while_no_token_is_ready() {
    let mut settings = common::settings();
    settings.speed = 1;
    settings.prefill = Duration::from_millis(1);
    settings.ping_interval = Duration::from_millis(20);
    let engine = start(settings);
    let call = request("r-1", &"long prompt ".repeat(60), 1);
    let answer = collect_answer(engine.address, &call, WAIT_TIMEOUT)
        .await
        .unwrap();
    assert!(
        answer.pings >= 2,
        "got {} pings, expected at least 2",
        answer.pings
    );
    assert_eq!(answer.text(), expected_text(&call).prefix(1));
}

#[actix_web::test]
async fn orders_are_checked_and_processed_once() {
    enum Expected {
        Taken,
        Fenced(u64),
        Refused,
    }
    struct Case {
        order: Order,
        fencing: Fencing,
        answer: Expected,
        used: u64,
    }
    let case = |order, fencing, answer, used| Case {
        order,
        fencing,
        answer,
        used,
    };
    let unload = |name: &str| OrderAction::Unload {
        model: common::model(name),
    };
    let (checked, ignored) = (Fencing::Checked, Fencing::Ignored);
    let cases = [
        case(
            order("a", 5, load("tags", 40)),
            checked,
            Expected::Taken,
            80,
        ),
        case(
            order("a", 5, load("tags", 40)),
            checked,
            Expected::Taken,
            80,
        ),
        case(
            order("b", 5, load("big", 30)),
            checked,
            Expected::Refused,
            80,
        ),
        case(order("b", 6, load("x", 1)), checked, Expected::Refused, 80),
        case(
            order("c", 7, OrderAction::RaiseFence),
            checked,
            Expected::Taken,
            80,
        ),
        case(
            order("d", 6, unload("tags")),
            checked,
            Expected::Fenced(7),
            80,
        ),
        case(order("e", 6, unload("tags")), ignored, Expected::Taken, 40),
        case(
            order("f", 7, load("tags", 60)),
            checked,
            Expected::Taken,
            100,
        ),
        case(
            order("d", 7, unload("assist")),
            checked,
            Expected::Taken,
            60,
        ),
    ];
    let engine = start(common::settings());
    for (number, case) in cases.iter().enumerate() {
        let mut set = engine.handle.faults().get();
        set.fencing = Some(case.fencing);
        engine.handle.faults().set(set);
        let answer = send_order(&engine, &case.order).await;
        let matches = match case.answer {
            Expected::Taken => answer == OrderAnswer::Accepted,
            Expected::Fenced(highest) => {
                answer
                    == OrderAnswer::Fenced {
                        highest_fence: highest,
                    }
            }
            Expected::Refused => matches!(answer, OrderAnswer::Refused { .. }),
        };
        assert!(matches, "case {number}: {answer:?}");
        engine.handle.publish();
        let report = engine_client().report(engine.address).await.unwrap();
        assert_eq!(report.used_mb, case.used, "case {number}");
        assert!(report.used_mb <= report.memory_mb);
    }
    let counts = engine.handle.counts();
    assert_eq!((counts.overcommits, counts.peak), (1, 100));
    assert_eq!((counts.fenced, counts.unfenced, counts.repeats), (1, 1, 2));
    common::wait_until("the load ends", || {
        let report = engine.handle.report();
        report.loading.is_empty() && report.resident.len() == 1 && report.fence == 7
    })
    .await;
    let orders: Vec<String> = engine
        .handle
        .report()
        .recent_orders
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(orders, ["a", "b", "c", "e", "f", "d"]);
}

#[actix_web::test]
async fn a_new_version_replaces_the_old_one_once_its_answers_end() {
    let engine = start(common::settings());
    let call = request("r-1", "q", 400);
    let answer = collect_answer(engine.address, &call, WAIT_TIMEOUT);
    let change = async {
        common::wait_until("the answer runs", || engine.handle.counts().tokens > 0).await;
        let newer = OrderAction::Load {
            model: common::model("assist"),
            version: "2".to_owned(),
            memory_mb: 40,
        };
        send_order(&engine, &order("a", 1, newer)).await;
        common::wait_until("version 2 is loaded", || engine.handle.counts().loads == 1).await;
        engine.handle.publish();
        let report = engine.handle.report();
        assert_eq!((report.used_mb, report.unloading.len()), (80, 1));
        assert_eq!(report.resident[0].version, "2");
    };
    let (answer, ()) = futures_util::future::join(answer, change).await;
    assert_eq!(answer.unwrap().text(), expected_text(&call).prefix(400));
    common::wait_until("the old version is gone", || {
        engine.handle.report().used_mb == 40
    })
    .await;
    assert_eq!(engine.handle.counts().unloads, 1);
}

#[actix_web::test]
async fn adapters_are_loaded_and_unloaded() {
    let settings = common::settings().with_model(model_copy("tags", 10, &[]));
    let engine = start(settings);
    let adapter = AdapterName::new("van").unwrap();
    let action = |loads| {
        let (model, adapter) = (common::model("tags"), adapter.clone());
        if loads {
            OrderAction::LoadAdapter { model, adapter }
        } else {
            OrderAction::UnloadAdapter { model, adapter }
        }
    };
    let held = || {
        let report = engine.handle.report();
        let tags = report.resident.iter().find(|r| r.model.as_str() == "tags");
        tags.is_some_and(|tags| tags.adapters.contains(&adapter))
    };
    for loads in [true, false, true] {
        let id = format!("a-{}", engine.handle.report().recent_orders.len());
        send_order(&engine, &order(&id, 1, action(loads))).await;
        common::wait_until("the report shows the adapter", || held() == loads).await;
    }
    assert_eq!(engine.handle.counts().adapters, 2);
}
