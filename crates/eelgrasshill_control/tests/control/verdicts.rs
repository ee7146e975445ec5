//! Snapshot tests of the verdicts on concurrent edits, and of their texts.

use std::fmt::Write;

use eelgrasshill_control::{ApplyOutcome, ConfigEntry, ConfigFold, Delta};
use eelgrasshill_domain::{ConfigRecord, EditOutcome, Offset, PoolKind, Row, Target, Version};

use crate::builders::{
    change, edit, entry_at, issue, model, model_key, model_row, org_key, org_row, pool_key,
    pool_row, route, route_key, withdraw,
};

/// Returns the append ids and records of several operators, in log order.
///
/// A base version is the offset of the record that created it.
fn racing_records() -> Vec<(&'static str, ConfigRecord)> {
    let models = Target::Models(vec![model("m")]);
    let to_model = || Row::from(route(Some("towns"), models.clone(), "engines"));
    vec![
        (
            "route-too-early",
            edit(vec![change(route_key("r"), 0, to_model())]),
        ),
        (
            "base-tables",
            edit(vec![
                change(org_key("towns"), 0, org_row(10)),
                change(pool_key("engines"), 0, pool_row(PoolKind::Engines)),
                change(model_key("m"), 0, model_row("engines")),
            ]),
        ),
        (
            "route-too-early",
            edit(vec![change(route_key("r"), 0, to_model())]),
        ),
        ("route", edit(vec![change(route_key("r"), 0, to_model())])),
        (
            "rate-first",
            edit(vec![change(org_key("towns"), 2, org_row(20))]),
        ),
        (
            "rate-second-and-pool",
            edit(vec![
                change(pool_key("other"), 0, pool_row(PoolKind::Plain)),
                change(org_key("towns"), 2, org_row(30)),
            ]),
        ),
        (
            "another-row",
            edit(vec![change(model_key("m"), 2, model_row("engines"))]),
        ),
        (
            "rate-first",
            edit(vec![change(org_key("towns"), 2, org_row(20))]),
        ),
        (
            "rate-again",
            edit(vec![change(org_key("towns"), 5, org_row(40))]),
        ),
        (
            "remove-used-model",
            edit(vec![change(model_key("m"), 7, None)]),
        ),
        (
            "wrong-kind",
            edit(vec![change(org_key("towns"), 9, pool_row(PoolKind::Plain))]),
        ),
        ("remove-route", edit(vec![change(route_key("r"), 4, None)])),
        (
            "add-removed-from-zero",
            edit(vec![change(route_key("r"), 0, to_model())]),
        ),
        (
            "add-removed-from-its-version",
            edit(vec![change(route_key("r"), 12, to_model())]),
        ),
        ("key-of-nobody", issue("k1", "nobody")),
        ("key", issue("k1", "towns")),
        ("key-twice", issue("k1", "towns")),
        ("withdraw", withdraw("k1")),
        ("withdraw-again", withdraw("k1")),
        ("key-after-withdrawal", issue("k1", "towns")),
        ("withdraw-unknown", withdraw("k2")),
    ]
}

#[test]
fn verdicts_of_racing_edits() {
    let mut fold = ConfigFold::new();
    let mut text = String::new();
    for (offset, (id, record)) in (1..).zip(racing_records()) {
        let applied = fold.apply(&entry_at(offset, id, record));
        let line = match applied {
            ApplyOutcome::Judged(EditOutcome::Accepted(version)) => {
                format!("accepted as {version}")
            }
            ApplyOutcome::Judged(EditOutcome::Rejected(reason)) => format!("rejected: {reason}"),
            ApplyOutcome::Repeated(EditOutcome::Accepted(version)) => {
                format!("repeated, accepted as {version}")
            }
            ApplyOutcome::Repeated(EditOutcome::Rejected(_)) => "repeated, rejected".to_owned(),
            other => format!("{other:?}"),
        };
        writeln!(text, "{offset} {id}: {line}").unwrap();
    }
    let winner = fold.judged_append(Version(5)).unwrap();
    writeln!(
        text,
        "version 5 came from {} by {:?}",
        winner.id, winner.author
    )
    .unwrap();
    assert_eq!(
        fold.judged_append(Version(3)),
        None,
        "a repeated append created a version"
    );
    writeln!(
        text,
        "{}",
        serde_json::to_string_pretty(&fold.snapshot()).unwrap()
    )
    .unwrap();
    insta::assert_snapshot!(text);
}

/// Guards against hosts that diverge because they started from different checkpoints.
///
/// The records overlap the checkpoint and arrive twice, which must not matter.
#[test]
fn every_starting_point_leads_to_the_same_state() {
    let records: Vec<_> = (1..)
        .zip(racing_records())
        .map(|(offset, (id, record))| entry_at(offset, id, record))
        .collect();
    let mut whole = ConfigFold::new();
    let mut states = vec![whole.checkpoint()];
    for record in &records {
        whole.apply(record);
        states.push(whole.checkpoint());
    }
    for (start, state) in states.iter().enumerate() {
        let mut fold = ConfigFold::new();
        fold.adopt(state);
        let text = serde_json::to_string(&ConfigEntry::Checkpoint(Box::new(state.clone())));
        let read: ConfigEntry = serde_json::from_str(&text.unwrap()).unwrap();
        assert_eq!(read, ConfigEntry::Checkpoint(Box::new(state.clone())));
        // The delta overlaps the state and is applied twice.
        let from = start.saturating_sub(3);
        let delta = Delta::new(Offset(from as u64 + 1), records[from..].to_vec());
        fold.extend(&delta).unwrap();
        fold.extend(&delta).unwrap();
        assert_eq!(fold.digest(), whole.digest(), "started at {start}");
        let late = Delta::new(Offset(whole.last().0 + 2), Vec::new());
        assert!(
            fold.extend(&late).is_err(),
            "a delta after a gap was applied"
        );
    }
}
