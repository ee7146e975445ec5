//! What must last stays in the log although its records expire.

#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

mod support;

use std::time::Duration;

use eelgrasshill_domain::{Offset, StreamName};
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
