//! The models in an engine's memory, and the orders that load and unload them.
//!
//! Decides whether an order is taken, refused for lack of memory or rejected for
//! an old fencing token. A repeated order id gets the first answer, and its content is
//! ignored. Only the last 256 ids are remembered. A fenced order is not remembered, so
//! that its repeat is checked again.

use std::collections::VecDeque;

use eelgrasshill_domain::{AdapterName, AppendId, Fencing, ModelName};
use eelgrasshill_ports::{ModelVersion, Order, OrderAction, OrderAnswer};

use super::settings::{EngineCounts, ModelCopy};

/// Maximum number of processed order ids that are remembered and reported.
const MAX_REMEMBERED_ORDERS: usize = 256;

/// The state of a model copy in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyPhase {
    Loading,
    Resident,
    Unloading,
}

/// A copy of a model in memory, with its state.
#[derive(Clone, Debug)]
pub(super) struct MemoryEntry {
    pub(super) serial: u64,
    pub(super) copy: ModelCopy,
    pub(super) phase: CopyPhase,
}

impl MemoryEntry {
    fn is_model(&self, model: &ModelName) -> bool {
        self.copy.model == *model
    }

    pub(super) fn to_model_version(&self) -> ModelVersion {
        ModelVersion {
            model: self.copy.model.clone(),
            version: self.copy.version.clone(),
        }
    }
}

/// The background load that an order starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LoadTask {
    Nothing,
    Model { serial: u64, model: ModelName },
    Adapter { serial: u64, adapter: AdapterName },
}

/// The memory of an engine and the orders that it has processed.
#[derive(Clone, Debug)]
pub(super) struct Memory {
    pub(super) total_mb: u64,
    pub(super) fence: u64,
    pub(super) entries: Vec<MemoryEntry>,
    pub(super) orders: VecDeque<(AppendId, OrderAnswer)>,
    next_serial: u64,
}

impl Memory {
    pub(super) fn new(total_mb: u64, resident: &[ModelCopy]) -> Self {
        let entries: Vec<MemoryEntry> = (0..)
            .zip(resident)
            .map(|(serial, copy)| MemoryEntry {
                serial,
                copy: copy.clone(),
                phase: CopyPhase::Resident,
            })
            .collect();
        Self {
            total_mb,
            fence: 0,
            next_serial: entries.len() as u64,
            entries,
            orders: VecDeque::new(),
        }
    }

    /// Returns the memory in use in MB, including copies that are still loading.
    pub(super) fn used_mb(&self) -> u64 {
        self.entries.iter().map(|entry| entry.copy.memory_mb).sum()
    }

    /// Returns the first resident copy of a model with this version; an empty one matches any.
    pub(super) fn resident(&self, model: &ModelName, version: &str) -> Option<&MemoryEntry> {
        self.entries.iter().find(|entry| {
            let version_matches = version.is_empty() || entry.copy.version == version;
            entry.is_model(model) && version_matches && entry.phase == CopyPhase::Resident
        })
    }

