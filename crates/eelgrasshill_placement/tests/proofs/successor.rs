//! Tests a successor while a load of its predecessor is still in transit.
//!
//! The late load and the successor's own load do not fit on the engine together. Without
//! fencing and without a logged intent, the successor orders its load as if the memory were
//! free, and the late load then overcommits the engine.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::fleet::engine::FakeEngine;
use crate::fleet::{Layout, named, offset_index};
use eelgrasshill_domain::{AppendId, Fencing, HostName, Moment, Offset};
use eelgrasshill_placement::{
    Action, Controller, Effect, Event, Intent, LeaseEntry, LeaseRecord, Order, OrderId,
    OrderOutcome,
};

/// The situation at the start of a successor's term.
struct Case {
    name: &'static str,
    fencing: Fencing,
    /// Whether the log contains the intent of the predecessor's load.
    intent_logged: bool,
    /// Whether seals are lost and reports still claim that the engine was sealed.
    forged_seal: bool,
    /// Whether the predecessor's late load arrives immediately before the successor's first load.
    late_load_arrives: bool,
    /// Number of load orders that overcommit the engine.
    overcommits: u32,
}

/// Index of the case in which the log contains the intent of the late load.
const INTENT_LOGGED_CASE: usize = 3;
/// Memory of one model, in MB; the engine has memory for only one.
const MODEL_MB: u64 = 60;
const ENGINE_MB: u64 = 100;
const LOAD_MS: u64 = 500;
const RUN_MS: u64 = 40_000;
const STEP_MS: usize = 100;

const CASES: [Case; 5] = [
    Case {
        name: "sealed engine",
        fencing: Fencing::Checked,
        intent_logged: false,
        forged_seal: false,
        late_load_arrives: true,
        overcommits: 0,
    },
    Case {
        name: "forged seal",
        fencing: Fencing::Checked,
        intent_logged: false,
        forged_seal: true,
        late_load_arrives: true,
        overcommits: 1,
    },
    Case {
        name: "forged seal, no late load",
        fencing: Fencing::Checked,
        intent_logged: false,
        forged_seal: true,
        late_load_arrives: false,
        overcommits: 0,
    },
    Case {
        name: "intent logged",
        fencing: Fencing::Ignored,
        intent_logged: true,
        forged_seal: false,
        late_load_arrives: true,
        overcommits: 0,
    },
    Case {
        name: "intent not logged",
        fencing: Fencing::Ignored,
        intent_logged: false,
        forged_seal: false,
        late_load_arrives: true,
        overcommits: 1,
    },
];

fn entry(log: &[LeaseEntry], id: AppendId, record: LeaseRecord) -> LeaseEntry {
    LeaseEntry {
        offset: Offset(log.len() as u64),
        id,
        record,
    }
}

/// Returns the predecessor's log and its load, which is still in transit.
fn predecessor_log(case: &Case, engine: &HostName) -> (Vec<LeaseEntry>, Option<Order>) {
    let id = OrderId {
        fence: Offset(0),
        seq: 1,
    };
    let model = named("former");
    let action = Action::Load {
        model,
        version: "v1".to_owned(),
        memory: MODEL_MB,
    };
    let late_load = Some(Order {
        id,
        fence: Offset(0),
        action,
    })
    .filter(|_| case.late_load_arrives);

    let old = named("entry-0");
    let mut log = vec![entry(
        &[],
        named("a"),
        LeaseRecord::Claim {
            host: old,
            after: None,
        },
    )];
    if case.intent_logged {
        let intents = late_load
            .iter()
            .map(|order| Intent {
                engine: engine.clone(),
                order: order.clone(),
            })
            .collect();
        log.push(entry(
            &log,
            named("b"),
            LeaseRecord::Intent {
                fence: Offset(0),
                intents,
            },
        ));
    }
    (log, late_load)
}

/// Runs a successor on an engine without memory for both loads.
fn run(case: &Case) -> FakeEngine {
    let layout = Layout {
        engines: vec![(0, ENGINE_MB, case.fencing)],
        model_memory_mb: vec![MODEL_MB],
        ..Layout::small()
    };
    let mut settings = layout.settings();
    settings.zones.truncate(1);
    let (tables, zone) = (layout.tables(), settings.zone.clone());
    let name: HostName = named("engine-000");
    let mut engine = FakeEngine::new(name.clone(), zone, case.fencing, ENGINE_MB, LOAD_MS);
    let (mut log, mut late_load) = predecessor_log(case, &name);
    let mut controller = Controller::new(settings);
    let mut events = vec![Event::Tables(Arc::new(tables))];
    for now in (0..RUN_MS).step_by(STEP_MS) {
        engine.advance(now);
        let mut report = engine.report(now);
        if let Some(fence) = controller.fence().filter(|_| case.forged_seal) {
            report.fence = fence;
        }
        events.push(Event::Report {
            report,
            requested_at: Moment(now),
        });
        for event in std::mem::take(&mut events) {
            for effect in controller.handle(event, Moment(now)) {
                match effect {
                    Effect::Append { id, record } => log.push(entry(&log, id, record)),
                    Effect::Read(from) => {
                        events.push(Event::LeaseRead(log[offset_index(from)..].to_vec()));
                    }
                    Effect::Send { engine: to, order } => {
                        if case.forged_seal && order.action == Action::Seal {
                            continue;
                        }
                        if order.action.is_load()
                            && let Some(order) = late_load.take()
                        {
                            engine.execute(&order, true, now);
                        }
                        let outcome = engine
                            .execute(&order, true, now)
                            .outcome
                            .unwrap_or(OrderOutcome::Failed);
                        events.push(Event::Answer {
                            engine: to,
                            order: order.id,
                            outcome,
                        });
                    }
                    _ => {}
                }
            }
        }
    }
    assert!(
        controller.fence().is_some(),
        "{}: the successor never acquired the lease",
        case.name
    );
    engine
}

/// Guards against a successor that uses memory which a late load of its predecessor takes.
///
/// Each protection is needed: the seal on an engine that checks fencing tokens, the logged intent
/// on an engine that ignores them.
#[test]
fn late_load_overcommits_only_without_protection() {
    for case in &CASES {
        assert_eq!(
            run(case).overcommits > 0,
            case.overcommits > 0,
            "{}: whether the late load overcommits the engine",
            case.name
        );
    }
}

/// Guards against an inherited load that never completes and occupies its load slot.
#[test]
fn inherited_load_becomes_resident() {
    let case = &CASES[INTENT_LOGGED_CASE];
    let engine = run(case);
    let held: BTreeSet<_> = engine
        .resident
        .keys()
        .map(|(model, _version)| model.as_str())
        .collect();
    assert!(
        held.contains("former"),
        "the inherited model is not resident: {held:?}"
    );
}
