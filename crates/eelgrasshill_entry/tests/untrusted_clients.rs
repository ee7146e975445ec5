//! Tests the memory and the descriptors of an entry host whose callers do not behave.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use eelgrasshill_standin::{CrowdCaller, CrowdRequests, ProcessUse};
use support::Fleet;
use support::caller::call;
use support::process::http_get;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Memory of the machine in the settings, in MB.
const MEMORY_MB: u64 = 64;

/// Descriptors in the settings.
const DESCRIPTORS: u64 = 500;

/// Time for the head and the body of a request in the settings, in milliseconds.
const ARRIVAL_MS: u64 = 60_000;

/// Callers of a crowd.
const MANY_CALLERS: usize = 400;

/// Looks at the process while the crowd sends, and the time between them.
const LOOKS: u32 = 60;
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a request beside a crowd counts as not answered.
const ANSWER_TIME: Duration = Duration::from_secs(20);

/// Length of the body of an ordinary request, which needs memory of the account.
const ORDINARY_BYTES: usize = 200_000;

/// Guards against crowds that exceed the machine of an entry host, or keep out an ordinary caller.
#[actix_web::test]
async fn crowds_of_connections_stay_within_the_machine() {
    let mut fleet = Fleet::start_processes_with(1, |config| {
        config.host_lines = format!("memory-mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n");
        config.arrival_ms = ARRIVAL_MS;
    });
    let key = fleet.issue_key("crew-1", "crew");
    let process = &fleet.processes[0];
    let config = &process.config;
    let ports = [config.listen, config.admin, config.peer].map(|address| address.port());
    let requests = CrowdRequests {
        path: "/yard/x",
        headers: format!("authorization: Bearer {}\r\n", key.reveal()).leak(),
        id_header: |_id| String::new(),
    };
    let ask = |body: String| {
        let url = process.url("/yard/x");
        let key = key.reveal().to_owned();
        async move { call(&url, Some(&key), &[], body).await.status }
    };
    while ask(String::new()).await != 200 {
        sleep(LOOK_INTERVAL).await;
    }
    for (target, caller) in [
        (config.listen, CrowdCaller::LargeChunks),
        (config.listen, CrowdCaller::TinyChunks),
        (config.listen, CrowdCaller::OpenBody),
        (config.listen, CrowdCaller::OpenHead),
        (config.listen, CrowdCaller::Silent),
        (config.admin, CrowdCaller::OpenHead),
        (config.peer, CrowdCaller::Silent),
    ] {
        let mut crowd = JoinSet::new();
        for number in 0..MANY_CALLERS {
            let sent = Arc::new(AtomicU64::new(0));
            crowd.spawn(caller.run(target, requests, number, sent));
        }
        for _look in 0..LOOKS {
            sleep(LOOK_INTERVAL).await;
            let used = ProcessUse::read(process.id(), &ports).expect("the process lives");
            assert!(
                used.held_kb() <= MEMORY_MB << 10 && used.descriptors as u64 <= DESCRIPTORS,
                "{caller:?} at {target}: {used:?}"
            );
        }
        let status = timeout(ANSWER_TIME, ask("x".repeat(ORDINARY_BYTES))).await;
        assert_eq!(status, Ok(200), "beside {caller:?} at {target}");
        let status = http_get(config.admin, "/status");
        assert!(status.is_some(), "status beside {caller:?} at {target}");
        crowd.shutdown().await;
    }
}