    /// Returns whether a copy of the model is being unloaded.
    pub(super) fn is_unloading(&self, model: &ModelName) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.is_model(model) && entry.phase == CopyPhase::Unloading)
    }

    pub(super) fn entry(&mut self, serial: u64) -> Option<&mut MemoryEntry> {
        self.entries.iter_mut().find(|entry| entry.serial == serial)
    }

    /// Processes an order, or returns the first answer to a repeated one.
    pub(super) fn take_order(
        &mut self,
        order: &Order,
        fencing: Fencing,
        counts: &mut EngineCounts,
    ) -> (OrderAnswer, LoadTask) {
        if let Some((_id, answer)) = self.orders.iter().find(|(id, _answer)| *id == order.id) {
            counts.repeats += 1;
            return (answer.clone(), LoadTask::Nothing);
        }
        if order.fence < self.fence {
            if fencing == Fencing::Checked {
                counts.fenced += 1;
                let highest = self.fence;
                return (
                    OrderAnswer::Fenced {
                        highest_fence: highest,
                    },
                    LoadTask::Nothing,
                );
            }
            counts.unfenced += 1;
        }
        self.fence = self.fence.max(order.fence);
        let (answer, load_task) = self.apply(&order.action, counts);
        counts.peak_mb = counts.peak_mb.max(self.used_mb());
        if self.orders.len() == MAX_REMEMBERED_ORDERS {
            self.orders.pop_front();
        }
        self.orders.push_back((order.id.clone(), answer.clone()));
        (answer, load_task)
    }

    fn apply(
        &mut self,
        action: &OrderAction,
        counts: &mut EngineCounts,
    ) -> (OrderAnswer, LoadTask) {
        match action {
            OrderAction::Load {
                model,
                version,
                memory_mb: memory,
            } => self.load(model, version, *memory, counts),
            OrderAction::Unload { model } => {
                self.unload(model);
                (OrderAnswer::Accepted, LoadTask::Nothing)
            }
            OrderAction::LoadAdapter { model, adapter } => self.load_adapter(model, adapter),
            OrderAction::UnloadAdapter { model, adapter } => {
                for entry in self
                    .entries
                    .iter_mut()
                    .filter(|entry| entry.is_model(model))
                {
                    entry.copy.adapters.retain(|loaded| loaded != adapter);
                }
                (OrderAnswer::Accepted, LoadTask::Nothing)
            }
            // A seal only raises the fence, which take_order has done already.
            OrderAction::RaiseFence => (OrderAnswer::Accepted, LoadTask::Nothing),
        }
    }

    fn load(
        &mut self,
        model: &ModelName,
        version: &str,
        memory_mb: u64,
        counts: &mut EngineCounts,
    ) -> (OrderAnswer, LoadTask) {
        let already_present = self.entries.iter().any(|entry| {
            entry.is_model(model)
                && entry.copy.version == version
                && entry.phase != CopyPhase::Unloading
        });
        if already_present {
            return (OrderAnswer::Accepted, LoadTask::Nothing);
        }
        if self.used_mb() + memory_mb > self.total_mb {
            counts.overcommits += 1;
            return (
                refused_order("the memory does not suffice"),
                LoadTask::Nothing,
            );
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        self.entries.push(MemoryEntry {
            serial,
            copy: ModelCopy {
                model: model.clone(),
                version: version.to_owned(),
                memory_mb,
                adapters: Vec::new(),
            },
            phase: CopyPhase::Loading,
        });
        let model = model.clone();
        (OrderAnswer::Accepted, LoadTask::Model { serial, model })
    }

    fn unload(&mut self, model: &ModelName) {
        self.entries
            .retain(|entry| !entry.is_model(model) || entry.phase != CopyPhase::Loading);
        for entry in self
            .entries
            .iter_mut()
            .filter(|entry| entry.is_model(model))
        {
            entry.phase = CopyPhase::Unloading;
        }
    }

    fn load_adapter(
        &mut self,
        model: &ModelName,
        adapter: &AdapterName,
    ) -> (OrderAnswer, LoadTask) {
        let Some(entry) = self.resident(model, "") else {
            return (
                refused_order("the model is not resident"),
                LoadTask::Nothing,
            );
        };
        if entry.copy.adapters.contains(adapter) {
            return (OrderAnswer::Accepted, LoadTask::Nothing);
        }
        let (serial, adapter) = (entry.serial, adapter.clone());
        (OrderAnswer::Accepted, LoadTask::Adapter { serial, adapter })
    }

    /// Marks a copy as resident and starts unloading the model's other versions.
    ///
    /// Returns false if the copy was unloaded before its load ended.
    pub(super) fn mark_resident(&mut self, serial: u64) -> bool {
        let Some(entry) = self.entry(serial) else {
            return false;
        };
        entry.phase = CopyPhase::Resident;
        let model = entry.copy.model.clone();
        for entry in &mut self.entries {
            if entry.is_model(&model)
                && entry.serial != serial
                && entry.phase == CopyPhase::Resident
            {
                entry.phase = CopyPhase::Unloading;
            }
        }
        true
    }
}

fn refused_order(reason: &str) -> OrderAnswer {
    OrderAnswer::Refused {
        reason: reason.to_owned(),
    }
}
