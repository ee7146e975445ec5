//! A fake engine that tracks its own memory and counts overcommitting orders.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{AdapterName, Fencing, HostName, ModelName, Offset, ZoneName};
use eelgrasshill_placement::{
    Action, EngineReport, ModelVersion, Order, OrderId, OrderOutcome, ResidentModel,
};

/// Duration of an unload, in ms.
const UNLOAD_MS: u64 = 300;
/// Duration of an adapter load, in ms.
const ADAPTER_LOAD_MS: u64 = 10;
/// Longest age of a cached report, in ms.
const REPORT_CACHE_MS: u64 = 300;
/// Number of requests that an engine can run in parallel.
const REQUEST_SLOTS: u32 = 8;

/// Model and version of a copy.
pub type CopyKey = (ModelName, String);

/// An engine whose memory, loads and reports are simulated.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    pub name: HostName,
    pub zone: ZoneName,
    pub fencing: Fencing,
    pub memory_mb: u64,
    pub load_ms: u64,
    pub adapter_memory_mb: u64,
    pub fence: Offset,
    pub up: bool,
    /// Memory in MB and adapters of each resident copy.
    pub resident: BTreeMap<CopyKey, (u64, BTreeSet<AdapterName>)>,
    /// Memory in MB of each copy, and the time at which its load ends, in ms.
    pub loading: BTreeMap<CopyKey, (u64, u64)>,
    /// Memory in MB of each copy, and the time at which its unload ends, in ms.
    pub unloading: BTreeMap<CopyKey, (u64, u64)>,
    /// Time at which the load of each adapter ends, in ms.
    pub loading_adapters: BTreeMap<(ModelName, AdapterName), u64>,
    /// Number of load orders for which the memory was not sufficient.
    pub overcommits: u32,
    pub load_starts_ms: Vec<u64>,
    executed: BTreeSet<OrderId>,
    /// Time of the last report in ms, and the report.
    cached_report: Option<(u64, EngineReport)>,
}

/// The outcome of an order and the copies that it removed.
#[derive(Clone, Debug, Default)]
pub struct OrderResult {
    pub outcome: Option<OrderOutcome>,
    pub removed: Vec<CopyKey>,
}

impl FakeEngine {
    pub fn new(
        name: HostName,
        zone: ZoneName,
        fencing: Fencing,
        memory: u64,
        load_ms: u64,
    ) -> Self {
        Self {
            name,
            zone,
            fencing,
            memory_mb: memory,
            load_ms,
            adapter_memory_mb: 0,
            fence: Offset(0),
            up: true,
            resident: BTreeMap::new(),
            loading: BTreeMap::new(),
            unloading: BTreeMap::new(),
            loading_adapters: BTreeMap::new(),
            overcommits: 0,
            load_starts_ms: Vec::new(),
            executed: BTreeSet::new(),
            cached_report: None,
        }
    }

    pub fn used_mb(&self) -> u64 {
        let resident = self
            .resident
            .values()
            .map(|(m, a)| m + self.adapter_memory_mb * a.len() as u64);
        let loading_or_unloading = self
            .loading
            .values()
            .chain(self.unloading.values())
            .map(|(m, _at)| *m);
        let loading_adapters = self.adapter_memory_mb * self.loading_adapters.len() as u64;
        resident.sum::<u64>() + loading_or_unloading.sum::<u64>() + loading_adapters
    }

    pub fn advance(&mut self, now: u64) {
        self.unloading.retain(|_key, (_memory, at)| now < *at);
        let ready = self
            .loading
            .extract_if(.., |_key, (_memory, at)| now >= *at);
        let ready: Vec<_> = ready
            .map(|(key, (memory, _at))| (key, (memory, BTreeSet::new())))
            .collect();
        self.resident.extend(ready);
        let loaded_adapters: Vec<_> = self
            .loading_adapters
            .extract_if(.., |_key, at| now >= *at)
            .collect();
        for ((model, adapter), _at) in loaded_adapters {
            for ((name, _version), (_memory, adapters)) in &mut self.resident {
                if *name == model {
                    adapters.insert(adapter.clone());
                }
            }
        }
    }

    pub fn holds(&self, model: &ModelName) -> bool {
        self.up && self.resident.keys().any(|(name, _version)| name == model)
    }

    /// Loses all copies, as when the process ends; `up` says whether it runs again.
    pub fn clear_memory(&mut self, up: bool) {
        self.up = up;
        self.resident.clear();
        self.loading.clear();
        self.unloading.clear();
        self.loading_adapters.clear();
        self.cached_report = None;
    }

