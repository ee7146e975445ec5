//! A fake engine that keeps its own account of memory.

use std::collections::{BTreeMap, BTreeSet};

use eelgrasshill_domain::{AdapterName, Fencing, HostName, ModelName, Offset, ZoneName};
use eelgrasshill_placement::{
    Action, EngineReport, ModelVersion, Order, OrderId, OrderOutcome, ResidentModel,
};

/// How long an unload takes, in ms.
const UNLOAD_MS: u64 = 300;
/// How long an adapter takes to load, in ms.
const ADAPTER_MS: u64 = 10;
/// How old a cached report may be, in ms.
const CACHE_MS: u64 = 300;

pub type Key = (ModelName, String);

#[derive(Clone, Debug)]
pub struct Engine {
    pub name: HostName,
    pub zone: ZoneName,
    pub fencing: Fencing,
    pub memory: u64,
    pub load_ms: u64,
    pub adapter_memory: u64,
    pub fence: Offset,
    pub up: bool,
    pub resident: BTreeMap<Key, (u64, BTreeSet<AdapterName>)>,
    pub loading: BTreeMap<Key, (u64, u64)>,
    pub unloading: BTreeMap<Key, (u64, u64)>,
    pub flying: BTreeMap<(ModelName, AdapterName), u64>,
    pub overcommits: u32,
    pub started: Vec<u64>,
    done: BTreeSet<OrderId>,
    cache: Option<(u64, EngineReport)>,
}

/// What an order did.
#[derive(Clone, Debug, Default)]
pub struct Done {
    pub outcome: Option<OrderOutcome>,
    pub removed: Vec<Key>,
}

impl Engine {
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
            memory,
            load_ms,
            adapter_memory: 0,
            fence: Offset(0),
            up: true,
            resident: BTreeMap::new(),
            loading: BTreeMap::new(),
            unloading: BTreeMap::new(),
            flying: BTreeMap::new(),
            overcommits: 0,
            started: Vec::new(),
            done: BTreeSet::new(),
            cache: None,
        }
    }

    pub fn used(&self) -> u64 {
        let resident = self
            .resident
            .values()
            .map(|(m, a)| m + self.adapter_memory * a.len() as u64);
        let moving = self
            .loading
            .values()
            .chain(self.unloading.values())
            .map(|(m, _at)| *m);
        let flying = self.adapter_memory * self.flying.len() as u64;
        resident.sum::<u64>() + moving.sum::<u64>() + flying
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
        let landed: Vec<_> = self.flying.extract_if(.., |_key, at| now >= *at).collect();
        for ((model, adapter), _at) in landed {
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

    pub fn restart(&mut self, up: bool) {
        self.up = up;
        self.resident.clear();
        self.loading.clear();
        self.unloading.clear();
        self.flying.clear();
        self.cache = None;
    }

    /// Takes an order; an engine that ignores fencing numbers ignores ids too.
    pub fn take(&mut self, order: &Order, checks: bool, now: u64) -> Done {
        let checked = self.fencing == Fencing::Checked;
        if checked && checks && order.fence < self.fence {
            return Done {
                outcome: Some(OrderOutcome::Refused(self.fence)),
                ..Done::default()
            };
        }
        self.fence = self.fence.max(order.fence);
        let outcome = Some(OrderOutcome::Done);
        if checked && self.done.contains(&order.id) {
            return Done {
                outcome,
                ..Done::default()
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
                    return Done {
                        outcome: Some(OrderOutcome::Failed),
                        ..Done::default()
                    };
                }
            }
            Action::Unload { model } => removed = self.unload(model, now),
            Action::LoadAdapter { model, adapter } => {
                let key = (model.clone(), adapter.clone());
                let known = self
                    .resident
                    .iter()
                    .any(|((m, _v), (_mb, a))| m == model && a.contains(adapter));
                if self.holds(model) && !known && !self.flying.contains_key(&key) {
                    if self.used() + self.adapter_memory > self.memory {
                        self.overcommits += 1;
                        return Done {
                            outcome: Some(OrderOutcome::Failed),
                            ..Done::default()
                        };
                    }
                    self.flying.insert(key, now + ADAPTER_MS);
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
        self.done.insert(order.id);
        Done { outcome, removed }
    }

    fn load(&mut self, key: Key, memory: u64, now: u64) -> bool {
        if self.resident.contains_key(&key) || self.loading.contains_key(&key) {
            return true;
        }
        if self.used() + memory > self.memory {
            self.overcommits += 1;
            return false;
        }
        self.started.push(now);
        self.loading.insert(key, (memory, now + self.load_ms));
        true
    }

    fn unload(&mut self, model: &ModelName, now: u64) -> Vec<Key> {
        self.loading.retain(|(name, _version), _load| name != model);
        let out: Vec<_> = self
            .resident
            .extract_if(.., |(name, _version), _copy| name == model)
            .collect();
        let removed = out.iter().map(|(key, _copy)| key.clone()).collect();
        for (key, (memory, _adapters)) in out {
            self.unloading.insert(key, (memory, now + UNLOAD_MS));
        }
        removed
    }

    /// Returns the report of a moment ago, as an engine that caches it would.
    pub fn report(&mut self, now: u64) -> EngineReport {
        if self
            .cache
            .as_ref()
            .is_none_or(|(at, _report)| now >= at + CACHE_MS)
        {
            self.cache = Some((now, self.state()));
        }
        let (at, report) = self.cache.clone().expect("a report was cached just now");
        EngineReport {
            age_ms: now - at,
            ..report
        }
    }

    fn state(&self) -> EngineReport {
        let moving = |keys: &BTreeMap<Key, (u64, u64)>| {
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
            loading: moving(&self.loading),
            unloading: moving(&self.unloading),
            used_mb: self.used(),
            total_mb: self.memory,
            slots: 8,
            age_ms: 0,
        }
    }
}
