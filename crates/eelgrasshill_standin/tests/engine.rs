//! The stand-in engine's protocol, used through the platform's adapter.
#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::time::Duration;

use common::{
    WAIT_TIMEOUT, collect_answer, engine_client, expected_text, generate_request, load_action,
    model_copy, new_order, send_order, start_engine, with_resume,
};
use eelgrasshill_domain::{AdapterName, Class, Fencing};
use eelgrasshill_ports::{CallError, EngineClient as _, Order, OrderAction, OrderAnswer};
use eelgrasshill_standin::Standin as _;

/// Tokens of an answer that does not end during a test.
const ENDLESS_TOKENS: u64 = 1_000_000;

/// Guards against missing, repeated or foreign tokens, also in resumed answers.
#[actix_web::test]
async fn an_answer_is_complete_and_matches_its_request() {
    struct Case {
        name: &'static str,
        adapter: Option<&'static str>,
        max_tokens: u64,
        resume_index: u64,
        max_natural_length: Option<u64>,
        finish: &'static str,
    }
    let case = |name, adapter, max_tokens, resume_index, max_natural_length, finish| Case {
        name,
        adapter,
        max_tokens,
        resume_index,
        max_natural_length,
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
        let mut settings = common::engine_settings();
        settings.max_natural_length = case.max_natural_length;
        let engine = start_engine(settings);
        let mut call = generate_request("r-1", "how high is the water?", case.max_tokens);
        call.adapter = case.adapter.map(|name| AdapterName::new(name).unwrap());
        let expected = expected_text(&call);
        if case.resume_index > 0 {
            call = with_resume(call, case.resume_index, &expected.prefix(case.resume_index));
        }
        let answer = collect_answer(engine.address, &call, WAIT_TIMEOUT)
            .await
            .unwrap();
        let length = case
            .max_natural_length
            .map_or(case.max_tokens, |max_length| {
                expected.natural_length(max_length)
            });
        let whole_text = expected.prefix(case.resume_index) + &answer.text();
        assert_eq!(whole_text, expected.prefix(length), "{}", case.name);
        assert_eq!(answer.finish.as_deref(), Some(case.finish), "{}", case.name);
        assert_eq!(
            answer.usage.unwrap().completion_tokens,
            length,
            "{}",
            case.name
        );
        let indices: Vec<u64> = answer.chunks.iter().map(|chunk| chunk.index).collect();
        assert_eq!(
            indices,
            (case.resume_index..length).collect::<Vec<_>>(),
            "{}",
            case.name
        );
        assert!(
            answer.chunks.iter().all(|chunk| chunk.id == call.id),
            "{}: {:?}",
            case.name,
            answer.chunks
        );
    }
}

#[test]
fn different_inputs_have_different_texts() {
    let other = expected_text(&generate_request("r-1", "another question", 0));
    let own = expected_text(&generate_request("r-1", "how high is the water?", 0));
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
    let engine = start_engine(common::engine_settings());
    for case in cases {
        let mut set = engine.handle.faults().get();
        set.draining = case.draining;
        engine.handle.faults().set(set);
        let mut call = generate_request("r-1", "q", 3);
        call.model = common::model_name(case.model);
        call.version = case.version.to_owned();
        call.adapter = case.adapter.map(|name| AdapterName::new(name).unwrap());
        let error = engine_client()
            .generate(engine.address, &call)
            .await
            .unwrap_err();
        let CallError::Status { status, detail, .. } = error else {
            panic!(
                "expected status {} with {}, got {error}",
                case.status, case.code
            );
        };
        assert_eq!(status, case.status, "{}", case.code);
        assert!(
            detail.contains(case.code),
            "expected the code {} in {detail}",
            case.code
        );
    }
}