    /// Executes an order.
    ///
    /// An engine that ignores fencing tokens also ignores order ids, so it executes repeats.
    /// `fencing_works` is false in the test that switches fencing off.
    pub fn execute(&mut self, order: &Order, fencing_works: bool, now: u64) -> OrderResult {
        let checks_fencing = self.fencing == Fencing::Checked;
        if checks_fencing && fencing_works && order.fence < self.fence {
            return OrderResult {
                outcome: Some(OrderOutcome::Refused(self.fence)),
                ..OrderResult::default()
            };
        }
        self.fence = self.fence.max(order.fence);
        let outcome = Some(OrderOutcome::Done);
        if checks_fencing && self.executed.contains(&order.id) {
            return OrderResult {
                outcome,
                ..OrderResult::default()
            };
        }
        let mut removed = Vec::new();
        match &order.action {
            Action::Seal => {}
            Action::Load {
                model,
                version,
                memory,
            } => {
                if !self.load((model.clone(), version.clone()), *memory, now) {
                    return OrderResult {
                        outcome: Some(OrderOutcome::Failed),
                        ..OrderResult::default()
                    };
                }
            }
            Action::Unload { model } => removed = self.unload(model, now),
            Action::LoadAdapter { model, adapter } => {
                let key = (model.clone(), adapter.clone());
                let already_loaded = self
                    .resident
                    .iter()
                    .any(|((m, _v), (_mb, a))| m == model && a.contains(adapter));
                if self.holds(model) && !already_loaded && !self.loading_adapters.contains_key(&key)
                {
                    if self.used_mb() + self.adapter_memory_mb > self.memory_mb {
                        self.overcommits += 1;
                        return OrderResult {
                            outcome: Some(OrderOutcome::Failed),
                            ..OrderResult::default()
                        };
                    }
                    self.loading_adapters.insert(key, now + ADAPTER_LOAD_MS);
                }
            }
            Action::UnloadAdapter { model, adapter } => {
                for ((name, _version), (_memory, adapters)) in &mut self.resident {
                    if name == model {
                        adapters.remove(adapter);
                    }
                }
            }
        }
        self.executed.insert(order.id);
        OrderResult { outcome, removed }
    }

    fn load(&mut self, key: CopyKey, memory: u64, now: u64) -> bool {
        if self.resident.contains_key(&key) || self.loading.contains_key(&key) {
            return true;
        }
        if self.used_mb() + memory > self.memory_mb {
            self.overcommits += 1;
            return false;
        }
        self.load_starts_ms.push(now);
        self.loading.insert(key, (memory, now + self.load_ms));
        true
    }

    fn unload(&mut self, model: &ModelName, now: u64) -> Vec<CopyKey> {
        self.loading.retain(|(name, _version), _load| name != model);
        let unloaded: Vec<_> = self
            .resident
            .extract_if(.., |(name, _version), _copy| name == model)
            .collect();
        let removed = unloaded.iter().map(|(key, _copy)| key.clone()).collect();
        for (key, (memory, _adapters)) in unloaded {
            self.unloading.insert(key, (memory, now + UNLOAD_MS));
        }
        removed
    }

    /// Returns a cached report, which may be slightly old, as from a real engine.
    pub fn report(&mut self, now: u64) -> EngineReport {
        if self
            .cached_report
            .as_ref()
            .is_none_or(|(at, _report)| now >= at + REPORT_CACHE_MS)
        {
            self.cached_report = Some((now, self.build_report()));
        }
        let (at, report) = self
            .cached_report
            .clone()
            .expect("a report was cached above");
        EngineReport {
            age_ms: now - at,
            ..report
        }
    }

    fn build_report(&self) -> EngineReport {
        let model_versions = |keys: &BTreeMap<CopyKey, (u64, u64)>| {
            let keys = keys.keys().cloned();
            keys.map(|(model, version)| ModelVersion { model, version })
                .collect()
        };
        let resident = self
            .resident
            .iter()
            .map(|((model, version), (_memory, adapters))| ResidentModel {
                model: model.clone(),
                version: version.clone(),
                adapters: adapters.iter().cloned().collect(),
                running: 0,
                waiting: 0,
            });
        EngineReport {
            host: self.name.clone(),
            fence: self.fence,
            resident: resident.collect(),
            loading: model_versions(&self.loading),
            unloading: model_versions(&self.unloading),
            used_mb: self.used_mb(),
            total_mb: self.memory_mb,
            request_slots: REQUEST_SLOTS,
            age_ms: 0,
        }
    }
}
