//! Converts between the types of the platform and of the placement controller.

use eelgrasshill_domain::{AppendId, Offset};
use eelgrasshill_placement::{
    Action, EngineReport, LeaseEntry, ModelVersion, Order, ResidentModel,
};
use eelgrasshill_ports as platform;

/// Decodes a record of a lease stream; logs and skips an invalid one.
pub(crate) fn parse_lease_entry(record: platform::StoredRecord) -> Option<LeaseEntry> {
    let body = serde_json::from_value(record.body)
        .inspect_err(|error| {
            log::warn!(
                "lease: skipping the undecodable record at offset {}: {error}",
                record.offset
            );
        })
        .ok()?;
    Some(LeaseEntry {
        offset: record.offset,
        id: record.id,
        record: body,
    })
}

/// Converts an engine's report for the placement controller.
pub(crate) fn convert_report(report: &platform::EngineReport) -> EngineReport {
    let model_versions = |loadings: &[platform::ModelVersion]| {
        loadings
            .iter()
            .map(|loading| ModelVersion {
                model: loading.model.clone(),
                version: loading.version.clone(),
            })
            .collect()
    };
    EngineReport {
        host: report.host.clone(),
        fence: Offset(report.fence),
        resident: report
            .resident
            .iter()
            .map(|resident| ResidentModel {
                model: resident.model.clone(),
                version: resident.version.clone(),
                adapters: resident.adapters.clone(),
                running: resident.running,
                waiting: resident.waiting,
            })
            .collect(),
        loading: model_versions(&report.loading),
        unloading: model_versions(&report.unloading),
        used_mb: report.used_mb,
        total_mb: report.memory_mb,
        request_slots: report.slots,
        age_ms: report.age_ms,
    }
}

/// Converts an order for the engine; `None` if its ID is not a valid name.
pub(crate) fn convert_order(order: &Order) -> Option<platform::Order> {
    let action = match order.action.clone() {
        Action::Load {
            model,
            version,
            memory,
        } => platform::OrderAction::Load {
            model,
            version,
            memory_mb: memory,
        },
        Action::Unload { model } => platform::OrderAction::Unload { model },
        Action::LoadAdapter { model, adapter } => {
            platform::OrderAction::LoadAdapter { model, adapter }
        }
        Action::UnloadAdapter { model, adapter } => {
            platform::OrderAction::UnloadAdapter { model, adapter }
        }
        Action::Seal => platform::OrderAction::RaiseFence,
    };
    let id = AppendId::new(&format!("{}.{}", order.id.fence, order.id.seq)).ok()?;
    Some(platform::Order {
        id,
        fence: order.fence.0,
        action,
    })
}
