//! Turns the platform's shapes into those of the placement, and back.

use eelgrasshill_domain::{AppendId, Offset};
use eelgrasshill_placement::{
    Action, EngineReport, LeaseEntry, ModelVersion, Order, ResidentModel,
};
use eelgrasshill_ports as platform;

/// Reads a record of a lease stream; one that cannot be read is left out.
pub(crate) fn parse_lease_entry(record: platform::StoredRecord) -> Option<LeaseEntry> {
    let body = serde_json::from_value(record.body)
        .inspect_err(|error| log::warn!("lease: {} is skipped: {error}", record.offset))
        .ok()?;
    Some(LeaseEntry {
        offset: record.offset,
        id: record.id,
        record: body,
    })
}

/// Turns an engine's report into the placement's.
pub(crate) fn convert_report(report: &platform::EngineReport) -> EngineReport {
    let moving = |list: &[platform::Loading]| {
        list.iter()
            .map(|line| ModelVersion {
                model: line.model.clone(),
                version: line.version.clone(),
            })
            .collect()
    };
    EngineReport {
        host: report.host.clone(),
        fence: Offset(report.fence),
        resident: report
            .resident
            .iter()
            .map(|line| ResidentModel {
                model: line.model.clone(),
                version: line.version.clone(),
                adapters: line.adapters.clone(),
                running: line.running,
                waiting: line.waiting,
            })
            .collect(),
        loading: moving(&report.loading),
        unloading: moving(&report.unloading),
        used_mb: report.used,
        total_mb: report.memory,
        slots: report.slots,
        age_ms: report.age,
    }
}

/// Turns an order into the engine's; none when its id is no name.
pub(crate) fn convert_order(order: &Order) -> Option<platform::Order> {
    let action = match order.action.clone() {
        Action::Load {
            model,
            version,
            memory,
        } => platform::OrderAction::Load {
            model,
            version,
            memory,
        },
        Action::Unload { model } => platform::OrderAction::Unload { model },
        Action::LoadAdapter { model, adapter } => {
            platform::OrderAction::LoadAdapter { model, adapter }
        }
        Action::UnloadAdapter { model, adapter } => {
            platform::OrderAction::UnloadAdapter { model, adapter }
        }
        Action::Seal => platform::OrderAction::Seal,
    };
    let id = AppendId::new(&format!("{}.{}", order.id.fence, order.id.seq)).ok()?;
    Some(platform::Order {
        id,
        fence: order.fence.0,
        action,
    })
}
