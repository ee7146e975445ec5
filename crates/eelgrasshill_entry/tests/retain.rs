//! Tests that state outlives the log records that it was folded from.

#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

mod support;

use std::time::Duration;

use eelgrasshill_domain::{AppendId, Offset, StreamName};
use eelgrasshill_ports::NewRecord;
use support::caller::call;
use support::{Fleet, wait_for};

/// Configured retention of the log; hosts save state after half of it.
const RETENTION: Duration = Duration::from_secs(4);

/// Limit on the reads of an idle host in 2 s.
///
/// A host long-polls two streams and reads the lease stream twice a second.
const MAX_IDLE_READS: u64 = 50;

/// Returns the offset of the last record whose JSON contains a text.
fn last_offset_containing(fleet: &Fleet, stream: &str, text: &str) -> Option<Offset> {
    let records = fleet.log.handle.records(&StreamName::new(stream).unwrap());
    let contains_text = |record: &serde_json::Value| record.to_string().contains(text);
    records
        .iter()
        .rev()
        .find(|record| contains_text(&record.body))
        .map(|record| record.offset)
}

/// All records before the saved state expire, then a host without state starts.
#[actix_web::test]
async fn new_host_starts_from_saved_state_after_records_expire() {
    let mut fleet = Fleet::start(0);
    fleet.add_host_with("zone-a", |settings| settings.log_retention = RETENTION);
    fleet.wait_ready();
    let key = fleet.issue_key("crew-1", "crew");
    let url = fleet.url(0, "/yard/x");
    let first = call(&url, Some(key.reveal()), &[], String::new()).await;
    assert_eq!(first.status, 200, "{first:?}");
    wait_for("tables and keys are saved in a checkpoint", || {
        // Offset 1 holds the tables and 2 the key; a later record is the checkpoint.
        last_offset_containing(&fleet, "config", "crew-1").is_some_and(|at| at > Offset(2))
    });
    wait_for("rights are saved in a snapshot", || {
        last_offset_containing(&fleet, "rights", "\"tenures\"").is_some()
    });
    let expired = [
        (
            "config",
            last_offset_containing(&fleet, "config", "\"tables\""),
        ),
        (
            "rights",
            last_offset_containing(&fleet, "rights", "\"tenures\""),
        ),
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
    let from_new_host = call(&url, Some(key.reveal()), &[], String::new()).await;
    assert_eq!(from_new_host.status, 200, "{from_new_host:?}");
    fleet.stop();
}

/// A record that cannot be decoded must not stop its stream or make hosts read in a loop.
#[actix_web::test]
async fn undecodable_records_are_skipped_and_read_once() {
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
    assert!(
        reads < MAX_IDLE_READS,
        "expected fewer than {MAX_IDLE_READS} reads in 2 s, got {reads}"
    );
    let key = fleet.issue_key("crew-1", "crew");
    let url = fleet.url(0, "/yard/x");
    let reply = call(&url, Some(key.reveal()), &[], String::new()).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    fleet.stop();
}
