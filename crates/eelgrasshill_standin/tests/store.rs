//! The weight store's limits, and the loads of engines from it.

#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::time::{Duration, Instant};

use common::{load, order, send_order, start, wait_until};
use eelgrasshill_domain::{AdapterName, HostName};
use eelgrasshill_ports::{OrderAction, OrderAnswer};
use eelgrasshill_standin::{
    EngineSettings, FaultSet, Mode, RunningServer, Standin as _, StoreSettings, WeightStore,
};

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
            rate: 1000.0,
            parallel: 2,
            adapters: 4,
            load: ms(40),
            adapter: ms(10),
            ..StoreSettings::default()
        });
        let loads = (0..case.loads).map(|_| post_load(&store, case.path));
        for (status, span) in futures_util::future::join_all(loads).await {
            assert_eq!(status, 200);
            assert!(span >= case.min_duration, "{}: {span:?}", case.path);
        }
        let counts = store.handle.counts();
        let kind = if case.path.starts_with("/loads") {
            counts.models
        } else {
            counts.adapters
        };
        assert_eq!((kind.done, kind.running), (case.loads as u64, 0));
        assert!(kind.max_running <= case.loads as u64);
    }
}

#[actix_web::test]
async fn loads_beyond_the_rate_are_refused_and_counted() {
    let store = start_store(StoreSettings {
        rate: 3.0,
        load: Duration::ZERO,
        ..StoreSettings::default()
    });
    let start_time = Instant::now();
    let mut taken: u32 = 0;
    for _ in 0..20 {
        taken += u32::from(post_load(&store, "/loads/m").await.0 == 200);
    }
    let allowed = 3.0 + 3.0 * start_time.elapsed().as_secs_f64();
    assert!(
        taken >= 3 && f64::from(taken) <= allowed,
        "{taken} loads were accepted, expected 3 to {allowed}"
    );
    let counts = store.handle.counts();
    assert_eq!(counts.refused, u64::from(20 - taken));
    assert_eq!(counts.models.done, u64::from(taken));
    assert!(counts.max_requests > 3);
}

#[actix_web::test]
async fn engines_complete_their_loads_despite_store_faults() {
    let cases = [
        FaultSet::default(),
        FaultSet::new(Mode::Unavailable),
        FaultSet {
            lost_answers: 2,
            ..FaultSet::default()
        },
    ];
    for set in cases {
        let store = start_store(StoreSettings {
            load: Duration::from_millis(100),
            speed: 10,
            ..StoreSettings::default()
        });
        store.handle.faults().set(set.clone());
        let engine = start(EngineSettings {
            store: Some(store.address),
            ..common::settings()
        });
        let answer = send_order(&engine, &order("a", 1, load("tags", 30))).await;
        assert_eq!(answer, OrderAnswer::Taken);
        wait_until("the load is reported", || {
            engine.handle.report().loading.len() == 1
        })
        .await;
        if set.mode == Mode::Unavailable {
            tokio::time::sleep(Duration::from_millis(60)).await;
            assert_eq!(engine.handle.counts().loads, 0);
            store.handle.faults().clear();
        }
        wait_until("the load ends", || engine.handle.counts().loads == 1).await;
        let adapter = AdapterName::new("van").unwrap();
        let action = OrderAction::LoadAdapter {
            model: common::model("tags"),
            adapter,
        };
        send_order(&engine, &order("b", 1, action)).await;
        wait_until("the adapter loads", || engine.handle.counts().adapters == 1).await;
        assert_eq!(store.handle.counts().adapters.done, 1);
        assert!(engine.handle.counts().peak <= 70);
    }
}

#[actix_web::test]
async fn unloading_cancels_a_load_in_progress() {
    let settings = EngineSettings {
        load: Duration::from_hours(1),
        ..EngineSettings::new(HostName::new("engine-1").unwrap())
    };
    let engine = start(settings);
    send_order(&engine, &order("a", 1, load("tags", 30))).await;
    let action = OrderAction::Unload {
        model: common::model("tags"),
    };
    send_order(&engine, &order("b", 1, action)).await;
    engine.handle.publish();
    let report = engine.handle.report();
    assert_eq!((report.used, report.loading.len()), (0, 0));
    assert_eq!(report.orders.len(), 2);
}