#[actix_web::test]
async fn no_more_answers_run_or_wait_than_the_settings_allow() {
    const SLOTS: u32 = 2;
    const QUEUE: usize = 6;
    let mut settings = common::engine_settings();
    settings.slots = SLOTS;
    settings.queue = QUEUE;
    let engine = start_engine(settings);
    let mut open = Vec::new();
    for number in 0..20 {
        let call = generate_request(&format!("r-{number}"), "q", ENDLESS_TOKENS);
        match engine_client().generate(engine.address, &call).await {
            Ok(events) => open.push(events),
            Err(CallError::Status { status: 503, .. }) => {}
            Err(error) => panic!("request {number}: expected an answer or status 503, got {error}"),
        }
    }
    // Fewer than eight are open if the queue was full before the slots were taken.
    assert!(
        (QUEUE..=SLOTS as usize + QUEUE).contains(&open.len()),
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
    let mut settings = common::engine_settings();
    settings.slots = 1;
    let engine = start_engine(settings);
    let accepted = |count| engine.handle.counts().accepted == count;
    let endless = |id: &str, class| {
        let mut call = generate_request(id, id, ENDLESS_TOKENS);
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
    let mut urgent = generate_request("u-1", "urgent", 5);
    urgent.class = Class::Urgent;
    let answer = collect_answer(engine.address, &urgent, WAIT_TIMEOUT);
    let free_slot = async {
        common::wait_until("all four are accepted", || accepted(4)).await;
        adapter.cancel(engine.address, &first.id).await.unwrap();
    };
    let answer_and_cancel = futures_util::future::join(answer, free_slot);
    let (answer, ()) = tokio::time::timeout(WAIT_TIMEOUT, answer_and_cancel)
        .await
        .unwrap();
    assert_eq!(answer.unwrap().text(), expected_text(&urgent).prefix(5));
}

#[actix_web::test]
async fn a_cached_prefix_is_counted_and_the_oldest_evicted() {
    /// About 101 tokens, or 6 whole blocks of 64 bytes.
    const PROMPT_BYTES: usize = 400;
    const MIN_CACHED_TOKENS: u64 = 90;
    const CACHE_BLOCKS: usize = 8;
    let mut settings = common::engine_settings();
    settings.cache_blocks = CACHE_BLOCKS;
    let engine = start_engine(settings);
    let prompts = ["a".repeat(PROMPT_BYTES), "b".repeat(PROMPT_BYTES)];
    let mut cached = Vec::new();
    for prompt in [&prompts[0], &prompts[0], &prompts[1], &prompts[0]] {
        let call = generate_request("r-1", prompt, 1);
        let answer = collect_answer(engine.address, &call, WAIT_TIMEOUT)
            .await
            .unwrap();
        let usage = answer.usage.unwrap();
        assert!(
            usage.cached_tokens <= usage.prompt_tokens,
            "{} cached of {} prompt tokens",
            usage.cached_tokens,
            usage.prompt_tokens
        );
        cached.push(usage.cached_tokens);
    }
    assert_eq!(cached[0], 0);
    assert!(
        cached[1] > MIN_CACHED_TOKENS,
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
    let engine = start_engine(common::engine_settings());
    let events = engine_client()
        .generate(
            engine.address,
            &generate_request("r-1", "q", ENDLESS_TOKENS),
        )
        .await
        .unwrap();
    common::wait_until("the answer runs", || engine.handle.counts().tokens > 0).await;
    drop(events);
    common::wait_until("the disconnect is noticed", || {
        engine.handle.counts().cancelled == 1
    })
    .await;
    let call = generate_request("r-2", "q", ENDLESS_TOKENS);
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
    let mut settings = common::engine_settings();
    settings.speed = 1;
    settings.prefill_per_token = Duration::from_millis(1);
    settings.ping_interval = Duration::from_millis(20);
    let engine = start_engine(settings);
    let call = generate_request("r-1", &"long prompt ".repeat(60), 1);
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
async fn old_fences_overcommits_and_repeats_change_no_memory() {
    #[derive(Debug)]
    enum Expected {
        Taken,
        Fenced(u64),
        Refused,
    }
    struct Case {
        name: &'static str,
        order: Order,
        fencing: Fencing,
        answer: Expected,
        used_mb: u64,
    }
    let case = |name, order, fencing, answer, used_mb| Case {
        name,
        order,
        fencing,
        answer,
        used_mb,
    };
    let unload = |name: &str| OrderAction::Unload {
        model: common::model_name(name),
    };
    let (checked, ignored) = (Fencing::Checked, Fencing::Ignored);
    // "b" is a repeat the second time, so its new content is ignored; "d" was fenced the
    // first time and so was not remembered.
    let cases = [
        case(
            "load",
            new_order("a", 5, load_action("tags", 40)),
            checked,
            Expected::Taken,
            80,
        ),
        case(
            "repeated order id",
            new_order("a", 5, load_action("tags", 40)),
            checked,
            Expected::Taken,
            80,
        ),
        case(
            "engine full",
            new_order("b", 5, load_action("big", 30)),
            checked,
            Expected::Refused,
            80,
        ),
        case(
            "repeated order id of a refused order",
            new_order("b", 6, load_action("x", 1)),
            checked,
            Expected::Refused,
            80,
        ),
        case(
            "seal",
            new_order("c", 7, OrderAction::RaiseFence),
            checked,
            Expected::Taken,
            80,
        ),
        case(
            "old fence",
            new_order("d", 6, unload("tags")),
            checked,
            Expected::Fenced(7),
            80,
        ),
        case(
            "old fence, but fencing ignored",
            new_order("e", 6, unload("tags")),
            ignored,
            Expected::Taken,
            40,
        ),
        case(
            "load with the current fence",
            new_order("f", 7, load_action("tags", 60)),
            checked,
            Expected::Taken,
            100,
        ),
        case(
            "id of the fenced order",
            new_order("d", 7, unload("assist")),
            checked,
            Expected::Taken,
            60,
        ),
    ];
    let engine = start_engine(common::engine_settings());
    for case in &cases {
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
        assert!(
            matches,
            "{}: expected {:?}, got {answer:?}",
            case.name, case.answer
        );
        engine.handle.publish();
        let report = engine_client().report(engine.address).await.unwrap();
        assert_eq!(report.used_mb, case.used_mb, "{}", case.name);
        assert!(
            report.used_mb <= report.memory_mb,
            "{}: {} MB used of {}",
            case.name,
            report.used_mb,
            report.memory_mb
        );
    }
    let counts = engine.handle.counts();
    assert_eq!((counts.overcommits, counts.peak_mb), (1, 100));
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
    assert_eq!(
        orders,
        ["a", "b", "c", "e", "f", "d"],
        "the report must list each processed order once, in order, without fenced ones"
    );
}

#[actix_web::test]
async fn a_new_version_replaces_the_old_one_once_its_answers_end() {
    let engine = start_engine(common::engine_settings());
    let call = generate_request("r-1", "q", 400);
    let answer = collect_answer(engine.address, &call, WAIT_TIMEOUT);
    let change = async {
        common::wait_until("the answer runs", || engine.handle.counts().tokens > 0).await;
        let newer = OrderAction::Load {
            model: common::model_name("assist"),
            version: "2".to_owned(),
            memory_mb: 40,
        };
        send_order(&engine, &new_order("a", 1, newer)).await;
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
async fn the_report_follows_adapter_loads_and_unloads() {
    let settings = common::engine_settings().with_model(model_copy("tags", 10, &[]));
    let engine = start_engine(settings);
    let adapter = AdapterName::new("van").unwrap();
    let adapter_action = |loads| {
        let (model, adapter) = (common::model_name("tags"), adapter.clone());
        if loads {
            OrderAction::LoadAdapter { model, adapter }
        } else {
            OrderAction::UnloadAdapter { model, adapter }
        }
    };
    let report_shows_adapter = || {
        let report = engine.handle.report();
        let tags = report
            .resident
            .iter()
            .find(|resident| resident.model.as_str() == "tags");
        tags.is_some_and(|tags| tags.adapters.contains(&adapter))
    };
    for loads in [true, false, true] {
        let id = format!("a-{}", engine.handle.report().recent_orders.len());
        send_order(&engine, &new_order(&id, 1, adapter_action(loads))).await;
        common::wait_until(&format!("report shows the adapter: {loads}"), || {
            report_shows_adapter() == loads
        })
        .await;
    }
    assert_eq!(engine.handle.counts().adapters, 2);
}
