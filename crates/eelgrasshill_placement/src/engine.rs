//! What engines say: reports and answers to orders.

use eelgrasshill_domain::{AdapterName, HostName, ModelName, Offset, record, scalar};

record! {
    /// A model that is resident on an engine.
    pub struct ResidentModel {
        /// The model.
        pub model: ModelName,
        /// The resident version.
        pub version: String,
        /// The adapters loaded for it.
        pub adapters: Vec<AdapterName>,
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
    }

    /// A model that is on its way into or out of an engine's memory.
    pub struct ModelVersion {
        /// The model.
        pub model: ModelName,
        /// The version.
        pub version: String,
    }

    /// An engine's report of its own state.
    pub struct EngineReport {
        /// The engine.
        pub host: HostName,
        /// The highest fencing number that it has seen.
        pub fence: Offset,
        /// Models that serve requests.
        pub resident: Vec<ResidentModel>,
        /// Models that are being loaded.
        pub loading: Vec<ModelVersion>,
        /// Models that are being unloaded.
        pub unloading: Vec<ModelVersion>,
        /// Memory in use in MB, with models on their way in or out.
        #[serde(rename = "used")]
        pub used_mb: u64,
        /// Memory in MB.
        #[serde(rename = "total")]
        pub total_mb: u64,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Age of the report in ms when it was handed out.
        #[serde(rename = "at")]
        pub age_ms: u64,
    }
}

scalar! {
    /// An engine's answer to an order.
    pub enum OrderOutcome {
        /// The order took effect, now or earlier.
        Done,
        /// The order failed and may be repeated.
        Failed,
        /// The order's fencing number is below this one.
        Refused(Offset),
    }
}

impl EngineReport {
    /// Returns whether a model's version is resident or being loaded.
    #[must_use]
    pub fn holds(&self, model: &ModelName, version: &str) -> bool {
        self.is_resident(model, version)
            || self
                .loading
                .iter()
                .any(|m| m.model == *model && m.version == version)
    }

    /// Returns whether a model's version is resident.
    #[must_use]
    pub fn is_resident(&self, model: &ModelName, version: &str) -> bool {
        self.resident
            .iter()
            .any(|r| r.model == *model && r.version == version)
    }

    /// Returns whether any version of a model takes up memory.
    #[must_use]
    pub fn occupies_memory(&self, model: &ModelName) -> bool {
        self.resident.iter().any(|r| r.model == *model)
            || self.loading.iter().any(|m| m.model == *model)
            || self.unloading.iter().any(|m| m.model == *model)
    }

    /// Returns whether an adapter is loaded.
    #[must_use]
    pub fn has_adapter(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        self.resident
            .iter()
            .any(|r| r.model == *model && r.adapters.contains(adapter))
    }
}
