//! The weight store's limits, and the loads of engines from it.

#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::time::{Duration, Instant};

use common::{ASSIST_MB, load_action, new_order, send_order, start_engine, wait_until};
use eelgrasshill_domain::{AdapterName, HostName};
use eelgrasshill_ports::{OrderAction, OrderAnswer};
use eelgrasshill_standin::{
    EngineSettings, FaultSet, Mode, RunningServer, Standin as _, StoreSettings, WeightStore,
};

/// Memory of the model `tags`, in MB.
const TAGS_MB: u64 = 30;

fn start_store(settings: StoreSettings) -> RunningServer<WeightStore> {
    WeightStore::new(settings).spawn_thread().unwrap()
}

async fn post_load(store: &RunningServer<WeightStore>, path: &str) -> (u16, Duration) {
    let start_time = Instant::now();
    let url = format!("http://{}{path}", store.address);
    let client = awc::Client::builder().disable_timeout().finish();
    let answer = client.post(url).send().await.unwrap();
    (answer.status().as_u16(), start_time.elapsed())
}

#[actix_web::test]
async fn excess_concurrent_loads_share_the_bandwidth() {
    struct Case {
        path: &'static str,
        loads: usize,
        min_duration: Duration,
    }
    let ms = Duration::from_millis;
    // Six loads at the speed of two take 3 x 40 ms, and 24 at the speed of four 6 x 10 ms;
    // the lower bounds of 100 and 50 ms leave a margin for timers.
    let cases = [
        Case {
            path: "/loads/m",
            loads: 2,
            min_duration: ms(40),
        },
        Case {
            path: "/loads/m",
            loads: 6,
            min_duration: ms(100),
        },
        Case {
            path: "/adapters/a",
            loads: 4,
            min_duration: ms(10),
        },
        Case {
            path: "/adapters/a",
            loads: 24,
            min_duration: ms(50),
        },
    ];
    for case in cases {
        let store = start_store(StoreSettings {
            model_loads_per_second: 1000.0,
            full_speed_model_loads: 2,
            full_speed_adapter_loads: 4,
            model_load_time: ms(40),
            adapter_load_time: ms(10),
            ..StoreSettings::default()
        });
        let loads = (0..case.loads).map(|_| post_load(&store, case.path));
        for (status, span) in futures_util::future::join_all(loads).await {
            assert_eq!(status, 200);
            assert!(
                span >= case.min_duration,
                "{} x {}: took {span:?}, expected at least {:?}",
                case.loads,
                case.path,
                case.min_duration
            );
        }
        let counts = store.handle.counts();
        let kind = if case.path.starts_with("/loads") {
            counts.models
        } else {
            counts.adapters
        };
        assert_eq!((kind.done, kind.running), (case.loads as u64, 0));
        // Guards against loads that are counted twice.
        assert!(
            kind.max_running <= case.loads as u64,
            "{} x {}: {kind:?}",
            case.loads,
            case.path
        );
    }
}

#[actix_web::test]
async fn loads_beyond_the_rate_are_refused_and_counted() {
    const RATE: f64 = 3.0;
    const LOADS: u32 = 20;
    let store = start_store(StoreSettings {
        model_loads_per_second: RATE,
        model_load_time: Duration::ZERO,
        ..StoreSettings::default()
    });
    let start_time = Instant::now();
    let mut taken: u32 = 0;
    for _ in 0..LOADS {
        taken += u32::from(post_load(&store, "/loads/m").await.0 == 200);
    }
    let allowed = RATE + RATE * start_time.elapsed().as_secs_f64();
    assert!(
        taken >= 3 && f64::from(taken) <= allowed,
        "{taken} loads were accepted, expected 3 to {allowed}"
    );
    let counts = store.handle.counts();
    assert_eq!(counts.refused, u64::from(LOADS - taken));
    assert_eq!(counts.models.done, u64::from(taken));
    assert!(
        counts.max_requests > 3,
        "{} requests within one second, expected more than 3",
        counts.max_requests
    );
}

#[actix_web::test]
async fn engines_complete_their_loads_despite_store_faults() {
    let two_answers_lost = FaultSet {
        lost_answers: 2,
        ..FaultSet::default()
    };
    let cases = [
        ("no fault", FaultSet::default()),
        ("store unavailable", FaultSet::new(Mode::Unavailable)),
        ("two answers lost", two_answers_lost),
    ];
    for (name, faults) in cases {
        let store = start_store(StoreSettings {
            model_load_time: Duration::from_millis(100),
            speed: 10,
            ..StoreSettings::default()
        });
        store.handle.faults().set(faults.clone());
        let engine = start_engine(EngineSettings {
            store: Some(store.address),
            ..common::engine_settings()
        });
        let answer = send_order(&engine, &new_order("a", 1, load_action("tags", TAGS_MB))).await;
        assert_eq!(answer, OrderAnswer::Accepted, "{name}");
        wait_until(&format!("{name}: the load is reported"), || {
            engine.handle.report().loading.len() == 1
        })
        .await;
        if faults.mode == Mode::Unavailable {
            // Three intervals at which the engine retries a load, at its speed of 10.
            tokio::time::sleep(Duration::from_millis(60)).await;
            assert_eq!(engine.handle.counts().loads, 0, "{name}");
            store.handle.faults().clear();
        }
        wait_until(&format!("{name}: the load ends"), || {
            engine.handle.counts().loads == 1
        })
        .await;
        let adapter = AdapterName::new("van").unwrap();
        let action = OrderAction::LoadAdapter {
            model: common::model_name("tags"),
            adapter,
        };
        send_order(&engine, &new_order("b", 1, action)).await;
        wait_until(&format!("{name}: the adapter loads"), || {
            engine.handle.counts().adapters == 1
        })
        .await;
        assert_eq!(store.handle.counts().adapters.done, 1, "{name}");
        let peak_mb = engine.handle.counts().peak_mb;
        assert!(
            peak_mb <= ASSIST_MB + TAGS_MB,
            "{name}: peak of {peak_mb} MB with {ASSIST_MB} MB and {TAGS_MB} MB loaded"
        );
    }
}

/// Guards against memory that stays occupied by a cancelled load.
#[actix_web::test]
async fn unloading_cancels_a_load_in_progress() {
    let settings = EngineSettings {
        model_load_time: Duration::from_hours(1),
        ..EngineSettings::new(HostName::new("engine-1").unwrap())
    };
    let engine = start_engine(settings);
    send_order(&engine, &new_order("a", 1, load_action("tags", TAGS_MB))).await;
    let action = OrderAction::Unload {
        model: common::model_name("tags"),
    };
    send_order(&engine, &new_order("b", 1, action)).await;
    engine.handle.publish();
    let report = engine.handle.report();
    assert_eq!((report.used_mb, report.loading.len()), (0, 0));
    assert_eq!(report.recent_orders.len(), 2);
}
