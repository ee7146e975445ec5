//! Messages from engines: reports of their state and answers to orders.

use eelgrasshill_domain::{AdapterName, HostName, ModelName, Offset, record, scalar};

record! {
    /// A model version that is loaded on an engine and serves requests.
    pub struct ResidentModel {
        /// The name of the model.
        pub model: ModelName,
        /// The resident version.
        pub version: String,
        /// The adapters that are loaded for the model.
        pub adapters: Vec<AdapterName>,
        /// Number of requests that are running.
        pub running: u32,
        /// Number of requests that are waiting.
        pub waiting: u32,
    }

    /// A model version that an engine is loading or unloading.
    pub struct ModelVersion {
        /// The name of the model.
        pub model: ModelName,
        /// The version being loaded or unloaded.
        pub version: String,
    }

    /// An engine's report of its own state, as far as placement needs it.
    pub struct EngineReport {
        /// The host that runs the engine.
        pub host: HostName,
        /// The highest fencing token that the engine has received.
        pub fence: Offset,
        /// Models that serve requests.
        pub resident: Vec<ResidentModel>,
        /// Models that are being loaded.
        pub loading: Vec<ModelVersion>,
        /// Models that are being unloaded.
        pub unloading: Vec<ModelVersion>,
        /// Memory in use, in MB, including models being loaded or unloaded.
        #[serde(rename = "used")]
        pub used_mb: u64,
        /// Total memory, in MB.
        #[serde(rename = "total")]
        pub total_mb: u64,
        /// Number of requests that the engine can run in parallel.
        #[serde(rename = "slots")]
        pub request_slots: u32,
        /// Age of the report, in ms, when the engine returned it.
        ///
        /// It is serialised as `at`, although it is an age and not a time.
        #[serde(rename = "at")]
        pub age_ms: u64,
    }
}

scalar! {
    /// An engine's answer to an order.
    pub enum OrderOutcome {
        /// The order took effect, either now or on an earlier delivery.
        Done,
        /// The order failed and may be sent again.
        Failed,
        /// The order's fencing token is lower than this one.
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

    /// Returns whether any version of a model occupies memory.
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
