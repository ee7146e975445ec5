//! What must last stays in the log although its records expire.

#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

mod support;

use std::time::Duration;

use eelgrasshill_domain::{AppendId, Offset, StreamName};
use eelgrasshill_ports::NewRecord;
use support::caller::call;
use support::{Fleet, wait_for};

/// How long the log is said to keep a record, so that states are saved after half of it.
const RETENTION: Duration = Duration::from_secs(4);

fn saved(fleet: &Fleet, stream: &str, field: &str) -> Option<Offset> {
    let records = fleet.log.handle.records(&StreamName::new(stream).unwrap());
    let saved = |record: &serde_json::Value| record.to_string().contains(field);
    records
        .iter()
        .rev()
        .find(|record| saved(&record.body))
        .map(|record| record.offset)
}

#[actix_web::test]
async fn a_cold_host_starts_from_saved_states_after_all_else_expired() {
    let mut fleet = Fleet::start(0);
    fleet.add_host_with("zone-a", |settings| settings.retention = RETENTION);
    fleet.wait_ready();
    let key = fleet.issue_key("crew-1", "crew");
    let url = fleet.url(0, "/yard/x");
    let first = call(&url, Some(key.reveal()), &[], String::new()).await;
    assert_eq!(first.status, 200, "{first:?}");
    wait_for("tables and keys are saved", || {
        saved(&fleet, "config", "crew-1").is_some_and(|at| at > Offset(2))
    });
    wait_for("rights are saved", || {
        saved(&fleet, "rights", "\"tenures\"").is_some()
    });
    let expired = [
        ("config", saved(&fleet, "config", "\"tables\"")),
        ("rights", saved(&fleet, "rights", "\"tenures\"")),
    ];
    for (stream, at) in expired {
        fleet
            .log
            .handle
            .expire_before(&StreamName::new(stream).unwrap(), at.unwrap());
    }
    fleet.add_host("zone-b");
    fleet.wait_ready();
    let url = fleet.url(1, "/yard/x");
    let cold = call(&url, Some(key.reveal()), &[], String::new()).await;
    assert_eq!(cold.status, 200, "{cold:?}");
    fleet.stop();
}

#[actix_web::test]
async fn records_that_cannot_be_read_are_passed_over_and_not_read_again() {
    let mut fleet = Fleet::start(1);
    for stream in ["config", "rights"] {
        let id = AppendId::new(&format!("broken-{stream}")).unwrap();
        let body = serde_json::json!({ "neither": "this", "nor": "that" });
        let stream = StreamName::new(stream).unwrap();
        fleet
            .log
            .handle
            .append(&stream, vec![NewRecord { id, body }]);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.log.handle.counts().reads;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let reads = fleet.log.handle.counts().reads - before;
    // A host waits for news of two streams and reads its lease's twice a second.
    assert!(reads < 50, "{reads} reads in 2 s");
    let key = fleet.issue_key("crew-1", "crew");
    let url = fleet.url(0, "/yard/x");
    let reply = call(&url, Some(key.reveal()), &[], String::new()).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    fleet.stop();
}
